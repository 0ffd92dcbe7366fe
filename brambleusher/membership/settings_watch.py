"""Detects changes of the settings file, periodically and on a signal, and reloads it."""

from __future__ import annotations

import logging
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from brambleusher.runtime.scheduler import Scheduler
from brambleusher.wire import settings as reader
from brambleusher.wire.errors import InvalidSettingsError
from brambleusher.wire.settings import Settings

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 2.0


class FileVersion(NamedTuple):
    """File attributes that change when the file is written or replaced."""

    modified_ns: int
    size_bytes: int
    inode: int


class SettingsWatcher:
    """Calls back with changed settings; an invalid file is logged and otherwise ignored."""

    def __init__(self, scheduler: Scheduler, path: str, on_changed: Callable[[Settings], None]) -> None:
        """Watch the file at `path`, or no file if `path` is ""."""
        self._scheduler, self._path, self._on_changed = scheduler, path, on_changed
        self._version = self._current_version()
        if path:
            scheduler.spawn(self._run, name="settings")

    def check(self) -> None:
        """Reload the file if it has changed."""
        version = self._current_version()
        if version is None or version == self._version:
            return
        self._version = version
        try:
            settings = reader.read(self._path)
        except InvalidSettingsError as error:
            reason = str(error)
        else:
            self._on_changed(settings)
            return
        log.error("settings reload failed", extra={"fields": {"path": self._path, "reason": reason}})

    def _run(self) -> None:
        while True:
            self._scheduler.sleep(CHECK_INTERVAL_S)
            self.check()

    def _current_version(self) -> FileVersion | None:
        if not self._path:
            return None
        try:
            status = Path(self._path).stat()
        except OSError:
            return None
        return FileVersion(status.st_mtime_ns, status.st_size, status.st_ino)
