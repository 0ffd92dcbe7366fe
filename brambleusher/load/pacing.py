"""Compute when each request is due and which partition sends it, without a clock and without I/O."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from brambleusher.load.request import Request


class DueRequest(NamedTuple):
    """A request and when it is to be sent, in nanoseconds after the start."""

    number: int  # index in the whole demand, from 0
    at_ns: int
    request: Request


@dataclass(frozen=True)
class Pace:
    """Speed of a replay, and its partition: every `partitions`th request from number `partition` on."""

    start_ns: int  # Unix time in nanoseconds of the first request of the demand
    speed: float = 1.0
    partition: int = 0
    partitions: int = 1

    def due(self, requests: Iterable[Request]) -> Iterator[DueRequest]:
        """Yield the requests of the partition, each with the time when it is due."""
        for number, request in enumerate(requests):
            if number % self.partitions == self.partition:
                yield DueRequest(number, self.due_ns(request.at_ns), request)

    def due_ns(self, at_ns: int) -> int:
        """Convert a time of the demand into nanoseconds after the start of the play."""
        return round((at_ns - self.start_ns) / self.speed)

    def source_ns(self, passed_ns: int) -> int:
        """Convert nanoseconds since the start of the play into nanoseconds of the demand."""
        return round(passed_ns * self.speed)
