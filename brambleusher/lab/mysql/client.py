"""A stand-in MySQL client that notes exactly what it was told, with a parser of its own.

It shares no code with the front's relay: what a reply is made of is read here a second time, so that one
reader's fault can't hide the other's.
"""

from __future__ import annotations

import hashlib
import struct
from dataclasses import dataclass, field

from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import Address

LONG_PASSWORD, CONNECT_WITH_DB, PROTOCOL_41, TRANSACTIONS = 1, 8, 0x200, 0x2000
SECURE, MULTI_STATEMENTS, MULTI_RESULTS, PLUGIN, DEPRECATE_EOF = 0x8000, 1 << 16, 1 << 17, 1 << 19, 1 << 24


class Gone(Exception):
    """The connection ended: within a packet, between two, or before anything came."""

    def __init__(self, within: bool) -> None:
        super().__init__("within a packet" if within else "between packets")
        self.within = within


class Nonsense(Exception):
    """What came is no reply."""


@dataclass(slots=True)
class Told:
    """All that one command was answered with."""

    ok: bool = False  # the reply has its end, and that is no error
    error: tuple[int, str] | None = None  # number and SQLSTATE, or None
    text: str = ""
    rows: list[list[str | None]] = field(default_factory=list)
    affected: int = 0
    last_id: int = 0
    gone: Gone | None = None
    late: bool = False  # nothing came in time
    nonsense: str = ""

    @property
    def words(self) -> int:
        """How many last words there were: exactly one is due."""
        return int(self.ok) + (self.error is not None)


class MysqlClient:
    """One session."""

    def __init__(self, scheduler: Scheduler, new: bool = True, multi: bool = False) -> None:
        self._scheduler, self._new = scheduler, new
        self._caps = (
            LONG_PASSWORD | CONNECT_WITH_DB | PROTOCOL_41 | TRANSACTIONS | SECURE | MULTI_RESULTS | PLUGIN
        )
        self._caps |= (DEPRECATE_EOF if new else 0) | (MULTI_STATEMENTS if multi else 0)
        self._stream: Stream | None = None
        self._buffer = bytearray()
        self._seq = 0
        self.thread = 0

    def connect(self, address: Address, user: str, password: bytes, schema: str, seconds: float) -> Told:
        """Log in."""
        told, deadline = Told(), self._scheduler.now() + seconds
        try:
            self._stream = Stream.connect(self._scheduler, address, deadline)
            self._seq = 0
            greeting = self._packet(deadline)
            if greeting[0] == 0xFF:
                return self._error(told, greeting)
            end = greeting.index(0, 1) + 1
            (self.thread,) = struct.unpack_from("<I", greeting, end)
            challenge = greeting[end + 4 : end + 12] + greeting[end + 31 : end + 43]
            once = hashlib.sha1(password).digest()
            mask = hashlib.sha1(challenge + hashlib.sha1(once).digest()).digest()
            answer = bytes(a ^ b for a, b in zip(once, mask, strict=True))
            self._send(
                struct.pack("<IIB", self._caps, 1 << 24, 45) + bytes(23) + user.encode() + b"\0"
                + bytes((len(answer),)) + answer + schema.encode() + b"\0mysql_native_password\0",
                deadline,
            )  # fmt: skip
            last = self._packet(deadline)
            if last[0] == 0xFF:
                return self._error(told, last)
            told.ok = last[0] == 0
        except TaskTimeoutError:
            told.late = True
        except Gone as gone:
            told.gone = gone
        except OSError:
            told.gone = Gone(within=False)
        return told

    def query(self, text: str, seconds: float) -> Told:
        """Ask, and take the whole reply, of several results too."""
        told = Told()
        deadline = self._scheduler.now() + seconds
        try:
            self._seq = 0
            self._send(b"\x03" + text.encode(), deadline)
            while self._result(told, deadline):
                pass
            if self._buffer:
                told.nonsense = "bytes behind the reply"
        except TaskTimeoutError:
            told.late = True
        except Gone as gone:
            told.gone = gone
        except Nonsense as error:
            told.nonsense = str(error)
        except OSError:
            told.gone = Gone(within=bool(self._buffer))
        return told

    def ask_and_leave(self, text: str, seconds: float) -> None:
        """Ask, wait for some bytes, and go without a word."""
        deadline = self._scheduler.now() + seconds
        try:
            self._seq = 0
            self._send(b"\x03" + text.encode(), deadline)
            if self._stream is not None:
                self._stream.receive(deadline)
        except (OSError, TaskTimeoutError):
            pass
        self.close()

    def close(self) -> None:
        """End the connection."""
        if self._stream is not None:
            self._stream.close()

    # --- packets --------------------------------------------------------------------------------

    def _send(self, payload: bytes, deadline: float) -> None:
        assert self._stream is not None
        self._stream.send(struct.pack("<I", len(payload) | self._seq << 24) + payload, deadline)
        self._seq += 1

    def _need(self, size: int, deadline: float, within: bool) -> None:
        assert self._stream is not None
        while len(self._buffer) < size:
            data = self._stream.receive(deadline)
            if not data:
                raise Gone(within or bool(self._buffer))
            self._buffer += data

    def _packet(self, deadline: float) -> bytes:
        self._need(4, deadline, False)
        size, seq = int.from_bytes(self._buffer[:3], "little"), self._buffer[3]
        if seq != self._seq & 0xFF:
            raise Nonsense(f"packet {seq} where {self._seq & 0xFF} is due")
        self._need(4 + size, deadline, True)
        payload = bytes(self._buffer[4 : 4 + size])
        del self._buffer[: 4 + size]
        self._seq += 1
        if not payload:
            raise Nonsense("an empty packet")
        return payload

    def _error(self, told: Told, payload: bytes) -> Told:
        told.error = int.from_bytes(payload[1:3], "little"), payload[4:9].decode("ascii", "replace")
        told.text = payload[9:].decode("utf-8", "replace")
        return told

    def _result(self, told: Told, deadline: float) -> bool:
        """One result; whether another follows."""
        first = self._packet(deadline)
        if first[0] == 0xFF:
            self._error(told, first)
            return False
        if first[0] == 0x00:
            told.affected, at = _number(first, 1)
            told.last_id, at = _number(first, at)
            return self._over(told, int.from_bytes(first[at : at + 2], "little"))
        columns, at = _number(first, 0)
        if at != len(first) or not 0 < columns < 100:
            raise Nonsense("no number of columns")
        for _ in range(columns):
            definition = self._packet(deadline)
            if definition[0] == 0xFF:
                self._error(told, definition)
                return False
            if definition[:4] != b"\x03def":
                raise Nonsense("no definition of a column")
        if not self._new:
            end = self._packet(deadline)
            if end[0] == 0xFF:
                self._error(told, end)
                return False
            if end[0] != 0xFE or len(end) != 5:
                raise Nonsense("no end of the columns")
        while True:
            row = self._packet(deadline)
            if row[0] == 0xFF:
                self._error(told, row)
                return False
            if row[0] == 0xFE and len(row) < (0xFFFFFF if self._new else 9):
                if self._new:
                    _, at = _number(row, 1)
                    _, at = _number(row, at)
                else:
                    at = 3
                return self._over(told, int.from_bytes(row[at : at + 2], "little"))
            told.rows.append(_row(row, columns))

    @staticmethod
    def _over(told: Told, status: int) -> bool:
        told.ok = not status & 8
        return not told.ok


def _number(data: bytes, at: int) -> tuple[int, int]:
    first = data[at] if at < len(data) else 0xFF
    if first < 0xFB:
        return first, at + 1
    size = {0xFC: 2, 0xFD: 3, 0xFE: 8}.get(first)
    if size is None or at + 1 + size > len(data):
        raise Nonsense("no number where one is due")
    return int.from_bytes(data[at + 1 : at + 1 + size], "little"), at + 1 + size


def _row(data: bytes, columns: int) -> list[str | None]:
    out: list[str | None] = []
    at = 0
    for _ in range(columns):
        if at < len(data) and data[at] == 0xFB:
            out.append(None)
            at += 1
            continue
        size, at = _number(data, at)
        if at + size > len(data):
            raise Nonsense("a value beyond its row")
        out.append(data[at : at + size].decode("utf-8", "replace"))
        at += size
    if at != len(data):
        raise Nonsense("a row with too many values")
    return out
