"""How long a connection may have been idle and still be trusted, from what became of attempts on such ones.

Guards against connections that are dropped unseen while idle: the next request on one is lost.  Pure: times
are nanoseconds, gaps are aims.
"""

from __future__ import annotations

import math

from brambleusher.loadbalancing.api import AttemptStatus

CUT = 0.7  # of the idle time at which one was lost: the next loss would teach little
WINDOW = 32.0  # aims; trust comes back slowly, each test costs a request
CHANCE = 0.05  # of those kept: so many resets, and one, say nothing of how long their connections were idle


class IdleTimeout:
    """One proxy's trust in its idle connections, to all hosts alike."""

    def __init__(self, limit_ns: float = math.inf, least_ns: float = 0.0) -> None:
        """Hosts close what was idle for `limit_ns`; what was for up to `least_ns` is always trusted."""
        self.limit_ns, self.min_ns = limit_ns, least_ns
        self.timeout_ns = limit_ns
        # Lately, on connections idle for longer: answered, timed out, reset; the longest that was kept.
        self.answered = self.timed_out = self.resets = self.proven_idle_ns = 0.0

    @property
    def is_reduced(self) -> bool:
        """Whether it is less than hosts allow."""
        return self.timeout_ns < self.limit_ns

    def record_attempt(self, status: AttemptStatus, idle_ns: int) -> bool:
        """An attempt has ended; whether that says more of idle connections than of its host.

        A reset does, unless resets are rare and one that was idle for longer was kept lately: where traffic
        is thin, one by chance would have most requests open anew.  A time-out, which may be a busy host's,
        does where most sent on idle ones lately were.
        """
        if status is AttemptStatus.OK:
            self.answered, self.proven_idle_ns = self.answered + 1, max(self.proven_idle_ns, idle_ns)
            return False
        self.timed_out += status is AttemptStatus.TIMEOUT
        self.resets += status is AttemptStatus.RESET
        by_chance = idle_ns < self.proven_idle_ns and self.resets <= 1 + self.answered * CHANCE
        silent = status is AttemptStatus.TIMEOUT and self.timed_out > max(1.0, self.answered)
        if not silent and (status is not AttemptStatus.RESET or by_chance):
            return False
        self.timeout_ns = max(min(self.timeout_ns, idle_ns * CUT), self.min_ns)
        return True

    def recover(self, gap: float, kept: float) -> None:
        """Some aims have passed: trust comes back, and of the counts a part is kept."""
        self.timeout_ns = min(self.timeout_ns * math.exp(gap / WINDOW), self.limit_ns)
        self.proven_idle_ns *= math.exp(-gap / WINDOW)
        self.answered, self.timed_out, self.resets = (
            self.answered * kept,
            self.timed_out * kept,
            self.resets * kept,
        )
