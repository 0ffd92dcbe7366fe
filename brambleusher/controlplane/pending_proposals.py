"""Results of proposals, reads and forwarded requests that tasks wait for."""

from __future__ import annotations

from typing import Generic, TypeVar

from brambleusher.controlplane.configuration.commands import Verdict
from brambleusher.runtime.scheduler import Event, Scheduler, TaskTimeoutError

PENDING_MAX = 256  # limit on pending proposals, and separately on pending forwarded requests

ResultT = TypeVar("ResultT")


class PendingResult(Generic[ResultT]):
    """A result that one task waits for; None means that the operation failed."""

    __slots__ = ("event", "is_resolved", "result")

    def __init__(self) -> None:
        self.event = Event()
        self.is_resolved = False
        self.result: ResultT | None = None

    def resolve(self, result: ResultT | None) -> None:
        """Set the result and wake the waiting task."""
        self.is_resolved, self.result = True, result
        self.event.set()

    def wait(self, scheduler: Scheduler, deadline: float) -> ResultT | None:
        """Wait for the result; return None if there is no result before the deadline."""
        try:
            scheduler.park(deadline, event=self.event)
        except TaskTimeoutError:
            return None
        return self.result


PendingProposal = PendingResult[Verdict]


class PendingProposals:
    """Proposals made by this leader that are not yet applied, by their index in the log."""

    def __init__(self) -> None:
        # Pending proposals by log index, each with the term in which it was proposed.
        self._by_index: dict[int, tuple[int, PendingProposal]] = {}

    @property
    def is_full(self) -> bool:
        """Whether the limit on pending proposals is reached."""
        return len(self._by_index) >= PENDING_MAX

    def proposal_at(self, index: int) -> PendingProposal | None:
        """Return the proposal that is pending at a log index, or None."""
        pending = self._by_index.get(index)
        return pending[1] if pending is not None else None

    def add(self, index: int, term: int) -> PendingProposal:
        """Register a proposal that was appended to the log at an index."""
        superseded = self.proposal_at(index)
        if superseded is not None:
            # Proposed in an earlier term in which this replica was leader: its log entry was overwritten.
            superseded.resolve(None)
        pending = PendingProposal()
        self._by_index[index] = (term, pending)
        return pending

    def resolve_applied(self, index: int, term: int, verdict: Verdict | None) -> None:
        """Resolve the proposal at an index after the entry there was applied.

        The proposal gets the verdict only if the applied entry is of the proposal's term; otherwise another
        leader's entry has replaced it, and it fails.
        """
        proposed_term, pending = self._by_index.pop(index, (0, None))
        if pending is not None:
            pending.resolve(verdict if proposed_term == term else None)

    def discard(self, index: int, pending: PendingProposal) -> None:
        """Remove a proposal, unless a later proposal has replaced it at the same index."""
        if self.proposal_at(index) is pending:
            del self._by_index[index]
