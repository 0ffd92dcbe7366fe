"""What consensus hands to its driver: messages, records for the disk, committed entries, its status."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from brambleusher.wire import consensus_messages as wire
from brambleusher.wire.consensus_messages import Entry, Member


class Role(Enum):
    """What a replica is at the moment."""

    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class LogPosition:
    """Where an entry is in the log; of another term at the same index, it was replaced."""

    index: int
    term: int


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message to a member, to be sent once the record numbered `after_record` is synced (0: at once)."""

    recipient: Member
    message: wire.Message
    after_record: int


@dataclass(frozen=True, slots=True)
class HardState:
    """Record: term and vote."""

    term: int
    vote: str


@dataclass(frozen=True, slots=True)
class Truncate:
    """Record: entries from an index on are void."""

    first: int


@dataclass(frozen=True, slots=True)
class Restore:
    """Record: a snapshot received from the leader replaces everything before it."""

    index: int
    term: int
    members: tuple[Member, ...]
    state: object


Record = HardState | Truncate | Restore | Entry


@dataclass(slots=True)
class Output:
    """What came out since it was last taken."""

    messages: list[Outgoing] = field(default_factory=list)
    records: list[Record] = field(default_factory=list)
    committed: list[Entry] = field(default_factory=list)
    restored: list[Restore] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ConsensusStatus:
    """The state of a replica for operators."""

    identity: str
    role: Role
    term: int
    leader_id: str
    commit_index: int
    last_index: int
    synced_index: int
    members: tuple[Member, ...]

    def as_json(self) -> dict[str, object]:
        """Return the form of the admin answers; operators' tools read these keys."""
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
