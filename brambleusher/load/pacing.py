"""When each request is due, and whose it is: no clock, no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from brambleusher.load.request import Request


class Due(NamedTuple):
    """A request and when it is to be sent, in nanoseconds after the start."""

    number: int  # in the whole demand, from 0
    at_ns: int
    request: Request


@dataclass(frozen=True)
class Pace:
    """How fast demand is played, and which part: every `parts`th request from number `part` on."""

    start_ns: int  # the demand's own time at the start
    speed: float = 1.0
    part: int = 0
    parts: int = 1

    def due(self, requests: Iterable[Request]) -> Iterator[Due]:
        """The part's requests, each with its moment."""
        for number, request in enumerate(requests):
            if number % self.parts == self.part:
                yield Due(number, self.at(request.at_ns), request)

    def at(self, at_ns: int) -> int:
        """The moment of a time of the demand's."""
        return round((at_ns - self.start_ns) / self.speed)

    def source_ns(self, passed_ns: int) -> int:
        """How far into the demand a moment is."""
        return round(passed_ns * self.speed)
