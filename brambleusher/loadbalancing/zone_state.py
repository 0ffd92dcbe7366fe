"""Records of zones: what one proxy knows of each zone, of its nodes, and of their load.

`ZoneTable` is shared by the parts of zone routing: `zone_health`, `flap_damping`, `zone_tiers` and
`spill_grants`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from brambleusher.loadbalancing.api import ZoneRules

NS_PER_S = 1e9
# A count that halves in a time is its rate times that time over this, the logarithm of 2.
HALVING = 0.693
UNREACHABLE_CONNECTS = 3  # connects failed in a row, over a zone: that it can't be reached is beyond doubt


class ZoneState(Enum):
    """What this proxy makes of a zone."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    LOST = "lost"
    RETURNING = "returning"


@dataclass(slots=True)
class ZoneLoad:
    """A zone's ready hosts at one tick; rates are requests a second."""

    host_count: int = 0
    capacity: float = 0.0  # at this moment: hosts that warm up count for what they can do
    used: float = 0.0  # of it
    throughput: float = 0.0
    total_weight: float = 0.0  # of its hosts, before the zone's offered fraction
    is_strained: bool = False  # own requests are late there, or rejected
    unanswered_since_ns: dict[str, int] = field(default_factory=dict)  # by host with an attempt unanswered


@dataclass
class NodeHealth:
    """What is known of one host's responses."""

    last_response_ns: int = 0  # of any kind
    consecutive_failures: int = 0  # ends without a response since then
    failing_since_ns: int = 0  # when the first of these was sent
    recent_failures: float = 0.0  # decaying count of failed ends, error responses included


@dataclass
class Zone:
    """One zone: state, evidence, flap penalty, grant."""

    name: str
    state: ZoneState = ZoneState.HEALTHY
    since_ns: int = 0
    reason: str = "nothing speaks against it"
    nodes: dict[str, NodeHealth] = field(default_factory=dict)
    ready_hosts: list[str] = field(default_factory=list)
    recent_ends: float = 0.0  # decaying count
    last_fault_ns: int = 0  # the last time that anything spoke against it
    last_response_ns: int = 0  # of any of its hosts
    consecutive_failures: int = 0  # ends without a response, over all its hosts
    consecutive_connect_failures: int = 0  # of these, connects, in a row
    # The way back.
    flap_penalty: float = 0.0
    loss_count: int = 0
    is_suppressed: bool = False  # it responds, and is not used until its flap penalty has decayed
    is_delisted: bool = False  # lost because its nodes left the list, and for nothing else
    next_probe_ns: int = 0
    last_probe_ns: int = 0
    probe_interval_ns: int = 0
    probe_turn: int = 0  # among its hosts
    grant_exhausted_ns: int = 0  # the last time that its grant was too small
    evacuation_began_ns: int = 0  # 0: it is not being evacuated
    # Traffic.
    recent_responses: float = 0.0  # decaying count, of this proxy's requests
    own_traffic_share: float = -1.0  # this proxy's share of the zone's traffic; below 0: unknown
    grant_per_s: float = 0.0
    unreported_grant_per_s: float = 0.0  # of the grant, what reports can't show yet
    limit_per_s: float = -1.0  # below 0: none
    tokens: float = 0.0  # requests that may go now, under a limit
    refilled_ns: int = 0
    offered_fraction: float = 1.0  # of its spare capacity
    is_calm: bool = True  # healthy and not busy: latencies are those of the way there
    latency_quantile_ns: dict[int, float] = field(default_factory=dict)  # by class
    latency_count: dict[int, int] = field(default_factory=dict)  # by class
    tier: int = 0

    @property
    def is_out(self) -> bool:
        """Whether it takes no part, unless the evidence is doubted."""
        return self.state is ZoneState.LOST or self.is_suppressed

    @property
    def is_ramping(self) -> bool:
        """Whether its limit is on its way up, or down to nothing."""
        return self.state is ZoneState.RETURNING or bool(self.evacuation_began_ns)

    @property
    def is_unreachable(self) -> bool:
        """Whether that it is out is beyond doubt: connects fail."""
        return self.state is ZoneState.LOST and self.consecutive_connect_failures >= UNREACHABLE_CONNECTS


@dataclass
class ZoneTable:
    """All zones as one proxy sees them; without rules nothing is judged and all take part."""

    rules: ZoneRules | None
    own_zone: str
    target_ns: int  # the shortest latency target: the unit of all times that are counted in targets
    fleet_size: int  # proxies
    zones: dict[str, Zone] = field(default_factory=dict)
    is_panic: bool = False  # the evidence is doubted, all zones take part
    unplaced_fraction: float = 0.0  # of the demand, what fits nowhere
    last_unplaced_ns: int = 0  # the last time that any did not fit; 0: never
    short_since_ns: int = 0  # since when the unplaced fraction is too large; 0: it is not
    log_lines: list[str] = field(default_factory=list)
    # Silence before this moment proves nothing: this proxy itself did not run.
    stalled_until_ns: int = 0

    @property
    def active_rules(self) -> ZoneRules:
        """The rules, where zones are judged at all."""
        if self.rules is None:
            raise RuntimeError("zones are judged without rules on zones")
        return self.rules

    def is_excluded(self, name: str) -> bool:
        """Return whether a zone takes no part."""
        zone = self.zones.get(name)
        if self.rules is None or zone is None or not zone.is_out:
            return False
        if not self.is_panic:
            return True
        return zone.is_unreachable and not all(each.is_unreachable for each in self.zones.values())

    def log(self, zone: Zone, text: str) -> None:
        """Add a line on a zone for the operator's log."""
        self.log_lines.append(f"zone {zone.name} {text}")
