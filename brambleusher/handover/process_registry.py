"""One sidecar in two processes, while a new version takes over from an old one.

The processes share a folder.  Each has a file in it, locked as long as it lives, whose name says how far it
is; so who is there is known without trusting process ids, and one that was killed is gone with its lock.
`shared.json` is what operators have said (bans, out of service): merged by the time of each call, replaced
whole.  `learnt-PID.json` is what an old process has learnt, written once for a newcomer.

A file that is torn, foreign, old or missing means a start from nothing, with a warning.
"""

from __future__ import annotations

import fcntl
import logging
import os
import re
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from enum import Enum
from pathlib import Path
from typing import Any

import orjson

from brambleusher.runtime.scheduler import Scheduler

log = logging.getLogger(__name__)

VERSION = 1
LOOK_SECONDS = 0.05  # between two looks at the folder
LIVES_SECONDS = 0.25  # between two looks at whether the others live, which changes no file
LEARNT_SECONDS = 0.5  # that a newcomer waits for what the old process has learnt
MOST_BYTES = 4 * 1024 * 1024  # of a file that is read
DESCRIPTORS = 3  # the own lock, the lock on the shared file, and a file that is read or written
SHARED_FILE = "shared.json"
LOCK_FILE = "lock"
VERSION_KEY = "v"


class Stage(Enum):
    """How far a process is."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


# The words in file names, apart from the enum's: processes of two versions of the program read them.
STAGE_PREFIXES = {Stage.STARTING: "starting", Stage.SERVING: "serving", Stage.LEAVING: "leaving"}
_STAGES_BY_PREFIX = {prefix: stage for stage, prefix in STAGE_PREFIXES.items()}
_PROCESS = re.compile(rf"({'|'.join(_STAGES_BY_PREFIX)})-(\d+)\Z")


# How the processes of a sidecar share what it may hold, and what it may send to cold nodes.
ROOM = {Stage.STARTING: 1, Stage.SERVING: 2, Stage.LEAVING: 1}
SENDS = {Stage.STARTING: 0, Stage.SERVING: 4, Stage.LEAVING: 1}


def part_of(parts: dict[Stage, int], own: Stage, others: Iterable[Stage]) -> float:
    """The part that a process of one stage takes beside others."""
    rest = sum(parts[stage] for stage in others)
    return parts[own] / (parts[own] + rest) if rest else 1.0


def stage_file(stage: Stage, pid: int) -> str:
    """Name the file of a process at some stage."""
    return f"{STAGE_PREFIXES[stage]}-{pid}"


def joining_file(pid: int) -> str:
    """Name the file of a process that does not hold its lock yet."""
    return f"joining-{pid}"


def learnt_file(pid: int) -> str:
    """Name the file of what a newcomer is told."""
    return f"learnt-{pid}.json"


def folder_for(tmpdir: str, name: str) -> Path:
    """The folder that all processes of one sidecar share."""
    return Path(tmpdir) / ("brambleusher-" + re.sub(r"[^A-Za-z0-9_.]", "_", name))


class Takeover:
    """This process among those of its sidecar.

    `on_shared` is told of what another process shares, `on_parts` that its parts have changed, and
    `learnt` makes what a newcomer is told.  `OSError` in any step is logged: a sidecar that can't use the
    folder serves alone.
    """

    def __init__(self, folder: Path, scheduler: Scheduler, pid: int | None = None) -> None:
        self._folder, self._scheduler = folder, scheduler
        self._pid = os.getpid() if pid is None else pid
        self._lock = -1
        self._path: Path | None = None
        self._stage = Stage.STARTING
        self._changed = 0  # the folder's time of change at the last look
        self._told: set[int] = set()  # newcomers that were told what was learnt
        self._others: dict[int, Stage] = {}
        self.on_shared: Callable[[dict[str, Any]], None] = lambda shared: None
        self.on_parts: Callable[[], None] = lambda: None
        self.learnt: Callable[[], dict[str, Any] | None] = lambda: None

    # --- this process ---------------------------------------------------------------------------

    def join(self) -> bool:
        """Be seen; true where another process serves already.  Raises `OSError`."""
        self._folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        path = self._folder / stage_file(Stage.STARTING, self._pid)
        unseen = self._folder / joining_file(self._pid)
        self._lock = os.open(unseen, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        # Guards against another that looks round between the two, and takes us for one that was killed.
        self._path = unseen.rename(path)
        self._others = self._look_round()
        return Stage.SERVING in self._others.values()

    def stage(self, stage: Stage) -> None:
        """Say how far this process is."""
        if self._path is None:
            return
        self._stage = stage
        self.on_parts()
        try:
            self._path = self._path.rename(self._folder / stage_file(stage, self._pid))
        except OSError as error:
            log.warning("can't say how far this process is", extra={"fields": {"error": error}})

    def leave(self) -> None:
        """Be gone."""
        if self._path is not None:
            self._path.unlink(missing_ok=True)
            self._path = None
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    # --- the others -----------------------------------------------------------------------------

    @property
    def room(self) -> float:
        """The part that this process has of what the sidecar may hold."""
        return part_of(ROOM, self._stage, self._others.values())

    @property
    def sends(self) -> float:
        """The part that this process has of what the sidecar may send to cold nodes."""
        return part_of(SENDS, self._stage, self._others.values())

    @property
    def processes(self) -> int:
        """How many there are, this one too."""
        return 1 + len(self._others)

    def has_successor(self) -> bool:
        """Whether another process serves, as it stands now."""
        try:
            self._others = self._look_round()
        except OSError:
            return False
        return Stage.SERVING in self._others.values()

    def _look_round(self) -> dict[int, Stage]:
        """The other processes that live; files of those that don't are removed."""
        found: dict[int, Stage] = {}
        for name in os.listdir(self._folder):
            match = _PROCESS.match(name)
            if match is None or int(match[2]) == self._pid:
                continue
            path = self._folder / name
            if self._lives(path):
                found[int(match[2])] = _STAGES_BY_PREFIX[match[1]]
            else:
                path.unlink(missing_ok=True)
        return found

    @staticmethod
    def _lives(path: Path) -> bool:
        try:
            fd = os.open(path, os.O_RDWR | os.O_CLOEXEC)
        except FileNotFoundError:
            return False  # renamed since: the folder's change brings another look
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return True
        finally:
            os.close(fd)
        return False

    def watch(self) -> None:
        """The task: follow what happens in the folder."""
        lives_at = 0.0
        while True:
            try:
                now, changed = self._scheduler.now(), os.stat(self._folder).st_mtime_ns
                if changed != self._changed or (self._others and now >= lives_at):
                    lives_at = now + LIVES_SECONDS
                    self._look(changed != self._changed)
                    self._changed = changed
            except OSError as error:
                log.warning("the shared folder can't be read", extra={"fields": {"error": error}})
                self._scheduler.sleep(1.0)
            self._scheduler.sleep(LOOK_SECONDS)

    def _look(self, changed: bool) -> None:
        before = self._others
        self._others = self._look_round()
        if self._others != before:
            log.info("processes of this sidecar", extra={"fields": {"count": self.processes}})
            self.on_parts()
        if not changed:
            return
        if (shared := self.shared()) is not None:
            self.on_shared(shared)
        for pid, stage in self._others.items():
            if stage is Stage.STARTING and pid not in self._told and self._stage is Stage.SERVING:
                self._told.add(pid)
                self._tell(pid)

    # --- what goes across -----------------------------------------------------------------------

    def shared(self) -> dict[str, Any] | None:
        """What operators have said; None where nothing can be read."""
        return self._read(self._folder / SHARED_FILE)

    def share(self, merge: Callable[[dict[str, Any]], dict[str, Any]]) -> None:
        """Replace what is shared by what `merge` makes of it; logged where that can't be done."""
        try:
            with self._alone():
                self._write(self._folder / SHARED_FILE, merge(self.shared() or {}))
        except OSError as error:
            log.error("what operators said can't be shared", extra={"fields": {"error": error}})

    @contextmanager
    def _alone(self) -> Iterator[None]:
        """Guards against two processes that both read, and each overwrite what the other has written."""
        fd = os.open(self._folder / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX)
            yield
        finally:
            os.close(fd)

    def _tell(self, pid: int) -> None:
        try:
            if (learnt := self.learnt()) is not None:
                self._write(self._folder / learnt_file(pid), learnt)
        except Exception as error:
            # Guards against a fault in what is only a help to the newcomer.
            log.warning("what was learnt can't be handed on", extra={"fields": {"error": error}})

    def taught(self, sleep: Callable[[float], None], now: Callable[[], float]) -> dict[str, Any] | None:
        """What the process that serves has learnt; None where it does not come in time."""
        path, until = self._folder / learnt_file(self._pid), now() + LEARNT_SECONDS
        while not path.exists():
            if now() >= until:
                log.warning("the process that serves has handed on nothing")
                return None
            sleep(LOOK_SECONDS / 5)
        try:
            return self._read(path)
        finally:
            path.unlink(missing_ok=True)

    def _write(self, path: Path, values: dict[str, Any]) -> None:
        beside = path.with_name(f"{path.name}.{self._pid}")
        beside.write_bytes(orjson.dumps({VERSION_KEY: VERSION, **values}))
        beside.replace(path)

    @staticmethod
    def _read(path: Path) -> dict[str, Any] | None:
        try:
            with path.open("rb") as file:
                raw = orjson.loads(file.read(MOST_BYTES + 1))
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:
            log.warning("a shared file can't be read", extra={"fields": {"file": path.name, "error": error}})
            return None
        if not isinstance(raw, dict) or raw.get(VERSION_KEY) != VERSION:
            log.warning("a shared file is not this version's", extra={"fields": {"file": path.name}})
            return None
        return raw
