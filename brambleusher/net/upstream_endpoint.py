"""An endpoint in use and the attempts made on it: the state that the upstream modules share."""

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
    """One endpoint: its address, its idle connections (the last used at the end), its open attempts."""

    name: str
    address: Address
    started_ns: int  # Unix time
    limit: ConnectionLimit
    idle: list[Stream] = field(default_factory=list)
    attempts: dict[UpstreamAttempt, None] = field(default_factory=dict)  # in the order they began
    waiting: deque[UpstreamAttempt] = field(default_factory=deque)  # for a connection
    is_draining: bool = False


class UpstreamAttempt:
    """One attempt: how far it has come, and whether it was cancelled."""

    __slots__ = (
        "cancel_event", "cancelled_as", "has_new_connection", "has_started_sending", "is_request_sent",
        "is_response_streaming", "started_at", "stream",
    )  # fmt: skip

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at  # its latency counts from here; seconds on the scheduler's clock
        self.cancel_event = Event()
        self.cancelled_as: AttemptStatus | None = None  # the status it was cancelled with
        self.stream: Stream | None = None
        self.has_new_connection = False  # its connection was opened for it
        self.has_started_sending = False  # its first byte is on its way
        self.is_request_sent = False  # its last byte has been handed over: from here on it may have run
        self.is_response_streaming = False

    def cancel(self, status: AttemptStatus = AttemptStatus.CANCELLED) -> None:
        """Close its connection, which cancels it at the endpoint too."""
        if self.cancelled_as is None and not self.is_response_streaming:
            self.cancelled_as = status
            self.cancel_event.set()

    @property
    def status_if_cancelled(self) -> AttemptStatus:
        """How it ends where it was cancelled: what may have run counts as cancelled and nothing else."""
        if self.cancelled_as is not None and not self.is_request_sent:
            return self.cancelled_as
        return AttemptStatus.CANCELLED


@dataclass(slots=True)  # not frozen: that would cost four times as much to make, for each request
class AttemptResult:
    """How an attempt ended."""

    status: AttemptStatus
    report: LoadReport | None = None
    response: Message | None = None
