"""The signals that a sidecar handles."""

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
    """Handle SIGTERM and SIGINT by a shutdown, SIGHUP by a reload, SIGUSR1 by a report."""
    # Guards against SIGHUP ending the process, which is what it does where nobody handles it.
    system.on_signal(signal.SIGHUP, on_reload)
    system.on_signal(signal.SIGTERM, on_shutdown)
    system.on_signal(signal.SIGINT, on_shutdown)
    system.on_signal(signal.SIGUSR1, on_report)
