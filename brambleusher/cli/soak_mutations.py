"""`brambleusher soak-mutations`: count the seeds that a soak test needs to find each injected fault."""

from __future__ import annotations

import sys

import click

from brambleusher.cli.soak import seeds_of
from brambleusher.lab.soak.mutation_runs import run_mutations
from brambleusher.lab.soak.mutations import MUTATIONS, UnknownMutationError
from brambleusher.lab.soak.settings import InvalidSoakSettingsError

SEEDS = "9200:9210"
JOBS_MAX = 16


@click.command(help="Run soak tests with injected faults, and count the seeds until each fault is found.")
@click.argument("names", nargs=-1)
@click.option(
    "--seeds", default=SEEDS, show_default=True, metavar="FROM:TO", help="The seeds to run, excluding TO."
)
@click.option("--seconds", default=20.0, show_default=True, help="The duration of each soak test.")
@click.option(
    "--jobs",
    default=2,
    show_default=True,
    type=click.IntRange(1, JOBS_MAX),
    help="Soak tests to run at the same time.",
)
@click.option("--list", "is_list", is_flag=True, help="List the faults without running a test.")
def command(names: tuple[str, ...], seeds: str, seconds: float, jobs: int, is_list: bool) -> int:
    """Run soak tests, and print a row for each injected fault.

    Returns:
        Exit status 0 if all faults were found, 1 if one was missed, 2 if a name or an option is invalid.
    """
    if is_list:
        for mutation in MUTATIONS.values():
            print(
                f"{mutation.name:26} {mutation.program:20} {mutation.summary} ({', '.join(mutation.rules)})"
            )
        return 0
    is_missed = False
    try:
        for result in run_mutations(names, seeds_of(seeds), seconds, jobs):
            print(result.row(), flush=True)
            is_missed = is_missed or not result.is_found
    except (UnknownMutationError, InvalidSoakSettingsError) as error:
        print(f"brambleusher: {error}", file=sys.stderr)
        return 2
    return int(is_missed)
