"""Reads that wait for a quorum to confirm that this replica still leads; pure."""

from __future__ import annotations

from collections.abc import Callable


class PendingReads:
    """Reads, each waiting for the replies to a heartbeat that was sent after it was asked."""

    def __init__(self) -> None:
        self._reads: list[tuple[int, Callable[[bool], None]]] = []

    def __bool__(self) -> bool:
        """Return whether any read waits."""
        return bool(self._reads)

    def add(self, heartbeat_sequence: int, done: Callable[[bool], None]) -> None:
        """Wait for a quorum's replies to a heartbeat."""
        self._reads.append((heartbeat_sequence, done))

    def confirm(self, heartbeat_sequence: float) -> None:
        """Answer what waits for heartbeats up to this one, to which a quorum has replied."""
        ready = [done for awaited, done in self._reads if awaited <= heartbeat_sequence]
        self._reads = [read for read in self._reads if read[0] > heartbeat_sequence]
        for done in ready:
            done(True)

    def fail(self) -> None:
        """Answer all that waits with a failure: this replica does not lead any more."""
        reads, self._reads = self._reads, []
        for _, done in reads:
            done(False)
