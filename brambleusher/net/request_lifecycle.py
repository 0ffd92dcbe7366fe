"""The protocol-independent lifecycle of a request, from its arrival to its final response."""

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

DECISION_GRACE_S = 0.005  # seconds past the deadline in which the balancer may still decide
_NS_PER_S = 1e9
_SOCKET = Wakeup.SOCKET


class ResponseKind(Enum):
    """The outcome of a request."""

    SERVED = "served"
    REJECTED = "refused"  # the value is spelled as in counters and metrics
    FAILED = "failed"


@dataclass(slots=True)
class FinalResponse:
    """The final response to a request, before it is encoded for a protocol."""

    kind: ResponseKind
    retry_after_ns: int = 0
    payload: object = None


@dataclass(slots=True)
class ClientHandle:
    """The client of a request; `watched_socket` returns the socket on which a disconnect can be detected."""

    watched_socket: Callable[[], Socket | None]
    has_left: Callable[[], bool]


# Not frozen, since creating a frozen instance for each request costs four times as much.
@dataclass(slots=True)
class AttemptSpec:
    """Parameters and callbacks of one attempt to send a request to an endpoint.

    Attributes:
        endpoint: The name of the endpoint.
        payload: The request as a message of its protocol.
        timeout_ns: Timeout from the start of the attempt, in nanoseconds; 0 if only the deadline applies.
        deadline: Latest time to send the response, in seconds on the scheduler's clock.
        on_finished: Called exactly once, on success and on failure.
        on_response_started: Called at most once before `on_finished`, with the payload of a response that
            has started.
        on_body_progress: Called with false when sending a streamed body starts, and with true when the body
            is complete.
        is_still_needed: Called right before the first byte is sent; nothing is sent if it returns false.
    """

    endpoint: str
    payload: object
    timeout_ns: int
    deadline: float
    on_finished: Callable[[AttemptOutcome], None]
    on_response_started: Callable[[object], None]
    on_body_progress: Callable[[bool], None]
    is_still_needed: Callable[[], bool]


class RunningAttempt(Protocol):
    """A running attempt that its request can cancel."""

    def cancel(self) -> None:
        """Cancel the attempt; `on_finished` is still called."""


class AttemptStarter(Protocol):
    """Starts attempts on endpoints over a particular protocol."""

    def start_attempt(self, spec: AttemptSpec, /) -> RunningAttempt:
        """Start an attempt on an endpoint."""


class RequestLifecycle:
    """Runs requests of any protocol from their arrival to their final response."""

    def __init__(self, decisions: BalancerDriver, upstream: AttemptStarter, scheduler: Scheduler) -> None:
        self._decisions, self._upstream, self._scheduler = decisions, upstream, scheduler

    def run(
        self, request: ClientRequest, deadline: Callable[[], float], client: ClientHandle
    ) -> FinalResponse | None:
        """Run one request; the balancer decides on its arrival and after the end of each attempt.

        Args:
            request: The request.
            deadline: Returns the latest time to send the response, in seconds on the scheduler's clock; the
                deadline moves closer when a streamed body completes.
            client: The client that sent the request.

        Returns:
            The final response, or None if the client disconnected first.
        """
        pending = self._decisions.submit(request)
        return _RequestRun(self._decisions, self._upstream, self._scheduler, pending, deadline, client).run()


def _canceller(attempts: dict[int, RunningAttempt]) -> Callable[[int], None]:
    """Create the callback that cancels an attempt.

    The callback references only the attempts. If the pending request referenced its run, this would be a
    reference cycle, and the request's memory would be kept until the next garbage collection.
    """

    def cancel(number: int) -> None:
        if number in attempts:
            attempts[number].cancel()

    return cancel


class _RequestRun:
    """The state of one request between its arrival and its final response."""

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
        """Run the request; return None if its client disconnected before the final response."""
        pending = self._pending
        try:
            return self._process_steps()
        except TaskTimeoutError:
            # The balancer has not decided on a final response in time.
            self._log_no_decision()
            self._decisions.abandon_request(pending)
            return FinalResponse(ResponseKind.FAILED)
        except Exception:
            # An internal error must not leave the request without a response.
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
                # `close_request` reports to the balancer that the attempt was not made.
                pending.steps.appendleft(step)
                self._abandon()
                return None
            if isinstance(step, AttemptRequested):
                self._attempts[step.attempt] = self._upstream.start_attempt(self._spec_for(step))
            elif isinstance(step, AttemptFinished):
                # The first successful attempt provides the response to the request.
                is_served = step.outcome.status is AttemptStatus.OK
                self._decisions.finish_attempt(pending, step, closed=is_served)
                if is_served:
                    return FinalResponse(ResponseKind.SERVED, payload=step.outcome.payload)
            else:
                return self._final_response(step)

    def _final_response(self, step: ResponseStarted | RejectRequest | FailRequest) -> FinalResponse:
        if isinstance(step, ResponseStarted):
            # From here on the protocol layer sends the response, and no other attempt is needed.
            self._decisions.start_response(self._pending, step)
            for number, attempt in self._attempts.items():
                if number != step.attempt:
                    attempt.cancel()
            return FinalResponse(ResponseKind.SERVED, payload=step.payload)
        if isinstance(step, RejectRequest):
            longest_ns = self._decisions.settings.max_retry_after_ns
            return FinalResponse(ResponseKind.REJECTED, min(step.retry_after_ns, longest_ns))
        return FinalResponse(ResponseKind.FAILED)

    def _spec_for(self, step: AttemptRequested) -> AttemptSpec:
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

        return AttemptSpec(
            step.endpoint, pending.request.payload, step.timeout_ns, self._deadline(), on_finished,
            on_response_started, on_body_progress, self._is_client_there,
        )  # fmt: skip

    def _is_client_there(self) -> bool:
        return not self._client.has_left()

    def _abandon(self) -> None:
        """Stop processing a request whose client has disconnected, and cancel its open attempts."""
        self._decisions.abandon_request(self._pending)
        for attempt in self._attempts.values():
            attempt.cancel()

    def _wait(self) -> bool:
        """Wait for the next step; return true if the client's presence should be checked."""
        deadline, sock = self._deadline() + DECISION_GRACE_S, self._client.watched_socket()
        try:
            return self._scheduler.park(deadline, sock, event=self._pending.event) is _SOCKET
        except TaskTimeoutError:
            # After a late wake-up, a step may have arrived at the same time as the timeout.
            if not self._pending.steps:
                raise
            return False
