"""Consensus of the replicas of one shard: Raft as a state machine without I/O.

Messages, ticks and finished syncs go in; messages, records for the disk and committed entries come out.
Times are seconds of a clock that only advances.  What must be durable before a message may leave carries
the number of the record that it waits for.

`Consensus` takes each event to the part that handles it (election, replication, ...) and does what follows
from it; the parts share the replica's state and do not call each other.

Source: D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm" (Raft).
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping

from brambleusher.controlplane.consensus.election import Election
from brambleusher.controlplane.consensus.follower import Follower
from brambleusher.controlplane.consensus.leader_state import LeaderState
from brambleusher.controlplane.consensus.leadership_transfer import LeadershipTransfer
from brambleusher.controlplane.consensus.membership_change import MembershipChange
from brambleusher.controlplane.consensus.outputs import (
    ConsensusStatus,
    HardState,
    LogPosition,
    Output,
    Restore,
)
from brambleusher.controlplane.consensus.reads import Reads
from brambleusher.controlplane.consensus.replica_state import ReplicaState
from brambleusher.controlplane.consensus.replicated_log import Log
from brambleusher.controlplane.consensus.replication import Replication
from brambleusher.controlplane.consensus.snapshots import Snapshots
from brambleusher.controlplane.consensus.timing import ELECTION_MIN_S, REJOIN_AFTER_S, UNSYNCED_MAX
from brambleusher.wire import consensus_messages as wire
from brambleusher.wire.consensus_messages import Entry, EntryKind, Member

DEFAULT_VOTERS = 3  # bear the loss of one


class Consensus:
    """One replica of one shard.

    Args:
        identity: Who this replica is.
        log: The log as its disk has it.
        term: The last term that its disk has.
        vote: For whom it voted in that term, or "".
        now: Seconds of the clock.
        rng: Draws the election timeouts.
        required_voters: How many votes the group should have.
        zone_by_address: Gives the zones of replicas that have announced theirs, by address.
        region_by_zone: The region of each zone, where regions are configured.
    """

    def __init__(
        self,
        identity: Member,
        log: Log,
        term: int,
        vote: str,
        now: float,
        rng: random.Random,
        required_voters: int = DEFAULT_VOTERS,
        zone_by_address: Callable[[], Mapping[str, str]] = dict,
        region_by_zone: Mapping[str, str] | None = None,
    ) -> None:
        self.required_voters = required_voters
        self.state = ReplicaState(identity, log, HardState(term, vote), now, rng)
        self._election = Election(self.state)
        self._snapshots = Snapshots(self.state)
        self._replication = Replication(self.state, self._snapshots)
        self._follower = Follower(self.state)
        self._reads = Reads(self.state)
        self._transfer = LeadershipTransfer(self.state)
        self._membership = MembershipChange(
            self.state, required_voters, zone_by_address, region_by_zone or {}
        )

    # --- what callers ask ------------------------------------------------------------------------

    @property
    def identity(self) -> Member:
        """Who this replica is."""
        return self.state.identity

    @property
    def log(self) -> Log:
        """The log behind the last snapshot."""
        return self.state.log

    @property
    def term(self) -> int:
        """The current term."""
        return self.state.term

    @property
    def vote(self) -> str:
        """For whom this replica voted in the current term, or ""."""
        return self.state.vote

    @property
    def commit_index(self) -> int:
        """The index of the last entry that is known to be committed."""
        return self.state.commit_index

    @property
    def voters(self) -> list[Member]:
        """Members whose votes count."""
        return self.state.voters

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader, as far as it knows."""
        return self.state.leader_state is not None

    @property
    def is_shutting_down(self) -> bool:
        """Whether this process is about to end: it starts elections last, and no transferred one."""
        return self.state.is_shutting_down

    def begin_graceful_shutdown(self) -> None:
        """Take note that this process is about to end."""
        self.state.is_shutting_down = True

    def leader_member(self) -> Member | None:
        """Return the leader as far as it is known."""
        return self.state.member(self.state.leader_id)

    def has_quorum_contact(self, now: float) -> bool:
        """Return whether this replica is in contact with a quorum: as its leader, else through a leader."""
        leading = self.state.leader_state
        contact_s = self.state.last_leader_contact_s if leading is None else leading.last_quorum_contact_s
        return bool(self.state.leader_id) and now - contact_s < ELECTION_MIN_S

    def seconds_since_leader_contact(self, now: float) -> float:
        """Return the seconds since the last message of a leader."""
        return now - self.state.last_leader_contact_s

    def should_request_membership(self, now: float) -> bool:
        """Return whether to ask others for membership: not known as a member, or perhaps none any more."""
        if self.is_leader:
            return False
        is_member = self.state.member(self.identity.id) is not None
        return not is_member or self.seconds_since_leader_contact(now) >= REJOIN_AFTER_S

    def accepts_proposals(self) -> bool:
        """Return whether a proposal made here now would be appended."""
        return self._leader_for_proposals() is not None

    def has_vote(self) -> bool:
        """Return whether a quorum may need this replica: its vote is not known to be taken away."""
        return self.state.is_voter or self.state.has_uncommitted_members

    def status(self) -> ConsensusStatus:
        """Return the state for operators."""
        state = self.state
        return ConsensusStatus(
            identity=state.identity.id,
            role=state.role,
            term=state.term,
            leader_id=state.leader_id,
            commit_index=state.commit_index,
            last_index=state.log.last_index,
            synced_index=state.durability.synced_index,
            members=state.log.members,
        )

    def next_tick_at(self) -> float:
        """Return when `tick` has something to do next; seconds of the clock."""
        leading = self.state.leader_state
        return self.state.election_due_s if leading is None else leading.heartbeat_due_s

    def make_snapshot(self, applied_index: int, machine_state: object) -> Restore:
        """Return a snapshot of the state machine's state; see `Snapshots.make_snapshot`."""
        return self._snapshots.make_snapshot(applied_index, machine_state)

    def fill_snapshot(
        self, message: wire.InstallSnapshot, applied_index: int, machine_state: object
    ) -> wire.InstallSnapshot:
        """Return a message that is about to leave with a snapshot of what is applied now."""
        return self._snapshots.fill_snapshot(message, applied_index, machine_state)

    def take_output(self) -> Output:
        """Return what came out since the last call; the driver stores, sends and applies it."""
        return self.state.take_output()

    # --- events ----------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Do what is due by the clock: a leader's heartbeat, or an election."""
        state = self.state
        state.now = now
        state.membership_requests.expire(state.log.members, now)
        if state.leader_state is not None:
            self._tick_leader(state.leader_state)
        elif self._election.handle_timer():
            self._become_leader()

    def propose(self, command: object) -> LogPosition | None:
        """Append a command; return where it is in the log, or None where this replica accepts none."""
        leading = self._leader_for_proposals()
        if leading is None:
            return None
        entry = self._append(leading, EntryKind.COMMAND, command)
        self._replication.broadcast(leading)
        return LogPosition(entry.index, entry.term)

    def read(self, done: Callable[[bool], None]) -> None:
        """Call `done(True)` once a quorum still follows and all committed before is applied here."""
        leading = self.state.leader_state
        if self._reads.begin_read(leading, done) and leading is not None:
            self._replication.heartbeat(leading)
            self._reads.confirm_reads(leading)

    def transfer_leadership(self) -> bool:
        """Ask another voter to take over; return False where none is there or this is no leader."""
        leading = self.state.leader_state
        return leading is not None and self._transfer.begin_transfer(leading)

    def handle_records_synced(self, record: int) -> None:
        """Go on with what waited for records up to this number to be on the disk."""
        self.state.durability.record_sync(record, self.state.log.last_index)
        if self.state.leader_state is not None:
            self._advance_commit(self.state.leader_state)
        elif self._election.handle_records_synced(record):
            self._become_leader()

    def handle_snapshot_stored(self, index: int) -> None:
        """Drop entries up to an index whose snapshot is on the disk."""
        self.state.log.compact(index)

    def handle_message(self, message: wire.Message, now: float) -> None:
        """Handle a message of another replica."""
        state = self.state
        state.now = now
        if isinstance(message, wire.JoinRequest):
            state.membership_requests.record_join(message.member, now)
            return
        if message.sender == state.identity.id:
            return
        state.membership_requests.record_contact(message.sender, now)
        if isinstance(message, wire.ShutdownNotice):
            self._handle_shutdown_notice(message)
        elif isinstance(message, wire.VoteRequest):
            self._election.handle_vote_request(message)
        else:
            self._handle_message_of_term(message)

    # --- what follows from events ----------------------------------------------------------------

    def _handle_message_of_term(self, message: wire.TermMessage) -> None:
        """Handle a message whose term counts; a later term makes this replica follow it."""
        state = self.state
        is_pre_vote = isinstance(message, wire.VoteReply) and message.is_pre_vote
        if message.term > state.term and not is_pre_vote:
            state.become_follower(message.term, "")
        if isinstance(message, wire.VoteReply):
            if self._election.handle_vote_reply(message):
                self._become_leader()
        elif isinstance(message, wire.AppendEntriesReply):
            self._handle_append_reply(message)
        elif message.term < state.term:
            self._follower.reject_stale_leader(message)
        else:
            self._handle_leader_message(message)

    def _handle_leader_message(self, message: wire.LeaderMessage) -> None:
        if isinstance(message, wire.AppendEntries):
            self._follower.handle_append_entries(message)
        elif isinstance(message, wire.InstallSnapshot):
            self._snapshots.handle_install_snapshot(message)
        else:
            self._handle_transfer()

    def _handle_transfer(self) -> None:
        """Start an election at once, as the leader asks, where this replica can stay leader."""
        if not self.state.is_voter or self.state.is_shutting_down:
            return
        if self._election.start_election(is_pre_vote=False, is_transfer=True):
            self._become_leader()

    def _handle_shutdown_notice(self, message: wire.ShutdownNotice) -> None:
        self.state.membership_requests.record_shutdown(message.sender, self.state.now)
        if self.state.leader_state is not None:
            self._change_members(self.state.leader_state)

    def _handle_append_reply(self, reply: wire.AppendEntriesReply) -> None:
        leading = self.state.leader_state
        if leading is None or reply.term != self.state.term:
            return
        progress = leading.progress.record_reply(reply, self.state.now)
        if progress is None:
            return
        if reply.accepted:
            self._advance_commit(leading)
            self._transfer.continue_transfer(leading, reply.sender, progress)
        self._reads.confirm_reads(leading)
        self._replication.send_missing_entries(reply.sender, progress)

    def _become_leader(self) -> None:
        """Lead the term whose election is won; its first entry lets it commit those of earlier terms."""
        leading = self.state.become_leader()
        self._replication.track_members(leading)
        self._append(leading, EntryKind.NONE, None)
        self._replication.broadcast(leading)

    def _tick_leader(self, leading: LeaderState) -> None:
        state = self.state
        if state.now < leading.heartbeat_due_s:
            return
        if not self._replication.has_quorum_contact(leading):
            state.become_follower(state.term, "")
            state.reset_election_timer()
            return
        if self._transfer.is_advisable() and self.accepts_proposals():
            self._transfer.begin_transfer(leading)
        self._replication.begin_heartbeat(leading)
        self._change_members(leading)
        state.heartbeat_sequence += 1
        self._replication.heartbeat(leading)

    def _append(self, leading: LeaderState, kind: EntryKind, data: object) -> Entry:
        entry = self._replication.append(leading, kind, data)
        self._advance_commit(leading)
        return entry

    def _advance_commit(self, leading: LeaderState) -> None:
        """Commit what a quorum has; the next change of members may follow one that is committed by it."""
        if self._replication.advance_commit(leading):
            self._change_members(leading)

    def _change_members(self, leading: LeaderState) -> None:
        members = self._membership.next_members(leading)
        if members is not None:
            self._append(leading, EntryKind.MEMBERS, [member.as_json() for member in members])
            self._replication.broadcast(leading)

    def _leader_for_proposals(self) -> LeaderState | None:
        """Return the leader's state where proposals are accepted: no transfer is on, the disk keeps up."""
        state = self.state
        leading = state.leader_state
        if leading is None or self._transfer.is_in_progress(leading):
            return None
        unsynced = state.log.last_index - state.durability.synced_index
        return None if unsynced > UNSYNCED_MAX * 2 else leading
