"""Replication by the leader: what it appends, sends to each follower, and commits.

Leader append-only: a leader only ever adds to its log.  Commitment: an entry is committed once a quorum has
it on disk and it is of the leader's own term; earlier entries are committed with it.

Source: Raft, section 5.3 and 5.4.2.
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
    """Appends and sends entries while this replica leads; each call gets the state of the leadership."""

    def __init__(self, state: ReplicaState, snapshots: Snapshots) -> None:
        self._state = state
        self._snapshots = snapshots

    def append(self, leading: LeaderState, kind: EntryKind, data: object) -> Entry:
        """Append an entry of the current term; a change of members is in force from here on."""
        state = self._state
        entry = Entry(state.log.last_index + 1, state.term, kind, data)
        state.append_entry(entry)
        if kind is EntryKind.MEMBERS:
            self.track_members(leading)
        return entry

    def track_members(self, leading: LeaderState) -> None:
        """Keep the progress of just the other members."""
        state = self._state
        leading.progress.track_members(
            state.log.members, state.identity.id, state.log.last_index + 1, state.now
        )

    def broadcast(self, leading: LeaderState) -> None:
        """Send entries to every member that lacks some."""
        self._send_to_members(leading, is_heartbeat=False)

    def heartbeat(self, leading: LeaderState) -> None:
        """Send every member its next entries, or none: the leader is there."""
        self._send_to_members(leading, is_heartbeat=True)

    def begin_heartbeat(self, leading: LeaderState) -> None:
        """Update the last contact with a quorum, and set when the next heartbeat is due."""
        leading.last_quorum_contact_s = max(leading.last_quorum_contact_s, self.last_quorum_contact(leading))
        leading.heartbeat_due_s = self._state.now + HEARTBEAT_S

    def last_quorum_contact(self, leading: LeaderState) -> float:
        """Return when a quorum, this replica included, last had contact; seconds of the clock."""
        state = self._state
        times = {identity: known.last_contact_s for identity, known in leading.progress.followers.items()}
        return state.agreed_value({**times, state.identity.id: state.now})

    def has_quorum_contact(self, leading: LeaderState) -> bool:
        """Return whether a quorum answered within the longest election timeout."""
        state = self._state
        live = leading.progress.responsive_within(ELECTION_MAX_S, state.now) | {state.identity.id}
        return state.has_quorum(live)

    def send_missing_entries(self, identity: str, progress: FollowerProgress) -> None:
        """Send a member what it lacks, if anything."""
        member = self._state.member(identity)
        if member is not None and progress.next_index <= self._state.log.last_index:
            self._send_entries(member, progress)

    def advance_commit(self, leading: LeaderState) -> bool:
        """Commit what a quorum has on disk; return whether that committed a change of members.

        Leader completeness: entries of earlier terms are never committed by counting replicas, since a later
        leader may still lack them; they are committed by the first entry of this term after them.
        """
        state = self._state
        matched = {identity: known.match_index for identity, known in leading.progress.followers.items()}
        matched[state.identity.id] = state.durability.synced_index
        agreed = int(state.agreed_value(matched))
        if agreed <= state.commit_index or state.log.term_at(agreed) != state.term:
            return False
        commits_members = state.commit_index < state.log.members_index <= agreed
        state.commit_to(agreed)
        self.heartbeat(leading)  # followers commit by it too, and should not wait for the next one
        return commits_members

    def _send_to_members(self, leading: LeaderState, *, is_heartbeat: bool) -> None:
        for member in self._state.log.members:
            known = leading.progress.followers.get(member.id)
            if known is not None and (is_heartbeat or known.next_index <= self._state.log.last_index):
                self._send_entries(member, known)

    def _send_entries(self, member: Member, known: FollowerProgress) -> None:
        state = self._state
        previous_index = known.next_index - 1
        previous_term = state.log.term_at(previous_index)
        if previous_term is None:
            self._snapshots.send_snapshot(member, known)
            return
        entries = known.take_next_entries(state.log)
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
