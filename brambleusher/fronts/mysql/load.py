"""Estimates a node's load on the client side, since MySQL responses carry no load report.

The estimate uses neither sockets nor a clock.  It consists of two moving averages: attempts served per
second, and statements in progress at the node, pinned sessions included, as a fraction of the connections
that the sidecar may open to the node.  Both decay as slowly as the load balancer's own count of requested
work.  With a faster decay, the requested work would exceed the served work after a busy period, and requests
would be rejected.
"""

from __future__ import annotations

import math

from brambleusher.loadbalancing.api import LoadReport

# Decay time constant as a multiple of the shortest latency target; equals HEALTH_WINDOW of the load balancer.
DECAY_LATENCY_TARGETS = 4.0


class LoadMeter:
    """Load averages of one node, updated when a statement starts and ends."""

    __slots__ = ("_at", "_busy", "_rate", "_window", "in_progress")

    def __init__(self, window: float) -> None:
        self._window = window  # decay time constant in seconds
        self.in_progress = 0  # statements in progress at the node
        self._busy = self._rate = 0.0
        self._at = 0.0

    def _decay(self, now: float) -> None:
        remaining = math.exp(-max(0.0, now - self._at) / self._window)
        self._busy = self._busy * remaining + self.in_progress * (1 - remaining)
        self._rate *= remaining
        self._at = max(self._at, now)

    def begin(self, now: float) -> None:
        """Count a statement that is sent to the node."""
        self._decay(now)
        self.in_progress += 1

    def end(self, now: float) -> None:
        """Count the end of a statement."""
        self._decay(now)
        self.in_progress -= 1

    def served(self, now: float) -> None:
        """Count an attempt that was served."""
        self._decay(now)
        self._rate += 1 / self._window

    def report(self, now: float, max_connections: int) -> LoadReport:
        """Return the averages for a node to which the sidecar may open at most `max_connections`."""
        self._decay(now)
        return LoadReport(min(1.0, self._busy / max(max_connections, 1)), self._rate)
