"""Session state of a MySQL client: settings, prepared statements, and pins to one node connection.

The module uses no sockets.  `Session` processes each statement and its reply, and determines whether the next
statement may run on another connection.  If not, the session is pinned to its connection.  The state of a
session can be exported as a JSON object and restored from it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from brambleusher.fronts.mysql.constants import (
    CURSOR_READ_ONLY,
    UNSAFE_COLLATIONS,
    Capability,
    Errno,
    Status,
)
from brambleusher.fronts.mysql.messages import Execute, Prepared
from brambleusher.fronts.mysql.packets import ProtocolError
from brambleusher.fronts.mysql.replies import ReplyRelay
from brambleusher.fronts.mysql.statements import PinReason, Statement, StatementKind

MAX_PREPARED = 1024  # maximum number of prepared statements of one session
MAX_PREPARED_TEXT = 256 * 1024  # maximum size in bytes of the text of a prepared statement
MAX_SETTINGS, MAX_SETTINGS_BYTES = 64, 16 * 1024  # maximum number and size in bytes of replayed settings
MAX_PIN_NAME_LENGTH = 256  # maximum length of a lock or table name; longer names are truncated
MAX_PIN_NAMES = 256  # maximum number of names tracked per pin; above it only a reset removes the pin
# Capabilities that change the meaning of statements; only sessions that agree in them share a connection.
STATEMENT_CAPABILITIES = int(
    Capability.FOUND_ROWS | Capability.IGNORE_SPACE | Capability.NO_SCHEMA | Capability.ODBC
    | Capability.INTERACTIVE
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class PinRule:
    """Describes which statements add and remove a pin, and whether the pin expires."""

    added_by: str
    removed_by: str
    soft: bool = False  # dropped after idle time; a later statement that needs the lost state gets an error


# All reasons to pin a session to its connection.  State that is missing here is replayed or is independent of
# the connection: the schema, settings with constant values, autocommit itself, statements prepared through
# the protocol (and their long data, which the sidecar buffers until execution), and LAST_INSERT_ID, which is
# queried when a connection passes to another session and set again before a statement that reads it.
PIN_RULES: dict[PinReason, PinRule] = {
    PinReason.TRANSACTION: PinRule("a status with IN_TRANS", "a status without"),
    PinReason.AUTOCOMMIT_OFF: PinRule(
        "any statement on data with autocommit off", "COMMIT, ROLLBACK or an implicit commit"
    ),
    PinReason.TABLE_LOCKS: PinRule("LOCK TABLES, FLUSH … WITH READ LOCK", "UNLOCK TABLES"),
    PinReason.NAMED_LOCK: PinRule("GET_LOCK", "RELEASE_LOCK of the same name, RELEASE_ALL_LOCKS"),
    PinReason.TEMPORARY_TABLE: PinRule("CREATE TEMPORARY TABLE", "DROP TABLE of the same name"),
    PinReason.USER_VARIABLE: PinRule("SET @x, @x := …, INTO @x", "a reset"),
    PinReason.SETTING: PinRule("SET to what is not a constant, or of what has no lasting value", "a reset"),
    PinReason.NEXT_TRANSACTION: PinRule(
        "SET TRANSACTION, SET @@transaction_…", "the end of the next transaction"
    ),
    PinReason.PREPARED: PinRule("PREPARE in SQL", "a reset"),
    PinReason.UNREAD: PinRule("a cursor with rows left", "its last row, a close, a reset of it"),
    PinReason.DIAGNOSTICS: PinRule(
        "warnings, SQL_CALC_FOUND_ROWS", "the next statement that is not about them", soft=True
    ),
    PinReason.UNKNOWN: PinRule("a statement with unknown effects (CALL, HANDLER, XA, …)", "a reset"),
}
_PERSISTENT_STATUS = int(
    Status.IN_TRANS | Status.AUTOCOMMIT | Status.NO_BACKSLASH_ESCAPES | Status.IN_TRANS_READONLY
)
_KINDS_WITHOUT_DATA = frozenset(
    {StatementKind.SET, StatementKind.USE, StatementKind.KILL, StatementKind.EMPTY, StatementKind.BEGIN}
)


@dataclass(slots=True)
class PreparedText:
    """A statement prepared by the client, with the id that the client knows."""

    id: int
    text: bytes
    statement: Statement
    parameters: int = 0
    columns: int = 0
    types: bytes = b""  # parameter types of the last execution that sent them
    long_values: dict[int, bytearray] = field(default_factory=dict)  # long data by parameter number

    @property
    def long_value_bytes(self) -> int:
        """Number of buffered bytes of long data."""
        return sum(map(len, self.long_values.values()))


@dataclass(frozen=True, slots=True)
class RequiredState:
    """The session state that a connection needs before a statement runs on it."""

    schema: str
    settings: tuple[tuple[str, str], ...]  # in the order in which the client made them
    autocommit: bool
    multi: bool
    last_id: int | None  # LAST_INSERT_ID to set; None if the statement does not read it


@dataclass(frozen=True, slots=True)
class ConnectionTraits:
    """The immutable properties of a connection; only sessions with the same ones can share a connection."""

    account: str
    collation: int
    statement_capabilities: int
    no_schema: bool = False  # the connection must never have selected a schema


class Session:
    """The session of one client."""

    def __init__(self, user: str, account: str, capabilities: int, collation: int, schema: str = "") -> None:
        self.user, self.account, self.capabilities = user, account, capabilities
        self.collation, self.schema = collation, schema
        self.multi = bool(capabilities & Capability.MULTI_STATEMENTS)
        self.settings: dict[str, str] = {}
        self.autocommit = True
        self.status = int(Status.AUTOCOMMIT)
        self.pins: dict[PinReason, set[str]] = {}
        self.prepared: dict[int, PreparedText] = {}
        self.cursors: set[int] = set()
        self.last_id: int | None = 0  # value of LAST_INSERT_ID(); None if only the connection knows it
        self.opaque = collation in UNSAFE_COLLATIONS
        self._next_prepared = 1

    # --- state ----------------------------------------------------------------------------------

    @property
    def pinned(self) -> bool:
        """Whether the session is pinned to its connection."""
        return bool(self.pins)

    @property
    def softly_pinned(self) -> bool:
        """Whether the session has pins and all of them are soft."""
        return bool(self.pins) and all(PIN_RULES[pin].soft for pin in self.pins)

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open or may be open."""
        return PinReason.TRANSACTION in self.pins or PinReason.AUTOCOMMIT_OFF in self.pins

    @property
    def pin_description(self) -> str:
        """Human-readable list of the reasons why the session is pinned."""
        return ", ".join(sorted(pin.value for pin in self.pins))

    @property
    def traits(self) -> ConnectionTraits:
        """The immutable properties that the session requires of its connections."""
        return ConnectionTraits(
            self.account, self.collation, self.capabilities & STATEMENT_CAPABILITIES, not self.schema
        )

    def setup(self, reads_last_id: bool = False) -> RequiredState:
        """Return the state that a connection needs for the next statement."""
        return RequiredState(
            self.schema,
            tuple(self.settings.items()),
            self.autocommit,
            self.multi,
            self.last_id if reads_last_id else None,
        )

    def state(self) -> dict[str, Any]:
        """Return the session state without prepared statements, for JSON."""
        return {
            "user": self.user, "account": self.account, "capabilities": self.capabilities,
            "collation": self.collation, "schema": self.schema, "multi": self.multi,
            "settings": dict(self.settings), "autocommit": self.autocommit, "status": self.status,
            "ties": {pin.name: sorted(names) for pin, names in self.pins.items()},
            "cursors": sorted(self.cursors), "last_id": self.last_id, "opaque": self.opaque,
        }  # fmt: skip

    @classmethod
    def from_state(cls, state: dict[str, Any]) -> Session:
        """Restore a session, without prepared statements, from the result of `state`."""
        out = cls(state["user"], state["account"], state["capabilities"], state["collation"], state["schema"])
        out.multi, out.settings = state["multi"], dict(state["settings"])
        out.autocommit, out.status = state["autocommit"], state["status"]
        out.pins = {PinReason[name]: set(names) for name, names in state["ties"].items()}
        out.cursors, out.last_id, out.opaque = set(state["cursors"]), state["last_id"], state["opaque"]
        return out

    # --- statements -----------------------------------------------------------------------------

    def apply_reply(self, statement: Statement, reply: ReplyRelay) -> None:
        """Update the session after the complete reply to a statement."""
        error = reply.error
        never_ran = error is not None and (error.state[:2] == "42" or error.errno == Errno.PARSE)
        self._apply_status(reply, error is None)
        if statement.kind is not StatementKind.KILL and not statement.depends_on_previous:
            self.pins.pop(PinReason.DIAGNOSTICS, None)
        if reply.warnings and error is None:
            self.tie(PinReason.DIAGNOSTICS)
        if reply.last_id:
            self.last_id = None  # only the connection knows the new LAST_INSERT_ID() now
        if statement.sets_last_id and not never_ran:
            self.last_id = None
        if never_ran and statement.count == 1:
            return
        for pin, name in statement.pins:
            if error is None or pin not in (
                PinReason.TEMPORARY_TABLE, PinReason.SETTING, PinReason.DIAGNOSTICS,
            ):  # fmt: skip
                self.tie(pin, name)
        if error is not None:
            return
        for pin, name in statement.unpins:
            self.unpin(pin, name)
        for key, text in statement.settings:
            self.settings.pop(key, None)  # moves the setting to the end, for the order of replay
            self.settings[key] = text
        size = sum(map(len, self.settings.values()))
        while self.settings and (len(self.settings) > MAX_SETTINGS or size > MAX_SETTINGS_BYTES):
            # There are too many settings to replay, so the oldest one pins the session to its connection.
            key = next(iter(self.settings))
            size -= len(self.settings.pop(key))
            self.tie(PinReason.SETTING, key)
        if statement.autocommit is not None:
            self.autocommit = statement.autocommit
        if statement.schema is not None:
            self.schema = statement.schema
        self.opaque = self.opaque or statement.opaque_after
        self._update_autocommit_pin(statement)

    def _apply_status(self, reply: ReplyRelay, has_status: bool) -> None:
        if not has_status:
            return  # an ERR packet carries no status, so an open transaction may still be open
        self.status = reply.status & _PERSISTENT_STATUS
        if reply.status & Status.IN_TRANS:
            self.tie(PinReason.TRANSACTION)
        else:
            if PinReason.TRANSACTION in self.pins:
                self.pins.pop(PinReason.NEXT_TRANSACTION, None)
            self.pins.pop(PinReason.TRANSACTION, None)

    def _update_autocommit_pin(self, statement: Statement) -> None:
        ends_transaction = (
            statement.kind in (StatementKind.COMMIT, StatementKind.ROLLBACK, StatementKind.DEFINE)
            or statement.autocommit
        )
        if ends_transaction and not statement.chain and PinReason.TRANSACTION not in self.pins:
            self.pins.pop(PinReason.AUTOCOMMIT_OFF, None)
            if statement.kind in (StatementKind.COMMIT, StatementKind.ROLLBACK):
                self.pins.pop(PinReason.NEXT_TRANSACTION, None)
        elif not self.autocommit and statement.kind not in _KINDS_WITHOUT_DATA:
            self.tie(PinReason.AUTOCOMMIT_OFF)

    def tie(self, pin: PinReason, name: str = "") -> None:
        """Pin the session to its connection for a reason; `name` identifies the lock, table or variable."""
        names = self.pins.setdefault(pin, set())
        if len(names) < MAX_PIN_NAMES:
            names.add(name[:MAX_PIN_NAME_LENGTH])
        else:
            names.add("?")  # a name that no statement removes

    def unpin(self, pin: PinReason, name: str = "") -> None:
        """Remove a pin; without a name, all pins of the same kind."""
        names = self.pins.get(pin)
        if names is None:
            return
        if name:
            names.discard(name[:MAX_PIN_NAME_LENGTH])
        else:
            names.clear()
        if not names:
            del self.pins[pin]

    def reset(self) -> None:
        """Restore the state after the login, except for the schema, as COM_RESET_CONNECTION does."""
        self.settings.clear()
        self.pins.clear()
        self.prepared.clear()
        self.cursors.clear()
        self.autocommit, self.status, self.last_id = True, int(Status.AUTOCOMMIT), 0
        self.opaque = self.collation in UNSAFE_COLLATIONS

    def drop_connection_state(self) -> None:
        """Drop all pins and cursors, because the connection was lost."""
        self.pins.clear()
        self.cursors.clear()

    # --- prepared statements --------------------------------------------------------------------

    @property
    def prepared_bytes(self) -> int:
        """Number of bytes used by the texts and long data of prepared statements."""
        return sum(len(each.text) + each.long_value_bytes for each in self.prepared.values())

    def next_prepared(self, size: int = 0) -> int:
        """Return the id for the next prepared statement.

        Raises:
            ProtocolError: There are too many prepared statements, or the text of `size` bytes is too long.
        """
        if size > MAX_PREPARED_TEXT:
            text = f"a prepared statement of more than {MAX_PREPARED_TEXT} bytes"
            raise ProtocolError(text, Errno.NOT_SUPPORTED_YET)
        if len(self.prepared) >= MAX_PREPARED:
            raise ProtocolError(f"more than {MAX_PREPARED} prepared statements", 1461, "42000")
        while self._next_prepared in self.prepared:
            self._next_prepared = self._next_prepared % 0x7FFFFFFF + 1
        return self._next_prepared

    def record_prepared(
        self, statement_id: int, text: bytes, statement: Statement, response: Prepared
    ) -> None:
        """Record a statement that was prepared with an id from `next_prepared`."""
        self.prepared[statement_id] = PreparedText(
            statement_id, text, statement, response.parameters, response.columns
        )
        self._next_prepared = statement_id % 0x7FFFFFFF + 1

    def find(self, statement_id: int) -> PreparedText:
        """Return the prepared statement with an id; raises `ProtocolError` if there is none."""
        prepared = self.prepared.get(statement_id)
        if prepared is None:
            raise ProtocolError(
                f"Unknown prepared statement handler ({statement_id})", Errno.UNKNOWN_STMT_HANDLER
            )
        return prepared

    def long_data(self, body: bytes, max_bytes: int) -> None:
        """Buffer the data of COM_STMT_SEND_LONG_DATA until the statement is executed.

        The command has no response; an unknown statement or parameter is therefore ignored here.
        """
        if len(body) < 7:
            return
        statement_id, parameter = int.from_bytes(body[1:5], "little"), int.from_bytes(body[5:7], "little")
        prepared = self.prepared.get(statement_id)
        if prepared is None or parameter >= prepared.parameters:
            return
        if sum(each.long_value_bytes for each in self.prepared.values()) + len(body) > max_bytes:
            raise ProtocolError("long data beyond max_packet_mb", Errno.NET_PACKET_TOO_LARGE)
        prepared.long_values.setdefault(parameter, bytearray()).extend(body[7:])

    def execute(self, body: bytes) -> tuple[PreparedText, Execute]:
        """Parse COM_STMT_EXECUTE; missing parameter types are taken from the previous execution."""
        if len(body) < 10:
            raise ProtocolError("an execute cut short")
        prepared = self.find(int.from_bytes(body[1:5], "little"))
        execution = Execute.parse(body, prepared.parameters)
        if execution.types is None:
            if prepared.parameters and len(prepared.types) != 2 * prepared.parameters:
                raise ProtocolError("an execute without types, and none were told", Errno.WRONG_ARGUMENTS)
            execution.types = prepared.types or None
        if execution.types is not None:
            # Splitting the parameters validates them.
            execution.parameters(prepared.parameters, execution.types, frozenset(prepared.long_values))
            prepared.types = execution.types
        return prepared, execution

    def record_executed(self, prepared: PreparedText, flags: int, reply: ReplyRelay) -> None:
        """Update the session after the complete reply to COM_STMT_EXECUTE."""
        prepared.long_values.clear()
        self.cursors.discard(prepared.id)
        if flags & CURSOR_READ_ONLY and reply.status & Status.CURSOR_EXISTS and reply.error is None:
            self.cursors.add(prepared.id)
        self._update_cursor_pin()

    def record_fetched(self, statement_id: int, reply: ReplyRelay) -> None:
        """Update the session after the complete reply to COM_STMT_FETCH."""
        if reply.error is not None or reply.status & Status.LAST_ROW_SENT:
            self.cursors.discard(statement_id)
        self._update_cursor_pin()

    def close_prepared(self, statement_id: int) -> None:
        """Handle COM_STMT_CLOSE for a prepared statement."""
        self.prepared.pop(statement_id, None)
        self.cursors.discard(statement_id)
        self._update_cursor_pin()

    def reset_prepared(self, statement_id: int) -> None:
        """Handle COM_STMT_RESET for a prepared statement."""
        self.find(statement_id).long_values.clear()
        self.cursors.discard(statement_id)
        self._update_cursor_pin()

    def _update_cursor_pin(self) -> None:
        if self.cursors:
            self.pins[PinReason.UNREAD] = {str(number) for number in self.cursors}
        else:
            self.pins.pop(PinReason.UNREAD, None)


def replay_text(pairs: Iterable[tuple[str, str]]) -> bytes:
    """Build one SET statement from pairs of a setting's key and its assignment, the text after SET."""
    return ("SET " + ", ".join(text for _, text in pairs)).encode("utf-8", "surrogateescape")
