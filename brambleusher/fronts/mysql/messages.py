"""Messages of the MySQL protocol: greeting, login, OK, ERR, EOF, column definitions, rows, statements.

Each message has a parser and an encoder, so that both client and server can use them.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

from brambleusher.fronts.mysql.constants import (
    PROTOCOL_VERSION,
    SCRAMBLE,
    UTF8MB4,
    Capability,
    Errno,
    SessionChange,
    Status,
    Type,
    sqlstate,
)
from brambleusher.fronts.mysql.packets import (
    FieldReader,
    ProtocolError,
    encode_lenenc_integer,
    encode_lenenc_string,
)

MAX_ATTRIBUTES = 64 * 1024  # maximum size of the connection attributes in bytes


def decode_utf8(data: bytes, what: str) -> str:
    """Decode a name; raises `ProtocolError` naming `what` if it is not valid UTF-8."""
    try:
        return data.decode()
    except UnicodeDecodeError:
        raise ProtocolError(f"{what} is not UTF-8", Errno.INVALID_CHARACTER_STRING) from None


# --- OK, ERR, EOF -------------------------------------------------------------------------------


@dataclass(slots=True)
class Ok:
    """An OK packet; `session_changes` holds its encoded session state changes."""

    affected: int = 0
    last_id: int = 0
    status: int = 0
    warnings: int = 0
    info: bytes = b""
    session_changes: bytes = b""

    @classmethod
    def parse(cls, data: bytes, capabilities: int) -> Ok:
        """Parse an OK packet, whose header byte may be 0x00 or 0xFE."""
        fields = FieldReader(data, 1)
        ok = cls(fields.lenenc_integer(), fields.lenenc_integer(), fields.integer(2), fields.integer(2))
        if capabilities & Capability.SESSION_TRACK:
            if fields.remaining:
                ok.info = fields.lenenc_string()
            if ok.status & Status.SESSION_STATE_CHANGED and fields.remaining:
                ok.session_changes = fields.lenenc_string()
        else:
            ok.info = fields.take_remaining()
        return ok

    def encode(self, capabilities: int, header: int = 0) -> bytes:
        """Encode the packet; `header` is 0xFE if the packet ends the rows of a result set."""
        status, tail = self.status, self.info
        if capabilities & Capability.SESSION_TRACK:
            changes = self.session_changes if status & Status.SESSION_STATE_CHANGED else b""
            if not changes:
                status &= ~Status.SESSION_STATE_CHANGED
            tail = encode_lenenc_string(self.info) if self.info or changes else b""
            tail += encode_lenenc_string(changes) if changes else b""
        else:
            status &= ~Status.SESSION_STATE_CHANGED
        return (
            bytes((header,))
            + encode_lenenc_integer(self.affected)
            + encode_lenenc_integer(self.last_id)
            + struct.pack("<HH", status & 0xFFFF, self.warnings)
            + tail
        )


@dataclass(slots=True)
class Err:
    """An ERR packet."""

    errno: int
    state: str
    text: str

    @classmethod
    def of(cls, errno: int, text: str) -> Err:
        """Create an error with the SQLSTATE of its error number."""
        return cls(int(errno), sqlstate(errno), text)

    @classmethod
    def parse(cls, data: bytes, protocol_41: bool = True) -> Err:
        """Parse an ERR packet; before the login it may lack the SQLSTATE."""
        fields = FieldReader(data, 1)
        errno, state = fields.integer(2), "HY000"
        if protocol_41 and fields.remaining and data[fields.at : fields.at + 1] == b"#":
            fields.at += 1
            state = fields.take(5).decode("ascii", "replace")
        return cls(errno, state, fields.take_remaining().decode("utf-8", "replace"))

    def encode(self) -> bytes:
        """Encode the packet."""
        # The SQLSTATE has exactly five characters on the wire.
        state = self.state.encode("ascii", "replace")[:5].ljust(5, b"0")
        return b"\xff" + struct.pack("<H", self.errno) + b"#" + state + self.text.encode()[:512]


@dataclass(slots=True)
class Eof:
    """An EOF packet, as sent without the capability DEPRECATE_EOF."""

    warnings: int = 0
    status: int = 0

    @classmethod
    def parse(cls, data: bytes) -> Eof:
        """Parse an EOF packet."""
        fields = FieldReader(data, 1)
        return cls(fields.integer(2), fields.integer(2)) if fields.remaining else cls()

    def encode(self) -> bytes:
        """Encode the packet."""
        status = self.status & ~Status.SESSION_STATE_CHANGED & 0xFFFF
        return b"\xfe" + struct.pack("<HH", self.warnings, status)


_ONE_TEXT = frozenset(
    {
        SessionChange.SCHEMA,
        SessionChange.STATE_CHANGE,
        SessionChange.TRANSACTION_CHARACTERISTICS,
        SessionChange.TRANSACTION_STATE,
    }
)


def parse_session_changes(data: bytes) -> list[tuple[int, tuple[bytes, ...]]]:
    """Parse session state changes into pairs of a type and its strings.

    A change of unknown type has its raw bytes as its only string.
    """
    fields = FieldReader(data)
    out: list[tuple[int, tuple[bytes, ...]]] = []
    while fields.remaining:
        kind, body = fields.integer(1), FieldReader(fields.lenenc_string())
        if kind == SessionChange.SYSTEM_VARIABLES:
            values = []
            while body.remaining:
                values += [body.lenenc_string(), body.lenenc_string()]
            out.append((kind, tuple(values)))
        elif (
            kind
            in (SessionChange.SCHEMA, SessionChange.STATE_CHANGE, SessionChange.TRANSACTION_CHARACTERISTICS)
            or kind == SessionChange.TRANSACTION_STATE
        ):
            out.append((kind, (body.lenenc_string(),)))
        else:
            out.append((kind, (body.take_remaining(),)))
    return out


def encode_session_changes(changes: list[tuple[int, tuple[bytes, ...]]]) -> bytes:
    """Encode session state changes, given as pairs of a type and its strings."""
    out = b""
    for kind, values in changes:
        is_raw = kind == SessionChange.GTIDS or kind > SessionChange.TRANSACTION_STATE
        body = b"".join(values if is_raw else map(encode_lenenc_string, values))
        out += bytes((kind,)) + encode_lenenc_string(body)
    return out


# --- greeting and login -------------------------------------------------------------------------


@dataclass(slots=True)
class Greeting:
    """The first packet of a server (handshake version 10)."""

    version: str
    thread: int
    challenge: bytes
    capabilities: int
    collation: int = UTF8MB4
    status: int = int(Status.AUTOCOMMIT)
    plugin: str = ""

    @classmethod
    def parse(cls, data: bytes) -> Greeting:
        """Parse a greeting; raises `ProtocolError` for another version or a malformed packet."""
        fields = FieldReader(data)
        version = fields.integer(1)
        if version != PROTOCOL_VERSION:
            raise ProtocolError(f"a greeting of version {version}", Errno.BAD_HANDSHAKE)
        version_name, thread, challenge = fields.null_terminated_string(), fields.integer(4), fields.take(8)
        fields.take(1)
        capabilities = fields.integer(2)
        if not fields.remaining:
            return cls(version_name.decode("latin-1"), thread, challenge, capabilities)
        collation, status = fields.integer(1), fields.integer(2)
        capabilities |= fields.integer(2) << 16
        size = fields.integer(1)
        fields.take(10)
        if capabilities & Capability.SECURE_CONNECTION:
            challenge += fields.take(max(13, size - 8))[:12]
        plugin = b""
        if capabilities & Capability.PLUGIN_AUTH:
            # Some old servers omit the terminating zero byte.
            plugin = fields.take_remaining().split(b"\0", 1)[0]
        return cls(
            version_name.decode("latin-1"), thread, challenge, capabilities, collation, status,
            decode_utf8(plugin, "the name of the server's plugin"),
        )  # fmt: skip

    def encode(self) -> bytes:
        """Encode the packet."""
        low, high = self.capabilities & 0xFFFF, self.capabilities >> 16
        return (
            bytes((PROTOCOL_VERSION,))
            + self.version.encode("latin-1") + b"\0"
            + struct.pack("<I", self.thread & 0xFFFFFFFF) + self.challenge[:8] + b"\0"
            + struct.pack("<HBHHB", low, self.collation & 0xFF, self.status, high, SCRAMBLE + 1)
            + bytes(10) + self.challenge[8:].ljust(12, b"\0") + b"\0"
            + self.plugin.encode() + b"\0"
        )  # fmt: skip


@dataclass(slots=True)
class SslRequest:
    """The truncated login packet that requests TLS."""

    capabilities: int
    max_packet: int = 1 << 24
    collation: int = UTF8MB4

    def encode(self) -> bytes:
        """Encode the packet."""
        return struct.pack("<IIB", self.capabilities, self.max_packet, self.collation & 0xFF) + bytes(23)


@dataclass(slots=True)
class Login:
    """A client's login (HandshakeResponse41)."""

    capabilities: int
    user: str
    auth_response: bytes  # response to the authentication challenge
    database: str = ""
    plugin: str = ""
    collation: int = UTF8MB4
    max_packet: int = 1 << 24
    attributes: dict[str, str] = field(default_factory=dict)

    @classmethod
    def parse(cls, data: bytes) -> Login | SslRequest:
        """Parse a login packet, or the TLS request that may precede it."""
        fields = FieldReader(data)
        capabilities = fields.integer(2)
        if not capabilities & Capability.PROTOCOL_41:
            raise ProtocolError("a client of a protocol before 4.1", Errno.BAD_HANDSHAKE)
        capabilities |= fields.integer(2) << 16
        max_packet, collation = fields.integer(4), fields.integer(1)
        fields.take(23)
        if capabilities & Capability.SSL and not fields.remaining:
            return SslRequest(capabilities, max_packet, collation)
        user = decode_utf8(fields.null_terminated_string(), "the user's name")
        if capabilities & Capability.PLUGIN_AUTH_LENENC:
            answer = fields.lenenc_string()
        elif capabilities & Capability.SECURE_CONNECTION:
            answer = fields.take(fields.integer(1))
        else:
            answer = fields.null_terminated_string()
        database = plugin = ""
        if capabilities & Capability.CONNECT_WITH_DB:
            database = decode_utf8(
                fields.null_terminated_string() if b"\0" in data[fields.at :] else fields.take_remaining(),
                "the database",
            )
        if capabilities & Capability.PLUGIN_AUTH and fields.remaining:
            plugin = decode_utf8(
                fields.null_terminated_string() if b"\0" in data[fields.at :] else fields.take_remaining(),
                "the plugin's name",
            )
        attributes = {}
        if capabilities & Capability.CONNECT_ATTRS and fields.remaining:
            attributes = _attributes(fields)
        return cls(capabilities, user, answer, database, plugin, collation, max_packet, attributes)

    def encode(self) -> bytes:
        """Encode the packet."""
        caps = self.capabilities
        out = struct.pack("<IIB", caps, self.max_packet, self.collation & 0xFF) + bytes(23)
        out += self.user.encode() + b"\0"
        out += (
            encode_lenenc_string(self.auth_response)
            if caps & Capability.PLUGIN_AUTH_LENENC
            else _short_string(self.auth_response)
        )
        if caps & Capability.CONNECT_WITH_DB:
            out += self.database.encode() + b"\0"
        if caps & Capability.PLUGIN_AUTH:
            out += self.plugin.encode() + b"\0"
        if caps & Capability.CONNECT_ATTRS:
            pairs = b"".join(
                encode_lenenc_string(name.encode()) + encode_lenenc_string(value.encode())
                for name, value in self.attributes.items()
            )
            out += encode_lenenc_string(pairs)
        return out


def _short_string(answer: bytes) -> bytes:
    if len(answer) > 255:
        raise ProtocolError("an answer of more than 255 bytes")
    return bytes((len(answer),)) + answer


def _attributes(fields: FieldReader) -> dict[str, str]:
    body = FieldReader(fields.lenenc_string())
    if len(body.data) > MAX_ATTRIBUTES:
        raise ProtocolError("more than 64 KB of attributes")
    out = {}
    while body.remaining:
        name = body.lenenc_string().decode("utf-8", "replace")
        out[name] = body.lenenc_string().decode("utf-8", "replace")
    return out


@dataclass(slots=True)
class ChangeUser:
    """The body of COM_CHANGE_USER."""

    user: str
    auth_response: bytes
    database: str
    collation: int = UTF8MB4
    plugin: str = ""

    @classmethod
    def parse(cls, data: bytes, capabilities: int) -> ChangeUser:
        """Parse a COM_CHANGE_USER command, including the command byte."""
        fields = FieldReader(data, 1)
        user = decode_utf8(fields.null_terminated_string(), "the user's name")
        answer = fields.take(fields.integer(1))
        database = decode_utf8(fields.null_terminated_string(), "the database")
        out = cls(user, answer, database)
        if fields.remaining >= 2:
            out.collation = fields.integer(2)
        if capabilities & Capability.PLUGIN_AUTH and fields.remaining:
            name = fields.null_terminated_string() if b"\0" in data[fields.at :] else fields.take_remaining()
            out.plugin = decode_utf8(name, "the plugin's name")
        return out

    def encode(self, capabilities: int) -> bytes:
        """Encode the command, including the command byte."""
        out = (
            b"\x11"
            + self.user.encode()
            + b"\0"
            + _short_string(self.auth_response)
            + self.database.encode()
            + b"\0"
        )
        out += struct.pack("<H", self.collation)
        if capabilities & Capability.PLUGIN_AUTH:
            out += self.plugin.encode() + b"\0"
        return out


def auth_switch(plugin: str, challenge: bytes) -> bytes:
    """Encode a request to authenticate with another plugin."""
    return b"\xfe" + plugin.encode() + b"\0" + challenge + b"\0"


def parse_auth_switch(data: bytes) -> tuple[str, bytes]:
    """Parse an auth switch request into plugin and challenge.

    A request without data means the plugin `mysql_old_password` of MySQL before 4.1.
    """
    if len(data) == 1:
        return "mysql_old_password", b""
    fields = FieldReader(data, 1)
    plugin = decode_utf8(fields.null_terminated_string(), "the plugin's name")
    return plugin, fields.take_remaining().removesuffix(b"\0")


# --- columns and rows ---------------------------------------------------------------------------


@dataclass(slots=True)
class Column:
    """A column's definition."""

    name: bytes
    type: int = int(Type.VAR_STRING)
    collation: int = UTF8MB4
    length: int = 1024
    flags: int = 0
    decimals: int = 0
    schema: bytes = b""
    table: bytes = b""
    org_table: bytes = b""
    org_name: bytes = b""
    catalog: bytes = b"def"

    @classmethod
    def parse(cls, data: bytes) -> Column:
        """Parse a column definition."""
        fields = FieldReader(data)
        catalog, schema, table, org_table, name, org_name = (fields.lenenc_string() for _ in range(6))
        body = FieldReader(fields.lenenc_string())
        collation, length, kind = body.integer(2), body.integer(4), body.integer(1)
        return cls(
            name,
            kind,
            collation,
            length,
            body.integer(2),
            body.integer(1),
            schema,
            table,
            org_table,
            org_name,
            catalog,
        )

    def encode(self) -> bytes:
        """Encode the definition."""
        names = (self.catalog, self.schema, self.table, self.org_table, self.name, self.org_name)
        tail = struct.pack("<HIBHBH", self.collation, self.length, self.type, self.flags, self.decimals, 0)
        return b"".join(map(encode_lenenc_string, names)) + encode_lenenc_string(tail)


def text_row(values: list[bytes | None]) -> bytes:
    """Encode a row of the text protocol."""
    return b"".join(b"\xfb" if value is None else encode_lenenc_string(value) for value in values)


def parse_text_row(data: bytes, columns: int) -> list[bytes | None]:
    """Parse a row of the text protocol; raises `ProtocolError` if it does not have `columns` values."""
    fields = FieldReader(data)
    out: list[bytes | None] = []
    for _ in range(columns):
        if fields.remaining and data[fields.at] == 0xFB:
            fields.at += 1
            out.append(None)
        else:
            out.append(fields.lenenc_string())
    if fields.remaining:
        raise ProtocolError("a row with more values than columns")
    return out


_FIXED = {Type.TINY: 1, Type.SHORT: 2, Type.YEAR: 2, Type.LONG: 4, Type.INT24: 4, Type.FLOAT: 4,
          Type.LONGLONG: 8, Type.DOUBLE: 8}  # fmt: skip
_DATES = frozenset({Type.DATE, Type.DATETIME, Type.TIMESTAMP, Type.TIME})


def _binary_value(fields: FieldReader, kind: int) -> bytes:
    """Read the bytes of one binary protocol value, including the length prefix of a date or string."""
    size = _FIXED.get(kind)  # type: ignore[call-overload]
    if size is not None:
        return fields.take(size)
    at = fields.at
    if kind in _DATES:
        fields.take(fields.integer(1))
    else:
        fields.lenenc_string()
    return fields.data[at : fields.at]


def binary_row(values: list[bytes | None]) -> bytes:
    """Encode a row of the binary protocol from values that are already encoded for their types."""
    nulls = bytearray((len(values) + 9) // 8)
    for at, value in enumerate(values):
        if value is None:
            nulls[(at + 2) // 8] |= 1 << (at + 2) % 8
    return b"\0" + bytes(nulls) + b"".join(value for value in values if value is not None)


def parse_binary_row(data: bytes, types: list[int]) -> list[bytes | None]:
    """Parse a row of the binary protocol into values that are still encoded for their types."""
    fields = FieldReader(data, 1)
    nulls = fields.take((len(types) + 9) // 8)
    out = [
        None if nulls[(at + 2) // 8] >> (at + 2) % 8 & 1 else _binary_value(fields, kind)
        for at, kind in enumerate(types)
    ]
    if fields.remaining:
        raise ProtocolError("a row with more values than columns")
    return out


# --- prepared statements ------------------------------------------------------------------------


@dataclass(slots=True)
class Prepared:
    """The first response packet to COM_STMT_PREPARE."""

    statement: int
    columns: int
    parameters: int
    warnings: int = 0

    @classmethod
    def parse(cls, data: bytes) -> Prepared:
        """Parse a COM_STMT_PREPARE response."""
        fields = FieldReader(data, 1)
        statement, columns, parameters = fields.integer(4), fields.integer(2), fields.integer(2)
        warnings = 0
        if fields.remaining >= 3:
            fields.take(1)
            warnings = fields.integer(2)
        return cls(statement, columns, parameters, warnings)

    def encode(self) -> bytes:
        """Encode the packet."""
        return b"\0" + struct.pack("<IHHBH", self.statement, self.columns, self.parameters, 0, self.warnings)


@dataclass(slots=True)
class Execute:
    """A COM_STMT_EXECUTE command, with the parameter types separate from the encoded values."""

    statement: int
    flags: int = 0
    nulls: bytes = b""
    types: bytes | None = None  # two bytes per parameter; None reuses the types of the previous execution
    values: bytes = b""

    @classmethod
    def parse(cls, data: bytes, parameters: int) -> Execute:
        """Parse the command for a statement with the given number of parameters."""
        fields = FieldReader(data, 1)
        out = cls(fields.integer(4), fields.integer(1))
        fields.take(4)  # skips the iteration count, which is always 1
        if parameters:
            out.nulls = fields.take((parameters + 7) // 8)
            if fields.integer(1):
                out.types = fields.take(2 * parameters)
            out.values = fields.take_remaining()
        return out

    def encode(self, parameters: int) -> bytes:
        """Encode the command, including the command byte."""
        out = b"\x17" + struct.pack("<IBI", self.statement, self.flags, 1)
        if parameters:
            out += self.nulls + (b"\0" if self.types is None else b"\1" + self.types) + self.values
        return out

    def parameters(self, count: int, types: bytes, long: frozenset[int] = frozenset()) -> list[bytes | None]:
        """Split the parameter values, each still encoded; values sent as long data are empty.

        Raises:
            ProtocolError: The values do not match the types.
        """
        fields = FieldReader(self.values)
        out: list[bytes | None] = []
        for at in range(count):
            if self.nulls[at // 8] >> at % 8 & 1 or types[2 * at] == Type.NULL:
                out.append(None)
            elif at in long:
                out.append(b"")
            else:
                out.append(_binary_value(fields, types[2 * at]))
        if fields.remaining:
            raise ProtocolError("more values than parameters")
        return out
