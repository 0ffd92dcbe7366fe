"""The command line, with one module for each command that is imported only when the command runs.

To add a command, add a line to `COMMANDS` and a module of that name in this package whose `command` is a
Click command. The module may import packages of any extra of pyproject.toml without handling import errors,
as `run_command` reports which package is missing.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence

EXIT_USAGE = 2

# Each command with its one-line description and the extra that provides its packages.
COMMANDS: dict[str, tuple[str, str]] = {
    "capture": ("Captures of a running sidecar.", "lab"),
    "explore": ("Simulate seeded scenarios with faults in virtual time, and check all invariants.", "lab"),
    "control": ("Serve the decisions to other proxies over xDS.", "control"),
    "lab": ("Run a simulated fleet, and experiments with reports.", "lab"),
    "load": ("Build and replay load from HAR files, access logs, JSON lines and captures.", "lab"),
    "soak-mutations": ("Count the seeds that a soak test needs to find each injected fault.", "all"),
    "soak": ("Run the whole system as real processes under overlapping signals and changes.", "all"),
    "replay": ("Rerun the decisions of a capture and print those that differ.", "lab"),
}


def run_without_click(arguments: Sequence[str]) -> int | None:
    """Run `replay` or `capture dump` without Click; return the exit status, or None for other commands.

    The platform installs only the packages needed for serving, and these two commands must work there.
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

    The status is 2 if the arguments are invalid or a package that the command needs is not installed.
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
