"""The request budget of an instance that is warming up (slow start); pure, times in seconds."""

from __future__ import annotations

import hashlib

from brambleusher.dataplane.token_bucket import TokenBucket

RATE_FRACTION = 0.7  # of the allowed rate that gateways use: they may be miscounted
GATEWAYS_PER_RATE = 1 / 3  # gateways that use a warming instance, per request/s: each adds a burst of one


class WarmUpBudget:
    """Bounds this gateway's attempts at one instance that is warming up."""

    def __init__(self, instance_id: str, now_s: float) -> None:
        digest = hashlib.blake2b(instance_id.encode(), digest_size=8).digest()
        self._rank_offset = int.from_bytes(digest, "big")
        self._bucket = TokenBucket(1.0, now_s)

    def take(self, rate_per_s: float, gateway_rank: int, gateways: int, now_s: float) -> bool:
        """Take one attempt; whether it keeps within this gateway's fraction of the rate.

        Each gateway may send one attempt at once; with as many gateways as the rate allows requests, that
        alone would break the bound.  So only some gateways use a warming instance, others for each.

        Args:
            rate_per_s: The bound on all gateways together.
            gateway_rank: The position of this gateway in the order of all gateways' names.
            gateways: How many gateways there are.
            now_s: The time of the scheduler.
        """
        users = min(gateways, max(1, int(rate_per_s * GATEWAYS_PER_RATE)))
        if (gateway_rank + self._rank_offset) % max(gateways, 1) >= users:
            return False
        return self._bucket.take(rate_per_s * RATE_FRACTION / users, now_s)
