"""Runs one cell of an experiment: in virtual time or on sockets, through sidecars or straight to nodes."""

from __future__ import annotations

import gc
import re
import tempfile
from collections.abc import Callable
from datetime import datetime
from functools import partial
from pathlib import Path
from typing import Any, cast

import msgspec

from brambleusher.lab.checker.checker import Checker
from brambleusher.lab.checker.rules import RULES, Rules
from brambleusher.lab.collection import put_off
from brambleusher.lab.experiments.direct import run_direct
from brambleusher.lab.experiments.figures import MOST_EVENTS, Tally
from brambleusher.lab.experiments.noting import noting
from brambleusher.lab.experiments.plan import Cell
from brambleusher.lab.experiments.store import CellResult
from brambleusher.lab.fleets.fleet import SECOND, Fleet
from brambleusher.lab.fleets.scenario import Scenario
from brambleusher.lab.processes.real_fleet import RealFleet
from brambleusher.lab.stand_ins.node import Execution
from brambleusher.lab.stand_ins.settings import PlannedRequest
from brambleusher.lab.virtual.world import START_NS, WALL_NS, Tap
from brambleusher.load.fidelity import Heard, compared
from brambleusher.load.pacing import Pace
from brambleusher.load.player import Play, Player
from brambleusher.load.request import Request
from brambleusher.load.wording import target_of
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.system import Address

OVERTIME_S = 20.0  # that what is open at the end of the demand may take
LEAD_NS = 300_000_000
LOG_LINE = re.compile(r"time=(\S+) level=(warning|error|critical) part=(\S+) msg=(.*)")


NewPlayer = Callable[[Scheduler, list[Address]], Player]  # by what it asks


class DemandFleet(Fleet):
    """A fleet in virtual time whose clients are a player; `direct`: it asks the nodes themselves."""

    def __init__(
        self, scenario: Scenario, new_player: Callable[[Scheduler, list[Address]], Player], direct: bool
    ):
        super().__init__(scenario)
        self._new_player, self._direct = new_player, direct
        self.player: Player | None = None

    def _start_clients(self, scheduler: Scheduler) -> None:
        nodes = [place.address for place in self.node_instances if place.up]
        targets = nodes if self._direct else [sidecar.address for sidecar in self.sidecars]
        self.player = self._new_player(scheduler, targets)
        self.player.start(self.begins_ns)

    @property
    def played(self) -> bool:
        """Whether all that was to be sent is over."""
        return self.player is not None and self.player.done


def run(cell: Cell) -> CellResult:
    """One cell."""
    requests = list(cell.requests())
    if not requests:
        raise ValueError("the demand has no requests")
    return (virtual if cell.where == "virtual" else sockets)(cell, requests)


def span_of(cell: Cell, requests: list[Request]) -> float:
    """How long the play takes, in seconds."""
    return max(0.001, (requests[-1].at_ns - requests[0].at_ns) / SECOND / cell.speed)


def play_of(cell: Cell, requests: list[Request], targets: list[Address]) -> Play:
    """How the player is to play."""
    pace = Pace(requests[0].at_ns, cell.speed)
    return Play(targets, pace, cell.timeout_ms, methods=cell.figures.methods, seed=cell.seed)


def virtual(cell: Cell, requests: list[Request]) -> CellResult:
    """In virtual time, every byte on the wire held against the rules."""
    span_s, direct = span_of(cell, requests), cell.through == "nodes"
    world = cell.figures.world_spec(span_s + 0.001)
    if direct:
        world = msgspec.structs.replace(world, sidecars=())
    sample = PlannedRequest(id="sample", at_s=0.0, request_class=world.classes[0].name)
    scenario = Scenario(seed=cell.seed, world=world, asks=(sample,), faults=cell.figures.faults)
    tally, notes = Tally(world, cell.speed, span_s), list[Heard]()

    def new_player(scheduler: Scheduler, targets: list[Address]) -> Player:
        return Player(scheduler, play_of(cell, requests, targets), requests, tally.add)

    # What a run leaves behind goes with its process; collections in between would look at all of it.
    gc.set_threshold(100_000, 50, 1000)
    fleet = DemandFleet(scenario, new_player, direct)
    checker: Checker | None = None
    with fleet.world as space:
        if direct:
            fleet.new_node = partial(noting, notes, lambda: fleet.begins_ns)
        elif cell.check:
            checker = Checker(Rules.of(world.sidecar_settings(0)), fleet.executions)
            fleet.monitor = checker
            space.taps.append(cast(Tap, checker))
            step = checker.step
            space.step_done.append(lambda: step(space.now_ns))
        fleet.start()
        space.run(fleet.ends_ns)
        space.run(fleet.ends_ns + int(OVERTIME_S * SECOND), lambda: fleet.played)
        if fleet.player is not None:
            fleet.player.scheduler.call_soon(fleet.player.close)
        ends = fleet.quiesce()
        if checker is not None:
            checker.finish(space.now_ns, [text for end in ends for text in end.leaks()])
        events = _events(fleet, cell)
        documents: dict[str, object] = {}
        more = {"was_late": float(tally.results.late)}
        if checker is not None:
            more |= {"breaches": float(checker.count), "virtual_s": space.elapsed_ns / SECOND}
            documents["rules"] = _rules(checker)
            events += [
                ((each.at_ns - fleet.begins_ns) / SECOND, f"rule {each.rule} broken: {each.who}: {each.what}")
                for each in checker.breaches
            ]
        if direct:
            documents["fidelity"], off = _fidelity(cell, requests, notes)
            more |= off
        return tally.result(fleet.executions, fleet.begins_ns, sorted(events), more, documents)


def _rules(checker: Checker) -> dict[str, int]:
    """How often each rule was broken; those that were kept have 0."""
    found = dict.fromkeys(RULES, 0)
    for breach in checker.breaches:
        found[breach.rule] += 1
    return found


def _fidelity(
    cell: Cell, requests: list[Request], notes: list[Heard]
) -> tuple[dict[str, Any], dict[str, float]]:
    play = play_of(cell, requests, [])
    namer = Player.name_of
    fidelity = compared(requests, notes, lambda number: namer(play.seed, number), target_of, cell.speed)
    return fidelity.plain(), {
        "fidelity.rate_off": fidelity.rate_off, "fidelity.mix_off": fidelity.mix_off,
        "fidelity.exact": float(fidelity.exact),
    }  # fmt: skip


def _events(fleet: DemandFleet, cell: Cell) -> list[tuple[float, str]]:
    """What happened when: faults, what discovery told, what sidecars warned of.  Seconds of the play."""
    events = []
    for fault in cell.figures.faults:
        aimed = f" {fault.target}" if fault.target else ""
        events.append((fault.at_s, f"{fault.kind}{aimed} begins"))
        events.append((fault.at_s + fault.for_s, f"{fault.kind}{aimed} ends"))
    known: dict[str, str] = {}
    for telling in fleet.discovery.sent_updates:
        for entry in telling.entries:
            if known.get(entry.id, "Ready") != entry.state:
                at_s = (telling.at_ns - fleet.begins_ns) / SECOND
                events.append((at_s, f"discovery tells: {entry.id} ({entry.zone}) is {entry.state}"))
            known[entry.id] = entry.state
    for sidecar in fleet.sidecars:
        for process in [*sidecar.ended, *([sidecar.process] if sidecar.process is not None else [])]:
            zero_ns = WALL_NS + fleet.begins_ns - START_NS
            events += _warnings(sidecar.spec.name, bytes(process.stderr).decode("utf-8", "replace"), zero_ns)
    return events[:MOST_EVENTS]


def _warnings(name: str, text: str, zero_ns: int) -> list[tuple[float, str]]:
    """Warnings and worse of a sidecar's log, seconds after a moment of Unix time."""
    found = []
    for stamp, level, part, words in LOG_LINE.findall(text):
        try:
            at_s = datetime.fromisoformat(stamp).timestamp() - zero_ns / SECOND
        except ValueError:
            continue
        found.append((at_s, f"{name} {level}: {part}: {words[:200]}"))
    return found


def sockets(cell: Cell, requests: list[Request]) -> CellResult:
    """On loopback: sidecars are processes; nodes, discovery and the player are in this one."""
    span_s = span_of(cell, requests)
    if cell.through == "nodes":
        tally, heard, ran, began_ns = run_direct(cell, requests, play_of(cell, requests, []), span_s)
        document, off = _fidelity(cell, requests, heard)
        off["was_late"] = float(tally.results.late)
        return tally.result(ran, began_ns, (), off, {"fidelity": document})
    tally, executions = Tally(cell.figures.world_spec(span_s), cell.speed, span_s), list[Execution]()
    scheduler = Scheduler(RealSystem())
    put_off()
    with tempfile.TemporaryDirectory(prefix="brambleusher-lab-") as folder:
        fleet = RealFleet(scheduler, cell.figures, Path(folder), executions=executions, seed=cell.seed)
        try:
            fleet.start()
            fleet.wait_ready()
            player = Player(scheduler, play_of(cell, requests, fleet.targets), requests, tally.add)
            start_ns = scheduler.system.monotonic_ns() + LEAD_NS
            player.start(start_ns)
            until = start_ns / SECOND + span_s + OVERTIME_S
            scheduler.run(lambda: player.done or scheduler.now() > until)
            fleet.check()
            player.close()
            events: list[tuple[float, str]] = []
            zero_ns = scheduler.system.wall_ns() - scheduler.system.monotonic_ns() + start_ns
            for sidecar in fleet.sidecars:
                events += _warnings(sidecar.name, sidecar.log.read_text("utf-8", "replace"), zero_ns)
            events += [(span_s, f"node {name} fell") for name in fleet.fallen]
        finally:
            fleet.close()
            scheduler.close()
    return tally.result(executions, start_ns, sorted(events), {"was_late": float(tally.results.late)})
