"""The budget of connections to endpoints: how many, how fast they are opened, which are kept.

Opening one costs its node a handshake's work, and a node holds only so many.  So opens are paced, node by
node, such that all sidecars together take `HANDSHAKE_CORE_FRACTION` of a core; what a node's table seems to
hold is learnt from connects that fail while the node answers on other connections, by additive increase and
multiplicative decrease, which sidecars that can't talk converge by to even parts (Chiu and Jain); and what
is idle beyond the most in use of late is let go, since it takes a place in the node's table from others.
None is opened ahead of need: one that waits costs as much as one that is asked for, and most are reused.

Pure: times are seconds on the caller's clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

HANDSHAKE_CORE_S = 0.0015  # seconds of a core that a handshake takes at the most
HANDSHAKE_CORE_FRACTION = 0.2  # of a core of each node, for the handshakes of all sidecars
BURST_SECONDS = 0.25  # opens that come at once: as many as are due in so long
LEAST_BURST = 4.0
CUT = 0.8  # of the connections held, when a further one finds no place
GROWTH_SECONDS = 1.0  # in which the cap rises by one
RECENT_RESPONSE_S = 1.0  # an answer so lately says that a connect failed for want of a place
PEAK_SECONDS = 10.0  # in which the most in use is forgotten
FORGOTTEN = 0.1  # in use lately, on average: nothing to speak of
IDLE_PART = 0.8  # of a node's idle limit: past it a connection is not trusted with a claim


@dataclass(frozen=True, slots=True)
class ConnectPacing:
    """What holds for the connections to every node; `sidecars` open to each, `idle` is the nodes' limit."""

    opens_per_s: float  # opens a second to one node
    burst: float  # opens to it that may come at once
    idle_timeout_s: float  # seconds unused for which a connection is trusted

    @classmethod
    def for_fleet(cls, sidecars: int, idle_seconds: float = math.inf) -> ConnectPacing:
        """For so many sidecars, and nodes that close what was idle for so long."""
        rate = HANDSHAKE_CORE_FRACTION / HANDSHAKE_CORE_S / max(sidecars, 1)
        idle = min(idle_seconds * IDLE_PART, max(idle_seconds - 1.0, idle_seconds / 2))
        return cls(rate, max(rate * BURST_SECONDS, LEAST_BURST), idle)


class ConnectionLimit:
    """The connections to one node, from one sidecar."""

    __slots__ = (
        "_answered_at", "_cap_at", "_pace", "_peak", "_peak_at", "_token_at", "_tokens", "cap", "open_count",
        "rejected", "in_use",
    )  # fmt: skip

    def __init__(self, pace: ConnectPacing) -> None:
        self._pace = pace
        self.open_count = self.in_use = self.rejected = (
            0  # open or opening; with a claim on them; found no place
        )
        self.cap = math.inf  # what its table seems to hold for us
        self._cap_at = self._token_at = 0.0
        self._tokens = pace.burst
        self._peak, self._peak_at, self._answered_at = 0.0, 0.0, -math.inf

    # --- opening ----------------------------------------------------------------------------------

    def wait_s(self, now: float) -> float:
        """Seconds until one more may be opened: 0 for now, infinite if one has to come back first."""
        if self.cap < math.inf:
            self.cap += max(now - self._cap_at, 0.0) / GROWTH_SECONDS
            self._cap_at = max(self._cap_at, now)
        if self.open_count >= max(self.cap, 1.0):
            return math.inf
        self._tokens = min(
            self._tokens + self._pace.opens_per_s * max(now - self._token_at, 0.0), self._pace.burst
        )
        self._token_at = max(self._token_at, now)
        return 0.0 if self._tokens >= 1.0 else (1.0 - self._tokens) / self._pace.opens_per_s

    def record_open(self) -> None:
        """A connect begins; what becomes of it is told by `closed`, and by `full` where that is why."""
        self.open_count += 1
        self._tokens -= 1.0

    def record_rejection(self, now: float) -> None:
        """A new connection found no place: a sign of a full table where others are answered."""
        self.rejected += 1
        others = self.open_count - 1
        if others > 0 and now - self._answered_at < RECENT_RESPONSE_S:
            self.cap, self._cap_at = max(1.0, math.floor(min(self.cap, others) * CUT)), now

    def record_close(self) -> None:
        """A connection has ended, or a connect came to nothing."""
        self.open_count -= 1

    # --- use --------------------------------------------------------------------------------------

    def record_acquire(self, now: float) -> None:
        """A claim goes out on a connection."""
        self.in_use += 1
        self._peak, self._peak_at = max(float(self.in_use), self._lately(now)), now

    def record_release(self, now: float, answered: bool) -> None:
        """The claim has ended."""
        self.in_use -= 1
        if answered:
            self._answered_at = now

    def idle_to_keep(self, now: float) -> int:
        """How many idle ones are worth their place: what was used at once lately, and what chance adds."""
        peak = self._lately(now)
        return max(0, math.ceil(peak + math.sqrt(peak)) - self.in_use)

    def is_forgettable(self, now: float) -> bool:
        """Whether nothing is held, and nothing believed, that a new record would not have as well."""
        self.wait_s(now)
        idle = not self.open_count and self.cap == math.inf and self._tokens >= self._pace.burst
        return idle and self._lately(now) < FORGOTTEN

    def _lately(self, now: float) -> float:
        return self._peak * math.exp(-max(now - self._peak_at, 0.0) / PEAK_SECONDS)

    def status(self, now: float) -> dict[str, Any]:
        """What is believed, for people to look at."""
        cap = None if self.cap == math.inf else int(self.cap)
        return {"held": self.open_count, "used": self.in_use, "cap": cap, "refused": self.rejected,
                "keeps": self.idle_to_keep(now)}  # fmt: skip
