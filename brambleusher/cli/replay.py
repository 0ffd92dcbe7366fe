"""`brambleusher replay`: rerun the decisions of a capture."""

from __future__ import annotations

import sys

import click

from brambleusher.features.replay import replay


@click.command(help="Rerun the decisions of a capture and print those that differ.")
@click.argument("file")
def command(file: str) -> int:
    """Rerun a capture; return 0 if no decision differs, 1 if some do, 2 if the file is invalid."""
    return replay(file, sys.stdout, sys.stderr)
