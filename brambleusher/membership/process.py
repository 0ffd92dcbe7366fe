"""Main loop of a process, and its handling of signals."""

from __future__ import annotations

import signal
from collections.abc import Callable

from brambleusher.membership.settings_watch import SettingsWatcher
from brambleusher.runtime.scheduler import Scheduler


def run_until_signalled(
    scheduler: Scheduler, begin_shutdown: Callable[[], None], settings: SettingsWatcher
) -> None:
    """Run the scheduler until it stops; SIGTERM and SIGINT begin the shutdown, SIGHUP checks the settings."""
    system = scheduler.system
    for number in (signal.SIGTERM, signal.SIGINT):
        system.on_signal(number, lambda: scheduler.call_soon(begin_shutdown))
    system.on_signal(signal.SIGHUP, lambda: scheduler.call_soon(settings.check))
    scheduler.run()
