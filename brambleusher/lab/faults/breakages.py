"""Deliberate bugs, injected into the program temporarily to check that the lab detects them.

Each mutation patches the program's classes in this process and is undone afterwards.  A mutation keeps no
state from one run to the next: a bug that affects only some requests selects them by request id or by time.
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

LATE_SECONDS = 0.001  # delay beyond the drain grace period, in seconds


class Patches:
    """Attributes replaced by a mutation, with their original values for restoring them."""

    def __init__(self) -> None:
        self._old: list[tuple[Any, str, Any]] = []

    def set(self, owner: Any, name: str, value: Any) -> Any:
        """Replace an attribute of a class or a module, and return the original value in callable form."""
        self._old.append((owner, name, vars(owner)[name]))
        old = getattr(owner, name)
        setattr(owner, name, value)
        return old

    def undo(self) -> None:
        """Restore all replaced attributes, the last one first."""
        while self._old:
            setattr(*self._old.pop())


@dataclass(frozen=True, slots=True)
class Mutation:
    """A deliberate bug: its name, its description, and the rules of which at least one must report it."""

    name: str
    description: str
    rules: tuple[str, ...]
    apply_patches: Callable[[Patches], None]
    profile: str = "default"  # profile of the fault plans that expose the bug

    @contextmanager
    def activated(self) -> Iterator[None]:
        """Patch the program within a block; sidecars must be started inside the block."""
        patches = Patches()
        try:
            self.apply_patches(patches)
            yield
        finally:
            patches.undo()


PROGRAM_MUTATIONS: dict[str, Mutation] = {}


def mutation(
    name: str, description: str, *rules: str, profile: str = "default"
) -> Callable[[Callable[[Patches], None]], Callable[[Patches], None]]:
    """Return a decorator that registers a patch as a mutation with this name and description."""
    assert rules and not set(rules) - set(RULES), rules

    def add(apply_patches: Callable[[Patches], None]) -> Callable[[Patches], None]:
        PROGRAM_MUTATIONS[name] = Mutation(name, description, rules, apply_patches, profile)
        return apply_patches

    return add


def is_affected(request: str, one_in: int) -> bool:
    """Return whether a request is one of the few, on average one in `one_in`, that a mutation affects."""
    return zlib.crc32(request.encode()) % one_in == 0


# --- drains and lists -----------------------------------------------------------------------------


@mutation("drain-late", "draining and removed nodes are processed 1 ms after the drain grace period", "drain")
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


@mutation("drain-ignored", "a draining node is treated as ready", "drain")
def _drain_ignored(patches: Patches) -> None:
    patches.set(list_module, "_STATES", {**list_module._STATES, "Terminating": HostState.READY})


@mutation("old-process", "idle connections to a replaced process are kept", "drain", "dirty")
def _old_process(patches: Patches) -> None:
    def update_endpoint(self: UpstreamPool, endpoint: Endpoint) -> None:
        existing = self._endpoints.get(endpoint.entry.host)
        if existing is not None and endpoint.entry.state is not HostState.REMOVED:
            existing.address, existing.started_ns = endpoint.address, endpoint.entry.started_ns
        old(self, endpoint)

    old = patches.set(UpstreamPool, "_update_endpoint", update_endpoint)


@mutation("versions-kept", "a new discovery service is queried from the old service's version", "versions")
def _versions_kept(patches: Patches) -> None:
    def switch_now(self: EndpointList, feed: Feed) -> None:
        version = self._version
        old(self, feed)
        self._version = version

    old = patches.set(EndpointList, "_switch_now", switch_now)


# --- operator actions -----------------------------------------------------------------------------


@mutation(
    "ban-lifted", "an update of a node from discovery ends the operators' ban", "drain", profile="operators",
)  # fmt: skip
def _ban_lifted(patches: Patches) -> None:
    def apply_bans(self: EndpointUpdates, update: EndpointListUpdate) -> EndpointListUpdate:
        old(self, update)  # the original still tracks which nodes are known and banned
        return update

    old = patches.set(EndpointUpdates, "apply_bans", apply_bans)


@mutation(
    "ban-unknown", "a request to take a node offline is acknowledged without effect", "drain",
    profile="operators",
)  # fmt: skip
def _ban_unknown(patches: Patches) -> None:
    patches.set(OperatorActions, "take_endpoint_offline", lambda self, node: self.bans.is_known(node))


@mutation(
    "ready-while-out", "/ready still reports ready while out of service", "service", profile="operators",
)  # fmt: skip
def _ready_while_out(patches: Patches) -> None:
    def start(self: ClientDraining, now: float) -> None:
        old(self, now)
        self.is_ready = True

    old = patches.set(ClientDraining, "start", start)


@mutation(
    "kept-while-out", "idle connections are kept while out of service", "service", profile="operators",
)  # fmt: skip
def _kept_while_out(patches: Patches) -> None:
    patches.set(ClientDraining, "may_stay_idle", lambda self, now, since, asked: True)


@mutation(
    "not-back", "/ready still reports not ready after the return to service", "service", profile="operators",
)  # fmt: skip
def _not_back(patches: Patches) -> None:
    def resume(self: ClientDraining) -> None:
        old(self)
        self.is_ready = False

    old = patches.set(ClientDraining, "resume", resume)


@mutation(
    "ready-late", "a sidecar rejected by discovery waits for a list, although it has one", "service",
    profile="operators",
)  # fmt: skip
def _ready_late(patches: Patches) -> None:
    patches.set(Sidecar, "is_ready", lambda self: self.endpoint_list.has_discovery_answered)


# --- non-idempotent requests ----------------------------------------------------------------------


@mutation("unsafe-again", "a non-idempotent request is retried after a reset", "repeat", "once")
def _unsafe_again(patches: Patches) -> None:
    def may_attempt_again(self: RetryPolicy, request: Request, now: int) -> bool:
        return len(request.attempts) < self._settings.max_attempts and request.deadline_ns > now

    patches.set(RetryPolicy, "may_attempt_again", may_attempt_again)


@mutation("refused-after", "a request that may have run is rejected as if it had not", "refusal")
def _refused_after(patches: Patches) -> None:
    def give_up(self: Balancer, request: Request) -> None:
        request.is_answered = True
        self._actions.append(api.RejectRequest(request.id, 0))

    patches.set(Balancer, "_give_up", give_up)


@mutation("reset-as-connect", "a reset after the last byte counts as a failed connect", "repeat", "refusal")
def _reset_as_connect(patches: Patches) -> None:
    def run(self: UpstreamExchange) -> AttemptResult | None:
        result: AttemptResult | None = old(self)
        if (
            result is not None and result.status is AttemptStatus.RESET
        ):  # None means that the result was already reported
            return replace(result, status=AttemptStatus.CONNECT_FAILED)
        return result

    old = patches.set(UpstreamExchange, "run", run)


@mutation("error-as-full", "a 500 counts as an overload rejection before the start", "repeat", "refusal")
def _error_as_full(patches: Patches) -> None:
    def attempt_status_of(response: Message) -> AttemptStatus:
        return AttemptStatus.OVERLOADED if response.status >= 500 else AttemptStatus(old(response))

    old = patches.set(upstream_exchange, "attempt_status_of", attempt_status_of)


@mutation("again-below", "an attempt that was reset is repeated without the balancer", "repeat", "once")
def _again_below(patches: Patches) -> None:
    def run(self: UpstreamExchange) -> AttemptResult | None:
        result: AttemptResult | None = old(self)
        if result is not None and result.status is AttemptStatus.RESET and self.attempt.cancelled_as is None:
            result = old(self)
        return result

    old = patches.set(UpstreamExchange, "run", run)


@mutation("attempts-uncounted", "the limit on attempts is ignored", "attempts")
def _attempts_uncounted(patches: Patches) -> None:
    def may_attempt_again(self: RetryPolicy, request: Request, now: int) -> bool:
        made, request.attempts = request.attempts, request.attempts[-1:]
        try:
            return bool(old(self, request, now))
        finally:
            request.attempts = made

    old = patches.set(RetryPolicy, "may_attempt_again", may_attempt_again)


# --- responses ------------------------------------------------------------------------------------


@mutation("answer-swapped", "one request in sixteen gets the response served before its own", "other-answer")
def _answer_swapped(patches: Patches) -> None:
    def run(
        self: RequestLifecycle, request: ClientRequest, deadline: Callable[[], float], client: ClientHandle
    ) -> Any:
        response: FinalResponse | None = old(self, request, deadline, client)
        if response is None or response.kind is not ResponseKind.SERVED:
            return response
        previous, self._before = getattr(self, "_before", response), response  # type: ignore[attr-defined]
        return previous if is_affected(request.request_id, 16) else response

    old = patches.set(RequestLifecycle, "run", run)


@mutation("connection-kept", "a connection returns to the pool before its response", "shared", "other-answer")
def _connection_kept(patches: Patches) -> None:
    def release(self: UpstreamConnections, endpoint: UpstreamEndpoint, stream: Stream, keep: bool) -> None:
        old(self, endpoint, stream, True)

    old = patches.set(UpstreamConnections, "release", release)


@mutation("reuse-unseen", "an idle connection is reused without a check for unread bytes", "dirty")
def _reuse_unseen(patches: Patches) -> None:
    def acquire(
        self: UpstreamConnections, endpoint: UpstreamEndpoint, attempt: UpstreamAttempt, deadline: float
    ) -> Stream | None:
        if endpoint.idle and self._scheduler.now() - endpoint.idle[-1].used_at < self._pacing.idle_timeout_s:
            return endpoint.idle.pop()
        return old(self, endpoint, attempt, deadline)  # type: ignore[no-any-return]

    old = patches.set(UpstreamConnections, "acquire", acquire)


@mutation("cut-served", "a response truncated by a broken connection is served", "made-answer")
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
                    raise ConnectionResetError("the connection ended before its response")
                head.body = bytes(reader._buffer)
                return head, False
            reader.feed(data)
            while (response := reader.take()) is not None:
                if response.status >= 200:
                    return response, response.keep_alive and not reader.buffered

    patches.set(UpstreamResponseReader, "read", read)


@mutation("two-answers", "a failure is answered twice", "one-answer")
def _two_answers(patches: Patches) -> None:
    def write_response(status: int, *args: Any, **kwargs: Any) -> bytes:
        data: bytes = old(status, *args, **kwargs)
        return data * 2 if status == 502 else data

    old = patches.set(client_response, "write_response", write_response)


@mutation("silent-fault", "an exception while encoding a failure ends the connection", "answer")
def _silent_fault(patches: Patches) -> None:
    def encode_final_response(response: FinalResponse, *args: Any) -> Any:
        if response.kind is ResponseKind.FAILED:
            raise TaskCancelledError  # handlers of ordinary exceptions don't catch this one
        return old(response, *args)

    old = patches.set(client_request_handler, "encode_final_response", encode_final_response)


@mutation("answer-late", "requests are held for 100 ms past their deadline", "answer")
def _answer_late(patches: Patches) -> None:
    def run(
        self: RequestLifecycle, request: ClientRequest, deadline: Callable[[], float], client: ClientHandle
    ) -> Any:
        delayed = replace(request, time_left_ns=request.time_left_ns + 100_000_000)
        return old(self, delayed, lambda: deadline() + 0.1, client)

    old = patches.set(RequestLifecycle, "run", run)


@mutation("sigterm-drops", "the program ends after SIGTERM with requests unanswered", "answer")
def _sigterm_drops(patches: Patches) -> None:
    patches.set(Lifecycle, "is_finished", lambda self: self.is_drained)


# --- requests -------------------------------------------------------------------------------------


@mutation("both-framings", "a request with both framings is read by its coding", "unasked", "framing")
def _both_framings(patches: Patches) -> None:
    def framing(self: MessageReader, message: Message) -> int:
        if not self._is_for_responses and "transfer-encoding" in message.headers:
            message.headers.pop("content-length", None)
        return old(self, message)  # type: ignore[no-any-return]

    old = patches.set(MessageReader, "_framing", framing)


@mutation("half-requests-kept", "a client may take 30 seconds for its first request", "bad-client")
def _half_requests_kept(patches: Patches) -> None:
    patches.set(client_connection, "FIRST_REQUEST_TIMEOUT_S", 30.0)


# --- leaked resources -----------------------------------------------------------------------------


@mutation("cold-ignored", "a node that has just started is treated as warm", "cold")
def _cold_ignored(patches: Patches) -> None:
    def warm_fraction(self: SlowStartBudget, host: Host, now: int) -> float:
        return 1.0

    patches.set(SlowStartBudget, "warm_fraction", warm_fraction)


@mutation("timer-lost", "one in forty of the balancer's timers is not set", "timers")
def _timer_lost(patches: Patches) -> None:
    def set_timer(self: BalancerDriver, at_ns: int, token: int) -> None:
        if at_ns // 1000 % 40:
            old(self, at_ns, token)

    old = patches.set(BalancerDriver, "_set_timer", set_timer)


@mutation("ticket-kept", "pending requests with several attempts are never released", "left-over")
def _ticket_kept(patches: Patches) -> None:
    def release(self: BalancerDriver, pending: PendingRequest) -> None:
        if pending.attempts_requested < 2:
            old(self, pending)

    old = patches.set(BalancerDriver, "_release", release)


@mutation("places-kept", "a closed connection still counts as open", "left-over", "recovery")
def _places_kept(patches: Patches) -> None:
    def discard(self: UpstreamConnections, stream: Stream) -> None:
        stream.close()

    patches.set(UpstreamConnections, "_discard", discard)


@mutation("limit-stuck", "the balancer's limit on requests in flight never rises", "recovery")
def _limit_stuck(patches: Patches) -> None:
    def update_limit(self: Balancer, gap: float) -> None:
        before = self.admission.limit
        old(self, gap)
        if before < math.inf:
            self.admission.limit = min(self.admission.limit, before * 0.5**gap)

    old = patches.set(Balancer, "_update_admission_limit", update_limit)


@mutation("descriptor-kept", "idle connections to a removed node are forgotten, not closed", "left-over")
def _descriptor_kept(patches: Patches) -> None:
    def close_idle(self: UpstreamConnections, endpoint: UpstreamEndpoint) -> None:
        self.open_count -= len(endpoint.idle)
        endpoint.idle.clear()

    patches.set(UpstreamConnections, "close_idle", close_idle)


@mutation("report-halved", "the balancer receives half of the reported utilization", "report")
def _report_halved(patches: Patches) -> None:
    def parse_load_report(text: str | None, *args: Any) -> api.LoadReport | None:
        report: api.LoadReport | None = old(text, *args)
        if report is None or report.utilisation is None:
            return report
        return replace(report, utilisation=report.utilisation / 2)

    old = patches.set(upstream_responses, "parse_load_report", parse_load_report)


@mutation("capture-forgets", "a capture leaves out the load reports", "replay")
def _capture_forgets(patches: Patches) -> None:
    def encode_event(event: api.Event | None) -> tuple[str, dict[str, Any]]:
        name, fields = old(event)
        return name, {**fields, "report": None} if "report" in fields else fields

    old = patches.set(capture_module, "encode_event", encode_event)
