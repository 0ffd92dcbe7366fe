"""Balances for all proxies of a zone at once, from aggregated outcomes that they report.

A sidecar learns from its own attempts and uses a few of the nodes. The proxies of a zone use all nodes, and
report aggregated outcomes of their attempts. Estimators, weights and exclusion of hosts are those of
`brambleusher.loadbalancing.balancer`; this module adds no weighting of its own.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.balancer import Balancer
from brambleusher.loadbalancing.host_table import HostTable
from brambleusher.loadbalancing.hosts import Host

# Maximum number of attempts counted per event: evidence decays within a few latency targets, so more attempts
# would add nothing.
MAX_OUTCOMES_PER_EVENT = 64


@dataclass(slots=True)
class ReportedOutcomes:
    """Outcomes of attempts at a host since the last event, with their mean latency and its load report."""

    host: str
    request_class: str
    served: int
    failed: int
    # Mean latency of the served attempts in nanoseconds; None if it was not measured.
    latency_ns: int | None = None
    report: api.LoadReport | None = None


@dataclass(frozen=True, slots=True)
class HostStatus:
    """A balancer's view of one host; the weights of all hosts add up to 64."""

    host: str
    zone: str
    state: api.HostState
    weight: float
    pi: float
    health: float
    utilisation: float | None


def scale_counts(served: int, failed: int, max_total: int = MAX_OUTCOMES_PER_EVENT) -> tuple[int, int]:
    """Scale the counts down to a total of at most `max_total`, rounding failures up."""
    total = served + failed
    if total <= max_total:
        return served, failed
    scaled_failed = min(max_total, math.ceil(failed * max_total / total))
    return max_total - scaled_failed, scaled_failed


class AllHostsTable(HostTable):
    """Host table in which all ready hosts are in use and no connections have to be closed."""

    def subset_size(self) -> int:
        """Return the number of all hosts, since the proxies of a zone together use all of them."""
        return max(len(self.hosts), 1)

    def choose_subset(self) -> list[str]:
        """Use all ready hosts."""
        ready = list(self.ranking)
        self.ready_count = len(ready)
        self.subset_counts = (len(ready), len(ready))
        if {host.name for host in ready} != {host.name for host in self.in_use}:
            self.set_in_use(ready)
        return []


class FleetBalancer(Balancer):
    """Makes the decisions for all proxies of one zone."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._handlers[ReportedOutcomes] = self.record_outcomes

    def _make_host_table(self) -> HostTable:
        return AllHostsTable(self.settings, self.rng, self.round_robin, self.traffic)

    def record_outcomes(self, event: ReportedOutcomes, now: int) -> None:
        """Record aggregated outcomes; unknown hosts and classes are ignored."""
        host = self.host_table.hosts.get(event.host)
        class_index = self._class_index.get(event.request_class)
        if host is None or class_index is None:
            return
        if event.report is not None:
            self.capacity.record_report(host, event.report, now)
        served, failed = scale_counts(max(event.served, 0), max(event.failed, 0))
        for _ in range(served):
            if event.latency_ns is None:  # count it for health only, since there is no latency for the index
                host.served += 1
                self.traffic.served += 1
            else:
                self.outliers.record_outcome(host, class_index, api.AttemptStatus.OK, event.latency_ns, now)
        for _ in range(failed):
            self.outliers.record_outcome(host, class_index, api.AttemptStatus.ERROR, 0, now)

    def next_timer_ns(self, actions: list[api.Action]) -> int | None:
        """Return the time of the timer that an event's actions request, or None."""
        return next((action.at_ns for action in actions if isinstance(action, api.SetTimer)), None)


def host_statuses(balancer: Balancer) -> list[HostStatus]:
    """Return the status of all hosts, sorted by name."""
    return [_status_of(host) for _, host in sorted(balancer.host_table.hosts.items())]


def _status_of(host: Host) -> HostStatus:
    return HostStatus(
        host=host.name,
        zone=host.zone,
        state=api.HostState.READY if host.is_ready else api.HostState.DRAINING,
        weight=host.weight,
        pi=host.performance_index,
        health=host.health,
        utilisation=host.utilisation if host.reported_ns >= 0 else None,
    )
