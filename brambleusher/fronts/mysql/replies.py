"""Streams a server's reply to a client and translates it to the client's capabilities.

A `ReplyRelay` takes the bytes of one reply, detects its end, and returns the bytes for the client.  The two
sides may differ in DEPRECATE_EOF and SESSION_TRACK; packets are renumbered.  Rows are forwarded without being
parsed, and a packet too long to be buffered is forwarded in pieces.
"""

from __future__ import annotations

import struct
from enum import Enum, auto

from brambleusher.fronts.mysql.constants import MAX_PAYLOAD, Capability, Command, Errno, Status
from brambleusher.fronts.mysql.messages import Eof, Err, Ok, Prepared
from brambleusher.fronts.mysql.packets import HEADER_BYTES, FieldReader, ProtocolError, frame

MAX_COLUMNS = 4096  # maximum number of columns of a MySQL table
MAX_RESULTS = 10_000  # maximum number of result sets of one statement
MAX_DEFINITION = 1024 * 1024  # maximum size in bytes of an OK packet, an ERR packet or a column definition
# Maximum size in bytes of a row packet that is buffered until it is complete; longer ones are sent in pieces.
MAX_BUFFERED_ROW_BYTES = 32 * 1024


class ReplyStage(Enum):
    """The kind of packet that a reply continues with."""

    FIRST = auto()  # an OK packet, an ERR packet or the number of columns
    COLUMNS = auto()
    COLUMNS_END = auto()  # the EOF packet after the column definitions
    ROWS = auto()
    PREPARED = auto()
    PARAMETERS = auto()
    PARAMETERS_END = auto()
    FIELDS = auto()  # column definitions up to an EOF packet, as COM_FIELD_LIST returns them
    SIMPLE = auto()  # one OK, EOF or ERR packet
    TEXT = auto()
    DONE = auto()


_FIRST_STAGE = {
    Command.QUERY: ReplyStage.FIRST,
    Command.PROCESS_INFO: ReplyStage.FIRST,
    Command.STMT_EXECUTE: ReplyStage.FIRST,
    Command.STMT_FETCH: ReplyStage.ROWS,
    Command.STMT_PREPARE: ReplyStage.PREPARED,
    Command.FIELD_LIST: ReplyStage.FIELDS,
    Command.STATISTICS: ReplyStage.TEXT,
}


class ReplyRelay:
    """Converts one reply from server bytes to client bytes."""

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
        """Create a relay for the reply to a command.

        `server` and `client` are the capabilities negotiated with each side, and `status` is the last known
        server status.  `statement` is the id of a prepared statement on the client side.  `seq` and
        `client_seq` are the sequence numbers of the first reply packet from the server and to the client;
        they depend on the number of packets of the command.
        """
        self._server, self._client, self._statement = server, client, statement
        self._server_deprecates_eof = bool(server & Capability.DEPRECATE_EOF)
        self._client_deprecates_eof = bool(client & Capability.DEPRECATE_EOF)
        self._same_ok = server & Capability.SESSION_TRACK == client & Capability.SESSION_TRACK
        self._stage = _FIRST_STAGE.get(command, ReplyStage.SIMPLE)  # type: ignore[call-overload]
        self._buffer = bytearray()
        # Sequence numbers of the next packet from the server and of the next packet to the client.
        self._server_seq, self.seq = seq, client_seq
        self._forwarding_left = 0  # remaining bytes of a packet that is forwarded in pieces
        self._continued = False  # the next packet continues the message of the previous one
        self._definitions_left = self._columns = 0  # number of definitions that have not arrived yet
        self._eof_pending = False  # the client has not received the EOF after the column definitions yet
        self._results = 0
        self.started = False  # the first byte of the reply has arrived
        self.rows = 0
        self.status = status
        self.warnings = self.last_id = 0
        self.affected = -1
        self.error: Err | None = None
        self.prepared: Prepared | None = None
        self.session_changes: list[bytes] = []  # encoded session state changes

    @property
    def done(self) -> bool:
        """Whether the reply is complete."""
        return self._stage is ReplyStage.DONE

    @property
    def packet_open(self) -> bool:
        """Whether the client has received part of a packet, so that only the rest of it may follow."""
        return self._forwarding_left > 0 or self._continued

    @property
    def has_trailing_bytes(self) -> bool:
        """Whether bytes arrived after the reply, so that the connection can't be reused."""
        return self.done and bool(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Process bytes from the server and return the resulting bytes for the client."""
        if data:
            self.started = True
        self._buffer += data
        out = bytearray()
        at, stage = 0, self._stage
        while stage is not ReplyStage.DONE:
            if self._forwarding_left:
                chunk = self._buffer[at : at + self._forwarding_left]
                if not chunk:
                    break
                out += chunk
                at += len(chunk)
                self._forwarding_left -= len(chunk)
                continue
            before = at
            if stage is ReplyStage.ROWS and not self._eof_pending:
                at = self._take_rows(at, out)
            else:
                at = self._take_one(at, out)
            stage = self._stage
            if at == before and not self._forwarding_left:
                break
        del self._buffer[:at]
        return bytes(out)

    def fail(self, error: Err) -> bytes:
        """End the reply with an error; return the packets for the client, or nothing within a packet."""
        if self.packet_open or self.done:
            return b""
        self._stage, self.error = ReplyStage.DONE, error
        return self._pending_columns_end() + self._framed(error.encode())

    # --- packets --------------------------------------------------------------------------------

    def _header(self, at: int) -> int:
        """Return the size of the payload, or -1 if the header is incomplete."""
        if len(self._buffer) - at < HEADER_BYTES:
            return -1
        (header,) = struct.unpack_from("<I", self._buffer, at)
        if header >> 24 != self._server_seq & 0xFF:
            raise ProtocolError(
                f"the node's packet is numbered {header >> 24} where {self._server_seq & 0xFF} is due",
                Errno.NET_PACKETS_OUT_OF_ORDER,
            )
        return int(header & MAX_PAYLOAD)

    def _take_rows(self, at: int, out: bytearray) -> int:
        """Forward all complete row packets in the buffer and the packet that ends the rows."""
        buffer, end, start = self._buffer, len(self._buffer), at
        in_seq, seq, rows = self._server_seq & 0xFF, self.seq & 0xFF, 0
        renumbered, eof_limit = in_seq != seq, MAX_PAYLOAD if self._server_deprecates_eof else 9
        unpack = struct.unpack_from
        while end - at > HEADER_BYTES:
            (header,) = unpack("<I", buffer, at)
            size = header & 0xFFFFFF
            first = buffer[at + HEADER_BYTES]
            if header >> 24 != in_seq or not size or self._continued or size == MAX_PAYLOAD:
                break
            if first >= 0xFE and (first == 0xFF or size < eof_limit):
                break
            if at + HEADER_BYTES + size > end:
                break
            if renumbered:
                buffer[at + 3] = seq
            at += HEADER_BYTES + size
            in_seq, seq, rows = in_seq + 1 & 0xFF, seq + 1 & 0xFF, rows + 1
        out += memoryview(buffer)[start:at]
        self._server_seq, self.seq, self.rows = in_seq, seq, self.rows + rows
        return self._take_one(at, out)

    def _take_one(self, at: int, out: bytearray) -> int:
        """Process one packet if it is complete, or the start of a long row packet."""
        size = self._header(at)
        available = len(self._buffer) - at - HEADER_BYTES
        if size < 0 or (size and not available):
            return at
        if self._stage is ReplyStage.ROWS and (self._continued or self._is_row(at, size)):
            return self._take_row(at, size, available, out)
        if size > MAX_DEFINITION:
            raise ProtocolError(f"the node sent a packet of {size} bytes where none so long can stand")
        if available < size:
            return at
        payload = bytes(self._buffer[at + HEADER_BYTES : at + HEADER_BYTES + size])
        self._server_seq += 1
        out += self._handle_packet(payload)
        return at + HEADER_BYTES + size

    def _is_row(self, at: int, size: int) -> bool:
        if not size:
            raise ProtocolError("the node sent an empty packet among its rows")
        first = self._buffer[at + HEADER_BYTES]
        return first < 0xFE or (first == 0xFE and size >= (MAX_PAYLOAD if self._server_deprecates_eof else 9))

    def _take_row(self, at: int, size: int, available: int, out: bytearray) -> int:
        if available < size <= MAX_BUFFERED_ROW_BYTES:
            return at
        if not self._continued:
            out += self._pending_columns_end()
            self.rows += 1
        out += struct.pack("<I", size | (self.seq & 0xFF) << 24)
        self._server_seq, self.seq = self._server_seq + 1, self.seq + 1
        self._continued = size == MAX_PAYLOAD
        self._forwarding_left = size
        return at + HEADER_BYTES

    def _framed(self, payload: bytes) -> bytes:
        out = frame(payload, self.seq)
        self.seq += 1
        return out

    def _pending_columns_end(self) -> bytes:
        """Return the EOF packet after the column definitions if the client still expects it."""
        if not self._eof_pending:
            return b""
        self._eof_pending = False
        return self._framed(Eof(0, self.status & ~(Status.MORE_RESULTS | Status.CURSOR_EXISTS)).encode())

    # --- packet contents ------------------------------------------------------------------------

    def _handle_packet(self, payload: bytes) -> bytes:
        first = payload[0] if payload else -1
        stage = self._stage
        if first == 0xFF and stage is not ReplyStage.COLUMNS:
            return self._err(payload)
        if stage is ReplyStage.FIRST:
            return self._first(payload, first)
        if stage is ReplyStage.ROWS:
            return self._end_of_rows(payload)
        if stage in (ReplyStage.COLUMNS, ReplyStage.PARAMETERS):
            return self._definition(payload)
        if stage in (ReplyStage.COLUMNS_END, ReplyStage.PARAMETERS_END):
            return self._end_of_definitions(payload, first)
        if stage is ReplyStage.PREPARED:
            return self._prepared(payload, first)
        if stage is ReplyStage.FIELDS:
            if first == 0xFE and len(payload) < 9 + 256:
                return self._end_of_rows(payload)
            return self._framed(payload)
        if stage is ReplyStage.TEXT:
            self._stage = ReplyStage.DONE
            return self._framed(payload)
        if first == 0x00:
            return self._ok(payload)
        if first == 0xFE:
            return self._end_of_rows(payload)
        raise ProtocolError("the node sent neither OK nor an error where one was due")

    def _err(self, payload: bytes) -> bytes:
        self.error, self._stage = Err.parse(payload), ReplyStage.DONE
        return self._pending_columns_end() + self._framed(payload)

    def _apply_status(self, status: int) -> None:
        """Record the server status, which tells whether another result set follows."""
        self.status = status
        if status & Status.MORE_RESULTS:
            self._results += 1
            if self._results > MAX_RESULTS:
                # A faulty node could announce further result sets forever.
                raise ProtocolError(f"more than {MAX_RESULTS} results")
            self._stage = ReplyStage.FIRST
        else:
            self._stage = ReplyStage.DONE

    def _apply_ok(self, ok: Ok) -> None:
        self.affected, self.warnings = ok.affected, ok.warnings
        self.last_id = ok.last_id or self.last_id
        if ok.session_changes:
            self.session_changes.append(ok.session_changes)

    def _ok(self, payload: bytes) -> bytes:
        ok = Ok.parse(payload, self._server)
        self._apply_ok(ok)
        self._apply_status(ok.status)
        return self._framed(payload if self._same_ok else ok.encode(self._client))

    def _first(self, payload: bytes, first: int) -> bytes:
        if first == 0x00:
            return self._ok(payload)
        if first == 0xFB:
            raise ProtocolError("the node asks for a file of the client's", Errno.CLIENT_LOCAL_FILES_DISABLED)
        if first == -1:
            raise ProtocolError("the node sent an empty packet where a reply begins")
        fields = FieldReader(payload)
        self._definitions_left = fields.lenenc_integer()
        if not 0 < self._definitions_left <= MAX_COLUMNS or fields.remaining:
            raise ProtocolError("the node's number of columns makes no sense")
        self._stage, self._columns, self.affected = ReplyStage.COLUMNS, self._definitions_left, -1
        return self._framed(payload)

    def _definition(self, payload: bytes) -> bytes:
        if not payload:
            raise ProtocolError("the node sent an empty definition of a column")
        self._definitions_left -= 1
        out = self._framed(payload)
        if self._definitions_left:
            return out
        if self._stage is ReplyStage.PARAMETERS:
            if not self._server_deprecates_eof:
                self._stage = ReplyStage.PARAMETERS_END
                return out
            return out + self._finish_definitions(Eof(), parameters=True)
        if not self._server_deprecates_eof:
            self._stage = ReplyStage.COLUMNS_END
            return out
        if self.prepared is not None:
            return out + self._finish_definitions(Eof(), parameters=False)
        self._stage, self._eof_pending = ReplyStage.ROWS, not self._client_deprecates_eof
        return out

    def _end_of_definitions(self, payload: bytes, first: int) -> bytes:
        if first != 0xFE or len(payload) >= 9:
            raise ProtocolError("the node's definitions have no end where one is due")
        eof = Eof.parse(payload)
        self.status = eof.status
        if self.prepared is not None:
            return self._finish_definitions(eof, self._stage is ReplyStage.PARAMETERS_END)
        if eof.status & Status.CURSOR_EXISTS:  # the client fetches the rows later, so the reply ends here
            return self._end_of_rows(payload)
        self._stage = ReplyStage.ROWS
        return b"" if self._client_deprecates_eof else self._framed(eof.encode())

    def _finish_definitions(self, eof: Eof, parameters: bool) -> bytes:
        """End the parameter or column definitions of a prepared statement."""
        assert self.prepared is not None
        out = b"" if self._client_deprecates_eof else self._framed(eof.encode())
        self._definitions_left = self.prepared.columns if parameters else 0
        self._stage = ReplyStage.COLUMNS if self._definitions_left else ReplyStage.DONE
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
            self._definitions_left, self._stage = prepared.parameters, ReplyStage.PARAMETERS
            return out
        self._definitions_left = prepared.columns
        self._stage = ReplyStage.COLUMNS if self._definitions_left else ReplyStage.DONE
        return out

    def _end_of_rows(self, payload: bytes) -> bytes:
        """Convert the packet that ends the rows to the form that the client expects."""
        if self._server_deprecates_eof:
            ok = Ok.parse(payload, self._server)
        else:
            if len(payload) >= 9:
                raise ProtocolError("the node's end of rows makes no sense")
            eof = Eof.parse(payload)
            ok = Ok(status=eof.status, warnings=eof.warnings)
        out = b""
        if ok.status & Status.CURSOR_EXISTS and not self.rows:
            self._eof_pending = False  # with a cursor, one packet ends both the columns and the reply
        else:
            out = self._pending_columns_end()
        affected = self.affected
        self._apply_ok(ok)
        self.affected = affected
        self._apply_status(ok.status)
        if self._client_deprecates_eof:
            same = self._server_deprecates_eof and self._same_ok
            return out + self._framed(payload if same else ok.encode(self._client, 0xFE))
        return out + self._framed(Eof(ok.warnings, ok.status).encode())
