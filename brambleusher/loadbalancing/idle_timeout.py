"""Learned idle timeout: how long a connection may have been idle and still be used for an attempt.

Connections may be dropped unnoticed while idle, and the next request on such a connection is lost. Pure:
times are in nanoseconds, elapsed times in latency targets.
"""

from __future__ import annotations

import math

from brambleusher.loadbalancing.api import AttemptStatus

# The timeout is set to this fraction of the idle time of a lost connection. With a larger fraction, the next
# loss would teach little.
DECREASE_FACTOR = 0.7
# Recovery time constant in latency targets; slow, since each longer idle time may cost a request.
RECOVERY_TARGETS = 32.0
# Fraction of the answered attempts; up to one reset more than that is not blamed on idle times.
RANDOM_RESET_FRACTION = 0.05


class IdleTimeout:
    """Idle timeout of one proxy, common to its connections to all hosts."""

    def __init__(self, limit_ns: float = math.inf, min_ns: float = 0.0) -> None:
        """Initialize the timeout to the limit.

        Args:
            limit_ns: Idle time after which hosts close a connection.
            min_ns: Lower bound of the timeout.
        """
        self.limit_ns = limit_ns
        self.min_ns = min_ns
        self.timeout_ns = limit_ns
        # Decaying counts of attempts on connections that were idle for longer than `min_ns`.
        self.answered = self.timed_out = self.resets = 0.0
        self.proven_idle_ns = 0.0  # longest recent idle time, decaying, after which a connection still worked

    @property
    def is_reduced(self) -> bool:
        """Whether the timeout is below the limit set by hosts."""
        return self.timeout_ns < self.limit_ns

    def record_attempt(self, status: AttemptStatus, idle_ns: int) -> bool:
        """Record the outcome of an attempt on an idle connection.

        A reset indicates a dropped connection, unless resets are rare and a connection that was idle for
        longer has worked recently: with little traffic, a single random reset would otherwise make most
        requests open new connections. A timeout may be due to a busy host; it indicates a dropped connection
        only if most recent attempts on idle connections timed out.

        Returns:
            Whether the failure is attributed to the idle connection rather than to its host.
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
        is_chance = idle_ns < self.proven_idle_ns and self.resets <= 1 + self.answered * RANDOM_RESET_FRACTION
        return not is_chance

    def recover(self, elapsed: float, retained: float) -> None:
        """Let the timeout recover over `elapsed` latency targets, and scale the counts by `retained`."""
        self.timeout_ns = min(self.timeout_ns * math.exp(elapsed / RECOVERY_TARGETS), self.limit_ns)
        self.proven_idle_ns *= math.exp(-elapsed / RECOVERY_TARGETS)
        self.answered *= retained
        self.timed_out *= retained
        self.resets *= retained
