"""Installs the signal handlers of a sidecar."""

from __future__ import annotations

import signal
from collections.abc import Callable

from brambleusher.runtime.system import System


def install_signal_handlers(
    system: System,
    on_shutdown: Callable[[], None],
    on_reload: Callable[[], None],
    on_report: Callable[[], None],
) -> None:
    """Shut down on SIGTERM and SIGINT, reload on SIGHUP and report on SIGUSR1."""
    # Without a handler, SIGHUP would end the process.
    system.on_signal(signal.SIGHUP, on_reload)
    system.on_signal(signal.SIGTERM, on_shutdown)
    system.on_signal(signal.SIGINT, on_shutdown)
    system.on_signal(signal.SIGUSR1, on_report)
