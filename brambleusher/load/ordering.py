"""Times put in order within a window, and bunched ones spread where that is asked for."""

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
MOST_IN_SECOND = 200_000  # requests that a spread takes for one second


class Timed(NamedTuple):
    """A request on its way into the file."""

    request: Request
    whole: bool  # its time is in whole seconds
    place: str


class Window:
    """Puts one source in order.  `add` gives what is in order now; `late` has what is left out.

    A row may be at most the window earlier than the latest before it.  One that is more than the window
    later than all before it counts once the row behind it agrees, so that a single faulty time does not
    put all that follows out of order.
    """

    def __init__(self, window_ns: int, most: int) -> None:
        self._window, self._most = window_ns, most
        self._heap: list[tuple[int, int, Timed]] = []
        self._count = 0
        self._newest: int | None = None
        self._floor = -1  # what has been let go
        self._ahead: Timed | None = None
        self.late: list[Timed] = []
        self.reordered = self.full = 0

    def add(self, timed: Timed) -> Iterator[Timed]:
        """One more row, as the source has them."""
        at = timed.request.at_ns
        ahead = self._ahead
        if ahead is not None:
            self._ahead = None
            if at >= ahead.request.at_ns - self._window:
                self._take(ahead)
            else:
                self.late.append(ahead)
        if self._newest is None or at > self._newest + self._window:
            if self._newest is None and ahead is not None:
                self._take(timed)  # the first two rows differ: the second is taken
            else:
                self._ahead = timed
        elif at < max(self._newest - self._window, self._floor):
            self.late.append(timed)
        else:
            self._take(timed)
        return self._due()

    def end(self) -> Iterator[Timed]:
        """All that is left."""
        if self._ahead is not None:
            ahead, self._ahead = self._ahead, None
            self._take(ahead)
        while self._heap:
            yield heapq.heappop(self._heap)[2]

    def _take(self, timed: Timed) -> None:
        at = timed.request.at_ns
        if self._newest is None or at > self._newest:
            self._newest = at
        elif at < self._newest:
            self.reordered += 1
        self._count += 1
        heapq.heappush(self._heap, (at, self._count, timed))

    def _due(self) -> Iterator[Timed]:
        heap = self._heap
        while heap and (heap[0][0] <= (self._newest or 0) - self._window or len(heap) > self._most):
            if heap[0][0] > (self._newest or 0) - self._window:
                self.full += 1
            self._floor, _, timed = heapq.heappop(heap)
            yield timed


def merged(streams: list[Iterator[Timed]]) -> Iterator[Timed]:
    """Streams that are in order, as one."""
    if len(streams) == 1:
        return streams[0]
    return heapq.merge(*streams, key=lambda timed: timed.request.at_ns)


def spread(stream: Iterator[Timed], how: str, seed: int) -> Iterator[Request]:
    """Requests, those of a whole second spread over it: evenly, or as a Poisson stream of that count."""
    if how == "none":
        for timed in stream:
            yield timed.request
        return
    rng = random.Random(seed)
    second, group = -1, list[Timed]()
    for timed in stream:
        at = timed.request.at_ns // SECOND
        if at != second:
            yield from _spread(group, second, how, rng)
            second, group = at, []
        group.append(timed)
        if len(group) > MOST_IN_SECOND:
            raise SourceError(f"{timed.place}: more than {MOST_IN_SECOND:,} requests in one second to spread")
    yield from _spread(group, second, how, rng)


def _spread(group: list[Timed], second: int, how: str, rng: random.Random) -> list[Request]:
    bunched = sum(timed.whole for timed in group)
    if how == "even":
        times = iter([second * SECOND + (2 * at + 1) * SECOND // (2 * bunched) for at in range(bunched)])
    else:
        # Given how many come, the times of a Poisson stream are uniform and independent.
        times = iter(sorted(second * SECOND + rng.randrange(SECOND) for _ in range(bunched)))
    requests = [
        msgspec.structs.replace(timed.request, at_ns=next(times)) if timed.whole else timed.request
        for timed in group
    ]
    return sorted(requests, key=attrgetter("at_ns"))
