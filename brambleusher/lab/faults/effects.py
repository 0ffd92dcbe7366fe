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
    from brambleusher.lab.fleets.fleet import BaseFleet, NodeInstance, SidecarInstance
    from brambleusher.lab.fleets.stage import Machine
    from brambleusher.lab.stand_ins.operators import Operators
    from brambleusher.runtime.system import Address

SECOND = 10**9
KILL_DELAY_S = 3.7  # minimum time between SIGTERM and SIGKILL, in seconds
RETRY_INTERVAL_NS = 20_000_000
# Idle connections opened before a sidecar is taken out of service, and their age in seconds at that time.
IDLE_CONNECTIONS, IDLE_AGE_S = 3, 0.3
STARVATION_PERIOD_S = 0.04  # period in seconds within which a starved process gets its share of CPU time
JITTER_PERIOD_S = 0.02  # period in seconds between latency changes of a jittery link
# Seconds that misbehaving clients stay, long enough to receive the expected error or close.
BAD_CLIENT_DURATION_S = 3.3

EndAction = Callable[[], None] | None
MachinePairs = Sequence[tuple["Machine", "Machine"]]


@singledispatch
def apply(fault: faults.Fault, fleet: BaseFleet) -> EndAction:
    """Begin a fault and return the function that ends it, or None for a fault that needs none."""
    raise NotImplementedError(f"no effect is registered for fault kind {fault.kind}")


def _target_nodes(fault: faults.Fault, fleet: BaseFleet) -> list[NodeInstance]:
    """Return the node that the fault targets, or all nodes but the spares."""
    if fault.target:
        return [fleet.node_instance(fault.target)]
    return [instance for instance in fleet.node_instances if not instance.spec.spare]


def _zone_nodes(fault: faults.Fault, fleet: BaseFleet) -> list[NodeInstance]:
    """Return the nodes of the zone that the fault targets, or all nodes, in both cases without the spares."""
    return [
        instance
        for instance in fleet.node_instances
        if not instance.spec.spare and fault.target in ("", instance.spec.zone)
    ]


def _target_sidecars(fault: faults.Fault, fleet: BaseFleet) -> list[SidecarInstance]:
    return [fleet.sidecar(fault.target)] if fault.target else fleet.sidecars


def _links_to_sidecars(fault: faults.Fault, fleet: BaseFleet) -> MachinePairs:
    """Return the machine pairs of each targeted node and each sidecar."""
    return [
        (instance.machine, each.machine)
        for instance in _target_nodes(fault, fleet)
        for each in fleet.sidecars
    ]


def _partition(fleet: BaseFleet, pairs: MachinePairs, one_way: bool = False) -> Callable[[], None]:
    """Partition each pair, in one direction only with `one_way`; the returned function undoes this."""
    network = fleet.world.network
    for one, other in pairs:
        network.partition(one, other, one_way)

    def repair() -> None:
        for one, other in pairs:
            network.heal(one, other, one_way)

    return repair


def _add_latency(fleet: BaseFleet, pairs: MachinePairs, by_s: float) -> None:
    """Add `by_s` of latency between the machines of each pair; 0 removes the added latency."""
    for one, other in pairs:
        fleet.world.network.set_link_latency(one, other, int(by_s * SECOND))


def _fault_rng(fault: faults.Fault, fleet: BaseFleet) -> random.Random:
    """Return a random generator for one fault, independent of the other faults of the run."""
    return random.Random(f"{fleet.scenario.seed}/{fault.kind}/{fault.at_s}/{fault.target}")


def _inject(instances: Iterable[NodeInstance], injected: object) -> EndAction:
    """Activate an injected fault at these nodes; the returned function deactivates it."""
    targets = list(instances)
    for instance in targets:
        instance.begin(injected)

    def end() -> None:
        for instance in targets:
            instance.end(injected)

    return end


def _call_later(fleet: BaseFleet, seconds: float, callback: Callable[[], object]) -> None:
    fleet.world.after(int(seconds * SECOND), callback)


def _repeat(fleet: BaseFleet, every_s: float, callback: Callable[[], object]) -> Callable[[], None]:
    """Run `callback` now and every `every_s` seconds, until the returned function is called."""
    stopped: list[bool] = []

    def tick() -> None:
        if not stopped:
            callback()
            _call_later(fleet, every_s, tick)

    tick()
    return lambda: stopped.append(True)


# --- endpoints --------------------------------------------------------------------------------


@apply.register(faults.NodeSlow)
def _node_slow(fault: faults.NodeSlow, fleet: BaseFleet) -> EndAction:
    return _inject(_target_nodes(fault, fleet), node.Slow(fault.factor))


@apply.register(faults.NodeHung)
def _node_hung(fault: faults.NodeHung, fleet: BaseFleet) -> EndAction:
    return _inject(_target_nodes(fault, fleet), node.Hung())


@apply.register(faults.NoisyNeighbour)
def _noisy_neighbour(fault: faults.NoisyNeighbour, fleet: BaseFleet) -> EndAction:
    return _inject(_target_nodes(fault, fleet), node.Neighbour(fault.share, fault.on_s, fault.off_s))


@apply.register(faults.RequestResets)
def _resets(fault: faults.RequestResets, fleet: BaseFleet) -> EndAction:
    return _inject(_target_nodes(fault, fleet), node.Resets(fault.where, fault.part, fault.runs))


@apply.register(faults.MalformedAnswers)
def _malformed_answers(fault: faults.MalformedAnswers, fleet: BaseFleet) -> EndAction:
    return _inject(_target_nodes(fault, fleet), node.MalformedResponses(fault.how, fault.part))


@apply.register(faults.RequestRejections)
def _request_rejections(fault: faults.RequestRejections, fleet: BaseFleet) -> EndAction:
    return _inject(_target_nodes(fault, fleet), node.RejectsRequests(fault.part, fault.status))


@apply.register(faults.LateReports)
def _reports_late(fault: faults.LateReports, fleet: BaseFleet) -> EndAction:
    return _inject(_target_nodes(fault, fleet), node.DelayedReports(fault.by_s))


@apply.register(faults.WrongReports)
def _reports_wrong(fault: faults.WrongReports, fleet: BaseFleet) -> EndAction:
    return _inject(_target_nodes(fault, fleet), node.InvalidReports(fault.how))


@apply.register(faults.EarlyIdleClose)
def _early_idle_close(fault: faults.EarlyIdleClose, fleet: BaseFleet) -> EndAction:
    return _inject(_target_nodes(fault, fleet), node.EarlyClose(fault.within_s, fault.part, fault.unread))


@apply.register(faults.NodeStalled)
def _node_stalled(fault: faults.NodeStalled, fleet: BaseFleet) -> EndAction:
    for instance in _target_nodes(fault, fleet):
        instance.machine.stall(int(fault.for_s * SECOND))
    return None


@apply.register(faults.NodeCrashed)
def _node_crashed(fault: faults.NodeCrashed, fleet: BaseFleet) -> EndAction:
    notices, targets = fleet.scenario.world, _target_nodes(fault, fleet)
    for instance in targets:
        instance.stop(fault)
        instance.update_listing(notices.silent_notice_s)

    def end() -> None:
        for instance in targets:
            instance.remove_stop_reason(fault)
            instance.update_listing(notices.notice_s)

    return end


def _drain_and_restart(
    fault: faults.Fault, fleet: BaseFleet, targets: list[NodeInstance], drain_s: float, notice_delay_s: float
) -> EndAction:
    """Drain nodes, stop them after `drain_s`, and restart them cold at the end of the fault.

    Discovery is notified of the drain after `notice_delay_s`.
    """
    for instance in targets:
        instance.drain(fault)
        instance.update_listing(notice_delay_s)

    def stop() -> None:
        for instance in targets:
            if instance.drain_reasons:
                instance.stop(fault, reset=False)
                instance.update_listing(max(0.0, notice_delay_s - drain_s))

    if drain_s < fault.for_s:
        _call_later(fleet, drain_s, stop)

    def end() -> None:
        for instance in targets:
            instance.undrain(fault)
            instance.remove_stop_reason(fault)
            instance.update_listing(fleet.scenario.world.notice_s)

    return end


@apply.register(faults.NodeRestarted)
def _node_restarted(fault: faults.NodeRestarted, fleet: BaseFleet) -> EndAction:
    notice = fleet.scenario.world.notice_s
    return _drain_and_restart(fault, fleet, _target_nodes(fault, fleet), fault.drain_s, notice)


@apply.register(faults.LateDrainNotice)
def _late_drain_notice(fault: faults.LateDrainNotice, fleet: BaseFleet) -> EndAction:
    return _drain_and_restart(fault, fleet, _target_nodes(fault, fleet), fault.drain_s, fault.late_s)


@apply.register(faults.FleetShrinks)
def _fleet_shrinks(fault: faults.FleetShrinks, fleet: BaseFleet) -> EndAction:
    up = [instance for instance in fleet.node_instances if instance.up]
    count = min(len(up) - 1, max(1, round(fault.part * len(up))))
    targets = _fault_rng(fault, fleet).sample(up, max(0, count))
    return _drain_and_restart(fault, fleet, targets, fault.drain_s, fleet.scenario.world.notice_s)


@apply.register(faults.FleetGrows)
def _fleet_grows(fault: faults.FleetGrows, fleet: BaseFleet) -> EndAction:
    for instance in fleet.node_instances:
        if instance.spec.spare:
            instance.remove_stop_reason("spare")
            instance.update_listing(fleet.scenario.world.notice_s)
    return None


@apply.register(faults.NodeReplaced)
def _node_replaced(fault: faults.NodeReplaced, fleet: BaseFleet) -> EndAction:
    targets = [instance for instance in _target_nodes(fault, fleet) if instance.up]
    notice, rng = fleet.scenario.world.notice_s, _fault_rng(fault, fleet)

    def replace() -> None:
        for instance in targets:
            name = f"s-{rng.getrandbits(32):08x}"
            if instance.up:
                instance.replace(name)
                instance.update_listing(notice)

    if fault.drain_s:
        for instance in targets:
            instance.drain(fault)
            instance.update_listing(notice)
    _call_later(fleet, min(fault.drain_s, fault.for_s), replace)
    return None


@apply.register(faults.FleetRenewed)
def _fleet_renewed(fault: faults.FleetRenewed, fleet: BaseFleet) -> EndAction:
    rng, targets = _fault_rng(fault, fleet), [instance for instance in fleet.node_instances if instance.up]
    for instance in rng.sample(targets, math.ceil(len(targets) * fault.part)):
        instance.replace(f"s-{rng.getrandbits(32):08x}")
        instance.update_listing(fleet.scenario.world.notice_s)
    return None


def _cut_power(fault: faults.Fault, fleet: BaseFleet, targets: list[NodeInstance]) -> EndAction:
    """Cut the power of the nodes' machines, and restore it at the end of the fault."""
    notices = fleet.scenario.world
    for instance in targets:
        instance.vanish(fault)
        instance.update_listing(notices.silent_notice_s)

    def end() -> None:
        for instance in targets:
            instance.come_back(fault)
            instance.update_listing(notices.notice_s)

    return end


@apply.register(faults.NodePowerLoss)
def _node_power_loss(fault: faults.NodePowerLoss, fleet: BaseFleet) -> EndAction:
    return _cut_power(fault, fleet, _target_nodes(fault, fleet))


@apply.register(faults.ZonePowerLoss)
def _zone_power_loss(fault: faults.ZonePowerLoss, fleet: BaseFleet) -> EndAction:
    return _cut_power(fault, fleet, _zone_nodes(fault, fleet))


@apply.register(faults.DrainCancelled)
def _drain_cancelled(fault: faults.DrainCancelled, fleet: BaseFleet) -> EndAction:
    targets = _target_nodes(fault, fleet)
    for instance in targets:
        instance.listed_draining_reasons.append(fault)
        instance.update_listing(0.0)

    def end() -> None:
        for instance in targets:
            instance.listed_draining_reasons.remove(fault)
            instance.update_listing(0.0)

    return end


@apply.register(faults.DrainFlaps)
def _drain_flaps(fault: faults.DrainFlaps, fleet: BaseFleet) -> EndAction:
    targets = _target_nodes(fault, fleet)

    def tick() -> None:
        for instance in targets:
            if fault in instance.listed_draining_reasons:
                instance.listed_draining_reasons.remove(fault)
            else:
                instance.listed_draining_reasons.append(fault)
            instance.update_listing(0.0)

    stop = _repeat(fleet, fault.every_s, tick)

    def end() -> None:
        stop()
        for instance in targets:
            instance.listed_draining_reasons = [
                each for each in instance.listed_draining_reasons if each is not fault
            ]
            instance.update_listing(0.0)

    return end


# --- discovery ------------------------------------------------------------------------------------


def _inject_at_discovery(fleet: BaseFleet, injected: object, can_notify: bool = False) -> EndAction:
    fleet.discovery.begin(injected, can_notify)
    return lambda: fleet.discovery.end(injected, can_notify)


@apply.register(faults.DiscoveryDown)
def _discovery_down(fault: faults.DiscoveryDown, fleet: BaseFleet) -> EndAction:
    return _inject_at_discovery(fleet, discovery.Down(fault.how))


@apply.register(faults.DiscoverySlow)
def _discovery_slow(fault: faults.DiscoverySlow, fleet: BaseFleet) -> EndAction:
    return _inject_at_discovery(fleet, discovery.SlowRequests(fault.factor))


@apply.register(faults.DiscoveryUnresponsive)
def _discovery_unresponsive(fault: faults.DiscoveryUnresponsive, fleet: BaseFleet) -> EndAction:
    return _inject_at_discovery(fleet, discovery.Unresponsive())


@apply.register(faults.DiscoveryGarbage)
def _discovery_garbage(fault: faults.DiscoveryGarbage, fleet: BaseFleet) -> EndAction:
    return _inject_at_discovery(fleet, discovery.Garbage(fault.how))


@apply.register(faults.DiscoveryRestarted)
def _discovery_restarted(fault: faults.DiscoveryRestarted, fleet: BaseFleet) -> EndAction:
    instance = fleet.discovery
    instance.kill()
    instance.change_update_blockers(1)

    def end() -> None:
        instance.restart()
        instance.change_update_blockers(-1)

    return end


@apply.register(faults.DiscoveryMoved)
def _discovery_moved(fault: faults.DiscoveryMoved, fleet: BaseFleet) -> EndAction:
    fleet.discovery.move(fault.version, fault.keeps_s)
    for sidecar in fleet.sidecars:
        sidecar.rewrite_file()
        sidecar.signal(signal.SIGHUP)
    return None


@apply.register(faults.ListChurns)
def _list_churns(fault: faults.ListChurns, fleet: BaseFleet) -> EndAction:
    rng = _fault_rng(fault, fleet)

    def tick() -> None:
        targets = list(fleet.discovery.list.values())
        if targets:
            entry = rng.choice(targets)
            weight = round(entry.weight * rng.uniform(0.8, 1.25), 4)
            fleet.discovery.put([msgspec.structs.replace(entry, weight=weight)])

    return _repeat(fleet, fault.every_s, tick)


# --- clients and sidecars ----------------------------------------------------------------------


@apply.register(faults.MisbehavingClients)
def _misbehaving_clients(fault: faults.MisbehavingClients, fleet: BaseFleet) -> EndAction:
    ends: list[Callable[[], None]] = []

    def start(bad: BadClients) -> None:
        numbers, scheduler = bad.begin(fault.what, fault.count), bad.scheduler
        earliest_end = scheduler.now() + BAD_CLIENT_DURATION_S

        def schedule_end() -> None:
            scheduler.call_at(max(earliest_end, scheduler.now()), lambda: bad.end(numbers))

        ends.append(lambda: scheduler.call_soon(schedule_end))

    for sidecar in _target_sidecars(fault, fleet):
        bad = fleet.bad[sidecar.number]
        bad.scheduler.call_soon(partial(start, bad))

    def end() -> None:
        for each in ends:
            each()

    return end


@apply.register(faults.SidecarTerminated)
def _sidecar_terminated(fault: faults.SidecarTerminated, fleet: BaseFleet) -> EndAction:
    targets = [(instance, instance.process) for instance in _target_sidecars(fault, fleet) if instance.up]
    started_ns = fleet.world.now_ns
    for instance, _ in targets:
        instance.signal(signal.SIGTERM)

    def end() -> None:
        overdue = fleet.world.now_ns - started_ns >= KILL_DELAY_S * SECOND
        waiting = [(instance, process) for instance, process in targets if instance.process is process]
        targets[:] = waiting
        for instance, _ in waiting:
            if overdue or not instance.up:
                instance.start()
        if any(instance.process is process for instance, process in waiting):
            fleet.world.after(RETRY_INTERVAL_NS, end)

    return end


@apply.register(faults.SidecarKilled)
def _sidecar_killed(fault: faults.SidecarKilled, fleet: BaseFleet) -> EndAction:
    targets = [(instance, instance.process) for instance in _target_sidecars(fault, fleet) if instance.up]
    for instance, _ in targets:
        instance.signal(signal.SIGKILL)

    def end() -> None:
        for instance, process in targets:
            if instance.process is process:
                instance.start()

    return end


@apply.register(faults.SidecarStalled)
def _sidecar_stalled(fault: faults.SidecarStalled, fleet: BaseFleet) -> EndAction:
    for instance in _target_sidecars(fault, fleet):
        instance.machine.stall(int(fault.stall_s * SECOND))
    return None


@apply.register(faults.SidecarPaused)
def _sidecar_paused(fault: faults.SidecarPaused, fleet: BaseFleet) -> EndAction:
    for instance in _target_sidecars(fault, fleet):
        instance.pause(int(fault.for_s * SECOND))
    return None


@apply.register(faults.SidecarStarved)
def _sidecar_starved(fault: faults.SidecarStarved, fleet: BaseFleet) -> EndAction:
    targets = _target_sidecars(fault, fleet)
    for instance in targets:
        instance.signal(signal.SIGKILL)
        instance.start()

    def tick() -> None:
        for instance in targets:
            if instance.up:
                instance.pause(int(STARVATION_PERIOD_S * (1 - fault.part) * SECOND))

    return _repeat(fleet, STARVATION_PERIOD_S, tick)


@apply.register(faults.SidecarUnreachable)
def _sidecar_unreachable(fault: faults.SidecarUnreachable, fleet: BaseFleet) -> EndAction:
    front = fleet.client_machine
    pairs: MachinePairs = [(front, instance.machine) for instance in _target_sidecars(fault, fleet)]
    if fault.way == "from-sidecar":
        pairs = [(to, from_) for from_, to in pairs]
    return _partition(fleet, pairs, one_way=fault.way != "both")


@apply.register(faults.DiscoveryUnreachable)
def _discovery_unreachable(fault: faults.DiscoveryUnreachable, fleet: BaseFleet) -> EndAction:
    machine, targets = fleet.discovery.machine, _target_sidecars(fault, fleet)

    def set_able(on: bool) -> None:
        for instance in targets:
            fleet.monitor.discovery_available(fleet.world.now_ns, on, instance.machine.name)

    repair = _partition(fleet, [(machine, instance.machine) for instance in targets])
    set_able(False)

    def end() -> None:
        repair()
        set_able(True)

    return end


@apply.register(faults.ListsDiffer)
def _lists_differ(fault: faults.ListsDiffer, fleet: BaseFleet) -> EndAction:
    return _inject_at_discovery(fleet, discovery.DelayedUpdates(fault.part, fault.by_s), can_notify=True)


@apply.register(faults.WallClockSet)
def _wall_clock_set(fault: faults.WallClockSet, fleet: BaseFleet) -> EndAction:
    targets, by = _target_sidecars(fault, fleet), int(fault.by_s * SECOND)
    for instance in targets:
        instance.machine.shift_wall(by)

    def end() -> None:
        for instance in targets:
            instance.machine.shift_wall(-by)

    return end


@apply.register(faults.DescriptorsExhausted)
def _descriptors_exhausted(fault: faults.DescriptorsExhausted, fleet: BaseFleet) -> EndAction:
    targets = _target_sidecars(fault, fleet)
    for instance in targets:
        instance.lower_descriptor_limit(fault, fault.left)

    def end() -> None:
        for instance in targets:
            instance.restore_descriptor_limit(fault)

    return end


def _request_actions(
    operators: Operators, requests: list[tuple[Address, str, str]], wait_s: float = 0.0
) -> EndAction:
    """Have operators send requests after `wait_s`, and reverse at the end those that were sent."""
    stops: list[Callable[[], None]] = []
    stopped: list[bool] = []
    scheduler = operators.scheduler

    def begin() -> None:
        if not stopped:
            stops.extend(operators.repeat_action(*request) for request in requests)

    def stop() -> None:
        stopped.append(True)
        for each in stops:
            each()

    scheduler.call_soon(lambda: scheduler.call_at(scheduler.now() + wait_s, begin))
    return lambda: scheduler.call_soon(stop)


def _apply_for(fault: faults.Fault, fleet: BaseFleet, seconds: float) -> None:
    """Apply a nested fault for some seconds."""
    end = apply(fault, fleet)
    if end is not None:
        _call_later(fleet, seconds, end)


@apply.register(faults.NodeBanned)
def _node_banned(fault: faults.NodeBanned, fleet: BaseFleet) -> EndAction:
    if fleet.operators is None:
        return None
    targets, down_s = _target_nodes(fault, fleet), fault.for_s / 4
    for instance in targets if fault.restart else ():
        crash = faults.NodeCrashed(at_s=0.0, target=instance.spec.id)
        _call_later(fleet, down_s, partial(_apply_for, crash, fleet, down_s))
    paths = [f"/control/registry-nodes/{quote(instance.id, safe='')}/" for instance in targets]
    requests = [(each.admin, path + "offline", path + "online") for path in paths for each in fleet.sidecars]
    return _request_actions(fleet.operators, requests)


@apply.register(faults.SidecarOutOfService)
def _sidecar_out_of_service(fault: faults.SidecarOutOfService, fleet: BaseFleet) -> EndAction:
    if fleet.operators is None:
        return None
    targets = _target_sidecars(fault, fleet)
    for instance in targets:
        # These connections are idle when the operators' request arrives, and no client reuses them.
        bad = fleet.bad[instance.number]
        bad.scheduler.call_soon(partial(bad.begin, "ask-and-stay", IDLE_CONNECTIONS))
    requests = [(instance.admin, "/control/out-of-service", "/control/in-service") for instance in targets]
    return _request_actions(fleet.operators, requests, IDLE_AGE_S)


@apply.register(faults.SidecarsRestarted)
def _sidecars_restarted(fault: faults.SidecarsRestarted, fleet: BaseFleet) -> EndAction:
    end = apply(faults.DiscoveryDown(at_s=0.0, how="503"), fleet)
    _apply_for(faults.SidecarKilled(at_s=0.0), fleet, fault.down_s)
    return end


@apply.register(faults.BadConfiguration)
def _bad_configuration(fault: faults.BadConfiguration, fleet: BaseFleet) -> EndAction:
    targets = _target_sidecars(fault, fleet)
    for instance in targets:
        good = instance.good_file
        raw = json.loads(good)
        raw["limits"]["sockets"] = "many"
        instance.file = {
            "empty": b"", "half": good[: len(good) // 2], "not-json": good + b"}",
            "bad-key": json.dumps(raw).encode(),
        }[fault.how]  # fmt: skip
        instance.signal(signal.SIGHUP)

    def end() -> None:
        for instance in targets:
            instance.rewrite_file()
            instance.signal(signal.SIGHUP)

    return end


# --- the network ----------------------------------------------------------------------------------


@apply.register(faults.LinkPartition)
def _link_partition(fault: faults.LinkPartition, fleet: BaseFleet) -> EndAction:
    pairs = _links_to_sidecars(fault, fleet)
    if fault.way == "to-node":
        pairs = [(to, from_) for from_, to in pairs]
    return _partition(fleet, pairs, one_way=fault.way != "both")


@apply.register(faults.ZonePartition)
def _zone_partition(fault: faults.ZonePartition, fleet: BaseFleet) -> EndAction:
    pairs = [
        (instance.machine, each.machine)
        for instance in _zone_nodes(fault, fleet)
        for each in fleet.sidecars
        if each.spec.zone != fault.target
    ]
    return _partition(fleet, pairs)


@apply.register(faults.ZoneFlaps)
def _zone_flaps(fault: faults.ZoneFlaps, fleet: BaseFleet) -> EndAction:
    length, ends = fault.every_s, list[EndAction]()

    def tick() -> None:
        if ends:
            end_nested = ends.pop()
            assert end_nested is not None
            end_nested()
        else:
            nested: faults.Fault = faults.ZonePowerLoss(at_s=0.0, target=fault.target)
            if fault.how == "cut":
                nested = faults.ZoneUnreachable(at_s=0.0, target=fault.target, way="both")
            ends.append(apply(nested, fleet))

    stop = _repeat(fleet, length, tick)

    def end() -> None:
        stop()
        if ends:
            tick()

    return end


@apply.register(faults.ZoneUnreachable)
def _zone_unreachable(fault: faults.ZoneUnreachable, fleet: BaseFleet) -> EndAction:
    pairs = [
        (instance.machine, each.machine)
        for instance in _zone_nodes(fault, fleet)
        for each in fleet.sidecars
        if fault.sidecar in ("", each.spec.name)
    ]
    if fault.way == "to-nodes":
        pairs = [(to, from_) for from_, to in pairs]
    return _partition(fleet, pairs, one_way=fault.way != "both")


@apply.register(faults.ZoneDegraded)
def _zone_degraded(fault: faults.ZoneDegraded, fleet: BaseFleet) -> EndAction:
    targets = _zone_nodes(fault, fleet)
    slow = _inject(targets, node.SlowEveryNth(fault.every, fault.factor))
    resets = _inject(targets, node.Resets("after", fault.resets))

    def end() -> None:
        for end_effect in (slow, resets):
            assert end_effect is not None
            end_effect()

    return end


@apply.register(faults.ZoneDrained)
def _zone_drained(fault: faults.ZoneDrained, fleet: BaseFleet) -> EndAction:
    notice = fleet.scenario.world.notice_s
    ends: list[EndAction] = []
    stopped: list[bool] = []

    def drain(instance: NodeInstance) -> None:
        if not stopped:
            ends.append(_drain_and_restart(fault, fleet, [instance], fault.drain_s, notice))

    for number, instance in enumerate(_zone_nodes(fault, fleet)):
        if number:
            _call_later(fleet, number * fault.gap_s, partial(drain, instance))
        else:
            drain(instance)

    def end() -> None:
        stopped.append(True)
        for each in ends:
            if each is not None:
                each()

    return end


@apply.register(faults.ZoneRulesRead)
def _zone_rules_read(fault: faults.ZoneRulesRead, fleet: BaseFleet) -> EndAction:
    def write(what: str) -> None:
        for instance in fleet.sidecars:
            if what in ("trust", "evacuate"):
                instance.operator = instance.operator_file(**{what: [fault.target]})
            elif what == "none":
                raw = json.loads(instance.operator_file() or b"{}")
                instance.operator = json.dumps({k: v for k, v in raw.items() if k != "zones"}).encode()
            else:
                instance.operator = instance.operator_file() + (b"}" if what == "bad" else b"")
            instance.signal(signal.SIGHUP)

    write(fault.what)
    return lambda: write("as before")


@apply.register(faults.LinkLatency)
def _link_latency(fault: faults.LinkLatency, fleet: BaseFleet) -> EndAction:
    pairs = _links_to_sidecars(fault, fleet)
    _add_latency(fleet, pairs, fault.by_s)
    return lambda: _add_latency(fleet, pairs, 0.0)


@apply.register(faults.LinkJitter)
def _link_jitter(fault: faults.LinkJitter, fleet: BaseFleet) -> EndAction:
    rng, pairs = _fault_rng(fault, fleet), _links_to_sidecars(fault, fleet)

    def tick() -> None:
        for pair in pairs:
            _add_latency(fleet, [pair], fault.by_s * rng.random())

    stop = _repeat(fleet, JITTER_PERIOD_S, tick)

    def end() -> None:
        stop()
        _add_latency(fleet, pairs, 0.0)

    return end


@apply.register(faults.LinkThrottled)
def _link_throttled(fault: faults.LinkThrottled, fleet: BaseFleet) -> EndAction:
    network = fleet.world.network
    pairs = _links_to_sidecars(fault, fleet)
    for one, other in pairs:
        network.throttle(one, other, fault.bytes_per_s)

    def end() -> None:
        for one, other in pairs:
            network.throttle(one, other, 0.0)

    return end


@apply.register(faults.ConnectsUnanswered)
def _connects_unanswered(fault: faults.ConnectsUnanswered, fleet: BaseFleet) -> EndAction:
    network, targets = fleet.world.network, _target_nodes(fault, fleet)
    for instance in targets:
        network.drop_connects(instance.machine)

    def end() -> None:
        for instance in targets:
            network.stop_dropping_connects(instance.machine)

    return end


@apply.register(faults.ConnectsRefused)
def _connects_refused(fault: faults.ConnectsRefused, fleet: BaseFleet) -> EndAction:
    network, targets = fleet.world.network, _target_nodes(fault, fleet)
    for instance in targets:
        network.refuse_connects(instance.machine, instance.address[1])

    def end() -> None:
        for instance in targets:
            network.stop_refusing(instance.machine, instance.address[1])

    return end


@apply.register(faults.ConnectionsReset)
def _connections_reset(fault: faults.ConnectionsReset, fleet: BaseFleet) -> EndAction:
    rng, targets = _fault_rng(fault, fleet), _target_nodes(fault, fleet)

    def tick() -> None:
        for instance in targets:
            for connection in fleet.world.network.connections(instance.machine):
                if rng.random() < fault.part:
                    fleet.world.network.reset(connection)

    return _repeat(fleet, fault.every_s, tick)


@apply.register(faults.ConnectionsStalled)
def _connections_stalled(fault: faults.ConnectionsStalled, fleet: BaseFleet) -> EndAction:
    rng = _fault_rng(fault, fleet)
    silenced = [
        connection
        for instance in _target_nodes(fault, fleet)
        for connection in fleet.world.network.connections(instance.machine)
        if rng.random() < fault.part
    ]
    for connection in silenced:
        fleet.world.network.blackhole(connection)

    def end() -> None:
        for connection in silenced:
            fleet.world.network.stop_blackholing(connection)

    return end
