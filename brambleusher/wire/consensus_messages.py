"""Messages between the replicas of a shard, and their form as JSON objects."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from brambleusher.wire.errors import InvalidMessageError


@dataclass(frozen=True, slots=True)
class Member:
    """One replica: its identity, drawn anew with every empty disk, and where it is reached."""

    id: str
    address: str
    admin_address: str
    zone: str
    is_voter: bool

    def as_json(self) -> dict[str, Any]:
        """The form for the wire and the disk."""
        return {
            "id": self.id,
            "address": self.address,
            "control": self.admin_address,
            "zone": self.zone,
            "voter": self.is_voter,
        }

    @classmethod
    def from_json(cls, data: Any) -> Member:
        """A member from its JSON form; raises `InvalidMessageError`."""
        try:
            return cls(data["id"], data["address"], data["control"], data["zone"], bool(data["voter"]))
        except (KeyError, TypeError) as error:
            raise InvalidMessageError("a member lacks a key") from error


@dataclass(frozen=True, slots=True)
class Entry:
    """One place in the log; `kind` is `none`, `command` or `members`."""

    index: int
    term: int
    kind: str
    data: Any

    def as_json(self) -> list[Any]:
        """The form for the wire and the disk."""
        return [self.index, self.term, self.kind, self.data]

    @classmethod
    def from_json(cls, data: Any) -> Entry:
        """An entry from its JSON form; raises `InvalidMessageError`."""
        try:
            index, term, kind, content = data
        except (TypeError, ValueError) as error:
            raise InvalidMessageError("an entry is no list of four") from error
        if (
            not isinstance(index, int)
            or not isinstance(term, int)
            or kind not in ("none", "command", "members")
        ):
            raise InvalidMessageError("an entry has parts of the wrong kind")
        return cls(index, term, kind, content)


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """A candidate asks for a vote; a pre-vote changes nothing and only asks whether one would be given."""

    term: int
    sender: str
    last_index: int
    last_term: int
    is_pre_vote: bool
    is_transfer: bool


@dataclass(frozen=True, slots=True)
class VoteReply:
    """The answer to a request for a vote in `requested_term`."""

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
    """How far the log agrees and is synced; on a refusal `match_index` is a hint where to try next."""

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
    state: Any
    heartbeat_sequence: int


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """The leader asks its successor to stand for election at once."""

    term: int
    sender: str


@dataclass(frozen=True, slots=True)
class JoinRequest:
    """A process that is no member asks to become one."""

    sender: str
    member: Member


@dataclass(frozen=True, slots=True)
class LeaveRequest:
    """A member that is about to end asks for another to get its vote."""

    sender: str


Message = (
    VoteRequest
    | VoteReply
    | AppendEntries
    | AppendEntriesReply
    | InstallSnapshot
    | TransferLeadership
    | JoinRequest
    | LeaveRequest
)


@dataclass(frozen=True, slots=True)
class _Key:
    """One key of a message on the wire, and the attribute that it is read into.

    `json_type` is the exact type of the value on the wire; None where any is taken.
    """

    key: str
    attribute: str
    json_type: type | None
    encode: Callable[[Any], Any] | None = None
    decode: Callable[[Any], Any] | None = None

    def read(self, kind: str, data: dict[str, Any]) -> Any:
        """The attribute's value from a message's object; raises `InvalidMessageError`."""
        if self.key not in data:
            raise InvalidMessageError(f"{kind} lacks {self.key}")
        value = data[self.key]
        # The exact type: a JSON boolean is no integer here.
        if self.json_type is not None and type(value) is not self.json_type:
            raise InvalidMessageError(f"{self.key} of {kind} is no {self.json_type.__name__}")
        return value if self.decode is None else self.decode(value)

    def write(self, message: Message) -> Any:
        """The value on the wire."""
        value = getattr(message, self.attribute)
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


def _list(key: str, attribute: str, decode_part: Callable[[Any], Any]) -> _Key:
    return _Key(
        key,
        attribute,
        list,
        lambda values: [value.as_json() for value in values],
        lambda parts: [decode_part(part) for part in parts],
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
    _Layout("leave", LeaveRequest, (_SENDER,)),
)
_LAYOUT_BY_KIND = {layout.kind: layout for layout in _LAYOUTS}
_LAYOUT_BY_TYPE = {layout.message_type: layout for layout in _LAYOUTS}


def encode_message(message: Message) -> dict[str, Any]:
    """A message as an object with its kind."""
    layout = _LAYOUT_BY_TYPE[type(message)]
    return {"kind": layout.kind, **{key.key: key.write(message) for key in layout.keys}}


def decode_message(data: dict[str, Any]) -> Message:
    """The message that an object holds; raises `InvalidMessageError`."""
    layout = _LAYOUT_BY_KIND.get(str(data.get("kind")))
    if layout is None:
        raise InvalidMessageError(f"kind {data.get('kind')!r} is unknown")
    values = {key.attribute: key.read(layout.kind, data) for key in layout.keys}
    message: Message = layout.message_type(**values)
    return message
