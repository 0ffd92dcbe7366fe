"""Tiers of zones by nearness: from the operator's rules, or learned from the latencies of their responses.

The own zone is tier 0.  Learned tiers compare a low quantile of the latencies of each class, which says more
of the way to a zone than of the work there.
"""

from __future__ import annotations

from collections.abc import Mapping

from brambleusher.loadbalancing.api import ZoneRules
from brambleusher.loadbalancing.zone_state import Zone, ZoneTable

SAME_TIER_TARGETS = 0.02  # zones whose latency differs by less of a target are equally near
LATENCY_QUANTILE = 0.2
QUANTILE_STEP_TARGETS = 0.002  # the quantile moves so far at each response, up and down by its odds
FAST_STEP_FACTOR = 4  # of the step, until there are `MIN_LATENCIES`
MIN_LATENCIES = 40  # of a class before its quantile counts
RANK_INTERVAL_TARGETS = 4.0


def tiers_for(rules: ZoneRules, own_zone: str) -> list[list[tuple[str, float]]] | None:
    """Return the operator's tiers after one's own zone, as zones with weights; None: they are learned."""
    if not rules.neighbours:
        return None
    return [list(tier) for zone, tiers in rules.neighbours if zone == own_zone for tier in tiers]


class ZoneTiers:
    """Keeps the tier of each zone."""

    def __init__(self, table: ZoneTable) -> None:
        self._table = table
        self.weights: Mapping[str, float] = {}  # within a tier, by the rules
        self.ranked_ns = 0

    def rank_when_due(self, now: int) -> None:
        """Rank zones anew where the last ranking is old."""
        if now - self.ranked_ns > RANK_INTERVAL_TARGETS * self._table.target_ns:
            self.ranked_ns = now
            self.rank()

    def rank(self) -> None:
        """Set each zone's tier: own 0, then the rules' or the learned ones, at last all that is not named."""
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
        """Put zones of about the same extra latency into one tier; one not known yet is in tier 1."""
        known = self._extra_latencies()
        for zone in self._table.zones.values():
            zone.tier = 1
        tier, first = 1, known[0][0] if known else 0.0
        for latency_ns, name in known:
            if latency_ns - first > SAME_TIER_TARGETS * self._table.target_ns:
                tier, first = tier + 1, latency_ns
            self._table.zones[name].tier = tier

    def _extra_latencies(self) -> list[tuple[float, str]]:
        """Return by how much further zones exceed the nearest, in ns: the mean over classes, sorted.

        Classes are compared each with itself.
        """
        further = {name: zone for name, zone in self._table.zones.items() if name != self._table.own_zone}
        by_class: dict[int, list[float]] = {}
        for zone in further.values():
            for cls, count in zone.latency_count.items():
                if count >= MIN_LATENCIES:
                    by_class.setdefault(cls, []).append(zone.latency_quantile_ns[cls])
        known = []
        for name, zone in further.items():
            extra = [
                zone.latency_quantile_ns[cls] - min(latencies)
                for cls, latencies in by_class.items()
                if len(latencies) > 1 and zone.latency_count.get(cls, 0) >= MIN_LATENCIES
            ]
            if extra:
                known.append((sum(extra) / len(extra), name))
        known.sort()
        return known

    def record_latency(self, zone: Zone, cls: int, latency_ns: float) -> None:
        """Move the quantile of a zone's latencies towards one more of them.

        Source: Robbins and Monro, stochastic approximation: up and down by the quantile's odds.
        """
        count = zone.latency_count.get(cls, 0)
        zone.latency_count[cls] = min(count + 1, MIN_LATENCIES)
        before = zone.latency_quantile_ns.get(cls, latency_ns)
        step = QUANTILE_STEP_TARGETS * self._table.target_ns
        if count < MIN_LATENCIES:
            step *= FAST_STEP_FACTOR
        odds = LATENCY_QUANTILE if latency_ns > before else LATENCY_QUANTILE - 1
        zone.latency_quantile_ns[cls] = before + step * odds
