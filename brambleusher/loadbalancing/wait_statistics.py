"""Statistics of how soon waiting connections bring a request, and the value of keeping them.

The recent waits of connections of one kind are kept as a table of hazards: requests per second waited, by age
(the discrete form of the Kaplan-Meier estimate, with old evidence decaying). The value of a connection is the
Gittins index of its wait: the highest rate of requests per second waited that any stopping time achieves.

Source: Gittins, "Bandit processes and dynamic allocation indices" (1979).
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import pairwise

# Ages of a wait, in seconds; hazards are assumed to be constant between two ages.
AGES_S = (0.0, 0.005, 0.01, 0.02, 0.04, 0.08, 0.15, 0.25, 0.4, 0.6, 0.9, 1.3, 1.8, 2.4)
LAST_INTERVAL_S = 1.0  # assumed length, in seconds, of the interval after the last age
# Weight of the prior in seconds waited. The prior hazard is that of the previous interval, at most
# `MAX_ASSUMED_HAZARD`.
PRIOR_S = 0.5
MAX_ASSUMED_HAZARD = 1.0  # requests per second
MAX_EVIDENCE = 256.0  # number of waits at which the counts are halved

_ENDS_S = (*AGES_S[1:], math.inf)
_LENGTHS_S = (*(end - begin for begin, end in pairwise(AGES_S)), LAST_INTERVAL_S)


def age_index(age_s: float) -> int:
    """Return the index of the interval that contains an age."""
    return bisect_right(AGES_S, age_s) - 1


def add_wait(seconds: list[float], age_s: float) -> None:
    """Add a wait of `age_s` seconds to the seconds waited in each age interval."""
    for index, begin in enumerate(AGES_S):
        if age_s <= begin:
            break
        seconds[index] += min(age_s, _ENDS_S[index]) - begin


@dataclass(slots=True)
class WaitStatistics:
    """Seconds waited and requests of connections of one kind, by age interval."""

    waited_s: list[float] = field(default_factory=lambda: [0.0] * len(AGES_S))
    requests: list[float] = field(default_factory=lambda: [0.0] * len(AGES_S))
    waits: float = 0.0

    def record(self, age_s: float, has_request: bool) -> None:
        """Record that a wait has ended at this age, by a request or otherwise."""
        add_wait(self.waited_s, age_s)
        if has_request:
            self.requests[age_index(age_s)] += 1.0
        self.waits += 1.0
        if self.waits > MAX_EVIDENCE:
            self.waited_s = [value / 2 for value in self.waited_s]
            self.requests = [value / 2 for value in self.requests]
            self.waits /= 2

    def values(self, current_s: Sequence[float]) -> list[float]:
        """Return the Gittins index by age interval, in requests per second.

        Args:
            current_s: Seconds of the waits in progress, by age interval.
        """
        hazards = self._hazards(current_s)
        return [_best_rate(hazards, start) for start in range(len(AGES_S))]

    def _hazards(self, current_s: Sequence[float]) -> list[float]:
        hazards, hazard = [], MAX_ASSUMED_HAZARD
        for index, length in enumerate(_LENGTHS_S):
            prior_s = PRIOR_S * length
            requests = self.requests[index] + min(hazard, MAX_ASSUMED_HAZARD) * prior_s
            hazard = requests / (self.waited_s[index] + current_s[index] + prior_s)
            hazards.append(hazard)
        return hazards


def _best_rate(hazards: Sequence[float], start: int) -> float:
    """Return the highest rate of requests per second waited, over all stopping times, from an age on."""
    waiting, requests, seconds, best = 1.0, 0.0, 0.0, 0.0
    for index in range(start, len(hazards)):
        ending = waiting * -math.expm1(-hazards[index] * _LENGTHS_S[index])
        requests += ending
        seconds += ending / hazards[index]
        waiting -= ending
        best = max(best, requests / seconds)
    return best
