"""What a leader knows of the progress of each follower, and how much it may send ahead; no I/O.

The follower's last reply is the only source of it.
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
MESSAGE_BYTES = 128 * 1024  # of entries in one message: 0.2 s of a link with 5 Mbit/s, ahead of a heartbeat
UNCONFIRMED_BYTES = 256 * 1024  # sent to one member and not confirmed yet
ENTRY_OVERHEAD_BYTES = 32  # of an entry in a message, beside its data


def wire_bytes(entry: Entry) -> int:
    """Return about how many bytes an entry has in a message."""
    return len(orjson.dumps(entry.data)) + ENTRY_OVERHEAD_BYTES


@dataclass(slots=True)
class FollowerProgress:
    """What a leader knows of one other member; times in seconds of its clock.

    `next_index` and `match_index` are Raft's nextIndex and matchIndex; `in_flight` has the index and the
    bytes of each entry that was sent and is not confirmed.
    """

    next_index: int
    match_index: int = 0
    last_contact_s: float = 0.0
    heartbeat_sequence: int = 0
    snapshot_sent_s: float = -SNAPSHOT_EVERY_S
    in_flight: deque[tuple[int, int]] = field(default_factory=deque)

    def record_match(self, match_index: int) -> None:
        """Take note that the member has everything up to an index."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        while self.in_flight and self.in_flight[0][0] <= self.match_index:
            self.in_flight.popleft()

    def step_back(self, hint: int) -> None:
        """Go back after a rejection, to behind the hinted index or further."""
        self.next_index = max(1, min(self.next_index - 1, hint + 1))
        self.in_flight.clear()

    def take_next_entries(self, log: Log) -> list[Entry]:
        """Return the entries to send now, within the bounds, and count them as sent."""
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

    def track_members(self, members: Iterable[Member], own: str, next_index: int, now: float) -> None:
        """Keep the progress of just these members without the own one; new ones begin at `next_index`."""
        others = {member.id for member in members} - {own}
        for identity in others - set(self.followers):
            self.followers[identity] = FollowerProgress(next_index, last_contact_s=now)
        for identity in set(self.followers) - others:
            del self.followers[identity]

    def record_reply(self, reply: AppendEntriesReply, now: float) -> FollowerProgress | None:
        """Take in a reply; return the sender's progress, None where it is no member.

        A rejection sets back what is sent next, below what had been confirmed if need be: sending an entry
        twice does no harm.  One that is older than another reply says nothing any more.
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
        """Return the members that replied lately."""
        return {
            identity for identity, known in self.followers.items() if now - known.last_contact_s < seconds
        }

    def caught_up(self, index: int, among: Collection[str]) -> set[str]:
        """Return the members, of those named, that confirmed everything up to an index."""
        return {identity for identity in among if self.followers[identity].match_index >= index}

    def seconds_since_contact(self, now: float) -> dict[str, float]:
        """Return the seconds since each member replied."""
        return {identity: now - known.last_contact_s for identity, known in self.followers.items()}
