"""Deliberate breakages: faults put into the program for a while, to see that the lab finds them.

Each is a patch of the program's classes in this process, undone afterwards.  None keeps anything from one
run to the next: what happens now and then goes by the request's id or by the time.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any

from brambleusher.decisions.balancer_driver import BalancerDriver
from brambleusher.decisions.requests import ClientRequest, PendingRequest
from brambleusher.features import capture as capture_module
from brambleusher.lab.checker.rules import RULES
from brambleusher.loadbalancing import Balancer, api
from brambleusher.loadbalancing.api import AttemptStatus, HostState
from brambleusher.loadbalancing.client_draining import ClientDraining
from brambleusher.loadbalancing.hosts import Host, Request
from brambleusher.loadbalancing.retry_policy import RetryPolicy
from brambleusher.loadbalancing.slow_start_budget import SlowStartBudget
from brambleusher.net import (
    client_connection,
    client_request_handler,
    client_response,
    upstream_exchange,
    upstream_responses,
)
from brambleusher.net import endpoint_entries as list_module
from brambleusher.net.endpoint_list import Endpoint, EndpointList, EndpointListUpdate, Feed
from brambleusher.net.http import Message, MessageReader
from brambleusher.net.request_lifecycle import ClientHandle, FinalResponse, RequestLifecycle, ResponseKind
from brambleusher.net.upstream_connections import UpstreamConnections
from brambleusher.net.upstream_endpoint import AttemptResult, UpstreamAttempt, UpstreamEndpoint
from brambleusher.net.upstream_exchange import UpstreamExchange
from brambleusher.net.upstream_pool import UpstreamPool
from brambleusher.net.upstream_response_reader import UpstreamResponseReader
from brambleusher.runtime.scheduler import TaskCancelledError
from brambleusher.runtime.streams import Stream, WaitInterruptedError
from brambleusher.sidecar.app import Sidecar
from brambleusher.sidecar.endpoint_updates import EndpointUpdates
from brambleusher.sidecar.lifecycle import Lifecycle
from brambleusher.sidecar.operator_actions import OperatorActions

LATE_SECONDS = 0.001  # past the drain limit


class Patches:
    """What was replaced, to be put back."""

    def __init__(self) -> None:
        self._old: list[tuple[Any, str, Any]] = []

    def set(self, owner: Any, name: str, value: Any) -> Any:
        """Replace an attribute of a class or a module; says what was there, as one calls it."""
        self._old.append((owner, name, vars(owner)[name]))
        old = getattr(owner, name)
        setattr(owner, name, value)
        return old

    def undo(self) -> None:
        """Put all back."""
        while self._old:
            setattr(*self._old.pop())


@dataclass(frozen=True, slots=True)
class Breakage:
    """One fault: its name, what is wrong, and the rules it must be found under, any of them."""

    name: str
    text: str
    rules: tuple[str, ...]
    put: Callable[[Patches], None]
    profile: str = "default"  # of fault plans that can tell

    @contextmanager
    def on(self) -> Iterator[None]:
        """The program with this fault; start its sidecars within."""
        patches = Patches()
        try:
            self.put(patches)
            yield
        finally:
            patches.undo()


BREAKAGES: dict[str, Breakage] = {}


def breakage(
    name: str, text: str, *rules: str, profile: str = "default"
) -> Callable[[Callable[[Patches], None]], Callable[[Patches], None]]:
    """Name a patch."""
    assert rules and not set(rules) - set(RULES), rules

    def add(put: Callable[[Patches], None]) -> Callable[[Patches], None]:
        BREAKAGES[name] = Breakage(name, text, rules, put, profile)
        return put

    return add


def now_and_then(request: str, one_in: int) -> bool:
    """Whether this is one of the few requests that are treated badly."""
    return zlib.crc32(request.encode()) % one_in == 0


# --- drains and lists -----------------------------------------------------------------------------


@breakage("drain-late", "what drains or is gone is taken in 1 ms after the limit", "drain")
def _drain_late(patches: Patches) -> None:
    def receive(self: EndpointUpdates, update: EndpointListUpdate) -> None:
        leaving = [each for each in update.endpoints if each.entry.state is not HostState.READY]
        named = {each.entry.host for each in update.endpoints}
        if not leaving and not (update.full and set(self._upstream_pool.listed) - named):
            old(self, update)
            return
        if not update.full:
            ready = tuple(each for each in update.endpoints if each.entry.state is HostState.READY)
            old(self, replace(update, endpoints=ready))
            update = replace(update, endpoints=tuple(leaving))
        wait = self._driver.settings.drain_grace_ns / 1e9 + LATE_SECONDS
        scheduler = self._driver._scheduler
        scheduler.call_at(scheduler.now() + wait, lambda: old(self, update))

    old = patches.set(EndpointUpdates, "receive", receive)


@breakage("drain-ignored", "a node that drains is taken for one that is ready", "drain")
def _drain_ignored(patches: Patches) -> None:
    patches.set(list_module, "_STATES", {**list_module._STATES, "Terminating": HostState.READY})


@breakage("old-process", "idle connections to a process that was replaced are kept", "drain", "dirty")
def _old_process(patches: Patches) -> None:
    def place(self: UpstreamPool, machine: Endpoint) -> None:
        node = self._endpoints.get(machine.entry.host)
        if node is not None and machine.entry.state is not HostState.REMOVED:
            node.address, node.started_ns = machine.address, machine.entry.started_ns
        old(self, machine)

    old = patches.set(UpstreamPool, "_update_endpoint", place)


@breakage("versions-kept", "a new discovery is asked for what follows the old one's version", "versions")
def _versions_kept(patches: Patches) -> None:
    def switch_now(self: EndpointList, feed: Feed) -> None:
        version = self._version
        old(self, feed)
        self._version = version

    old = patches.set(EndpointList, "_switch_now", switch_now)


# --- what operators say ---------------------------------------------------------------------------


@breakage(
    "ban-lifted", "news of a node from discovery ends the operators' ban", "drain", profile="operators",
)  # fmt: skip
def _ban_lifted(patches: Patches) -> None:
    def apply_bans(self: EndpointUpdates, update: EndpointListUpdate) -> EndpointListUpdate:
        old(self, update)  # which keeps the books
        return update

    old = patches.set(EndpointUpdates, "apply_bans", apply_bans)


@breakage(
    "ban-unknown", "a yes to a node that is to be left out, and nothing is done", "drain",
    profile="operators",
)  # fmt: skip
def _ban_unknown(patches: Patches) -> None:
    patches.set(OperatorActions, "take_endpoint_offline", lambda self, node: self.bans.is_known(node))


@breakage(
    "ready-while-out", "out of service, and /ready still says yes", "service", profile="operators",
)  # fmt: skip
def _ready_while_out(patches: Patches) -> None:
    def leave(self: ClientDraining, now: float) -> None:
        old(self, now)
        self.is_ready = True

    old = patches.set(ClientDraining, "start", leave)


@breakage(
    "kept-while-out", "out of service, and connections that rest are kept", "service", profile="operators",
)  # fmt: skip
def _kept_while_out(patches: Patches) -> None:
    patches.set(ClientDraining, "may_stay_idle", lambda self, now, since, asked: True)


@breakage(
    "not-back", "back in service, and /ready goes on saying no", "service", profile="operators",
)  # fmt: skip
def _not_back(patches: Patches) -> None:
    def resume(self: ClientDraining) -> None:
        old(self)
        self.is_ready = False

    old = patches.set(ClientDraining, "resume", resume)


@breakage(
    "ready-late", "a sidecar that discovery turns away waits for a list, with one in hand", "service",
    profile="operators",
)  # fmt: skip
def _ready_late(patches: Patches) -> None:
    patches.set(Sidecar, "is_ready", lambda self: self.endpoint_list.has_discovery_answered)


# --- what may not be repeated ---------------------------------------------------------------------


@breakage("unsafe-again", "what may not be repeated is sent again after a reset", "repeat", "once")
def _unsafe_again(patches: Patches) -> None:
    def may_attempt_again(self: RetryPolicy, request: Request, now: int) -> bool:
        return len(request.attempts) < self._settings.max_attempts and request.deadline_ns > now

    patches.set(RetryPolicy, "may_attempt_again", may_attempt_again)


@breakage("refused-after", "what may have run is refused, as if it had not", "refusal")
def _refused_after(patches: Patches) -> None:
    def give_up(self: Balancer, request: Request) -> None:
        request.is_answered = True
        self._actions.append(api.RejectRequest(request.id, 0))

    patches.set(Balancer, "_give_up", give_up)


@breakage("reset-as-connect", "a reset after the last byte passes for a failed connect", "repeat", "refusal")
def _reset_as_connect(patches: Patches) -> None:
    def run(self: UpstreamExchange) -> AttemptResult | None:
        result: AttemptResult | None = old(self)
        if result is not None and result.status is AttemptStatus.RESET:  # None: told already
            return replace(result, status=AttemptStatus.CONNECT_FAILED)
        return result

    old = patches.set(UpstreamExchange, "run", run)


@breakage("error-as-full", "a 500 is taken for a node that was full and did not begin", "repeat", "refusal")
def _error_as_full(patches: Patches) -> None:
    def attempt_status_of(answer: Message) -> AttemptStatus:
        return AttemptStatus.OVERLOADED if answer.status >= 500 else AttemptStatus(old(answer))

    old = patches.set(upstream_exchange, "attempt_status_of", attempt_status_of)


@breakage("again-below", "a claim that met a reset is made again below the module", "repeat", "once")
def _again_below(patches: Patches) -> None:
    def run(self: UpstreamExchange) -> AttemptResult | None:
        result: AttemptResult | None = old(self)
        if result is not None and result.status is AttemptStatus.RESET and self.attempt.cancelled_as is None:
            result = old(self)
        return result

    old = patches.set(UpstreamExchange, "run", run)


@breakage("attempts-uncounted", "the limit on attempts is not looked at", "attempts")
def _attempts_uncounted(patches: Patches) -> None:
    def may_attempt_again(self: RetryPolicy, request: Request, now: int) -> bool:
        made, request.attempts = request.attempts, request.attempts[-1:]
        try:
            return bool(old(self, request, now))
        finally:
            request.attempts = made

    old = patches.set(RetryPolicy, "may_attempt_again", may_attempt_again)


# --- answers --------------------------------------------------------------------------------------


@breakage("answer-swapped", "one request in sixteen gets the answer served before its own", "other-answer")
def _answer_swapped(patches: Patches) -> None:
    def run(
        self: RequestLifecycle, call: ClientRequest, deadline: Callable[[], float], client: ClientHandle
    ) -> Any:
        answer: FinalResponse | None = old(self, call, deadline, client)
        if answer is None or answer.kind is not ResponseKind.SERVED:
            return answer
        before, self._before = getattr(self, "_before", answer), answer  # type: ignore[attr-defined]
        return before if now_and_then(call.request_id, 16) else answer

    old = patches.set(RequestLifecycle, "run", run)


@breakage("connection-kept", "a connection goes back before its answer has come", "shared", "other-answer")
def _connection_kept(patches: Patches) -> None:
    def release(self: UpstreamConnections, node: UpstreamEndpoint, stream: Stream, keep: bool) -> None:
        old(self, node, stream, True)

    old = patches.set(UpstreamConnections, "release", release)


@breakage("reuse-unseen", "an idle connection is used again without a look at what waits on it", "dirty")
def _reuse_unseen(patches: Patches) -> None:
    def acquire(
        self: UpstreamConnections, node: UpstreamEndpoint, claim: UpstreamAttempt, deadline: float
    ) -> Stream | None:
        if node.idle and self._scheduler.now() - node.idle[-1].used_at < self._pacing.idle_timeout_s:
            return node.idle.pop()
        return old(self, node, claim, deadline)  # type: ignore[no-any-return]

    old = patches.set(UpstreamConnections, "acquire", acquire)


@breakage("cut-served", "what came of an answer before its connection broke is served", "made-answer")
def _cut_served(patches: Patches) -> None:
    def read(self: UpstreamResponseReader) -> tuple[Message, bool]:
        reader = MessageReader.responses()
        while True:
            try:
                data = self._stream.receive(self._deadline, self._cancel_event)
            except OSError:
                data = b""
            if data is None:
                raise WaitInterruptedError
            if not data:
                head = reader.head()
                if head is None:
                    raise ConnectionResetError("the connection ended before its answer")
                head.body = bytes(reader._buffer)
                return head, False
            reader.feed(data)
            while (whole := reader.take()) is not None:
                if whole.status >= 200:
                    return whole, whole.keep_alive and not reader.buffered

    patches.set(UpstreamResponseReader, "read", read)


@breakage("two-answers", "a failure is answered twice", "one-answer")
def _two_answers(patches: Patches) -> None:
    def write_response(status: int, *rest: Any, **more: Any) -> bytes:
        data: bytes = old(status, *rest, **more)
        return data * 2 if status == 502 else data

    old = patches.set(client_response, "write_response", write_response)


@breakage("silent-fault", "an exception while a failure is worded ends the connection", "answer")
def _silent_fault(patches: Patches) -> None:
    def encode_final_response(response: FinalResponse, *more: Any) -> Any:
        if response.kind is ResponseKind.FAILED:
            raise TaskCancelledError  # which no guard against exceptions holds up
        return old(response, *more)

    old = patches.set(client_request_handler, "encode_final_response", encode_final_response)


@breakage("answer-late", "requests are held for 100 ms more than their time", "answer")
def _answer_late(patches: Patches) -> None:
    def run(
        self: RequestLifecycle, call: ClientRequest, deadline: Callable[[], float], client: ClientHandle
    ) -> Any:
        late = replace(call, time_left_ns=call.time_left_ns + 100_000_000)
        return old(self, late, lambda: deadline() + 0.1, client)

    old = patches.set(RequestLifecycle, "run", run)


@breakage("sigterm-drops", "the program ends after SIGTERM with requests unanswered", "answer")
def _sigterm_drops(patches: Patches) -> None:
    patches.set(Lifecycle, "is_finished", lambda self: self.is_drained)


# --- requests -------------------------------------------------------------------------------------


@breakage("both-framings", "a request with a length and a coding is read by its coding", "unasked", "framing")
def _both_framings(patches: Patches) -> None:
    def framing(self: MessageReader, message: Message) -> int:
        if not self._is_for_responses and "transfer-encoding" in message.headers:
            message.headers.pop("content-length", None)
        return old(self, message)  # type: ignore[no-any-return]

    old = patches.set(MessageReader, "_framing", framing)


@breakage("half-requests-kept", "a client may take half a minute over its first request", "bad-client")
def _half_requests_kept(patches: Patches) -> None:
    patches.set(client_connection, "FIRST_REQUEST_TIMEOUT_S", 30.0)


# --- what is left behind --------------------------------------------------------------------------


@breakage("cold-ignored", "a node that has just started is taken for a warm one", "cold")
def _cold_ignored(patches: Patches) -> None:
    def warm_fraction(self: SlowStartBudget, host: Host, now: int) -> float:
        return 1.0

    patches.set(SlowStartBudget, "warm_fraction", warm_fraction)


@breakage("timer-lost", "one of the module's timers in forty is not set", "timers")
def _timer_lost(patches: Patches) -> None:
    def set_timer(self: BalancerDriver, at_ns: int, token: int) -> None:
        if at_ns // 1000 % 40:
            old(self, at_ns, token)

    old = patches.set(BalancerDriver, "_set_timer", set_timer)


@breakage("ticket-kept", "tickets of requests with several claims are never let go", "left-over")
def _ticket_kept(patches: Patches) -> None:
    def release(self: BalancerDriver, pending: PendingRequest) -> None:
        if pending.attempts_requested < 2:
            old(self, pending)

    old = patches.set(BalancerDriver, "_release", release)


@breakage("places-kept", "a connection that is closed goes on counting as open", "left-over", "recovery")
def _places_kept(patches: Patches) -> None:
    def discard(self: UpstreamConnections, stream: Stream) -> None:
        stream.close()

    patches.set(UpstreamConnections, "_discard", discard)


@breakage("limit-stuck", "the module's limit on what is out only falls", "recovery")
def _limit_stuck(patches: Patches) -> None:
    def update_limit(self: Balancer, gap: float) -> None:
        before = self.admission.limit
        old(self, gap)
        if before < math.inf:
            self.admission.limit = min(self.admission.limit, before * 0.5**gap)

    old = patches.set(Balancer, "_update_admission_limit", update_limit)


@breakage("descriptor-kept", "idle connections to a node that leaves are forgotten, not closed", "left-over")
def _descriptor_kept(patches: Patches) -> None:
    def close_idle(self: UpstreamConnections, node: UpstreamEndpoint) -> None:
        self.open_count -= len(node.idle)
        node.idle.clear()

    patches.set(UpstreamConnections, "close_idle", close_idle)


@breakage("report-halved", "the module is told half of what a load report says", "report")
def _report_halved(patches: Patches) -> None:
    def parse_load_report(text: str | None, *more: Any) -> api.LoadReport | None:
        report: api.LoadReport | None = old(text, *more)
        if report is None or report.utilisation is None:
            return report
        return replace(report, utilisation=report.utilisation / 2)

    old = patches.set(upstream_responses, "parse_load_report", parse_load_report)


@breakage("capture-forgets", "a capture leaves out the load reports", "replay")
def _capture_forgets(patches: Patches) -> None:
    def encode_event(event: api.Event | None) -> tuple[str, dict[str, Any]]:
        name, told = old(event)
        return name, {**told, "report": None} if "report" in told else told

    old = patches.set(capture_module, "encode_event", encode_event)
