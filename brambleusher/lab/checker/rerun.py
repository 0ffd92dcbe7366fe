"""A run's own captures: rerun by the program's replay, and their timers looked after.

The one part of the checker that calls the program, since the program's replay is what it checks.
"""

from __future__ import annotations

import io
import json
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Any

from brambleusher.features.replay import CaptureError, rerun

MOST_TOLD = 5  # differences that are told in words


def differences(captured: bytes) -> list[str]:
    """What replay finds in a sidecar's standard error or capture file; a capture that it refuses is one."""
    out = io.StringIO()
    try:
        tally = rerun(io.BytesIO(captured), out)
    except CaptureError as error:
        return [f"the capture is refused: {error}"]
    if not tally.records:
        return ["the capture has no records"]
    if not tally.differing:
        return []
    lines = out.getvalue().splitlines()
    return [f"{tally.differing} of {tally.records} records differ", *lines[:MOST_TOLD]]


def captures(stderr: bytes) -> Iterator[list[dict[str, Any]]]:
    """The records of each capture in a standard error; lines that can't be read are left to `differences`."""
    records: list[dict[str, Any]] | None = None
    for line in stderr.splitlines():
        if not line.startswith(b"{"):
            continue
        try:
            record = json.loads(line)
        except ValueError:
            continue
        if "t_ns" in record:
            if records is not None:
                records.append(record)
        elif record.get("ev") == "start":
            if records is not None:
                yield records
            records = []
    if records is not None:
        yield records


def lost_timers(those: Iterable[list[dict[str, Any]]], late_ns: int) -> list[str]:
    """Timers that the module asked for and that had not come `late_ns` later, while other events had.

    A capture begins somewhere: only timers asked for within it are looked for.
    """
    return [text for records in those for text in _lost(records, late_ns)]


def _lost(records: list[dict[str, Any]], late_ns: int) -> list[str]:
    asked: Counter[tuple[int, int]] = Counter()
    last = 0
    for record in records:
        now, told = record["t_ns"], record["in"]
        last = max(last, now)
        if record["ev"] == "timer":
            # Which of several with one token has come is not recorded: the oldest that was due.
            due = sorted(key for key in asked if key[1] == told["token"] and key[0] <= now)
            if due:
                asked[due[0]] -= 1
                asked += Counter()  # those that have come are out of it
        for action in record["out"]:
            if action[0] == "timer":
                asked[(action[1], action[2])] += 1
    return [
        f"the timer {token} set for {at} had not come at {last}"
        for at, token in sorted(asked)
        if at + late_ns < last
    ]
