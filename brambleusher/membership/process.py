"""The life of a process of the system as signals drive it."""

from __future__ import annotations

import signal
from collections.abc import Callable

from brambleusher.membership.settings_watch import SettingsWatcher
from brambleusher.runtime.scheduler import Scheduler


def run_until_signalled(scheduler: Scheduler, leave: Callable[[], None], settings: SettingsWatcher) -> None:
    """Run; SIGTERM and SIGINT have it leave, SIGHUP has the settings looked at."""
    system = scheduler.system
    for number in (signal.SIGTERM, signal.SIGINT):
        system.on_signal(number, lambda: scheduler.call_soon(leave))
    system.on_signal(signal.SIGHUP, lambda: scheduler.call_soon(settings.check))
    scheduler.run()
