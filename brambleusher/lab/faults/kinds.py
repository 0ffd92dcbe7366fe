"""Fault plans: what goes wrong, when, for how long and where, as plain data drawn from a seed.

A fault is a struct whose class is its kind.  Read from a file, an unknown kind or parameter is refused by
name.  What a kind does to a fleet is in `effects.py`.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Annotated, Any, ClassVar, Literal, get_args

import msgspec

from brambleusher.lab.fleets.figures import Drawer, WorldFigures
from brambleusher.lab.stand_ins.bad_client import BAD_KINDS, BadKind
from brambleusher.lab.stand_ins.discovery import GarbageHow
from brambleusher.lab.stand_ins.node import ReportHow, ResetWhere, SpoiltHow
from brambleusher.lab.stand_ins.settings import Part, Positive, Seconds

FIRST_AT = 0.3  # nothing goes wrong earlier: sidecars have just got ready
LEAST_KINDS = 3

Target = Literal["node", "sidecar", "zone", "none"]


class Fault(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, tag_field="kind"):
    """What all faults have: they begin `at_s` after the start and end `for_s` later.

    `target` names a node, a sidecar, or a zone; empty means all there are, or that there is no choice.
    """

    at_s: Seconds
    for_s: Seconds = 0.0
    target: str = ""

    targets: ClassVar[Target] = "node"
    worlds: ClassVar[str] = "both"  # that have it: both, processes
    broad: ClassVar[float] = 0.0  # of the draws: the target is left empty

    @property
    def kind(self) -> str:
        """Its kind, as in files."""
        return kind_of(type(self))

    @property
    def end_s(self) -> float:
        """When it is over."""
        return self.at_s + self.for_s

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """Its own parameters, drawn."""
        return {}


def kind_of(fault: type[Fault]) -> str:
    """The kind that a class stands for."""
    return str(fault.__struct_config__.tag)


# --- endpoints --------------------------------------------------------------------------------


class NodeSlow(Fault, frozen=True, tag="node-slow"):
    """Work takes so many times as long."""

    factor: Annotated[float, msgspec.Meta(ge=1)]

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """2 to 10 times."""
        return {"factor": draw.log((2.0, 10.0))}


class NodeHung(Fault, frozen=True, tag="node-hung"):
    """It takes requests and works on none."""


class NodeStalled(Fault, frozen=True, tag="node-stalled"):
    """Its process gets no processor at all; its kernel accepts and acknowledges."""


class NodeCrashed(Fault, frozen=True, tag="node-crashed"):
    """Its process dies, and is started again under its id when the fault ends."""


class NodeRestarted(Fault, frozen=True, tag="node-restarted"):
    """It drains for a part of the time, ends, and starts again under its id."""

    drain_s: Seconds

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """A short drain."""
        return {"drain_s": draw.of((0.05, 1.0))}


class NodeReplaced(Fault, frozen=True, tag="node-replaced"):
    """Its process ends, and another one takes its address at once under a new id."""

    drain_s: Seconds = 0.0

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """With or without a drain."""
        return {"drain_s": draw.of((0.2, 0.8)) if draw.chance(0.4) else 0.0}


class NodeVanished(Fault, frozen=True, tag="node-vanished"):
    """Its machine loses its power and is silent; it comes back with a new process."""


class FleetShrinks(Fault, frozen=True, tag="fleet-shrinks"):
    """A part of the fleet drains and ends; it is back when the fault ends."""

    targets: ClassVar[Target] = "none"
    part: Annotated[float, msgspec.Meta(gt=0, lt=1)]
    drain_s: Seconds

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """A quarter to a half."""
        return {"part": draw.of((0.25, 0.55)), "drain_s": draw.of((0.3, 1.5))}


class FleetRenewed(Fault, frozen=True, tag="fleet-renewed"):
    """Most nodes are replaced at once at their addresses, cold; where a resale opens, just before."""

    targets: ClassVar[Target] = "none"
    part: Annotated[float, msgspec.Meta(gt=0, le=1)]

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """Half of them to all; the crowd comes when they have just been listed."""
        given = {"part": draw.of((0.5, 1.0))}
        if world.crowd:
            at = world.opens_s - world.notice_s - world.discovery.spread_s
            given.update(at_s=round(max(FIRST_AT, at), 4), for_s=0.0)
        return given


class FleetGrows(Fault, frozen=True, tag="fleet-grows"):
    """Spare nodes start, cold, and stay."""

    targets: ClassVar[Target] = "none"


class NeighbourBusy(Fault, frozen=True, tag="neighbour"):
    """Another program takes a share of the machine, on and off in turn."""

    share: Annotated[float, msgspec.Meta(ge=0, lt=1)]
    on_s: Positive
    off_s: Positive

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """0.3 to 0.75, for some tenths of a second."""
        return {"share": draw.of((0.3, 0.75)), "on_s": draw.of((0.1, 0.6)), "off_s": draw.of((0.1, 0.6))}


class DrainToldLate(Fault, frozen=True, tag="drain-told-late"):
    """It drains and soon ends; discovery learns of the drain only after a while.  It is back at the end."""

    late_s: Seconds
    drain_s: Seconds

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """Told while it drains, or when it has ended already."""
        return {"late_s": draw.of((0.2, 1.2)), "drain_s": draw.of((0.1, 1.2))}


class DrainTakenBack(Fault, frozen=True, tag="drain-taken-back"):
    """It is told as draining and, when the fault ends, as ready again; it serves all the while."""


class DrainFlaps(Fault, frozen=True, tag="drain-flaps"):
    """It is told as draining and as ready in turn."""

    every_s: Positive

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """Round the drain's limit."""
        return {"every_s": draw.of((0.15, 0.7))}


class Resetting(Fault, frozen=True, tag="resets"):
    """A part of its requests meets a reset: at accept, before, in or after the request, in the answer."""

    broad: ClassVar[float] = 0.3
    where: ResetWhere
    part: Part
    runs: bool = True

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """At any of those places."""
        where = draw.rng.choice(get_args(ResetWhere))
        return {"where": where, "part": draw.of((0.1, 0.9)), "runs": draw.chance(0.6)}


class AnswersSpoilt(Fault, frozen=True, tag="answers-spoilt"):
    """A part of its answers is spoilt, or brings more than belongs to it."""

    broad: ClassVar[float] = 0.3
    how: SpoiltHow
    part: Part

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """In any way."""
        return {"how": draw.rng.choice(get_args(SpoiltHow)), "part": draw.of((0.1, 0.9))}


class TurningAway(Fault, frozen=True, tag="turning-away"):
    """A part of its requests is turned away unseen."""

    broad: ClassVar[float] = 0.3
    part: Part
    status: Literal[503, 504] = 503

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """Some or all."""
        return {"part": draw.of((0.2, 1.0)), "status": draw.rng.choice((503, 504))}


class LateReports(Fault, frozen=True, tag="reports-late"):
    """Load reports come later."""

    broad: ClassVar[float] = 0.5
    by_s: Seconds

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """By several of their periods."""
        return {"by_s": draw.of((0.3, 2.5))}


class WrongReports(Fault, frozen=True, tag="reports-wrong"):
    """Load reports are absent, or make no sense."""

    broad: ClassVar[float] = 0.4
    how: ReportHow

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """In any way."""
        return {"how": draw.rng.choice(get_args(ReportHow))}


class CloseCrossing(Fault, frozen=True, tag="close-crossing"):
    """Idle connections are closed early, or when a request is on its way on them."""

    broad: ClassVar[float] = 0.5
    within_s: Seconds
    part: Part
    unread: bool = False

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """Soon, or with a request unread."""
        return {
            "within_s": draw.log((0.01, 0.5)),
            "part": draw.of((0.2, 0.9)),
            "unread": draw.chance(0.5),
        }


# --- discovery ------------------------------------------------------------------------------------


class DiscoveryDown(Fault, frozen=True, tag="discovery-down"):
    """Calls are refused, reset or answered 503; watches end unless it is 503."""

    targets: ClassVar[Target] = "none"
    how: Literal["refuse", "reset", "503"]

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """In any way."""
        return {"how": draw.rng.choice(("refuse", "reset", "503"))}


class DiscoverySlow(Fault, frozen=True, tag="discovery-slow"):
    """Calls take so many times as long, so that some wait too long."""

    targets: ClassVar[Target] = "none"
    factor: Annotated[float, msgspec.Meta(ge=1)]

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """10 to 200 times."""
        return {"factor": draw.log((10.0, 200.0))}


class DiscoverySilent(Fault, frozen=True, tag="discovery-silent"):
    """Watches stay open and bring nothing, no empty line either."""

    targets: ClassVar[Target] = "none"


class DiscoveryGarbage(Fault, frozen=True, tag="discovery-garbage"):
    """Watches are told nonsense once: noise, half a line, a bad entry, an older version."""

    targets: ClassVar[Target] = "none"
    how: GarbageHow

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """In any way."""
        return {"how": draw.rng.choice(get_args(GarbageHow))}


class DiscoveryMoved(Fault, frozen=True, tag="discovery-moved"):
    """Another discovery, with versions of its own, takes over: SIGHUP tells the sidecars its address."""

    targets: ClassVar[Target] = "none"
    version: Annotated[int, msgspec.Meta(ge=1)]
    keeps_s: Seconds = 1.5  # the old one accepts nothing and closes what is open after this time

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """Its versions lower, the same or higher."""
        return {"version": draw.rng.choice((1, 2, 3, 5, 40, 1000)), "keeps_s": draw.of((0.2, 1.5))}


class DiscoveryUnreachable(Fault, frozen=True, tag="discovery-unreachable"):
    """Nothing passes between discovery and a sidecar."""

    targets: ClassVar[Target] = "sidecar"


class ListsDiffer(Fault, frozen=True, tag="lists-differ"):
    """A part of the sidecars is told each change so much later than the others."""

    targets: ClassVar[Target] = "none"
    part: Part = 0.5
    by_s: Seconds = 2.0


class DiscoveryRestarted(Fault, frozen=True, tag="discovery-restarted"):
    """Its process dies, and is started again with the list as it stands."""

    targets: ClassVar[Target] = "none"


class ListChurns(Fault, frozen=True, tag="list-churns"):
    """Weights change many times a second."""

    targets: ClassVar[Target] = "none"
    every_s: Positive

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """3 to 20 times a second."""
        return {"every_s": draw.log((0.05, 0.3))}


# --- clients -----------------------------------------------------------------------------------


class BadClientsCome(Fault, frozen=True, tag="bad-clients"):
    """Clients that misbehave, so many at once."""

    targets: ClassVar[Target] = "sidecar"
    what: BadKind
    count: Annotated[int, msgspec.Meta(ge=1, le=1000)]

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """A few; those that only take up connections come in numbers, more than a sidecar may hold.

        Those that ask are fewer: clients hold a third of the descriptors at most for requests.
        """
        what = draw.rng.choice(BAD_KINDS)
        asking = min(sidecar.sockets for sidecar in world.sidecars) / 4
        numbers = {"silent": (20.0, 160.0), "ask-and-stay": (8.0, asking), "half-request": (4.0, 20.0)}
        return {"what": what, "count": int(draw.log(numbers.get(what, (1.0, 5.0))))}


# --- sidecars -------------------------------------------------------------------------------------


class SidecarTerminated(Fault, frozen=True, tag="sidecar-terminated"):
    """SIGTERM; it is started again when the fault ends, and killed then if it has not ended."""

    targets: ClassVar[Target] = "sidecar"


class SidecarKilled(Fault, frozen=True, tag="sidecar-killed"):
    """SIGKILL; it is started again when the fault ends."""

    targets: ClassVar[Target] = "sidecar"


class SidecarStalled(Fault, frozen=True, tag="sidecar-stalled"):
    """It gets no processor for a moment."""

    targets: ClassVar[Target] = "sidecar"
    stall_s: Annotated[float, msgspec.Meta(gt=0, le=5)]

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """So short that every rule can still be kept."""
        return {"stall_s": draw.log((0.001, 0.008))}


class SidecarPaused(Fault, frozen=True, tag="sidecar-paused"):
    """Its process is stopped all the while, longer than any deadline if need be, and goes on at the end."""

    targets: ClassVar[Target] = "sidecar"


class SidecarStarved(Fault, frozen=True, tag="sidecar-starved"):
    """It is killed and started again at once, and has only a part of a core until the end."""

    targets: ClassVar[Target] = "sidecar"
    part: Annotated[float, msgspec.Meta(gt=0, lt=1)] = 0.2


class SidecarUnreachable(Fault, frozen=True, tag="sidecar-unreachable"):
    """Nothing passes between it and its clients, or one way only."""

    targets: ClassVar[Target] = "sidecar"
    way: Literal["both", "to-sidecar", "from-sidecar"] = "both"


class WallClockSet(Fault, frozen=True, tag="wall-clock-set"):
    """Its wall clock is set forward or back, and put right when the fault ends."""

    targets: ClassVar[Target] = "sidecar"
    by_s: float

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """By a second to an hour."""
        return {"by_s": draw.log((1.0, 3600.0)) * draw.rng.choice((1, -1))}


class DescriptorsUsedUp(Fault, frozen=True, tag="descriptors-used-up"):
    """It can open only a few more."""

    targets: ClassVar[Target] = "sidecar"
    left: Annotated[int, msgspec.Meta(ge=0)]

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """0 to 6."""
        return {"left": draw.whole((0, 6))}


class NodeBanned(Fault, frozen=True, tag="node-banned"):
    """Operators leave it out at every sidecar's admin endpoint; meanwhile it is started again, or not."""

    restart: bool

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """Mostly for a restart."""
        return {"restart": draw.chance(0.7)}


class SidecarOutOfService(Fault, frozen=True, tag="sidecar-out-of-service"):
    """Operators send its clients away; the process runs on, and is back in service at the end."""

    targets: ClassVar[Target] = "sidecar"


class SidecarsReleased(Fault, frozen=True, tag="sidecars-released"):
    """All sidecars are killed together and started again; discovery turns callers away until the end."""

    targets: ClassVar[Target] = "none"
    down_s: Seconds

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """Down for a moment."""
        return {"down_s": draw.of((0.0, 0.3))}


class BadConfiguration(Fault, frozen=True, tag="bad-configuration"):
    """Its configuration file is spoilt and SIGHUP comes; the file is whole again when the fault ends."""

    targets: ClassVar[Target] = "sidecar"
    how: Literal["empty", "half", "not-json", "bad-key"]

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """In any way."""
        return {"how": draw.rng.choice(("empty", "half", "not-json", "bad-key"))}


# --- the network ----------------------------------------------------------------------------------


class LinkCut(Fault, frozen=True, tag="link-cut"):
    """Nothing passes between a node and the sidecars, or one way only."""

    way: Literal["both", "to-node", "from-node"]

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """Any way."""
        return {"way": draw.rng.choice(("both", "both", "to-node", "from-node"))}


class LinkSlow(Fault, frozen=True, tag="link-slow"):
    """What passes between a node and the sidecars takes longer."""

    by_s: Seconds

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """Some milliseconds to some tenths of a second."""
        return {"by_s": draw.log((0.003, 0.2))}


class LinkJitter(Fault, frozen=True, tag="link-jitter"):
    """What passes between a node and the sidecars takes longer by a time that keeps changing."""

    by_s: Seconds = 0.05  # at most


class LinkThrottled(Fault, frozen=True, tag="link-throttled"):
    """Only so many bytes a second pass between a node and a sidecar, each way."""

    worlds: ClassVar[str] = "processes"
    bytes_per_s: Positive = 2000.0


class ConnectsSwallowed(Fault, frozen=True, tag="connects-swallowed"):
    """Connects to a node are never answered."""


class ConnectsRefused(Fault, frozen=True, tag="connects-refused"):
    """Connects to a node are refused."""


class ConnectionsReset(Fault, frozen=True, tag="connections-reset"):
    """Connections to a node are reset on the way, again and again."""

    every_s: Positive
    part: Part

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """Some or all of them."""
        return {"every_s": draw.log((0.05, 0.5)), "part": draw.of((0.2, 1.0))}


class ConnectionsSilent(Fault, frozen=True, tag="connections-silent"):
    """Connections to a node that are open now say nothing more."""

    part: Part

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """Some or all of them."""
        return {"part": draw.of((0.3, 1.0))}


class ZoneLost(Fault, frozen=True, tag="zone-lost"):
    """All nodes of a zone lose their power, and come back."""

    targets: ClassVar[Target] = "zone"


class ZoneCut(Fault, frozen=True, tag="zone-cut"):
    """A zone's nodes and the sidecars elsewhere don't reach each other."""

    targets: ClassVar[Target] = "zone"


class ZoneFlaps(Fault, frozen=True, tag="zone-flaps"):
    """A zone goes and comes in turn, each for so long: its power, or the way to it from elsewhere."""

    targets: ClassVar[Target] = "zone"
    every_s: Positive
    how: Literal["power", "cut"]

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """Several times within a run."""
        return {"every_s": draw.of((0.15, 0.7)), "how": draw.rng.choice(("power", "cut"))}


class ZoneUnreachable(Fault, frozen=True, tag="zone-unreachable"):
    """Nothing passes between a zone and one sidecar, or all of them, or one way only."""

    targets: ClassVar[Target] = "zone"
    way: Literal["both", "to-nodes", "from-nodes"]
    sidecar: str = ""

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """Any way, mostly for one sidecar."""
        names = ["", *(sidecar.name for sidecar in world.sidecars)]
        way = draw.rng.choice(("both", "to-nodes", "from-nodes"))
        return {"way": way, "sidecar": draw.rng.choice(names)}


class ZoneGrey(Fault, frozen=True, tag="zone-grey"):
    """In a zone each n-th answer is slow, and a part of the requests meets a reset."""

    targets: ClassVar[Target] = "zone"
    every: Annotated[int, msgspec.Meta(ge=1)]
    factor: Annotated[float, msgspec.Meta(ge=1)]
    resets: Part

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """Every second to fifth."""
        return {"every": draw.whole((2, 5)), "factor": draw.log((3.0, 12.0)), "resets": draw.of((0.0, 0.2))}


class ZoneDrained(Fault, frozen=True, tag="zone-drained"):
    """A zone's nodes drain and end in order, one after the other; they are back, cold, at the end."""

    targets: ClassVar[Target] = "zone"
    gap_s: Seconds
    drain_s: Seconds

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """Quickly, so that a run holds it."""
        return {"gap_s": draw.of((0.0, 0.3)), "drain_s": draw.of((0.2, 0.8))}


class ZoneRulesRead(Fault, frozen=True, tag="zone-rules-read"):
    """The operator file says something else of zones and SIGHUP comes; as before, both again, at the end."""

    targets: ClassVar[Target] = "zone"
    what: Literal["trust", "evacuate", "bad", "none"]

    @classmethod
    def parameters(cls, draw: Drawer, world: WorldFigures) -> dict[str, Any]:
        """Any of them."""
        return {"what": draw.rng.choice(("trust", "evacuate", "bad", "none"))}


FAULTS: tuple[type[Fault], ...] = (
    NodeSlow, NodeHung, NodeStalled, NodeCrashed, NodeRestarted, NodeReplaced, NodeVanished, FleetShrinks,
    FleetRenewed, FleetGrows, NeighbourBusy, DrainToldLate, DrainTakenBack, DrainFlaps, Resetting,
    AnswersSpoilt, TurningAway, LateReports, WrongReports, CloseCrossing, DiscoveryDown, DiscoverySlow,
    DiscoverySilent, DiscoveryGarbage, DiscoveryMoved, DiscoveryRestarted, ListChurns, BadClientsCome,
    SidecarTerminated, SidecarKilled, SidecarStalled, WallClockSet, DescriptorsUsedUp, BadConfiguration,
    LinkCut, LinkSlow, ConnectsSwallowed, ConnectsRefused, ConnectionsReset, ConnectionsSilent, ZoneLost,
    ZoneCut, ZoneFlaps, ZoneUnreachable, ZoneGrey, ZoneDrained, ZoneRulesRead, NodeBanned,
    SidecarOutOfService, SidecarsReleased, SidecarPaused, SidecarStarved, SidecarUnreachable,
    DiscoveryUnreachable, ListsDiffer, LinkJitter, LinkThrottled,
)  # fmt: skip
KINDS: Mapping[str, type[Fault]] = {kind_of(fault): fault for fault in FAULTS}

AnyFault = (
    NodeSlow | NodeHung | NodeStalled | NodeCrashed | NodeRestarted | NodeReplaced | NodeVanished
    | FleetShrinks | FleetRenewed | FleetGrows | NeighbourBusy | DrainToldLate | DrainTakenBack | DrainFlaps
    | Resetting | AnswersSpoilt | TurningAway | LateReports | WrongReports | CloseCrossing | DiscoveryDown
    | DiscoverySlow | DiscoverySilent | DiscoveryGarbage | DiscoveryMoved | DiscoveryRestarted | ListChurns
    | BadClientsCome | SidecarTerminated | SidecarKilled | SidecarStalled | WallClockSet
    | DescriptorsUsedUp | BadConfiguration | LinkCut | LinkSlow | ConnectsSwallowed | ConnectsRefused
    | ConnectionsReset | ConnectionsSilent | ZoneLost | ZoneCut | ZoneFlaps | ZoneUnreachable | ZoneGrey
    | ZoneDrained | ZoneRulesRead | NodeBanned | SidecarOutOfService | SidecarsReleased | SidecarPaused
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
# In the profile that is about them alone: what the others draw for a seed stays what it was.
_APART = (
    "zone-flaps", "zone-unreachable", "zone-grey", "zone-drained", "zone-rules-read", "node-banned",
    "sidecar-out-of-service", "sidecars-released", "sidecar-paused", "sidecar-starved",
    "sidecar-unreachable", "discovery-unreachable", "lists-differ", "link-jitter", "link-throttled",
)  # fmt: skip
# What operators do, and what happens to the fleet meanwhile.
CALLED = (
    "node-banned",
    "sidecar-out-of-service",
    "sidecars-released",
)  # in these runs sidecars have admin endpoints
_OPERATORS = (
    *CALLED, *CALLED, "node-crashed", "node-restarted", "fleet-shrinks", "drain-taken-back", "discovery-down",
    "discovery-moved", "discovery-garbage", "sidecar-killed", "sidecar-terminated", "descriptors-used-up",
    "bad-clients", "node-slow", "resets",
)  # fmt: skip
_RESTARTS = (
    "sidecar-terminated", "sidecar-killed", "wall-clock-set", "bad-configuration", "discovery-moved",
    "node-restarted", "node-crashed", "descriptors-used-up", "sidecar-stalled",
)  # fmt: skip
# The kinds that a profile draws from; one named twice comes twice as often.
PROFILES: Mapping[str, tuple[str, ...]] = {
    "default": tuple(kind for kind in KINDS if kind not in _APART),
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


def draw_faults(seed: int, world: WorldFigures, profile: str = "default") -> tuple[AnyFault, ...]:
    """A plan of at least three kinds, several of them at once, all over by the world's `faults_s`.

    Raises `ValueError` for a profile that there is none of.
    """
    if profile not in PROFILES:
        raise ValueError(f"no profile {profile!r}; there are {', '.join(PROFILES)}")
    draw = Drawer(seed, f"faults {profile}")
    names, kinds = list(PROFILES[profile]), []
    if world.crowd and "fleet-renewed" in names and draw.chance(0.3):  # the worst moment for a crowd to come
        names, kinds = [each for each in names if each != "fleet-renewed"], ["fleet-renewed"]
    for _ in range(draw.rng.choices((3, 4, 5, 6), (4, 3, 2, 1))[0]):
        name = draw.rng.choice(names)
        names = [each for each in names if each != name]
        kinds.append(name)
        if not names:
            break
    faults = [_draw_fault(KINDS[name], draw, world) for name in kinds]
    if draw.chance(0.3):  # one of them twice
        faults.append(_draw_fault(KINDS[draw.rng.choice(kinds)], draw, world))
    return tuple(sorted(faults, key=lambda fault: (fault.at_s, fault.kind, fault.target)))


def _draw_fault(of: type[Fault], draw: Drawer, world: WorldFigures) -> Any:
    span = world.faults_s - FIRST_AT
    length = draw.of((0.25 * span, 0.8 * span))
    at = draw.of((FIRST_AT, max(FIRST_AT, world.faults_s - length)))
    given = {"at_s": at, "for_s": round(min(length, world.faults_s - at), 4), **of.parameters(draw, world)}
    target = ""
    if not draw.chance(of.broad):
        target = draw.rng.choice(targets_of(of, world))
    return of(target=target, **given)


def targets_of(of: type[Fault], world: WorldFigures) -> Sequence[str]:
    """What a fault of a kind may be aimed at in a world; empty texts where there is no choice."""
    names: Callable[[], list[str]] = {
        "node": lambda: [node.id for node in world.nodes if not node.spare],
        "sidecar": lambda: [sidecar.name for sidecar in world.sidecars],
        "zone": lambda: list(dict.fromkeys(node.zone for node in world.nodes if not node.spare)),
        "none": lambda: [""],
    }[of.targets]
    return names()


def check_faults(faults: Sequence[Fault], world: WorldFigures) -> None:
    """Raise `ValueError` for a fault aimed at what the world does not have."""
    for number, fault in enumerate(faults):
        if fault.target and fault.target not in targets_of(type(fault), world):
            raise ValueError(
                f"faults[{number}]: {fault.kind} is aimed at {fault.target!r}, which is no {fault.targets}"
            )
