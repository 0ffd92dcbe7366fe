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
from brambleusher.loadbalancing.state_codec import hosts_avoided, save
from brambleusher.loadbalancing.state_transfer import bequeath, inherit
from brambleusher.loadbalancing.zone_aware_balancer import ZonedBalancer, balancer_for
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
class Call:
    """A request as the decisions see it; `payload` is for those who pass it on."""

    request: str
    request_class: str
    tenant: str | None
    left_ns: int
    work_hint_ns: int | None
    is_retry: bool
    payload: object


def nothing() -> None:
    """What most payloads need done to them."""


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a claim ended; `payload` is what the endpoint answered, where it served."""

    status: api.Status
    latency_ns: int
    report: api.LoadReport | None = None
    payload: object = None
    drop: Callable[[], None] = nothing  # called where nobody takes the payload


@dataclass(frozen=True, slots=True)
class ClaimEnded:
    """A claim's end, on its way to the request it was made for."""

    attempt: int
    node: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class AnswerBegun:
    """A claim's answer has begun to go out, or its node is held: it can't be repeated any more."""

    attempt: int
    node: str
    latency_ns: int
    payload: object


@dataclass(frozen=True, slots=True)
class MakeClaim:
    """The module wants a claim made; claims are numbered in the order it asked for them."""

    attempt: int
    node: str
    timeout_ns: int


Step = MakeClaim | api.Refuse | api.Fail | ClaimEnded | AnswerBegun


class Observer:
    """One that is told of requests as they pass; it is quick, and parks nowhere."""

    def taken(self, call: Call) -> None:
        """A request was taken."""

    def claim_ended(self, call: Call, node: str, outcome: Outcome) -> None:
        """A claim made for a request has ended, before its final answer or after."""

    def over(self, call: Call, kind: str | None, took_ns: int) -> None:
        """A request has its final answer of some kind, or its client has left (None)."""


class Observers(Observer):
    """Several, in order; a fault in one is logged and harms neither the others nor the request."""

    def __init__(self, observers: Iterable[Observer] = ()) -> None:
        self._all = tuple(observers)

    def taken(self, call: Call) -> None:
        """Pass it on."""
        for observer in self._all:
            try:
                observer.taken(call)
            except Exception:
                self._failed(observer)

    def claim_ended(self, call: Call, node: str, outcome: Outcome) -> None:
        """Pass it on."""
        for observer in self._all:
            try:
                observer.claim_ended(call, node, outcome)
            except Exception:
                self._failed(observer)

    def over(self, call: Call, kind: str | None, took_ns: int) -> None:
        """Pass it on."""
        for observer in self._all:
            try:
                observer.over(call, kind, took_ns)
            except Exception:
                self._failed(observer)

    @staticmethod
    def _failed(observer: Observer) -> None:
        log.exception("a feature failed", extra={"fields": {"feature": type(observer).__name__}})


@dataclass(slots=True)
class Decision:
    """What the module was told (None: its start) and when, and what it led to or raised."""

    event: api.Event | None
    now_ns: int
    actions: Sequence[api.Action]
    error: Exception | None = None
    call: Call | None = None  # the request it was about


class Recorder:
    """One that is told of everything that passes between the sidecar and the module."""

    def began(self, state: Callable[[], dict[str, Any]], inherited: bool = False) -> None:
        """The module is made, from nothing or not; `state` tells its state between two events."""

    def record(self, decision: Decision) -> None:
        """One event has been decided on; its actions are not routed yet."""


class Ticket:
    """A request that is owed an answer, and the steps that wait for its task."""

    __slots__ = ("event", "call", "call_off", "claims_ended", "claims_wanted", "open", "request", "steps")

    def __init__(self, call: Call) -> None:
        self.call, self.request = call, call.request
        self.steps: deque[Step] = deque()
        self.event = Event()
        self.open = True
        self.claims_wanted = self.claims_ended = 0
        # Where a claim is called off, also once the request is over; set by whoever makes the claims.
        self.call_off: Callable[[int], None] = lambda attempt: None

    def put(self, step: Step) -> None:
        """Hand a step to the task."""
        self.steps.append(step)
        self.event.set()


class DuplicateRequest(ValueError):
    """A request whose id is in use."""


class Decisions:
    """Drives one `Balancer` by the clock and by what happens."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        scheduler: Scheduler,
        clock: Clock,
        counters: Counters,
        observers: Observer | None = None,
        recorder: Recorder | None = None,
        make: Callable[[api.Settings, int], Balancer] = balancer_for,
        learnt: Any = None,
    ) -> None:
        """`learnt` is what another process's `learnt` told: this one goes on from it, if it can."""
        self.settings, self.observers = settings, observers or Observer()
        inherited = None
        if learnt is not None:
            try:
                inherited = inherit(settings, seed, learnt)
            except StateError as error:
                log.warning("what was learnt can't be used", extra={"fields": {"reason": error}})
        self._balancer, self._recorder = inherited or make(settings, seed), recorder
        if recorder is not None:
            recorder.began(lambda: save(self._balancer), inherited is not None)
        self._scheduler, self._clock, self._counters = scheduler, clock, counters
        self._tickets: dict[str, Ticket] = {}
        self.on_let_go: Callable[[str], None] = lambda node: None
        self.on_subscribe: Callable[[], None] = lambda: None

    @property
    def owed(self) -> int:
        """Requests without their final answer."""
        return sum(ticket.open for ticket in self._tickets.values())

    @property
    def tickets(self) -> int:
        """Requests without their final answer, or with claims out."""
        return len(self._tickets)

    def start(self, entries: Iterable[api.HostEntry]) -> None:
        """Begin, with the list held from before."""
        now = self._clock.now_ns()
        actions = self._balancer.start(now)
        if self._recorder is not None:
            self._recorder.record(Decision(None, now, actions))
        self._route(actions)
        self.listed(api.ListKind.SAVED, entries)

    # --- events ---------------------------------------------------------------------------------

    def take(self, call: Call) -> Ticket:
        """A request has come: its first steps wait in the ticket."""
        if call.request in self._tickets:
            raise DuplicateRequest(f"request {call.request} is in progress")
        ticket = self._tickets[call.request] = Ticket(call)
        self.observers.taken(call)
        event = api.RequestArrived(
            call.request, call.request_class, call.tenant, call.left_ns, call.work_hint_ns, call.is_retry
        )
        self._handle(event, ticket)
        return ticket

    def ended(self, ticket: Ticket, end: ClaimEnded, closed: bool) -> None:
        """A claim has ended."""
        ticket.claims_ended += 1
        outcome = end.outcome
        self._counters.add(
            f"claims_{outcome.status.value}" if outcome.status is not api.Status.OK else "claims_served"
        )
        self.observers.claim_ended(ticket.call, end.node, outcome)
        event = api.AttemptEnded(
            ticket.request, end.attempt, end.node, outcome.status, outcome.latency_ns, closed, outcome.report
        )
        self._handle(event, ticket)
        self._forget(ticket)

    def began(self, ticket: Ticket, step: AnswerBegun) -> None:
        """A claim's answer has begun: the request is closed, the claim stays out until it ends."""
        self._handle(api.StreamStarted(ticket.request, step.attempt, step.node, step.latency_ns))

    def left(self, ticket: Ticket) -> None:
        """The client has gone, or got an answer that the module did not choose."""
        self._handle(api.RequestGone(ticket.request))

    def close(self, ticket: Ticket) -> None:
        """The request has had its final answer; what its claims still bring goes to the module alone."""
        ticket.open = False
        while ticket.steps:
            step = ticket.steps.popleft()
            if isinstance(
                step, MakeClaim
            ):  # asked for and not made any more: the module hears of each one's end
                step = ClaimEnded(step.attempt, step.node, Outcome(api.Status.MOOT, 0))
            if isinstance(step, ClaimEnded):
                self.ended(ticket, step, closed=True)
                step.outcome.drop()
        self._forget(ticket)

    def claim_ended(self, ticket: Ticket, end: ClaimEnded) -> None:
        """Where a claim reports its end: the request's task if it still waits, else the module."""
        if ticket.open:
            ticket.put(end)
        else:
            self.ended(ticket, end, closed=True)
            end.outcome.drop()

    def body_passing(self, ticket: Ticket, attempt: int, whole: bool) -> None:
        """The request's body goes out on a claim as it comes, or has gone out: its time begins now."""
        self._handle(api.BodyPassing(ticket.request, attempt, whole, ticket.call.left_ns))
        ticket.event.set()  # whoever waits has another deadline now

    def claim_begun(self, ticket: Ticket, step: AnswerBegun) -> None:
        """Where a claim reports that its answer has begun; nobody waits for it any more if it is late."""
        if ticket.open:
            ticket.put(step)

    def listed(self, kind: api.ListKind, entries: Iterable[api.HostEntry]) -> None:
        """News from discovery."""
        self._handle(api.HostList(kind, list(entries)))

    def rules_changed(self, rules: api.ZoneRules | None) -> bool:
        """The operator says something else of zones; false where the decisions began without rules."""
        if not isinstance(self._balancer, ZonedBalancer):
            return rules is None
        self._handle(api.RulesChanged(rules))
        return True

    def standing(self) -> dict[str, object] | None:
        """What is made of zones, as plain values; None where the decisions began without rules."""
        if not isinstance(self._balancer, ZonedBalancer):
            return None
        return self._balancer.standing(self._clock.now_ns())

    def part(self, part: float) -> None:
        """This process does so much of this sidecar's work from now on."""
        self._handle(api.PartChanged(part))

    def learnt(self) -> dict[str, Any] | None:
        """What the module has learnt, for another process of this sidecar."""
        return bequeath(self._balancer)

    def avoided(self) -> int:
        """How many endpoints of the list get nothing now."""
        return hosts_avoided(self._balancer, self._clock.now_ns())

    # --- actions --------------------------------------------------------------------------------

    def _handle(self, event: api.Event, ticket: Ticket | None = None) -> None:
        try:
            self._route(self._decide(event))
        except Exception:
            # Guards against a request left without an answer, or a module that stops ticking for good,
            # after one fault in the module.
            self._counters.add("faults")
            log.exception("the module failed", extra={"fields": {"event": type(event).__name__}})
            if ticket is not None and ticket.open:
                ticket.put(api.Fail(ticket.request))
            if isinstance(event, api.TimerFired):
                self._set_timer(self._clock.now_ns() + RESTART_TIMER_NS, event.token)

    def _decide(self, event: api.Event) -> list[api.Action]:
        """The module's answer to an event."""
        now = self._clock.now_ns()
        if self._recorder is None:
            return self._balancer.handle(event, now)
        ticket = self._tickets.get(getattr(event, "request", ""))
        call = None if ticket is None else ticket.call
        try:
            actions = self._balancer.handle(event, now)
        except Exception as error:
            self._recorder.record(Decision(event, now, (), error, call))
            raise
        self._recorder.record(Decision(event, now, actions, None, call))
        return actions

    def _route(self, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send | api.Refuse | api.Fail | api.Cancel):
                ticket = self._tickets.get(action.request)
                if isinstance(action, api.Cancel):
                    if ticket is not None:
                        ticket.call_off(action.attempt)
                elif ticket is None or not ticket.open:
                    log.error("action for a request that is over", extra={"fields": {"action": action}})
                elif isinstance(action, api.Send):
                    ticket.put(MakeClaim(ticket.claims_wanted, action.host, action.timeout_ns))
                    ticket.claims_wanted += 1
                else:
                    ticket.put(action)
            elif isinstance(action, api.SetTimer):
                self._set_timer(action.at_ns, action.token)
            elif isinstance(action, api.LetGo):
                self.on_let_go(action.host)
            elif isinstance(action, api.Subscribe):
                self.on_subscribe()
            elif isinstance(action, api.Log):
                log.info(action.text)
            else:  # a probe: this deployment forbids them
                log.error("action not allowed", extra={"fields": {"action": action}})

    def _set_timer(self, at_ns: int, token: int) -> None:
        self._scheduler.call_at(self._clock.seconds(at_ns), lambda: self._handle(api.TimerFired(token)))

    def _forget(self, ticket: Ticket) -> None:
        if not ticket.open and ticket.claims_ended >= ticket.claims_wanted:
            self._tickets.pop(ticket.request, None)
