"""Starts one role of the whole serving system; everything else on its command line is `fire`'s."""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import zip_longest

from brambleusher.observability import log_format as logs
from brambleusher.runtime.disk import FolderDisk
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.wire import policy as policy_reader
from brambleusher.wire import settings as reader
from brambleusher.wire.errors import WireError
from brambleusher.wire.metrics_endpoint import MetricsEndpoint
from brambleusher.wire.policy import Policy

SETTINGS_VARIABLE = "BRAMBLEUSHER_SETTINGS"
USAGE_EXIT_STATUS = 2
MEMBER = "member"
ROLES = ("gateway", "controller", MEMBER)


@dataclass(frozen=True, slots=True)
class GatewayOptions:
    """What the command line of a gateway may say; empty: nothing."""

    policy_path: str = ""
    metrics: str = ""  # PORT/PATH


def start(role: str, path: str, options: GatewayOptions | None = None) -> int:
    """Run a role with a settings file until it ends; return the exit status."""
    logs.configure()
    try:
        settings = reader.read(path)
        if role == "gateway":
            return _start_gateway(settings, path, options or GatewayOptions())
    except WireError as error:
        print(f"brambleusher: {error}", file=sys.stderr)
        return USAGE_EXIT_STATUS
    if not settings.data_dir:
        return _start_without_disk(role, settings, path)
    from brambleusher.controller.app import Controller

    Controller(RealSystem(), settings, FolderDisk(settings.data_dir), path).run()
    return 0


def _start_gateway(settings: reader.Settings, path: str, options: GatewayOptions) -> int:
    """Run a gateway; raises `InvalidFileError` and `InvalidMetricsEndpointError`."""
    from brambleusher.gateway.app import Gateway

    policy = policy_reader.read(options.policy_path) if options.policy_path else Policy()
    metrics = MetricsEndpoint.parse(options.metrics) if options.metrics else None
    Gateway(RealSystem(), settings, path, policy, metrics).run()
    return 0


def _start_without_disk(role: str, settings: reader.Settings, path: str) -> int:
    """Run an observer on a machine without a disk, where a controller may run on any machine of a class."""
    if role != MEMBER:
        print(f"brambleusher: {path}: data_dir: a controller needs a folder", file=sys.stderr)
        return USAGE_EXIT_STATUS
    from brambleusher.controller.observer import Observer

    Observer(RealSystem(), settings, path).run()
    return 0


def main(arguments: Sequence[str] | None = None) -> int:
    """Run `gateway`, `controller`, `member`, or one of the tools; return the exit status.

    A gateway takes `--policy FILE` and `--metrics PORT/PATH` too.  A `member` of the control plane is a
    controller where its machine has a disk, and else an observer.
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
    values = {"--policy": "", "--metrics": ""}
    for name, value in zip_longest(words[::2], words[1::2]):
        if name not in values or value is None:
            print(f"brambleusher: gateway: {name!r} is no option with a value", file=sys.stderr)
            return USAGE_EXIT_STATUS
        values[name] = value
    return _start_from_environment("gateway", GatewayOptions(values["--policy"], values["--metrics"]))


def _start_from_environment(role: str, options: GatewayOptions | None = None) -> int:
    """Run a role with the settings file that the environment names; return the exit status."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        print(f"brambleusher: {SETTINGS_VARIABLE} names no settings file", file=sys.stderr)
        return USAGE_EXIT_STATUS
    return start(role, path, options)


if __name__ == "__main__":
    sys.exit(main())
