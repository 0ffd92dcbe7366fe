"""What agreement hands to its driver, and what it keeps of each replica."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from brambleusher.wire import consensus_messages as wire
from brambleusher.wire.consensus_messages import Entry, Member

SNAPSHOT_EVERY_S = 1.0  # to one replica: a snapshot on a slow link takes a while


class Role(Enum):
    """What a replica is at the moment."""

    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


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
    state: Any


Record = HardState | Truncate | Restore | Entry


@dataclass(slots=True)
class Output:
    """What came out since it was last taken."""

    messages: list[Outgoing] = field(default_factory=list)
    records: list[Record] = field(default_factory=list)
    committed: list[Entry] = field(default_factory=list)
    restored: list[Restore] = field(default_factory=list)
