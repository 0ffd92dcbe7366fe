"""A simulated disk for tests, which loses unsynced data in a power loss and can be full."""

from __future__ import annotations

import errno
import random
from collections.abc import Callable


class PowerLossError(BaseException):
    """Raised by a disk operation during which the machine loses power."""


class File:
    def __init__(self) -> None:
        self.data = bytearray()
        self.durable: bytes | None = None  # synced content, or None if the file was never synced


class MemoryDisk:
    """Implements `runtime.disk.Disk` in memory, with power losses; `before` is called before every change."""

    def __init__(self) -> None:
        self.files: dict[str, File] = {}
        self.durable_names: dict[str, File] = {}
        self.full = False
        self.changes = 0
        self.before: Callable[[int, str], None] | None = None
        self.folder_syncs = True  # False injects the fault that folders are not synced

    def _change(self, what: str) -> None:
        self.changes += 1
        if self.before is not None:
            self.before(self.changes, what)

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        return bytes(self.files[name].data)

    def append(self, name: str, data: bytes) -> None:
        self._change("append")
        file = self.files.setdefault(name, File())
        if self.full:
            file.data += data[: len(data) // 2]  # a partial write precedes the error
            raise OSError(errno.ENOSPC, "No space left on device")
        file.data += data

    def truncate(self, name: str, size: int) -> None:
        self._change("truncate")
        del self.files[name].data[size:]

    def sync(self, name: str) -> None:
        self._change("sync")
        file = self.files[name]
        file.durable = bytes(file.data)
        if all(other is not file for other in self.durable_names.values()):
            self.durable_names[name] = file

    def sync_folder(self) -> None:
        self._change("sync_folder")
        if self.folder_syncs:
            self.durable_names = dict(self.files)

    def rename(self, name: str, to: str) -> None:
        self._change("rename")
        self.files[to] = self.files.pop(name)

    def remove(self, name: str) -> None:
        self._change("remove")
        del self.files[name]

    def lose_power(self, rng: random.Random, nothing_unsynced: bool = False) -> None:
        """Keep durable data; each change that was not synced is independently kept, torn or lost."""
        names: dict[str, File] = {}
        for name in {*self.files, *self.durable_names}:
            now, durable = self.files.get(name), self.durable_names.get(name)
            survivor = durable if now is durable or nothing_unsynced or rng.random() < 0.5 else now
            if survivor is not None:
                names[name] = survivor
        # A renamed file may have its old name, its new name or both after the power loss.
        for name, file in names.items():
            fresh = File()
            fresh.data = bytearray(self._survives(file, rng, nothing_unsynced))
            fresh.durable = bytes(fresh.data)
            names[name] = fresh
        self.files, self.durable_names = names, dict(names)
        self.full = False

    @staticmethod
    def _survives(file: File, rng: random.Random, nothing_unsynced: bool) -> bytes:
        durable = file.durable or b""
        if nothing_unsynced or not bytes(file.data).startswith(durable):
            return durable
        tail = bytes(file.data[len(durable) :])
        if not tail:
            return durable
        kind = rng.choice(("lost", "torn", "complete", "hole"))
        if kind == "lost":
            return durable
        if kind == "torn":
            return durable + tail[: rng.randrange(len(tail))]
        if kind == "hole":
            at = rng.randrange(len(tail))
            return durable + tail[:at] + b"\0" * min(8, len(tail) - at) + tail[at + 8 :]
        return durable + tail
