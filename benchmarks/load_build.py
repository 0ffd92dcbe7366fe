"""Build a demand file from a large access log or HAR file, and measure lines per second and total memory.

    .venv/bin/python -m benchmarks.load_build [--form access] [--mb 1000] [--processes 3]

The source is generated first, in a temporary directory.  Memory is the sum of the resident sets of the
building process and its children, sampled ten times per second; shared pages count once per process.
"""

from __future__ import annotations

import argparse
import itertools
import os
import random
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec

from brambleusher.load import har, synthetic
from brambleusher.load.demand import DemandFile

CHUNK = 20_000
PAGE = os.sysconf("SC_PAGE_SIZE")


def make(path: Path, size: int, seed: int = 1) -> int:
    """Write a slightly unordered log in the format `platform`; returns the number of lines."""
    rng = random.Random(seed)
    recipe = synthetic.Recipe(seconds=60, rate=200, burst=None)
    samples = [synthetic.log_line(each, True).decode() for each in synthetic.requests(recipe, seed)]
    heads = [line.split("[")[0] for line in samples]
    tails = [line.split("]")[1] for line in samples]
    count = written = 0
    at = float(synthetic.NOON_NS // 10**9)
    with path.open("w", encoding="ascii") as log:
        while written < size:
            lines = []
            for _ in range(CHUNK):
                at += 0.002
                stamp = time.strftime("%d/%b/%Y:%H:%M:%S", time.gmtime(at - rng.random()))
                pick = rng.randrange(len(samples))
                lines.append(f"{heads[pick]}[{stamp} +0000]{tails[pick]}")
            text = "".join(lines)
            log.write(text)
            written += len(text)
            count += CHUNK
    return count


def make_har(path: Path, size: int) -> int:
    """Write a HAR file that consists mostly of response content; returns the number of entries."""
    answer = {"size": 24_000, "mimeType": "text/html", "text": '<p class="x">\u00e9\n</p>' * 1200}
    count = 0
    with path.open("wb") as out:
        out.write(b'{"log":{"version":"1.2","entries":[')
        for second in itertools.count():
            recipe = synthetic.Recipe(seconds=1, burst=None, start_ns=synthetic.NOON_NS + second * 10**9)
            for request in synthetic.requests(recipe, second):
                entry = har.entry_of(request)
                entry["response"]["content"] = answer
                out.write(b",\n" if count else b"\n")
                out.write(msgspec.json.encode(entry))
                count += 1
            if out.tell() >= size:
                break
        out.write(b"]}}")
    return count


def resident(root: int) -> int:
    """Return the resident memory of a process and its children, in bytes."""
    total, pids = 0, [root]
    while pids:
        pid = pids.pop()
        try:
            total += int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE
            for task in Path(f"/proc/{pid}/task").iterdir():
                pids += map(int, (task / "children").read_text().split())
        except OSError:
            continue
    return total


def main() -> None:
    """Print the table."""
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--form", choices=["access", "har"], default="access")
    words.add_argument("--mb", type=int, default=1000)
    words.add_argument("--processes", type=int, nargs="*", default=[3])
    given = words.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        log, out = Path(folder) / "source", Path(folder) / "demand"
        lines = (make if given.form == "access" else make_har)(log, given.mb * 1_000_000)
        size = log.stat().st_size
        print(f"{size / 1e6:,.0f} MB, {lines:,} lines or entries")
        print("parsing  seconds   lines/s   MB/s  most memory    requests     file")
        for processes in given.processes:
            began = time.monotonic()
            child = subprocess.Popen(
                [
                    sys.executable, "-m", "brambleusher", "load", "build", str(log), "-o", str(out),
                    "--log-format", "platform", "--processes", str(processes), "--json",
                ],
                stdout=subprocess.DEVNULL,
            )  # fmt: skip
            most = 0
            while child.poll() is None:
                most = max(most, resident(child.pid))
                time.sleep(0.1)
            seconds = time.monotonic() - began
            if child.returncode:
                raise SystemExit(f"the build ended with {child.returncode}")
            with DemandFile(out) as file:
                requests = len(file)
            print(
                f"{processes:>7} {seconds:>8.1f} {lines / seconds:>9,.0f} {size / 1e6 / seconds:>6.1f} "
                f"{most / 1e6:>9.0f} MB {requests:>11,} {out.stat().st_size / 1e6:>5.0f} MB"
            )


if __name__ == "__main__":
    main()
