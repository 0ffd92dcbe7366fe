"""Recovery of a replica's state from the newest snapshot and the log records after it."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from brambleusher.controlplane.consensus.outputs import BootstrapMembersRecord, HardState, Restore, Truncate
from brambleusher.controlplane.consensus.replicated_log import Log
from brambleusher.controlplane.storage.errors import CorruptStorageError
from brambleusher.controlplane.storage.observers_file import read_observers_file
from brambleusher.controlplane.storage.records import (
    BootstrapSeedsRecord,
    IdentityRecord,
    SnapshotFile,
    StoredRecord,
    decode_line,
    record_from_json,
)
from brambleusher.controlplane.storage.segments import SEGMENT_PREFIX
from brambleusher.controlplane.storage.snapshots import read_newest_snapshot
from brambleusher.runtime.disk import Disk
from brambleusher.wire.consensus_messages import Entry
from brambleusher.wire.errors import InvalidMessageError


@dataclass(slots=True)
class RecoveredState:
    """The state recovered from the records that were applied so far.

    Attributes:
        identity: The identity of the replica, or "" if the disk is new.
        term: The last stored term.
        vote: The identity of the candidate that the replica voted for in that term, or "".
        log: The log after the newest snapshot.
        state: The state of the state machine as the snapshot stores it, or None if there is no snapshot.
        bootstrap_seeds: The addresses of the seeds at the system's first start, as a replica that was created
            then and is no seed has stored them; else empty.
        record_count: The number of records read from segments, for reports to operators.
        observers: The addresses of the observers that the replica has heard of.
    """

    identity: str = ""
    term: int = 0
    vote: str = ""
    log: Log = field(default_factory=Log)
    state: object = None
    bootstrap_seeds: tuple[str, ...] = ()
    record_count: int = 0
    observers: tuple[str, ...] = ()

    def load_snapshot(self, file: SnapshotFile) -> None:
        """Initialize the state from a snapshot."""
        self.identity = file.identity
        self.term, self.vote = file.hard_state.term, file.hard_state.vote
        self._restore(file.snapshot)

    def apply(self, record: StoredRecord | None) -> None:
        """Apply the next record; None stands for a record of a kind that this version does not know.

        Raises:
            InvalidMessageError: An entry does not follow the last entry.
        """
        self.record_count += 1
        match record:
            case IdentityRecord():
                self.identity = record.identity
            case BootstrapMembersRecord():
                self.log = Log(0, 0, record.members)
            case BootstrapSeedsRecord():
                self.bootstrap_seeds = record.seeds
            case HardState():
                self._apply_hard_state(record)
            case Truncate():
                if self.log.base_index < record.first <= self.log.last_index:
                    self.log.truncate(record.first)
            case Restore():
                if record.index > self.log.base_index:
                    self._restore(record)
            case Entry():
                self._apply_entry(record)

    def _apply_hard_state(self, record: HardState) -> None:
        if record.term >= self.term:
            self.term, self.vote = record.term, record.vote

    def _restore(self, snapshot: Restore) -> None:
        self.log = Log(snapshot.index, snapshot.term, snapshot.members)
        self.state = snapshot.state

    def _apply_entry(self, entry: Entry) -> None:
        if entry.index <= self.log.base_index:
            return
        if entry.index <= self.log.last_index:  # the entry is repeated at the start of a segment
            if self.log.term_at(entry.index) == entry.term:
                return
            self.log.truncate(entry.index)
        if entry.index != self.log.last_index + 1:
            raise InvalidMessageError(f"entry {entry.index} follows entry {self.log.last_index}")
        self.log.append(entry)


@dataclass(frozen=True, slots=True)
class SegmentExtent:
    """The size of a segment's complete records, and its total size, including an incomplete record."""

    name: str
    complete_bytes: int
    total_bytes: int


def read_disk(disk: Disk, segment_read: Callable[[SegmentExtent], None]) -> RecoveredState:
    """Read the newest snapshot and all segments.

    Args:
        disk: The disk to read.
        segment_read: Called after each segment, in order, before the next segment is read.

    Raises:
        CorruptStorageError: Records are unreadable at a place where an interrupted write cannot be the cause.
    """
    recovered = RecoveredState(observers=read_observers_file(disk))
    names = disk.names()
    snapshot = read_newest_snapshot(disk, names)
    if snapshot is not None:
        recovered.load_snapshot(snapshot)
    segments = sorted(name for name in names if name.startswith(SEGMENT_PREFIX))
    for name in segments:
        segment_read(_read_segment(disk, name, recovered, is_last=name == segments[-1]))
    return recovered


def _read_segment(disk: Disk, name: str, recovered: RecoveredState, is_last: bool) -> SegmentExtent:
    """Apply the records of a segment; only the last segment may end with an incomplete record."""
    data = disk.read(name)
    complete_bytes = 0
    for line, end in _lines(data):
        try:
            recovered.apply(record_from_json(decode_line(line)))
        except InvalidMessageError as error:
            if not is_last:
                raise CorruptStorageError(name, f"at byte {complete_bytes}: {error}") from error
            break
        complete_bytes = end
    if complete_bytes < len(data) and not is_last:
        raise CorruptStorageError(name, "it ends within a record")
    return SegmentExtent(name, complete_bytes, len(data))


def _lines(data: bytes) -> Iterator[tuple[bytes, int]]:
    """Yield each complete line without its newline, and the offset after the newline."""
    begin = 0
    while (end := data.find(b"\n", begin)) >= 0:
        yield data[begin:end], end + 1
        begin = end + 1
