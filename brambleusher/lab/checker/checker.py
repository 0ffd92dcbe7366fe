"""Checker that observes every byte on the virtual wire and reports which rule was broken, when and by whom.

Add the checker to a world's taps, report to it the processes that start (`sidecar`, `node`, `discovery`,
`bad_client`) and the state of discovery (`actual_list`, `discovery_available`), call `step` after each step
of the world and `finish` at the end. Times are in nanoseconds on the world's monotonic clock, except
`started_ms`, which is Unix time in milliseconds.
"""

from __future__ import annotations

import heapq
import json
import math
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from itertools import count
from typing import Any

from brambleusher.lab.checker import judge, rerun
from brambleusher.lab.checker.books import (
    ActualNodes,
    Address,
    AdminConnection,
    Attempt,
    Breach,
    ClientConnection,
    ClientRequest,
    DiscoveryConnection,
    End,
    Execution,
    Named,
    NodeConnection,
    Process,
    SidecarIncarnation,
    TimelineEntry,
    Wire,
    merge_timelines,
)
from brambleusher.lab.checker.messages import Message, load_report
from brambleusher.lab.checker.roster import READY, ListUpdate, parse_address, parse_entries, parse_update
from brambleusher.lab.checker.rules import MS, RULES, UNSAFE, Rules

MAX_STORED_BREACHES = 100  # breaches kept with their timelines; further breaches are only counted
MAX_TIMER_DELAY_NS = 500 * MS  # a later timer counts as lost: no simulated process lacks a processor so long
LATE_LIST_NS = 50 * MS  # a list that arrives within this time counts as received when it was written


class Checker:
    """The checker of one run.

    Args:
        rules: The limits to check against.
        executions: The execution log that all simulated nodes share, in order of arrival.
    """

    def __init__(self, rules: Rules, executions: Sequence[Execution] = ()) -> None:
        self.rules, self._executions = rules, executions
        self.breaches: list[Breach] = []
        self.breach_count = 0  # number of breaches found, kept or not
        self.requests_received = self.served = self.attempts = self.lists = 0
        self._incarnations: dict[str, SidecarIncarnation] = {}
        self._listen_addresses: dict[Address, str] = {}
        self._discoveries: set[Address] = set()
        self._processes: dict[Address, Process] = {}
        self._bad_clients: dict[Address | str, int] = {}
        self._connections: dict[
            int, ClientConnection | NodeConnection | DiscoveryConnection | AdminConnection
        ] = {}
        self._admin_addresses: dict[Address, str] = {}
        # Client requests by the sidecar's machine and the request's id.
        self._client_requests: dict[tuple[str, str], list[ClientRequest]] = {}
        # How often each request may run: as often as sidecars received it.
        self._allowed_runs: dict[str, int] = {}
        self._deadlines: list[tuple[int, int, ClientRequest | ClientConnection | SidecarIncarnation]] = []
        self._sequence = count()
        # Suspected breaches, confirmed unless another event at the same time explains them.
        self._suspected: list[tuple[int, ClientRequest, str]] = []
        self._processed = 0  # number of executions already processed
        self._executions_by_request: dict[str, list[Execution]] = {}
        self._repeated: dict[str, list[Execution]] = {}
        self._warm_up_work: dict[tuple[str, int], deque[tuple[int, float, bool]]] = {}
        self._over_budget: set[tuple[str, int]] = set()
        self._actual_nodes = ActualNodes()
        self._faults_ended_ns = -1
        self._received_after_faults: list[ClientRequest] = []  # requests received after the last fault ended

    # --- events reported by the fleet -----------------------------------------------------------

    def sidecar(self, now: int, machine: str, config: bytes | Mapping[str, Any]) -> None:
        """Record that a sidecar process is about to start on a machine with a configuration."""
        raw = json.loads(config) if isinstance(config, bytes) else config
        listen, discovery = parse_address(raw["listen"]), parse_address(raw["discovery"])
        incarnation = SidecarIncarnation(machine, str(raw["name"]), listen, now, discovery_request_ns=now)
        self._incarnations[machine] = incarnation
        self._listen_addresses[listen] = machine
        self._discoveries.add(discovery)
        if (admin := raw.get("admin_addr")) is not None:
            self._admin_addresses[parse_address(admin)] = machine
        known = raw.get("known")
        if known is not None:
            update = ListUpdate(int(known.get("version", 0)), True, parse_entries(known["servers"]))
            incarnation.roster.apply(now, update)
            incarnation.versions[discovery] = {update.version}
        incarnation.log_event(now, "starts")

    def discovery(self, address: Address) -> None:
        """Register another address at which discovery listens."""
        self._discoveries.add(address)

    def node(self, now: int, name: str, address: Address, started_ms: int) -> None:
        """Record that a node's process accepts connections at an address; call once for each address."""
        self._processes[address] = Process(name, address, started_ms)

    def bad_client(self, who: Address | str, timeout_ns: int | None = None) -> None:
        """Register a misbehaving client, by its address or its machine's name, before it connects.

        The sidecar must serve the client's valid requests, and must answer anything else with an error or a
        close within a limit after the connect: `timeout_ns`, or `Rules.bad_client_ns` by default.
        """
        self._bad_clients[who] = self.rules.bad_client_ns if timeout_ns is None else timeout_ns

    def actual_list(self, now: int, servers: list[dict[str, Any]], full: bool = False) -> None:
        """Record nodes that discovery has learnt of; with `full`, nodes that the list omits are gone."""
        self._actual_nodes.roster.apply(now, ListUpdate(0, full, parse_entries(servers)))

    def discovery_available(self, now: int, able: bool, machine: str = "") -> None:
        """Record whether discovery works and can reach the sidecar on a machine ("" for all sidecars)."""
        self._actual_nodes.deliverable_since[machine] = now if able else -1

    def descriptors_short(self, now: int, machine: str, on: bool) -> None:
        """Record whether a fault leaves a sidecar process too few descriptors to accept connections."""
        incarnation = self._incarnations.get(machine)
        if incarnation is not None:
            incarnation.out_of_descriptors_ns = now if on else -1
            incarnation.descriptors_freed_ns = incarnation.descriptors_freed_ns if on else now

    def paused(self, now: int, machine: str, on: bool) -> None:
        """Record whether a sidecar process is stopped; deadlines within a stop move to some time after it."""
        incarnation = self._incarnations.get(machine)
        if incarnation is None:
            return
        incarnation.log_event(now, "is stopped" if on else "goes on")
        if on:
            incarnation.paused_ns = now
            return
        incarnation.paused_ns, incarnation.resumed_ns = -1, now
        for connection in self._connections.values():
            if isinstance(connection, DiscoveryConnection) and connection.incarnation is incarnation:
                self._apply_lists(now, connection)

    def captured(self, now: int, machine: str, stderr: bytes) -> None:
        """Check a sidecar's standard error at the end of the run, which contains its dumped capture."""
        name = self._incarnations[machine].name
        for text in rerun.differences(stderr)[:1]:
            self._breach("replay", now, name, text)
        captures = list(rerun.captures(stderr))
        for text in rerun.missing_timers(captures, MAX_TIMER_DELAY_NS)[:1]:
            self._breach("timers", now, name, text)
        for record in (record for records in captures for record in records if record["ev"] == "attempt"):
            if not self._report_was_on_wire(machine, record):
                text = f"{record['id']}: told {record['in']['report']} of {record['in']['server']}"
                self._breach("report", now, name, text)
                break

    def faults_ended(self, now: int) -> None:
        """Record that the last fault has ended, so that requests from now on can be served."""
        self._faults_ended_ns = now

    # --- taps -----------------------------------------------------------------------------------

    def process(self, now: int, machine: Named | str, what: str) -> None:
        """Record that a process was started or killed, has exited or was sent a signal."""
        incarnation = self._incarnations.get(machine if isinstance(machine, str) else machine.name)
        if incarnation is None or incarnation.has_exited:
            return
        incarnation.log_event(now, what)
        if what in ("signal 15", "signal 2"):
            incarnation.term_ns = now if incarnation.term_ns < 0 else incarnation.term_ns
        elif what == "signal 1":
            incarnation.reload_ns = now
        elif what in ("killed", "exited"):
            self._end_incarnation(now, incarnation, what == "killed")

    def opened(self, now: int, conn: Wire) -> None:
        """Record that a client has begun to connect."""
        server, client = conn.server, conn.client
        target = server.ip, server.port
        if (machine := self._listen_addresses.get(target)) is not None:
            self._open_client_connection(now, conn.id, self._incarnations[machine], client)
            return
        if (machine := self._admin_addresses.get(target)) is not None:
            self._connections[conn.id] = AdminConnection(self._incarnations[machine])
            return
        asker = self._incarnations.get(client.machine)
        if asker is None or asker.has_exited:
            return
        if target in self._discoveries:
            self._connections[conn.id] = DiscoveryConnection(conn.id, asker, target)
            asker.discovery_request_ns = now
        else:
            self._connections[conn.id] = NodeConnection(conn.id, asker, target)

    def established(self, now: int, conn: Wire) -> None:
        """Record that a connection is established."""
        connection = self._connections.get(conn.id)
        if isinstance(connection, NodeConnection):
            connection.process = self._processes.get(connection.target)
        elif isinstance(connection, ClientConnection | AdminConnection):
            # The sidecar may have restarted since the client began to connect.
            connection.incarnation = self._incarnations[connection.incarnation.machine]

    def accepted(self, now: int, conn: Wire) -> None:
        """Record that the listening process has accepted a connection."""
        connection = self._connections.get(conn.id)
        if isinstance(connection, ClientConnection):
            connection.accepted_ns = now

    def refused(self, now: int, conn: Wire) -> None:
        """Record that a connect was refused."""
        connection = self._connections.pop(conn.id, None)
        if isinstance(connection, DiscoveryConnection):
            connection.incarnation.discovery_request_failed = True

    def sent(self, now: int, conn: Wire, side: str, data: bytes) -> None:
        """Record bytes that a process has handed to its operating system."""
        connection = self._connections.get(conn.id)
        if connection is None:
            return
        if isinstance(connection, AdminConnection):
            self._admin_bytes_sent(now, connection, side, data)
        elif isinstance(connection, ClientConnection):
            connection.last_bytes_ns = now
            if side == "client":
                self._request_sent(now, connection, data)
            elif not connection.incarnation.has_exited:
                self._answer_sent(now, connection, data)
        elif isinstance(connection, NodeConnection):
            if side == "client":
                self._attempt_sent(now, connection, data)
        elif side == "client":
            self._discovery_request_sent(now, connection, data)
        else:
            self._discovery_bytes_sent(now, connection, data)

    def arrived(self, now: int, conn: Wire, side: str, data: bytes) -> None:
        """Record bytes that have become readable at `side`."""
        connection = self._connections.get(conn.id)
        if connection is None:
            return
        if isinstance(connection, AdminConnection):
            if side == "server":
                connection.arrived += len(data)
                self._receive_calls(now, connection)
        elif isinstance(connection, ClientConnection):
            connection.last_bytes_ns = now
            if side == "server":
                connection.request_bytes_arrived += len(data)
                self._receive_requests(now, connection)
            else:
                connection.answer_bytes_arrived += len(data)
                while (
                    connection.complete_answers
                    and connection.complete_answers[0][0] <= connection.answer_bytes_arrived
                ):
                    client_request = connection.complete_answers.popleft()[1]
                    if client_request is not None:
                        client_request.answered_ns = now
        elif isinstance(connection, NodeConnection):
            if side == "client":
                connection.arrived += len(data)
                connection.arrived_ns = now
        elif side == "client":
            connection.arrived += len(data)
            self._apply_lists(now, connection)

    def read(self, now: int, conn: Wire, side: str, data: bytes) -> None:
        """Record bytes that a process has read."""
        connection = self._connections.get(conn.id)
        if isinstance(connection, ClientConnection):
            if side == "server":
                connection.request_bytes_read += len(data)
            else:
                connection.answer_bytes_read += len(data)
        elif isinstance(connection, NodeConnection) and side == "client":
            self._answer_read(now, connection, data)

    def ended(self, now: int, conn: Wire, side: str, how: str) -> None:
        """Record that the peer's close, or a reset, has become readable at `side`."""
        connection = self._connections.get(conn.id)
        if isinstance(connection, ClientConnection):
            if side == "client":
                connection.reset_seen = connection.reset_seen or how == "reset"
                if not connection.closed:
                    self._connection_broken(now, connection)
            else:
                self._client_closed(now, connection, f"its client has ended ({how})")
                for client_request in connection.pending_requests:
                    client_request.client_close_ns = (
                        now if client_request.client_close_ns < 0 else client_request.client_close_ns
                    )
        elif isinstance(connection, NodeConnection) and side == "client":
            if connection.ended_seen_ns < 0:
                connection.ended_seen_ns = now
            connection.ended = connection.ended or how == "reset"
            self._log_attempt_event(now, connection, f"{connection.where} ended it ({how})")
        elif isinstance(connection, DiscoveryConnection) and side == "client":
            self._watch_ended(now, connection)

    def closed(self, now: int, conn: Wire, side: str) -> None:
        """Record that a process has closed its end of a connection."""
        connection = self._connections.get(conn.id)
        if isinstance(connection, ClientConnection):
            if side == "client":
                self._client_closed(now, connection, "its client has left")
            elif not connection.closed:
                connection.closed = True
                self._closed_by_sidecar(now, connection)
        elif isinstance(connection, NodeConnection) and side == "client" and not connection.ended:
            connection.ended = True
            self._log_attempt_event(now, connection, f"closed, {connection.where}")
        elif isinstance(connection, DiscoveryConnection) and side == "client":
            self._watch_ended(now, connection)

    # --- after each step ------------------------------------------------------------------------

    def step(self, now: int) -> None:
        """Check the deadlines that have passed and the executions that nodes have logged since."""
        if self._suspected and self._suspected[0][0] < now:
            self._confirm_suspected()
        while self._deadlines and self._deadlines[0][0] < now:
            at, _, item = heapq.heappop(self._deadlines)
            if isinstance(item, ClientRequest):
                self._check_deadline(at, item)
            elif isinstance(item, SidecarIncarnation):
                self._check_idle_connections(at, item)
            else:
                self._check_bad_client(at, item)
        if self._processed < len(self._executions):
            self._process_executions()
        if self._repeated:
            self._check_repeated(now)

    def finish(
        self, now: int, left_over: Iterable[str] = (), unreached: Iterable[tuple[int, str]] = ()
    ) -> list[Breach]:
        """Run the checks at the end of a run and return all breaches that were kept.

        Args:
            now: The time of the end, in nanoseconds.
            left_over: Descriptions of the resources that the fleet found unreleased.
            unreached: Requests whose clients got no connection in any try, each with the time at which the
                request was due in nanoseconds. No connection shows these requests.
        """
        self.step(now + 1)
        for text in left_over:
            self._breach("left-over", now, "the fleet", text)
        self._check_recovery(now, unreached)
        return self.breaches

    # --- clients -----------------------------------------------------------------------------

    def _open_client_connection(
        self, now: int, number: int, incarnation: SidecarIncarnation, client: End
    ) -> None:
        connection = self._connections[number] = ClientConnection(
            number, incarnation, now, (client.ip, client.port)
        )
        connection.bad_client_ns = self._bad_clients.get(
            connection.peer, self._bad_clients.get(client.machine)
        )
        if connection.bad_client_ns is not None:
            self._schedule(now + connection.bad_client_ns + self.rules.slack_ns, connection)

    def _request_sent(self, now: int, connection: ClientConnection, data: bytes) -> None:
        for message in connection.reader.feed(data):
            fault = judge.find_request_fault(message, self.rules)
            name = message.get("request-id") or ""
            effect = self.rules.effects.get(judge.request_class(message), "")
            client_request = ClientRequest(connection.incarnation, connection, message, name, effect, fault)
            client_request.sent_ns, client_request.pipelined = now, bool(connection.pending_requests)
            if fault is None:
                client_request.timeout_ns = int(message.get("request-timeout-ms") or 0) * MS
            elif fault == judge.READY:
                client_request.excuse = fault
            connection.pending_requests.append(client_request)
        if connection.request_bytes_arrived >= connection.reader.begin:
            self._receive_requests(now, connection)

    def _receive_requests(self, now: int, connection: ClientConnection) -> None:
        """Record the requests whose last byte has reached the sidecar."""
        for client_request in connection.pending_requests:
            if (
                client_request.received_ns >= 0
                or client_request.message.end > connection.request_bytes_arrived
            ):
                continue
            # A request counts from its writing, or from its arrival if the network delayed it, because the
            # sidecar could not know of the request earlier.
            late = now - client_request.sent_ns > self.rules.slack_ns // 10
            client_request.received_ns = now if late else client_request.sent_ns
            if client_request.fault is not None:
                continue
            self.requests_received += 1
            incarnation = connection.incarnation
            self._client_requests.setdefault((incarnation.machine, client_request.name), []).append(
                client_request
            )
            self._allowed_runs[client_request.name] = self._allowed_runs.get(client_request.name, 0) + 1
            peer = f"{connection.peer[0]}:{connection.peer[1]}"
            client_request.trail.append(
                (client_request.received_ns, f"{incarnation.name} takes {client_request.name} from {peer}")
            )
            incarnation.open_requests[client_request] = None
            if self._faults_ended_ns >= 0 and connection.bad_client_ns is None:
                self._received_after_faults.append(client_request)
            if not client_request.pipelined:
                self._set_deadline(client_request, client_request.received_ns)

    def _set_deadline(self, client_request: ClientRequest, at: int) -> None:
        client_request.due_ns = at + client_request.timeout_ns + self.rules.slack_ns
        self._schedule(client_request.due_ns, client_request)

    def _answer_sent(self, now: int, connection: ClientConnection, data: bytes) -> None:
        if not (
            connection.answers.has_partial or connection.pending_requests or connection.reader.has_partial
        ):
            connection.reported_offset = connection.answers.begin
            self._report_unsolicited(now, connection, "bytes of an answer that no request is owed")
        for answer in connection.answers.feed(data):
            if answer.status < 200:
                continue
            if answer.status >= 400:
                connection.errors += 1
            else:
                connection.served += 1
            if not connection.pending_requests:
                # Without a complete request, only an error for a partial or unreadable request is allowed.
                if (
                    answer.status < 400 or not connection.reader.has_partial
                ) and answer.begin != connection.reported_offset:
                    self._report_unsolicited(
                        now, connection, f"an answer {answer.status} that no request is owed"
                    )
                connection.complete_answers.append((answer.end, None))
                continue
            client_request = connection.pending_requests.pop(0)
            connection.complete_answers.append((answer.end, client_request))
            self._check_answer(now, client_request, answer)
            if (
                connection.pending_requests
                and connection.pending_requests[0].pipelined
                and not connection.pending_requests[0].fault
            ):
                self._set_deadline(connection.pending_requests[0], now)

    def _report_unsolicited(self, now: int, connection: ClientConnection, what: str) -> None:
        peer = f"{connection.peer[0]}:{connection.peer[1]}"
        self._breach(
            "one-answer", now, connection.incarnation.name, f"{what}, to {peer}", connection.incarnation.trail
        )

    def _check_answer(self, now: int, client_request: ClientRequest, answer: Message) -> None:
        status = client_request.status = answer.status
        client_request.trail.append((now, f"{client_request.incarnation.name} answers {status}"))
        was_open = not client_request.excuse
        client_request.incarnation.open_requests.pop(client_request, None)
        if client_request.fault is not None:
            if client_request.fault == judge.READY:
                self._check_ready(now, client_request, status)
            elif status < 400:
                self._breach_of_request(
                    "unusable", now, client_request, f"answered {status} though {client_request.fault}"
                )
            return
        late = client_request.due_ns >= 0 and now > max(
            client_request.due_ns, self._deadline_after_stop(client_request)
        )
        if was_open and late and not self._lacked_descriptor(client_request):
            self._breach_of_request(
                "answer",
                now,
                client_request,
                f"answered {(now - client_request.due_ns) / 1e6:.3f} ms too late",
            )
        if status == 200:
            self._check_body_origin(now, client_request, answer.body)
        elif status < 500 and status != 429:
            self._check_rejection(now, client_request)
        elif status in (429, 503) and client_request.effect == UNSAFE:
            possibly_run = [each for each in client_request.attempts if each.may_run]
            if possibly_run:
                self._breach_of_request(
                    "refusal",
                    now,
                    client_request,
                    f"refused with {status}; it may have run on {possibly_run[0].connection.where}",
                )

    def _check_rejection(self, now: int, client_request: ClientRequest) -> None:
        """Report an error status for a valid request, unless its id is reused or its body was not read."""
        unread = (
            client_request.received_ns < 0
            or client_request.connection.request_bytes_read < client_request.message.end
        )
        is_duplicate = (
            len(self._client_requests.get((client_request.incarnation.machine, client_request.name), ())) > 1
        )
        if not unread and not is_duplicate:
            self._breach_of_request(
                "told-off",
                now,
                client_request,
                f"answered {client_request.status}, and nothing is wrong with it",
            )

    def _check_body_origin(self, now: int, client_request: ClientRequest, body: bytes) -> None:
        self._process_executions()
        self.served += 1
        if any(
            each.answer and each.answer == body
            for each in self._executions_by_request.get(client_request.name, ())
        ):
            return
        for each in self._executions:
            if each.answer and each.answer == body:
                self._breach_of_request(
                    "other-answer",
                    now,
                    client_request,
                    f"served with what {each.node} made for {each.request}",
                )
                return
        self._breach_of_request(
            "made-answer", now, client_request, f"served with {len(body)} bytes that no node made for it"
        )

    def _deadline_after_stop(self, client_request: ClientRequest) -> int:
        """Return the deadline for an answer after a stop of the sidecar; 0 if no stop extends it."""
        incarnation = client_request.incarnation
        return (
            incarnation.resumed_ns + self.rules.resume_ns
            if incarnation.resumed_ns >= client_request.received_ns
            else 0
        )

    def _lacked_descriptor(self, client_request: ClientRequest) -> bool:
        """Tell whether a shortage of descriptors kept the sidecar from accepting a request's connection."""
        connection = client_request.connection
        waited = (
            connection.accepted_ns < 0
            or connection.accepted_ns > client_request.received_ns + self.rules.slack_ns
        )
        return waited and connection.incarnation.was_out_of_descriptors(client_request.received_ns)

    def _check_deadline(self, at: int, client_request: ClientRequest) -> None:
        """Report a request whose deadline has passed without an answer, unless something excuses that."""
        if client_request.excuse:
            return
        if client_request.needs_answer:
            if client_request.incarnation.paused_ns >= 0:
                self._schedule(at + self.rules.resume_ns, client_request)
                return
            if at < self._deadline_after_stop(client_request):
                self._schedule(self._deadline_after_stop(client_request), client_request)
                return
        connection = client_request.connection
        if client_request.status:
            if client_request.answered_ns < 0 and connection.reset_seen:
                self._excuse(at, client_request, "reset")
                self._breach_of_request("answer", at, client_request, "its answer was overtaken by a reset")
            return
        if connection.answer_bytes_arrived > connection.answer_bytes_read:
            self._excuse(at, client_request, "its client does not read")
            return
        if self._lacked_descriptor(client_request):
            self._excuse(at, client_request, "no descriptor was left to accept it with")
            return
        self._excuse(at, client_request, "late")
        self._breach_of_request("answer", at, client_request, "no answer when its time was up")

    def _closed_by_sidecar(self, now: int, connection: ClientConnection) -> None:
        for client_request in connection.pending_requests:
            if client_request.excuse or client_request.fault is not None or client_request.received_ns < 0:
                continue
            if connection.request_bytes_read <= client_request.message.begin:
                self._excuse(now, client_request, "the close crossed it unread")
                self._allowed_runs[client_request.name] -= 1
            elif client_request.pipelined:
                self._excuse(now, client_request, "it was sent ahead of an answer")
            elif not connection.incarnation.has_exited:
                self._suspected.append((now, client_request, "its connection was closed without an answer"))

    def _connection_broken(self, now: int, connection: ClientConnection) -> None:
        """Handle a client connection that ended although the sidecar did not close it."""
        for client_request in connection.pending_requests:
            if connection.accepted_ns >= 0:
                self._excuse(now, client_request, "the network broke its connection")
            elif client_request.needs_answer and not connection.incarnation.has_exited:
                self._suspected.append(
                    (now, client_request, "its connection was dropped before it was looked at")
                )

    def _client_closed(self, now: int, connection: ClientConnection, why: str) -> None:
        connection.client_closed = True
        for client_request in connection.pending_requests:
            self._excuse(now, client_request, why)

    def _excuse(self, now: int, client_request: ClientRequest, why: str) -> None:
        if not client_request.excuse:
            client_request.excuse = why
            client_request.trail.append((now, why))
        client_request.incarnation.open_requests.pop(client_request, None)

    def _confirm_suspected(self) -> None:
        suspected, self._suspected = self._suspected, []
        for at, client_request, what in suspected:
            if client_request.needs_answer:
                self._excuse(at, client_request, what)
                self._breach_of_request("answer", at, client_request, what)

    def _check_bad_client(self, at: int, connection: ClientConnection) -> None:
        if (
            connection.closed
            or connection.client_closed
            or connection.errors
            or connection.served
            or connection.incarnation.has_exited
        ):
            return
        late = (
            connection.accepted_ns < 0 or connection.accepted_ns > connection.opened_ns + self.rules.slack_ns
        )
        if late and connection.incarnation.was_out_of_descriptors(connection.opened_ns):
            return
        if any(
            client_request.fault is None and client_request.received_ns >= 0
            for client_request in connection.pending_requests
        ):
            return  # a valid request is checked like any other client's
        peer = f"{connection.peer[0]}:{connection.peer[1]}"
        self._breach(
            "bad-client", at, connection.incarnation.name,
            f"{peer} connected at {connection.opened_ns / 1e9:.9f} and has neither an error nor a close",
        )  # fmt: skip

    def _end_incarnation(self, now: int, incarnation: SidecarIncarnation, killed: bool) -> None:
        incarnation.has_exited = True
        limit = incarnation.term_ns + self.rules.term_ns
        for client_request in list(incarnation.open_requests):
            if killed and (incarnation.term_ns < 0 or client_request.received_ns <= limit):
                self._excuse(now, client_request, "its sidecar was killed")
            elif not client_request.excuse:
                self._excuse(now, client_request, "its sidecar has ended")
                self._breach_of_request(
                    "answer", now, client_request, "its sidecar ended without answering it"
                )
        self._suspected = [each for each in self._suspected if each[1].incarnation is not incarnation]
        if not killed and incarnation.term_ns < 0:
            self._breach("crash", now, incarnation.name, "ended unasked", incarnation.trail)

    # --- operators ------------------------------------------------------------------------------

    def _admin_bytes_sent(self, now: int, connection: AdminConnection, side: str, data: bytes) -> None:
        incarnation = connection.incarnation
        if side == "client":
            connection.calls_in_transit += connection.reader.feed(data)
            return
        for answer in connection.answers.feed(data):
            admin_call = connection.unanswered_calls.pop(0) if connection.unanswered_calls else None
            if admin_call is None or incarnation.has_exited or not 200 <= answer.status < 300:
                continue
            node, what = self._parse_call(admin_call)
            if what == "offline" and node in incarnation.offline_called:
                incarnation.offline_since.setdefault(node, now)
            elif (
                what == "out-of-service"
                and incarnation.out_of_service_ns < 0
                and incarnation.out_of_service_called
            ):
                incarnation.out_of_service_ns = now
                incarnation.log_event(now, "says yes to out-of-service")
                self._schedule(now + self.rules.close_idle_ns, incarnation)

    def _receive_calls(self, now: int, connection: AdminConnection) -> None:
        """Record operators' calls that have reached a sidecar.

        A call that takes a node or the sidecar out of service binds once the sidecar has acknowledged it; one
        for a node binds after `Rules.call_binds_ns` at the latest. A call back into service binds on arrival.
        """
        while connection.calls_in_transit and connection.calls_in_transit[0].end <= connection.arrived:
            admin_call, incarnation = connection.calls_in_transit.pop(0), connection.incarnation
            connection.unanswered_calls.append(admin_call)
            node, what = self._parse_call(admin_call)
            if what == "offline":
                incarnation.offline_called.setdefault(node, now)
            elif what == "online":
                incarnation.offline_called.pop(node, None)
                incarnation.offline_since.pop(node, None)
            elif what == "out-of-service":
                incarnation.out_of_service_called = True
            elif what == "in-service":
                (
                    incarnation.out_of_service_called,
                    incarnation.out_of_service_ns,
                    incarnation.in_service_ns,
                ) = False, -1, now
            incarnation.log_event(now, f"is called: {admin_call.start}")

    @staticmethod
    def _parse_call(admin_call: Message) -> tuple[str, str]:
        """Return the node's id and the action of an operators' call; ids here need no URL decoding."""
        parts = admin_call.start.split(" ")[1].split("/")
        return (parts[3], parts[4]) if len(parts) == 5 else ("", parts[-1])

    def _node_offline_since(self, now: int, incarnation: SidecarIncarnation, node: str) -> int | None:
        """Return the time since which operators' calls forbid a sidecar to use a node; None if none do."""
        moments = [incarnation.offline_since[node]] if node in incarnation.offline_since else []
        if (
            node in incarnation.offline_called
            and now >= incarnation.offline_called[node] + self.rules.call_binds_ns
        ):
            moments.append(incarnation.offline_called[node] + self.rules.call_binds_ns)
        return min(moments, default=None)

    def _check_ready(self, now: int, client_request: ClientRequest, status: int) -> None:
        incarnation, rules = client_request.incarnation, self.rules
        if status == 200 and 0 <= incarnation.out_of_service_ns <= client_request.received_ns:
            self._breach_of_request(
                "service", now, client_request, "out of service, and says that it is ready"
            )
        must_be_ready = (
            incarnation.term_ns < 0
            and not incarnation.out_of_service_called
            and bool(incarnation.roster.nodes)
        )
        since = max(incarnation.started_ns, incarnation.in_service_ns)
        if status != 200 and must_be_ready and client_request.received_ns > since + rules.ready_ns:
            self._breach_of_request("service", now, client_request, f"in service, and answers {status}")

    def _check_idle_connections(self, at: int, incarnation: SidecarIncarnation) -> None:
        """Report an idle client connection that a sidecar keeps long after going out of service."""
        if (
            incarnation.has_exited
            or incarnation.out_of_service_ns < 0
            or at < incarnation.out_of_service_ns + self.rules.close_idle_ns
        ):
            return
        for connection in self._connections.values():
            if (
                not isinstance(connection, ClientConnection)
                or connection.incarnation is not incarnation
                or connection.accepted_ns < 0
            ):
                continue
            if (
                connection.closed
                or connection.client_closed
                or connection.reset_seen
                or connection.pending_requests
                or connection.reader.has_partial
            ):
                continue
            if (
                connection.answer_bytes_arrived <= connection.answer_bytes_read
                and at - connection.last_bytes_ns > self.rules.idle_ns
            ):
                peer = f"{connection.peer[0]}:{connection.peer[1]}"
                what = (
                    f"out of service since {incarnation.out_of_service_ns / 1e9:.9f}, "
                    f"and keeps the connection of {peer}"
                )
                self._breach("service", at, incarnation.name, what, incarnation.trail)
                return

    # --- nodes ----------------------------------------------------------------------------------

    def _attempt_sent(self, now: int, connection: NodeConnection, data: bytes) -> None:
        if not connection.reader.has_partial:
            self._begin_attempt(now, connection)
        messages = connection.reader.feed(data)
        for at, message in enumerate(messages):
            attempt = connection.attempt
            assert attempt is not None
            if attempt.client_request is None:
                self._match_request(now, connection, attempt, message)
            self._attempt_written(now, connection, attempt, message)
            if at + 1 < len(messages) or connection.reader.has_partial:
                self._begin_attempt(now, connection)
        head = connection.reader.head
        if head is not None and connection.attempt is not None and connection.attempt.client_request is None:
            self._match_request(now, connection, connection.attempt, head)

    def _begin_attempt(self, now: int, connection: NodeConnection) -> None:
        """Record the first byte of a request to a node and check that the connection was free for it."""
        before = connection.attempt
        attempt = connection.attempt = Attempt(connection, now)
        connection.requests_begun += 1
        if before is not None:
            if before.status == 0:
                self._breach_at_node("shared", now, attempt, "another request is out on this connection")
            elif connection.closes:
                self._breach_at_node(
                    "dirty", now, attempt, "the node had said that it closes this connection"
                )
            elif (
                connection.answers.has_partial
                and connection.arrived_ns <= now - self.rules.unnoticed_bytes_ns
            ):
                self._breach_at_node("dirty", now, attempt, "bytes behind an answer had been read from it")
            elif (
                connection.arrived > connection.read
                and connection.arrived_ns < now - self.rules.unnoticed_bytes_ns
            ):
                self._breach_at_node(
                    "dirty", now, attempt, f"{connection.arrived - connection.read} bytes waited on it"
                )
            elif 0 <= connection.ended_seen_ns < now - self.rules.unnoticed_bytes_ns:
                self._breach_at_node("dirty", now, attempt, "its end waited on it")
        self._check_drain(now, attempt)

    def _check_drain(self, now: int, attempt: Attempt) -> None:
        connection, incarnation, process = (
            attempt.connection,
            attempt.connection.incarnation,
            attempt.connection.process,
        )
        if process is None:
            since = incarnation.roster.no_ready_node_since(connection.target)
        else:
            since = incarnation.roster.stopped_since(process.node, process.started_ms, connection.target)
        if since == -1:
            self._breach_at_node("unlisted", now, attempt, "no list named this address")
            return
        how = "was told"
        if process is not None:
            expected = self._expected_notice(now, incarnation, process)
            if expected is not None and (since is None or expected < since):
                since, how = expected, "counts as told"
            offline_since = self._node_offline_since(now, incarnation, process.node)
            if offline_since is not None and (since is None or offline_since < since):
                since, how = offline_since, "was told by operators"
        if since is not None and now - since > self.rules.drain_ns:
            late = now - since - self.rules.drain_ns
            self._breach_at_node(
                "drain", now, attempt,
                f"first byte {late} ns too late: the sidecar {how} at {since / 1e9:.9f} that it stops",
            )  # fmt: skip

    def _expected_notice(self, now: int, incarnation: SidecarIncarnation, process: Process) -> int | None:
        """Return the time since which a sidecar should know that a process accepts no new requests.

        Returns None if the sidecar is not yet expected to know. The time follows from when discovery could
        deliver the change, from a reload, and from a long time without a request to discovery.
        """
        actual = self._actual_nodes.node(process.node)
        if actual is None:
            return None
        if actual.started_ms > process.started_ms:
            since = actual.restarted_ns
        elif actual.state != READY:
            since = actual.since_ns
        else:
            return None
        rules, moments = self.rules, [math.inf]
        deliverable = self._actual_nodes.deliverable_to_since(incarnation.machine)
        if deliverable is not None:
            start = max(since, deliverable, incarnation.started_ns, incarnation.resumed_ns)
            moments.append(start + rules.notice_ns)
            if 0 <= since <= incarnation.reload_ns:
                moments.append(max(incarnation.reload_ns, start) + rules.reload_notice_ns)
        if not incarnation.watches:
            max_pause_ns = rules.must_ask_ns * (
                rules.failed_request_factor if incarnation.discovery_request_failed else 1
            )
            last_request = max(incarnation.discovery_request_ns, incarnation.resumed_ns)
            if now - last_request > max_pause_ns:
                moments.append(max(since, last_request) + max_pause_ns)
        at = min(moments)
        return int(at) if at <= now else None

    def _match_request(self, now: int, connection: NodeConnection, attempt: Attempt, head: Message) -> None:
        """Find the client request that an attempt belongs to and check that it may be sent."""
        incarnation, name = connection.incarnation, head.get("request-id") or ""
        if head.get("content-length") is not None and head.get("transfer-encoding") is not None:
            self._breach_at_node("framing", now, attempt, f"{name} has a length and a coding")
        client_request = self._find_request(incarnation, name)
        if client_request is None:
            self._breach_at_node(
                "unasked", now, attempt, f"no client of {incarnation.name} made a request {name!r}"
            )
            return
        attempt.client_request = client_request
        earlier = client_request.attempts
        if client_request.effect == UNSAFE:
            possibly_run = [each for each in earlier if each.may_run]
            if possibly_run:
                client_request.trail.append((now, f"sent again to {connection.where}"))
                self._breach_of_request(
                    "repeat",
                    now,
                    client_request,
                    f"sent again though it may have run on {possibly_run[0].connection.where}",
                )
        if not self.rules.second_copies and any(
            not each.connection.ended and not each.status for each in earlier
        ):
            self._breach_of_request("copies", now, client_request, "an earlier attempt is still out")
        if 0 <= client_request.client_close_ns < attempt.first_byte_ns - self.rules.abandon_ns:
            client_request.trail.append((attempt.first_byte_ns, f"first byte to {connection.where}"))
            self._breach_of_request(
                "for-nobody", now, client_request, "its client had left, which could be seen long before"
            )
        earlier.append(attempt)
        client_request.trail.append((attempt.first_byte_ns, f"first byte to {connection.where}"))

    def _find_request(self, incarnation: SidecarIncarnation, name: str) -> ClientRequest | None:
        there = self._client_requests.get((incarnation.machine, name))
        if not there:
            return None
        live = [each for each in there if each.incarnation is incarnation]
        unanswered = [
            each
            for each in live
            if each.needs_answer and each.connection.request_bytes_read >= each.message.end
        ]
        return unanswered[0] if unanswered else (live[-1] if live else None)

    def _attempt_written(
        self, now: int, connection: NodeConnection, attempt: Attempt, message: Message
    ) -> None:
        """Record that an attempt's last byte was written, so that the node may run the request."""
        attempt.written_ns = now
        self.attempts += 1
        client_request = attempt.client_request
        if client_request is None:
            return
        client_request.trail.append((now, f"written whole to {connection.where}"))
        original = client_request.message
        if message.start.split(" ")[:2] != original.start.split(" ")[:2] or message.body != original.body:
            self._breach_of_request(
                "changed", now, client_request, f"passed on as {message.start!r}, {len(message.body)} bytes"
            )
        if sum(each.written_ns >= 0 for each in client_request.attempts) > self.rules.max_attempts:
            self._breach_of_request(
                "attempts", now, client_request, f"attempt number {len(client_request.attempts)}"
            )

    def _answer_read(self, now: int, connection: NodeConnection, data: bytes) -> None:
        connection.read += len(data)
        for answer in connection.answers.feed(data):
            if answer.status < 200 or connection.attempt is None or connection.attempt.status:
                continue
            attempt = connection.attempt
            attempt.status = answer.status
            if answer.status in (503, 504) and answer.get("not-started") == "1":
                attempt.proven_not_run = True
            attempt.report = load_report(answer)
            connection.closes = answer.closes
            self._log_attempt_event(
                now,
                connection,
                f"{answer.status} from {connection.where}{', not started' * attempt.proven_not_run}",
            )

    def _log_attempt_event(self, now: int, connection: NodeConnection, text: str) -> None:
        if connection.attempt is not None and connection.attempt.client_request is not None:
            connection.attempt.client_request.trail.append((now, text))

    # --- the nodes' execution log ---------------------------------------------------------------

    def _process_executions(self) -> None:
        """Process the executions that nodes have logged since the last call."""
        while self._processed < len(self._executions):
            each = self._executions[self._processed]
            self._processed += 1
            there = self._executions_by_request.setdefault(each.request, [])
            there.append(each)
            if len(there) > 1 and self._effect_of(each.request) == UNSAFE:
                self._repeated[each.request] = there
            if each.cold:
                self._check_warm_up_budget(each)

    def _effect_of(self, name: str) -> str:
        return next((client_request.effect for client_request in self._requests_named(name)), "")

    def _requests_named(self, name: str) -> list[ClientRequest]:
        return [
            each for machine in self._incarnations for each in self._client_requests.get((machine, name), ())
        ]  # fmt: skip

    def _check_repeated(self, now: int) -> None:
        for name, there in list(self._repeated.items()):
            runs = [each for each in there if each.began_ns]
            if len(runs) > max(self._allowed_runs.get(name, 0), 1):
                del self._repeated[name]
                at = ", ".join(each.node for each in runs)
                self._breach_of_request(
                    "once", now, self._requests_named(name)[0], f"run {len(runs)} times: {at}"
                )

    def _check_warm_up_budget(self, each: Execution) -> None:
        """Check the work that all sidecars sent to a cold node in one window, which ends at an execution."""
        rules, at, node = self.rules, each.came_ns, (each.node, each.process)
        informed = False
        for client_request in self._requests_named(each.request):
            for attempt in client_request.attempts:
                process = attempt.connection.process
                if process is not None and process.node == each.node:
                    informed = informed or client_request.incarnation.roster.knows_start(
                        process.node, process.started_ms
                    )
        recent = self._warm_up_work.setdefault(node, deque())
        recent.append((at, each.work_s, informed))
        while recent[0][0] <= at - rules.fall_ns:
            recent.popleft()
        work = sum(item[1] for item in recent)
        informed_work = sum(item[1] for item in recent if item[2])
        budget = rules.warm_up_budget(each.capacity)
        # Allowance for chance: one standard deviation of the work that arrives at a mean of `budget`, if
        # requests vary in size like those seen (Campbell's theorem for a compound Poisson process).
        budget += math.sqrt(budget * sum(item[1] ** 2 for item in recent) / work)
        if (
            work > budget
            and informed_work >= rules.min_informed_fraction * work
            and node not in self._over_budget
        ):
            self._over_budget.add(node)
            self._breach(
                "cold", at, each.node,
                f"{work:.3f} s of work in {len(recent)} requests within {rules.fall_ns / 1e9:g} s, "
                f"{informed_work:.3f} s of it from sidecars that were told of its start; "
                f"room for {budget:.3f} s",
            )  # fmt: skip

    def _report_was_on_wire(self, machine: str, record: dict[str, Any]) -> bool:
        """Tell whether the load report that the balancer got for an attempt was on the wire.

        The report of any attempt of the request will do, because the capture does not record which it was.
        """
        report = record["in"]["report"]
        client_requests = self._client_requests.get((machine, record["id"]), ())
        brought = [
            attempt.report for client_request in client_requests for attempt in client_request.attempts
        ]
        if report is not None:
            return tuple(report) in brought
        # The answer of a served request was read whole; another answer may have been abandoned half read.
        return record["in"]["status"] != "ok" or not brought or None in brought

    # --- discovery ------------------------------------------------------------------------------

    def _discovery_request_sent(self, now: int, connection: DiscoveryConnection, data: bytes) -> None:
        for message in connection.requests.feed(data):
            incarnation = connection.incarnation
            incarnation.discovery_request_ns, incarnation.discovery_request_failed = now, False
            target = message.start.split(" ")[1]
            incarnation.log_event(
                now, f"asks discovery at {connection.target[0]}:{connection.target[1]} for {target}"
            )
            parameters = dict(
                parameter.partition("=")[::2] for parameter in target.partition("?")[2].split("&")
            )
            since = parameters.get("since")
            if since is not None and (
                not since.isdigit() or int(since) not in incarnation.versions.get(connection.target, ())
            ):
                self._breach(
                    "versions", now, incarnation.name, f"asked for what follows {since}", incarnation.trail
                )

    def _discovery_bytes_sent(self, now: int, connection: DiscoveryConnection, data: bytes) -> None:
        lines, incarnation = connection.lines, connection.incarnation
        previous_status = lines.status
        complete_lines = lines.feed(data)
        if lines.status and not previous_status:
            incarnation.discovery_request_failed = lines.status != 200
            if not incarnation.discovery_request_failed:
                connection.watch_open = True
                incarnation.watches += 1
        for line in complete_lines:
            if not line.strip():
                continue
            update = parse_update(line)
            if update is None:
                incarnation.log_event(now, f"is told nonsense: {line[:40]!r}")
                continue
            self.lists += 1
            incarnation.versions.setdefault(connection.target, set()).add(update.version)
            connection.pending.append((now, lines.at, update))

    def _apply_lists(self, now: int, connection: DiscoveryConnection) -> None:
        """Apply the lists that have reached a sidecar."""
        if connection.incarnation.paused_ns >= 0:  # a stopped sidecar can't have read the lists yet
            return
        while connection.pending and connection.pending[0][1] <= connection.arrived:
            written, _, update = connection.pending.popleft()
            at = written
            if connection.incarnation.resumed_ns == now:
                at = now
            elif now - written > LATE_LIST_NS:
                # A list that the network delayed counts from its arrival, or `notice_ns` after its writing.
                at = min(now, written + self.rules.notice_ns)
            changed = connection.incarnation.roster.apply(at, update)
            what = "the whole list" if update.full else "changes"
            text = f"is told {what}, version {update.version}, written at {written / 1e9:.9f}"
            connection.incarnation.log_event(now, ": ".join([text, ", ".join(changed)]) if changed else text)

    def _watch_ended(self, now: int, connection: DiscoveryConnection) -> None:
        if connection.watch_open:
            connection.watch_open = False
            connection.incarnation.watches -= 1
            connection.incarnation.discovery_request_ns = now
        elif not connection.lines.done:
            connection.incarnation.discovery_request_failed = True

    # --- the end --------------------------------------------------------------------------------

    def _check_recovery(self, now: int, unreached: Iterable[tuple[int, str]]) -> None:
        rules = self.rules
        if self._faults_ended_ns < 0:
            return
        start = self._faults_ended_ns + rules.recover_ns
        # A client's retries count with the first try: their ids begin with its id and a hyphen.
        tries_by_request: dict[str, list[ClientRequest]] = {}
        for each in self._received_after_faults:
            tries_by_request.setdefault(each.name.partition("-")[0], []).append(each)
        counted = [
            tries
            for tries in tries_by_request.values()
            if (first := tries[0]).received_ns >= start
            and first.due_ns <= now
            and (first.status or not first.excuse)
        ]
        unserved = [tries for tries in counted if not any(each.status == 200 for each in tries)]
        unreached_late = [(at, name) for at, name in unreached if at >= start]
        count, missed = len(counted) + len(unreached_late), len(unserved) + len(unreached_late)
        if count < rules.recover_min_requests or missed <= max(1, (1 - rules.recover_fraction) * count):
            return
        trails = (
            [each.trail for each in unserved[0]]
            if unserved
            else [[(unreached_late[0][0], f"{unreached_late[0][1]} was not let in")]]
        )
        self._breach(
            "recovery", now, "the fleet",
            f"{count - missed} of {count} requests served from {start / 1e9:.9f} on, the "
            f"last fault ended at {self._faults_ended_ns / 1e9:.9f}; the first one not served follows",
            *trails,
        )  # fmt: skip

    # --- breaches -------------------------------------------------------------------------------

    def _schedule(self, at: int, item: ClientRequest | ClientConnection | SidecarIncarnation) -> None:
        heapq.heappush(self._deadlines, (at, next(self._sequence), item))

    def _breach_at_node(self, rule: str, now: int, attempt: Attempt, what: str) -> None:
        incarnation = attempt.connection.incarnation
        self._breach(rule, now, incarnation.name, f"to {attempt.connection.where}: {what}", incarnation.trail)

    def _breach_of_request(self, rule: str, now: int, client_request: ClientRequest, what: str) -> None:
        self._breach(
            rule,
            now,
            client_request.incarnation.name,
            f"{client_request.name}: {what}",
            client_request.trail,
            client_request.incarnation.trail,
        )

    def _breach(self, rule: str, now: int, who: str, what: str, *trails: Sequence[TimelineEntry]) -> None:
        assert rule in RULES
        self.breach_count += 1
        if len(self.breaches) < MAX_STORED_BREACHES:
            self.breaches.append(Breach(rule, now, who, what, merge_timelines(*trails)))
