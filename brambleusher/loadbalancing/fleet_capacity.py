"""What hosts report of their load, and what that says of the capacity and use of the fleet.

Source: z/OS Workload Manager Sysplex Routing Services, WebSphere variant.  Ours: capacity is reported
requests a second over utilisation, in place of service units.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from statistics import median

from brambleusher.loadbalancing import api, capacity_estimates
from brambleusher.loadbalancing.hosts import Host
from brambleusher.loadbalancing.windows import CAPACITY_WINDOW, NS_PER_S, UTILISATION_WINDOW, Decay

MIN_REPORT_WEIGHT = 0.05  # of a report in the smoothed figures, however soon it follows the one before


class FleetCapacity:
    """Estimates for the fleet, from the reports of this proxy's hosts."""

    def __init__(self, settings: api.Settings, unit_ns: int) -> None:
        self._unit_ns = unit_ns
        self._fleet_size = settings.fleet_size
        self.mean_capacity = 0.0  # requests a second of a host
        self.mean_utilisation = 0.0
        self.capacity_of_kind: dict[str, float] = {}
        # Where the list's sizes are the capacities: size seconds in use lately and requests asked for in that
        # time, and from them the requests a second of a size of one.
        self.uses_sizes = capacity_estimates.uses_sizes(settings)
        self.size_seconds_used = 0.0
        self.requests_asked = 0.0
        self.rate_per_size = 0.0 if self.uses_sizes else 1.0

    def record_report(self, host: Host, report: api.LoadReport, now: int) -> None:
        """Take in a host's own figures; the same report may come with several answers."""
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
            gap_ns = now - host.reported_ns
            weight = max(gap_ns / (gap_ns + self._unit_ns * UTILISATION_WINDOW), MIN_REPORT_WEIGHT)
            host.utilisation += weight * (utilisation - host.utilisation)
            host.throughput += weight * (throughput - host.throughput)
        host.reported_ns = now

    def update(self, hosts: Sequence[Host], warm_fractions: Sequence[float]) -> None:
        """Estimate the capacity of hosts and of their kinds, and the use of the fleet."""
        warm = [
            (host, capacity)
            for host, warm_fraction in zip(hosts, warm_fractions, strict=True)
            if warm_fraction >= 1 and (capacity := host.capacity)
        ]
        # With no warm host left to go by, what those warming up carry is the guide, and less than the truth:
        # else a fleet that starts as a whole would be let one request a host until it is warm.
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
        """Return the utilisation of hosts; a report that is not renewed fades to the fleet's mean.

        Silence is not spare capacity, and a host judged full long ago must be tried again.
        """
        window_ns = self._unit_ns * CAPACITY_WINDOW
        mean = self.mean_utilisation
        utilisations = []
        for host in hosts:
            age_ns = now - host.reported_ns if host.reported_ns >= 0 else math.inf
            faded = min(1.0, age_ns / window_ns)
            utilisations.append(host.utilisation + faded * (mean - host.utilisation))
        return utilisations

    def update_rate_per_size(self, sizes_in_use: float, gap: float) -> None:
        """Relate the requests asked for to the sizes in use; call it before the admission limit is set.

        The limit takes a rate of 0 for no capacity.
        """
        if self.uses_sizes and sizes_in_use > 0:
            self.size_seconds_used += sizes_in_use * gap * self._unit_ns / NS_PER_S
            self.rate_per_size = self.requests_asked * self._fleet_size / self.size_seconds_used

    def decay(self, decay: Decay) -> None:
        """Forget a part of what sizes rest on."""
        self.size_seconds_used *= decay.capacity
        self.requests_asked *= decay.capacity
