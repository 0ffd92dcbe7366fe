"""Connection limits per endpoint: how many to open, how fast to open them, and which to keep.

Opening a connection costs its node the CPU time of a handshake, and a node can hold only a limited number of
connections. Opens are therefore paced per node, such that all sidecars together use `HANDSHAKE_CORE_FRACTION`
of a core. The capacity of a node's connection table is learned from connects that fail while the node
responds on other connections. It is adapted by additive increase and multiplicative decrease, which converges
to even shares among sidecars that can't communicate. Idle connections beyond the recent peak of use are
closed, since they occupy table capacity that others need. Connections are not opened in advance: opening one
early costs as much as opening it on demand, and most are reused.

Pure: times are in seconds on the caller's clock.

Source: Chiu and Jain, "Analysis of the increase and decrease algorithms for congestion avoidance" (1989).
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

HANDSHAKE_CORE_S = 0.0015  # upper bound of the CPU time of a handshake, in core seconds
HANDSHAKE_CORE_FRACTION = 0.2  # fraction of a core of each node that the handshakes of all sidecars may use
BURST_S = 0.25  # a burst may contain the opens due within this many seconds
MIN_BURST = 4.0
DECREASE_FACTOR = 0.8  # fraction of the open connections that the cap is set to when a connect is rejected
INCREASE_S = 1.0  # seconds in which the cap rises by one connection
# A connect that fails within this many seconds after a response counts as rejected for lack of capacity.
RECENT_RESPONSE_S = 1.0
PEAK_DECAY_S = 10.0
NEGLIGIBLE_USE = 0.1  # mean number of connections in recent use that counts as none
IDLE_FRACTION = 0.8  # fraction of a node's idle limit after which a connection is no longer used for attempts
IDLE_MARGIN_S = 1.0  # safety margin in seconds before a node's idle limit, where the limit is long


@dataclass(frozen=True, slots=True)
class ConnectPacing:
    """Pacing parameters of one sidecar's connections, the same for each node."""

    opens_per_s: float  # maximum rate of opens to one node, per second
    burst: float  # maximum number of opens to one node at once
    idle_timeout_s: float  # idle time, in seconds, after which a connection is not reused

    @classmethod
    def for_fleet(cls, sidecars: int, idle_seconds: float = math.inf) -> ConnectPacing:
        """Return the pacing for a fleet whose nodes close connections after `idle_seconds` of idleness."""
        opens_per_s = HANDSHAKE_CORE_FRACTION / HANDSHAKE_CORE_S / max(sidecars, 1)
        idle = min(idle_seconds * IDLE_FRACTION, max(idle_seconds - IDLE_MARGIN_S, idle_seconds / 2))
        return cls(opens_per_s, max(opens_per_s * BURST_S, MIN_BURST), idle)


class ConnectionLimit:
    """Limits the connections from one sidecar to one node."""

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
        self.open_count = 0  # connections that are open or being opened
        self.in_use = 0  # open connections with an attempt on them
        self.rejected = 0  # connects that failed because the node had no capacity for them
        self.cap = math.inf  # estimated number of connections that the node can hold for this sidecar
        self._cap_at = self._token_at = 0.0
        self._tokens = pacing.burst
        self._peak = self._peak_at = 0.0
        self._responded_at = -math.inf

    # --- opening ----------------------------------------------------------------------------------

    def wait_s(self, now: float) -> float:
        """Return the seconds until a connection may be opened; infinity if another must be closed first."""
        if self.cap < math.inf:
            self.cap += max(now - self._cap_at, 0.0) / INCREASE_S
            self._cap_at = max(self._cap_at, now)
        if self.open_count >= max(self.cap, 1.0):
            return math.inf
        refilled = self._pacing.opens_per_s * max(now - self._token_at, 0.0)
        self._tokens = min(self._tokens + refilled, self._pacing.burst)
        self._token_at = max(self._token_at, now)
        return 0.0 if self._tokens >= 1.0 else (1.0 - self._tokens) / self._pacing.opens_per_s

    def record_open(self) -> None:
        """Record the start of a connect; its end is recorded by `record_close`, after `record_rejection`."""
        self.open_count += 1
        self._tokens -= 1.0

    def record_rejection(self, now: float) -> None:
        """Record a failed connect, which indicates a full connection table if other connections work."""
        self.rejected += 1
        others = self.open_count - 1
        if others > 0 and now - self._responded_at < RECENT_RESPONSE_S:
            self.cap = max(1.0, math.floor(min(self.cap, others) * DECREASE_FACTOR))
            self._cap_at = now

    def record_close(self) -> None:
        """Record that a connection has closed or a connect has failed."""
        self.open_count -= 1

    # --- use --------------------------------------------------------------------------------------

    def record_acquire(self, now: float) -> None:
        """Record that an attempt is sent on a connection."""
        self.in_use += 1
        self._peak = max(float(self.in_use), self._recent_peak(now))
        self._peak_at = now

    def record_release(self, now: float, answered: bool) -> None:
        """Record that the attempt on a connection has ended."""
        self.in_use -= 1
        if answered:
            self._responded_at = now

    def idle_to_keep(self, now: float) -> int:
        """Return how many idle connections to keep: the recent peak of use plus one standard deviation."""
        peak = self._recent_peak(now)
        return max(0, math.ceil(peak + math.sqrt(peak)) - self.in_use)

    def is_forgettable(self, now: float) -> bool:
        """Return whether the record is equivalent to a new one: nothing open, learned or recently used."""
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
