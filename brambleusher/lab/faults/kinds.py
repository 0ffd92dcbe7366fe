"""Fault plans: which faults occur, when, for how long and at which target, as plain data drawn from a seed.

Each fault is a struct whose class determines its kind.  Reading a file with an unknown kind or parameter
fails with an error that names the unknown key.  `effects.py` implements the effect of each kind on a fleet.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Annotated, Any, ClassVar, Literal, get_args

import msgspec

from brambleusher.lab.fleets.figures import Sampler, WorldSpec
from brambleusher.lab.stand_ins.bad_client import BAD_KINDS, BadKind
from brambleusher.lab.stand_ins.discovery import GarbageHow
from brambleusher.lab.stand_ins.node import MalformedKind, ReportHow, ResetWhere
from brambleusher.lab.stand_ins.settings import Positive, Seconds, UnitFraction

FIRST_AT = 0.3  # earliest start of a fault, in seconds: before that, sidecars have only just become ready
MIN_KINDS = 3

Target = Literal["node", "sidecar", "zone", "none"]


class Fault(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, tag_field="kind"):
    """The common part of all faults: a fault begins `at_s` after the start and ends `for_s` later.

    `target` names a node, a sidecar, or a zone.  An empty target means all, or a kind without targets.
    """

    at_s: Seconds
    for_s: Seconds = 0.0
    target: str = ""

    targets: ClassVar[Target] = "node"
    worlds: ClassVar[str] = "both"  # worlds that support the kind: "both", or "processes" for real ones only
    broad: ClassVar[float] = 0.0  # fraction of draws in which the target is empty, meaning all targets

    @property
    def kind(self) -> str:
        """Name of the fault's kind, as written in scenario files."""
        return kind_of(type(self))

    @property
    def end_s(self) -> float:
        """End of the fault, in seconds after the start of the run."""
        return self.at_s + self.for_s

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw the parameters that are specific to the kind."""
        return {}


def kind_of(fault: type[Fault]) -> str:
    """Return the kind name of a fault class."""
    return str(fault.__struct_config__.tag)


# --- endpoints --------------------------------------------------------------------------------


class NodeSlow(Fault, frozen=True, tag="node-slow"):
    """The node's work takes `factor` times as long."""

    factor: Annotated[float, msgspec.Meta(ge=1)]

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw a factor of 2 to 10."""
        return {"factor": draw.log_uniform((2.0, 10.0))}


class NodeHung(Fault, frozen=True, tag="node-hung"):
    """The node accepts requests and processes none of them."""


class NodeStalled(Fault, frozen=True, tag="node-stalled"):
    """The node's process gets no CPU time; the kernel still accepts connections and acknowledges data."""


class NodeCrashed(Fault, frozen=True, tag="node-crashed"):
    """The node's process crashes and is restarted under the same id when the fault ends."""


class NodeRestarted(Fault, frozen=True, tag="node-restarted"):
    """The node drains for `drain_s`, exits, and is restarted under the same id when the fault ends."""

    drain_s: Seconds

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw a drain of 0.05 to 1 second."""
        return {"drain_s": draw.uniform((0.05, 1.0))}


class NodeReplaced(Fault, frozen=True, tag="node-replaced"):
    """The node's process exits, and another process takes over its address at once under a new id."""

    drain_s: Seconds = 0.0

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw a drain in 40 % of cases, and no drain otherwise."""
        return {"drain_s": draw.uniform((0.2, 0.8)) if draw.chance(0.4) else 0.0}


class NodePowerLoss(Fault, frozen=True, tag="node-vanished"):
    """The node's machine loses power without closing its connections; it returns with a new process."""


class FleetShrinks(Fault, frozen=True, tag="fleet-shrinks"):
    """A fraction of the nodes drains and exits; these nodes are restarted when the fault ends."""

    targets: ClassVar[Target] = "none"
    part: Annotated[float, msgspec.Meta(gt=0, lt=1)]
    drain_s: Seconds

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw a fraction of 0.25 to 0.55 of the nodes."""
        return {"part": draw.uniform((0.25, 0.55)), "drain_s": draw.uniform((0.3, 1.5))}


class FleetRenewed(Fault, frozen=True, tag="fleet-renewed"):
    """A fraction of the nodes is replaced at once at the same addresses by cold processes.

    In a world with a crowd, the nodes are replaced just before the resale opens.
    """

    targets: ClassVar[Target] = "none"
    part: Annotated[float, msgspec.Meta(gt=0, le=1)]

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw half to all of the nodes; a crowd arrives just after discovery has listed the new nodes."""
        given = {"part": draw.uniform((0.5, 1.0))}
        if world.crowd:
            at = world.opens_s - world.notice_s - world.discovery.spread_s
            given.update(at_s=round(max(FIRST_AT, at), 4), for_s=0.0)
        return given


class FleetGrows(Fault, frozen=True, tag="fleet-grows"):
    """The spare nodes start cold and stay until the end of the run."""

    targets: ClassVar[Target] = "none"


class NoisyNeighbour(Fault, frozen=True, tag="neighbour"):
    """Another program on the node's machine periodically uses a share of its CPU."""

    share: Annotated[float, msgspec.Meta(ge=0, lt=1)]
    on_s: Positive
    off_s: Positive

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw a share of 0.3 to 0.75, and on and off periods of 0.1 to 0.6 seconds."""
        return {
            "share": draw.uniform((0.3, 0.75)),
            "on_s": draw.uniform((0.1, 0.6)),
            "off_s": draw.uniform((0.1, 0.6)),
        }


class LateDrainNotice(Fault, frozen=True, tag="drain-told-late"):
    """The node drains and exits, and discovery learns of the drain only after `late_s`.

    The node is restarted when the fault ends.
    """

    late_s: Seconds
    drain_s: Seconds

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw a delay that may end while the node drains or after it has exited."""
        return {"late_s": draw.uniform((0.2, 1.2)), "drain_s": draw.uniform((0.1, 1.2))}


class DrainCancelled(Fault, frozen=True, tag="drain-taken-back"):
    """Discovery lists the node as draining, and as ready again at the end; the node serves throughout."""


class DrainFlaps(Fault, frozen=True, tag="drain-flaps"):
    """Discovery lists the node alternately as draining and as ready."""

    every_s: Positive

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw a period on either side of the drain grace period of 0.5 seconds."""
        return {"every_s": draw.uniform((0.15, 0.7))}


class RequestResets(Fault, frozen=True, tag="resets"):
    """The node resets a fraction of its requests.

    The reset occurs at accept, before, within or after the request, or within the response.
    """

    broad: ClassVar[float] = 0.3
    where: ResetWhere
    part: UnitFraction
    runs: bool = True

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw the point of the exchange at which the reset occurs."""
        where = draw.rng.choice(get_args(ResetWhere))
        return {"where": where, "part": draw.uniform((0.1, 0.9)), "runs": draw.chance(0.6)}


class MalformedAnswers(Fault, frozen=True, tag="answers-spoilt"):
    """A fraction of the node's responses is malformed or followed by unexpected bytes."""

    broad: ClassVar[float] = 0.3
    how: MalformedKind
    part: UnitFraction

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw the variant of the fault."""
        return {"how": draw.rng.choice(get_args(MalformedKind)), "part": draw.uniform((0.1, 0.9))}


class RequestRejections(Fault, frozen=True, tag="turning-away"):
    """The node rejects a fraction of its requests without starting them."""

    broad: ClassVar[float] = 0.3
    part: UnitFraction
    status: Literal[503, 504] = 503

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw a fraction of 0.2 to 1, and the status code of the rejections."""
        return {"part": draw.uniform((0.2, 1.0)), "status": draw.rng.choice((503, 504))}


class LateReports(Fault, frozen=True, tag="reports-late"):
    """The node's load reports are delayed by `by_s`."""

    broad: ClassVar[float] = 0.5
    by_s: Seconds

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw a delay of up to several report periods."""
        return {"by_s": draw.uniform((0.3, 2.5))}


class WrongReports(Fault, frozen=True, tag="reports-wrong"):
    """The node's load reports are missing or invalid."""

    broad: ClassVar[float] = 0.4
    how: ReportHow

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw the variant of the fault."""
        return {"how": draw.rng.choice(get_args(ReportHow))}


class EarlyIdleClose(Fault, frozen=True, tag="close-crossing"):
    """The node closes idle connections early, or just as a request arrives on them."""

    broad: ClassVar[float] = 0.5
    within_s: Seconds
    part: UnitFraction
    unread: bool = False

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw an early close, or a close that leaves a request unread."""
        return {
            "within_s": draw.log_uniform((0.01, 0.5)),
            "part": draw.uniform((0.2, 0.9)),
            "unread": draw.chance(0.5),
        }


# --- discovery ------------------------------------------------------------------------------------


class DiscoveryDown(Fault, frozen=True, tag="discovery-down"):
    """Requests to discovery are refused, reset or answered with 503; only with 503 do watches stay open."""

    targets: ClassVar[Target] = "none"
    how: Literal["refuse", "reset", "503"]

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw the variant of the fault."""
        return {"how": draw.rng.choice(("refuse", "reset", "503"))}


class DiscoverySlow(Fault, frozen=True, tag="discovery-slow"):
    """Requests to discovery take `factor` times as long, so that some time out."""

    targets: ClassVar[Target] = "none"
    factor: Annotated[float, msgspec.Meta(ge=1)]

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw a factor of 10 to 200."""
        return {"factor": draw.log_uniform((10.0, 200.0))}


class DiscoveryUnresponsive(Fault, frozen=True, tag="discovery-silent"):
    """Discovery's watches stay open and send nothing, not even heartbeats."""

    targets: ClassVar[Target] = "none"


class DiscoveryGarbage(Fault, frozen=True, tag="discovery-garbage"):
    """Discovery sends each watch invalid data once: noise, half a line, a bad entry or an older version."""

    targets: ClassVar[Target] = "none"
    how: GarbageHow

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw the variant of the fault."""
        return {"how": draw.rng.choice(get_args(GarbageHow))}


class DiscoveryMoved(Fault, frozen=True, tag="discovery-moved"):
    """Another discovery service with its own version numbers takes over.

    The sidecars read its address from their configuration files on SIGHUP.
    """

    targets: ClassVar[Target] = "none"
    version: Annotated[int, msgspec.Meta(ge=1)]
    keeps_s: Seconds = (
        1.5  # seconds until the old service, which accepts no connections, closes the open ones
    )

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw a first version that is lower than, equal to or higher than the old service's version."""
        return {"version": draw.rng.choice((1, 2, 3, 5, 40, 1000)), "keeps_s": draw.uniform((0.2, 1.5))}


class DiscoveryUnreachable(Fault, frozen=True, tag="discovery-unreachable"):
    """The network between discovery and a sidecar is partitioned."""

    targets: ClassVar[Target] = "sidecar"


class ListsDiffer(Fault, frozen=True, tag="lists-differ"):
    """A fraction of the sidecars receives each change of the list `by_s` later than the others."""

    targets: ClassVar[Target] = "none"
    part: UnitFraction = 0.5
    by_s: Seconds = 2.0


class DiscoveryRestarted(Fault, frozen=True, tag="discovery-restarted"):
    """The discovery process crashes and is restarted at the end with the current list of nodes."""

    targets: ClassVar[Target] = "none"


class ListChurns(Fault, frozen=True, tag="list-churns"):
    """Discovery changes a node's weight every `every_s` seconds."""

    targets: ClassVar[Target] = "none"
    every_s: Positive

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw a period that gives 3 to 20 changes a second."""
        return {"every_s": draw.log_uniform((0.05, 0.3))}


# --- clients -----------------------------------------------------------------------------------


class MisbehavingClients(Fault, frozen=True, tag="bad-clients"):
    """`count` misbehaving clients connect at once."""

    targets: ClassVar[Target] = "sidecar"
    what: BadKind
    count: Annotated[int, msgspec.Meta(ge=1, le=1000)]

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw the kind and number of misbehaving clients.

        Clients that only occupy connections may outnumber the connections a sidecar may hold.  Clients that
        send requests are fewer, since client requests may hold at most a third of a sidecar's descriptors.
        """
        what = draw.rng.choice(BAD_KINDS)
        asking = min(sidecar.sockets for sidecar in world.sidecars) / 4
        numbers = {"silent": (20.0, 160.0), "ask-and-stay": (8.0, asking), "half-request": (4.0, 20.0)}
        return {"what": what, "count": int(draw.log_uniform(numbers.get(what, (1.0, 5.0))))}


# --- sidecars -------------------------------------------------------------------------------------


class SidecarTerminated(Fault, frozen=True, tag="sidecar-terminated"):
    """The sidecar gets SIGTERM and is restarted when the fault ends; if still running, it is killed first."""

    targets: ClassVar[Target] = "sidecar"


class SidecarKilled(Fault, frozen=True, tag="sidecar-killed"):
    """The sidecar is killed by SIGKILL and restarted when the fault ends."""

    targets: ClassVar[Target] = "sidecar"


class SidecarStalled(Fault, frozen=True, tag="sidecar-stalled"):
    """The sidecar gets no CPU time for `stall_s`."""

    targets: ClassVar[Target] = "sidecar"
    stall_s: Annotated[float, msgspec.Meta(gt=0, le=5)]

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw a stall short enough for the sidecar to comply with every rule."""
        return {"stall_s": draw.log_uniform((0.001, 0.008))}


class SidecarPaused(Fault, frozen=True, tag="sidecar-paused"):
    """The sidecar's process is paused until the fault ends, which may be later than any deadline."""

    targets: ClassVar[Target] = "sidecar"


class SidecarStarved(Fault, frozen=True, tag="sidecar-starved"):
    """The sidecar is killed and restarted at once, with only `part` of a CPU core until the fault ends."""

    targets: ClassVar[Target] = "sidecar"
    part: Annotated[float, msgspec.Meta(gt=0, lt=1)] = 0.2


class SidecarUnreachable(Fault, frozen=True, tag="sidecar-unreachable"):
    """The sidecar is partitioned from its clients, in both directions or in one."""

    targets: ClassVar[Target] = "sidecar"
    way: Literal["both", "to-sidecar", "from-sidecar"] = "both"


class WallClockSet(Fault, frozen=True, tag="wall-clock-set"):
    """The sidecar's wall clock is set forward or back, and corrected when the fault ends."""

    targets: ClassVar[Target] = "sidecar"
    by_s: float

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw a shift of one second to one hour in either direction."""
        return {"by_s": draw.log_uniform((1.0, 3600.0)) * draw.rng.choice((1, -1))}


class DescriptorsExhausted(Fault, frozen=True, tag="descriptors-used-up"):
    """The sidecar can open at most `left` more file descriptors."""

    targets: ClassVar[Target] = "sidecar"
    left: Annotated[int, msgspec.Meta(ge=0)]

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw 0 to 6 remaining descriptors."""
        return {"left": draw.integer((0, 6))}


class NodeBanned(Fault, frozen=True, tag="node-banned"):
    """Operators take the node offline at every sidecar's admin endpoint; the node may restart meanwhile."""

    restart: bool

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw a restart of the node in 70 % of cases."""
        return {"restart": draw.chance(0.7)}


class SidecarOutOfService(Fault, frozen=True, tag="sidecar-out-of-service"):
    """Operators take the running sidecar out of service, and return it to service when the fault ends."""

    targets: ClassVar[Target] = "sidecar"


class SidecarsRestarted(Fault, frozen=True, tag="sidecars-released"):
    """All sidecars are killed together and restarted; discovery answers with 503 until the fault ends."""

    targets: ClassVar[Target] = "none"
    down_s: Seconds

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw a downtime of at most 0.3 seconds."""
        return {"down_s": draw.uniform((0.0, 0.3))}


class BadConfiguration(Fault, frozen=True, tag="bad-configuration"):
    """The sidecar reloads an invalid configuration file on SIGHUP; the fault's end restores the file."""

    targets: ClassVar[Target] = "sidecar"
    how: Literal["empty", "half", "not-json", "bad-key"]

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw the variant of the fault."""
        return {"how": draw.rng.choice(("empty", "half", "not-json", "bad-key"))}


# --- the network ----------------------------------------------------------------------------------


class LinkPartition(Fault, frozen=True, tag="link-cut"):
    """The network between a node and the sidecars is partitioned, in both directions or in one."""

    way: Literal["both", "to-node", "from-node"]

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw the direction that is partitioned: both directions in half of the cases."""
        return {"way": draw.rng.choice(("both", "both", "to-node", "from-node"))}


class LinkLatency(Fault, frozen=True, tag="link-slow"):
    """The latency between a node and the sidecars rises by `by_s`."""

    by_s: Seconds

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw 3 to 200 milliseconds of added latency."""
        return {"by_s": draw.log_uniform((0.003, 0.2))}


class LinkJitter(Fault, frozen=True, tag="link-jitter"):
    """The latency between a node and the sidecars rises by an amount that keeps changing."""

    by_s: Seconds = 0.05  # largest added latency, in seconds


class LinkThrottled(Fault, frozen=True, tag="link-throttled"):
    """At most `bytes_per_s` bytes per second pass between a node and a sidecar in each direction."""

    worlds: ClassVar[str] = "processes"
    bytes_per_s: Positive = 2000.0


class ConnectsUnanswered(Fault, frozen=True, tag="connects-swallowed"):
    """Connection attempts to a node get no response."""


class ConnectsRefused(Fault, frozen=True, tag="connects-refused"):
    """Connection attempts to a node are refused."""


class ConnectionsReset(Fault, frozen=True, tag="connections-reset"):
    """The network resets a fraction of the connections to a node every `every_s` seconds."""

    every_s: Positive
    part: UnitFraction

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw the period between resets and a fraction of 0.2 to 1 of the connections."""
        return {"every_s": draw.log_uniform((0.05, 0.5)), "part": draw.uniform((0.2, 1.0))}


class ConnectionsStalled(Fault, frozen=True, tag="connections-silent"):
    """A fraction of the connections open to a node stops carrying data without being closed."""

    part: UnitFraction

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw a fraction of 0.3 to 1 of the connections."""
        return {"part": draw.uniform((0.3, 1.0))}


class ZonePowerLoss(Fault, frozen=True, tag="zone-lost"):
    """All nodes of a zone lose power and return when the fault ends."""

    targets: ClassVar[Target] = "zone"


class ZonePartition(Fault, frozen=True, tag="zone-cut"):
    """The network between a zone's nodes and the sidecars in other zones is partitioned."""

    targets: ClassVar[Target] = "zone"


class ZoneFlaps(Fault, frozen=True, tag="zone-flaps"):
    """A zone repeatedly fails and recovers every `every_s`: it loses power or is partitioned."""

    targets: ClassVar[Target] = "zone"
    every_s: Positive
    how: Literal["power", "cut"]

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw a period short enough for several failures within a run."""
        return {"every_s": draw.uniform((0.15, 0.7)), "how": draw.rng.choice(("power", "cut"))}


class ZoneUnreachable(Fault, frozen=True, tag="zone-unreachable"):
    """A zone's nodes are partitioned from one sidecar or all sidecars, in both directions or in one."""

    targets: ClassVar[Target] = "zone"
    way: Literal["both", "to-nodes", "from-nodes"]
    sidecar: str = ""

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw the direction, and all sidecars or one of them."""
        names = ["", *(sidecar.name for sidecar in world.sidecars)]
        way = draw.rng.choice(("both", "to-nodes", "from-nodes"))
        return {"way": way, "sidecar": draw.rng.choice(names)}


class ZoneDegraded(Fault, frozen=True, tag="zone-grey"):
    """In a zone, every n-th response is slow and a fraction of the requests is reset."""

    targets: ClassVar[Target] = "zone"
    every: Annotated[int, msgspec.Meta(ge=1)]
    factor: Annotated[float, msgspec.Meta(ge=1)]
    resets: UnitFraction

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw every second to fifth request as slow, by a factor of 3 to 12."""
        return {
            "every": draw.integer((2, 5)),
            "factor": draw.log_uniform((3.0, 12.0)),
            "resets": draw.uniform((0.0, 0.2)),
        }


class ZoneDrained(Fault, frozen=True, tag="zone-drained"):
    """A zone's nodes drain and exit one after the other; cold processes replace them when the fault ends."""

    targets: ClassVar[Target] = "zone"
    gap_s: Seconds
    drain_s: Seconds

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw drains and gaps short enough for a run to contain the whole sequence."""
        return {"gap_s": draw.uniform((0.0, 0.3)), "drain_s": draw.uniform((0.2, 0.8))}


class ZoneRulesRead(Fault, frozen=True, tag="zone-rules-read"):
    """The operator file's zone section changes and SIGHUP is sent; both happen again to restore the file."""

    targets: ClassVar[Target] = "zone"
    what: Literal["trust", "evacuate", "bad", "none"]

    @classmethod
    def parameters(cls, draw: Sampler, world: WorldSpec) -> dict[str, Any]:
        """Draw the change made to the zone section."""
        return {"what": draw.rng.choice(("trust", "evacuate", "bad", "none"))}


FAULTS: tuple[type[Fault], ...] = (
    NodeSlow, NodeHung, NodeStalled, NodeCrashed, NodeRestarted, NodeReplaced, NodePowerLoss, FleetShrinks,
    FleetRenewed, FleetGrows, NoisyNeighbour, LateDrainNotice, DrainCancelled, DrainFlaps, RequestResets,
    MalformedAnswers, RequestRejections, LateReports, WrongReports, EarlyIdleClose, DiscoveryDown,
    DiscoverySlow, DiscoveryUnresponsive, DiscoveryGarbage, DiscoveryMoved, DiscoveryRestarted, ListChurns,
    MisbehavingClients, SidecarTerminated, SidecarKilled, SidecarStalled, WallClockSet,
    DescriptorsExhausted, BadConfiguration, LinkPartition, LinkLatency, ConnectsUnanswered, ConnectsRefused,
    ConnectionsReset, ConnectionsStalled, ZonePowerLoss, ZonePartition, ZoneFlaps, ZoneUnreachable,
    ZoneDegraded, ZoneDrained, ZoneRulesRead, NodeBanned, SidecarOutOfService, SidecarsRestarted,
    SidecarPaused, SidecarStarved, SidecarUnreachable, DiscoveryUnreachable, ListsDiffer, LinkJitter,
    LinkThrottled,
)  # fmt: skip
KINDS: Mapping[str, type[Fault]] = {kind_of(fault): fault for fault in FAULTS}

AnyFault = (
    NodeSlow | NodeHung | NodeStalled | NodeCrashed | NodeRestarted | NodeReplaced | NodePowerLoss
    | FleetShrinks | FleetRenewed | FleetGrows | NoisyNeighbour | LateDrainNotice | DrainCancelled
    | DrainFlaps | RequestResets | MalformedAnswers | RequestRejections | LateReports | WrongReports
    | EarlyIdleClose | DiscoveryDown | DiscoverySlow | DiscoveryUnresponsive | DiscoveryGarbage
    | DiscoveryMoved | DiscoveryRestarted | ListChurns | MisbehavingClients | SidecarTerminated
    | SidecarKilled | SidecarStalled | WallClockSet | DescriptorsExhausted | BadConfiguration
    | LinkPartition | LinkLatency | ConnectsUnanswered | ConnectsRefused | ConnectionsReset
    | ConnectionsStalled | ZonePowerLoss | ZonePartition | ZoneFlaps | ZoneUnreachable | ZoneDegraded
    | ZoneDrained | ZoneRulesRead | NodeBanned | SidecarOutOfService | SidecarsRestarted | SidecarPaused
    | SidecarStarved | SidecarUnreachable | DiscoveryUnreachable | ListsDiffer | LinkJitter | LinkThrottled
)  # fmt: skip

_NODES = (
    "node-slow", "node-hung", "node-stalled", "node-crashed", "neighbour", "turning-away", "reports-late",
    "reports-wrong", "resets", "answers-spoilt",
)  # fmt: skip
_MEMBERSHIP = (
    "node-crashed", "node-restarted", "node-replaced", "fleet-shrinks", "fleet-renewed", "fleet-grows",
    "drain-told-late", "drain-taken-back", "drain-flaps", "list-churns", "discovery-down",
    "discovery-garbage", "discovery-moved", "discovery-restarted",
)  # fmt: skip
_ANSWERS = ("answers-spoilt", "resets", "close-crossing", "reports-wrong", "turning-away")
_DISCOVERY = (
    "discovery-down", "discovery-slow", "discovery-silent", "discovery-garbage", "discovery-moved",
    "discovery-restarted", "list-churns", "drain-told-late", "drain-taken-back", "node-replaced",
)  # fmt: skip
_CLIENTS = ("bad-clients", "descriptors-used-up", "node-slow", "resets", "sidecar-stalled")
_NETWORK = (
    "link-cut", "link-slow", "connects-swallowed", "connects-refused", "connections-reset",
    "connections-silent", "node-vanished", "close-crossing", "resets", "zone-cut",
)  # fmt: skip
_ZONES = ("zone-lost", "zone-cut", "link-slow", "fleet-shrinks", "node-slow", "fleet-grows")
_ZONES_RULED = (
    "zone-lost", "zone-cut", "zone-flaps", "zone-flaps", "zone-unreachable", "zone-unreachable", "zone-grey",
    "zone-drained", "zone-rules-read", "sidecar-killed", "fleet-shrinks", "node-slow", "link-cut",
)  # fmt: skip
# Kinds excluded from the default profile, so that the faults drawn there for a given seed don't change.
_NOT_IN_DEFAULT = (
    "zone-flaps", "zone-unreachable", "zone-grey", "zone-drained", "zone-rules-read", "node-banned",
    "sidecar-out-of-service", "sidecars-released", "sidecar-paused", "sidecar-starved",
    "sidecar-unreachable", "discovery-unreachable", "lists-differ", "link-jitter", "link-throttled",
)  # fmt: skip
# Kinds caused by operators: the sidecars of such a run have admin endpoints.
OPERATOR_KINDS = (
    "node-banned",
    "sidecar-out-of-service",
    "sidecars-released",
)
_OPERATORS = (
    *OPERATOR_KINDS, *OPERATOR_KINDS, "node-crashed", "node-restarted", "fleet-shrinks", "drain-taken-back",
    "discovery-down", "discovery-moved", "discovery-garbage", "sidecar-killed", "sidecar-terminated",
    "descriptors-used-up", "bad-clients", "node-slow", "resets",
)  # fmt: skip
_RESTARTS = (
    "sidecar-terminated", "sidecar-killed", "wall-clock-set", "bad-configuration", "discovery-moved",
    "node-restarted", "node-crashed", "descriptors-used-up", "sidecar-stalled",
)  # fmt: skip
# Fault kinds that each profile draws from; a kind listed twice is drawn twice as often.
PROFILES: Mapping[str, tuple[str, ...]] = {
    "default": tuple(kind for kind in KINDS if kind not in _NOT_IN_DEFAULT),
    "nodes": _NODES,
    "membership": _MEMBERSHIP,
    "answers": _ANSWERS,
    "discovery": _DISCOVERY,
    "clients": (*_CLIENTS, "bad-clients", "bad-clients", "bad-clients"),
    "network": _NETWORK,
    "zones": _ZONES,
    "zones-ruled": _ZONES_RULED,
    "restarts": _RESTARTS,
    "operators": _OPERATORS,
}


def draw_faults(seed: int, world: WorldSpec, profile: str = "default") -> tuple[AnyFault, ...]:
    """Draw a plan of at least three kinds of overlapping faults, all ended by the world's `faults_s`.

    Raises `ValueError` for an unknown profile.
    """
    if profile not in PROFILES:
        raise ValueError(f"unknown profile {profile!r}; known profiles: {', '.join(PROFILES)}")
    draw = Sampler(seed, f"faults {profile}")
    names, kinds = list(PROFILES[profile]), []
    if world.crowd and "fleet-renewed" in names and draw.chance(0.3):  # the crowd then meets cold nodes
        names, kinds = [each for each in names if each != "fleet-renewed"], ["fleet-renewed"]
    for _ in range(draw.rng.choices((3, 4, 5, 6), (4, 3, 2, 1))[0]):
        name = draw.rng.choice(names)
        names = [each for each in names if each != name]
        kinds.append(name)
        if not names:
            break
    faults = [_draw_fault(KINDS[name], draw, world) for name in kinds]
    if draw.chance(0.3):  # one kind of fault occurs twice in the plan
        faults.append(_draw_fault(KINDS[draw.rng.choice(kinds)], draw, world))
    return tuple(sorted(faults, key=lambda fault: (fault.at_s, fault.kind, fault.target)))


def _draw_fault(of: type[Fault], draw: Sampler, world: WorldSpec) -> Any:
    span = world.faults_s - FIRST_AT
    length = draw.uniform((0.25 * span, 0.8 * span))
    at = draw.uniform((FIRST_AT, max(FIRST_AT, world.faults_s - length)))
    given = {"at_s": at, "for_s": round(min(length, world.faults_s - at), 4), **of.parameters(draw, world)}
    target = ""
    if not draw.chance(of.broad):
        target = draw.rng.choice(targets_of(of, world))
    return of(target=target, **given)


def targets_of(of: type[Fault], world: WorldSpec) -> Sequence[str]:
    """Return the targets that a kind of fault may have in a world; an empty string for kinds without one."""
    names: Callable[[], list[str]] = {
        "node": lambda: [node.id for node in world.nodes if not node.spare],
        "sidecar": lambda: [sidecar.name for sidecar in world.sidecars],
        "zone": lambda: list(dict.fromkeys(node.zone for node in world.nodes if not node.spare)),
        "none": lambda: [""],
    }[of.targets]
    return names()


def check_faults(faults: Sequence[Fault], world: WorldSpec) -> None:
    """Raise `ValueError` for a fault whose target does not exist in the world."""
    for number, fault in enumerate(faults):
        if fault.target and fault.target not in targets_of(type(fault), world):
            raise ValueError(
                f"faults[{number}]: {fault.kind} is aimed at {fault.target!r}: unknown {fault.targets}"
            )
