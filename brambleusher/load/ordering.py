"""Sort rows by time within a window, and optionally spread times in whole seconds over their second."""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterator
from operator import attrgetter
from typing import NamedTuple

import msgspec

from brambleusher.load.request import Request, SourceError
from brambleusher.load.times import SECOND

SPREADS = ("none", "even", "poisson")
MAX_REQUESTS_PER_SECOND = 200_000  # limit for the requests of one second, which are held in memory


class Timed(NamedTuple):
    """A request of a source, before it is written to the demand file."""

    request: Request
    has_full_seconds: bool  # whether the time has no fraction of a second
    position: str  # position in the source, used in messages


class Window:
    """Sorts the rows of one source; `add` yields the rows whose order is final, `late` holds rejected rows.

    A row may be earlier than the latest preceding row by at most the window.  A row that is later than all
    preceding rows by more than the window is accepted only after the next row confirms its time, so that a
    single wrong time does not cause the rejection of all following rows.
    """

    def __init__(self, window_ns: int, max_rows: int) -> None:
        self._window_ns, self._max_rows = window_ns, max_rows
        self._heap: list[tuple[int, int, Timed]] = []
        self._count = 0
        self._newest_ns: int | None = None
        self._released_ns = -1  # the time of the last row that was released
        self._unconfirmed: Timed | None = None
        self.late: list[Timed] = []
        self.reordered = self.overflowed = 0

    def add(self, timed: Timed) -> Iterator[Timed]:
        """Add the next row of the source.

        Returns:
            The rows whose order is final.
        """
        at = timed.request.at_ns
        unconfirmed = self._unconfirmed
        if unconfirmed is not None:
            self._unconfirmed = None
            if at >= unconfirmed.request.at_ns - self._window_ns:
                self._insert(unconfirmed)
            else:
                self.late.append(unconfirmed)
        if self._newest_ns is None or at > self._newest_ns + self._window_ns:
            if self._newest_ns is None and unconfirmed is not None:
                self._insert(timed)  # the first two rows differ: the second is accepted
            else:
                self._unconfirmed = timed
        elif at < max(self._newest_ns - self._window_ns, self._released_ns):
            self.late.append(timed)
        else:
            self._insert(timed)
        return self._release()

    def end(self) -> Iterator[Timed]:
        """Yield all rows that remain."""
        if self._unconfirmed is not None:
            unconfirmed, self._unconfirmed = self._unconfirmed, None
            self._insert(unconfirmed)
        while self._heap:
            yield heapq.heappop(self._heap)[2]

    def _insert(self, timed: Timed) -> None:
        """Put a row into the heap."""
        at = timed.request.at_ns
        if self._newest_ns is None or at > self._newest_ns:
            self._newest_ns = at
        elif at < self._newest_ns:
            self.reordered += 1
        self._count += 1
        heapq.heappush(self._heap, (at, self._count, timed))

    def _release(self) -> Iterator[Timed]:
        """Yield the rows that no later row can precede, and the earliest while there are too many."""
        heap = self._heap
        while heap and (heap[0][0] <= (self._newest_ns or 0) - self._window_ns or len(heap) > self._max_rows):
            if heap[0][0] > (self._newest_ns or 0) - self._window_ns:
                self.overflowed += 1
            self._released_ns, _, timed = heapq.heappop(heap)
            yield timed


def merge(streams: list[Iterator[Timed]]) -> Iterator[Timed]:
    """Merge streams that are sorted by time."""
    if len(streams) == 1:
        return streams[0]
    return heapq.merge(*streams, key=lambda timed: timed.request.at_ns)


def spread(stream: Iterator[Timed], method: str, seed: int) -> Iterator[Request]:
    """Spread requests with times in whole seconds over their second: evenly, or as a Poisson stream.

    Raises:
        SourceError: there are more requests in a second than a spread holds in memory.
    """
    if method == "none":
        for timed in stream:
            yield timed.request
        return
    rng = random.Random(seed)
    second, group = -1, list[Timed]()
    for timed in stream:
        at = timed.request.at_ns // SECOND
        if at != second:
            yield from _spread(group, second, method, rng)
            second, group = at, []
        group.append(timed)
        if len(group) > MAX_REQUESTS_PER_SECOND:
            raise SourceError(
                f"{timed.position}: more than {MAX_REQUESTS_PER_SECOND:,} requests in one second to spread"
            )
    yield from _spread(group, second, method, rng)


def _spread(group: list[Timed], second: int, method: str, rng: random.Random) -> list[Request]:
    """Spread the requests of one second; requests with exact times keep their times."""
    count = sum(timed.has_full_seconds for timed in group)
    if method == "even":
        times = iter([second * SECOND + (2 * at + 1) * SECOND // (2 * count) for at in range(count)])
    else:
        # Given their count, the times of a Poisson stream are uniform and independent.
        times = iter(sorted(second * SECOND + rng.randrange(SECOND) for _ in range(count)))
    requests = [
        msgspec.structs.replace(timed.request, at_ns=next(times)) if timed.has_full_seconds else timed.request
        for timed in group
    ]
    return sorted(requests, key=attrgetter("at_ns"))
