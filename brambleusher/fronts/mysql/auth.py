"""Logins, both ways, without sockets: the side that lets in, and the side that is let in.

Two plugins: `mysql_native_password` (SHA-1 of a challenge) and `caching_sha2_password`, whose fast way
proves that the password is known and whose full way sends it, over TLS or under the server's RSA key.
What is kept of a password is never written to a log.  Hashes are those that a MySQL server keeps.
"""

from __future__ import annotations

import hashlib
import hmac
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

from brambleusher.fronts.mysql.constants import (
    CACHING_SHA2,
    MAX_PAYLOAD,
    NATIVE,
    SCRAMBLE,
    Capability,
    Errno,
    Status,
)
from brambleusher.fronts.mysql.messages import (
    ChangeUser,
    Err,
    Greeting,
    Login,
    Ok,
    SslRequest,
    auth_switch,
    parse_auth_switch,
)
from brambleusher.fronts.mysql.packets import PacketReader, ProtocolError, frame

MAX_LOGIN = 128 * 1024  # of one message of a login
MAX_PASSWORD = 512
FAST_OK, FULL, ASK_KEY = b"\x03", b"\x04", b"\x02"
ROUNDS = 5000  # of SHA-256 crypt, in a server's usual hash
SLICE = 250  # of them done at a time
_CRYPT = b"./0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"


# --- passwords ----------------------------------------------------------------------------------


def _xor(one: bytes, other: bytes) -> bytes:
    return bytes(a ^ b for a, b in zip(one, other, strict=True))


def native_answer(password: bytes, challenge: bytes) -> bytes:
    """SHA1(password) XOR SHA1(challenge + SHA1(SHA1(password))); empty for no password."""
    if not password:
        return b""
    once = hashlib.sha1(password).digest()
    return _xor(once, hashlib.sha1(challenge + hashlib.sha1(once).digest()).digest())


def native_hash(password: bytes) -> bytes:
    """SHA1(SHA1(password)), as a server keeps it."""
    return hashlib.sha1(hashlib.sha1(password).digest()).digest()


def native_fits(answer: bytes, challenge: bytes, stored: bytes) -> bool:
    """Whether an answer proves the password that `stored` is the hash of."""
    if not stored or not answer:
        return not stored and not answer
    if len(answer) != len(stored):
        return False
    once = _xor(answer, hashlib.sha1(challenge + stored).digest())
    return hmac.compare_digest(hashlib.sha1(once).digest(), stored)


def sha2_answer(password: bytes, challenge: bytes) -> bytes:
    """SHA256(password) XOR SHA256(SHA256(SHA256(password)) + challenge); empty for no password."""
    if not password:
        return b""
    once = hashlib.sha256(password).digest()
    twice = hashlib.sha256(once).digest()
    return _xor(once, hashlib.sha256(twice + challenge).digest())


def sha2_hash(password: bytes) -> bytes:
    """SHA256(SHA256(password)): what the fast way is checked against."""
    return hashlib.sha256(hashlib.sha256(password).digest()).digest()


def sha2_fits(answer: bytes, challenge: bytes, twice: bytes) -> bool:
    """Whether an answer proves the password that `twice` is the double hash of."""
    if len(answer) != len(twice):
        return False
    once = _xor(answer, hashlib.sha256(twice + challenge).digest())
    return hmac.compare_digest(hashlib.sha256(once).digest(), twice)


def crypt_steps(password: bytes, salt: bytes, rounds: int = ROUNDS) -> Iterator[bytes | None]:
    """SHA-256 crypt (U. Drepper, "Unix crypt using SHA-256 and SHA-512"), a slice of its rounds at a time.

    Yields None after each slice and the 43 characters of the hash at the end.  Guards against a login
    that holds up all others for the time of 5,000 rounds.
    """
    size = len(password)
    inner = hashlib.sha256(password + salt + password).digest()
    mixed = hashlib.sha256(password + salt)
    mixed.update((inner * (size // 32 + 1))[:size])
    bits = size
    while bits:
        mixed.update(inner if bits & 1 else password)
        bits >>= 1
    state = mixed.digest()
    p_bytes = (hashlib.sha256(password * size).digest() * (size // 32 + 1))[:size]
    s_bytes = (hashlib.sha256(salt * (16 + state[0])).digest() * (len(salt) // 32 + 1))[: len(salt)]
    for turn in range(rounds):
        odd = turn & 1
        parts = [p_bytes if odd else state]
        if turn % 3:
            parts.append(s_bytes)
        if turn % 7:
            parts.append(p_bytes)
        parts.append(state if odd else p_bytes)
        state = hashlib.sha256(b"".join(parts)).digest()
        if turn % SLICE == SLICE - 1:
            yield None
    out = bytearray()
    order = [(0, 10, 20), (21, 1, 11), (12, 22, 2), (3, 13, 23), (24, 4, 14), (15, 25, 5), (6, 16, 26),
             (27, 7, 17), (18, 28, 8), (9, 19, 29)]  # fmt: skip
    for a, b, c in order:
        word = state[a] << 16 | state[b] << 8 | state[c]
        for _ in range(4):
            out.append(_CRYPT[word & 63])
            word >>= 6
    word = state[31] << 8 | state[30]
    for _ in range(3):
        out.append(_CRYPT[word & 63])
        word >>= 6
    yield bytes(out)


def sha256_crypt(password: bytes, salt: bytes, rounds: int = ROUNDS) -> bytes:
    """The 43 characters at once."""
    return next(step for step in crypt_steps(password, salt, rounds) if step is not None)


@dataclass(slots=True)
class Secret:
    """What is kept of one client's password."""

    plugin: str
    native: bytes = b""  # SHA1(SHA1(password))
    salt: bytes = b""
    crypted: bytes = b""  # the 43 characters
    rounds: int = ROUNDS
    twice: bytes = b""  # SHA256(SHA256(password)), known once the password has been seen

    def __repr__(self) -> str:
        """Without the hashes, so that none gets into a log."""
        return f"Secret({self.plugin})"

    @classmethod
    def parse(cls, plugin: str, text: str) -> Secret:
        """A hash as a server keeps it; raises `ValueError` where it is none.

        For `mysql_native_password` an asterisk and 40 hexadecimal digits; for `caching_sha2_password`
        the `$A$005$…` text, or its bytes in hexadecimal; `-` for no password.
        """
        if plugin not in (NATIVE, CACHING_SHA2):
            raise ValueError(f"{plugin!r} is not one of {NATIVE}, {CACHING_SHA2}")
        if text == "-":
            return cls(plugin)
        if plugin == NATIVE:
            if not re.fullmatch(r"\*[0-9A-Fa-f]{40}", text):
                raise ValueError("the hash is not * and 40 hexadecimal digits")
            return cls(plugin, native=bytes.fromhex(text[1:]))
        raw = bytes.fromhex(text) if re.fullmatch(r"([0-9A-Fa-f]{2}){70}", text) else text.encode("latin-1")
        found = re.fullmatch(rb"\$A\$([0-9A-F]{3})\$(.{20})([./0-9A-Za-z]{43})", raw, re.S)
        if found is None:
            raise ValueError("the hash is not $A$005$ with 20 bytes of salt and 43 characters")
        return cls(plugin, salt=found[2], crypted=found[3], rounds=int(found[1], 16) * 1000)

    @classmethod
    def of(cls, plugin: str, password: bytes, salt: bytes = b"0123456789abcdefghij") -> Secret:
        """The secret of a password."""
        if not password:
            return cls(plugin)
        if plugin == NATIVE:
            return cls(plugin, native=native_hash(password))
        return cls(plugin, salt=salt, crypted=sha256_crypt(password, salt))

    def stored(self) -> str:
        """The hash as `parse` takes it."""
        if self.plugin == NATIVE:
            return "*" + self.native.hex().upper() if self.native else "-"
        if not self.crypted:
            return "-"
        return (b"$A$%03X$" % (self.rounds // 1000) + self.salt + self.crypted).hex()

    @property
    def empty(self) -> bool:
        """Whether no password is asked for."""
        return not self.native and not self.crypted


class RsaKey:
    """The key pair for passwords on connections without TLS; made when it is first needed."""

    def __init__(self, pem: bytes | None = None) -> None:
        self._pem, self._key = pem, None
        self._public = b""

    def _load(self) -> Any:
        if self._key is None:
            serialization, rsa = _cryptography()
            if self._pem is not None:
                key = serialization.load_pem_private_key(self._pem, None)
                if not isinstance(key, rsa.RSAPrivateKey):
                    raise ValueError("not an RSA key")
            else:
                key = rsa.generate_private_key(public_exponent=65537, key_size=2048)
            self._key = key
            self._public = key.public_key().public_bytes(
                serialization.Encoding.PEM, serialization.PublicFormat.SubjectPublicKeyInfo
            )
        return self._key

    def check(self) -> None:
        """Read the key now; raises `ValueError` where it is none."""
        try:
            self._load()
        except (TypeError, ValueError) as error:
            raise ValueError(f"no RSA key without a passphrase, in PEM: {error}") from None

    def public(self) -> bytes:
        """The public half, in PEM."""
        self._load()
        return self._public

    def decrypt(self, data: bytes) -> bytes | None:
        """What was encrypted under the public half; None where nothing was."""
        from cryptography.hazmat.primitives import hashes
        from cryptography.hazmat.primitives.asymmetric import padding

        oaep = padding.OAEP(padding.MGF1(hashes.SHA1()), hashes.SHA1(), None)
        try:
            return bytes(self._load().decrypt(data, oaep))
        except ValueError:
            return None


def _cryptography() -> tuple[Any, Any]:
    try:
        from cryptography.hazmat.primitives import serialization
        from cryptography.hazmat.primitives.asymmetric import rsa
    except ImportError:
        raise ValueError("the RSA exchange needs cryptography: install brambleusher[mysql]") from None
    return serialization, rsa


def rsa_encrypt(password: bytes, challenge: bytes, pem: bytes) -> bytes:
    """The password, its zero byte and the challenge mixed, under a server's public key."""
    serialization, rsa = _cryptography()
    from cryptography.hazmat.primitives import hashes
    from cryptography.hazmat.primitives.asymmetric import padding

    try:
        key = serialization.load_pem_public_key(pem)
    except (ValueError, TypeError):
        raise ProtocolError("the server's public key can't be read", Errno.BAD_HANDSHAKE) from None
    if not isinstance(key, rsa.RSAPublicKey):
        raise ProtocolError("the server's public key is not an RSA key", Errno.BAD_HANDSHAKE)
    oaep = padding.OAEP(padding.MGF1(hashes.SHA1()), hashes.SHA1(), None)
    try:
        return bytes(key.encrypt(mix(password + b"\0", challenge), oaep))
    except ValueError:
        raise ProtocolError("the password is too long for the server's key", Errno.BAD_HANDSHAKE) from None


def mix(password: bytes, challenge: bytes) -> bytes:
    """A password XOR the challenge, over and over."""
    return bytes(byte ^ challenge[at % len(challenge)] for at, byte in enumerate(password))


# --- the side that lets in ----------------------------------------------------------------------


class Turn(Enum):
    """What a login needs next."""

    READ = auto()  # more bytes
    TLS = auto()  # the TLS handshake; bytes fed from then on are what comes out of it
    AGAIN = auto()  # to be called again: it gave others a turn amid a long sum
    DONE = auto()
    REFUSED = auto()  # the answer in `out` is the last


class ServerLogin:
    """Lets one client in; `step` says what it needs, `out` holds what is to be sent first.

    `find` tells a user's secret, None where there is no such user.
    """

    def __init__(
        self,
        thread: int,
        challenge: bytes,
        capabilities: int,
        find: Callable[[str], Secret | None],
        rsa: RsaKey,
        version: str,
        plugin: str = CACHING_SHA2,
        secure_only: bool = False,
    ) -> None:
        self._thread, self._offered, self._find, self._rsa = thread, capabilities, find, rsa
        self._version, self._plugin, self._secure_only = version, plugin, secure_only
        self._challenge = challenge
        self._reader = PacketReader(MAX_LOGIN, seq=1)
        self._talk: Iterator[Turn] | None = None
        self.secure = False
        self.out = b""
        self.error: Err | None = None
        self.login: Login | None = None
        self.capabilities = 0
        self.status = int(Status.AUTOCOMMIT)

    def feed(self, data: bytes) -> None:
        """Bytes from the client."""
        self._reader.feed(data)

    @property
    def begun(self) -> bool:
        """Whether the client has sent something that is not a whole message yet."""
        return self._reader.begun

    @property
    def seq(self) -> int:
        """The number of an answer to what has come so far."""
        return self._reader.answer_seq

    def rest(self) -> bytes:
        """Bytes behind the last message read, given up: a TLS handshake's, or commands sent ahead."""
        return self._reader.leftover()

    def greet(self) -> bytes:
        """The first packet."""
        greeting = Greeting(
            self._version,
            self._thread,
            self._challenge,
            self._offered,
            status=self.status,
            plugin=self._plugin,
        )
        return frame(greeting.encode(), 0)

    def change_user(self, body: bytes, capabilities: int, first: bytes, challenge: bytes) -> None:
        """Begin a login anew with a COM_CHANGE_USER that came.

        A client that can be switched to another plugin answers the new challenge; an older one has
        answered that of its first login.
        """
        self._reader = PacketReader(MAX_LOGIN, seq=1)
        self.capabilities, self.error = capabilities, None
        change = ChangeUser.parse(body, capabilities)
        anew = bool(capabilities & Capability.PLUGIN_AUTH)
        self._challenge = challenge if anew else first
        self.login = Login(
            capabilities,
            change.user,
            change.answer,
            change.database,
            "" if anew else NATIVE,
            change.collation,
        )
        self._talk = self._check(self.login)

    def step(self) -> Turn:
        """Go on as far as the bytes reach; raises `ProtocolError` for what makes no sense."""
        if self._talk is None:
            self._talk = self._enter()
        turn = next(self._talk, None)
        if turn is None:  # the error is looked at only now: the last step may have set it
            return Turn.REFUSED if self.error is not None else Turn.DONE
        return turn

    def _say(self, payload: bytes) -> None:
        self.out += frame(payload, self._reader.seq)
        self._reader.seq += 1

    def _refuse(self, errno: int, text: str) -> None:
        self.error = Err.of(errno, text)
        self._say(self.error.encode())

    def _message(self) -> Iterator[Turn]:
        while (message := self._reader.take()) is None:
            yield Turn.READ
        self._last = message

    def _enter(self) -> Iterator[Turn]:
        yield from self._message()
        request = Login.parse(self._last)
        if isinstance(request, SslRequest):
            if not self._offered & Capability.SSL:
                raise ProtocolError("TLS was not offered", Errno.BAD_HANDSHAKE)
            self.secure = True
            yield Turn.TLS
            yield from self._message()
            request = Login.parse(self._last)
            if isinstance(request, SslRequest):
                raise ProtocolError("TLS was asked for twice", Errno.BAD_HANDSHAKE)
        elif self._secure_only:
            self._refuse(
                Errno.SECURE_TRANSPORT_REQUIRED,
                "Connections using insecure transport are prohibited here",
            )
            return
        if request.capabilities & (Capability.COMPRESS | Capability.ZSTD) & ~self._offered:
            self._refuse(Errno.NOT_SUPPORTED_YET, "Compression is not supported")
            return
        self.login, self.capabilities = request, request.capabilities & self._offered
        yield from self._check(request)

    def _check(self, login: Login) -> Iterator[Turn]:
        """Ask for what the user's plugin needs, and compare."""
        secret = self._find(login.user)
        # Guards against telling who exists: an unknown name is asked as any other is, and refused.
        plugin = secret.plugin if secret is not None else self._plugin
        answer = login.answer
        if login.plugin != plugin or len(self._challenge) != SCRAMBLE:
            if not login.capabilities & Capability.PLUGIN_AUTH:
                if plugin != NATIVE:
                    self._refuse(Errno.NOT_SUPPORTED_YET, f"Client does not support {plugin}")
                    return
            else:
                self._say(auth_switch(plugin, self._challenge))
                yield from self._message()
                answer = self._last
        answer = answer.removesuffix(b"\0") if len(answer) == 1 else answer
        if plugin == NATIVE:
            good = secret is not None and native_fits(answer, self._challenge, secret.native)
        elif secret is not None and (secret.empty or not answer):
            good = secret.empty and not answer
        elif secret is not None and secret.twice and sha2_fits(answer, self._challenge, secret.twice):
            self._say(b"\x01" + FAST_OK)
            good = True
        else:
            good = False
            for turn in self._full(secret):
                if isinstance(turn, bool):
                    good = turn
                else:
                    yield turn
        if not good and self.error is None:
            using = "YES" if answer else "NO"
            self._refuse(
                Errno.ACCESS_DENIED, f"Access denied for user '{login.user}' (using password: {using})"
            )

    def _full(self, secret: Secret | None) -> Iterator[Turn | bool]:
        """Have the password sent, and compare it; the last thing yielded is the verdict."""
        self._say(b"\x01" + FULL)
        yield from self._message()
        password = self._last
        if not self.secure:
            if password == ASK_KEY:
                self._say(b"\x01" + self._rsa.public())
                yield from self._message()
                password = self._last
            clear = self._rsa.decrypt(password)
            password = b"" if clear is None else mix(clear, self._challenge)
        if not password.endswith(b"\0") or len(password) > MAX_PASSWORD:
            yield False
            return
        password = password[:-1]
        salt, rounds = (secret.salt, secret.rounds) if secret is not None else (b"0" * SCRAMBLE, ROUNDS)
        for step in crypt_steps(password, salt, rounds):
            if step is None:
                yield Turn.AGAIN
            elif secret is None or not hmac.compare_digest(step, secret.crypted):
                yield False
            else:
                secret.twice = sha2_hash(password)
                yield True

    def let_in(self) -> bytes:
        """The OK that ends a login; raises `RuntimeError` for one that did not end well."""
        if self.error is not None or self.login is None:
            raise RuntimeError("this login was refused")
        self._say(Ok(status=self.status).encode(self.capabilities))
        out, self.out = self.out, b""
        return out


# --- the side that is let in --------------------------------------------------------------------


class LoginRefused(Exception):
    """The server said no."""

    def __init__(self, error: Err) -> None:
        super().__init__(f"{error.errno} ({error.state}): {error.text}")
        self.error = error


class ClientLogin:
    """Logs in to a server; `step` says what it needs, `out` holds what is to be sent first."""

    def __init__(
        self,
        user: str,
        password: bytes,
        wanted: int,
        collation: int,
        tls: str = "off",
        database: str = "",
        public_key: bytes | None = None,
        ask_key: bool = False,
    ) -> None:
        """`tls` is off, preferred or required; `public_key` the server's, `ask_key` has it asked for."""
        self._user, self._password, self._wanted = user, password, wanted
        self._collation, self._tls, self._database = collation, tls, database
        self._key, self._ask = public_key, ask_key
        self._reader = PacketReader(MAX_LOGIN, seq=0)
        self._talk = self._enter()
        self._last = b""
        self.secure = False
        self.out = b""
        self.greeting: Greeting | None = None
        self.capabilities = 0
        self.ok: Ok | None = None

    def feed(self, data: bytes) -> None:
        """Bytes from the server."""
        self._reader.feed(data)

    @property
    def extra(self) -> bool:
        """Whether bytes are left behind the login's end."""
        return self._reader.begun

    def step(self) -> Turn:
        """Go on as far as the bytes reach; raises `LoginRefused` or `ProtocolError`."""
        return next(self._talk, Turn.DONE)

    def _say(self, payload: bytes) -> None:
        self.out += frame(payload, self._reader.seq)
        self._reader.seq += 1

    def _message(self) -> Iterator[Turn]:
        while (message := self._reader.take()) is None:
            yield Turn.READ
        if not message:
            raise ProtocolError("the server sent an empty packet during the login", Errno.BAD_HANDSHAKE)
        self._last = message

    def _enter(self) -> Iterator[Turn]:
        yield from self._message()
        if self._last[0] == 0xFF:  # an error for a greeting: too many connections, a host not let in
            raise LoginRefused(Err.parse(self._last))
        self.greeting = greeting = Greeting.parse(self._last)
        if not greeting.capabilities & Capability.PROTOCOL_41:
            raise ProtocolError("the server speaks a protocol before 4.1", Errno.BAD_HANDSHAKE)
        caps = self._wanted & greeting.capabilities
        if self._database:
            caps |= Capability.CONNECT_WITH_DB
        if self._tls != "off":
            if greeting.capabilities & Capability.SSL:
                caps |= Capability.SSL
                self._say(SslRequest(caps, MAX_PAYLOAD, self._collation).encode())
                yield Turn.TLS
                self.secure = True
            elif self._tls == "required":
                raise ProtocolError("the server offers no TLS", Errno.SECURE_TRANSPORT_REQUIRED)
        self.capabilities = caps
        plugin, challenge = greeting.plugin or NATIVE, greeting.challenge
        if plugin not in (NATIVE, CACHING_SHA2):
            plugin = CACHING_SHA2 if caps & Capability.PLUGIN_AUTH else NATIVE
        login = Login(
            caps, self._user, self._answer(plugin, challenge), self._database, plugin, self._collation,
            MAX_PAYLOAD,
        )  # fmt: skip
        self._say(login.encode())
        for _ in range(8):  # guards against a server that asks for one thing after another without end
            yield from self._message()
            first = self._last[0]
            if first == 0xFF:
                raise LoginRefused(Err.parse(self._last))
            if first == 0x00:
                self.ok = Ok.parse(self._last, caps)
                return
            if first == 0xFE:
                plugin, challenge = parse_auth_switch(self._last)
                if plugin not in (NATIVE, CACHING_SHA2):
                    raise ProtocolError(f"the server wants {plugin}", Errno.NOT_SUPPORTED_YET)
                self._say(self._answer(plugin, challenge))
            elif first == 0x01 and plugin == CACHING_SHA2:
                yield from self._more(self._last[1:], challenge)
            else:
                raise ProtocolError("the server answered a login as none is", Errno.BAD_HANDSHAKE)
        raise ProtocolError("the server's login has no end", Errno.BAD_HANDSHAKE)

    def _answer(self, plugin: str, challenge: bytes) -> bytes:
        if len(challenge) != SCRAMBLE:
            raise ProtocolError(f"a challenge of {len(challenge)} bytes", Errno.BAD_HANDSHAKE)
        return (native_answer if plugin == NATIVE else sha2_answer)(self._password, challenge)

    def _more(self, what: bytes, challenge: bytes) -> Iterator[Turn]:
        if what == FAST_OK:
            return
        if what != FULL:
            raise ProtocolError("the server asks for something unknown", Errno.BAD_HANDSHAKE)
        if self.secure:
            self._say(self._password + b"\0")
            return
        key = self._key
        if key is None:
            if not self._ask:
                # Guards against handing the password to whoever stands between: their key would do.
                raise ProtocolError("the server's public key is not known and not asked for")
            self._say(ASK_KEY)
            yield from self._message()
            if self._last[0] == 0xFF:
                raise LoginRefused(Err.parse(self._last))
            key = self._last[1:]
        self._say(rsa_encrypt(self._password, challenge, key))
