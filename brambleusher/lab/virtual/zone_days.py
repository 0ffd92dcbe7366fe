"""Days on which zones are lost, cut off, grey, flapping and back again, and the books kept of them.

A day is a scenario: four zones of four nodes, eight sidecars, some 200 requests a second.  The books are
made from what nodes ran and clients asked, and from nodes' waiting rooms looked at twenty times a
second; they know nothing of what sidecars believe.
"""

from __future__ import annotations

import math
import random
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from brambleusher.lab.faults.kinds import AnyFault
from brambleusher.lab.fleets.figures import (
    ClassSpec,
    NetworkSpec,
    NodeSpec,
    RuleSpec,
    SidecarSpec,
    WorldSpec,
)
from brambleusher.lab.fleets.fleet import Fleet, empty_world
from brambleusher.lab.fleets.scenario import Scenario
from brambleusher.lab.stand_ins.settings import ClientSettings, NodeSettings, PlannedRequest
from brambleusher.loadbalancing import Balancer
from brambleusher.loadbalancing.api import Settings
from brambleusher.loadbalancing.balancer_factory import balancer_for

SECOND = 10**9
ZONES = ("atl-north", "atl-south", "macon", "augusta")
LOOK_NS = 50_000_000
WINDOW_S = 2.0  # service is counted in windows of this length, a new one each half
FALL_S, FALL_MULTIPLE = 2.0, 4.0
CLASSES = (  # those of the lab's usual world
    ClassSpec(name="listing-lookup", share=0.6, work_s=0.027, spread=0.5, aim_s=0.5, deadline_s=1.5,
                 worth=1.0),
    ClassSpec(name="price-check", share=0.3, work_s=0.051, spread=0.5, aim_s=0.75, deadline_s=2.0,
                 worth=5.0),
    ClassSpec(name="transfer-record", share=0.1, work_s=0.1, spread=0.5, aim_s=1.0, deadline_s=4.0,
                 worth=2.0, unsafe=True),
)  # fmt: skip
MEAN_WORK_S = sum(each.share * each.work_s for each in CLASSES)
KINDS: tuple[tuple[str, int, float], ...] = (  # of each zone: name, cores, speed
    ("std-1core", 1, 0.7), ("std-1core", 1, 0.78), ("std-1core", 1, 0.72), ("std-1core", 1, 0.76),
)  # fmt: skip


@dataclass(frozen=True)
class Day:
    """One day: what is asked and what goes wrong, before a seed makes a scenario of it."""

    name: str
    length_s: float
    faults: tuple[AnyFault, ...] = ()
    use: float = 0.7  # of a fleet with all its nodes
    zones: dict[str, Any] | None = None  # the operator file's section
    notice_s: float = 20.0  # until discovery has heard of a node that died without a word
    nodes: dict[str, int] = field(default_factory=dict)  # of zones that don't have four
    cold_s: float = 6.0


def scenario_of(day: Day, seed: int) -> Scenario:
    """The day of a seed."""
    rng = random.Random(f"{seed}/zone day")  # days of one seed have the same demand, as far as they go
    nodes: list[NodeSpec] = []
    for zone in ZONES:
        for at in range(day.nodes.get(zone, len(KINDS))):
            kind, cores, speed = KINDS[at % len(KINDS)]
            settings = NodeSettings(
                cores=cores, speed=speed, slots_per_core=9, queue_per_core=60, thrash=0.04, thrash_at=12.0,
                cold_from=0.25, cold_s=day.cold_s, warm_by="work", fall_s=FALL_S, fall_multiple=FALL_MULTIPLE,
                report_period_s=0.5, report_delay_s=0.1, report_noise=0.03, work_noise=0.2, idle_s=10.0,
            )  # fmt: skip
            nodes.append(
                NodeSpec(
                    id=f"{zone}-{at}", zone=zone, kind=kind, cell=len(nodes) // 3, weight=cores * speed,
                    settings=settings,
                )
            )  # fmt: skip
    capacity = sum(cores * speed for _, cores, speed in KINDS) * len(ZONES)
    world = WorldSpec(
        length_s=day.length_s,
        faults_s=max([0.001, *(fault.end_s for fault in day.faults)]),
        zones=ZONES,
        sidecars=tuple(
            SidecarSpec(name=f"n{number}", zone=ZONES[number % 4], sockets=512, memory_mb=96, capture=False)
            for number in range(8)
        ),
        nodes=tuple(nodes),
        classes=CLASSES,
        requests_per_s=day.use * capacity / MEAN_WORK_S,
        silent_notice_s=day.notice_s,
        network=NetworkSpec(),
        clients=ClientSettings(tries=1),
        rules=RuleSpec(fall_s=FALL_S, fall_multiple=FALL_MULTIPLE),
        operator={} if day.zones is None else {"zones": day.zones},
    )
    return Scenario(seed=seed, profile=day.name, world=world, asks=_asks(world, rng), faults=day.faults)


def _asks(world: WorldSpec, rng: random.Random) -> tuple[PlannedRequest, ...]:
    """Arrivals at random, evenly over the sidecars and over time."""
    asks: list[PlannedRequest] = []
    at = 0.0
    while (at := at + rng.expovariate(world.requests_per_s)) < world.length_s - 0.05:
        of = rng.choices(world.classes, [each.share for each in world.classes])[0]
        work = of.draw_work(rng)
        asks.append(
            PlannedRequest(
                id=f"{rng.getrandbits(64):016x}", at_s=round(at, 6), request_class=of.name, unsafe=of.unsafe,
                wait_s=of.deadline_s, work_s=round(work, 6),
                body_bytes=64 if of.unsafe else 0, sidecar=rng.randrange(len(world.sidecars)),
            )
        )  # fmt: skip
    return tuple(asks)


class Watch:
    """Looks at all nodes' waiting rooms while a fleet runs."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._since: dict[str, int] = {}
        self.over: dict[str, list[tuple[float, float]]] = defaultdict(list)  # from and to, in seconds
        self.held: dict[str, float] = defaultdict(float)  # the most, over the slots
        fleet.world.at(fleet.begins_ns, self._look)

    def _look(self) -> None:
        world = self._fleet.world
        for place in self._fleet.node_instances:
            node, settings = place.node, place.spec.settings
            part = 0.0
            if node is not None and place.up:
                node.machine.advance(world.now_ns / SECOND)
                part = node.machine.job_count / (settings.cores * settings.slots_per_core)
            self.held[place.spec.id] = max(self.held[place.spec.id], part)
            if part > 1.0:
                self._since.setdefault(place.spec.id, world.now_ns)
            elif place.spec.id in self._since:
                self._note(place.spec.id)
        if world.now_ns < self._fleet.ends_ns + SECOND:
            world.after(LOOK_NS, self._look)
        else:
            for name in list(self._since):
                self._note(name)

    def _note(self, name: str) -> None:
        begin, now = self._since.pop(name), self._fleet.world.now_ns
        start = self._fleet.begins_ns
        self.over[name].append(((begin - start) / SECOND, (now - start) / SECOND))


@dataclass
class Books:
    """What became of a day: counts by second, and figures of nodes; plain data."""

    asked: dict[str, list[int]]  # by class, in each second
    served: dict[str, list[int]]
    in_time: int  # answered within the aim
    homes: dict[str, list[tuple[int, int]]]  # by the zone of the sidecar, in each second: asked and served
    went: list[dict[str, int]]  # in each second, what each zone worked on
    crossed: list[int]  # in each second, what came from a sidecar of another zone
    over: list[tuple[str, float, float]]  # node, from and to: more than its slots take
    held: dict[str, float]  # by node, the most that it held over its slots
    pushed: dict[str, float]  # by node of a zone that returned, while it was cold: see `work_sent`
    fallen: int  # nodes that too much work while cold brought down
    run_twice: int  # requests that must not run twice, and did
    lost: int  # requests that must not run twice, and failed

    def service(self, begin: int, end: int, name: str | None = None) -> float:
        """The part served of what was asked in some seconds."""
        names = [name] if name else list(self.asked)
        asked = sum(sum(self.asked[each][begin:end]) for each in names)
        return sum(sum(self.served[each][begin:end]) for each in names) / max(asked, 1)

    def crossings(self, begin: int, end: int) -> float:
        """The part of what nodes worked on that came from another zone."""
        return sum(self.crossed[begin:end]) / max(sum(sum(each.values()) for each in self.went[begin:end]), 1)

    def share(self, zone: str, begin: int, end: int) -> float:
        """The part of all work's requests that a zone had."""
        there = self.went[begin:end]
        return sum(each.get(zone, 0) for each in there) / max(sum(sum(each.values()) for each in there), 1)

    def over_slots(self, begin: float, end: float, without: Sequence[str] = ()) -> float:
        """The longest time that a node of other zones had more than its slots take, in seconds."""
        spans = [
            min(to, end) - max(since, begin)
            for name, since, to in self.over
            if not name.startswith(tuple(without) or "-") and since < end and to > begin
        ]
        return max(spans, default=0.0)


def work_sent(came: Sequence[tuple[float, float, float]], window_s: float = FALL_S) -> float:
    """The most work that came within a window over what the node could do in it, at the capacity of then.

    The cold rule's books with a multiple of one, and with that rule's slack for chance: one deviation of the
    number of requests that there is room for.  `came` has, for each request in order: when it came, its
    work, the node's capacity at that moment.
    """
    first, total, most = 0, 0.0, 0.0
    for at, (when, work, capacity) in enumerate(came):
        total += work
        while came[first][0] <= when - window_s:
            total -= came[first][1]
            first += 1
        room = capacity * window_s
        most = max(most, total / (room + math.sqrt(room * total / (at - first + 1))))
    return most


def books_of(fleet: Fleet, watch: Watch, returns: tuple[str, float] | None = None) -> Books:
    """A played fleet's books; `returns` names a zone, and since when work sent to its cold nodes counts."""
    scenario = fleet.scenario
    seconds = math.ceil(scenario.world.length_s)
    zone_of = {place.spec.id: place.spec.zone for place in fleet.node_instances}
    home_of = [each.zone for each in scenario.world.sidecars]
    aims = {each.name: each.aim_s for each in CLASSES}

    def second(ns: int) -> int:
        return min(max(int((ns - fleet.begins_ns) / SECOND), 0), seconds - 1)

    asked = {each.name: [0] * seconds for each in CLASSES}
    served = {each.name: [0] * seconds for each in CLASSES}
    homes = {zone: [(0, 0)] * seconds for zone in ZONES}
    home: dict[str, str] = {}
    ran: dict[str, int] = defaultdict(int)
    for each in fleet.executions:
        ran[each.request] += each.ran
    unsafe, in_time, twice, lost = set[str](), 0, 0, 0
    for one in fleet.asked:
        ask, at = one.ask, second(one.due_ns)
        asked[ask.request_class][at] += 1
        served[ask.request_class][at] += one.served
        there = homes[home_of[ask.sidecar]]
        there[at] = there[at][0] + 1, there[at][1] + one.served
        last = one.tries[-1] if one.tries else None
        if one.served and last is not None:
            in_time += last.ended_ns - one.due_ns <= aims[ask.request_class] * SECOND
        if ask.unsafe:
            unsafe.update(each.id for each in one.tries)
            twice += any(ran[each.id] > 1 for each in one.tries)
            lost += not one.served and last is not None and last.status == 502
        home.update((each.id, home_of[ask.sidecar]) for each in one.tries)
    went: list[dict[str, int]] = [defaultdict(int) for _ in range(seconds)]
    crossed = [0] * seconds
    came: dict[str, list[tuple[float, float, float]]] = defaultdict(list)
    for work in fleet.executions:
        at, zone = second(work.came_ns), zone_of[work.node]
        went[at][zone] += 1
        crossed[at] += home.get(work.request) != zone
        when = (work.came_ns - fleet.begins_ns) / SECOND
        if returns is not None and work.cold and zone == returns[0] and when >= returns[1]:
            came[work.node].append((when, work.work_s, work.capacity))
    return Books(
        asked=asked, served=served, in_time=in_time, homes=homes, went=[dict(each) for each in went],
        crossed=crossed, over=[(name, *span) for name, spans in watch.over.items() for span in spans],
        held=dict(watch.held), pushed={name: work_sent(there) for name, there in came.items()},
        fallen=sum(place.fallen for place in fleet.node_instances), run_twice=twice, lost=lost,
    )  # fmt: skip


def play(
    day: Day,
    seed: int,
    returns: tuple[str, float] | None = None,
    make: Callable[[Settings, int], Balancer] = balancer_for,
) -> Books:
    """A day of a seed, played to its end."""
    scenario = scenario_of(day, seed)
    with empty_world(scenario) as world:
        fleet = Fleet(scenario, world)
        fleet.new_balancer = make
        watch = Watch(fleet)
        fleet.play()
        return books_of(fleet, watch, returns)
