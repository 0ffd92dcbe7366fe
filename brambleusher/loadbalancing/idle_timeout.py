"""Idle timeout, learned: how long a connection may have been idle and still be used for an attempt.

Guards against connections that are dropped unseen while idle: the next request on one is lost.  Pure: times
are nanoseconds, gaps are latency targets.
"""

from __future__ import annotations

import math

from brambleusher.loadbalancing.api import AttemptStatus

DECREASE_FACTOR = 0.7  # of the idle time at which one was lost: the next loss would teach little
RECOVERY_TARGETS = 32.0  # the timeout grows back slowly, since each test costs a request
CHANCE_RESETS = 0.05  # of those answered: so many resets, and one, say nothing of idle times


class IdleTimeout:
    """One proxy's timeout of its idle connections, to all hosts alike."""

    def __init__(self, limit_ns: float = math.inf, min_ns: float = 0.0) -> None:
        """Start at the limit.

        Args:
            limit_ns: Hosts close what was idle for so long.
            min_ns: The timeout is never less.
        """
        self.limit_ns = limit_ns
        self.min_ns = min_ns
        self.timeout_ns = limit_ns
        # Decaying counts of attempts on connections that were idle for longer than `min_ns`.
        self.answered = self.timed_out = self.resets = 0.0
        self.proven_idle_ns = 0.0  # the longest idle time lately after which a connection still worked

    @property
    def is_reduced(self) -> bool:
        """Whether it is less than hosts allow."""
        return self.timeout_ns < self.limit_ns

    def record_attempt(self, status: AttemptStatus, idle_ns: int) -> bool:
        """Take in how an attempt on an idle connection ended.

        A reset says that the connection was dropped, unless resets are rare and one that was idle for longer
        has worked lately: where traffic is thin, one by chance would have most requests connect anew.  A
        timeout, which may be a busy host's, says so where most attempts on idle connections timed out lately.

        Returns:
            Whether it says more of idle connections than of its host.
        """
        if status is AttemptStatus.OK:
            self.answered += 1
            self.proven_idle_ns = max(self.proven_idle_ns, idle_ns)
            return False
        self.timed_out += status is AttemptStatus.TIMEOUT
        self.resets += status is AttemptStatus.RESET
        if not self._is_dropped(status, idle_ns):
            return False
        self.timeout_ns = max(min(self.timeout_ns, idle_ns * DECREASE_FACTOR), self.min_ns)
        return True

    def _is_dropped(self, status: AttemptStatus, idle_ns: int) -> bool:
        if status is AttemptStatus.TIMEOUT:
            return self.timed_out > max(1.0, self.answered)
        if status is not AttemptStatus.RESET:
            return False
        is_chance = idle_ns < self.proven_idle_ns and self.resets <= 1 + self.answered * CHANCE_RESETS
        return not is_chance

    def recover(self, gap: float, retained: float) -> None:
        """Let the timeout grow back over `gap` latency targets, and keep a fraction of the counts."""
        self.timeout_ns = min(self.timeout_ns * math.exp(gap / RECOVERY_TARGETS), self.limit_ns)
        self.proven_idle_ns *= math.exp(-gap / RECOVERY_TARGETS)
        self.answered *= retained
        self.timed_out *= retained
        self.resets *= retained
