"""Spill to other zones without rules on zones: the part of their spare capacity that remote hosts offer.

Crossing has a price; what it saves is lateness at home.
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
MAX_PRICE = 0.99  # lateness can't cost more than all there is
MIN_SPILL = 0.01
# Below one late answer in so many nobody would notice: so cheap a crossing is always partly used.
UNNOTICED_ONE_IN = 20
ADJUSTMENT = 0.5  # of the error goes into the spill in one latency target
MIN_HEALTH = 0.5  # under it a host counts as missing its goal


def min_spill(price: float) -> float:
    """Return the part of its spare capacity that a remote host offers at the least."""
    return max(MIN_SPILL, 1 - price * UNNOTICED_ONE_IN)


def misses_goal(host: Host) -> bool:
    """Return whether a host is late or fails too often."""
    return host.performance_index > PI_GOAL or host.health < MIN_HEALTH


class CrossZoneSpill:
    """What of their spare capacity remote hosts take, steered by the use of the own zone."""

    def __init__(self, settings: api.Settings, unit_ns: int, capacity: FleetCapacity) -> None:
        self._price = settings.cross_zone_price
        self._unit_ns = unit_ns
        self._capacity = capacity
        self.fraction = INITIAL_SPILL

    def of_host(self, host: Host) -> float:
        """Return the part of its spare capacity that a host offers."""
        return 1.0 if host.is_local else self.fraction

    def target_utilisation(self) -> float | None:
        """Return the local use above which crossing pays.

        None where it has no price, or capacity is not known.  With exponential answers a part
        exp(-(1 - u) target / service) comes late at use u; crossing pays where that exceeds its price, so the
        use to aim for is where the two are equal.
        """
        rate = self._capacity.mean_capacity * self._capacity.rate_per_size
        if self._price <= 0 or not rate:
            return None
        late = math.log(1 / min(self._price, MAX_PRICE)) * (NS_PER_S / rate) / self._unit_ns
        return min(max(1 - late, MIN_TARGET_UTILISATION), 1 - RESERVE)

    def update(self, hosts: Sequence[Host], gap: float) -> None:
        """Steer the spill after `gap` latency targets."""
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
            # Zones as busy as each other gain nothing by exchanging work.
            error = min(utilisation - target, utilisation - remote_utilisation) / (1 - target)
        else:
            error = (utilisation - target) / target
        steered = self.fraction + ADJUSTMENT * error * gap
        self.fraction = min(1.0, max(min_spill(self._price), steered))


def _utilisation(hosts: Sequence[Host], without_capacity: float) -> float:
    used = 0.0
    total = 0.0
    for host in hosts:
        capacity = host.capacity or 0.0
        used += host.utilisation * capacity
        total += capacity
    return used / total if total else without_capacity
