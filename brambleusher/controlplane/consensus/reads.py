"""Reads that wait for a quorum to confirm that this replica still leads; pure."""

from __future__ import annotations

from collections.abc import Callable


class PendingReads:
    """Each read waits for the answers to a heartbeat that was sent after it was asked."""

    def __init__(self) -> None:
        self._reads: list[tuple[int, Callable[[bool], None]]] = []

    def __bool__(self) -> bool:
        """Whether any read waits."""
        return bool(self._reads)

    def add(self, number: int, done: Callable[[bool], None]) -> None:
        """Wait for a quorum's answers to the heartbeat of this number."""
        self._reads.append((number, done))

    def confirm(self, number: float) -> None:
        """A quorum has answered heartbeats up to this number."""
        ready = [done for asked, done in self._reads if asked <= number]
        self._reads = [read for read in self._reads if read[0] > number]
        for done in ready:
            done(True)

    def fail(self) -> None:
        """This replica does not lead any more."""
        reads, self._reads = self._reads, []
        for _, done in reads:
            done(False)
