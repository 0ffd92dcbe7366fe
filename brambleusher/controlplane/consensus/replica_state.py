"""The state of one replica: term, vote, role, log and clock, and the outputs for its driver.

The components of consensus (election, replication, snapshots, reads, membership changes) all read and change
this state; none of them has a copy. Times are in seconds of a monotonic clock.

Source: D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm", figure 2.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping, Sequence

from brambleusher.controlplane.consensus.durability import Durability
from brambleusher.controlplane.consensus.leader_state import LeaderState
from brambleusher.controlplane.consensus.membership_requests import MembershipRequests
from brambleusher.controlplane.consensus.outputs import (
    BootstrapMembersRecord,
    HardState,
    Outgoing,
    Output,
    Record,
    Restore,
    Role,
)
from brambleusher.controlplane.consensus.quorum import agreed_value, has_quorum
from brambleusher.controlplane.consensus.replicated_log import Log
from brambleusher.controlplane.consensus.timing import (
    DEFERRED_ELECTION_DELAY_S,
    ELECTION_MAX_S,
    ELECTION_MIN_S,
    FIRST_ELECTION_MAX_S,
    FIRST_ELECTION_MIN_S,
)
from brambleusher.wire import consensus_messages as wire
from brambleusher.wire.consensus_messages import Entry, Member


class ReplicaState:
    """Term, vote, role and log of one replica; `leader_state` is None unless this replica is the leader."""

    def __init__(
        self,
        identity: Member,
        log: Log,
        hard_state: HardState,
        now: float,
        rng: random.Random,
    ) -> None:
        self.identity = identity
        self.log = log
        self.term = hard_state.term
        self.vote = hard_state.vote
        self.commit_index = log.base_index
        self.role = Role.FOLLOWER if self.is_voter else Role.LEARNER
        self.leader_id = ""
        self.leader_state: LeaderState | None = None
        self.is_shutting_down = False
        self.now = now
        self.last_leader_contact_s = now
        self.heartbeat_sequence = 0
        self.durability = Durability(log.last_index)
        self.membership_requests = MembershipRequests(identity.id)
        self._output = Output()
        self._rng = rng
        self._begin_first_election_timer()

    # --- members and quorums ---------------------------------------------------------------------

    @property
    def voters(self) -> list[Member]:
        """The members that are voters."""
        return [member for member in self.log.members if member.is_voter]

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter according to its log."""
        own = self.member(self.identity.id)
        return own is not None and own.is_voter

    def member(self, identity: str) -> Member | None:
        """Return the member with an identity, or None if there is no such member."""
        return next((member for member in self.log.members if member.id == identity), None)

    def other_voters(self) -> Sequence[Member]:
        """Return the voters other than this replica."""
        return [member for member in self.voters if member.id != self.identity.id]

    def wiped_members(self) -> set[str]:
        """Return the identities of members whose disks are proven to be lost; see `quorum`.

        No members are returned while a membership change is uncommitted, since a reduced quorum might not
        intersect a quorum of the previous members.
        """
        if self.has_uncommitted_members:
            return set()
        return self.membership_requests.wiped_members(self.log.members, self.now)

    @property
    def has_uncommitted_members(self) -> bool:
        """Whether the log contains a membership change that is not committed yet."""
        return self.log.members_index > self.commit_index

    def has_quorum(self, agreeing: Collection[str]) -> bool:
        """Return whether the agreeing replicas include a quorum of the voters."""
        return has_quorum(self.voters, agreeing, self.wiped_members())

    def agreed_value(self, values: Mapping[str, float]) -> float:
        """Return the highest value that a quorum of the voters has reached."""
        return agreed_value(self.voters, values, self.wiped_members())

    # --- role and term ---------------------------------------------------------------------------

    def become(self, role: Role, leader_state: LeaderState | None = None) -> None:
        """Change the role; all role changes go through this method.

        Args:
            role: The new role.
            leader_state: The new leader state; must be given if and only if the role is leader.
        """
        if self.leader_state is not None:
            self.leader_state.pending_reads.fail()
        self.leader_state = leader_state
        self.role = role

    def become_leader(self) -> LeaderState:
        """Become the leader of the current term; return the new leader state."""
        leader_state = LeaderState(self.now, self.now, self.now)
        self.become(Role.LEADER, leader_state)
        self.leader_id = self.identity.id
        return leader_state

    def become_follower(self, term: int, leader_id: str) -> None:
        """Become a follower in the current or a later term, of the given leader or "" if it is unknown.

        A later term begins without a vote; together with `record_vote` this ensures at most one vote per
        term.
        """
        if term > self.term:
            self.term, self.vote = term, ""
            self.record(HardState(self.term, self.vote))
        self.become_passive()
        self.leader_id = leader_id

    def become_passive(self) -> None:
        """Become a follower, or a learner if this replica is not a voter according to its log."""
        self.become(Role.FOLLOWER if self.is_voter else Role.LEARNER)

    def record_vote(self, candidate: str) -> int:
        """Vote in the current term; return the number of the record that must be synced before replying."""
        self.vote = candidate
        return self.record(HardState(self.term, self.vote))

    def record_leader_contact(self, leader_id: str) -> None:
        """Record a message from the leader of the current term: entries, a heartbeat or a snapshot."""
        self.become_follower(self.term, leader_id)
        self.last_leader_contact_s = self.now
        self.reset_election_timer()

    def reset_election_timer(self) -> None:
        """Draw a new random election timeout, which a message from a leader resets.

        Learners wait longer than voters. They start elections too, since the voters may lack entries that a
        learner has.
        """
        delay_s = DEFERRED_ELECTION_DELAY_S if self.is_shutting_down or not self.is_voter else 0.0
        self.election_due_s = self.now + (self._rng.uniform(ELECTION_MIN_S, ELECTION_MAX_S) + delay_s)

    def _begin_first_election_timer(self) -> None:
        self.election_due_s = self.now + self._rng.uniform(FIRST_ELECTION_MIN_S, FIRST_ELECTION_MAX_S)

    # --- log -------------------------------------------------------------------------------------

    def append_entry(self, entry: Entry) -> None:
        """Append an entry to the log and output it as a record for the disk."""
        self.log.append(entry)
        self.durability.record_append(self.record(entry), entry.index)

    def commit_to(self, index: int) -> None:
        """Commit entries up to an index.

        State machine safety: each committed entry is output exactly once, in the order of the log.
        """
        index = min(index, self.log.last_index)
        if index <= self.commit_index:
            return
        begin = self.commit_index - self.log.base_index
        self._output.committed += self.log.entries[begin : index - self.log.base_index]
        self.commit_index = index

    def replace_bootstrap_members(self, members: tuple[Member, ...]) -> None:
        """Replace the initial members of the group; the log must be empty.

        No message waits for the record: it precedes every record that a quorum of these members relies on.
        """
        self.log = Log(0, 0, members)
        self.record(BootstrapMembersRecord(members))
        self.become_passive()
        self._begin_first_election_timer()

    # --- outputs ---------------------------------------------------------------------------------

    def record(self, record: Record) -> int:
        """Output a record for the disk; return its number."""
        self._output.records.append(record)
        return self.durability.allocate_record()

    def send(self, recipient: Member, message: wire.Message, after_record: int = 0) -> None:
        """Output a message, to be sent once a record is synced (0 means immediately)."""
        self._output.messages.append(Outgoing(recipient, message, after_record))

    def send_to(self, identity: str, message: wire.Message, after_record: int = 0) -> None:
        """Output a message to a replica that may not be a member."""
        member = self.member(identity)
        if member is None:
            # The driver knows the replica's address from the messages that it received.
            member = Member(identity, "", "", "", False)
        self.send(member, message, after_record)

    def reply_to_leader(self, accepted: bool, match_index: int, heartbeat_sequence: int) -> None:
        """Reply to the leader's message; entries that the reply accepts are synced before it is sent."""
        reply = wire.AppendEntriesReply(
            self.term, self.identity.id, accepted, match_index, heartbeat_sequence
        )
        # A heartbeat that confirms only synced entries is answered immediately, however slow the disk is.
        waits = accepted and (match_index > self.durability.synced_index)
        self.send_to(self.leader_id, reply, self.durability.last_record if waits else 0)

    def restore(self, snapshot: Restore) -> None:
        """Replace the log by a snapshot, and output the snapshot for the disk and the state machine."""
        self.log = Log(snapshot.index, snapshot.term, snapshot.members)
        self.durability.record_snapshot(self.record(snapshot), snapshot.index)
        self.commit_index = snapshot.index
        self._output.restored.append(snapshot)

    def take_output(self) -> Output:
        """Return the outputs since the last call, which the driver stores, sends and applies."""
        output, self._output = self._output, Output()
        return output
