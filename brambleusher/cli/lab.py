"""`brambleusher lab`: a stand-in fleet to try things on, and experiments with reports."""

from __future__ import annotations

import sys
from pathlib import Path

import click

FILE = click.Path(path_type=Path)


@click.group(help="A stand-in fleet to try things on, and experiments with reports.")
def command() -> None:
    """A stand-in fleet to try things on, and experiments with reports."""


@command.command("up", help="A fleet on loopback: stand-in nodes, discovery, real sidecars.  Ctrl-C ends it.")
@click.argument("world", required=False, type=FILE)
@click.option("--for", "seconds", type=click.FloatRange(min=0), metavar="SECONDS", help="End it by itself.")
@click.option("--json", "as_json", is_flag=True, help="One line with all addresses, once all is ready.")
@click.option("--logs", type=FILE, metavar="DIR", help="Keep the sidecars' files and logs here.")
def up_command(world: Path | None, seconds: float | None, as_json: bool, logs: Path | None) -> int:
    """A fleet on loopback, of a world in YAML or the usual one."""
    from brambleusher.lab.up import up
    from brambleusher.lab.worlds import WorldError, read_world

    try:
        return up(read_world(world), seconds, as_json, logs)
    except WorldError as error:
        print(f"brambleusher: {error}", file=sys.stderr)
        return 1
