"""The ablation table: results are paired by site, day and run number, and existing results are reused."""

from __future__ import annotations

import json
import os
from dataclasses import asdict
from pathlib import Path

import pytest

from benchmarks import ablation
from benchmarks.ablation import DEFAULT, AblationError, Play

BENCH = """#!{python}
import json, pathlib, sys, tomllib
held = tomllib.loads(pathlib.Path("deploy/policy.toml").read_text())
worth = 0.5 if held else 0.9
rules = dict(EVAC=1) if held else dict()
days = [dict(name=n, G=worth + at / 100, rules=rules) for at, n in enumerate(["a", "b"])]
site = pathlib.Path(sys.argv[2]).stem
entry = dict(id="x", site=site, days=[*days, dict(name="fresh-1", G=0.1, rules=dict())])
number = len(list(pathlib.Path("journal").glob("*.json")))
pathlib.Path("journal", f"99990101T{{number}}.json").write_text(json.dumps(entry))
"""


def play(variant: str, day: str, worth: float, number: int = 1) -> Play:
    return Play(variant, "site", day, number, worth, "", "id")


def written(folder: Path, *plays: Play) -> str:
    text = "".join(json.dumps(asdict(each)) + "\n" for each in plays)
    (folder / ablation.RESULTS).write_text(text)
    return str(folder)


def test_only_pairs_count(tmp_path: Path) -> None:
    plays = [
        play(DEFAULT, "a", 0.9),
        play(DEFAULT, "b", 0.8),
        play("health", "a", 0.7),
        play("health", "c", 0.1),
    ]
    assert ablation.differences(plays, "health", "site") == [pytest.approx(-0.2)]
    assert "| health | site | -0.200 | 0.000 | 1 |" in ablation.table(written(tmp_path, *plays))


def test_the_spread_is_of_the_pairs(tmp_path: Path) -> None:
    plays = [play(DEFAULT, day, 0.9) for day in "ab"] + [play("resume", "a", 0.8), play("resume", "b", 0.6)]
    assert "| resume | site | -0.200 | 0.141 | 2 |" in ablation.table(written(tmp_path, *plays))
    picture = tmp_path / "plot.png"
    ablation.plot(str(tmp_path), str(picture))
    assert picture.stat().st_size > 1000


def test_a_key_that_is_none_and_a_missing_file_are_told(tmp_path: Path) -> None:
    with pytest.raises(AblationError, match="nothing"):
        ablation.plan("bench", "a.toml", str(tmp_path), keys="nothing")
    with pytest.raises(AblationError, match="no such file"):
        ablation.plan(str(tmp_path / "bench"), "a.toml", str(tmp_path))


def test_a_plan_is_played_and_what_stands_is_kept(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A stub benchmark reports a value lower by 0.4, and a violated rule, when a key is switched off."""
    import subprocess
    import sys

    root = tmp_path / "project"
    for name in ("deploy", "journal"):
        (root / name).mkdir(parents=True)
        (root / name / ".keep").touch()
    git = ["git", "-c", "user.name=t", "-c", "user.email=t@t", "-C", str(root)]
    for call in (["init", "-q"], ["add", "."], ["commit", "-qm", "x"]):
        subprocess.run([*git, *call], check=True)
    bench, site = tmp_path / "bench", tmp_path / "place.toml"
    bench.write_text(BENCH.format(python=sys.executable))
    os.chmod(bench, 0o755)
    site.touch()
    monkeypatch.setattr(ablation, "ROOT", root)
    out = str(tmp_path / "out")
    made = ablation.plan(str(bench), str(site), out, keys="health")
    assert "| health | place | -0.400 | 0.000 | 2 | EVAC |" in made
    bench.write_text("#!/bin/false\n")
    assert ablation.plan(str(bench), str(site), out, keys="health") == made
    with pytest.raises(AblationError, match="no entry"):
        ablation.plan(str(bench), str(site), out, keys="silence")
