"""Metrics of one instance at a gateway: its own traffic, and totals reported by other gateways.

Times are in seconds.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from brambleusher.loadbalancing.first_byte_survival import AbandonedWaits, FirstByteSurvival
from brambleusher.loadbalancing.performance_index import MIN_COUNT, PI_GOAL, aggregate_pi

TICK_S = 0.5  # interval between weight updates in seconds; short enough to react within the shortest target
USE_WINDOW_S = 20.0  # time constant of throughput and utilisation, in seconds
LATENCY_WINDOW_S = 4.0
HEALTH_WINDOW_S = 6.0  # time constant of successes and failures, in seconds
# Exponent of the served fraction; an instance that fails two attempts in five is nearly useless.
HEALTH_POWER = 6
# Weight of own evidence against that of other gateways, as this gateway may be cut off from an instance.
OWN_EVIDENCE = 2.0
PRIOR_SUCCESSES = 1.0  # prior count of successes for an instance without history
MAX_AGE_RATIO = 4.0  # upper bound of an unanswered attempt's contribution, in latency targets
PRIORITIES = 10
SLOT_HEADROOM = 1.25  # factor by which an instance may exceed its share of the attempts in flight
LOAD_WINDOW_S = 3.0  # time constant, in seconds, with which the weight of a reported load decays
# Weight of reports below which the estimate from attempts is better; a fresh report has weight 1.
MIN_LOAD_WEIGHT = 0.3
MAX_LOAD = 2.0  # upper bound of a reported load, as a multiple of the slots
UNLOADED_FAILURES = 0.5  # with more recent failures, latencies do not represent an unloaded instance
MIN_LATENCY_TARGET_S = 0.01
# An instance is hung if a healthy one would leave its abandoned waits unanswered only once in a million
# times. The bound is that low because a test begins anew after each answer, some thousand times an hour.
HUNG_LOG_SURVIVAL = math.log(1e-6)


class ObservedTotals(NamedTuple):
    """Totals over gateways; the field order is the order of exchange."""

    served: float = 0.0
    failed: float = 0.0
    in_use: float = 0.0
    answers: float = 0.0
    latency_ratios: float = 0.0  # sum of latencies divided by their targets
    requests_per_s: float = 0.0
    weighted_load: float = 0.0  # sum of reported loads times their weights
    load_weight: float = 0.0


NO_TOTALS = ObservedTotals()


def totals_from(reported: Sequence[float]) -> ObservedTotals:
    """Return totals from other gateways; older versions send fewer values, newer ones may send more."""
    return ObservedTotals(*(*reported, *NO_TOTALS[len(reported) :])[: len(NO_TOTALS)])


class InFlight(NamedTuple):
    """An attempt in flight."""

    priority: int
    sent_s: float
    target_s: float  # infinite once the answer has begun: the wait is over, but the slot is still in use


class AbandonedWait(NamedTuple):
    """A wait for the first byte of an answer that ended because the client disconnected."""

    sent_s: float
    ended_s: float
    target_s: float

    @property
    def ratio(self) -> float:
        """Duration of the wait divided by the latency target."""
        return (self.ended_s - self.sent_s) / self.target_s


def _zeros() -> list[float]:
    return [0.0] * PRIORITIES


@dataclass(slots=True)
class InstanceMetrics:
    """Estimators, weight and tokens of one instance."""

    name: str
    capacity: float  # number of slots
    in_flight: dict[int, InFlight] = field(default_factory=dict)  # keyed by attempt number
    requests_per_s: float = 0.0
    mean_in_flight: float = 0.0
    observed_s: float = 0.0  # length of the history, up to `USE_WINDOW_S`
    served_since_tick: int = 0
    # Decaying counts of answers and sums of their latency ratios, by priority.
    latency_counts: list[float] = field(default_factory=_zeros)
    latency_ratio_totals: list[float] = field(default_factory=_zeros)
    served: float = PRIOR_SUCCESSES
    failed: float = 0.0
    last_response_s: float = -math.inf  # time at which the latest answer began
    abandoned_wait: AbandonedWait | None = None  # recent abandoned wait with the largest ratio
    abandoned_waits: AbandonedWaits = field(default_factory=AbandonedWaits)
    unloaded_index: float = 0.0  # index of the last unloaded period, used if there is no recent one
    load: float = 0.0  # load reported last, as a fraction of the slots
    load_weight: float = 0.0  # 1 for a fresh report, decaying with its age
    others: ObservedTotals = NO_TOTALS  # totals of the other gateways
    weight: float = 0.0
    tokens: int = 0
    token_credit: float = 0.0  # fraction of a token carried over to the next load

    def health(self) -> float:
        """Return the served fraction of all gateways' recent attempts, raised to `HEALTH_POWER`."""
        served = self.served * OWN_EVIDENCE + self.others.served
        failed = self.failed * OWN_EVIDENCE + self.others.failed
        return float((served / (served + failed)) ** HEALTH_POWER)

    def performance_index(self, now: float) -> float:
        """Return the ratio of latency to target, including the age of attempts in flight.

        A hung instance sends no answers, so its old metrics remain good. If nothing was answered since an
        attempt was sent, the age of that attempt divided by its target is a lower bound of the index.
        """
        index, count = self._answered_index()
        total = index * count
        weighted_count = count
        for _, sent_s, target_s in self.in_flight.values():
            ratio = min((now - sent_s) / target_s, MAX_AGE_RATIO)
            if ratio > max(index, PI_GOAL):
                total += ratio
                weighted_count += 1
        return max(total / weighted_count, self.unresponsive_ratio(now))

    def _answered_index(self) -> tuple[float, float]:
        """Return the performance index of all gateways' answers and the count on which it is based."""
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
        """Return the largest age-to-target ratio of attempts since whose sending nothing was answered."""
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
        """Return whether too many clients in sequence disconnected without receiving an answer.

        The result stays true for `LATENCY_WINDOW_S` after the last of these waits; then the next request
        shows whether the instance still hangs.
        """
        waits = self.abandoned_waits
        return waits.log_survival <= HUNG_LOG_SURVIVAL and now - waits.last_ended_s <= LATENCY_WINDOW_S

    def record_answer(self, now: float, first_bytes: FirstByteSurvival) -> None:
        """Record that an answer has begun: the instance does not hang, so its abandoned waits were normal."""
        self.last_response_s = now
        for ratio in self.abandoned_waits.clear():
            first_bytes.record_abandoned(ratio)

    def abandon(self, attempt: int, now: float, first_bytes: FirstByteSurvival) -> None:
        """End an attempt whose client has disconnected before its answer began.

        The wait is kept as evidence, because otherwise a client that leaves would remove the very attempt
        that shows a hung instance.
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
        """Return the longest recent abandoned wait if nothing was answered since it began."""
        wait = self.abandoned_wait
        if wait is None or wait.sent_s <= self.last_response_s or now - wait.ended_s > LATENCY_WINDOW_S:
            return None
        return wait

    def has_slot(self, in_flight: int, weight_sum: float) -> bool:
        """Return whether its fraction of `in_flight` attempts is within its fraction of `weight_sum`."""
        if weight_sum <= 0:
            return True
        return len(self.in_flight) < SLOT_HEADROOM * in_flight * self.weight / weight_sum + 1

    def utilisation(self, gateways: float, reporters: int) -> float | None:
        """Return the utilisation as reported, or else as estimated from the gateways' attempts.

        The estimate assumes that all gateways resemble those that reported. None if there is no data.
        """
        load_weight = self.load_weight + self.others.load_weight
        if load_weight >= MIN_LOAD_WEIGHT:
            return min(1.0, (self.load * self.load_weight + self.others.weighted_load) / load_weight)
        if self.observed_s < TICK_S:
            return None
        in_use = (self.mean_in_flight + self.others.in_use) * gateways / (reporters + 1)
        return min(1.0, in_use / self.capacity)

    def observed(self) -> list[float]:
        """Return this gateway's totals for the other gateways, as the fields of `ObservedTotals`."""
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

    def decay(self, elapsed_s: float) -> None:
        """Decay all estimators and include the attempts that ended since the last tick."""
        retained = math.exp(-elapsed_s / USE_WINDOW_S)
        self.requests_per_s = self.requests_per_s * retained + (self.served_since_tick / elapsed_s) * (
            1 - retained
        )
        self.mean_in_flight = self.mean_in_flight * retained + len(self.in_flight) * (1 - retained)
        self.observed_s = min(USE_WINDOW_S, self.observed_s + elapsed_s)
        self.served_since_tick = 0
        self.load_weight *= math.exp(-elapsed_s / LOAD_WINDOW_S)
        if sum(self.latency_counts) >= 1 and not self.failed > UNLOADED_FAILURES:
            self.unloaded_index = min(PI_GOAL, sum(self.latency_ratio_totals) / sum(self.latency_counts))
        latency_retained = math.exp(-elapsed_s / LATENCY_WINDOW_S)
        self.latency_counts = [count * latency_retained for count in self.latency_counts]
        self.latency_ratio_totals = [total * latency_retained for total in self.latency_ratio_totals]
        health_retained = math.exp(-elapsed_s / HEALTH_WINDOW_S)
        self.served = max(PRIOR_SUCCESSES, self.served * health_retained)
        self.failed *= health_retained
