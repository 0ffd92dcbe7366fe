"""Runs one cell of an experiment: in virtual time or on sockets, through sidecars or directly to nodes."""

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
from brambleusher.lab.collection import postpone_collection
from brambleusher.lab.experiments.direct import run_direct
from brambleusher.lab.experiments.figures import MAX_EVENTS, OutcomeCounter
from brambleusher.lab.experiments.noting import recording_node
from brambleusher.lab.experiments.plan import Cell
from brambleusher.lab.experiments.store import CellResult
from brambleusher.lab.fleets.fleet import SECOND, Fleet
from brambleusher.lab.fleets.scenario import Scenario
from brambleusher.lab.processes.real_fleet import RealFleet
from brambleusher.lab.stand_ins.node import Execution
from brambleusher.lab.stand_ins.settings import PlannedRequest
from brambleusher.lab.virtual.world import START_NS, WALL_NS, Tap
from brambleusher.load.fidelity import ReceivedRequest, compare_with_demand
from brambleusher.load.pacing import Pace
from brambleusher.load.player import Player, PlayOptions
from brambleusher.load.request import Request
from brambleusher.load.wording import target_of
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.system import Address

OVERTIME_S = 20.0  # time in seconds for open requests to finish after the end of the demand
LEAD_NS = 300_000_000  # delay in nanoseconds between the creation of the player and its first request
LOG_LINE = re.compile(r"time=(\S+) level=(warning|error|critical) part=(\S+) msg=(.*)")


# Creates a player that sends its requests to the given addresses.
PlayerFactory = Callable[[Scheduler, list[Address]], Player]


class DemandFleet(Fleet):
    """A fleet in virtual time whose requests come from a player.

    With `direct`, the player sends the requests to the nodes instead of the sidecars.
    """

    def __init__(
        self, scenario: Scenario, new_player: Callable[[Scheduler, list[Address]], Player], direct: bool
    ):
        super().__init__(scenario)
        self._new_player, self._direct = new_player, direct
        self.player: Player | None = None

    def _start_clients(self, scheduler: Scheduler) -> None:
        nodes = [node.address for node in self.node_instances if node.up]
        targets = nodes if self._direct else [sidecar.address for sidecar in self.sidecars]
        self.player = self._new_player(scheduler, targets)
        self.player.start(self.begins_ns)

    @property
    def is_play_finished(self) -> bool:
        """Return whether the player has finished all requests."""
        return self.player is not None and self.player.done


def run(cell: Cell) -> CellResult:
    """Run one cell and return its result."""
    requests = list(cell.requests())
    if not requests:
        raise ValueError("the demand has no requests")
    return (run_virtual if cell.where == "virtual" else run_on_sockets)(cell, requests)


def play_seconds(cell: Cell, requests: list[Request]) -> float:
    """Return the duration of the play in seconds."""
    return max(0.001, (requests[-1].at_ns - requests[0].at_ns) / SECOND / cell.speed)


def play_parameters(cell: Cell, requests: list[Request], targets: list[Address]) -> PlayOptions:
    """Return the parameters of the player for a cell."""
    pace = Pace(requests[0].at_ns, cell.speed)
    return PlayOptions(targets, pace, cell.timeout_ms, methods=cell.figures.methods, seed=cell.seed)


def run_virtual(cell: Cell, requests: list[Request]) -> CellResult:
    """Run a cell in virtual time; if `cell.check` is set, check every byte on the wire against the rules."""
    span_s, direct = play_seconds(cell, requests), cell.through == "nodes"
    world = cell.figures.world_spec(span_s + 0.001)
    if direct:
        world = msgspec.structs.replace(world, sidecars=())
    sample = PlannedRequest(id="sample", at_s=0.0, request_class=world.classes[0].name)
    scenario = Scenario(seed=cell.seed, world=world, asks=(sample,), faults=cell.figures.faults)
    counts, received = OutcomeCounter(world, cell.speed, span_s), list[ReceivedRequest]()

    def new_player(scheduler: Scheduler, targets: list[Address]) -> Player:
        return Player(scheduler, play_parameters(cell, requests, targets), requests, counts.add)

    # Garbage collections are made rare because each one scans the data of the whole run; the garbage is freed
    # when the process of the run exits.
    gc.set_threshold(100_000, 50, 1000)
    fleet = DemandFleet(scenario, new_player, direct)
    checker: Checker | None = None
    with fleet.world as virtual_world:
        if direct:
            fleet.new_node = partial(recording_node, received, lambda: fleet.begins_ns)
        elif cell.check:
            checker = Checker(Rules.from_settings(world.sidecar_settings(0)), fleet.executions)
            fleet.monitor = checker
            virtual_world.taps.append(cast(Tap, checker))
            step = checker.step
            virtual_world.step_hooks.append(lambda: step(virtual_world.now_ns))
        fleet.start()
        virtual_world.run(fleet.ends_ns)
        virtual_world.run(fleet.ends_ns + int(OVERTIME_S * SECOND), lambda: fleet.is_play_finished)
        if fleet.player is not None:
            fleet.player.scheduler.call_soon(fleet.player.close)
        shutdown_reports = fleet.quiesce()
        if checker is not None:
            checker.finish(virtual_world.now_ns, [text for end in shutdown_reports for text in end.leaks()])
        events = _collect_events(fleet, cell)
        documents: dict[str, object] = {}
        extra_metrics = {"was_late": float(counts.results.late)}
        if checker is not None:
            extra_metrics |= {
                "breaches": float(checker.breach_count),
                "virtual_s": virtual_world.elapsed_ns / SECOND,
            }
            documents["rules"] = _count_violations(checker)
            events += [
                ((each.at_ns - fleet.begins_ns) / SECOND, f"rule {each.rule} broken: {each.who}: {each.what}")
                for each in checker.breaches
            ]
        if direct:
            documents["fidelity"], deviations = _measure_fidelity(cell, requests, received)
            extra_metrics |= deviations
        return counts.result(fleet.executions, fleet.begins_ns, sorted(events), extra_metrics, documents)


def _count_violations(checker: Checker) -> dict[str, int]:
    """Return the number of violations of each rule, including rules without violations."""
    found = dict.fromkeys(RULES, 0)
    for breach in checker.breaches:
        found[breach.rule] += 1
    return found


def _measure_fidelity(
    cell: Cell, requests: list[Request], received: list[ReceivedRequest]
) -> tuple[dict[str, Any], dict[str, float]]:
    play = play_parameters(cell, requests, [])
    name_of = Player.name_of
    fidelity = compare_with_demand(
        requests, received, lambda number: name_of(play.seed, number), target_of, cell.speed
    )
    return fidelity.plain(), {
        "fidelity.rate_off": fidelity.rate_off, "fidelity.mix_off": fidelity.mix_off,
        "fidelity.exact": float(fidelity.exact),
    }  # fmt: skip


def _collect_events(fleet: DemandFleet, cell: Cell) -> list[tuple[float, str]]:
    """Return faults, announcements of the discovery service and sidecar warnings, in seconds of the play."""
    events = []
    for fault in cell.figures.faults:
        target = f" {fault.target}" if fault.target else ""
        events.append((fault.at_s, f"{fault.kind}{target} begins"))
        events.append((fault.at_s + fault.for_s, f"{fault.kind}{target} ends"))
    last_states: dict[str, str] = {}
    for announcement in fleet.discovery.sent_updates:
        for entry in announcement.entries:
            if last_states.get(entry.id, "Ready") != entry.state:
                at_s = (announcement.at_ns - fleet.begins_ns) / SECOND
                events.append((at_s, f"discovery tells: {entry.id} ({entry.zone}) is {entry.state}"))
            last_states[entry.id] = entry.state
    for sidecar in fleet.sidecars:
        for process in [*sidecar.ended, *([sidecar.process] if sidecar.process is not None else [])]:
            zero_ns = WALL_NS + fleet.begins_ns - START_NS
            events += _log_warnings(
                sidecar.spec.name, bytes(process.stderr).decode("utf-8", "replace"), zero_ns
            )
    return events[:MAX_EVENTS]


def _log_warnings(name: str, text: str, zero_ns: int) -> list[tuple[float, str]]:
    """Return warnings and errors of a sidecar's log, in seconds since `zero_ns` (Unix time in ns)."""
    found = []
    for stamp, level, component, message in LOG_LINE.findall(text):
        try:
            at_s = datetime.fromisoformat(stamp).timestamp() - zero_ns / SECOND
        except ValueError:
            continue
        found.append((at_s, f"{name} {level}: {component}: {message[:200]}"))
    return found


def run_on_sockets(cell: Cell, requests: list[Request]) -> CellResult:
    """Run a cell on loopback sockets: sidecars as processes; nodes, discovery and player in this process."""
    span_s = play_seconds(cell, requests)
    if cell.through == "nodes":
        counts, received, executions, start_ns = run_direct(
            cell, requests, play_parameters(cell, requests, []), span_s
        )
        document, deviations = _measure_fidelity(cell, requests, received)
        deviations["was_late"] = float(counts.results.late)
        return counts.result(executions, start_ns, (), deviations, {"fidelity": document})
    counts, executions = (
        OutcomeCounter(cell.figures.world_spec(span_s), cell.speed, span_s),
        list[Execution](),
    )
    scheduler = Scheduler(RealSystem())
    postpone_collection()
    with tempfile.TemporaryDirectory(prefix="brambleusher-lab-") as folder:
        fleet = RealFleet(scheduler, cell.figures, Path(folder), executions=executions, seed=cell.seed)
        try:
            fleet.start()
            fleet.wait_ready()
            player = Player(scheduler, play_parameters(cell, requests, fleet.targets), requests, counts.add)
            start_ns = scheduler.system.monotonic_ns() + LEAD_NS
            player.start(start_ns)
            until = start_ns / SECOND + span_s + OVERTIME_S
            scheduler.run(lambda: player.done or scheduler.now() > until)
            fleet.check()
            player.close()
            events: list[tuple[float, str]] = []
            zero_ns = scheduler.system.wall_ns() - scheduler.system.monotonic_ns() + start_ns
            for sidecar in fleet.sidecars:
                events += _log_warnings(sidecar.name, sidecar.log.read_text("utf-8", "replace"), zero_ns)
            events += [(span_s, f"node {name} fell") for name in fleet.fallen]
        finally:
            fleet.close()
            scheduler.close()
    return counts.result(executions, start_ns, sorted(events), {"was_late": float(counts.results.late)})
