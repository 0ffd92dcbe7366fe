"""Limits of the connections to an endpoint: how many, how fast they are opened, which are kept.

Opening one costs its node a handshake's work, and a node holds only so many.  So opens are paced, node by
node, such that all sidecars together take `HANDSHAKE_CORE_FRACTION` of a core.  The capacity of a node's
table is learned from connects that fail while the node answers on other connections, by additive increase
and multiplicative decrease, which sidecars that can't talk converge by to even shares.  Idle connections
beyond the recent peak of use are closed, since they take capacity of the node's table from others.  None is
opened ahead of need: one that waits costs as much as one that is asked for, and most are reused.

Pure: times are seconds on the caller's clock.

Source: Chiu and Jain, "Analysis of the increase and decrease algorithms for congestion avoidance" (1989).
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

HANDSHAKE_CORE_S = 0.0015  # seconds of a core that a handshake takes at the most
HANDSHAKE_CORE_FRACTION = 0.2  # of a core of each node, for the handshakes of all sidecars
BURST_S = 0.25  # opens that come at once: as many as are due in so long
MIN_BURST = 4.0
DECREASE_FACTOR = 0.8  # of the open connections, when a further one is rejected
INCREASE_S = 1.0  # in which the cap rises by one
RECENT_RESPONSE_S = 1.0  # a response so recent says that a connect failed for want of capacity
PEAK_DECAY_S = 10.0
NEGLIGIBLE_USE = 0.1  # connections in use lately, on average
IDLE_FRACTION = 0.8  # of a node's idle limit: past it a connection is not used for an attempt
IDLE_MARGIN_S = 1.0  # before a node's idle limit, where that is long


@dataclass(frozen=True, slots=True)
class ConnectPacing:
    """What holds for the connections of one sidecar to every node."""

    opens_per_s: float  # to one node
    burst: float  # opens to one node that may come at once
    idle_timeout_s: float  # seconds unused for which a connection is used again

    @classmethod
    def for_fleet(cls, sidecars: int, idle_seconds: float = math.inf) -> ConnectPacing:
        """Return the pacing for so many sidecars, and nodes that close what was idle for so long."""
        opens_per_s = HANDSHAKE_CORE_FRACTION / HANDSHAKE_CORE_S / max(sidecars, 1)
        idle = min(idle_seconds * IDLE_FRACTION, max(idle_seconds - IDLE_MARGIN_S, idle_seconds / 2))
        return cls(opens_per_s, max(opens_per_s * BURST_S, MIN_BURST), idle)


class ConnectionLimit:
    """The limit of the connections to one node, from one sidecar."""

    __slots__ = (
        "_cap_at",
        "_pacing",
        "_peak",
        "_peak_at",
        "_responded_at",
        "_token_at",
        "_tokens",
        "cap",
        "in_use",
        "open_count",
        "rejected",
    )

    def __init__(self, pacing: ConnectPacing) -> None:
        self._pacing = pacing
        self.open_count = 0  # open or opening
        self.in_use = 0  # of these, with an attempt on them
        self.rejected = 0  # connects that the node had no capacity for
        self.cap = math.inf  # what the node's table seems to hold for this sidecar
        self._cap_at = self._token_at = 0.0
        self._tokens = pacing.burst
        self._peak = self._peak_at = 0.0
        self._responded_at = -math.inf

    # --- opening ----------------------------------------------------------------------------------

    def wait_s(self, now: float) -> float:
        """Return the seconds until one more may be opened: 0 now, infinite if one has to be closed first."""
        if self.cap < math.inf:
            self.cap += max(now - self._cap_at, 0.0) / INCREASE_S
            self._cap_at = max(self._cap_at, now)
        if self.open_count >= max(self.cap, 1.0):
            return math.inf
        came = self._pacing.opens_per_s * max(now - self._token_at, 0.0)
        self._tokens = min(self._tokens + came, self._pacing.burst)
        self._token_at = max(self._token_at, now)
        return 0.0 if self._tokens >= 1.0 else (1.0 - self._tokens) / self._pacing.opens_per_s

    def record_open(self) -> None:
        """Take in that a connect begins; `record_close`, and `record_rejection` before it, tell its end."""
        self.open_count += 1
        self._tokens -= 1.0

    def record_rejection(self, now: float) -> None:
        """Take in that a connect failed: a sign of a full table where other connections work."""
        self.rejected += 1
        others = self.open_count - 1
        if others > 0 and now - self._responded_at < RECENT_RESPONSE_S:
            self.cap = max(1.0, math.floor(min(self.cap, others) * DECREASE_FACTOR))
            self._cap_at = now

    def record_close(self) -> None:
        """Take in that a connection has ended, or that a connect came to nothing."""
        self.open_count -= 1

    # --- use --------------------------------------------------------------------------------------

    def record_acquire(self, now: float) -> None:
        """Take in that an attempt goes out on a connection."""
        self.in_use += 1
        self._peak = max(float(self.in_use), self._recent_peak(now))
        self._peak_at = now

    def record_release(self, now: float, answered: bool) -> None:
        """Take in that the attempt has ended."""
        self.in_use -= 1
        if answered:
            self._responded_at = now

    def idle_to_keep(self, now: float) -> int:
        """Return how many idle connections to keep: the recent peak of use, and what chance adds."""
        peak = self._recent_peak(now)
        return max(0, math.ceil(peak + math.sqrt(peak)) - self.in_use)

    def is_forgettable(self, now: float) -> bool:
        """Return whether a new record would hold the same: nothing open, nothing learned, nothing recent."""
        self.wait_s(now)
        idle = not self.open_count and self.cap == math.inf and self._tokens >= self._pacing.burst
        return idle and self._recent_peak(now) < NEGLIGIBLE_USE

    def _recent_peak(self, now: float) -> float:
        return self._peak * math.exp(-max(now - self._peak_at, 0.0) / PEAK_DECAY_S)

    def status(self, now: float) -> dict[str, Any]:
        """Return the status for the admin endpoint, as JSON values."""
        return {
            "held": self.open_count,
            "used": self.in_use,
            "cap": None if self.cap == math.inf else int(self.cap),
            "refused": self.rejected,
            "keeps": self.idle_to_keep(now),
        }
