"""A zone of proxies as one balancer: the rules of `Balancer`, fed with sums that others observed.

A sidecar learns from its own attempts and uses a few of the nodes.  A zone of proxies uses all of them, and
reports in sums what its attempts came to.  The estimators, the weights and who is left out are those of
`brambleusher.loadbalancing.balancer`; nothing here weighs anything.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.balancer import Balancer
from brambleusher.loadbalancing.host_table import HostTable
from brambleusher.loadbalancing.hosts import Host

# Attempts that one event counts for: evidence fades within a few latency targets, and more say no more.
MAX_OUTCOMES_PER_EVENT = 64


@dataclass(slots=True)
class ReportedOutcomes:
    """What attempts at a host came to since the last event: counts, the mean time in ns, its own figures."""

    host: str
    request_class: str
    served: int
    failed: int
    latency_ns: int | None = None  # of those served; None where nobody measured it
    report: api.LoadReport | None = None


@dataclass(frozen=True, slots=True)
class HostStatus:
    """What a balancer makes of one host; the weights of all add up to 64."""

    host: str
    zone: str
    state: api.HostState
    weight: float
    pi: float
    health: float
    utilisation: float | None


def scale_counts(served: int, failed: int, most: int = MAX_OUTCOMES_PER_EVENT) -> tuple[int, int]:
    """Return at most `most` attempts in the same proportion; few failures are not rounded away."""
    total = served + failed
    if total <= most:
        return served, failed
    scaled_failed = min(most, math.ceil(failed * most / total))
    return most - scaled_failed, scaled_failed


class AllHostsTable(HostTable):
    """All ready hosts are in use: nothing is chosen, and there are no connections to close."""

    def subset_size(self) -> int:
        """Return the number of hosts: a subset made for one small proxy is not that of a zone."""
        return max(len(self.hosts), 1)

    def choose_subset(self) -> list[str]:
        """Use all ready hosts."""
        ready = list(self.ranking)
        self.ready_count = len(ready)
        self.subset_counts = (len(ready), len(ready))
        if {host.name for host in ready} != {host.name for host in self.in_use}:
            self.use(ready)
        return []


class FleetBalancer(Balancer):
    """One zone's decisions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._handlers[ReportedOutcomes] = self.record_outcomes

    def _make_host_table(self) -> HostTable:
        return AllHostsTable(self.settings, self.rng, self.round_robin, self.traffic)

    def record_outcomes(self, event: ReportedOutcomes, now: int) -> None:
        """Take in one sum; a host or class that is not known is passed over."""
        host = self.host_table.hosts.get(event.host)
        class_index = self._class_index.get(event.request_class)
        if host is None or class_index is None:
            return
        if event.report is not None:
            self.capacity.record_report(host, event.report, now)
        served, failed = scale_counts(max(event.served, 0), max(event.failed, 0))
        for _ in range(served):
            if event.latency_ns is None:  # it counts for the health, and the index has nothing to go by
                host.served += 1
                self.traffic.served += 1
            else:
                self.outliers.record_outcome(host, class_index, api.AttemptStatus.OK, event.latency_ns, now)
        for _ in range(failed):
            self.outliers.record_outcome(host, class_index, api.AttemptStatus.ERROR, 0, now)

    def next_timer_ns(self, actions: list[api.Action]) -> int | None:
        """Return when the balancer wants its timer, out of the actions of an event."""
        return next((action.at_ns for action in actions if isinstance(action, api.SetTimer)), None)


def host_statuses(balancer: Balancer) -> list[HostStatus]:
    """Return all hosts as the balancer sees them now, in the order of their names."""
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
