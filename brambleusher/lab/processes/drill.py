"""Drills: a file describes a fleet, faults and expectations, to play on real processes or in virtual time.

With real processes, the process that plays the drill is called the test rig; it has the relays, the stand-ins
and the checker.
"""

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
from brambleusher.lab.checker.sums import Curve, FleetTotals, describe_exceeded
from brambleusher.lab.collection import postponed_collection
from brambleusher.lab.faults.kinds import AnyFault, check_faults
from brambleusher.lab.fleets.figures import Ranges, Sampler, WorldSpec, draw_world
from brambleusher.lab.fleets.fleet import BaseFleet, Fleet, empty_world
from brambleusher.lab.fleets.scenario import Scenario
from brambleusher.lab.fleets.worlds import merge_mappings
from brambleusher.lab.processes.breakages import apply_mutation
from brambleusher.lab.processes.fleet import PerSidecarAudience, RealFleet, raise_descriptor_limit
from brambleusher.lab.processes.stage import RealStage
from brambleusher.lab.processes.watch import UsageSampler
from brambleusher.lab.stand_ins.settings import PlannedRequest, Positive, Seconds, Settings, UnitFraction
from brambleusher.lab.virtual.explore import LoggedExceptions, fleet_limits, redirect_log
from brambleusher.lab.virtual.world import Tap

SECOND, MS = 10**9, 10**6
# A second counts as served well if at least this share of its requests was served.
SUCCESSFUL_FRACTION = 0.95
WINDOW_REQUESTS_MIN = 4  # seconds with fewer requests say too little and are not evaluated
DEFAULT_AFTER_S = 4.0  # the default time in seconds for which a drill continues after the last fault
# Limits in seconds of the 99th percentile of how late the timers and the relays of the test rig are.  The
# results of a test rig that is later say nothing about the program.
TIMER_LATENESS_MAX_S, RELAY_LATENESS_MAX_S = 0.03, 0.03
# The longest single stall of the test rig, in seconds.  A drill that fails with a longer stall counts as
# late, not as failed, because the rules allow responses to be late by no more than this.
STALL_MAX_S = 0.15
PLAYS_MAX = 3  # a drill whose test rig was late is played again, at most this many times in all
# Extra time in nanoseconds that the rules grant to real processes, for delays by relays and the machine.
SLACK_NS, SEEN_NS, DRAIN_NS = 150 * MS, 100 * MS, 60 * MS

Where = Literal["processes", "virtual"]


class DrillError(ValueError):
    """A drill file is invalid; the message names the key."""


class Expected(Settings, frozen=True):
    """Results that a drill must reach, in addition to breaking no rule."""

    served: UnitFraction = 0.0  # the least share of requests that must be served
    refused: UnitFraction = 1.0  # the largest share of tries that may be refused
    well_s: Seconds = 1e9  # the longest time after the last fault until every second is served well
    limits: bool = True  # whether fleet-wide totals and resources of processes must stay within their limits


class Drill(Settings, frozen=True):
    """The contents of a drill file."""

    note: str = ""
    seed: int = 1
    sidecars: Annotated[int, msgspec.Meta(ge=1, le=200)] = 12
    nodes: Annotated[int, msgspec.Meta(ge=1, le=200)] = 12
    requests_per_s: Positive = 60.0
    load: Positive = 0.45  # the share of the nodes' capacity that requests use
    length_s: Seconds = 0.0  # the least length; a drill always lasts until `after_s` after its last fault
    after_s: Seconds = DEFAULT_AFTER_S
    needs: Literal["both", "processes", "virtual"] = "both"
    world: dict[str, Any] = {}  # overrides of the drawn world's values  # noqa: RUF012
    faults: tuple[AnyFault, ...] = ()
    expect: Expected = Expected()

    @property
    def last_fault_end_s(self) -> float:
        """The time in seconds at which the last fault ends, at least 0.5."""
        return max([0.5, *(fault.end_s for fault in self.faults)])


def read_drill(path: Path) -> Drill:
    """Read and validate a drill file; raises `DrillError`."""
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
    """Draw the scenario from the drill's seed; nodes are named e0, e1, ... and sidecars n0, n1, ..."""
    last_end_s = drill.last_fault_end_s
    ranges = msgspec.structs.replace(
        Ranges(), nodes=(drill.nodes, drill.nodes), spares=(0, 0), sidecars=(drill.sidecars, drill.sidecars),
        requests_per_s=(drill.requests_per_s, drill.requests_per_s), load=(drill.load, drill.load),
        faults_s=(last_end_s, last_end_s), after_s=(drill.after_s, drill.after_s),
        connections=(120.0, 400.0), sockets=(160, 256),
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
    work_factor = work / (drill.requests_per_s * world.mean_work_s)
    classes = tuple(msgspec.structs.replace(each, work_s=each.work_s * work_factor) for each in world.classes)
    world = msgspec.structs.replace(
        world, nodes=nodes, sidecars=sidecars, classes=classes, opens_s=0.0, crowd=0.0, faults_s=last_end_s,
        length_s=max(drill.length_s, last_end_s + drill.after_s),
    )  # fmt: skip
    if drill.world:
        world = msgspec.convert(merge_mappings(msgspec.to_builtins(world), drill.world), WorldSpec)
    check_faults(drill.faults, world)
    only = [fault.kind for fault in drill.faults if fault.worlds == "processes"]
    if only and drill.needs != "processes":
        raise ValueError(f"needs: must be 'processes', since the fault {only[0]} needs real processes")
    return Scenario(
        seed=drill.seed, profile="drill", world=world, asks=_draw_asks(drill.seed, world),
        faults=drill.faults, note=drill.note,
    )  # fmt: skip


def _draw_asks(seed: int, world: WorldSpec) -> tuple[PlannedRequest, ...]:
    """Draw Poisson arrivals, each at a sidecar chosen at random."""
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


# --- playing a drill ------------------------------------------------------------------------------


@dataclass(slots=True)
class Outcome:
    """The results and measurements of one play of a drill."""

    where: Where
    asked: int = 0
    served: float = 0.0  # the share of requests that were served
    refused: float = 0.0  # the share of tries that were refused
    attempts: float = 0.0  # the mean number of attempts at nodes for each try that a sidecar accepted
    well_s: float = 0.0  # the time in seconds after the last fault until every second was served well
    windows: list[tuple[int, int]] = field(default_factory=list)  # requests asked and served in each second
    breaches: list[Breach] = field(default_factory=list)
    missed: list[str] = field(default_factory=list)  # descriptions of expectations that were not met
    lost: list[str] = field(default_factory=list)  # descriptions of requests that were not served
    broken: int = 0  # the number of breaches, including those that are not kept in `breaches`
    late: list[str] = field(default_factory=list)  # reasons why the test rig was too late for a verdict
    relay_p99_ms: float = 0.0
    beat_p99_ms: float = 0.0  # 99th percentile of the lateness of the test rig's timers, in milliseconds
    once_late_ms: float = 0.0  # the greatest lateness of the test rig's timers, in milliseconds
    rig_cpu_s: float = 0.0
    sidecar_cpu_s: float = 0.0  # the processor time of all sidecars together
    sidecar_mb: float = 0.0  # the peak resident memory of the largest sidecar
    opened: int = 0  # the number of connections that were opened
    wall_s: float = 0.0
    begins_s: float = 0.0  # the time from the start of the curves to the earliest possible request
    curves: tuple[Curve, ...] = ()  # fleet-wide totals and the resources of processes in each second

    @property
    def verdict(self) -> str:
        """The verdict in one word: "LATE", "FAILED" or "ok"."""
        if self.late:
            return "LATE"
        return "FAILED" if self.breaches or self.missed else "ok"


def play(drill: Drill, where: Where, folder: Path | None = None, mutation: str = "") -> Outcome:
    """Play a drill, repeatedly while the test rig is late; a drill with a late test rig never passes."""
    if where == "virtual":
        return _play_virtual(drill, mutation)
    for _ in range(PLAYS_MAX):
        if folder is None:
            with tempfile.TemporaryDirectory(prefix="brambleusher-drill-") as temporary:
                outcome = _play_processes(drill, Path(temporary), mutation)
        else:
            folder.mkdir(parents=True, exist_ok=True)
            outcome = _play_processes(drill, folder, mutation)
        if not outcome.late:
            break
    return outcome


def _play_virtual(drill: Drill, mutation: str) -> Outcome:
    scenario, outcome = scenario_of(drill), Outcome("virtual")
    with empty_world(scenario) as world, apply_mutation(mutation) if mutation else nullcontext():
        rules = Rules.from_settings(scenario.world.sidecar_settings(0))
        fleet = Fleet(scenario, world)
        checker = Checker(rules, fleet.executions)
        fleet.monitor = checker
        raised = LoggedExceptions(world)
        sums = FleetTotals(world.now_ns, fleet_limits(scenario, rules))
        world.taps += [cast(Tap, checker), cast(Tap, sums)]
        world.step_hooks.append(lambda: checker.step(world.now_ns))
        begun = world.now_ns
        with redirect_log([raised]):
            ends = fleet.play()
        checker.finish(world.now_ns, [text for end in ends for text in end.leaks()])
        sums.finish(fleet.executions)
        outcome.curves, outcome.begins_s = sums.curves, (fleet.begins_ns - begun) / SECOND
        _evaluate(drill, fleet, checker, outcome)
        outcome.breaches += raised.breaches
    return outcome


def _play_processes(drill: Drill, folder: Path, mutation: str) -> Outcome:
    raise_descriptor_limit()
    scenario, outcome = scenario_of(drill), Outcome("processes")
    settings = scenario.world.sidecar_settings(0)
    own = Rules.from_settings(settings)
    rules = Rules.from_settings(
        settings, slack_ns=SLACK_NS, unnoticed_bytes_ns=SEEN_NS, drain_ns=own.drain_ns + DRAIN_NS
    )
    stage = RealStage(drill.seed, folder)
    fleet: RealFleet | None = None
    try:
        fleet = RealFleet(scenario, stage, mutation=mutation)
        checker = Checker(rules, fleet.executions)
        fleet.monitor = cast(Any, PerSidecarAudience(fleet, checker))
        sums, usage, created_ns = (
            FleetTotals(stage.now_ns, fleet_limits(scenario, rules)),
            UsageSampler(fleet),
            stage.now_ns,
        )
        stage.taps += [checker, sums]
        stage.step_hooks.append(lambda: checker.step(stage.now_ns))
        fleet.start()
        with postponed_collection():
            begun = stage.begin_measure()
            stage.run(fleet.ends_ns)
            stage.end_measure(begun)
        ends = fleet.quiesce()
        checker.finish(stage.now_ns, [text for end in ends for text in end.leaks()])
        sums.finish(fleet.executions)
        outcome.curves = (*sums.curves, *usage.curves)
        outcome.begins_s = (fleet.begins_ns - created_ns) / SECOND
        _evaluate(drill, fleet, checker, outcome)
        _record_measurements(stage, fleet, outcome)
    finally:
        if fleet is not None:
            fleet.close()
        stage.close()
    return outcome


def _record_measurements(stage: RealStage, fleet: RealFleet, outcome: Outcome) -> None:
    outcome.beat_p99_ms = _p99(stage.timer_lateness_s) * 1000
    outcome.once_late_ms = max(stage.timer_lateness_s, default=0.0) * 1000
    outcome.relay_p99_ms = max(_p99(stage.system.epoll.rounds), _p99(stage.network.late)) * 1000
    outcome.rig_cpu_s, outcome.wall_s = stage.cpu_s, stage.measured_s
    outcome.opened = stage.network.count
    for instance in fleet.process_instances:
        for process in instance.all_processes:
            process.record_usage()
            outcome.sidecar_cpu_s += process.cpu_s
            outcome.sidecar_mb = max(outcome.sidecar_mb, process.rss_kb / 1024)
    if outcome.beat_p99_ms > TIMER_LATENESS_MAX_S * 1000:
        outcome.late.append(f"the rig's timers were {outcome.beat_p99_ms:.0f} ms late (p99)")
    # A stall makes the test rig observe events later, never earlier, so a drill may pass in spite of it.
    if outcome.once_late_ms > STALL_MAX_S * 1000 and (outcome.breaches or outcome.missed):
        outcome.late.append(f"the rig stalled for {outcome.once_late_ms:.0f} ms")
    if outcome.relay_p99_ms > RELAY_LATENESS_MAX_S * 1000:
        outcome.late.append(f"the rig's relays were {outcome.relay_p99_ms:.0f} ms late (p99)")


def _p99(values: list[float]) -> float:
    return sorted(values)[int(0.99 * (len(values) - 1))] if values else 0.0


def _evaluate(drill: Drill, fleet: BaseFleet, checker: Checker, outcome: Outcome) -> None:
    asked = [each for each in fleet.asked if each.tries]
    tries = [each for one in asked for each in one.tries]
    outcome.asked = len(asked)
    outcome.served = sum(each.served for each in asked) / max(1, len(asked))
    refused = sum(each.end == "answered" and each.status in (429, 503) for each in tries)
    outcome.refused = refused / max(1, len(tries))
    outcome.attempts = checker.attempts / max(1, checker.requests_received)
    outcome.breaches, outcome.broken = list(checker.breaches), checker.breach_count
    seconds = math.ceil(fleet.scenario.world.length_s)
    windows = [[0, 0] for _ in range(seconds)]
    for each in asked:
        window = windows[min(seconds - 1, max(0, (each.due_ns - fleet.begins_ns) // SECOND))]
        window[0] += 1
        window[1] += each.served
    outcome.windows = [(window[0], window[1]) for window in windows]
    outcome.well_s = _recovery_time_s(outcome.windows, drill.last_fault_end_s)
    outcome.lost = [
        f"{each.ask.id} at {(each.due_ns - fleet.begins_ns) / SECOND:.3f} s, n{each.ask.sidecar}, "
        f"{each.ask.request_class}, waits {each.ask.wait_s:g} s: "
        + ", ".join(f"{one.end} {one.status or ''}".strip() for one in each.tries)
        for each in asked
        if not each.served
    ]
    expect = drill.expect
    if outcome.served < expect.served:
        outcome.missed.append(f"served {outcome.served:.3f} of requests, at least {expect.served:g} expected")
    if outcome.refused > expect.refused:
        outcome.missed.append(f"refused {outcome.refused:.3f} of tries, at most {expect.refused:g} expected")
    if outcome.well_s > expect.well_s:
        outcome.missed.append(
            f"every second served well {outcome.well_s:g} s after the last fault, "
            f"at most {expect.well_s:g} s expected"
        )
    if expect.limits:
        outcome.missed += [f"limit passed: {text}" for text in describe_exceeded(outcome.curves)]


def _recovery_time_s(windows: Iterable[tuple[int, int]], last_fault_end_s: float) -> float:
    """Return the seconds from the last fault's end to the end of the last second that was not served well."""
    bad = [
        number + 1
        for number, (asked, served) in enumerate(windows)
        if asked >= WINDOW_REQUESTS_MIN and served < SUCCESSFUL_FRACTION * asked - 1e-9 and asked - served > 1
    ]
    return max(0.0, max(bad, default=0) - last_fault_end_s)
