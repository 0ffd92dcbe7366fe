"""What callers of the configuration shard ask for, whether a replica of it is in this process or not."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

from result import Result

from brambleusher.controlplane.configuration.state_machine import Command, SharedState, Verdict


@dataclass(frozen=True, slots=True)
class NoLeaderError:
    """Failure: no leader could be reached in time; whether the command was taken is unknown."""


SubmitResult = Result[Verdict, NoLeaderError]
ReadResult = Result[SharedState, NoLeaderError]
IndexResult = Result[int, NoLeaderError]


class ReplicatedState(Protocol):
    """The state that a majority agrees on.  Deadlines are seconds of the scheduler's clock."""

    def submit(self, command: Command, deadline: float) -> SubmitResult:
        """Have a command applied."""

    def read(self, deadline: float) -> ReadResult:
        """The state as a majority has it at this moment."""

    def read_applied_index(self, deadline: float) -> IndexResult:
        """The index up to which a replica has applied the log at this moment."""

    def status(self) -> dict[str, Any]:
        """What this process knows of the group, as one JSON object."""
