"""`brambleusher`, without a command: serve."""

from __future__ import annotations

import os
import sys

from brambleusher.observability.log_format import configure
from brambleusher.operator_settings.configuration import load_operator_file
from brambleusher.operator_settings.section import OperatorError
from brambleusher.runtime.system import System
from brambleusher.sidecar.app import serve
from brambleusher.sidecar.configuration import ConfigError, load_config


def run(operator_path: str | None, log_format: str, system: System | None = None) -> int:
    """Serve until told to end; 2 if the configuration or the operator file can't be used."""
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
    except OperatorError as error:
        print(f"brambleusher: bad operator file: {error}", file=sys.stderr)
        return 2
    except ConfigError as error:
        print(f"brambleusher: bad configuration: {error}", file=sys.stderr)
        return 2
    return 0
