"""How soon waiting connections bring a request: hazards by age, and the value of waiting on.

What connections of one kind did lately is kept as a table of hazards (requests for each second waited; the
discrete form of the Kaplan-Meier estimate, with old evidence fading).  The value of a connection is the
Gittins index of its wait: the most requests for each second that any stopping time gives.

Source: Gittins, "Bandit processes and dynamic allocation indices" (1979).
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import pairwise

# Ages of a wait, in seconds: hazards are taken as even between two of them.
AGES_S = (0.0, 0.005, 0.01, 0.02, 0.04, 0.08, 0.15, 0.25, 0.4, 0.6, 0.9, 1.3, 1.8, 2.4)
LAST_INTERVAL_S = 1.0  # what the interval after the last age counts as
# The weight of what is assumed: a request a second, or less if that holds of the age before.
PRIOR_S = 0.5
MAX_ASSUMED_HAZARD = 1.0  # requests a second
MAX_EVIDENCE = 256.0  # waits; beyond, the oldest fade

_ENDS_S = (*AGES_S[1:], math.inf)
_LENGTHS_S = (*(end - begin for begin, end in pairwise(AGES_S)), LAST_INTERVAL_S)


def age_index(age_s: float) -> int:
    """Return the index of the interval of ages that an age is in."""
    return bisect_right(AGES_S, age_s) - 1


def add_wait(seconds: list[float], age_s: float) -> None:
    """Add a wait of so long to the seconds waited, age by age."""
    for index, begin in enumerate(AGES_S):
        if age_s <= begin:
            break
        seconds[index] += min(age_s, _ENDS_S[index]) - begin


@dataclass(slots=True)
class WaitStatistics:
    """What connections of one kind did: seconds waited and requests, age by age."""

    waited_s: list[float] = field(default_factory=lambda: [0.0] * len(AGES_S))
    requests: list[float] = field(default_factory=lambda: [0.0] * len(AGES_S))
    waits: float = 0.0

    def record(self, age_s: float, has_request: bool) -> None:
        """Take in that a wait has ended at this age, by a request or otherwise."""
        add_wait(self.waited_s, age_s)
        if has_request:
            self.requests[age_index(age_s)] += 1.0
        self.waits += 1.0
        if self.waits > MAX_EVIDENCE:
            self.waited_s = [value / 2 for value in self.waited_s]
            self.requests = [value / 2 for value in self.requests]
            self.waits /= 2

    def values(self, current_s: Sequence[float]) -> list[float]:
        """Return the Gittins index by age, in requests a second.

        Args:
            current_s: Seconds of the waits that have not ended yet, age by age.
        """
        hazards = self._hazards(current_s)
        return [_best_rate(hazards, start) for start in range(len(AGES_S))]

    def _hazards(self, current_s: Sequence[float]) -> list[float]:
        hazards, usual = [], MAX_ASSUMED_HAZARD
        for index, length in enumerate(_LENGTHS_S):
            assumed = PRIOR_S * length
            requests = self.requests[index] + min(usual, MAX_ASSUMED_HAZARD) * assumed
            usual = requests / (self.waited_s[index] + current_s[index] + assumed)
            hazards.append(usual)
        return hazards


def _best_rate(hazards: Sequence[float], start: int) -> float:
    """Return the most requests for each second waited, over all stopping times, from an age on."""
    waiting, requests, seconds, best = 1.0, 0.0, 0.0, 0.0
    for index in range(start, len(hazards)):
        ending = waiting * -math.expm1(-hazards[index] * _LENGTHS_S[index])
        requests += ending
        seconds += ending / hazards[index]
        waiting -= ending
        best = max(best, requests / seconds)
    return best
