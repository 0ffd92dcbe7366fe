"""What a node's load looks like from here, since MySQL answers carry no load report.

No sockets and no clock.  Two figures are kept, over about half a second: statements answered a second,
and how many were at the node at once, as a part of the connections that the sidecar may have to it.
"""

from __future__ import annotations

import math

from quillpass.api import LoadReport

WINDOW = 0.5  # seconds after which a moment counts for e^-1


class Meter:
    """One node's figures, told when a statement goes there and when it is over."""

    __slots__ = ("_at", "_busy", "_rate", "out")

    def __init__(self) -> None:
        self.out = 0  # statements at the node
        self._busy = self._rate = 0.0
        self._at = 0.0

    def _settle(self, now: float) -> None:
        kept = math.exp(-max(0.0, now - self._at) / WINDOW)
        self._busy = self._busy * kept + self.out * (1 - kept)
        self._rate *= kept
        self._at = max(self._at, now)

    def begin(self, now: float) -> None:
        """A statement goes to the node."""
        self._settle(now)
        self.out += 1

    def end(self, now: float, answered: bool) -> None:
        """It is over; `answered`: with an answer of any kind."""
        self._settle(now)
        self.out -= 1
        if answered:
            self._rate += 1 / WINDOW

    def report(self, now: float, places: int) -> LoadReport:
        """The figures, for a node to which the sidecar may have so many connections."""
        self._settle(now)
        return LoadReport(min(1.0, self._busy / max(places, 1)), self._rate)
