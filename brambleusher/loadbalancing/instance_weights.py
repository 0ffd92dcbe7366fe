"""Weights of a service's instances as seen by one gateway; pure, with times in seconds.

Some instances report their load with their answers, others report nothing. For the latter a gateway estimates
utilisation from its own attempts in flight and the listed capacity in slots. Spare capacity is throughput
divided by utilisation, times one minus utilisation. From there on, weights are computed as in
`brambleusher/loadbalancing/weights.py`, with the same functions.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from statistics import median

from brambleusher.loadbalancing.first_byte_survival import FirstByteSurvival
from brambleusher.loadbalancing.instance_metrics import (
    MAX_LOAD,
    MIN_LATENCY_TARGET_S,
    NO_TOTALS,
    PRIORITIES,
    TICK_S,
    InFlight,
    InstanceMetrics,
    totals_from,
)
from brambleusher.loadbalancing.token_round_robin import WEIGHT_TOTAL
from brambleusher.loadbalancing.weights import MIN_SPARE_FRACTION, final_weights

# Seconds without totals from other gateways after which a gateway relies on its own alone.
OTHERS_FRESH_S = 3.0
UNRESPONSIVE_RATIO = 0.6  # fraction of a latency target; usual answers begin within a third of the target
# An instance with less than an even weight divided by this is not chosen for its cache.
FAIR_WEIGHT_DIVISOR = 4


@dataclass(frozen=True, slots=True)
class Mechanisms:
    """Mechanisms of the weight computation that are enabled; by default all of them."""

    spare: bool = True
    latency_index: bool = True
    health: bool = True
    unresponsive: bool = True
    slot_limit: bool = True
    reported_load: bool = True


class InstanceWeights:
    """Keeps the weights and tokens of one service's ready instances."""

    def __init__(self, rng: random.Random, mechanisms: Mechanisms | None = None) -> None:
        self._rng = rng
        self._mechanisms = mechanisms or Mechanisms()
        self._instances: dict[str, InstanceMetrics] = {}
        self._ring: list[InstanceMetrics] = []  # ready instances in round-robin order
        self._next = 0
        self._attempts = 0
        self._first_bytes = FirstByteSurvival()
        # Mean utilisation of the instances with data; 1 as long as there are none.
        self.mean_utilisation = 1.0
        self._ticked_s: float | None = None
        self._reporters = 0
        self._reported_s = -math.inf  # time of the latest totals of other gateways

    def set_instances(self, ready: Mapping[str, float]) -> None:
        """Set the ready instances and their capacities; all others lose weight and tokens at once."""
        for name, capacity in ready.items():
            if name in self._instances:
                self._instances[name].capacity = capacity
            else:
                self._instances[name] = InstanceMetrics(name, max(capacity, 1.0))
        for instance in self._instances.values():
            if instance.name not in ready:
                instance.weight = 0.0
                instance.tokens = 0
                instance.token_credit = 0.0
        for name, instance in list(self._instances.items()):
            if name not in ready and not instance.in_flight:
                del self._instances[name]
        if {instance.name for instance in self._ring} != set(ready):
            self._ring = [self._instances[name] for name in ready]
            self._rng.shuffle(self._ring)
            self._next = self._rng.randrange(len(self._ring)) if self._ring else 0
            self._recompute_weights(self._ticked_s or 0.0, 1.0)

    # --- own traffic -----------------------------------------------------------------------------

    def start_attempt(self, name: str, priority: int, target_s: float, now: float) -> int:
        """Record that an attempt was sent.

        Returns:
            The attempt's number, for `record_first_byte` and `finish_attempt`.
        """
        self._attempts += 1
        instance = self._instances.get(name)
        if instance is not None:
            level = min(max(priority, 0), PRIORITIES - 1)
            target_s = max(target_s, MIN_LATENCY_TARGET_S)
            instance.in_flight[self._attempts] = InFlight(level, now, target_s)
        return self._attempts

    def record_first_byte(self, name: str, attempt: int, now: float) -> None:
        """Record the latency of an answer that has begun."""
        instance = self._instances.get(name)
        if instance is None or attempt not in instance.in_flight:
            return
        instance.record_answer(now, self._first_bytes)
        priority, sent_s, target_s = instance.in_flight[attempt]
        if math.isfinite(target_s):
            self._first_bytes.record_answer((now - sent_s) / target_s)
        instance.latency_counts[priority] += 1
        instance.latency_ratio_totals[priority] += (now - sent_s) / target_s
        instance.in_flight[attempt] = InFlight(priority, now, math.inf)

    def finish_attempt(self, name: str, attempt: int, has_succeeded: bool | None) -> None:
        """Record the end of an attempt: success, failure, or (None) no evidence about the instance."""
        instance = self._instances.get(name)
        if instance is None or instance.in_flight.pop(attempt, None) is None:
            return
        if has_succeeded is not None:
            instance.served += has_succeeded
            instance.failed += not has_succeeded
        instance.served_since_tick += bool(has_succeeded)

    def abandon_attempt(self, name: str, attempt: int, now: float) -> None:
        """Record the end of an attempt whose client has disconnected."""
        instance = self._instances.get(name)
        if instance is not None and attempt in instance.in_flight:
            instance.abandon(attempt, now, self._first_bytes)

    def record_connect_failure(self, name: str) -> None:
        """Record a failed connection to an instance."""
        instance = self._instances.get(name)
        if instance is not None:
            instance.failed += 1

    def record_load(self, name: str, running: float, waiting: float, slots: float) -> None:
        """Record the load that an instance reported with an answer."""
        instance = self._instances.get(name)
        if instance is not None and self._mechanisms.reported_load:
            instance.load = min(MAX_LOAD, (running + waiting) / max(slots, 1.0))
            instance.load_weight = 1.0

    # --- other gateways --------------------------------------------------------------------------

    def export_totals(self) -> dict[str, list[float]]:
        """Return this gateway's recent totals by instance."""
        totals = {instance.name: instance.observed() for instance in self._instances.values()}
        return {name: each for name, each in totals.items() if any(each)}

    def import_totals(self, reporters: int, totals: Mapping[str, Sequence[float]], now: float) -> None:
        """Set the totals over `reporters` other gateways."""
        self._reporters = reporters
        self._reported_s = now
        for instance in self._instances.values():
            reported = totals.get(instance.name)
            instance.others = NO_TOTALS if reported is None else totals_from(reported)

    def _forget_stale_totals(self, now: float) -> None:
        if self._reporters and now - self._reported_s > OTHERS_FRESH_S:
            self.import_totals(0, {}, now)

    # --- weights ---------------------------------------------------------------------------------

    def recompute(self, now: float, gateways: float) -> None:
        """Recompute the weights if the last update is at least `TICK_S` old."""
        if self._ticked_s is None:
            self._ticked_s = now
        elapsed_s = now - self._ticked_s
        if elapsed_s < TICK_S:
            return
        self._ticked_s = now
        self._forget_stale_totals(now)
        for instance in self._instances.values():
            instance.decay(elapsed_s)
        self._recompute_weights(now, gateways)

    def _recompute_weights(self, now: float, gateways: float) -> None:
        throughput = self._throughput_per_slot()
        spares = [self._spare(instance, throughput, gateways) for instance in self._ring]
        utilisations = [instance.utilisation(gateways, self._reporters) for instance in self._ring]
        reported = [each for each in utilisations if each is not None]
        self.mean_utilisation = sum(reported) / len(reported) if reported else 1.0
        known = [spare for spare in spares if spare is not None]
        median_spare = median(known) if known else 1.0
        base = [median_spare if spare is None else spare for spare in spares]
        enabled = self._mechanisms
        weights = final_weights(
            base if enabled.spare else [1.0] * len(base),
            [instance.performance_index(now) if enabled.latency_index else 0.0 for instance in self._ring],
            [instance.health() if enabled.health else 1.0 for instance in self._ring],
        )
        tokens_per_weight = len(self._ring) / WEIGHT_TOTAL
        for instance, weight in zip(self._ring, weights, strict=True):
            instance.weight = weight
            instance.tokens = min(instance.tokens, math.ceil(weight * tokens_per_weight))

    def _throughput_per_slot(self) -> float:
        """Return the requests per second that one slot serves, over all instances.

        The throughput of a single instance depends on the kinds of its requests rather than on its capacity:
        one that caches long prompts looks ten times as slow as the others.
        """
        in_use = sum(instance.mean_in_flight + instance.others.in_use for instance in self._ring)
        rate = sum(instance.requests_per_s + instance.others.requests_per_s for instance in self._ring)
        return rate / in_use if in_use > 0 and rate > 0 else 1.0

    def _spare(self, instance: InstanceMetrics, throughput: float, gateways: float) -> float | None:
        """Return an instance's spare capacity in requests per second; None if its utilisation is unknown."""
        utilisation = instance.utilisation(gateways, self._reporters)
        if utilisation is None:
            return None
        spare = throughput * instance.capacity * (1.0 - utilisation)
        return 0.0 if 1.0 - utilisation < MIN_SPARE_FRACTION else spare

    def has_fair_weight(self, name: str) -> bool:
        """Return whether an instance has enough weight to be chosen for its prefix cache."""
        instance = self._instances.get(name)
        if instance is None:
            return False
        return instance.weight * len(self._ring) >= WEIGHT_TOTAL / FAIR_WEIGHT_DIVISOR

    def is_unresponsive(self, name: str, now: float) -> bool:
        """Return whether an instance is skipped because it has not answered anything for too long."""
        instance = self._instances.get(name)
        return instance is not None and self._is_unresponsive(instance, now)

    def attempts_in_flight(self, name: str) -> int:
        """Return the number of own attempts in flight at an instance."""
        instance = self._instances.get(name)
        return len(instance.in_flight) if instance is not None else 0

    def weights(self) -> dict[str, float]:
        """Return the weights by instance for operators."""
        return {instance.name: round(instance.weight, 2) for instance in self._ring}

    # --- spending tokens -------------------------------------------------------------------------

    def choose(
        self,
        candidates: Sequence[str],
        now: float,
        reload_candidates: bool = False,
        preferred: Collection[str] = (),
    ) -> str | None:
        """Choose a candidate in round-robin order and spend one of its tokens.

        With `reload_candidates`, the candidates' tokens are reloaded
        once they are spent, even if other instances still have some; it is meant for gateways that normally
        use only these instances. Instances named in `preferred` are tried before the others.

        If the candidates have no tokens while other instances have some, the candidate with the fewest
        attempts in flight relative to its weight is chosen without reloading tokens, so that the others keep
        their turns.

        An instance with more attempts in flight than its weight justifies is skipped and keeps its token: own
        attempts in flight show at once that it has slowed down or hangs, whereas reported metrics show it
        late. An instance that has been unresponsive for most of a latency target is skipped as well.
        """
        names = set(candidates)
        eligible = [instance for instance in self._ring if instance.name in names]
        in_flight = sum(len(instance.in_flight) for instance in eligible) + 1
        weight_sum = sum(instance.weight for instance in eligible)
        if not any(instance.tokens > 0 for instance in self._ring):
            self._load(self._ring)
        elif reload_candidates and not any(instance.tokens > 0 for instance in eligible):
            self._load(eligible)
        for among in (names.intersection(preferred), names):
            chosen = self._spend_next_token(among, in_flight, weight_sum, now) if among else None
            if chosen is not None:
                return chosen
        return self._least_loaded(eligible, now)

    def _load(self, instances: Sequence[InstanceMetrics]) -> None:
        """Load the instances' tokens from their latest weights; fractions are carried over."""
        tokens_per_weight = len(self._ring) / WEIGHT_TOTAL
        for instance in instances:
            instance.token_credit += instance.weight * tokens_per_weight
            new_tokens = int(instance.token_credit)
            instance.token_credit -= new_tokens
            instance.tokens = max(instance.tokens, new_tokens)

    def _spend_next_token(
        self, names: Collection[str], in_flight: int, weight_sum: float, now: float
    ) -> str | None:
        """Spend a token of the next named instance that has one, has a slot and is responsive."""
        for step in range(len(self._ring)):
            index = (self._next + step) % len(self._ring)
            instance = self._ring[index]
            if instance.tokens <= 0 or instance.name not in names:
                continue
            if self._has_slot(instance, in_flight, weight_sum) and not self._is_unresponsive(instance, now):
                instance.tokens -= 1
                self._next = index + 1
                return instance.name
        return None

    def _has_slot(self, instance: InstanceMetrics, in_flight: int, weight_sum: float) -> bool:
        return not self._mechanisms.slot_limit or instance.has_slot(in_flight, weight_sum)

    def _is_unresponsive(self, instance: InstanceMetrics, now: float) -> bool:
        return self._mechanisms.unresponsive and instance.unresponsive_ratio(now) >= UNRESPONSIVE_RATIO

    def _least_loaded(self, candidates: Iterable[InstanceMetrics], now: float) -> str | None:
        """Return the candidate with the fewest attempts per weight; those without weight come last."""
        least_loaded = min(
            candidates,
            key=lambda instance: (
                instance.weight <= 0,
                self._is_unresponsive(instance, now),
                (len(instance.in_flight) + 1) / (instance.weight or 1.0),
                instance.name,
            ),
            default=None,
        )
        return least_loaded.name if least_loaded is not None else None
