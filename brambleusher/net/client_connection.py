"""One connection of a client, as the listener and the tasks that serve it see it."""

from __future__ import annotations

from brambleusher.runtime.scheduler import Task
from brambleusher.runtime.streams import Stream

FIRST_REQUEST_TIMEOUT_S = 2.4  # from a connection's accept to the last byte of its first request


class ClientConnection:
    """One connection of a client."""

    __slots__ = ("accept_delay_s", "accepted_at", "is_released", "peer", "stream", "task", "was_served")

    def __init__(self, stream: Stream, peer: str) -> None:
        self.stream, self.peer = stream, peer
        self.task: Task | None = None
        self.accepted_at = stream.used_at
        self.accept_delay_s = 0.0  # that it may have been in the backlog of the listener, with a request
        self.was_served = False  # a request of it was answered
        self.is_released = False  # its task serves it no more, and does not close it

    def set_accept_delayed(self, since: float, earliest: float) -> None:
        """Record that it may have waited in the backlog since a moment, and count its time from then on.

        Race: where accepts were suspended, silent connections let in group after group would each have the
        whole time for a first request again, though they may have connected when the first one did.

        Args:
            since: When accepts were suspended, in seconds on the scheduler's clock.
            earliest: The time for a first request counts from here at the earliest.
        """
        self.accept_delay_s = self.accepted_at - since
        self.accepted_at = max(since, earliest)

    @property
    def first_request_deadline(self) -> float:
        """When its first request has to be complete, in seconds on the scheduler's clock."""
        return self.accepted_at + FIRST_REQUEST_TIMEOUT_S
