"""Outputs of consensus for its driver: messages, records for the disk, committed entries and status."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from brambleusher.wire import consensus_messages as wire
from brambleusher.wire.consensus_messages import Entry, Member


class Role(Enum):
    """The role of a replica in its group."""

    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class LogPosition:
    """The index and term of a log entry; an entry with another term at the same index has replaced it."""

    index: int
    term: int


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message to a member, to be sent once record number `after_record` is synced (0 means immediately)."""

    recipient: Member
    message: wire.Message
    after_record: int


@dataclass(frozen=True, slots=True)
class HardState:
    """Record of the current term and of this replica's vote in that term."""

    term: int
    vote: str


@dataclass(frozen=True, slots=True)
class Truncate:
    """Record that deletes the entries from index `first` on."""

    first: int


@dataclass(frozen=True, slots=True)
class Restore:
    """Record of a snapshot that replaces the state and log before it."""

    index: int
    term: int
    members: tuple[Member, ...]
    state: object


@dataclass(frozen=True, slots=True)
class BootstrapMembersRecord:
    """Record of the initial members of the group; a later one replaces an earlier one."""

    members: tuple[Member, ...]


Record = HardState | Truncate | Restore | Entry | BootstrapMembersRecord


@dataclass(slots=True)
class Output:
    """The outputs since the driver last took them."""

    messages: list[Outgoing] = field(default_factory=list)
    records: list[Record] = field(default_factory=list)
    committed: list[Entry] = field(default_factory=list)
    restored: list[Restore] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ConsensusStatus:
    """The status of a replica, for operators."""

    identity: str
    role: Role
    term: int
    leader_id: str
    commit_index: int
    last_index: int
    synced_index: int
    members: tuple[Member, ...]

    def as_json(self) -> dict[str, object]:
        """Return the status as the JSON object of the admin API; operators' tools read these keys."""
        return {
            "id": self.identity,
            "role": self.role.value,
            "term": self.term,
            "leader": self.leader_id,
            "commit": self.commit_index,
            "last_index": self.last_index,
            "synced_index": self.synced_index,
            "members": [member.as_json() for member in self.members],
        }
