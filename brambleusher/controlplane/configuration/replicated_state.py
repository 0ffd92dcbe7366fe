"""What callers of the configuration group use, whether a replica of it is in this process or not."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from result import Result

from brambleusher.controlplane.configuration.commands import Command, Verdict
from brambleusher.controlplane.configuration.state_machine import SharedState


@dataclass(frozen=True, slots=True)
class NoLeaderError:
    """Failure as a value: no leader was reached in time; whether a command was accepted is unknown."""


SubmitResult = Result[Verdict, NoLeaderError]
ReadResult = Result[SharedState, NoLeaderError]
IndexResult = Result[int, NoLeaderError]


class ReplicatedState(Protocol):
    """The state that a majority agrees on.  Deadlines are seconds of the scheduler's clock."""

    def submit(self, command: Command, deadline: float) -> SubmitResult:
        """Have a command committed and applied."""

    def read(self, deadline: float) -> ReadResult:
        """Return the state as a majority has it at this moment (a linearizable read)."""

    def read_applied_index(self, deadline: float, /) -> IndexResult:
        """Return the index up to which a replica has applied the log at this moment."""

    def status(self) -> dict[str, object]:
        """Return what this process knows of the group, as a JSON object."""
