"""Exceptions for invalid messages, configurations and files."""

from __future__ import annotations

from dataclasses import dataclass


class WireError(Exception):
    """Base class of the exceptions of this package."""


@dataclass(eq=False)
class InvalidMessageError(WireError):
    """A message between processes, or a record on disk, is invalid."""

    reason: str

    def __str__(self) -> str:
        """Return the reason, for logs and responses."""
        return self.reason


@dataclass(eq=False)
class InvalidConfigurationError(WireError):
    """A configuration from the operator is invalid; `key` is the key concerned."""

    key: str
    reason: str

    def __str__(self) -> str:
        """Return the key and the reason, for logs and responses."""
        return f"{self.key}: {self.reason}"


@dataclass(eq=False)
class InvalidFileError(WireError):
    """A file is invalid; `path` is the path of the file, and `key` the key concerned."""

    path: str
    key: str
    reason: str

    def __str__(self) -> str:
        """Return the path, the key and the reason, for logs and responses."""
        return f"{self.path}: {self.key}: {self.reason}"


class InvalidSettingsError(InvalidFileError):
    """A settings file is invalid."""


class InvalidPolicyError(InvalidFileError):
    """A policy file is invalid."""
