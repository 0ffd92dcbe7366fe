"""The program's entry point, which serves with minimal imports and passes other commands to `cli`."""

from __future__ import annotations

import signal
import sys
from collections.abc import Sequence

XDS_COMMAND = "control"  # the command of `cli` that serves, and reloads its configuration on SIGHUP


def parse_serving_options(arguments: Sequence[str]) -> dict[str, str] | None:
    """Return the options of a command line for serving, or None if `cli` has to parse it."""
    options: dict[str, str] = {}
    remaining = iter(arguments)
    for argument in remaining:
        name, equals, value = argument.partition("=")
        if not equals:
            value = next(remaining, "")
        if name not in ("--operator", "--log-format") or not value or value.startswith("-"):
            return None
        options[name] = value
    return None if options.get("--log-format", "logfmt") not in ("logfmt", "json") else options


def main(arguments: Sequence[str] | None = None) -> int:
    """Serve or run one command; return the exit status."""
    arguments = sys.argv[1:] if arguments is None else list(arguments)
    options = parse_serving_options(arguments)
    if options is not None:
        from brambleusher.sidecar.main import run

        return run(options.get("--operator"), options.get("--log-format", "logfmt"))
    from brambleusher.cli import run_command

    return run_command(arguments)


def _main_process() -> int:
    """Run as the main program of a process; return the exit status."""
    from brambleusher.runtime.signal_holding import hold_signals, run_holding_signals

    if sys.argv[1:2] == [XDS_COMMAND]:
        hold_signals(signal.SIGHUP)
    if parse_serving_options(sys.argv[1:]) is None:
        return main()
    return run_holding_signals(main)


if __name__ == "__main__":
    sys.exit(_main_process())
