"""The request budget of an instance that is warming up (slow start); no I/O, times in seconds."""

from __future__ import annotations

import hashlib

from brambleusher.dataplane.token_bucket import TokenBucket

RATE_FRACTION = 0.7  # part of the allowed rate that all gateways use together, as they may be miscounted
GATEWAYS_PER_RATE = 1 / 3  # gateways per request/s that use a warming instance; each adds a burst of 1


class WarmUpBudget:
    """Limits this gateway's attempts at one instance that is warming up."""

    def __init__(self, instance_id: str, now_s: float) -> None:
        digest = hashlib.blake2b(instance_id.encode(), digest_size=8).digest()
        self._rank_offset = int.from_bytes(digest, "big")
        self._bucket = TokenBucket(1.0, now_s)

    def take(self, rate_per_s: float, gateway_rank: int, gateways: int, now_s: float) -> bool:
        """Take one attempt; return whether it is within this gateway's fraction of the rate.

        Each gateway may send one attempt at once.  With as many gateways as allowed requests per second,
        these bursts alone would exceed the bound, so only some gateways use a warming instance, and each
        instance has different ones.

        Args:
            rate_per_s: The bound on the requests per second of all gateways together.
            gateway_rank: The position of this gateway among all gateways, sorted by name.
            gateways: The number of gateways.
            now_s: The current time of the scheduler in seconds.
        """
        users = min(gateways, max(1, int(rate_per_s * GATEWAYS_PER_RATE)))
        if (gateway_rank + self._rank_offset) % max(gateways, 1) >= users:
            return False
        return self._bucket.take(rate_per_s * RATE_FRACTION / users, now_s)
