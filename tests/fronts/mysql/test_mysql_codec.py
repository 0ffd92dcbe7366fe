"""Tests of the MySQL codec: known messages, replies with and without DEPRECATE_EOF, and malformed input."""

from __future__ import annotations

import struct

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brambleusher.fronts.mysql.constants import (
    MAX_PAYLOAD,
    Capability,
    Command,
    Errno,
    SessionChange,
    Status,
    Type,
)
from brambleusher.fronts.mysql.messages import (
    ChangeUser,
    Column,
    Eof,
    Err,
    Execute,
    Greeting,
    Login,
    Ok,
    Prepared,
    SslRequest,
    binary_row,
    encode_session_changes,
    parse_binary_row,
    parse_session_changes,
    parse_text_row,
    text_row,
)
from brambleusher.fronts.mysql.packets import (
    FieldReader,
    PacketReader,
    ProtocolError,
    encode_lenenc_integer,
    frame,
)
from brambleusher.fronts.mysql.replies import ReplyRelay
from brambleusher.lab.mysql.fuzz import Fuzzer

OLD = int(Capability.PROTOCOL_41 | Capability.PLUGIN_AUTH)
NEW = OLD | int(Capability.DEPRECATE_EOF | Capability.SESSION_TRACK)
MORE, CURSOR = int(Status.MORE_RESULTS), int(Status.CURSOR_EXISTS)


# --- primitives ---------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("value", "data"),
    [
        (0, "00"), (250, "fa"), (251, "fcfb00"), (65535, "fcffff"), (65536, "fd000001"),
        (2**24 - 1, "fdffffff"), (2**24, "fe0000000100000000"), (2**64 - 1, "feffffffffffffffff"),
    ],
)  # fmt: skip
def test_lengths(value: int, data: str) -> None:
    assert encode_lenenc_integer(value).hex() == data
    assert FieldReader(bytes.fromhex(data)).lenenc_integer() == value


@pytest.mark.parametrize("size", [0, 1, MAX_PAYLOAD - 1, MAX_PAYLOAD, MAX_PAYLOAD + 1, 2 * MAX_PAYLOAD])
def test_messages_of_16_mb_and_more_are_split_and_joined(size: int) -> None:
    message = b"x" * size
    data = frame(message, 254)
    assert len(data) == size + 4 * (size // MAX_PAYLOAD + 1)
    reader = PacketReader(2 * MAX_PAYLOAD + 1, seq=254)
    reader.feed(data[:7])
    assert size < 4 or reader.take() is None
    reader.feed(data[7:])
    assert reader.take() == message
    assert (reader.buffered, reader.seq) == (0, 254 + size // MAX_PAYLOAD + 1)


def test_a_wrong_number_and_a_length_that_claims_too_much_are_refused_at_once() -> None:
    reader = PacketReader(1000)
    reader.feed(struct.pack("<I", 5 | 1 << 24))
    with pytest.raises(ProtocolError) as caught:
        reader.take()
    assert (caught.value.errno, caught.value.state) == (Errno.NET_PACKETS_OUT_OF_ORDER, "08S01")
    reader = PacketReader(1000)
    reader.feed(struct.pack("<I", 1001))  # the reader rejects the header before the 1,001 bytes arrive
    with pytest.raises(ProtocolError) as caught:
        reader.take()
    assert (caught.value.errno, caught.value.state) == (Errno.NET_PACKET_TOO_LARGE, "08S01")


# --- messages -----------------------------------------------------------------------------------

# The greeting of a 5.5 server in the protocol documentation.
GREETING = (
    "0a352e352e322d6d32000b00000064764840492d434a00fff708020000000000000000000000000000"
    "2a34647c635a776b345e5d3a00"
)


def test_known_bytes() -> None:
    greeting = Greeting.parse(bytes.fromhex(GREETING))
    assert (greeting.version, greeting.thread, greeting.collation) == ("5.5.2-m2", 11, 8)
    assert greeting.challenge == bytes.fromhex("64764840492d434a2a34647c635a776b345e5d3a")
    assert Ok.parse(bytes.fromhex("00000002000000"), OLD) == Ok(status=2)
    err = Err.parse(b"\xff\x48\x04#HY000No tables used")
    assert err == Err(1096, "HY000", "No tables used")
    assert err.encode() == b"\xff\x48\x04#HY000No tables used"
    assert Eof.parse(bytes.fromhex("fe00000200")) == Eof(0, 2)
    assert Eof(0, 2).encode().hex() == "fe00000200"


def test_messages_come_back_as_they_went() -> None:
    caps = int(
        Capability.PROTOCOL_41 | Capability.SECURE_CONNECTION | Capability.PLUGIN_AUTH
        | Capability.CONNECT_WITH_DB | Capability.CONNECT_ATTRS | Capability.PLUGIN_AUTH_LENENC
    )  # fmt: skip
    greeting = Greeting("8.0.36", 7, bytes(range(1, 21)), caps, 45, 2, "caching_sha2_password")
    assert Greeting.parse(greeting.encode()) == greeting
    login = Login(caps, "wéb", b"a" * 20, "shop", "mysql_native_password", 45, 1 << 24, {"_os": "x"})
    assert Login.parse(login.encode()) == login
    ssl = SslRequest(caps | Capability.SSL)
    assert Login.parse(ssl.encode()) == ssl
    change = ChangeUser("web", b"b" * 20, "shop", 45, "mysql_native_password")
    assert ChangeUser.parse(change.encode(caps), caps) == change
    column = Column(b"n", Type.LONGLONG, 63, 20, 0x81, 0, b"shop", b"t", b"t0", b"n0")
    assert Column.parse(column.encode()) == column
    assert Prepared.parse(Prepared(9, 3, 2, 1).encode()) == Prepared(9, 3, 2, 1)
    changes: list[tuple[int, tuple[bytes, ...]]] = [
        (SessionChange.SYSTEM_VARIABLES, (b"autocommit", b"OFF")), (SessionChange.SCHEMA, (b"shop",)),
        (SessionChange.TRANSACTION_STATE, (b"T_______",)), (SessionChange.GTIDS, (b"\0\1x",)),
    ]  # fmt: skip
    assert parse_session_changes(encode_session_changes(changes)) == changes
    changed = int(Status.SESSION_STATE_CHANGED)
    ok = Ok(1, 2**40, changed, 3, b"info", encode_session_changes(changes))
    assert Ok.parse(ok.encode(NEW), NEW) == ok
    assert Ok.parse(ok.encode(OLD), OLD) == Ok(1, 2**40, 0, 3, b"info")


def test_rows_and_parameters() -> None:
    values = [b"1", None, b"", b"x" * 300]
    assert parse_text_row(text_row(values), 4) == values
    types = [Type.LONG, Type.NULL, Type.VAR_STRING, Type.DATETIME, Type.DOUBLE, Type.TIME]
    encoded = [
        b"\1\0\0\0", None, encode_lenenc_integer(300) + b"y" * 300, b"\4\xe8\7\1\2", bytes(8), b"\0",
    ]  # fmt: skip
    assert parse_binary_row(binary_row(encoded), list(types)) == encoded
    execute = Execute(
        5, 0, bytes([0b10]), b"".join(bytes((kind, 0)) for kind in types),
        b"".join(value for value in encoded if value is not None),
    )  # fmt: skip
    again = Execute.parse(execute.encode(6), 6)
    assert again == execute
    assert again.types is not None
    assert again.parameters(6, again.types) == encoded
    again.values += b"z"
    with pytest.raises(ProtocolError):
        again.parameters(6, execute.types or b"")


@pytest.mark.parametrize(
    ("data", "errno"),
    [
        (b"", Errno.MALFORMED_PACKET),
        (b"\x01\x00\x00\x00", Errno.BAD_HANDSHAKE),  # capabilities of a client before MySQL 4.1
        (
            Login(OLD, "web", b"").encode()[:40].replace(b"web", b"\xff\xfe\xfd"),
            Errno.INVALID_CHARACTER_STRING,
        ),
        (Login(OLD | Capability.SECURE_CONNECTION, "web", b"x" * 20).encode()[:-30], Errno.MALFORMED_PACKET),
    ],
)
def test_logins_that_make_no_sense(data: bytes, errno: int) -> None:
    with pytest.raises(ProtocolError) as caught:
        Login.parse(data)
    assert caught.value.errno == errno


# --- replies ------------------------------------------------------------------------------------


def columns(*names: bytes) -> list[bytes]:
    return [encode_lenenc_integer(len(names)), *(Column(name).encode() for name in names)]


def result(caps: int, rows: list[bytes], status: int = 2, end: Err | None = None) -> list[bytes]:
    """Return the messages of a result set with one column, with or without DEPRECATE_EOF."""
    new = caps & Capability.DEPRECATE_EOF
    if status & CURSOR:
        last = Ok(status=status).encode(caps, 0xFE) if new else Eof(0, status).encode()
        return [*columns(b"a"), last]
    out = [*columns(b"a"), *([] if new else [Eof(0, 2).encode()]), *rows]
    if end is not None:
        return [*out, end.encode()]
    return [*out, Ok(status=status).encode(caps, 0xFE) if new else Eof(0, status).encode()]


def prepared(caps: int, statement: int, parameters: int, count: int) -> list[bytes]:
    new = caps & Capability.DEPRECATE_EOF
    out = [Prepared(statement, count, parameters).encode()]
    for size in (parameters, count):
        out += [Column(b"p").encode()] * size
        if size and not new:
            out.append(Eof(0, 0).encode())
    return out


def ok(caps: int, status: int = 2, with_changes: bool = True) -> list[bytes]:
    changes = encode_session_changes([(SessionChange.SCHEMA, (b"shop",))]) if with_changes else b""
    return [Ok(3, 4, status | Status.SESSION_STATE_CHANGED, 0, b"", changes).encode(caps)]


def stream(messages: list[bytes], seq: int = 1) -> bytes:
    out = b""
    for message in messages:
        out += frame(message, seq)
        seq += len(message) // MAX_PAYLOAD + 1
    return out


ROWS = [text_row([b"x" * n]) for n in (0, 1, 250, 251, 70_000)]
DENIED = Err(1142, "42000", "no")


def replies(caps: int, with_changes: bool = True) -> dict[str, tuple[int, list[bytes], int]]:
    """Return replies of every kind by name, each with its command, its messages and its number of rows."""
    query, execute = Command.QUERY, Command.STMT_EXECUTE
    return {
        "ok": (query, ok(caps, 2, with_changes), 0),
        "error": (query, [DENIED.encode()], 0),
        "rows": (query, result(caps, ROWS), 5),
        "no rows": (query, result(caps, []), 0),
        "error among rows": (query, result(caps, ROWS[:2], end=DENIED), 2),
        "error for rows": (query, result(caps, [], end=DENIED), 0),
        "results": (
            query,
            result(caps, ROWS[:1], 2 | MORE) + ok(caps, 2 | MORE, with_changes) + result(caps, ROWS[1:2]),
            2,
        ),
        "error in the second": (query, [*result(caps, ROWS[:1], 2 | MORE), DENIED.encode()], 1),
        "binary": (execute, result(caps, [binary_row([b"\1a"]), binary_row([None])]), 2),
        "cursor": (execute, result(caps, [], 2 | CURSOR), 0),
        "fetch": (Command.STMT_FETCH, result(caps, ROWS[:2], 2 | Status.LAST_ROW_SENT)[-3:], 2),
        "prepare": (Command.STMT_PREPARE, prepared(caps, 9, 2, 3), 0),
        "prepare without columns": (Command.STMT_PREPARE, prepared(caps, 9, 1, 0), 0),
        "prepare without parameters": (Command.STMT_PREPARE, prepared(caps, 9, 0, 1), 0),
        "prepare with neither": (Command.STMT_PREPARE, prepared(caps, 9, 0, 0), 0),
        "ping": (Command.PING, ok(caps, 2, with_changes), 0),
        "set option": (Command.SET_OPTION, result(caps, [])[-1:], 0),
    }


@pytest.mark.parametrize("server", [OLD, NEW])
@pytest.mark.parametrize("client", [OLD, NEW])
@pytest.mark.parametrize("name", sorted(replies(OLD)))
def test_each_reply_in_each_wording_cut_anywhere(name: str, server: int, client: int) -> None:
    command, messages, rows = replies(server)[name]
    data, expected = stream(messages), stream(replies(client, server == NEW)[name][1])
    for step in (1, 3, len(data)):
        if step < 3 and len(data) > 10_000:
            continue
        relay, got = ReplyRelay(command, server, client), b""
        for at in range(0, len(data), step):
            assert not relay.done
            got += relay.feed(data[at : at + step])
        assert (relay.done, relay.has_trailing_bytes, relay.rows, got == expected) == (
            True,
            False,
            rows,
            True,
        )
    assert relay.feed(b"more") == b""
    assert relay.has_trailing_bytes


def test_what_a_reply_tells() -> None:
    relay = ReplyRelay(Command.QUERY, NEW, OLD)
    relay.feed(stream(ok(NEW)))
    assert (relay.affected, relay.last_id, relay.status & 2, relay.error) == (3, 4, 2, None)
    assert [parse_session_changes(changes) for changes in relay.session_changes] == [
        [(SessionChange.SCHEMA, (b"shop",))]
    ]
    relay = ReplyRelay(Command.STMT_PREPARE, NEW, OLD, statement=77)
    out = relay.feed(stream(prepared(NEW, 9, 2, 3)))
    assert relay.prepared == Prepared(9, 3, 2)
    assert Prepared.parse(out[4:16]).statement == 77
    relay = ReplyRelay(Command.QUERY, OLD, NEW)
    relay.feed(stream([DENIED.encode()]))
    assert relay.error == DENIED


def test_a_row_over_16_mb_passes_in_pieces() -> None:
    row = text_row([b"\xfe" * (MAX_PAYLOAD + 100)])
    data = stream(result(NEW, [row, ROWS[0]]))
    relay = ReplyRelay(Command.QUERY, NEW, OLD)
    got = bytearray()
    for at in range(0, len(data), 50_000):
        got += relay.feed(data[at : at + 50_000])
        assert len(relay._buffer) <= 32 * 1024
    assert bytes(got) == stream(result(OLD, [row, ROWS[0]]))
    assert (relay.rows, relay.done) == (2, True)


def test_a_reply_that_breaks_ends_in_one_error_or_shows_that_a_packet_is_open() -> None:
    lost = Err.of(Errno.NET_READ, "lost")
    for server, client in ((OLD, NEW), (NEW, OLD)):
        data = stream(result(server, ROWS))
        for cut in [*range(0, 60), len(data) - 1]:
            relay = ReplyRelay(Command.QUERY, server, client)
            got = relay.feed(data[:cut]) + relay.fail(lost)
            reader = PacketReader(1 << 20, seq=1)
            reader.feed(got)
            messages = []
            while (message := reader.take()) is not None:
                messages.append(message)
            assert messages[-1] == lost.encode()
            assert reader.buffered == 0
        relay = ReplyRelay(Command.QUERY, server, client)
        relay.feed(data[: len(data) - 30_000])  # ends within the row of 70,000 bytes
        assert relay.packet_open
        assert relay.fail(lost) == b""


@pytest.mark.parametrize(
    ("name", "command", "messages"),
    [
        ("empty", Command.QUERY, [b""]),
        ("asks for a file", Command.QUERY, [b"\xfb/etc/passwd"]),
        ("no columns", Command.QUERY, [b"\xfc\0\0"]),
        ("columns by the million", Command.QUERY, [b"\xfd\xff\xff\x7f"]),
        ("bytes behind the count", Command.QUERY, [b"\1\1"]),
        ("an empty definition", Command.QUERY, [b"\1", b""]),
        ("no end of the definitions", Command.QUERY, [b"\1", Column(b"a").encode(), text_row([b"a"])]),
        ("an empty row", Command.QUERY, [*columns(b"a"), Eof().encode(), b""]),
        ("no answer to a prepare", Command.STMT_PREPARE, [b"\1"]),
        ("a row for a ping", Command.PING, [text_row([b"a"])]),
        ("an OK cut short", Command.PING, [b"\0\0"]),
    ],
)
def test_replies_that_make_no_sense(name: str, command: int, messages: list[bytes]) -> None:
    with pytest.raises(ProtocolError):
        ReplyRelay(command, OLD, OLD).feed(stream(messages))


def test_a_wrong_number_among_rows_and_results_without_end() -> None:
    data = bytearray(stream(result(NEW, ROWS[:3])))
    at, last = 0, 0
    while at < len(data):
        last, at = at, at + 4 + int.from_bytes(data[at : at + 3], "little")
    data[last + 3] += 1
    with pytest.raises(ProtocolError) as caught:
        ReplyRelay(Command.QUERY, NEW, NEW).feed(bytes(data))
    assert caught.value.errno == Errno.NET_PACKETS_OUT_OF_ORDER
    with pytest.raises(ProtocolError):
        ReplyRelay(Command.QUERY, NEW, NEW).feed(stream([Ok(status=MORE).encode(NEW)] * 10_001))


# --- random input -------------------------------------------------------------------------------


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.integers(0, 2**32), st.binary(max_size=40))
def test_bytes_by_chance_end_in_a_protocol_error_or_in_nothing(seed: int, noise: bytes) -> None:
    Fuzzer(seed).run_one(noise)


def test_a_few_thousand_spoilt_messages() -> None:
    fuzzer = Fuzzer(1)
    for _ in range(3000):
        fuzzer.run_one()
    assert fuzzer.rejected > 500
    assert fuzzer.accepted > 500
