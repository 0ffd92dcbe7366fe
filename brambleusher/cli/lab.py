"""`brambleusher lab`: a stand-in fleet to try things on, and experiments with reports."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from brambleusher.cli.ranges import DURATION_S

FILE_PATH = click.Path(path_type=Path)


@click.group(help="A stand-in fleet to try things on, and experiments with reports.")
def command() -> None:
    """Group the commands of the test bed."""


@command.command("up", help="A fleet on loopback: stand-in nodes, discovery, real sidecars.  Ctrl-C ends it.")
@click.argument("world", required=False, type=FILE_PATH)
@click.option("--for", "seconds", type=DURATION_S, metavar="SECONDS", help="End it by itself.")
@click.option("--json", "as_json", is_flag=True, help="One line with all addresses, once all is ready.")
@click.option("--logs", type=FILE_PATH, metavar="DIR", help="Keep the sidecars' files and logs here.")
def up_command(world: Path | None, seconds: float | None, as_json: bool, logs: Path | None) -> int:
    """Run a fleet on loopback, as a file in YAML describes it or the default one."""
    from brambleusher.lab.fleets.worlds import WorldError, read_world
    from brambleusher.lab.processes.up import up

    try:
        return up(read_world(world), seconds, as_json, logs)
    except WorldError as error:
        print(f"brambleusher: {error}", file=sys.stderr)
        return 1


@command.command("run", help="Run an experiment: a matrix of worlds, demands, settings and seeds.")
@click.argument("experiment", type=FILE_PATH)
@click.option("-o", "--out", type=FILE_PATH, metavar="FILE", help="Results.  [default: beside it, .sqlite]")
@click.option("--jobs", type=click.IntRange(1, 256), metavar="N", help="Processes.  [default: one a core]")
@click.option("--json", "as_json", is_flag=True, help="The figures of every cell as JSON at the end.")
def run_command(experiment: Path, out: Path | None, jobs: int | None, as_json: bool) -> int:
    """Run the cells that the results lack.

    Returns:
        Exit status 0, or 1 when a cell failed or a rule was broken.
    """
    import json

    from brambleusher.lab.experiments.matrix import run_all, told
    from brambleusher.lab.experiments.plan import ExperimentError, read_experiment
    from brambleusher.lab.experiments.store import Store, StoreError

    out = out or experiment.with_suffix(".sqlite")
    try:
        file, cells = read_experiment(experiment)
        failed = run_all(file, cells, out, jobs, told)
        with Store(out) as store:
            metrics = {cell.title: store.figures(cell.id) for cell in store.cells()}
    except (ExperimentError, StoreError) as error:
        print(f"brambleusher: {error}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 130
    if as_json:
        print(json.dumps(metrics))
    print(f"{len(cells) - failed} of {len(cells)} cells are in {out}", file=sys.stderr)
    return 1 if failed or any(each.get("breaches") for each in metrics.values()) else 0


@command.command("compare", help="Paired differences of A and B, each a results file or FILE:SETTINGS.")
@click.argument("first", metavar="A")
@click.argument("second", metavar="B")
@click.option("--all", "has_node_loads", is_flag=True, help="Each node's load, too.")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def compare_command(first: str, second: str, has_node_loads: bool, as_json: bool) -> int:
    """Compare pairs of cells with the same world, demand, seed and position."""
    import json
    from dataclasses import asdict

    from brambleusher.lab.experiments.compare import Side, compare, texts
    from brambleusher.lab.experiments.store import StoreError

    try:
        differences = compare(Side.of(first), Side.of(second))
    except StoreError as error:
        print(f"brambleusher: {error}", file=sys.stderr)
        return 1
    if as_json:
        print(json.dumps([{**asdict(each), "clear": each.clear} for each in differences]))
    else:
        print("\n".join(texts(differences, has_node_loads)))
    return 0


@command.command("report", help="One page on an experiment, with everything in it.")
@click.argument("results", type=FILE_PATH)
@click.option("-o", "--out", type=FILE_PATH, metavar="FILE", help="The page.  [default: beside it, .html]")
def report_command(results: Path, out: Path | None) -> int:
    """Write one HTML page."""
    from brambleusher.lab.experiments.report import page
    from brambleusher.lab.experiments.store import Store, StoreError

    out = out or results.with_suffix(".html")
    try:
        with Store(results) as store:
            out.write_text(page(store), encoding="utf-8")
    except StoreError as error:
        print(f"brambleusher: {error}", file=sys.stderr)
        return 1
    except OSError as error:
        print(f"brambleusher: {out}: {error.strerror}", file=sys.stderr)
        return 1
    print(out)
    return 0


@command.command("drill", help="Play drills: real processes with faults between them, checked.")
@click.argument("drills", nargs=-1, required=True, type=FILE_PATH, metavar="FILE...")
@click.option("--processes", "where", flag_value="processes", default=True, help="Real processes (usual).")
@click.option("--virtual", "where", flag_value="virtual", help="In virtual time.")
@click.option("--both", "where", flag_value="both", help="In both worlds, side by side.")
@click.option("--logs", type=FILE_PATH, metavar="DIR", help="Keep the sidecars' files and logs here.")
@click.option(
    "--breakage", "mutation", default="", metavar="NAME", help="Put a deliberate fault into every sidecar."
)
@click.option(
    "--sums",
    "has_sums",
    is_flag=True,
    help="Print the sums over the fleet, memory and descriptors by second.",
)
@click.option("--json", "as_json", is_flag=True, help="One line of JSON a play, its curves with it.")
def drill_command(
    drills: tuple[Path, ...], where: str, logs: Path | None, mutation: str, has_sums: bool, as_json: bool
) -> int:
    """Run drills and print one line for each.

    Returns:
        Exit status 0, 1 when a drill failed, 2 when a file is invalid, 3 when a rig was too late to judge.
    """
    from brambleusher.lab.processes.drill import DrillError, read_drill
    from brambleusher.lab.processes.told import play_all

    try:
        files = [(path, read_drill(path)) for path in drills]
    except DrillError as error:
        print(f"brambleusher: {error}", file=sys.stderr)
        return 2
    return play_all(files, where, logs, mutation, as_json, has_sums)
