"""The interface to the state folder of a process; a test disk can lose data that was not synced."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol


class Disk(Protocol):
    """The files of one folder; every call may block and may raise `OSError`."""

    def names(self) -> list[str]:
        """Return the names of the files in the folder."""

    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    def append(self, name: str, data: bytes) -> None:
        """Append bytes to a file, creating the file if it does not exist."""

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""

    def sync(self, name: str) -> None:
        """Flush a file's content to durable storage."""

    def sync_folder(self) -> None:
        """Make file creations, renames and removals in the folder durable."""

    def rename(self, name: str, to: str) -> None:
        """Rename a file, replacing a file with the new name."""

    def remove(self, name: str) -> None:
        """Remove a file from the folder."""


class FolderDisk:
    """A state folder in the file system of the operating system."""

    def __init__(self, folder: str) -> None:
        self._folder = Path(folder)
        self._folder.mkdir(parents=True, exist_ok=True)

    def names(self) -> list[str]:
        """Return the names of the files in the folder."""
        return sorted(path.name for path in self._folder.iterdir())

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return (self._folder / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Append bytes to a file, creating the file if it does not exist."""
        with (self._folder / name).open("ab", buffering=0) as file:
            view = memoryview(data)
            while view:
                view = view[file.write(view) :]

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""
        os.truncate(self._folder / name, size)

    def sync(self, name: str) -> None:
        """Flush a file's content to durable storage."""
        self._sync_path(self._folder / name)

    def sync_folder(self) -> None:
        """Make file creations, renames and removals in the folder durable."""
        self._sync_path(self._folder)

    def rename(self, name: str, to: str) -> None:
        """Rename a file, replacing a file with the new name."""
        (self._folder / name).replace(self._folder / to)

    def remove(self, name: str) -> None:
        """Remove a file from the folder."""
        (self._folder / name).unlink()

    @staticmethod
    def _sync_path(path: Path) -> None:
        descriptor = os.open(path, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
