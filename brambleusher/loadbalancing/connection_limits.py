"""The budget of connections to endpoints: how many, how fast they are opened, which are kept.

Opening one costs its node a handshake's work, and a node holds only so many.  So opens are paced, node by
node, such that all sidecars together take `OPEN_PART` of a core; what a node's table seems to hold is
learnt from connects that fail while the node answers on other connections, by additive increase and
multiplicative decrease, which sidecars that can't talk converge by to even parts (Chiu and Jain); and what
is idle beyond the most in use of late is let go, since it takes a place in the node's table from others.
None is opened ahead of need: one that waits costs as much as one that is asked for, and most are reused.

Pure: times are seconds on the caller's clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

OPEN_WORK = 0.0015  # seconds of a core that a handshake takes at the most
OPEN_PART = 0.2  # of a core of each node, for the handshakes of all sidecars
BURST_SECONDS = 0.25  # opens that come at once: as many as are due in so long
LEAST_BURST = 4.0
CUT = 0.8  # of the connections held, when a further one finds no place
GROWTH_SECONDS = 1.0  # in which the cap rises by one
ALIVE_SECONDS = 1.0  # an answer so lately says that a connect failed for want of a place
PEAK_SECONDS = 10.0  # in which the most in use is forgotten
FORGOTTEN = 0.1  # in use lately, on average: nothing to speak of
IDLE_PART = 0.8  # of a node's idle limit: past it a connection is not trusted with a claim


@dataclass(frozen=True, slots=True)
class Pace:
    """What holds for the connections to every node; `sidecars` open to each, `idle` is the nodes' limit."""

    rate: float  # opens a second to one node
    burst: float  # opens to it that may come at once
    idle: float  # seconds unused for which a connection is trusted

    @classmethod
    def of(cls, sidecars: int, idle_seconds: float = math.inf) -> Pace:
        """For so many sidecars, and nodes that close what was idle for so long."""
        rate = OPEN_PART / OPEN_WORK / max(sidecars, 1)
        idle = min(idle_seconds * IDLE_PART, max(idle_seconds - 1.0, idle_seconds / 2))
        return cls(rate, max(rate * BURST_SECONDS, LEAST_BURST), idle)


class Link:
    """The connections to one node, from one sidecar."""

    __slots__ = (
        "_answered_at", "_cap_at", "_pace", "_peak", "_peak_at", "_token_at", "_tokens", "cap", "held",
        "refused", "used",
    )  # fmt: skip

    def __init__(self, pace: Pace) -> None:
        self._pace = pace
        self.held = self.used = self.refused = 0  # open or opening; with a claim on them; found no place
        self.cap = math.inf  # what its table seems to hold for us
        self._cap_at = self._token_at = 0.0
        self._tokens = pace.burst
        self._peak, self._peak_at, self._answered_at = 0.0, 0.0, -math.inf

    # --- opening ----------------------------------------------------------------------------------

    def pause(self, now: float) -> float:
        """Seconds until one more may be opened: 0 for now, infinite if one has to come back first."""
        if self.cap < math.inf:
            self.cap += max(now - self._cap_at, 0.0) / GROWTH_SECONDS
            self._cap_at = max(self._cap_at, now)
        if self.held >= max(self.cap, 1.0):
            return math.inf
        self._tokens = min(self._tokens + self._pace.rate * max(now - self._token_at, 0.0), self._pace.burst)
        self._token_at = max(self._token_at, now)
        return 0.0 if self._tokens >= 1.0 else (1.0 - self._tokens) / self._pace.rate

    def opens(self) -> None:
        """A connect begins; what becomes of it is told by `closed`, and by `full` where that is why."""
        self.held += 1
        self._tokens -= 1.0

    def full(self, now: float) -> None:
        """A new connection found no place: a sign of a full table where others are answered."""
        self.refused += 1
        others = self.held - 1
        if others > 0 and now - self._answered_at < ALIVE_SECONDS:
            self.cap, self._cap_at = max(1.0, math.floor(min(self.cap, others) * CUT)), now

    def closed(self) -> None:
        """A connection has ended, or a connect came to nothing."""
        self.held -= 1

    # --- use --------------------------------------------------------------------------------------

    def takes(self, now: float) -> None:
        """A claim goes out on a connection."""
        self.used += 1
        self._peak, self._peak_at = max(float(self.used), self._lately(now)), now

    def gives_back(self, now: float, answered: bool) -> None:
        """The claim has ended."""
        self.used -= 1
        if answered:
            self._answered_at = now

    def keeps(self, now: float) -> int:
        """How many idle ones are worth their place: what was used at once lately, and what chance adds."""
        peak = self._lately(now)
        return max(0, math.ceil(peak + math.sqrt(peak)) - self.used)

    def rests(self, now: float) -> bool:
        """Whether nothing is held, and nothing believed, that a new record would not have as well."""
        self.pause(now)
        idle = not self.held and self.cap == math.inf and self._tokens >= self._pace.burst
        return idle and self._lately(now) < FORGOTTEN

    def _lately(self, now: float) -> float:
        return self._peak * math.exp(-max(now - self._peak_at, 0.0) / PEAK_SECONDS)

    def state(self, now: float) -> dict[str, Any]:
        """What is believed, for people to look at."""
        cap = None if self.cap == math.inf else int(self.cap)
        return {"held": self.held, "used": self.used, "cap": cap, "refused": self.refused,
                "keeps": self.keeps(now)}  # fmt: skip
