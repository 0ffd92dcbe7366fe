"""The one caller of the balancer: events go in by the clock, actions are routed to whom they concern.

Nothing here knows how requests, responses or lists travel.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Mapping

from brambleusher.decisions.clock import Clock
from brambleusher.decisions.observers import Decision, DecisionObserver, DecisionRecorder
from brambleusher.decisions.requests import (
    AttemptFinished,
    AttemptOutcome,
    AttemptRequested,
    ClientRequest,
    DuplicateRequestError,
    PendingRequest,
    ResponseStarted,
    do_nothing,
)
from brambleusher.loadbalancing import Balancer, api
from brambleusher.loadbalancing.balancer_factory import balancer_for
from brambleusher.loadbalancing.json_values import StateError
from brambleusher.loadbalancing.state_codec import count_avoided_hosts, save
from brambleusher.loadbalancing.state_transfer import export_state, import_state
from brambleusher.observability.counters import Counters
from brambleusher.runtime.scheduler import Scheduler

log = logging.getLogger(__name__)

RETRY_TIMER_NS = 250_000_000  # until a timer fires again that the balancer failed at

# The counters' names, which operators read, apart from the names of statuses.
ATTEMPT_COUNTERS = {
    api.AttemptStatus.OK: "claims_served",
    api.AttemptStatus.CONNECT_FAILED: "claims_connect_failed",
    api.AttemptStatus.ERROR: "claims_error",
    api.AttemptStatus.OVERLOADED: "claims_full",
    api.AttemptStatus.RESET: "claims_reset",
    api.AttemptStatus.TIMEOUT: "claims_timeout",
    api.AttemptStatus.CANCELLED: "claims_cancelled",
    api.AttemptStatus.NOT_STARTED: "claims_moot",
}


def _close_nothing(_endpoint: str) -> None:
    """Close no connections: the default of a callback."""


class BalancerDriver:
    """Drives one balancer by the clock and by what happens.

    Args:
        settings: The settings of the decisions.
        seed: The seed of the balancer's random draws.
        scheduler: Runs the balancer's timers.
        clock: The time that the balancer decides by.
        counters: Counts attempts by their outcome.
        observers: Follow requests.
        recorder: Follows decisions.
        make_balancer: Makes a balancer from settings and a seed.
        state: What `export_state` of another process's driver made; the balancer goes on from it if it can.
        close_idle_connections: Closes the idle connections to an endpoint.
        subscribe: Asks discovery for the endpoint list.
    """

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
        state: object = None,
        close_idle_connections: Callable[[str], None] = _close_nothing,
        subscribe: Callable[[], None] = do_nothing,
    ) -> None:
        self.settings, self.observers = settings, observers or DecisionObserver()
        imported = None if state is None else _import_balancer(settings, seed, state)
        self._balancer, self._recorder = imported or make_balancer(settings, seed), recorder
        if recorder is not None:
            recorder.start(lambda: save(self._balancer), imported is not None)
        self._scheduler, self._clock, self._counters = scheduler, clock, counters
        self._pending: dict[str, PendingRequest] = {}
        self._close_idle_connections, self._subscribe = close_idle_connections, subscribe

    @property
    def unanswered_requests(self) -> int:
        """How many requests have no final response yet."""
        return sum(pending.is_open for pending in self._pending.values())

    @property
    def pending_requests(self) -> int:
        """How many requests have no final response yet, or attempts in flight."""
        return len(self._pending)

    def start(self, entries: Iterable[api.HostEntry]) -> None:
        """Start the balancer, with the endpoint list that is known."""
        now = self._clock.now_ns()
        actions = self._balancer.start(now)
        if self._recorder is not None:
            self._recorder.record(Decision(None, now, actions))
        self._dispatch(actions)
        self.update_endpoints(api.ListKind.SAVED, entries)

    # --- events ---------------------------------------------------------------------------------

    def submit(self, request: ClientRequest) -> PendingRequest:
        """Submit a request that has arrived; its first steps wait in the pending request.

        Raises:
            DuplicateRequestError: Its id is that of a request in progress.
        """
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
        """Note the end of an attempt; `closed`: the request has or gets its final response."""
        pending.attempts_finished += 1
        outcome = end.outcome
        self._counters.add(ATTEMPT_COUNTERS[outcome.status])
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
        """Note that an attempt's response has started: the request is closed, the attempt in flight."""
        self._handle(api.StreamStarted(pending.request_id, step.attempt, step.endpoint, step.latency_ns))

    def abandon_request(self, pending: PendingRequest) -> None:
        """Give a request up: its client has disconnected, or got a response the balancer did not choose."""
        self._handle(api.ClientDisconnected(pending.request_id))

    def close_request(self, pending: PendingRequest) -> None:
        """Close a request with its final response; its attempts' ends go to the balancer alone."""
        pending.is_open = False
        while pending.steps:
            step = pending.steps.popleft()
            if isinstance(step, AttemptRequested):  # the balancer is told the end of each one
                step = AttemptFinished(
                    step.attempt, step.endpoint, AttemptOutcome(api.AttemptStatus.NOT_STARTED, 0)
                )
            if isinstance(step, AttemptFinished):
                self.finish_attempt(pending, step, closed=True)
                step.outcome.discard()
        self._release(pending)

    def deliver_attempt_finished(self, pending: PendingRequest, end: AttemptFinished) -> None:
        """Deliver an attempt's end to the request's task if that still waits, else to the balancer."""
        if pending.is_open:
            pending.add_step(end)
        else:
            self.finish_attempt(pending, end, closed=True)
            end.outcome.discard()

    def report_body_progress(self, pending: PendingRequest, attempt: int, is_complete: bool) -> None:
        """Note that the request's body is on its way, or (`is_complete`) forwarded: its time begins now."""
        self._handle(
            api.RequestBodyProgressed(pending.request_id, attempt, is_complete, pending.request.time_left_ns)
        )
        pending.event.set()  # whoever waits has another deadline now

    def deliver_response_started(self, pending: PendingRequest, step: ResponseStarted) -> None:
        """Deliver the start of an attempt's response to the request's task, if that still waits."""
        if pending.is_open:
            pending.add_step(step)

    def update_endpoints(self, kind: api.ListKind, entries: Iterable[api.HostEntry]) -> None:
        """Pass on an update of the endpoint list, or that discovery has failed."""
        self._handle(api.HostListUpdated(kind, list(entries)))

    def change_zone_rules(self, rules: api.ZoneRules | None) -> bool:
        """Follow changed rules on zones; return False where the balancer has started without rules."""
        if not self._balancer.accepts_zone_rules:
            return rules is None
        self._handle(api.ZoneRulesChanged(rules))
        return True

    def zone_status(self) -> dict[str, object] | None:
        """Return the status of zones as plain values; None where the balancer has started without rules."""
        return self._balancer.zone_status(self._clock.now_ns())

    def set_process_share(self, share: float) -> None:
        """Set the share, from 0 to 1, of the sidecar's requests that this process sends."""
        self._handle(api.ProcessShareChanged(share))

    def export_state(self) -> Mapping[str, object] | None:
        """Return the balancer's state for another process of this sidecar; None where it has none to give."""
        return export_state(self._balancer)

    def count_avoided_hosts(self) -> int:
        """Return how many endpoints of the list are sent no requests now."""
        return count_avoided_hosts(self._balancer, self._clock.now_ns())

    # --- actions --------------------------------------------------------------------------------

    def _handle(self, event: api.Event, pending: PendingRequest | None = None) -> None:
        try:
            self._dispatch(self._decide(event))
        except Exception:
            # Guards against a request left without a response, or a balancer without its timer, for good
            # after one fault in the balancer.
            self._counters.add("faults")
            log.exception("balancer failed", extra={"fields": {"event": type(event).__name__}})
            if pending is not None and pending.is_open:
                pending.add_step(api.FailRequest(pending.request_id))
            if isinstance(event, api.TimerFired):
                self._set_timer(self._clock.now_ns() + RETRY_TIMER_NS, event.token)

    def _decide(self, event: api.Event) -> list[api.Action]:
        """Return the balancer's actions for an event, and record them."""
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
        """Carry out the balancer's actions in order."""
        for action in actions:
            if isinstance(action, api.StartAttempt | api.RejectRequest | api.FailRequest | api.CancelAttempt):
                self._dispatch_to_request(action)
            elif isinstance(action, api.SetTimer):
                self._set_timer(action.at_ns, action.token)
            elif isinstance(action, api.CloseIdleConnections):
                self._close_idle_connections(action.host)
            elif isinstance(action, api.SubscribeToEndpoints):
                self._subscribe()
            elif isinstance(action, api.WriteLog):
                log.info(action.text)
            else:  # a health check: this deployment forbids them
                log.error("balancer action unsupported", extra={"fields": {"action": action}})

    def _dispatch_to_request(
        self, action: api.StartAttempt | api.RejectRequest | api.FailRequest | api.CancelAttempt
    ) -> None:
        """Hand an action to the request that it is about."""
        pending = self._pending.get(action.request)
        if isinstance(action, api.CancelAttempt):
            if pending is not None:
                pending.cancel_attempt(action.attempt)
        elif pending is None or not pending.is_open:
            log.error("balancer action for finished request", extra={"fields": {"action": action}})
        elif isinstance(action, api.StartAttempt):
            attempt = pending.attempts_requested
            pending.add_step(AttemptRequested(attempt, action.host, action.timeout_ns))
            pending.attempts_requested += 1
        else:
            pending.add_step(action)

    def _set_timer(self, at_ns: int, token: int) -> None:
        self._scheduler.call_at(self._clock.seconds(at_ns), lambda: self._handle(api.TimerFired(token)))

    def _release(self, pending: PendingRequest) -> None:
        """Forget a request that is complete."""
        if pending.is_complete:
            self._pending.pop(pending.request_id, None)


def _import_balancer(settings: api.Settings, seed: int, state: object) -> Balancer | None:
    """Return a balancer that goes on from another's state; None where it can't be used, which is logged."""
    try:
        return import_state(settings, seed, state)
    except StateError as error:
        log.warning("balancer state rejected", extra={"fields": {"reason": error}})
        return None
