"""The table of all known instances: their list entries, observed load and failures, and usability."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping, Sequence

from brambleusher.dataplane.instance import Instance, InstanceStatus
from brambleusher.dataplane.instance_entry import InstanceEntry
from brambleusher.dataplane.warm_up_budget import WarmUpBudget
from brambleusher.dataplane.zone_backoff import ZoneBackoff
from brambleusher.loadbalancing.instance_weights import InstanceWeights, Mechanisms
from brambleusher.loadbalancing.subsetting import hash_position
from brambleusher.runtime.streams import parse_address
from brambleusher.wire.configuration import Route, Service
from brambleusher.wire.instance_load import InstanceLoad
from brambleusher.wire.policy import Policy

WARM_UP_MARGIN_S = 1.5  # added since the list lags: an instance may have started later than it seems
DEFAULT_GATEWAY_COUNT = 8.0  # assumed number of gateways until a controller reports a count


class InstanceTable:
    """Holds all instances, and the instance weights of each service."""

    def __init__(
        self,
        zones: Mapping[str, str],
        rng: random.Random,
        policy: Policy | None = None,
        gateway_name: str = "",
    ) -> None:
        """Start without an instance list; `zones` maps each zone to its region."""
        self._zones, self._rng, self._gateway_name = zones, rng, gateway_name
        self._policy = policy or Policy()
        self._instances: dict[str, Instance] = {}
        self._by_service: dict[str, list[Instance]] = {}
        self.weights: dict[str, InstanceWeights] = {}
        self.evacuated_zones: frozenset[str] = frozenset()
        self.services: Mapping[str, Service] = {}
        self.gateway_count = DEFAULT_GATEWAY_COUNT
        self.gateway_rank = 0  # position of this gateway among all gateways, sorted by name
        self.zone_backoff = ZoneBackoff()
        self.list_read_at_s = -1.0  # local time at which the platform returned the list; -1 without a list

    # --- instance list ----------------------------------------------------------------------------

    @property
    def has_list(self) -> bool:
        """Whether an instance list has been applied yet."""
        return self.list_read_at_s >= 0

    def for_service(self, service: str) -> list[Instance]:
        """Return the listed instances of a service."""
        return self._by_service.get(service, [])

    @property
    def attempts_in_flight(self) -> int:
        """The number of connections to listed instances that are in use."""
        return sum(each.connection_count - len(each.idle_connections) for each in self._instances.values())

    def update(self, entries: Iterable[InstanceEntry], read_at_s: float, now_s: float) -> list[Instance]:
        """Apply a newer instance list; return the instances that drain or were removed.

        Args:
            entries: All entries of the list.
            read_at_s: When the platform returned the list, on the local clock, in seconds.
            now_s: The current time of the scheduler in seconds.
        """
        is_first, self.list_read_at_s = not self.has_list, read_at_s
        listed: set[str] = set()
        for entry in entries:
            instance = self._instances.get(entry.id)
            if instance is None:
                instance = self._add(entry, is_first, now_s)
            listed.add(instance.id)
            _apply_entry(instance, entry, now_s)
        removed = self._remove_unlisted(listed)
        self._group_by_service()
        self._update_weights()
        draining = [each for each in self._instances.values() if each.status is InstanceStatus.DRAINING]
        return draining + removed

    def _add(self, entry: InstanceEntry, is_first_list: bool, now_s: float) -> Instance:
        instance = Instance(
            entry.id,
            entry.service,
            parse_address(entry.address),
            entry.zone,
            self._zones.get(entry.zone, ""),
            entry.capacity,
            preference_rank=hash_position(f"{self._gateway_name} {entry.id}"),
        )
        if not is_first_list:
            instance.warming_until_s = now_s + self._warm_up_s(entry.service)
        self._instances[instance.id] = instance
        return instance

    def _remove_unlisted(self, listed: set[str]) -> list[Instance]:
        unlisted = [instance_id for instance_id in self._instances if instance_id not in listed]
        removed = [self._instances.pop(instance_id) for instance_id in unlisted]
        for instance in removed:
            instance.set_status(InstanceStatus.REMOVED)
        return removed

    def _group_by_service(self) -> None:
        self._by_service = {}
        for instance in self._instances.values():
            self._by_service.setdefault(instance.service, []).append(instance)

    def _warm_up_s(self, service_name: str) -> float:
        service = self.services.get(service_name)
        return service.warm_up_s + WARM_UP_MARGIN_S if service is not None and service.warm_up_s > 0 else 0.0

    def set_evacuated_zones(self, zones: frozenset[str], now_s: float) -> None:
        """Set the evacuated zones; instances of a zone that is restored may have to warm up again."""
        restored = self.evacuated_zones - zones
        for instance in self._instances.values():
            if instance.zone in restored:
                warming_until_s = now_s + self._warm_up_s(instance.service)
                instance.warming_until_s = max(instance.warming_until_s, warming_until_s)
        self.evacuated_zones = zones
        self._update_weights()

    # --- weights ----------------------------------------------------------------------------------

    def _update_weights(self) -> None:
        for service in self._by_service:
            weights = self.weights.get(service)
            if weights is None:
                weights = self.weights[service] = InstanceWeights(self._rng, self._mechanisms())
            weights.set_instances({each.id: each.capacity for each in self._in_service(service)})

    def _mechanisms(self) -> Mechanisms:
        policy = self._policy
        return Mechanisms(
            spare=policy.weighs_by_spare_capacity,
            latency_index=policy.weighs_by_latency,
            health=policy.weighs_by_health,
            unresponsive=policy.skips_unresponsive,
            slot_limit=policy.limits_to_quota_share,
            reported_load=policy.uses_reported_load,
        )

    def tick(self, now_s: float) -> None:
        """Recompute the weights of all instances."""
        for weights in self.weights.values():
            weights.recompute(now_s, self.gateway_count)

    def record_load(self, instance: Instance, load: InstanceLoad) -> None:
        """Record the load that an instance reported with a response."""
        weights = self.weights.get(instance.service)
        if weights is not None:
            weights.record_load(instance.id, load.running, load.queued, load.slots)

    def load_report(self) -> dict[str, list[float]]:
        """Return this gateway's observations of each instance, to be sent to the other gateways."""
        report: dict[str, list[float]] = {}
        for weights in self.weights.values():
            report.update(weights.export_totals())
        return report

    def apply_fleet_load(self, reporters: int, totals: Mapping[str, Sequence[float]], now_s: float) -> None:
        """Apply the observations of `reporters` other gateways, summed up for each instance."""
        if not self._policy.uses_fleet_metrics:
            return
        for weights in self.weights.values():
            weights.import_totals(reporters, totals, now_s)

    # --- usable instances -------------------------------------------------------------------------

    def _in_service(self, service: str) -> list[Instance]:
        return [
            instance
            for instance in self.for_service(service)
            if instance.status is InstanceStatus.READY and instance.zone not in self.evacuated_zones
        ]

    def usable(self, route: Route, service: str, now_s: float) -> list[Instance]:
        """Return the instances of a service that a request of a route may be sent to."""
        homes = route.home_regions
        return [
            instance
            for instance in self._in_service(service)
            if (not homes or instance.region in homes)
            and (instance.backoff_until_s <= now_s or not self._policy.backs_off_after_failure)
        ]

    def admit(self, instance: Instance, now_s: float) -> bool:
        """Take an attempt from the budget of a warming instance; return whether the attempt is allowed."""
        service = self.services.get(instance.service)
        has_limit = service is not None and service.warm_up_requests_per_s > 0 and self._policy.limits_warm_up
        if not self.is_warming_up(instance, now_s) or service is None or not has_limit:
            return True
        if instance.warm_up_budget is None:
            instance.warm_up_budget = WarmUpBudget(instance.id, now_s)
        gateways = int(self.gateway_count)
        return instance.warm_up_budget.take(
            service.warm_up_requests_per_s, self.gateway_rank, gateways, now_s
        )

    @staticmethod
    def is_warming_up(instance: Instance, now_s: float) -> bool:
        """Whether an instance is still in its warm-up (slow start)."""
        return instance.warming_until_s > now_s


def _apply_entry(instance: Instance, entry: InstanceEntry, now_s: float) -> None:
    instance.capacity = entry.capacity
    if entry.warm_up_s > 0:
        instance.warming_until_s = max(instance.warming_until_s, now_s + entry.warm_up_s)
    if not entry.is_ready:
        instance.set_status(InstanceStatus.DRAINING)
