"""Zone records: the state of each zone, its nodes and its load, as known to one proxy.

`ZoneTable` is shared by the modules of zone routing: `zone_health`, `flap_damping`, `zone_tiers` and
`spill_grants`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from brambleusher.loadbalancing.api import ZoneRules

NS_PER_S = 1e9
# ln 2: a decaying count with half-life T is, for a constant rate, the rate times T divided by ln 2.
LN_2 = 0.693
UNREACHABLE_CONNECTS = 3  # consecutive failed connects to a zone after which it is certainly unreachable


class ZoneState(Enum):
    """State of a zone according to this proxy."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    LOST = "lost"
    RETURNING = "returning"


@dataclass(slots=True)
class ZoneLoad:
    """Load of a zone's ready hosts at one tick; rates are in requests per second."""

    host_count: int = 0
    capacity: float = 0.0  # current capacity; hosts that are warming up count with their reduced capacity
    used: float = 0.0  # used part of the capacity
    throughput: float = 0.0
    total_weight: float = 0.0  # sum of its hosts' weights, before the zone's offered fraction is applied
    is_strained: bool = False  # own requests to the zone are late or rejected
    # Start of the silence by unresponsive host.
    unanswered_since_ns: dict[str, int] = field(default_factory=dict)


@dataclass
class NodeHealth:
    """Response statistics of one host."""

    last_response_ns: int = 0  # time of the last response of any kind
    consecutive_failures: int = 0  # attempts without a response since the last response
    failing_since_ns: int = 0  # send time of the first attempt since the last response that failed
    recent_failures: float = 0.0  # decaying count of failed attempts, error responses included


@dataclass
class Zone:
    """A zone with its state, evidence, flap penalty and grant."""

    name: str
    state: ZoneState = ZoneState.HEALTHY
    since_ns: int = 0
    reason: str = "nothing speaks against it"
    nodes: dict[str, NodeHealth] = field(default_factory=dict)
    ready_hosts: list[str] = field(default_factory=list)
    recent_ends: float = 0.0  # decaying count of ended attempts
    last_fault_ns: int = 0  # time of the last evidence of a fault
    last_response_ns: int = 0  # time of the last response of any of its hosts
    consecutive_failures: int = 0  # attempts without a response in a row, over all its hosts
    consecutive_connect_failures: int = 0  # consecutive failed connects, over all hosts of the zone
    # State of the return of a lost zone.
    flap_penalty: float = 0.0
    loss_count: int = 0
    is_suppressed: bool = False  # responds, but is not used until its flap penalty has decayed
    is_delisted: bool = False  # lost only because its nodes left the list
    next_probe_ns: int = 0
    last_probe_ns: int = 0
    probe_interval_ns: int = 0
    probe_turn: int = 0  # index of the next host to probe
    grant_exhausted_ns: int = 0  # last time at which its grant was too small
    evacuation_began_ns: int = 0  # start of the evacuation in nanoseconds; 0 if there is none
    # Traffic.
    recent_responses: float = 0.0  # decaying count of responses to this proxy's requests
    own_traffic_share: float = -1.0  # this proxy's share of the zone's traffic; negative if unknown
    grant_per_s: float = 0.0
    unreported_grant_per_s: float = 0.0  # part of the grant that load reports can't reflect yet
    limit_per_s: float = -1.0  # maximum requests per second; negative if unlimited
    tokens: float = 0.0  # requests that may be sent now under the limit
    refilled_ns: int = 0
    offered_fraction: float = 1.0  # fraction of its spare capacity that the zone offers
    is_calm: bool = True  # healthy and not busy, so that latencies reflect the network distance
    latency_quantile_ns: dict[int, float] = field(default_factory=dict)  # latency quantile by class
    latency_count: dict[int, int] = field(default_factory=dict)  # number of latencies by class
    tier: int = 0

    @property
    def is_out_of_use(self) -> bool:
        """Whether the zone is excluded, unless the evidence is doubted."""
        return self.state is ZoneState.LOST or self.is_suppressed

    @property
    def is_ramping(self) -> bool:
        """Whether its limit is rising after a return or falling in an evacuation."""
        return self.state is ZoneState.RETURNING or bool(self.evacuation_began_ns)

    @property
    def is_unreachable(self) -> bool:
        """Whether the zone is certainly unreachable because connects fail."""
        return self.state is ZoneState.LOST and self.consecutive_connect_failures >= UNREACHABLE_CONNECTS


@dataclass
class ZoneTable:
    """All zones as known to one proxy; without rules no zone is judged or excluded."""

    rules: ZoneRules | None
    own_zone: str
    target_ns: int  # shortest latency target, the unit of all times counted in targets
    fleet_size: int  # number of proxies
    zones: dict[str, Zone] = field(default_factory=dict)
    is_panic: bool = False  # the evidence is doubted and zones are used whatever their states
    unplaced_fraction: float = 0.0  # fraction of the demand that exceeds all limits
    last_unplaced_ns: int = 0  # last time at which some demand was unplaced; 0 if never
    short_since_ns: int = 0  # time since which the unplaced fraction has been too large; 0 if it is not
    log_lines: list[str] = field(default_factory=list)
    # Missing answers before this time are no evidence, since this proxy itself was paused.
    stalled_until_ns: int = 0

    @property
    def active_rules(self) -> ZoneRules:
        """The zone rules; raises an error if there are none."""
        if self.rules is None:
            raise RuntimeError("zone rules are required but not set")
        return self.rules

    def is_excluded(self, name: str) -> bool:
        """Return whether a zone is excluded."""
        zone = self.zones.get(name)
        if self.rules is None or zone is None or not zone.is_out_of_use:
            return False
        if not self.is_panic:
            return True
        return zone.is_unreachable and not all(each.is_unreachable for each in self.zones.values())

    def log(self, zone: Zone, text: str) -> None:
        """Add a log line about a zone for operators."""
        self.log_lines.append(f"zone {zone.name} {text}")
