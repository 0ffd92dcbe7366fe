"""The life of one request: from its arrival to its final answer, in whatever protocol it came."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from brambleusher.decisions.balancer_driver import (
    AttemptFinished,
    AttemptOutcome,
    AttemptRequested,
    BalancerDriver,
    ClientRequest,
    PendingRequest,
    ResponseStarted,
)
from brambleusher.loadbalancing.api import AttemptStatus, FailRequest, RejectRequest
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.runtime.system import Socket

log = logging.getLogger(__name__)

GUARD_SECONDS = 0.005  # past that moment: the module had its chance to answer


class ResponseKind(Enum):
    """What became of a request."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class FinalResponse:
    """A final answer, before it is worded in any protocol."""

    kind: ResponseKind
    retry_after_ns: int = 0
    payload: object = None


@dataclass(frozen=True, slots=True)
class ClientHandle:
    """The other end of a request: `watch` has its socket as long as it can be seen to leave."""

    watch: Callable[[], Socket | None]
    has_left: Callable[[], bool]


class RunningAttempt(Protocol):
    """A claim, as the request it was made for sees it."""

    def call_off(self) -> None:
        """Give it up; its end is told all the same."""


class AttemptStarter(Protocol):
    """The nodes, in some protocol."""

    def claim(
        self,
        name: str,
        payload: object,
        timeout_ns: int,
        deadline: float,
        ended: Callable[[AttemptOutcome], None],
        begun: Callable[[object], None],
        passing: Callable[[bool], None],
        wanted: Callable[[], bool],
        /,
    ) -> RunningAttempt:
        """Start a claim; `ended` is called once, whatever happens.

        `begun` may be called once before, with a payload: the answer is on its way out from then on.
        `passing` is told when the request's body begins to go out as it comes, and when that is whole.
        `wanted` is asked right before the first byte is sent: where it says no, nothing is.
        """


class RequestLifecycle:
    """Lives of requests, in whatever protocol they came."""

    def __init__(self, decisions: BalancerDriver, nodes: AttemptStarter, scheduler: Scheduler) -> None:
        self._decisions, self._nodes, self._scheduler = decisions, nodes, scheduler

    def live(
        self, call: ClientRequest, deadline: Callable[[], float], client: ClientHandle
    ) -> FinalResponse | None:
        """One request from its arrival to its final answer; None if its client left before.

        The module is asked at each point of choice: when the request comes, and whenever a claim
        made for it has ended.  `deadline` is when the answer must leave; it comes nearer where a body that
        goes out as it comes is whole.
        """
        ticket, began_at = self._decisions.submit(call), self._scheduler.now()
        claims: dict[int, RunningAttempt] = {}
        ticket.cancel_attempt = lambda attempt: claims[attempt].call_off() if attempt in claims else None

        def wanted() -> bool:
            return not client.has_left()

        try:
            while True:
                # 1. Wait for the module's next step, a claim's end or the client's leaving.
                while not ticket.steps:
                    if self._wait(ticket, deadline() + GUARD_SECONDS, client) and client.has_left():
                        self._abandon(ticket, claims)
                        return None
                step = ticket.steps.popleft()
                if isinstance(step, AttemptRequested | RejectRequest | FailRequest) and client.has_left():
                    ticket.steps.appendleft(step)  # `close` tells the module that it is not made
                    self._abandon(ticket, claims)
                    return None
                # 2. Make a claim.
                if isinstance(step, AttemptRequested):

                    def ended(outcome: AttemptOutcome, made: AttemptRequested = step) -> None:
                        self._decisions.deliver_attempt_finished(
                            ticket, AttemptFinished(made.attempt, made.endpoint, outcome)
                        )

                    def begun(payload: object, made: AttemptRequested = step) -> None:
                        took = int((self._scheduler.now() - began_at) * 1e9)
                        news = ResponseStarted(made.attempt, made.endpoint, took, payload)
                        self._decisions.deliver_response_started(ticket, news)

                    def passing(whole: bool, made: AttemptRequested = step) -> None:
                        self._decisions.report_body_progress(ticket, made.attempt, whole)

                    claims[step.attempt] = self._nodes.claim(
                        step.endpoint,
                        call.payload,
                        step.timeout_ns,
                        deadline(),
                        ended,
                        begun,
                        passing,
                        wanted,
                    )
                # 3. A claim has ended: the first that served answers the request.
                elif isinstance(step, AttemptFinished):
                    served = step.outcome.status is AttemptStatus.OK
                    self._decisions.finish_attempt(ticket, step, closed=served)
                    if served:
                        return FinalResponse(ResponseKind.SERVED, payload=step.outcome.payload)
                # 4. An answer has begun: from here on it is its protocol's, and no other claim is wanted.
                elif isinstance(step, ResponseStarted):
                    self._decisions.start_response(ticket, step)
                    for attempt, claim in claims.items():
                        if attempt != step.attempt:
                            claim.call_off()
                    return FinalResponse(ResponseKind.SERVED, payload=step.payload)
                # 5. The module has given up on it: the answer goes out at once.
                elif isinstance(step, RejectRequest):
                    wait = min(step.retry_after_ns, self._decisions.settings.max_retry_after_ns)
                    return FinalResponse(ResponseKind.REJECTED, wait)
                else:
                    return FinalResponse(ResponseKind.FAILED)
        except TaskTimeoutError:
            # Guards against a module that owes an answer and never gives it.
            log.error("no answer from the module", extra={"fields": {"request": call.request_id}})
            self._decisions.abandon_request(ticket)
            return FinalResponse(ResponseKind.FAILED)
        except Exception:
            # Guards against a request left without an answer by a fault of ours.
            log.exception("request failed", extra={"fields": {"request": call.request_id}})
            self._decisions.abandon_request(ticket)
            return FinalResponse(ResponseKind.FAILED)
        finally:
            self._decisions.close_request(ticket)

    def _abandon(self, ticket: PendingRequest, claims: dict[int, RunningAttempt]) -> None:
        """The client has left: nothing more is sent for it, and what is out is called off."""
        self._decisions.abandon_request(ticket)
        for claim in claims.values():
            claim.call_off()

    def _wait(self, ticket: PendingRequest, deadline: float, client: ClientHandle) -> bool:
        """Wait for something to happen; true if the client is to be looked at."""
        try:
            return self._scheduler.park(deadline, client.watch(), event=ticket.event) == "socket"
        except TaskTimeoutError:
            # Guards against passing over a step that came in the same moment, after a late wake-up.
            if not ticket.steps:
                raise
            return False
