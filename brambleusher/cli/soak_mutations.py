"""`brambleusher soak-mutations`: how many seeds a soak takes to find each planted fault."""

from __future__ import annotations

import sys

import click

from brambleusher.cli.soak import seeds_of
from brambleusher.lab.soak.mutation_runs import run_mutations
from brambleusher.lab.soak.mutations import MUTATIONS, UnknownMutationError
from brambleusher.lab.soak.settings import InvalidSoakSettingsError

SEEDS = "9200:9210"
JOBS_MAX = 16


@click.command(help="Play soaks against planted faults, and count the seeds until each is found.")
@click.argument("names", nargs=-1)
@click.option(
    "--seeds", default=SEEDS, show_default=True, metavar="FROM:TO", help="Seeds, the last not included."
)
@click.option("--seconds", default=20.0, show_default=True, help="How long actions go on, each.")
@click.option(
    "--jobs", default=2, show_default=True, type=click.IntRange(1, JOBS_MAX), help="Soaks at a time."
)
@click.option("--list", "is_list", is_flag=True, help="Name the planted faults, and play none.")
def command(names: tuple[str, ...], seeds: str, seconds: float, jobs: int, is_list: bool) -> int:
    """Play soaks, and print a row for each planted fault.

    Returns:
        Exit status 0 where all were found, 1 where one was not, 2 where a name or an option is wrong.
    """
    if is_list:
        for mutation in MUTATIONS.values():
            print(f"{mutation.name:26} {mutation.program:20} {mutation.text} ({', '.join(mutation.rules)})")
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
