"""The durable state of a replica: segments of checked records, with snapshots beside them.

A snapshot and a segment appear on disk whole (written under another name, synced, renamed).  Older files are
removed once a newer segment repeats every entry that the snapshot does not hold.
"""

from __future__ import annotations

from collections.abc import Sequence

from brambleusher.controlplane.consensus.outputs import HardState, Record, Restore
from brambleusher.controlplane.storage.records import (
    BootstrapMembersRecord,
    IdentityRecord,
    SnapshotFile,
    StoredRecord,
)
from brambleusher.controlplane.storage.recovery import RecoveredState, SegmentExtent, read_disk
from brambleusher.controlplane.storage.segments import SEGMENT_PREFIX, SegmentWriter
from brambleusher.controlplane.storage.snapshots import (
    SNAPSHOT_PREFIX,
    remove_unfinished,
    write_snapshot_file,
)
from brambleusher.runtime.disk import Disk
from brambleusher.wire.consensus_messages import Entry, Member


class Storage:
    """The files of one replica; its calls block and belong to the disk's worker once it runs."""

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self._writer = SegmentWriter(disk)

    def recover(self) -> RecoveredState:
        """Read everything, remove a torn end and make what was read durable.

        A killed process may have left bytes that were never synced: they are synced before anybody relies
        on them.

        Raises:
            CorruptStorageError: Records that had been synced can't be read.
        """
        remove_unfinished(self._disk)
        recovered = read_disk(self._disk, self._repair)
        self._disk.sync_folder()
        return recovered

    def _repair(self, segment: SegmentExtent) -> None:
        if segment.complete_bytes < segment.total_bytes:
            self._disk.truncate(segment.name, segment.complete_bytes)
        self._disk.sync(segment.name)
        self._writer.resume(segment.name, segment.complete_bytes)

    def begin(self, identity: str, bootstrap_members: tuple[Member, ...] = ()) -> None:
        """Write the first segment of a new disk: who this replica is, and the first group if it is in it."""
        records: list[StoredRecord] = [IdentityRecord(identity)]
        if bootstrap_members:
            records.append(BootstrapMembersRecord(bootstrap_members))
        self._writer.open_next(records)

    def write(self, records: Sequence[Record]) -> None:
        """Append records and sync them; after an `OSError` the same call may be made again."""
        self._writer.append(records)

    @property
    def is_snapshot_due(self) -> bool:
        """Whether the segment has grown enough for a snapshot."""
        return self._writer.is_full

    def write_snapshot(
        self, snapshot: Restore, identity: str, hard_state: HardState, entries: Sequence[Entry]
    ) -> None:
        """Write a snapshot and a segment with the entries after it, then remove older files.

        After an `OSError` the same call may be made again.
        """
        self._writer.truncate_torn_end()
        name = write_snapshot_file(self._disk, SnapshotFile(snapshot, identity, hard_state))
        older = [other for other in self._disk.names() if other.startswith((SEGMENT_PREFIX, SNAPSHOT_PREFIX))]
        self._writer.open_next([IdentityRecord(identity), hard_state, *entries])
        for other in older:
            if other not in (name, self._writer.name):
                self._disk.remove(other)
        self._disk.sync_folder()


def read_only(disk: Disk) -> RecoveredState:
    """Return what recovery would find, without changing the disk.

    Raises:
        CorruptStorageError: Records that had been synced can't be read.
    """
    return read_disk(disk, lambda _: None)


def inspect(disk: Disk) -> dict[str, object]:
    """Return what a disk holds as a JSON object, for operators; changes nothing.

    Raises:
        CorruptStorageError: Records that had been synced can't be read.
    """
    recovered = read_only(disk)
    state = recovered.state if isinstance(recovered.state, dict) else {}
    return {
        "identity": recovered.identity,
        "term": recovered.term,
        "vote": recovered.vote,
        "snapshot_index": recovered.log.base_index,
        "last_index": recovered.log.last_index,
        "records": recovered.record_count,
        "members": [member.as_json() for member in recovered.log.members],
        "revision_in_snapshot": state.get("revision", 0),
        "files": disk.names(),
    }
