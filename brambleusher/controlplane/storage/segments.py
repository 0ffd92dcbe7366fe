"""Segments of the log: files of records, of which only the last is appended to."""

from __future__ import annotations

from collections.abc import Sequence

from brambleusher.controlplane.storage.records import StoredRecord, encode_records
from brambleusher.controlplane.storage.snapshots import publish_atomically
from brambleusher.runtime.disk import Disk

SEGMENT_BYTES = 4 * 1024 * 1024  # at this size a snapshot is written and a new segment is started
SEGMENT_PREFIX = "log-"  # file name prefix, followed by the segment's number


class SegmentWriter:
    """Appends records to the last segment; its methods block."""

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self.name = ""
        self._number = 0
        self._synced_bytes = 0  # size of the complete records in the segment
        # Whether a failed write may have left bytes after the complete records.
        self._may_have_torn_end = False

    @property
    def is_full(self) -> bool:
        """Whether the segment is large enough for a snapshot."""
        return self._synced_bytes >= SEGMENT_BYTES

    def resume(self, name: str, size_bytes: int) -> None:
        """Continue a segment that recovery found, with `size_bytes` bytes of complete records."""
        self.name, self._number = name, int(name.removeprefix(SEGMENT_PREFIX))
        self._synced_bytes = size_bytes

    def open_next(self, records: Sequence[StoredRecord]) -> None:
        """Start a new segment with its first records."""
        number = self._number + 1
        name = f"{SEGMENT_PREFIX}{number:016d}"
        data = encode_records(records)
        publish_atomically(self._disk, name, data)
        self.name, self._number = name, number
        self._synced_bytes, self._may_have_torn_end = len(data), False

    def append(self, records: Sequence[StoredRecord]) -> None:
        """Append records and sync them; the call may be repeated after an `OSError`."""
        self.truncate_torn_end()
        data = encode_records(records)
        self._may_have_torn_end = True
        self._disk.append(self.name, data)
        self._disk.sync(self.name)
        self._synced_bytes += len(data)
        self._may_have_torn_end = False

    def truncate_torn_end(self) -> None:
        """Truncate the bytes that a failed write may have left at the end of the segment."""
        if self._may_have_torn_end:
            self._disk.truncate(self.name, self._synced_bytes)
            self._may_have_torn_end = False
