"""Zone loads: the combined load reports of each zone's ready hosts, and their unresponsive hosts."""

from __future__ import annotations

from dataclasses import dataclass

from brambleusher.loadbalancing.cross_zone_spill import misses_goal
from brambleusher.loadbalancing.fleet_capacity import FleetCapacity
from brambleusher.loadbalancing.host_table import HostTable
from brambleusher.loadbalancing.hosts import Host
from brambleusher.loadbalancing.performance_index import MAX_EXAMINED_ATTEMPTS
from brambleusher.loadbalancing.slow_start_budget import SlowStartBudget
from brambleusher.loadbalancing.traffic import TrafficStatistics
from brambleusher.loadbalancing.zone_routing import ZoneRouter
from brambleusher.loadbalancing.zone_state import ZoneLoad

MIN_UNRESPONSIVE = 0.5  # minimum time, in latency targets, without an answer before a host is unresponsive
MAX_UNRESPONSIVE = 2.0  # maximum time, in latency targets, without an answer before a host is unresponsive
# Time without an answer before a host is unresponsive, in mean latencies, within the two bounds.
UNRESPONSIVE_FACTOR = 3.0
MIN_FREE = 0.01  # minimum free fraction of a host's capacity for weighting; a full host still counts a little
STRAINED_FRACTION = 0.5  # a zone is strained if more than this fraction of its hosts miss their goal or fail


@dataclass(slots=True)
class _HostCounts:
    """Numbers of hosts of a zone that are not in use, and that miss their goal."""

    not_in_use: int = 0
    missing_goal: int = 0


class ZoneLoads:
    """Computes the load of zones from the records of their hosts."""

    def __init__(
        self,
        shortest_target_ns: int,
        zone_router: ZoneRouter,
        host_table: HostTable,
        capacity: FleetCapacity,
        slow_start: SlowStartBudget,
        traffic: TrafficStatistics,
    ) -> None:
        self._shortest_target_ns = shortest_target_ns
        self._zone_router = zone_router
        self._host_table = host_table
        self._capacity = capacity
        self._slow_start = slow_start
        self._traffic = traffic

    def collect(self, now: int) -> dict[str, ZoneLoad]:
        """Return the load of every zone that has hosts."""
        loads: dict[str, ZoneLoad] = {}
        counts: dict[str, _HostCounts] = {}
        counted: list[Host] = []
        in_use = {host.name for host in self._host_table.in_use}
        for host in self._host_table.hosts.values():
            if host.is_draining:
                continue
            load = loads.get(host.zone)
            if load is None:
                load = loads[host.zone] = ZoneLoad()
                counts[host.zone] = _HostCounts()
            if host.in_flight:
                unresponsive_since_ns = self._unresponsive_since_ns(host, now)
                if unresponsive_since_ns > 0:
                    load.unanswered_since_ns[host.name] = unresponsive_since_ns
            if host.name not in in_use and host.is_ready:
                # A host outside this proxy's subset is assumed to resemble those in use.
                counts[host.zone].not_in_use += 1
            else:
                counted.append(host)
        utilisations = self._capacity.faded_utilisations(counted, now)
        for host, utilisation in zip(counted, utilisations, strict=True):
            self._add(loads[host.zone], host, utilisation, now)
            counts[host.zone].missing_goal += misses_goal(host)
        for name, load in loads.items():
            _scale(load, counts[name])
        return loads

    def _add(self, load: ZoneLoad, host: Host, utilisation: float, now: int) -> None:
        """Add a host's load to that of its zone."""
        estimates = self._capacity
        rate = estimates.rate_per_size or 1.0  # before the rate is known, only relative capacities
        warm_fraction = self._slow_start.warm_fraction(host, now)
        kind_capacity = estimates.capacity_of_kind.get(host.kind, estimates.mean_capacity)
        known_capacity = host.capacity if warm_fraction >= 1 else None
        capacity = (known_capacity or kind_capacity) * warm_fraction * rate
        if host.reported_ns >= 0:
            load.throughput += host.throughput * rate
        else:
            utilisation = estimates.mean_utilisation
        load.host_count += 1
        load.capacity += capacity
        load.used += utilisation * capacity
        load.total_weight += capacity * max(1 - utilisation, MIN_FREE) * host.health * host.acceptance

    def _unresponsive_since_ns(self, host: Host, now: int) -> int:
        """Return since when a host has been unresponsive, or 0 if it is responsive."""
        router = self._zone_router
        zone = router.zones.get(host.zone)
        node = zone.nodes.get(host.name) if zone is not None else None
        last_contact_ns = max(node.last_response_ns if node is not None else 0, router.stalled_until_ns)
        for examined, (request, sent_ns) in enumerate(host.in_flight.values()):
            if examined >= MAX_EXAMINED_ATTEMPTS:
                break
            mean_ns = self._traffic.mean_latency_ns(request.class_index)
            response_timeout_ns = max(
                self._shortest_target_ns * MIN_UNRESPONSIVE,
                min(UNRESPONSIVE_FACTOR * mean_ns, MAX_UNRESPONSIVE * self._shortest_target_ns),
            )
            since_ns = max(sent_ns, last_contact_ns)
            if now - since_ns > response_timeout_ns:
                return since_ns
        return 0


def _scale(load: ZoneLoad, counts: _HostCounts) -> None:
    """Extrapolate the load of the hosts in use to all hosts of their zone."""
    if not load.host_count:
        return
    load.is_strained = counts.missing_goal > STRAINED_FRACTION * load.host_count
    scale = 1 + counts.not_in_use / load.host_count
    load.capacity *= scale
    load.used *= scale
    load.throughput *= scale
    load.total_weight *= scale
