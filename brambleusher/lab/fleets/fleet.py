"""A whole fleet in a world, built from a scenario: discovery, nodes, sidecars and clients.

The sidecars run the program's own `Sidecar` with a configuration in the platform's format.  The fleet acts
on a process through that process's own scheduler (`call_soon`), so that the action runs in the process.
"""

from __future__ import annotations

import json
import math
import signal
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from typing import Any, Protocol

import msgspec

from brambleusher.lab.faults.effects import apply
from brambleusher.lab.faults.kinds import OPERATOR_KINDS, Fault
from brambleusher.lab.fleets.figures import (
    ADMIN_PORT,
    DISCOVERY_PORT,
    NODE_PORT,
    SIDECAR_PORT,
    NodeSpec,
    SidecarSpec,
    WorldSpec,
)
from brambleusher.lab.fleets.scenario import Scenario
from brambleusher.lab.fleets.stage import Machine, Process, Stage
from brambleusher.lab.stand_ins.bad_client import BadClients, BadConnection
from brambleusher.lab.stand_ins.client import LINGER_SECONDS, Client, SentRequest
from brambleusher.lab.stand_ins.discovery import Discovery, Entry, SentUpdate
from brambleusher.lab.stand_ins.node import Execution, Node
from brambleusher.lab.stand_ins.operators import Operators
from brambleusher.lab.stand_ins.server import ActiveFaults, Server
from brambleusher.lab.virtual.world import STANDARD_DESCRIPTORS, Pace, VirtualSystem, World, WorldSettings
from brambleusher.lab.virtual.world import Machine as VirtualMachine
from brambleusher.loadbalancing import Balancer
from brambleusher.loadbalancing.api import Settings
from brambleusher.loadbalancing.balancer_factory import balancer_for
from brambleusher.operator_settings.configuration import OperatorFile, parse_operator_file
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.system import Address
from brambleusher.sidecar.app import Sidecar
from brambleusher.sidecar.configuration import Config, parse_config

SECOND = 10**9
STARTUP_S = 1.2  # time from the start of the processes to the earliest request, in seconds
QUIESCE_TIMEOUT_S = 6.0  # time limit for all open requests and connections to end, in seconds
LIVE_TIMERS = 24  # maximum number of timers of an idle sidecar, which usually has fewer than ten
QUIESCE_POLL_NS = 50_000_000
CALM_POLL_S = 0.25
# Largest load after the faults for which recovery is checked, as a fraction of the capacity.
MAX_CALM_LOAD = 0.6
CLIENTS, BAD_CLIENTS, OPERATORS = "clients", "bad clients", "operators"  # names of machines
CAPTURE = {"ring_kb": 768}


class FleetMonitor(Protocol):
    """Receives the events that a checker can't see on the wire, with times in monotonic nanoseconds."""

    def sidecar(self, now: int, machine: str, config: bytes) -> None:
        """Record that a sidecar is about to start on a machine."""

    def discovery(self, address: Address) -> None:
        """Record an additional address of the discovery service."""

    def node(self, now: int, name: str, address: Address, started_ms: int) -> None:
        """Record that a node's process is about to accept connections."""

    def bad_client(self, who: str) -> None:
        """Record that a machine hosts misbehaving clients."""

    def actual_list(self, now: int, servers: list[dict[str, Any]], full: bool = False) -> None:
        """Record changes that discovery has learnt of, or the whole list with `full`."""

    def discovery_available(self, now: int, can_notify: bool, machine: str = "") -> None:
        """Record whether discovery can send updates, to one machine if given."""

    def descriptors_short(self, now: int, machine: str, on: bool) -> None:
        """Record whether a sidecar has too few file descriptors left to accept connections."""

    def paused(self, now: int, machine: str, on: bool) -> None:
        """Record whether a sidecar's process is paused."""

    def faults_ended(self, now: int) -> None:
        """Record that the last fault has ended and that all later requests can be served."""


class _NullMonitor:
    """A monitor that ignores all events."""

    def sidecar(self, now: int, machine: str, config: bytes) -> None: ...
    def discovery(self, address: Address) -> None: ...
    def node(self, now: int, name: str, address: Address, started_ms: int) -> None: ...
    def bad_client(self, who: str) -> None: ...
    def actual_list(self, now: int, servers: list[dict[str, Any]], full: bool = False) -> None: ...
    def discovery_available(self, now: int, can_notify: bool, machine: str = "") -> None: ...
    def descriptors_short(self, now: int, machine: str, on: bool) -> None: ...
    def paused(self, now: int, machine: str, on: bool) -> None: ...
    def faults_ended(self, now: int) -> None: ...


def empty_world(scenario: Scenario) -> World:
    """Return an empty world with the scenario's network settings."""
    spec = scenario.world.network
    return World(
        scenario.seed,
        WorldSettings(
            jitter_ns=int(spec.same_zone_s * spec.jitter * SECOND),
            split=spec.split,
            short_send=spec.short_send,
            short_receive=spec.short_receive,
            aborted_accepts=spec.aborted_accepts,
            send_buffer=spec.buffer_bytes,
            receive_buffer=spec.buffer_bytes,
        ),
    )


def node_address(number: int) -> Address:
    """Return the listen address of a node, by its index in the scenario."""
    return f"10.1.0.{number + 1}", NODE_PORT


def node_machine(number: int) -> str:
    """Return the name of a node's machine, by the node's index in the scenario."""
    return f"node {number}"


def pace_of(world: WorldSpec) -> Pace | None:
    """Return the pace of a sidecar's process, or None if its share of a CPU core causes no delay."""
    processor = world.processor
    if not processor.start_s and not processor.round_s:
        return None
    start_ns, poll_interval_ns = int(processor.start_s * SECOND), int(processor.round_s * SECOND)
    return Pace(
        start_ns=(start_ns // 2, start_ns * 3 // 2),
        poll_interval_ns=(poll_interval_ns // 2, poll_interval_ns * 3 // 2),
    )


def configuration(
    world: WorldSpec,
    number: int,
    listen: Address,
    discovery: Address,
    seed: int,
    known: Iterable[Entry] = (),
    version: int = 0,
    admin: Address | None = None,
) -> bytes:
    """Return a sidecar's configuration file, for the virtual and the real world alike."""
    own = world.sidecars[number]
    return json.dumps(
        {
            "name": own.name, "listen": f"{listen[0]}:{listen[1]}",
            "discovery": f"{discovery[0]}:{discovery[1]}", "seed": f"{seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": own.memory_mb, "sockets": own.sockets},
            "known": {
                "version": version, "full": True, "servers": [msgspec.to_builtins(each) for each in known]
            },
            "settings": world.sidecar_settings(number),
            **({} if admin is None else {"admin_addr": f"{admin[0]}:{admin[1]}"}),
        }
    ).encode()  # fmt: skip


# --- managed processes ----------------------------------------------------------------------------


class NodeInstance:
    """A node of the fleet: its machine, its current process, and the reasons that keep it from running."""

    def __init__(self, fleet: BaseFleet, spec: NodeSpec, machine: Machine) -> None:
        self.fleet, self.spec, self.machine = fleet, spec, machine
        self.id = spec.id
        self.active_faults = ActiveFaults()
        self.node: Node | None = None
        self.process: Process | None = None
        self.processes = 0  # number of processes started under the current id
        self.started_ms = 0
        self.stop_reasons: list[object] = []  # reasons that keep the process stopped
        self.drain_reasons: list[object] = []  # reasons for which the node drains
        self.listed_draining_reasons: list[object] = []  # reasons to list a serving node as draining
        self.power_cut_reasons: list[object] = []  # reasons that keep the machine without power
        self.previous_ids: list[str] = []  # previous ids of the node
        if spec.spare:
            self.stop_reasons.append("spare")

    @property
    def address(self) -> Address:
        """Address on which the node listens."""
        return self.machine.address(NODE_PORT)

    @property
    def up(self) -> bool:
        """Whether the node's process runs and accepts connections."""
        return self.process is not None and not self.process.dead and not self.fallen

    @property
    def fallen(self) -> bool:
        """Whether overload during warm-up has permanently stopped the node."""
        return self.node is not None and self.node.machine.fell_at is not None

    def entry(self) -> Entry:
        """Return the entry under which discovery should list the node now."""
        spec, state = self.spec, "Ready"
        if not self.up:
            state = "Gone"
        elif self.drain_reasons or self.listed_draining_reasons:
            state = "Terminating"
        return Entry(
            id=self.id, addr=f"{self.address[0]}:{self.address[1]}", zone=spec.zone, kind=spec.kind,
            cell=spec.cell, weight=spec.weight, started_ms=self.started_ms,
            state=state,  # type: ignore[arg-type]
        )  # fmt: skip

    # --- injected faults ------------------------------------------------------------------------

    def begin(self, fault: object) -> None:
        """Activate an injected fault for the current process and later ones."""
        self.active_faults.begin(fault)
        self._apply_faults()

    def end(self, fault: object) -> None:
        """Deactivate an injected fault."""
        self.active_faults.end(fault)
        self._apply_faults()

    def _apply_faults(self) -> None:
        if self.node is not None and self.up:
            self.node.scheduler.call_soon(self.node.changed)

    # --- processes ------------------------------------------------------------------------------

    def start(self, cold: bool = True) -> None:
        """Start a process, unless one is running or a reason prevents the start."""
        if self.stop_reasons or self.up or self.fallen or self.machine.has_vanished:
            return
        number, fleet = self.processes, self.fleet
        self.processes += 1
        self.drain_reasons.clear()
        if cold:
            self.started_ms = fleet.wall_ms()
        fleet.monitor.node(fleet.world.now_ns, self.id, self.address, self.started_ms)
        name = self.id

        def build(scheduler: Scheduler) -> Server:
            self.node = fleet.new_node(
                scheduler, self.spec.settings, name, fleet.scenario.seed, process=number, cold=cold,
                executions=fleet.executions, active_faults=self.active_faults,
            )  # fmt: skip
            self.node.on_fall = lambda: self.update_listing(fleet.scenario.world.silent_notice_s)
            self.node.listen(self.address)
            return self.node

        self.node = None
        self.process = self.machine.serve(build, name)

    def kill(self, reset: bool = True) -> None:
        """Kill the node's process."""
        if self.process is not None:
            self.process.kill(reset)

    def drain(self, why: object) -> None:
        """Drain the node for a given reason."""
        self.drain_reasons.append(why)
        self._set_draining()

    def undrain(self, why: object) -> None:
        """Remove a reason for draining; the node is ready again when none is left."""
        self.drain_reasons = [each for each in self.drain_reasons if each is not why]
        self._set_draining()

    def _set_draining(self) -> None:
        if self.node is not None:
            self.node.draining = bool(self.drain_reasons)

    def stop(self, why: object, reset: bool = True) -> None:
        """Kill the process, and keep it stopped for a given reason."""
        self.stop_reasons.append(why)
        self.kill(reset)

    def remove_stop_reason(self, why: object) -> None:
        """Remove a reason that keeps the process stopped; start the process if none is left."""
        self.stop_reasons = [each for each in self.stop_reasons if each is not why]
        self.start()

    def replace(self, name: str) -> None:
        """Kill the process and start another at once under a new id."""
        self.kill()
        self.previous_ids.append(self.id)
        self.id, self.processes = name, 0
        self.start()

    def vanish(self, why: object) -> None:
        """Cut the power of the machine for a given reason."""
        self.power_cut_reasons.append(why)
        if not self.machine.has_vanished:
            self.machine.vanish()

    def come_back(self, why: object) -> None:
        """Remove a reason for the power cut; if none is left, restore power and start the process."""
        self.power_cut_reasons = [each for each in self.power_cut_reasons if each is not why]
        if not self.power_cut_reasons and self.machine.has_vanished:
            self.machine.come_back()
            self.start()

    def update_listing(self, after_s: float) -> None:
        """Have discovery update the node's entry after some time, to the node's state at that time."""
        self.fleet.world.after(int(after_s * SECOND), lambda: self.fleet.discovery.update_listing(self))


class DiscoveryInstance:
    """The current discovery service: its list of nodes, its machine and its process."""

    def __init__(self, fleet: BaseFleet) -> None:
        self.fleet = fleet
        self.machine = fleet.world.machine("discovery", "10.2.0.1")
        self.version = 1
        self.list: dict[str, Entry] = {}
        self.sent_updates: list[SentUpdate] = []
        self.active_faults = ActiveFaults()
        self.service: Discovery | None = None
        self.process: Process | None = None
        self._replacements = 0
        self._update_blockers = 0

    @property
    def address(self) -> Address:
        """Current address of the discovery service."""
        return self.machine.address(DISCOVERY_PORT)

    def start(self) -> None:
        """Start the discovery process with the current list."""
        fleet = self.fleet
        fleet.monitor.discovery(self.address)

        def build(scheduler: Scheduler) -> Server:
            service = self.service = Discovery(
                scheduler, fleet.scenario.world.discovery, "discovery", fleet.scenario.seed,
                entries=self.list.values(), version=self.version, sent_updates=self.sent_updates,
                seen=fleet.seen_by,
            )  # fmt: skip
            service.listen(self.address)
            for fault in self.active_faults.all(object):
                service.begin(fault)
            return service

        self.service = None
        self.process = self.machine.serve(build, "discovery")

    def kill(self) -> None:
        """Kill the discovery process."""
        if self.process is not None:
            self.process.kill(reset=True)

    def restart(self) -> None:
        """Restart the process with a higher version, which makes earlier changes unavailable to watches."""
        self.version += 10
        if self.process is None or self.process.dead:
            self.start()

    def move(self, version: int, keeps_s: float) -> None:
        """Replace the service with another one, at a new address and with its own versions."""
        self._replacements += 1
        old = self.service
        if old is not None and self.process is not None and not self.process.dead:
            old.scheduler.call_soon(lambda: old.retire(keeps_s))
        self.machine = self.fleet.world.machine(
            f"discovery {self._replacements}", f"10.2.0.{1 + self._replacements}"
        )
        self.version = version
        self.fleet.set_latency(self.machine)
        self.start()

    def begin(self, fault: object, can_notify: bool = False) -> None:
        """Activate an injected fault; unless `can_notify`, updates may not be delivered meanwhile."""
        self.active_faults.begin(fault)
        self._schedule(lambda service: service.begin(fault))
        if not can_notify:
            self.change_update_blockers(1)

    def end(self, fault: object, can_notify: bool = False) -> None:
        """Deactivate an injected fault."""
        self.active_faults.end(fault)
        self._schedule(lambda service: service.end(fault))
        if not can_notify:
            self.change_update_blockers(-1)

    def change_update_blockers(self, by: int) -> None:
        """Change the number of reasons that keep the service from sending updates."""
        self._update_blockers += by
        self.fleet.monitor.discovery_available(self.fleet.world.now_ns, self._update_blockers == 0)

    def update_listing(self, instance: NodeInstance) -> None:
        """Update the entry of a node to its current state."""
        changed = [
            msgspec.structs.replace(self.list[name], state="Gone")
            for name in instance.previous_ids
            if name in self.list
        ]
        entry = instance.entry()
        listed = self.list.get(entry.id)
        if listed != entry and (listed is not None or entry.state != "Gone"):
            changed.append(entry)
        self.put(changed)

    def put(self, changed: list[Entry]) -> None:
        """Apply changes to the list and send them to the watches."""
        if not changed:
            return
        for entry in changed:
            if entry.state == "Gone":
                self.list.pop(entry.id, None)
            else:
                self.list[entry.id] = entry
        self.version += 1
        self._schedule(lambda service: service.put(*changed))
        fleet = self.fleet
        fleet.monitor.actual_list(fleet.world.now_ns, [msgspec.to_builtins(each) for each in changed])

    def _schedule(self, action: Callable[[Discovery], object]) -> None:
        service = self.service
        if service is not None and self.process is not None and not self.process.dead:
            service.scheduler.call_soon(lambda: action(service))


@dataclass(frozen=True, slots=True)
class SidecarResources:
    """The resources that a sidecar still holds after the end of all requests."""

    name: str
    up: bool
    pending_requests: int
    clients: int  # connections from clients
    open_attempts: int
    node_connections: int  # open connections to nodes
    node_idle: int  # idle connections among the open ones to nodes
    timers: int
    descriptors: int
    descriptors_expected: int  # expected number of open descriptors, given the idle connections
    stderr: bytes

    def leaks(self) -> list[str]:
        """Return descriptions of the resources that the sidecar has leaked."""
        if not self.up:
            return []
        found = [
            f"{self.name}: {count} {what}"
            for count, what in (
                (self.pending_requests, "tickets"), (self.clients, "clients' connections"),
                (self.open_attempts, "claims"),
                (self.node_connections - self.node_idle, "connections to nodes that are not idle"),
                (max(0, self.timers - LIVE_TIMERS), f"timers more than {LIVE_TIMERS}"),
            )
            if count
        ]  # fmt: skip
        if self.descriptors != self.descriptors_expected:
            found.append(
                f"{self.name}: {self.descriptors} descriptors, and {self.descriptors_expected} are due"
            )
        return found


class SidecarInstance:
    """A sidecar of the fleet: its machine, its configuration files and its process."""

    def __init__(self, fleet: BaseFleet, number: int, spec: SidecarSpec) -> None:
        self.fleet, self.number, self.spec = fleet, number, spec
        self.machine = fleet.world.machine(spec.name, f"10.0.0.{number + 1}")
        self.file = self.good_file = b""  # current file, and the last valid one from the platform
        self.operator = b""  # current contents of the operator file
        self.sidecar: Sidecar | None = None
        self.process: Process | None = None
        self.starts = 0
        self.ended: list[Process] = []  # the processes before the current one
        self._descriptor_limits: list[tuple[object, int]] = []  # reasons for lower descriptor limits

    @property
    def address(self) -> Address:
        """Address to which clients connect."""
        return self.machine.address(SIDECAR_PORT)

    @property
    def admin(self) -> Address:
        """Address of the admin endpoint, in runs with operators."""
        return self.machine.address(ADMIN_PORT)

    @property
    def up(self) -> bool:
        """Whether the sidecar's process runs."""
        return self.process is not None and not self.process.dead

    def write_file(self) -> None:
        """Write the configuration file as the platform does at a start."""
        fleet, known = self.fleet, self.spec.known
        entries, version = list(fleet.discovery.list.values()), fleet.discovery.version
        if known == "none":
            entries, version = [], 0
        elif known == "old" and entries:
            # An outdated list lacks one node and has one that no longer exists.
            removed = Entry(
                id="s-0ld0ne", addr=f"10.1.9.9:{NODE_PORT}", zone=entries[0].zone, kind="std-2core"
            )
            entries, version = [*entries[1:], removed], max(1, version - 1)
        self.file = configuration(
            fleet.scenario.world, self.number, self.address, self.discovery_address,
            fleet.draw_seed(f"sidecar {self.number} {self.starts}"),
            [fleet.seen_by(self.machine.ip, entry) for entry in entries], version,
            self.admin if fleet.has_operators else None,
        )  # fmt: skip

    @property
    def discovery_address(self) -> Address:
        """Address at which the sidecar reaches the current discovery service."""
        return self.fleet.world.network.reachable_address(self.machine, self.fleet.discovery.address)

    def operator_file(self, **zones: Any) -> bytes:
        """Return the operator file, with the given keys of the section on zones replaced."""
        sections: dict[str, Any] = {"capture": CAPTURE} if self.spec.capture else {}
        sections |= self.fleet.scenario.world.operator
        if "zones" in sections:
            sections["zones"] = {**sections["zones"], **zones}
        return json.dumps(sections).encode() if sections else b""

    def rewrite_file(self) -> None:
        """Write the valid configuration file again, with the current discovery address."""
        host, port = self.discovery_address
        raw = json.loads(self.good_file)
        self.file = self.good_file = json.dumps({**raw, "discovery": f"{host}:{port}"}).encode()

    def start(self) -> None:
        """Start a process; a process that still runs is killed."""
        if self.process is not None:
            self.process.kill()
            self.ended.append(self.process)
        self.write_file()
        self.good_file = self.file
        self.starts += 1
        fleet = self.fleet
        fleet.monitor.sidecar(fleet.world.now_ns, self.machine.name, self.file)
        self.operator = self.operator_file()
        self.process = self._launch()
        self._descriptor_limits.clear()

    def _launch(self) -> Process:
        def load() -> Config:
            return parse_config(self.file, {})

        def load_operator() -> OperatorFile:
            return parse_operator_file(self.operator)

        def main(system: VirtualSystem) -> None:
            sidecar = self.sidecar = Sidecar(
                load(), load, load_operator(), system, load_operator, fleet.new_balancer
            )
            sidecar.install_signal_handlers()
            sidecar.start()
            sidecar.run()
            sidecar.close()

        self.sidecar = None
        fleet = self.fleet
        assert isinstance(self.machine, VirtualMachine)
        return self.machine.start(main, self.spec.name, descriptors=self.spec.sockets, pace=fleet.pace)

    def lower_descriptor_limit(self, why: object, left: int) -> None:
        """Limit the process to `left` more open descriptors, until the reason is removed."""
        if self.process is not None:
            self._descriptor_limits.append((why, STANDARD_DESCRIPTORS + self.process.descriptors + left))
        self._apply_descriptor_limit()

    def restore_descriptor_limit(self, why: object) -> None:
        """Remove a reason for a lowered descriptor limit; the limit is restored when none is left."""
        self._descriptor_limits = [each for each in self._descriptor_limits if each[0] is not why]
        self._apply_descriptor_limit()

    def _apply_descriptor_limit(self) -> None:
        if self.process is not None:
            self.process.limit = min([self.spec.sockets, *(limit for _, limit in self._descriptor_limits)])
        self.fleet.monitor.descriptors_short(
            self.fleet.world.now_ns, self.machine.name, bool(self._descriptor_limits)
        )

    def pause(self, wait_ns: int) -> None:
        """Pause the process for some time."""
        world, name = self.fleet.world, self.machine.name
        self.fleet.monitor.paused(world.now_ns, name, True)
        self.machine.stall(wait_ns)
        world.after(wait_ns, lambda: self.fleet.monitor.paused(world.now_ns, name, False))

    def signal(self, number: int) -> None:
        """Send a signal to the sidecar's process."""
        if self.process is not None:
            self.process.signal(number)

    def state(self) -> SidecarResources:
        """Return the resources that the sidecar currently holds."""
        sidecar, process = self.sidecar, self.process
        if sidecar is None or process is None or process.dead:
            stderr = b"" if process is None else bytes(process.stderr)
            return SidecarResources(self.spec.name, False, 0, 0, 0, 0, 0, 0, 0, 0, stderr)
        nodes = sidecar.upstream_pool
        idle = nodes.idle_connections
        return SidecarResources(
            name=self.spec.name, up=True, pending_requests=sidecar.balancer_driver.pending_requests,
            clients=sidecar.client_listener.connections, open_attempts=nodes.open_attempts,
            node_connections=nodes.open_connections, node_idle=idle, timers=sidecar.scheduler.timers,
            descriptors=process.descriptors,
            # Two descriptors of the waker, the listener, the admin endpoint, the watch, and idle connections.
            descriptors_expected=(
                3 + (sidecar.admin_server is not None) + sidecar.endpoint_list.is_watching + idle
            ),
            stderr=bytes(process.stderr),
        )  # fmt: skip

    @property
    def stderr(self) -> bytes:
        """Bytes that the sidecar's process has written to standard error."""
        return b"" if self.process is None else bytes(self.process.stderr)


class BaseFleet:
    """A whole fleet in the virtual or the real world.

    `play` runs a scenario to its end.  For finer control, call `start`, run the world, and call `quiesce`.
    """

    linger_s = LINGER_SECONDS  # time that clients listen past their deadline, above the checker's slack

    def __init__(self, scenario: Scenario, world: Stage, monitor: FleetMonitor | None = None) -> None:
        self.scenario, self.world = scenario, world
        self.monitor: FleetMonitor = monitor or _NullMonitor()
        self.executions: list[Execution] = []  # executions of all nodes, in order of arrival
        self.asked: list[SentRequest] = []  # requests of all clients
        self.bad_connections: list[BadConnection] = []
        spec = scenario.world
        self.discovery = DiscoveryInstance(self)
        self.node_instances = [
            NodeInstance(self, node, self.world.machine(node_machine(number), node_address(number)[0]))
            for number, node in enumerate(spec.nodes)
        ]
        self.sidecars = [self.new_sidecar(number, sidecar) for number, sidecar in enumerate(spec.sidecars)]
        self.client_machine = self.world.machine(CLIENTS, "10.3.0.1")
        self._bad_machine = self.world.machine(BAD_CLIENTS, "10.3.0.2")
        self.clients: list[Client] = []
        self.bad: list[BadClients] = []
        # Runs without operators have no admin endpoints and no extra machine, so that they stay reproducible.
        self.has_operators = any(fault.kind in OPERATOR_KINDS for fault in scenario.faults)
        self.operators: Operators | None = None
        self._operators_machine = self.world.machine(OPERATORS, "10.4.0.1") if self.has_operators else None
        for machine in list(self.world.machines.values()):
            self.set_latency(machine)
        self.begins_ns = self.world.now_ns + int(STARTUP_S * SECOND)
        self.ends_ns = self.begins_ns + int(spec.length_s * SECOND)
        self.running: list[Fault] = []
        self.pace = pace_of(spec)
        self.new_node: Callable[..., Node] = Node  # replaceable by experiments
        self.new_balancer: Callable[[Settings, int], Balancer] = balancer_for  # replaceable by experiments

    def new_sidecar(self, number: int, spec: SidecarSpec) -> SidecarInstance:
        """Create a sidecar of the class used in this kind of world."""
        return SidecarInstance(self, number, spec)

    # --- lookups --------------------------------------------------------------------------------

    def wall_ms(self) -> int:
        """Return the correct Unix time in milliseconds."""
        return self.world.wall_ns // 1_000_000

    def seen_by(self, ip: str, entry: Entry) -> Entry:
        """Return a node's entry with the address at which the machine with this IP reaches the node."""
        return entry

    def draw_seed(self, purpose: str) -> int:
        """Draw a seed for one purpose."""
        return self.world.stream(purpose).getrandbits(63)

    def zone_of(self, machine: Machine) -> str:
        """Return the zone of a machine; empty for machines other than nodes and sidecars."""
        for instance in self.node_instances:
            if instance.machine is machine:
                return instance.spec.zone
        for sidecar in self.sidecars:
            if sidecar.machine is machine:
                return sidecar.spec.zone
        return ""

    def set_latency(self, machine: Machine) -> None:
        """Set the latencies of a machine's links to those of the scenario."""
        spec, network = self.scenario.world.network, self.world.network
        fronts = (CLIENTS, BAD_CLIENTS, OPERATORS)
        zone = self.zone_of(machine)
        for other in self.world.machines.values():
            if other is machine:
                continue
            seconds = spec.same_zone_s if self.zone_of(other) == zone else spec.cross_zone_s
            if machine.name in fronts or other.name in fronts:
                seconds = spec.client_s
            for link in (network.link(machine, other), network.link(other, machine)):
                link.latency_ns = max(1, int(seconds * SECOND))

    def node_instance(self, name: str) -> NodeInstance:
        """Return the node with this id in the scenario."""
        return next(instance for instance in self.node_instances if instance.spec.id == name)

    def sidecar(self, name: str) -> SidecarInstance:
        """Return the sidecar with this name."""
        return next(each for each in self.sidecars if each.spec.name == name)

    # --- a run ----------------------------------------------------------------------------------

    def start(self) -> None:
        """Start all processes; requests and faults begin at `begins_ns`."""
        for instance in self.node_instances:
            instance.start(cold=False)
        for instance in self.node_instances:
            if instance.up:
                entry = msgspec.structs.replace(instance.entry(), state="Ready")
                self.discovery.list[entry.id] = entry
        now = self.world.now_ns
        self.monitor.actual_list(
            now, [msgspec.to_builtins(each) for each in self.discovery.list.values()], True
        )
        self.monitor.discovery_available(now, True)
        self.discovery.start()
        for sidecar in self.sidecars:
            sidecar.start()
        self.admit()

    def admit(self) -> None:
        """Start clients and operators, and schedule the faults."""
        self.client_machine.serve(self._start_clients, "clients", descriptors=20_000)
        self.monitor.bad_client(self._bad_machine.name)
        self._bad_machine.serve(self._start_bad_clients, "bad clients", descriptors=20_000)
        if self._operators_machine is not None:
            self._operators_machine.serve(self._start_operators, OPERATORS)
        for fault in self.scenario.faults:
            self.world.at(self.begins_ns + int(fault.at_s * SECOND), self._fault_starter(fault))
        self.world.at(self.begins_ns + int(self.scenario.world.faults_s * SECOND), self._check_calm)

    def _start_clients(self, scheduler: Scheduler) -> None:
        scenario = self.scenario
        begin = self.begins_ns / SECOND
        for sidecar in self.sidecars:
            asks = [ask for ask in scenario.asks if ask.sidecar == sidecar.number]
            client = Client(
                scheduler, scenario.world.clients, self._address_of(self.client_machine, sidecar), asks,
                scenario.seed, records=self.asked,
            )  # fmt: skip
            client.linger_s = self.linger_s
            self.clients.append(client)
            client.start(begin)

    def _address_of(self, machine: Machine, sidecar: SidecarInstance) -> Address:
        return self.world.network.reachable_address(machine, sidecar.address)

    def _start_bad_clients(self, scheduler: Scheduler) -> None:
        scenario = self.scenario
        sample = next((ask for ask in scenario.asks if not ask.unsafe), None) or scenario.asks[0]
        for sidecar in self.sidecars:
            bad = BadClients(
                scheduler, self._address_of(self._bad_machine, sidecar), sample,
                scenario.seed + sidecar.number, in_use=partial(self._open_ids, sidecar.number),
                records=self.bad_connections,
            )  # fmt: skip
            self.bad.append(bad)

    def _start_operators(self, scheduler: Scheduler) -> None:
        self.operators = Operators(scheduler)
        for sidecar in self.sidecars:
            self.operators.poll_ready(sidecar.address)

    def _open_ids(self, number: int) -> list[str]:
        return self.clients[number].open_ids()

    def _fault_starter(self, fault: Fault) -> Callable[[], None]:
        def begin() -> None:
            self.running.append(fault)
            end = apply(fault, self)
            after = int(fault.for_s * SECOND)

            def over() -> None:
                self.running.remove(fault)
                if end is not None:
                    end()

            self.world.after(after, over)

        return begin

    def _check_calm(self) -> None:
        """Notify the monitor after the last fault, once the remaining requests can be served."""
        faults_s, length_s = self.scenario.world.faults_s, self.scenario.world.length_s
        work = sum(ask.work_s for ask in self.scenario.asks if ask.at_s > faults_s)
        capacity = sum(
            instance.node.machine.capacity
            for instance in self.node_instances
            if instance.up and instance.node is not None
        )
        up = not self.running and all(sidecar.up for sidecar in self.sidecars)
        if up and work / max(0.001, length_s - faults_s) <= MAX_CALM_LOAD * capacity:
            self.monitor.faults_ended(self.world.now_ns)
        elif self.world.now_ns < self.ends_ns:
            self.world.after(int(CALM_POLL_S * SECOND), self._check_calm)

    def quiesce(self) -> list[SidecarResources]:
        """Run until all requests have ended and resources are released; return the sidecars' final states."""
        for client in self.clients:
            client.scheduler.call_soon(client.stop)
        for bad in self.bad:
            bad.scheduler.call_soon(bad.end)
        if self.operators is not None:
            self.operators.scheduler.call_soon(self.operators.end)
        limit = self.world.now_ns + int(QUIESCE_TIMEOUT_S * SECOND)
        self.world.run(limit, lambda: all(client.finished for client in self.clients))
        for client in self.clients:
            client.scheduler.call_soon(client.close)
        while True:
            ends = [sidecar.state() for sidecar in self.sidecars]
            if self.world.now_ns >= limit or not any(end.leaks() for end in ends):
                return ends
            self.world.run(self.world.now_ns + QUIESCE_POLL_NS)

    def dump(self) -> None:
        """Have each sidecar write its capture to standard error."""
        for sidecar in self.sidecars:
            sidecar.signal(signal.SIGUSR1)

    def end(self, seconds: float = QUIESCE_TIMEOUT_S) -> list[Process]:
        """Send SIGTERM to all sidecars, wait, and return the processes that have not exited in time."""
        for sidecar in self.sidecars:
            sidecar.signal(signal.SIGTERM)
        limit = self.world.now_ns + int(seconds * SECOND)
        self.world.run(limit, lambda: not any(sidecar.up for sidecar in self.sidecars))
        return [each.process for each in self.sidecars if each.up and each.process is not None]

    def play(self) -> list[SidecarResources]:
        """Run the whole scenario, and return the sidecars' final states."""
        self.start()
        self.world.run(self.ends_ns)
        return self.quiesce()

    @property
    def load(self) -> float:
        """Work of all requests, as a fraction of the capacity."""
        spec = self.scenario.world
        work = math.fsum(ask.work_s for ask in self.scenario.asks)
        return work / spec.length_s / spec.capacity


class Fleet(BaseFleet):
    """A fleet in the virtual world."""

    world: World

    def __init__(
        self, scenario: Scenario, world: World | None = None, monitor: FleetMonitor | None = None
    ) -> None:
        for fault in scenario.faults:
            if fault.worlds != "both":
                raise ValueError(f"faults: {fault.kind} is supported for real processes only")
        super().__init__(scenario, world or empty_world(scenario), monitor)
