"""Interface to the configuration group, for processes with and without a replica of their own."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from result import Result

from brambleusher.controlplane.configuration.commands import Command, Verdict
from brambleusher.controlplane.configuration.state_machine import SharedState


@dataclass(frozen=True, slots=True)
class NoLeaderError:
    """Error value: no leader was reached before the deadline; whether a command took effect is unknown."""


SubmitResult = Result[Verdict, NoLeaderError]
ReadResult = Result[SharedState, NoLeaderError]
IndexResult = Result[int, NoLeaderError]


class ReplicatedState(Protocol):
    """The replicated state that a majority agrees on. Deadlines are in seconds of the scheduler's clock."""

    def submit(self, command: Command, deadline: float) -> SubmitResult:
        """Commit and apply a command, and return its outcome."""

    def read(self, deadline: float) -> ReadResult:
        """Return the current state by a linearizable read."""

    def read_applied_index(self, at: float, deadline: float, /) -> IndexResult:
        """Return an index up to which a replica had applied the log at a time that is not in the future."""

    def evacuation_fields(self, zone: str, /) -> dict[str, object]:
        """Return what this process knows of a zone's order and of the group, as fields of a log record."""

    def status(self) -> dict[str, object]:
        """Return this process's view of the group as a JSON object."""
