"""A MySQL client for tests that records every reply exactly, with its own protocol parser.

The parser shares no code with the reply relay of the MySQL front, so that a bug in one of the two can't hide
the same bug in the other.
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


class ConnectionClosed(Exception):
    """The server closed the connection; `within` says whether a packet was incomplete at that point."""

    def __init__(self, within: bool) -> None:
        super().__init__("within a packet" if within else "between packets")
        self.within = within


class InvalidReply(Exception):
    """The received bytes are not a valid reply of the MySQL protocol."""


@dataclass(slots=True)
class CommandReply:
    """The complete reply to one command, or the reason why there is none."""

    ok: bool = False  # the reply is complete and is not an error
    error: tuple[int, str] | None = None  # MySQL error number and SQLSTATE of an ERR packet
    text: str = ""
    rows: list[list[str | None]] = field(default_factory=list)
    affected: int = 0
    last_id: int = 0
    connection_closed: ConnectionClosed | None = None
    late: bool = False  # no complete reply arrived before the deadline
    protocol_error: str = ""

    @property
    def endings(self) -> int:
        """Return how many endings (success or error) the reply has; a correct reply has exactly one."""
        return int(self.ok) + (self.error is not None)


class MysqlClient:
    """One client session; `deprecate_eof` and `multi_statements` set capability flags."""

    def __init__(
        self, scheduler: Scheduler, deprecate_eof: bool = True, multi_statements: bool = False
    ) -> None:
        self._scheduler, self._deprecate_eof = scheduler, deprecate_eof
        self._capabilities = (
            LONG_PASSWORD | CONNECT_WITH_DB | PROTOCOL_41 | TRANSACTIONS | SECURE | MULTI_RESULTS | PLUGIN
        )
        self._capabilities |= (DEPRECATE_EOF if deprecate_eof else 0) | (
            MULTI_STATEMENTS if multi_statements else 0
        )
        self._stream: Stream | None = None
        self._buffer = bytearray()
        self._seq = 0
        self.thread = 0

    def connect(
        self, address: Address, user: str, password: bytes, schema: str, seconds: float
    ) -> CommandReply:
        """Open the connection and log in with `mysql_native_password`; `seconds` is the time limit."""
        reply, deadline = CommandReply(), self._scheduler.now() + seconds
        try:
            self._stream = Stream.connect(self._scheduler, address, deadline)
            self._seq = 0
            greeting = self._packet(deadline)
            if greeting[0] == 0xFF:
                return self._error(reply, greeting)
            version_end = greeting.index(0, 1) + 1
            (self.thread,) = struct.unpack_from("<I", greeting, version_end)
            challenge = (
                greeting[version_end + 4 : version_end + 12] + greeting[version_end + 31 : version_end + 43]
            )
            password_hash = hashlib.sha1(password).digest()
            mask = hashlib.sha1(challenge + hashlib.sha1(password_hash).digest()).digest()
            auth_response = bytes(a ^ b for a, b in zip(password_hash, mask, strict=True))
            self._send(
                struct.pack("<IIB", self._capabilities, 1 << 24, 45) + bytes(23) + user.encode() + b"\0"
                + bytes((len(auth_response),)) + auth_response + schema.encode()
                + b"\0mysql_native_password\0",
                deadline,
            )  # fmt: skip
            last = self._packet(deadline)
            if last[0] == 0xFF:
                return self._error(reply, last)
            reply.ok = last[0] == 0
        except TaskTimeoutError:
            reply.late = True
        except ConnectionClosed as closed:
            reply.connection_closed = closed
        except OSError:
            reply.connection_closed = ConnectionClosed(within=False)
        return reply

    def query(self, text: str, seconds: float) -> CommandReply:
        """Send a query and read its complete reply, including multiple result sets."""
        reply = CommandReply()
        deadline = self._scheduler.now() + seconds
        try:
            self._seq = 0
            self._send(b"\x03" + text.encode(), deadline)
            while self._result(reply, deadline):
                pass
            if self._buffer:
                reply.protocol_error = "unexpected bytes after the end of the reply"
        except TaskTimeoutError:
            reply.late = True
        except ConnectionClosed as closed:
            reply.connection_closed = closed
        except InvalidReply as error:
            reply.protocol_error = str(error)
        except OSError:
            reply.connection_closed = ConnectionClosed(within=bool(self._buffer))
        return reply

    def query_and_disconnect(self, text: str, seconds: float) -> None:
        """Send a query, wait for the first bytes of its reply, and close without sending COM_QUIT."""
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
        """Close the connection without sending COM_QUIT."""
        if self._stream is not None:
            self._stream.close()

    # --- packets --------------------------------------------------------------------------------

    def _send(self, payload: bytes, deadline: float) -> None:
        assert self._stream is not None
        self._stream.send(struct.pack("<I", len(payload) | self._seq << 24) + payload, deadline)
        self._seq += 1

    def _fill_buffer(self, size: int, deadline: float, within: bool) -> None:
        assert self._stream is not None
        while len(self._buffer) < size:
            data = self._stream.receive(deadline)
            if not data:
                raise ConnectionClosed(within or bool(self._buffer))
            self._buffer += data

    def _packet(self, deadline: float) -> bytes:
        self._fill_buffer(4, deadline, False)
        size, seq = int.from_bytes(self._buffer[:3], "little"), self._buffer[3]
        if seq != self._seq & 0xFF:
            raise InvalidReply(f"packet number {seq} where {self._seq & 0xFF} was expected")
        self._fill_buffer(4 + size, deadline, True)
        payload = bytes(self._buffer[4 : 4 + size])
        del self._buffer[: 4 + size]
        self._seq += 1
        if not payload:
            raise InvalidReply("empty packet")
        return payload

    def _error(self, reply: CommandReply, payload: bytes) -> CommandReply:
        reply.error = int.from_bytes(payload[1:3], "little"), payload[4:9].decode("ascii", "replace")
        reply.text = payload[9:].decode("utf-8", "replace")
        return reply

    def _result(self, reply: CommandReply, deadline: float) -> bool:
        """Read one result; return whether another one follows."""
        first = self._packet(deadline)
        if first[0] == 0xFF:
            self._error(reply, first)
            return False
        if first[0] == 0x00:
            reply.affected, at = _read_lenenc(first, 1)
            reply.last_id, at = _read_lenenc(first, at)
            return self._finish(reply, int.from_bytes(first[at : at + 2], "little"))
        columns, at = _read_lenenc(first, 0)
        if at != len(first) or not 0 < columns < 100:
            raise InvalidReply("invalid column count")
        for _ in range(columns):
            definition = self._packet(deadline)
            if definition[0] == 0xFF:
                self._error(reply, definition)
                return False
            if definition[:4] != b"\x03def":
                raise InvalidReply("invalid column definition")
        if not self._deprecate_eof:
            eof = self._packet(deadline)
            if eof[0] == 0xFF:
                self._error(reply, eof)
                return False
            if eof[0] != 0xFE or len(eof) != 5:
                raise InvalidReply("missing EOF packet after the column definitions")
        while True:
            row = self._packet(deadline)
            if row[0] == 0xFF:
                self._error(reply, row)
                return False
            if row[0] == 0xFE and len(row) < (0xFFFFFF if self._deprecate_eof else 9):
                if self._deprecate_eof:
                    _, at = _read_lenenc(row, 1)
                    _, at = _read_lenenc(row, at)
                else:
                    at = 3
                return self._finish(reply, int.from_bytes(row[at : at + 2], "little"))
            reply.rows.append(_parse_row(row, columns))

    @staticmethod
    def _finish(reply: CommandReply, status: int) -> bool:
        reply.ok = not status & 8
        return not reply.ok


def _read_lenenc(data: bytes, at: int) -> tuple[int, int]:
    first = data[at] if at < len(data) else 0xFF
    if first < 0xFB:
        return first, at + 1
    size = {0xFC: 2, 0xFD: 3, 0xFE: 8}.get(first)
    if size is None or at + 1 + size > len(data):
        raise InvalidReply("invalid length-encoded integer")
    return int.from_bytes(data[at + 1 : at + 1 + size], "little"), at + 1 + size


def _parse_row(data: bytes, columns: int) -> list[str | None]:
    out: list[str | None] = []
    at = 0
    for _ in range(columns):
        if at < len(data) and data[at] == 0xFB:
            out.append(None)
            at += 1
            continue
        size, at = _read_lenenc(data, at)
        if at + size > len(data):
            raise InvalidReply("value extends past the end of its row")
        out.append(data[at : at + size].decode("utf-8", "replace"))
        at += size
    if at != len(data):
        raise InvalidReply("row has bytes after its last value")
    return out
