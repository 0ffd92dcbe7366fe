"""The command line: a file a command, imported when it is called and not before.

To add a command, add a line to `COMMANDS` and a file of that name here, whose `command` is a Click
command.  Its imports may be whatever the command needs; what comes from an extra of pyproject.toml
needs no guard of its own: `call` says which package is missing.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence

# Command: what it does, in a line, and the extra that brings what it needs.
COMMANDS: dict[str, tuple[str, str]] = {
    "capture": ("Captures of a running sidecar.", "lab"),
    "explore": ("Play seeded days with faults in virtual time, and check every rule.", "lab"),
    "control": ("Serve the decisions to other proxies over xDS.", "control"),
    "lab": ("A stand-in fleet to try things on, and experiments with reports.", "lab"),
    "load": ("Demand from HAR files, access logs, JSON lines and captures.", "lab"),
    "replay": ("Rerun the decisions of a capture and print those that differ.", "lab"),
}


def plainly(words: Sequence[str]) -> int | None:
    """The exit status of a command that has no options and needs no Click; None for any other.

    The platform installs what serving needs and no more, and these two are for use there.
    """
    match words:
        case ["replay", path] if not path.startswith("-"):
            from brambleusher.features.replay import replay

            return replay(path, sys.stdout, sys.stderr)
        case ["capture", "dump", pid] if pid.isascii() and pid.isdigit():
            from brambleusher.features.dump import dump

            return dump(int(pid))
    return None


def call(words: Sequence[str]) -> int:
    """Run one command; 2 where it is not worded rightly or something that it needs is not installed."""
    status = plainly(words)
    if status is not None:
        return status
    try:
        from brambleusher.cli.group import run

        return run(words)
    except ModuleNotFoundError as error:
        missing = (error.name or "").split(".")[0]
        if missing in ("", "brambleusher"):
            raise
        named = next((word for word in words if word in COMMANDS), "")
        extra = COMMANDS[named][1] if named else "lab"
        print(
            f"brambleusher: {missing} is not installed; it comes with the extra {extra}:"
            f" pip install 'brambleusher[{extra}]'",
            file=sys.stderr,
        )
        return 2
