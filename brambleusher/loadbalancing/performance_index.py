"""The performance index (PI) of a host: the ratio of latency to its goal.

Source: z/OS Workload Manager Sysplex Routing Services: a server's aggregated PI is weighted by counts over
the most important classes until 75% of the counts are covered. Here the importance of a class is its value.
"""

from __future__ import annotations

from collections.abc import Sequence

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.hosts import Host

PI_GOAL = 1.0  # PI above which a weight is reduced
PI_CUTOFF = 1.5  # PI above which a weight is 0
IMPORTANT_FRACTION = 0.75  # fraction of the counts that the most important classes have to cover

# The index is a mean, and latencies are spread about as widely as their mean: with a mean at half the latency
# target, already one answer in seven is late (e^-2). Therefore the goal of the index is half the target.
GOAL_PER_TARGET = 0.5
# Upper bound of one attempt's contribution, since a few attempts without an answer are no overload.
MAX_RATIO = 2 / GOAL_PER_TARGET
MISSED_RATIO = 1 / GOAL_PER_TARGET  # ratio of an attempt that was not served, which has missed its target
MIN_COUNT = 0.01  # count of answers below which their mean is noise
# Maximum number of attempts in flight examined per host, which bounds the cost of a tick.
MAX_EXAMINED_ATTEMPTS = 6


def aggregate_pi(index: list[float], count: list[float], by_importance: Sequence[int]) -> tuple[float, float]:
    """Aggregate the PI of classes, the most important first in `by_importance`.

    Returns:
        The PI and the count on which it is based.
    """
    total = sum(count)
    needed = total * IMPORTANT_FRACTION
    covered = 0.0
    weighted = 0.0
    for class_index in by_importance:
        if covered >= needed:
            break
        covered += count[class_index]
        weighted += index[class_index] * count[class_index]
    return (weighted / covered, total) if covered else (0.0, 0.0)


class PerformanceIndex:
    """Computes the index of hosts from the latency targets in the settings."""

    def __init__(self, classes: Sequence[api.RequestClass]) -> None:
        self.goals_ns = [each.latency_target_ns * GOAL_PER_TARGET for each in classes]
        self._by_importance = sorted(range(len(classes)), key=lambda index: (-classes[index].value, index))

    def of_host(self, host: Host, now: int) -> float:
        """Return the aggregated PI with the age of attempts in flight, since a hung host sends no answers."""
        means = [
            total / count if count > MIN_COUNT else 0.0
            for total, count in zip(host.latency_ratio_totals, host.latency_counts, strict=True)
        ]
        index, count = aggregate_pi(means, host.latency_counts, self._by_importance)
        total = index * count
        weighted_count = count + 1.0  # one prior sample, so that a host recovers as its evidence decays
        goals_ns = self.goals_ns
        for examined, (request, sent_ns) in enumerate(host.in_flight.values()):
            ratio = min((now - sent_ns) / goals_ns[request.class_index], MAX_RATIO)
            if ratio <= index or examined >= MAX_EXAMINED_ATTEMPTS:
                break
            total += ratio
            weighted_count += 1
        return total / weighted_count
