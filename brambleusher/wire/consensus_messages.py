"""Messages between the replicas of a shard, and their form as JSON objects."""

from __future__ import annotations

from dataclasses import asdict, dataclass, fields
from typing import Any

from brambleusher.wire.errors import InvalidMessageError


@dataclass(frozen=True, slots=True)
class Member:
    """One replica: its identity, drawn anew with every empty disk, and where it is reached."""

    id: str
    address: str
    control: str
    zone: str
    voter: bool

    def as_json(self) -> dict[str, Any]:
        """The form for the wire and the disk."""
        return asdict(self)


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


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """A candidate asks for a vote; a `pre` vote changes nothing and only asks whether one would be given."""

    term: int
    sender: str
    last_index: int
    last_term: int
    pre: bool
    transfer: bool


@dataclass(frozen=True, slots=True)
class VoteReply:
    """The answer to a request for a vote of `asked` term."""

    term: int
    sender: str
    asked: int
    pre: bool
    granted: bool


@dataclass(frozen=True, slots=True)
class Append:
    """Entries after `previous_index`, or none (a heartbeat); `round` numbers the leader's heartbeats."""

    term: int
    sender: str
    previous_index: int
    previous_term: int
    entries: list[Entry]
    commit: int
    round: int


@dataclass(frozen=True, slots=True)
class AppendReply:
    """How far the log agrees and is synced; on a refusal `matched` is a hint where to try next."""

    term: int
    sender: str
    accepted: bool
    matched: int
    round: int


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """The state up to an index, for a replica whose next entries are gone from the leader's log."""

    term: int
    sender: str
    index: int
    index_term: int
    members: list[Member]
    state: Any
    round: int


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
    | Append
    | AppendReply
    | InstallSnapshot
    | TransferLeadership
    | JoinRequest
    | LeaveRequest
)
KINDS: dict[str, type[Any]] = {
    "vote": VoteRequest,
    "voted": VoteReply,
    "append": Append,
    "appended": AppendReply,
    "snapshot": InstallSnapshot,
    "transfer": TransferLeadership,
    "join": JoinRequest,
    "leave": LeaveRequest,
}
NAMES = {kind: name for name, kind in KINDS.items()}


def member_of(data: Any) -> Member:
    """A member from its JSON form; raises `InvalidMessageError`."""
    try:
        return Member(data["id"], data["address"], data["control"], data["zone"], bool(data["voter"]))
    except (KeyError, TypeError) as error:
        raise InvalidMessageError("a member lacks a key") from error


def entry_of(data: Any) -> Entry:
    """An entry from its JSON form; raises `InvalidMessageError`."""
    try:
        index, term, kind, content = data
    except (TypeError, ValueError) as error:
        raise InvalidMessageError("an entry is no list of four") from error
    if not isinstance(index, int) or not isinstance(term, int) or kind not in ("none", "command", "members"):
        raise InvalidMessageError("an entry has parts of the wrong kind")
    return Entry(index, term, kind, content)


def as_json(message: Message) -> dict[str, Any]:
    """A message as an object with its kind."""
    data: dict[str, Any] = {"kind": NAMES[type(message)]}
    for field in fields(message):
        value = getattr(message, field.name)
        if field.name == "member":
            value = value.as_json()
        elif field.name in ("entries", "members"):
            value = [part.as_json() for part in value]
        data[field.name] = value
    return data


def from_json(data: dict[str, Any]) -> Message:
    """The message that an object holds; raises `InvalidMessageError`."""
    kind = KINDS.get(str(data.get("kind")))
    if kind is None:
        raise InvalidMessageError(f"kind {data.get('kind')!r} is unknown")
    values: dict[str, Any] = {}
    for field in fields(kind):
        if field.name not in data:
            raise InvalidMessageError(f"{data['kind']} lacks {field.name}")
        value = data[field.name]
        if field.name == "member":
            value = member_of(value)
        elif field.name in ("entries", "members"):
            if not isinstance(value, list):
                raise InvalidMessageError(f"{field.name} of {data['kind']} is no list")
            value = [entry_of(part) if field.name == "entries" else member_of(part) for part in value]
        elif field.type in ("int", "str", "bool") and type(value).__name__ != field.type:
            raise InvalidMessageError(f"{field.name} of {data['kind']} is no {field.type}")
        values[field.name] = value
    message: Message = kind(**values)
    return message
