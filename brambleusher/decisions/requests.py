"""Requests and attempts as the balancer's driver and the protocols see them.

A client's request is pending from its arrival until it has its final response and all its attempts have
finished.  Its task takes one step after another from the queue of its `PendingRequest`.
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
        request_id: The client's id of it.
        request_class: The name of its class.
        tenant: Whose it is; None where tenants are not told apart.
        time_left_ns: The time from its arrival within which it must have its final response.
        work_hint_ns: The client's estimate of the work; None where it gives none.
        is_retry: Whether the client says that it sends the request again.
        payload: What its protocol forwards; the driver does not look at it.
    """

    request_id: str
    request_class: str
    tenant: str | None
    time_left_ns: int
    work_hint_ns: int | None
    is_retry: bool
    payload: object


class DuplicateRequestError(ValueError):
    """A request whose id is that of one in progress."""


def do_nothing() -> None:
    """Do nothing: what discarding most payloads takes."""


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """How an attempt ended.

    Attributes:
        status: Its status.
        latency_ns: The time that it took.
        report: The endpoint's load report, where it sent one.
        payload: The response, where the endpoint served the request.
        discard: Releases what the payload holds; called where nobody takes it.
    """

    status: api.AttemptStatus
    latency_ns: int
    report: api.LoadReport | None = None
    payload: object = None
    discard: Callable[[], None] = do_nothing


@dataclass(frozen=True, slots=True)
class AttemptRequested:
    """The balancer asks for an attempt; a request's attempts are numbered in the order of asking, from 0."""

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
    """An attempt's response has begun to reach the client, or its endpoint is reserved: no more retries."""

    attempt: int
    endpoint: str
    latency_ns: int
    payload: object


RequestStep = AttemptRequested | api.RejectRequest | api.FailRequest | AttemptFinished | ResponseStarted


def _cancel_nothing(_attempt: int) -> None:
    """Cancel no attempt: none has been started."""


class PendingRequest:
    """A request without its final response or with attempts in flight, and the steps that wait for its task.

    Attributes:
        request: The request.
        request_id: Its id.
        steps: The steps that its task has not taken yet.
        event: Set when a step is added.
        is_open: Whether it has no final response yet.
        attempts_requested: How many attempts the balancer has asked for.
        attempts_finished: How many of them have ended.
        cancel_attempt: Cancels an attempt by its number, also after the final response; set by whoever makes
            the attempts.
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
        """Whether it has its final response and none of its attempts is in flight."""
        return not self.is_open and self.attempts_finished >= self.attempts_requested

    def add_step(self, step: RequestStep) -> None:
        """Add a step, and wake the task."""
        self.steps.append(step)
        self.event.set()
