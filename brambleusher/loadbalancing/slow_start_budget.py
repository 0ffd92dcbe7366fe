"""What this proxy may send to hosts that are warming up, out of the budget of all proxies."""

from __future__ import annotations

from brambleusher.loadbalancing import api, slow_start
from brambleusher.loadbalancing.fleet_capacity import FleetCapacity
from brambleusher.loadbalancing.host_table import HostTable
from brambleusher.loadbalancing.hosts import Host
from brambleusher.loadbalancing.windows import NS_PER_S

BUDGET_FRACTION = 0.5  # of what a host that warms up survives: the rest is for chance and unequal proxies
MIN_PROCESS_FRACTION = 0.01


class SlowStartBudget:
    """The slow start of hosts as this proxy has to keep it; see `slow_start`."""

    def __init__(
        self, settings: api.Settings, unit_ns: int, capacity: FleetCapacity, host_table: HostTable
    ) -> None:
        self._settings = settings
        self._unit_ns = unit_ns
        self._capacity = capacity
        self._host_table = host_table
        self.process_fraction = 1.0  # of this proxy's work, while a new version of it takes over

    def set_process_fraction(self, fraction: float) -> None:
        """Take in what part of its proxy's work this process does."""
        self.process_fraction = min(max(fraction, MIN_PROCESS_FRACTION), 1.0)

    def warm_fraction(self, host: Host, now: int) -> float:
        """Return the least part of its capacity that a host started lately can be counted on for."""
        if host.started_ns <= 0:
            return 1.0
        settings = self._settings
        age_ns = now - host.started_ns
        if age_ns >= settings.warm_up_ns:
            return 1.0
        reported = 0.0
        if not self._capacity.uses_sizes:
            usual = self._capacity.capacity_of_kind.get(host.kind)
            reported = slow_start.reported_fraction(host, usual)
        return slow_start.warm_fraction(age_ns, settings.initial_capacity, settings.warm_up_ns, reported)

    def admits(self, host: Host, now: int) -> bool:
        """Return whether one more attempt keeps within this proxy's part of a host's budget."""
        warm_fraction = self.warm_fraction(host, now)
        if warm_fraction >= 1:
            return True
        settings = self._settings
        local_used, remote_used = self._host_table.subset_counts
        # Only the proxies that have the host among theirs send to it: as many as chance has it.
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
        """Return its kind's capacity, else the least of the kinds.

        Before any report it is one request a latency target, which a host that keeps any goal can do.
        """
        if self._capacity.uses_sizes:
            return NS_PER_S / self._unit_ns
        of_kind = self._capacity.capacity_of_kind
        default = self._capacity.mean_capacity or NS_PER_S / self._unit_ns
        return of_kind.get(host.kind, min(of_kind.values(), default=default))
