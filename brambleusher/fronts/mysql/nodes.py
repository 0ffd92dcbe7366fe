"""Connection pools to the MySQL nodes, by node and account, and the attempts that use them.

This is the MySQL counterpart of `net.upstream_pool.UpstreamPool`.  An attempt is one statement or a whole
transaction.  A successful attempt returns its connection to the pool; if the response continues or the
session is pinned, the connection passes to the session as a `ReservedConnection`.
"""

from __future__ import annotations

import logging
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from brambleusher.decisions.requests import AttemptOutcome
from brambleusher.fronts.mysql.auth import ClientLogin, LoginRejectedError, LoginStep
from brambleusher.fronts.mysql.channel import Channel, client_context
from brambleusher.fronts.mysql.constants import Capability, Command, Errno
from brambleusher.fronts.mysql.constants import Status as Flag
from brambleusher.fronts.mysql.load import DECAY_LATENCY_TARGETS, LoadMeter
from brambleusher.fronts.mysql.messages import Err, Execute, parse_text_row
from brambleusher.fronts.mysql.packets import PacketReader, ProtocolError, frame, packet_count
from brambleusher.fronts.mysql.replies import ReplyRelay
from brambleusher.fronts.mysql.session import (
    ConnectionTraits,
    PreparedText,
    RequiredState,
    Session,
    replay_text,
)
from brambleusher.fronts.mysql.settings import MysqlSettings, Passwords
from brambleusher.loadbalancing.api import (
    CONNECT_TIMEOUT_FRACTION,
    AttemptStatus,
    HostState,
    LoadReport,
    Settings,
)
from brambleusher.net.endpoint_list import Endpoint, EndpointListUpdate
from brambleusher.net.request_lifecycle import AttemptSpec
from brambleusher.observability.counters import Counters
from brambleusher.runtime.scheduler import Event, Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import Stream, WaitInterruptedError

log = logging.getLogger(__name__)

NODE_CAPABILITIES = int(
    Capability.LONG_PASSWORD | Capability.LONG_FLAG | Capability.PROTOCOL_41 | Capability.TRANSACTIONS
    | Capability.SECURE_CONNECTION | Capability.MULTI_RESULTS | Capability.PS_MULTI_RESULTS
    | Capability.PLUGIN_AUTH | Capability.PLUGIN_AUTH_LENENC | Capability.SESSION_TRACK
    | Capability.DEPRECATE_EOF
)  # fmt: skip
# Maximum number and total text size in bytes of the statements that stay prepared on one connection.
MAX_PREPARED_PER_CONNECTION, MAX_PREPARED_BYTES_PER_CONNECTION = 64, 512 * 1024
MAX_CONCURRENT_KILLS = 2  # maximum number of concurrent KILL commands per node
MAX_QUEUED_KILLS = 256  # maximum number of queued KILL commands per node
CONTROL_COMMAND_SECONDS = 2.0  # timeout of a KILL or a reset, in seconds
LIMIT_RETRY_SECONDS = 30.0  # interval in seconds between attempts to exceed a limit learned from error 1040
NODE_ERRORS = frozenset({Errno.CON_COUNT, Errno.SERVER_SHUTDOWN, Errno.SERVER_ISNT_AVAILABLE})
MAX_KILLED_SECONDS = 5.0
DRAIN_START_FRACTION = 0.8  # fraction of the drain grace period in which a draining node may get new requests


class ConnectionDisposition(Enum):
    """What happens to a connection after its statement has a complete response."""

    RELEASE = "release"
    RESERVE = "keep"  # reserve the connection for a pinned session; the attempt is over
    RESERVE_FOR_TRANSACTION = "hold"  # keep the attempt open until the transaction ends
    DISCARD_REPLY = "refused"  # discard the response, which no client awaits any more


class SessionSetupError(Exception):
    """The session state could not be set up on a connection; the statement was not sent."""

    def __init__(self, error: Err) -> None:
        super().__init__(error.text)
        self.error = error


class ConnectionOwner(Protocol):
    """A client session as seen by the connection pool."""

    session: Session
    last_conn: NodeConnection | None  # the connection on which the session's last statement ran
    last_id_conn: NodeConnection | None  # the connection that holds the session's LAST_INSERT_ID

    def node_draining(self, reserved: ReservedConnection) -> None:
        """Notify the session that the node of its reserved connection drains."""


class NodeConnection:
    """One connection to a node, with its known session state."""

    __slots__ = (
        "account", "autocommit", "capabilities", "channel", "collation", "unusable", "last_id_owner",
        "statement_capabilities", "multi", "node", "owner", "prepared", "schema", "settings", "thread",
        "used_at",
    )  # fmt: skip

    def __init__(self, node: Node, channel: Channel, traits: ConnectionTraits, login: ClientLogin) -> None:
        assert login.greeting is not None
        assert login.ok is not None
        self.node, self.channel, self.account = node, channel, traits.account
        self.collation, self.statement_capabilities = traits.collation, traits.statement_capabilities
        self.thread, self.capabilities = login.greeting.thread, login.capabilities
        self.autocommit = bool(login.ok.status & Flag.AUTOCOMMIT)
        self.multi = bool(login.capabilities & Capability.MULTI_STATEMENTS)
        self.schema = ""
        self.settings: tuple[tuple[str, str], ...] = ()
        # Statement id and number of parameters by schema, settings and statement text.
        self.prepared: OrderedDict[tuple[str, object, bytes], tuple[int, int]] = OrderedDict()
        self.used_at = channel.stream.used_at
        self.owner: ConnectionOwner | None = None  # the session whose statement ran last on this connection
        # The session whose LAST_INSERT_ID the connection may hold.
        self.last_id_owner: ConnectionOwner | None = None
        self.unusable = False  # a KILL may be in flight or the stream is corrupt, so no other session gets it

    def matches(self, traits: ConnectionTraits) -> bool:
        """Return whether sessions with these traits may use the connection."""
        return (
            self.account == traits.account
            and self.collation == traits.collation
            and self.statement_capabilities == traits.statement_capabilities
            and not (traits.no_schema and self.schema)
        )

    def apply_reset(self) -> None:
        """Record a successful COM_RESET_CONNECTION, which restores all state but the schema."""
        self.settings, self.autocommit, self.owner = (), True, None
        self.prepared.clear()

    @property
    def pending_id_owner(self) -> ConnectionOwner | None:
        """The session whose LAST_INSERT_ID is known to this connection only, or None."""
        owner = self.last_id_owner
        if owner is not None and owner.last_id_conn is self and owner.session.last_id is None:
            return owner
        return None


@dataclass(slots=True, eq=False)
class Node:
    """One node: its address, its connections, and the attempts that wait for a connection."""

    name: str
    address: tuple[str, int]
    started_ns: int
    meter: LoadMeter
    # Idle connections, with the most recently used one at the end.
    idle: list[NodeConnection] = field(default_factory=list)
    attempts: dict[MysqlAttempt, None] = field(default_factory=dict)  # a dict, for a deterministic order
    reserved: dict[ReservedConnection, None] = field(default_factory=dict)
    waiters: deque[MysqlAttempt] = field(default_factory=deque)
    open_count: int = 0
    by_account: dict[str, int] = field(default_factory=dict)
    connection_limit: int = 1 << 30  # connection limit learned from error 1040
    limit_learned_at: float = 0.0
    active_kills: int = 0
    queued_kills: deque[Callable[[], None]] = field(default_factory=deque)
    draining: bool = False
    drain_started_at: float = 0.0  # when the drain became known


class MysqlAttempt:
    """One attempt to run a command on a node, and its progress."""

    __slots__ = ("event", "traits", "granted", "load_counted", "sending", "cancel_status", "written")

    def __init__(self, traits: ConnectionTraits) -> None:
        self.event = Event()  # set when the attempt is cancelled or a connection may be available
        self.traits = traits
        self.granted: NodeConnection | None = None
        self.cancel_status: AttemptStatus | None = None
        self.sending = self.written = False
        self.load_counted = False  # the statement is counted in the node's load

    def cancel(self, status: AttemptStatus = AttemptStatus.CANCELLED) -> None:
        """Cancel the attempt; a running statement is stopped at the node."""
        if self.cancel_status is None:
            self.cancel_status = status
            self.event.set()

    def check(self) -> None:
        """Raise `WaitInterruptedError` if the attempt was cancelled."""
        if self.cancel_status is not None:
            raise WaitInterruptedError


@dataclass(slots=True, eq=False)
class PendingCommand:
    """One command of a session that is to run on a node, with its result."""

    owner: ConnectionOwner
    command: int
    body: bytes
    # Callback that is called as soon as a response is complete or has started.
    on_reply: Callable[[Reply], ConnectionDisposition]
    execution: Execute | None = None  # the execution of `prepared`, if the command is COM_STMT_EXECUTE
    prepared: PreparedText | None = None
    reads_last_id: bool = False
    depends_on_previous: bool = False
    statement_id: int | None = None  # the id by which the client knows the prepared statement
    seq: int = 1  # sequence number of the response's first packet
    may_have_run: bool = False  # a node may have run the command
    accepted_reply: Reply | None = None  # the accepted response
    closed: bool = False  # a response was accepted, or the client no longer waits for one
    conn: NodeConnection | None = None  # the connection on which the command was last sent
    broke: bool = False  # a response broke off after its first byte, so no other node is tried
    protocol_error: ProtocolError | None = None  # the protocol error in a response
    error: Err | None = None  # the error of a node that could not run the command

    @property
    def session(self) -> Session:
        """The session that issued the command."""
        return self.owner.session


@dataclass(slots=True, eq=False)
class Reply:
    """A complete or partial response: bytes for the client and the relay for the remaining bytes."""

    out: bytes
    relay: ReplyRelay
    reserved: ReservedConnection


class ReservedConnection:
    """A connection reserved for a session, together with the attempt that is still open on it."""

    __slots__ = ("_on_finished", "_nodes", "started_at", "conn", "load_counted", "node_time_ns")

    def __init__(self, nodes: MysqlNodes, conn: NodeConnection) -> None:
        self._nodes, self.conn = nodes, conn
        self._on_finished: Callable[[AttemptOutcome], None] | None = None
        self.started_at = 0.0  # when the attempt started
        self.node_time_ns = 0  # time in nanoseconds spent at the node, without the client's own time
        self.load_counted = False  # a statement on the connection is counted in the node's load
        conn.node.reserved[self] = None

    @property
    def node(self) -> Node:
        """The node of the connection."""
        return self.conn.node

    def client_seconds(self, now: float) -> float:
        """Return the seconds that the client itself used during the open attempt, or 0 after its end."""
        return now - self.started_at - self.node_time_ns / 1e9 if self._on_finished is not None else 0.0

    @property
    def attempt_open(self) -> bool:
        """Whether the attempt is still open."""
        return self._on_finished is not None

    def keep_attempt_open(
        self, on_finished: Callable[[AttemptOutcome], None], started_at: float, now: float
    ) -> None:
        """Keep the attempt open; `on_finished` is called with its outcome."""
        self._on_finished, self.started_at = on_finished, started_at
        self.node_time_ns = int((now - started_at) * 1e9)

    def finish(self, status: AttemptStatus) -> None:
        """End the attempt; repeated calls have no effect."""
        if self._on_finished is not None:
            on_finished, self._on_finished = self._on_finished, None
            report = self._nodes.report(self.node) if status is AttemptStatus.OK else None
            on_finished(AttemptOutcome(status, self.node_time_ns, report))

    def begin_load(self) -> None:
        """Start to count a statement on this connection in the node's load."""
        if not self.load_counted:
            self.load_counted = True
            self.node.meter.begin(self._nodes.now())

    def end_load(self) -> None:
        """Stop counting the statement, whose response is complete or will never be."""
        if self.load_counted:
            self.load_counted = False
            self.node.meter.end(self._nodes.now())

    def release(self) -> None:
        """Return the connection to the pool; it must hold no state that pins a session."""
        self.end_load()
        self.finish(AttemptStatus.OK)
        self.node.reserved.pop(self, None)
        self._nodes.give_back(self.conn)

    def drop(self, status: AttemptStatus) -> None:
        """Close the connection; the node rolls back its open transaction."""
        self.end_load()
        self.finish(status)
        self.node.reserved.pop(self, None)
        self._nodes.discard(self.conn)

    def stop(self, status: AttemptStatus) -> None:
        """Kill the running statement at the node and close the connection."""
        self.end_load()
        self.finish(status)
        self.node.reserved.pop(self, None)
        self._nodes.stop(self.conn)


class MysqlNodes:
    """The connection pools to all nodes in the endpoint list."""

    def __init__(
        self,
        scheduler: Scheduler,
        platform: Settings,
        settings: MysqlSettings,
        passwords: Passwords,
        counters: Counters,
        node_key: bytes | None = None,
    ) -> None:
        self._scheduler, self._settings, self._passwords = scheduler, settings, passwords
        self._counters, self._node_public_key = counters, node_key
        self._load_window = (
            DECAY_LATENCY_TARGETS * min(cls.latency_target_ns for cls in platform.classes) / 1e9
        )
        self._connect_seconds = platform.connect_timeout_ns / 1e9
        self._idle_seconds = settings.idle_ms / 1000
        # The remaining grace period is reserved for the set-up commands that precede a statement.
        self._request_start_seconds = platform.drain_grace_ns / 1e9 * DRAIN_START_FRACTION
        self._wait_seconds = settings.pool_wait_ms / 1000
        self._nodes: dict[str, Node] = {}
        self._open_total = 0  # number of open connections to all nodes
        tls = settings.node_tls
        self._context = (
            client_context(tls.ca_file, tls.host, tls.cert_file, tls.key_file) if tls.mode != "off" else None
        )

    def now(self) -> float:
        """Return the scheduler's time in seconds."""
        return self._scheduler.now()

    def new_requests_until(self, node: Node) -> float | None:
        """Return until when a pinned session may start a request on a draining node; None if it is active."""
        return node.drain_started_at + self._request_start_seconds if node.draining else None

    def report(self, node: Node | None) -> LoadReport:
        """Count a served attempt and return the load report of its node.

        The report is empty if the nodes report their load over HTTP (`load: none`).
        """
        if node is None or self._settings.load == "none":
            return LoadReport()
        node.meter.served(self.now())
        return node.meter.report(self.now(), min(self._settings.connections, node.connection_limit))

    # --- the endpoint list -----------------------------------------------------------------------

    def update(self, update: EndpointListUpdate) -> None:
        """Apply an endpoint list.

        Draining and removed nodes get no more attempts, and their pinned sessions are notified.
        """
        if update.full:
            listed = {endpoint.entry.host for endpoint in update.endpoints}
            for name in [name for name in self._nodes if name not in listed]:
                self._start_drain(self._nodes.pop(name))
        for endpoint in update.endpoints:
            self._update_node(endpoint)

    def _update_node(self, endpoint: Endpoint) -> None:
        entry = endpoint.entry
        node = self._nodes.get(entry.host)
        if entry.state is HostState.REMOVED:
            if node is not None:
                self._start_drain(self._nodes.pop(entry.host))
            return
        address = self._settings.addresses.get(entry.host) or (endpoint.address[0], self._settings.port)
        if node is not None and (node.address, node.started_ns) != (address, entry.started_ns):
            self._start_drain(node)
            node = None
        if node is None:
            node = self._nodes[entry.host] = Node(
                entry.host, address, entry.started_ns, LoadMeter(self._load_window)
            )
        if entry.state is HostState.DRAINING:
            self._start_drain(node)
        else:
            node.draining = False

    def _start_drain(self, node: Node) -> None:
        if not node.draining:  # later endpoint lists repeat the drain
            node.draining, node.drain_started_at = True, self._scheduler.now()
        while node.idle:
            self.discard(node.idle.pop())
        for attempt in list(node.attempts):
            if not attempt.sending:
                attempt.cancel(AttemptStatus.OVERLOADED)
        for reserved in list(node.reserved):
            if reserved.conn.owner is not None:
                reserved.conn.owner.node_draining(reserved)

    def close_idle(self, name: str) -> None:
        """Close the idle connections to a node, if it is known."""
        node = self._nodes.get(name)
        while node is not None and node.idle:
            self.discard(node.idle.pop())

    def close(self) -> None:
        """Close all idle connections."""
        for name in self._nodes:
            self.close_idle(name)

    def reap(self) -> None:
        """Run the task that closes connections which were idle for too long or closed by the node."""
        while True:
            self._scheduler.sleep(1.0)
            oldest_allowed = self._scheduler.now() - self._idle_seconds
            for node in list(self._nodes.values()):
                for conn in [
                    conn for conn in node.idle if conn.used_at < oldest_allowed or not conn.channel.quiet()
                ]:
                    if conn in node.idle:
                        node.idle.remove(conn)
                        self.discard(conn)

    def state(self) -> dict[str, dict[str, object]]:
        """Return the state of each node for JSON."""
        return {
            node.name: {
                "address": f"{node.address[0]}:{node.address[1]}", "open": node.open_count,
                "idle": len(node.idle), "held": len(node.reserved), "waiting": len(node.waiters),
                "most": node.connection_limit if node.connection_limit < 1 << 30 else None,
                "leaving": node.draining,
            }
            for node in self._nodes.values()
        }  # fmt: skip

    # --- attempts -------------------------------------------------------------------------------

    def start_attempt(self, spec: AttemptSpec) -> MysqlAttempt:
        """Start an attempt; call `on_response_started` for a continuing reply or a reserved connection."""
        name, payload, timeout_ns, deadline = spec.endpoint, spec.payload, spec.timeout_ns, spec.deadline
        on_finished, on_started, is_wanted = spec.on_finished, spec.on_response_started, spec.is_still_needed
        if not isinstance(payload, PendingCommand):
            raise TypeError("the payload of a MySQL attempt is not a MySQL command")
        attempt, started_at = MysqlAttempt(payload.session.traits), self._scheduler.now()
        limit = min(deadline, started_at + timeout_ns / 1e9) if timeout_ns else deadline

        def run() -> None:
            status, reply, transferred = AttemptStatus.ERROR, None, False
            node = self._nodes.get(name)
            try:
                if node is None or node.draining:
                    status = AttemptStatus.OVERLOADED
                else:
                    node.attempts[attempt] = None
                    status, reply, transferred = self._attempt(
                        node, attempt, payload, limit, on_finished, started_at, is_wanted
                    )
            except Exception:
                # Every attempt must end, otherwise its request would wait until the deadline.
                self._counters.add("faults")
                log.exception("claim failed", extra={"fields": {"node": name}})
            finally:
                if node is not None:
                    node.attempts.pop(attempt, None)
                    if attempt.load_counted:
                        node.meter.end(self._scheduler.now())
            if transferred or payload.broke:
                on_started(reply)
            if not transferred:
                duration_ns = int((self._scheduler.now() - started_at) * 1e9)
                on_finished(AttemptOutcome(
                    status, duration_ns, self.report(node) if status is AttemptStatus.OK else None, reply
                ))  # fmt: skip

        self._scheduler.spawn(run, name=f"mysql claim {name}")
        return attempt

    def _attempt(
        self,
        node: Node,
        attempt: MysqlAttempt,
        pending: PendingCommand,
        limit: float,
        on_finished: Callable[[AttemptOutcome], None],
        started_at: float,
        is_wanted: Callable[[], bool],
    ) -> tuple[AttemptStatus, Reply | None, bool]:
        """Run an attempt; return its status, its response, and whether the session now owns the attempt."""
        conn: NodeConnection | None = None
        relay: ReplyRelay | None = None
        try:
            conn = self._acquire(node, attempt, pending, limit)
            if conn is None:
                self._counters.add("connections_lacking")
                return AttemptStatus.NOT_STARTED, None, False
            self._set_up_session(conn, pending, attempt, limit)
            data, relay = self._encode_command(conn, pending, attempt, limit)
            pending.conn = conn
            attempt.check()
            # Nothing is sent for a request that is about to time out or no longer wanted.
            if limit - self._scheduler.now() < 0.001 or not is_wanted():
                self.give_back(conn)
                return AttemptStatus.NOT_STARTED, None, False
            self._counters.add("claims_sent")
            # An error of an earlier node must not be reported for a statement that this node may have run.
            pending.error = pending.protocol_error = None
            attempt.sending = attempt.load_counted = True
            node.meter.begin(self._scheduler.now())
            conn.channel.send(data, limit)
            attempt.written = pending.may_have_run = True
            out = b""
            while not out and not relay.done:
                out = relay.feed(self._receive(conn, attempt, limit))
        except SessionSetupError as failed:
            # An error such as an unknown schema of one client must not count against the node.
            pending.error = failed.error
            self._stop_or_drop(conn, attempt)
            is_node_error = failed.error.errno in NODE_ERRORS
            return AttemptStatus.OVERLOADED if is_node_error else AttemptStatus.NOT_STARTED, None, False
        except WaitInterruptedError:
            self._stop_or_drop(conn, attempt)
            return self._cancelled_status(attempt), None, False
        except TaskTimeoutError:
            self._stop_or_drop(conn, attempt)
            pending.broke = relay is not None and relay.started
            return AttemptStatus.TIMEOUT if attempt.written else AttemptStatus.CONNECT_FAILED, None, False
        except LoginRejectedError as rejected:
            return self._login_rejected(node, pending, rejected.error), None, False
        except ProtocolError as error:
            log.warning("bad response", extra={"fields": {"node": node.name, "reason": error}})
            self._stop_or_drop(conn, attempt)
            if not attempt.written:
                return AttemptStatus.CONNECT_FAILED, None, False
            pending.protocol_error, pending.broke = error, relay is not None and relay.started
            return AttemptStatus.ERROR, None, False
        except OSError:
            if conn is not None:
                self.discard(conn)
            pending.broke = relay is not None and relay.started
            return AttemptStatus.RESET if attempt.written else AttemptStatus.CONNECT_FAILED, None, False
        if relay.done and relay.error is not None and relay.error.errno in NODE_ERRORS:
            pending.error = relay.error
            self.discard(conn)
            return AttemptStatus.ERROR, None, False
        reserved = ReservedConnection(self, conn)
        if not relay.done:
            # The statement counts in the node's load until the rest of the response arrives.
            reserved.load_counted, attempt.load_counted = True, False
        reply = Reply(out, relay, reserved)
        if relay.has_trailing_bytes:
            conn.unusable = True  # the response is valid, but the connection can't be used for another
            log.warning("bytes behind an answer", extra={"fields": {"node": node.name}})
        disposition = pending.on_reply(reply)
        if disposition is ConnectionDisposition.DISCARD_REPLY:
            if relay.done and relay.prepared is None:
                reserved.release()
            else:
                reserved.stop(AttemptStatus.CANCELLED)
            return AttemptStatus.OK if relay.done else AttemptStatus.CANCELLED, None, False
        if disposition is ConnectionDisposition.RELEASE:
            reserved.release()
            return AttemptStatus.OK, reply, False
        if node.draining:
            pending.owner.node_draining(reserved)  # the drain became known while the response was awaited
        if disposition is ConnectionDisposition.RESERVE and relay.done:
            return AttemptStatus.OK, reply, False
        reserved.keep_attempt_open(on_finished, started_at, self._scheduler.now())
        return AttemptStatus.OK, reply, True

    @staticmethod
    def _cancelled_status(attempt: MysqlAttempt) -> AttemptStatus:
        return (
            attempt.cancel_status
            if attempt.cancel_status is not None and not attempt.written
            else AttemptStatus.CANCELLED
        )

    def _stop_or_drop(self, conn: NodeConnection | None, attempt: MysqlAttempt) -> None:
        if conn is None:
            return
        if attempt.written:
            self.stop(conn)
        else:
            self.discard(conn)

    def _login_rejected(self, node: Node, pending: PendingCommand, error: Err) -> AttemptStatus:
        """Return the attempt status for a rejected login; an error 1040 sets the node's connection limit."""
        if error.errno in (Errno.CON_COUNT, Errno.TOO_MANY_USER_CONNECTIONS):
            node.connection_limit = max(1, node.open_count)
            node.limit_learned_at = self._scheduler.now()
            self._counters.add("mysql_connections_refused")
            log.warning(
                "node is out of connections",
                extra={"fields": {"node": node.name, "most": node.connection_limit}},
            )
            return AttemptStatus.OVERLOADED
        log.warning(
            "login refused", extra={"fields": {"node": node.name, "errno": error.errno, "state": error.state}}
        )
        pending.error = Err.of(
            Errno.SERVER_ISNT_AVAILABLE, f"the node refused the sidecar's login ({error.errno})"
        )
        return AttemptStatus.CONNECT_FAILED

    def _receive(self, conn: NodeConnection, attempt: MysqlAttempt, limit: float) -> bytes:
        """Return the next bytes; raises `WaitInterruptedError` if the attempt is cancelled."""
        while True:
            data = conn.channel.receive(limit, attempt.event)
            if data is None:
                attempt.check()
                continue
            if not data:
                raise ConnectionResetError("the node closed the connection before the end of its response")
            return data

    # --- connections ----------------------------------------------------------------------------

    def _acquire(
        self, node: Node, attempt: MysqlAttempt, pending: PendingCommand, limit: float
    ) -> NodeConnection | None:
        """Return a connection for a session, or None if none became available in time.

        The order of preference is the session's last connection, an idle one, a new one, and the next one
        that another session returns.
        """
        traits, wait_until = attempt.traits, min(limit, self._scheduler.now() + self._wait_seconds)
        while True:
            attempt.check()
            conn = attempt.granted or self._take_idle(node, pending.owner, traits)
            attempt.granted = None
            if conn is not None:
                if self._is_usable(conn):
                    self._counters.add("connections_reused")
                    return conn
                self.discard(conn)
                continue
            if node.draining:
                attempt.cancel(AttemptStatus.OVERLOADED)
                continue
            if self._may_open(node, traits.account):
                return self._open(node, attempt, traits, limit)
            if not self._evict_idle(node, traits) and not self._wait_for_connection(
                node, attempt, wait_until
            ):
                return None

    def _take_idle(
        self, node: Node, owner: ConnectionOwner, traits: ConnectionTraits
    ) -> NodeConnection | None:
        best = None
        required_state = owner.session.setup()
        for conn in reversed(node.idle):
            if not conn.matches(traits):
                continue
            if conn is owner.last_conn:
                best = conn
                break
            # Of the connections with the smallest set-up cost, the most recently used one wins.
            if best is None or (
                _state_change_cost(conn, required_state) < _state_change_cost(best, required_state)
            ):
                best = conn
        if best is not None:
            node.idle.remove(best)
        return best

    def _is_usable(self, conn: NodeConnection) -> bool:
        age = self._scheduler.now() - conn.used_at
        return age < self._idle_seconds and conn.channel.quiet()

    def _may_open(self, node: Node, account: str) -> bool:
        if node.open_count >= node.connection_limit:
            # The limit is raised by one after a while, since other clients of the node disconnect over time.
            if self._scheduler.now() - node.limit_learned_at < LIMIT_RETRY_SECONDS:
                return False
            node.connection_limit, node.limit_learned_at = node.connection_limit + 1, self._scheduler.now()
        if node.by_account.get(account, 0) >= self._settings.connections:
            return False
        return self._open_total < self._settings.connections_total or self._close_longest_idle()

    def _close_longest_idle(self) -> bool:
        """Close the connection to any node that has been idle for the longest time."""
        idle = [node.idle[0] for node in self._nodes.values() if node.idle]
        if not idle:
            return False
        conn = min(idle, key=lambda each: each.used_at)
        conn.node.idle.remove(conn)
        self.discard(conn, wake=False)
        return True

    def _evict_idle(self, node: Node, traits: ConnectionTraits) -> bool:
        """Close an idle connection with other traits if a new one can then be opened."""
        account_full = node.by_account.get(traits.account, 0) >= self._settings.connections
        for conn in node.idle:  # starts with the connection that has been idle for the longest time
            if not account_full or conn.account == traits.account:
                node.idle.remove(conn)
                self.discard(conn, wake=False)
                return True
        return False

    def _wait_for_connection(self, node: Node, attempt: MysqlAttempt, wait_until: float) -> bool:
        """Wait for a connection to be returned; return False if none was in time."""
        node.waiters.append(attempt)
        self._counters.add("mysql_waits")
        try:
            self._scheduler.park(wait_until, event=attempt.event)
        except TaskTimeoutError:
            return attempt.granted is not None
        finally:
            if attempt in node.waiters:
                node.waiters.remove(attempt)
            if attempt.cancel_status is not None and attempt.granted is not None:
                granted, attempt.granted = attempt.granted, None
                self.give_back(granted)
        return True

    def _open(
        self, node: Node, attempt: MysqlAttempt, traits: ConnectionTraits, limit: float
    ) -> NodeConnection:
        node.open_count += 1
        self._open_total += 1
        node.by_account[traits.account] = node.by_account.get(traits.account, 0) + 1
        channel: Channel | None = None
        try:
            now = self._scheduler.now()
            timeout = min(self._connect_seconds, (limit - now) * CONNECT_TIMEOUT_FRACTION)
            stream = Stream.connect(self._scheduler, node.address, now + timeout, attempt.event)
            channel = Channel(stream)
            login = self._log_in(channel, traits, limit, attempt)
        except BaseException:
            if channel is not None:
                channel.close()
            self._count_closed(node, traits.account)
            raise
        self._counters.add("connections_opened")
        return NodeConnection(node, channel, traits, login)

    def _log_in(
        self, channel: Channel, traits: ConnectionTraits, limit: float, attempt: MysqlAttempt | None
    ) -> ClientLogin:
        settings = self._settings
        login = ClientLogin(
            traits.account, self._passwords.of(traits.account),
            NODE_CAPABILITIES | traits.statement_capabilities,
            traits.collation, settings.node_tls.mode,
            public_key=self._node_public_key, ask_key=settings.ask_node_key,
        )  # fmt: skip
        while True:
            step = login.step()
            if login.out:
                out, login.out = login.out, b""
                channel.send(out, limit)
            if step is LoginStep.TLS:
                assert self._context is not None
                channel.start_tls(self._context, False, settings.node_tls.host, b"", limit)
                continue
            if step is LoginStep.DONE:
                if login.has_trailing_bytes:
                    raise ProtocolError("bytes behind the login's end")
                return login
            data = channel.receive(limit, attempt.event if attempt is not None else None)
            if data is None and attempt is not None:
                attempt.check()
            elif not data:
                raise ConnectionResetError("the node closed the connection during the login")
            else:
                login.feed(data)

    def give_back(self, conn: NodeConnection) -> None:
        """Pass a free connection to the first waiting attempt that it suits, or make it idle."""
        node = conn.node
        if node.draining or conn.unusable or not conn.channel.open or not conn.channel.quiet():
            self.discard(conn)
            return
        conn.used_at = self._scheduler.now()
        for attempt in node.waiters:
            if conn.matches(attempt.traits):
                node.waiters.remove(attempt)
                attempt.granted = conn
                attempt.event.set()
                return
        node.idle.append(conn)
        if node.waiters:
            node.waiters[0].event.set()  # the attempt can close this connection to open a suitable one

    def discard(self, conn: NodeConnection, wake: bool = True) -> None:
        """Close a connection; repeated calls have no effect."""
        if conn.channel.open:
            conn.channel.close()
            self._count_closed(conn.node, conn.account, wake)

    def _count_closed(self, node: Node, account: str, wake: bool = True) -> None:
        node.open_count -= 1
        self._open_total -= 1
        node.by_account[account] -= 1
        if not node.by_account[account]:
            del node.by_account[account]
        if wake and node.waiters:
            node.waiters[0].event.set()

    # --- session state on a connection ----------------------------------------------------------

    def run_command(
        self, conn: NodeConnection, body: bytes, limit: float, attempt: MysqlAttempt | None = None
    ) -> tuple[ReplyRelay, bytes]:
        """Send one command of the sidecar itself and return the relay and bytes of its complete response."""
        relay = ReplyRelay(body[0], conn.capabilities, conn.capabilities, seq=packet_count(len(body)))
        conn.channel.send(frame(body, 0), limit)
        out = b""
        while not relay.done:
            data = conn.channel.receive(limit, attempt.event if attempt is not None else None)
            if data is None:
                assert attempt is not None
                attempt.check()
            elif not data:
                raise ConnectionResetError("the node closed the connection before the end of its response")
            else:
                out += relay.feed(data)
        if relay.has_trailing_bytes:
            raise ProtocolError("bytes behind an answer")
        return relay, out

    def _run_checked_command(
        self, conn: NodeConnection, body: bytes, limit: float, attempt: MysqlAttempt
    ) -> ReplyRelay:
        relay, _ = self.run_command(conn, body, limit, attempt)
        if relay.error is not None:
            raise SessionSetupError(relay.error)
        return relay

    def _set_up_session(
        self, conn: NodeConnection, pending: PendingCommand, attempt: MysqlAttempt, limit: float
    ) -> None:
        """Set up the session state that a statement needs on a connection."""
        owner, session = pending.owner, pending.session
        if pending.depends_on_previous and not (conn.owner is owner and owner.last_conn is conn):
            raise SessionSetupError(_STATE_UNAVAILABLE_ERROR)
        last_id_conn = owner.last_id_conn
        if pending.reads_last_id and session.last_id is None and last_id_conn is not conn:
            if (
                last_id_conn is None
                or last_id_conn.pending_id_owner is not owner
                or last_id_conn not in last_id_conn.node.idle
            ):
                raise SessionSetupError(_STATE_UNAVAILABLE_ERROR)
            last_id_conn.node.idle.remove(last_id_conn)
            try:
                self._carry(last_id_conn, attempt, limit)
            except BaseException:
                self.discard(last_id_conn)
                raise
            self.give_back(last_id_conn)
        if conn.pending_id_owner is not None and conn.pending_id_owner is not owner:
            self._carry(conn, attempt, limit)
        required_state = session.setup(pending.reads_last_id and session.last_id is not None)
        if conn.settings != required_state.settings[: len(conn.settings)]:
            self._run_checked_command(conn, bytes((Command.RESET_CONNECTION,)), limit, attempt)
            conn.apply_reset()
        missing = list(required_state.settings[len(conn.settings) :])
        for assignment in [pair for pair in missing if pair[0].startswith("transaction")]:
            missing.remove(assignment)
            self._run_checked_command(conn, b"\3" + replay_text([assignment]), limit, attempt)
        if conn.autocommit != required_state.autocommit:
            missing.append(("autocommit", f"SESSION autocommit = {int(required_state.autocommit)}"))
        if required_state.last_id is not None:
            missing.append(("last_insert_id", f"SESSION last_insert_id = {required_state.last_id}"))
        if missing:
            relay = self._run_checked_command(conn, b"\3" + replay_text(missing), limit, attempt)
            conn.autocommit = bool(relay.status & Flag.AUTOCOMMIT)
        conn.settings = required_state.settings
        if conn.schema != required_state.schema and required_state.schema:
            self._run_checked_command(conn, b"\2" + required_state.schema.encode(), limit, attempt)
            conn.schema = required_state.schema
        if conn.multi != required_state.multi:
            option = 0 if required_state.multi else 1
            self._run_checked_command(conn, bytes((Command.SET_OPTION, option, 0)), limit, attempt)
            conn.multi = required_state.multi
        conn.owner = owner
        owner.last_conn = conn

    def reset(self, conn: NodeConnection) -> None:
        """Reset the session state on a connection; raises the errors of `run_command`."""
        relay, _ = self.run_command(
            conn, bytes((Command.RESET_CONNECTION,)), self._scheduler.now() + CONTROL_COMMAND_SECONDS
        )
        if relay.error is not None:
            raise ProtocolError("the node refused a reset")
        conn.apply_reset()

    def _carry(self, conn: NodeConnection, attempt: MysqlAttempt, limit: float) -> None:
        """Query the LAST_INSERT_ID that a session left on a connection before another session uses it."""
        owner = conn.pending_id_owner
        assert owner is not None
        # If the query fails, the value is lost; a guessed value is never used instead.
        owner.last_id_conn = conn.last_id_owner = None
        relay, out = self.run_command(conn, b"\3SELECT LAST_INSERT_ID()", limit, attempt)
        reader = PacketReader(1 << 16, seq=1)
        reader.feed(out)
        packets = []
        while (packet := reader.take()) is not None:
            packets.append(packet)
        try:
            value = parse_text_row(packets[-2], 1)[0] if relay.rows == 1 and relay.error is None else None
            owner.session.last_id = int(value or b"")
        except (ValueError, IndexError):
            raise ProtocolError("the node does not tell its LAST_INSERT_ID()") from None
        self._counters.add("mysql_ids_carried")

    def _encode_command(
        self, conn: NodeConnection, pending: PendingCommand, attempt: MysqlAttempt, limit: float
    ) -> tuple[bytes, ReplyRelay]:
        """Return the bytes to send for a command on this connection, and the relay for its response."""
        session, body = pending.session, pending.body
        prefix = b""
        if pending.prepared is not None and pending.execution is not None:
            prefix, body = self.encode_execute(conn, pending.prepared, pending.execution, attempt, limit)
        relay = ReplyRelay(
            pending.command, conn.capabilities, session.capabilities, pending.statement_id,
            packet_count(len(body)), pending.seq, session.status,
        )  # fmt: skip
        return prefix + frame(body, 0), relay

    def encode_execute(
        self,
        conn: NodeConnection,
        prepared: PreparedText,
        execution: Execute,
        attempt: MysqlAttempt | None,
        limit: float,
    ) -> tuple[bytes, bytes]:
        """Return the long data packets to send first, and the COM_STMT_EXECUTE body for this connection.

        The statement is prepared first if it is not prepared on this connection yet.
        """
        key = (conn.schema, conn.settings, prepared.text)
        on_node = conn.prepared.get(key)
        long_data = b""
        if on_node is None:
            relay, _ = self.run_command(conn, b"\x16" + prepared.text, limit, attempt)
            if relay.error is not None:
                raise SessionSetupError(relay.error)
            assert relay.prepared is not None
            self.cache_prepared(conn, prepared.text, relay)
            on_node = conn.prepared[key]
            self._counters.add("mysql_prepared_anew")
        conn.prepared.move_to_end(key)
        if on_node[1] != prepared.parameters:
            raise SessionSetupError(
                Err.of(Errno.NEED_REPREPARE, "Prepared statement needs to be re-prepared")
            )
        statement_id = on_node[0]
        for parameter, value in prepared.long_values.items():
            head = b"\x18" + statement_id.to_bytes(4, "little") + parameter.to_bytes(2, "little")
            long_data += frame(head + bytes(value), 0)
        forwarded = Execute(statement_id, execution.flags, execution.nulls, execution.types, execution.values)
        return long_data, forwarded.encode(prepared.parameters)

    def cache_prepared(self, conn: NodeConnection, text: bytes, relay: ReplyRelay) -> None:
        """Record a statement prepared on a connection; close the least recently used ones to make room."""
        if relay.prepared is None:
            return
        key = (conn.schema, conn.settings, text)
        evicted = [conn.prepared.pop(key)] if key in conn.prepared else []
        conn.prepared[key] = relay.prepared.statement, relay.prepared.parameters
        size = sum(len(each[2]) for each in conn.prepared)
        while len(conn.prepared) > MAX_PREPARED_PER_CONNECTION or (
            len(conn.prepared) > 1 and size > MAX_PREPARED_BYTES_PER_CONNECTION
        ):
            oldest_key, evicted_entry = conn.prepared.popitem(last=False)
            evicted.append(evicted_entry)
            size -= len(oldest_key[2])
        if evicted:
            close_commands = b"".join(
                frame(b"\x19" + number.to_bytes(4, "little"), 0) for number, _ in evicted
            )
            try:  # COM_STMT_CLOSE has no response, and its few bytes fit into the send buffer
                conn.channel.send(close_commands, self._scheduler.now() + 1)
            except (OSError, TaskTimeoutError):
                conn.unusable = True

    # --- stopping a statement at the node -------------------------------------------------------

    def stop(self, conn: NodeConnection) -> None:
        """Kill the statement on a connection through another connection, and close the former."""
        conn.unusable = True
        self.kill(conn, lambda: self.discard(conn))

    def kill(
        self, conn: NodeConnection, on_finished: Callable[[], None] | None = None, query: bool = True
    ) -> None:
        """Kill the statement on a connection; `on_finished` is called exactly once, also after a failure.

        The number of concurrent and queued kills per node is limited.
        """
        node = conn.node

        def run() -> None:
            try:
                self._kill(node, conn, query)
                self._counters.add("mysql_kills")
            except Exception as error:
                self._counters.add("mysql_kills_failed")
                log.warning(
                    "a statement could not be stopped",
                    extra={"fields": {"node": node.name, "reason": type(error).__name__}},
                )
            finally:
                if on_finished is not None:
                    on_finished()
                node.active_kills -= 1
                if node.queued_kills:
                    node.queued_kills.popleft()()

        def start() -> None:
            node.active_kills += 1
            self._scheduler.spawn(run, name=f"kill {node.name}")

        if node.active_kills < MAX_CONCURRENT_KILLS:
            start()
        elif len(node.queued_kills) < MAX_QUEUED_KILLS:
            node.queued_kills.append(start)
        else:
            self._counters.add("mysql_kills_failed")
            if on_finished is not None:
                on_finished()

    def _kill(self, node: Node, conn: NodeConnection, query: bool) -> None:
        """Send KILL on an idle connection of the account, or else on a new one outside the pool."""
        limit = self._scheduler.now() + CONTROL_COMMAND_SECONDS
        text = b"\3KILL " + (b"QUERY " if query else b"CONNECTION ") + str(conn.thread).encode()
        for idle in reversed(node.idle):
            if idle.account == conn.account and idle.pending_id_owner is None:
                node.idle.remove(idle)
                try:
                    self.run_command(idle, text, limit)
                except BaseException:
                    self.discard(idle)
                    raise
                idle.owner = None
                self.give_back(idle)
                return
        stream = Stream.connect(self._scheduler, node.address, limit)
        channel = Channel(stream)
        try:
            traits = ConnectionTraits(conn.account, conn.collation, conn.statement_capabilities)
            login = self._log_in(channel, traits, limit, None)
            extra_conn = NodeConnection(node, channel, traits, login)
            self.run_command(extra_conn, text, limit)
        finally:
            channel.close()


def _state_change_cost(conn: NodeConnection, required_state: RequiredState) -> int:
    """Estimate how many commands set up a session's state on a connection."""
    cost = 0 if conn.settings == required_state.settings else 1
    if conn.settings != required_state.settings[: len(conn.settings)]:
        cost += 1
    cost += conn.pending_id_owner is not None
    return cost + (conn.schema != required_state.schema) + (conn.multi != required_state.multi)


_STATE_UNAVAILABLE_ERROR = Err.of(
    Errno.NOT_SUPPORTED_YET,
    "This asks for what an earlier statement left on its connection, which has passed on: "
    "ask right after it, or within a transaction",
)
