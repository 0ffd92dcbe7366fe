"""The command line: configuration, logging, start."""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Sequence

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
    return words


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
    return run(given.operator)


if __name__ == "__main__":
    sys.exit(main())
