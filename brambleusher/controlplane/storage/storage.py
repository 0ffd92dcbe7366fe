"""The durable state of a replica: log segments of records with checksums, snapshots, and known observers.

Snapshots, new segments and the file of observers are created atomically (written under another name, synced
and renamed). Older segments and snapshots are removed once a newer segment repeats every entry that is not
in the snapshot.
"""

from __future__ import annotations

from collections.abc import Sequence

from brambleusher.controlplane.consensus.outputs import BootstrapMembersRecord, HardState, Record, Restore
from brambleusher.controlplane.storage.observers_file import write_observers_file
from brambleusher.controlplane.storage.records import (
    BootstrapSeedsRecord,
    IdentityRecord,
    SnapshotFile,
    StoredRecord,
)
from brambleusher.controlplane.storage.recovery import RecoveredState, SegmentExtent, read_disk
from brambleusher.controlplane.storage.segments import SEGMENT_PREFIX, SegmentWriter
from brambleusher.controlplane.storage.snapshots import (
    SNAPSHOT_PREFIX,
    publish_atomically,
    remove_unfinished,
    write_snapshot_file,
)
from brambleusher.runtime.disk import Disk
from brambleusher.wire.consensus_messages import Entry, Member


class Storage:
    """The files of one replica; methods block, and only the disk worker may call them once it is running."""

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self._writer = SegmentWriter(disk)

    def recover(self, has_failed_before: bool = False) -> RecoveredState:
        """Read all records, truncate an incomplete record at the end, and sync the files.

        A killed process may have left records that were written but not synced. They are synced here, before
        any other part of the program relies on them.

        Args:
            has_failed_before: Whether an earlier recovery of the disk failed. After a failed sync a later one
                may succeed without having written anything, so that the segments are written anew.

        Raises:
            CorruptStorageError: Synced records can no longer be read.
            OSError: The disk refused a call.
        """
        remove_unfinished(self._disk)
        recovered = read_disk(self._disk, self._rewrite if has_failed_before else self._repair)
        self._disk.sync_folder()
        return recovered

    def _repair(self, segment: SegmentExtent) -> None:
        if segment.complete_bytes < segment.total_bytes:
            self._disk.truncate(segment.name, segment.complete_bytes)
        self._disk.sync(segment.name)
        self._writer.resume(segment.name, segment.complete_bytes)

    def _rewrite(self, segment: SegmentExtent) -> None:
        data = self._disk.read(segment.name)
        publish_atomically(self._disk, segment.name, data[: segment.complete_bytes])
        self._writer.resume(segment.name, segment.complete_bytes)

    def begin(
        self,
        identity: str,
        bootstrap_members: tuple[Member, ...] = (),
        bootstrap_seeds: tuple[str, ...] = (),
    ) -> None:
        """Write the first segment of a new disk.

        Args:
            identity: The identity of the replica.
            bootstrap_members: The initial members of the group; empty if this replica is not one of them.
            bootstrap_seeds: The addresses of the seeds, if this replica is created at the system's first
                start and is none of them; else empty.
        """
        records: list[StoredRecord] = [IdentityRecord(identity)]
        if bootstrap_members:
            records.append(BootstrapMembersRecord(bootstrap_members))
        if bootstrap_seeds:
            records.append(BootstrapSeedsRecord(bootstrap_seeds))
        self._writer.open_next(records)

    def write(self, records: Sequence[Record]) -> None:
        """Append records and sync them; the call may be repeated after an `OSError`."""
        self._writer.append(records)

    def write_observers(self, addresses: Sequence[str]) -> None:
        """Replace the stored addresses of observers; the call may be repeated after an `OSError`."""
        write_observers_file(self._disk, addresses)

    @property
    def is_snapshot_due(self) -> bool:
        """Whether the segment is large enough for a snapshot."""
        return self._writer.is_full

    def write_snapshot(
        self, snapshot: Restore, identity: str, hard_state: HardState, entries: Sequence[Entry]
    ) -> None:
        """Write a snapshot and a segment with the entries after it, then remove older files.

        The call may be repeated after an `OSError`.
        """
        self._writer.truncate_torn_end()
        name = write_snapshot_file(self._disk, SnapshotFile(snapshot, identity, hard_state))
        older = [other for other in self._disk.names() if other.startswith((SEGMENT_PREFIX, SNAPSHOT_PREFIX))]
        self._writer.open_next([IdentityRecord(identity), hard_state, *entries])
        for other in older:
            if other not in (name, self._writer.name):
                self._disk.remove(other)
        self._disk.sync_folder()


def recover_read_only(disk: Disk) -> RecoveredState:
    """Return the state that recovery would produce, without changing the disk.

    Raises:
        CorruptStorageError: Synced records can no longer be read.
    """
    return read_disk(disk, lambda _: None)


def inspect(disk: Disk) -> dict[str, object]:
    """Return a summary of a disk's content as a JSON object, for operators, without changing the disk.

    Raises:
        CorruptStorageError: Synced records can no longer be read.
    """
    recovered = recover_read_only(disk)
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
