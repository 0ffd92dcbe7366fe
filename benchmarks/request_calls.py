"""Count the function calls of a sidecar per request, a figure that hardly depends on the load of the machine.

Runs the bare sidecar under the profiler between the same server and client as `benchmarks.request_cost`, and
prints calls per request.  With `--against DIR` also prints those of another checkout and the functions whose
call counts differ.  Poll waits merge under load, so a few percent of the calls vary at random.

    python -m benchmarks.request_calls [--against DIR] [--requests 3000]
"""

from __future__ import annotations

import argparse
import json
import os
import pstats
import re
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

from benchmarks.request_cost import ROOT, SETTINGS, WAIT, Answerer, drive, listed

DIFFERENCES = 25  # number of printed functions, each for more and for fewer calls
LISTENING = re.compile(r"msg=listening .*address=\S+:(\d+)")
RUNNER = """
import cProfile, runpy, sys
sys.path.insert(0, {root!r})
sys.argv = {words!r}
profile = cProfile.Profile()
try:
    profile.enable()
    runpy.run_module({module!r}, run_name="__main__")
except SystemExit:
    pass
finally:
    profile.disable()
    profile.dump_stats({output!r})
"""


def profiled(root: Path, requests: int) -> Counter[str]:
    """Return the number of calls by function name over `requests` requests."""
    everything = set(range(os.cpu_count() or 1))
    server = Answerer(everything)
    try:
        with tempfile.TemporaryDirectory() as folder:
            output = Path(folder) / "profile"
            run_sidecar(root, Path(folder), output, server.port, requests)
            return read_call_counts(output)
    finally:
        server.close()


def write_runner(path: Path, root: Path, output: Path, module: str, words: list[str]) -> None:
    """Write a program that runs a module of a checkout under the profiler."""
    text = RUNNER.format(root=str(root), output=str(output), module=module, words=words)
    path.write_text(text, encoding="utf-8")


def run_sidecar(root: Path, folder: Path, output: Path, server: int, requests: int) -> None:
    """Run a sidecar under the profiler, send requests to it, and end it."""
    config: dict[str, Any] = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{server}",
        "seed": "1",
        "known": listed(server),
        "settings": SETTINGS,
    }
    config_path, log_path, runner = folder / "config.json", folder / "log", folder / "runner.py"
    config_path.write_text(json.dumps(config), encoding="utf-8")
    write_runner(runner, root, output, "brambleusher", ["brambleusher"])
    with log_path.open("wb") as log:
        process = subprocess.Popen(
            [sys.executable, str(runner)],
            cwd=root,
            env={**os.environ, "NODE_CONFIG": str(config_path)},
            stderr=log,
        )
    try:
        drive(listening_port(process, log_path), requests, 1)
        process.send_signal(signal.SIGTERM)
        process.wait(WAIT)
    finally:
        process.kill()


def listening_port(process: subprocess.Popen[bytes], log_path: Path) -> int:
    """Wait until a sidecar logs the port on which it listens."""
    until = time.monotonic() + WAIT
    while (found := LISTENING.search(log_path.read_text(encoding="utf-8"))) is None:
        if process.poll() is not None or time.monotonic() > until:
            raise SystemExit(f"the sidecar did not start: {log_path.read_text()[-400:]}")
        time.sleep(0.02)
    return int(found[1])


def read_call_counts(output: Path) -> Counter[str]:
    """Return the calls in a profile by function name."""
    counts: Counter[str] = Counter()
    stats: Any = pstats.Stats(str(output))
    for (_file, _line, function), (_primitive, called, *_ignored) in stats.stats.items():
        counts[function] += called
    return counts


def main() -> None:
    """Run the command line."""
    words = argparse.ArgumentParser(description="Function calls a request.")
    words.add_argument("--against", type=Path, help="another checkout, with the same interpreter")
    words.add_argument("--requests", type=int, default=3000)
    given = words.parse_args()
    here = profiled(ROOT, given.requests)
    other = None if given.against is None else profiled(given.against.resolve(), given.requests)
    print_comparison(here, other, given.requests)


def print_comparison(here: Counter[str], other: Counter[str] | None, requests: int) -> None:
    """Print calls per request, and the functions that another checkout calls more or less often."""
    print(f"calls a request: {here.total() / requests:.1f}")
    if other is None:
        return
    ratio = here.total() / other.total()
    print(f"calls a request there: {other.total() / requests:.1f}; here {ratio:.3f} times as many")
    differences = sorted(((here[name] - other[name]) / requests, name) for name in here | other)
    for title, rows in (
        ("less often here", differences[:DIFFERENCES]),
        ("more often here", differences[-DIFFERENCES:]),
    ):
        print(title)
        for count, name in rows:
            print(f"{count:8.2f} {name}")


if __name__ == "__main__":
    main()
