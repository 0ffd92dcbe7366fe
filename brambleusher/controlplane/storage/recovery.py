"""Recovery: the newest snapshot and the records after it become the state that a replica starts with."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from brambleusher.controlplane.consensus.outputs import HardState, Restore, Truncate
from brambleusher.controlplane.consensus.replicated_log import Log
from brambleusher.controlplane.storage.errors import CorruptStorageError
from brambleusher.controlplane.storage.records import (
    BootstrapMembersRecord,
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
    """What a disk holds, as far as its records have been applied."""

    identity: str = ""  # empty on a new disk
    term: int = 0
    vote: str = ""
    log: Log = field(default_factory=Log)
    state: object = None  # of the state machine, in its stored form; None before the first snapshot
    record_count: int = 0  # of segments, for the report of a check

    def load_snapshot(self, file: SnapshotFile) -> None:
        """Begin with a snapshot."""
        self.identity = file.identity
        self.term, self.vote = file.hard_state.term, file.hard_state.vote
        self._restore(file.snapshot)

    def apply(self, record: StoredRecord | None) -> None:
        """Apply the next record; None is one of a kind that this version does not know.

        Raises:
            InvalidMessageError: An entry does not follow the last one.
        """
        self.record_count += 1
        match record:
            case IdentityRecord():
                self.identity = record.identity
            case BootstrapMembersRecord():
                self.log = Log(0, 0, record.members)
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
        if entry.index <= self.log.last_index:  # repeated at the head of a segment
            if self.log.term_at(entry.index) == entry.term:
                return
            self.log.truncate(entry.index)
        if entry.index != self.log.last_index + 1:
            raise InvalidMessageError(f"entry {entry.index} follows entry {self.log.last_index}")
        self.log.append(entry)


@dataclass(frozen=True, slots=True)
class SegmentExtent:
    """Bytes of a segment that are complete records, and all bytes: more where its end is torn."""

    name: str
    complete_bytes: int
    total_bytes: int


def read_disk(disk: Disk, segment_read: Callable[[SegmentExtent], None]) -> RecoveredState:
    """Read the newest snapshot and all segments.

    Args:
        disk: What to read.
        segment_read: Called after each segment, in order, before the next one is read.

    Raises:
        CorruptStorageError: Records are unreadable where no write can have been torn.
    """
    recovered = RecoveredState()
    names = disk.names()
    snapshot = read_newest_snapshot(disk, names)
    if snapshot is not None:
        recovered.load_snapshot(snapshot)
    segments = sorted(name for name in names if name.startswith(SEGMENT_PREFIX))
    for name in segments:
        segment_read(_read_segment(disk, name, recovered, is_last=name == segments[-1]))
    return recovered


def _read_segment(disk: Disk, name: str, recovered: RecoveredState, is_last: bool) -> SegmentExtent:
    """Apply the records of a segment; only the last segment may end with a torn one."""
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
    """Yield each complete line without its end, and the position after it."""
    begin = 0
    while (end := data.find(b"\n", begin)) >= 0:
        yield data[begin:end], end + 1
        begin = end + 1
