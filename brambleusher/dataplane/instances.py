"""The instances that this gateway knows: what the list says, what sends have shown, and which may be used."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from brambleusher.dataplane.budgets import ColdBudget
from brambleusher.dataplane.zone_rests import ZoneRests
from brambleusher.loadbalancing.instance_weights import InstanceWeights, Mechanisms
from brambleusher.loadbalancing.subsetting import place
from brambleusher.runtime.streams import parse_address
from brambleusher.runtime.system import Address
from brambleusher.wire.configuration import Route, Service
from brambleusher.wire.instance_load import InstanceLoad
from brambleusher.wire.policy import Policy

DOWN_FIRST_S, DOWN_MOST_S = 0.25, 2.0  # after a failed connection an instance rests, longer each time
REPLACED_S = 3.0  # until the list has dropped an instance that another was found in place of
COLD_MARGIN_S = 1.5  # the list lags: an instance may have started later than it seems
HEARD_S = 0.5  # without a word of an instance for so long, only a new connection shows that it is there
DEFAULT_GATEWAYS = 8.0  # until a controller has counted them


class Standing(Enum):
    """What the list last said of an instance."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(slots=True, eq=False)
class Instance:
    """One incarnation of a server of requests."""

    id: str
    service: str
    address: Address
    zone: str
    region: str
    capacity: float
    standing: Standing = Standing.READY
    cold_until: float = 0.0
    down_until: float = 0.0
    down_for: float = 0.0
    replaced_until: float = 0.0  # another incarnation was found at its address
    cold_budget: ColdBudget | None = None
    rank: int = 0  # its place in this gateway's order of preference, lowest first
    heard_at: float = -math.inf  # when anything came from it last
    connections: int = 0
    idle: list[Any] = field(default_factory=list)

    def become(self, standing: Standing) -> None:
        """The one place where the standing changes; who drains or is gone never comes back under its id."""
        order = (Standing.READY, Standing.DRAINING, Standing.GONE)
        if order.index(standing) > order.index(self.standing):
            self.standing = standing

    def failed_to_connect(self, now: float) -> None:
        """Let it rest, longer each time."""
        self.down_for = min(DOWN_MOST_S, max(DOWN_FIRST_S, self.down_for * 2))
        self.down_until = now + self.down_for

    def is_another(self, now: float) -> None:
        """Another incarnation answers at its address: the list, which lags, will not name it much longer."""
        self.replaced_until = now + REPLACED_S
        self.down_until = max(self.down_until, self.replaced_until)

    def connected(self) -> None:
        """It takes connections again."""
        self.down_for = 0.0
        self.down_until = self.replaced_until


class Instances:
    """All instances, and the weights of each service."""

    def __init__(
        self,
        zones: Mapping[str, str],
        rng: random.Random,
        policy: Policy | None = None,
        gateway: str = "",
    ) -> None:
        self._zones, self._rng, self._gateway = zones, rng, gateway
        self._policy = policy or Policy()
        self._known: dict[str, Instance] = {}
        self._by_service: dict[str, list[Instance]] = {}
        self.weights: dict[str, InstanceWeights] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.services: Mapping[str, Service] = {}
        self.gateways = DEFAULT_GATEWAYS
        self.rank = 0  # of this gateway among them, in the order of their names
        self.zone_rests = ZoneRests()
        self.read_at = -1.0  # when the platform gave the list that is held, on the local clock

    @property
    def listed(self) -> bool:
        """Whether a list has been taken yet."""
        return self.read_at >= 0

    def of(self, service: str) -> list[Instance]:
        """The instances of a service that are on the list."""
        return self._by_service.get(service, [])

    def take_list(self, entries: list[dict[str, Any]], read_at: float, now: float) -> list[Instance]:
        """Follow a newer list; gives the instances that may not be used any more."""
        first, self.read_at = not self.listed, read_at
        named: set[str] = set()
        for entry in entries:
            instance = self._known.get(entry["id"])
            if instance is None:
                instance = self._add(entry, first, now)
            named.add(instance.id)
            instance.capacity = float(entry.get("capacity", 1) or 1)
            warm_in = float(entry.get("warmup_ms", 0) or 0) / 1000
            if warm_in > 0:
                instance.cold_until = max(instance.cold_until, now + warm_in)
            if entry.get("state") != "ready":
                instance.become(Standing.DRAINING)
        gone = [self._known.pop(name) for name in [name for name in self._known if name not in named]]
        for instance in gone:
            instance.become(Standing.GONE)
        self._by_service = {}
        for instance in self._known.values():
            self._by_service.setdefault(instance.service, []).append(instance)
        self._follow()
        draining = [instance for instance in self._known.values() if instance.standing is Standing.DRAINING]
        return draining + gone

    def _add(self, entry: dict[str, Any], first: bool, now: float) -> Instance:
        zone = str(entry.get("zone", ""))
        service = str(entry["service"])
        instance = Instance(
            entry["id"],
            service,
            parse_address(entry["address"]),
            zone,
            self._zones.get(zone, ""),
            float(entry.get("capacity", 1) or 1),
            rank=place(f"{self._gateway} {entry['id']}"),
        )
        if not first:
            instance.cold_until = now + self._warmup_s(service)
        self._known[instance.id] = instance
        return instance

    def _mechanisms(self) -> Mechanisms:
        policy = self._policy
        return Mechanisms(
            spare=policy.spare_weights,
            latency_index=policy.latency_index,
            health=policy.health,
            silence=policy.silence,
            room_above_share=policy.room_above_share,
            reported_load=policy.reported_load,
        )

    def _warmup_s(self, service: str) -> float:
        known = self.services.get(service)
        return known.warmup_s + COLD_MARGIN_S if known is not None and known.warmup_s > 0 else 0.0

    def _follow(self) -> None:
        for service, instances in self._by_service.items():
            weights = self.weights.get(service)
            if weights is None:
                weights = self.weights[service] = InstanceWeights(self._rng, self._mechanisms())
            weights.follow(
                {
                    instance.id: instance.capacity
                    for instance in instances
                    if instance.standing is Standing.READY and instance.zone not in self.evacuated
                }
            )

    def set_evacuated(self, zones: frozenset[str], now: float) -> None:
        """Follow the evacuated zones; instances of one that is taken back may have turned cold."""
        for instance in self._known.values():
            if instance.zone in self.evacuated - zones:
                instance.cold_until = max(instance.cold_until, now + self._warmup_s(instance.service))
        self.evacuated = zones
        self._follow()

    def tick(self, now: float) -> None:
        """Recompute weights."""
        for weights in self.weights.values():
            weights.tick(now, self.gateways)

    def reported(self, instance: Instance, load: InstanceLoad) -> None:
        """An instance told its load."""
        weights = self.weights.get(instance.service)
        if weights is not None:
            weights.reported(instance.id, load.running, load.waiting, load.slots)

    def report(self) -> dict[str, list[float]]:
        """What this gateway saw of all instances, for the others."""
        reports: dict[str, list[float]] = {}
        for weights in self.weights.values():
            reports.update(weights.report())
        return reports

    def hear(self, reporters: int, sums: Mapping[str, list[float]], now: float) -> None:
        """What so many other gateways saw, added up."""
        if not self._policy.fleet_figures:
            return
        for weights in self.weights.values():
            weights.hear(reporters, sums, now)

    # --- which may be used -----------------------------------------------------------------------

    def usable(self, route: Route, service: str, now: float) -> list[Instance]:
        """Instances that a request of a route may be sent to."""
        homes = route.home_regions
        return [
            instance
            for instance in self.of(service)
            if instance.standing is Standing.READY
            and instance.zone not in self.evacuated
            and (not homes or instance.region in homes)
            and (instance.down_until <= now or not self._policy.rest_after_failure)
        ]

    def admits(self, instance: Instance, now: float) -> bool:
        """Whether one more send keeps within the bound of a cold instance; takes of its budget."""
        service = self.services.get(instance.service)
        bounded = service is not None and service.cold_per_s > 0 and self._policy.cold_budget
        if not self.is_cold(instance, now) or service is None or not bounded:
            return True
        if instance.cold_budget is None:
            instance.cold_budget = ColdBudget(instance.id, now)
        return instance.cold_budget.take(service.cold_per_s, self.rank, int(self.gateways), now)

    def is_cold(self, instance: Instance, now: float) -> bool:
        """Whether an instance is warming up."""
        return instance.cold_until > now
