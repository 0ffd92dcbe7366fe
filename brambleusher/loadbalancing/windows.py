"""Time windows of the estimators and their decay factors.

The unit is the shortest latency target of the settings, the time within which a decision should take effect.
All estimators are exponentially weighted: a sample older than the window counts for less than 1/e.
"""

from __future__ import annotations

import math
from typing import NamedTuple

NS_PER_S = 1e9

UTILISATION_WINDOW = 1.0
LATENCY_WINDOW = 2.0
HEALTH_WINDOW = 4.0
CAPACITY_WINDOW = 10.0  # long, since capacity is a constant of the host and the quotient is noisy
# Overload can last for tens of targets; also the minimum interval between two overload log lines.
BEST_RATE_WINDOW = 64.0


class Decay(NamedTuple):
    """Factors by which counts decay after some time, by window."""

    elapsed: float  # elapsed time in latency targets
    latency: float
    health: float
    capacity: float

    @classmethod
    def after(cls, elapsed: float) -> Decay:
        """Return the factors for an elapsed time in latency targets."""
        return cls(
            elapsed,
            math.exp(-elapsed / LATENCY_WINDOW),
            math.exp(-elapsed / HEALTH_WINDOW),
            math.exp(-elapsed / CAPACITY_WINDOW),
        )
