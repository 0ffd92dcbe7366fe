"""The lifecycle of one request: from its arrival to its final response, in whatever protocol it came."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from brambleusher.decisions.balancer_driver import BalancerDriver
from brambleusher.decisions.requests import (
    AttemptFinished,
    AttemptOutcome,
    AttemptRequested,
    ClientRequest,
    PendingRequest,
    ResponseStarted,
)
from brambleusher.loadbalancing.api import AttemptStatus, FailRequest, RejectRequest
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError, Wakeup
from brambleusher.runtime.system import Socket

log = logging.getLogger(__name__)

DECISION_GRACE_S = 0.005  # past the deadline: the balancer had its chance to answer
_NS_PER_S = 1e9
_SOCKET = Wakeup.SOCKET


class ResponseKind(Enum):
    """What became of a request."""

    SERVED = "served"
    REJECTED = "refused"  # the spelling that counters and metrics have
    FAILED = "failed"


@dataclass(slots=True)
class FinalResponse:
    """A final response, before it is worded in any protocol."""

    kind: ResponseKind
    retry_after_ns: int = 0
    payload: object = None


@dataclass(slots=True)
class ClientHandle:
    """The client of a request: `watched_socket` has its socket as long as it can be seen to leave."""

    watched_socket: Callable[[], Socket | None]
    has_left: Callable[[], bool]


@dataclass(slots=True)  # not frozen: that would cost four times as much to make, for each request
class AttemptOrder:
    """An attempt that is to be made, and whom to call as it proceeds.

    Attributes:
        endpoint: The name of the endpoint.
        payload: The request in its protocol.
        timeout_ns: From its start; 0 for none but the deadline.
        deadline: When the response has to leave, in seconds on the scheduler's clock.
        on_finished: Called once, whatever happens.
        on_response_started: May be called once before, with a payload: the response is on its way out.
        on_body_progress: Called with false when a streamed body begins to go out, with true when it is
            complete.
        is_wanted: Asked right before the first byte is sent: where it says no, nothing is.
    """

    endpoint: str
    payload: object
    timeout_ns: int
    deadline: float
    on_finished: Callable[[AttemptOutcome], None]
    on_response_started: Callable[[object], None]
    on_body_progress: Callable[[bool], None]
    is_wanted: Callable[[], bool]


class RunningAttempt(Protocol):
    """An attempt, as the request it was made for sees it."""

    def cancel(self) -> None:
        """Cancel it; its end is reported all the same."""


class AttemptStarter(Protocol):
    """The endpoints, in some protocol."""

    def start_attempt(self, order: AttemptOrder, /) -> RunningAttempt:
        """Start an attempt."""


class RequestLifecycle:
    """Takes requests from their arrival to their final response, in whatever protocol they came."""

    def __init__(self, decisions: BalancerDriver, upstream: AttemptStarter, scheduler: Scheduler) -> None:
        self._decisions, self._upstream, self._scheduler = decisions, upstream, scheduler

    def run(
        self, request: ClientRequest, deadline: Callable[[], float], client: ClientHandle
    ) -> FinalResponse | None:
        """Run one request; the balancer decides when it comes and whenever an attempt has ended.

        Args:
            request: The request.
            deadline: When the response must leave, in seconds on the scheduler's clock; it comes nearer
                where a streamed body is complete.
            client: The client.

        Returns:
            The final response; None if the client left before.
        """
        pending = self._decisions.submit(request)
        return _RequestRun(self._decisions, self._upstream, self._scheduler, pending, deadline, client).run()


def _canceller(attempts: dict[int, RunningAttempt]) -> Callable[[int], None]:
    """Make the callback that cancels an attempt.

    It holds the attempts alone: a pending request that led back to its run would be a reference cycle, and
    keep what its request held until the collector comes by.
    """

    def cancel(number: int) -> None:
        if number in attempts:
            attempts[number].cancel()

    return cancel


class _RequestRun:
    """One request on its way."""

    __slots__ = (
        "_attempts", "_client", "_deadline", "_decisions", "_pending", "_scheduler", "_started_at",
        "_upstream",
    )  # fmt: skip

    def __init__(
        self,
        decisions: BalancerDriver,
        upstream: AttemptStarter,
        scheduler: Scheduler,
        pending: PendingRequest,
        deadline: Callable[[], float],
        client: ClientHandle,
    ) -> None:
        self._decisions, self._upstream, self._scheduler = decisions, upstream, scheduler
        self._pending, self._deadline, self._client = pending, deadline, client
        self._started_at = scheduler.now()
        self._attempts: dict[int, RunningAttempt] = {}
        pending.cancel_attempt = _canceller(self._attempts)

    def run(self) -> FinalResponse | None:
        """Run it; None if its client left before its final response."""
        pending = self._pending
        try:
            return self._process_steps()
        except TaskTimeoutError:
            # The balancer owes a response and did not give it.
            self._log_no_decision()
            self._decisions.abandon_request(pending)
            return FinalResponse(ResponseKind.FAILED)
        except Exception:
            # A fault of ours must not leave the request without a response.
            log.exception("request failed", extra={"fields": {"request": pending.request_id}})
            self._decisions.abandon_request(pending)
            return FinalResponse(ResponseKind.FAILED)
        finally:
            self._decisions.close_request(pending)

    def _log_no_decision(self) -> None:
        fields = {"request": self._pending.request_id}
        log.error("no decision before the deadline", extra={"fields": fields})

    def _process_steps(self) -> FinalResponse | None:
        pending, client = self._pending, self._client
        while True:
            while not pending.steps:
                if self._wait() and client.has_left():
                    self._abandon()
                    return None
            step = pending.steps.popleft()
            if isinstance(step, AttemptRequested | RejectRequest | FailRequest) and client.has_left():
                pending.steps.appendleft(step)  # `close_request` tells the balancer that it is not made
                self._abandon()
                return None
            if isinstance(step, AttemptRequested):
                self._attempts[step.attempt] = self._upstream.start_attempt(self._order_for(step))
            elif isinstance(step, AttemptFinished):
                # The first attempt that served answers the request.
                is_served = step.outcome.status is AttemptStatus.OK
                self._decisions.finish_attempt(pending, step, closed=is_served)
                if is_served:
                    return FinalResponse(ResponseKind.SERVED, payload=step.outcome.payload)
            else:
                return self._final_response(step)

    def _final_response(self, step: ResponseStarted | RejectRequest | FailRequest) -> FinalResponse:
        if isinstance(step, ResponseStarted):
            # From here on the response is its protocol's, and no other attempt is wanted.
            self._decisions.start_response(self._pending, step)
            for number, attempt in self._attempts.items():
                if number != step.attempt:
                    attempt.cancel()
            return FinalResponse(ResponseKind.SERVED, payload=step.payload)
        if isinstance(step, RejectRequest):
            longest_ns = self._decisions.settings.max_retry_after_ns
            return FinalResponse(ResponseKind.REJECTED, min(step.retry_after_ns, longest_ns))
        return FinalResponse(ResponseKind.FAILED)

    def _order_for(self, step: AttemptRequested) -> AttemptOrder:
        pending, decisions = self._pending, self._decisions

        def on_finished(outcome: AttemptOutcome) -> None:
            finished = AttemptFinished(step.attempt, step.endpoint, outcome)
            decisions.deliver_attempt_finished(pending, finished)

        def on_response_started(payload: object) -> None:
            took_ns = int((self._scheduler.now() - self._started_at) * _NS_PER_S)
            started = ResponseStarted(step.attempt, step.endpoint, took_ns, payload)
            decisions.deliver_response_started(pending, started)

        def on_body_progress(is_complete: bool) -> None:
            decisions.report_body_progress(pending, step.attempt, is_complete)

        return AttemptOrder(
            step.endpoint, pending.request.payload, step.timeout_ns, self._deadline(), on_finished,
            on_response_started, on_body_progress, self._is_client_there,
        )  # fmt: skip

    def _is_client_there(self) -> bool:
        return not self._client.has_left()

    def _abandon(self) -> None:
        """Send nothing more for a client that has left, and cancel open attempts."""
        self._decisions.abandon_request(self._pending)
        for attempt in self._attempts.values():
            attempt.cancel()

    def _wait(self) -> bool:
        """Wait for the next step; true if the client is to be looked at."""
        deadline, sock = self._deadline() + DECISION_GRACE_S, self._client.watched_socket()
        try:
            return self._scheduler.park(deadline, sock, event=self._pending.event) is _SOCKET
        except TaskTimeoutError:
            # Race: a step may have come in the same moment, after a late wake-up.
            if not self._pending.steps:
                raise
            return False
