"""Fuzz the MySQL protocol parsers: `python -m brambleusher.lab.mysql.fuzz --inputs 1000000`.

Each input is a well-formed message or reply that is truncated, modified, repeated or mixed with random bytes,
and is fed in chunks to the parser that reads such messages in production.  A parser may accept the input or
raise `ProtocolError`.  Any other exception, or a run of more than one second, is a bug.  With `--atheris`
the atheris fuzzer generates the inputs instead.
"""

from __future__ import annotations

import argparse
import importlib
import random
import sys
from collections.abc import Callable, Sequence

from brambleusher.fronts.mysql.auth import (
    ClientLogin,
    LoginRejectedError,
    LoginStep,
    RsaKey,
    Secret,
    ServerLogin,
)
from brambleusher.fronts.mysql.constants import CACHING_SHA2, NATIVE, Capability, Command, Status
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
    auth_switch,
    encode_session_changes,
    parse_binary_row,
    parse_session_changes,
    parse_text_row,
    text_row,
)
from brambleusher.fronts.mysql.packets import PacketReader, ProtocolError, encode_lenenc_integer, frame
from brambleusher.fronts.mysql.replies import ReplyRelay
from brambleusher.runtime.operating_system import RealSystem

WITH_EOF = int(
    Capability.PROTOCOL_41
    | Capability.PLUGIN_AUTH
    | Capability.SECURE_CONNECTION
    | Capability.PLUGIN_AUTH_LENENC
)
WITHOUT_EOF = WITH_EOF | int(Capability.DEPRECATE_EOF | Capability.SESSION_TRACK)
LOGIN_CAPABILITIES = WITHOUT_EOF | int(Capability.CONNECT_WITH_DB | Capability.CONNECT_ATTRS | Capability.SSL)
HANG_SECONDS = 1.0
CHALLENGE = bytes(range(1, 21))
INTERESTING = (0, 1, 8, 9, 0x7F, 0x80, 0xFA, 0xFB, 0xFC, 0xFD, 0xFE, 0xFF)


def _stream(messages: Sequence[bytes], seq: int = 1) -> bytes:
    return b"".join(frame(message, seq + at) for at, message in enumerate(messages))


def _rows(capabilities: int, rows: Sequence[bytes], status: int) -> list[bytes]:
    without_eof = capabilities & Capability.DEPRECATE_EOF
    middle = [] if without_eof else [Eof(0, 2).encode()]
    last = Ok(status=status).encode(capabilities, 0xFE) if without_eof else Eof(0, status).encode()
    return [encode_lenenc_integer(2), Column(b"a").encode(), Column(b"b").encode(), *middle, *rows, last]


def seeds() -> dict[str, list[bytes]]:
    """Return well-formed inputs, grouped by the parser that reads them."""
    more_results, state_changed = int(Status.MORE_RESULTS), int(Status.SESSION_STATE_CHANGED)
    state = encode_session_changes([(0, (b"autocommit", b"OFF")), (1, (b"shop",)), (5, (b"T_______",))])
    rows = [text_row([b"1", None]), text_row([b"x" * 300, b"y" * 70_000])]
    replies = []
    for capabilities in (WITH_EOF, WITHOUT_EOF):
        ok = Ok(1, 2, 2 | state_changed, 0, b"fine", state).encode(capabilities)
        replies += [
            _stream([ok]), _stream([Err.of(1064, "no").encode()]), _stream(_rows(capabilities, rows, 2)),
            _stream([*_rows(capabilities, rows[:1], 2 | more_results), ok]),
            _stream([Prepared(3, 0, 1).encode(), Column(b"?").encode(), Eof().encode()]),
        ]  # fmt: skip
    login = Login(
        LOGIN_CAPABILITIES & ~Capability.SSL, "web", b"a" * 20, "shop", CACHING_SHA2, attributes={"_os": "x"}
    )
    return {
        "reply": replies,
        "greeting": [
            _stream(
                [Greeting("8.0", 3, CHALLENGE, LOGIN_CAPABILITIES & ~Capability.SSL, plugin=plugin).encode()],
                0,
            )
            + _stream(later_packets, 2)
            for plugin in (NATIVE, CACHING_SHA2)
            for later_packets in (
                [Ok().encode(WITH_EOF)],
                [auth_switch(NATIVE, CHALLENGE), b"", Ok().encode(WITH_EOF)],
                [b"\1\3"],
            )
        ],
        "login": [_stream([login.encode(), b"a" * 32]), _stream([login.encode(), b"\2", b"x" * 256])],
        "change": [ChangeUser("web", b"a" * 20, "shop", plugin=NATIVE).encode(WITH_EOF)],
        "execute": [
            Execute(1, 0, b"\0", b"\x08\0\xfd\0\x0c\0", bytes(8) + b"\1x" + b"\4\xe8\7\1\2").encode(3)
        ],
        "row": [text_row([b"a", None, b"x" * 300]), b"\0\0" + bytes(4) + b"\1x" + b"\4\xe8\7\1\2"],
        "state": [state],
        "command": [_stream([b"\3select 1"], 0) + _stream([b"\x0e"], 0), frame(b"\3" + b"x" * 5000, 0)],
    }


class Fuzzer:
    """Generates inputs from a seed and counts how many the parsers accept and reject."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._seeds = seeds()
        self._kinds = sorted(self._seeds)
        self._key = RsaKey()
        self._secrets = {"web": Secret(NATIVE, double_sha1=bytes(20))}
        self.accepted = self.rejected = 0
        self.slowest = 0.0
        self._parsers: dict[str, Callable[[bytes], None]] = {
            "reply": self._reply, "greeting": self._greeting, "login": self._login,
            "change": lambda data: _discard(ChangeUser.parse(data, WITHOUT_EOF)),
            "execute": self._execute, "row": self._row, "command": self._command,
            "state": lambda data: _discard(parse_session_changes(data)),
        }  # fmt: skip

    def run_one(self, noise: bytes = b"") -> None:
        """Generate one input and parse it; every exception except a protocol error propagates."""
        kind = self._rng.choice(self._kinds)
        data = self._mutate(self._rng.choice(self._seeds[kind]), noise)
        self.feed(kind, data)

    def feed(self, kind: str, data: bytes) -> None:
        """Feed one input to the parser of a kind, and measure the time taken."""
        started = RealSystem.monotonic()
        try:
            self._parsers[kind](data)
        except (ProtocolError, LoginRejectedError):
            self.rejected += 1
        else:
            self.accepted += 1
        elapsed = RealSystem.monotonic() - started
        self.slowest = max(self.slowest, elapsed)
        if elapsed > HANG_SECONDS:
            raise AssertionError(f"{elapsed:.1f} s to parse {kind} {data.hex()}")

    def _mutate(self, data: bytes, noise: bytes) -> bytes:
        rng, out = self._rng, bytearray(data)
        for _ in range(rng.randrange(4)):
            at = rng.randrange(len(out) + 1)
            mutation = rng.randrange(7)
            if mutation == 0:
                del out[at:]
            elif mutation == 1 and at < len(out):
                out[at] = rng.choice(INTERESTING)
            elif mutation == 2 and at < len(out):
                out[at] ^= 1 << rng.randrange(8)
            elif mutation == 3:
                out[at:at] = rng.randbytes(rng.randrange(1, 9))
            elif mutation == 4:
                del out[at : at + rng.randrange(1, 9)]
            elif mutation == 5:
                out += data
            else:
                out[at:at] = noise or rng.randbytes(3)
        return bytes(out)

    def _split(self, data: bytes) -> list[bytes]:
        rng = self._rng
        if rng.random() < 0.5 or len(data) > 4096:
            return [data]
        step = rng.randrange(1, 17)
        return [data[at : at + step] for at in range(0, len(data), step)]

    def _reply(self, data: bytes) -> None:
        command = self._rng.choice([Command.QUERY, Command.STMT_PREPARE, Command.STMT_FETCH, Command.PING])
        relay = ReplyRelay(
            command, self._rng.choice([WITH_EOF, WITHOUT_EOF]), self._rng.choice([WITH_EOF, WITHOUT_EOF]), 7
        )
        out, size = 0, 0
        for chunk in self._split(data):
            out += len(relay.feed(chunk))
            size += len(chunk)
            if out > 2 * size + 64 * relay._server_seq:
                raise AssertionError("the relay produced more bytes than it received")
        relay.fail(Err.of(1158, "lost"))

    def _greeting(self, data: bytes) -> None:
        login = ClientLogin("web", b"secret", WITHOUT_EOF, 255)
        for chunk in self._split(data):
            login.feed(chunk)
            if login.step() is not LoginStep.READ:
                return

    def _login(self, data: bytes) -> None:
        login = ServerLogin(1, CHALLENGE, WITHOUT_EOF, self._secrets.get, self._key, "8.0")
        login.encode_greeting()
        for chunk in self._split(data):
            login.feed(chunk)
            for _ in range(1000):
                turn = login.step()
                if turn is not LoginStep.RESUME:
                    break
            if turn is not LoginStep.READ:
                return

    def _command(self, data: bytes) -> None:
        reader = PacketReader(4096)
        for chunk in self._split(data):
            reader.feed(chunk)
            while reader.take() is not None:
                reader.set_sequence()

    @staticmethod
    def _execute(data: bytes) -> None:
        execute = Execute.parse(data, 3)
        execute.parameters(3, execute.types or b"\x08\0\xfd\0\x0c\0")

    @staticmethod
    def _row(data: bytes) -> None:
        if data[:1] == b"\0":
            parse_binary_row(data, [3, 253, 12])
        else:
            parse_text_row(data, 3)


def _discard(value: object) -> None:
    """Discard a parsed value; only the parsing is under test."""


def _atheris(inputs: int) -> int:
    try:
        atheris = importlib.import_module("atheris")
    except ImportError:
        print("mysql_fuzz: the Python package atheris is not installed", file=sys.stderr)
        return 2
    fuzzer = Fuzzer(0)
    kinds = sorted(fuzzer._parsers)

    def one(data: bytes) -> None:
        if data:
            fuzzer.feed(kinds[data[0] % len(kinds)], data[1:])

    atheris.instrument_all()
    atheris.Setup([sys.argv[0], f"-runs={inputs}", "-max_len=4096"], one)
    atheris.Fuzz()
    return 0


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the fuzzer; on a bug, print the input number and seed that reproduce it and return 1."""
    parser = argparse.ArgumentParser(prog="mysql_fuzz", description=__doc__)
    parser.add_argument("--inputs", type=int, default=1_000_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--atheris", action="store_true")
    options = parser.parse_args(arguments)
    if options.atheris:
        return _atheris(options.inputs)
    fuzzer, started = Fuzzer(options.seed), RealSystem.monotonic()
    for at in range(options.inputs):
        try:
            fuzzer.run_one()
        except Exception as error:
            print(f"input {at} of seed {options.seed}: {type(error).__name__}: {error}")
            return 1
    elapsed = RealSystem.monotonic() - started
    print(
        f"{options.inputs} inputs in {elapsed:.0f} s: {fuzzer.accepted} accepted, "
        f"{fuzzer.rejected} rejected, none crashed; the slowest took {fuzzer.slowest * 1000:.1f} ms"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
