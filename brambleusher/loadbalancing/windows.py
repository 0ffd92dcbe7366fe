"""Windows of the estimators, and how they forget.

The unit is the shortest latency target of the settings: the time in which a decision has to pay off.  All
estimators are exponentially weighted: what is older than a window counts for less than 1/e.
"""

from __future__ import annotations

import math
from typing import NamedTuple

NS_PER_S = 1e9

UTILISATION_WINDOW = 1.0
LATENCY_WINDOW = 2.0
HEALTH_WINDOW = 4.0
CAPACITY_WINDOW = 10.0  # slow: capacity is a property of the host, and the quotient is noisy
BEST_RATE_WINDOW = 64.0  # overload can last for tens of targets; also between two log lines


class Decay(NamedTuple):
    """What is kept of counts after some time, by window."""

    gap: float  # the time, in targets
    latency: float
    health: float
    capacity: float

    @classmethod
    def after(cls, gap: float) -> Decay:
        """Return the factors for a time in targets."""
        return cls(
            gap,
            math.exp(-gap / LATENCY_WINDOW),
            math.exp(-gap / HEALTH_WINDOW),
            math.exp(-gap / CAPACITY_WINDOW),
        )
