"""Cross-zone spill without zone rules: the fraction of spare capacity that remote hosts offer.

An attempt in another zone has a price, which is worth paying if it avoids late answers in the own zone.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.fleet_capacity import FleetCapacity
from brambleusher.loadbalancing.hosts import RESERVE, Host
from brambleusher.loadbalancing.performance_index import PI_GOAL
from brambleusher.loadbalancing.windows import NS_PER_S

INITIAL_SPILL = 0.5
MIN_TARGET_UTILISATION = 0.2
MAX_PRICE = 0.99  # the price of a crossing is capped below the value of a request
MIN_SPILL = 0.01
# Fewer than one late answer in this many are tolerable, so a crossing that costs less than that is always
# used to some extent.
TOLERABLE_LATE_ONE_IN = 20
ADJUSTMENT = 0.5  # fraction of the error that is added to the spill per latency target
MIN_HEALTH = 0.5  # a host with a lower health counts as missing its goal


def min_spill(price: float) -> float:
    """Return the minimum fraction of its spare capacity that a remote host offers."""
    return max(MIN_SPILL, 1 - price * TOLERABLE_LATE_ONE_IN)


def misses_goal(host: Host) -> bool:
    """Return whether a host is late or fails too often."""
    return host.performance_index > PI_GOAL or host.health < MIN_HEALTH


class CrossZoneSpill:
    """Controls the fraction of spare capacity that remote hosts offer by the utilisation of the own zone."""

    def __init__(self, settings: api.Settings, shortest_target_ns: int, capacity: FleetCapacity) -> None:
        self._price = settings.cross_zone_price
        self._shortest_target_ns = shortest_target_ns
        self._capacity = capacity
        self.fraction = INITIAL_SPILL

    def of_host(self, host: Host) -> float:
        """Return the fraction of its spare capacity that a host offers."""
        return 1.0 if host.is_local else self.fraction

    def target_utilisation(self) -> float | None:
        """Return the local utilisation above which an attempt in another zone is worth its price.

        None if crossing has no price or the capacity is unknown. With exponentially distributed service
        times, the fraction of late answers at utilisation u is exp(-(1 - u) target / service). Crossing is
        worthwhile where that exceeds its price, so the target is the utilisation at which the two are equal.
        """
        rate = self._capacity.mean_capacity * self._capacity.rate_per_size
        if self._price <= 0 or not rate:
            return None
        free_fraction = (
            math.log(1 / min(self._price, MAX_PRICE)) * (NS_PER_S / rate) / self._shortest_target_ns
        )
        return min(max(1 - free_fraction, MIN_TARGET_UTILISATION), 1 - RESERVE)

    def update(self, hosts: Sequence[Host], elapsed: float) -> None:
        """Adjust the spill after `elapsed` latency targets have passed."""
        local = [host for host in hosts if host.is_local]
        target = self.target_utilisation()
        if not local or target is None:
            if not local or self._price <= 0:
                self.fraction = 1.0
            return
        utilisation = _utilisation(local, target)
        remote_utilisation = _utilisation([host for host in hosts if not host.is_local], 0.0)
        if sum(1 for host in local if misses_goal(host)) * 2 > len(local):
            utilisation = 1.0
        if utilisation > target:
            # Exchanging work between equally busy zones gains nothing.
            error = min(utilisation - target, utilisation - remote_utilisation) / (1 - target)
        else:
            error = (utilisation - target) / target
        updated = self.fraction + ADJUSTMENT * error * elapsed
        self.fraction = min(1.0, max(min_spill(self._price), updated))


def _utilisation(hosts: Sequence[Host], without_capacity: float) -> float:
    used = 0.0
    total = 0.0
    for host in hosts:
        capacity = host.capacity or 0.0
        used += host.utilisation * capacity
        total += capacity
    return used / total if total else without_capacity
