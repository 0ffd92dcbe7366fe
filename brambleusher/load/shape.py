"""Transform demand: select a time span, scale the rate or the mix, and merge several demands."""

from __future__ import annotations

import heapq
import random
import re
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

import msgspec

from brambleusher.load.request import Request
from brambleusher.load.times import SECOND, from_text

_SECONDS = re.compile(r"\d{1,12}(\.\d{1,9})?\Z", re.A)


class ShapeError(ValueError):
    """A parameter of a transformation is invalid."""


def parse_demand_time(text: str, start_ns: int) -> int:
    """Parse seconds from the start, or an ISO 8601 time with a zone, to Unix nanoseconds."""
    if _SECONDS.match(text):
        return start_ns + round(float(text) * SECOND)
    try:
        return from_text(text)[0]
    except Exception as error:
        raise ShapeError(
            f"{text!r} is neither seconds from the start nor a time with a zone: {error}"
        ) from None


@dataclass(frozen=True)
class Burst:
    """A time span in nanoseconds from the start, with the factor by which its rate is multiplied."""

    start_ns: int
    end_ns: int
    times: float


@dataclass(frozen=True)
class Scale:
    """Scaling of a demand; time spans refer to the original demand."""

    speed: float = 1.0
    rate: float = 1.0
    classes: Mapping[str, float] = field(default_factory=dict)
    tenants: Mapping[str, float] = field(default_factory=dict)
    bursts: tuple[Burst, ...] = ()
    jitter_ns: int = SECOND
    seed: int = 1

    def mean_copies(self, request: Request, passed_ns: int) -> float:
        """Return the mean number of copies of a request in the scaled demand."""
        times = self.rate * self.classes.get(request.request_class, 1.0)
        times *= self.tenants.get(request.tenant or "", 1.0)
        for burst in self.bursts:
            if burst.start_ns <= passed_ns < burst.end_ns:
                times *= burst.times
        return times

    def next_burst_edge(self, passed_ns: int) -> int:
        """Return the next edge of a burst, before which copies of a request must stay."""
        edges = [edge for burst in self.bursts for edge in (burst.start_ns, burst.end_ns) if edge > passed_ns]
        return min(edges, default=1 << 62)


def scale_demand(requests: Iterable[Request], start_ns: int, scale: Scale) -> Iterator[Request]:
    """Scale a demand.

    A request with a factor of 2.3 appears twice, or three times with probability 0.3.  The original keeps its
    time; the copies follow at random times within the jitter, but not across the edge of a burst.  Raises
    `ShapeError` at the end if a factor names a class or tenant without requests.
    """
    rng = random.Random(scale.seed)
    pending_copies: list[tuple[int, int, Request]] = []
    count, has_requests = 0, False
    classes, tenants = set(scale.classes), set(scale.tenants)  # names without a request so far
    for request in requests:
        has_requests = True
        classes.discard(request.request_class)
        tenants.discard(request.tenant or "")
        while pending_copies and pending_copies[0][0] <= request.at_ns:
            yield _apply_speed(heapq.heappop(pending_copies)[2], start_ns, scale.speed)
        passed_ns = request.at_ns - start_ns
        times = scale.mean_copies(request, passed_ns)
        copies = int(times) + (rng.random() < times - int(times))
        if copies:
            yield _apply_speed(request, start_ns, scale.speed)
        max_delay_ns = min(scale.jitter_ns, scale.next_burst_edge(passed_ns) - passed_ns - 1)
        for _ in range(copies - 1):
            count += 1
            at_ns = request.at_ns + rng.randint(0, max(0, max_delay_ns))
            heapq.heappush(pending_copies, (at_ns, count, msgspec.structs.replace(request, at_ns=at_ns)))
    while pending_copies:
        yield _apply_speed(heapq.heappop(pending_copies)[2], start_ns, scale.speed)
    for kind, names in (("class", classes), ("tenant", tenants)):
        if names and has_requests:
            raise ShapeError(f"no request is of the {kind} {', '.join(sorted(names))}")


def _apply_speed(request: Request, start_ns: int, speed: float) -> Request:
    if speed == 1.0:
        return request
    return msgspec.structs.replace(request, at_ns=start_ns + round((request.at_ns - start_ns) / speed))


def merge_demands(streams: list[Iterable[Request]], shifts_ns: list[int]) -> Iterator[Request]:
    """Merge several demands, each shifted in time."""

    def shifted(stream: Iterable[Request], by_ns: int) -> Iterator[Request]:
        for request in stream:
            yield msgspec.structs.replace(request, at_ns=request.at_ns + by_ns) if by_ns else request

    return heapq.merge(
        *(shifted(stream, by_ns) for stream, by_ns in zip(streams, shifts_ns, strict=True)),
        key=lambda request: request.at_ns,
    )
