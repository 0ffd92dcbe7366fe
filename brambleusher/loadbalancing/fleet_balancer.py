"""A zone of proxies as one balancer: the rules of `Balancer`, fed with figures that others lived through.

A sidecar learns from its own attempts and uses a few of the nodes.  A zone of proxies uses all of
them, and tells in sums what its attempts came to.  The estimators, the weights and who is left out
are those of `brambleusher.loadbalancing.balancer`; nothing here weighs anything.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.balancer import Balancer
from brambleusher.loadbalancing.hosts import Host

MAX_OUTCOMES_PER_EVENT = (
    64  # attempts that one event counts for: evidence fades within a few aims, and more says no more
)


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
    """At most `most` attempts in the same proportion; a failure among very many is not rounded away."""
    total = served + failed
    if total <= most:
        return served, failed
    bad = min(most, math.ceil(failed * most / total))
    return most - bad, bad


class FleetBalancer(Balancer):
    """One zone's decisions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._handlers[ReportedOutcomes] = self._told

    def _choose(self) -> None:
        """All ready hosts are in use: nothing is chosen, and there are no connections to let go of."""
        ready = list(self._ranks)
        self._ready = len(ready)
        self._used = len(ready), len(ready)
        if {host.name for host in ready} != {host.name for host in self._turn.ring}:
            for host in ready:
                host.begin(len(self._classes))
            self._turn.seat(ready)

    def _ring_size(self) -> int:
        # Guards against a subset made for one small proxy becoming that of a whole zone.
        return max(len(self._hosts), 1)

    def record_outcomes(self, event: ReportedOutcomes, now: int) -> None:
        """Take in one sum; a host or class that is not known is passed over."""
        self._told(event, now)

    def _told(self, event: ReportedOutcomes, now: int) -> None:
        host, cls = self._hosts.get(event.host), self._classes.get(event.request_class)
        if host is None or cls is None:
            return
        if event.report is not None:
            self._report(host, event.report, now)
        served, failed = scale_counts(max(event.served, 0), max(event.failed, 0))
        for _ in range(served):
            if event.latency_ns is None:  # it counts for the health, and the index has nothing to go by
                host.served += 1
                self._served_rate += 1
            else:
                self._learn(host, cls, api.AttemptStatus.OK, event.latency_ns, now)
        for _ in range(failed):
            self._learn(host, cls, api.AttemptStatus.ERROR, 0, now)

    def next_timer_ns(self, actions: list[api.Action]) -> int | None:
        """When the balancer wants its timer, out of the actions of an event."""
        return next((action.at_ns for action in actions if isinstance(action, api.SetTimer)), None)


def host_statuses(balancer: Balancer) -> list[HostStatus]:
    """All hosts as the balancer sees them now, in the order of their names."""
    return [_host_status(host) for _, host in sorted(balancer._hosts.items())]


def _host_status(host: Host) -> HostStatus:
    state = api.HostState.READY if host.ready else api.HostState.DRAINING
    told = host.util if host.util_ns >= 0 else None
    return HostStatus(host.name, host.zone, state, host.weight, host.pi, host.health, told)
