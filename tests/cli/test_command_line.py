"""Tests of the command line: imports when serving, exit statuses, errors for a missing extra."""

from __future__ import annotations

import importlib
import json
import subprocess
import sys
from pathlib import Path

import pytest

from brambleusher import cli
from brambleusher.__main__ import main, parse_serving_options

ROOT = Path(__file__).parents[2]
EXTRAS = "click, argparse, msgspec, zstandard, apachelogs, hdrh, numpy, matplotlib, rich"


@pytest.mark.parametrize(
    ("words", "options"),
    [
        ([], {}),
        (["--operator", "f"], {"--operator": "f"}),
        (["--operator=f", "--log-format", "json"], {"--operator": "f", "--log-format": "json"}),
        (["--log-format", "xml"], None),
        (["--operator"], None),
        (["--operator", "--log-format"], None),
        (["--help"], None),
        (["replay", "f"], None),
    ],
)
def test_serving_is_read_without_a_library_where_it_is_worded_plainly(
    words: list[str], options: dict[str, str] | None
) -> None:
    assert parse_serving_options(words) == options


@pytest.mark.parametrize(
    ("words", "status", "said"),
    [
        (["replay"], 2, "Missing argument"),
        (["replay", "/nowhere"], 2, "brambleusher: /nowhere is refused: No such file"),
        (["capture", "dump", "0"], 1, "brambleusher: process 0: not there"),
        (["capture", "dump", "x"], 2, "not a valid integer"),
        (["nonsense"], 2, "No such command"),
        (["--log-format", "xml"], 2, "not one of"),
        (["--help"], 0, "replay"),
    ],
)
def test_exit_statuses(words: list[str], status: int, said: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(words) == status
    shown = capsys.readouterr()
    assert said in shown.out + shown.err


def test_every_command_of_the_table_is_there_and_has_help(capsys: pytest.CaptureFixture[str]) -> None:
    for name in cli.COMMANDS:
        assert main([name, "--help"]) == 0
        assert f"brambleusher {name}" in capsys.readouterr().out


def test_serving_and_the_sidecars_own_commands_load_no_extra(tmp_path: Path) -> None:
    code = (
        f"import sys\nfor name in '{EXTRAS}'.split(', '): sys.modules[name] = None\n"
        "from brambleusher.__main__ import main\n"
        "print(main(['--operator', '/nowhere']), main(['replay', '/nowhere']), main(['load']))"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, env={"NODE_CONFIG": "/no"}
    )
    assert done.stdout == "2 2 2\n", done.stderr
    assert "click is not installed; it comes with the extra lab" in done.stderr


def test_log_lines_as_json(capsys: pytest.CaptureFixture[str]) -> None:
    logs = importlib.import_module("brambleusher.observability.log_format")
    logs.configure(form="json")
    try:
        logs.logging.getLogger("brambleusher.part").warning(
            "odd\n", extra={"fields": {"n": 3, "why": OSError("x")}}
        )
        told = json.loads(capsys.readouterr().err)
        assert (told["msg"], told["n"], told["why"], told["part"]) == ("odd\n", 3, "x", "part")
    finally:
        logs.configure()
