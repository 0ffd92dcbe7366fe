"""Errors of the durable log."""

from __future__ import annotations

from dataclasses import dataclass


class StorageError(Exception):
    """Base of the errors of this package."""


@dataclass(eq=False)
class CorruptStorageError(StorageError):
    """Records that had been synced can't be read any more."""

    name: str
    reason: str

    def __str__(self) -> str:
        """Return the file's name and the reason, for logs and responses."""
        return f"{self.name}: {self.reason}"
