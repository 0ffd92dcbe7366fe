"""The state of one replica: term, vote, role, log and clock, and the outputs for its driver.

The parts of consensus (election, replication, snapshots, reads, change of members) all read and change this
state; none of them keeps a copy.  Times are seconds of a clock that only advances.

Source: D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm", figure 2.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping, Sequence

from brambleusher.controlplane.consensus.durability import Durability
from brambleusher.controlplane.consensus.leader_state import LeaderState
from brambleusher.controlplane.consensus.membership_requests import MembershipRequests
from brambleusher.controlplane.consensus.outputs import HardState, Outgoing, Output, Record, Restore, Role
from brambleusher.controlplane.consensus.quorum import agreed_value, has_quorum
from brambleusher.controlplane.consensus.replicated_log import Log
from brambleusher.controlplane.consensus.timing import (
    ELECTION_MAX_S,
    ELECTION_MIN_S,
    FIRST_ELECTION_MIN_S,
    FIRST_ELECTION_S,
    UNLIKELY_LEADER_DELAY_S,
)
from brambleusher.wire import consensus_messages as wire
from brambleusher.wire.consensus_messages import Entry, Member


class ReplicaState:
    """Term, vote, role and log of one replica; `leader_state` is there exactly while it is the leader."""

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
        self.election_due_s = now + rng.uniform(FIRST_ELECTION_MIN_S, FIRST_ELECTION_S)

    # --- members and quorums ---------------------------------------------------------------------

    @property
    def voters(self) -> list[Member]:
        """Members whose votes count."""
        return [member for member in self.log.members if member.is_voter]

    @property
    def is_voter(self) -> bool:
        """Whether this replica has a vote, as far as its log says."""
        own = self.member(self.identity.id)
        return own is not None and own.is_voter

    def member(self, identity: str) -> Member | None:
        """Return the member of an identity; None where it is no member."""
        return next((member for member in self.log.members if member.id == identity), None)

    def other_voters(self) -> Sequence[Member]:
        """Return the voters without this replica."""
        return [member for member in self.voters if member.id != self.identity.id]

    def wiped_members(self) -> set[str]:
        """Return members whose disks are proven to be lost, while that may count: see `quorum`.

        Not while a change of members is under way, since a quorum of the earlier members might not be met.
        """
        if self.has_uncommitted_members:
            return set()
        return self.membership_requests.wiped_members(self.log.members, self.now)

    @property
    def has_uncommitted_members(self) -> bool:
        """Whether a change of members is in the log and not committed yet."""
        return self.log.members_index > self.commit_index

    def has_quorum(self, agreeing: Collection[str]) -> bool:
        """Return whether those that agree are a quorum of the voters."""
        return has_quorum(self.voters, agreeing, self.wiped_members())

    def agreed_value(self, values: Mapping[str, float]) -> float:
        """Return the highest value that a quorum of the voters has reached."""
        return agreed_value(self.voters, values, self.wiped_members())

    # --- role and term ---------------------------------------------------------------------------

    def become(self, role: Role, leader_state: LeaderState | None = None) -> None:
        """Change the role; no other place does.  Only a leader has a leader's state."""
        if self.leader_state is not None:
            self.leader_state.pending_reads.fail()
        self.leader_state = leader_state
        self.role = role

    def become_leader(self) -> LeaderState:
        """Become the leader of the current term; return the state of this leadership."""
        leader_state = LeaderState(self.now, self.now, self.now)
        self.become(Role.LEADER, leader_state)
        self.leader_id = self.identity.id
        return leader_state

    def become_follower(self, term: int, leader_id: str) -> None:
        """Follow a leader, or nobody yet (""), in a term that is the current one or later.

        A later term begins without a vote: together with `record_vote` this makes a replica vote at most once
        a term.
        """
        if term > self.term:
            self.term, self.vote = term, ""
            self.record(HardState(self.term, self.vote))
        self.become_passive()
        self.leader_id = leader_id

    def become_passive(self) -> None:
        """Become a follower, or a learner where the log gives this replica no vote."""
        self.become(Role.FOLLOWER if self.is_voter else Role.LEARNER)

    def record_vote(self, candidate: str) -> int:
        """Vote in the current term; return the number of the record that has to be synced first."""
        self.vote = candidate
        return self.record(HardState(self.term, self.vote))

    def record_leader_contact(self, leader_id: str) -> None:
        """Take note that the leader of the current term sent entries, a heartbeat or a snapshot."""
        self.become_follower(self.term, leader_id)
        self.last_leader_contact_s = self.now
        self.reset_election_timer()

    def reset_election_timer(self) -> None:
        """Draw anew when this replica starts an election, unless it hears from a leader before.

        A replica without a vote may have to, where the voters lack entries that it has, but last.
        """
        delay_s = UNLIKELY_LEADER_DELAY_S if self.is_shutting_down or not self.is_voter else 0.0
        self.election_due_s = self.now + (self._rng.uniform(ELECTION_MIN_S, ELECTION_MAX_S) + delay_s)

    # --- log -------------------------------------------------------------------------------------

    def append_entry(self, entry: Entry) -> None:
        """Add an entry to the log and hand it out for the disk."""
        self.log.append(entry)
        self.durability.record_append(self.record(entry), entry.index)

    def commit_to(self, index: int) -> None:
        """Commit entries up to an index; state machine safety: they are handed out once and in order."""
        index = min(index, self.log.last_index)
        if index <= self.commit_index:
            return
        begin = self.commit_index - self.log.base_index
        self._output.committed += self.log.entries[begin : index - self.log.base_index]
        self.commit_index = index

    # --- outputs ---------------------------------------------------------------------------------

    def record(self, record: Record) -> int:
        """Hand out a record for the disk; return its number."""
        self._output.records.append(record)
        return self.durability.allocate_record()

    def send(self, recipient: Member, message: wire.Message, after_record: int = 0) -> None:
        """Send a message once a record is synced (0: at once)."""
        self._output.messages.append(Outgoing(recipient, message, after_record))

    def send_to(self, identity: str, message: wire.Message, after_record: int = 0) -> None:
        """Send a message to a replica that may be no member."""
        member = self.member(identity)
        if member is None:
            member = Member(identity, "", "", "", False)  # the driver knows its address from its messages
        self.send(member, message, after_record)

    def reply_to_leader(self, accepted: bool, match_index: int, heartbeat_sequence: int) -> None:
        """Answer entries, a heartbeat or a snapshot; what is accepted is durable before the reply leaves."""
        reply = wire.AppendEntriesReply(
            self.term, self.identity.id, accepted, match_index, heartbeat_sequence
        )
        # A heartbeat of what is synced already is answered at once, however slow the disk is.
        waits = accepted and (match_index > self.durability.synced_index)
        self.send_to(self.leader_id, reply, self.durability.last_record if waits else 0)

    def restore(self, snapshot: Restore) -> None:
        """Replace the log by a snapshot, and hand it out for the disk and the state machine."""
        self.log = Log(snapshot.index, snapshot.term, snapshot.members)
        self.durability.record_snapshot(self.record(snapshot), snapshot.index)
        self.commit_index = snapshot.index
        self._output.restored.append(snapshot)

    def take_output(self) -> Output:
        """Return what came out since the last call; the driver stores, sends and applies it."""
        output, self._output = self._output, Output()
        return output
