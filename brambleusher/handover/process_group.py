"""The handover components of one process: registry, limit shares, shared settings, state transfer."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from brambleusher.handover.folder_watcher import FolderWatcher
from brambleusher.handover.limit_shares import LimitShares
from brambleusher.handover.process_registry import ProcessRegistry
from brambleusher.handover.shared_folder import SharedFolder
from brambleusher.handover.shared_settings import SharedSettings, SharedSettingsStore
from brambleusher.handover.state_transfer import StateTransfer, TransferredState
from brambleusher.runtime.scheduler import Scheduler


class ProcessGroup:
    """The handover components of a process, which use one shared folder.

    Args:
        path: The shared folder.
        on_shares_changed: Called when this process's fractions of the limits have changed.
        on_settings: Called with the shared settings after another process may have changed them.
        export_state: Returns the state to transfer to a new process, None for no state.
    """

    def __init__(
        self,
        path: Path,
        on_shares_changed: Callable[[], None],
        on_settings: Callable[[SharedSettings], None],
        export_state: Callable[[], TransferredState | None],
    ) -> None:
        folder = SharedFolder(path)
        self.registry = ProcessRegistry(folder, on_shares_changed)
        self.shares = LimitShares(self.registry)
        self.settings = SharedSettingsStore(folder)
        self.transfer = StateTransfer(folder, export_state)
        self._path, self._on_settings = path, on_settings

    def watch(self, scheduler: Scheduler) -> None:
        """Spawn the task that watches the shared folder."""
        watcher = FolderWatcher(
            self._path, scheduler, self.registry, self.settings, self.transfer, self._on_settings
        )
        scheduler.spawn(watcher.run, name="handover", urgent=True)
