"""A token bucket without I/O; times are in seconds."""

from __future__ import annotations


class TokenBucket:
    """Allows a given rate of events per second with a bounded burst."""

    __slots__ = ("_burst", "_tokens", "_updated_at_s")

    def __init__(self, burst: float, now_s: float) -> None:
        self._burst, self._tokens, self._updated_at_s = burst, burst, now_s

    def resize(self, burst: float) -> None:
        """Change the burst; tokens beyond the new burst are dropped."""
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def add(self, tokens: float) -> None:
        """Add tokens in addition to the steady rate, up to the burst."""
        self._tokens = min(self._burst, self._tokens + tokens)

    def take(self, rate_per_s: float, now_s: float) -> bool:
        """Refill at the given rate and take one token; return whether a token was available."""
        self._tokens = min(self._burst, self._tokens + rate_per_s * max(0.0, now_s - self._updated_at_s))
        self._updated_at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
