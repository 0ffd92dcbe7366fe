"""Which instance a request goes to: homes, evacuations, kept prefixes, then the weights of the design."""

from __future__ import annotations

import heapq
import math
from collections.abc import Collection
from dataclasses import dataclass

from brambleusher.dataplane.instances import HEARD_S, Instance, Instances
from brambleusher.dataplane.prefixes import LARGE_PREFIX_TOKENS, keepers
from brambleusher.wire.configuration import Route
from brambleusher.wire.policy import Policy

FEW_LEAST = 4  # instances that a gateway uses at the least: one may be slow, one may be lost
FEW_HEADROOM = 2.5  # all are used from 1 / 2.5 of full use on


@dataclass(frozen=True, slots=True)
class Wanted:
    """What placement has to know of a request."""

    route: Route
    service: str
    prefix_key: str
    prefix_tokens: int


class Placement:
    """Chooses among the instances of one gateway."""

    def __init__(self, instances: Instances, region: str, policy: Policy | None = None) -> None:
        self._instances, self._region = instances, region
        self._policy = policy or Policy()

    def choose(
        self, wanted: Wanted, tried: Collection[str], now: float, silent_regions: Collection[str] = ()
    ) -> Instance | None:
        """The instance for the next attempt, none of those tried; None where none may be used now.

        Regions in which a connection of this very request timed out, and zones that rest, come last.
        """
        usable = [
            instance
            for instance in self._instances.usable(wanted.route, wanted.service, now)
            if instance.id not in tried
        ]
        rests = self._instances.zone_rests
        resting = rests.resting(now) if self._policy.zone_rests else frozenset()
        last = silent_regions if self._policy.zone_rests else ()
        awake = [each for each in usable if each.zone not in resting and each.region not in last]
        chosen = self._of(wanted, awake, now)
        if chosen is None and len(awake) < len(usable):
            chosen = self._of(wanted, usable, now)
        if chosen is not None:
            rests.tried(chosen.zone, now)
        return chosen

    def _of(self, wanted: Wanted, usable: list[Instance], now: float) -> Instance | None:
        few = self._few(wanted, usable)
        if few:
            chosen = self._among(wanted, few, now, only_well=True, among_few=True)
            if chosen is not None:
                return chosen
        for group in self._groups(wanted, usable):
            chosen = self._among(wanted, group, now, only_well=True)
            if chosen is not None:
                return chosen
        return self._among(wanted, usable, now, only_well=False)

    def _few(self, wanted: Wanted, usable: list[Instance]) -> list[Instance]:
        """The instances that this gateway prefers, near ones if any, as many as the load asks for.

        Few instances for each gateway mean that connections are used again, and that one which fails is
        noticed by the few that use it after as many requests.  The fuller the instances are the more
        evenly they have to be used.  Empty where all of them are needed.
        """
        weights = self._instances.weights.get(wanted.service)
        if not self._policy.subset or self._kept(wanted) or weights is None:
            return []
        well = [instance for instance in usable if weights.well(instance.id)]
        near = [instance for instance in well if self._near(instance)] or well
        size = max(FEW_LEAST, math.ceil(len(near) * weights.mean_utilisation * FEW_HEADROOM))
        if size >= len(near):
            return []
        return heapq.nsmallest(size, near, key=lambda instance: instance.rank)

    def _near(self, instance: Instance) -> bool:
        return instance.region == self._region or not self._policy.own_region_first

    def _groups(self, wanted: Wanted, usable: list[Instance]) -> list[list[Instance]]:
        """Nearer instances first; for a large prefix all together, so that it has one keeper everywhere.

        A prompt on its way to another region is far less than its shared part read once more there.
        """
        if self._kept(wanted):
            return [usable]
        near = [instance for instance in usable if self._near(instance)]
        return [near, [instance for instance in usable if not self._near(instance)]]

    def _kept(self, wanted: Wanted) -> bool:
        """Whether a request's shared prefix is worth one instance that keeps it."""
        return self._policy.prefix_keepers and wanted.prefix_tokens >= LARGE_PREFIX_TOKENS

    def _among(
        self, wanted: Wanted, group: list[Instance], now: float, only_well: bool, among_few: bool = False
    ) -> Instance | None:
        weights = self._instances.weights.get(wanted.service)
        if weights is None:
            return None
        by_id = {instance.id: instance for instance in group if not only_well or weights.well(instance.id)}
        if self._kept(wanted):
            for name in keepers(wanted.prefix_key, by_id):
                if self._instances.admits(by_id[name], now):
                    weights.choose([name], now)
                    return by_id[name]
            return None
        while by_id:
            first = [name for name, each in by_id.items() if each.idle and now - each.heard_at <= HEARD_S]
            chosen = weights.choose(list(by_id), now, among_few, first if among_few else ())
            if chosen is None:
                return None
            if self._instances.admits(by_id[chosen], now):
                return by_id[chosen]
            del by_id[chosen]
        return None
