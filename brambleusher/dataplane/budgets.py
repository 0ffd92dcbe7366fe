"""Bounds that hold in sum over all gateways, as each keeps its part of them; pure, times in seconds."""

from __future__ import annotations

import hashlib

RETRY_PART = 0.4  # of the common slack that is shared out: gateways may be miscounted
RETRY_RATIO_PART = 0.5
COLD_PART = 0.7
COLD_GATEWAYS_PART = (
    1 / 3
)  # of the rate of a cold instance: so many gateways use it, each with a burst of one
CONNECTION_PART = 0.8


class TokenBucket:
    """So many a second, and a burst."""

    __slots__ = ("_at", "_burst", "_tokens")

    def __init__(self, burst: float, now: float) -> None:
        self._burst, self._tokens, self._at = burst, burst, now

    def resize(self, burst: float) -> None:
        """Change the bound; what is left never exceeds it."""
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def earn(self, tokens: float) -> None:
        """Add tokens beside the steady rate."""
        self._tokens = min(self._burst, self._tokens + tokens)

    def take(self, rate: float, now: float) -> bool:
        """Take one token where there is one."""
        self._tokens = min(self._burst, self._tokens + rate * max(0.0, now - self._at))
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RetryBudget:
    """Arrivals past the first of each request at one service, of this gateway."""

    def __init__(self, ratio: float, slack: float, window_s: float, gateways: float, now: float) -> None:
        self._ratio, self._slack, self._window = ratio, slack, window_s
        self._burst = self._part_of(gateways)
        self._bucket = TokenBucket(self._burst, now)

    def share_among(self, gateways: float) -> None:
        """So many gateways share the slack."""
        self._burst = self._part_of(gateways)
        self._bucket.resize(self._burst)

    def _part_of(self, gateways: float) -> float:
        return max(1.0, self._slack * RETRY_PART / max(gateways, 1.0))

    def request(self) -> None:
        """A request of a client: it earns a part of a retry."""
        self._bucket.earn(self._ratio * RETRY_RATIO_PART)

    def take(self, now: float) -> bool:
        """Whether one more retry keeps within the budget."""
        return self._bucket.take(self._burst / self._window, now)


class ColdBudget:
    """Sends to one cold instance, of this gateway."""

    def __init__(self, instance: str, now: float) -> None:
        digest = hashlib.blake2b(instance.encode(), digest_size=8).digest()
        self._lot = int.from_bytes(digest, "big")
        self._bucket = TokenBucket(1.0, now)

    def take(self, rate_per_s: float, rank: int, gateways: int, now: float) -> bool:
        """Whether one more send keeps within this gateway's part; `rank` is its place among all gateways.

        Each gateway may send one at once; were there as many gateways as the rate allows sends, that
        alone would break the bound.  So only some gateways use a cold instance, others for each.
        """
        users = min(gateways, max(1, int(rate_per_s * COLD_GATEWAYS_PART)))
        if (rank + self._lot) % max(gateways, 1) >= users:
            return False
        return self._bucket.take(rate_per_s * COLD_PART / users, now)


def connections_of(limit: int, gateways: float) -> int:
    """How many connections to one instance this gateway may hold."""
    return max(1, int(limit * CONNECTION_PART / max(gateways, 1.0)))
