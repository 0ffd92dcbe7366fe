"""Replication by the leader: appends entries, sends them to the followers, and commits them.

Leader append-only: a leader never deletes or overwrites entries of its log. Commitment: an entry is committed
once it is of the leader's own term and a quorum has it on disk; earlier entries are committed with it.

Source: Raft paper, sections 5.3 and 5.4.2.
"""

from __future__ import annotations

from brambleusher.controlplane.consensus.leader_state import LeaderState
from brambleusher.controlplane.consensus.progress import FollowerProgress
from brambleusher.controlplane.consensus.replica_state import ReplicaState
from brambleusher.controlplane.consensus.snapshots import Snapshots
from brambleusher.controlplane.consensus.timing import ELECTION_MAX_S, HEARTBEAT_S
from brambleusher.wire import consensus_messages as wire
from brambleusher.wire.consensus_messages import Entry, EntryKind, Member


class Replication:
    """Appends, sends and commits entries while this replica leads; the caller passes the leader state."""

    def __init__(self, state: ReplicaState, snapshots: Snapshots) -> None:
        self._state = state
        self._snapshots = snapshots

    def append(self, leader_state: LeaderState, kind: EntryKind, data: object) -> Entry:
        """Append an entry of the current term; a membership change takes effect immediately."""
        state = self._state
        entry = Entry(state.log.last_index + 1, state.term, kind, data)
        state.append_entry(entry)
        if kind is EntryKind.MEMBERS:
            self.track_members(leader_state)
        return entry

    def track_members(self, leader_state: LeaderState) -> None:
        """Track the progress of exactly the other members."""
        state = self._state
        leader_state.progress.track_members(
            state.log.members, state.identity.id, state.log.last_index + 1, state.now
        )

    def broadcast(self, leader_state: LeaderState) -> None:
        """Send missing entries to each member that lacks any."""
        self._send_to_members(leader_state, is_heartbeat=False)

    def heartbeat(self, leader_state: LeaderState) -> None:
        """Send a message to every member, with its next entries if it lacks any."""
        self._send_to_members(leader_state, is_heartbeat=True)

    def begin_heartbeat(self, leader_state: LeaderState) -> None:
        """Update the time of the last contact with a quorum, and the time of the next heartbeat."""
        leader_state.last_quorum_contact_s = max(
            leader_state.last_quorum_contact_s, self.last_quorum_contact(leader_state)
        )
        leader_state.heartbeat_due_s = self._state.now + HEARTBEAT_S

    def last_quorum_contact(self, leader_state: LeaderState) -> float:
        """Return the latest time since which a quorum, including this replica, has replied; in seconds."""
        state = self._state
        times = {
            identity: progress.last_contact_s
            for identity, progress in leader_state.progress.followers.items()
        }
        return state.agreed_value({**times, state.identity.id: state.now})

    def has_quorum_contact(self, leader_state: LeaderState) -> bool:
        """Return whether a quorum replied within the longest election timeout."""
        state = self._state
        live = leader_state.progress.responsive_within(ELECTION_MAX_S, state.now) | {state.identity.id}
        return state.has_quorum(live)

    def send_missing_entries(self, identity: str, progress: FollowerProgress) -> None:
        """Send a member the entries that it lacks, if any."""
        member = self._state.member(identity)
        if member is not None and progress.next_index <= self._state.log.last_index:
            self._send_entries(member, progress)

    def advance_commit(self, leader_state: LeaderState) -> bool:
        """Commit the entries that a quorum has on disk; return whether that committed a membership change.

        Leader completeness: entries of earlier terms are never committed by counting replicas, since a later
        leader may still lack them; they are committed with the first entry of this term after them.
        """
        state = self._state
        matched = {
            identity: progress.match_index for identity, progress in leader_state.progress.followers.items()
        }
        matched[state.identity.id] = state.durability.synced_index
        agreed = int(state.agreed_value(matched))
        if agreed <= state.commit_index or state.log.term_at(agreed) != state.term:
            return False
        commits_members = state.commit_index < state.log.members_index <= agreed
        state.commit_to(agreed)
        # Tell followers the new commit index now instead of with the next periodic heartbeat.
        self.heartbeat(leader_state)
        return commits_members

    def _send_to_members(self, leader_state: LeaderState, *, is_heartbeat: bool) -> None:
        for member in self._state.log.members:
            progress = leader_state.progress.followers.get(member.id)
            if progress is not None and (is_heartbeat or progress.next_index <= self._state.log.last_index):
                self._send_entries(member, progress)

    def _send_entries(self, member: Member, progress: FollowerProgress) -> None:
        state = self._state
        previous_index = progress.next_index - 1
        previous_term = state.log.term_at(previous_index)
        if previous_term is None:
            self._snapshots.send_snapshot(member, progress)
            return
        entries = progress.take_next_entries(state.log)
        state.send(
            member,
            wire.AppendEntries(
                state.term,
                state.identity.id,
                previous_index,
                previous_term,
                entries,
                state.commit_index,
                state.heartbeat_sequence,
            ),
        )
