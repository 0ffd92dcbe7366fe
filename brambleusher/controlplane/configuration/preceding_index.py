"""A lower bound, as an index of the log, on when an order that has no revision was sent.

An order that a link held up is read after later orders were acknowledged. The index that is applied when its
bytes are read therefore says nothing about its place among them. The index that is applied when its
connection becomes ready for it does: no caller has sent an order on a connection before that.
"""

from __future__ import annotations

from result import Err

from brambleusher.controlplane.configuration.replicated_state import ReplicatedState
from brambleusher.controlplane.pending_proposals import PendingResult
from brambleusher.runtime.scheduler import Scheduler, Task

# Where a link held up the opening of a connection too, the end of the connection follows the order by a round
# trip between caller and controller. The wait also covers the time in which a follower learns of a commit.
ARRIVAL_WAIT_S = 0.2
CALLER_TIMEOUT_S = 1.0  # a caller sends an order to another machine after this time without a response
READ_LATEST_S = CALLER_TIMEOUT_S - ARRIVAL_WAIT_S


class PrecedingIndex:
    """An applied index that precedes all orders which may have overtaken a connection's next order.

    It is created when the connection becomes ready for a request: after it was accepted, and after each
    response. A caller that sends its order at that moment sends a later one after `CALLER_TIMEOUT_S` at the
    earliest, so an index that is read within `READ_LATEST_S` precedes the later order.

    Attributes:
        was_held_up: Whether the next order may have been sent too early for an index that is read now.
    """

    def __init__(self, scheduler: Scheduler, state: ReplicatedState, waited_s: float = 0.0) -> None:
        """Begin to read the index.

        Args:
            scheduler: The scheduler of the serving thread.
            state: The replicated state whose index is read.
            waited_s: The seconds for which the connection was ready for the caller already.
        """
        self._scheduler, self._state = scheduler, state
        self._latest_at = scheduler.now() - waited_s + READ_LATEST_S
        self._reading: PendingResult[int] = PendingResult()
        self._task: Task | None = None
        self.was_held_up = waited_s > READ_LATEST_S - ARRIVAL_WAIT_S
        if not self.was_held_up:
            self._task = scheduler.spawn(self._read, name="preceding_index")

    def _read(self) -> None:
        self._scheduler.sleep(ARRIVAL_WAIT_S)
        read = self._state.read_applied_index(self._latest_at)
        is_too_late = self._scheduler.now() > self._latest_at
        self._reading.resolve(None if isinstance(read, Err) or is_too_late else read.ok_value)
        self._task = None

    def cancel(self) -> None:
        """Stop reading, since the request needs no index."""
        if self._task is not None:
            self._task.cancel()

    def wait(self, deadline: float) -> int | None:
        """Wait until the index is read and the end of the connection, if it is on its way, has arrived.

        Only the connection's next request may wait, and only once.

        Returns:
            The index, or None if it could not be read before the deadline, or soon enough to be a bound.
        """
        if self.was_held_up:
            return None
        if self._task is not None:  # the order came soon after the opening, which may have been held up too
            self._scheduler.sleep(ARRIVAL_WAIT_S)
        return self._reading.wait(self._scheduler, deadline)
