"""Drills: a small file says a fleet, what goes wrong and what is expected; both worlds can play it."""

from __future__ import annotations

import math
import tempfile
from collections.abc import Iterable
from contextlib import nullcontext
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any, Literal, cast

import msgspec
import yaml

from brambleusher.lab.checker import Breach, Checker, Rules
from brambleusher.lab.checker.sums import Curve, Sums, passed
from brambleusher.lab.collection import uncollected
from brambleusher.lab.faults.kinds import AnyFault, check_faults
from brambleusher.lab.fleets.figures import Ranges, Sampler, WorldSpec, draw_world
from brambleusher.lab.fleets.fleet import BaseFleet, Fleet, empty_world
from brambleusher.lab.fleets.scenario import Scenario
from brambleusher.lab.fleets.worlds import merge_mappings
from brambleusher.lab.processes.breakages import on
from brambleusher.lab.processes.fleet import PairAudience, RealFleet, raise_limit
from brambleusher.lab.processes.stage import RealStage
from brambleusher.lab.processes.watch import Watch
from brambleusher.lab.stand_ins.settings import PlannedRequest, Positive, Seconds, Settings, UnitFraction
from brambleusher.lab.virtual.explore import Raised, fleet_limits, listening
from brambleusher.lab.virtual.world import Tap

SECOND, MS = 10**9, 10**6
WELL = 0.95  # of what is asked in a second: it has been served well
LEAST = 4  # requests in a second that say anything
AFTER_S = 4.0  # that a drill goes on after the last fault, unless it says otherwise
BEAT_LATE_S, ROUND_LATE_S = 0.03, 0.03  # p99: a rig that is later says nothing about the program
ONCE_LATE_S = 0.15  # one that stood still for so long once has no failure to tell: answers have no more slack
PLAYS = 3  # so often a drill is played at most until its rig was in time
# What real processes are given beside the rules' own figures: the relays' and the machine's part.
SLACK_NS, SEEN_NS, DRAIN_NS = 150 * MS, 100 * MS, 60 * MS

Where = Literal["processes", "virtual"]


class DrillError(ValueError):
    """A drill that can't be used; the message names the key."""


class Expected(Settings, frozen=True):
    """What a drill must come to beside no rule broken."""

    served: UnitFraction = 0.0  # of all that was asked, at least
    refused: UnitFraction = 1.0  # of all tries, at most
    well_s: Seconds = 1e9  # after the last fault, by when every second is served well
    limits: bool = True  # no sum over the fleet passes its limit, nor does what a process takes


class Drill(Settings, frozen=True):
    """A drill as its file has it."""

    note: str = ""
    seed: int = 1
    sidecars: Annotated[int, msgspec.Meta(ge=1, le=200)] = 12
    nodes: Annotated[int, msgspec.Meta(ge=1, le=200)] = 12
    requests_per_s: Positive = 60.0
    load: Positive = 0.45  # of the nodes' capacity
    length_s: Seconds = 0.0  # at least; it goes on some time after the last fault anyhow
    after_s: Seconds = AFTER_S
    needs: Literal["both", "processes", "virtual"] = "both"
    world: dict[str, Any] = {}  # laid over the world's figures  # noqa: RUF012
    faults: tuple[AnyFault, ...] = ()
    expect: Expected = Expected()

    @property
    def over_s(self) -> float:
        """When the last fault ends."""
        return max([0.5, *(fault.end_s for fault in self.faults)])


def read_drill(path: Path) -> Drill:
    """A drill file; raises `DrillError`."""
    try:
        raw = yaml.safe_load(path.read_bytes())
        drill = msgspec.convert(raw, Drill)
        scenario_of(drill)
    except OSError as error:
        raise DrillError(f"{path}: {error.strerror}") from None
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        raise DrillError(f"{path}: not YAML: {' '.join(str(error).split())}") from None
    except (msgspec.ValidationError, ValueError) as error:
        raise DrillError(f"{path}: {error}") from None
    return drill


def scenario_of(drill: Drill) -> Scenario:
    """The whole scenario, drawn from the drill's seed: nodes are e0, e1 ..., sidecars n0, n1 ..."""
    faults_s = drill.over_s
    ranges = msgspec.structs.replace(
        Ranges(), nodes=(drill.nodes, drill.nodes), spares=(0, 0), sidecars=(drill.sidecars, drill.sidecars),
        requests_per_s=(drill.requests_per_s, drill.requests_per_s), load=(drill.load, drill.load),
        faults_s=(faults_s, faults_s), after_s=(drill.after_s, drill.after_s), connections=(120.0, 400.0),
        sockets=(160, 256),
    )  # fmt: skip
    world = draw_world(drill.seed, ranges)
    zones = world.zones
    nodes = tuple(
        msgspec.structs.replace(node, id=f"e{number}", zone=zones[number % len(zones)])
        for number, node in enumerate(world.nodes)
    )
    sidecars = tuple(
        msgspec.structs.replace(each, zone=zones[number % len(zones)], known="fresh")
        for number, each in enumerate(world.sidecars)
    )
    work = drill.load * sum(node.settings.cores * node.settings.speed for node in nodes)
    stretch = work / (drill.requests_per_s * world.mean_work_s)
    classes = tuple(msgspec.structs.replace(each, work_s=each.work_s * stretch) for each in world.classes)
    world = msgspec.structs.replace(
        world, nodes=nodes, sidecars=sidecars, classes=classes, opens_s=0.0, crowd=0.0, faults_s=faults_s,
        length_s=max(drill.length_s, faults_s + drill.after_s),
    )  # fmt: skip
    if drill.world:
        world = msgspec.convert(merge_mappings(msgspec.to_builtins(world), drill.world), WorldSpec)
    check_faults(drill.faults, world)
    only = [fault.kind for fault in drill.faults if fault.worlds == "processes"]
    if only and drill.needs != "processes":
        raise ValueError(f"needs: {only[0]} is there for processes alone")
    return Scenario(
        seed=drill.seed, profile="drill", world=world, asks=_asks(drill.seed, world), faults=drill.faults,
        note=drill.note,
    )  # fmt: skip


def _asks(seed: int, world: WorldSpec) -> tuple[PlannedRequest, ...]:
    """Arrivals at random, evenly over the sidecars."""
    rng = Sampler(seed, "drill asks").rng
    asks, at = [], 0.0
    while (at := at + rng.expovariate(world.requests_per_s)) < world.length_s - 0.05:
        of = rng.choices(world.classes, [each.share for each in world.classes])[0]
        tenant = rng.choices(world.tenants, [each.share for each in world.tenants])[0].name
        work = of.draw_work(rng)
        asks.append(
            PlannedRequest(
                id=f"{rng.getrandbits(64):016x}", at_s=round(at, 5), request_class=of.name, unsafe=of.unsafe,
                tenant=tenant if world.tenants else "", wait_s=of.deadline_s, work_s=round(work, 5),
                hint_s=round(work * math.exp(rng.gauss(0, 0.4)), 5), body_bytes=200 if of.unsafe else 0,
                sidecar=rng.randrange(len(world.sidecars)),
            )
        )  # fmt: skip
    return tuple(asks)


# --- a play ---------------------------------------------------------------------------------------


@dataclass(slots=True)
class Outcome:
    """What one play came to."""

    where: Where
    asked: int = 0
    served: float = 0.0  # of what was asked
    refused: float = 0.0  # of tries
    attempts: float = 0.0  # a try that sidecars took
    well_s: float = 0.0  # after the last fault, until every second was served well
    windows: list[tuple[int, int]] = field(default_factory=list)  # asked and served, second by second
    breaches: list[Breach] = field(default_factory=list)
    missed: list[str] = field(default_factory=list)  # of what is expected
    lost: list[str] = field(default_factory=list)  # what was asked and not served, in words
    broken: int = 0
    late: list[str] = field(default_factory=list)  # why the rig says nothing
    relay_p99_ms: float = 0.0
    beat_p99_ms: float = 0.0
    once_late_ms: float = 0.0  # the rig's timers, at worst
    rig_cpu_s: float = 0.0
    sidecar_cpu_s: float = 0.0  # of all
    sidecar_mb: float = 0.0  # the largest
    opened: int = 0  # connections in all
    wall_s: float = 0.0
    begins_s: float = 0.0  # from the start of the curves to the first request that may come
    curves: tuple[Curve, ...] = ()  # sums over the fleet, and what processes take, second by second

    @property
    def verdict(self) -> str:
        """In a word."""
        if self.late:
            return "LATE"
        return "FAILED" if self.breaches or self.missed else "ok"


def play(drill: Drill, where: Where, folder: Path | None = None, breakage: str = "") -> Outcome:
    """Play a drill; one whose rig was late is played again, and never passed."""
    if where == "virtual":
        return _virtual(drill, breakage)
    for _ in range(PLAYS):
        if folder is None:
            with tempfile.TemporaryDirectory(prefix="brambleusher-drill-") as kept:
                outcome = _processes(drill, Path(kept), breakage)
        else:
            folder.mkdir(parents=True, exist_ok=True)
            outcome = _processes(drill, folder, breakage)
        if not outcome.late:
            break
    return outcome


def _virtual(drill: Drill, breakage: str) -> Outcome:
    scenario, outcome = scenario_of(drill), Outcome("virtual")
    with empty_world(scenario) as world, on(breakage) if breakage else nullcontext():
        rules = Rules.of(scenario.world.sidecar_settings(0))
        fleet = Fleet(scenario, world)
        checker = Checker(rules, fleet.executions)
        fleet.monitor = checker
        raised = Raised(world)
        sums = Sums(world.now_ns, fleet_limits(scenario, rules))
        world.taps += [cast(Tap, checker), cast(Tap, sums)]
        world.step_done.append(lambda: checker.step(world.now_ns))
        begun = world.now_ns
        with listening([raised]):
            ends = fleet.play()
        checker.finish(world.now_ns, [text for end in ends for text in end.leaks()])
        sums.finish(fleet.executions)
        outcome.curves, outcome.begins_s = sums.curves, (fleet.begins_ns - begun) / SECOND
        _judge(drill, fleet, checker, outcome)
        outcome.breaches += raised.breaches
    return outcome


def _processes(drill: Drill, folder: Path, breakage: str) -> Outcome:
    raise_limit()
    scenario, outcome = scenario_of(drill), Outcome("processes")
    settings = scenario.world.sidecar_settings(0)
    own = Rules.of(settings)
    rules = Rules.of(settings, slack_ns=SLACK_NS, seen_ns=SEEN_NS, drain_ns=own.drain_ns + DRAIN_NS)
    stage = RealStage(drill.seed, folder)
    fleet: RealFleet | None = None
    try:
        fleet = RealFleet(scenario, stage, breakage=breakage)
        checker = Checker(rules, fleet.executions)
        fleet.monitor = cast(Any, PairAudience(fleet, checker))
        sums, watch, made = Sums(stage.now_ns, fleet_limits(scenario, rules)), Watch(fleet), stage.now_ns
        stage.taps += [checker, sums]
        stage.step_done.append(lambda: checker.step(stage.now_ns))
        fleet.start()
        with uncollected():
            begun = stage.begin_measure()
            stage.run(fleet.ends_ns)
            stage.end_measure(begun)
        ends = fleet.quiesce()
        checker.finish(stage.now_ns, [text for end in ends for text in end.leaks()])
        sums.finish(fleet.executions)
        outcome.curves = (*sums.curves, *watch.curves)
        outcome.begins_s = (fleet.begins_ns - made) / SECOND
        _judge(drill, fleet, checker, outcome)
        _measure(stage, fleet, outcome)
    finally:
        if fleet is not None:
            fleet.close()
        stage.close()
    return outcome


def _measure(stage: RealStage, fleet: RealFleet, outcome: Outcome) -> None:
    outcome.beat_p99_ms = _p99(stage.beats_late) * 1000
    outcome.once_late_ms = max(stage.beats_late, default=0.0) * 1000
    outcome.relay_p99_ms = max(_p99(stage.system.epoll.rounds), _p99(stage.network.late)) * 1000
    outcome.rig_cpu_s, outcome.wall_s = stage.cpu_s, stage.measured_s
    outcome.opened = stage.network.count
    for place in fleet.real_places:
        for process in place.lives:
            process.look()
            outcome.sidecar_cpu_s += process.cpu_s
            outcome.sidecar_mb = max(outcome.sidecar_mb, process.rss_kb / 1024)
    if outcome.beat_p99_ms > BEAT_LATE_S * 1000:
        outcome.late.append(f"the rig's timers were {outcome.beat_p99_ms:.0f} ms late (p99)")
    # A moment's standstill makes what a rig sees later, never earlier: what passes in spite of it has passed.
    if outcome.once_late_ms > ONCE_LATE_S * 1000 and (outcome.breaches or outcome.missed):
        outcome.late.append(f"the rig stood still for {outcome.once_late_ms:.0f} ms")
    if outcome.relay_p99_ms > ROUND_LATE_S * 1000:
        outcome.late.append(f"its relays were {outcome.relay_p99_ms:.0f} ms late (p99)")


def _p99(values: list[float]) -> float:
    return sorted(values)[int(0.99 * (len(values) - 1))] if values else 0.0


def _judge(drill: Drill, fleet: BaseFleet, checker: Checker, outcome: Outcome) -> None:
    asked = [each for each in fleet.asked if each.tries]
    tries = [each for one in asked for each in one.tries]
    outcome.asked = len(asked)
    outcome.served = sum(each.served for each in asked) / max(1, len(asked))
    refused = sum(each.end == "answered" and each.status in (429, 503) for each in tries)
    outcome.refused = refused / max(1, len(tries))
    outcome.attempts = checker.attempts / max(1, checker.taken)
    outcome.breaches, outcome.broken = list(checker.breaches), checker.count
    seconds = math.ceil(fleet.scenario.world.length_s)
    windows = [[0, 0] for _ in range(seconds)]
    for each in asked:
        window = windows[min(seconds - 1, max(0, (each.due_ns - fleet.begins_ns) // SECOND))]
        window[0] += 1
        window[1] += each.served
    outcome.windows = [(window[0], window[1]) for window in windows]
    outcome.well_s = _well_after(outcome.windows, drill.over_s)
    outcome.lost = [
        f"{each.ask.id} at {(each.due_ns - fleet.begins_ns) / SECOND:.3f} s, n{each.ask.sidecar}, "
        f"{each.ask.request_class}, waits {each.ask.wait_s:g} s: "
        + ", ".join(f"{one.end} {one.status or ''}".strip() for one in each.tries)
        for each in asked
        if not each.served
    ]
    expect = drill.expect
    if outcome.served < expect.served:
        outcome.missed.append(f"served {outcome.served:.3f} of what was asked, {expect.served:g} expected")
    if outcome.refused > expect.refused:
        outcome.missed.append(f"refused {outcome.refused:.3f} of tries, at most {expect.refused:g} expected")
    if outcome.well_s > expect.well_s:
        outcome.missed.append(f"well {outcome.well_s:g} s after the last fault, {expect.well_s:g} s expected")
    if expect.limits:
        outcome.missed += [f"limit passed: {text}" for text in passed(outcome.curves)]


def _well_after(windows: Iterable[tuple[int, int]], over_s: float) -> float:
    """Seconds from the last fault's end to the end of the last second that was not served well."""
    bad = [
        number + 1
        for number, (asked, served) in enumerate(windows)
        if asked >= LEAST and served < WELL * asked - 1e-9 and asked - served > 1
    ]
    return max(0.0, max(bad, default=0) - over_s)
