"""Starts the roles of the whole serving system; imported only when a role is started."""

from __future__ import annotations

import logging
import os
import sys
from dataclasses import dataclass
from pathlib import Path

from brambleusher.observability import log_format as logs
from brambleusher.runtime.address_reservation import reserve_addresses
from brambleusher.runtime.disk import FolderDisk
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.signal_holding import ShutdownRequestedError, check_shutdown_request
from brambleusher.runtime.streams import parse_address
from brambleusher.wire import policy as policy_reader
from brambleusher.wire import settings as reader
from brambleusher.wire.errors import InvalidSettingsError, WireError
from brambleusher.wire.metrics_endpoint import MetricsEndpoint
from brambleusher.wire.policy import Policy

log = logging.getLogger(__name__)

SETTINGS_WAIT_MAX_S = 2.0
SETTINGS_RETRY_INTERVAL_S = 0.05
FAILURE_EXIT_STATUS = 1
USAGE_EXIT_STATUS = 2
GATEWAY = "gateway"
MEMBER = "member"


@dataclass(frozen=True, slots=True)
class GatewayOptions:
    """The command-line options of a gateway; an empty string means that the option is not given."""

    policy_path: str = ""
    metrics: str = ""  # the metrics endpoint as PORT/PATH


def start(role: str, path: str, options: GatewayOptions | None = None) -> int:
    """Run a role with a settings file until it ends; return the exit status."""
    logs.configure()
    _log_process(role)
    try:
        settings = _read_settings(RealSystem(), path)
        return _run(role, settings, path, options or GatewayOptions())
    except WireError as error:
        print(f"brambleusher: {error}", file=sys.stderr)
        return USAGE_EXIT_STATUS
    except ShutdownRequestedError:
        return 0
    except Exception as error:
        log.exception("process failed", extra={"fields": {"role": role, "error": error}})
        return FAILURE_EXIT_STATUS


def _log_process(role: str) -> None:
    """Log which process starts, and on which interpreter and kind of machine."""
    fields = {
        "role": role,
        "pid": os.getpid(),
        "python": sys.version.partition(" ")[0],
        "machine": os.uname().machine,
    }
    log.info("process starting", extra={"fields": fields})


def _read_settings(system: RealSystem, path: str) -> reader.Settings:
    """Read the settings file, again for a while if it can't be used, as it may just be being replaced.

    Raises:
        InvalidSettingsError: The file can't be used for `SETTINGS_WAIT_MAX_S`; the error names file and key.
        ShutdownRequestedError: The process is told to shut down while it waits.
    """
    give_up_at = system.monotonic() + SETTINGS_WAIT_MAX_S
    while True:
        try:
            return reader.read(path)
        except InvalidSettingsError:
            if system.monotonic() >= give_up_at or Path(path).is_fifo():  # a pipe can't be read twice
                raise
        check_shutdown_request()
        system.sleep(SETTINGS_RETRY_INTERVAL_S)


def _run(role: str, settings: reader.Settings, path: str, options: GatewayOptions) -> int:
    """Run a role until it ends; return the exit status."""
    if role == GATEWAY:
        return _start_gateway(settings, path, options)
    if not settings.data_dir:
        return _start_without_disk(role, settings, path)
    from brambleusher.controller.app import Controller

    # The disk may still be used by the predecessor, as long as that uses the addresses.
    system = _reserve_addresses(role, settings)
    Controller(system, settings, FolderDisk(settings.data_dir), path).run()
    return 0


def _reserve_addresses(role: str, settings: reader.Settings) -> RealSystem:
    """Wait until all addresses that a role listens on are free; return the system that has them reserved."""
    bind = settings.bind
    if role == GATEWAY:
        addresses = [bind.front, bind.ready]
    else:
        addresses = [settings.peer_address, bind.control, bind.directory]
    system = RealSystem()
    reserve_addresses(system, [parse_address(address) for address in addresses if address])
    return system


def _start_gateway(settings: reader.Settings, path: str, options: GatewayOptions) -> int:
    """Run a gateway; raise `InvalidFileError` or `InvalidMetricsEndpointError` for invalid options."""
    from brambleusher.gateway.app import Gateway

    policy = policy_reader.read(options.policy_path) if options.policy_path else Policy()
    metrics = MetricsEndpoint.parse(options.metrics) if options.metrics else None
    Gateway(_reserve_addresses(GATEWAY, settings), settings, path, policy, metrics).run()
    return 0


def _start_without_disk(role: str, settings: reader.Settings, path: str) -> int:
    """Run an observer on a machine without a disk; reject other roles, which need a data folder."""
    if role != MEMBER:
        print(f"brambleusher: {path}: data_dir: a controller needs a folder", file=sys.stderr)
        return USAGE_EXIT_STATUS
    from brambleusher.controller.observer import Observer

    Observer(_reserve_addresses(role, settings), settings, path).run()
    return 0
