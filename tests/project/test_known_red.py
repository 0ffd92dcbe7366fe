"""Tests of the list of known failures: each listed test exists and fails, and at most three are listed."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import KnownRed, KnownRedError, read_known_red

HERE = Path(__file__).resolve().parents[1]
TESTS = "def test_red():\n    assert False\n\n\ndef test_green():\n    assert True\n"


def test_entries_are_read() -> None:
    text = "\ntests/a.py::test_b, it leaks, and more, issue 3\n"
    assert read_known_red(text) == [KnownRed("tests/a.py::test_b", "it leaks, and more", "issue 3")]
    assert read_known_red("") == []


@pytest.mark.parametrize(
    ("text", "named"),
    [("tests/a.py::b, why", "line 1"), ("x, y, z", "line 1"), ("a.py::b, c, d\n" * 4, "4 entries")],
)
def test_what_can_not_be_used_is_named(text: str, named: str) -> None:
    with pytest.raises(KnownRedError, match=named):
        read_known_red(text)


@pytest.mark.parametrize(
    ("entry", "passes", "message"),
    [
        (
            "tests/test_it.py::test_red, a fault, issue 9",
            True,
            "KNOWN-RED tests/test_it.py::test_red: a fault",
        ),
        ("tests/test_it.py::test_green, a fault, issue 9", False, "XPASS(strict)"),
        ("tests/test_it.py::test_none, a fault, issue 9", False, "there is no test"),
        ("", False, "1 failed"),
    ],
)
def test_a_run_with_an_entry(tmp_path: Path, entry: str, passes: bool, message: str) -> None:
    tests = tmp_path / "tests"
    tests.mkdir()
    for name in ("conftest.py", "known_red.py", "__init__.py"):
        shutil.copy(HERE / name, tests / name)
    (tests / "test_it.py").write_text(TESTS)
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\npythonpath = .\n")
    (tmp_path / "KNOWN-RED.txt").write_text(entry)
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"],
        cwd=tmp_path, capture_output=True, text=True, timeout=60,
    )  # fmt: skip
    assert (done.returncode == 0) is passes, done.stdout
    assert message in done.stdout + done.stderr
