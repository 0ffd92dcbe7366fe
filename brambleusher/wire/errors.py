"""Errors of reading what came over the wire or from a file."""

from __future__ import annotations

from dataclasses import dataclass


class WireError(Exception):
    """Base of the errors of this package: something that was read can't be used."""


@dataclass(eq=False)
class InvalidMessageError(WireError):
    """A message between processes, or a record on disk, can't be read."""

    reason: str

    def __str__(self) -> str:
        """Return the reason, for logs and responses."""
        return self.reason


@dataclass(eq=False)
class InvalidConfigurationError(WireError):
    """A configuration of the operator must not come into force; `key` names the faulty part."""

    key: str
    reason: str

    def __str__(self) -> str:
        """Return key and reason, for logs and responses."""
        return f"{self.key}: {self.reason}"


@dataclass(eq=False)
class InvalidFileError(WireError):
    """A file can't be used; `path` names the file and `key` the faulty part of it."""

    path: str
    key: str
    reason: str

    def __str__(self) -> str:
        """Return path, key and reason, for logs and responses."""
        return f"{self.path}: {self.key}: {self.reason}"


class InvalidSettingsError(InvalidFileError):
    """A settings file can't be used."""


class InvalidPolicyError(InvalidFileError):
    """A policy file can't be used."""
