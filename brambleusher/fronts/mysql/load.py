"""What a node's load looks like from here, since MySQL answers carry no load report.

No sockets and no clock.  Two figures are kept: claims served a second, in the module's own unit, and how
many statements were at the node at once, those of tied sessions too, as a part of the connections that the
sidecar may have to it.  They fade as slowly as the
module's own count of what is asked does: were they quicker, then after a busy moment what is asked would
look like more than what is served, and be turned away.
"""

from __future__ import annotations

import math

from brambleusher.loadbalancing.api import LoadReport

WINDOW_OF_AIM = 4.0  # of the shortest aim: after it a moment counts for e^-1 (the module's HEALTH_WINDOW)


class Meter:
    """One node's figures, told when a statement goes there and when it is over."""

    __slots__ = ("_at", "_busy", "_rate", "_window", "out")

    def __init__(self, window: float) -> None:
        self._window = window  # in seconds
        self.out = 0  # statements at the node
        self._busy = self._rate = 0.0
        self._at = 0.0

    def _settle(self, now: float) -> None:
        kept = math.exp(-max(0.0, now - self._at) / self._window)
        self._busy = self._busy * kept + self.out * (1 - kept)
        self._rate *= kept
        self._at = max(self._at, now)

    def begin(self, now: float) -> None:
        """A statement goes to the node."""
        self._settle(now)
        self.out += 1

    def end(self, now: float) -> None:
        """It is over."""
        self._settle(now)
        self.out -= 1

    def served(self, now: float) -> None:
        """A claim was served."""
        self._settle(now)
        self._rate += 1 / self._window

    def report(self, now: float, places: int) -> LoadReport:
        """The figures, for a node to which the sidecar may have so many connections."""
        self._settle(now)
        return LoadReport(min(1.0, self._busy / max(places, 1)), self._rate)
