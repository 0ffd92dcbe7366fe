"""Spoilt MySQL messages by the million: `python -m brambleusher.lab.mysql.fuzz --inputs 1000000`.

Each input is a well-formed message or reply that is cut, changed, repeated or put beside noise, fed in
pieces to the reader that meets it in service.  A reader may take it or raise `ProtocolError`; anything
else, or a second without an end, is a fault.  `--atheris` has atheris steer the bytes instead.
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

OLD = int(
    Capability.PROTOCOL_41
    | Capability.PLUGIN_AUTH
    | Capability.SECURE_CONNECTION
    | Capability.PLUGIN_AUTH_LENENC
)
NEW = OLD | int(Capability.DEPRECATE_EOF | Capability.SESSION_TRACK)
ALL = NEW | int(Capability.CONNECT_WITH_DB | Capability.CONNECT_ATTRS | Capability.SSL)
HANG_SECONDS = 1.0
CHALLENGE = bytes(range(1, 21))
INTERESTING = (0, 1, 8, 9, 0x7F, 0x80, 0xFA, 0xFB, 0xFC, 0xFD, 0xFE, 0xFF)


def _stream(messages: Sequence[bytes], seq: int = 1) -> bytes:
    return b"".join(frame(message, seq + at) for at, message in enumerate(messages))


def _rows(caps: int, rows: Sequence[bytes], status: int) -> list[bytes]:
    new = caps & Capability.DEPRECATE_EOF
    middle = [] if new else [Eof(0, 2).encode()]
    last = Ok(status=status).encode(caps, 0xFE) if new else Eof(0, status).encode()
    return [encode_lenenc_integer(2), Column(b"a").encode(), Column(b"b").encode(), *middle, *rows, last]


def seeds() -> dict[str, list[bytes]]:
    """Well-formed inputs by the reader that takes them."""
    more, told = int(Status.MORE_RESULTS), int(Status.SESSION_STATE_CHANGED)
    state = encode_session_changes([(0, (b"autocommit", b"OFF")), (1, (b"shop",)), (5, (b"T_______",))])
    rows = [text_row([b"1", None]), text_row([b"x" * 300, b"y" * 70_000])]
    replies = []
    for caps in (OLD, NEW):
        ok = Ok(1, 2, 2 | told, 0, b"fine", state).encode(caps)
        replies += [
            _stream([ok]), _stream([Err.of(1064, "no").encode()]), _stream(_rows(caps, rows, 2)),
            _stream([*_rows(caps, rows[:1], 2 | more), ok]),
            _stream([Prepared(3, 0, 1).encode(), Column(b"?").encode(), Eof().encode()]),
        ]  # fmt: skip
    login = Login(ALL & ~Capability.SSL, "web", b"a" * 20, "shop", CACHING_SHA2, attributes={"_os": "x"})
    return {
        "reply": replies,
        "greeting": [
            _stream([Greeting("8.0", 3, CHALLENGE, ALL & ~Capability.SSL, plugin=plugin).encode()], 0)
            + _stream(rest, 2)
            for plugin in (NATIVE, CACHING_SHA2)
            for rest in (
                [Ok().encode(OLD)],
                [auth_switch(NATIVE, CHALLENGE), b"", Ok().encode(OLD)],
                [b"\1\3"],
            )
        ],
        "login": [_stream([login.encode(), b"a" * 32]), _stream([login.encode(), b"\2", b"x" * 256])],
        "change": [ChangeUser("web", b"a" * 20, "shop", plugin=NATIVE).encode(OLD)],
        "execute": [
            Execute(1, 0, b"\0", b"\x08\0\xfd\0\x0c\0", bytes(8) + b"\1x" + b"\4\xe8\7\1\2").encode(3)
        ],
        "row": [text_row([b"a", None, b"x" * 300]), b"\0\0" + bytes(4) + b"\1x" + b"\4\xe8\7\1\2"],
        "state": [state],
        "command": [_stream([b"\3select 1"], 0) + _stream([b"\x0e"], 0), frame(b"\3" + b"x" * 5000, 0)],
    }


class Fuzzer:
    """Draws inputs from a seed; counts those that were taken and those that were refused."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._seeds = seeds()
        self._kinds = sorted(self._seeds)
        self._key = RsaKey()
        self._secrets = {"web": Secret(NATIVE, double_sha1=bytes(20))}
        self.taken = self.refused = 0
        self.slowest = 0.0
        self._readers: dict[str, Callable[[bytes], None]] = {
            "reply": self._reply, "greeting": self._greeting, "login": self._login,
            "change": lambda data: _drop(ChangeUser.parse(data, NEW)),
            "execute": self._execute, "row": self._row, "command": self._command,
            "state": lambda data: _drop(parse_session_changes(data)),
        }  # fmt: skip

    def one(self, noise: bytes = b"") -> None:
        """One input; raises whatever a reader raises that it should not."""
        kind = self._rng.choice(self._kinds)
        data = self._spoil(self._rng.choice(self._seeds[kind]), noise)
        self.feed(kind, data)

    def feed(self, kind: str, data: bytes) -> None:
        """Give one input to a reader."""
        begun = RealSystem.monotonic()
        try:
            self._readers[kind](data)
        except (ProtocolError, LoginRejectedError):
            self.refused += 1
        else:
            self.taken += 1
        took = RealSystem.monotonic() - begun
        self.slowest = max(self.slowest, took)
        if took > HANG_SECONDS:
            raise AssertionError(f"{took:.1f} s for {kind} {data.hex()}")

    def _spoil(self, data: bytes, noise: bytes) -> bytes:
        rng, out = self._rng, bytearray(data)
        for _ in range(rng.randrange(4)):
            at = rng.randrange(len(out) + 1)
            what = rng.randrange(7)
            if what == 0:
                del out[at:]
            elif what == 1 and at < len(out):
                out[at] = rng.choice(INTERESTING)
            elif what == 2 and at < len(out):
                out[at] ^= 1 << rng.randrange(8)
            elif what == 3:
                out[at:at] = rng.randbytes(rng.randrange(1, 9))
            elif what == 4:
                del out[at : at + rng.randrange(1, 9)]
            elif what == 5:
                out += data
            else:
                out[at:at] = noise or rng.randbytes(3)
        return bytes(out)

    def _pieces(self, data: bytes) -> list[bytes]:
        rng = self._rng
        if rng.random() < 0.5 or len(data) > 4096:
            return [data]
        step = rng.randrange(1, 17)
        return [data[at : at + step] for at in range(0, len(data), step)]

    def _reply(self, data: bytes) -> None:
        command = self._rng.choice([Command.QUERY, Command.STMT_PREPARE, Command.STMT_FETCH, Command.PING])
        relay = ReplyRelay(command, self._rng.choice([OLD, NEW]), self._rng.choice([OLD, NEW]), 7)
        out, size = 0, 0
        for piece in self._pieces(data):
            out += len(relay.feed(piece))
            size += len(piece)
            if out > 2 * size + 64 * relay._server_seq:
                raise AssertionError("more came out than went in")
        relay.fail(Err.of(1158, "lost"))

    def _greeting(self, data: bytes) -> None:
        login = ClientLogin("web", b"secret", NEW, 255)
        for piece in self._pieces(data):
            login.feed(piece)
            if login.step() is not LoginStep.READ:
                return

    def _login(self, data: bytes) -> None:
        login = ServerLogin(1, CHALLENGE, NEW, self._secrets.get, self._key, "8.0")
        login.encode_greeting()
        for piece in self._pieces(data):
            login.feed(piece)
            for _ in range(1000):
                turn = login.step()
                if turn is not LoginStep.RESUME:
                    break
            if turn is not LoginStep.READ:
                return

    def _command(self, data: bytes) -> None:
        reader = PacketReader(4096)
        for piece in self._pieces(data):
            reader.feed(piece)
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


def _drop(value: object) -> None:
    """A value that only had to be made."""


def _atheris(inputs: int) -> int:
    try:
        atheris = importlib.import_module("atheris")
    except ImportError:
        print("mysql_fuzz: atheris is missing: install it where it can be had", file=sys.stderr)
        return 2
    fuzzer = Fuzzer(0)
    kinds = sorted(fuzzer._readers)

    def one(data: bytes) -> None:
        if data:
            fuzzer.feed(kinds[data[0] % len(kinds)], data[1:])

    atheris.instrument_all()
    atheris.Setup([sys.argv[0], f"-runs={inputs}", "-max_len=4096"], one)
    atheris.Fuzz()
    return 0


def main(arguments: Sequence[str] | None = None) -> int:
    """Run; 1 where an input broke a reader, with the words that bring it back."""
    words = argparse.ArgumentParser(prog="mysql_fuzz", description=__doc__)
    words.add_argument("--inputs", type=int, default=1_000_000)
    words.add_argument("--seed", type=int, default=1)
    words.add_argument("--atheris", action="store_true")
    given = words.parse_args(arguments)
    if given.atheris:
        return _atheris(given.inputs)
    fuzzer, begun = Fuzzer(given.seed), RealSystem.monotonic()
    for at in range(given.inputs):
        try:
            fuzzer.one()
        except Exception as error:
            print(f"input {at} of seed {given.seed}: {type(error).__name__}: {error}")
            return 1
    took = RealSystem.monotonic() - begun
    print(
        f"{given.inputs} inputs in {took:.0f} s: {fuzzer.taken} taken, {fuzzer.refused} refused, "
        f"none crashed; the slowest took {fuzzer.slowest * 1000:.1f} ms"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
