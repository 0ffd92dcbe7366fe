"""Spill grants: how many of this proxy's requests each zone may get, without coordination of proxies.

A zone other than the own one gets at most its grant, in requests per second. All proxies together raise their
grants per second by at most a fraction of the zone's spare capacity: each proxy raises its grant by its share
of the traffic of the zones in trouble, and those shares add up to one. A returning zone goes through a slow
start: its grant grows while it responds.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from brambleusher.loadbalancing.zone_health import RESPONSE_HALF_LIFE_TARGETS
from brambleusher.loadbalancing.zone_state import LN_2, NS_PER_S, Zone, ZoneLoad, ZoneState, ZoneTable
from brambleusher.loadbalancing.zone_tiers import ZoneTiers

# Spill.
REPORT_LAG_TARGETS = 1.0  # half-life, in latency targets, of grants that load reports can't reflect yet
UNUSED_LAPSE_S = 2.0  # time constant, in seconds, with which an unused grant shrinks
HEADROOM_S = 0.25  # seconds of spill that are granted in advance of use
BURST_S = 0.3  # seconds of a grant that may be used at once, at least one request
EXHAUSTED_FRACTION = 0.98  # used fraction of a limit from which the grant counts as exhausted
# Minimum grant of a zone in use, in requests per latency target; without requests nothing is learned about a
# zone.
MIN_PER_TARGET = 0.25
RETAINED_GRANT_FACTOR = 1.25  # multiple of the used rate that stays granted
TRAFFIC_SHARE_HALF_LIFE_TARGETS = 16.0  # half-life of the traffic share in latency targets
# Fraction of a grant that is removed per second at a full zone, less at a smaller overload.
STRAIN_DECREASE = 0.5
STRAINED_OVERLOAD = 0.5  # minimum overload, from 0 to 1, that is assumed for a strained zone
MIN_OVERLOAD_RANGE = 0.01  # avoids a division by 0 where the maximum utilisation is 1
SUSPECT_FRACTION = 0.5  # fraction of its spare capacity that a suspect zone offers
MIN_SPILL_SHARE = 0.25  # minimum share of the spill, as a fraction of an even share of the fleet
TIER_GAIN = 0.5  # fraction of the error by which the offered fraction changes per latency target
EVACUATION_S = 10.0  # seconds over which the limit of an evacuated zone falls to 0

# Constants for the grants of returning zones.
NEED_FRACTION = 0.1  # unplaced fraction of the demand above which suppressed zones are needed
NEEDED_TARGETS = 4.0  # latency targets after the last unplaced demand for which returning zones are needed
NEEDED_FACTOR = 2.0  # maximum grant of a needed zone as a multiple of its capacity; nodes queue for a while
NEEDED_DOUBLING_S = 0.15  # seconds in which the grant of a needed returning zone doubles
START_FRACTION = 0.1  # fraction of a zone's capacity that all proxies together are granted at first
DOUBLING_S = 0.6  # seconds in which the grant of a responding returning zone doubles
RESPONSE_FACTOR = 2.0  # upper bound of a returning zone's grant as a multiple of its rate of responses

UNLIMITED = -1.0


@dataclass(slots=True)
class _NearerTiers:
    """Total load of the tiers nearer than the current one; rates are in requests per second."""

    used: float = 0.0
    capacity: float = 0.0
    strained_zones: int = 0
    zones: int = 0

    def add(self, loads: list[ZoneLoad]) -> None:
        self.used += sum(load.used for load in loads)
        self.capacity += sum(load.capacity for load in loads)
        self.strained_zones += sum(load.is_strained for load in loads)
        self.zones += len(loads)


def allocate_within_limits(
    demand: float, weights: Mapping[str, float], limits: Mapping[str, float]
) -> dict[str, float]:
    """Distribute a demand by weight within limits (a negative one is unlimited); others get the excess.

    Returns:
        Requests per second by zone; their sum is less than the demand if all limits are reached.
    """
    distributed: dict[str, float] = {}
    remaining, unfilled = demand, _scaled_to_one(weights)
    while unfilled:
        total = sum(unfilled.values())
        full = [name for name, weight in unfilled.items() if 0 <= limits[name] <= remaining * weight / total]
        if not full:
            distributed.update({name: remaining * weight / total for name, weight in unfilled.items()})
            break
        for name in full:
            distributed[name] = limits[name]
            del unfilled[name]
        remaining = max(demand - sum(distributed.values()), 0.0)
    return distributed


def _scaled_to_one(weights: Mapping[str, float]) -> dict[str, float]:
    """Return the positive weights, divided by the power of two that brings the largest between 0.5 and 1.

    Products with subnormal weights would be rounded to multiples of the smallest positive number.
    """
    positive = {name: weight for name, weight in weights.items() if weight > 0}
    _, exponent = math.frexp(max(positive.values(), default=1.0))
    return {name: math.ldexp(weight, -exponent) for name, weight in positive.items()}


class SpillGrants:
    """Sets the limit and the offered fraction of each zone."""

    def __init__(self, table: ZoneTable, tiers: ZoneTiers) -> None:
        self._table = table
        self._tiers = tiers
        # Fraction of its spare capacity that each tier offers, controlled by the utilisation of nearer tiers.
        self.offered_by_tier: dict[int, float] = {}
        self.ticked_ns = 0

    # --- requests -------------------------------------------------------------------------------

    def admits(self, name: str, now: int, allow_burst: bool = False) -> bool:
        """Return whether a request may go to a zone; with `allow_burst` up to a burst in advance."""
        zone = self._table.zones.get(name)
        if self._table.rules is None or zone is None or zone.limit_per_s < 0:
            return True
        self._refill(zone, now)
        return zone.tokens >= (1.0 - max(1.0, zone.limit_per_s * BURST_S) if allow_burst else 1.0)

    def record_sent(self, name: str, now: int) -> None:
        """Record that a request is sent to a zone."""
        zone = self._table.zones.get(name)
        if zone is not None and zone.limit_per_s >= 0:
            self._refill(zone, now)
            zone.tokens -= 1.0

    @staticmethod
    def _refill(zone: Zone, now: int) -> None:
        burst = max(1.0, zone.limit_per_s * BURST_S)
        refilled = zone.limit_per_s * max(now - zone.refilled_ns, 0) / NS_PER_S
        zone.tokens = min(zone.tokens + refilled, burst)
        zone.refilled_ns = now

    # --- shares ---------------------------------------------------------------------------------

    def capacity_share(self, name: str) -> float:
        """Return this proxy's share of a zone's capacity: half by its earlier traffic share, half evenly.

        The shares of all proxies add up to one, and a proxy without earlier traffic there gets a share too.
        """
        zone = self._table.zones.get(name)
        fleet_size = self._table.fleet_size
        traffic_share = 1.0 / fleet_size if zone is None else self._traffic_share(zone)
        return (traffic_share + 1.0 / fleet_size) / 2

    def _traffic_share(self, zone: Zone) -> float:
        """Return this proxy's share of a zone's traffic; if unknown, assume that all zones are alike."""
        if zone.own_traffic_share >= 0:
            return zone.own_traffic_share
        if zone.name != self._table.own_zone:
            return 0.0
        return min(1.0, max(len(self._table.zones), 1) / self._table.fleet_size)

    def _spill_share(self, loads: Mapping[str, ZoneLoad], target_utilisation: float) -> float:
        """Return this proxy's share of the spill: its mean traffic share of the zones in trouble.

        The shares of all proxies add up to one, since each zone's traffic is distributed over all proxies.
        """
        table = self._table
        troubled = [
            zone for zone in table.zones.values() if zone.is_out_of_use or zone.state is ZoneState.RETURNING
        ]
        own = table.zones.get(table.own_zone)
        if own is not None and own not in troubled:
            load = loads.get(table.own_zone) or ZoneLoad()
            if load.is_strained or load.used > target_utilisation * load.capacity or own.evacuation_began_ns:
                troubled.append(own)
        shares = [self._traffic_share(zone) for zone in troubled]
        mean = sum(shares) / len(shares) if shares else 0.0
        return max(mean, MIN_SPILL_SHARE / table.fleet_size)

    # --- tiers ----------------------------------------------------------------------------------

    def update_tiers(
        self, elapsed: float, loads: Mapping[str, ZoneLoad], target_utilisation: float, min_fraction: float
    ) -> None:
        """Set the offered fraction of each tier's spare capacity from the utilisation of nearer tiers."""
        table = self._table
        nearer = _NearerTiers()
        for tier in sorted({zone.tier for zone in table.zones.values()}):
            names = [
                name for name, zone in table.zones.items()
                if zone.tier == tier and not table.is_excluded(name)
            ]  # fmt: skip
            loaded = [name for name in names if name in loads and loads[name].host_count]
            if not nearer.capacity:
                self.offered_by_tier[tier] = 1.0
            else:
                self._update_tier(
                    tier, [loads[name] for name in loaded], nearer, elapsed, target_utilisation, min_fraction
                )
            # A zone that is returning or being evacuated is used up to its limit, so its utilisation is not
            # counted.
            nearer.add([loads[name] for name in loaded if not table.zones[name].is_ramping])

    def _update_tier(
        self,
        tier: int,
        loads: list[ZoneLoad],
        nearer: _NearerTiers,
        elapsed: float,
        target_utilisation: float,
        min_fraction: float,
    ) -> None:
        used, capacity = sum(load.used for load in loads), sum(load.capacity for load in loads)
        if not capacity:
            return
        utilisation, farther_utilisation = nearer.used / nearer.capacity, used / capacity
        if nearer.strained_zones * 2 > nearer.zones:
            utilisation = 1.0
        if utilisation > target_utilisation:
            error = (utilisation - target_utilisation) / (1 - target_utilisation)
            # Exchanging work between equally busy tiers gains nothing.
            error = min(error, (utilisation - farther_utilisation) / (1 - target_utilisation))
        else:
            error = (utilisation - target_utilisation) / target_utilisation
        previous = self.offered_by_tier.get(tier, min_fraction)
        self.offered_by_tier[tier] = min(1.0, max(min_fraction, previous + TIER_GAIN * error * elapsed))

    def _offered_by_tiers_up_to(self, tier: int) -> float:
        """Return the product of the offered fractions of a tier and all nearer ones."""
        offered = 1.0
        for number, fraction in self.offered_by_tier.items():
            if number <= tier:
                offered *= fraction
        return offered

    # --- grants ---------------------------------------------------------------------------------

    def decay(self, zone: Zone, elapsed: float) -> None:
        """Decay the part of the grant that reports can't reflect yet, over `elapsed` latency targets."""
        zone.unreported_grant_per_s *= 0.5 ** (elapsed / REPORT_LAG_TARGETS)

    def needs_returning_zones(self, now: int) -> bool:
        """Return whether some demand was unplaced recently, so that returning zones must take more."""
        last_ns = self._table.last_unplaced_ns
        return bool(last_ns) and now - last_ns <= NEEDED_TARGETS * self._table.target_ns

    def update(
        self,
        now: int,
        elapsed: float,
        loads: Mapping[str, ZoneLoad],
        demand: float,
        target_utilisation: float,
    ) -> None:
        """Set limits and offered fractions of all zones, distributing the demand within the grants.

        Args:
            now: The current time in nanoseconds.
            elapsed: Time since the last tick in latency targets.
            loads: Load by zone.
            demand: Requests per second that arrive at this proxy.
            target_utilisation: Utilisation of nearer hosts above which farther ones help.
        """
        weights = self._update_limits(now, elapsed, loads, demand, target_utilisation)
        self.ticked_ns = now
        if self._table.is_panic:
            for zone in self._table.zones.values():
                zone.offered_fraction = 1.0
                zone.limit_per_s = UNLIMITED
            self._table.unplaced_fraction = 0.0
            return
        self._distribute_demand(weights, loads, demand, now)

    def _update_limits(
        self,
        now: int,
        elapsed: float,
        loads: Mapping[str, ZoneLoad],
        demand: float,
        target_utilisation: float,
    ) -> dict[str, float]:
        """Set the limit of each zone; return the weights of the zones that are not excluded."""
        table = self._table
        max_utilisation = table.active_rules.max_utilisation
        seconds = elapsed * table.target_ns / NS_PER_S
        # Converts the decaying count of responses, with half-life `RESPONSE_HALF_LIFE_TARGETS`, to a rate.
        per_s = LN_2 / (RESPONSE_HALF_LIFE_TARGETS * table.target_ns / NS_PER_S)
        spill_share = self._spill_share(loads, target_utilisation)
        weights: dict[str, float] = {}
        for name, zone in table.zones.items():
            load, used = loads.get(name) or ZoneLoad(), zone.recent_responses * per_s
            self._update_traffic_share(zone, load, used, elapsed)
            zone.is_calm = zone.state is ZoneState.HEALTHY and load.used < target_utilisation * load.capacity
            if not load.host_count or table.is_excluded(name):
                zone.limit_per_s = UNLIMITED
                continue
            spare = max(max_utilisation * load.capacity - load.used, 0.0) * spill_share
            self._update_grant(zone, load, used, spare, seconds, now)
            offered = self._offered_by_tiers_up_to(zone.tier) * self._tiers.weights.get(name, 1.0)
            suspect_factor = SUSPECT_FRACTION if zone.state is ZoneState.SUSPECT else 1.0
            weights[name] = load.total_weight * offered * suspect_factor
            zone.limit_per_s = self._limit(zone, load, demand, now)
        return weights

    @staticmethod
    def _update_traffic_share(zone: Zone, load: ZoneLoad, used: float, elapsed: float) -> None:
        if zone.state is not ZoneState.HEALTHY or load.throughput <= 0 or zone.evacuation_began_ns:
            return
        current_share = min(1.0, used / load.throughput)
        is_known = zone.own_traffic_share >= 0
        retained = 0.5 ** (elapsed / TRAFFIC_SHARE_HALF_LIFE_TARGETS) if is_known else 0.0
        zone.own_traffic_share = zone.own_traffic_share * retained + current_share * (1 - retained)

    def _distribute_demand(
        self, weights: Mapping[str, float], loads: Mapping[str, ZoneLoad], demand: float, now: int
    ) -> None:
        """Set the offered fractions of zones and the unplaced fraction of the demand."""
        table = self._table
        limits = {name: table.zones[name].limit_per_s for name, weight in weights.items() if weight > 0}
        distributed = allocate_within_limits(demand, weights, limits)
        for name, limit in limits.items():
            zone = table.zones[name]
            is_full = zone.state is ZoneState.RETURNING and zone.grant_per_s >= self._max_grant(
                zone, loads[name], now
            )
            if limit >= 0 and distributed[name] >= EXHAUSTED_FRACTION * limit and not is_full:
                zone.grant_exhausted_ns = now
        fractions = {name: amount / loads[name].total_weight for name, amount in distributed.items()}
        max_fraction = max(fractions.values(), default=0.0)
        for name in weights:
            zone = table.zones[name]
            has_fraction = max_fraction > 0 and name in fractions
            zone.offered_fraction = (
                fractions[name] / max_fraction if has_fraction else self._offered_by_tiers_up_to(zone.tier)
            )
        # Demand can only be unplaced if every participating zone has a limit.
        is_limited = demand > 0 and limits and all(table.zones[name].limit_per_s >= 0 for name in weights)
        table.unplaced_fraction = max(0.0, 1.0 - sum(distributed.values()) / demand) if is_limited else 0.0
        is_short = table.unplaced_fraction > NEED_FRACTION
        table.short_since_ns = (table.short_since_ns or now) if is_short else 0
        if table.unplaced_fraction > 0:
            table.last_unplaced_ns = now

    def _update_grant(
        self, zone: Zone, load: ZoneLoad, used: float, spare: float, seconds: float, now: int
    ) -> None:
        """Raise an exhausted grant, reduce the grant of a strained zone, and let an unused grant shrink."""
        is_exhausted = zone.grant_exhausted_ns == self.ticked_ns  # exhausted at the last tick
        if zone.state is ZoneState.RETURNING:
            self._update_returning_grant(zone, load, used, seconds, is_exhausted, now)
            return
        rules = self._table.active_rules
        overload = load.used / load.capacity - rules.max_utilisation if load.capacity else 0.0
        overload = min(overload / max(1 - rules.max_utilisation, MIN_OVERLOAD_RANGE), 1.0)
        overload = max(overload, STRAINED_OVERLOAD) if load.is_strained else overload
        if overload > 0:
            zone.grant_per_s *= max(0.0, 1.0 - STRAIN_DECREASE * overload * seconds)
        elif is_exhausted:
            step = max(min(rules.spill_rate * spare * seconds, spare - zone.unreported_grant_per_s), 0.0)
            zone.grant_per_s += step
            zone.unreported_grant_per_s += step
        else:
            retained = RETAINED_GRANT_FACTOR * used + rules.spill_rate * spare * HEADROOM_S
            zone.grant_per_s += (retained - zone.grant_per_s) * min(seconds / UNUSED_LAPSE_S, 1.0)
        min_grant = MIN_PER_TARGET * NS_PER_S / self._table.target_ns
        zone.grant_per_s = max(zone.grant_per_s, used if overload <= 0 else 0.0, min_grant)

    def _update_returning_grant(
        self, zone: Zone, load: ZoneLoad, used: float, seconds: float, is_exhausted: bool, now: int
    ) -> None:
        """Apply slow start: the grant of a returning zone doubles repeatedly while it is exhausted."""
        initial_grant = START_FRACTION * load.capacity * self.capacity_share(zone.name)
        initial_grant = max(initial_grant, MIN_PER_TARGET * NS_PER_S / self._table.target_ns)
        if is_exhausted and self.needs_returning_zones(now):
            # The grant rises to its limit; missing responses show if the zone can't handle more.
            zone.grant_per_s *= 2 ** (seconds / NEEDED_DOUBLING_S)
        elif is_exhausted:
            max_grant = max(RESPONSE_FACTOR * used, initial_grant)
            zone.grant_per_s = min(zone.grant_per_s * 2 ** (seconds / DOUBLING_S), max_grant)
        zone.grant_per_s = max(zone.grant_per_s, initial_grant)

    def _limit(self, zone: Zone, load: ZoneLoad, demand: float, now: int) -> float:
        """Return the requests per second that this proxy may send to a zone; negative means unlimited."""
        if zone.evacuation_began_ns:
            remaining = 1.0 - (now - zone.evacuation_began_ns) / (EVACUATION_S * NS_PER_S)
            return max(remaining, 0.0) * demand
        if zone.state is ZoneState.RETURNING:
            max_grant = self._max_grant(zone, load, now)
            return min(zone.grant_per_s, max_grant) if load.capacity else zone.grant_per_s
        # The own zone is never limited; nor is a zone of unknown capacity, before the first load report.
        is_unlimited = zone.name == self._table.own_zone or not load.capacity
        return UNLIMITED if is_unlimited else zone.grant_per_s

    def _max_grant(self, zone: Zone, load: ZoneLoad, now: int) -> float:
        """Return the maximum grant of a returning zone: this proxy's share of the zone's capacity."""
        capacity_factor = self._table.active_rules.max_utilisation
        if self.needs_returning_zones(now):
            capacity_factor = NEEDED_FACTOR
        return self.capacity_share(zone.name) * capacity_factor * load.capacity
