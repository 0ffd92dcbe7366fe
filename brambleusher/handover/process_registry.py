"""The registry of the running processes of one sidecar, based on file locks.

Each process holds a lock on a file in the shared folder as long as it lives; the file name contains its
stage.  Locks show which processes are alive without trusting process ids: a killed process loses its lock.
"""

from __future__ import annotations

import fcntl
import logging
import os
import re
from collections.abc import Callable, Mapping
from enum import Enum, auto
from pathlib import Path

from brambleusher.handover.shared_folder import FILE_MODE, SharedFolder, open_descriptor

log = logging.getLogger(__name__)

DESCRIPTORS = 3  # descriptors for the process's lock, the folder's lock, and a file being read or written


class ProcessStage(Enum):
    """The stage of a process in its life cycle."""

    STARTING = auto()
    SERVING = auto()
    DRAINING = auto()


# Stage names in file names; these are fixed, as processes of other versions read them.
STAGE_PREFIXES = {
    ProcessStage.STARTING: "starting",
    ProcessStage.SERVING: "serving",
    ProcessStage.DRAINING: "leaving",
}
_STAGES_BY_PREFIX = {prefix: stage for stage, prefix in STAGE_PREFIXES.items()}
_STAGE_FILE = re.compile(rf"({'|'.join(_STAGES_BY_PREFIX)})-(\d+)\Z")


def stage_file(stage: ProcessStage, pid: int) -> str:
    """Return the name of a process's file at the given stage."""
    return f"{STAGE_PREFIXES[stage]}-{pid}"


def joining_file(pid: int) -> str:
    """Return the file name of a process that does not hold its lock yet; other processes ignore it."""
    return f"joining-{pid}"


def _ignore_change() -> None:
    """Do nothing; the default for `on_shares_changed`."""


def _is_alive(path: Path) -> bool:
    """Return whether the process of a stage file still holds its lock."""
    try:
        with open_descriptor(path, os.O_RDWR) as descriptor:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except FileNotFoundError:
        return False  # the file was renamed meanwhile; that change triggers another scan
    except BlockingIOError:
        return True
    return False


class ProcessRegistry:
    """Registers this process and tracks the other processes of its sidecar.

    `on_shares_changed` is called before this process publishes a new stage, and from `refresh` if the other
    processes have changed.
    """

    def __init__(self, folder: SharedFolder, on_shares_changed: Callable[[], None] = _ignore_change) -> None:
        self._folder = folder
        self._on_shares_changed = on_shares_changed
        self._lock_fd = -1
        self._stage_path: Path | None = None
        self.stage = ProcessStage.STARTING
        self._others: dict[int, ProcessStage] = {}

    @property
    def others(self) -> Mapping[int, ProcessStage]:
        """The stage of each other process by process id, as of the last scan."""
        return self._others

    @property
    def process_count(self) -> int:
        """The number of processes, including this one."""
        return 1 + len(self._others)

    @property
    def is_other_serving(self) -> bool:
        """Whether another process was serving at the last scan."""
        return ProcessStage.SERVING in self._others.values()

    def register(self) -> bool:
        """Register this process; return whether another process is serving.

        Raises:
            OSError: The folder can't be created or written.
        """
        self._folder.create()
        joining = self._folder.path / joining_file(self._folder.pid)
        self._lock_fd = os.open(joining, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        fcntl.flock(self._lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        # The rename comes after locking: otherwise another process could scan in between, find no lock and
        # remove the file as that of a killed process.
        self._stage_path = joining.rename(self._path_of(ProcessStage.STARTING))
        self._others = self._scan()
        return self.is_other_serving

    def set_stage(self, stage: ProcessStage) -> None:
        """Publish this process's stage; has no effect if the process is not registered."""
        if self._stage_path is None:
            return
        self.stage = stage
        self._on_shares_changed()
        try:
            self._stage_path = self._stage_path.rename(self._path_of(stage))
        except OSError as error:
            fields = {"stage": STAGE_PREFIXES[stage], "error": error}
            log.warning("process stage not published", extra={"fields": fields})

    def unregister(self) -> None:
        """Remove this process from the registry."""
        if self._stage_path is not None:
            self._stage_path.unlink(missing_ok=True)
            self._stage_path = None
        if self._lock_fd >= 0:
            os.close(self._lock_fd)
            self._lock_fd = -1

    def has_successor(self) -> bool:
        """Scan the processes, and return whether another process is serving."""
        try:
            self._others = self._scan()
        except OSError:
            return False
        return self.is_other_serving

    def refresh(self) -> None:
        """Scan the processes, and call `on_shares_changed` if others differ from the last scan.

        Raises:
            OSError: The folder can't be read.
        """
        before = self._others
        self._others = self._scan()
        if self._others != before:
            log.info("process count changed", extra={"fields": {"count": self.process_count}})
            self._on_shares_changed()

    def _path_of(self, stage: ProcessStage) -> Path:
        return self._folder.path / stage_file(stage, self._folder.pid)

    def _scan(self) -> dict[int, ProcessStage]:
        """Return the other live processes, and remove the files of dead ones."""
        found: dict[int, ProcessStage] = {}
        for path in self._folder.path.iterdir():
            match = _STAGE_FILE.match(path.name)
            if match is None or int(match[2]) == self._folder.pid:
                continue
            if _is_alive(path):
                found[int(match[2])] = _STAGES_BY_PREFIX[match[1]]
            else:
                path.unlink(missing_ok=True)
        return found
