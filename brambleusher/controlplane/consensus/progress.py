"""A leader's view of each follower's replication progress, and flow control of unconfirmed entries; no I/O.

The view is derived only from the followers' replies.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

import orjson

from brambleusher.controlplane.consensus.replicated_log import Log
from brambleusher.controlplane.consensus.timing import SNAPSHOT_EVERY_S
from brambleusher.wire.consensus_messages import AppendEntriesReply, Entry, Member

MESSAGE_ENTRIES_MAX = 64
# Limit on the bytes of entries in one message. A message of this size delays a heartbeat queued behind it by
# 0.2 seconds on a link of 5 Mbit/s.
MESSAGE_BYTES = 128 * 1024
UNCONFIRMED_BYTES = 256 * 1024  # limit on the bytes sent to one member and not yet confirmed
ENTRY_OVERHEAD_BYTES = 32  # estimated encoded size of an entry without its data


def wire_bytes(entry: Entry) -> int:
    """Return the approximate size of an entry in a message, in bytes."""
    return len(orjson.dumps(entry.data)) + ENTRY_OVERHEAD_BYTES


@dataclass(slots=True)
class FollowerProgress:
    """A leader's view of one other member; times are in seconds of the leader's clock.

    `next_index` and `match_index` are Raft's nextIndex and matchIndex; `in_flight` has the index and the size
    in bytes of each entry that was sent and is not yet confirmed.
    """

    next_index: int
    match_index: int = 0
    last_contact_s: float = 0.0
    heartbeat_sequence: int = 0
    snapshot_sent_s: float = -SNAPSHOT_EVERY_S
    in_flight: deque[tuple[int, int]] = field(default_factory=deque)

    def record_match(self, match_index: int) -> None:
        """Record that the member has all entries up to an index."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        while self.in_flight and self.in_flight[0][0] <= self.match_index:
            self.in_flight.popleft()

    def step_back(self, hint: int) -> None:
        """Move `next_index` back after a rejection, to at most the index after the hint."""
        self.next_index = max(1, min(self.next_index - 1, hint + 1))
        self.in_flight.clear()

    def take_next_entries(self, log: Log) -> list[Entry]:
        """Return the entries to send now, within the size limits, and record them as in flight."""
        if sum(size for _, size in self.in_flight) >= UNCONFIRMED_BYTES:
            return []
        chosen: list[Entry] = []
        total = 0
        for entry in log.entries_after(self.next_index - 1, MESSAGE_ENTRIES_MAX):
            size = wire_bytes(entry)
            total += size
            if chosen and total > MESSAGE_BYTES:
                break
            chosen.append(entry)
            self.in_flight.append((entry.index, size))
        self.next_index += len(chosen)
        return chosen


@dataclass(slots=True)
class ReplicationProgress:
    """The progress of each other member while this replica leads."""

    followers: dict[str, FollowerProgress] = field(default_factory=dict)

    def track_members(self, members: Iterable[Member], own_id: str, next_index: int, now: float) -> None:
        """Track exactly the given members except this replica; new members start at `next_index`."""
        others = {member.id for member in members} - {own_id}
        for identity in others - set(self.followers):
            self.followers[identity] = FollowerProgress(next_index, last_contact_s=now)
        for identity in set(self.followers) - others:
            del self.followers[identity]

    def record_reply(self, reply: AppendEntriesReply, now: float) -> FollowerProgress | None:
        """Apply a reply; return the sender's progress, or None if the sender is not a member.

        A rejection moves `next_index` back, even below `match_index`: sending an entry twice is harmless. A
        rejection that is older than another received reply is ignored.
        """
        known = self.followers.get(reply.sender)
        if known is None:
            return None
        known.last_contact_s = now
        if reply.accepted:
            known.record_match(reply.match_index)
        elif reply.heartbeat_sequence >= known.heartbeat_sequence:
            known.step_back(reply.match_index)
        known.heartbeat_sequence = max(known.heartbeat_sequence, reply.heartbeat_sequence)
        return known

    def responsive_within(self, seconds: float, now: float) -> set[str]:
        """Return the identities of members that replied within the given time in seconds."""
        return {
            identity for identity, known in self.followers.items() if now - known.last_contact_s < seconds
        }

    def caught_up(self, index: int, among: Collection[str]) -> set[str]:
        """Return those of the given members that confirmed all entries up to an index."""
        return {identity for identity in among if self.followers[identity].match_index >= index}

    def seconds_since_contact(self, now: float) -> dict[str, float]:
        """Return the seconds since the last reply of each member, by identity."""
        return {identity: now - known.last_contact_s for identity, known in self.followers.items()}
