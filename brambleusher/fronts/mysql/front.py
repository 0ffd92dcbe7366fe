"""The MySQL front end: serves client sessions and their commands.

A command of an unpinned session is a request: it goes through `RequestLifecycle`, and the load balancer
chooses the node. A session is pinned while some of its state, such as an open transaction, exists on one
node connection only. This connection is reserved for the session and runs all its commands. No command is
sent twice, except that the load balancer may retry plain reads.
"""

from __future__ import annotations

import logging
import os
import random
from collections.abc import Callable
from dataclasses import replace

from brambleusher.decisions.balancer_driver import BalancerDriver
from brambleusher.decisions.clock import Clock
from brambleusher.decisions.requests import ClientRequest
from brambleusher.fronts.mysql.auth import LoginStep, RsaKey, Secret, ServerLogin
from brambleusher.fronts.mysql.channel import server_context
from brambleusher.fronts.mysql.client import Client, ClientLeftError, NodeConnectionError
from brambleusher.fronts.mysql.constants import (
    CURSOR_READ_ONLY,
    SCRAMBLE,
    UTF8_COLLATIONS,
    Capability,
    Command,
    Errno,
    Type,
)
from brambleusher.fronts.mysql.constants import (
    Status as Flag,
)
from brambleusher.fronts.mysql.mapping import RequestMapper
from brambleusher.fronts.mysql.messages import Column, Eof, Err, Execute, Ok, text_row
from brambleusher.fronts.mysql.nodes import (
    ConnectionDisposition,
    MysqlNodes,
    PendingCommand,
    Reply,
    ReservedConnection,
    SessionSetupError,
)
from brambleusher.fronts.mysql.packets import ProtocolError, encode_lenenc_integer, frame, packet_count
from brambleusher.fronts.mysql.replies import ReplyRelay
from brambleusher.fronts.mysql.session import PreparedText, Session
from brambleusher.fronts.mysql.session_listener import SessionListener
from brambleusher.fronts.mysql.settings import MysqlSettings
from brambleusher.fronts.mysql.statements import Statement, StatementClassifier, StatementKind, tokenize
from brambleusher.loadbalancing.api import AttemptStatus
from brambleusher.net.request_lifecycle import ClientHandle, FinalResponse, RequestLifecycle
from brambleusher.net.request_lifecycle import ResponseKind as AnswerKind
from brambleusher.observability.counters import Counters
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.runtime.system import Address, Socket

log = logging.getLogger(__name__)

CLIENT_WRITE_SECONDS = 30.0  # timeout in seconds for each write to a client that reads its rows slowly
COMMAND_READ_SECONDS = 30.0  # timeout in seconds for the rest of a partially received command
CLIENT_CHECK_S = 0.05  # interval in seconds of the check whether the client has closed its connection
SOFT_PIN_SECONDS = 1.0  # idle time in seconds after which soft pins are dropped
# Maximum time in seconds that a client may spend between the statements of one attempt; after that the
# attempt counts as served.  Without this limit, a node would look slow or full because of clients that pause
# within their transactions.
CLIENT_PAUSE_SECONDS = 0.1
# Nanoseconds subtracted from the deadline, so that the error is sent before the client stops waiting.
RESPONSE_MARGIN_NS = 10_000_000
UNCHARGED_BYTES = 64 * 1024  # size in bytes up to which a command is not charged to the shared memory budget
OFFERED_CAPABILITIES = int(
    Capability.LONG_PASSWORD | Capability.FOUND_ROWS | Capability.LONG_FLAG | Capability.CONNECT_WITH_DB
    | Capability.NO_SCHEMA | Capability.ODBC | Capability.IGNORE_SPACE | Capability.PROTOCOL_41
    | Capability.INTERACTIVE | Capability.IGNORE_SIGPIPE | Capability.TRANSACTIONS
    | Capability.SECURE_CONNECTION | Capability.MULTI_STATEMENTS | Capability.MULTI_RESULTS
    | Capability.PS_MULTI_RESULTS | Capability.PLUGIN_AUTH | Capability.CONNECT_ATTRS
    | Capability.PLUGIN_AUTH_LENENC | Capability.SESSION_TRACK | Capability.DEPRECATE_EOF
)  # fmt: skip
COUNTERS = (
    "mysql_sessions", "mysql_logins_refused", "mysql_bad_packets", "mysql_commands", "mysql_tied_commands",
    "mysql_waits", "mysql_kills", "mysql_kills_failed", "mysql_connections_refused", "mysql_ids_carried",
    "mysql_prepared_anew", "mysql_outcomes_unknown", "mysql_drained", "mysql_broken_answers",
)  # fmt: skip
_KNOWN_COMMANDS = frozenset(int(command) for command in Command)


class MysqlFrontEnd:
    """Accepts MySQL clients and serves their sessions."""

    def __init__(
        self,
        scheduler: Scheduler,
        decisions: BalancerDriver,
        nodes: MysqlNodes,
        clock: Clock,
        counters: Counters,
        settings: MysqlSettings,
        users: dict[str, Secret],
        rsa: RsaKey,
        rng: random.Random,
        entropy: Callable[[int], bytes] = os.urandom,
    ) -> None:
        self._scheduler, self._decisions, self._nodes, self._clock = scheduler, decisions, nodes, clock
        self._counters, self._settings, self._users, self._rsa = counters, settings, users, rsa
        self._rng, self._entropy = rng, entropy
        self._mapper = RequestMapper(settings, decisions.settings)
        self._classifier = StatementClassifier()
        self._lifecycle = RequestLifecycle(decisions, nodes, scheduler)
        self._max_packet_bytes = settings.max_packet_mb * 1024 * 1024
        self._memory_left = settings.memory_mb * 1024 * 1024
        self._listener = SessionListener(scheduler, self._serve, settings.sessions, self._max_packet_bytes)
        self._clients = self._listener.clients
        self._request_count = 0
        self._closing = False
        self._context = (
            server_context(settings.tls.cert_file, settings.tls.key_file)
            if settings.tls.mode != "off"
            else None
        )
        for name in COUNTERS:
            counters.register(name)
        self._handlers: dict[int, Callable[[Client, bytes], bool]] = {
            Command.QUIT: lambda client, body: False,
            Command.PING: self._ping,
            Command.QUERY: self._query,
            Command.INIT_DB: self._init_db,
            Command.FIELD_LIST: self._field_list,
            Command.STATISTICS: self._statistics,
            Command.CHANGE_USER: self._change_user,
            Command.RESET_CONNECTION: self._reset_connection,
            Command.SET_OPTION: self._set_option,
            Command.PROCESS_KILL: self._process_kill,
            Command.STMT_PREPARE: self._prepare,
            Command.STMT_EXECUTE: self._execute,
            Command.STMT_FETCH: self._fetch,
            Command.STMT_SEND_LONG_DATA: self._long_data,
            Command.STMT_CLOSE: self._close_prepared,
            Command.STMT_RESET: self._reset_prepared,
        }

    # --- the listener ---------------------------------------------------------------------------

    def listen(self, address: Address) -> Address:
        """Bind the address, start to accept clients, and return the bound address."""
        return self._listener.listen(address)

    @property
    def session_count(self) -> int:
        """Number of open sessions."""
        return len(self._clients)

    def wind_down(self) -> None:
        """Accept no new sessions; end each session once it is neither pinned nor running a command."""
        self._closing = True
        self._listener.close()
        for client in self._clients.values():
            if client.reserved is not None and client.drain_deadline is None:
                client.node_draining(client.reserved)
            client.event.set()

    def state(self) -> dict[str, object]:
        """Return the state of sessions and nodes for JSON, without statement texts and secrets."""
        return {
            "sessions": {
                str(client.thread): {
                    **client.session.state(),
                    "node": client.reserved and client.reserved.node.name,
                }
                for client in self._clients.values()
            },
            "nodes": self._nodes.state(),
        }

    # --- one session ----------------------------------------------------------------------------

    def _serve(self, client: Client) -> None:
        self._counters.add("mysql_sessions")
        try:
            if self._log_in(client):
                while self._serve_command(client):
                    self._release_charge(client)
        except ProtocolError as error:
            self._counters.add("mysql_bad_packets")
            log.info("bad packet", extra={"fields": {"peer": client.peer, "reason": error}})
            self._send_final_error(client, Err(error.errno, error.state, str(error)))
        except (OSError, TaskTimeoutError, ClientLeftError):
            return
        except Exception:
            # After an internal error the client still gets an error message before its session ends.
            self._counters.add("faults")
            log.exception("session failed")
            self._send_final_error(client, Err.of(Errno.UNKNOWN, "a fault in the sidecar"))
        finally:
            self._close_session(client)

    def _close_session(self, client: Client) -> None:
        """Release all resources of a session and stop its running statement."""
        self._listener.forget(client)
        self._release_charge(client)
        self._memory_left += client.charged_prepared_bytes
        client.charged_prepared_bytes = 0
        pending, client.pending_command = client.pending_command, None
        if pending is not None:
            pending.closed = True
        if client.reserved is not None:
            reserved, client.reserved = client.reserved, None
            if pending is not None and pending.conn is reserved.conn:
                reserved.stop(AttemptStatus.CANCELLED)
            else:
                reserved.drop(AttemptStatus.CANCELLED)
        client.channel.close()

    def _send_final_error(self, client: Client, error: Err) -> None:
        """Send the error that ends the session, with the sequence number that the client expects."""
        try:
            client.channel.send(
                frame(error.encode(), client.reader.response_seq),
                self._scheduler.now() + CLIENT_WRITE_SECONDS,
            )
            client.channel.stream.finish()
        except (OSError, TaskTimeoutError):
            return

    def _charge_prepared(self, client: Client, extra: int = 0) -> None:
        """Charge a session's prepared statements and `extra` bytes to the shared memory budget."""
        total = client.session.prepared_bytes + extra
        if total - client.charged_prepared_bytes > self._memory_left:
            raise ProtocolError("no memory for what is prepared", Errno.OUT_OF_RESOURCES)
        self._memory_left -= total - client.charged_prepared_bytes
        client.charged_prepared_bytes = total

    def _release_charge(self, client: Client) -> None:
        self._memory_left += client.charged_command_bytes
        client.charged_command_bytes = 0

    def _send(self, client: Client, *messages: bytes) -> bool:
        """Send the messages of a response and return True, since the session continues."""
        first = client.reader.seq
        out = b"".join(frame(message, first + at) for at, message in enumerate(messages))
        client.channel.send(out, self._scheduler.now() + CLIENT_WRITE_SECONDS)
        return True

    def _send_ok(self, client: Client) -> bool:
        return self._send(client, Ok(status=client.session.status).encode(client.session.capabilities))

    def _send_error(self, client: Client, error: Err) -> bool:
        return self._send(client, error.encode())

    # --- the login ------------------------------------------------------------------------------

    def _challenge(self) -> bytes:
        """Return a challenge of 20 random bytes, none of them zero because a zero byte would terminate it."""
        return bytes(byte % 127 + 1 for byte in self._entropy(SCRAMBLE))

    def _log_in(self, client: Client) -> bool:
        settings = self._settings
        offered = OFFERED_CAPABILITIES | (int(Capability.SSL) if self._context is not None else 0)
        client.challenge = self._challenge()
        login = ServerLogin(
            client.thread, client.challenge, offered, self._users.get, self._rsa, settings.server_version,
            settings.auth_plugin, settings.tls.mode == "required",
        )  # fmt: skip
        deadline = client.accepted_at + settings.login_ms / 1000
        client.channel.send(login.encode_greeting(), deadline)
        client.reader.seq = 1
        return self._run_login(client, login, deadline)

    def _run_login(self, client: Client, login: ServerLogin, deadline: float) -> bool:
        """Run the message exchange of a login; return False if the login failed."""
        channel = client.channel
        while True:
            try:
                step = login.step()
            except ProtocolError:
                client.reader.seq = login.seq
                raise
            if step is LoginStep.DONE:
                break
            if login.out:
                out, login.out = login.out, b""
                channel.send(out, deadline)
            if step is LoginStep.REJECTED:
                self._counters.add("mysql_logins_refused")
                fields = {
                    "peer": client.peer,
                    "user": login.login.user if login.login is not None else "",
                    "errno": login.error.errno if login.error is not None else 0,
                }
                log.info("login refused", extra={"fields": fields})
                channel.stream.finish()
                return False
            if step is LoginStep.RESUME:
                self._scheduler.sleep(0.0)
                continue
            if step is LoginStep.TLS:
                assert self._context is not None
                channel.start_tls(self._context, True, "", login.take_leftover(), deadline)
                continue
            try:
                data = channel.receive(deadline)
            except TaskTimeoutError:
                client.reader.seq = login.seq
                raise ProtocolError(
                    "the login did not come to its end in time", Errno.NET_READ_INTERRUPTED
                ) from None
            if not data:
                return False
            login.feed(data)
        assert login.login is not None
        request = login.login
        rule = self._settings.users.get(request.user)
        account = request.user if rule is None else rule.account
        client.session = Session(
            request.user, account, login.capabilities, request.collation, request.database
        )
        channel.send(login.complete_login(), deadline)
        client.reader.feed(login.take_leftover())
        return True

    # --- commands -------------------------------------------------------------------------------

    def _serve_command(self, client: Client) -> bool:
        """Read one command and respond to it; return False if the session is over."""
        body = self._next_command(client)
        if body is None:
            return False
        if client.pending_error is not None:
            self._send_error(client, client.pending_error)
            return False
        if not body:
            raise ProtocolError("an empty command", Errno.UNKNOWN_COM)
        self._counters.add("mysql_commands")
        handler = self._handlers.get(body[0])
        if handler is None:
            if body[0] not in _KNOWN_COMMANDS:
                raise ProtocolError(f"Unknown command {body[0]:#04x}", Errno.UNKNOWN_COM)
            name = Command(body[0]).name
            return self._send_error(client, Err.of(Errno.UNKNOWN_COM, f"COM_{name} is not supported here"))
        try:
            return handler(client, body)
        except ProtocolError as error:
            if error.errno not in _SESSION_CONTINUES:
                raise
            return self._send_error(client, Err(error.errno, error.state, str(error)))

    def _next_command(self, client: Client) -> bytes | None:
        """Return the next command, or None if the session ends before one arrives."""
        reader = client.reader
        reader.set_sequence()
        started_at = self._scheduler.now()
        while (body := reader.take()) is None:
            if self._closing and not client.session.pinned and not reader.has_partial_message:
                self._send_unsolicited_error(
                    client, Err.of(Errno.SERVER_SHUTDOWN, "Server shutdown in progress")
                )
                return None
            deadline, on_timeout = self._next_timeout(client, started_at)
            try:
                data = client.channel.receive(deadline, client.event)
            except TaskTimeoutError:
                if not on_timeout(client):
                    return None
                continue
            if data is None:
                continue
            if not data:
                return None
            if not reader.has_partial_message:
                started_at = self._scheduler.now()
            reader.feed(data)
            self._charge_command(client)
        return body

    def _send_unsolicited_error(self, client: Client, error: Err) -> None:
        """Send an error outside a command exchange, before the connection is closed."""
        client.channel.send(frame(error.encode(), 0), self._scheduler.now() + CLIENT_WRITE_SECONDS)
        client.channel.stream.finish()

    def _charge_command(self, client: Client) -> None:
        additional = client.reader.buffered - UNCHARGED_BYTES - client.charged_command_bytes
        if additional <= 0:
            return
        if additional > self._memory_left:
            # All clients together must not buffer more than `memory_mb`.
            raise ProtocolError("no memory for a command so large", Errno.OUT_OF_RESOURCES)
        self._memory_left -= additional
        client.charged_command_bytes += additional

    def _next_timeout(self, client: Client, started_at: float) -> tuple[float, Callable[[Client], bool]]:
        """Return the timeout for the next command and its handler, which tells if the session continues."""
        now, settings = self._scheduler.now(), self._settings
        if client.reader.has_partial_message:
            timeouts = [(started_at + COMMAND_READ_SECONDS, self._on_read_timeout)]
        else:
            timeouts = [(now + settings.session_idle_ms / 1000, self._on_idle_timeout)]
        if client.reserved is not None and client.pending_error is None:
            if client.reserved.attempt_open:
                timeouts.append(
                    (
                        now + max(0.0, CLIENT_PAUSE_SECONDS - client.reserved.client_seconds(now)),
                        self._on_pause_timeout,
                    )
                )
            if client.drain_deadline is not None:
                timeouts.append((self._idle_drain_deadline(client, now), self._on_drain_timeout))
            if client.deadline is not None:
                timeouts.append((client.deadline, self._on_transaction_timeout))
            if client.session.softly_pinned:
                timeouts.append((started_at + SOFT_PIN_SECONDS, self._drop_soft_pins))
        return min(timeouts, key=lambda each: each[0])

    def _drain_deadline(self, client: Client, now: float) -> float:
        """Return when a session must leave its draining node: the grace period of its class plus a jitter."""
        if client.drain_deadline is None or client.drain_deadline < 0:
            grace = self._mapper.grace_ns(client.request_class or self._settings.strict_class) / 1e9
            client.drain_jitter = self._rng.random()
            client.drain_deadline = now + grace + client.drain_jitter * self._settings.drain_spread_ms / 1000
        return client.drain_deadline

    def _idle_drain_deadline(self, client: Client, now: float) -> float:
        """Return until when a session without a running command may stay on its draining node.

        If no transaction and no cursor is open, the next command would start a new request on the node.
        """
        drain_deadline, reserved, session = self._drain_deadline(client, now), client.reserved, client.session
        if reserved is None or session.in_transaction or session.cursors:
            return drain_deadline
        start_limit = self._nodes.new_requests_until(reserved.node)
        if start_limit is None or drain_deadline <= start_limit:
            return drain_deadline
        # If the grace period is longer than this limit, all sessions would leave at the limit at once; so
        # they are spread over the second half of the time before it.
        return start_limit - client.drain_jitter * (start_limit - reserved.node.drain_started_at) / 2

    def _starts_request_too_late(self, client: Client, pending: PendingCommand, statement: Statement) -> bool:
        """Return whether a pinned session's command starts a request too late on a draining node."""
        reserved, session = client.reserved, client.session
        start_limit = None if reserved is None else self._nodes.new_requests_until(reserved.node)
        if start_limit is None or self._scheduler.now() < start_limit:
            return False
        if pending.command == Command.STMT_FETCH:
            return False
        return (
            not session.in_transaction
            or statement.kind is StatementKind.BEGIN
            or statement.may_restart_transaction
        )

    def _on_read_timeout(self, client: Client) -> bool:
        raise ProtocolError("the rest of a command did not come", Errno.NET_READ_INTERRUPTED)

    def _on_idle_timeout(self, client: Client) -> bool:
        self._send_unsolicited_error(
            client,
            Err.of(
                Errno.CLIENT_INTERACTION_TIMEOUT,
                "The client was disconnected by the server because of inactivity.",
            ),
        )
        return False

    def _on_pause_timeout(self, client: Client) -> bool:
        if client.reserved is not None:
            client.reserved.finish(AttemptStatus.OK)
        return True

    def _on_drain_timeout(self, client: Client) -> bool:
        self._counters.add("mysql_drained")
        return self._abandon_connection(client, _drain_error(client.session), AttemptStatus.CANCELLED)

    def _on_transaction_timeout(self, client: Client) -> bool:
        text = "the transaction's time is over; it was rolled back"
        return self._abandon_connection(client, Err.of(Errno.QUERY_TIMEOUT, text), AttemptStatus.TIMEOUT)

    def _abandon_connection(self, client: Client, error: Err, status: AttemptStatus) -> bool:
        """Close the reserved connection of a session; the client gets the error with its next command."""
        reserved, client.reserved = client.reserved, None
        if reserved is not None:
            reserved.drop(status)
        client.session.drop_connection_state()
        client.pending_error = error
        return True

    def _drop_soft_pins(self, client: Client) -> bool:
        """Drop the soft pins of a session and release its connection."""
        for pin in list(client.session.pins):
            client.session.unpin(pin)
        self._release(client)
        return True

    def _release(self, client: Client) -> None:
        reserved, client.reserved = client.reserved, None
        client.deadline = client.drain_deadline = None
        client.request_class = ""
        if reserved is not None:
            reserved.release()

    # --- commands that run on a node ------------------------------------------------------------

    def _run_on_node(
        self,
        client: Client,
        command: int,
        body: bytes,
        statement: Statement,
        prepared: PreparedText | None = None,
        execution: Execute | None = None,
        statement_id: int | None = None,
    ) -> bool:
        """Run a command on a node and forward the response to the client."""
        pending = PendingCommand(
            client, command, body, lambda reply: self._accept_reply(client, statement, pending, reply),
            execution, prepared, statement.reads_last_id, statement.depends_on_previous, statement_id,
            client.reader.seq,
        )  # fmt: skip
        client.pending_command = pending
        try:
            if (
                client.reserved is not None
                and client.drain_deadline is not None
                and client.session.softly_pinned
                and not statement.depends_on_previous
            ):
                self._drop_soft_pins(client)  # the node drains, and the statement doesn't need the soft pins
            if client.reserved is not None:
                self._counters.add("mysql_tied_commands")
                return self._run_pinned(client, pending, statement)
            return self._run_as_request(client, pending, statement)
        finally:
            client.pending_command = None

    def _run_as_request(self, client: Client, pending: PendingCommand, statement: Statement) -> bool:
        """Run a command of an unpinned session on a node chosen by the load balancer."""
        session = client.session
        begins_transaction = self._begins_transaction(session, statement)
        assignment = self._mapper.assign(statement, session.user, begins_transaction)
        if self._mapper.is_new_assignment(statement, session.user, assignment):
            log.info(
                "statement assigned",
                extra={"fields": {
                    "user": session.user, "class": assignment.request_class, "reason": assignment.reason,
                    "digest": statement.digest[:200],
                }},
            )  # fmt: skip
        arrived_ns = self._clock.now_ns()
        timeout_ns = assignment.deadline_ms * 1_000_000
        timeout_ns -= min(RESPONSE_MARGIN_NS, timeout_ns // 10)
        self._request_count += 1
        request = ClientRequest(
            f"mysql {self._request_count}",  # the space prevents collisions with ids of HTTP requests
            assignment.request_class, assignment.tenant, timeout_ns,
            None if assignment.work_us is None else assignment.work_us * 1000, False, pending,
        )  # fmt: skip
        deadline = self._clock.seconds(arrived_ns + timeout_ns)
        client.request_class, client.drain_deadline = assignment.request_class, None
        client.deadline = deadline
        self._counters.add("requests_taken")
        response = self._lifecycle.run(
            request,
            lambda: deadline,
            ClientHandle(self._socket_to_watch(client), lambda: self._has_disconnected(client)),
        )
        pending.closed = True
        outcome: str | None = None
        try:
            if pending.accepted_reply is not None:
                session_continues = self._forward_reply(
                    client, pending, statement, pending.accepted_reply, deadline
                )
                outcome = (
                    "served" if pending.accepted_reply.relay.error is None or session_continues else "failed"
                )
                return session_continues
            if response is None:
                raise ClientLeftError
            outcome = "failed" if response.kind is AnswerKind.SERVED else response.kind.value
            return self._send_error(client, self._request_error(response, pending, statement))
        finally:
            self._decisions.observers.request_finished(request, outcome, self._clock.now_ns() - arrived_ns)
            self._counters.add(f"answers_{outcome}" if outcome else "requests_gone")

    @staticmethod
    def _begins_transaction(session: Session, statement: Statement) -> bool:
        """Return whether a statement begins a transaction, which counts as one request."""
        return statement.kind is StatementKind.BEGIN or (
            not session.autocommit and statement.kind not in (StatementKind.SET, StatementKind.USE)
        )

    def _socket_to_watch(self, client: Client) -> Callable[[], Socket | None]:
        # A client that pipelines too much data is not read until its response has been sent.
        return lambda: client.channel.sock if client.reader.buffered < 2 * UNCHARGED_BYTES else None

    def _has_disconnected(self, client: Client) -> bool:
        if client.reader.buffered >= 2 * UNCHARGED_BYTES:
            return False
        data = client.channel.receive_now()
        if data:
            client.reader.feed(data)
        return data == b""

    def _request_error(self, response: FinalResponse, pending: PendingCommand, statement: Statement) -> Err:
        """Return the error for a request without a response."""
        if pending.error is not None and (not pending.may_have_run or response.kind is AnswerKind.REJECTED):
            return pending.error
        if response.kind is AnswerKind.REJECTED and (statement.plain_read or not pending.may_have_run):
            retry_after = f"{response.retry_after_ns / 1e9:.3f}"
            text = f"turned away, not run: it may be tried again in {retry_after} s"
            if pending.may_have_run:
                text = f"no node answered; it is a plain read and may be tried again in {retry_after} s"
            return Err.of(Errno.SERVER_ISNT_AVAILABLE, text)
        if not pending.may_have_run:
            return Err.of(Errno.SERVER_ISNT_AVAILABLE, "no node could be reached; it did not run")
        if pending.protocol_error is not None:
            malformed = Err(
                pending.protocol_error.errno, pending.protocol_error.state, str(pending.protocol_error)
            )
            return self._outcome_error(False, statement, malformed)
        return pending.error or self._lost_error(False, statement)

    def _lost_error(self, in_transaction: bool, statement: Statement) -> Err:
        """Return the error for a statement that was sent and whose response is incomplete."""
        kind = statement.kind
        may_commit = (
            kind in _COMMITTING
            or bool(statement.autocommit)
            or (statement.count > 1 and not statement.plain_read)
        )
        if kind is StatementKind.BEGIN and not in_transaction:
            return Err.of(Errno.NET_READ, "the node was lost; no transaction is open")
        if kind is StatementKind.ROLLBACK or (in_transaction and not may_commit):
            return Err.of(
                Errno.NET_READ,
                "the node was lost within the transaction, which it rolls back; nothing is repeated",
            )
        # Any other SELECT or SET may call a stored function, which may have written data.
        if (statement.plain_read or statement is _FETCH) and not (in_transaction and may_commit):
            return Err.of(Errno.NET_READ, "the node was lost before the answer was whole")
        self._counters.add("mysql_outcomes_unknown")
        subject = "COMMIT" if kind is StatementKind.COMMIT else "statement"
        return Err.of(
            Errno.ERROR_DURING_COMMIT,
            f"the outcome of this {subject} is unknown: it was sent, its answer was lost, it is not repeated",
        )

    def _accept_reply(
        self, client: Client, statement: Statement, pending: PendingCommand, reply: Reply
    ) -> ConnectionDisposition:
        """Take a complete or partial response and decide what happens to its connection."""
        if pending.closed:
            return ConnectionDisposition.DISCARD_REPLY
        pending.closed, pending.accepted_reply = True, reply
        if not reply.relay.done:
            client.reserved = reply.reserved
            return ConnectionDisposition.RESERVE_FOR_TRANSACTION
        disposition = self._apply_reply(client, statement, pending, reply)
        client.reserved = reply.reserved if disposition is not ConnectionDisposition.RELEASE else None
        return disposition

    def _apply_reply(
        self, client: Client, statement: Statement, pending: PendingCommand, reply: Reply
    ) -> ConnectionDisposition:
        """Apply the effects of a complete response to the session and its connection."""
        session, relay, conn = client.session, reply.relay, reply.reserved.conn
        if pending.command == Command.STMT_PREPARE:
            if relay.prepared is not None and relay.error is None and pending.statement_id is not None:
                session.record_prepared(pending.statement_id, pending.body[1:], statement, relay.prepared)
                self._nodes.cache_prepared(conn, pending.body[1:], relay)
        elif pending.command == Command.STMT_FETCH:
            session.record_fetched(pending.statement_id or 0, relay)
        else:
            session.apply_reply(statement, relay)
            if pending.prepared is not None and pending.execution is not None:
                session.record_executed(pending.prepared, pending.execution.flags, relay)
        if session.last_id is None and (relay.last_id or statement.sets_last_id):
            client.last_id_conn, conn.last_id_owner = conn, client
        if relay.error is None:
            conn.settings, conn.schema = tuple(session.settings.items()), session.schema
            conn.autocommit = bool(relay.status & Flag.AUTOCOMMIT)
        if session.in_transaction:
            return ConnectionDisposition.RESERVE_FOR_TRANSACTION
        return ConnectionDisposition.RESERVE if session.pinned else ConnectionDisposition.RELEASE

    def _forward_reply(
        self,
        client: Client,
        pending: PendingCommand,
        statement: Statement,
        reply: Reply,
        deadline: float | None,
    ) -> bool:
        """Forward a response to the client as it arrives; return False if the session is over.

        If the response breaks off, the client gets one error after the data sent so far; within a packet the
        connection is closed instead.
        """
        relay, reserved, session = reply.relay, reply.reserved, client.session
        if not relay.done:
            reserved.begin_load()
        was_pinned, was_complete = session.pinned, relay.done
        try:
            if reply.out:
                client.channel.send(reply.out, self._scheduler.now() + CLIENT_WRITE_SECONDS)
            while not relay.done:
                data = self._from_node(client, reserved, deadline, statement)
                try:
                    out = relay.feed(data)
                except ProtocolError as error:
                    log.warning(
                        "bad response", extra={"fields": {"node": reserved.node.name, "reason": error}}
                    )
                    malformed = Err(error.errno, error.state, str(error))
                    reported = self._outcome_error(session.in_transaction, statement, malformed)
                    raise NodeConnectionError(reported, AttemptStatus.ERROR) from None
                if relay.has_trailing_bytes:
                    reserved.conn.unusable = True
                if relay.done:
                    reserved.end_load()
                    # The state must be current before the client reads the end of the response and continues.
                    disposition = self._apply_reply(client, statement, pending, reply)
                    self._reserve(client, reserved, disposition)
                if out:
                    client.channel.send(out, self._scheduler.now() + CLIENT_WRITE_SECONDS)
                if (
                    reserved.attempt_open
                    and reserved.client_seconds(self._scheduler.now()) > CLIENT_PAUSE_SECONDS
                ):
                    reserved.finish(AttemptStatus.OK)  # a slow client must not make the node look slow
            return not (statement.release and relay.error is None)
        except NodeConnectionError as broken:
            client.reserved = None
            self._counters.add("mysql_broken_answers")
            if broken.stop:
                reserved.stop(broken.status)
            else:
                reserved.drop(broken.status)
            session.drop_connection_state()
            if relay.packet_open:
                return False
            client.channel.send(relay.fail(broken.error), self._scheduler.now() + CLIENT_WRITE_SECONDS)
            if was_pinned:
                # The client must not continue without the transaction or the variables on which it relies.
                client.channel.stream.finish()
                return False
            return True
        except (OSError, TaskTimeoutError, ClientLeftError):
            # The client has disconnected, so its running statement is stopped.
            if not was_complete and not relay.done:
                client.reserved = None
                reserved.stop(AttemptStatus.CANCELLED)
            raise ClientLeftError from None

    def _reserve(
        self, client: Client, reserved: ReservedConnection, disposition: ConnectionDisposition
    ) -> None:
        if disposition is ConnectionDisposition.RELEASE:
            client.reserved = reserved
            self._release(client)
            return
        client.reserved = reserved
        if disposition is ConnectionDisposition.RESERVE:
            reserved.finish(AttemptStatus.OK)
            client.deadline = None

    def _from_node(
        self, client: Client, reserved: ReservedConnection, deadline: float | None, statement: Statement
    ) -> bytes:
        """Return the next bytes of a response.

        Raises:
            NodeConnectionError: The connection broke, or the deadline or the drain time passed.
            ClientLeftError: The client has closed its connection.
        """
        channel, started = reserved.conn.channel, self._scheduler.now()
        in_transaction = client.session.in_transaction
        is_commit = statement.kind is StatementKind.COMMIT
        try:
            while True:
                now = self._scheduler.now()
                if deadline is not None and now >= deadline:
                    text = "Query execution was interrupted, maximum statement execution time exceeded"
                    timeout_error = Err.of(Errno.QUERY_TIMEOUT, text)
                    error = self._outcome_error(in_transaction, statement, timeout_error)
                    raise NodeConnectionError(error, AttemptStatus.TIMEOUT, stop=not is_commit)
                if (client.drain_deadline is not None and now >= self._drain_deadline(client, now)
                        and not is_commit):  # fmt: skip
                    self._counters.add("mysql_drained")
                    error = self._outcome_error(in_transaction, statement, _drain_error(client.session))
                    raise NodeConnectionError(error, AttemptStatus.CANCELLED, stop=True)
                wait_until = now + CLIENT_CHECK_S if deadline is None else min(now + CLIENT_CHECK_S, deadline)
                try:
                    data = channel.receive(wait_until, client.event)
                except TaskTimeoutError:
                    if self._has_disconnected(client):
                        raise ClientLeftError from None
                    continue
                if data:
                    return data
                if data is not None:
                    raise ConnectionResetError
        except _CONNECTION_ERRORS as e:
            raise NodeConnectionError(self._lost_error(in_transaction, statement), AttemptStatus.RESET) from e
        finally:
            reserved.node_time_ns += int((self._scheduler.now() - started) * 1e9)

    def _outcome_error(self, in_transaction: bool, statement: Statement, error: Err) -> Err:
        """Return `error`, or the "outcome unknown" error if the statement's effects may be permanent."""
        outcome_error = self._lost_error(in_transaction, statement)
        return outcome_error if outcome_error.errno == Errno.ERROR_DURING_COMMIT else error

    def _run_pinned(self, client: Client, pending: PendingCommand, statement: Statement) -> bool:
        """Run a command of a pinned session on its reserved connection."""
        reserved, session = client.reserved, client.session
        assert reserved is not None
        conn, in_transaction = reserved.conn, session.in_transaction
        deadline = client.deadline
        if not in_transaction:
            begins_transaction = self._begins_transaction(session, statement)
            assignment = self._mapper.assign(statement, session.user, begins_transaction)
            deadline = self._scheduler.now() + assignment.deadline_ms / 1000
            client.request_class = assignment.request_class
            client.deadline = deadline if begins_transaction else None
        pending.conn = conn
        send_deadline = deadline if deadline is not None else self._scheduler.now() + CLIENT_WRITE_SECONDS
        try:
            try:
                long_data, body = b"", pending.body
                if pending.prepared is not None and pending.execution is not None:
                    long_data, body = self._nodes.encode_execute(
                        conn, pending.prepared, pending.execution, None, send_deadline
                    )
                if self._starts_request_too_late(client, pending, statement):
                    self._on_drain_timeout(client)
                    assert client.pending_error is not None
                    self._send_error(client, client.pending_error)
                    client.channel.stream.finish()
                    return False
                conn.channel.send(long_data + frame(body, 0), send_deadline)
            except SessionSetupError as failed:
                return self._send_error(client, failed.error)
            pending.may_have_run = True
        except (OSError, TaskTimeoutError, ProtocolError) as error:
            log.info("tied session lost its node", extra={"fields": {"reason": type(error).__name__}})
            client.reserved = None
            reserved.drop(AttemptStatus.RESET)
            session.drop_connection_state()
            text = "the node was lost; this statement did not run, and what was open there is rolled back"
            self._send_error(client, Err.of(Errno.NET_READ, text))
            client.channel.stream.finish()
            return False
        relay = ReplyRelay(
            pending.command, conn.capabilities, session.capabilities, pending.statement_id,
            packet_count(len(body)), pending.seq, session.status,
        )  # fmt: skip
        session_continues = self._forward_reply(
            client, pending, statement, Reply(b"", relay, reserved), deadline
        )
        if session_continues and statement.chain and self._starts_request_too_late(client, pending, _CHAINED):
            # COMMIT AND CHAIN has started a transaction, which counts as a new request.
            self._on_drain_timeout(client)
        return session_continues

    # --- command handlers -----------------------------------------------------------------------

    def _ping(self, client: Client, body: bytes) -> bool:
        if client.reserved is not None:
            return self._run_on_node(client, Command.PING, body, _NO_EFFECT)
        return self._send_ok(client)

    def _query(self, client: Client, body: bytes) -> bool:
        session, text = client.session, body[1:]
        self._check_text(session, text)
        statement = self._classifier.classify(text, session.multi, session.opaque)
        kind = statement.kind
        if kind is StatementKind.EMPTY:
            return self._send_error(client, Err(1065, "42000", "Query was empty"))
        if kind is StatementKind.LOCAL_FILE:
            return self._send_error(client, _LOCAL_FILES_DISABLED)
        if statement.kill is not None:
            return self._kill(client, *statement.kill)
        if client.reserved is None:
            if kind is StatementKind.SET and statement.autocommit is not None and _only_autocommit(statement):
                session.autocommit = statement.autocommit
                flag = int(Flag.AUTOCOMMIT)
                session.status = session.status | flag if statement.autocommit else session.status & ~flag
                return self._send_ok(client)
            if kind in (StatementKind.COMMIT, StatementKind.ROLLBACK) and not (
                statement.chain or statement.release
            ):
                # No transaction is open; drivers and pools often end transactions that never began.
                return self._send_ok(client)
            if statement.digest == "select connection_id ()":
                return self._send_number(client, b"CONNECTION_ID()", client.thread)
        return self._run_on_node(client, Command.QUERY, body, statement)

    def _check_text(self, session: Session, text: bytes) -> None:
        """Reject a statement that is not valid UTF-8 outside its string literals."""
        if text.isascii() or session.collation not in UTF8_COLLATIONS:
            return
        try:
            text.decode()
        except UnicodeDecodeError:
            for kind, token in tokenize(text)[0]:
                if kind == "string":
                    continue
                try:
                    token.decode()
                except UnicodeDecodeError:
                    raise ProtocolError(
                        "Invalid utf8mb4 character string in a statement", Errno.INVALID_CHARACTER_STRING
                    ) from None

    def _send_number(self, client: Client, name: bytes, value: int) -> bool:
        """Send a result set of one row with one number."""
        session = client.session
        caps, status = session.capabilities, session.status
        column = Column(name, Type.LONGLONG, 63, 21, 0x81).encode()
        row = text_row([str(value).encode()])
        if caps & Capability.DEPRECATE_EOF:
            return self._send(
                client, encode_lenenc_integer(1), column, row, Ok(status=status).encode(caps, 0xFE)
            )
        eof = Eof(0, status).encode()
        return self._send(client, encode_lenenc_integer(1), column, eof, row, eof)

    def _init_db(self, client: Client, body: bytes) -> bool:
        try:
            name = body[1:].decode()
        except UnicodeDecodeError:
            raise ProtocolError("the schema's name is not UTF-8", Errno.INVALID_CHARACTER_STRING) from None
        return self._run_on_node(client, Command.INIT_DB, body, replace(_USE, schema=name))

    def _field_list(self, client: Client, body: bytes) -> bool:
        return self._run_on_node(client, Command.FIELD_LIST, body, _FIELDS)

    def _statistics(self, client: Client, body: bytes) -> bool:
        uptime = int(self._scheduler.now() - client.accepted_at)
        return self._send(client, f"Uptime: {uptime}  Threads: {len(self._clients)}".encode())

    def _set_option(self, client: Client, body: bytes) -> bool:
        option = int.from_bytes(body[1:3], "little")
        if len(body) != 3 or option > 1:
            raise ProtocolError("an unknown option", Errno.UNKNOWN_COM)
        client.session.multi = option == 0
        if client.reserved is not None:
            client.reserved.conn.multi = client.session.multi
            return self._run_on_node(client, Command.SET_OPTION, body, _NO_EFFECT)
        caps, status = client.session.capabilities, client.session.status
        if caps & Capability.DEPRECATE_EOF:
            return self._send(client, Ok(status=status).encode(caps, 0xFE))
        return self._send(client, Eof(0, status).encode())

    def _reset_connection(self, client: Client, body: bytes) -> bool:
        reserved, client.reserved = client.reserved, None
        if reserved is not None:
            # The reset drops the session state at the node, so that the connection can serve other sessions.
            try:
                self._nodes.reset(reserved.conn)
                reserved.release()
            except (OSError, TaskTimeoutError, ProtocolError) as error:
                log.info("a reset failed", extra={"fields": {"reason": type(error).__name__}})
                reserved.drop(AttemptStatus.RESET)
        client.session.reset()
        self._charge_prepared(client)
        client.last_conn = client.last_id_conn = None
        client.deadline = client.drain_deadline = None
        return self._send_ok(client)

    def _change_user(self, client: Client, body: bytes) -> bool:
        reserved, client.reserved = client.reserved, None
        if reserved is not None:
            reserved.drop(AttemptStatus.OK)
        client.last_conn = client.last_id_conn = None
        client.deadline = client.drain_deadline = None
        capabilities = client.session.capabilities
        client.session = Session("", "", capabilities, 0)
        self._charge_prepared(client)
        login = ServerLogin(
            client.thread, b"", capabilities, self._users.get, self._rsa, self._settings.server_version,
            self._settings.auth_plugin,
        )  # fmt: skip
        login.secure = client.channel.secure
        login.change_user(body, capabilities, client.challenge, self._challenge())
        return self._run_login(client, login, self._scheduler.now() + self._settings.login_ms / 1000)

    def _process_kill(self, client: Client, body: bytes) -> bool:
        if len(body) != 5:
            raise ProtocolError("a kill without its number")
        return self._kill(client, False, int.from_bytes(body[1:], "little"))

    def _kill(self, client: Client, query_only: bool, thread: int) -> bool:
        """Kill another session of the same user, identified by the thread id that this front end assigned."""
        target = self._clients.get(thread)
        if target is None:
            return self._send_error(client, Err.of(Errno.NO_SUCH_THREAD, f"Unknown thread id: {thread}"))
        if target.session.user != client.session.user:
            return self._send_error(
                client, Err.of(Errno.KILL_DENIED, f"You are not owner of thread {thread}")
            )
        if target is client:
            return self._send_error(
                client, Err.of(Errno.QUERY_INTERRUPTED, "Query execution was interrupted")
            )
        pending = target.pending_command
        if pending is not None and pending.conn is not None:
            pending.conn.unusable = True  # otherwise the KILL could hit the next session on the connection
            self._nodes.kill(pending.conn)
        if not query_only and target.task is not None:
            target.task.cancel()
        return self._send_ok(client)

    # --- prepared statements --------------------------------------------------------------------

    def _prepare(self, client: Client, body: bytes) -> bool:
        session, text = client.session, body[1:]
        self._check_text(session, text)
        statement = self._classifier.classify(text, False, session.opaque)
        if statement.kind is StatementKind.LOCAL_FILE:
            return self._send_error(client, _LOCAL_FILES_DISABLED)
        statement_id = session.next_prepared(len(text))
        self._charge_prepared(client, len(text))
        # Preparing has no side effects, so it may be retried whatever the statement does.
        without_effects = Statement(
            StatementKind.READ, statement.digest, plain_read=True, hint=statement.hint
        )
        return self._run_on_node(
            client, Command.STMT_PREPARE, body, without_effects, statement_id=statement_id
        ) and self._keep_statement(client, statement_id, statement)

    @staticmethod
    def _keep_statement(client: Client, statement_id: int, statement: Statement) -> bool:
        if (prepared := client.session.prepared.get(statement_id)) is not None:
            prepared.statement = statement
        return True

    def _execute(self, client: Client, body: bytes) -> bool:
        prepared, execution = client.session.execute(body)
        statement = prepared.statement
        if statement.kill is not None:
            return self._kill(client, *statement.kill)
        if execution.flags & CURSOR_READ_ONLY:
            # With a cursor, later commands fetch the rows, so this response does not complete the read.
            statement = replace(statement, plain_read=False) if not statement.plain_read else statement
        return self._run_on_node(
            client, Command.STMT_EXECUTE, body, statement, prepared, execution, prepared.id
        )

    def _fetch(self, client: Client, body: bytes) -> bool:
        if len(body) != 9:
            raise ProtocolError("a fetch cut short")
        statement_id = int.from_bytes(body[1:5], "little")
        prepared = client.session.find(statement_id)
        node_id = self._node_statement_id(client, prepared)
        if node_id is None or statement_id not in client.session.cursors:
            return self._send_error(
                client, Err(1421, "HY000", f"The statement ({statement_id}) has no open cursor.")
            )
        forwarded = body[:1] + node_id.to_bytes(4, "little") + body[5:]
        return self._run_on_node(client, Command.STMT_FETCH, forwarded, _FETCH, statement_id=statement_id)

    @staticmethod
    def _node_statement_id(client: Client, prepared: PreparedText) -> int | None:
        """Return the id of a prepared statement on the session's reserved connection, or None."""
        if client.reserved is None:
            return None
        conn = client.reserved.conn
        entry = conn.prepared.get((conn.schema, conn.settings, prepared.text))
        return None if entry is None else entry[0]

    def _long_data(self, client: Client, body: bytes) -> bool:
        self._charge_prepared(client, len(body))
        client.session.long_data(body, self._max_packet_bytes)
        return True

    def _close_prepared(self, client: Client, body: bytes) -> bool:
        statement_id = int.from_bytes(body[1:5], "little")
        self._close_cursor(client, statement_id)
        client.session.close_prepared(statement_id)
        self._charge_prepared(client)
        self._after_cursor(client)
        return True

    def _reset_prepared(self, client: Client, body: bytes) -> bool:
        statement_id = int.from_bytes(body[1:5], "little")
        client.session.find(statement_id)
        self._close_cursor(client, statement_id)
        client.session.reset_prepared(statement_id)
        self._after_cursor(client)
        return self._send_ok(client)

    def _close_cursor(self, client: Client, statement_id: int) -> None:
        """Close a cursor at the node, if one is open."""
        prepared = client.session.prepared.get(statement_id)
        if prepared is None or statement_id not in client.session.cursors or client.reserved is None:
            return
        node_id = self._node_statement_id(client, prepared)
        if node_id is None:
            return
        try:
            timeout = self._scheduler.now() + 1.0
            self._nodes.run_command(client.reserved.conn, b"\x1a" + node_id.to_bytes(4, "little"), timeout)
        except (OSError, TaskTimeoutError, ProtocolError):
            client.reserved.conn.unusable = True

    def _after_cursor(self, client: Client) -> None:
        if client.reserved is not None and not client.session.pinned:
            self._release(client)


_CONNECTION_ERRORS = (OSError, ProtocolError)
# Kinds of statement that commit an open transaction implicitly, or may do so.
_COMMITTING = frozenset(
    {
        StatementKind.COMMIT,
        StatementKind.BEGIN,
        StatementKind.DEFINE,
        StatementKind.LOCK,
        StatementKind.UNLOCK,
        StatementKind.UNKNOWN,
    }
)
_SESSION_CONTINUES = frozenset(
    {Errno.UNKNOWN_STMT_HANDLER, Errno.WRONG_ARGUMENTS, Errno.NOT_SUPPORTED_YET, 1461}
)
_CHAINED = Statement(StatementKind.BEGIN, "a chained transaction")
_NO_EFFECT = Statement(StatementKind.SET, "a command without effects", plain_read=True)
_USE = Statement(StatementKind.USE, "use", plain_read=True)
_FIELDS = Statement(StatementKind.READ, "field list", plain_read=True)
_FETCH = Statement(StatementKind.READ, "fetch")
_LOCAL_FILES_DISABLED = Err.of(
    Errno.CLIENT_LOCAL_FILES_DISABLED,
    "Loading local data is disabled; this must be enabled on both the client and server sides",
)


def _only_autocommit(statement: Statement) -> bool:
    return not (statement.settings or statement.pins or statement.unpins) and statement.count == 1


def _drain_error(session: Session) -> Err:
    consequence = (
        "its transaction was rolled back" if session.in_transaction else "what it held there is lost"
    )
    return Err.of(
        Errno.SERVER_SHUTDOWN, f"Server shutdown in progress: this session's node drains, {consequence}"
    )
