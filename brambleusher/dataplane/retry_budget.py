"""The retry budget of a service: each gateway uses its fraction of a bound on all gateways together.

This module does no I/O; times are in seconds.
"""

from __future__ import annotations

from brambleusher.dataplane.token_bucket import TokenBucket

SLACK_FRACTION = 0.4  # part of the common slack that is divided among gateways, as they may be miscounted
RATIO_FRACTION = 0.5  # part of the allowed retries per request that this gateway uses, for the same reason


class RetryBudget:
    """Limits the retries (attempts after the first of each request) to one service at this gateway."""

    def __init__(self, ratio: float, slack: float, window_s: float, gateways: float, now_s: float) -> None:
        """Create a budget; all gateways may make `ratio` retries per request plus `slack` per window."""
        self._ratio, self._slack, self._window_s = ratio, slack, window_s
        self._burst = self._own_slack(gateways)
        self._bucket = TokenBucket(self._burst, now_s)

    def set_gateway_count(self, gateways: float) -> None:
        """Divide the slack among the given number of gateways."""
        self._burst = self._own_slack(gateways)
        self._bucket.resize(self._burst)

    def _own_slack(self, gateways: float) -> float:
        return max(1.0, self._slack * SLACK_FRACTION / max(gateways, 1.0))

    def record_request(self) -> None:
        """Add a fraction of a retry to the budget for a client's request."""
        self._bucket.add(self._ratio * RATIO_FRACTION)

    def take(self, now_s: float) -> bool:
        """Take one retry; return whether the budget allowed it."""
        return self._bucket.take(self._burst / self._window_s, now_s)
