"""Typed failures of reading what came over the wire or from a file."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(eq=False)
class InvalidMessageError(Exception):
    """A message between processes that can't be read."""

    reason: str

    def __str__(self) -> str:
        """For logs and answers."""
        return self.reason


@dataclass(eq=False)
class InvalidConfigurationError(Exception):
    """A configuration of the operator that must not come into force; `key` names what is wrong in it."""

    key: str
    reason: str

    def __str__(self) -> str:
        """For logs and answers."""
        return f"{self.key}: {self.reason}"


@dataclass(eq=False)
class InvalidFileError(Exception):
    """A file that can't be used; names the file and the key."""

    path: str
    key: str
    reason: str

    def __str__(self) -> str:
        """For logs and answers."""
        return f"{self.path}: {self.key}: {self.reason}"


class InvalidSettingsError(InvalidFileError):
    """A settings file that can't be used."""


class InvalidPolicyError(InvalidFileError):
    """A policy file that can't be used."""
