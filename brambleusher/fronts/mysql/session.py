"""What a client's session holds: settings, prepared statements, and what ties it to one connection.

No sockets here.  `Session` is told of each statement and of what came back, and says whether the session
may go on elsewhere.  What it holds can be had as one object for JSON, and made from it again.
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
from brambleusher.fronts.mysql.statements import Kind, Statement, Tie

MAX_PREPARED = 1024  # of one session
MAX_PREPARED_TEXT = 256 * 1024  # of one statement
MAX_SETTINGS, MAX_SETTINGS_BYTES = 64, 16 * 1024  # that are replayed
MAX_NAME = 256  # of a lock or a table, as far as they are told apart
MAX_NAMES = 256  # of locks or tables that are told apart; past it only a reset lifts the tie
# Capabilities that change what a statement means: a connection is used for sessions with the same ones.
MEANING = int(
    Capability.FOUND_ROWS | Capability.IGNORE_SPACE | Capability.NO_SCHEMA | Capability.ODBC
    | Capability.INTERACTIVE
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class TieRule:
    """One line of the table: when a tie is made and when it is lifted, and whether it lapses."""

    made_by: str
    lifted_by: str
    soft: bool = False  # let go after a while without a command: what is lost is told if it is asked for


# All that can hold a session to its connection.  What is not here is replayed or looks the same anywhere:
# the schema, settings with constant values, autocommit itself, statements prepared by the protocol (and
# their long data, kept here until they run), and LAST_INSERT_ID, which is asked for when a connection
# passes to another session, and set again where a statement reads it.
TIES: dict[Tie, TieRule] = {
    Tie.TRANSACTION: TieRule("a status with IN_TRANS", "a status without"),
    Tie.AUTOCOMMIT_OFF: TieRule(
        "any statement on data with autocommit off", "COMMIT, ROLLBACK or an implicit commit"
    ),
    Tie.TABLE_LOCKS: TieRule("LOCK TABLES, FLUSH … WITH READ LOCK", "UNLOCK TABLES"),
    Tie.NAMED_LOCK: TieRule("GET_LOCK", "RELEASE_LOCK of the same name, RELEASE_ALL_LOCKS"),
    Tie.TEMPORARY_TABLE: TieRule("CREATE TEMPORARY TABLE", "DROP TABLE of the same name"),
    Tie.USER_VARIABLE: TieRule("SET @x, @x := …, INTO @x", "a reset"),
    Tie.SETTING: TieRule("SET to what is not a constant, or of what has no lasting value", "a reset"),
    Tie.NEXT_TRANSACTION: TieRule("SET TRANSACTION, SET @@transaction_…", "the end of the next transaction"),
    Tie.PREPARED: TieRule("PREPARE in SQL", "a reset"),
    Tie.UNREAD: TieRule("a cursor with rows left", "its last row, a close, a reset of it"),
    Tie.DIAGNOSTICS: TieRule(
        "warnings, SQL_CALC_FOUND_ROWS", "the next statement that is not about them", soft=True
    ),
    Tie.UNKNOWN: TieRule("a statement with unknown effects (CALL, HANDLER, XA, …)", "a reset"),
}
_LASTING = int(Status.IN_TRANS | Status.AUTOCOMMIT | Status.NO_BACKSLASH_ESCAPES | Status.IN_TRANS_READONLY)
_NO_DATA = frozenset({Kind.SET, Kind.USE, Kind.KILL, Kind.EMPTY, Kind.BEGIN})


@dataclass(slots=True)
class PreparedText:
    """A statement that the client prepared, by the id the client has."""

    id: int
    text: bytes
    statement: Statement
    parameters: int = 0
    columns: int = 0
    types: bytes = b""  # of its parameters, as last told
    long: dict[int, bytearray] = field(default_factory=dict)  # parameters sent ahead

    @property
    def long_bytes(self) -> int:
        """Bytes held of parameters sent ahead."""
        return sum(map(len, self.long.values()))


@dataclass(frozen=True, slots=True)
class Setup:
    """What a connection must be like before a session's statement runs on it."""

    schema: str
    settings: tuple[tuple[str, str], ...]  # in the order they were made
    autocommit: bool
    multi: bool
    last_id: int | None  # to be set; None: not asked for


@dataclass(frozen=True, slots=True)
class Flavour:
    """What can't be changed on a connection: sessions share one only with the same."""

    account: str
    collation: int
    meaning: int
    no_schema: bool = False  # no schema was ever chosen on it


class Session:
    """One client's session."""

    def __init__(self, user: str, account: str, capabilities: int, collation: int, schema: str = "") -> None:
        self.user, self.account, self.capabilities = user, account, capabilities
        self.collation, self.schema = collation, schema
        self.multi = bool(capabilities & Capability.MULTI_STATEMENTS)
        self.settings: dict[str, str] = {}
        self.autocommit = True
        self.status = int(Status.AUTOCOMMIT)
        self.ties: dict[Tie, set[str]] = {}
        self.prepared: dict[int, PreparedText] = {}
        self.cursors: set[int] = set()
        self.last_id: int | None = 0  # what LAST_INSERT_ID() gives; None: known to the connection alone
        self.opaque = collation in UNSAFE_COLLATIONS
        self._next_prepared = 1

    # --- what it is like ------------------------------------------------------------------------

    @property
    def tied(self) -> bool:
        """Whether it must stay on its connection."""
        return bool(self.ties)

    @property
    def softly_tied(self) -> bool:
        """Whether all that ties it may be let go after a while."""
        return bool(self.ties) and all(TIES[tie].soft for tie in self.ties)

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open, or may be."""
        return Tie.TRANSACTION in self.ties or Tie.AUTOCOMMIT_OFF in self.ties

    @property
    def why(self) -> str:
        """What ties it, for people."""
        return ", ".join(sorted(tie.value for tie in self.ties))

    @property
    def flavour(self) -> Flavour:
        """What its connections must have from their login on."""
        return Flavour(self.account, self.collation, self.capabilities & MEANING, not self.schema)

    def setup(self, reads_last_id: bool = False) -> Setup:
        """What a connection must be like now."""
        return Setup(
            self.schema,
            tuple(self.settings.items()),
            self.autocommit,
            self.multi,
            self.last_id if reads_last_id else None,
        )

    def state(self) -> dict[str, Any]:
        """All of it but the texts of prepared statements, for JSON."""
        return {
            "user": self.user, "account": self.account, "capabilities": self.capabilities,
            "collation": self.collation, "schema": self.schema, "multi": self.multi,
            "settings": dict(self.settings), "autocommit": self.autocommit, "status": self.status,
            "ties": {tie.name: sorted(names) for tie, names in self.ties.items()},
            "cursors": sorted(self.cursors), "last_id": self.last_id, "opaque": self.opaque,
        }  # fmt: skip

    @classmethod
    def of_state(cls, state: dict[str, Any]) -> Session:
        """A session as `state` told it, without prepared statements."""
        out = cls(state["user"], state["account"], state["capabilities"], state["collation"], state["schema"])
        out.multi, out.settings = state["multi"], dict(state["settings"])
        out.autocommit, out.status = state["autocommit"], state["status"]
        out.ties = {Tie[name]: set(names) for name, names in state["ties"].items()}
        out.cursors, out.last_id, out.opaque = set(state["cursors"]), state["last_id"], state["opaque"]
        return out

    # --- statements -----------------------------------------------------------------------------

    def after(self, statement: Statement, reply: ReplyRelay) -> None:
        """A statement has its whole answer: what it changed."""
        error = reply.error
        never_ran = error is not None and (error.state[:2] == "42" or error.errno == Errno.PARSE)
        self._settle_status(reply, error is None)
        if statement.kind is not Kind.KILL and not statement.about_previous:
            self.ties.pop(Tie.DIAGNOSTICS, None)
        if reply.warnings and error is None:
            self.tie(Tie.DIAGNOSTICS)
        if reply.last_id:
            self.last_id = None  # what LAST_INSERT_ID() gives now is the connection's to tell
        if statement.sets_last_id and not never_ran:
            self.last_id = None
        if never_ran and statement.count == 1:
            return
        for tie, name in statement.ties:
            if error is None or tie not in (Tie.TEMPORARY_TABLE, Tie.SETTING, Tie.DIAGNOSTICS):
                self.tie(tie, name)
        if error is not None:
            return
        for tie, name in statement.lifts:
            self.lift(tie, name)
        for key, text in statement.settings:
            self.settings.pop(key, None)  # the later of two comes last when they are replayed
            self.settings[key] = text
        size = sum(map(len, self.settings.values()))
        while self.settings and (len(self.settings) > MAX_SETTINGS or size > MAX_SETTINGS_BYTES):
            # Too much to replay: what is dropped stands on this connection alone.
            key = next(iter(self.settings))
            size -= len(self.settings.pop(key))
            self.tie(Tie.SETTING, key)
        if statement.autocommit is not None:
            self.autocommit = statement.autocommit
        if statement.schema is not None:
            self.schema = statement.schema
        self.opaque = self.opaque or statement.opaque_after
        self._settle_autocommit(statement)

    def _settle_status(self, reply: ReplyRelay, told: bool) -> None:
        if not told:
            return  # an error has no status: whatever was open may still be
        self.status = reply.status & _LASTING
        if reply.status & Status.IN_TRANS:
            self.tie(Tie.TRANSACTION)
        else:
            if Tie.TRANSACTION in self.ties:
                self.ties.pop(Tie.NEXT_TRANSACTION, None)
            self.ties.pop(Tie.TRANSACTION, None)

    def _settle_autocommit(self, statement: Statement) -> None:
        over = statement.kind in (Kind.COMMIT, Kind.ROLLBACK, Kind.DEFINE) or statement.autocommit
        if over and not statement.chain and Tie.TRANSACTION not in self.ties:
            self.ties.pop(Tie.AUTOCOMMIT_OFF, None)
            if statement.kind in (Kind.COMMIT, Kind.ROLLBACK):
                self.ties.pop(Tie.NEXT_TRANSACTION, None)
        elif not self.autocommit and statement.kind not in _NO_DATA:
            self.tie(Tie.AUTOCOMMIT_OFF)

    def tie(self, tie: Tie, name: str = "") -> None:
        """Make a tie."""
        names = self.ties.setdefault(tie, set())
        if len(names) < MAX_NAMES:
            names.add(name[:MAX_NAME])
        else:
            names.add("?")  # which nothing lifts

    def lift(self, tie: Tie, name: str = "") -> None:
        """Lift a tie; without a name all of its kind."""
        names = self.ties.get(tie)
        if names is None:
            return
        if name:
            names.discard(name[:MAX_NAME])
        else:
            names.clear()
        if not names:
            del self.ties[tie]

    def reset(self) -> None:
        """COM_RESET_CONNECTION was answered: as after the login, but for the schema."""
        self.settings.clear()
        self.ties.clear()
        self.prepared.clear()
        self.cursors.clear()
        self.autocommit, self.status, self.last_id = True, int(Status.AUTOCOMMIT), 0
        self.opaque = self.collation in UNSAFE_COLLATIONS

    def lost(self) -> None:
        """Its connection is gone, and with it all that was tied to it."""
        self.ties.clear()
        self.cursors.clear()

    # --- prepared statements --------------------------------------------------------------------

    @property
    def held_bytes(self) -> int:
        """Bytes of prepared texts and of parameters sent ahead."""
        return sum(len(each.text) + each.long_bytes for each in self.prepared.values())

    def next_prepared(self, size: int = 0) -> int:
        """The id of the statement to be prepared next.

        Raises `ProtocolError` where there are too many, or its text of `size` bytes is too long.
        """
        if size > MAX_PREPARED_TEXT:
            text = f"a prepared statement of more than {MAX_PREPARED_TEXT} bytes"
            raise ProtocolError(text, Errno.NOT_SUPPORTED_YET)
        if len(self.prepared) >= MAX_PREPARED:
            raise ProtocolError(f"more than {MAX_PREPARED} prepared statements", 1461, "42000")
        while self._next_prepared in self.prepared:
            self._next_prepared = self._next_prepared % 0x7FFFFFFF + 1
        return self._next_prepared

    def was_prepared(self, number: int, text: bytes, statement: Statement, answer: Prepared) -> None:
        """A statement was prepared under an id from `next_prepared`."""
        self.prepared[number] = PreparedText(number, text, statement, answer.parameters, answer.columns)
        self._next_prepared = number % 0x7FFFFFFF + 1

    def find(self, number: int) -> PreparedText:
        """A prepared statement; raises `ProtocolError` where there is none of that id."""
        found = self.prepared.get(number)
        if found is None:
            raise ProtocolError(f"Unknown prepared statement handler ({number})", Errno.UNKNOWN_STMT_HANDLER)
        return found

    def long_data(self, body: bytes, most: int) -> None:
        """COM_STMT_SEND_LONG_DATA: kept until the statement runs.  It has no answer, so faults wait too."""
        if len(body) < 7:
            return
        number, parameter = int.from_bytes(body[1:5], "little"), int.from_bytes(body[5:7], "little")
        found = self.prepared.get(number)
        if found is None or parameter >= found.parameters:
            return
        if sum(each.long_bytes for each in self.prepared.values()) + len(body) > most:
            raise ProtocolError("long data beyond max_packet_mb", Errno.NET_PACKET_TOO_LARGE)
        found.long.setdefault(parameter, bytearray()).extend(body[7:])

    def execute(self, body: bytes) -> tuple[PreparedText, Execute]:
        """COM_STMT_EXECUTE with the types filled in that the client told before."""
        if len(body) < 10:
            raise ProtocolError("an execute cut short")
        found = self.find(int.from_bytes(body[1:5], "little"))
        run = Execute.parse(body, found.parameters)
        if run.types is None:
            if found.parameters and len(found.types) != 2 * found.parameters:
                raise ProtocolError("an execute without types, and none were told", Errno.WRONG_ARGUMENTS)
            run.types = found.types or None
        if run.types is not None:
            run.parameters(found.parameters, run.types, frozenset(found.long))  # which checks them
            found.types = run.types
        return found, run

    def executed(self, found: PreparedText, flags: int, reply: ReplyRelay) -> None:
        """An execute has its whole answer."""
        found.long.clear()
        self.cursors.discard(found.id)
        if flags & CURSOR_READ_ONLY and reply.status & Status.CURSOR_EXISTS and reply.error is None:
            self.cursors.add(found.id)
        self._settle_cursors()

    def fetched(self, number: int, reply: ReplyRelay) -> None:
        """A fetch has its whole answer."""
        if reply.error is not None or reply.status & Status.LAST_ROW_SENT:
            self.cursors.discard(number)
        self._settle_cursors()

    def close_prepared(self, number: int) -> None:
        """COM_STMT_CLOSE."""
        self.prepared.pop(number, None)
        self.cursors.discard(number)
        self._settle_cursors()

    def reset_prepared(self, number: int) -> None:
        """COM_STMT_RESET."""
        self.find(number).long.clear()
        self.cursors.discard(number)
        self._settle_cursors()

    def _settle_cursors(self) -> None:
        if self.cursors:
            self.ties[Tie.UNREAD] = {str(number) for number in self.cursors}
        else:
            self.ties.pop(Tie.UNREAD, None)


def replay_text(pairs: Iterable[tuple[str, str]]) -> bytes:
    """Settings as one SET; each was told as what stands behind SET, and `names` may stand among others."""
    return ("SET " + ", ".join(text for _, text in pairs)).encode("utf-8", "surrogateescape")
