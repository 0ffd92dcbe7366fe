"""The retry budget of a service: each gateway keeps its fraction of a bound on all gateways together.

Pure; times are seconds.
"""

from __future__ import annotations

from brambleusher.dataplane.token_bucket import TokenBucket

SLACK_FRACTION = 0.4  # of the common slack that is shared out: gateways may be miscounted
RATIO_FRACTION = 0.5  # of the allowed retries a request that this gateway uses, for the same reason


class RetryBudget:
    """Bounds the attempts of one service past the first of each request, at this gateway."""

    def __init__(self, ratio: float, slack: float, window_s: float, gateways: float, now_s: float) -> None:
        """Take the bound on all gateways: `ratio` retries a request and `slack` retries a window."""
        self._ratio, self._slack, self._window_s = ratio, slack, window_s
        self._burst = self._own_slack(gateways)
        self._bucket = TokenBucket(self._burst, now_s)

    def set_gateway_count(self, gateways: float) -> None:
        """Share the slack among so many gateways."""
        self._burst = self._own_slack(gateways)
        self._bucket.resize(self._burst)

    def _own_slack(self, gateways: float) -> float:
        return max(1.0, self._slack * SLACK_FRACTION / max(gateways, 1.0))

    def record_request(self) -> None:
        """Earn a fraction of a retry for a client's request."""
        self._bucket.add(self._ratio * RATIO_FRACTION)

    def take(self, now_s: float) -> bool:
        """Take one retry; whether it keeps within the budget."""
        return self._bucket.take(self._burst / self._window_s, now_s)
