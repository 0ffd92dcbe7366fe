"""State of an endpoint and its attempts that the upstream modules share."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from brambleusher.loadbalancing.api import AttemptStatus, LoadReport
from brambleusher.loadbalancing.connection_limits import ConnectionLimit
from brambleusher.net.http import Message
from brambleusher.runtime.scheduler import Event
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import Address


@dataclass(slots=True)
class UpstreamEndpoint:
    """An endpoint with its address, open attempts and idle connections, the most recently used last."""

    name: str
    address: Address
    started_ns: int  # start of the endpoint's process, Unix time in nanoseconds
    limit: ConnectionLimit
    idle: list[Stream] = field(default_factory=list)
    attempts: dict[UpstreamAttempt, None] = field(default_factory=dict)  # open attempts, oldest first
    waiting: deque[UpstreamAttempt] = field(default_factory=deque)  # attempts that wait for a connection
    is_draining: bool = False


class UpstreamAttempt:
    """The progress of one attempt and whether it was cancelled."""

    __slots__ = (
        "cancel_event", "cancelled_as", "has_new_connection", "has_started_sending", "is_request_sent",
        "is_response_streaming", "started_at", "stream",
    )  # fmt: skip

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at  # start of its latency, in seconds on the scheduler's clock
        self.cancel_event = Event()
        self.cancelled_as: AttemptStatus | None = None  # status passed to the first `cancel`
        self.stream: Stream | None = None
        self.has_new_connection = False  # whether the attempt opened its connection
        self.has_started_sending = False  # whether the first request byte was sent
        self.is_request_sent = False  # whether the last byte was sent, so the request may have run
        self.is_response_streaming = False

    def cancel(self, status: AttemptStatus = AttemptStatus.CANCELLED) -> None:
        """Cancel the attempt by closing its connection, which also cancels the request at the endpoint."""
        if self.cancelled_as is None and not self.is_response_streaming:
            self.cancelled_as = status
            self.cancel_event.set()

    @property
    def status_if_cancelled(self) -> AttemptStatus:
        """The final status of a cancelled attempt; an attempt that may have run always ends as cancelled."""
        if self.cancelled_as is not None and not self.is_request_sent:
            return self.cancelled_as
        return AttemptStatus.CANCELLED


# Not frozen, since creating a frozen instance for each request costs four times as much.
@dataclass(slots=True)
class AttemptResult:
    """The result of an attempt, with the endpoint's load report and response if there are any."""

    status: AttemptStatus
    report: LoadReport | None = None
    response: Message | None = None
