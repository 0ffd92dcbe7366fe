"""How many answers have not begun after a wait of some length, where clients may leave before; pure.

A client that leaves ends the wait for the first byte of its answer: all that is known is that the wait would
have been longer (a right-censored observation).  The share of answers that take longer than a wait is
estimated with these observations in it, as a product of one hazard for each interval of lengths.  Waits are
measured in latency targets, so that requests of several kinds count together; old evidence fades.

Source: Kaplan and Meier, "Nonparametric estimation from incomplete observations" (1958).
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field

# Ends of the intervals, in latency targets.
ENDS = (0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.5, 0.6, 0.8, 1.0, 1.5, 2.0, 3.0, 4.0)
MIN_ANSWERS = 10.0  # with fewer nothing is known, and every wait is as usual as any other
MAX_WAITS = 256.0  # beyond, the oldest fade
MIN_SURVIVAL = 0.05  # what one wait can say at the most: answers that are rarer than this were hardly seen


@dataclass(slots=True)
class FirstByteSurvival:
    """Estimate of the share of answers that begin later than some wait."""

    waiting: list[float] = field(default_factory=lambda: [0.0] * len(ENDS))  # waits that reached an interval
    answered: list[float] = field(
        default_factory=lambda: [0.0] * len(ENDS)
    )  # of them, ended in it by an answer
    waits: float = 0.0
    answers: float = 0.0

    def record_answer(self, ratio: float) -> None:
        """Take in an answer that began after so many latency targets."""
        at = min(bisect_left(ENDS, ratio), len(ENDS) - 1)
        for index in range(at + 1):
            self.waiting[index] += 1.0
        self.answered[at] += 1.0
        self.answers += 1.0
        self._count()

    def record_abandoned(self, ratio: float) -> None:
        """Take in a wait that its client ended after so many latency targets."""
        for index in range(bisect_right(ENDS, ratio)):
            self.waiting[index] += 1.0
        self._count()

    def survival(self, ratio: float) -> float:
        """Return the share of answers that begin later than this, `MIN_SURVIVAL` at the least."""
        if self.answers < MIN_ANSWERS:
            return 1.0
        share = 1.0
        for index in range(bisect_right(ENDS, ratio)):
            if self.waiting[index] > 0.0:
                share *= 1.0 - self.answered[index] / self.waiting[index]
        return max(share, MIN_SURVIVAL)

    def _count(self) -> None:
        self.waits += 1.0
        if self.waits > MAX_WAITS:
            self.waiting = [value / 2 for value in self.waiting]
            self.answered = [value / 2 for value in self.answered]
            self.waits /= 2
            self.answers /= 2


@dataclass(slots=True)
class AbandonedWaits:
    """The waits for one instance that clients ended, since it last answered anything.

    Waits that overlap may have one cause, such as one long prompt: only waits that follow each other count.
    """

    log_survival: float = 0.0  # of all that count together, were the instance sound
    last_ended_s: float = float("-inf")
    ratios: list[float] = field(default_factory=list)  # of all of them, in latency targets

    def add(self, sent_s: float, ended_s: float, ratio: float, log_survival: float) -> None:
        """Take in a wait; waits come in the order in which they end."""
        if len(self.ratios) < MAX_WAITS:
            self.ratios.append(ratio)
        if sent_s >= self.last_ended_s:
            self.log_survival += log_survival
            self.last_ended_s = ended_s

    def clear(self) -> list[float]:
        """Forget them, since the instance has answered; return their ratios."""
        ratios, self.ratios = self.ratios, []
        self.log_survival = 0.0
        return ratios
