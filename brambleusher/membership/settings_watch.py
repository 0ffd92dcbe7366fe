"""Notices a changed settings file, with a signal or without, and reads it again."""

from __future__ import annotations

import logging
import os
from collections.abc import Callable

from brambleusher.runtime.scheduler import Scheduler
from brambleusher.wire import settings as reader
from brambleusher.wire.errors import InvalidSettingsError
from brambleusher.wire.settings import Settings

log = logging.getLogger(__name__)

LOOK_EVERY_S = 2.0


class SettingsWatcher:
    """Calls `changed` with new settings; a file that can't be used changes nothing."""

    def __init__(self, scheduler: Scheduler, path: str, changed: Callable[[Settings], None]) -> None:
        self._scheduler, self._path, self._changed = scheduler, path, changed
        self._seen = self._stamp()
        if path:
            scheduler.spawn(self._run, name="settings")

    def check(self) -> None:
        """Read the file again if it is another one."""
        stamp = self._stamp()
        if stamp is None or stamp == self._seen:
            return
        self._seen = stamp
        try:
            settings = reader.read(self._path)
        except InvalidSettingsError as error:
            log.error("the settings stay as they were", extra={"fields": {"why": str(error)}})
            return
        self._changed(settings)

    def _run(self) -> None:
        while True:
            self._scheduler.sleep(LOOK_EVERY_S)
            self.check()

    def _stamp(self) -> tuple[int, int, int] | None:
        try:
            status = os.stat(self._path)
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino
