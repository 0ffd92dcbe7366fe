"""Tests of the server and client side of MySQL logins, against each other and against known hashes."""

from __future__ import annotations

from typing import Any

import pytest

from brambleusher.fronts.mysql.auth import (
    ClientLogin,
    LoginRejectedError,
    LoginStep,
    RsaKey,
    Secret,
    ServerLogin,
    native_hash,
    native_response,
    sha2_hash,
    sha2_response,
    sha256_crypt,
    verify_sha2_response,
)
from brambleusher.fronts.mysql.constants import CACHING_SHA2, NATIVE, Capability, Errno
from brambleusher.fronts.mysql.messages import ChangeUser, Err, Greeting, Login, Ok, SslRequest
from brambleusher.fronts.mysql.packets import PacketReader, ProtocolError, frame

CAPS = int(
    Capability.PROTOCOL_41 | Capability.SECURE_CONNECTION | Capability.PLUGIN_AUTH
    | Capability.PLUGIN_AUTH_LENENC | Capability.CONNECT_WITH_DB
)  # fmt: skip
CHALLENGE = bytes(range(0x41, 0x41 + 20))
KEY = RsaKey()


def test_hashes_are_those_of_a_server() -> None:
    # The values come from PASSWORD('mypass') in the MySQL manual and from `openssl passwd -5`.
    assert native_hash(b"mypass").hex().upper() == "6C8989366EAF75BB670AD8EA7A7FC1176A95CEF4"
    for password, salt, expected in (
        (b"secret", b"abcdefghijklmnop", b"i7zHaTeYqXlesRXJ8dXj6o.MEFQdzfIJpJpcWAtszs6"),
        (b"Hello world!", b"saltstring", b"5B8vYYiY.CVt1RlTTf8KbXBH3hsxY/GNooZaBBGWEc5"),
    ):
        assert sha256_crypt(password, salt) == expected
    assert verify_sha2_response(sha2_response(b"pw", CHALLENGE), CHALLENGE, sha2_hash(b"pw"))
    assert not verify_sha2_response(sha2_response(b"pv", CHALLENGE), CHALLENGE, sha2_hash(b"pw"))


def test_a_stored_hash_is_read_as_it_is_written_and_never_shown() -> None:
    for plugin in (NATIVE, CACHING_SHA2):
        for password in (b"", b"pw"):
            secret = Secret.from_password(plugin, password)
            assert Secret.parse(plugin, secret.to_server_format()) == secret
            assert repr(secret) == f"Secret({plugin})"
    for plugin, text in ((NATIVE, "6C89"), (NATIVE, "*zz"), (CACHING_SHA2, "$A$005$short"), ("old", "-")):
        with pytest.raises(ValueError):
            Secret.parse(plugin, text)


def run_login(client: ClientLogin, server: ServerLogin, cut: int = 7) -> tuple[int, bool]:
    """Connect a client login to a server login, feeding at most `cut` bytes at a time.

    Returns how often the hash computation yielded, and whether TLS was used.
    """
    again, tls = 0, False
    client.feed(server.encode_greeting())
    for _ in range(200):
        turn = client.step()
        if turn is LoginStep.TLS:
            tls, turn = True, LoginStep.READ
            out, client.out = client.out, b""
            server.feed(out)
            assert server.step() is LoginStep.TLS
            client.step()
        out, client.out = client.out, b""
        for at in range(0, len(out), cut):
            server.feed(out[at : at + cut])
            while (other := server.step()) is LoginStep.RESUME:
                again += 1
        if other is LoginStep.DONE:
            client.feed(server.complete_login())
            assert client.step() is LoginStep.DONE
            return again, tls
        out, server.out = server.out, b""
        client.feed(out)
        if other is LoginStep.REJECTED:
            client.step()
    raise AssertionError("no end")


def server(secret: Secret | None, plugin: str = CACHING_SHA2, caps: int = CAPS, **how: bool) -> ServerLogin:
    return ServerLogin(9, CHALLENGE, caps, {"web": secret}.get, KEY, "8.0.36", plugin, **how)


def client(password: bytes = b"pw", user: str = "web", **how: Any) -> ClientLogin:
    return ClientLogin(user, password, CAPS, 45, database="shop", **how)


@pytest.mark.parametrize("password", [b"", b"pw"])
@pytest.mark.parametrize("plugin", [NATIVE, CACHING_SHA2])
@pytest.mark.parametrize("offered", [NATIVE, CACHING_SHA2])
@pytest.mark.parametrize("tls", [False, True])
def test_every_plugin_offered_or_switched_to(password: bytes, plugin: str, offered: str, tls: bool) -> None:
    secret = Secret.from_password(plugin, password)
    caps = CAPS | (Capability.SSL if tls else 0)
    how: dict[str, Any] = {"tls": "preferred" if tls else "off", "ask_key": True}
    first = server(secret, offered, caps)
    again, secure = run_login(client(password, **how), first)
    assert secure is tls
    assert first.login is not None
    assert (first.login.user, first.login.database, first.error) == ("web", "shop", None)
    full = plugin == CACHING_SHA2 and bool(password)
    assert (again > 0) is full  # only the full exchange computes SHA-256 crypt and yields in between
    # The second login uses the fast exchange.
    assert run_login(client(password, **how), server(secret, offered, caps))[0] == 0


@pytest.mark.parametrize("plugin", [NATIVE, CACHING_SHA2])
def test_a_wrong_password_and_an_unknown_user_are_refused_alike(plugin: str) -> None:
    errors = []
    for user, password in (("web", b"wrong"), ("who", b"pw"), ("web", b"")):
        with pytest.raises(LoginRejectedError) as caught:
            run_login(
                client(password, user, ask_key=True), server(Secret.from_password(plugin, b"pw"), plugin)
            )
        errors.append(caught.value.error)
    assert {(error.errno, error.state) for error in errors} == {(Errno.ACCESS_DENIED, "28000")}
    assert errors[0].text.replace("web", "who") == errors[1].text
    assert "using password: NO" in errors[2].text


def test_a_password_goes_to_no_server_whose_key_is_not_known() -> None:
    with pytest.raises(ProtocolError):
        run_login(client(), server(Secret.from_password(CACHING_SHA2, b"pw")))
    run_login(client(public_key=KEY.public()), server(Secret.from_password(CACHING_SHA2, b"pw")))


def test_tls_and_compression_are_asked_for_in_vain() -> None:
    with pytest.raises(ProtocolError) as caught:
        run_login(client(tls="required"), server(Secret.from_password(NATIVE, b"pw"), NATIVE))
    assert caught.value.errno == Errno.SECURE_TRANSPORT_REQUIRED
    with pytest.raises(LoginRejectedError) as refused:
        run_login(client(), server(Secret.from_password(NATIVE, b"pw"), NATIVE, secure_only=True))
    assert refused.value.error.errno == Errno.SECURE_TRANSPORT_REQUIRED
    for flag in (Capability.COMPRESS, Capability.ZSTD):
        login = server(Secret.from_password(NATIVE, b"pw"), NATIVE)
        login.feed(frame(Login(CAPS | flag, "web", b"x" * 20, plugin=NATIVE).encode(), 1))
        assert login.step() is LoginStep.REJECTED
        assert login.error is not None
        assert (login.error.errno, "ompression" in login.error.text) == (Errno.NOT_SUPPORTED_YET, True)
    login = server(Secret.from_password(NATIVE, b"pw"), NATIVE)
    login.feed(frame(SslRequest(CAPS | Capability.SSL).encode(), 1))
    with pytest.raises(ProtocolError):
        login.step()


@pytest.mark.parametrize(
    ("name", "first", "error"),
    [
        (
            "an error for a greeting",
            Err.of(Errno.CON_COUNT, "Too many connections").encode(),
            LoginRejectedError,
        ),
        ("another version", b"\x09" + bytes(60), ProtocolError),
        ("noise", b"HTTP/1.1 400 Bad Request\r\n", ProtocolError),
        ("an empty packet", b"", ProtocolError),
        ("from before 4.1", Greeting("3.23", 1, CHALLENGE, 0).encode(), ProtocolError),
        (
            "a short challenge",
            Greeting("8.0", 1, b"", int(Capability.PROTOCOL_41)).encode()[:20],
            ProtocolError,
        ),
    ],
)
def test_greetings_that_are_none(name: str, first: bytes, error: type[Exception]) -> None:
    login = client()
    login.feed(frame(first, 0))
    with pytest.raises(error):
        login.step()


def test_a_server_that_asks_without_end_is_given_up() -> None:
    login = client()
    login.feed(frame(Greeting("8.0", 1, CHALLENGE, CAPS, plugin=CACHING_SHA2).encode(), 0))
    with pytest.raises(ProtocolError):
        for seq in range(2, 60, 1):
            login.feed(frame(b"\1\3", seq))
            login.step()


def test_change_user_is_a_login_of_its_own() -> None:
    login, other = server(None), bytes(range(60, 80))
    login = ServerLogin(9, CHALLENGE, CAPS, {"new": Secret.from_password(NATIVE, b"pw")}.get, KEY, "8.0.36")
    login.change_user(ChangeUser("new", b"", "shop", plugin=CACHING_SHA2).encode(CAPS), CAPS, b"", other)
    assert login.step() is LoginStep.READ
    reader = PacketReader(1000, seq=1)
    reader.feed(login.out)
    switch = reader.take()
    assert switch is not None
    assert switch.startswith(b"\xfe" + NATIVE.encode())
    login.feed(frame(native_response(b"pw", other), 2))
    login.out = b""
    assert login.step() is LoginStep.DONE
    reader = PacketReader(1000, seq=3)
    reader.feed(login.complete_login())
    assert Ok.parse(reader.take() or b"", CAPS).status == 2
