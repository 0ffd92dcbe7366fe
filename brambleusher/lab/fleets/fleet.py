"""A whole fleet in a virtual world, built from a scenario: discovery, nodes, sidecars, clients.

The sidecars are the program's own `Sidecar`, given a configuration as the platform writes it.  What the
fleet does to others goes through their own schedulers (`call_soon`), so that it happens in their process.
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
from brambleusher.lab.faults.kinds import CALLED, Fault
from brambleusher.lab.fleets.figures import (
    DISCOVERY_PORT,
    DOOR_PORT,
    NODE_PORT,
    SIDECAR_PORT,
    NodeFigures,
    SidecarFigures,
    WorldFigures,
)
from brambleusher.lab.fleets.scenario import Scenario
from brambleusher.lab.fleets.stage import Machine, Process, Stage
from brambleusher.lab.stand_ins.bad_client import BadClients, Misdeed
from brambleusher.lab.stand_ins.client import LINGER_SECONDS, Asked, Client
from brambleusher.lab.stand_ins.discovery import Discovery, Entry, Telling
from brambleusher.lab.stand_ins.node import Execution, Node
from brambleusher.lab.stand_ins.operators import Operators
from brambleusher.lab.stand_ins.server import Server, Troubles
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
LEAD_IN_S = 1.2  # from the start of the processes to the first request that may come
SETTLE_S = 6.0  # the most that all that is open may take to end
LIVE_TIMERS = 24  # a sidecar at rest has a handful
LOOK_AGAIN_NS = 50_000_000
CALM_AGAIN_S = 0.25
GOOD_LOAD = 0.6  # of the capacity after the faults: above it nobody is asked to get well in time
CLIENTS, BAD_CLIENTS, OPERATORS = "clients", "bad clients", "operators"  # machines
CAPTURE = {"ring_kb": 768}


class Audience(Protocol):
    """Is told what a checker can't see on the wire; times are monotonic nanoseconds."""

    def sidecar(self, now: int, machine: str, config: bytes) -> None:
        """A sidecar is about to start on a machine."""

    def discovery(self, address: Address) -> None:
        """Discovery can be had here too."""

    def node(self, now: int, name: str, address: Address, started_ms: int) -> None:
        """A node's process is about to take connections."""

    def bad_client(self, who: str) -> None:
        """What this machine sends may be bad."""

    def actual_list(self, now: int, servers: list[dict[str, Any]], full: bool = False) -> None:
        """Discovery has learnt of these."""

    def discovery_available(self, now: int, able: bool, machine: str = "") -> None:
        """Whether discovery can tell what it has learnt."""

    def descriptors_short(self, now: int, machine: str, on: bool) -> None:
        """Whether a sidecar has too few descriptors left to accept connections with."""

    def paused(self, now: int, machine: str, on: bool) -> None:
        """Whether a sidecar's process is stopped."""

    def faults_ended(self, now: int) -> None:
        """The last fault has ended, and what is asked from here on can be served."""


class _Nobody:
    """Hears nothing."""

    def sidecar(self, now: int, machine: str, config: bytes) -> None: ...
    def discovery(self, address: Address) -> None: ...
    def node(self, now: int, name: str, address: Address, started_ms: int) -> None: ...
    def bad_client(self, who: str) -> None: ...
    def actual_list(self, now: int, servers: list[dict[str, Any]], full: bool = False) -> None: ...
    def discovery_available(self, now: int, able: bool, machine: str = "") -> None: ...
    def descriptors_short(self, now: int, machine: str, on: bool) -> None: ...
    def paused(self, now: int, machine: str, on: bool) -> None: ...
    def faults_ended(self, now: int) -> None: ...


def world_of(scenario: Scenario) -> World:
    """An empty world with the scenario's network."""
    figures = scenario.world.network
    return World(
        scenario.seed,
        WorldSettings(
            jitter_ns=int(figures.same_zone_s * figures.jitter * SECOND),
            split=figures.split,
            short_send=figures.short_send,
            short_receive=figures.short_receive,
            aborted_accepts=figures.aborted_accepts,
            send_buffer=figures.buffer_bytes,
            receive_buffer=figures.buffer_bytes,
        ),
    )


def node_address(number: int) -> Address:
    """Where the node of that place in the scenario listens."""
    return f"10.1.0.{number + 1}", NODE_PORT


def node_machine(number: int) -> str:
    """The name of the machine that it stands on."""
    return f"node {number}"


def pace_of(world: WorldFigures) -> Pace | None:
    """How a sidecar's process gets on with its part of a core; None where that is plenty."""
    processor = world.processor
    if not processor.start_s and not processor.round_s:
        return None
    start, round_ = int(processor.start_s * SECOND), int(processor.round_s * SECOND)
    return Pace(start_ns=(start // 2, start * 3 // 2), poll_interval_ns=(round_ // 2, round_ * 3 // 2))


def configuration(
    world: WorldFigures,
    number: int,
    listen: Address,
    discovery: Address,
    seed: int,
    known: Iterable[Entry] = (),
    version: int = 0,
    admin: Address | None = None,
) -> bytes:
    """A sidecar's configuration file, in whichever world."""
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


# --- places ---------------------------------------------------------------------------------------


class NodePlace:
    """Where a node stands: its machine, the process there now, and why there may be none."""

    def __init__(self, fleet: AnyFleet, figures: NodeFigures, machine: Machine) -> None:
        self.fleet, self.figures, self.machine = fleet, figures, machine
        self.id = figures.id
        self.troubles = Troubles()
        self.node: Node | None = None
        self.process: Process | None = None
        self.processes = 0  # started under this id
        self.started_ms = 0
        self.down: list[object] = []  # what keeps it down
        self.drains: list[object] = []  # what has it drain
        self.told_draining: list[object] = []  # what has it listed as draining though it is not
        self.dark: list[object] = []  # what keeps its machine without power
        self.former: list[str] = []  # ids that it had before
        if figures.spare:
            self.down.append("spare")

    @property
    def address(self) -> Address:
        """Where it listens."""
        return self.machine.address(NODE_PORT)

    @property
    def up(self) -> bool:
        """Whether its process runs and takes connections."""
        return self.process is not None and not self.process.dead and not self.fallen

    @property
    def fallen(self) -> bool:
        """Whether too much work while cold has brought it down for good."""
        return self.node is not None and self.node.machine.fell_at is not None

    def entry(self) -> Entry:
        """As it should be listed now."""
        figures, state = self.figures, "Ready"
        if not self.up:
            state = "Gone"
        elif self.drains or self.told_draining:
            state = "Terminating"
        return Entry(
            id=self.id, addr=f"{self.address[0]}:{self.address[1]}", zone=figures.zone, kind=figures.kind,
            cell=figures.cell, weight=figures.weight, started_ms=self.started_ms,
            state=state,  # type: ignore[arg-type]
        )  # fmt: skip

    # --- troubles -------------------------------------------------------------------------------

    def begin(self, trouble: object) -> None:
        """Switch one on, for this process and those after it."""
        self.troubles.begin(trouble)
        self._changed()

    def end(self, trouble: object) -> None:
        """Switch it off."""
        self.troubles.end(trouble)
        self._changed()

    def _changed(self) -> None:
        if self.node is not None and self.up:
            self.node.scheduler.call_soon(self.node.changed)

    # --- processes ------------------------------------------------------------------------------

    def start(self, cold: bool = True) -> None:
        """Start a process, unless one runs or something keeps it down."""
        if self.down or self.up or self.fallen or self.machine.gone:
            return
        number, fleet = self.processes, self.fleet
        self.processes += 1
        self.drains.clear()
        if cold:
            self.started_ms = fleet.wall_ms()
        fleet.audience.node(fleet.world.now_ns, self.id, self.address, self.started_ms)
        name = self.id

        def build(scheduler: Scheduler) -> Server:
            self.node = fleet.new_node(
                scheduler, self.figures.settings, name, fleet.scenario.seed, process=number, cold=cold,
                executions=fleet.executions, troubles=self.troubles,
            )  # fmt: skip
            self.node.on_fall = lambda: self.look(fleet.scenario.world.silent_notice_s)
            self.node.listen(self.address)
            return self.node

        self.node = None
        self.process = self.machine.serve(build, name)

    def kill(self, reset: bool = True) -> None:
        """End its process at once."""
        if self.process is not None:
            self.process.kill(reset)

    def drain(self, why: object) -> None:
        """Let it finish what it has and want nothing new."""
        self.drains.append(why)
        self._set_draining()

    def undrain(self, why: object) -> None:
        """Let it want new requests again."""
        self.drains = [each for each in self.drains if each is not why]
        self._set_draining()

    def _set_draining(self) -> None:
        if self.node is not None:
            self.node.draining = bool(self.drains)

    def stop(self, why: object, reset: bool = True) -> None:
        """End it, and keep it down for a reason."""
        self.down.append(why)
        self.kill(reset)

    def free(self, why: object) -> None:
        """That reason is gone: start it, if it was the last."""
        self.down = [each for each in self.down if each is not why]
        self.start()

    def replace(self, name: str) -> None:
        """End its process, and start another one at once under a new id."""
        self.kill()
        self.former.append(self.id)
        self.id, self.processes = name, 0
        self.start()

    def vanish(self, why: object) -> None:
        """Its machine loses its power."""
        self.dark.append(why)
        if not self.machine.gone:
            self.machine.vanish()

    def come_back(self, why: object) -> None:
        """It has its power again, and starts, if nothing else keeps it."""
        self.dark = [each for each in self.dark if each is not why]
        if not self.dark and self.machine.gone:
            self.machine.come_back()
            self.start()

    def look(self, after_s: float) -> None:
        """Discovery looks at it after some time, and lists it as it is then."""
        self.fleet.world.after(int(after_s * SECOND), lambda: self.fleet.discovery.look(self))


class DiscoveryPlace:
    """The discovery in use: the list as it has learnt it, its machine, its process."""

    def __init__(self, fleet: AnyFleet) -> None:
        self.fleet = fleet
        self.machine = fleet.world.machine("discovery", "10.2.0.1")
        self.version = 1
        self.list: dict[str, Entry] = {}
        self.told: list[Telling] = []
        self.troubles = Troubles()
        self.service: Discovery | None = None
        self.process: Process | None = None
        self._moves = 0
        self._unable = 0

    @property
    def address(self) -> Address:
        """Where it is now."""
        return self.machine.address(DISCOVERY_PORT)

    def start(self) -> None:
        """Start its process, with the list as it stands."""
        fleet = self.fleet
        fleet.audience.discovery(self.address)

        def build(scheduler: Scheduler) -> Server:
            service = self.service = Discovery(
                scheduler, fleet.scenario.world.discovery, "discovery", fleet.scenario.seed,
                entries=self.list.values(), version=self.version, told=self.told, seen=fleet.seen_by,
            )  # fmt: skip
            service.listen(self.address)
            for trouble in self.troubles.all(object):
                service.begin(trouble)
            return service

        self.service = None
        self.process = self.machine.serve(build, "discovery")

    def kill(self) -> None:
        """End its process."""
        if self.process is not None:
            self.process.kill(reset=True)

    def restart(self) -> None:
        """Start it again: the versions go on, and changes before can't be told any more."""
        self.version += 10
        if self.process is None or self.process.dead:
            self.start()

    def move(self, version: int, keeps_s: float) -> None:
        """Another one takes over, at another address, with versions of its own."""
        self._moves += 1
        old = self.service
        if old is not None and self.process is not None and not self.process.dead:
            old.scheduler.call_soon(lambda: old.retire(keeps_s))
        self.machine = self.fleet.world.machine(f"discovery {self._moves}", f"10.2.0.{1 + self._moves}")
        self.version = version
        self.fleet.set_latency(self.machine)
        self.start()

    def begin(self, trouble: object, able: bool = False) -> None:
        """Switch a trouble on; unless `able`, what it has to tell may not be told meanwhile."""
        self.troubles.begin(trouble)
        self._call(lambda service: service.begin(trouble))
        if not able:
            self.unable(1)

    def end(self, trouble: object, able: bool = False) -> None:
        """Switch it off."""
        self.troubles.end(trouble)
        self._call(lambda service: service.end(trouble))
        if not able:
            self.unable(-1)

    def unable(self, by: int) -> None:
        """One more, or one less, thing keeps it from telling."""
        self._unable += by
        self.fleet.audience.discovery_available(self.fleet.world.now_ns, self._unable == 0)

    def look(self, place: NodePlace) -> None:
        """List a node as it is."""
        changed = [
            msgspec.structs.replace(self.list[name], state="Gone")
            for name in place.former
            if name in self.list
        ]
        entry = place.entry()
        listed = self.list.get(entry.id)
        if listed != entry and (listed is not None or entry.state != "Gone"):
            changed.append(entry)
        self.put(changed)

    def put(self, changed: list[Entry]) -> None:
        """Learn of changes, and tell those who watch."""
        if not changed:
            return
        for entry in changed:
            if entry.state == "Gone":
                self.list.pop(entry.id, None)
            else:
                self.list[entry.id] = entry
        self.version += 1
        self._call(lambda service: service.put(*changed))
        fleet = self.fleet
        fleet.audience.actual_list(fleet.world.now_ns, [msgspec.to_builtins(each) for each in changed])

    def _call(self, call: Callable[[Discovery], object]) -> None:
        service = self.service
        if service is not None and self.process is not None and not self.process.dead:
            service.scheduler.call_soon(lambda: call(service))


@dataclass(frozen=True, slots=True)
class SidecarEnd:
    """What a sidecar still has when all is over and nothing is asked of it."""

    name: str
    up: bool
    tickets: int
    clients: int  # connections
    claims: int
    node_connections: int  # open ones
    node_idle: int  # of these, kept for later
    timers: int
    descriptors: int
    descriptors_due: int  # that it should have, so many connections being kept
    stderr: bytes

    def left_over(self) -> list[str]:
        """What should not be there, in words."""
        if not self.up:
            return []
        found = [
            f"{self.name}: {count} {what}"
            for count, what in (
                (self.tickets, "tickets"), (self.clients, "clients' connections"),
                (self.claims, "claims"),
                (self.node_connections - self.node_idle, "connections to nodes that are not idle"),
                (max(0, self.timers - LIVE_TIMERS), f"timers more than {LIVE_TIMERS}"),
            )
            if count
        ]  # fmt: skip
        if self.descriptors != self.descriptors_due:
            found.append(f"{self.name}: {self.descriptors} descriptors, and {self.descriptors_due} are due")
        return found


class SidecarPlace:
    """Where a sidecar stands: its machine, its configuration file, its process."""

    def __init__(self, fleet: AnyFleet, number: int, figures: SidecarFigures) -> None:
        self.fleet, self.number, self.figures = fleet, number, figures
        self.machine = fleet.world.machine(figures.name, f"10.0.0.{number + 1}")
        self.file = self.good_file = b""  # what is there, and what the platform wrote
        self.operator = b""  # the operator file that is there
        self.sidecar: Sidecar | None = None
        self.process: Process | None = None
        self.starts = 0
        self.ended: list[Process] = []  # the processes before this one
        self._squeezes: list[tuple[object, int]] = []  # what keeps it from opening more than so many

    @property
    def address(self) -> Address:
        """Where clients connect."""
        return self.machine.address(SIDECAR_PORT)

    @property
    def admin(self) -> Address:
        """Where operators call, in runs in which they do."""
        return self.machine.address(DOOR_PORT)

    @property
    def up(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and not self.process.dead

    def write_file(self) -> None:
        """Write its configuration as the platform does at a start."""
        fleet, known = self.fleet, self.figures.known
        entries, version = list(fleet.discovery.list.values()), fleet.discovery.version
        if known == "none":
            entries, version = [], 0
        elif known == "old" and entries:
            # One node that it does not know yet, and one that is no more.
            lost = Entry(id="s-0ld0ne", addr=f"10.1.9.9:{NODE_PORT}", zone=entries[0].zone, kind="std-2core")
            entries, version = [*entries[1:], lost], max(1, version - 1)
        self.file = configuration(
            fleet.scenario.world, self.number, self.address, self.discovery_address,
            fleet.draw_seed(f"sidecar {self.number} {self.starts}"),
            [fleet.seen_by(self.machine.ip, entry) for entry in entries], version,
            self.admin if fleet.called else None,
        )  # fmt: skip

    @property
    def discovery_address(self) -> Address:
        """Where it reaches the discovery in use."""
        return self.fleet.world.network.reachable_address(self.machine, self.fleet.discovery.address)

    def operator_file(self, **zones: Any) -> bytes:
        """Its operator file, with some keys of the section on zones laid over."""
        sections: dict[str, Any] = {"capture": CAPTURE} if self.figures.capture else {}
        sections |= self.fleet.scenario.world.operator
        if "zones" in sections:
            sections["zones"] = {**sections["zones"], **zones}
        return json.dumps(sections).encode() if sections else b""

    def rewrite_file(self) -> None:
        """Write it anew with the discovery that there is now, and all else as it was at the start."""
        host, port = self.discovery_address
        raw = json.loads(self.good_file)
        self.file = self.good_file = json.dumps({**raw, "discovery": f"{host}:{port}"}).encode()

    def start(self) -> None:
        """Start its process; one that still runs is killed."""
        if self.process is not None:
            self.process.kill()
            self.ended.append(self.process)
        self.write_file()
        self.good_file = self.file
        self.starts += 1
        fleet = self.fleet
        fleet.audience.sidecar(fleet.world.now_ns, self.machine.name, self.file)
        self.operator = self.operator_file()
        self.process = self._launch()
        self._squeezes.clear()

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
        return self.machine.start(main, self.figures.name, descriptors=self.figures.sockets, pace=fleet.pace)

    def squeeze(self, why: object, left: int) -> None:
        """Let its process open only so many descriptors more, until `relax`."""
        if self.process is not None:
            self._squeezes.append((why, STANDARD_DESCRIPTORS + self.process.descriptors + left))
        self._set_limit()

    def relax(self, why: object) -> None:
        """That reason for few descriptors is gone; it has as many as before unless there is another."""
        self._squeezes = [each for each in self._squeezes if each[0] is not why]
        self._set_limit()

    def _set_limit(self) -> None:
        if self.process is not None:
            self.process.limit = min([self.figures.sockets, *(limit for _, limit in self._squeezes)])
        self.fleet.audience.descriptors_short(
            self.fleet.world.now_ns, self.machine.name, bool(self._squeezes)
        )

    def pause(self, wait_ns: int) -> None:
        """Its process is stopped for a while."""
        world, name = self.fleet.world, self.machine.name
        self.fleet.audience.paused(world.now_ns, name, True)
        self.machine.stall(wait_ns)
        world.after(wait_ns, lambda: self.fleet.audience.paused(world.now_ns, name, False))

    def signal(self, number: int) -> None:
        """Send its process a signal."""
        if self.process is not None:
            self.process.signal(number)

    def state(self) -> SidecarEnd:
        """What it has now."""
        sidecar, process = self.sidecar, self.process
        if sidecar is None or process is None or process.dead:
            stderr = b"" if process is None else bytes(process.stderr)
            return SidecarEnd(self.figures.name, False, 0, 0, 0, 0, 0, 0, 0, 0, stderr)
        nodes = sidecar.upstream_pool
        idle = nodes.idle_connections
        return SidecarEnd(
            name=self.figures.name, up=True, tickets=sidecar.balancer_driver.pending_requests,
            clients=sidecar.client_listener.connections, claims=nodes.open_attempts,
            node_connections=nodes.open_connections, node_idle=idle, timers=sidecar.scheduler.timers,
            descriptors=process.descriptors,
            # The waker's two, the listener, the admin endpoint, the watch, and connections to nodes.
            descriptors_due=3 + (sidecar.admin_server is not None) + sidecar.endpoint_list.is_watching + idle,
            stderr=bytes(process.stderr),
        )  # fmt: skip

    @property
    def stderr(self) -> bytes:
        """What its process has written there."""
        return b"" if self.process is None else bytes(self.process.stderr)


class AnyFleet:
    """All of it, in whichever world.

    `play` runs a scenario to its end; or `start`, run the world, and `quiesce`.
    """

    linger_s = LINGER_SECONDS  # past their time clients listen for so long: more than the checker's slack

    def __init__(self, scenario: Scenario, world: Stage, audience: Audience | None = None) -> None:
        self.scenario, self.world = scenario, world
        self.audience: Audience = audience or _Nobody()
        self.executions: list[Execution] = []  # of all nodes, as they came
        self.asked: list[Asked] = []  # of all clients
        self.misdeeds: list[Misdeed] = []
        figures = scenario.world
        self.discovery = DiscoveryPlace(self)
        self.places = [
            NodePlace(self, node, self.world.machine(node_machine(number), node_address(number)[0]))
            for number, node in enumerate(figures.nodes)
        ]
        self.sidecars = [self.new_sidecar(number, sidecar) for number, sidecar in enumerate(figures.sidecars)]
        self.client_machine = self.world.machine(CLIENTS, "10.3.0.1")
        self._bad_machine = self.world.machine(BAD_CLIENTS, "10.3.0.2")
        self.clients: list[Client] = []
        self.bad: list[BadClients] = []
        # Runs without operators stay what they were: no admin endpoint, no machine more.
        self.called = any(fault.kind in CALLED for fault in scenario.faults)
        self.operators: Operators | None = None
        self._operators_machine = self.world.machine(OPERATORS, "10.4.0.1") if self.called else None
        for machine in list(self.world.machines.values()):
            self.set_latency(machine)
        self.begins_ns = self.world.now_ns + int(LEAD_IN_S * SECOND)
        self.ends_ns = self.begins_ns + int(figures.length_s * SECOND)
        self.running: list[Fault] = []
        self.pace = pace_of(figures)
        self.new_node: Callable[..., Node] = Node  # for experiments that need another one
        self.new_balancer: Callable[[Settings, int], Balancer] = balancer_for  # likewise

    def new_sidecar(self, number: int, figures: SidecarFigures) -> SidecarPlace:
        """A place for one, in this kind of world."""
        return SidecarPlace(self, number, figures)

    # --- figures --------------------------------------------------------------------------------

    def wall_ms(self) -> int:
        """Unix time in milliseconds, as machines have it whose clock is right."""
        return self.world.wall_ns // 1_000_000

    def seen_by(self, ip: str, entry: Entry) -> Entry:
        """A node's entry with the address at which one machine reaches it."""
        return entry

    def draw_seed(self, purpose: str) -> int:
        """A seed for one purpose."""
        return self.world.stream(purpose).getrandbits(63)

    def zone_of(self, machine: Machine) -> str:
        """The zone that a machine stands in; empty where that does not matter."""
        for place in self.places:
            if place.machine is machine:
                return place.figures.zone
        for sidecar in self.sidecars:
            if sidecar.machine is machine:
                return sidecar.figures.zone
        return ""

    def set_latency(self, machine: Machine) -> None:
        """Give the links of a machine the scenario's latencies."""
        figures, network = self.scenario.world.network, self.world.network
        fronts = (CLIENTS, BAD_CLIENTS, OPERATORS)
        zone = self.zone_of(machine)
        for other in self.world.machines.values():
            if other is machine:
                continue
            seconds = figures.same_zone_s if self.zone_of(other) == zone else figures.cross_zone_s
            if machine.name in fronts or other.name in fronts:
                seconds = figures.client_s
            for link in (network.link(machine, other), network.link(other, machine)):
                link.latency_ns = max(1, int(seconds * SECOND))

    def place(self, name: str) -> NodePlace:
        """The place of a node of the scenario."""
        return next(place for place in self.places if place.figures.id == name)

    def sidecar(self, name: str) -> SidecarPlace:
        """The place of a sidecar."""
        return next(each for each in self.sidecars if each.figures.name == name)

    # --- a run ----------------------------------------------------------------------------------

    def start(self) -> None:
        """Start all processes; requests and faults come from `begins_ns` on."""
        for place in self.places:
            place.start(cold=False)
        for place in self.places:
            if place.up:
                entry = msgspec.structs.replace(place.entry(), state="Ready")
                self.discovery.list[entry.id] = entry
        now = self.world.now_ns
        self.audience.actual_list(
            now, [msgspec.to_builtins(each) for each in self.discovery.list.values()], True
        )
        self.audience.discovery_available(now, True)
        self.discovery.start()
        for sidecar in self.sidecars:
            sidecar.start()
        self.admit()

    def admit(self) -> None:
        """Start those who ask, and have the faults begin in time."""
        self.client_machine.serve(self._submit, "clients", descriptors=20_000)
        self.audience.bad_client(self._bad_machine.name)
        self._bad_machine.serve(self._misbehave, "bad clients", descriptors=20_000)
        if self._operators_machine is not None:
            self._operators_machine.serve(self._operate, OPERATORS)
        for fault in self.scenario.faults:
            self.world.at(self.begins_ns + int(fault.at_s * SECOND), self._starter(fault))
        self.world.at(self.begins_ns + int(self.scenario.world.faults_s * SECOND), self._calm)

    def _submit(self, scheduler: Scheduler) -> None:
        scenario = self.scenario
        begin = self.begins_ns / SECOND
        for sidecar in self.sidecars:
            asks = [ask for ask in scenario.asks if ask.sidecar == sidecar.number]
            client = Client(
                scheduler, scenario.world.clients, self._reach(self.client_machine, sidecar), asks,
                scenario.seed, book=self.asked,
            )  # fmt: skip
            client.linger_s = self.linger_s
            self.clients.append(client)
            client.start(begin)

    def _reach(self, machine: Machine, sidecar: SidecarPlace) -> Address:
        return self.world.network.reachable_address(machine, sidecar.address)

    def _misbehave(self, scheduler: Scheduler) -> None:
        scenario = self.scenario
        sample = next((ask for ask in scenario.asks if not ask.unsafe), None) or scenario.asks[0]
        for sidecar in self.sidecars:
            bad = BadClients(
                scheduler, self._reach(self._bad_machine, sidecar), sample, scenario.seed + sidecar.number,
                in_use=partial(self._open_ids, sidecar.number), book=self.misdeeds,
            )  # fmt: skip
            self.bad.append(bad)

    def _operate(self, scheduler: Scheduler) -> None:
        self.operators = Operators(scheduler)
        for sidecar in self.sidecars:
            self.operators.front(sidecar.address)

    def _open_ids(self, number: int) -> list[str]:
        return self.clients[number].open_ids()

    def _starter(self, fault: Fault) -> Callable[[], None]:
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

    def _calm(self) -> None:
        """The last fault has ended: tell it, once what is asked from now on can be served."""
        faults_s, length_s = self.scenario.world.faults_s, self.scenario.world.length_s
        asked = sum(ask.work_s for ask in self.scenario.asks if ask.at_s > faults_s)
        capacity = sum(
            place.node.machine.capacity for place in self.places if place.up and place.node is not None
        )
        up = not self.running and all(sidecar.up for sidecar in self.sidecars)
        if up and asked / max(0.001, length_s - faults_s) <= GOOD_LOAD * capacity:
            self.audience.faults_ended(self.world.now_ns)
        elif self.world.now_ns < self.ends_ns:
            self.world.after(int(CALM_AGAIN_S * SECOND), self._calm)

    def quiesce(self) -> list[SidecarEnd]:
        """Go on until all is over and what it used is closed; says what sidecars still have then."""
        for client in self.clients:
            client.scheduler.call_soon(client.stop)
        for bad in self.bad:
            bad.scheduler.call_soon(bad.end)
        if self.operators is not None:
            self.operators.scheduler.call_soon(self.operators.end)
        limit = self.world.now_ns + int(SETTLE_S * SECOND)
        self.world.run(limit, lambda: all(client.finished for client in self.clients))
        for client in self.clients:
            client.scheduler.call_soon(client.close)
        while True:
            ends = [sidecar.state() for sidecar in self.sidecars]
            if self.world.now_ns >= limit or not any(end.left_over() for end in ends):
                return ends
            self.world.run(self.world.now_ns + LOOK_AGAIN_NS)

    def dump(self) -> None:
        """Have each sidecar write its capture to its standard error."""
        for sidecar in self.sidecars:
            sidecar.signal(signal.SIGUSR1)

    def end(self, seconds: float = SETTLE_S) -> list[Process]:
        """SIGTERM to all sidecars; goes on until they have ended, and says which have not."""
        for sidecar in self.sidecars:
            sidecar.signal(signal.SIGTERM)
        limit = self.world.now_ns + int(seconds * SECOND)
        self.world.run(limit, lambda: not any(sidecar.up for sidecar in self.sidecars))
        return [each.process for each in self.sidecars if each.up and each.process is not None]

    def play(self) -> list[SidecarEnd]:
        """A whole run."""
        self.start()
        self.world.run(self.ends_ns)
        return self.quiesce()

    @property
    def load(self) -> float:
        """What is asked for, as a part of the capacity."""
        figures = self.scenario.world
        work = math.fsum(ask.work_s for ask in self.scenario.asks)
        return work / figures.length_s / figures.capacity


class Fleet(AnyFleet):
    """A fleet in virtual time."""

    world: World

    def __init__(
        self, scenario: Scenario, world: World | None = None, audience: Audience | None = None
    ) -> None:
        for fault in scenario.faults:
            if fault.worlds != "both":
                raise ValueError(f"faults: {fault.kind} is there for real processes alone")
        super().__init__(scenario, world or world_of(scenario), audience)
