"""A replica's log on disk: segments of checked records, with snapshots beside them.

A record is a line: its CRC-32 in hexadecimal, a space, and JSON.  A segment's name has the number of
its first record.  A snapshot is written under another name, synced and renamed; segments are removed
once a later segment repeats everything that the snapshot does not hold.
"""

from __future__ import annotations

import logging
import zlib
from dataclasses import dataclass, field
from typing import Any

import orjson

from brambleusher.controlplane.consensus.outputs import HardState, Record, Restore, Truncate
from brambleusher.controlplane.consensus.replicated_log import Log
from brambleusher.runtime.disk import Disk
from brambleusher.wire.consensus_messages import Entry, Member, entry_of, member_of
from brambleusher.wire.errors import InvalidMessageError

log = logging.getLogger(__name__)

SEGMENT_BYTES = 4 * 1024 * 1024  # after so many, a snapshot is due and a new segment begins
SEGMENT, SNAPSHOT, UNFINISHED = "log-", "snapshot-", "unfinished-"


@dataclass(eq=False)
class CorruptStorageError(Exception):
    """Records that had been synced can't be read any more."""

    name: str
    reason: str

    def __str__(self) -> str:
        """For logs and answers."""
        return f"{self.name}: {self.reason}"


@dataclass(slots=True)
class Recovered:
    """What a disk held."""

    identity: str = ""
    term: int = 0
    vote: str = ""
    log: Log = field(default_factory=Log)
    state: Any = None
    records: int = 0  # read from segments, for the verdict of a check


def encode_record(data: dict[str, Any]) -> bytes:
    """One record as a line."""
    text = orjson.dumps(data)
    return b"%08x %s\n" % (zlib.crc32(text), text)


def decode_record(line: bytes) -> dict[str, Any]:
    """The record of a line; raises `InvalidMessageError` where it is torn."""
    checksum, _, text = line.partition(b" ")
    try:
        if len(checksum) != 8 or int(checksum, 16) != zlib.crc32(text):
            raise InvalidMessageError("the checksum does not fit")
        data = orjson.loads(text)
    except ValueError as error:
        raise InvalidMessageError("a record can't be read") from error
    if not isinstance(data, dict):
        raise InvalidMessageError("a record is no object")
    return data


def record_as_json(record: Record) -> dict[str, Any]:
    """A record's form on disk."""
    if isinstance(record, HardState):
        return {"t": "hard", "term": record.term, "vote": record.vote}
    if isinstance(record, Truncate):
        return {"t": "cut", "first": record.first}
    if isinstance(record, Restore):
        return {"t": "restore", **snapshot_as_json(record.index, record.term, record.members, record.state)}
    return {"t": "entry", "entry": record.as_json()}


def snapshot_as_json(index: int, term: int, members: tuple[Member, ...], state: Any) -> dict[str, Any]:
    """A snapshot's form on disk."""
    listed = [member.as_json() for member in members]
    return {"index": index, "term": term, "members": listed, "state": state}


class Storage:
    """The files of one replica; its calls block and belong to the disk's worker once it runs."""

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self._segment = ""
        self._number = 0
        self._good_bytes = 0  # of the segment that are whole records
        self._suspect = False  # whether bytes beyond those may be there

    # --- recovery --------------------------------------------------------------------------------

    def read_only(self) -> Recovered:
        """What recovery would find, changing nothing; raises `CorruptStorageError`."""
        return self._read_all(repair=False)

    def recover(self) -> Recovered:
        """Read everything, repair a torn end and make what was read durable; raises `CorruptStorageError`.

        A process that was killed may find bytes that never were synced: what it goes on to rely on is
        synced first.
        """
        for name in self._disk.names():
            if name.startswith(UNFINISHED):
                self._disk.remove(name)
        found = self._read_all(repair=True)
        self._disk.sync_folder()
        return found

    def _read_all(self, repair: bool) -> Recovered:
        found = Recovered()
        names = self._disk.names()
        self._newest_snapshot(found, [name for name in names if name.startswith(SNAPSHOT)])
        segments = sorted(name for name in names if name.startswith(SEGMENT))
        for name in segments:
            good, size = self._read_segment(found, name, last=name == segments[-1])
            if repair:
                self._repair_segment(name, good, size)
        return found

    def _repair_segment(self, name: str, good: int, size: int) -> None:
        """Cut off a torn end, sync what is left, and go on in this segment."""
        if good < size:
            self._disk.truncate(name, good)
        self._disk.sync(name)
        self._segment, self._number = name, int(name.removeprefix(SEGMENT))
        self._good_bytes = good

    def _newest_snapshot(self, found: Recovered, names: list[str]) -> None:
        for name in sorted(names, reverse=True):
            try:
                data = decode_record(self._disk.read(name).rstrip(b"\n"))
                self._take_snapshot(found, data)
            except (InvalidMessageError, KeyError):
                log.warning("a snapshot can't be read", extra={"fields": {"name": name}})
                continue
            found.identity = data.get("identity", "")
            found.term, found.vote = data.get("hard_term", 0), data.get("vote", "")
            return

    @staticmethod
    def _take_snapshot(found: Recovered, data: dict[str, Any]) -> None:
        members = tuple(member_of(part) for part in data["members"])
        found.log = Log(data["index"], data["term"], members)
        found.state = data["state"]

    def _read_segment(self, found: Recovered, name: str, last: bool) -> tuple[int, int]:
        """Apply a segment's records; bytes of whole records, and of all. Only the last one may end torn."""
        data = self._disk.read(name)
        good = 0
        while (end := data.find(b"\n", good)) >= 0:
            try:
                self._apply(found, decode_record(data[good:end]))
            except (InvalidMessageError, KeyError) as error:
                if not last:
                    raise CorruptStorageError(name, str(error)) from error
                break
            good = end + 1
        if good < len(data) and not last:
            raise CorruptStorageError(name, "it ends within a record")
        return good, len(data)

    def _apply(self, found: Recovered, data: dict[str, Any]) -> None:
        found.records += 1
        kind = data["t"]
        if kind == "identity":
            found.identity = data["id"]
        elif kind == "founders":
            found.log = Log(0, 0, tuple(member_of(part) for part in data["members"]))
        elif kind == "hard":
            if data["term"] >= found.term:
                found.term, found.vote = data["term"], data["vote"]
        elif kind == "cut":
            if found.log.base_index < data["first"] <= found.log.last_index:
                found.log.truncate(data["first"])
        elif kind == "restore":
            if data["index"] > found.log.base_index:
                self._take_snapshot(found, data)
        elif kind == "entry":
            self._apply_entry(found, entry_of(data["entry"]))

    @staticmethod
    def _apply_entry(found: Recovered, entry: Entry) -> None:
        if entry.index <= found.log.base_index:
            return
        if entry.index <= found.log.last_index:  # repeated at the head of a segment
            if found.log.term_at(entry.index) == entry.term:
                return
            found.log.truncate(entry.index)
        if entry.index != found.log.last_index + 1:
            raise InvalidMessageError(f"entry {entry.index} follows {found.log.last_index}")
        found.log.append(entry)

    # --- writing ---------------------------------------------------------------------------------

    def begin(self, identity: str, founders: tuple[Member, ...] = ()) -> None:
        """First write to an empty disk: who this replica is, and the first group where it is part of it."""
        head: list[dict[str, Any]] = [{"t": "identity", "id": identity}]
        if founders:
            head.append({"t": "founders", "members": [member.as_json() for member in founders]})
        self._open_segment(head)

    def write(self, records: list[Record]) -> None:
        """Append records and sync them; after an error the same call may be made again."""
        self._repair()
        data = b"".join(encode_record(record_as_json(record)) for record in records)
        self._suspect = True
        self._disk.append(self._segment, data)
        self._disk.sync(self._segment)
        self._good_bytes += len(data)
        self._suspect = False

    @property
    def snapshot_due(self) -> bool:
        """Whether the segment has grown enough for a snapshot."""
        return self._good_bytes >= SEGMENT_BYTES

    def write_snapshot(
        self,
        header: dict[str, Any],
        identity: str,
        hard: HardState,
        rest: list[Entry],
    ) -> None:
        """Write a snapshot and a segment with the entries that follow it, then remove what is older."""
        self._repair()
        data = {**header, "identity": identity, "hard_term": hard.term, "vote": hard.vote}
        name = f"{SNAPSHOT}{header['index']:016d}"
        self._publish(name, encode_record(data))
        older = [other for other in self._disk.names() if other.startswith((SEGMENT, SNAPSHOT))]
        head: list[dict[str, Any]] = [{"t": "identity", "id": identity}, record_as_json(hard)]
        self._open_segment(head + [record_as_json(entry) for entry in rest])
        for other in older:
            if other not in (name, self._segment):
                self._disk.remove(other)
        self._disk.sync_folder()

    def _publish(self, name: str, data: bytes) -> None:
        unfinished = UNFINISHED + name
        if unfinished in self._disk.names():
            self._disk.remove(unfinished)
        self._disk.append(unfinished, data)
        self._disk.sync(unfinished)
        self._disk.rename(unfinished, name)
        self._disk.sync_folder()

    def _open_segment(self, head: list[dict[str, Any]]) -> None:
        number = self._number + 1
        name = f"{SEGMENT}{number:016d}"
        data = b"".join(encode_record(record) for record in head)
        self._publish(name, data)
        self._segment, self._number = name, number
        self._good_bytes, self._suspect = len(data), False

    def _repair(self) -> None:
        """Cut off what a failed write may have left behind."""
        if self._suspect:
            self._disk.truncate(self._segment, self._good_bytes)
            self._suspect = False


def inspect(disk: Disk) -> dict[str, Any]:
    """What a disk holds, for operators; changes nothing and raises `CorruptStorageError`."""
    found = Storage(disk).read_only()
    state = found.state or {}
    return {
        "identity": found.identity,
        "term": found.term,
        "vote": found.vote,
        "snapshot_index": found.log.base_index,
        "last_index": found.log.last_index,
        "records": found.records,
        "members": [member.as_json() for member in found.log.members],
        "revision_in_snapshot": state.get("revision", 0),
        "files": disk.names(),
    }
