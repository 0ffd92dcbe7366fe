"""Exceptions of the durable log."""

from __future__ import annotations

from dataclasses import dataclass


class StorageError(Exception):
    """Base class of the exceptions of this package."""


@dataclass(eq=False)
class CorruptStorageError(StorageError):
    """A file contains synced records that can no longer be read."""

    name: str
    reason: str

    def __str__(self) -> str:
        """Return the file's name and the reason, for logs and responses."""
        return f"{self.name}: {self.reason}"
