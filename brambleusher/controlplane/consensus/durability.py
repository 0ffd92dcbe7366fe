"""Which entries of a replica's log are on its disk, by the numbers of the records that brought them; pure."""

from __future__ import annotations


class Durability:
    """The records that were handed out, numbered from 1; they are synced in the same order.

    Args:
        synced_index: The index of the last entry on the disk.
    """

    def __init__(self, synced_index: int) -> None:
        self.last_record = 0  # number of the last record handed out
        self.synced_index = synced_index
        self._unsynced: list[tuple[int, int]] = []  # record, index of its entry

    def allocate_record(self) -> int:
        """Return the number of one more record."""
        self.last_record += 1
        return self.last_record

    def record_append(self, record: int, index: int) -> None:
        """Take note that a record brings an entry."""
        self._unsynced.append((record, index))

    def record_truncation(self, first: int) -> None:
        """Take note that entries from an index on are void, whatever records of them are not synced yet."""
        self._unsynced = [pair for pair in self._unsynced if pair[1] < first]
        self.synced_index = min(self.synced_index, first - 1)

    def record_snapshot(self, record: int, index: int) -> None:
        """Take note that a record brings a snapshot up to an index in place of all entries."""
        self._unsynced = [(record, index)]
        self.synced_index = 0

    def record_sync(self, record: int, last_index: int) -> None:
        """Take note that records up to this number are on the disk; the log ends at `last_index`."""
        while self._unsynced and self._unsynced[0][0] <= record:
            _, index = self._unsynced.pop(0)
            self.synced_index = min(max(self.synced_index, index), last_index)
