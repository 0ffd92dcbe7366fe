"""Tests of the explorer: reproducible runs, its command line, and scenarios that once broke a rule."""

from __future__ import annotations

import contextlib
import os
import re
import signal
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from brambleusher.cli import run_command
from brambleusher.cli.explore import RunTotals, play_chunk, play_seeds
from brambleusher.lab.faults.kinds import MIN_KINDS, SidecarKilled
from brambleusher.lab.fleets.figures import MIN_REQUESTS
from brambleusher.lab.fleets.fleet import Fleet
from brambleusher.lab.fleets.scenario import draw_scenario, read_scenario
from brambleusher.lab.virtual.explore import play
from brambleusher.lab.virtual.world import VirtualSystem

ROOT = Path(__file__).parents[2]
SCENARIOS = sorted((ROOT / "tests" / "scenarios").glob("*.yaml"))
BLOCK_COUNT = 6  # number of blocks of seeds that CI plays, one test each, to spread them over its processes
SEEDS_PER_BLOCK = 50  # number of seeds in each block
MAX_SLOW_SEEDS = 3  # most seeds of a block in which service may recover too late: docs/ROADMAP.md, "recovery"
DIGEST = re.compile(r"^digest ([0-9a-f]{32})$")


def command(*words: str, hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    """Run `brambleusher explore` in a separate process."""
    return subprocess.run(
        [sys.executable, "-m", "brambleusher", "explore", *words],
        cwd=ROOT, env={**os.environ, "PYTHONHASHSEED": hash_seed}, capture_output=True, text=True,
        timeout=240, check=False,
    )  # fmt: skip


@pytest.mark.parametrize("block", range(BLOCK_COUNT))
def test_seeds_break_no_rule(block: int) -> None:
    """All rules hold, but `MAX_SLOW_SEEDS` seeds at most may break "recovery", see docs/ROADMAP.md."""
    first = 1000 + block * SEEDS_PER_BLOCK
    broken: list[str] = []
    slow_recoveries: list[str] = []
    for result in play_chunk((range(first, first + SEEDS_PER_BLOCK), "default", None)):
        assert result.asked >= MIN_REQUESTS and result.virtual_s >= 5 and len(result.faults) >= MIN_KINDS
        for breach in result.breaches[:1]:
            description = f"brambleusher explore --replay {result.seed}: {breach}"
            (slow_recoveries if breach.rule == "recovery" else broken).append(description)
    assert not broken, "\n".join(broken)
    assert len(slow_recoveries) <= MAX_SLOW_SEEDS, "\n".join(slow_recoveries)


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_what_was_found_once_stays_mended(path: Path) -> None:
    result = play(read_scenario(path.read_bytes()))
    assert not result.breaches, "\n".join(str(breach) for breach in result.breaches)
    assert result.asked and result.requests_received


def test_a_seed_is_the_same_run_in_any_process_and_under_any_hash_seed() -> None:
    here = play(draw_scenario(7)).digest
    for hash_seed in ("1", "4242"):
        done = command("--replay", "7", hash_seed=hash_seed)
        found = DIGEST.match(done.stdout.splitlines()[-1])
        assert found, done.stdout[-500:] + done.stderr
        assert found[1] == here


def test_the_number_of_jobs_changes_nothing() -> None:
    seeds = range(20, 44)
    one, three = ([result.digest for result in play_seeds(seeds, "default", None, jobs)] for jobs in (1, 3))
    assert one == three
    assert len(set(one)) == len(seeds)


def test_a_summary_tells_what_was_asked_apart_from_what_arrived() -> None:
    """Requests to a sidecar that is down count as asked, although no sidecar receives them."""
    scenario = draw_scenario(7)
    whole = play(scenario)
    assert whole.asked == len(scenario.asks) and whole.requests_received > 0
    down = msgspec.structs.replace(
        scenario,
        faults=tuple(
            SidecarKilled(at_s=0.02, for_s=scenario.world.faults_s, target=sidecar.name)
            for sidecar in scenario.world.sidecars
        ),
    )
    less = play(down)
    assert less.asked == len(scenario.asks) and less.requests_received < whole.requests_received
    totals = RunTotals()
    for result in (whole, less):
        totals.add(result)
    said = "\n".join(totals.describe("default", 1.0, 1))
    assert f"{2 * len(scenario.asks)} requests asked" in said and f"{len(scenario.asks)} at least" in said
    assert (
        f"{whole.requests_received + less.requests_received} tries taken by sidecars "
        f"({less.requests_received} at least)" in said
    )


def test_the_time_line_tells_who_sent_what_to_whom() -> None:
    said: list[str] = []
    result = play(draw_scenario(3), say=said.append)
    times = [float(line.split()[0]) for line in said if "BREACH" not in line]
    assert times == sorted(times)
    for wanted in (r"clients -> n\d #\d+ sends \d+ bytes '(GET|POST) /", r"n\d -> node \d+ #\d+ sends",
                   r"fault: ", r"n\d started"):  # fmt: skip
        assert any(re.search(wanted, line) for line in said), wanted
    assert result.digest == play(draw_scenario(3)).digest  # the timeline does not change the run


def test_a_breakage_is_found_shrunk_written_and_played_again(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    name, path = "ticket-kept", tmp_path / "small.yaml"
    assert run_command(["explore", "--seeds", "0:4", "--jobs", "1", "--breakage", name]) == 1
    out = capsys.readouterr().out
    found = re.search(r"replay with: brambleusher (explore --replay (\d+) .*)", out)
    assert found, out
    assert run_command([*found[1].split(), "--quiet"]) == 1
    assert run_command(["explore", "--shrink", found[2], "--breakage", name, "-o", str(path)]) == 1
    assert run_command(["explore", str(path), "--quiet", "--breakage", name]) == 1
    small, large = read_scenario(path.read_bytes()), draw_scenario(int(found[2]))
    assert len(small.asks) < len(large.asks)
    capsys.readouterr()
    assert run_command(["explore", str(path), "--quiet"]) == 0
    assert "no breach" in capsys.readouterr().out


def test_ctrl_c_ends_all_processes_with_one_line() -> None:
    """Checks Ctrl-C as at a terminal, even if the tests run in the background with SIGINT ignored."""
    ignores = 1 << (signal.SIGINT - 1)
    # An ignored signal stays ignored across exec(), and Python does not install its handler for it.
    call_explore = (
        "import signal; signal.signal(signal.SIGINT, signal.default_int_handler)\n"
        "from brambleusher.__main__ import main\n"
        "raise SystemExit(main(['explore', '--seeds', '0:1000000', '--jobs', '2']))"
    )
    with subprocess.Popen(
        [sys.executable, "-c", call_explore],
        cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, start_new_session=True,
    ) as run, contextlib.ExitStack() as at_end:  # fmt: skip
        at_end.callback(os.killpg, run.pid, signal.SIGKILL)  # otherwise `with` waits forever
        ready, rounds = 0, 0
        while ready < 2 and rounds < 3000 and run.poll() is None:
            with contextlib.suppress(subprocess.TimeoutExpired):  # a changed mask can only be polled
                run.wait(0.02)
            children = Path(f"/proc/{run.pid}/task/{run.pid}/children").read_text().split()
            masks = [Path(f"/proc/{child}/status").read_text().partition("SigIgn:")[2] for child in children]
            ready, rounds = sum(bool(int(mask.split()[0], 16) & ignores) for mask in masks), rounds + 1
        os.killpg(run.pid, signal.SIGINT)
        out, err = run.communicate(timeout=60)
        at_end.pop_all()  # the process has ended, and its pid may be in use by another process
    assert ready == 2
    assert (run.returncode, out, err) == (130, "", "brambleusher: stopped\n")


def test_a_stand_in_whose_main_program_raises_spoils_the_run(monkeypatch: pytest.MonkeyPatch) -> None:
    def fall(self: Fleet, system: VirtualSystem) -> None:
        raise RuntimeError("out of order")

    monkeypatch.setattr(Fleet, "_start_clients", fall)
    breaches = play(draw_scenario(3), stop_at_breach=True).breaches
    assert any(each.rule == "fault" and "out of order" in each.what for each in breaches)


def test_ctrl_c_within_a_process_of_the_world_ends_the_run(monkeypatch: pytest.MonkeyPatch) -> None:
    def stop(self: Fleet, system: VirtualSystem) -> None:
        raise KeyboardInterrupt

    monkeypatch.setattr(Fleet, "_start_clients", stop)
    with pytest.raises(KeyboardInterrupt):
        play(draw_scenario(3))


@pytest.mark.parametrize(
    ("words", "named"),
    [
        (["--seeds", "5"], "--seeds 5"),
        (["--seeds", "9:9"], "--seeds 9:9"),
        (["--seeds", "0:2", "--profile", "none-such"], "none-such"),
        (["--seeds", "0:2", "--breakage", "none-such"], "none-such"),
        (["--seeds", "0:2", "--jobs", "0"], "--jobs 0"),
        (["--replay", "1", "--shrink", "2"], "say one of"),
        (["--replay", "-1"], "-1"),
        ([], "say one of"),
        (["--replay", "x"], "--replay"),
        (["--none-such"], "--none-such"),
        (["--shrink", "0", "--breakage", "ticket-kept", "-o", "no/such/small.yaml"], "no/such"),
        (["no/such/file.yaml"], "no/such/file.yaml"),
        (["README.md"], "README.md"),
    ],
)
def test_a_call_that_cannot_be_carried_out_is_one_line_and_status_2(
    words: list[str], named: str, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(ROOT)
    assert run_command(["explore", *words]) == 2
    said = capsys.readouterr()
    assert named in said.err
    assert said.err.count("\n") == 1
    assert not said.out


def test_a_scenario_file_that_makes_no_sense_is_refused_by_name(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    good = (SCENARIOS[0]).read_text()
    for bad, named in (
        (good.replace("format: 1", "format: 7"), "format"),
        (good.replace("asks:", "askz:"), "askz"),
        (good.replace("- {kind: ", "- {kind: no-", 1), "no-"),
    ):
        path = tmp_path / "bad.yaml"
        path.write_text(bad)
        assert run_command(["explore", str(path)]) == 2
        said = capsys.readouterr()
        assert named in said.err
        assert said.err.count("\n") == 1
