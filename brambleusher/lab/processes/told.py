"""Drills one after the other, told in a line each; one that fails is told with all that belongs to it."""

from __future__ import annotations

import json
import shutil
import sys
import tempfile
from collections.abc import Iterable
from dataclasses import asdict
from pathlib import Path

from brambleusher.lab.checker.sums import format_table
from brambleusher.lab.processes.breakages import ALL
from brambleusher.lab.processes.drill import Drill, Outcome, Where, play

MOST_TOLD = 5  # breaches with their time lines


def play_all(
    files: Iterable[tuple[Path, Drill]],
    where: str,
    logs: Path | None,
    breakage: str,
    as_json: bool,
    sums: bool = False,
) -> int:
    """Play them; the exit status: 1 if one failed, 3 if a rig was late, else 0."""
    if breakage and breakage not in ALL:
        print(f"brambleusher: --breakage: there is no {breakage!r}", file=sys.stderr)
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
            outcome = play(drill, world, folder, breakage)
            verdicts.add(outcome.verdict)
            print(as_line(path, outcome) if as_json else row(path, outcome), flush=True)
            if sums and not as_json:
                print("\n".join(f"    {line}" for line in curves(outcome)), flush=True)
            if outcome.verdict != "ok":
                tell(path, outcome, folder, breakage)
            elif folder is not None and logs is None:
                shutil.rmtree(folder)
    return 1 if "FAILED" in verdicts else 3 if "LATE" in verdicts else 0


def heading() -> str:
    """Of the lines."""
    return (
        f"{'drill':22} {'world':10} {'verdict':8} {'asked':>6} {'served':>7} {'refused':>8} {'attempts':>9} "
        f"{'well after':>10} {'late p99':>9} {'rig':>5} {'sidecars':>9} {'MB':>4}"
    )


def row(path: Path, out: Outcome) -> str:
    """One play."""
    line = (
        f"{path.stem:22} {out.where:10} {out.verdict:8} {out.asked:6} {out.served:7.3f} {out.refused:8.3f} "
        f"{out.attempts:9.2f} {out.well_s:8.1f} s"
    )
    if out.where == "virtual":
        return line
    rig = out.rig_cpu_s / out.wall_s if out.wall_s else 0.0
    return f"{line} {out.relay_p99_ms:6.1f} ms {rig:5.2f} {out.sidecar_cpu_s:7.1f} s {out.sidecar_mb:4.0f}"


def curves(out: Outcome) -> list[str]:
    """Sums over the fleet and what processes take, a line a second."""
    return [*format_table(out.curves), f"requests come from {out.begins_s:.1f} s on"]


def as_line(path: Path, out: Outcome) -> str:
    """One play as JSON."""
    raw = asdict(out)
    raw["breaches"] = [str(breach) for breach in out.breaches]
    return json.dumps({"drill": path.stem, "verdict": out.verdict, **raw})


def tell(path: Path, out: Outcome, folder: Path | None, breakage: str) -> None:
    """Why a play did not pass, where its logs are, and how to play it again."""
    for text in [*out.late, *out.missed]:
        print(f"    {text}", file=sys.stderr)
    for breach in out.breaches[:MOST_TOLD]:
        print("\n".join(f"    {line}" for line in str(breach).splitlines()), file=sys.stderr)
    if out.broken > MOST_TOLD:
        print(f"    {out.broken} breaches in all", file=sys.stderr)
    for text in out.lost[:MOST_TOLD]:
        print(f"    not served: {text}", file=sys.stderr)
    served = " ".join(f"{served}/{asked}" for asked, served in out.windows)
    print(f"    served of asked, second by second: {served}", file=sys.stderr)
    if folder is not None:
        print(f"    files and logs: {folder}", file=sys.stderr)
    extra = f" --breakage {breakage}" if breakage else ""
    print(f"    again: brambleusher lab drill {path} --{out.where}{extra}", file=sys.stderr)
