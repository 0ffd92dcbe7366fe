"""A MySQL test server with scripted faults, for loopback sockets and for virtual worlds.

The server uses the project's own protocol codec and stores its data in the small database of
`brambleusher.lab.mysql.engine`.  A function of the caller decides for each connection and each command
whether a fault is injected.
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
    """A fault that is injected into one connection or command.

    `kind` is one of:
      `error`: the server sends an ERR packet instead of the reply (for a connection, of the greeting);
      `silent`: the server sends nothing more but keeps the connection open;
      `before`: the connection is reset before the command runs;
      `after`: the command runs, then the connection is reset without a reply;
      `amid`: the command runs, then the connection is reset after `bytes` bytes of the reply;
      `nonsense`: the server sends bytes that are not a valid packet;
      `number`: the packets of the reply have wrong sequence numbers;
      `slow`: the server waits `seconds` before it runs the command;
      `late`: the command runs, then the server waits `seconds` before it replies.
    """

    kind: str
    bytes: int = 0
    seconds: float = 0.0
    errno: int = 1105
    state: str = "HY000"
    reset: bool = True


@dataclass(frozen=True, slots=True)
class FaultPoint:
    """A point at which a fault can be injected: a new connection (command -1) or a command with its text."""

    thread: int
    command: int = -1
    text: str = ""
    in_transaction: bool = False


@dataclass(slots=True)
class MysqlSettings:
    """Accounts, protocol options, limits and simulated speed of a test server."""

    users: dict[str, Secret] = field(default_factory=dict)
    plugin: str = CACHING_SHA2
    capabilities: int = CAPABILITIES
    version: str = "8.0.36-stand-in"
    max_connections: int = 151
    lock_wait_seconds: float = 5.0
    work_seconds: float = 0.0  # time in seconds for which each statement occupies a worker slot
    slots: int = 0  # maximum number of statements executed at the same time; 0 means unlimited
    slowness: float = 1.0  # factor by which work_seconds is multiplied, to simulate a slow server
    tls: Any = None  # ssl.SSLContext of the server, or None for connections without TLS


class ScriptedReset(Exception):
    """A scripted fault resets the connection."""


class Killed(Exception):
    """The running statement was interrupted by KILL."""


@dataclass(slots=True)
class Statement:
    """A prepared statement with its parameter types and, if open, its cursor."""

    text: str
    parameters: int
    columns: list[ColumnInfo]
    types: bytes = b""
    long_data: dict[int, bytearray] = field(default_factory=dict)
    cursor: Iterator[Row] | None = None
    cursor_columns: list[ColumnInfo] = field(default_factory=list)


class ClientConnection:
    """Server-side state of one client connection."""

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
        self.budget: int | None = None  # number of bytes to send before a scripted reset of the connection


class MysqlServer(Server):
    """A MySQL server with scripted faults.

    `choose_fault` decides which faults are injected.  If `record_commands` is set, `seen` contains every
    received command.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        name: str,
        database: Database,
        settings: MysqlSettings,
        seed: int = 0,
        choose_fault: Callable[[FaultPoint], Fault | None] | None = None,
        record_commands: bool = False,
    ) -> None:
        super().__init__(scheduler, name)
        self.database, self.settings = database, settings
        self.choose_fault = choose_fault or (lambda point: None)
        # Thread id, command code and statement text of each received command, if `record_commands` is set.
        self.seen: list[tuple[int, int, str]] = []
        self.record_commands = record_commands
        self.clients: dict[int, ClientConnection] = {}
        self.rejected_connections = self.most_open = self.statements_run = 0
        self._rng = random.Random(seed)
        self._rsa = RsaKey()
        self._threads = 100 * (seed % 1000)
        self._slot_waiters: deque[Event] = deque()
        self._slots_used = 0
        self._lock_waits: list[ClientConnection] = []
        database.on_unlock = self._wake_lock_waiters

    # --- connections ----------------------------------------------------------------------------

    def serve(self, connection: Connection) -> None:
        """Serve one client from the greeting to the end of its connection."""
        self._threads += 1
        client = ClientConnection(Channel(connection.stream), connection, self._threads)
        fault = self.choose_fault(FaultPoint(client.thread))
        try:
            if len(self.clients) >= self.settings.max_connections:
                self.rejected_connections += 1
                fault = Fault("error", errno=1040, state="08004")
            if fault is not None and not self._inject_at_greeting(client, fault):
                return
            self.clients[client.thread] = client
            self.most_open = max(self.most_open, len(self.clients))
            if self._log_in(client):
                while self._command(client):
                    pass
        except ScriptedReset:
            self.reset(connection)
        except ProtocolError as error:
            self._send(client, frame(Err(error.errno, error.state, str(error)).encode(), client.seq))
        finally:
            self.clients.pop(client.thread, None)
            if client.session is not None:
                client.session.end()

    def crash(self) -> None:
        """Simulate a crash: reset all connections and roll back all open transactions."""
        self.close(reset=True)
        for client in list(self.clients.values()):
            if client.session is not None:
                client.session.end()
        self.clients.clear()

    def _inject_at_greeting(self, client: ClientConnection, fault: Fault) -> bool:
        """Inject a fault at the start of a connection; return whether the connection continues."""
        if fault.kind == "error":
            text = "Too many connections" if fault.errno == 1040 else "scripted"
            self._send(client, frame(Err(fault.errno, fault.state, text).encode(), 0))
            return False
        if fault.kind == "nonsense":
            self._send(client, b"SSH-2.0-OpenSSH_9.2p1\r\n")
            return False
        if fault.kind in ("slow", "late"):
            self.scheduler.sleep(fault.seconds)
            return True
        if fault.kind == "silent":
            self._stop_responding(client)
        raise ScriptedReset

    def _stop_responding(self, client: ClientConnection) -> None:
        """Send nothing more and wait until the client closes the connection."""
        while client.channel.receive(self.scheduler.now() + WAIT_SECONDS):
            pass
        raise ScriptedReset

    def _send(self, client: ClientConnection, data: bytes) -> None:
        if client.budget is not None:
            allowed = data[: client.budget]
            client.budget -= len(allowed)
            if allowed:
                client.channel.send(allowed, self.scheduler.now() + WAIT_SECONDS)
            if len(allowed) < len(data) or client.budget == 0:
                raise ScriptedReset
            return
        client.channel.send(data, self.scheduler.now() + WAIT_SECONDS)

    def _log_in(self, client: ClientConnection) -> bool:
        settings = self.settings
        challenge = bytes(self._rng.randrange(1, 128) for _ in range(SCRAMBLE))
        capabilities = settings.capabilities | (Capability.SSL if settings.tls is not None else 0)
        login = ServerLogin(
            client.thread,
            challenge,
            int(capabilities),
            settings.users.get,
            self._rsa,
            settings.version,
            settings.plugin,
        )
        self._send(client, login.encode_greeting())
        return self._authenticate(client, login)

    def _authenticate(self, client: ClientConnection, login: ServerLogin) -> bool:
        while True:
            turn = login.step()
            if turn is LoginStep.DONE:
                break
            if login.out:
                out, login.out = login.out, b""
                self._send(client, out)
            if turn is LoginStep.REJECTED:
                return False
            if turn is LoginStep.TLS:
                deadline = self.scheduler.now() + WAIT_SECONDS
                client.channel.start_tls(self.settings.tls, True, "", login.take_leftover(), deadline)
            elif turn is LoginStep.READ:
                data = client.channel.receive(self.scheduler.now() + WAIT_SECONDS)
                if not data:
                    return False
                login.feed(data)
        assert login.login is not None
        client.capabilities = login.capabilities
        client.session = session = Session(self.database, client.thread, login.login.user, self._wall_time)
        session.reports_found_rows = bool(login.capabilities & Capability.FOUND_ROWS)
        if not self._select_initial_schema(client, login, login.login):
            return False
        self._send(client, login.complete_login())
        client.reader.feed(login.take_leftover())
        return True

    def _select_initial_schema(
        self, client: ClientConnection, login: ServerLogin, client_login: Login
    ) -> bool:
        assert client.session is not None
        if client_login.database:
            try:
                client.session.use(client_login.database)
            except SqlError as error:
                self._send(client, frame(Err(error.errno, error.state, str(error)).encode(), login.seq))
                return False
        return True

    def _wall_time(self) -> dt.datetime:
        ns = self.scheduler.system.wall_ns()
        return dt.datetime.fromtimestamp(ns // 1_000_000_000, dt.UTC).replace(tzinfo=None)

    # --- commands -------------------------------------------------------------------------------

    def _command(self, client: ClientConnection) -> bool:
        reader = client.reader
        reader.set_sequence()
        while (body := reader.take()) is None:
            data = client.channel.receive(self.scheduler.now() + WAIT_SECONDS, client.event)
            if data is None:
                if client.killed:
                    raise ScriptedReset
                continue
            if not data:
                return False
            reader.feed(data)
        client.seq, session = reader.seq, client.session
        assert session is not None
        if not body:
            raise ProtocolError("an empty command", 1047)
        code = body[0]
        if code == Command.QUIT:
            return False
        text = self._text_of(client, code, body)
        if self.record_commands:
            self.seen.append((client.thread, code, text))
        fault = self.choose_fault(FaultPoint(client.thread, code, text, session.in_transaction))
        if fault is not None:
            if fault.kind == "before":
                raise ScriptedReset
            if fault.kind == "silent":
                self._stop_responding(client)
            if fault.kind == "nonsense":
                self._send(client, b"\x07\0\0" + bytes((client.seq,)) + b"\x2anonsen")
                return True
            if fault.kind == "error":
                self._send_error(client, SqlError(fault.errno, fault.state, "scripted"))
                return fault.errno != 1053
            if fault.kind == "slow":
                self.scheduler.sleep(fault.seconds)
        try:
            self._dispatch(client, code, body, text, fault)
        except SqlError as error:
            session.warnings = [("Error", error.errno, str(error))]
            self._send_error(client, error)
        except Killed:
            self._send_error(client, SqlError(1317, "70100", "Query execution was interrupted"))
        finally:
            client.running = ""
        return True

    def _text_of(self, client: ClientConnection, code: int, body: bytes) -> str:
        if code in (Command.QUERY, Command.STMT_PREPARE, Command.INIT_DB):
            return body[1:].decode("utf-8", "surrogateescape")
        if code in (Command.STMT_EXECUTE, Command.STMT_FETCH):
            statement = client.statements.get(int.from_bytes(body[1:5], "little"))
            return statement.text if statement is not None else ""
        return ""

    def _send_error(self, client: ClientConnection, error: SqlError) -> None:
        self._send(client, frame(Err(error.errno, error.state, str(error)).encode(), client.seq))

    def _send_packets(self, client: ClientConnection, *messages: bytes) -> None:
        out = b""
        for message in messages:
            out += frame(message, client.seq)
            client.seq += packet_count(len(message))
        self._send(client, out)

    def _send_ok(self, client: ClientConnection, result: Result | None = None, more: bool = False) -> None:
        self._send_packets(client, self._ok_packet(client, result or Result(), more))

    def _ok_packet(
        self, client: ClientConnection, result: Result, more: bool = False, header: int = 0, flags: int = 0
    ) -> bytes:
        session = client.session
        assert session is not None
        status = session.status | flags | (Status.MORE_RESULTS if more else 0)
        state = b""
        if client.capabilities & Capability.SESSION_TRACK and session.schema and header == 0:
            state = encode_session_changes([(SessionChange.SCHEMA, (session.schema.encode(),))])
            status |= Status.SESSION_STATE_CHANGED
        ok = Ok(
            result.affected, result.last_id, int(status), len(session.warnings), result.info.encode(), state
        )
        return ok.encode(client.capabilities, header)

    def _dispatch(
        self, client: ClientConnection, code: int, body: bytes, text: str, fault: Fault | None
    ) -> None:
        session = client.session
        assert session is not None
        if code == Command.QUERY:
            self._query(client, text, fault)
        elif code == Command.PING:
            self._send_ok(client)
        elif code == Command.INIT_DB:
            self._inject_after_run(client, fault)
            session.use(text)
            self._send_ok(client)
        elif code == Command.STMT_PREPARE:
            self._inject_after_run(client, fault)
            self._prepare(client, text)
        elif code == Command.STMT_EXECUTE:
            self._execute(client, body, fault)
        elif code == Command.STMT_FETCH:
            self._inject_after_run(client, fault)
            self._fetch(client, body)
        elif code == Command.STMT_SEND_LONG_DATA:
            statement = client.statements.get(int.from_bytes(body[1:5], "little"))
            if statement is not None:
                statement.long_data.setdefault(int.from_bytes(body[5:7], "little"), bytearray()).extend(
                    body[7:]
                )
        elif code == Command.STMT_CLOSE:
            client.statements.pop(int.from_bytes(body[1:5], "little"), None)
        elif code == Command.STMT_RESET:
            statement = self._find_statement(client, body)
            statement.cursor = None
            statement.long_data.clear()
            self._send_ok(client)
        elif code == Command.SET_OPTION:
            multi = int.from_bytes(body[1:3], "little") == 0
            flag = int(Capability.MULTI_STATEMENTS)
            client.capabilities = client.capabilities | flag if multi else client.capabilities & ~flag
            self._send_packets(client, self._end_of_rows(client, Result()))
        elif code == Command.RESET_CONNECTION:
            schema = session.schema
            session.reset()
            session.schema = schema
            client.statements.clear()
            self._send_ok(client)
        elif code == Command.CHANGE_USER:
            self._change_user(client, body)
        elif code == Command.FIELD_LIST:
            table = session._table(_table_node(body[1:].split(b"\0")[0].decode()))
            for column in table.columns:
                self._send_packets(client, self._column(column).encode() + encode_lenenc_string(b""))
            self._send_packets(client, self._end_of_rows(client, Result()))
        elif code == Command.STATISTICS:
            self._send_packets(client, b"Uptime: 1  Threads: 1")
        elif code == Command.PROCESS_KILL:
            self._kill(client, int.from_bytes(body[1:5], "little"), False)
            self._send_ok(client)
        else:
            raise SqlError(1047, "08S01", "Unknown command")

    def _change_user(self, client: ClientConnection, body: bytes) -> None:
        assert client.session is not None
        client.session.end()
        login = ServerLogin(
            client.thread, b"", client.capabilities, self.settings.users.get, self._rsa,
            self.settings.version, self.settings.plugin,
        )  # fmt: skip
        login.secure = client.channel.secure
        challenge = bytes(self._rng.randrange(1, 128) for _ in range(SCRAMBLE))
        login.change_user(body, client.capabilities, b"", challenge)
        client.statements.clear()
        if not self._authenticate(client, login):
            raise ScriptedReset

    # --- statements -----------------------------------------------------------------------------

    def _inject_after_run(self, client: ClientConnection, fault: Fault | None) -> None:
        """Inject a fault that takes effect after a command has run."""
        if fault is None:
            return
        if fault.kind == "after":
            raise ScriptedReset
        if fault.kind == "amid":
            client.budget = fault.bytes
        if fault.kind == "late":
            self.scheduler.sleep(fault.seconds)
        if fault.kind == "number":
            client.seq += 1

    def _query(self, client: ClientConnection, text: str, fault: Fault | None) -> None:
        killed = re.match(r"\s*kill\s+(query\s+|connection\s+)?([0-9]+)\s*;?\s*$", text, re.I)
        if killed is not None:
            self._inject_after_run(client, fault)
            self._kill(client, int(killed[2]), (killed[1] or "").strip().lower() == "query")
            self._send_ok(client)
            return
        trees = self.database.parse(text)
        if not trees:
            raise SqlError(1065, "42000", "Query was empty")
        if len(trees) > 1 and not client.capabilities & Capability.MULTI_STATEMENTS:
            raise SqlError(1064, "42000", f"You have an error in your SQL syntax near '{text[-40:]}'")
        for at, tree in enumerate(trees):
            result = self._run_statement(client, tree, [], text)
            more = at + 1 < len(trees)
            if not more:
                self._inject_after_run(client, fault)
            self._send_result(client, result, more, binary=False)

    def _run_statement(
        self, client: ClientConnection, tree: Any, parameters: list[Value], text: str
    ) -> Result:
        """Execute a statement, waiting for a worker slot, SLEEP() calls and locks."""
        session = client.session
        assert session is not None
        client.running, client.killed = text, False
        self.statements_run += 1
        session.finished_sleeps = 0
        if self.settings.work_seconds or self.settings.slots:
            self._occupy_slot(client)
        deadline = self.scheduler.now() + self.settings.lock_wait_seconds
        while True:
            try:
                return session.run(tree, parameters)
            except Sleep as sleep:
                self._wait(client, self.scheduler.now() + sleep.seconds)
                session.finished_sleeps += 1
            except Blocked as blocked:
                session.waits_for = blocked.lock_owner
                self._lock_waits.append(client)
                try:
                    if not self._wait(client, deadline):
                        raise SqlError(
                            1205, "HY000", "Lock wait timeout exceeded; try restarting transaction"
                        ) from None
                finally:
                    session.waits_for = None
                    if client in self._lock_waits:
                        self._lock_waits.remove(client)

    def _occupy_slot(self, client: ClientConnection) -> None:
        """Occupy a worker slot for the simulated execution time of a statement."""
        settings = self.settings
        while settings.slots and self._slots_used >= settings.slots:
            self._slot_waiters.append(client.event)
            try:
                self._wait(client, self.scheduler.now() + WAIT_SECONDS)
            finally:
                if client.event in self._slot_waiters:
                    self._slot_waiters.remove(client.event)
        self._slots_used += 1
        try:
            if settings.work_seconds:
                self._wait(client, self.scheduler.now() + settings.work_seconds * settings.slowness)
        finally:
            self._slots_used -= 1
            if self._slot_waiters:
                self._slot_waiters.popleft().set()

    def _wait(self, client: ClientConnection, until: float) -> bool:
        """Wait for the client's event; return False if `until` comes first, raise `Killed` after KILL."""
        try:
            self.scheduler.park(until, event=client.event)
        except TaskTimeoutError:
            return False
        if client.killed:
            raise Killed
        return True

    def _wake_lock_waiters(self) -> None:
        for client in self._lock_waits:
            client.event.set()

    def _kill(self, client: ClientConnection, thread: int, query: bool) -> None:
        target = self.clients.get(thread)
        if target is None:
            raise SqlError(1094, "HY000", f"Unknown thread id: {thread}")
        if query and not target.running:
            return
        target.killed = True
        target.event.set()
        if not query and target.connection.task is not None:
            target.connection.task.cancel()

    # --- replies --------------------------------------------------------------------------------

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

    def _end_of_rows(
        self, client: ClientConnection, result: Result, more: bool = False, flags: int = 0
    ) -> bytes:
        if client.capabilities & Capability.DEPRECATE_EOF:
            return self._ok_packet(client, Result(info=result.info), more, 0xFE, flags)
        assert client.session is not None
        status = client.session.status | flags | (Status.MORE_RESULTS if more else 0)
        return Eof(len(client.session.warnings), int(status)).encode()

    def _send_result(
        self,
        client: ClientConnection,
        result: Result,
        more: bool,
        binary: bool,
        cursor: Statement | None = None,
    ) -> None:
        if not result.has_rows:
            self._send_ok(client, result, more)
            return
        eof_packets = not client.capabilities & Capability.DEPRECATE_EOF
        messages = [
            encode_lenenc_integer(len(result.columns)),
            *(self._column(c).encode() for c in result.columns),
        ]
        if cursor is not None:
            cursor.cursor, cursor.cursor_columns = iter(result.rows), result.columns
            self._send_packets(
                client, *messages, self._end_of_rows(client, result, more, int(Status.CURSOR_EXISTS))
            )
            return
        if eof_packets:
            messages.append(self._end_of_rows(client, Result(), False))
        self._send_packets(client, *messages)
        self._send_rows(client, result.columns, iter(result.rows), None, binary)
        self._send_packets(client, self._end_of_rows(client, result, more))

    def _send_rows(
        self,
        client: ClientConnection,
        columns: list[ColumnInfo],
        rows: Iterator[Row],
        max_rows: int | None,
        binary: bool,
    ) -> int:
        """Send at most `max_rows` rows in chunks; return the number of rows sent."""
        out, size, count = [], 0, 0
        while max_rows is None or count < max_rows:
            row = next(rows, None)
            if row is None:
                break
            data = binary_of(columns, row) if binary else text_row([text_of(value) for value in row])
            out.append(frame(data, client.seq))
            client.seq += packet_count(len(data))
            size, count = size + len(data), count + 1
            if size >= CHUNK:
                if client.killed:
                    raise Killed
                self._send(client, b"".join(out))
                out, size = [], 0
        if out:
            self._send(client, b"".join(out))
        return count

    # --- prepared statements --------------------------------------------------------------------

    def _find_statement(self, client: ClientConnection, body: bytes) -> Statement:
        number = int.from_bytes(body[1:5], "little")
        statement = client.statements.get(number)
        if statement is None:
            raise SqlError(
                1243, "HY000", f"Unknown prepared statement handler ({number}) given to mysqld_stmt"
            )
        return statement

    def _prepare(self, client: ClientConnection, text: str) -> None:
        from sqlglot import exp

        trees = self.database.parse(text)
        if len(trees) != 1:
            raise SqlError(1064, "42000", f"You have an error in your SQL syntax near '{text[-40:]}'")
        tree, session = trees[0], client.session
        assert session is not None
        parameters = len(list(tree.find_all(exp.Placeholder)))
        columns: list[ColumnInfo] = []
        if isinstance(tree, exp.Select | exp.Show) and not tree.args.get("into"):
            columns = self._expected_columns(session, tree)
        number = client.next_statement
        client.next_statement += 1
        client.statements[number] = Statement(text, parameters, columns)
        eof_packets = not client.capabilities & Capability.DEPRECATE_EOF
        eof = Eof(0, session.status).encode()
        messages = [Prepared(number, len(columns), parameters).encode()]
        for group in ([Column(b"?").encode()] * parameters, [self._column(c).encode() for c in columns]):
            messages += group
            if group and eof_packets:
                messages.append(eof)
        self._send_packets(client, *messages)

    def _expected_columns(self, session: Session, tree: Any) -> list[ColumnInfo]:
        """Return the expected result columns of a SELECT or SHOW before it is executed."""
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

    def _execute(self, client: ClientConnection, body: bytes, fault: Fault | None) -> None:
        statement = self._find_statement(client, body)
        execute = Execute.parse(body, statement.parameters)
        if execute.types is not None:
            statement.types = execute.types
        raw_values = (
            execute.parameters(statement.parameters, statement.types, frozenset(statement.long_data))
            if statement.parameters
            else []
        )
        values: list[Value] = []
        for at, raw in enumerate(raw_values):
            if at in statement.long_data:
                values.append(bytes(statement.long_data[at]))
            else:
                values.append(value_of(raw, statement.types[2 * at], statement.types[2 * at + 1]))
        result = self._run_statement(client, self.database.parse(statement.text)[0], values, statement.text)
        statement.long_data.clear()
        statement.cursor = None
        self._inject_after_run(client, fault)
        cursor = statement if execute.flags & CURSOR_READ_ONLY and result.has_rows else None
        self._send_result(client, result, False, True, cursor)

    def _fetch(self, client: ClientConnection, body: bytes) -> None:
        statement = self._find_statement(client, body)
        if statement.cursor is None:
            raise SqlError(1421, "HY000", "The statement has no open cursor.")
        max_rows = int.from_bytes(body[5:9], "little")
        count = self._send_rows(client, statement.cursor_columns, statement.cursor, max_rows, True)
        flags = int(Status.CURSOR_EXISTS)
        if count < max_rows:
            statement.cursor, flags = None, int(Status.LAST_ROW_SENT)
        self._send_packets(client, self._end_of_rows(client, Result(), flags=flags))


def _table_node(name: str) -> Any:
    from sqlglot import exp

    return exp.to_table(name)


# --- values in both protocols -------------------------------------------------------------------


def _total_seconds(value: dt.timedelta) -> int:
    return abs(value.days * 86400 + value.seconds)


def text_of(value: Value) -> bytes | None:
    """Encode a value for the text protocol."""
    if value is None or isinstance(value, bytes):
        return value
    if isinstance(value, str):
        return value.encode("utf-8", "surrogateescape")
    if isinstance(value, bool):
        return str(int(value)).encode()
    if isinstance(value, dt.datetime):
        return value.isoformat(" ").encode()
    if isinstance(value, dt.timedelta):
        total = _total_seconds(value)
        return f"{total // 3600:02}:{total // 60 % 60:02}:{total % 60:02}".encode()
    if isinstance(value, float):
        return repr(value).removesuffix(".0").encode()
    return str(value).encode()


def _encode_date(value: dt.date) -> bytes:
    out = struct.pack("<HBB", value.year, value.month, value.day)
    if isinstance(value, dt.datetime):
        out += struct.pack("<BBB", value.hour, value.minute, value.second)
        if value.microsecond:
            out += struct.pack("<I", value.microsecond)
    return bytes((len(out),)) + out


def _encode_binary(kind: int, value: Value) -> bytes | None:
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
        return _encode_date(value)
    if kind == Type.TIME:
        total = _total_seconds(value)
        return b"\x08\0" + struct.pack(
            "<IBBB", total // 86400, total // 3600 % 24, total // 60 % 60, total % 60
        )
    return encode_lenenc_string(text_of(value) or b"")


def binary_of(columns: list[ColumnInfo], row: Row) -> bytes:
    """Encode a row for the binary protocol."""
    return binary_row(
        [_encode_binary(column.type, value) for column, value in zip(columns, row, strict=True)]
    )


_INTEGER_FORMATS = {Type.TINY: "b", Type.SHORT: "h", Type.LONG: "i", Type.INT24: "i", Type.LONGLONG: "q"}


def value_of(raw: bytes | None, kind: int, flags: int) -> Value:
    """Decode a parameter of the binary protocol."""
    if raw is None:
        return None
    if kind in _INTEGER_FORMATS:
        letter = _INTEGER_FORMATS[Type(kind)]
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


def create_transfer_tables(
    names: Iterable[str], database: Database, schema: str = "shop", money: int = 1000
) -> None:
    """Create the tables for transfer tests: `accounts` with a row for each name, and an empty `transfers`."""
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
