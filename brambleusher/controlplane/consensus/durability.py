"""Tracks which entries of a replica's log are on its disk, by the numbers of their records; no I/O."""

from __future__ import annotations


class Durability:
    """Numbers the records that are output for the disk from 1, and tracks which entries are synced.

    Records are synced in the order of their numbers.

    Args:
        synced_index: The index of the last entry on the disk.
    """

    def __init__(self, synced_index: int) -> None:
        self.last_record = 0  # number of the last record that was output
        self.synced_index = synced_index
        self._unsynced: list[tuple[int, int]] = []  # record number and entry index of each unsynced entry

    def allocate_record(self) -> int:
        """Return the number of the next record."""
        self.last_record += 1
        return self.last_record

    def record_append(self, record: int, index: int) -> None:
        """Record that a disk record contains the entry at an index."""
        self._unsynced.append((record, index))

    def record_truncation(self, first: int) -> None:
        """Record that the entries from index `first` on are deleted, including those not yet synced."""
        self._unsynced = [pair for pair in self._unsynced if pair[1] < first]
        self.synced_index = min(self.synced_index, first - 1)

    def record_snapshot(self, record: int, index: int) -> None:
        """Record that a disk record contains a snapshot up to an index, which replaces all entries."""
        self._unsynced = [(record, index)]
        self.synced_index = 0

    def record_sync(self, record: int, last_index: int) -> None:
        """Record that all records up to a number are on the disk, while the log ends at `last_index`."""
        while self._unsynced and self._unsynced[0][0] <= record:
            _, index = self._unsynced.pop(0)
            self.synced_index = min(max(self.synced_index, index), last_index)
