"""`brambleusher soak`: run the whole system as real processes under overlapping signals and changes."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from brambleusher.lab.soak.coincidences import Coincidences
from brambleusher.lab.soak.departures import DepartureTimes, departures
from brambleusher.lab.soak.mutations import UnknownMutationError, find_mutation
from brambleusher.lab.soak.run import SoakError, SoakResult, play
from brambleusher.lab.soak.settings import DEPARTED_S, InvalidSoakSettingsError, SoakSettings

VIOLATIONS_PRINTED = 10


def seeds_of(text: str) -> range:
    """Parse FROM:TO or a single seed into a range; raise `click.BadParameter` for any other text."""
    first, colon, last = text.partition(":")
    if not first.isdigit() or (colon and not last.isdigit()):
        raise click.BadParameter(f"{text!r} is not FROM:TO", param_hint="--seeds")
    return range(int(first), int(last) if colon else int(first) + 1)


@click.command(
    help="Run seeded soak tests of the whole system with real processes, and check all invariants."
)
@click.option("--seeds", default="1:2", metavar="FROM:TO", help="The seeds to run, excluding TO.")
@click.option("--seconds", default=30.0, show_default=True, help="The duration of each soak test.")
@click.option("--gateways", default=4, show_default=True, help="Gateways.")
@click.option("--clients", default=24, show_default=True, help="Clients.")
@click.option("--instances", default=6, show_default=True, help="Number of instances of the two services.")
@click.option(
    "--sidecars", default=2, show_default=True, help="Number of sidecars, each with its own endpoints."
)
@click.option(
    "--departed",
    default=DEPARTED_S,
    show_default=True,
    help="Seconds that a request may run after its client has left, beyond the delay of the test itself.",
)
@click.option("--mutation", default="", metavar="NAME", help="Inject a fault into all processes.")
@click.option(
    "--logs", "folder", metavar="FOLDER", help="Keep settings and logs of all processes in this folder."
)
def command(
    seeds: str,
    seconds: float,
    gateways: int,
    clients: int,
    instances: int,
    sidecars: int,
    departed: float,
    mutation: str,
    folder: str | None,
) -> int:
    """Run soak tests one after the other, then print departure times and which events overlapped.

    Returns:
        Exit status 0 if all invariants held, 1 if one was violated, 2 if a soak test could not run.
    """
    is_broken = False
    times, coincidences = DepartureTimes(), Coincidences()
    for seed in seeds_of(seeds):
        try:
            if mutation:
                find_mutation(mutation)
            settings = SoakSettings(
                seed,
                seconds,
                gateways,
                instances=instances,
                clients=clients,
                sidecars=sidecars,
                departed_s=departed,
                mutation=mutation,
            )
            result = play(settings, Path(folder) / str(seed) if folder else None)
        except (InvalidSoakSettingsError, SoakError, UnknownMutationError) as error:
            print(f"brambleusher: seed {seed}: {error}", file=sys.stderr)
            return 2
        _print_result(result)
        times.add(departures(result.record))
        coincidences.add(result.record)
        is_broken = is_broken or bool(result.violations)
    print("\n".join(["", *times.rows(), "", *coincidences.rows()]))
    return int(is_broken)


def _print_result(result: SoakResult) -> None:
    print(result.summary(), flush=True)
    for violation in result.violations[:VIOLATIONS_PRINTED]:
        print(f"  {violation}", flush=True)
