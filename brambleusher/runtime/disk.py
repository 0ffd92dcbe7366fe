"""The one folder in which a process keeps its state; a test's disk may lose what was not synced."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol


class Disk(Protocol):
    """Files of one folder; every call may block, and raises `OSError`."""

    def names(self) -> list[str]:
        """List the files that are there."""

    def read(self, name: str) -> bytes:
        """All bytes of a file."""

    def append(self, name: str, data: bytes) -> None:
        """Add bytes to a file, which is made where it is not there."""

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size."""

    def sync(self, name: str) -> None:
        """Make a file's bytes durable."""

    def sync_folder(self) -> None:
        """Make files made, renamed and removed so durable."""

    def rename(self, name: str, to: str) -> None:
        """Rename a file over another."""

    def remove(self, name: str) -> None:
        """Remove a file."""


class FolderDisk:
    """A folder of the operating system."""

    def __init__(self, folder: str) -> None:
        self._folder = Path(folder)
        self._folder.mkdir(parents=True, exist_ok=True)

    def names(self) -> list[str]:
        """List the files that are there."""
        return sorted(path.name for path in self._folder.iterdir())

    def read(self, name: str) -> bytes:
        """All bytes of a file."""
        return (self._folder / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Add bytes to a file, which is made where it is not there."""
        with (self._folder / name).open("ab", buffering=0) as file:
            view = memoryview(data)
            while view:
                view = view[file.write(view) :]

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size."""
        os.truncate(self._folder / name, size)

    def sync(self, name: str) -> None:
        """Make a file's bytes durable."""
        self._sync_path(self._folder / name)

    def sync_folder(self) -> None:
        """Make files made, renamed and removed so durable."""
        self._sync_path(self._folder)

    def rename(self, name: str, to: str) -> None:
        """Rename a file over another."""
        (self._folder / name).replace(self._folder / to)

    def remove(self, name: str) -> None:
        """Remove a file."""
        (self._folder / name).unlink()

    @staticmethod
    def _sync_path(path: Path) -> None:
        descriptor = os.open(path, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
