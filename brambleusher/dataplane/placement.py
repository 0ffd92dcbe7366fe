"""Which instance a request goes to: homes, evacuations, kept prefixes, then the weights of the design."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from brambleusher.dataplane.instances import Instance, Instances
from brambleusher.dataplane.prefixes import LARGE_PREFIX_TOKENS, keepers
from brambleusher.wire.configuration import Route
from brambleusher.wire.policy import Policy


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
        for group in self._groups(wanted, usable):
            chosen = self._among(wanted, group, now, only_well=True)
            if chosen is not None:
                return chosen
        return self._among(wanted, usable, now, only_well=False)

    def _groups(self, wanted: Wanted, usable: list[Instance]) -> list[list[Instance]]:
        """Nearer instances first; for a large prefix all together, so that it has one keeper everywhere.

        A prompt on its way to another region is far less than its shared part read once more there.
        """
        if self._kept(wanted) or not self._policy.own_region_first:
            return [usable]
        near = [instance for instance in usable if instance.region == self._region]
        return [near, [instance for instance in usable if instance.region != self._region]]

    def _kept(self, wanted: Wanted) -> bool:
        """Whether a request's shared prefix is worth one instance that keeps it."""
        return self._policy.prefix_keepers and wanted.prefix_tokens >= LARGE_PREFIX_TOKENS

    def _among(self, wanted: Wanted, group: list[Instance], now: float, only_well: bool) -> Instance | None:
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
            chosen = weights.choose(list(by_id), now)
            if chosen is None:
                return None
            if self._instances.admits(by_id[chosen], now):
                return by_id[chosen]
            del by_id[chosen]
        return None
