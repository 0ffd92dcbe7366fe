"""`brambleusher capture`: captures of a running sidecar."""

from __future__ import annotations

import click

from brambleusher.features import dump as signal


@click.group(help="Control captures of a running sidecar.")
def command() -> None:
    """Group the commands that control captures."""


@command.command(help="Have a sidecar write its capture to its standard error.")
@click.argument("pid", type=int)
def dump(pid: int) -> int:
    """Have a sidecar write its capture to its standard error; return 1 if that can't be done."""
    return signal.dump(pid)
