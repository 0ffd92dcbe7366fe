"""What a gateway knows of one instance: its own traffic there, and sums that other gateways report.

Times are seconds.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from brambleusher.loadbalancing.first_byte_survival import AbandonedWaits, FirstByteSurvival
from brambleusher.loadbalancing.performance_index import MIN_COUNT, PI_GOAL, aggregate_pi

TICK_S = 0.5  # weights are recomputed so often: news is acted on within the shortest target
USE_WINDOW_S = 20.0  # of throughput and utilisation
LATENCY_WINDOW_S = 4.0
HEALTH_WINDOW_S = 6.0  # of successes and failures
HEALTH_POWER = 6  # of the served share: an instance that fails two in five is next to no use to anyone
OWN_EVIDENCE = 2.0  # times as much as others': a gateway may be cut off from what they reach
PRIOR_SUCCESSES = 1.0  # that an instance without a history is credited with
MAX_AGE_RATIO = 4.0  # the most that one unanswered attempt says, in latency targets
PRIORITIES = 10
SLOT_HEADROOM = 1.25  # times its share of the attempts in flight that an instance may hold
LOAD_WINDOW_S = 3.0  # a reported load counts less and less; after so long about a third
MIN_LOAD_WEIGHT = 0.3  # of one fresh report: with less the estimate from attempts is better
MAX_LOAD = 2.0  # of the slots: what one report may claim
UNLOADED_FAILURES = 0.5  # with more failures lately, latencies are not those of an unloaded spell
MIN_LATENCY_TARGET_S = 0.01
# Abandoned waits that a sound instance leaves unanswered once in a million times are those of a hung one: a
# new chance is taken after each answer, some thousand times an hour.
HUNG_LOG_SURVIVAL = math.log(1e-6)


class ObservedTotals(NamedTuple):
    """Sums over gateways, in the order in which they are exchanged."""

    served: float = 0.0
    failed: float = 0.0
    in_use: float = 0.0
    answers: float = 0.0
    latency_ratios: float = 0.0  # latencies over their targets
    requests_per_s: float = 0.0
    weighted_load: float = 0.0  # reported loads times their weights
    load_weight: float = 0.0


NO_TOTALS = ObservedTotals()


def totals_from(reported: Sequence[float]) -> ObservedTotals:
    """Return what other gateways sent: an older version sends no loads, a newer one may send more."""
    return ObservedTotals(*(*reported, *NO_TOTALS[len(reported) :])[: len(NO_TOTALS)])


class InFlight(NamedTuple):
    """An attempt in flight."""

    priority: int
    sent_s: float
    target_s: float  # infinite once its answer has begun: its wait is over, its slot is not


class AbandonedWait(NamedTuple):
    """A wait for the first byte of an answer that ended because the client left."""

    sent_s: float
    ended_s: float
    target_s: float

    @property
    def ratio(self) -> float:
        """How long it took, over the target."""
        return (self.ended_s - self.sent_s) / self.target_s


def _zeros() -> list[float]:
    return [0.0] * PRIORITIES


@dataclass(slots=True)
class InstanceMetrics:
    """Estimators of one instance, its weight and its tokens."""

    name: str
    capacity: float  # slots
    in_flight: dict[int, InFlight] = field(default_factory=dict)  # by the attempt's number
    requests_per_s: float = 0.0
    mean_in_flight: float = 0.0
    observed_s: float = 0.0  # history within the window
    served_since_tick: int = 0
    # By priority.
    latency_counts: list[float] = field(default_factory=_zeros)
    latency_ratio_totals: list[float] = field(default_factory=_zeros)
    served: float = PRIOR_SUCCESSES
    failed: float = 0.0
    last_response_s: float = -math.inf  # when an answer began last
    abandoned_wait: AbandonedWait | None = None  # the longest lately, over its target
    abandoned_waits: AbandonedWaits = field(default_factory=AbandonedWaits)
    unloaded_index: float = 0.0  # of the last unloaded spell, which counts where nothing is recent
    load: float = 0.0  # that the instance reported last, as a part of its slots
    load_weight: float = 0.0  # 1 for a report of this moment, less for an older one
    others: ObservedTotals = NO_TOTALS  # of the other gateways
    weight: float = 0.0
    tokens: int = 0
    token_credit: float = 0.0  # the fraction of a token that a load carries over

    def health(self) -> float:
        """Return the served share of recent attempts, of all gateways, as what the instance is good for."""
        served = self.served * OWN_EVIDENCE + self.others.served
        failed = self.failed * OWN_EVIDENCE + self.others.failed
        return float((served / (served + failed)) ** HEALTH_POWER)

    def performance_index(self, now: float) -> float:
        """Return latency over target, with the age of attempts in flight: a hung instance sends no answers.

        Open case of the design: a hung instance with figures that are old and good.  Where nothing at all was
        answered since an attempt was sent, its age over the target is the index, whatever the mean says.
        """
        index, count = self._answered_index()
        total = index * count
        seen = count
        for _, sent_s, target_s in self.in_flight.values():
            ratio = min((now - sent_s) / target_s, MAX_AGE_RATIO)
            if ratio > max(index, PI_GOAL):
                total += ratio
                seen += 1
        return max(total / seen, self.unresponsive_ratio(now))

    def _answered_index(self) -> tuple[float, float]:
        """Return the index of answers, of all gateways, and the count it rests on."""
        means = [
            total / count if count > MIN_COUNT else 0.0
            for total, count in zip(self.latency_ratio_totals, self.latency_counts, strict=True)
        ]
        index, count = aggregate_pi(means, self.latency_counts, range(PRIORITIES))
        if self.others.answers > 0:
            answers = count * OWN_EVIDENCE + self.others.answers
            index = (index * count * OWN_EVIDENCE + self.others.latency_ratios) / answers
            count = answers
        if count <= MIN_COUNT:
            return self.unloaded_index, 1.0
        return index, count

    def unresponsive_ratio(self, now: float) -> float:
        """Return the age over its target of the oldest attempt since which nothing at all was answered."""
        ages = [
            (now - sent_s) / target_s
            for _, sent_s, target_s in self.in_flight.values()
            if sent_s > self.last_response_s
        ]
        abandoned = self._current_abandoned_wait(now)
        if abandoned is not None:
            ages.append(abandoned.ratio)
        if self._is_hung_by_abandoned_waits(now):
            return MAX_AGE_RATIO
        return min(max(ages, default=0.0), MAX_AGE_RATIO)

    def _is_hung_by_abandoned_waits(self, now: float) -> bool:
        """Return whether clients left too often, one after the other, without an answer to any of them.

        It holds for a while after the last of them: then the next request shows whether it is still so.
        """
        waits = self.abandoned_waits
        return waits.log_survival <= HUNG_LOG_SURVIVAL and now - waits.last_ended_s <= LATENCY_WINDOW_S

    def record_answer(self, now: float, first_bytes: FirstByteSurvival) -> None:
        """Take in that an answer has begun: the instance does not hang, its abandoned waits were usual."""
        self.last_response_s = now
        for ratio in self.abandoned_waits.clear():
            first_bytes.record_abandoned(ratio)

    def abandon(self, attempt: int, now: float, first_bytes: FirstByteSurvival) -> None:
        """End an attempt whose client has left: what is known is that its answer had not begun.

        Race: a client that leaves takes the attempt with it that would have shown a hung instance.
        """
        _, sent_s, target_s = self.in_flight.pop(attempt)
        if math.isinf(target_s):
            return
        wait, longest = AbandonedWait(sent_s, now, target_s), self._current_abandoned_wait(now)
        if sent_s > self.last_response_s:
            log_survival = math.log(first_bytes.survival(wait.ratio))
            self.abandoned_waits.add(sent_s, now, wait.ratio, log_survival)
        if longest is None or wait.ratio >= longest.ratio:
            self.abandoned_wait = wait

    def _current_abandoned_wait(self, now: float) -> AbandonedWait | None:
        """Return the longest abandoned wait, as long as nothing was answered since it began."""
        wait = self.abandoned_wait
        if wait is None or wait.sent_s <= self.last_response_s or now - wait.ended_s > LATENCY_WINDOW_S:
            return None
        return wait

    def has_slot(self, in_flight: int, weight_sum: float) -> bool:
        """Return whether its share of `in_flight` attempts is within its weight, out of `weight_sum`."""
        if weight_sum <= 0:
            return True
        return len(self.in_flight) < SLOT_HEADROOM * in_flight * self.weight / weight_sum + 1

    def utilisation(self, gateways: float, reporters: int) -> float | None:
        """Return the part of its capacity in use: as it reports, else as its gateways' attempts say.

        All gateways count as like those that reported.  None without figures.
        """
        load_weight = self.load_weight + self.others.load_weight
        if load_weight >= MIN_LOAD_WEIGHT:
            return min(1.0, (self.load * self.load_weight + self.others.weighted_load) / load_weight)
        if self.observed_s < TICK_S:
            return None
        in_use = (self.mean_in_flight + self.others.in_use) * gateways / (reporters + 1)
        return min(1.0, in_use / self.capacity)

    def observed(self) -> list[float]:
        """Return what this gateway saw, for the others: the fields of `ObservedTotals`."""
        totals = ObservedTotals(
            served=self.served - PRIOR_SUCCESSES,
            failed=self.failed,
            in_use=self.mean_in_flight,
            answers=sum(self.latency_counts),
            latency_ratios=sum(self.latency_ratio_totals),
            requests_per_s=self.requests_per_s,
            weighted_load=self.load * self.load_weight,
            load_weight=self.load_weight,
        )
        return [round(max(0.0, each), 2) for each in totals]

    def decay(self, gap_s: float) -> None:
        """Forget a part of everything, and take in what ended since the last tick."""
        retained = math.exp(-gap_s / USE_WINDOW_S)
        self.requests_per_s = self.requests_per_s * retained + (self.served_since_tick / gap_s) * (
            1 - retained
        )
        self.mean_in_flight = self.mean_in_flight * retained + len(self.in_flight) * (1 - retained)
        self.observed_s = min(USE_WINDOW_S, self.observed_s + gap_s)
        self.served_since_tick = 0
        self.load_weight *= math.exp(-gap_s / LOAD_WINDOW_S)
        if sum(self.latency_counts) >= 1 and not self.failed > UNLOADED_FAILURES:
            self.unloaded_index = min(PI_GOAL, sum(self.latency_ratio_totals) / sum(self.latency_counts))
        latency_retained = math.exp(-gap_s / LATENCY_WINDOW_S)
        self.latency_counts = [count * latency_retained for count in self.latency_counts]
        self.latency_ratio_totals = [total * latency_retained for total in self.latency_ratio_totals]
        health_retained = math.exp(-gap_s / HEALTH_WINDOW_S)
        self.served = max(PRIOR_SUCCESSES, self.served * health_retained)
        self.failed *= health_retained
