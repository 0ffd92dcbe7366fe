"""The state of a client connection that the listener and the task serving the connection share."""

from __future__ import annotations

from brambleusher.runtime.scheduler import Task
from brambleusher.runtime.streams import Stream

FIRST_REQUEST_TIMEOUT_S = 2.4  # limit in seconds from accept to the last byte of the first request


class ClientConnection:
    """An accepted client connection, its socket stream, its task and its timing."""

    __slots__ = ("accept_delay_s", "accepted_at", "is_released", "peer", "stream", "task", "was_served")

    def __init__(self, stream: Stream, peer: str) -> None:
        self.stream, self.peer = stream, peer
        self.task: Task | None = None
        self.accepted_at = stream.used_at
        self.accept_delay_s = 0.0  # longest possible wait in the listener's backlog, in seconds
        self.was_served = False  # whether a request on this connection was answered
        self.is_released = False  # whether the serving task has given the connection up and must not close it

    def set_accept_delayed(self, since: float, earliest: float) -> None:
        """Count the connection's first-request timeout from when it may have entered the backlog.

        Without this, connections that send nothing and are accepted in groups after accepting was suspended
        would each get the full first-request timeout again, although all may have connected at the same time.

        Args:
            since: When accepting was suspended, in seconds on the scheduler's clock.
            earliest: The earliest start of the first-request timeout, in seconds on the scheduler's clock.
        """
        self.accept_delay_s = self.accepted_at - since
        self.accepted_at = max(since, earliest)

    @property
    def first_request_deadline(self) -> float:
        """Deadline for the last byte of the first request, in seconds on the scheduler's clock."""
        return self.accepted_at + FIRST_REQUEST_TIMEOUT_S
