"""Tests of the mutations of soaks: each can be applied and undone, and soaks run against them correctly."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from brambleusher.cli.group import run
from brambleusher.lab.faults.breakages import Patches
from brambleusher.lab.soak import mutation_runs
from brambleusher.lab.soak.mutation_runs import MutationResult, run_mutations
from brambleusher.lab.soak.mutations import MUTATIONS, UnknownMutationError, find_mutation
from brambleusher.lab.soak.processes import Processes
from brambleusher.lab.soak.records import SoakRecord
from brambleusher.lab.soak.run import SoakError, SoakResult
from brambleusher.lab.soak.settings import SoakSettings
from brambleusher.lab.soak.violations import Violation
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.scheduler import Scheduler

ROOT = Path(__file__).resolve().parents[2]
RULES = {
    *("wrong-answer", "incomplete", "run-twice", "refused-after-run", "lost", "departed", "conflict"),
    *("change-lost", "exit", "log", "recovery", "left-over", "bounds"),
    *("evacuated-zone-used", "draining-used", "route-missing"),
}


def test_there_are_planted_faults_for_every_rule() -> None:
    assert len(MUTATIONS) >= 20
    assert {rule for mutation in MUTATIONS.values() for rule in mutation.rules} == RULES


@pytest.mark.parametrize("name", MUTATIONS)
def test_each_can_be_put_in_and_taken_out(name: str) -> None:
    patches = Patches()
    find_mutation(name).apply_to(patches)
    patches.undo()


def test_an_unknown_one_is_named(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(UnknownMutationError, match="'nope'"):
        find_mutation("nope")
    assert run(["soak-mutations", "nope"]) == 2
    assert "mutation: 'nope'" in capsys.readouterr().err
    assert run(["soak", "--mutation", "nope"]) == 2
    assert "mutation: 'nope'" in capsys.readouterr().err
    assert run(["soak", "--departed", "soon"]) == 2
    assert "--departed" in capsys.readouterr().err


def test_processes_are_started_with_it(tmp_path: Path) -> None:
    scheduler = Scheduler(RealSystem())
    settings = SoakSettings(1, mutation="reload-ends")
    processes = Processes(scheduler, lambda: 0.0, SoakRecord(), settings, tmp_path)
    for process in processes.by_name.values():
        assert "brambleusher.lab.soak.mutated_process" in process.command
        assert "reload-ends" in process.command
    scheduler.close()


@pytest.mark.parametrize("program", ["system", "sidecar"])
def test_a_process_with_a_planted_fault_reads_its_settings_as_any_other(program: str) -> None:
    words = ["-m", "brambleusher.lab.soak.mutated_process", "run-again", program]
    words += ["gateway"] if program == "system" else []
    environment = {"PATH": "/usr/bin:/bin"}
    done = subprocess.run(
        [sys.executable, *words], cwd=ROOT, env=environment, capture_output=True, timeout=60, check=False
    )
    assert done.returncode == 2, done.stderr


def played(rules_by_seed: dict[int, str]) -> MutationResult:
    """Return the result of soaks that break these rules by seed; an empty rule raises `SoakError`."""

    def play(settings: SoakSettings) -> SoakResult:
        rule = rules_by_seed[settings.seed]
        if not rule:
            raise SoakError("not all gateways are ready")
        return SoakResult(settings, [Violation(rule, 1.0, "x")], SoakRecord(), 0, 0.0)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(mutation_runs, "play", play)
        return mutation_runs._run_one("run-again", tuple(rules_by_seed), 20.0, 1)


def test_a_fault_counts_as_found_by_a_rule_that_it_breaks() -> None:
    result = played({1: "log", 2: "run-twice", 3: "run-twice"})
    assert (result.is_found, result.seeds_played) == (True, 2)
    assert not played({1: "log", 2: "log"}).is_found
    assert "NOT FOUND" in played({1: "log"}).row()
    assert played({1: "log", 2: ""}).is_found


def test_unknown_names_are_refused_before_anything_is_played() -> None:
    with pytest.raises(UnknownMutationError):
        list(run_mutations(["nope"], [1], 20.0, 1))
