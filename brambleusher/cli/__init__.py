"""The command line: a file a command, imported when it is called and not before.

To add a command, add a line to `COMMANDS` and a file of that name here, whose `command` is a Click
command.  Its imports may be whatever the command needs; what comes from an extra of pyproject.toml
needs no guard of its own: `run_command` says which package is missing.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence

EXIT_USAGE = 2

# Command: what it does, in a line, and the extra that brings what it needs.
COMMANDS: dict[str, tuple[str, str]] = {
    "capture": ("Captures of a running sidecar.", "lab"),
    "explore": ("Play seeded days with faults in virtual time, and check every rule.", "lab"),
    "control": ("Serve the decisions to other proxies over xDS.", "control"),
    "lab": ("A stand-in fleet to try things on, and experiments with reports.", "lab"),
    "load": ("Demand from HAR files, access logs, JSON lines and captures.", "lab"),
    "soak-mutations": ("Count the seeds that a soak takes to find each planted fault.", "all"),
    "soak": ("Play the whole system as real processes, under series of signals and changes.", "all"),
    "replay": ("Rerun the decisions of a capture and print those that differ.", "lab"),
}


def run_without_click(arguments: Sequence[str]) -> int | None:
    """Run a command that has no options and needs no Click; return its exit status, None for any other.

    The platform installs what serving needs and no more, and these two are for use there.
    """
    match arguments:
        case ["replay", path] if not path.startswith("-"):
            from brambleusher.features.replay import replay

            return replay(path, sys.stdout, sys.stderr)
        case ["capture", "dump", pid] if pid.isascii() and pid.isdigit():
            from brambleusher.features.dump import dump

            return dump(int(pid))
    return None


def run_command(arguments: Sequence[str]) -> int:
    """Run one command; return its exit status.

    The status is 2 where the arguments are wrong or a package that the command needs is not installed.
    """
    status = run_without_click(arguments)
    if status is not None:
        return status
    try:
        from brambleusher.cli.group import run

        return run(arguments)
    except ModuleNotFoundError as error:
        missing = (error.name or "").split(".")[0]
        if missing in ("", "brambleusher"):
            raise
        named = next((argument for argument in arguments if argument in COMMANDS), "")
        extra = COMMANDS[named][1] if named else "lab"
        print(
            f"brambleusher: {missing} is not installed; it comes with the extra {extra}:"
            f" pip install 'brambleusher[{extra}]'",
            file=sys.stderr,
        )
        return EXIT_USAGE
