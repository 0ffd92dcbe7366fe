"""Demand made from demand: a span of it, more or less of it, another mix, several at once."""

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
    """Words that make no sense."""


def moment(text: str, start_ns: int) -> int:
    """Seconds from the start, or a time in ISO 8601 with a zone, as Unix nanoseconds."""
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
    """A span, in nanoseconds from the start, and how many times as much is asked in it."""

    start_ns: int
    end_ns: int
    times: float


@dataclass(frozen=True)
class Scale:
    """How demand is changed.  Spans are those of the demand as it was."""

    speed: float = 1.0
    rate: float = 1.0
    classes: Mapping[str, float] = field(default_factory=dict)
    tenants: Mapping[str, float] = field(default_factory=dict)
    bursts: tuple[Burst, ...] = ()
    jitter_ns: int = SECOND
    seed: int = 1

    def times(self, request: Request, passed_ns: int) -> float:
        """How often a request stands in the new demand, on average."""
        times = self.rate * self.classes.get(request.request_class, 1.0)
        times *= self.tenants.get(request.tenant or "", 1.0)
        for burst in self.bursts:
            if burst.start_ns <= passed_ns < burst.end_ns:
                times *= burst.times
        return times

    def until(self, passed_ns: int) -> int:
        """Where a copy of a request must stay before: the next edge of a burst."""
        edges = [edge for burst in self.bursts for edge in (burst.start_ns, burst.end_ns) if edge > passed_ns]
        return min(edges, default=1 << 62)


def scaled(requests: Iterable[Request], start_ns: int, scale: Scale) -> Iterator[Request]:
    """Demand as `scale` says.

    A request that is to stand 2.3 times stands twice, or with a chance of 0.3 three times.  It stays where
    it is; its copies follow it at random within the jitter, but not across a burst's edge.  Raises
    `ShapeError` at the end where a factor is for a class or tenant that none of its requests has.
    """
    rng = random.Random(scale.seed)
    held: list[tuple[int, int, Request]] = []
    count, asked = 0, False
    classes, tenants = set(scale.classes), set(scale.tenants)  # that no request has had yet
    for request in requests:
        asked = True
        classes.discard(request.request_class)
        tenants.discard(request.tenant or "")
        while held and held[0][0] <= request.at_ns:
            yield _sped(heapq.heappop(held)[2], start_ns, scale.speed)
        passed_ns = request.at_ns - start_ns
        times = scale.times(request, passed_ns)
        copies = int(times) + (rng.random() < times - int(times))
        if copies:
            yield _sped(request, start_ns, scale.speed)
        room = min(scale.jitter_ns, scale.until(passed_ns) - passed_ns - 1)
        for _ in range(copies - 1):
            count += 1
            at_ns = request.at_ns + rng.randint(0, max(0, room))
            heapq.heappush(held, (at_ns, count, msgspec.structs.replace(request, at_ns=at_ns)))
    while held:
        yield _sped(heapq.heappop(held)[2], start_ns, scale.speed)
    for kind, names in (("class", classes), ("tenant", tenants)):
        if names and asked:
            raise ShapeError(f"no request is of the {kind} {', '.join(sorted(names))}")


def _sped(request: Request, start_ns: int, speed: float) -> Request:
    if speed == 1.0:
        return request
    return msgspec.structs.replace(request, at_ns=start_ns + round((request.at_ns - start_ns) / speed))


def mixed(streams: list[Iterable[Request]], shifts_ns: list[int]) -> Iterator[Request]:
    """Several demands as one, each shifted by so much."""

    def shifted(stream: Iterable[Request], by_ns: int) -> Iterator[Request]:
        for request in stream:
            yield msgspec.structs.replace(request, at_ns=request.at_ns + by_ns) if by_ns else request

    return heapq.merge(
        *(shifted(stream, by_ns) for stream, by_ns in zip(streams, shifts_ns, strict=True)),
        key=lambda request: request.at_ns,
    )
