"""Tests of experiments: worlds, experiment files, resumed runs, results files, comparisons and reports."""

from __future__ import annotations

import json
import os
import re
import select
import signal
import subprocess
import sys
import time
from html.parser import HTMLParser
from pathlib import Path

import numpy as np
import pytest

from brambleusher.__main__ import main
from brambleusher.lab.experiments.compare import ComparedResults, compare, format_differences, interval
from brambleusher.lab.experiments.matrix import run_all
from brambleusher.lab.experiments.plan import Cell, ExperimentError, read_experiment
from brambleusher.lab.experiments.report import render_report
from brambleusher.lab.experiments.run import run
from brambleusher.lab.experiments.store import CellResult, Store, StoreError
from brambleusher.lab.fleets.worlds import WorldError, WorldFile, parse_world
from brambleusher.load import demand, synthetic

WAIT = 60.0
ROOT = Path(__file__).parents[2]
EXPERIMENT = """
name: tries
worlds:
  small:
    kinds: {k: {count: 3, cores: 1, error_rate: 0.2}}
    sidecars: 2
    faults: [{kind: node-crashed, target: %s, at_s: 0.5, for_s: 2.2}]
demands: {short: {recipe: {seconds: 4, rate: 12, burst: null}}, file: d}
settings: {usual: , one: {rules: {max_attempts: 1}}}
seeds: [1, 2]
"""


def experiment(folder: Path, text: str = EXPERIMENT) -> Path:
    node = parse_world({"kinds": {"k": {"count": 3}}}).world_spec().nodes[0].id
    recipe = synthetic.Recipe(seconds=3, rate=10, burst=None)
    demand.write(folder / "d", synthetic.requests(recipe, 3))
    path = folder / "e.yaml"
    path.write_text(text % node if "%s" in text else text)
    return path


# --- worlds and experiment files ------------------------------------------------------------------


def test_the_usual_world_has_14_nodes_in_four_zones_and_three_sidecars() -> None:
    world = WorldFile().world_spec()
    assert (len(world.nodes), len({node.zone for node in world.nodes}), len(world.sidecars)) == (14, 4, 3)
    assert world == WorldFile().world_spec()


@pytest.mark.parametrize(
    ("raw", "expected_error"),
    [
        ({"sidecar": 3}, "unknown field `sidecar`"),
        ({"kinds": {"k": {"cores": 0}}}, r"Expected `int` >= 1 - at `\$.kinds\[...\].cores`"),
        ({"kinds": {"k": {"count": 0}}}, "must not be empty"),
        ({"faults": [{"kind": "node-hung", "target": "s-1", "at_s": 1, "for_s": 1}]}, "aimed at 's-1'"),
        ([], "a world is a mapping"),
        ({"tenants": {"a": 0}}, "tenants have no share"),
        ({"tenants": {"a": -1}}, r">= 0.0 - at `\$.tenants"),
        ({"tenants": {"a\n": 1}}, "tenants: 'a.n' can't stand in a header"),
        ({"classes": {"a b": {}}}, "classes: 'a b' can't stand in a path"),
        ({"requests_per_s": float("inf")}, r"<= 1000000000.0 - at `\$.requests_per_s`"),
    ],
)
def test_a_world_that_can_not_be_used_is_refused_by_name(raw: object, expected_error: str) -> None:
    with pytest.raises(WorldError, match=expected_error):
        parse_world(raw).world_spec()


def test_settings_are_laid_over_a_world_key_by_key() -> None:
    over = parse_world({"rules": {"tick_s": 0.01}}, {"rules": {"max_attempts": 1}, "sidecars": 5})
    assert (over.rules.tick_s, over.rules.max_attempts, over.sidecars) == (0.01, 1, 5)
    assert len(parse_world({}, {"kinds": {"std-2core": {"speed": 2.0}}}).world_spec().nodes) == 14


@pytest.mark.parametrize(
    ("text", "expected_error"),
    [
        ("sed: 1", "unknown field `sed`"),
        ("worlds: {a: nowhere.yaml}", "worlds.a: nowhere.yaml: No such file"),
        ("demands: {a: nowhere}", "demands.a: .*nowhere: No such file"),
        ("demands: {a: {recipe: {rate: -1}}}", "demands.a.recipe: rate is not at least 0"),
        ("demands: {a: {recipe: {}, file: d}}", "has both a file and a recipe"),
        ("settings: {a: {rules: {maxattempts: 1}}}", "worlds.usual with settings.a: .*`maxattempts`"),
        ("seeds: []", "length >= 1"),
        ("[", "not YAML"),
    ],
)
def test_an_experiment_that_can_not_be_run_is_refused_by_name(
    text: str, expected_error: str, tmp_path: Path
) -> None:
    with pytest.raises(ExperimentError, match=expected_error):
        read_experiment(experiment(tmp_path, text))


# --- cells, results, comparisons, the page --------------------------------------------------------


class PageParser(HTMLParser):
    """Collects the elements of a page that load other files, and checks that tags are closed."""

    def __init__(self) -> None:
        super().__init__()
        self.loaded_elements: list[str] = []
        self.open_tags: list[str] = []

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        if tag in ("script", "link", "img", "iframe"):
            self.loaded_elements.append(tag)
        if tag in ("table", "details", "svg", "div", "body"):
            self.open_tags.append(tag)

    def handle_endtag(self, tag: str) -> None:
        if tag in ("table", "details", "svg", "div", "body"):
            assert self.open_tags.pop() == tag


def test_a_matrix_is_run_once_and_goes_on_where_it_was_stopped(tmp_path: Path) -> None:
    file, cells = read_experiment(experiment(tmp_path))
    assert len(cells) == 8 and len({cell.id for cell in cells}) == 8
    out, progress = tmp_path / "r.sqlite", list[str]()
    # Simulates a run that stopped after five cells, the fifth of which failed.
    with Store(out, new=True) as store:
        assert store.register_experiment(file, cells) == cells
        for cell in cells[:4]:
            store.save(cell, run(cell), 0.1)
        store.fail(cells[4], "ValueError: no")
    assert run_all(file, cells, out, 2, progress.append) == 0
    assert progress[0] == "4 of 8 cells are there already" and len(progress) == 5
    assert run_all(file, cells, out, 2, progress.append) == 0 and len(progress) == 6
    with Store(out) as store:
        stored = store.cells()
        assert [cell.id for cell in stored] == [cell.id for cell in cells]
        assert {cell.state for cell in stored} == {"done"}
        # A cell run in another process gives the same result here: the result depends only on the cell.
        assert store.result(cells[6].id) == json_form(run(cells[6]))
        rules = store.result(cells[0].id).documents["rules"]
        assert len(rules) > 20 and not any(rules.values())
        assert any("node-crashed" in text for _, text in store.result(cells[0].id).events)
        assert any("is Gone" in text for _, text in store.result(cells[0].id).events)
        metrics = store.metrics(cells[0].id)
        assert metrics["requests"] == len(list(cells[0].requests())) and 0.5 < metrics["share.served"] <= 1
        # The page must be well-formed and load nothing from elsewhere.
        text = render_report(store)
        parser = PageParser()
        parser.feed(text)
        assert not parser.loaded_elements and not parser.open_tags and text.count("<svg") == 8
        assert "http" not in re.sub(r'(xmlns[:\w]*="|rdf:resource=")[^"]*"|http://www.w3.org[^"]*"', "", text)
        for word in ("Latency by class", "All 24 rules were kept", "node-crashed", "max_attempts: 1"):
            assert word.replace("24", str(len(rules))) in text
    differences = compare(ComparedResults.parse(f"{out}:usual"), ComparedResults.parse(f"{out}:one"))
    attempts = next(each for each in differences if each.name == "attempts")
    assert attempts.pairs == 4 and attempts.high < 0 and attempts.excludes_zero
    assert any(line.startswith("attempts") and line.endswith("*") for line in format_differences(differences))
    assert all(
        each.mean == 0 for each in compare(ComparedResults.parse(str(out)), ComparedResults.parse(str(out)))
    )
    with pytest.raises(StoreError, match="no cells are done with the settings none"):
        compare(ComparedResults.parse(f"{out}:none"), ComparedResults.parse(str(out)))
    # Cells that are no longer part of the experiment are deleted.
    with Store(out) as store:
        assert store.register_experiment(file, cells[:2]) == [] and len(store.cells()) == 2


def json_form(result: CellResult) -> CellResult:
    """Return a result as the results file returns it: sorted by name, documents converted through JSON."""
    return CellResult(
        figures=dict(sorted(result.figures.items())),
        series={name: sorted(row) for name, row in sorted(result.series.items())},
        events=result.events,
        documents=json.loads(json.dumps(result.documents)),
    )


def test_a_cell_that_can_not_be_run_is_kept_as_failed(tmp_path: Path) -> None:
    file, cells = read_experiment(experiment(tmp_path, "demands: {d: {recipe: {rate: 0}}}"))
    progress: list[str] = []
    assert run_all(file, cells, tmp_path / "r", 1, progress.append) == 1
    with Store(tmp_path / "r") as store:
        assert store.cells()[0].error == "ValueError: the demand has no requests"
        assert "1 runs failed" in render_report(store)
    (tmp_path / "bad").write_text("no results")
    with pytest.raises(StoreError, match="not a database"):
        Store(tmp_path / "bad")


def test_straight_to_the_nodes_every_request_comes_as_it_stands() -> None:
    recipe = "{seconds: 40, rate: 15, burst: {start_s: 10, seconds: 9}}"
    file = f"through: nodes\nspeed: 2\ndemands: {{d: {{recipe: {recipe}}}}}"
    (cell,) = _cells(file)
    result = run(cell)
    assert result.figures["fidelity.exact"] == 1.0
    assert result.figures["fidelity.rate_off"] <= 0.02 and result.figures["fidelity.mix_off"] <= 0.02
    windows = result.documents["fidelity"]["windows"]
    assert (
        len(windows) == 4
        and sum(sum(each["came"].values()) for each in windows) == result.figures["requests"]
    )


def _cells(text: str) -> list[Cell]:
    import msgspec
    import yaml

    from brambleusher.lab.experiments.plan import ExperimentFile, cells

    return cells(msgspec.convert(yaml.safe_load(text), ExperimentFile), ROOT)


def test_bootstrap_intervals_cover_the_mean_as_often_as_they_say() -> None:
    rng = np.random.default_rng(5)
    samples = [rng.normal(1.0, 2.0, 20) for _ in range(200)]
    covered = sum(low <= 1.0 <= high for low, high in (interval(sample) for sample in samples))
    assert 0.87 <= covered / 200 <= 0.98
    assert interval(np.array([0.5])) == (0.5, 0.5)


def processes_of(folder: Path) -> list[Path]:
    """Return the processes whose command line contains a path inside a directory."""
    found = []
    for path in Path("/proc").glob("[0-9]*/cmdline"):
        try:
            if f"{folder}{os.sep}".encode() in path.read_bytes():
                found.append(path)
        except OSError:
            continue
    return found


# --- on sockets -----------------------------------------------------------------------------------


def experiment_on_sockets(tmp_path: Path, sidecars: int) -> tuple[Path, Path]:
    """Write an experiment of five minutes; return its file, and a folder for temporary files of its run."""
    path, folder = tmp_path / "e.yaml", tmp_path / "tmp"
    folder.mkdir()
    world = f"{{w: {{sidecars: {sidecars}}}}}"
    demand = "{d: {recipe: {seconds: 300, rate: 5, burst: null}}}"
    path.write_text(f"where: [sockets]\nworlds: {world}\ndemands: {demand}")
    return path, folder


def test_an_experiment_that_is_stopped_leaves_no_sidecar(tmp_path: Path) -> None:
    path, folder = experiment_on_sockets(tmp_path, sidecars=2)
    run = subprocess.Popen(
        [sys.executable, "-c", f"import signal; signal.signal(2, signal.default_int_handler)\n"
         f"from brambleusher.__main__ import main; raise SystemExit(main(['lab', 'run', {str(path)!r}]))"],
        cwd=ROOT, stderr=subprocess.PIPE, text=True, env={**os.environ, "TMPDIR": str(folder)},
        start_new_session=True,
    )  # fmt: skip
    deadline = time.monotonic() + WAIT
    while len(processes_of(folder)) < 2:
        assert time.monotonic() < deadline and run.poll() is None
        time.sleep(0.02)
    os.killpg(run.pid, signal.SIGINT)
    assert "stopped: what is done is kept" in run.communicate(timeout=WAIT)[1]
    assert run.returncode == 130
    assert not processes_of(folder) and not list(folder.iterdir())
    with Store(tmp_path / "e.sqlite") as store:
        assert [cell.state for cell in store.cells()] == ["waiting"]


def all_exit(pidfds: list[int]) -> bool:
    """Return whether all processes exit within `WAIT` seconds.

    Pidfds work for processes that are not children of the test, and for processes that have already exited.
    """
    try:
        return all(select.select([pidfd], [], [], WAIT)[0] for pidfd in pidfds)
    finally:
        for pidfd in pidfds:
            os.close(pidfd)


def test_an_experiment_that_is_killed_leaves_no_process(tmp_path: Path) -> None:
    path, folder = experiment_on_sockets(tmp_path, sidecars=1)
    run = subprocess.Popen(
        [sys.executable, "-m", "brambleusher", "lab", "run", str(path)],
        cwd=ROOT, stderr=subprocess.DEVNULL, env={**os.environ, "TMPDIR": str(folder)},
    )  # fmt: skip
    deadline = time.monotonic() + WAIT
    while not (sidecars := processes_of(folder)):
        assert time.monotonic() < deadline and run.poll() is None
        time.sleep(0.02)
    pidfds = [os.pidfd_open(int(each.parent.name)) for each in sidecars]
    run.kill()
    assert all_exit(pidfds)
    run.wait()


@pytest.mark.parametrize(
    ("number", "at_sidecar", "status"),
    [
        (signal.SIGTERM, False, 0),
        (signal.SIGHUP, False, 0),
        (signal.SIGKILL, False, -9),
        (signal.SIGKILL, True, 1),
    ],
)
def test_however_a_fleet_ends_it_leaves_no_sidecar(
    number: signal.Signals, at_sidecar: bool, status: int, tmp_path: Path
) -> None:
    world = tmp_path / "w.yaml"
    world.write_text("kinds: {k: {count: 1}}\nsidecars: 2\n")
    fleet = subprocess.Popen(
        [sys.executable, "-m", "brambleusher", "lab", "up", str(world), "--json"],
        cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True,
        env={**os.environ, "TMPDIR": str(tmp_path)},
    )  # fmt: skip
    assert fleet.stdout is not None
    pids = [each["pid"] for each in json.loads(fleet.stdout.readline())["sidecars"]]
    pidfds = [os.pidfd_open(pid) for pid in pids]
    os.kill(pids[0] if at_sidecar else fleet.pid, number)
    stderr = fleet.communicate(timeout=WAIT)[1]
    assert fleet.returncode == status
    assert stderr.startswith("brambleusher: sidecar n0 ended -9") if at_sidecar else stderr == ""
    assert all_exit(pidfds)
    if status >= 0:
        assert not processes_of(tmp_path) and list(tmp_path.iterdir()) == [world]


def test_a_fleet_comes_up_is_played_on_and_ends_without_a_trace(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    world = tmp_path / "w.yaml"
    world.write_text("kinds: {k: {count: 2}}\nsidecars: 2\n")
    fleet = subprocess.Popen(
        [sys.executable, "-m", "brambleusher", "lab", "up", str(world), "--json"],
        cwd=ROOT, stdout=subprocess.PIPE, text=True,
    )  # fmt: skip
    try:
        assert fleet.stdout is not None
        summary = json.loads(fleet.stdout.readline())
        assert len(summary["sidecars"]) == len(summary["nodes"]) == 2 and "curl -i" in summary["curl"]
        pids = [each["pid"] for each in summary["sidecars"]]
        targets = ",".join(each["address"] for each in summary["sidecars"])
        path = str(tmp_path / "d")
        recipe = synthetic.Recipe(seconds=1.5, rate=30, burst=None)
        count = demand.write(path, synthetic.requests(recipe, 1))
        main(["load", "play", path, "--target", targets, "--processes", "2", "--speed", "2", "--json"])
        results = json.loads(capsys.readouterr().out)
        assert results["requests"] == count == sum(results["ends"].values())
        assert results["ends"]["served"] > count * 0.8
        assert set(results["statuses"]) <= {"200", "502", "503"}
    finally:
        fleet.send_signal(signal.SIGINT)
        assert fleet.wait(60) == 0
    for pid in pids:
        with pytest.raises(ProcessLookupError):
            os.kill(pid, 0)
