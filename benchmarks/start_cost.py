"""Measure the start-up time and memory of a sidecar, compared with another checkout.

    python -m benchmarks.start_cost [--against DIR] [--rounds 9]

Each start is a separate process, started as on the platform (deploy/operator.yaml), with the checkouts in
turn.  Prints medians and their differences: wall time in milliseconds from the start of the process to its
log line `listening`, and resident memory in KB at that time.
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from benchmarks.request_cost import SETTINGS, listed

ROOT = Path(__file__).resolve().parent.parent
WAIT = 30.0


def start(root: Path, folder: str) -> tuple[float, int]:
    """Start a sidecar once; returns milliseconds until it listens and its memory in KB."""
    config = {
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "1",
        "known": listed(9), "settings": SETTINGS,
    }  # fmt: skip
    path = Path(folder) / "config.json"
    path.write_text(json.dumps(config), encoding="utf-8")
    begun = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, "-m", "brambleusher", "--operator", "deploy/operator.yaml"],
        cwd=root, env={**os.environ, "NODE_CONFIG": str(path)}, stderr=subprocess.PIPE, text=True,
    )  # fmt: skip
    try:
        assert process.stderr is not None
        for line in process.stderr:
            if "msg=listening" in line:
                break
        else:
            raise SystemExit(f"the sidecar of {root} did not start")
        took = (time.monotonic() - begun) * 1000
        status = Path(f"/proc/{process.pid}/status").read_text()
        return took, int(status.partition("VmRSS:")[2].split()[0])
    finally:
        process.kill()
        process.wait(WAIT)


def main() -> None:
    """Start the checkouts in turn and print a table."""
    words = argparse.ArgumentParser(description="What a sidecar's start costs.")
    words.add_argument("--against", type=Path, help="another checkout, with the same interpreter")
    words.add_argument("--rounds", type=int, default=9)
    given = words.parse_args()
    roots = {"here": ROOT, **({"there": given.against.resolve()} if given.against else {})}
    found: dict[str, list[tuple[float, int]]] = {name: [] for name in roots}
    with tempfile.TemporaryDirectory() as folder:
        for number in range(given.rounds):
            for name in list(roots) if number % 2 == 0 else reversed(roots):
                found[name].append(start(roots[name], folder))
    middle = {
        name: (statistics.median(ms for ms, _ in each), statistics.median(kb for _, kb in each))
        for name, each in found.items()
    }
    for name, (ms, kb) in middle.items():
        print(f"{name:6} {ms:7.1f} ms to listening   {kb:7.0f} KB   ({given.rounds} starts in turn)")
    if "there" in middle:
        (ms, kb), (old_ms, old_kb) = middle["here"], middle["there"]
        print(f"here - there: {ms - old_ms:+.1f} ms, {kb - old_kb:+.0f} KB")


if __name__ == "__main__":
    main()
