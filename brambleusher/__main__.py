"""The command line: configuration, logging, start."""

from __future__ import annotations

import argparse
import os
import re
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

from brambleusher.config import ConfigError, load_config
from brambleusher.logs import configure
from brambleusher.operator_file import OperatorError, load_operator_file
from brambleusher.sidecar import serve


def parser() -> argparse.ArgumentParser:
    """What may stand on the command line."""
    words = argparse.ArgumentParser(
        prog="brambleusher", description="A sidecar load balancer; without a command it serves."
    )
    words.add_argument("--operator", metavar="FILE", help="the operator file, in YAML: features to switch on")
    commands = words.add_subparsers(dest="command", metavar="COMMAND")
    capture = commands.add_parser("capture", help="captures of a running sidecar")
    dump = capture.add_subparsers(dest="what", required=True).add_parser(
        "dump", help="have a sidecar write its capture to its standard error"
    )
    dump.add_argument("pid", metavar="PID", type=int)
    again = commands.add_parser("replay", help="rerun the decisions of a capture and print those that differ")
    again.add_argument("file", metavar="FILE")
    return words


def handles_usr1(pid: int) -> bool:
    """Whether a process handles SIGUSR1; where the system does not tell, it is taken to."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return True
    caught = re.search(r"^SigCgt:\s*([0-9a-f]+)$", status, re.M)
    return caught is None or bool(int(caught[1], 16) >> (signal.SIGUSR1 - 1) & 1)


def dump(pid: int) -> int:
    """Ask a sidecar for its capture; 1 if that can't be done."""
    try:
        if pid < 1:  # which would be a group of processes
            raise ProcessLookupError
        # Guards against ending a process that has no handler for the signal.
        if not handles_usr1(pid):
            print(f"brambleusher: process {pid} takes no SIGUSR1: no sidecar", file=sys.stderr)
            return 1
        os.kill(pid, signal.SIGUSR1)
    except (OSError, OverflowError) as error:
        print(
            f"brambleusher: process {pid}: {getattr(error, 'strerror', None) or 'not there'}", file=sys.stderr
        )
        return 1
    return 0


def run(operator_path: str | None) -> int:
    """Serve until told to end; 2 if the configuration or the operator file can't be used."""
    configure()
    try:
        operator = load_operator_file(operator_path)
        serve(lambda: load_config(os.environ), operator)
    except OperatorError as error:
        print(f"brambleusher: bad operator file: {error}", file=sys.stderr)
        return 2
    except ConfigError as error:
        print(f"brambleusher: bad configuration: {error}", file=sys.stderr)
        return 2
    return 0


def main(arguments: Sequence[str] | None = None) -> int:
    """One command; the exit status is what it returns."""
    given = parser().parse_args(arguments)
    if given.command == "capture":
        return dump(given.pid)
    if given.command == "replay":
        from brambleusher.features.replay import replay  # here, so that a sidecar doesn't load it

        return replay(given.file, sys.stdout, sys.stderr)
    return run(given.operator)


if __name__ == "__main__":
    sys.exit(main())
