"""Checks on the captures of a run: the program's replay must agree, and no timer may be lost.

This is the only part of the checker that calls the program, because it checks the program's own replay.
"""

from __future__ import annotations

import io
import json
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Any

from brambleusher.features.replay import CaptureError, rerun

MAX_DIFFERENCES = 5  # largest number of differences that are described


def differences(captured: bytes) -> list[str]:
    """Return the differences that replay finds in a sidecar's standard error or capture file.

    A capture that replay refuses or that has no records is reported as a difference.
    """
    out = io.StringIO()
    try:
        result = rerun(io.BytesIO(captured), out)
    except CaptureError as error:
        return [f"the capture is refused: {error}"]
    if not result.records:
        return ["the capture has no records"]
    if not result.differing:
        return []
    lines = out.getvalue().splitlines()
    return [f"{result.differing} of {result.records} records differ", *lines[:MAX_DIFFERENCES]]


def captures(stderr: bytes) -> Iterator[list[dict[str, Any]]]:
    """Yield the records of each capture in a standard error; `differences` reports unreadable lines."""
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


def missing_timers(all_captures: Iterable[list[dict[str, Any]]], late_ns: int) -> list[str]:
    """Describe the timers that the balancer set and that had not fired `late_ns` after they were due.

    Only timers that were set within a capture are checked, up to the time of the capture's last event.
    """
    return [text for records in all_captures for text in _missing_timers(records, late_ns)]


def _missing_timers(records: list[dict[str, Any]], late_ns: int) -> list[str]:
    pending: Counter[tuple[int, int]] = Counter()
    last = 0
    for record in records:
        now, inputs = record["t_ns"], record["in"]
        last = max(last, now)
        if record["ev"] == "timer":
            # A capture does not record which of several timers with one token fired: take the oldest one due.
            due = sorted(key for key in pending if key[1] == inputs["token"] and key[0] <= now)
            if due:
                pending[due[0]] -= 1
                pending += Counter()  # removes entries with a count of zero
        for action in record["out"]:
            if action[0] == "timer":
                pending[(action[1], action[2])] += 1
    return [
        f"the timer {token} set for {at} had not come at {last}"
        for at, token in sorted(pending)
        if at + late_ns < last
    ]
