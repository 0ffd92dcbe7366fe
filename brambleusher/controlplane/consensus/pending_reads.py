"""Reads that wait for a quorum to confirm that this replica still leads; no I/O."""

from __future__ import annotations

from collections.abc import Callable


class PendingReads:
    """Reads, each of which waits for a quorum's replies to a heartbeat sent after the read began."""

    def __init__(self) -> None:
        self._reads: list[tuple[int, Callable[[bool], None]]] = []

    def __bool__(self) -> bool:
        """Return whether any read is pending."""
        return bool(self._reads)

    def add(self, heartbeat_sequence: int, done: Callable[[bool], None]) -> None:
        """Add a read that completes once a quorum has replied to a heartbeat.

        Args:
            heartbeat_sequence: The sequence number of the heartbeat.
            done: Called with True when the read is confirmed, or with False when it fails.
        """
        self._reads.append((heartbeat_sequence, done))

    def confirm(self, heartbeat_sequence: float) -> None:
        """Complete the reads that wait for a heartbeat up to this one, to which a quorum has replied."""
        ready = [done for awaited, done in self._reads if awaited <= heartbeat_sequence]
        self._reads = [read for read in self._reads if read[0] > heartbeat_sequence]
        for done in ready:
            done(True)

    def fail(self) -> None:
        """Fail all pending reads, because this replica is no longer the leader."""
        reads, self._reads = self._reads, []
        for _, done in reads:
            done(False)
