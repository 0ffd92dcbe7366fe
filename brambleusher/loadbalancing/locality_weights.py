"""Weights as proxies take them: whole numbers, in localities, in priorities without a gap."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from brambleusher.loadbalancing.api import HostState
from brambleusher.loadbalancing.fleet_balancer import HostStatus

MEAN_WEIGHT = 100  # of ready nodes: fine enough to tell a tenth, small enough to be few bytes
MAX_WEIGHT = 10_000  # guards against one node's weight drowning the others' in the sums of 32 bits
MIN_STEP = 0.05  # of the way to a weight: a zone in full use still follows


@dataclass(frozen=True, slots=True)
class EndpointWeight:
    """One node's weight: 0 leaves it out though it is ready; one that drains has 0 as well."""

    host: str
    zone: str
    weight: int
    is_draining: bool


@dataclass(frozen=True, slots=True)
class LocalityWeights:
    """A locality: the nodes of one zone in one priority, 0 first; `weight` is the sum of theirs."""

    priority: int
    zone: str
    weight: int
    endpoints: tuple[EndpointWeight, ...]


class WeightDamper:
    """Follows weights in steps, for those who go by weights alone.

    Weights go by the spare capacity of nodes.  A sidecar's own attempts in flight correct them at once;
    proxies follow them blindly until the next ones come.  At a utilisation of u, a weight that is too high
    by a fraction takes off u / (1 - u) times that fraction of the node's spare: above half use each step
    would undo more than the last one did, and the whole zone would swing.  A step of 1 - u of the way lands
    where it should; half of that leaves a margin for reports that are late.  A weight of 0 holds at once.
    """

    def __init__(self) -> None:
        self._damped: dict[str, float] = {}  # by host, as fractions of the mean weight

    def follow(self, host_statuses: Iterable[HostStatus], step: bool) -> list[HostStatus]:
        """Return the statuses with damped weights; without `step` only hosts that come and go matter."""
        statuses = list(host_statuses)
        fraction = _step_fraction(statuses) if step else 0.0
        # As fractions of the mean weight, which are the same however many nodes come and go.
        ready = sum(each.state is HostState.READY for each in statuses)
        mean = sum(each.weight for each in statuses) / ready if ready else 1.0
        damped = {}
        for each in statuses:
            goal = each.weight / mean if mean > 0 else 0.0
            before = self._damped.get(each.host)
            if before is None or goal <= 0:
                damped[each.host] = goal
            else:
                damped[each.host] = before + fraction * (goal - before)
        self._damped = damped
        return [replace(each, weight=damped[each.host]) for each in statuses]


def _step_fraction(statuses: Sequence[HostStatus]) -> float:
    """Return how far of the way to the weights one step goes."""
    reported = [each.utilisation for each in statuses if each.utilisation is not None]
    return max(MIN_STEP, (1 - sum(reported) / len(reported)) / 2) if reported else 1.0


class WeightRounder:
    """Rounds weights to whole numbers that stay where they are until the weight has really moved.

    Guards against a push to every proxy for each small change of the load.
    """

    def __init__(self, change: float) -> None:
        """Start; `change` is the fraction of a weight by which it must have moved."""
        self._change = change
        self._last: dict[str, int] = {}

    def round(self, host_statuses: Iterable[HostStatus]) -> list[EndpointWeight]:
        """Return the nodes' weights, in the order given; `MEAN_WEIGHT` is the mean of the ready ones."""
        statuses = list(host_statuses)
        ready = [each for each in statuses if each.state is HostState.READY]
        total = sum(each.weight for each in ready)
        unit = MEAN_WEIGHT * len(ready) / total if total > 0 else 0.0
        rounded, last = [], {}
        for each in statuses:
            if each.state is not HostState.READY:
                rounded.append(EndpointWeight(each.host, each.zone, 0, True))
                continue
            weight = last[each.host] = self._rounded(each, unit)
            rounded.append(EndpointWeight(each.host, each.zone, weight, False))
        self._last = last
        return rounded

    def _rounded(self, status: HostStatus, unit: float) -> int:
        weight = min(max(round(status.weight * unit), 1), MAX_WEIGHT) if status.weight > 0 else 0
        last = self._last.get(status.host)
        if last and weight and abs(weight - last) <= last * self._change:
            return last
        return weight


def group_by_locality(
    endpoints: Sequence[EndpointWeight], order: Sequence[Sequence[str]]
) -> list[LocalityWeights]:
    """Return endpoints by zone; `order` names the zones of each priority, zones without one come last.

    A priority in which no node may be used would leave a gap, which proxies reject: it is closed up, and its
    nodes (those that drain) go along with the first one that is used.
    """
    rank = {zone: number for number, zones in enumerate(order) for zone in zones}
    by_zone: dict[str, list[EndpointWeight]] = {}
    for endpoint in endpoints:
        by_zone.setdefault(endpoint.zone, []).append(endpoint)
    zones_by_rank: dict[int, list[str]] = {}
    for zone in sorted(by_zone):
        zones_by_rank.setdefault(rank.get(zone, len(order)), []).append(zone)
    used = [
        number for number in sorted(zones_by_rank)
        if any(_total(by_zone[zone]) for zone in zones_by_rank[number])
    ]  # fmt: skip
    priority = {number: position for position, number in enumerate(used)}
    return [
        LocalityWeights(priority.get(number, 0), zone, _total(by_zone[zone]), tuple(by_zone[zone]))
        for number in sorted(zones_by_rank)
        for zone in zones_by_rank[number]
    ]


def _total(endpoints: Iterable[EndpointWeight]) -> int:
    return sum(endpoint.weight for endpoint in endpoints)
