"""The sidecar's one caller of `Balancer`: events go in, actions are routed to whom they concern.

Nothing here knows how requests, answers or lists travel.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from brambleusher.loadbalancing import Balancer, api
from brambleusher.loadbalancing.json_values import StateError
from brambleusher.loadbalancing.state_codec import count_avoided_hosts, save
from brambleusher.loadbalancing.state_transfer import export_state, import_state
from brambleusher.loadbalancing.zone_aware_balancer import ZoneAwareBalancer, balancer_for
from brambleusher.observability.counters import Counters
from brambleusher.runtime.scheduler import Event, Scheduler
from brambleusher.runtime.system import System

log = logging.getLogger(__name__)

RESTART_TIMER_NS = 250_000_000


class Clock:
    """Unix time, read from the wall once and carried on by the monotonic clock.

    Guards against a wall clock that is set while the sidecar runs, and against comparing monotonic
    time with the start times in the endpoint list, which are Unix time.
    """

    def __init__(self, system: System) -> None:
        self._monotonic_ns = system.monotonic_ns
        self._offset = system.wall_ns() - system.monotonic_ns()

    def now_ns(self) -> int:
        """Unix time in nanoseconds."""
        return self._offset + self._monotonic_ns()

    def seconds(self, at_ns: int) -> float:
        """The scheduler's time at a moment of Unix time."""
        return (at_ns - self._offset) / 1e9


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request as the decisions see it; `payload` is for those who pass it on."""

    request_id: str
    request_class: str
    tenant: str | None
    time_left_ns: int
    work_hint_ns: int | None
    is_retry: bool
    payload: object


def do_nothing() -> None:
    """What most payloads need done to them."""


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """How a claim ended; `payload` is what the endpoint answered, where it served."""

    status: api.AttemptStatus
    latency_ns: int
    report: api.LoadReport | None = None
    payload: object = None
    discard: Callable[[], None] = do_nothing  # called where nobody takes the payload


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """A claim's end, on its way to the request it was made for."""

    attempt: int
    endpoint: str
    outcome: AttemptOutcome


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """A claim's answer has begun to go out, or its node is held: it can't be repeated any more."""

    attempt: int
    endpoint: str
    latency_ns: int
    payload: object


@dataclass(frozen=True, slots=True)
class AttemptRequested:
    """The module wants a claim made; claims are numbered in the order it asked for them."""

    attempt: int
    endpoint: str
    timeout_ns: int


RequestStep = AttemptRequested | api.RejectRequest | api.FailRequest | AttemptFinished | ResponseStarted


class DecisionObserver:
    """One that is told of requests as they pass; it is quick, and parks nowhere."""

    def request_accepted(self, request: ClientRequest) -> None:
        """A request was taken."""

    def attempt_finished(self, request: ClientRequest, endpoint: str, outcome: AttemptOutcome) -> None:
        """A claim made for a request has ended, before its final answer or after."""

    def request_finished(self, request: ClientRequest, kind: str | None, took_ns: int) -> None:
        """A request has its final answer of some kind, or its client has left (None)."""


class DecisionObservers(DecisionObserver):
    """Several, in order; a fault in one is logged and harms neither the others nor the request."""

    def __init__(self, observers: Iterable[DecisionObserver] = ()) -> None:
        self._all = tuple(observers)

    def request_accepted(self, request: ClientRequest) -> None:
        """Pass it on."""
        for observer in self._all:
            try:
                observer.request_accepted(request)
            except Exception:
                self._failed(observer)

    def attempt_finished(self, request: ClientRequest, endpoint: str, outcome: AttemptOutcome) -> None:
        """Pass it on."""
        for observer in self._all:
            try:
                observer.attempt_finished(request, endpoint, outcome)
            except Exception:
                self._failed(observer)

    def request_finished(self, request: ClientRequest, kind: str | None, took_ns: int) -> None:
        """Pass it on."""
        for observer in self._all:
            try:
                observer.request_finished(request, kind, took_ns)
            except Exception:
                self._failed(observer)

    @staticmethod
    def _failed(observer: DecisionObserver) -> None:
        log.exception("a feature failed", extra={"fields": {"feature": type(observer).__name__}})


@dataclass(slots=True)
class Decision:
    """What the module was told (None: its start) and when, and what it led to or raised."""

    event: api.Event | None
    now_ns: int
    actions: Sequence[api.Action]
    error: Exception | None = None
    request: ClientRequest | None = None  # the request it was about


class DecisionRecorder:
    """One that is told of everything that passes between the sidecar and the module."""

    def start(self, state: Callable[[], dict[str, Any]], is_imported: bool = False) -> None:
        """The module is made, from nothing or not; `state` tells its state between two events."""

    def record(self, decision: Decision) -> None:
        """One event has been decided on; its actions are not routed yet."""


class PendingRequest:
    """A request that is owed an answer, and the steps that wait for its task."""

    __slots__ = (
        "event",
        "attempts_finished",
        "attempts_requested",
        "cancel_attempt",
        "is_open",
        "request",
        "request_id",
        "steps",
    )

    def __init__(self, request: ClientRequest) -> None:
        self.request, self.request_id = request, request.request_id
        self.steps: deque[RequestStep] = deque()
        self.event = Event()
        self.is_open = True
        self.attempts_requested = self.attempts_finished = 0
        # Where a claim is called off, also once the request is over; set by whoever makes the claims.
        self.cancel_attempt: Callable[[int], None] = lambda attempt: None

    def add_step(self, step: RequestStep) -> None:
        """Hand a step to the task."""
        self.steps.append(step)
        self.event.set()


class DuplicateRequestError(ValueError):
    """A request whose id is in use."""


class BalancerDriver:
    """Drives one `Balancer` by the clock and by what happens."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        scheduler: Scheduler,
        clock: Clock,
        counters: Counters,
        observers: DecisionObserver | None = None,
        recorder: DecisionRecorder | None = None,
        make_balancer: Callable[[api.Settings, int], Balancer] = balancer_for,
        state: Any = None,
        close_idle_connections: Callable[[str], None] = lambda endpoint: None,
        subscribe: Callable[[], None] = do_nothing,
    ) -> None:
        """`state` is what another process's `export_state` made: this one goes on from it, if it can."""
        self.settings, self.observers = settings, observers or DecisionObserver()
        imported = None
        if state is not None:
            try:
                imported = import_state(settings, seed, state)
            except StateError as error:
                log.warning("balancer state rejected", extra={"fields": {"reason": error}})
        self._balancer, self._recorder = imported or make_balancer(settings, seed), recorder
        if recorder is not None:
            recorder.start(lambda: save(self._balancer), imported is not None)
        self._scheduler, self._clock, self._counters = scheduler, clock, counters
        self._pending: dict[str, PendingRequest] = {}
        self._close_idle_connections, self._subscribe = close_idle_connections, subscribe

    @property
    def unanswered_requests(self) -> int:
        """Requests without their final answer."""
        return sum(pending.is_open for pending in self._pending.values())

    @property
    def pending_requests(self) -> int:
        """Requests without their final answer, or with claims out."""
        return len(self._pending)

    def start(self, entries: Iterable[api.HostEntry]) -> None:
        """Begin, with the list held from before."""
        now = self._clock.now_ns()
        actions = self._balancer.start(now)
        if self._recorder is not None:
            self._recorder.record(Decision(None, now, actions))
        self._dispatch(actions)
        self.update_endpoints(api.ListKind.SAVED, entries)

    # --- events ---------------------------------------------------------------------------------

    def submit(self, request: ClientRequest) -> PendingRequest:
        """A request has come: its first steps wait in the pending request."""
        if request.request_id in self._pending:
            raise DuplicateRequestError(f"request {request.request_id} is in progress")
        pending = self._pending[request.request_id] = PendingRequest(request)
        self.observers.request_accepted(request)
        event = api.RequestArrived(
            request.request_id,
            request.request_class,
            request.tenant,
            request.time_left_ns,
            request.work_hint_ns,
            request.is_retry,
        )
        self._handle(event, pending)
        return pending

    def finish_attempt(self, pending: PendingRequest, end: AttemptFinished, closed: bool) -> None:
        """A claim has ended."""
        pending.attempts_finished += 1
        outcome = end.outcome
        self._counters.add(
            f"claims_{outcome.status.value}"
            if outcome.status is not api.AttemptStatus.OK
            else "claims_served"
        )
        self.observers.attempt_finished(pending.request, end.endpoint, outcome)
        event = api.AttemptEnded(
            pending.request_id,
            end.attempt,
            end.endpoint,
            outcome.status,
            outcome.latency_ns,
            closed,
            outcome.report,
        )
        self._handle(event, pending)
        self._release(pending)

    def start_response(self, pending: PendingRequest, step: ResponseStarted) -> None:
        """A claim's answer has begun: the request is closed, the claim stays out until it ends."""
        self._handle(api.StreamStarted(pending.request_id, step.attempt, step.endpoint, step.latency_ns))

    def abandon_request(self, pending: PendingRequest) -> None:
        """The client has gone, or got an answer that the module did not choose."""
        self._handle(api.ClientDisconnected(pending.request_id))

    def close_request(self, pending: PendingRequest) -> None:
        """The request has had its final answer; what its claims still bring goes to the module alone."""
        pending.is_open = False
        while pending.steps:
            step = pending.steps.popleft()
            if isinstance(step, AttemptRequested):  # not made any more: the module hears of each one's end
                step = AttemptFinished(
                    step.attempt, step.endpoint, AttemptOutcome(api.AttemptStatus.NOT_STARTED, 0)
                )
            if isinstance(step, AttemptFinished):
                self.finish_attempt(pending, step, closed=True)
                step.outcome.discard()
        self._release(pending)

    def deliver_attempt_finished(self, pending: PendingRequest, end: AttemptFinished) -> None:
        """Where a claim reports its end: the request's task if it still waits, else the module."""
        if pending.is_open:
            pending.add_step(end)
        else:
            self.finish_attempt(pending, end, closed=True)
            end.outcome.discard()

    def report_body_progress(self, pending: PendingRequest, attempt: int, whole: bool) -> None:
        """The request's body goes out on a claim as it comes, or has gone out: its time begins now."""
        self._handle(
            api.RequestBodyProgressed(pending.request_id, attempt, whole, pending.request.time_left_ns)
        )
        pending.event.set()  # whoever waits has another deadline now

    def deliver_response_started(self, pending: PendingRequest, step: ResponseStarted) -> None:
        """Where a claim reports that its answer has begun; nobody waits for it any more if it is late."""
        if pending.is_open:
            pending.add_step(step)

    def update_endpoints(self, kind: api.ListKind, entries: Iterable[api.HostEntry]) -> None:
        """News from discovery."""
        self._handle(api.HostListUpdated(kind, list(entries)))

    def change_zone_rules(self, rules: api.ZoneRules | None) -> bool:
        """The operator says something else of zones; false where the decisions began without rules."""
        if not isinstance(self._balancer, ZoneAwareBalancer):
            return rules is None
        self._handle(api.ZoneRulesChanged(rules))
        return True

    def zone_status(self) -> dict[str, object] | None:
        """What is made of zones, as plain values; None where the decisions began without rules."""
        if not isinstance(self._balancer, ZoneAwareBalancer):
            return None
        return self._balancer.zone_status(self._clock.now_ns())

    def set_process_share(self, share: float) -> None:
        """This process does so much of this sidecar's work from now on."""
        self._handle(api.ProcessShareChanged(share))

    def export_state(self) -> dict[str, Any] | None:
        """What the module has learnt, for another process of this sidecar."""
        return export_state(self._balancer)

    def count_avoided_hosts(self) -> int:
        """How many endpoints of the list get nothing now."""
        return count_avoided_hosts(self._balancer, self._clock.now_ns())

    # --- actions --------------------------------------------------------------------------------

    def _handle(self, event: api.Event, pending: PendingRequest | None = None) -> None:
        try:
            self._dispatch(self._decide(event))
        except Exception:
            # Guards against a request left without an answer, or a module that stops ticking for good,
            # after one fault in the module.
            self._counters.add("faults")
            log.exception("the module failed", extra={"fields": {"event": type(event).__name__}})
            if pending is not None and pending.is_open:
                pending.add_step(api.FailRequest(pending.request_id))
            if isinstance(event, api.TimerFired):
                self._set_timer(self._clock.now_ns() + RESTART_TIMER_NS, event.token)

    def _decide(self, event: api.Event) -> list[api.Action]:
        """The module's answer to an event."""
        now = self._clock.now_ns()
        if self._recorder is None:
            return self._balancer.handle(event, now)
        pending = self._pending.get(getattr(event, "request", ""))
        request = None if pending is None else pending.request
        try:
            actions = self._balancer.handle(event, now)
        except Exception as error:
            self._recorder.record(Decision(event, now, (), error, request))
            raise
        self._recorder.record(Decision(event, now, actions, None, request))
        return actions

    def _dispatch(self, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.StartAttempt | api.RejectRequest | api.FailRequest | api.CancelAttempt):
                pending = self._pending.get(action.request)
                if isinstance(action, api.CancelAttempt):
                    if pending is not None:
                        pending.cancel_attempt(action.attempt)
                elif pending is None or not pending.is_open:
                    log.error("action for a request that is over", extra={"fields": {"action": action}})
                elif isinstance(action, api.StartAttempt):
                    pending.add_step(
                        AttemptRequested(pending.attempts_requested, action.host, action.timeout_ns)
                    )
                    pending.attempts_requested += 1
                else:
                    pending.add_step(action)
            elif isinstance(action, api.SetTimer):
                self._set_timer(action.at_ns, action.token)
            elif isinstance(action, api.CloseIdleConnections):
                self._close_idle_connections(action.host)
            elif isinstance(action, api.SubscribeToEndpoints):
                self._subscribe()
            elif isinstance(action, api.WriteLog):
                log.info(action.text)
            else:  # a probe: this deployment forbids them
                log.error("action not allowed", extra={"fields": {"action": action}})

    def _set_timer(self, at_ns: int, token: int) -> None:
        self._scheduler.call_at(self._clock.seconds(at_ns), lambda: self._handle(api.TimerFired(token)))

    def _release(self, pending: PendingRequest) -> None:
        if not pending.is_open and pending.attempts_finished >= pending.attempts_requested:
            self._pending.pop(pending.request_id, None)
