"""Runs a sidecar as the main program of a process."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable

from brambleusher.features.output_queue import OutputQueueStream
from brambleusher.observability.log_format import configure
from brambleusher.operator_settings.configuration import OperatorFile, load_operator_file
from brambleusher.operator_settings.section import OperatorFileError
from brambleusher.runtime.system import System
from brambleusher.sidecar.app import Sidecar
from brambleusher.sidecar.configuration import Config, ConfigError, load_config
from brambleusher.sidecar.garbage_collection import GarbageCollectionPolicy, freeze_current_objects

LOG_QUEUE_BYTES = 64 * 1024  # bytes of log lines queued while features also write to standard error
EXIT_CONFIGURATION = 2  # exit status for an invalid configuration


def serve(
    load: Callable[[], Config],
    operator: OperatorFile | None = None,
    log_format: str = "logfmt",
    load_operator: Callable[[], OperatorFile] | None = None,
    system: System | None = None,
) -> None:
    """Run a sidecar until it is told to shut down.

    Raises:
        ConfigError: The configuration is invalid.
        OperatorFileError: The operator file is invalid.
    """
    garbage_collection = GarbageCollectionPolicy()
    sidecar = Sidecar(load(), load, operator, system, load_operator)
    sidecar.endpoint_list.on_step = garbage_collection.step
    if sidecar.outputs.has_stderr:
        # A queue keeps log calls, and thus requests, from blocking when a feature has filled the pipe.
        queue = sidecar.outputs.stderr().add_queue(LOG_QUEUE_BYTES)
        configure(stream=OutputQueueStream(queue), form=log_format)
    sidecar.install_signal_handlers()
    try:
        try:
            sidecar.start()
        except OSError as error:
            raise ConfigError(f"listen: {error.strerror}") from None
        freeze_current_objects()
        sidecar.run()
    finally:
        sidecar.close()
        configure(form=log_format)


def run(operator_path: str | None, log_format: str, system: System | None = None) -> int:
    """Run a sidecar with the configuration from the environment; return the exit status."""
    configure(form=log_format)
    try:
        operator = load_operator_file(operator_path)
        serve(
            lambda: load_config(os.environ),
            operator,
            log_format,
            lambda: load_operator_file(operator_path),
            system,
        )
    except OperatorFileError as error:
        print(f"brambleusher: bad operator file: {error}", file=sys.stderr)
        return EXIT_CONFIGURATION
    except ConfigError as error:
        print(f"brambleusher: bad configuration: {error}", file=sys.stderr)
        return EXIT_CONFIGURATION
    return 0
