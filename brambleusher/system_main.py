"""Starts one role of the whole serving system, and passes other command lines to `fire`."""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence
from itertools import zip_longest
from typing import TYPE_CHECKING

if TYPE_CHECKING:  # imported late at run time, so that signals are held before slow imports
    from brambleusher.system_roles import GatewayOptions

SETTINGS_VARIABLE = "BRAMBLEUSHER_SETTINGS"
FAILURE_EXIT_STATUS = 1
USAGE_EXIT_STATUS = 2
ROLES = ("gateway", "controller", "member")


def main(arguments: Sequence[str] | None = None) -> int:
    """Run `gateway`, `controller`, `member`, or one of the tools; return the exit status.

    A gateway also takes `--policy FILE` and `--metrics PORT/PATH`. A `member` of the control plane runs a
    controller if its machine has a disk, otherwise an observer.
    """
    words = sys.argv[1:] if arguments is None else list(arguments)
    match words:
        case ["gateway", *options] if options:
            return _start_gateway_with(options)
        case [role] if role in ROLES:
            return _start_from_environment(role)
    from brambleusher.system_tools import run

    return run(words)


def _start_gateway_with(words: Sequence[str]) -> int:
    """Run a gateway with the options of its command line; return the exit status."""
    from brambleusher.system_roles import GatewayOptions

    values = {"--policy": "", "--metrics": ""}
    for name, value in zip_longest(words[::2], words[1::2]):
        if name not in values or value is None:
            print(f"brambleusher: gateway: {name!r} is not an option with a value", file=sys.stderr)
            return USAGE_EXIT_STATUS
        values[name] = value
    return _start_from_environment("gateway", GatewayOptions(values["--policy"], values["--metrics"]))


def _start_from_environment(role: str, options: GatewayOptions | None = None) -> int:
    """Run a role with the settings file that the environment names; return the exit status."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        print(f"brambleusher: {SETTINGS_VARIABLE} does not name a settings file", file=sys.stderr)
        return USAGE_EXIT_STATUS
    try:
        from brambleusher.system_roles import start
    except ImportError as error:
        print(f"brambleusher: {error}: run `build` of deploy/system.toml on this machine", file=sys.stderr)
        return FAILURE_EXIT_STATUS
    return start(role, path, options)


def _main_process() -> int:
    """Run as the main program of a process; return the exit status."""
    if not set(sys.argv[1:2]) & set(ROLES):
        return main()
    from brambleusher.runtime.signal_holding import run_holding_signals
    from brambleusher.runtime.standard_streams import use_non_blocking_output

    use_non_blocking_output()
    return run_holding_signals(main)


if __name__ == "__main__":
    sys.exit(_main_process())
