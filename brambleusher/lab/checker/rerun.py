"""A run's own captures: rerun by the program's replay, and their timers looked after.

The one part of the checker that calls the program, since the program's replay is what it checks.
"""

from __future__ import annotations

import io
import json
from collections import Counter

from brambleusher.features.replay import Refused, rerun

MOST_TOLD = 5  # differences that are told in words


def differences(captured: bytes) -> list[str]:
    """What replay finds in a sidecar's standard error or capture file; a capture that it refuses is one."""
    out = io.StringIO()
    try:
        tally = rerun(io.BytesIO(captured), out)
    except Refused as error:
        return [f"the capture is refused: {error}"]
    if not tally.records:
        return ["the capture has no records"]
    if not tally.differing:
        return []
    lines = out.getvalue().splitlines()
    return [f"{tally.differing} of {tally.records} records differ", *lines[:MOST_TOLD]]


def lost_timers(captured: bytes, late_ns: int) -> list[str]:
    """Timers that the module asked for and that had not come `late_ns` later, while other events had.

    A capture begins somewhere: only timers asked for within it are looked for.  Where one standard error
    holds several captures, they are looked at one by one.
    """
    found: list[str] = []
    asked: Counter[tuple[int, int]] = Counter()
    last = 0
    for line in [*captured.splitlines(), b'{"ev":"start"}']:
        if not line.startswith(b"{"):
            continue
        try:
            record = json.loads(line)
        except ValueError:
            continue
        if record.get("ev") == "start" and "t_ns" not in record:
            found += [
                f"the timer {token} set for {at} had not come at {last}"
                for at, token in sorted(asked)
                if at + late_ns < last
            ]
            asked.clear()
            continue
        now, told = record["t_ns"], record["in"]
        last = max(last, now)
        if record["ev"] == "timer":
            # Which of several with one token has come is not recorded: the oldest that was due.
            due = sorted(key for key in asked if key[1] == told["token"] and key[0] <= now)
            if due:
                asked[due[0]] -= 1
                asked += Counter()
        for action in record["out"]:
            if action[0] == "timer":
                asked[(action[1], action[2])] += 1
    return found
