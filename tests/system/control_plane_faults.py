"""Days of the control side in virtual time, drawn from a seed: losses, cuts, operators that race and repeat.

The checker knows only what operators sent and were answered, and what gateways hold.  Losses keep to the
deployment's tolerance: one counted machine at a time, and the next no sooner than `sync_s` after the last
is back, or its successor is there.  Beyond that all may lose power at once and keep their disks.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from brambleusher.controlplane.storage import segments
from tests.system.cluster import SafetyViolationError
from tests.system.memory_disk import MemoryDisk
from tests.system.virtual_deployment import SECOND, Reply, VirtualDeployment, configuration, route

STEP_S = 0.05
SYNC_S = 4.0
ACK_S = 1.0  # an operator that hears nothing for so long calls another controller
GIVE_UP_S = 12.0
APPLY_S = 2.5
RECOVERY_S = 12.0
CHANGES = ("PUT", "PATCH")
FINAL = (400, 409, 412, 413, 422)
GRACE_S = 8.0
SHORT_SEGMENT = 6 * 1024  # bytes: a snapshot after some five changes


@dataclass
class Order:
    """A call of an operator, sent again until its answer is clear."""

    method: str
    target: str
    base: int = 0
    revision: int = 0
    body: bytes = b""
    content: str = ""  # of the whole configuration that it makes, keys in order
    begun_at: float = 0.0
    reply: Reply | None = None
    send_at: float = 0.0
    calls: int = 0
    status: int = 0  # the clear answer; 0: none yet, -1: given up
    answer: bytes = b""
    on_end: Callable[[Order], None] | None = None


def content_of(body: bytes) -> str:
    """A configuration in a form that can be compared."""
    return json.dumps(json.loads(body), sort_keys=True)


def patched(content: str, revision: int, route: dict[str, Any], removed: str) -> str:
    """What a patch with one route to add and one to remove should make of a configuration."""
    deployment = json.loads(content)
    deployment["revision"] = revision
    deployment["routes"] = [each for each in deployment["routes"] if each["name"] != removed] + [route]
    return json.dumps(deployment, sort_keys=True)


@dataclass
class History:
    """What operators were told, and what may follow from it.  Configurations are compared by content."""

    sent: dict[str, int] = field(default_factory=dict)  # content: revision
    acknowledged: dict[int, str] = field(default_factory=dict)
    held: dict[int, str] = field(default_factory=dict)  # by revision, what was acknowledged or read
    refused: set[str] = field(default_factory=set)
    newest: int = 0  # that was acknowledged or read
    orders: list[Order] = field(default_factory=list)  # acknowledged ones

    def ended(self, order: Order, newest_at_begin: int) -> None:
        """An order has a clear answer."""
        if order.method in CHANGES and order.status == 200:
            if order.content in self.refused:
                raise SafetyViolationError(f"revision {order.revision} is acknowledged after it was refused")
            if self.acknowledged.setdefault(order.revision, order.content) != order.content:
                raise SafetyViolationError(f"two changes are acknowledged as revision {order.revision}")
            self.held[order.revision] = order.content
            self.newest = max(self.newest, order.revision)
            self.orders.append(order)
        elif order.method in CHANGES and order.status in FINAL:
            if self.acknowledged.get(order.revision) == order.content:
                raise SafetyViolationError(f"revision {order.revision} is refused after it was acknowledged")
            self.refused.add(order.content)
        elif order.method == "GET" and order.status == 200:
            self._read(order, newest_at_begin)

    def _read(self, order: Order, newest_at_begin: int) -> None:
        content = content_of(order.answer)
        revision = self.sent.get(content)
        if revision is None:
            raise SafetyViolationError("what was read is nothing that was sent")
        if revision < newest_at_begin:
            raise SafetyViolationError(f"revision {revision} was read after {newest_at_begin}")
        if content in self.refused:
            raise SafetyViolationError(f"revision {revision} is in force though it was refused")
        if self.acknowledged.get(revision, content) != content:
            raise SafetyViolationError(f"revision {revision} has another content than what was acknowledged")
        self.held[revision] = content
        self.newest = max(self.newest, revision)


class Operators:
    """Several operators at once: they change, race, evacuate, read, and repeat what was taken."""

    def __init__(
        self, deployment: VirtualDeployment, rng: random.Random, addresses: Callable[[], list[str]]
    ) -> None:
        self.deployment, self.rng, self._addresses = deployment, rng, addresses
        self.history = History()
        self.under_way: list[tuple[Order, int]] = []
        self.zone_orders: dict[str, str] = {}  # zone: the last order that was begun, "" once given up
        self.evacuated: dict[str, bool] = {}  # zone: as the last clear answer has it
        self.settled_at: dict[str, float] = {}
        self._count = 0

    def begin(self, order: Order, on_end: Callable[[Order], None] | None = None) -> Order:
        """Send an order, and go on with it at each step."""
        order.begun_at = self.deployment.now
        order.on_end = on_end
        if order.content:
            self.history.sent[order.content] = order.revision
        self.under_way.append((order, self.history.newest))
        return order

    def change(self, base: int, revision: int) -> Order:
        """A configuration of its own content."""
        self._count += 1
        body = configuration(revision, route(), route(f"/n{self._count}/"))
        return Order("PUT", "/api/config", base, revision, body, content_of(body))

    def patch(self, base: int, revision: int) -> Order:
        """A patch that adds a route of its own to what it builds on, and at times removes another."""
        self._count += 1
        held = self.history.held[base]
        names = [each["name"] for each in json.loads(held)["routes"]]
        removed = self.rng.choice(names[1:]) if len(names) > 1 and self.rng.random() < 0.5 else ""
        added = route(f"/p{self._count}/")
        body = {"revision": revision, "upsert": {"routes": [added]}}
        if removed:
            body["remove"] = {"routes": [removed]}
        content = patched(held, revision, added, removed)
        return Order("PATCH", "/api/config", base, revision, json.dumps(body).encode(), content)

    def any_change(self, base: int, revision: int) -> Order:
        """A whole configuration or a patch."""
        make = self.patch if self.rng.random() < 0.5 and base in self.history.held else self.change
        return make(base, revision)

    def step(self) -> None:
        """Look at what came back, send again what has to be."""
        for pair in list(self.under_way):
            order, newest = pair
            self._look(order)
            if order.status:
                self.under_way.remove(pair)
                self.history.ended(order, newest)
                if order.on_end is not None:
                    order.on_end(order)

    def _look(self, order: Order) -> None:
        reply = order.reply
        if reply is None:
            if self.deployment.now >= order.send_at:
                self._send(order)
            return
        if not reply.error:
            return
        order.reply = None
        lost = self.rng.random() < 0.15
        clear = reply.is_complete and (reply.status in FINAL or reply.status == 200)
        if clear and not lost:
            order.status, order.answer = reply.status, reply.body
        elif reply.is_complete and reply.status == 404 and order.method == "GET" and not lost:
            raise SafetyViolationError("there is no configuration any more")
        elif self.deployment.now - order.begun_at > GIVE_UP_S:
            order.status = -1
        else:
            order.send_at = self.deployment.now + min(0.05 * 2**order.calls, 0.5) * self.rng.random()

    def _send(self, order: Order) -> None:
        order.calls += 1
        host = self.rng.choice(self._addresses())
        headers = {"If-Match": str(order.base)} if order.method in CHANGES else {}
        order.reply = self.deployment.start_call(
            (host, 8166), order.method, order.target, headers=headers, body=order.body, timeout_s=ACK_S
        )

    # --- what they want --------------------------------------------------------------------------

    def want(self) -> None:
        """Begin something at random."""
        if len(self.under_way) >= 6:
            return
        roll = self.rng.random()
        base = self.history.newest
        if roll < 0.35:
            self.begin(Order("GET", "/api/config"))
        elif roll < 0.55:
            self.begin(self.any_change(base, base + self.rng.randrange(1, 4)))
        elif roll < 0.7:
            revision = base + self.rng.randrange(1, 4)
            for _ in range(2):
                self.begin(self.any_change(base, revision))
        elif roll < 0.8 and self.history.orders:
            taken = self.rng.choice(self.history.orders)
            again = (taken.method, taken.target, taken.base, taken.revision, taken.body, taken.content)
            self.begin(Order(*again))
        elif roll < 1.0:
            self._turn_zone(self.rng.choice(["n1", "n2"]))

    def _turn_zone(self, zone: str) -> None:
        """Evacuate a zone or take it back, one order after the other."""
        if self.zone_orders.get(zone) or self.deployment.now - self.settled_at.get(zone, 0.0) < APPLY_S:
            return
        self.check_zone(zone)
        method = "DELETE" if self.evacuated.get(zone) else "POST"
        self.zone_orders[zone] = method

        def ended(order: Order) -> None:
            self.zone_orders[zone] = ""
            self.settled_at[zone] = self.deployment.now
            if order.status == 200:
                self.evacuated[zone] = method == "POST"
            else:
                self.evacuated.pop(zone, None)  # it may have acted or not

        self.begin(Order(method, f"/api/evacuations/{zone}"), ended)

    def check_zone(self, zone: str) -> None:
        """What was acknowledged last is what holds, at the leader."""
        leader = self.deployment.leader()
        if zone not in self.evacuated or self.zone_orders.get(zone) or leader is None:
            return
        replica = self.deployment.controllers[leader].replica
        if replica.consensus.has_quorum_contact(self.deployment.now) and replica.consensus.commit_index > 0:
            holds = zone in replica.state.evacuated_zones
            newest = replica.consensus.log.term_at(replica.consensus.commit_index) == replica.consensus.term
            if newest and holds is not self.evacuated[zone]:
                raise SafetyViolationError(
                    f"zone {zone}: acknowledged {self.evacuated[zone]}, in force {holds}"
                )


class Day:
    """One day: the system, its operators, and one loss after the other."""

    def __init__(
        self, seed: int, cores: int = 3, tolerated: int = 1, zones: dict[str, str] | None = None
    ) -> None:
        self.rng = random.Random(f"faults {seed}")
        self.deployment = VirtualDeployment(seed, cores=cores, gateways=2, tolerated=tolerated, zones=zones)
        self.tolerated = tolerated
        self.names = [f"c{at + 1}" for at in range(cores)]
        self.gone: list[str] = []
        self.log: list[str] = []
        self.operators = Operators(self.deployment, self.rng, self._addresses)
        self.free_at = 0.0  # when the next loss is borne
        self._plans: list[tuple[float, Callable[[], None]]] = []
        self._added = cores

    def _addresses(self) -> list[str]:
        """The operator's list lags: machines that left lately are on it."""
        return [self.deployment.world.machines[name].ip for name in [*self.names, *self.gone[-1:]]]

    def later(self, seconds: float, call: Callable[[], None]) -> None:
        """Plan a step of a disruption."""
        self._plans.append((self.deployment.now + seconds, call))

    def note(self, text: str) -> None:
        """For whoever reads a day that broke something."""
        self.log.append(f"{self.deployment.now:7.2f} {text} (leader {self.deployment.leader()})")

    # --- a day -----------------------------------------------------------------------------------

    def run(self, seconds: float = 45.0) -> None:
        """Play it; raises `SafetyViolationError`."""
        deployment = self.deployment
        body = configuration(1)
        history, content = self.operators.history, content_of(body)
        history.sent[content] = 1
        deployment.served(body)
        history.acknowledged[1] = history.held[1] = content
        self.operators.history.newest = 1
        self.busy(0.0)  # machines that have just started count as lost
        end = deployment.now + seconds
        while deployment.now < end:
            if deployment.now >= self.free_at:
                self.disrupt()
            if self.rng.random() < 0.08:
                self.operators.want()
            self._step()
        self._finish()

    def _step(self) -> None:
        self.deployment.sleep(STEP_S)
        due = [plan for plan in self._plans if plan[0] <= self.deployment.now]
        self._plans = [plan for plan in self._plans if plan[0] > self.deployment.now]
        for _, call in due:
            call()
        self.operators.step()

    def _finish(self) -> None:
        """All comes back; at last everything acknowledged is in force everywhere."""
        closing = self.rng.random() < 0.6
        while self._plans or self.deployment.now < self.free_at - (0.0 if closing else SYNC_S):
            self._step()
        if closing:
            self._lose_disks_after_an_acknowledgement()
        self.note("the end")
        back = self.deployment.now
        reads: list[Order] = []
        while not any(read.status == 200 for read in reads):
            if self.deployment.now - back > RECOVERY_S + GIVE_UP_S:
                raise SafetyViolationError("nothing can be read after all is back")
            if not reads or reads[-1].status:
                reads.append(self.operators.begin(Order("GET", "/api/config")))
            self._step()
        self._check_orders_are_taken()
        while self.operators.under_way:
            self._step()
        self.deployment.sleep(max(APPLY_S, back + SYNC_S - self.deployment.now))
        for zone in ("n1", "n2"):
            self.operators.check_zone(zone)
        self._check_gateways()

    def _lose_disks_after_an_acknowledgement(self) -> None:
        """Right after an answer: as many disks as are borne, at times with the power of all controllers."""
        base = self.operators.history.newest
        order = self.operators.begin(self.operators.any_change(base, base + 1))
        while not order.status:
            self.deployment.sleep(0.002)
            self.operators.step()
        lost = self.rng.sample(self.names, self.tolerated)
        dark = self.names if self.rng.random() < 0.6 else lost
        self.note(f"{order.status} for {order.revision}, then the disks of {lost}, power of {dark}")
        for name in dark:
            self._off(name)
        for name in lost:
            self.deployment.disks[name] = MemoryDisk()
        for name in dark:
            self.later(self.rng.uniform(0.05, 3.0), partial(self._on, name))
        while self._plans:
            self._step()

    def _check_orders_are_taken(self) -> None:
        begun = self.deployment.now
        while True:
            base = self.operators.history.newest
            order = self.operators.begin(self.operators.any_change(base, base + 1))
            while not order.status:
                self._step()
            if order.status == 200:
                return
            if self.deployment.now - begun > RECOVERY_S:
                raise SafetyViolationError("no order is taken after all is back")

    def _check_gateways(self) -> None:
        leader = self.deployment.leader()
        if leader is None:
            raise SafetyViolationError("nobody leads in calm times")
        state = self.deployment.controllers[leader].replica.state
        for name, gateway in self.deployment.gateways.items():
            table = gateway.routes
            if table is None or table.revision != state.revision:
                raise SafetyViolationError(f"{name} has another configuration in calm times")
            if gateway.instances.evacuated_zones != frozenset(state.evacuated_zones):
                raise SafetyViolationError(f"{name} has other zones evacuated in calm times")
        for name in self.names:
            other = self.deployment.controllers[name].replica
            if other.state.index != state.index:
                raise SafetyViolationError(f"{name} has not caught up in calm times")

    # --- disruptions -----------------------------------------------------------------------------

    def disrupt(self) -> None:
        """One more loss, of a machine drawn by lot, the leader more often; at times as many as are borne."""
        leader = self.deployment.leader()
        names = self.rng.sample(self.names, self.tolerated if self.rng.random() < 0.5 else 1)
        if leader in self.names and leader not in names and self.rng.random() < 0.3:
            names[0] = leader
        kinds = self.of_one_machine() if len(names) > 1 else [*self.of_one_machine(), *self.of_all()]
        for name in names:
            call = self.rng.choice(kinds)
            self.note(f"{call.__name__} {name}")
            call(name)

    def of_one_machine(self) -> list[Callable[[str], None]]:
        """Disruptions that two machines may have at once."""
        return [
            self.cut_off,
            self.one_way,
            self.standstill,
            self.power,
            self.disk_lost,
            self.disk_full,
            self.restart,
            self.resets,
            self.operators_cut,
            self.sudden_replacement,
            self.slow_links,
            self.clock_step,
        ]

    def of_all(self) -> list[Callable[[str], None]]:
        """Disruptions that come alone."""
        return [self.planned_replacement, self.all_power, self.split, self.zone_cut, self.killed]

    def busy(self, seconds: float) -> None:
        """No further loss for a time, and not before `sync_s` after it."""
        self.free_at = max(self.free_at, self.deployment.now + seconds + SYNC_S)

    def cut_off(self, name: str) -> None:
        """From the other controllers or from all but operators, for up to twenty seconds."""
        seconds = self.rng.uniform(0.5, 20.0)
        everyone = self.rng.random() < 0.3
        others = [each for each in self.deployment.world.machines if each not in (name, "caller")]
        peers = others if everyone else [each for each in self.names if each != name]
        self._cut([(name, other) for other in peers], seconds)

    def _cut(self, pairs: list[tuple[str, str]], seconds: float, one_way: bool = False) -> None:
        """Cut machines from each other for a time."""
        network = self.deployment.world.network
        for one, other in pairs:
            network.cut(one, other, one_way)

        def mend() -> None:
            self.note("a cut ends")
            for one, other in pairs:
                network.mend(one, other, one_way)

        self.later(seconds, mend)
        self.busy(seconds)

    def one_way(self, name: str) -> None:
        """It sends and does not hear, or hears and can't send."""
        seconds = self.rng.uniform(0.5, 10.0)
        outwards = self.rng.random() < 0.5
        pairs = [(name, each) if outwards else (each, name) for each in self.names if each != name]
        self._cut(pairs, seconds, one_way=True)

    def standstill(self, name: str) -> None:
        """The process stands still and goes on where it was."""
        seconds = self.rng.uniform(0.2, 20.0)
        self.deployment.process(name).stall(int(seconds * SECOND))
        self.busy(seconds)

    def power(self, name: str) -> None:
        """Without power for a while; the disk stays."""
        seconds = self.rng.uniform(0.1, 6.0)
        self._off(name)
        self.later(seconds, partial(self._on, name))
        self.busy(seconds)

    def _off(self, name: str) -> None:
        if not self.deployment.world.machines[name].gone:
            self.deployment.power_off(name, nothing_unsynced=self.rng.random() < 0.5)

    def _on(self, name: str) -> None:
        if name in self.names and self.deployment.world.machines[name].gone:
            self.deployment.power_on(name)

    def disk_lost(self, name: str) -> None:
        """It comes back empty; at times all others lose power at that moment."""
        seconds = self.rng.uniform(0.1, 3.0)
        self._off(name)
        self.deployment.disks[name] = MemoryDisk()
        alone = self.tolerated == 1 and self.rng.random() < 0.3
        others = [each for each in self.names if each != name] if alone else []
        for other in others:
            self._off(other)
        for each in [name, *others]:
            self.later(self.rng.uniform(0.1, seconds + 0.1), partial(self._on, each))
        self.busy(seconds + 0.1)

    def disk_full(self, name: str) -> None:
        """The disk takes nothing for a while."""
        seconds = self.rng.uniform(0.5, 8.0)
        disk = self.deployment.disks[name]
        disk.full = True

        def free() -> None:
            disk.full = False

        self.later(seconds, free)
        self.busy(seconds)

    def restart(self, name: str) -> None:
        """SIGTERM, and a new start once it has ended."""
        self.deployment.process(name).signal(15)

        def start() -> None:
            if name in self.names and not self.deployment.process(name).dead:
                self.later(0.1, start)
            else:
                self._start_again(name)

        self.later(0.5, start)
        self.busy(GRACE_S)

    def _add(self) -> str:
        self._added += 1
        name = f"c{self._added}"
        self.deployment.seeds = [f"{self.deployment.world.machines[each].ip}:8166" for each in self.names[:3]]
        self.deployment.add_core(name, f"10.1.0.{self._added}")
        self.names.append(name)
        return name

    def planned_replacement(self, name: str) -> None:
        """The successor first, then SIGTERM; the machine is gone once the process has ended.

        It counts until the successor has had its time, and not after that: the next loss may come at once.
        """
        self._add()
        begun = self.deployment.now
        seconds = self.rng.uniform(0.5, 6.0)

        def leave() -> None:
            self.note(f"{name} gets SIGTERM")
            if name in self.deployment.controllers and not self.deployment.process(name).dead:
                self.deployment.process(name).signal(15)
            self.later(0.1, remove)

        def remove() -> None:
            if self.deployment.process(name).dead or self.deployment.now > begun + seconds + GRACE_S:
                self.note(f"{name} is gone")
                self._remove(name)
            else:
                self.later(0.05, remove)

        self.later(seconds, leave)
        self.free_at = max(begun + SYNC_S, begun + seconds) + self.rng.uniform(0.02, 2.0)

    def _remove(self, name: str) -> None:
        self.deployment.power_off(name)
        if name in self.names:
            self.names.remove(name)
            self.gone.append(name)

    def sudden_replacement(self, name: str) -> None:
        """Gone for good without a word, and a successor a second later."""
        self._remove(name)
        self.later(1.0, lambda: self.note(f"{self._add()} is added"))
        self.busy(1.0)

    def slow_links(self, name: str) -> None:
        """Its messages take long, and are there when others have long been sent over new connections."""
        seconds = self.rng.uniform(0.5, 8.0)
        network = self.deployment.world.network
        others = [each for each in self.names if each != name]
        for other in others:
            network.slow_link(name, other, int(self.rng.uniform(0.05, 1.5) * SECOND))

        def mend() -> None:
            for other in others:
                network.slow_link(name, other, 0)

        self.later(seconds, mend)
        self.resets(name)
        self.busy(seconds)

    def clock_step(self, name: str) -> None:
        """The time of day jumps, and back; the process is killed in between."""
        machine = self.deployment.world.machines[name]
        by_ns = int(self.rng.uniform(-8.0, 8.0) * SECOND)
        machine.shift_wall(by_ns)
        self.later(1.0, partial(self._kill, name))
        self.later(3.0, lambda: machine.shift_wall(-by_ns))
        self.busy(3.0)

    def _kill(self, name: str) -> None:
        if name in self.names and not self.deployment.process(name).dead:
            self.deployment.process(name).kill()
            self.later(self.rng.uniform(0.1, 1.0), partial(self._start_again, name))

    def all_power(self, name: str) -> None:
        """All controllers lose power at once and are back within a second or two."""
        for each in self.names:
            self._off(each)
            self.later(self.rng.uniform(0.1, 2.0), partial(self._on, each))
        self.busy(2.0)

    def resets(self, name: str) -> None:
        """All connections of a machine are reset, more than once."""
        machine = self.deployment.world.machines[name]

        def reset() -> None:
            for connection in self.deployment.world.network.connections(machine):
                self.deployment.world.network.reset(connection)

        for _ in range(self.rng.randrange(1, 5)):
            self.later(self.rng.uniform(0.0, 2.0), reset)
        self.busy(2.0)

    def operators_cut(self, name: str) -> None:
        """What operators send to a machine is held up, and comes when they have long turned to others."""
        seconds = self.rng.uniform(0.5, 6.0)
        network = self.deployment.world.network
        network.cut("caller", name)
        self.later(seconds, lambda: network.mend("caller", name))
        self.busy(0.0)

    def zone_cut(self, name: str) -> None:
        """A controller and the gateways of its zone are cut off from all others; clients reach them."""
        seconds = self.rng.uniform(0.5, 12.0)
        zone = self.deployment.controllers[name].settings.zone
        inside = [
            name,
            *(each for each, gateway in self.deployment.gateways.items() if gateway.settings.zone == zone),
        ]
        outside = [each for each in self.deployment.world.machines if each not in (*inside, "caller")]
        self._cut([(one, other) for one in inside for other in outside], seconds)

    def killed(self, name: str) -> None:
        """Controllers are killed at once, one or all, and start again; the disk keeps what was written."""
        for each in self.names if self.rng.random() < 0.5 else [name]:
            self._kill(each)
        self.busy(1.0)

    def _start_again(self, name: str) -> None:
        if (
            name in self.names
            and not self.deployment.world.machines[name].gone
            and self.deployment.process(name).dead
        ):
            self.deployment.start_core(name)

    def split(self, name: str) -> None:
        """The controllers fall into two halves, then stand as before; nothing is lost by it."""
        seconds = self.rng.uniform(0.5, 10.0)
        half = self.rng.sample(self.names, len(self.names) // 2)
        self._cut([(one, other) for one in half for other in self.names if other not in half], seconds)


@contextmanager
def short_segments(size: int) -> Iterator[None]:
    """Have snapshots come after a few changes, as after hundreds of them in service."""
    usual, segments.SEGMENT_BYTES = segments.SEGMENT_BYTES, size
    try:
        yield
    finally:
        segments.SEGMENT_BYTES = usual


def play(seed: int, cores: int = 3, tolerated: int = 1, zones: dict[str, str] | None = None) -> None:
    """Play one day, every other one with short segments; raise `SafetyViolationError` with its history."""
    with short_segments(SHORT_SEGMENT if seed % 2 else segments.SEGMENT_BYTES):
        day = Day(seed, cores, tolerated, zones)
        try:
            day.run()
        except SafetyViolationError as error:
            raise SafetyViolationError(f"day {seed}: {error}\n" + "\n".join(day.log)) from error
        finally:
            day.deployment.close()
