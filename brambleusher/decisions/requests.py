"""Requests and attempts as exchanged between the balancer's driver and the protocols.

A client's request is pending from its arrival until it has a final response and all its attempts have ended.
Its task processes one step after another from the queue of its `PendingRequest`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from brambleusher.loadbalancing import api
from brambleusher.runtime.scheduler import Event


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request of a client.

    Attributes:
        request_id: Id of the request, chosen by the client.
        request_class: Name of the request class.
        tenant: Name of the tenant; None if tenants are not distinguished.
        time_left_ns: Nanoseconds from its arrival within which it must get its final response.
        work_hint_ns: The client's estimate of the work in nanoseconds, or None.
        is_retry: Whether the client has marked the request as a retry.
        payload: Data forwarded by the protocol; the driver does not read it.
    """

    request_id: str
    request_class: str
    tenant: str | None
    time_left_ns: int
    work_hint_ns: int | None
    is_retry: bool
    payload: object


class DuplicateRequestError(ValueError):
    """A request with the same id is already in progress."""


def do_nothing() -> None:
    """Do nothing, as most payloads need no cleanup."""


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """How an attempt ended.

    Attributes:
        status: Status of the attempt.
        latency_ns: Duration of the attempt in nanoseconds.
        report: The endpoint's load report, if it sent one.
        payload: The response, if the endpoint served the request.
        discard: Releases the resources of the payload; called if the payload is not used.
    """

    status: api.AttemptStatus
    latency_ns: int
    report: api.LoadReport | None = None
    payload: object = None
    discard: Callable[[], None] = do_nothing


@dataclass(frozen=True, slots=True)
class AttemptRequested:
    """The balancer requests an attempt; the attempts of a request are numbered from 0 in this order."""

    attempt: int
    endpoint: str
    timeout_ns: int


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An attempt has ended."""

    attempt: int
    endpoint: str
    outcome: AttemptOutcome


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """An attempt's response has started, or its endpoint is reserved, so retries are no longer possible."""

    attempt: int
    endpoint: str
    latency_ns: int
    payload: object


RequestStep = AttemptRequested | api.RejectRequest | api.FailRequest | AttemptFinished | ResponseStarted


def _cancel_nothing(_attempt: int) -> None:
    """Do nothing, as long as no attempt has been started."""


class PendingRequest:
    """A request without a final response or with attempts in flight, with the steps for its task.

    Attributes:
        request: The request.
        request_id: Id of the request.
        steps: Steps that the request's task has not processed yet.
        event: Set when a step is added.
        is_open: Whether the request has no final response yet.
        attempts_requested: Number of attempts that the balancer has requested.
        attempts_finished: Number of these attempts that have ended.
        cancel_attempt: Cancels an attempt by its number, also after the final response; set by the code that
            makes the attempts.
    """

    __slots__ = (
        "attempts_finished",
        "attempts_requested",
        "cancel_attempt",
        "event",
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
        self.cancel_attempt: Callable[[int], None] = _cancel_nothing

    @property
    def is_complete(self) -> bool:
        """Whether the request has its final response and no attempt in flight."""
        return not self.is_open and self.attempts_finished >= self.attempts_requested

    def add_step(self, step: RequestStep) -> None:
        """Add a step and wake the request's task."""
        self.steps.append(step)
        self.event.set()
