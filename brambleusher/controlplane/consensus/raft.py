"""Consensus of a group of replicas: Raft as a state machine without I/O.

The inputs are messages, ticks and completed syncs; the outputs are messages, records for the disk and
committed entries. Times are in seconds of a monotonic clock. A message that must not be sent before a record
is durable carries the number of that record.

`Consensus` passes each event to the component that handles it (election, replication, ...) and performs the
resulting transitions; the components share the replica's state and do not call each other.

Source: D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm" (Raft).
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

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

DEFAULT_VOTERS = 3  # tolerates the loss of one voter


@dataclass(frozen=True, slots=True)
class InitialGrowth:
    """How far a new group grows before its first command.

    Attributes:
        voters: How many voters the group must have before the first command is accepted.
        timeout_s: How long a leader waits for these voters before it accepts commands without them.
    """

    voters: int = 1
    timeout_s: float = 0.0


NO_INITIAL_GROWTH = InitialGrowth()


class Consensus:
    """One replica of a replica group.

    Args:
        identity: This replica as a member: its identity, addresses and zone.
        log: The log as recovered from the disk.
        term: The current term as recovered from the disk.
        vote: The identity of the candidate that this replica voted for in that term, or "".
        now: The current time in seconds of the monotonic clock.
        rng: The source of random election timeouts.
        required_voters: How many voters the group should have.
        zone_by_address: Returns the known zones of replicas by their addresses.
        region_by_zone: The region of each zone; None if no regions are configured.
        initial_growth: How far a new group grows before its first command.
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
        initial_growth: InitialGrowth = NO_INITIAL_GROWTH,
    ) -> None:
        self.required_voters = required_voters
        self._initial_growth = initial_growth
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

    # --- queries ---------------------------------------------------------------------------------

    @property
    def identity(self) -> Member:
        """This replica as a member: its identity, addresses and zone."""
        return self.state.identity

    @property
    def log(self) -> Log:
        """The log after the last snapshot."""
        return self.state.log

    @property
    def term(self) -> int:
        """The current term."""
        return self.state.term

    @property
    def vote(self) -> str:
        """The identity of the candidate that this replica voted for in the current term, or ""."""
        return self.state.vote

    @property
    def commit_index(self) -> int:
        """The index of the last entry that is known to be committed."""
        return self.state.commit_index

    @property
    def voters(self) -> list[Member]:
        """The members that are voters."""
        return self.state.voters

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader, as far as it knows."""
        return self.state.leader_state is not None

    @property
    def is_shutting_down(self) -> bool:
        """Whether this process is shutting down; it then delays elections and declines leadership."""
        return self.state.is_shutting_down

    def begin_graceful_shutdown(self) -> None:
        """Mark this replica as shutting down."""
        self.state.is_shutting_down = True

    def leader_member(self) -> Member | None:
        """Return the leader, or None if it is unknown."""
        return self.state.member(self.state.leader_id)

    def has_quorum_contact(self, now: float) -> bool:
        """Return whether this replica is in contact with a quorum, either as the leader or through it."""
        leader_state = self.state.leader_state
        contact_s = (
            self.state.last_leader_contact_s if leader_state is None else leader_state.last_quorum_contact_s
        )
        return bool(self.state.leader_id) and now - contact_s < ELECTION_MIN_S

    def seconds_since_leader_contact(self, now: float) -> float:
        """Return the seconds since the last message from a leader."""
        return now - self.state.last_leader_contact_s

    def should_request_membership(self, now: float) -> bool:
        """Return whether to request membership: this replica is not a member, or may have been removed."""
        if self.is_leader:
            return False
        is_member = self.state.member(self.identity.id) is not None
        return not is_member or self.seconds_since_leader_contact(now) >= REJOIN_AFTER_S

    def has_empty_log(self) -> bool:
        """Return whether this replica has neither an entry nor a snapshot of any leader."""
        return self.state.log.last_index == 0

    def accepts_proposals(self) -> bool:
        """Return whether a proposal made now would be appended to the log."""
        return self._leader_for_proposals() is not None

    def has_vote(self) -> bool:
        """Return whether a quorum may need this replica: it is a voter, or its demotion is uncommitted."""
        return self.state.is_voter or self.state.has_uncommitted_members

    def status(self) -> ConsensusStatus:
        """Return the status of this replica, for operators."""
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
        """Return when `tick` next has work to do, in seconds of the monotonic clock."""
        leader_state = self.state.leader_state
        return self.state.election_due_s if leader_state is None else leader_state.heartbeat_due_s

    def make_snapshot(self, applied_index: int, machine_state: object) -> Restore:
        """Return a snapshot of the state machine's state; see `Snapshots.make_snapshot`."""
        return self._snapshots.make_snapshot(applied_index, machine_state)

    def fill_snapshot(
        self, message: wire.InstallSnapshot, applied_index: int, machine_state: object
    ) -> wire.InstallSnapshot:
        """Return the message with a snapshot of the currently applied state, just before it is sent."""
        return self._snapshots.fill_snapshot(message, applied_index, machine_state)

    def take_output(self) -> Output:
        """Return the outputs since the last call, which the driver stores, sends and applies."""
        return self.state.take_output()

    # --- events ----------------------------------------------------------------------------------

    def replace_bootstrap_members(self, members: tuple[Member, ...]) -> None:
        """Replace the initial members of the group, unless the log has an entry or a snapshot already."""
        if self.has_empty_log() and members != self.state.log.members:
            self.state.replace_bootstrap_members(members)

    def tick(self, now: float) -> None:
        """Advance the clock, and send a heartbeat or start an election if it is due."""
        state = self.state
        state.now = now
        state.membership_requests.expire(state.log.members, now)
        if state.leader_state is not None:
            self._tick_leader(state.leader_state)
        elif self._election.handle_timer():
            self._become_leader()

    def propose(self, command: object) -> LogPosition | None:
        """Append a command; return its position in the log, or None if proposals are not accepted here."""
        leader_state = self._leader_for_proposals()
        if leader_state is None:
            return None
        entry = self._append(leader_state, EntryKind.COMMAND, command)
        self._replication.broadcast(leader_state)
        return LogPosition(entry.index, entry.term)

    def read(self, done: Callable[[bool], None]) -> None:
        """Begin a linearizable read.

        Args:
            done: Called with True once a quorum has confirmed that this replica still leads, or with False if
                this replica does not lead, or has not committed an entry of its term.
        """
        leader_state = self.state.leader_state
        if self._reads.begin_read(leader_state, done) and leader_state is not None:
            self._replication.heartbeat(leader_state)
            self._reads.confirm_reads(leader_state)

    def transfer_leadership(self) -> bool:
        """Begin a leadership transfer; return False if this is not the leader or there is no successor."""
        leader_state = self.state.leader_state
        return leader_state is not None and self._transfer.begin_transfer(leader_state)

    def handle_records_synced(self, record: int) -> None:
        """Handle the sync of all records up to a number: advance the commit index, or count the own vote."""
        self.state.durability.record_sync(record, self.state.log.last_index)
        if self.state.leader_state is not None:
            self._advance_commit(self.state.leader_state)
        elif self._election.handle_records_synced(record):
            self._become_leader()

    def handle_snapshot_stored(self, index: int) -> None:
        """Compact the log up to the index of a snapshot that is on the disk."""
        self.state.log.compact(index)

    def handle_message(self, message: wire.Message, now: float) -> None:
        """Handle a message from another replica."""
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

    # --- event handling --------------------------------------------------------------------------

    def _handle_message_of_term(self, message: wire.TermMessage) -> None:
        """Handle a message with a term; a later term than the current one makes this replica a follower."""
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
        """Start an election as the leader asks, unless this replica is not a voter or is shutting down."""
        if not self.state.is_voter or self.state.is_shutting_down:
            return
        if self._election.start_election(is_pre_vote=False, is_transfer=True):
            self._become_leader()

    def _handle_shutdown_notice(self, message: wire.ShutdownNotice) -> None:
        self.state.membership_requests.record_shutdown(message.sender, self.state.now)
        if self.state.leader_state is not None:
            self._change_members(self.state.leader_state)

    def _handle_append_reply(self, reply: wire.AppendEntriesReply) -> None:
        leader_state = self.state.leader_state
        if leader_state is None or reply.term != self.state.term:
            return
        progress = leader_state.progress.record_reply(reply, self.state.now)
        if progress is None:
            return
        if reply.accepted:
            self._advance_commit(leader_state)
            self._transfer.continue_transfer(leader_state, reply.sender, progress)
        self._reads.confirm_reads(leader_state)
        self._replication.send_missing_entries(reply.sender, progress)

    def _become_leader(self) -> None:
        """Become the leader after a won election, and append an empty entry.

        Committing that entry also commits the entries of earlier terms.
        """
        leader_state = self.state.become_leader()
        self._replication.track_members(leader_state)
        self._append(leader_state, EntryKind.NONE, None)
        self._replication.broadcast(leader_state)

    def _tick_leader(self, leader_state: LeaderState) -> None:
        state = self.state
        if state.now < leader_state.heartbeat_due_s:
            return
        if not self._replication.has_quorum_contact(leader_state):
            state.become_follower(state.term, "")
            state.reset_election_timer()
            return
        if self._transfer.is_advisable() and self.accepts_proposals():
            self._transfer.begin_transfer(leader_state)
        self._replication.begin_heartbeat(leader_state)
        self._change_members(leader_state)
        state.heartbeat_sequence += 1
        self._replication.heartbeat(leader_state)

    def _append(self, leader_state: LeaderState, kind: EntryKind, data: object) -> Entry:
        entry = self._replication.append(leader_state, kind, data)
        self._advance_commit(leader_state)
        return entry

    def _advance_commit(self, leader_state: LeaderState) -> None:
        """Commit the entries that a quorum has; if that commits a membership change, start the next one."""
        if self._replication.advance_commit(leader_state):
            self._change_members(leader_state)

    def _change_members(self, leader_state: LeaderState) -> None:
        members = self._membership.next_members(leader_state)
        if members is not None:
            self._append(leader_state, EntryKind.MEMBERS, [member.as_json() for member in members])
            self._replication.broadcast(leader_state)

    def _leader_for_proposals(self) -> LeaderState | None:
        """Return the leader state, or None if proposals are rejected.

        The reason is a transfer, a slow disk, or a group that is too small for its first command.
        """
        state = self.state
        leader_state = state.leader_state
        if leader_state is None or self._transfer.is_in_progress(leader_state):
            return None
        if self._should_grow_first(leader_state):
            return None
        unsynced = state.log.last_index - state.durability.synced_index
        return None if unsynced > UNSYNCED_MAX * 2 else leader_state

    def _should_grow_first(self, leader_state: LeaderState) -> bool:
        """Return whether a new group should get more voters before it accepts its first command.

        A command in a group that is too small could be lost with fewer disks than may be lost at once. All
        voters must know that the group has grown: with a lost disk, a voter that does not could be elected
        by a quorum of the smaller group (see `quorum`).
        """
        log = self.state.log
        if log.base_index or any(entry.kind is EntryKind.COMMAND for entry in log.entries):
            return False
        if self.state.now - leader_state.since_s >= self._initial_growth.timeout_s:
            return False
        others = {member.id for member in self.state.other_voters()}
        is_large_enough = len(others) + 1 >= self._initial_growth.voters
        return not is_large_enough or leader_state.progress.caught_up(log.members_index, others) != others
