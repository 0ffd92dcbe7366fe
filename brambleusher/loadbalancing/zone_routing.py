"""Zone routing: the nearness and health of zones, and how much of this proxy's traffic each may get.

`ZoneRouter` processes sent requests, attempt outcomes, the endpoint list and, at each tick, the load of each
zone. It determines which zones are excluded, the fraction of its spare capacity that each zone may offer, and
whether a request may go to a zone now. It is pure: no clock, no I/O, no random numbers.

`zone_state` has the records, `zone_health` the states, `flap_damping` the penalties, `zone_tiers` the
nearness and `spill_grants` the limits. `docs/design/zones.md` compares alternatives.
"""

from __future__ import annotations

from collections.abc import Mapping

from brambleusher.loadbalancing.api import AttemptStatus, ZoneRules
from brambleusher.loadbalancing.flap_damping import SINGLE_NODE_PENALTY, FlapDamping
from brambleusher.loadbalancing.spill_grants import EVACUATION_S, UNLIMITED, SpillGrants
from brambleusher.loadbalancing.zone_health import ZoneHealth
from brambleusher.loadbalancing.zone_state import NS_PER_S, Zone, ZoneLoad, ZoneState, ZoneTable
from brambleusher.loadbalancing.zone_tiers import ZoneTiers


class ZoneRouter:
    """Zone decisions of one proxy; without rules no zone is judged or excluded."""

    def __init__(self, rules: ZoneRules | None, own_zone: str, target_ns: int, fleet_size: int) -> None:
        """Initialize without zones.

        Args:
            rules: The operator's zone rules, or None.
            own_zone: The zone of this proxy.
            target_ns: The shortest latency target.
            fleet_size: The number of proxies.
        """
        self.table = ZoneTable(rules, own_zone, target_ns, fleet_size)
        self.damping = FlapDamping(self.table)
        self.health = ZoneHealth(self.table, self.damping)
        self.tiers = ZoneTiers(self.table)
        self.grants = SpillGrants(self.table, self.tiers)

    @property
    def rules(self) -> ZoneRules | None:
        """The operator's zone rules."""
        return self.table.rules

    @property
    def zones(self) -> dict[str, Zone]:
        """All zones that were ever listed, by name."""
        return self.table.zones

    # --- rules ----------------------------------------------------------------------------------

    def set_rules(self, rules: ZoneRules | None, now: int) -> None:
        """Apply new rules."""
        before, self.table.rules = self.table.rules, rules
        if rules is None:
            self._stop_judging()
            return
        for zone in self.zones.values():
            if zone.name in rules.flap_exempt:
                self._exempt(zone, now)
            was_evacuated = before is not None and zone.name in before.evacuated
            if zone.name in rules.evacuated and not was_evacuated:
                zone.evacuation_began_ns = now
                self.table.log(zone, "is being evacuated, as the operator's rules have it")
            elif was_evacuated and zone.name not in rules.evacuated:
                self._end_evacuation(zone, now)
        self.tiers.rank()

    def _stop_judging(self) -> None:
        self.table.is_panic = False
        self.table.unplaced_fraction = 0.0
        for zone in self.zones.values():
            zone.state = ZoneState.HEALTHY
            zone.is_suppressed = False
            zone.limit_per_s = UNLIMITED
            zone.evacuation_began_ns = 0
            zone.reason = "the operator's rules are gone"
            zone.flap_penalty = 0.0

    def _exempt(self, zone: Zone, now: int) -> None:
        """Stop suppressing a zone for flapping."""
        zone.flap_penalty = 0.0
        zone.next_probe_ns = now
        zone.probe_interval_ns = 0
        self.table.log(zone, "is trusted now, as the operator's rules have it")

    def _end_evacuation(self, zone: Zone, now: int) -> None:
        zone.evacuation_began_ns = 0
        if zone.state is not ZoneState.LOST:
            reason = "the operator's rules evacuate it no more"
            self.health.set_state(zone, ZoneState.RETURNING, reason, now)

    # --- events ---------------------------------------------------------------------------------

    def record_list(
        self, ready: Mapping[str, list[str]], draining: Mapping[str, list[str]], now: int
    ) -> None:
        """Record the current endpoint list: ready and draining hosts by zone."""
        for name in {**ready, **draining}:  # the order of names is fixed and independent of hashes
            if name not in self.zones:
                self._add(name, now)
        for name, zone in self.zones.items():
            before, zone.ready_hosts = zone.ready_hosts, sorted(ready.get(name, ()))
            listed = {*zone.ready_hosts, *draining.get(name, ())}
            zone.nodes = {host: node for host, node in zone.nodes.items() if host in listed}
            if before and not zone.ready_hosts:
                self._handle_emptied(zone, len(before), bool(draining.get(name)), now)
            elif zone.ready_hosts and not before and zone.is_out_of_use:
                self._handle_refilled(zone, now)
        self.tiers.rank()

    def _add(self, name: str, now: int) -> None:
        zone = self.zones[name] = Zone(name, since_ns=now, last_response_ns=now)
        if self.rules is not None and name in self.rules.evacuated:
            zone.evacuation_began_ns = max(now - int(EVACUATION_S * NS_PER_S), 1)

    def _handle_emptied(self, zone: Zone, hosts_before: int, is_draining: bool, now: int) -> None:
        """Handle a zone whose last ready hosts have left the list."""
        if self.rules is None or zone.state is ZoneState.LOST:
            return
        if is_draining:
            zone.reason = "drained in order"
        elif hosts_before > 1:
            reason = f"all its {hosts_before} nodes left the list without a drain"
            self.health.set_lost(zone, reason, now)
            zone.is_delisted = True
        else:
            reason = "its only node left the list without a drain"
            self.health.set_lost(zone, reason, now, SINGLE_NODE_PENALTY)
            zone.is_delisted = True

    def _handle_refilled(self, zone: Zone, now: int) -> None:
        """Make an excluded zone that has hosts again due to be probed."""
        zone.next_probe_ns = now
        zone.probe_interval_ns = 0
        zone.consecutive_connect_failures = 0
        # Only the list has excluded the zone, so the list takes it back.
        if zone.is_delisted and self.rules is not None:
            self.health.readmit(zone, "it is listed again", now)

    def record_sent(self, name: str, now: int) -> None:
        """Record that a request is sent to a zone."""
        self.grants.record_sent(name, now)

    def record_attempt_end(
        self,
        name: str,
        host: str,
        class_index: int,
        status: AttemptStatus,
        sent_ns: int,
        latency_ns: int,
        now: int,
    ) -> None:
        """Record the outcome of an attempt at a host of a zone."""
        zone = self.zones.get(name)
        if zone is None or not self.health.is_evidence(zone, host, status, latency_ns):
            return
        self.health.record_attempt_end(zone, host, status, sent_ns, now)
        if status is AttemptStatus.OK and zone.is_calm:
            self.tiers.record_latency(zone, class_index, float(latency_ns))

    def record_stall(self, now: int) -> None:
        """Record that this proxy was paused, so that missing answers until now are no evidence."""
        self.table.stalled_until_ns = now

    def record_probe(self, zone: Zone, now: int) -> None:
        """Record that an excluded zone is probed."""
        self.health.record_probe(zone, now)

    def tick(
        self,
        now: int,
        elapsed: float,
        loads: Mapping[str, ZoneLoad],
        demand: float,
        target_utilisation: float,
        min_fraction: float,
    ) -> bool:
        """Update the states, tiers and grants of all zones.

        Args:
            now: The current time in nanoseconds.
            elapsed: Time since the last tick in latency targets.
            loads: Load by zone.
            demand: Requests per second that arrive at this proxy.
            target_utilisation: Utilisation of nearer hosts above which farther ones help.
            min_fraction: Fraction of their spare capacity that farther hosts always offer.

        Returns:
            Whether a zone was excluded or taken back.
        """
        if self.rules is None:
            return False
        before = [self.is_excluded(name) for name in self.zones]
        for name, zone in self.zones.items():
            self.health.decay(zone, elapsed)
            self.grants.decay(zone, elapsed)
            self.damping.decay(zone, elapsed)
            self.health.update_zone(zone, loads.get(name) or ZoneLoad(), now)
        self.health.update_panic(loads)
        self.tiers.rank_when_due(now)
        self.grants.update_tiers(elapsed, loads, target_utilisation, min_fraction)
        self.grants.update(now, elapsed, loads, demand, target_utilisation)
        return before != [self.is_excluded(name) for name in self.zones]

    # --- queries --------------------------------------------------------------------------------

    @property
    def is_panic(self) -> bool:
        """Whether the evidence is doubted, so that zones are used whatever their states."""
        return self.table.is_panic

    @property
    def unplaced_fraction(self) -> float:
        """The fraction of the demand that exceeds the limits of all zones."""
        return self.table.unplaced_fraction

    @property
    def stalled_until_ns(self) -> int:
        """Time in nanoseconds before which missing answers are no evidence."""
        return self.table.stalled_until_ns

    @property
    def is_any_degraded(self) -> bool:
        """Whether any zone is excluded, returning or evacuated, so that the others get more traffic."""
        return any(zone.is_out_of_use or zone.is_ramping for zone in self.zones.values())

    def is_excluded(self, name: str) -> bool:
        """Return whether a zone is excluded."""
        return self.table.is_excluded(name)

    def is_unreliable(self, name: str) -> bool:
        """Return whether requests that must not be executed twice should avoid a zone."""
        zone = self.zones.get(name)
        if self.rules is None or zone is None:
            return False
        return zone.is_out_of_use or zone.state is ZoneState.SUSPECT

    def offered_fraction(self, name: str) -> float:
        """Return the fraction of their spare capacity that a zone's hosts offer."""
        zone = self.zones.get(name)
        return 1.0 if zone is None else zone.offered_fraction

    def capacity_share(self, name: str) -> float:
        """Return this proxy's share of a zone's capacity."""
        return self.grants.capacity_share(name)

    def needs_returning_zones(self, now: int) -> bool:
        """Return whether some demand was unplaced recently, so that returning zones must take more."""
        return self.grants.needs_returning_zones(now)

    def admits(self, name: str, now: int, allow_burst: bool = False) -> bool:
        """Return whether a request may go to a zone; with `allow_burst` up to a burst in advance."""
        return self.grants.admits(name, now, allow_burst)

    def zone_to_probe(self, now: int) -> Zone | None:
        """Return an excluded zone that is due to be probed, or None."""
        return self.health.zone_to_probe(now)

    def take_log_lines(self) -> list[str]:
        """Return the log lines for operators since the last call."""
        lines, self.table.log_lines = self.table.log_lines, []
        return lines

    def status(self, now: int) -> list[dict[str, object]]:
        """Return the status of all zones for the admin endpoint, as JSON values."""
        return [
            {
                "zone": zone.name,
                "tier": zone.tier,
                "state": zone.state.value,
                "reason": zone.reason,
                "for_s": round(max(now - zone.since_ns, 0) / NS_PER_S, 1),
                "ready": len(zone.ready_hosts),
                "losses": zone.loss_count,
                "held": zone.is_suppressed,
                "part": round(zone.offered_fraction, 3),
                "limit_per_s": None if zone.limit_per_s < 0 else round(zone.limit_per_s, 2),
                "evacuating": bool(zone.evacuation_began_ns),
            }
            for zone in sorted(self.zones.values(), key=lambda zone: (zone.tier, zone.name))
        ]
