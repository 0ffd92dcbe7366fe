"""Days on which zones are lost, cut off, grey, flapping and back again, and the books kept of them.

A day is a scenario: four zones of four nodes, eight sidecars, some 200 requests a second.  The books are
made from what nodes ran and submitters asked, and from nodes' waiting rooms looked at twenty times a
second; they know nothing of what sidecars believe.
"""

from __future__ import annotations

import math
import random
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import msgspec

from brambleusher.lab.faults import AnyFault
from brambleusher.lab.figures import (
    ClassFigures,
    NetworkFigures,
    NodeFigures,
    RuleFigures,
    SidecarFigures,
    WorldFigures,
)
from brambleusher.lab.fleet import Fleet
from brambleusher.lab.scenario import Scenario
from brambleusher.lab.stand_ins.settings import Ask, ClientSettings, NodeSettings

SECOND = 10**9
ZONES = ("atl-north", "atl-south", "macon", "augusta")
LOOK_NS = 50_000_000
WINDOW_S = 2.0  # service is counted in windows of this length, a new one each half
SMALL = 12  # a class with fewer requests in a window says nothing there
FALL_S, FALL_MULTIPLE = 2.0, 4.0
CLASSES = (  # those of the lab's usual world
    ClassFigures(name="listing-lookup", share=0.6, work_s=0.027, spread=0.5, aim_s=0.5, deadline_s=1.5,
                 worth=1.0),
    ClassFigures(name="price-check", share=0.3, work_s=0.051, spread=0.5, aim_s=0.75, deadline_s=2.0,
                 worth=5.0),
    ClassFigures(name="transfer-record", share=0.1, work_s=0.1, spread=0.5, aim_s=1.0, deadline_s=4.0,
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
    faults: tuple[AnyFault, ...]
    use: float = 0.7  # of the whole fleet
    zones: dict[str, Any] | None = None  # the operator file's section
    notice_s: float = 20.0  # until discovery has heard of a node that died without a word
    nodes: dict[str, int] = field(default_factory=dict)  # of zones that don't have four
    cold_s: float = 6.0


def scenario_of(day: Day, seed: int) -> Scenario:
    """The day of a seed."""
    rng = random.Random(f"{seed}/{day.name}")
    nodes: list[NodeFigures] = []
    for zone in ZONES:
        for at in range(day.nodes.get(zone, len(KINDS))):
            kind, cores, speed = KINDS[at % len(KINDS)]
            settings = NodeSettings(
                cores=cores, speed=speed, slots_per_core=8, queue_per_core=60, thrash=0.04, thrash_at=12.0,
                cold_from=0.25, cold_s=day.cold_s, warm_by="work", fall_s=FALL_S, fall_multiple=FALL_MULTIPLE,
                report_period_s=0.5, report_delay_s=0.1, report_noise=0.03, work_noise=0.2, idle_s=10.0,
            )  # fmt: skip
            nodes.append(
                NodeFigures(
                    id=f"{zone}-{at}", zone=zone, kind=kind, cell=len(nodes) // 3, weight=cores * speed,
                    settings=settings,
                )
            )  # fmt: skip
    capacity = sum(cores * speed for _, cores, speed in KINDS) * len(ZONES)
    world = WorldFigures(
        length_s=day.length_s,
        faults_s=max([0.001, *(fault.end_s for fault in day.faults)]),
        zones=ZONES,
        sidecars=tuple(
            SidecarFigures(
                name=f"n{number}", zone=ZONES[number % 4], sockets=512, memory_mb=96, capture=False
            )
            for number in range(8)
        ),
        nodes=tuple(nodes),
        classes=CLASSES,
        requests_per_s=day.use * capacity / MEAN_WORK_S,
        silent_notice_s=day.notice_s,
        network=NetworkFigures(),
        clients=ClientSettings(tries=1),
        rules=RuleFigures(fall_s=FALL_S, fall_multiple=FALL_MULTIPLE),
        operator={} if day.zones is None else {"zones": day.zones},
    )
    return Scenario(seed=seed, profile=day.name, world=world, asks=_asks(world, rng), faults=day.faults)


def _asks(world: WorldFigures, rng: random.Random) -> tuple[Ask, ...]:
    """Arrivals at random, evenly over the sidecars and over time."""
    asks: list[Ask] = []
    at = 0.0
    while (at := at + rng.expovariate(world.requests_per_s)) < world.length_s - 0.05:
        of = rng.choices(world.classes, [each.share for each in world.classes])[0]
        work = of.work_s * math.exp(of.spread * rng.gauss(0, 1) - of.spread**2 / 2)
        asks.append(
            Ask(
                id=f"{rng.getrandbits(64):016x}", at_s=round(at, 6), request_class=of.name, unsafe=of.unsafe,
                wait_s=of.deadline_s, work_s=round(min(max(work, 0.002), of.aim_s * 0.8), 6),
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
        for place in self._fleet.places:
            node, settings = place.node, place.figures.settings
            part = 0.0
            if node is not None and place.up:
                node.machine.advance(world.now_ns / SECOND)
                part = node.machine.held / (settings.cores * settings.slots_per_core)
            self.held[place.figures.id] = max(self.held[place.figures.id], part)
            if part > 1.0:
                self._since.setdefault(place.figures.id, world.now_ns)
            elif place.figures.id in self._since:
                self._note(place.figures.id)
        if world.now_ns < self._fleet.ends_ns + SECOND:
            world.after(LOOK_NS, self._look)
        else:
            for name in list(self._since):
                self._note(name)

    def _note(self, name: str) -> None:
        begin, now = self._since.pop(name), self._fleet.world.now_ns
        start = self._fleet.begins_ns
        self.over[name].append(((begin - start) / SECOND, (now - start) / SECOND))


class Books:
    """What became of a day."""

    def __init__(self, fleet: Fleet, watch: Watch) -> None:
        self.fleet, self.watch = fleet, watch
        self.begins_ns, self.length_s = fleet.begins_ns, fleet.scenario.world.length_s
        self.zone_of = {place.figures.id: place.figures.zone for place in fleet.places}
        sidecars = fleet.scenario.world.sidecars
        self.home: dict[str, str] = {}  # of each try, the zone of its sidecar
        for asked in fleet.asked:
            for each in asked.tries:
                self.home[each.id] = sidecars[asked.ask.sidecar].zone

    def at(self, ns: int) -> float:
        """Seconds since the first request could come."""
        return (ns - self.begins_ns) / SECOND

    def capacity(self, without: Sequence[str] = ()) -> float:
        """Seconds of a standard core a second of all nodes but those in some zones."""
        return sum(
            node.settings.cores * node.settings.speed
            for node in self.fleet.scenario.world.nodes
            if node.zone not in without
        )

    def service(
        self,
        begin: float,
        end: float,
        capacity: float,
        classes: Sequence[str] | None = None,
        zones: Sequence[str] | None = None,
    ) -> tuple[float, float, str, float]:
        """The least part served of what could be carried, by class and window; when; the class; the mean.

        What could be carried in a window is all that was asked for, or as much of it as its work fits into
        the capacity.
        """
        window, step = WINDOW_S, WINDOW_S / 2
        worst = (2.0, 0.0, "", 0.0)
        asked: dict[int, list[tuple[str, bool, float]]] = defaultdict(list)
        names = {number: each.zone for number, each in enumerate(self.fleet.scenario.world.sidecars)}
        total = [0, 0]
        for each in self.fleet.asked:
            due = self.at(each.due_ns)
            if begin <= due < end and (zones is None or names[each.ask.sidecar] in zones):
                asked[int((due - begin) / step)].append(
                    (each.ask.request_class, each.served, each.ask.work_s)
                )
                total[0] += 1
                total[1] += each.served
        for at in range(int((end - begin - window) / step) + 1):
            there = asked[at] + asked[at + 1]
            work = sum(each[2] for each in there)
            fits = min(1.0, capacity * window / max(work, 1e-9))
            for name in classes or [each.name for each in CLASSES]:
                of = [each[1] for each in there if each[0] == name]
                if len(of) < SMALL:
                    continue
                part = sum(of) / (len(of) * fits)
                if part < worst[0]:
                    worst = part, begin + at * step, name, 0.0
        return (min(worst[0], 1.0), worst[1], worst[2], total[1] / max(total[0], 1))

    def crossings(self, begin: float, end: float) -> float:
        """The part of executions that came from a sidecar of another zone."""
        there = [each for each in self.fleet.executions if begin <= self.at(each.came_ns) < end]
        crossed = sum(self.home.get(each.request) != self.zone_of[each.node] for each in there)
        return crossed / max(len(there), 1)

    def shares(self, begin: float, end: float) -> dict[str, float]:
        """The part of all executions that each zone had."""
        counts = dict.fromkeys(ZONES, 0)
        for each in self.fleet.executions:
            if begin <= self.at(each.came_ns) < end:
                counts[self.zone_of[each.node]] += 1
        total = max(sum(counts.values()), 1)
        return {zone: count / total for zone, count in counts.items()}

    def moved(self, begin: float, end: float) -> float:
        """The mean part of all executions that changes zone from one second to the next."""
        by: dict[int, dict[tuple[str, str], int]] = defaultdict(lambda: defaultdict(int))
        for each in self.fleet.executions:
            at = self.at(each.came_ns)
            if begin <= at < end:
                by[int(at - begin)][self.home.get(each.request, ""), self.zone_of[each.node]] += 1
        moves = []
        for at in range(int(end - begin) - 1):
            one, two = by[at], by[at + 1]
            n, m = max(sum(one.values()), 1), max(sum(two.values()), 1)
            moves.append(sum(abs(one[key] / n - two[key] / m) for key in {*one, *two}) / 2)
        return sum(moves) / max(len(moves), 1)

    def over_slots(self, begin: float, end: float, without: Sequence[str] = ()) -> tuple[float, str]:
        """The longest time that a node had more than its slots take, in seconds, and which."""
        spans = [
            (min(to, end) - max(since, begin), name)
            for name, there in self.watch.over.items()
            if self.zone_of[name] not in without
            for since, to in there
            if since < end and to > begin
        ]
        return max(spans, default=(0.0, ""))

    def cold_load(self, zone: str, begin: float, end: float) -> tuple[float, float]:
        """Of a zone's nodes: work sent in `FALL_S` over what could be done in it, and over what is allowed.

        The most of all nodes and moments, in sum over all sidecars; the capacity is that of the moment.
        """
        most = 0.0
        for name in [name for name, of in self.zone_of.items() if of == zone]:
            there = [
                (self.at(each.came_ns), each.work_s, each.capacity, each.cold)
                for each in self.fleet.executions
                if each.node == name and begin <= self.at(each.came_ns) < end
            ]
            first, total = 0, 0.0
            for at, work, capacity, _ in there:
                total += work
                while there[first][0] <= at - FALL_S:
                    total -= there[first][1]
                    first += 1
                most = max(most, total / (capacity * FALL_S))
        return most, most / FALL_MULTIPLE

    def fallen(self) -> int:
        """Nodes that too much work while cold brought down."""
        return sum(place.fallen for place in self.fleet.places)

    def run_twice(self) -> int:
        """Requests that must not run twice, and did."""
        ran: dict[str, int] = defaultdict(int)
        unsafe = {each.id for asked in self.fleet.asked if asked.ask.unsafe for each in asked.tries}
        for each in self.fleet.executions:
            if each.ran and each.request in unsafe:
                ran[each.request] += 1
        return sum(count > 1 for count in ran.values())

    def whole_again(self, since: float, until: float, capacity: float) -> float:
        """Seconds after a moment until service is 95% for good; `until` less `since` where it never is."""
        at = until
        while (
            at - 1.0 >= since
            and self.service(at - 1.0 - WINDOW_S / 2, at + WINDOW_S / 2, capacity)[0] >= 0.95
        ):
            at -= 1.0
        return at - since


def play(scenario: Scenario, prepare: Callable[[Fleet], object] = lambda fleet: None) -> tuple[Fleet, Books]:
    """A day, played to its end."""
    from brambleusher.lab.fleet import world_of

    world = world_of(scenario)
    with world:
        fleet = Fleet(scenario, world)
        prepare(fleet)
        watch = Watch(fleet)
        fleet.play()
        return fleet, Books(fleet, watch)


def with_zones(day: Day, section: dict[str, Any] | None) -> Day:
    """The same day under another section of the operator file."""
    return Day(**{**{each: getattr(day, each) for each in Day.__dataclass_fields__}, "zones": section})


__all__ = ["Books", "Day", "Watch", "msgspec", "play", "scenario_of", "with_zones"]
