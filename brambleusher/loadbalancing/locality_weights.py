"""Weights as proxies take them: whole numbers, in localities, in priorities without a gap."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from brambleusher.loadbalancing.api import HostState
from brambleusher.loadbalancing.fleet_balancer import HostStatus

MEAN_WEIGHT = 100  # the usual node's weight: fine enough to tell a tenth, small enough to be few bytes
LEAST_STEP = 0.05  # of the way to a weight: a zone in full use still follows
MOST = 10_000  # guards against one node's weight drowning the others' in the sums of 32 bits


@dataclass(frozen=True, slots=True)
class EndpointWeight:
    """One node's part: `weight` of 0 leaves it out though it is ready; one that drains has none either."""

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
    """Weights followed in steps, for those who go by weights alone.

    Weights go by what nodes have to spare.  A sidecar's own attempts out correct them at once; proxies
    follow them blindly until the next ones come.  At a use of u, a weight that is too high by a part takes
    off u / (1 - u) times that part of the node's spare: above half use each step would undo more than the
    last one did, and the whole zone would swing.  A step of 1 - u of the way lands where it should; half of
    that leaves room for reports that are late.  What is left out goes at once.
    """

    def __init__(self) -> None:
        self._held: dict[str, float] = {}

    def follow(self, host_statuses: Iterable[HostStatus], step: bool) -> list[HostStatus]:
        """The weights to go by; between two steps only nodes that come and go make a difference."""
        held = list(host_statuses)
        told = [each.utilisation for each in held if each.utilisation is not None]
        part = max(LEAST_STEP, (1 - sum(told) / len(told)) / 2) if told else 1.0
        # As parts of the usual weight, which are the same however many nodes come and go.
        ready = sum(each.state is HostState.READY for each in held)
        usual = sum(each.weight for each in held) / ready if ready else 1.0
        out, now = [], {}
        for each in held:
            goal = each.weight / usual if usual > 0 else 0.0
            before = self._held.get(each.host)
            if before is None or goal <= 0:
                weight = goal
            else:
                weight = before + (part if step else 0.0) * (goal - before)
            now[each.host] = weight
            out.append(
                HostStatus(each.host, each.zone, each.state, weight, each.pi, each.health, each.utilisation)
            )
        self._held = now
        return out


class WeightRounder:
    """Weights to whole numbers that stay where they are until the weight has really moved.

    Guards against a push to every proxy for each small wave in the figures.
    """

    def __init__(self, change: float) -> None:
        self._change = change  # share of a weight by which it must have moved
        self._last: dict[str, int] = {}

    def round(self, host_statuses: Iterable[HostStatus]) -> list[EndpointWeight]:
        """The nodes' shares, in the order given; `MEAN_WEIGHT` is the mean of the ready ones."""
        held = list(host_statuses)
        ready = [each for each in held if each.state is HostState.READY]
        total = sum(each.weight for each in ready)
        unit = MEAN_WEIGHT * len(ready) / total if total > 0 else 0.0
        out, now = [], {}
        for each in held:
            if each.state is not HostState.READY:
                out.append(EndpointWeight(each.host, each.zone, 0, True))
                continue
            weight = min(max(round(each.weight * unit), 1), MOST) if each.weight > 0 else 0
            last = self._last.get(each.host)
            if last and weight and abs(weight - last) <= last * self._change:
                weight = last
            now[each.host] = weight
            out.append(EndpointWeight(each.host, each.zone, weight, False))
        self._last = now
        return out


def group_by_locality(
    shares: Sequence[EndpointWeight], order: Sequence[Sequence[str]]
) -> list[LocalityWeights]:
    """Shares by zone; `order` names the zones of each priority, and zones it does not name come last.

    A priority in which no node may be used would leave a gap, which proxies refuse: it is closed up,
    and its nodes (those that drain) go along with the first one that is used.
    """
    rank = {zone: at for at, zones in enumerate(order) for zone in zones}
    by_zone: dict[str, list[EndpointWeight]] = {}
    for share in shares:
        by_zone.setdefault(share.zone, []).append(share)
    places: dict[int, list[str]] = {}
    for zone in sorted(by_zone):
        places.setdefault(rank.get(zone, len(order)), []).append(zone)
    used = [at for at in sorted(places) if any(_sum(by_zone[zone]) for zone in places[at])]
    number = {at: priority for priority, at in enumerate(used)}
    return [
        LocalityWeights(number.get(at, 0), zone, _sum(by_zone[zone]), tuple(by_zone[zone]))
        for at in sorted(places)
        for zone in places[at]
    ]


def _sum(shares: Iterable[EndpointWeight]) -> int:
    return sum(share.weight for share in shares)
