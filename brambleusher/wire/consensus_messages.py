"""Messages between the replicas of a group, and their encoding as JSON objects.

Types and attributes are named as in Raft; the keys on the wire are in the table of layouts at the end.

Source: D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm", figures 2 and 13.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from brambleusher.wire.errors import InvalidMessageError
from brambleusher.wire.json_fields import JsonObject


@dataclass(frozen=True, slots=True)
class Member:
    """A member of a replica group.

    Attributes:
        id: The identity of the replica; a replica that starts with an empty disk gets a new random identity.
        address: The address (`host:port`) for messages of other replicas.
        admin_address: The address (`host:port`) of the admin API.
        zone: The zone of the replica, or "" if it is unknown.
        is_voter: Whether the member has a vote; members without a vote are learners.
    """

    id: str
    address: str
    admin_address: str
    zone: str
    is_voter: bool

    def as_json(self) -> dict[str, object]:
        """Return the member as the JSON object that is sent and stored."""
        return {
            "id": self.id,
            "address": self.address,
            "control": self.admin_address,
            "zone": self.zone,
            "voter": self.is_voter,
        }

    @classmethod
    def from_json(cls, data: object) -> Member:
        """Parse a member from its JSON object.

        Raises:
            InvalidMessageError: The value is not an object, or a key is missing.
        """
        if not isinstance(data, dict):
            raise InvalidMessageError("a member is not a JSON object")
        try:
            return cls(data["id"], data["address"], data["control"], data["zone"], bool(data["voter"]))
        except KeyError as error:
            raise InvalidMessageError("a key of a member is missing") from error


class EntryKind(Enum):
    """The kind of a log entry; the values are sent on the wire and stored on disk."""

    NONE = "none"  # the empty entry that a new leader appends
    COMMAND = "command"
    MEMBERS = "members"


@dataclass(frozen=True, slots=True)
class Entry:
    """A log entry; depending on its kind, `data` is a command, a list of members or None."""

    index: int
    term: int
    kind: EntryKind
    data: object

    def members(self) -> tuple[Member, ...]:
        """Return the members in an entry of the kind `MEMBERS`.

        Raises:
            InvalidMessageError: The data is not a list of members.
        """
        if not isinstance(self.data, list):
            raise InvalidMessageError(f"the members of entry {self.index} are not a list")
        return tuple(Member.from_json(item) for item in self.data)

    def as_json(self) -> list[object]:
        """Return the entry as the JSON list that is sent and stored."""
        return [self.index, self.term, self.kind.value, self.data]

    @classmethod
    def from_json(cls, data: object) -> Entry:
        """Parse an entry from its JSON list.

        Raises:
            InvalidMessageError: The value is not a list of an index, a term, a kind and data.
        """
        if not isinstance(data, list) or len(data) != ENTRY_PARTS:
            raise InvalidMessageError("an entry is not a list of four elements")
        index, term, kind, content = data
        if not isinstance(index, int) or not isinstance(term, int):
            raise InvalidMessageError("the index or term of an entry is not an integer")
        try:
            return cls(index, term, EntryKind(kind), content)
        except ValueError as error:
            raise InvalidMessageError("an entry is of an unknown kind") from error


ENTRY_PARTS = 4  # number of elements of an encoded entry: index, term, kind and data


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """RequestVote: a candidate requests a vote.

    A pre-vote request does not change the receiver's state; it only asks whether the vote would be granted.
    """

    term: int
    sender: str
    last_index: int
    last_term: int
    is_pre_vote: bool
    is_transfer: bool


@dataclass(frozen=True, slots=True)
class VoteReply:
    """The reply to a `VoteRequest` for the term `requested_term`."""

    term: int
    sender: str
    requested_term: int
    is_pre_vote: bool
    granted: bool


@dataclass(frozen=True, slots=True)
class AppendEntries:
    """AppendEntries: the leader sends entries after `previous_index`, or no entries as a heartbeat.

    `heartbeat_sequence` is the sequence number of the leader's latest heartbeat.
    """

    term: int
    sender: str
    previous_index: int
    previous_term: int
    entries: list[Entry]
    leader_commit: int
    heartbeat_sequence: int


@dataclass(frozen=True, slots=True)
class AppendEntriesReply:
    """The reply to a leader's message.

    If it is accepted, `match_index` is the index up to which the logs match and are synced; if it is
    rejected, `match_index` is a hint which index the leader should go back to.
    """

    term: int
    sender: str
    accepted: bool
    match_index: int
    heartbeat_sequence: int


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """InstallSnapshot: the state up to an index, for a replica that needs entries the leader compacted."""

    term: int
    sender: str
    index: int
    index_term: int
    members: list[Member]
    state: object
    heartbeat_sequence: int


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """TimeoutNow: the leader asks its successor to start an election immediately."""

    term: int
    sender: str


@dataclass(frozen=True, slots=True)
class JoinRequest:
    """A process that is not a member requests to become a member."""

    sender: str
    member: Member


@dataclass(frozen=True, slots=True)
class ShutdownNotice:
    """A member that is shutting down asks the leader to give its vote to another member."""

    sender: str


LeaderMessage = AppendEntries | InstallSnapshot | TransferLeadership
TermMessage = VoteReply | AppendEntriesReply | LeaderMessage
Message = VoteRequest | TermMessage | JoinRequest | ShutdownNotice


@dataclass(frozen=True, slots=True)
class _Key:
    """A key of a message on the wire, and the attribute that holds its value.

    `json_type` is the exact type of the value on the wire, or None if any type is accepted.
    """

    key: str
    attribute: str
    json_type: type | None
    encode: Callable[[Any], object] | None = None
    decode: Callable[[Any], object] | None = None

    def read(self, kind: str, data: JsonObject) -> object:
        """Return the attribute's value from a message's JSON object.

        Raises:
            InvalidMessageError: The key is missing, or its value is of the wrong type.
        """
        if self.key not in data:
            raise InvalidMessageError(f"{kind} message without the key {self.key}")
        value = data[self.key]
        # Compare the exact type, since Python's `bool` is a subclass of `int` and must not pass as an
        # integer.
        if self.json_type is not None and type(value) is not self.json_type:
            raise InvalidMessageError(f"{self.key} of {kind} is not of type {self.json_type.__name__}")
        return value if self.decode is None else self.decode(value)

    def write(self, message: Message) -> object:
        """Return the attribute's value as it is sent on the wire."""
        value: object = getattr(message, self.attribute)
        return value if self.encode is None else self.encode(value)


@dataclass(frozen=True, slots=True)
class _Layout:
    """The wire format of one kind of message; keys are written in this order."""

    kind: str
    message_type: type[Any]
    keys: tuple[_Key, ...]


def _number(key: str, attribute: str) -> _Key:
    return _Key(key, attribute, int)


def _text(key: str, attribute: str) -> _Key:
    return _Key(key, attribute, str)


def _flag(key: str, attribute: str) -> _Key:
    return _Key(key, attribute, bool)


def _list(key: str, attribute: str, decode_item: Callable[[object], object]) -> _Key:
    return _Key(
        key,
        attribute,
        list,
        lambda values: [value.as_json() for value in values],
        lambda items: [decode_item(item) for item in items],
    )


_TERM = _number("term", "term")
_SENDER = _text("sender", "sender")

# Replicas of other versions read these kinds and keys, so they must not change when an attribute is renamed.
_LAYOUTS = (
    _Layout(
        "vote",
        VoteRequest,
        (
            _TERM,
            _SENDER,
            _number("last_index", "last_index"),
            _number("last_term", "last_term"),
            _flag("pre", "is_pre_vote"),
            _flag("transfer", "is_transfer"),
        ),
    ),
    _Layout(
        "voted",
        VoteReply,
        (
            _TERM,
            _SENDER,
            _number("asked", "requested_term"),
            _flag("pre", "is_pre_vote"),
            _flag("granted", "granted"),
        ),
    ),
    _Layout(
        "append",
        AppendEntries,
        (
            _TERM,
            _SENDER,
            _number("previous_index", "previous_index"),
            _number("previous_term", "previous_term"),
            _list("entries", "entries", Entry.from_json),
            _number("commit", "leader_commit"),
            _number("round", "heartbeat_sequence"),
        ),
    ),
    _Layout(
        "appended",
        AppendEntriesReply,
        (
            _TERM,
            _SENDER,
            _flag("accepted", "accepted"),
            _number("matched", "match_index"),
            _number("round", "heartbeat_sequence"),
        ),
    ),
    _Layout(
        "snapshot",
        InstallSnapshot,
        (
            _TERM,
            _SENDER,
            _number("index", "index"),
            _number("index_term", "index_term"),
            _list("members", "members", Member.from_json),
            _Key("state", "state", None),
            _number("round", "heartbeat_sequence"),
        ),
    ),
    _Layout("transfer", TransferLeadership, (_TERM, _SENDER)),
    _Layout(
        "join",
        JoinRequest,
        (_SENDER, _Key("member", "member", None, Member.as_json, Member.from_json)),
    ),
    _Layout("leave", ShutdownNotice, (_SENDER,)),
)
_LAYOUT_BY_KIND = {layout.kind: layout for layout in _LAYOUTS}
_LAYOUT_BY_TYPE = {layout.message_type: layout for layout in _LAYOUTS}


def encode_message(message: Message) -> dict[str, object]:
    """Encode a message as a JSON object with its kind."""
    layout = _LAYOUT_BY_TYPE[type(message)]
    return {"kind": layout.kind, **{key.key: key.write(message) for key in layout.keys}}


def decode_message(data: JsonObject) -> Message:
    """Decode a message from its JSON object.

    Raises:
        InvalidMessageError: The kind is unknown, or a key is missing or of the wrong type.
    """
    layout = _LAYOUT_BY_KIND.get(str(data.get("kind")))
    if layout is None:
        raise InvalidMessageError(f"message kind {data.get('kind')!r} is unknown")
    values = {key.attribute: key.read(layout.kind, data) for key in layout.keys}
    message: Message = layout.message_type(**values)
    return message
