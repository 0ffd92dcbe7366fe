"""The task that watches the shared folder for starting and ending processes and changed settings."""

from __future__ import annotations

import logging
from collections.abc import Callable
from pathlib import Path

from brambleusher.handover.process_registry import ProcessRegistry, ProcessStage
from brambleusher.handover.shared_settings import SharedSettings, SharedSettingsStore
from brambleusher.handover.state_transfer import StateTransfer
from brambleusher.runtime.scheduler import Scheduler

log = logging.getLogger(__name__)

SCAN_INTERVAL_S = 0.05  # interval between checks of the folder's modification time
LIVENESS_INTERVAL_S = 0.25  # interval between checks of the locks, whose release modifies no file
ERROR_BACKOFF_S = 1.0  # pause after the folder could not be read


class FolderWatcher:
    """Watches the shared folder, and transfers state to new processes while this process is serving."""

    def __init__(
        self,
        path: Path,
        scheduler: Scheduler,
        registry: ProcessRegistry,
        settings: SharedSettingsStore,
        transfer: StateTransfer,
        on_settings: Callable[[SharedSettings], None],
    ) -> None:
        self._path, self._scheduler = path, scheduler
        self._registry, self._settings, self._transfer = registry, settings, transfer
        self._on_settings = on_settings
        self._changed_ns = 0  # the folder's modification time at the last check

    def run(self) -> None:
        """Watch the folder forever; this is the body of a task."""
        check_liveness_at = 0.0
        while True:
            try:
                now, changed_ns = self._scheduler.now(), self._path.stat().st_mtime_ns
                is_changed = changed_ns != self._changed_ns
                if is_changed or (self._registry.others and now >= check_liveness_at):
                    check_liveness_at = now + LIVENESS_INTERVAL_S
                    self.poll(is_changed)
                    self._changed_ns = changed_ns
            except OSError as error:
                log.warning("shared folder unreadable", extra={"fields": {"error": error}})
                self._scheduler.sleep(ERROR_BACKOFF_S)
            self._scheduler.sleep(SCAN_INTERVAL_S)

    def poll(self, is_changed: bool) -> None:
        """Scan the processes; if the folder changed, read the settings and send state to new processes.

        Raises:
            OSError: The folder can't be read.
        """
        self._registry.refresh()
        if not is_changed:
            return
        if (settings := self._settings.read()) is not None:
            self._on_settings(settings)
        if self._registry.stage is not ProcessStage.SERVING:
            return
        for pid, stage in self._registry.others.items():
            if stage is ProcessStage.STARTING:
                self._transfer.send(pid)
