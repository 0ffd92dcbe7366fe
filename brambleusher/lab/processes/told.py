"""Plays drills one after the other, prints a line for each, and prints details of those that fail."""

from __future__ import annotations

import json
import shutil
import sys
import tempfile
from collections.abc import Iterable
from dataclasses import asdict
from pathlib import Path

from brambleusher.lab.checker.sums import format_table
from brambleusher.lab.processes.breakages import ALL_MUTATIONS
from brambleusher.lab.processes.drill import Drill, Outcome, Where, play

DETAILS_MAX = 5  # the most breaches, and the most unserved requests, printed for one play


def play_all(
    files: Iterable[tuple[Path, Drill]],
    where: str,
    logs: Path | None,
    mutation: str,
    as_json: bool,
    with_curves: bool = False,
) -> int:
    """Play drills and return the exit status.

    The status is 2 if the mutation is unknown, 1 if a drill failed, 3 if the test rig was late, else 0.
    """
    if mutation and mutation not in ALL_MUTATIONS:
        print(f"brambleusher: --breakage: unknown breakage {mutation!r}", file=sys.stderr)
        return 2
    verdicts = set()
    if not as_json:
        print(heading())
    for path, drill in files:
        worlds: tuple[Where, ...] = ("processes", "virtual")
        for world in worlds:
            if where not in (world, "both") or (where == "both" and drill.needs not in (world, "both")):
                continue
            folder = None
            if world == "processes":
                folder = logs / path.stem if logs is not None else Path(tempfile.mkdtemp(prefix="drill-"))
            outcome = play(drill, world, folder, mutation)
            verdicts.add(outcome.verdict)
            print(as_json_line(path, outcome) if as_json else row(path, outcome), flush=True)
            if with_curves and not as_json:
                print("\n".join(f"    {line}" for line in curve_lines(outcome)), flush=True)
            if outcome.verdict != "ok":
                print_failure(path, outcome, folder, mutation)
            elif folder is not None and logs is None:
                shutil.rmtree(folder)
    return 1 if "FAILED" in verdicts else 3 if "LATE" in verdicts else 0


def heading() -> str:
    """Return the column headings of the table of plays."""
    return (
        f"{'drill':22} {'world':10} {'verdict':8} {'asked':>6} {'served':>7} {'refused':>8} {'attempts':>9} "
        f"{'well after':>10} {'late p99':>9} {'rig':>5} {'sidecars':>9} {'MB':>4}"
    )


def row(path: Path, out: Outcome) -> str:
    """Return one play as a line of the table."""
    line = (
        f"{path.stem:22} {out.where:10} {out.verdict:8} {out.asked:6} {out.served:7.3f} {out.refused:8.3f} "
        f"{out.attempts:9.2f} {out.well_s:8.1f} s"
    )
    if out.where == "virtual":
        return line
    rig = out.rig_cpu_s / out.wall_s if out.wall_s else 0.0
    return f"{line} {out.relay_p99_ms:6.1f} ms {rig:5.2f} {out.sidecar_cpu_s:7.1f} s {out.sidecar_mb:4.0f}"


def curve_lines(out: Outcome) -> list[str]:
    """Return a table of fleet-wide totals and the resources of processes, with one line for each second."""
    return [*format_table(out.curves), f"requests start at {out.begins_s:.1f} s"]


def as_json_line(path: Path, out: Outcome) -> str:
    """Return one play as a line of JSON."""
    raw = asdict(out)
    raw["breaches"] = [str(breach) for breach in out.breaches]
    return json.dumps({"drill": path.stem, "verdict": out.verdict, **raw})


def print_failure(path: Path, out: Outcome, folder: Path | None, mutation: str) -> None:
    """Print to stderr why a play did not pass, where its logs are, and how to play the drill again."""
    for text in [*out.late, *out.missed]:
        print(f"    {text}", file=sys.stderr)
    for breach in out.breaches[:DETAILS_MAX]:
        print("\n".join(f"    {line}" for line in str(breach).splitlines()), file=sys.stderr)
    if out.broken > DETAILS_MAX:
        print(f"    {out.broken} breaches in total", file=sys.stderr)
    for text in out.lost[:DETAILS_MAX]:
        print(f"    not served: {text}", file=sys.stderr)
    served = " ".join(f"{served}/{asked}" for asked, served in out.windows)
    print(f"    requests served/asked in each second: {served}", file=sys.stderr)
    if folder is not None:
        print(f"    files and logs: {folder}", file=sys.stderr)
    extra = f" --breakage {mutation}" if mutation else ""
    print(f"    to play it again: brambleusher lab drill {path} --{out.where}{extra}", file=sys.stderr)
