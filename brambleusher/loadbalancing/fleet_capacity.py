"""Estimates the capacity and utilisation of the fleet from the load reports of hosts.

Source: z/OS Workload Manager Sysplex Routing Services, WebSphere variant. Unlike there, capacity is the
reported requests per second divided by utilisation, instead of service units.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from statistics import median

from brambleusher.loadbalancing import api, capacity_estimates
from brambleusher.loadbalancing.hosts import Host
from brambleusher.loadbalancing.windows import CAPACITY_WINDOW, NS_PER_S, UTILISATION_WINDOW, Decay

# Minimum weight of a report in the smoothed metrics, however soon it follows the previous one.
MIN_REPORT_WEIGHT = 0.05


class FleetCapacity:
    """Estimates for the fleet, from the reports of this proxy's hosts."""

    def __init__(self, settings: api.Settings, shortest_target_ns: int) -> None:
        self._shortest_target_ns = shortest_target_ns
        self._fleet_size = settings.fleet_size
        self.mean_capacity = 0.0  # mean capacity of a host in requests per second
        self.mean_utilisation = 0.0
        self.capacity_of_kind: dict[str, float] = {}
        # If listed sizes replace reported capacities: the size-seconds in use and the requests that arrived,
        # both decaying, and from them the requests per second of a host of size 1.
        self.uses_sizes = capacity_estimates.uses_sizes(settings)
        self.size_seconds_used = 0.0
        self.requests_asked = 0.0
        self.rate_per_size = 0.0 if self.uses_sizes else 1.0

    def record_report(self, host: Host, report: api.LoadReport, now: int) -> None:
        """Record a host's load report; the same report may arrive with several answers."""
        utilisation = report.utilisation
        throughput = report.throughput
        if self.uses_sizes and utilisation is not None:
            throughput = utilisation * host.size
        if utilisation is None or throughput is None:
            return
        if not (math.isfinite(utilisation) and math.isfinite(throughput)):
            return
        utilisation = min(max(utilisation, 0.0), 1.0)
        throughput = max(throughput, 0.0)
        host.utilisation_sum += utilisation
        host.throughput_sum += throughput
        if host.reported_ns < 0:
            host.utilisation = utilisation
            host.throughput = throughput
        else:
            elapsed_ns = now - host.reported_ns
            weight = max(
                elapsed_ns / (elapsed_ns + self._shortest_target_ns * UTILISATION_WINDOW), MIN_REPORT_WEIGHT
            )
            host.utilisation += weight * (utilisation - host.utilisation)
            host.throughput += weight * (throughput - host.throughput)
        host.reported_ns = now

    def update(self, hosts: Sequence[Host], warm_fractions: Sequence[float]) -> None:
        """Estimate the mean capacity of hosts, the capacity of each kind, and the fleet's utilisation."""
        warm = [
            (host, capacity)
            for host, warm_fraction in zip(hosts, warm_fractions, strict=True)
            if warm_fraction >= 1 and (capacity := host.capacity)
        ]
        # Without a warm host, the capacity of hosts that are warming up is used, although it is too low.
        # Otherwise a fleet that starts all at once would get one request per host until it is warm.
        capacities = [capacity for _, capacity in warm]
        if not capacities:
            capacities = [capacity for host in hosts if (capacity := host.capacity)]
        if capacities:
            self.mean_capacity = sum(capacities) / len(capacities)
        for kind in {host.kind for host, _ in warm}:
            self.capacity_of_kind[kind] = median(capacity for host, capacity in warm if host.kind == kind)
        used = sum(host.utilisation * capacity * host.acceptance for host, capacity in warm)
        available = sum(capacity * host.acceptance for host, capacity in warm)
        self.mean_utilisation = used / available if warm else 0.0

    def faded_utilisations(self, hosts: Iterable[Host], now: int) -> list[float]:
        """Return the utilisation of hosts; an old report decays to the fleet's mean.

        A missing report does not indicate spare capacity, and a host that was full long ago must be tried
        again.
        """
        window_ns = self._shortest_target_ns * CAPACITY_WINDOW
        mean = self.mean_utilisation
        utilisations = []
        for host in hosts:
            age_ns = now - host.reported_ns if host.reported_ns >= 0 else math.inf
            faded = min(1.0, age_ns / window_ns)
            utilisations.append(host.utilisation + faded * (mean - host.utilisation))
        return utilisations

    def update_rate_per_size(self, sizes_in_use: float, elapsed: float) -> None:
        """Update the request rate per size; must be called before the admission limit is set.

        The admission limit treats a rate of 0 as no capacity.
        """
        if self.uses_sizes and sizes_in_use > 0:
            self.size_seconds_used += sizes_in_use * elapsed * self._shortest_target_ns / NS_PER_S
            self.rate_per_size = self.requests_asked * self._fleet_size / self.size_seconds_used

    def decay(self, decay: Decay) -> None:
        """Decay the counts behind the request rate per size."""
        self.size_seconds_used *= decay.capacity
        self.requests_asked *= decay.capacity
