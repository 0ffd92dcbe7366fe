"""Placement: chooses an instance by home regions, evacuations, prefix affinity and weights."""

from __future__ import annotations

import heapq
import math
from collections.abc import Collection
from dataclasses import dataclass

from brambleusher.dataplane.instance import Instance
from brambleusher.dataplane.instance_table import InstanceTable
from brambleusher.dataplane.prefix_affinity import LARGE_PREFIX_TOKENS, rank_by_affinity
from brambleusher.loadbalancing.instance_weights import InstanceWeights
from brambleusher.wire.configuration import Route
from brambleusher.wire.policy import Policy

SUBSET_MIN = 4  # smallest number of instances in a subset, since one may be slow and another may fail
SUBSET_HEADROOM = 2.5  # all instances are used from a utilisation of 1 / 2.5 on
CONTACT_FRESH_S = 0.5  # only a new connection proves that an instance silent for longer is reachable


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """The properties of a request that placement depends on."""

    route: Route
    service: str
    prefix_key: str
    prefix_tokens: int


class Placement:
    """Chooses the instance for each attempt of this gateway."""

    def __init__(self, instances: InstanceTable, region: str, policy: Policy | None = None) -> None:
        self._instances, self._region = instances, region
        self._policy = policy or Policy()

    def choose(
        self,
        request: PlacementRequest,
        tried: Collection[str],
        now_s: float,
        unresponsive_regions: Collection[str] = (),
    ) -> Instance | None:
        """Choose an untried instance for the next attempt; return None if no instance may be used now.

        Regions in which a connection for the same request timed out, and zones in back-off, come last.
        """
        usable = [
            instance
            for instance in self._instances.usable(request.route, request.service, now_s)
            if instance.id not in tried
        ]
        zone_backoff = self._instances.zone_backoff
        responsive = self._responsive(usable, now_s, unresponsive_regions)
        chosen = self._choose_from(request, responsive, now_s)
        if chosen is None and len(responsive) < len(usable):
            chosen = self._choose_from(request, usable, now_s)
        if chosen is not None:
            zone_backoff.begin_trial(chosen.zone, now_s)
        return chosen

    def _responsive(
        self, usable: list[Instance], now_s: float, unresponsive_regions: Collection[str]
    ) -> list[Instance]:
        if not self._policy.backs_off_from_zones:
            return usable
        zones = self._instances.zone_backoff.zones_in_backoff(now_s)
        return [each for each in usable if each.zone not in zones and each.region not in unresponsive_regions]

    def _choose_from(
        self, request: PlacementRequest, usable: list[Instance], now_s: float
    ) -> Instance | None:
        """Try the subset of this gateway, then healthy instances by distance, then all usable instances."""
        weights = self._instances.weights.get(request.service)
        if weights is None:
            return None
        if self._has_affinity(request):
            return self._choose_by_affinity(request, usable, weights, now_s)
        subset = self._subset(usable, weights)
        if subset:
            chosen = self._choose_by_weight(_healthy(subset, weights), weights, now_s, is_subset=True)
            if chosen is not None:
                return chosen
        for group in self._groups_by_distance(usable):
            chosen = self._choose_by_weight(_healthy(group, weights), weights, now_s)
            if chosen is not None:
                return chosen
        return self._choose_by_weight(usable, weights, now_s)

    # --- candidates -------------------------------------------------------------------------------

    def _subset(self, usable: list[Instance], weights: InstanceWeights) -> list[Instance]:
        """Return the instances that this gateway prefers, from its own region if possible.

        With a small subset for each gateway, connections are reused more often, and a failing instance costs
        few requests, since only few gateways use it.  The subset grows with the utilisation, because busy
        instances have to be used more evenly.  It is empty if all instances are needed.
        """
        if not self._policy.uses_subset:
            return []
        healthy = _healthy(usable, weights)
        near = [instance for instance in healthy if self._is_near(instance)] or healthy
        size = max(SUBSET_MIN, math.ceil(len(near) * weights.mean_utilisation * SUBSET_HEADROOM))
        if size >= len(near):
            return []
        return heapq.nsmallest(size, near, key=lambda instance: instance.preference_rank)

    def _is_near(self, instance: Instance) -> bool:
        return instance.region == self._region or not self._policy.prefers_own_region

    def _groups_by_distance(self, usable: list[Instance]) -> list[list[Instance]]:
        near = [instance for instance in usable if self._is_near(instance)]
        return [near, [instance for instance in usable if not self._is_near(instance)]]

    # --- choice -----------------------------------------------------------------------------------

    def _has_affinity(self, request: PlacementRequest) -> bool:
        """Whether a request's shared prefix is large enough to be sent to the instance that caches it."""
        return self._policy.has_prefix_affinity and request.prefix_tokens >= LARGE_PREFIX_TOKENS

    def _choose_by_affinity(
        self, request: PlacementRequest, usable: list[Instance], weights: InstanceWeights, now_s: float
    ) -> Instance | None:
        """Choose by prefix affinity alone, over all regions: healthy instances first, then all.

        Sending a prompt to another region costs far less than another prefill of its prefix.
        """
        return self._first_by_affinity(
            request, _healthy(usable, weights), weights, now_s
        ) or self._first_by_affinity(request, usable, weights, now_s)

    def _first_by_affinity(
        self, request: PlacementRequest, group: list[Instance], weights: InstanceWeights, now_s: float
    ) -> Instance | None:
        by_id = {instance.id: instance for instance in group}
        for instance_id in rank_by_affinity(request.prefix_key, by_id):
            if self._instances.admit(by_id[instance_id], now_s):
                weights.choose([instance_id], now_s)  # consumes a round-robin token, like every other choice
                return by_id[instance_id]
        return None

    def _choose_by_weight(
        self, group: list[Instance], weights: InstanceWeights, now_s: float, is_subset: bool = False
    ) -> Instance | None:
        """Choose by weighted round robin; in a subset, instances with a fresh idle connection come first."""
        by_id = {instance.id: instance for instance in group}
        while by_id:
            connected = [
                instance_id
                for instance_id, instance in by_id.items()
                if is_subset
                and instance.idle_connections
                and now_s - instance.last_contact_s <= CONTACT_FRESH_S
            ]
            chosen = weights.choose(list(by_id), now_s, is_subset, connected)
            if chosen is None:
                return None
            if self._instances.admit(by_id[chosen], now_s):
                return by_id[chosen]
            del by_id[chosen]
        return None


def _healthy(group: list[Instance], weights: InstanceWeights) -> list[Instance]:
    return [instance for instance in group if weights.has_fair_weight(instance.id)]
