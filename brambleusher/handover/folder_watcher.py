"""The task that follows the shared folder: who comes and goes, and what operators order elsewhere."""

from __future__ import annotations

import logging
from collections.abc import Callable
from pathlib import Path

from brambleusher.handover.process_registry import ProcessRegistry, ProcessStage
from brambleusher.handover.shared_settings import SharedSettings, SharedSettingsStore
from brambleusher.handover.state_transfer import StateTransfer
from brambleusher.runtime.scheduler import Scheduler

log = logging.getLogger(__name__)

SCAN_INTERVAL_S = 0.05  # between two looks at the folder's time of change
LIVENESS_INTERVAL_S = 0.25  # between two looks at the others' locks, which change no file
ERROR_BACKOFF_S = 1.0  # where the folder can't be read


class FolderWatcher:
    """Follows the shared folder, and offers the state to new processes while this one serves."""

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
        self._changed_ns = 0  # the folder's time of change at the last look

    def run(self) -> None:
        """Follow the folder; a task's body, without end."""
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
        """Scan the processes; where the folder has changed, read the settings and serve new processes.

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
