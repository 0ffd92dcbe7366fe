"""Which index of the log a replica had applied at an earlier time.

An evacuation order has no revision. Its place among others follows from the index that was applied when it
can have been sent at the earliest, and that may be long before its bytes are read.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from itertools import islice

ENTRIES_MAX = 1024  # more than the changes of several hours
UNKNOWN_INDEX = 0  # precedes every entry of the log


class AppliedIndexHistory:
    """The latest changes of a replica's applied index, with the times at which it recorded them."""

    def __init__(self, now: float, index: int) -> None:
        """Begin with the index that is applied at the start of the process."""
        self._times: deque[float] = deque([now], ENTRIES_MAX)
        self._indexes: deque[int] = deque([index], ENTRIES_MAX)

    def record(self, now: float, index: int) -> None:
        """Record that the log is applied up to an index."""
        if index != self._indexes[-1]:
            self._times.append(now)
            self._indexes.append(index)

    def index_at(self, time: float) -> int:
        """Return the index that was applied at a time, `UNKNOWN_INDEX` if that is no longer known."""
        if time >= self._times[-1]:
            return self._indexes[-1]
        count = bisect_right(self._times, time)
        return next(islice(self._indexes, count - 1, None)) if count else UNKNOWN_INDEX
