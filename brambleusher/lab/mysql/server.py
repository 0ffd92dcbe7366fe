"""A stand-in MySQL server, for loopback and for virtual worlds, with scripted faults.

It speaks the protocol by the project's own codec and holds the small database of `mysql_engine`.  A
fault is decided for each connection and each command, by a function of the caller's.
"""

from __future__ import annotations

import datetime as dt
import logging
import random
import re
import struct
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from decimal import Decimal
from typing import Any

from brambleusher.fronts.mysql.auth import LoginStep, RsaKey, Secret, ServerLogin
from brambleusher.fronts.mysql.channel import Channel
from brambleusher.fronts.mysql.constants import (
    CACHING_SHA2,
    CURSOR_READ_ONLY,
    SCRAMBLE,
    UNSIGNED_PARAMETER,
    Capability,
    Command,
    SessionChange,
    Status,
    Type,
)
from brambleusher.fronts.mysql.messages import (
    Column,
    Eof,
    Err,
    Execute,
    Login,
    Ok,
    Prepared,
    binary_row,
    encode_session_changes,
    text_row,
)
from brambleusher.fronts.mysql.packets import (
    FieldReader,
    PacketReader,
    ProtocolError,
    encode_lenenc_integer,
    encode_lenenc_string,
    frame,
    packet_count,
)
from brambleusher.lab.mysql.engine import (
    Blocked,
    ColumnInfo,
    Database,
    Result,
    Row,
    Session,
    Sleep,
    SqlError,
    Table,
    Value,
    collation_of,
)
from brambleusher.lab.stand_ins.server import Connection, Server
from brambleusher.runtime.scheduler import Event, Scheduler, TaskTimeoutError

log = logging.getLogger(__name__)

MAX_PACKET = 128 * 1024 * 1024
WAIT_SECONDS = 3600.0
CHUNK = 64 * 1024
CAPABILITIES = int(
    Capability.LONG_PASSWORD | Capability.FOUND_ROWS | Capability.LONG_FLAG | Capability.CONNECT_WITH_DB
    | Capability.NO_SCHEMA | Capability.ODBC | Capability.IGNORE_SPACE | Capability.PROTOCOL_41
    | Capability.INTERACTIVE | Capability.TRANSACTIONS | Capability.SECURE_CONNECTION
    | Capability.MULTI_STATEMENTS | Capability.MULTI_RESULTS | Capability.PS_MULTI_RESULTS
    | Capability.PLUGIN_AUTH | Capability.CONNECT_ATTRS | Capability.PLUGIN_AUTH_LENENC
    | Capability.SESSION_TRACK | Capability.DEPRECATE_EOF
)  # fmt: skip


# --- faults -------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Fault:
    """What goes wrong with one connection or command.

    `how` is one of: `error` (an ERR instead of an answer; for a connection, instead of a greeting),
    `silent` (nothing more is said), `before` (the connection breaks, nothing has run), `after` (it runs,
    and the connection breaks without an answer), `amid` (it runs, and breaks behind `bytes` of the
    answer), `nonsense` (bytes that are no packet), `number` (an answer whose packets are misnumbered),
    `slow` (it waits for `seconds` first), `late` (it runs, and waits before the answer).
    """

    how: str
    bytes: int = 0
    seconds: float = 0.0
    errno: int = 1105
    state: str = "HY000"
    reset: bool = True


@dataclass(frozen=True, slots=True)
class Moment:
    """Where a fault may strike: a connection (command -1), or a command with its text."""

    thread: int
    command: int = -1
    text: str = ""
    in_transaction: bool = False


@dataclass(slots=True)
class MysqlSettings:
    """What a stand-in server is like."""

    users: dict[str, Secret] = field(default_factory=dict)
    plugin: str = CACHING_SHA2
    capabilities: int = CAPABILITIES
    version: str = "8.0.36-stand-in"
    max_connections: int = 151
    lock_wait_seconds: float = 5.0
    work_seconds: float = 0.0  # of one slot, for each statement on data
    slots: int = 0  # statements worked on at once; 0: any number
    slowness: float = 1.0  # times the work
    tls: Any = None  # an ssl.SSLContext


class Broken(Exception):
    """A scripted end of a connection."""


class Killed(Exception):
    """The statement was killed."""


@dataclass(slots=True)
class Statement:
    """A prepared statement, and its cursor if it has one."""

    text: str
    parameters: int
    columns: list[ColumnInfo]
    types: bytes = b""
    long: dict[int, bytearray] = field(default_factory=dict)
    cursor: Iterator[Row] | None = None
    cursor_columns: list[ColumnInfo] = field(default_factory=list)


class Peer:
    """One client's connection."""

    def __init__(self, channel: Channel, connection: Connection, thread: int) -> None:
        self.channel, self.connection, self.thread = channel, connection, thread
        self.event = Event()
        self.session: Session | None = None
        self.capabilities = 0
        self.statements: dict[int, Statement] = {}
        self.next_statement = 1
        self.killed = False
        self.running = ""
        self.seq = 1
        self.reader = PacketReader(MAX_PACKET)
        self.budget: int | None = None  # bytes still sent before a scripted break


class MysqlServer(Server):
    """The stand-in; `trouble` decides on faults, `seen` has what was asked if `keep` is on."""

    def __init__(
        self,
        scheduler: Scheduler,
        name: str,
        database: Database,
        settings: MysqlSettings,
        seed: int = 0,
        trouble: Callable[[Moment], Fault | None] | None = None,
        keep: bool = False,
    ) -> None:
        super().__init__(scheduler, name)
        self.database, self.settings = database, settings
        self.trouble = trouble or (lambda moment: None)
        self.seen: list[tuple[int, int, str]] = []  # thread, command, text
        self.keep = keep
        self.peers: dict[int, Peer] = {}
        self.refused = self.most_open = self.statements_run = 0
        self._rng = random.Random(seed)
        self._rsa = RsaKey()
        self._threads = 100 * (seed % 1000)
        self._waiting: deque[Event] = deque()
        self._slots_used = 0
        self._lock_waits: list[Peer] = []
        database.on_unlock = self._unlocked

    # --- connections ----------------------------------------------------------------------------

    def serve(self, connection: Connection) -> None:
        """One client, from the greeting to the end."""
        self._threads += 1
        peer = Peer(Channel(connection.stream), connection, self._threads)
        fault = self.trouble(Moment(peer.thread))
        try:
            if len(self.peers) >= self.settings.max_connections:
                self.refused += 1
                fault = Fault("error", errno=1040, state="08004")
            if fault is not None and not self._greet_badly(peer, fault):
                return
            self.peers[peer.thread] = peer
            self.most_open = max(self.most_open, len(self.peers))
            if self._log_in(peer):
                while self._command(peer):
                    pass
        except Broken:
            self.reset(connection)
        except ProtocolError as error:
            self._send(peer, frame(Err(error.errno, error.state, str(error)).encode(), peer.seq))
        finally:
            self.peers.pop(peer.thread, None)
            if peer.session is not None:
                peer.session.end()

    def crash(self) -> None:
        """Die at once: connections are reset, what was open is rolled back."""
        self.close(reset=True)
        for peer in list(self.peers.values()):
            if peer.session is not None:
                peer.session.end()
        self.peers.clear()

    def _greet_badly(self, peer: Peer, fault: Fault) -> bool:
        """Act a fault of a connection out; whether it goes on."""
        if fault.how == "error":
            text = "Too many connections" if fault.errno == 1040 else "scripted"
            self._send(peer, frame(Err(fault.errno, fault.state, text).encode(), 0))
            return False
        if fault.how == "nonsense":
            self._send(peer, b"SSH-2.0-OpenSSH_9.2p1\r\n")
            return False
        if fault.how in ("slow", "late"):
            self.scheduler.sleep(fault.seconds)
            return True
        if fault.how == "silent":
            self._silence(peer)
        raise Broken

    def _silence(self, peer: Peer) -> None:
        """Say nothing more, until the other side ends the connection."""
        while peer.channel.receive(self.scheduler.now() + WAIT_SECONDS):
            pass
        raise Broken

    def _send(self, peer: Peer, data: bytes) -> None:
        if peer.budget is not None:
            part = data[: peer.budget]
            peer.budget -= len(part)
            if part:
                peer.channel.send(part, self.scheduler.now() + WAIT_SECONDS)
            if len(part) < len(data) or peer.budget == 0:
                raise Broken
            return
        peer.channel.send(data, self.scheduler.now() + WAIT_SECONDS)

    def _log_in(self, peer: Peer) -> bool:
        settings = self.settings
        challenge = bytes(self._rng.randrange(1, 128) for _ in range(SCRAMBLE))
        caps = settings.capabilities | (Capability.SSL if settings.tls is not None else 0)
        login = ServerLogin(
            peer.thread,
            challenge,
            int(caps),
            settings.users.get,
            self._rsa,
            settings.version,
            settings.plugin,
        )
        self._send(peer, login.encode_greeting())
        return self._meet(peer, login)

    def _meet(self, peer: Peer, login: ServerLogin) -> bool:
        while True:
            turn = login.step()
            if turn is LoginStep.DONE:
                break
            if login.out:
                out, login.out = login.out, b""
                self._send(peer, out)
            if turn is LoginStep.REJECTED:
                return False
            if turn is LoginStep.TLS:
                deadline = self.scheduler.now() + WAIT_SECONDS
                peer.channel.start_tls(self.settings.tls, True, "", login.take_leftover(), deadline)
            elif turn is LoginStep.READ:
                data = peer.channel.receive(self.scheduler.now() + WAIT_SECONDS)
                if not data:
                    return False
                login.feed(data)
        assert login.login is not None
        peer.capabilities = login.capabilities
        peer.session = session = Session(self.database, peer.thread, login.login.user, self._now)
        session.found_rows_mode = bool(login.capabilities & Capability.FOUND_ROWS)
        if not self._first_schema(peer, login, login.login):
            return False
        self._send(peer, login.complete_login())
        peer.reader.feed(login.take_leftover())
        return True

    def _first_schema(self, peer: Peer, login: ServerLogin, asked: Login) -> bool:
        assert peer.session is not None
        if asked.database:
            try:
                peer.session.use(asked.database)
            except SqlError as error:
                self._send(peer, frame(Err(error.errno, error.state, str(error)).encode(), login.seq))
                return False
        return True

    def _now(self) -> dt.datetime:
        ns = self.scheduler.system.wall_ns()
        return dt.datetime.fromtimestamp(ns // 1_000_000_000, dt.UTC).replace(tzinfo=None)

    # --- commands -------------------------------------------------------------------------------

    def _command(self, peer: Peer) -> bool:
        reader = peer.reader
        reader.set_sequence()
        while (body := reader.take()) is None:
            data = peer.channel.receive(self.scheduler.now() + WAIT_SECONDS, peer.event)
            if data is None:
                if peer.killed:
                    raise Broken
                continue
            if not data:
                return False
            reader.feed(data)
        peer.seq, session = reader.seq, peer.session
        assert session is not None
        if not body:
            raise ProtocolError("an empty command", 1047)
        code = body[0]
        if code == Command.QUIT:
            return False
        text = self._text_of(peer, code, body)
        if self.keep:
            self.seen.append((peer.thread, code, text))
        fault = self.trouble(Moment(peer.thread, code, text, session.in_transaction))
        if fault is not None:
            if fault.how == "before":
                raise Broken
            if fault.how == "silent":
                self._silence(peer)
            if fault.how == "nonsense":
                self._send(peer, b"\x07\0\0" + bytes((peer.seq,)) + b"\x2anonsen")
                return True
            if fault.how == "error":
                self._error(peer, SqlError(fault.errno, fault.state, "scripted"))
                return fault.errno != 1053
            if fault.how == "slow":
                self.scheduler.sleep(fault.seconds)
        try:
            self._one(peer, code, body, text, fault)
        except SqlError as error:
            session.warnings = [("Error", error.errno, str(error))]
            self._error(peer, error)
        except Killed:
            self._error(peer, SqlError(1317, "70100", "Query execution was interrupted"))
        finally:
            peer.running = ""
        return True

    def _text_of(self, peer: Peer, code: int, body: bytes) -> str:
        if code in (Command.QUERY, Command.STMT_PREPARE, Command.INIT_DB):
            return body[1:].decode("utf-8", "surrogateescape")
        if code in (Command.STMT_EXECUTE, Command.STMT_FETCH):
            found = peer.statements.get(int.from_bytes(body[1:5], "little"))
            return found.text if found is not None else ""
        return ""

    def _error(self, peer: Peer, error: SqlError) -> None:
        self._send(peer, frame(Err(error.errno, error.state, str(error)).encode(), peer.seq))

    def _say(self, peer: Peer, *messages: bytes) -> None:
        out = b""
        for message in messages:
            out += frame(message, peer.seq)
            peer.seq += packet_count(len(message))
        self._send(peer, out)

    def _say_ok(self, peer: Peer, result: Result | None = None, more: bool = False) -> None:
        self._say(peer, self._ok(peer, result or Result(), more))

    def _ok(self, peer: Peer, result: Result, more: bool = False, header: int = 0, flags: int = 0) -> bytes:
        session = peer.session
        assert session is not None
        status = session.status | flags | (Status.MORE_RESULTS if more else 0)
        state = b""
        if peer.capabilities & Capability.SESSION_TRACK and session.schema and header == 0:
            state = encode_session_changes([(SessionChange.SCHEMA, (session.schema.encode(),))])
            status |= Status.SESSION_STATE_CHANGED
        ok = Ok(
            result.affected, result.last_id, int(status), len(session.warnings), result.info.encode(), state
        )
        return ok.encode(peer.capabilities, header)

    def _one(self, peer: Peer, code: int, body: bytes, text: str, fault: Fault | None) -> None:
        session = peer.session
        assert session is not None
        if code == Command.QUERY:
            self._query(peer, text, fault)
        elif code == Command.PING:
            self._say_ok(peer)
        elif code == Command.INIT_DB:
            self._strike(peer, fault)
            session.use(text)
            self._say_ok(peer)
        elif code == Command.STMT_PREPARE:
            self._strike(peer, fault)
            self._prepare(peer, text)
        elif code == Command.STMT_EXECUTE:
            self._execute(peer, body, fault)
        elif code == Command.STMT_FETCH:
            self._strike(peer, fault)
            self._fetch(peer, body)
        elif code == Command.STMT_SEND_LONG_DATA:
            found = peer.statements.get(int.from_bytes(body[1:5], "little"))
            if found is not None:
                found.long.setdefault(int.from_bytes(body[5:7], "little"), bytearray()).extend(body[7:])
        elif code == Command.STMT_CLOSE:
            peer.statements.pop(int.from_bytes(body[1:5], "little"), None)
        elif code == Command.STMT_RESET:
            found = self._find(peer, body)
            found.cursor = None
            found.long.clear()
            self._say_ok(peer)
        elif code == Command.SET_OPTION:
            multi = int.from_bytes(body[1:3], "little") == 0
            flag = int(Capability.MULTI_STATEMENTS)
            peer.capabilities = peer.capabilities | flag if multi else peer.capabilities & ~flag
            self._say(peer, self._end_of_rows(peer, Result()))
        elif code == Command.RESET_CONNECTION:
            schema = session.schema
            session.reset()
            session.schema = schema
            peer.statements.clear()
            self._say_ok(peer)
        elif code == Command.CHANGE_USER:
            self._change_user(peer, body)
        elif code == Command.FIELD_LIST:
            table = session._table(_named(body[1:].split(b"\0")[0].decode()))
            for column in table.columns:
                self._say(peer, self._column(column).encode() + encode_lenenc_string(b""))
            self._say(peer, self._end_of_rows(peer, Result()))
        elif code == Command.STATISTICS:
            self._say(peer, b"Uptime: 1  Threads: 1")
        elif code == Command.PROCESS_KILL:
            self._kill(peer, int.from_bytes(body[1:5], "little"), False)
            self._say_ok(peer)
        else:
            raise SqlError(1047, "08S01", "Unknown command")

    def _change_user(self, peer: Peer, body: bytes) -> None:
        assert peer.session is not None
        peer.session.end()
        login = ServerLogin(
            peer.thread, b"", peer.capabilities, self.settings.users.get, self._rsa, self.settings.version,
            self.settings.plugin,
        )  # fmt: skip
        login.secure = peer.channel.secure
        challenge = bytes(self._rng.randrange(1, 128) for _ in range(SCRAMBLE))
        login.change_user(body, peer.capabilities, b"", challenge)
        peer.statements.clear()
        if not self._meet(peer, login):
            raise Broken

    # --- statements -----------------------------------------------------------------------------

    def _strike(self, peer: Peer, fault: Fault | None) -> None:
        """The faults that strike once a command has run."""
        if fault is None:
            return
        if fault.how == "after":
            raise Broken
        if fault.how == "amid":
            peer.budget = fault.bytes
        if fault.how == "late":
            self.scheduler.sleep(fault.seconds)
        if fault.how == "number":
            peer.seq += 1

    def _query(self, peer: Peer, text: str, fault: Fault | None) -> None:
        killed = re.match(r"\s*kill\s+(query\s+|connection\s+)?([0-9]+)\s*;?\s*$", text, re.I)
        if killed is not None:
            self._strike(peer, fault)
            self._kill(peer, int(killed[2]), (killed[1] or "").strip().lower() == "query")
            self._say_ok(peer)
            return
        trees = self.database.parse(text)
        if not trees:
            raise SqlError(1065, "42000", "Query was empty")
        if len(trees) > 1 and not peer.capabilities & Capability.MULTI_STATEMENTS:
            raise SqlError(1064, "42000", f"You have an error in your SQL syntax near '{text[-40:]}'")
        for at, tree in enumerate(trees):
            result = self._carry_out(peer, tree, [], text)
            more = at + 1 < len(trees)
            if not more:
                self._strike(peer, fault)
            self._answer(peer, result, more, binary=False)

    def _carry_out(self, peer: Peer, tree: Any, parameters: list[Value], text: str) -> Result:
        """Run a statement to its end, waiting for slots, sleeps and locks."""
        session = peer.session
        assert session is not None
        peer.running, peer.killed = text, False
        self.statements_run += 1
        session.slept = 0
        if self.settings.work_seconds or self.settings.slots:
            self._work(peer)
        deadline = self.scheduler.now() + self.settings.lock_wait_seconds
        while True:
            try:
                return session.run(tree, parameters)
            except Sleep as sleep:
                self._pause(peer, self.scheduler.now() + sleep.seconds)
                session.slept += 1
            except Blocked as blocked:
                session.waits_for = blocked.holder
                self._lock_waits.append(peer)
                try:
                    if not self._pause(peer, deadline):
                        raise SqlError(
                            1205, "HY000", "Lock wait timeout exceeded; try restarting transaction"
                        ) from None
                finally:
                    session.waits_for = None
                    if peer in self._lock_waits:
                        self._lock_waits.remove(peer)

    def _work(self, peer: Peer) -> None:
        """Hold one of the slots for the work of a statement."""
        settings = self.settings
        while settings.slots and self._slots_used >= settings.slots:
            self._waiting.append(peer.event)
            try:
                self._pause(peer, self.scheduler.now() + WAIT_SECONDS)
            finally:
                if peer.event in self._waiting:
                    self._waiting.remove(peer.event)
        self._slots_used += 1
        try:
            if settings.work_seconds:
                self._pause(peer, self.scheduler.now() + settings.work_seconds * settings.slowness)
        finally:
            self._slots_used -= 1
            if self._waiting:
                self._waiting.popleft().set()

    def _pause(self, peer: Peer, until: float) -> bool:
        """Wait for the event or a moment; whether it was the event.  Raises `Killed`."""
        try:
            self.scheduler.park(until, event=peer.event)
        except TaskTimeoutError:
            return False
        if peer.killed:
            raise Killed
        return True

    def _unlocked(self) -> None:
        for peer in self._lock_waits:
            peer.event.set()

    def _kill(self, peer: Peer, thread: int, query: bool) -> None:
        target = self.peers.get(thread)
        if target is None:
            raise SqlError(1094, "HY000", f"Unknown thread id: {thread}")
        if query and not target.running:
            return
        target.killed = True
        target.event.set()
        if not query and target.connection.task is not None:
            target.connection.task.cancel()

    # --- answers --------------------------------------------------------------------------------

    def _column(self, column: ColumnInfo) -> Column:
        kind = column.type
        schema = b"shop" if column.table else b""
        table = column.table.encode()
        flags = 0x80 if kind == Type.BLOB else 0
        return Column(
            column.name.encode(), kind, collation_of(kind), column.length, flags,
            2 if kind == Type.NEWDECIMAL else 31 if kind == Type.DOUBLE else 0,
            schema, table, table, column.name.encode() if table else b"",
        )  # fmt: skip

    def _end_of_rows(self, peer: Peer, result: Result, more: bool = False, flags: int = 0) -> bytes:
        if peer.capabilities & Capability.DEPRECATE_EOF:
            return self._ok(peer, Result(info=result.info), more, 0xFE, flags)
        assert peer.session is not None
        status = peer.session.status | flags | (Status.MORE_RESULTS if more else 0)
        return Eof(len(peer.session.warnings), int(status)).encode()

    def _answer(
        self, peer: Peer, result: Result, more: bool, binary: bool, cursor: Statement | None = None
    ) -> None:
        if not result.has_rows:
            self._say_ok(peer, result, more)
            return
        old = not peer.capabilities & Capability.DEPRECATE_EOF
        messages = [
            encode_lenenc_integer(len(result.columns)),
            *(self._column(c).encode() for c in result.columns),
        ]
        if cursor is not None:
            cursor.cursor, cursor.cursor_columns = iter(result.rows), result.columns
            self._say(peer, *messages, self._end_of_rows(peer, result, more, int(Status.CURSOR_EXISTS)))
            return
        if old:
            messages.append(self._end_of_rows(peer, Result(), False))
        self._say(peer, *messages)
        self._rows(peer, result.columns, iter(result.rows), None, binary)
        self._say(peer, self._end_of_rows(peer, result, more))

    def _rows(
        self, peer: Peer, columns: list[ColumnInfo], rows: Iterator[Row], most: int | None, binary: bool
    ) -> int:
        """Send rows, a chunk at a time; says how many there were."""
        out, size, count = [], 0, 0
        while most is None or count < most:
            row = next(rows, None)
            if row is None:
                break
            data = binary_of(columns, row) if binary else text_row([text_of(value) for value in row])
            out.append(frame(data, peer.seq))
            peer.seq += packet_count(len(data))
            size, count = size + len(data), count + 1
            if size >= CHUNK:
                if peer.killed:
                    raise Killed
                self._send(peer, b"".join(out))
                out, size = [], 0
        if out:
            self._send(peer, b"".join(out))
        return count

    # --- prepared statements --------------------------------------------------------------------

    def _find(self, peer: Peer, body: bytes) -> Statement:
        number = int.from_bytes(body[1:5], "little")
        found = peer.statements.get(number)
        if found is None:
            raise SqlError(
                1243, "HY000", f"Unknown prepared statement handler ({number}) given to mysqld_stmt"
            )
        return found

    def _prepare(self, peer: Peer, text: str) -> None:
        from sqlglot import exp

        trees = self.database.parse(text)
        if len(trees) != 1:
            raise SqlError(1064, "42000", f"You have an error in your SQL syntax near '{text[-40:]}'")
        tree, session = trees[0], peer.session
        assert session is not None
        parameters = len(list(tree.find_all(exp.Placeholder)))
        columns: list[ColumnInfo] = []
        if isinstance(tree, exp.Select | exp.Show) and not tree.args.get("into"):
            columns = self._columns_of(session, tree)
        number = peer.next_statement
        peer.next_statement += 1
        peer.statements[number] = Statement(text, parameters, columns)
        old = not peer.capabilities & Capability.DEPRECATE_EOF
        eof = Eof(0, session.status).encode()
        messages = [Prepared(number, len(columns), parameters).encode()]
        for group in ([Column(b"?").encode()] * parameters, [self._column(c).encode() for c in columns]):
            messages += group
            if group and old:
                messages.append(eof)
        self._say(peer, *messages)

    def _columns_of(self, session: Session, tree: Any) -> list[ColumnInfo]:
        """The columns that a SELECT will have, as far as can be told before it runs."""
        from sqlglot import exp

        source = tree.args.get("from_") or tree.args.get("from")
        if isinstance(tree, exp.Select) and source is not None:
            if source.this.name.lower() == "generated":
                return [ColumnInfo("id", int(Type.LONGLONG)), ColumnInfo("pad")]
            table = session._table(source.this)
            columns: list[ColumnInfo] = []
            for each in tree.expressions:
                if isinstance(each, exp.Star):
                    columns += table.columns
                else:
                    columns.append(ColumnInfo(each.alias_or_name or "expr", int(Type.VAR_STRING)))
            return columns
        return [ColumnInfo(each.alias_or_name or "expr") for each in tree.expressions] or [ColumnInfo("a")]

    def _execute(self, peer: Peer, body: bytes, fault: Fault | None) -> None:
        found = self._find(peer, body)
        run = Execute.parse(body, found.parameters)
        if run.types is not None:
            found.types = run.types
        given = (
            run.parameters(found.parameters, found.types, frozenset(found.long)) if found.parameters else []
        )
        values: list[Value] = []
        for at, raw in enumerate(given):
            if at in found.long:
                values.append(bytes(found.long[at]))
            else:
                values.append(value_of(raw, found.types[2 * at], found.types[2 * at + 1]))
        result = self._carry_out(peer, self.database.parse(found.text)[0], values, found.text)
        found.long.clear()
        found.cursor = None
        self._strike(peer, fault)
        cursor = found if run.flags & CURSOR_READ_ONLY and result.has_rows else None
        self._answer(peer, result, False, True, cursor)

    def _fetch(self, peer: Peer, body: bytes) -> None:
        found = self._find(peer, body)
        if found.cursor is None:
            raise SqlError(1421, "HY000", "The statement has no open cursor.")
        most = int.from_bytes(body[5:9], "little")
        count = self._rows(peer, found.cursor_columns, found.cursor, most, True)
        flags = int(Status.CURSOR_EXISTS)
        if count < most:
            found.cursor, flags = None, int(Status.LAST_ROW_SENT)
        self._say(peer, self._end_of_rows(peer, Result(), flags=flags))


def _named(name: str) -> Any:
    from sqlglot import exp

    return exp.to_table(name)


# --- values in both protocols -------------------------------------------------------------------


def _seconds(value: dt.timedelta) -> int:
    return abs(value.days * 86400 + value.seconds)


def text_of(value: Value) -> bytes | None:
    """A value in the text protocol."""
    if value is None or isinstance(value, bytes):
        return value
    if isinstance(value, str):
        return value.encode("utf-8", "surrogateescape")
    if isinstance(value, bool):
        return str(int(value)).encode()
    if isinstance(value, dt.datetime):
        return value.isoformat(" ").encode()
    if isinstance(value, dt.timedelta):
        total = _seconds(value)
        return f"{total // 3600:02}:{total // 60 % 60:02}:{total % 60:02}".encode()
    if isinstance(value, float):
        return repr(value).removesuffix(".0").encode()
    return str(value).encode()


def _date(value: dt.date) -> bytes:
    out = struct.pack("<HBB", value.year, value.month, value.day)
    if isinstance(value, dt.datetime):
        out += struct.pack("<BBB", value.hour, value.minute, value.second)
        if value.microsecond:
            out += struct.pack("<I", value.microsecond)
    return bytes((len(out),)) + out


def _binary(kind: int, value: Value) -> bytes | None:
    if value is None:
        return None
    if kind == Type.LONGLONG:
        return struct.pack("<q", int(value))
    if kind == Type.LONG:
        return struct.pack("<i", int(value))
    if kind == Type.SHORT:
        return struct.pack("<h", int(value))
    if kind == Type.TINY:
        return struct.pack("<b", int(value))
    if kind == Type.DOUBLE:
        return struct.pack("<d", float(value))
    if kind in (Type.DATETIME, Type.DATE):
        return _date(value)
    if kind == Type.TIME:
        total = _seconds(value)
        return b"\x08\0" + struct.pack(
            "<IBBB", total // 86400, total // 3600 % 24, total // 60 % 60, total % 60
        )
    return encode_lenenc_string(text_of(value) or b"")


def binary_of(columns: list[ColumnInfo], row: Row) -> bytes:
    """A row in the binary protocol."""
    return binary_row([_binary(column.type, value) for column, value in zip(columns, row, strict=True)])


_NUMBERS = {Type.TINY: "b", Type.SHORT: "h", Type.LONG: "i", Type.INT24: "i", Type.LONGLONG: "q"}


def value_of(raw: bytes | None, kind: int, flags: int) -> Value:
    """A parameter of the binary protocol."""
    if raw is None:
        return None
    if kind in _NUMBERS:
        letter = _NUMBERS[Type(kind)]
        return struct.unpack("<" + (letter.upper() if flags & UNSIGNED_PARAMETER else letter), raw)[0]
    if kind == Type.FLOAT:
        return float(struct.unpack("<f", raw)[0])
    if kind == Type.DOUBLE:
        return float(struct.unpack("<d", raw)[0])
    if kind in (Type.DATE, Type.DATETIME, Type.TIMESTAMP):
        body = raw[1:]
        if not body:
            return None
        year, month, day = struct.unpack("<HBB", body[:4])
        if kind == Type.DATE and len(body) == 4:
            return dt.date(year, month, day)
        hour, minute, second = struct.unpack("<BBB", body[4:7]) if len(body) >= 7 else (0, 0, 0)
        micro = int.from_bytes(body[7:11], "little")
        return dt.datetime(year, month, day, hour, minute, second, micro)
    if kind == Type.TIME:
        body = raw[1:]
        if not body:
            return dt.timedelta()
        days, hours, minutes, seconds = struct.unpack("<IBBB", body[1:8])
        value = dt.timedelta(days=days, hours=hours, minutes=minutes, seconds=seconds)
        return -value if body[0] else value
    data = FieldReader(raw).lenenc_string()
    if kind in (Type.DECIMAL, Type.NEWDECIMAL):
        return Decimal(data.decode())
    if kind in (Type.BLOB, Type.TINY_BLOB, Type.MEDIUM_BLOB, Type.LONG_BLOB):
        return data
    return data.decode("utf-8", "surrogateescape")


def accounts(names: Iterable[str], database: Database, schema: str = "shop", money: int = 1000) -> None:
    """The tables that transfers are tried on: `accounts`, and `transfers` with one row for each."""
    table = Table(
        "accounts", [ColumnInfo("name", int(Type.VAR_STRING), table="accounts"),
                     ColumnInfo("money", int(Type.LONG), table="accounts")],
    )  # fmt: skip
    table.rows = {name: [name, money] for name in names}
    database.tables[(schema, "accounts")] = table
    database.tables[(schema, "transfers")] = Table(
        "transfers", [ColumnInfo("id", int(Type.VAR_STRING), table="transfers"),
                      ColumnInfo("amount", int(Type.LONG), table="transfers")],
    )  # fmt: skip
