"""What a server answers, read as it comes and worded for the client that waits for it.

A `ReplyRelay` takes the bytes of one reply, knows where it ends, and returns the bytes for the other
side.  The two sides may differ in DEPRECATE_EOF and SESSION_TRACK; packets are numbered anew.  Rows pass
on without being looked into, and a packet too long to be held goes out in pieces.
"""

from __future__ import annotations

import struct
from enum import Enum, auto

from brambleusher.fronts.mysql.constants import MAX_PAYLOAD, Capability, Command, Errno, Status
from brambleusher.fronts.mysql.messages import Eof, Err, Ok, Prepared
from brambleusher.fronts.mysql.packets import HEADER, Fields, ProtocolError, frame

MAX_COLUMNS = 4096  # as many as a table can have
MAX_RESULTS = 10_000  # of one statement
MAX_DEFINITION = 1024 * 1024  # an OK, an ERR or a column's definition has at most so many bytes
HELD = 32 * 1024  # a row's packet is held until it is whole up to this size; longer ones go out in pieces


class Stage(Enum):
    """What comes next."""

    FIRST = auto()  # OK, ERR or the number of columns
    COLUMNS = auto()
    COLUMNS_END = auto()  # an EOF
    ROWS = auto()
    PREPARED = auto()
    PARAMETERS = auto()
    PARAMETERS_END = auto()
    FIELDS = auto()  # columns until an EOF
    SIMPLE = auto()  # one OK, EOF or ERR
    TEXT = auto()
    DONE = auto()


_FIRST_STAGE = {
    Command.QUERY: Stage.FIRST,
    Command.PROCESS_INFO: Stage.FIRST,
    Command.STMT_EXECUTE: Stage.FIRST,
    Command.STMT_FETCH: Stage.ROWS,
    Command.STMT_PREPARE: Stage.PREPARED,
    Command.FIELD_LIST: Stage.FIELDS,
    Command.STATISTICS: Stage.TEXT,
}


class ReplyRelay:
    """One reply: bytes from the server in, bytes for the client out."""

    def __init__(
        self,
        command: int,
        server: int,
        client: int,
        statement: int | None = None,
        seq: int = 1,
        client_seq: int = 1,
        status: int = int(Status.AUTOCOMMIT),
    ) -> None:
        """`server` and `client` are the capabilities agreed on with each, `status` the last one told.

        `statement` is the id by which the client is to know what it had prepared; `seq` and `client_seq`
        number the answer's first packet, which depends on how many the command took.
        """
        self._server, self._client, self._statement = server, client, statement
        self._new = bool(server & Capability.DEPRECATE_EOF)
        self._client_new = bool(client & Capability.DEPRECATE_EOF)
        self._same_ok = server & Capability.SESSION_TRACK == client & Capability.SESSION_TRACK
        self._stage = _FIRST_STAGE.get(command, Stage.SIMPLE)  # type: ignore[call-overload]
        self._buffer = bytearray()
        self._in_seq, self.seq = seq, client_seq  # of the next packet from the server, and to the client
        self._passing = 0  # bytes still to come of a packet that goes out in pieces
        self._continued = False  # the next packet belongs to the message of the one before
        self._left = self._columns = 0  # definitions still to come
        self._eof_owed = False  # the client has not been told that the columns are over
        self._results = 0
        self.begun = False  # a byte of the reply has come
        self.rows = 0
        self.status = status
        self.warnings = self.last_id = 0
        self.affected = -1
        self.error: Err | None = None
        self.prepared: Prepared | None = None
        self.news: list[bytes] = []  # session-state news, undecoded

    @property
    def done(self) -> bool:
        """Whether the reply is whole."""
        return self._stage is Stage.DONE

    @property
    def packet_open(self) -> bool:
        """Whether the client has part of a packet, so that nothing but its rest may follow."""
        return self._passing > 0 or self._continued

    @property
    def extra(self) -> bool:
        """Whether bytes came behind the reply: its connection can't be trusted with another."""
        return self.done and bool(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Bytes from the server; returns what they make for the client."""
        if data:
            self.begun = True
        self._buffer += data
        out = bytearray()
        at, stage = 0, self._stage
        while stage is not Stage.DONE:
            if self._passing:
                part = self._buffer[at : at + self._passing]
                if not part:
                    break
                out += part
                at += len(part)
                self._passing -= len(part)
                continue
            before = at
            if stage is Stage.ROWS and not self._eof_owed:
                at = self._take_rows(at, out)
            else:
                at = self._take_one(at, out)
            stage = self._stage
            if at == before and not self._passing:
                break
        del self._buffer[:at]
        return bytes(out)

    def fail(self, error: Err) -> bytes:
        """The packet that tells the client how its reply ends; empty where a packet has begun."""
        if self.packet_open or self.done:
            return b""
        self._stage, self.error = Stage.DONE, error
        return self._ended_columns() + self._framed(error.encode())

    # --- packets --------------------------------------------------------------------------------

    def _header(self, at: int) -> int:
        """The payload's size, or -1 while the header is not whole."""
        if len(self._buffer) - at < HEADER:
            return -1
        (word,) = struct.unpack_from("<I", self._buffer, at)
        if word >> 24 != self._in_seq & 0xFF:
            raise ProtocolError(
                f"the node's packet is numbered {word >> 24} where {self._in_seq & 0xFF} is due",
                Errno.NET_PACKETS_OUT_OF_ORDER,
            )
        return int(word & MAX_PAYLOAD)

    def _take_rows(self, at: int, out: bytearray) -> int:
        """All whole rows that are here, and the packet that ends them."""
        buffer, end, start = self._buffer, len(self._buffer), at
        in_seq, seq, rows = self._in_seq & 0xFF, self.seq & 0xFF, 0
        moved, limit = in_seq != seq, MAX_PAYLOAD if self._new else 9
        unpack = struct.unpack_from
        while end - at > HEADER:
            (word,) = unpack("<I", buffer, at)
            size = word & 0xFFFFFF
            first = buffer[at + HEADER]
            if word >> 24 != in_seq or not size or self._continued or size == MAX_PAYLOAD:
                break
            if first >= 0xFE and (first == 0xFF or size < limit):
                break
            if at + HEADER + size > end:
                break
            if moved:
                buffer[at + 3] = seq
            at += HEADER + size
            in_seq, seq, rows = in_seq + 1 & 0xFF, seq + 1 & 0xFF, rows + 1
        out += memoryview(buffer)[start:at]
        self._in_seq, self.seq, self.rows = in_seq, seq, self.rows + rows
        return self._take_one(at, out)

    def _take_one(self, at: int, out: bytearray) -> int:
        """One packet, if it is here; of a long row's, its beginning."""
        size = self._header(at)
        here = len(self._buffer) - at - HEADER
        if size < 0 or (size and not here):
            return at
        if self._stage is Stage.ROWS and (self._continued or self._is_row(at, size)):
            return self._take_row(at, size, here, out)
        if size > MAX_DEFINITION:
            raise ProtocolError(f"the node sent a packet of {size} bytes where none so long can stand")
        if here < size:
            return at
        payload = bytes(self._buffer[at + HEADER : at + HEADER + size])
        self._in_seq += 1
        out += self._packet(payload)
        return at + HEADER + size

    def _is_row(self, at: int, size: int) -> bool:
        if not size:
            raise ProtocolError("the node sent an empty packet among its rows")
        first = self._buffer[at + HEADER]
        return first < 0xFE or (first == 0xFE and size >= (MAX_PAYLOAD if self._new else 9))

    def _take_row(self, at: int, size: int, here: int, out: bytearray) -> int:
        if here < size <= HELD:
            return at
        if not self._continued:
            out += self._ended_columns()
            self.rows += 1
        out += struct.pack("<I", size | (self.seq & 0xFF) << 24)
        self._in_seq, self.seq = self._in_seq + 1, self.seq + 1
        self._continued = size == MAX_PAYLOAD
        self._passing = size
        return at + HEADER

    def _framed(self, payload: bytes) -> bytes:
        out = frame(payload, self.seq)
        self.seq += 1
        return out

    def _ended_columns(self) -> bytes:
        """The older kind of end of the columns, where the client still waits for it."""
        if not self._eof_owed:
            return b""
        self._eof_owed = False
        return self._framed(Eof(0, self.status & ~(Status.MORE_RESULTS | Status.CURSOR_EXISTS)).encode())

    # --- what the packets say -------------------------------------------------------------------

    def _packet(self, payload: bytes) -> bytes:
        first = payload[0] if payload else -1
        stage = self._stage
        if first == 0xFF and stage is not Stage.COLUMNS:
            return self._err(payload)
        if stage is Stage.FIRST:
            return self._first(payload, first)
        if stage is Stage.ROWS:
            return self._end_of_rows(payload)
        if stage in (Stage.COLUMNS, Stage.PARAMETERS):
            return self._definition(payload)
        if stage in (Stage.COLUMNS_END, Stage.PARAMETERS_END):
            return self._end_of_definitions(payload, first)
        if stage is Stage.PREPARED:
            return self._prepared(payload, first)
        if stage is Stage.FIELDS:
            if first == 0xFE and len(payload) < 9 + 256:
                return self._end_of_rows(payload)
            return self._framed(payload)
        if stage is Stage.TEXT:
            self._stage = Stage.DONE
            return self._framed(payload)
        if first == 0x00:
            return self._ok(payload)
        if first == 0xFE:
            return self._end_of_rows(payload)
        raise ProtocolError("the node sent neither OK nor an error where one was due")

    def _err(self, payload: bytes) -> bytes:
        self.error, self._stage = Err.parse(payload), Stage.DONE
        return self._ended_columns() + self._framed(payload)

    def _told(self, status: int) -> None:
        """Take in a status; where more results follow, the next begins."""
        self.status = status
        if status & Status.MORE_RESULTS:
            self._results += 1
            if self._results > MAX_RESULTS:
                # Guards against a node that claims more results without end.
                raise ProtocolError(f"more than {MAX_RESULTS} results")
            self._stage = Stage.FIRST
        else:
            self._stage = Stage.DONE

    def _took(self, ok: Ok) -> None:
        self.affected, self.warnings = ok.affected, ok.warnings
        self.last_id = ok.last_id or self.last_id
        if ok.state:
            self.news.append(ok.state)

    def _ok(self, payload: bytes) -> bytes:
        ok = Ok.parse(payload, self._server)
        self._took(ok)
        self._told(ok.status)
        return self._framed(payload if self._same_ok else ok.encode(self._client))

    def _first(self, payload: bytes, first: int) -> bytes:
        if first == 0x00:
            return self._ok(payload)
        if first == 0xFB:
            raise ProtocolError("the node asks for a file of the client's", Errno.CLIENT_LOCAL_FILES_DISABLED)
        if first == -1:
            raise ProtocolError("the node sent an empty packet where a reply begins")
        fields = Fields(payload)
        self._left = fields.lenenc()
        if not 0 < self._left <= MAX_COLUMNS or fields.left:
            raise ProtocolError("the node's number of columns makes no sense")
        self._stage, self._columns, self.affected = Stage.COLUMNS, self._left, -1
        return self._framed(payload)

    def _definition(self, payload: bytes) -> bytes:
        if not payload:
            raise ProtocolError("the node sent an empty definition of a column")
        self._left -= 1
        out = self._framed(payload)
        if self._left:
            return out
        if self._stage is Stage.PARAMETERS:
            if not self._new:
                self._stage = Stage.PARAMETERS_END
                return out
            return out + self._definitions_over(Eof(), parameters=True)
        if not self._new:
            self._stage = Stage.COLUMNS_END
            return out
        if self.prepared is not None:
            return out + self._definitions_over(Eof(), parameters=False)
        self._stage, self._eof_owed = Stage.ROWS, not self._client_new
        return out

    def _end_of_definitions(self, payload: bytes, first: int) -> bytes:
        if first != 0xFE or len(payload) >= 9:
            raise ProtocolError("the node's definitions have no end where one is due")
        eof = Eof.parse(payload)
        self.status = eof.status
        if self.prepared is not None:
            return self._definitions_over(eof, self._stage is Stage.PARAMETERS_END)
        if eof.status & Status.CURSOR_EXISTS:  # the rows are to be fetched: this ends the reply
            return self._end_of_rows(payload)
        self._stage = Stage.ROWS
        return b"" if self._client_new else self._framed(eof.encode())

    def _definitions_over(self, eof: Eof, parameters: bool) -> bytes:
        """The end of a prepared statement's parameters, or of its columns."""
        assert self.prepared is not None
        out = b"" if self._client_new else self._framed(eof.encode())
        self._left = self.prepared.columns if parameters else 0
        self._stage = Stage.COLUMNS if self._left else Stage.DONE
        return out

    def _prepared(self, payload: bytes, first: int) -> bytes:
        if first != 0x00:
            raise ProtocolError("the node did not answer a prepare as one")
        self.prepared = prepared = Prepared.parse(payload)
        if self._statement is not None:
            payload = Prepared(
                self._statement, prepared.columns, prepared.parameters, prepared.warnings
            ).encode()
        out = self._framed(payload)
        if prepared.parameters:
            self._left, self._stage = prepared.parameters, Stage.PARAMETERS
            return out
        self._left = prepared.columns
        self._stage = Stage.COLUMNS if self._left else Stage.DONE
        return out

    def _end_of_rows(self, payload: bytes) -> bytes:
        """An EOF of either kind, worded as the client knows it."""
        if self._new:
            ok = Ok.parse(payload, self._server)
        else:
            if len(payload) >= 9:
                raise ProtocolError("the node's end of rows makes no sense")
            eof = Eof.parse(payload)
            ok = Ok(status=eof.status, warnings=eof.warnings)
        out = b""
        if ok.status & Status.CURSOR_EXISTS and not self.rows:
            self._eof_owed = False  # the end of the columns and of the reply are one packet here
        else:
            out = self._ended_columns()
        affected = self.affected
        self._took(ok)
        self.affected = affected
        self._told(ok.status)
        if self._client_new:
            same = self._new and self._same_ok
            return out + self._framed(payload if same else ok.encode(self._client, 0xFE))
        return out + self._framed(Eof(ok.warnings, ok.status).encode())
