"""Invalid arguments and files produce one message that names them, no traceback and no data loss."""

from __future__ import annotations

import multiprocessing
from pathlib import Path

import pytest

from brambleusher.__main__ import main
from brambleusher.load import demand, processes, shape, synthetic
from brambleusher.load.demand import DemandFile
from brambleusher.load.pacing import Pace
from brambleusher.load.player import PlayOptions
from brambleusher.load.results import Results


@pytest.fixture
def folder(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    monkeypatch.chdir(tmp_path)
    demand.write("d", synthetic.requests(synthetic.Recipe(seconds=5, rate=10, burst=None), 1))
    Path("log").write_bytes(b"".join(map(synthetic.log_line, DemandFile("d").requests())))
    Path("nothing").write_bytes(b"")
    Path("r.yaml").write_text("burst: {times: .inf}\n")
    Path("e.yaml").write_text("demands: {a: {file: d, classes: {x: -1}}}\n")
    return tmp_path


@pytest.mark.parametrize(
    ("line", "status", "message"),
    [
        ("load build log --log-format platform -o o --window nan", 2, "--window': 'nan' is no finite number"),
        ("load build log --log-format platform -o o --window inf", 2, "--window': inf is not in the range"),
        ("load build log --log-format platform -o log", 1, "log: the output would take the place"),
        ("load build log --log-format platform -o no/o", 1, "no/o: there is no directory no"),
        ("load build log --log-format platform -o .", 1, ".: Is a directory"),
        ("load scale d -o o --speed nan", 2, "--speed': 'nan'"),
        ("load scale d -o o --speed 1e-300", 2, "--speed': 1e-300 is not in the range"),
        ("load scale d -o o --rate inf", 2, "--rate': inf"),
        ("load scale d -o o --jitter nan", 2, "--jitter': 'nan'"),
        ("load scale d -o o --class nosuch=2", 1, "no request is of the class nosuch"),
        ("load scale d -o o --tenant nosuch=2", 1, "no request is of the tenant nosuch"),
        ("load scale d -o o --burst 3..1=2", 2, "'3..1=2' ends before it begins"),
        ("load cut d -o o --from 4 --to 2", 1, "ends at 2, which is not after its start at 4"),
        ("load cut d -o d --from 2", 1, "d: the output would take the place"),
        ("load mix d d -o d", 1, "d: the output would take the place"),
        ("load export d -o d", 1, "d: the output would take the place"),
        ("load export nothing -o o", 1, "nothing: byte 0: this is no demand file"),
        ("load inspect d --plot picture.foo", 2, "'picture.foo' ends in none of .svg"),
        ("load make r.yaml -o o", 1, "r.yaml: burst.times is no finite number"),
        ("load play d --target 127.0.0.1:1 --speed nan", 2, "--speed': 'nan'"),
        ("load play d --target a..b:1", 2, "Invalid value for --target: a..b"),
        ("lab up --for nan", 2, "--for': 'nan'"),
        ("lab up --for 1 --logs d", 1, "brambleusher: d: File exists"),
        ("lab run e.yaml", 1, "e.yaml: Expected `float` >= 0.0 - at `$.demands[...].classes[...]`"),
        ("lab report nothing", 1, "nothing: not a results file of an experiment"),
        ("lab compare d nothing", 1, "d: file is not a database"),
    ],
)
def test_what_makes_no_sense_is_told_and_nothing_is_lost(
    line: str, status: int, message: str, folder: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    before = {path: path.read_bytes() for path in folder.iterdir()}
    assert main(line.split()) == status
    assert message in capsys.readouterr().err
    assert {path: path.read_bytes() for path in folder.iterdir()} == before


def test_an_export_that_fails_half_way_leaves_the_file_that_was_there(folder: Path) -> None:
    data = bytearray((folder / "d").read_bytes())
    data[400] ^= 1  # offset 400 is inside the only block of requests
    (folder / "d").write_bytes(data)
    (folder / "o.har").write_text("from before")
    assert main(["load", "export", "d", "-o", "o.har"]) == 1
    assert (folder / "o.har").read_text() == "from before"
    assert not list(folder.glob(".*"))


def test_a_play_that_stops_early_is_no_success(
    folder: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(processes, "play", lambda *given: Results())
    total = len(DemandFile("d"))
    assert main(["load", "play", "d", "--target", "127.0.0.1:1", "--json"]) == 1
    assert f"brambleusher: 0 of {total} requests were played" in capsys.readouterr().err


def test_a_process_that_plays_ends_without_a_word_where_nobody_listens_any_more(folder: Path) -> None:
    parent_end, child_end = multiprocessing.Pipe()
    parent_end.close()
    processes._child(str(folder / "d"), PlayOptions([("127.0.0.1", 1)], Pace(0)), child_end)


def test_demand_without_requests_can_be_scaled() -> None:
    assert list(shape.scale_demand([], 0, shape.Scale(classes={"x": 2.0}))) == []
