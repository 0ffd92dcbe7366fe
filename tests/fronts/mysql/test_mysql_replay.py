"""Runs a few fault schedules with fixed seeds, and checks that they detect deliberate defects."""

from __future__ import annotations

import pytest

from brambleusher.fronts.mysql.load import LoadMeter
from brambleusher.lab.mysql.replay import FRONT_MUTATIONS, main, run_seed
from brambleusher.loadbalancing.api import LoadReport

MAX_SEEDS = 40  # seeds within which each mutation must be found, with a fault in every eighth command


@pytest.mark.parametrize("seed", range(8))
def test_no_schedule_breaks_a_rule(seed: int) -> None:
    verdict = run_seed(seed)
    assert verdict.breaches == [], f"python -m brambleusher.lab.mysql.replay --replay {seed}"
    assert verdict.commands > 100


def test_the_same_seed_is_the_same_run() -> None:
    one, other = run_seed(3), run_seed(3)
    assert one.lines == other.lines
    assert one.digest == other.digest != run_seed(4).digest


@pytest.mark.parametrize("name", list(FRONT_MUTATIONS))
def test_each_breakage_is_found(name: str) -> None:
    seed = next((seed for seed in range(MAX_SEEDS) if run_seed(seed, name, dense=True).breaches), None)
    assert seed is not None, f"{name} is not found within {MAX_SEEDS} seeds"
    replay = f"python -m brambleusher.lab.mysql.replay --dense --replay {seed}"
    assert run_seed(seed, dense=True).breaches == [], replay  # the same run without the mutation passes


def test_the_command(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["--replay", "0"]) == 0
    assert capsys.readouterr().out.splitlines()[-1] == f"digest {run_seed(0).digest}"
    assert main(["--replay", "0", "--breakage", "settings-not-replayed"]) == 1
    assert "BREACH" in capsys.readouterr().out
    with pytest.raises(SystemExit) as ended:
        main(["--seeds", "5:5"])
    assert ended.value.code == 2


def test_a_nodes_load_as_it_looks_from_here() -> None:
    meter, now = LoadMeter(0.5), 100.0
    for _ in range(1000):  # four concurrent statements of 20 ms each, hence 200 per second
        for _ in range(4):
            meter.begin(now)
        now += 0.02
        for _ in range(4):
            meter.end(now)
            meter.served(now)
    report = meter.report(now, 8)
    assert report.utilisation == pytest.approx(0.5, rel=0.05)
    assert report.throughput == pytest.approx(200, rel=0.05)
    assert meter.report(now, 2).utilisation == 1.0
    meter.begin(now)
    meter.end(now + 20)
    later = meter.report(now + 20, 8)
    assert later.utilisation == pytest.approx(1 / 8, rel=0.05)
    assert later.throughput == pytest.approx(0, abs=0.01)
    assert LoadMeter(0.5).report(5.0, 8) == LoadReport(0.0, 0.0)
