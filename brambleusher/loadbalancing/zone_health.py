"""Zone health: which zones are healthy, suspect, lost or returning, and when the evidence is doubted.

A node is dark if the attempts sent to it are not answered; a zone is lost if all of its nodes that got
attempts are dark. A lost zone is probed with single requests and returns once one is answered, unless flap
damping suppresses it. If too few healthy nodes are left the evidence is doubted (panic), since this proxy
itself may be faulty.

The texts of reasons and log lines are part of recorded captures and of admin responses, so they do not
change.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from brambleusher.loadbalancing.api import AttemptStatus
from brambleusher.loadbalancing.flap_damping import SINGLE_NODE_PENALTY, FlapDamping
from brambleusher.loadbalancing.zone_state import (
    LN_2,
    NS_PER_S,
    NodeHealth,
    Zone,
    ZoneLoad,
    ZoneState,
    ZoneTable,
)

# Constants for judging the evidence of faults; times are in latency targets.

# Unresponsive time after which a zone is lost, by its number of dark nodes: the more there are, the shorter.
LOST_TARGETS = (2.0, 1.0, 0.5)
SUSPECT_FRACTION = 0.5  # fraction of the unresponsive timeout after which a zone is suspect
# Number of expected responses that must be missing to lose a zone; random gaps are shorter.
MISSING_RESPONSES = 4.0
DARK_FAILURES = 2  # consecutive failures without a response after which a node is dark, whatever their age
RESPONSIVE_TARGETS = 2.0  # a node is responsive if its last response is at most this old
# Fraction of recent attempts that failed, at two nodes or more, from which a zone is suspect.
GREY_FRACTION = 0.15
GREY_MIN_ENDS = 6.0
GREY_NODE_FAILURES = 0.5  # decaying count of failures from which a node counts as failing
GREY_HALF_LIFE_TARGETS = 8.0
GREY_NODES = 2
CLEAR_TARGETS = 2.0  # time without a fault after which a suspect zone is healthy again
# An attempt with a shorter timeout could not have been answered and says nothing about the node.
MIN_TIMEOUT_TARGETS = 0.25
RESPONSE_HALF_LIFE_TARGETS = 1.0
UNANSWERED = frozenset({AttemptStatus.CONNECT_FAILED, AttemptStatus.RESET, AttemptStatus.TIMEOUT})
ANSWERED = frozenset({AttemptStatus.OK, AttemptStatus.OVERLOADED, AttemptStatus.ERROR})
EVIDENCE_STATUSES = ANSWERED | UNANSWERED

# Probes: single requests, safe to retry, to an excluded zone; intervals are in latency targets.
PROBE_TARGETS, MAX_PROBE_TARGETS = 1.0, 4.0  # first and longest interval; doubled while probes fail
# Longer, since a suppressed zone responds and the probes of many proxies are traffic too.
SUPPRESSED_PROBE_TARGETS = 8.0
# Time without a request that may be a probe, after which a zone returns unprobed, with a slow start.
UNPROBED_TARGETS = 8.0
MISSED_PROBES = 2  # consecutive unanswered probes after which a suppressed zone is lost again

NEEDED_TARGETS = 1.0  # time for which demand must have been unplaced before suppressed zones are used
HEALTHY_TARGETS = 6.0  # time without shortage or fault after which a returning zone is healthy
PANIC_HYSTERESIS = 0.1  # utilisation must fall by this much below the maximum to end a panic


@dataclass(frozen=True, slots=True)
class _Evidence:
    """Evidence of a fault in a zone that is in use."""

    is_unresponsive: bool  # unresponsive for long enough to be lost
    is_failing: bool  # many attempts failed, at several nodes
    is_suspect: bool
    unresponsive_text: str
    failing_text: str


class ZoneHealth:
    """Determines the states of zones from the responses of their nodes."""

    def __init__(self, table: ZoneTable, damping: FlapDamping) -> None:
        self._table = table
        self._damping = damping

    # --- evidence -------------------------------------------------------------------------------

    def is_evidence(self, zone: Zone, host: str, status: AttemptStatus, latency_ns: int) -> bool:
        """Return whether the outcome of an attempt is evidence about its zone."""
        if host not in zone.ready_hosts or status not in EVIDENCE_STATUSES:
            return False
        too_short = latency_ns < self._table.target_ns * MIN_TIMEOUT_TARGETS
        return not (status is AttemptStatus.TIMEOUT and too_short)

    def record_attempt_end(
        self, zone: Zone, host: str, status: AttemptStatus, sent_ns: int, now: int
    ) -> None:
        """Record the outcome of an attempt at a host of the zone; it must be evidence."""
        node = zone.nodes.setdefault(host, NodeHealth())
        zone.recent_ends += 1
        if status in ANSWERED:
            self._record_response(zone, node, status, now)
        else:
            self._record_failure(zone, node, status, sent_ns, now)

    @staticmethod
    def _record_response(zone: Zone, node: NodeHealth, status: AttemptStatus, now: int) -> None:
        node.last_response_ns = now
        node.consecutive_failures = 0
        zone.last_response_ns = now
        zone.consecutive_failures = 0
        zone.consecutive_connect_failures = 0
        zone.probe_interval_ns = 0
        zone.recent_responses += status is AttemptStatus.OK
        node.recent_failures += status is AttemptStatus.ERROR

    def _record_failure(
        self, zone: Zone, node: NodeHealth, status: AttemptStatus, sent_ns: int, now: int
    ) -> None:
        if not node.consecutive_failures:
            node.failing_since_ns = sent_ns
        node.consecutive_failures += 1
        node.recent_failures += 1
        zone.consecutive_failures += 1
        if zone.is_suppressed:  # probe again soon to find out whether it is lost again
            soon_ns = now + int(PROBE_TARGETS * self._table.target_ns)
            zone.next_probe_ns = min(zone.next_probe_ns, soon_ns)
            zone.probe_interval_ns = 0
        if status is AttemptStatus.CONNECT_FAILED:
            zone.consecutive_connect_failures += 1
        else:
            zone.consecutive_connect_failures = 0

    def decay(self, zone: Zone, elapsed: float) -> None:
        """Decay the evidence over `elapsed` latency targets."""
        retained = 0.5 ** (elapsed / GREY_HALF_LIFE_TARGETS)
        zone.recent_ends *= retained
        for node in zone.nodes.values():
            node.recent_failures *= retained
        zone.recent_responses *= 0.5 ** (elapsed / RESPONSE_HALF_LIFE_TARGETS)

    # --- probes ---------------------------------------------------------------------------------

    def zone_to_probe(self, now: int) -> Zone | None:
        """Return an excluded zone that is due to be probed, or None."""
        for zone in self._table.zones.values():
            if zone.ready_hosts and zone.next_probe_ns <= now and self._table.is_excluded(zone.name):
                return zone
        return None

    def record_probe(self, zone: Zone, now: int) -> None:
        """Record that a zone is probed; intervals grow while probes are not answered."""
        target_ns = self._table.target_ns
        interval_factor = max(1.0, zone.flap_penalty)  # a flapping zone is probed less often
        interval_ns = min(
            max(2 * zone.probe_interval_ns, int(PROBE_TARGETS * target_ns)),
            int(MAX_PROBE_TARGETS * interval_factor * target_ns),
        )
        if zone.is_suppressed and not zone.consecutive_failures:
            interval_ns = int(SUPPRESSED_PROBE_TARGETS * interval_factor * target_ns)
        zone.probe_interval_ns = interval_ns
        zone.next_probe_ns = now + interval_ns
        zone.probe_turn += 1
        zone.last_probe_ns = now

    # --- states ---------------------------------------------------------------------------------

    def update_zone(self, zone: Zone, load: ZoneLoad, now: int) -> None:
        """Update the state of a zone from the current evidence."""
        if zone.state is ZoneState.LOST:
            self._update_lost_zone(zone, now)
        elif zone.is_suppressed:
            self._update_suppressed_zone(zone, now)
        else:
            self._update_used_zone(zone, self._evidence(zone, load, now), now)

    def _evidence(self, zone: Zone, load: ZoneLoad, now: int) -> _Evidence:
        target_ns = self._table.target_ns
        dark = self._dark_since(zone, load, now)
        responsive = sum(
            name not in dark and now - node.last_response_ns <= RESPONSIVE_TARGETS * target_ns
            for name, node in zone.nodes.items()
        )
        min_nodes = min(GREY_NODES, len(zone.ready_hosts))
        # The zone has been unresponsive since the first unanswered attempt at its dark nodes, or since the
        # last response of any node if that is later.
        unresponsive_since_ns = max(
            zone.last_response_ns, self._table.stalled_until_ns, min(dark.values(), default=now)
        )
        unresponsive_ns = now - unresponsive_since_ns
        all_dark = len(dark) >= max(min_nodes, 1) and len(dark) >= responsive
        needed_ns = self._unresponsive_timeout_ns(zone, len(dark))
        failed = sum(node.recent_failures for node in zone.nodes.values())
        nodes_failing = sum(node.recent_failures >= GREY_NODE_FAILURES for node in zone.nodes.values())
        is_failing = (
            nodes_failing >= min_nodes
            and zone.recent_ends >= GREY_MIN_ENDS
            and failed >= GREY_FRACTION * zone.recent_ends
        )
        return _Evidence(
            is_unresponsive=all_dark and unresponsive_ns >= needed_ns,
            is_failing=is_failing,
            is_suspect=is_failing or (all_dark and unresponsive_ns >= needed_ns * SUSPECT_FRACTION),
            unresponsive_text=(
                f"{len(dark)} of {len(zone.ready_hosts)} nodes dark, "
                f"no answer for {unresponsive_ns / NS_PER_S:.2f} s"
            ),
            failing_text=(
                f"{failed / zone.recent_ends:.0%} of what ended lately went wrong, at several nodes"
                if is_failing
                else ""
            ),
        )

    @staticmethod
    def _dark_since(zone: Zone, load: ZoneLoad, now: int) -> dict[str, int]:
        """Return the dark nodes of a zone and since when each has been dark."""
        dark = dict(load.unanswered_since_ns)
        for name, node in zone.nodes.items():
            if node.consecutive_failures >= DARK_FAILURES:
                dark[name] = min(dark.get(name, now), node.failing_since_ns)
        return dark

    def _unresponsive_timeout_ns(self, zone: Zone, dark_nodes: int) -> float:
        """Return the unresponsive time, in nanoseconds, after which a zone is lost."""
        target_ns = self._table.target_ns
        needed = LOST_TARGETS[min(dark_nodes, len(LOST_TARGETS)) - 1] * target_ns if dark_nodes else 0.0
        random_gap_ns = (
            MISSING_RESPONSES * target_ns * RESPONSE_HALF_LIFE_TARGETS
            / (LN_2 * max(zone.recent_responses, 1e-9))
        )  # fmt: skip
        return max(needed, min(random_gap_ns, LOST_TARGETS[0] * target_ns))

    def _update_used_zone(self, zone: Zone, evidence: _Evidence, now: int) -> None:
        target_ns = self._table.target_ns
        if evidence.is_suspect:
            zone.last_fault_ns = now
        if evidence.is_unresponsive:
            self.set_lost(zone, evidence.unresponsive_text, now)
        elif zone.state is ZoneState.RETURNING:
            last_problem_ns = max(zone.since_ns, zone.grant_exhausted_ns, zone.last_fault_ns)
            if now - last_problem_ns > HEALTHY_TARGETS * target_ns:
                self.set_state(zone, ZoneState.HEALTHY, "it answers all that it is sent", now)
        elif evidence.is_suspect:
            text = evidence.failing_text if evidence.is_failing else evidence.unresponsive_text
            self.set_state(zone, ZoneState.SUSPECT, text, now)
        elif zone.state is ZoneState.SUSPECT and now - zone.last_fault_ns > CLEAR_TARGETS * target_ns:
            self.set_state(zone, ZoneState.HEALTHY, "nothing speaks against it any more", now)

    def _update_lost_zone(self, zone: Zone, now: int) -> None:
        """Take back a lost zone that has responded since, or that could not be probed for long."""
        if not zone.ready_hosts:
            return
        unprobed_ns = now - max(zone.since_ns, zone.last_probe_ns)
        if zone.last_response_ns > zone.since_ns:
            self.readmit(zone, "it answers again", now)
        elif unprobed_ns > UNPROBED_TARGETS * self._table.target_ns:
            self.readmit(zone, "no request came that may try it", now)

    def _update_suppressed_zone(self, zone: Zone, now: int) -> None:
        short_since_ns = self._table.short_since_ns
        if zone.consecutive_failures >= MISSED_PROBES:
            self.set_lost(zone, f"{zone.consecutive_failures} probes in a row were not answered", now)
        elif not zone.ready_hosts:
            self.set_lost(zone, "its nodes left the list", now, SINGLE_NODE_PENALTY)
            zone.is_delisted = True
        elif not self._damping.must_suppress(zone):
            zone.is_suppressed = False
            self.set_state(zone, ZoneState.RETURNING, "it answers and is trusted again", now)
        elif short_since_ns and now - short_since_ns > NEEDED_TARGETS * self._table.target_ns:
            zone.is_suppressed = False
            self.set_state(zone, ZoneState.RETURNING, "it answers and is needed, trusted or not", now)

    # --- transitions ----------------------------------------------------------------------------

    def set_lost(self, zone: Zone, reason: str, now: int, penalty: float = 1.0) -> None:
        """Mark a zone as lost."""
        is_flapping = zone.is_suppressed
        zone.loss_count += 1
        zone.is_delisted = False
        self._damping.add(zone, penalty)
        zone.grant_per_s = zone.unreported_grant_per_s = zone.tokens = 0.0
        zone.is_suppressed = False
        zone.consecutive_failures = 0
        zone.probe_interval_ns = int(PROBE_TARGETS * self._table.target_ns)
        zone.next_probe_ns = now + zone.probe_interval_ns
        for node in zone.nodes.values():
            node.consecutive_failures = 0
        self.set_state(zone, ZoneState.LOST, reason, now, suppress_log=is_flapping)

    def readmit(self, zone: Zone, reason: str, now: int) -> None:
        """Let a lost zone return; flap damping may suppress it for a while."""
        zone.is_suppressed = self._damping.must_suppress(zone)
        if zone.is_suppressed:
            reason += f", and is held after {zone.loss_count} losses"
        is_flapping = zone.is_suppressed and zone.loss_count > 1
        self.set_state(zone, ZoneState.RETURNING, reason, now, suppress_log=is_flapping)

    def set_state(
        self, zone: Zone, state: ZoneState, reason: str, now: int, suppress_log: bool = False
    ) -> None:
        """Change a zone's state, and log it unless `suppress_log`."""
        if zone.state is state and state is ZoneState.SUSPECT:
            zone.reason = reason
            return
        zone.state = state
        zone.reason = reason
        zone.since_ns = now
        if state is ZoneState.RETURNING:
            zone.grant_per_s = zone.tokens = 0.0
            zone.refilled_ns = zone.grant_exhausted_ns = now
        if not suppress_log:
            self._table.log(zone, f"is {state.value}: {reason}")

    # --- panic ----------------------------------------------------------------------------------

    def update_panic(self, loads: Mapping[str, ZoneLoad]) -> None:
        """Update whether the evidence is doubted (panic).

        In a panic few nodes seem healthy and those are overloaded, so the fault may be in this proxy. A zone
        where connects fail stays excluded, since that evidence is certain.
        """
        table = self._table
        rules = table.active_rules
        was_panic = table.is_panic
        total = sum(len(zone.ready_hosts) for zone in table.zones.values())
        max_utilisation = rules.max_utilisation - (PANIC_HYSTERESIS if was_panic else 0.0)
        healthy, is_pressed = 0, True
        for name, zone in table.zones.items():
            if zone.is_out_of_use or not zone.ready_hosts:
                continue
            load = loads.get(name) or ZoneLoad()
            healthy += len(zone.ready_hosts) - len(load.unanswered_since_ns)
            is_pressed &= load.is_strained or load.used > max_utilisation * load.capacity
        table.is_panic = total > 0 and is_pressed and healthy < rules.panic_threshold * total
        if total and not any(zone.ready_hosts and not zone.is_out_of_use for zone in table.zones.values()):
            table.is_panic = True  # independent of the threshold, since no zone would be left
        if table.is_panic != was_panic:
            entered = f"panic: {healthy} of {total} nodes seem well: all zones are used"
            table.log_lines.append(f"zones: {entered if table.is_panic else 'panic is over'}")
