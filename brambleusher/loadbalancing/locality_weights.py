"""Converts weights to the form that proxies accept: integers by locality, in contiguous priorities."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from brambleusher.loadbalancing.api import HostState
from brambleusher.loadbalancing.fleet_balancer import HostStatus

MEAN_WEIGHT = 100  # mean weight of ready nodes: resolves differences of a tenth and still needs few bytes
MAX_WEIGHT = 10_000  # upper bound, so that one node's weight does not dominate the 32-bit sums
# Minimum fraction of the remaining difference per step, so that a fully used zone still adapts.
MIN_STEP = 0.05


@dataclass(frozen=True, slots=True)
class EndpointWeight:
    """Weight of one node; 0 excludes a ready node, and a draining node always has 0."""

    host: str
    zone: str
    weight: int
    is_draining: bool


@dataclass(frozen=True, slots=True)
class LocalityWeights:
    """The nodes of one zone with their priority (0 is the highest); `weight` is the sum of theirs."""

    priority: int
    zone: str
    weight: int
    endpoints: tuple[EndpointWeight, ...]


class WeightDamper:
    """Damps changes of weights for proxies that rely on weights alone.

    Weights depend on the spare capacity of nodes. A sidecar's own attempts in flight correct them at once,
    but proxies follow them blindly until the next update. At a utilisation of u, a weight that is too high by
    a fraction reduces the node's spare capacity by u / (1 - u) times that fraction: above u = 0.5 each step
    would overcorrect the previous one and the whole zone would oscillate. A step of 1 - u of the difference
    would be exact; half of that leaves a margin for late reports. A weight of 0 takes effect at once.
    """

    def __init__(self) -> None:
        self._damped: dict[str, float] = {}  # damped weight by host, as a multiple of the mean weight

    def follow(self, host_statuses: Iterable[HostStatus], step: bool) -> list[HostStatus]:
        """Return the statuses with damped weights; without `step` only added and removed hosts change."""
        statuses = list(host_statuses)
        fraction = _step_fraction(statuses) if step else 0.0
        # Relative to the mean weight, so that values don't depend on the number of nodes.
        ready = sum(each.state is HostState.READY for each in statuses)
        mean = sum(each.weight for each in statuses) / ready if ready else 1.0
        damped = {}
        for each in statuses:
            target = each.weight / mean if mean > 0 else 0.0
            previous = self._damped.get(each.host)
            if previous is None or target <= 0:
                damped[each.host] = target
            else:
                damped[each.host] = previous + fraction * (target - previous)
        self._damped = damped
        return [replace(each, weight=damped[each.host]) for each in statuses]


def _step_fraction(statuses: Sequence[HostStatus]) -> float:
    """Return the fraction of the difference to the weights that one step covers."""
    reported = [each.utilisation for each in statuses if each.utilisation is not None]
    return max(MIN_STEP, (1 - sum(reported) / len(reported)) / 2) if reported else 1.0


class WeightRounder:
    """Rounds weights to integers with hysteresis: a result changes only if the weight has moved enough.

    Without hysteresis every small change of load would cause a push to all proxies.
    """

    def __init__(self, change: float) -> None:
        """Initialize; `change` is the relative change of a weight below which the old value is kept."""
        self._change = change
        self._last: dict[str, int] = {}

    def round(self, host_statuses: Iterable[HostStatus]) -> list[EndpointWeight]:
        """Return the nodes' weights in the given order; the mean of the ready nodes is `MEAN_WEIGHT`."""
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
    endpoints: Sequence[EndpointWeight], zones_by_priority: Sequence[Sequence[str]]
) -> list[LocalityWeights]:
    """Return endpoints grouped by zone; zones not in `zones_by_priority` come last.

    A priority without usable nodes would leave a gap, which proxies reject. Priorities are therefore
    renumbered, and the nodes of such a priority, which are all draining or excluded, are put into priority 0.
    """
    rank = {zone: number for number, zones in enumerate(zones_by_priority) for zone in zones}
    by_zone: dict[str, list[EndpointWeight]] = {}
    for endpoint in endpoints:
        by_zone.setdefault(endpoint.zone, []).append(endpoint)
    zones_by_rank: dict[int, list[str]] = {}
    for zone in sorted(by_zone):
        zones_by_rank.setdefault(rank.get(zone, len(zones_by_priority)), []).append(zone)
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
