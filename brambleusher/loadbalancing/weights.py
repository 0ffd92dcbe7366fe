"""Weights of hosts: spare capacity, reduced according to performance index and health.

Source: z/OS Workload Manager Sysplex Routing Services, WebSphere variant: a server's weight is its spare
capacity divided by that of all ready servers, times 64; it is reduced according to its PI and multiplied by
its health. `docs/design.md` describes what was kept, what was changed and when each change takes effect.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from statistics import median

from brambleusher.loadbalancing.fleet_capacity import FleetCapacity
from brambleusher.loadbalancing.hosts import RESERVE, Host
from brambleusher.loadbalancing.performance_index import PI_CUTOFF, PI_GOAL, PerformanceIndex
from brambleusher.loadbalancing.slow_start_budget import SlowStartBudget
from brambleusher.loadbalancing.token_round_robin import WEIGHT_TOTAL

MIN_SPARE_FRACTION = 0.01  # a host with a smaller fraction of its capacity free gets no weight


def final_weights(base: list[float], index: list[float], health: list[float]) -> list[float]:
    """Return weights with a sum of 64: shares of spare capacity, reduced by index and health.

    If all weights would be 0, equal ones are returned.
    """
    total = sum(base)
    reduced = []
    for spare, host_index, host_health in zip(base, index, health, strict=True):
        weight = WEIGHT_TOTAL * spare / total if total > 0 else 0.0
        if host_index > PI_CUTOFF:
            weight = 0.0
        elif host_index > PI_GOAL:
            weight *= 1 - (host_index - PI_GOAL)
        reduced.append(weight * host_health)
    reduced_total = sum(reduced)
    if reduced_total <= 0:
        return [WEIGHT_TOTAL / len(reduced)] * len(reduced) if reduced else []
    return [weight * WEIGHT_TOTAL / reduced_total for weight in reduced]


class WeightCalculator:
    """Recomputes the weights of the hosts in use, in three steps."""

    def __init__(
        self, capacity: FleetCapacity, slow_start: SlowStartBudget, performance_index: PerformanceIndex
    ) -> None:
        self._capacity = capacity
        self._slow_start = slow_start
        self._performance_index = performance_index

    def spare_capacities(self, hosts: Sequence[Host], now: int) -> list[float]:
        """Update the fleet's estimates and return the spare capacity of each host.

        Unlike in the source, a host without data gets the median spare capacity, scaled by its warm fraction.
        """
        capacity = self._capacity
        warm_fraction_of = self._slow_start.warm_fraction
        warm_fractions = [warm_fraction_of(host, now) for host in hosts]
        capacity.update(hosts, warm_fractions)
        # If little capacity is free, weights depend more on the total capacity of each host.
        capacity_bias = max(0.0, RESERVE - (1 - capacity.mean_utilisation))
        capacity_of_kind = capacity.capacity_of_kind
        utilisations = capacity.faded_utilisations(hosts, now)
        spare_capacities: list[float | None] = []
        for host, warm_fraction, utilisation in zip(hosts, warm_fractions, utilisations, strict=True):
            # A host that is warming up or has not reported gets the capacity of its kind, scaled by its warm
            # fraction.
            known_capacity = host.capacity if warm_fraction >= 1 else None
            expected_capacity = known_capacity or capacity_of_kind.get(host.kind)
            free = 1 - utilisation
            usable = free if free >= MIN_SPARE_FRACTION else 0.0
            spare_capacities.append(
                expected_capacity and expected_capacity * warm_fraction * (usable + capacity_bias)
            )
        reported = [spare for spare in spare_capacities if spare is not None]
        median_spare = median(reported) if reported else 1.0
        return [
            median_spare * warm_fraction if spare is None else spare
            for spare, warm_fraction in zip(spare_capacities, warm_fractions, strict=True)
        ]

    def assign(
        self,
        hosts: Sequence[Host],
        spare_capacities: Sequence[float],
        spill_fraction: Callable[[Host], float],
        now: int,
    ) -> None:
        """Set the weights of hosts; `spill_fraction` gives the fraction of spare capacity a host offers."""
        base = [spare * spill_fraction(host) for host, spare in zip(hosts, spare_capacities, strict=True)]
        index_of = self._performance_index.of_host
        for host in hosts:
            host.performance_index = index_of(host, now)
        # If most of the fleet misses the goal, hosts are compared with the median index instead. Otherwise
        # the few hosts that meet the goal would get all requests and be the next to fail.
        reference_index = max(1.0, median(host.performance_index for host in hosts))
        weights = final_weights(
            base,
            [host.performance_index / reference_index for host in hosts],
            [host.health * host.acceptance for host in hosts],
        )
        for host, weight in zip(hosts, weights, strict=True):
            host.weight = weight
