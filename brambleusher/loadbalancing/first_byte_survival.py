"""Survival function of the wait for an answer's first byte, where clients may leave before it; pure.

A client that leaves ends the wait for the first byte: only a lower bound of its length is known (a
right-censored observation). The fraction of answers that take longer than a wait is estimated from all waits,
including these, as a product with one hazard per interval of lengths. Waits are measured in latency targets,
so that requests of different kinds can be combined; old evidence decays.

Source: Kaplan and Meier, "Nonparametric estimation from incomplete observations" (1958).
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field

# Upper bounds of the intervals, in latency targets.
INTERVAL_ENDS = (0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.5, 0.6, 0.8, 1.0, 1.5, 2.0, 3.0, 4.0)
MIN_ANSWERS = 10.0  # with fewer answers nothing is known and the survival function is 1
MAX_WAITS = 256.0  # number of waits at which the counts are halved
MIN_SURVIVAL = 0.05  # lower bound of the estimate, since rarer answers have hardly been observed


@dataclass(slots=True)
class FirstByteSurvival:
    """Estimates the fraction of answers that begin later than a given wait."""

    # Waits that reached each interval.
    waiting: list[float] = field(default_factory=lambda: [0.0] * len(INTERVAL_ENDS))
    # Waits that ended by an answer in each interval.
    answered: list[float] = field(default_factory=lambda: [0.0] * len(INTERVAL_ENDS))
    waits: float = 0.0
    answers: float = 0.0

    def record_answer(self, ratio: float) -> None:
        """Record an answer that began after `ratio` latency targets."""
        reached = min(bisect_left(INTERVAL_ENDS, ratio), len(INTERVAL_ENDS) - 1)
        for index in range(reached + 1):
            self.waiting[index] += 1.0
        self.answered[reached] += 1.0
        self.answers += 1.0
        self._count()

    def record_abandoned(self, ratio: float) -> None:
        """Record a wait that its client ended after `ratio` latency targets."""
        for index in range(bisect_right(INTERVAL_ENDS, ratio)):
            self.waiting[index] += 1.0
        self._count()

    def survival(self, ratio: float) -> float:
        """Return the fraction of answers that begin later than `ratio` targets, at least `MIN_SURVIVAL`."""
        if self.answers < MIN_ANSWERS:
            return 1.0
        fraction = 1.0
        for index in range(bisect_right(INTERVAL_ENDS, ratio)):
            if self.waiting[index] > 0.0:
                fraction *= 1.0 - self.answered[index] / self.waiting[index]
        return max(fraction, MIN_SURVIVAL)

    def _count(self) -> None:
        self.waits += 1.0
        if self.waits > MAX_WAITS:
            self.waiting = [value / 2 for value in self.waiting]
            self.answered = [value / 2 for value in self.answered]
            self.waits /= 2
            self.answers /= 2


@dataclass(slots=True)
class AbandonedWaits:
    """The waits at one instance that clients ended since its last answer.

    Overlapping waits may have a common cause, such as one long prompt, so only consecutive waits are counted.
    """

    log_survival: float = 0.0  # log probability of the counted waits if the instance were healthy
    last_ended_s: float = float("-inf")
    # Lengths of all waits in latency targets, including overlapping ones.
    ratios: list[float] = field(default_factory=list)

    def add(self, sent_s: float, ended_s: float, ratio: float, log_survival: float) -> None:
        """Add a wait; waits must be added in the order in which they end."""
        if len(self.ratios) < MAX_WAITS:
            self.ratios.append(ratio)
        if sent_s >= self.last_ended_s:
            self.log_survival += log_survival
            self.last_ended_s = ended_s

    def clear(self) -> list[float]:
        """Forget all waits after an answer of the instance; return their ratios."""
        ratios, self.ratios = self.ratios, []
        self.log_survival = 0.0
        return ratios
