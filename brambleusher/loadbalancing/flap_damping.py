"""Flap damping: keeps out a zone that is lost repeatedly until its penalty has decayed.

Each loss adds a penalty that decays exponentially. While it is above a limit, the zone is kept out even
though it responds. The penalty is bounded, so that the longest suppression is the operator's
`max_flap_suppression_ns`.

Source: RFC 2439, BGP Route Flap Damping.
"""

from __future__ import annotations

from brambleusher.loadbalancing.zone_state import Zone, ZoneTable

REUSE_PENALTY = 0.5  # penalty below which a zone is used again; each loss adds 1
# Penalty for the loss of a zone whose only node left the list; it is lower, because nodes are replaced every
# day.
SINGLE_NODE_PENALTY = 0.4


class FlapDamping:
    """Keeps the flap penalties of all zones."""

    def __init__(self, table: ZoneTable) -> None:
        self._table = table

    def add(self, zone: Zone, penalty: float) -> None:
        """Add the penalty for a loss; with `max_flap_suppression_ns` of 0, flaps cost nothing."""
        rules = self._table.active_rules
        if rules.max_flap_suppression_ns > 0:
            max_penalty = REUSE_PENALTY * 2.0 ** (
                rules.max_flap_suppression_ns / rules.flap_penalty_half_life_ns
            )
            zone.flap_penalty = min(zone.flap_penalty + penalty, max_penalty)

    def decay(self, zone: Zone, elapsed: float) -> None:
        """Let the penalty decay over `elapsed` latency targets."""
        rules = self._table.active_rules
        zone.flap_penalty *= 0.5 ** (elapsed * self._table.target_ns / rules.flap_penalty_half_life_ns)

    def must_suppress(self, zone: Zone) -> bool:
        """Return whether the penalty keeps the zone out."""
        return zone.flap_penalty >= REUSE_PENALTY
