"""Reads KNOWN-RED.txt, which lists tests that fail because of a bug that is not fixed yet, one per line.

    tests/test_x.py::test_y, what is wrong, issue 12

CI tolerates only these failures and prints them. An entry whose test passes or does not exist fails CI.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

FILE = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
MOST = 3


class KnownRedError(ValueError):
    """Raised for an invalid KNOWN-RED.txt; the message names the line."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """An entry of KNOWN-RED.txt for a test that is known to fail."""

    test: str
    cause: str
    issue: str


def read_known_red(text: str) -> list[KnownRed]:
    """Parse the entries of a file; raise `KnownRedError` if the file is invalid."""
    entries = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split(",")]
        if len(parts) < 3 or not all(parts) or "::" not in parts[0]:
            raise KnownRedError(f"line {number}: not 'test, cause, issue': {line!r}")
        entries.append(KnownRed(parts[0], ", ".join(parts[1:-1]), parts[-1]))
    if len(entries) > MOST:
        raise KnownRedError(f"{len(entries)} entries, {MOST} at most")
    return entries


def known_red() -> list[KnownRed]:
    """Return the entries of this repository's KNOWN-RED.txt."""
    return read_known_red(FILE.read_text(encoding="utf-8")) if FILE.exists() else []
