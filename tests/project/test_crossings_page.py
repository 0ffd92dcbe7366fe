"""Tests that docs/design/crossings.md names only existing tests, and lists every crossing test."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PAGE = (ROOT / "docs" / "design" / "crossings.md").read_text(encoding="utf-8")
SHORT = {
    "C": "tests/net/test_crossings_client.py",
    "D": "tests/sidecar/test_crossings_shutdown.py",
    "L": "tests/net/test_crossings_lists.py",
    "U": "tests/net/test_crossings_upstream.py",
    "F": "tests/loadbalancing/test_crossings_fleet.py",
}


def defined_in(path: str) -> set[str]:
    return set(re.findall(r"^ *def (test_\w+)\(", (ROOT / path).read_text(encoding="utf-8"), re.MULTILINE))


def named() -> list[tuple[str, str]]:
    return [(SHORT.get(where, where), test) for where, test in re.findall(r"`([\w/.]+)::(test_\w+)`", PAGE)]


def test_every_test_that_a_row_names_is_there() -> None:
    for path, test in named():
        assert test in defined_in(path), f"{path}::{test}"


def test_every_row_names_a_test() -> None:
    rows = [line for line in PAGE.splitlines() if line.startswith("| ") and " --- " not in line]
    rows = [row for row in rows if not row.startswith("| events ")]
    assert len(rows) > 50
    for row in rows:
        assert "::test_" in row, row


def test_every_crossing_that_is_forced_has_a_row() -> None:
    listed = set(named())
    for path in SHORT.values():
        for test in defined_in(path):
            assert (path, test) in listed, f"{path}::{test}"
