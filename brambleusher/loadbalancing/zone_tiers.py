"""Tiers of zones by nearness: set by the operator's rules or learned from response latencies.

The own zone is tier 0. Learned tiers compare a low quantile of the latencies of each request class, which
reflects network distance more than processing time.
"""

from __future__ import annotations

from collections.abc import Mapping

from brambleusher.loadbalancing.api import ZoneRules
from brambleusher.loadbalancing.zone_state import Zone, ZoneTable

SAME_TIER_TARGETS = 0.02  # maximum latency difference within a tier, in latency targets
LATENCY_QUANTILE = 0.2
# Step of the quantile estimate per response, in latency targets, times the odds of the quantile.
QUANTILE_STEP_TARGETS = 0.002
FAST_STEP_FACTOR = 4  # factor on the step until there are `MIN_LATENCIES`
MIN_LATENCIES = 40  # number of latencies of a class from which its quantile is used
RANK_INTERVAL_TARGETS = 4.0


def tiers_for(rules: ZoneRules, own_zone: str) -> list[list[tuple[str, float]]] | None:
    """Return the operator's tiers for `own_zone` as weighted zones, or None if tiers are learned."""
    if not rules.neighbours:
        return None
    return [list(tier) for zone, tiers in rules.neighbours if zone == own_zone for tier in tiers]


class ZoneTiers:
    """Keeps the tier of each zone."""

    def __init__(self, table: ZoneTable) -> None:
        self._table = table
        self.weights: Mapping[str, float] = {}  # weight of a zone within its tier, according to the rules
        self.ranked_ns = 0

    def rank_when_due(self, now: int) -> None:
        """Recompute the tiers if the last ranking is older than `RANK_INTERVAL_TARGETS`."""
        if now - self.ranked_ns > RANK_INTERVAL_TARGETS * self._table.target_ns:
            self.ranked_ns = now
            self.rank()

    def rank(self) -> None:
        """Set each zone's tier: 0 for the own zone, others by the rules or latencies, unnamed ones last."""
        zones, own_zone = self._table.zones, self._table.own_zone
        tiers = None if self._table.rules is None else tiers_for(self._table.rules, own_zone)
        if tiers is None:
            self.weights = {}
            self._rank_by_latency()
        else:
            self.weights = {name: weight for tier in tiers for name, weight in tier}
            named = {name: number for number, tier in enumerate(tiers, 1) for name, _ in tier}
            for name, zone in zones.items():
                zone.tier = named.get(name, len(tiers) + 1)
        if own_zone in zones:
            zones[own_zone].tier = 0

    def _rank_by_latency(self) -> None:
        """Group zones of similar extra latency into tiers; a zone without latencies is in tier 1."""
        known = self._extra_latencies()
        for zone in self._table.zones.values():
            zone.tier = 1
        tier, first = 1, known[0][0] if known else 0.0
        for latency_ns, name in known:
            if latency_ns - first > SAME_TIER_TARGETS * self._table.target_ns:
                tier, first = tier + 1, latency_ns
            self._table.zones[name].tier = tier

    def _extra_latencies(self) -> list[tuple[float, str]]:
        """Return the extra latency of other zones over the nearest one, in nanoseconds, sorted.

        The extra latency is the mean over request classes, each of which is compared only with itself.
        """
        other_zones = {name: zone for name, zone in self._table.zones.items() if name != self._table.own_zone}
        by_class: dict[int, list[float]] = {}
        for zone in other_zones.values():
            for class_index, count in zone.latency_count.items():
                if count >= MIN_LATENCIES:
                    by_class.setdefault(class_index, []).append(zone.latency_quantile_ns[class_index])
        known = []
        for name, zone in other_zones.items():
            extra_latencies = [
                zone.latency_quantile_ns[class_index] - min(latencies)
                for class_index, latencies in by_class.items()
                if len(latencies) > 1 and zone.latency_count.get(class_index, 0) >= MIN_LATENCIES
            ]
            if extra_latencies:
                known.append((sum(extra_latencies) / len(extra_latencies), name))
        known.sort()
        return known

    def record_latency(self, zone: Zone, class_index: int, latency_ns: float) -> None:
        """Update the quantile of a zone's latencies with one more latency.

        Source: Robbins and Monro, stochastic approximation; steps up and down have the odds of the quantile.
        """
        count = zone.latency_count.get(class_index, 0)
        zone.latency_count[class_index] = min(count + 1, MIN_LATENCIES)
        previous = zone.latency_quantile_ns.get(class_index, latency_ns)
        step = QUANTILE_STEP_TARGETS * self._table.target_ns
        if count < MIN_LATENCIES:
            step *= FAST_STEP_FACTOR
        odds = LATENCY_QUANTILE if latency_ns > previous else LATENCY_QUANTILE - 1
        zone.latency_quantile_ns[class_index] = previous + step * odds
