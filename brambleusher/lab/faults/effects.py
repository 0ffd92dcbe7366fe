"""Effects of each kind of fault on a fleet, and the actions that end them."""

from __future__ import annotations

import json
import math
import random
import signal
from collections.abc import Callable, Iterable, Sequence
from functools import partial, singledispatch
from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec

from brambleusher.lab.faults import kinds as faults
from brambleusher.lab.stand_ins import discovery, node
from brambleusher.lab.stand_ins.bad_client import BadClients

if TYPE_CHECKING:
    from brambleusher.lab.fleets.fleet import AnyFleet, NodePlace, SidecarPlace
    from brambleusher.lab.fleets.stage import Machine
    from brambleusher.lab.stand_ins.operators import Operators
    from brambleusher.runtime.system import Address

SECOND = 10**9
KILL_S = 3.7  # minimum time between SIGTERM and SIGKILL, in seconds
LOOK_AGAIN_NS = 20_000_000
# Idle connections opened before a sidecar is taken out of service, and their age in seconds at that time.
RESTING, REST_S = 3, 0.3
STARVED_S = 0.04  # period in seconds within which a starved process gets its share of CPU time
JITTER_S = 0.02  # period in seconds between latency changes of a jittery link
BAD_STAY_S = 3.3  # seconds that misbehaving clients stay, long enough to receive the expected error or close

End = Callable[[], None] | None
Pairs = Sequence[tuple["Machine", "Machine"]]


@singledispatch
def apply(fault: faults.Fault, fleet: AnyFleet) -> End:
    """Begin a fault and return the function that ends it, or None for a fault that needs none."""
    raise NotImplementedError(f"no effect is registered for fault kind {fault.kind}")


def _nodes(fault: faults.Fault, fleet: AnyFleet) -> list[NodePlace]:
    """Return the node that the fault targets, or all nodes but the spares."""
    if fault.target:
        return [fleet.place(fault.target)]
    return [place for place in fleet.places if not place.figures.spare]


def _zone(fault: faults.Fault, fleet: AnyFleet) -> list[NodePlace]:
    """Return the nodes of the zone that the fault targets, or all nodes, in both cases without the spares."""
    return [
        place
        for place in fleet.places
        if not place.figures.spare and fault.target in ("", place.figures.zone)
    ]


def _sidecars(fault: faults.Fault, fleet: AnyFleet) -> list[SidecarPlace]:
    return [fleet.sidecar(fault.target)] if fault.target else fleet.sidecars


def _links(fault: faults.Fault, fleet: AnyFleet) -> Pairs:
    """Return the machine pairs of each targeted node and each sidecar."""
    return [(place.machine, each.machine) for place in _nodes(fault, fleet) for each in fleet.sidecars]


def _cut(fleet: AnyFleet, pairs: Pairs, one_way: bool = False) -> Callable[[], None]:
    """Partition each pair, in one direction only with `one_way`; the returned function undoes this."""
    network = fleet.world.network
    for one, other in pairs:
        network.cut(one, other, one_way)

    def mend() -> None:
        for one, other in pairs:
            network.mend(one, other, one_way)

    return mend


def _slow(fleet: AnyFleet, pairs: Pairs, by_s: float) -> None:
    """Add `by_s` of latency between the machines of each pair; 0 removes the added latency."""
    for one, other in pairs:
        fleet.world.network.slow_link(one, other, int(by_s * SECOND))


def _rng(fault: faults.Fault, fleet: AnyFleet) -> random.Random:
    """Return a random generator for one fault, independent of the other faults of the run."""
    return random.Random(f"{fleet.scenario.seed}/{fault.kind}/{fault.at_s}/{fault.target}")


def _switch(places: Iterable[NodePlace], trouble: object) -> End:
    """Activate an injected fault at these nodes; the returned function deactivates it."""
    there = list(places)
    for place in there:
        place.begin(trouble)

    def end() -> None:
        for place in there:
            place.end(trouble)

    return end


def _after(fleet: AnyFleet, seconds: float, call: Callable[[], object]) -> None:
    fleet.world.after(int(seconds * SECOND), call)


def _again(fleet: AnyFleet, every_s: float, call: Callable[[], object]) -> Callable[[], None]:
    """Run `call` now and every `every_s` seconds, until the returned function is called."""
    over: list[bool] = []

    def turn() -> None:
        if not over:
            call()
            _after(fleet, every_s, turn)

    turn()
    return lambda: over.append(True)


# --- endpoints --------------------------------------------------------------------------------


@apply.register(faults.NodeSlow)
def _node_slow(fault: faults.NodeSlow, fleet: AnyFleet) -> End:
    return _switch(_nodes(fault, fleet), node.Slow(fault.factor))


@apply.register(faults.NodeHung)
def _node_hung(fault: faults.NodeHung, fleet: AnyFleet) -> End:
    return _switch(_nodes(fault, fleet), node.Hung())


@apply.register(faults.NeighbourBusy)
def _neighbour(fault: faults.NeighbourBusy, fleet: AnyFleet) -> End:
    return _switch(_nodes(fault, fleet), node.Neighbour(fault.share, fault.on_s, fault.off_s))


@apply.register(faults.Resetting)
def _resets(fault: faults.Resetting, fleet: AnyFleet) -> End:
    return _switch(_nodes(fault, fleet), node.Resets(fault.where, fault.part, fault.runs))


@apply.register(faults.AnswersSpoilt)
def _answers_spoilt(fault: faults.AnswersSpoilt, fleet: AnyFleet) -> End:
    return _switch(_nodes(fault, fleet), node.Spoilt(fault.how, fault.part))


@apply.register(faults.TurningAway)
def _turning_away(fault: faults.TurningAway, fleet: AnyFleet) -> End:
    return _switch(_nodes(fault, fleet), node.TurnsAway(fault.part, fault.status))


@apply.register(faults.LateReports)
def _reports_late(fault: faults.LateReports, fleet: AnyFleet) -> End:
    return _switch(_nodes(fault, fleet), node.ReportsLate(fault.by_s))


@apply.register(faults.WrongReports)
def _reports_wrong(fault: faults.WrongReports, fleet: AnyFleet) -> End:
    return _switch(_nodes(fault, fleet), node.ReportsWrong(fault.how))


@apply.register(faults.CloseCrossing)
def _close_crossing(fault: faults.CloseCrossing, fleet: AnyFleet) -> End:
    return _switch(_nodes(fault, fleet), node.CrossingClose(fault.within_s, fault.part, fault.unread))


@apply.register(faults.NodeStalled)
def _node_stalled(fault: faults.NodeStalled, fleet: AnyFleet) -> End:
    for place in _nodes(fault, fleet):
        place.machine.stall(int(fault.for_s * SECOND))
    return None


@apply.register(faults.NodeCrashed)
def _node_crashed(fault: faults.NodeCrashed, fleet: AnyFleet) -> End:
    notices, there = fleet.scenario.world, _nodes(fault, fleet)
    for place in there:
        place.stop(fault)
        place.look(notices.silent_notice_s)

    def end() -> None:
        for place in there:
            place.free(fault)
            place.look(notices.notice_s)

    return end


def _drained(
    fault: faults.Fault, fleet: AnyFleet, there: list[NodePlace], drain_s: float, told_s: float
) -> End:
    """Drain nodes, stop them after `drain_s`, and restart them cold at the end of the fault.

    Discovery is notified of the drain after `told_s`.
    """
    for place in there:
        place.drain(fault)
        place.look(told_s)

    def stop() -> None:
        for place in there:
            if place.drains:
                place.stop(fault, reset=False)
                place.look(max(0.0, told_s - drain_s))

    if drain_s < fault.for_s:
        _after(fleet, drain_s, stop)

    def end() -> None:
        for place in there:
            place.undrain(fault)
            place.free(fault)
            place.look(fleet.scenario.world.notice_s)

    return end


@apply.register(faults.NodeRestarted)
def _node_restarted(fault: faults.NodeRestarted, fleet: AnyFleet) -> End:
    notice = fleet.scenario.world.notice_s
    return _drained(fault, fleet, _nodes(fault, fleet), fault.drain_s, notice)


@apply.register(faults.DrainToldLate)
def _drain_told_late(fault: faults.DrainToldLate, fleet: AnyFleet) -> End:
    return _drained(fault, fleet, _nodes(fault, fleet), fault.drain_s, fault.late_s)


@apply.register(faults.FleetShrinks)
def _fleet_shrinks(fault: faults.FleetShrinks, fleet: AnyFleet) -> End:
    up = [place for place in fleet.places if place.up]
    count = min(len(up) - 1, max(1, round(fault.part * len(up))))
    there = _rng(fault, fleet).sample(up, max(0, count))
    return _drained(fault, fleet, there, fault.drain_s, fleet.scenario.world.notice_s)


@apply.register(faults.FleetGrows)
def _fleet_grows(fault: faults.FleetGrows, fleet: AnyFleet) -> End:
    for place in fleet.places:
        if place.figures.spare:
            place.free("spare")
            place.look(fleet.scenario.world.notice_s)
    return None


@apply.register(faults.NodeReplaced)
def _node_replaced(fault: faults.NodeReplaced, fleet: AnyFleet) -> End:
    there = [place for place in _nodes(fault, fleet) if place.up]
    notice, rng = fleet.scenario.world.notice_s, _rng(fault, fleet)

    def replace() -> None:
        for place in there:
            name = f"s-{rng.getrandbits(32):08x}"
            if place.up:
                place.replace(name)
                place.look(notice)

    if fault.drain_s:
        for place in there:
            place.drain(fault)
            place.look(notice)
    _after(fleet, min(fault.drain_s, fault.for_s), replace)
    return None


@apply.register(faults.FleetRenewed)
def _fleet_renewed(fault: faults.FleetRenewed, fleet: AnyFleet) -> End:
    rng, there = _rng(fault, fleet), [place for place in fleet.places if place.up]
    for place in rng.sample(there, math.ceil(len(there) * fault.part)):
        place.replace(f"s-{rng.getrandbits(32):08x}")
        place.look(fleet.scenario.world.notice_s)
    return None


def _power(fault: faults.Fault, fleet: AnyFleet, there: list[NodePlace]) -> End:
    """Cut the power of the nodes' machines, and restore it at the end of the fault."""
    notices = fleet.scenario.world
    for place in there:
        place.vanish(fault)
        place.look(notices.silent_notice_s)

    def end() -> None:
        for place in there:
            place.come_back(fault)
            place.look(notices.notice_s)

    return end


@apply.register(faults.NodeVanished)
def _node_vanished(fault: faults.NodeVanished, fleet: AnyFleet) -> End:
    return _power(fault, fleet, _nodes(fault, fleet))


@apply.register(faults.ZoneLost)
def _zone_lost(fault: faults.ZoneLost, fleet: AnyFleet) -> End:
    return _power(fault, fleet, _zone(fault, fleet))


@apply.register(faults.DrainTakenBack)
def _drain_taken_back(fault: faults.DrainTakenBack, fleet: AnyFleet) -> End:
    there = _nodes(fault, fleet)
    for place in there:
        place.told_draining.append(fault)
        place.look(0.0)

    def end() -> None:
        for place in there:
            place.told_draining.remove(fault)
            place.look(0.0)

    return end


@apply.register(faults.DrainFlaps)
def _drain_flaps(fault: faults.DrainFlaps, fleet: AnyFleet) -> End:
    there = _nodes(fault, fleet)

    def turn() -> None:
        for place in there:
            if fault in place.told_draining:
                place.told_draining.remove(fault)
            else:
                place.told_draining.append(fault)
            place.look(0.0)

    stop = _again(fleet, fault.every_s, turn)

    def end() -> None:
        stop()
        for place in there:
            place.told_draining = [each for each in place.told_draining if each is not fault]
            place.look(0.0)

    return end


# --- discovery ------------------------------------------------------------------------------------


def _at_discovery(fleet: AnyFleet, trouble: object, able: bool = False) -> End:
    fleet.discovery.begin(trouble, able)
    return lambda: fleet.discovery.end(trouble, able)


@apply.register(faults.DiscoveryDown)
def _discovery_down(fault: faults.DiscoveryDown, fleet: AnyFleet) -> End:
    return _at_discovery(fleet, discovery.Down(fault.how))


@apply.register(faults.DiscoverySlow)
def _discovery_slow(fault: faults.DiscoverySlow, fleet: AnyFleet) -> End:
    return _at_discovery(fleet, discovery.SlowCalls(fault.factor))


@apply.register(faults.DiscoverySilent)
def _discovery_silent(fault: faults.DiscoverySilent, fleet: AnyFleet) -> End:
    return _at_discovery(fleet, discovery.Silent())


@apply.register(faults.DiscoveryGarbage)
def _discovery_garbage(fault: faults.DiscoveryGarbage, fleet: AnyFleet) -> End:
    return _at_discovery(fleet, discovery.Garbage(fault.how))


@apply.register(faults.DiscoveryRestarted)
def _discovery_restarted(fault: faults.DiscoveryRestarted, fleet: AnyFleet) -> End:
    place = fleet.discovery
    place.kill()
    place.unable(1)

    def end() -> None:
        place.restart()
        place.unable(-1)

    return end


@apply.register(faults.DiscoveryMoved)
def _discovery_moved(fault: faults.DiscoveryMoved, fleet: AnyFleet) -> End:
    fleet.discovery.move(fault.version, fault.keeps_s)
    for sidecar in fleet.sidecars:
        sidecar.rewrite_file()
        sidecar.signal(signal.SIGHUP)
    return None


@apply.register(faults.ListChurns)
def _list_churns(fault: faults.ListChurns, fleet: AnyFleet) -> End:
    rng = _rng(fault, fleet)

    def turn() -> None:
        there = list(fleet.discovery.list.values())
        if there:
            entry = rng.choice(there)
            weight = round(entry.weight * rng.uniform(0.8, 1.25), 4)
            fleet.discovery.put([msgspec.structs.replace(entry, weight=weight)])

    return _again(fleet, fault.every_s, turn)


# --- clients and sidecars ----------------------------------------------------------------------


@apply.register(faults.BadClientsCome)
def _bad_clients(fault: faults.BadClientsCome, fleet: AnyFleet) -> End:
    ends: list[Callable[[], None]] = []

    def come(bad: BadClients) -> None:
        numbers, scheduler = bad.begin(fault.what, fault.count), bad.scheduler
        stays = scheduler.now() + BAD_STAY_S

        def go() -> None:
            scheduler.call_at(max(stays, scheduler.now()), lambda: bad.end(numbers))

        ends.append(lambda: scheduler.call_soon(go))

    for sidecar in _sidecars(fault, fleet):
        bad = fleet.bad[sidecar.number]
        bad.scheduler.call_soon(partial(come, bad))

    def end() -> None:
        for each in ends:
            each()

    return end


@apply.register(faults.SidecarTerminated)
def _sidecar_terminated(fault: faults.SidecarTerminated, fleet: AnyFleet) -> End:
    there = [(place, place.process) for place in _sidecars(fault, fleet) if place.up]
    begun_ns = fleet.world.now_ns
    for place, _ in there:
        place.signal(signal.SIGTERM)

    def end() -> None:
        late = fleet.world.now_ns - begun_ns >= KILL_S * SECOND
        waiting = [(place, process) for place, process in there if place.process is process]
        there[:] = waiting
        for place, _ in waiting:
            if late or not place.up:
                place.start()
        if any(place.process is process for place, process in waiting):
            fleet.world.after(LOOK_AGAIN_NS, end)

    return end


@apply.register(faults.SidecarKilled)
def _sidecar_killed(fault: faults.SidecarKilled, fleet: AnyFleet) -> End:
    there = [(place, place.process) for place in _sidecars(fault, fleet) if place.up]
    for place, _ in there:
        place.signal(signal.SIGKILL)

    def end() -> None:
        for place, process in there:
            if place.process is process:
                place.start()

    return end


@apply.register(faults.SidecarStalled)
def _sidecar_stalled(fault: faults.SidecarStalled, fleet: AnyFleet) -> End:
    for place in _sidecars(fault, fleet):
        place.machine.stall(int(fault.stall_s * SECOND))
    return None


@apply.register(faults.SidecarPaused)
def _sidecar_paused(fault: faults.SidecarPaused, fleet: AnyFleet) -> End:
    for place in _sidecars(fault, fleet):
        place.pause(int(fault.for_s * SECOND))
    return None


@apply.register(faults.SidecarStarved)
def _sidecar_starved(fault: faults.SidecarStarved, fleet: AnyFleet) -> End:
    there = _sidecars(fault, fleet)
    for place in there:
        place.signal(signal.SIGKILL)
        place.start()

    def turn() -> None:
        for place in there:
            if place.up:
                place.pause(int(STARVED_S * (1 - fault.part) * SECOND))

    return _again(fleet, STARVED_S, turn)


@apply.register(faults.SidecarUnreachable)
def _sidecar_unreachable(fault: faults.SidecarUnreachable, fleet: AnyFleet) -> End:
    front = fleet.client_machine
    pairs: Pairs = [(front, place.machine) for place in _sidecars(fault, fleet)]
    if fault.way == "from-sidecar":
        pairs = [(to, from_) for from_, to in pairs]
    return _cut(fleet, pairs, one_way=fault.way != "both")


@apply.register(faults.DiscoveryUnreachable)
def _discovery_unreachable(fault: faults.DiscoveryUnreachable, fleet: AnyFleet) -> End:
    machine, there = fleet.discovery.machine, _sidecars(fault, fleet)

    def able(on: bool) -> None:
        for place in there:
            fleet.audience.discovery_able(fleet.world.now_ns, on, place.machine.name)

    mend = _cut(fleet, [(machine, place.machine) for place in there])
    able(False)

    def end() -> None:
        mend()
        able(True)

    return end


@apply.register(faults.ListsDiffer)
def _lists_differ(fault: faults.ListsDiffer, fleet: AnyFleet) -> End:
    return _at_discovery(fleet, discovery.Behind(fault.part, fault.by_s), able=True)


@apply.register(faults.WallClockSet)
def _wall_clock_set(fault: faults.WallClockSet, fleet: AnyFleet) -> End:
    there, by = _sidecars(fault, fleet), int(fault.by_s * SECOND)
    for place in there:
        place.machine.shift_wall(by)

    def end() -> None:
        for place in there:
            place.machine.shift_wall(-by)

    return end


@apply.register(faults.DescriptorsUsedUp)
def _descriptors_used_up(fault: faults.DescriptorsUsedUp, fleet: AnyFleet) -> End:
    there = _sidecars(fault, fleet)
    for place in there:
        place.squeeze(fault, fault.left)

    def end() -> None:
        for place in there:
            place.relax(fault)

    return end


def _said(operators: Operators, calls: list[tuple[Address, str, str]], wait_s: float = 0.0) -> End:
    """Have operators send requests after `wait_s`, and reverse at the end those that were sent."""
    stops: list[Callable[[], None]] = []
    over: list[bool] = []
    scheduler = operators.scheduler

    def begin() -> None:
        if not over:
            stops.extend(operators.say(*call) for call in calls)

    def stop() -> None:
        over.append(True)
        for each in stops:
            each()

    scheduler.call_soon(lambda: scheduler.call_at(scheduler.now() + wait_s, begin))
    return lambda: scheduler.call_soon(stop)


def _for_a_while(fault: faults.Fault, fleet: AnyFleet, seconds: float) -> None:
    """Apply a nested fault for some seconds."""
    over = apply(fault, fleet)
    if over is not None:
        _after(fleet, seconds, over)


@apply.register(faults.NodeBanned)
def _node_banned(fault: faults.NodeBanned, fleet: AnyFleet) -> End:
    if fleet.operators is None:
        return None
    there, down_s = _nodes(fault, fleet), fault.for_s / 4
    for place in there if fault.restart else ():
        crash = faults.NodeCrashed(at_s=0.0, target=place.figures.id)
        _after(fleet, down_s, partial(_for_a_while, crash, fleet, down_s))
    paths = [f"/control/registry-nodes/{quote(place.id, safe='')}/" for place in there]
    calls = [(each.admin, path + "offline", path + "online") for path in paths for each in fleet.sidecars]
    return _said(fleet.operators, calls)


@apply.register(faults.SidecarOutOfService)
def _sidecar_out_of_service(fault: faults.SidecarOutOfService, fleet: AnyFleet) -> End:
    if fleet.operators is None:
        return None
    there = _sidecars(fault, fleet)
    for place in there:
        # These connections are idle when the operators' request arrives, and no client reuses them.
        bad = fleet.bad[place.number]
        bad.scheduler.call_soon(partial(bad.begin, "ask-and-stay", RESTING))
    calls = [(place.admin, "/control/out-of-service", "/control/in-service") for place in there]
    return _said(fleet.operators, calls, REST_S)


@apply.register(faults.SidecarsReleased)
def _sidecars_released(fault: faults.SidecarsReleased, fleet: AnyFleet) -> End:
    away = apply(faults.DiscoveryDown(at_s=0.0, how="503"), fleet)
    _for_a_while(faults.SidecarKilled(at_s=0.0), fleet, fault.down_s)
    return away


@apply.register(faults.BadConfiguration)
def _bad_configuration(fault: faults.BadConfiguration, fleet: AnyFleet) -> End:
    there = _sidecars(fault, fleet)
    for place in there:
        good = place.good_file
        raw = json.loads(good)
        raw["limits"]["sockets"] = "many"
        place.file = {
            "empty": b"", "half": good[: len(good) // 2], "not-json": good + b"}",
            "bad-key": json.dumps(raw).encode(),
        }[fault.how]  # fmt: skip
        place.signal(signal.SIGHUP)

    def end() -> None:
        for place in there:
            place.rewrite_file()
            place.signal(signal.SIGHUP)

    return end


# --- the network ----------------------------------------------------------------------------------


@apply.register(faults.LinkCut)
def _link_cut(fault: faults.LinkCut, fleet: AnyFleet) -> End:
    pairs = _links(fault, fleet)
    if fault.way == "to-node":
        pairs = [(to, from_) for from_, to in pairs]
    return _cut(fleet, pairs, one_way=fault.way != "both")


@apply.register(faults.ZoneCut)
def _zone_cut(fault: faults.ZoneCut, fleet: AnyFleet) -> End:
    pairs = [
        (place.machine, each.machine)
        for place in _zone(fault, fleet)
        for each in fleet.sidecars
        if each.figures.zone != fault.target
    ]
    return _cut(fleet, pairs)


@apply.register(faults.ZoneFlaps)
def _zone_flaps(fault: faults.ZoneFlaps, fleet: AnyFleet) -> End:
    length, ends = fault.every_s, list[End]()

    def turn() -> None:
        if ends:
            over = ends.pop()
            assert over is not None
            over()
        else:
            once: faults.Fault = faults.ZoneLost(at_s=0.0, target=fault.target)
            if fault.how == "cut":
                once = faults.ZoneUnreachable(at_s=0.0, target=fault.target, way="both")
            ends.append(apply(once, fleet))

    stop = _again(fleet, length, turn)

    def end() -> None:
        stop()
        if ends:
            turn()

    return end


@apply.register(faults.ZoneUnreachable)
def _zone_unreachable(fault: faults.ZoneUnreachable, fleet: AnyFleet) -> End:
    pairs = [
        (place.machine, each.machine)
        for place in _zone(fault, fleet)
        for each in fleet.sidecars
        if fault.sidecar in ("", each.figures.name)
    ]
    if fault.way == "to-nodes":
        pairs = [(to, from_) for from_, to in pairs]
    return _cut(fleet, pairs, one_way=fault.way != "both")


@apply.register(faults.ZoneGrey)
def _zone_grey(fault: faults.ZoneGrey, fleet: AnyFleet) -> End:
    there = _zone(fault, fleet)
    slow = _switch(there, node.SlowNow(fault.every, fault.factor))
    resets = _switch(there, node.Resets("after", fault.resets))

    def end() -> None:
        for over in (slow, resets):
            assert over is not None
            over()

    return end


@apply.register(faults.ZoneDrained)
def _zone_drained(fault: faults.ZoneDrained, fleet: AnyFleet) -> End:
    notice = fleet.scenario.world.notice_s
    ends: list[End] = []
    over: list[bool] = []

    def drain(place: NodePlace) -> None:
        if not over:
            ends.append(_drained(fault, fleet, [place], fault.drain_s, notice))

    for number, place in enumerate(_zone(fault, fleet)):
        if number:
            _after(fleet, number * fault.gap_s, partial(drain, place))
        else:
            drain(place)

    def end() -> None:
        over.append(True)
        for each in ends:
            if each is not None:
                each()

    return end


@apply.register(faults.ZoneRulesRead)
def _zone_rules_read(fault: faults.ZoneRulesRead, fleet: AnyFleet) -> End:
    def write(what: str) -> None:
        for place in fleet.sidecars:
            if what in ("trust", "evacuate"):
                place.operator = place.operator_file(**{what: [fault.target]})
            elif what == "none":
                raw = json.loads(place.operator_file() or b"{}")
                place.operator = json.dumps({k: v for k, v in raw.items() if k != "zones"}).encode()
            else:
                place.operator = place.operator_file() + (b"}" if what == "bad" else b"")
            place.signal(signal.SIGHUP)

    write(fault.what)
    return lambda: write("as before")


@apply.register(faults.LinkSlow)
def _link_slow(fault: faults.LinkSlow, fleet: AnyFleet) -> End:
    pairs = _links(fault, fleet)
    _slow(fleet, pairs, fault.by_s)
    return lambda: _slow(fleet, pairs, 0.0)


@apply.register(faults.LinkJitter)
def _link_jitter(fault: faults.LinkJitter, fleet: AnyFleet) -> End:
    rng, pairs = _rng(fault, fleet), _links(fault, fleet)

    def turn() -> None:
        for pair in pairs:
            _slow(fleet, [pair], fault.by_s * rng.random())

    stop = _again(fleet, JITTER_S, turn)

    def end() -> None:
        stop()
        _slow(fleet, pairs, 0.0)

    return end


@apply.register(faults.LinkThrottled)
def _link_throttled(fault: faults.LinkThrottled, fleet: AnyFleet) -> End:
    network = fleet.world.network
    pairs = _links(fault, fleet)
    for one, other in pairs:
        network.throttle(one, other, fault.bytes_per_s)

    def end() -> None:
        for one, other in pairs:
            network.throttle(one, other, 0.0)

    return end


@apply.register(faults.ConnectsSwallowed)
def _connects_swallowed(fault: faults.ConnectsSwallowed, fleet: AnyFleet) -> End:
    network, there = fleet.world.network, _nodes(fault, fleet)
    for place in there:
        network.swallow_connects(place.machine)

    def end() -> None:
        for place in there:
            network.stop_swallowing(place.machine)

    return end


@apply.register(faults.ConnectsRefused)
def _connects_refused(fault: faults.ConnectsRefused, fleet: AnyFleet) -> End:
    network, there = fleet.world.network, _nodes(fault, fleet)
    for place in there:
        network.refuse(place.machine, place.address[1])

    def end() -> None:
        for place in there:
            network.stop_refusing(place.machine, place.address[1])

    return end


@apply.register(faults.ConnectionsReset)
def _connections_reset(fault: faults.ConnectionsReset, fleet: AnyFleet) -> End:
    rng, there = _rng(fault, fleet), _nodes(fault, fleet)

    def turn() -> None:
        for place in there:
            for connection in fleet.world.network.connections(place.machine):
                if rng.random() < fault.part:
                    fleet.world.network.reset(connection)

    return _again(fleet, fault.every_s, turn)


@apply.register(faults.ConnectionsSilent)
def _connections_silent(fault: faults.ConnectionsSilent, fleet: AnyFleet) -> End:
    rng = _rng(fault, fleet)
    those = [
        connection
        for place in _nodes(fault, fleet)
        for connection in fleet.world.network.connections(place.machine)
        if rng.random() < fault.part
    ]
    for connection in those:
        fleet.world.network.silence(connection)

    def end() -> None:
        for connection in those:
            fleet.world.network.unsilence(connection)

    return end
