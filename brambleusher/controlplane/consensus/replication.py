"""What a leader knows of the other members, and what it sends each of them next; no I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

import orjson

from brambleusher.controlplane.consensus.outputs import SNAPSHOT_EVERY_S
from brambleusher.controlplane.consensus.replicated_log import Log
from brambleusher.wire.consensus_messages import AppendEntriesReply, Entry, Member

ENTRIES_A_MESSAGE = 64
MESSAGE_BYTES = 128 * 1024  # of entries in one message: 0.2 s of a link with 5 Mbit/s, ahead of a heartbeat
UNCONFIRMED_BYTES = 256 * 1024  # sent to one member and not confirmed yet


@dataclass(slots=True)
class Progress:
    """What a leader knows of one other member; times in seconds of its clock."""

    next_index: int
    match_index: int = 0
    last_contact_s: float = 0.0
    heartbeat_sequence: int = 0
    snapshot_sent_s: float = -SNAPSHOT_EVERY_S
    in_flight: deque[tuple[int, int]] = field(default_factory=deque)  # index and bytes, sent, not confirmed

    def record_match(self, match_index: int) -> None:
        """It holds everything up to an index."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        while self.in_flight and self.in_flight[0][0] <= self.match_index:
            self.in_flight.popleft()

    def step_back(self, hint: int) -> None:
        """What was sent does not fit: go back, to behind the hinted index or further."""
        self.next_index = max(1, min(self.next_index - 1, hint + 1))
        self.in_flight.clear()


def wire_bytes(entry: Entry) -> int:
    """About how many bytes an entry has in a message."""
    return len(orjson.dumps(entry.data)) + 32


@dataclass(slots=True)
class Replication:
    """The progress of each other member while this replica leads."""

    progress: dict[str, Progress] = field(default_factory=dict)

    def track_members(self, members: Iterable[Member], own: str, next_index: int, now: float) -> None:
        """Keep track of just these members."""
        others = {member.id for member in members} - {own}
        for identity in others - set(self.progress):
            self.progress[identity] = Progress(next_index, last_contact_s=now)
        for identity in set(self.progress) - others:
            del self.progress[identity]

    def record_reply(self, reply: AppendEntriesReply, now: float) -> Progress | None:
        """Take in an answer; None where it is of no member.

        A refusal sets back what is sent next, below what had been confirmed if need be: sending an entry
        twice does no harm.  One that is older than another answer says nothing any more.
        """
        known = self.progress.get(reply.sender)
        if known is None:
            return None
        known.last_contact_s = now
        if reply.accepted:
            known.record_match(reply.match_index)
        elif reply.heartbeat_sequence >= known.heartbeat_sequence:
            known.step_back(reply.match_index)
        known.heartbeat_sequence = max(known.heartbeat_sequence, reply.heartbeat_sequence)
        return known

    def next_entries(self, log: Log, known: Progress) -> list[Entry]:
        """Entries to send a member now: within the bounds, and counted as sent."""
        if sum(size for _, size in known.in_flight) >= UNCONFIRMED_BYTES:
            return []
        chosen: list[Entry] = []
        total = 0
        for entry in log.entries_after(known.next_index - 1, ENTRIES_A_MESSAGE):
            size = wire_bytes(entry)
            total += size
            if chosen and total > MESSAGE_BYTES:
                break
            chosen.append(entry)
            known.in_flight.append((entry.index, size))
        known.next_index += len(chosen)
        return chosen

    def responsive_within(self, seconds: float, now: float) -> set[str]:
        """Members that answered lately."""
        return {identity for identity, known in self.progress.items() if now - known.last_contact_s < seconds}

    def caught_up(self, index: int, among: Collection[str]) -> set[str]:
        """Members, of those named, that confirmed everything up to an index."""
        return {identity for identity in among if self.progress[identity].match_index >= index}

    def seconds_since_contact(self, now: float) -> dict[str, float]:
        """Seconds since each member answered."""
        return {identity: now - known.last_contact_s for identity, known in self.progress.items()}
