"""Tasks that wait for results: of proposals, of confirmed reads, of forwarded requests."""

from __future__ import annotations

from typing import Generic, TypeVar

from brambleusher.controlplane.configuration.commands import Verdict
from brambleusher.runtime.scheduler import Event, Scheduler, TaskTimeoutError

PENDING_MAX = 256  # of each kind

ResultT = TypeVar("ResultT")


class PendingResult(Generic[ResultT]):
    """A result that one task waits for; None stands for none."""

    __slots__ = ("event", "result")

    def __init__(self) -> None:
        self.event = Event()
        self.result: ResultT | None = None

    def resolve(self, result: ResultT | None) -> None:
        """Set the result and wake the task."""
        self.result = result
        self.event.set()

    def wait(self, scheduler: Scheduler, deadline: float) -> ResultT | None:
        """Return the result; None where there was none before the deadline."""
        try:
            scheduler.park(deadline, event=self.event)
        except TaskTimeoutError:
            return None
        return self.result


PendingProposal = PendingResult[Verdict]


class PendingProposals:
    """Proposals of this leader by their index in the log, until they are applied."""

    def __init__(self) -> None:
        self._by_index: dict[int, tuple[int, PendingProposal]] = {}  # with the term of the proposal

    @property
    def is_full(self) -> bool:
        """Whether no further proposal may be made now."""
        return len(self._by_index) >= PENDING_MAX

    def at(self, index: int) -> PendingProposal | None:
        """Return the proposal that is pending at an index."""
        pending = self._by_index.get(index)
        return pending[1] if pending is not None else None

    def add(self, index: int, term: int) -> PendingProposal:
        """Register a proposal that was appended at an index."""
        superseded = self.at(index)
        if superseded is not None:  # of a term in which this replica led before: its entry was overwritten
            superseded.resolve(None)
        pending = PendingProposal()
        self._by_index[index] = (term, pending)
        return pending

    def applied(self, index: int, term: int, verdict: Verdict | None) -> None:
        """Resolve the proposal at an index, with the verdict only if its own entry was applied there."""
        proposed_term, pending = self._by_index.pop(index, (0, None))
        if pending is not None:
            pending.resolve(verdict if proposed_term == term else None)

    def discard(self, index: int, pending: PendingProposal) -> None:
        """Give up a proposal, unless another caller's entry has come to have its index."""
        if self.at(index) is pending:
            del self._by_index[index]
