"""The performance index (PI): latency over its goal, by host.

Source: z/OS Workload Manager Sysplex Routing Services: a server's aggregated PI is count-weighted over the
most important classes until 75% of the counts are covered; importance here goes by a class's value.
"""

from __future__ import annotations

from collections.abc import Sequence

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.hosts import Host

PI_GOAL = 1.0  # above it a weight is cut
PI_ZERO = 1.5  # above it a weight is nothing
IMPORTANT_FRACTION = 0.75  # of the counts, that the most important classes have to cover

# The index is a mean, and answers spread about as widely as their mean: a mean at half the latency target
# already makes one answer in seven late (e^-2), so half the target is the goal of the index.
GOAL_PER_TARGET = 0.5
MAX_RATIO = 2 / GOAL_PER_TARGET  # the most that one attempt says; a few that are never answered are no crowd
MISSED_RATIO = 1 / GOAL_PER_TARGET  # of an attempt that was not served: its target is missed
MIN_COUNT = 0.01  # of answers: under it their mean is noise
OLDEST_LOOKED_AT = 6  # attempts in flight at a host: bounds the work of a tick


def aggregate_pi(index: list[float], count: list[float], by_importance: Sequence[int]) -> tuple[float, float]:
    """Aggregate the PI of classes, the most important first in `by_importance`.

    Returns:
        The PI and the count it rests on.
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
    """The index of hosts under the latency targets of the settings."""

    def __init__(self, classes: Sequence[api.RequestClass]) -> None:
        self.goals_ns = [each.latency_target_ns * GOAL_PER_TARGET for each in classes]
        self._by_importance = sorted(range(len(classes)), key=lambda index: (-classes[index].value, index))

    def of_host(self, host: Host, now: int) -> float:
        """Return the aggregated PI, with the age of attempts in flight: a hung host sends no answers."""
        means = [
            total / count if count > MIN_COUNT else 0.0
            for total, count in zip(host.latency_ratio_totals, host.latency_counts, strict=True)
        ]
        index, count = aggregate_pi(means, host.latency_counts, self._by_importance)
        total = index * count
        seen = count + 1.0  # one sample of prior: evidence fades, the host comes back
        goals_ns = self.goals_ns
        for looked_at, (request, sent_ns) in enumerate(host.in_flight.values()):
            ratio = min((now - sent_ns) / goals_ns[request.class_index], MAX_RATIO)
            if ratio <= index or looked_at >= OLDEST_LOOKED_AT:
                break
            total += ratio
            seen += 1
        return total / seen
