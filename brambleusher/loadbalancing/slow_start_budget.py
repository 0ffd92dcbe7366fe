"""This proxy's share of the attempts that all proxies may send to hosts that are warming up."""

from __future__ import annotations

from brambleusher.loadbalancing import api, slow_start
from brambleusher.loadbalancing.fleet_capacity import FleetCapacity
from brambleusher.loadbalancing.host_table import HostTable
from brambleusher.loadbalancing.hosts import Host
from brambleusher.loadbalancing.windows import NS_PER_S

# Safety factor on what a warming host survives, for random variation and unequal proxies.
BUDGET_FRACTION = 0.5
MIN_PROCESS_FRACTION = 0.01


class SlowStartBudget:
    """Limits this proxy's attempts to warming hosts; `slow_start` has the formulas."""

    def __init__(
        self, settings: api.Settings, shortest_target_ns: int, capacity: FleetCapacity, host_table: HostTable
    ) -> None:
        self._settings = settings
        self._shortest_target_ns = shortest_target_ns
        self._capacity = capacity
        self._host_table = host_table
        # Fraction of this proxy's traffic; below 1 while a new version takes over.
        self.process_fraction = 1.0

    def set_process_fraction(self, fraction: float) -> None:
        """Set this process's fraction of its proxy's traffic."""
        self.process_fraction = min(max(fraction, MIN_PROCESS_FRACTION), 1.0)

    def warm_fraction(self, host: Host, now: int) -> float:
        """Return a lower bound of a host's capacity as a fraction of its full capacity, 1 once it is warm."""
        if host.started_ns <= 0:
            return 1.0
        settings = self._settings
        age_ns = now - host.started_ns
        if age_ns >= settings.warm_up_ns:
            return 1.0
        reported = 0.0
        if not self._capacity.uses_sizes:
            kind_capacity = self._capacity.capacity_of_kind.get(host.kind)
            reported = slow_start.reported_fraction(host, kind_capacity)
        return slow_start.warm_fraction(age_ns, settings.initial_capacity, settings.warm_up_ns, reported)

    def admits(self, host: Host, now: int) -> bool:
        """Return whether one more attempt is within this proxy's share of a host's budget."""
        warm_fraction = self.warm_fraction(host, now)
        if warm_fraction >= 1:
            return True
        settings = self._settings
        local_used, remote_used = self._host_table.subset_counts
        # Only proxies that have the host in their subset send to the host; their number is an expected value.
        proxies = slow_start.proxies_per_host(
            settings.fleet_size,
            self._host_table.ranking.ready_per_zone,
            host.zone,
            local_used,
            remote_used,
            self.process_fraction,
        )
        capacity = self._expected_capacity(host)
        rate = BUDGET_FRACTION * settings.overload_multiple * warm_fraction * capacity / proxies
        return slow_start.has_credit(host, now, rate, settings.overload_window_ns)

    def _expected_capacity(self, host: Host) -> float:
        """Return the capacity of the host's kind in requests per second, or else the lowest of all kinds.

        Before any report it is one request per latency target, which any host that meets its goal can serve.
        """
        if self._capacity.uses_sizes:
            return NS_PER_S / self._shortest_target_ns
        of_kind = self._capacity.capacity_of_kind
        default = self._capacity.mean_capacity or NS_PER_S / self._shortest_target_ns
        return of_kind.get(host.kind, min(of_kind.values(), default=default))
