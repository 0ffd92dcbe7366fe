"""The only caller of the balancer: passes events in with the current time and routes its actions.

This module is independent of how requests, responses and endpoint lists are transported.
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

RETRY_TIMER_NS = 250_000_000  # delay before a timer event that failed in the balancer is repeated

# Counter names by status; they are read by operators and differ from the names of statuses.
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
    """Do nothing, as the default of a callback that closes connections."""


class BalancerDriver:
    """Drives one balancer with events and timers.

    Args:
        settings: Settings of the balancer.
        seed: Seed of the balancer's random generator.
        scheduler: Runs the balancer's timers.
        clock: Provides the time of events.
        counters: Counts attempts by their outcome.
        observers: Observes requests.
        recorder: Records decisions.
        make_balancer: Creates a balancer from settings and a seed.
        state: Output of `export_state` in another process, from which the balancer continues if possible.
        close_idle_connections: Closes the idle connections to an endpoint.
        subscribe: Subscribes to the endpoint list at discovery.
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
        """Number of requests without a final response."""
        return sum(pending.is_open for pending in self._pending.values())

    @property
    def pending_requests(self) -> int:
        """Number of requests without a final response or with attempts in flight."""
        return len(self._pending)

    def start(self, entries: Iterable[api.HostEntry]) -> None:
        """Start the balancer with a saved endpoint list."""
        now = self._clock.now_ns()
        actions = self._balancer.start(now)
        if self._recorder is not None:
            self._recorder.record(Decision(None, now, actions))
        self._dispatch(actions)
        self.update_endpoints(api.ListKind.SAVED, entries)

    # --- events ---------------------------------------------------------------------------------

    def submit(self, request: ClientRequest) -> PendingRequest:
        """Submit a request that has arrived; its first steps are queued in the pending request.

        Raises:
            DuplicateRequestError: A request with the same id is in progress.
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
        """Record the end of an attempt; `closed` if the request has or is getting its final response."""
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
        """Record that an attempt's response has started: the request is closed, the attempt in flight."""
        self._handle(api.StreamStarted(pending.request_id, step.attempt, step.endpoint, step.latency_ns))

    def abandon_request(self, pending: PendingRequest) -> None:
        """Abandon a request whose client has disconnected or got a response not chosen by the balancer."""
        self._handle(api.ClientDisconnected(pending.request_id))

    def close_request(self, pending: PendingRequest) -> None:
        """Close a request after its final response; only the balancer is told of later attempt ends."""
        pending.is_open = False
        while pending.steps:
            step = pending.steps.popleft()
            if isinstance(step, AttemptRequested):  # the balancer must be told the end of each attempt
                step = AttemptFinished(
                    step.attempt, step.endpoint, AttemptOutcome(api.AttemptStatus.NOT_STARTED, 0)
                )
            if isinstance(step, AttemptFinished):
                self.finish_attempt(pending, step, closed=True)
                step.outcome.discard()
        self._release(pending)

    def deliver_attempt_finished(self, pending: PendingRequest, end: AttemptFinished) -> None:
        """Deliver an attempt's end to the request's task while the request is open, else to the balancer."""
        if pending.is_open:
            pending.add_step(end)
        else:
            self.finish_attempt(pending, end, closed=True)
            end.outcome.discard()

    def report_body_progress(self, pending: PendingRequest, attempt: int, is_complete: bool) -> None:
        """Record that the request's body is being streamed, or (`is_complete`) has been forwarded."""
        self._handle(
            api.RequestBodyProgressed(pending.request_id, attempt, is_complete, pending.request.time_left_ns)
        )
        pending.event.set()  # wake the waiting task, since its deadline has changed

    def deliver_response_started(self, pending: PendingRequest, step: ResponseStarted) -> None:
        """Deliver the start of an attempt's response to the request's task while the request is open."""
        if pending.is_open:
            pending.add_step(step)

    def update_endpoints(self, kind: api.ListKind, entries: Iterable[api.HostEntry]) -> None:
        """Pass an update of the endpoint list, or a failure of discovery, to the balancer."""
        self._handle(api.HostListUpdated(kind, list(entries)))

    def change_zone_rules(self, rules: api.ZoneRules | None) -> bool:
        """Apply changed zone rules; return False if the balancer was started without zone rules."""
        if not self._balancer.accepts_zone_rules:
            return rules is None
        self._handle(api.ZoneRulesChanged(rules))
        return True

    def zone_status(self) -> dict[str, object] | None:
        """Return the status of zones as plain values, or None if started without zone rules."""
        return self._balancer.zone_status(self._clock.now_ns())

    def set_process_share(self, share: float) -> None:
        """Set the fraction of the sidecar's requests, from 0 to 1, that this process handles."""
        self._handle(api.ProcessShareChanged(share))

    def export_state(self) -> Mapping[str, object] | None:
        """Return the balancer's state for another process of this sidecar, or None if it is too large."""
        return export_state(self._balancer)

    def count_avoided_hosts(self) -> int:
        """Return the number of listed endpoints that get no requests now."""
        return count_avoided_hosts(self._balancer, self._clock.now_ns())

    # --- actions --------------------------------------------------------------------------------

    def _handle(self, event: api.Event, pending: PendingRequest | None = None) -> None:
        try:
            self._dispatch(self._decide(event))
        except Exception:
            # A fault in the balancer must not leave a request without a response, or the balancer without its
            # timer.
            self._counters.add("faults")
            log.exception("balancer failed", extra={"fields": {"event": type(event).__name__}})
            if pending is not None and pending.is_open:
                pending.add_step(api.FailRequest(pending.request_id))
            if isinstance(event, api.TimerFired):
                self._set_timer(self._clock.now_ns() + RETRY_TIMER_NS, event.token)

    def _decide(self, event: api.Event) -> list[api.Action]:
        """Let the balancer handle an event, record the decision, and return its actions."""
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
        """Execute the balancer's actions in order."""
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
            else:  # a health check, which this deployment does not permit
                log.error("balancer action unsupported", extra={"fields": {"action": action}})

    def _dispatch_to_request(
        self, action: api.StartAttempt | api.RejectRequest | api.FailRequest | api.CancelAttempt
    ) -> None:
        """Pass an action to its request."""
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
    """Return a balancer restored from a state; if the state is unusable, log the reason and return None."""
    try:
        return import_state(settings, seed, state)
    except StateError as error:
        log.warning("balancer state rejected", extra={"fields": {"reason": error}})
        return None
