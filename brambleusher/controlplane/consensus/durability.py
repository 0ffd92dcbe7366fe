"""Which entries of a replica's log are on its disk, by the numbers of the records that brought them; pure."""

from __future__ import annotations


class Durability:
    """Records are numbered from 1 in the order in which they are handed out; syncs come in that order."""

    def __init__(self, synced_index: int) -> None:
        self.last_record = 0  # number of the last record handed out
        self.synced_index = synced_index  # of the last entry on the disk
        self._waiting: list[tuple[int, int]] = []  # (record, index of its entry), not synced yet

    def allocate_record(self) -> int:
        """The number of one more record."""
        self.last_record += 1
        return self.last_record

    def record_append(self, record: int, index: int) -> None:
        """A record brings an entry."""
        self._waiting.append((record, index))

    def record_truncation(self, first: int) -> None:
        """Entries from an index on are void, whatever records of them are still to be synced."""
        self._waiting = [pair for pair in self._waiting if pair[1] < first]
        self.synced_index = min(self.synced_index, first - 1)

    def record_snapshot(self, record: int, index: int) -> None:
        """A record brings a snapshot up to an index in place of all entries."""
        self._waiting = [(record, index)]
        self.synced_index = 0

    def record_sync(self, record: int, last_index: int) -> None:
        """Records up to this number are on the disk; the log ends at `last_index`."""
        while self._waiting and self._waiting[0][0] <= record:
            _, index = self._waiting.pop(0)
            self.synced_index = min(max(self.synced_index, index), last_index)
