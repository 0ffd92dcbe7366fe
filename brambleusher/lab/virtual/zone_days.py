"""Scenarios in which zones are lost, cut off, degraded, flapping and recovering, and their statistics.

A day is a scenario with four zones of four nodes, eight sidecars and about 200 requests per second. The
statistics come from the nodes' executions, the clients' requests, and the nodes' queues sampled twenty times
per second; they use nothing of the sidecars' own state.
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
SAMPLE_INTERVAL_NS = 50_000_000
WINDOW_S = 2.0  # length of the windows in which service is counted; a new window begins every half window
FALL_S, FALL_MULTIPLE = 2.0, 4.0
CLASSES = (  # request classes of the lab's usual world
    ClassSpec(name="listing-lookup", share=0.6, work_s=0.027, spread=0.5, aim_s=0.5, deadline_s=1.5,
                 worth=1.0),
    ClassSpec(name="price-check", share=0.3, work_s=0.051, spread=0.5, aim_s=0.75, deadline_s=2.0,
                 worth=5.0),
    ClassSpec(name="transfer-record", share=0.1, work_s=0.1, spread=0.5, aim_s=1.0, deadline_s=4.0,
                 worth=2.0, unsafe=True),
)  # fmt: skip
MEAN_WORK_S = sum(each.share * each.work_s for each in CLASSES)
KINDS: tuple[tuple[str, int, float], ...] = (  # name, cores and speed of the nodes in each zone
    ("std-1core", 1, 0.7), ("std-1core", 1, 0.78), ("std-1core", 1, 0.72), ("std-1core", 1, 0.76),
)  # fmt: skip


@dataclass(frozen=True)
class Day:
    """The demand and the faults of one day, from which a seed makes a scenario."""

    name: str
    length_s: float
    faults: tuple[AnyFault, ...] = ()
    use: float = 0.7  # utilization of the fleet when all its nodes work
    zones: dict[str, Any] | None = None  # the `zones` section of the operator file
    notice_s: float = 20.0  # time until discovery notices a node that failed silently, in seconds
    nodes: dict[str, int] = field(default_factory=dict)  # number of nodes in zones that don't have four
    cold_s: float = 6.0


def scenario_of(day: Day, seed: int) -> Scenario:
    """Draw the scenario of a day from a seed."""
    rng = random.Random(f"{seed}/zone day")  # all days of one seed have the same requests, up to their length
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
    """Draw random arrivals, evenly over the sidecars and over time."""
    asks: list[PlannedRequest] = []
    at = 0.0
    while (at := at + rng.expovariate(world.requests_per_s)) < world.length_s - 0.05:
        cls = rng.choices(world.classes, [each.share for each in world.classes])[0]
        work = cls.draw_work(rng)
        asks.append(
            PlannedRequest(
                id=f"{rng.getrandbits(64):016x}", at_s=round(at, 6),
                request_class=cls.name, unsafe=cls.unsafe,
                wait_s=cls.deadline_s, work_s=round(work, 6),
                body_bytes=64 if cls.unsafe else 0, sidecar=rng.randrange(len(world.sidecars)),
            )
        )  # fmt: skip
    return tuple(asks)


class QueueSampler:
    """Sampler of all nodes' queues while a fleet runs."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._since: dict[str, int] = {}
        # Start and end of the periods in which a node held more requests than it has slots, in seconds.
        self.over: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.held: dict[str, float] = defaultdict(float)  # highest ratio of held requests to slots, by node
        fleet.world.at(fleet.begins_ns, self._sample)

    def _sample(self) -> None:
        world = self._fleet.world
        for slot in self._fleet.node_instances:
            node, settings = slot.node, slot.spec.settings
            load = 0.0
            if node is not None and slot.up:
                node.machine.advance(world.now_ns / SECOND)
                load = node.machine.job_count / (settings.cores * settings.slots_per_core)
            self.held[slot.spec.id] = max(self.held[slot.spec.id], load)
            if load > 1.0:
                self._since.setdefault(slot.spec.id, world.now_ns)
            elif slot.spec.id in self._since:
                self._end_period(slot.spec.id)
        if world.now_ns < self._fleet.ends_ns + SECOND:
            world.after(SAMPLE_INTERVAL_NS, self._sample)
        else:
            for name in list(self._since):
                self._end_period(name)

    def _end_period(self, name: str) -> None:
        begin, now = self._since.pop(name), self._fleet.world.now_ns
        start = self._fleet.begins_ns
        self.over[name].append(((begin - start) / SECOND, (now - start) / SECOND))


@dataclass
class DayStatistics:
    """Statistics of a day: counts per second and metrics per node, as plain data."""

    asked: dict[str, list[int]]  # number of requests in each second, by class
    served: dict[str, list[int]]
    in_time: int  # number of requests answered within their latency goal
    homes: dict[str, list[tuple[int, int]]]  # requests and served requests per second, by the sidecar's zone
    went: list[dict[str, int]]  # number of requests in each second that the nodes of each zone received
    crossed: list[int]  # number of requests in each second from a sidecar of another zone
    over: list[tuple[str, float, float]]  # periods of a node above its slots: node, start and end in seconds
    held: dict[str, float]  # highest ratio of held requests to slots, by node
    pushed: dict[str, float]  # result of `work_sent` for each cold node of the returned zone
    fallen: int  # number of nodes that crashed from too much work while cold
    run_twice: int  # number of non-idempotent requests that ran more than once
    lost: int  # number of non-idempotent requests that failed

    def service(self, begin: int, end: int, name: str | None = None) -> float:
        """Return the fraction of requests that were served in a range of seconds."""
        names = [name] if name else list(self.asked)
        asked = sum(sum(self.asked[each][begin:end]) for each in names)
        return sum(sum(self.served[each][begin:end]) for each in names) / max(asked, 1)

    def crossings(self, begin: int, end: int) -> float:
        """Return the fraction of the nodes' requests that came from another zone, in a range of seconds."""
        return sum(self.crossed[begin:end]) / max(sum(sum(each.values()) for each in self.went[begin:end]), 1)

    def share(self, zone: str, begin: int, end: int) -> float:
        """Return the fraction of all nodes' requests that a zone received, in a range of seconds."""
        there = self.went[begin:end]
        return sum(each.get(zone, 0) for each in there) / max(sum(sum(each.values()) for each in there), 1)

    def over_slots(self, begin: float, end: float, without: Sequence[str] = ()) -> float:
        """Return the longest time that a node held more requests than slots, in seconds.

        Nodes of the zones in `without` are ignored.
        """
        spans = [
            min(to, end) - max(since, begin)
            for name, since, to in self.over
            if not name.startswith(tuple(without) or "-") and since < end and to > begin
        ]
        return max(spans, default=0.0)


def work_sent(arrivals: Sequence[tuple[float, float, float]], window_s: float = FALL_S) -> float:
    """Return the highest ratio of the work received in a window to the node's capacity in that window.

    The ratio follows the checker's `cold` rule with a multiple of one, and with that rule's allowance for
    chance: one standard deviation of the number of requests that there is room for.

    Args:
        arrivals: The time, the work and the node's capacity at that time, for each request in order.
        window_s: The length of the window, in seconds.
    """
    first, total, most = 0, 0.0, 0.0
    for at, (when, work, capacity) in enumerate(arrivals):
        total += work
        while arrivals[first][0] <= when - window_s:
            total -= arrivals[first][1]
            first += 1
        available = capacity * window_s
        most = max(most, total / (available + math.sqrt(available * total / (at - first + 1))))
    return most


def compute_statistics(
    fleet: Fleet, sampler: QueueSampler, returns: tuple[str, float] | None = None
) -> DayStatistics:
    """Compute the statistics of a fleet that has run.

    Args:
        fleet: The fleet.
        sampler: The sampler that observed the fleet's queues.
        returns: The zone whose cold nodes are examined, and the time in seconds from which their work counts.
    """
    scenario = fleet.scenario
    seconds = math.ceil(scenario.world.length_s)
    zone_of = {slot.spec.id: slot.spec.zone for slot in fleet.node_instances}
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
    arrivals: dict[str, list[tuple[float, float, float]]] = defaultdict(list)
    for work in fleet.executions:
        at, zone = second(work.came_ns), zone_of[work.node]
        went[at][zone] += 1
        crossed[at] += home.get(work.request) != zone
        when = (work.came_ns - fleet.begins_ns) / SECOND
        if returns is not None and work.cold and zone == returns[0] and when >= returns[1]:
            arrivals[work.node].append((when, work.work_s, work.capacity))
    return DayStatistics(
        asked=asked, served=served, in_time=in_time, homes=homes, went=[dict(each) for each in went],
        crossed=crossed, over=[(name, *span) for name, spans in sampler.over.items() for span in spans],
        held=dict(sampler.held), pushed={name: work_sent(there) for name, there in arrivals.items()},
        fallen=sum(slot.fallen for slot in fleet.node_instances), run_twice=twice, lost=lost,
    )  # fmt: skip


def play(
    day: Day,
    seed: int,
    returns: tuple[str, float] | None = None,
    make: Callable[[Settings, int], Balancer] = balancer_for,
) -> DayStatistics:
    """Play the scenario of a day and a seed to its end and return its statistics."""
    scenario = scenario_of(day, seed)
    with empty_world(scenario) as world:
        fleet = Fleet(scenario, world)
        fleet.new_balancer = make
        sampler = QueueSampler(fleet)
        fleet.play()
        return compute_statistics(fleet, sampler, returns)
