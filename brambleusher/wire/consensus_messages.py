"""Messages between the replicas of a shard, and their form as JSON objects.

Types and attributes have Raft's names; the keys on the wire are in the table of layouts at the end.

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
    """One replica: its identity, drawn anew with every empty disk, and where it is reached."""

    id: str
    address: str
    admin_address: str
    zone: str
    is_voter: bool

    def as_json(self) -> dict[str, object]:
        """Return the form for the wire and the disk."""
        return {
            "id": self.id,
            "address": self.address,
            "control": self.admin_address,
            "zone": self.zone,
            "voter": self.is_voter,
        }

    @classmethod
    def from_json(cls, data: object) -> Member:
        """Return a member from its JSON form.

        Raises:
            InvalidMessageError: It is no object, or lacks a key.
        """
        if not isinstance(data, dict):
            raise InvalidMessageError("a member lacks a key")
        try:
            return cls(data["id"], data["address"], data["control"], data["zone"], bool(data["voter"]))
        except KeyError as error:
            raise InvalidMessageError("a member lacks a key") from error


class EntryKind(Enum):
    """What an entry of the log is for; the values are on the wire and the disk."""

    NONE = "none"  # begins a leader's term
    COMMAND = "command"
    MEMBERS = "members"


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the log; `data` is a command, a list of members or None, as its kind says."""

    index: int
    term: int
    kind: EntryKind
    data: object

    def members(self) -> tuple[Member, ...]:
        """Return the members that an entry of the kind `MEMBERS` brings.

        Raises:
            InvalidMessageError: The data is no list of members.
        """
        if not isinstance(self.data, list):
            raise InvalidMessageError(f"the members of entry {self.index} are no list")
        return tuple(Member.from_json(item) for item in self.data)

    def as_json(self) -> list[object]:
        """Return the form for the wire and the disk."""
        return [self.index, self.term, self.kind.value, self.data]

    @classmethod
    def from_json(cls, data: object) -> Entry:
        """Return an entry from its JSON form.

        Raises:
            InvalidMessageError: It is no list of an index, a term, a kind and data.
        """
        if not isinstance(data, list) or len(data) != ENTRY_PARTS:
            raise InvalidMessageError("an entry is no list of four")
        index, term, kind, content = data
        if not isinstance(index, int) or not isinstance(term, int):
            raise InvalidMessageError("an entry has parts of the wrong kind")
        try:
            return cls(index, term, EntryKind(kind), content)
        except ValueError as error:
            raise InvalidMessageError("an entry has parts of the wrong kind") from error


ENTRY_PARTS = 4  # index, term, kind, data


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """RequestVote: a candidate asks for a vote.

    A pre-vote changes nothing and only asks whether a vote would be granted.
    """

    term: int
    sender: str
    last_index: int
    last_term: int
    is_pre_vote: bool
    is_transfer: bool


@dataclass(frozen=True, slots=True)
class VoteReply:
    """The reply to a request for a vote in `requested_term`."""

    term: int
    sender: str
    requested_term: int
    is_pre_vote: bool
    granted: bool


@dataclass(frozen=True, slots=True)
class AppendEntries:
    """Entries after `previous_index`, or none (a heartbeat).

    `heartbeat_sequence` numbers the leader's heartbeats.
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
    """How far the log matches and is synced; on a rejection `match_index` is a hint where to try next."""

    term: int
    sender: str
    accepted: bool
    match_index: int
    heartbeat_sequence: int


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """The state up to an index, for a replica whose next entries are gone from the leader's log."""

    term: int
    sender: str
    index: int
    index_term: int
    members: list[Member]
    state: object
    heartbeat_sequence: int


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """TimeoutNow: the leader asks its successor to start an election at once."""

    term: int
    sender: str


@dataclass(frozen=True, slots=True)
class JoinRequest:
    """A process that is no member asks to become one."""

    sender: str
    member: Member


@dataclass(frozen=True, slots=True)
class ShutdownNotice:
    """A member that is shutting down asks for another to get its vote."""

    sender: str


LeaderMessage = AppendEntries | InstallSnapshot | TransferLeadership
TermMessage = VoteReply | AppendEntriesReply | LeaderMessage
Message = VoteRequest | TermMessage | JoinRequest | ShutdownNotice


@dataclass(frozen=True, slots=True)
class _Key:
    """One key of a message on the wire, and the attribute that it is read into.

    `json_type` is the exact type of the value on the wire; None where any is taken.
    """

    key: str
    attribute: str
    json_type: type | None
    encode: Callable[[Any], object] | None = None
    decode: Callable[[Any], object] | None = None

    def read(self, kind: str, data: JsonObject) -> object:
        """Return the attribute's value from a message's object; raise `InvalidMessageError`."""
        if self.key not in data:
            raise InvalidMessageError(f"{kind} lacks {self.key}")
        value = data[self.key]
        # The exact type: a JSON boolean is no integer here.
        if self.json_type is not None and type(value) is not self.json_type:
            raise InvalidMessageError(f"{self.key} of {kind} is no {self.json_type.__name__}")
        return value if self.decode is None else self.decode(value)

    def write(self, message: Message) -> object:
        """Return the value on the wire."""
        value: object = getattr(message, self.attribute)
        return value if self.encode is None else self.encode(value)


@dataclass(frozen=True, slots=True)
class _Layout:
    """The form of one kind of message on the wire; keys are written in this order."""

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

# Replicas of other versions read these keys: a renamed attribute must not change them.
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
    """Return a message as an object with its kind."""
    layout = _LAYOUT_BY_TYPE[type(message)]
    return {"kind": layout.kind, **{key.key: key.write(message) for key in layout.keys}}


def decode_message(data: JsonObject) -> Message:
    """Return the message that an object has.

    Raises:
        InvalidMessageError: The kind is unknown, or a key is missing or of the wrong type.
    """
    layout = _LAYOUT_BY_KIND.get(str(data.get("kind")))
    if layout is None:
        raise InvalidMessageError(f"kind {data.get('kind')!r} is unknown")
    values = {key.attribute: key.read(layout.kind, data) for key in layout.keys}
    message: Message = layout.message_type(**values)
    return message
