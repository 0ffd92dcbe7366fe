"""`brambleusher lab`: run a simulated fleet on loopback, and experiments with reports."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from brambleusher.cli.ranges import DURATION_S

FILE_PATH = click.Path(path_type=Path)


@click.group(help="Run a simulated fleet, and experiments with reports.")
def command() -> None:
    """Group the commands of the test bed."""


@command.command(
    "up", help="Run a fleet on loopback: simulated nodes, discovery, real sidecars.  Ctrl-C stops it."
)
@click.argument("world", required=False, type=FILE_PATH)
@click.option("--for", "seconds", type=DURATION_S, metavar="SECONDS", help="Stop after this many seconds.")
@click.option("--json", "as_json", is_flag=True, help="Print one line with all addresses once all is ready.")
@click.option("--logs", type=FILE_PATH, metavar="DIR", help="Keep the sidecars' files and logs here.")
def up_command(world: Path | None, seconds: float | None, as_json: bool, logs: Path | None) -> int:
    """Run a fleet on loopback, either the default one or one described by a YAML file."""
    from brambleusher.lab.fleets.worlds import WorldError, read_world
    from brambleusher.lab.processes.up import up

    try:
        return up(read_world(world), seconds, as_json, logs)
    except WorldError as error:
        print(f"brambleusher: {error}", file=sys.stderr)
        return 1


@command.command("run", help="Run an experiment: a matrix of worlds, demands, settings and seeds.")
@click.argument("experiment", type=FILE_PATH)
@click.option(
    "-o", "--out", type=FILE_PATH, metavar="FILE", help="The results file.  [default: EXPERIMENT.sqlite]"
)
@click.option("--jobs", type=click.IntRange(1, 256), metavar="N", help="Processes.  [default: one per core]")
@click.option("--json", "as_json", is_flag=True, help="Print the metrics of every cell as JSON at the end.")
def run_command(experiment: Path, out: Path | None, jobs: int | None, as_json: bool) -> int:
    """Run the cells of the experiment that are missing from the results file.

    Returns:
        Exit status 0, or 1 if a cell failed or an invariant was violated.
    """
    import json

    from brambleusher.lab.experiments.matrix import print_progress, run_all
    from brambleusher.lab.experiments.plan import ExperimentError, read_experiment
    from brambleusher.lab.experiments.store import Store, StoreError

    out = out or experiment.with_suffix(".sqlite")
    try:
        file, cells = read_experiment(experiment)
        failed = run_all(file, cells, out, jobs, print_progress)
        with Store(out) as store:
            metrics = {cell.title: store.metrics(cell.id) for cell in store.cells()}
    except (ExperimentError, StoreError) as error:
        print(f"brambleusher: {error}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 130
    if as_json:
        print(json.dumps(metrics))
    print(f"{len(cells) - failed} of {len(cells)} cells are in {out}", file=sys.stderr)
    return 1 if failed or any(each.get("breaches") for each in metrics.values()) else 0


@command.command("compare", help="Print paired differences of A and B, each a results file or FILE:SETTINGS.")
@click.argument("first", metavar="A")
@click.argument("second", metavar="B")
@click.option("--all", "has_node_loads", is_flag=True, help="Include the load of each node.")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def compare_command(first: str, second: str, has_node_loads: bool, as_json: bool) -> int:
    """Compare pairs of cells with the same world, demand, seed and position."""
    import json
    from dataclasses import asdict

    from brambleusher.lab.experiments.compare import ComparedResults, compare, format_differences
    from brambleusher.lab.experiments.store import StoreError

    try:
        differences = compare(ComparedResults.parse(first), ComparedResults.parse(second))
    except StoreError as error:
        print(f"brambleusher: {error}", file=sys.stderr)
        return 1
    if as_json:
        print(json.dumps([{**asdict(each), "clear": each.excludes_zero} for each in differences]))
    else:
        print("\n".join(format_differences(differences, has_node_loads)))
    return 0


@command.command("report", help="Write a self-contained HTML report on an experiment.")
@click.argument("results", type=FILE_PATH)
@click.option("-o", "--out", type=FILE_PATH, metavar="FILE", help="The report.  [default: RESULTS.html]")
def report_command(results: Path, out: Path | None) -> int:
    """Write the report on an experiment as an HTML page."""
    from brambleusher.lab.experiments.report import render_report
    from brambleusher.lab.experiments.store import Store, StoreError

    out = out or results.with_suffix(".html")
    try:
        with Store(results) as store:
            out.write_text(render_report(store), encoding="utf-8")
    except StoreError as error:
        print(f"brambleusher: {error}", file=sys.stderr)
        return 1
    except OSError as error:
        print(f"brambleusher: {out}: {error.strerror}", file=sys.stderr)
        return 1
    print(out)
    return 0


@command.command("drill", help="Run drills: real processes with faults between them, and checks.")
@click.argument("drills", nargs=-1, required=True, type=FILE_PATH, metavar="FILE...")
@click.option(
    "--processes", "where", flag_value="processes", default=True, help="Use real processes (default)."
)
@click.option("--virtual", "where", flag_value="virtual", help="Simulate the drill in virtual time.")
@click.option("--both", "where", flag_value="both", help="Run both and compare them.")
@click.option("--logs", type=FILE_PATH, metavar="DIR", help="Keep the sidecars' files and logs here.")
@click.option(
    "--breakage", "mutation", default="", metavar="NAME", help="Inject a deliberate fault into every sidecar."
)
@click.option(
    "--sums",
    "has_sums",
    is_flag=True,
    help="Print totals over the fleet, memory and descriptors for each second.",
)
@click.option(
    "--json", "as_json", is_flag=True, help="Print one line of JSON per run, including its time series."
)
def drill_command(
    drills: tuple[Path, ...], where: str, logs: Path | None, mutation: str, has_sums: bool, as_json: bool
) -> int:
    """Run drills and print one line for each.

    Returns:
        Exit status 0, 1 if a drill failed, 2 if a file is invalid, 3 if the test machine was too slow for a
        valid result.
    """
    from brambleusher.lab.processes.drill import DrillError, read_drill
    from brambleusher.lab.processes.told import play_all

    try:
        files = [(path, read_drill(path)) for path in drills]
    except DrillError as error:
        print(f"brambleusher: {error}", file=sys.stderr)
        return 2
    return play_all(files, where, logs, mutation, as_json, has_sums)
