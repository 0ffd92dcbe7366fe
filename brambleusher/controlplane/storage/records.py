"""Records of the log on disk, and their storage format.

A record is a line with a CRC-32 checksum as eight hexadecimal digits, a space, and a JSON object whose field
`t` is the kind of the record.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

import orjson

from brambleusher.controlplane.consensus.outputs import (
    BootstrapMembersRecord,
    HardState,
    Record,
    Restore,
    Truncate,
)
from brambleusher.wire.consensus_messages import Entry, Member
from brambleusher.wire.errors import InvalidMessageError
from brambleusher.wire.json_fields import JsonObject, as_object, require_int, require_list, require_str

CHECKSUM_DIGITS = 8


class RecordKind(Enum):
    """The kind of a record; the values are stored on disk."""

    IDENTITY = "identity"
    BOOTSTRAP_MEMBERS = "founders"
    BOOTSTRAP_SEEDS = "bootstrap_seeds"
    HARD_STATE = "hard"
    TRUNCATE = "cut"
    RESTORE = "restore"
    ENTRY = "entry"


@dataclass(frozen=True, slots=True)
class IdentityRecord:
    """Record of the replica's identity, which is the first record of every segment."""

    identity: str


@dataclass(frozen=True, slots=True)
class BootstrapSeedsRecord:
    """Record of the seeds of a replica that is none of them, as it was created at the system's first start.

    `seeds` are the addresses for messages of other processes.
    """

    seeds: tuple[str, ...]


StoredRecord = IdentityRecord | BootstrapSeedsRecord | Record


@dataclass(frozen=True, slots=True)
class SnapshotFile:
    """The content of a snapshot file: a snapshot, and the identity, term and vote of the replica."""

    snapshot: Restore
    identity: str
    hard_state: HardState


def encode_line(data: JsonObject) -> bytes:
    """Encode a JSON object as a line with its checksum."""
    text = orjson.dumps(data)
    return b"%08x %s\n" % (zlib.crc32(text), text)


def decode_line(line: bytes) -> dict[str, object]:
    """Decode the JSON object of a line, which is given without its newline.

    Raises:
        InvalidMessageError: The line is incomplete or corrupt, or does not contain a JSON object.
    """
    checksum, _, text = line.partition(b" ")
    try:
        if len(checksum) != CHECKSUM_DIGITS or int(checksum, 16) != zlib.crc32(text):
            raise InvalidMessageError("the checksum does not match")
        data = orjson.loads(text)
    except ValueError as error:
        raise InvalidMessageError("a record cannot be decoded") from error
    return as_object(data, "a record")


def encode_records(records: Iterable[StoredRecord]) -> bytes:
    """Encode records as lines."""
    return b"".join(encode_line(record_to_json(record)) for record in records)


def record_to_json(record: StoredRecord) -> dict[str, object]:
    """Return a record as the JSON object that is stored."""
    match record:
        case IdentityRecord():
            return {"t": RecordKind.IDENTITY.value, "id": record.identity}
        case BootstrapMembersRecord():
            return {"t": RecordKind.BOOTSTRAP_MEMBERS.value, "members": _members_to_json(record.members)}
        case BootstrapSeedsRecord():
            return {"t": RecordKind.BOOTSTRAP_SEEDS.value, "seeds": list(record.seeds)}
        case HardState():
            return {"t": RecordKind.HARD_STATE.value, "term": record.term, "vote": record.vote}
        case Truncate():
            return {"t": RecordKind.TRUNCATE.value, "first": record.first}
        case Restore():
            return {"t": RecordKind.RESTORE.value, **_snapshot_to_json(record)}
        case Entry():
            return {"t": RecordKind.ENTRY.value, "entry": record.as_json()}


def record_from_json(data: JsonObject) -> StoredRecord | None:
    """Parse a record from the stored JSON object, or return None for the unknown kind of a later version.

    Raises:
        InvalidMessageError: A field is missing or of the wrong type.
    """
    kind = require_str(data, "t")
    parse = _PARSERS.get(kind)
    return parse(data) if parse is not None else None


def snapshot_file_to_json(file: SnapshotFile) -> dict[str, object]:
    """Return the content of a snapshot file as the JSON object that is stored."""
    return {
        **_snapshot_to_json(file.snapshot),
        "identity": file.identity,
        "hard_term": file.hard_state.term,
        "vote": file.hard_state.vote,
    }


def snapshot_file_from_json(data: JsonObject) -> SnapshotFile:
    """Parse the content of a snapshot file from the stored JSON object.

    Raises:
        InvalidMessageError: A field is missing or of the wrong type.
    """
    hard_state = HardState(require_int({"hard_term": 0, **data}, "hard_term"), str(data.get("vote", "")))
    return SnapshotFile(_snapshot_from_json(data), str(data.get("identity", "")), hard_state)


def _members_to_json(members: Iterable[Member]) -> list[object]:
    return [member.as_json() for member in members]


def _members_from_json(data: JsonObject) -> tuple[Member, ...]:
    return tuple(Member.from_json(member) for member in require_list(data, "members"))


def _snapshot_to_json(snapshot: Restore) -> dict[str, object]:
    return {
        "index": snapshot.index,
        "term": snapshot.term,
        "members": _members_to_json(snapshot.members),
        "state": snapshot.state,
    }


def _snapshot_from_json(data: JsonObject) -> Restore:
    if "state" not in data:
        raise InvalidMessageError("a snapshot has no state")
    index, term = require_int(data, "index"), require_int(data, "term")
    return Restore(index, term, _members_from_json(data), data["state"])


_PARSERS: dict[str, Callable[[JsonObject], StoredRecord]] = {
    RecordKind.IDENTITY.value: lambda data: IdentityRecord(require_str(data, "id")),
    RecordKind.BOOTSTRAP_MEMBERS.value: lambda data: BootstrapMembersRecord(_members_from_json(data)),
    RecordKind.BOOTSTRAP_SEEDS.value: lambda data: BootstrapSeedsRecord(
        tuple(str(seed) for seed in require_list(data, "seeds"))
    ),
    RecordKind.HARD_STATE.value: lambda data: HardState(require_int(data, "term"), require_str(data, "vote")),
    RecordKind.TRUNCATE.value: lambda data: Truncate(require_int(data, "first")),
    RecordKind.RESTORE.value: _snapshot_from_json,
    RecordKind.ENTRY.value: lambda data: Entry.from_json(data.get("entry")),
}
