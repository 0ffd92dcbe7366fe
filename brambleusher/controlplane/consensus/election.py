"""Elections: pre-votes, votes and how a candidate becomes leader.

Election safety (at most one leader per term): a replica votes at most once per term and syncs its vote before
it replies, and a candidate needs a quorum of votes. Leader completeness (a leader has every committed entry):
a vote is granted only to a candidate whose log is at least as up to date, and every quorum intersects every
set of replicas that may have committed an entry.

Source: Raft paper, sections 5.2 and 5.4.1; pre-vote: Ongaro's dissertation, section 9.6.
"""

from __future__ import annotations

from brambleusher.controlplane.consensus.outputs import Role
from brambleusher.controlplane.consensus.replica_state import ReplicaState
from brambleusher.controlplane.consensus.timing import ELECTION_MIN_S
from brambleusher.wire import consensus_messages as wire


class Election:
    """Runs this replica's elections, and votes on the requests of other candidates.

    Methods that can complete an election return whether this replica won it; the caller then makes it the
    leader.
    """

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._votes: set[str] = set()
        self._own_vote_record = 0  # number of the disk record with this replica's vote for itself

    def handle_timer(self) -> bool:
        """Start a pre-vote if the election timeout has expired; return whether the election is won."""
        state = self._state
        if state.now < state.election_due_s:
            return False
        state.reset_election_timer()
        return bool(state.voters) and self.start_election(is_pre_vote=True)

    def start_election(self, *, is_pre_vote: bool, is_transfer: bool = False) -> bool:
        """Request votes from all voters; return whether the election is won.

        Args:
            is_pre_vote: Whether to ask only if the voters would grant a vote, without a change of term, so
                that a replica that was partitioned does not disrupt the group.
            is_transfer: Whether the leader asked for this election; voters then grant votes even if they are
                still in contact with that leader.
        """
        state = self._state
        state.leader_id = ""
        after_record = 0
        if is_pre_vote:
            state.become(Role.PRE_CANDIDATE)
            self._votes = {state.identity.id}
        else:
            state.become(Role.CANDIDATE)
            state.term += 1
            after_record = self._own_vote_record = state.record_vote(state.identity.id)
            # This replica's own vote counts once its record is synced: see `handle_records_synced`.
            self._votes = set()
        state.reset_election_timer()
        asked_term = state.term + 1 if is_pre_vote else state.term
        request = wire.VoteRequest(
            asked_term, state.identity.id, state.log.last_index, state.log.last_term, is_pre_vote, is_transfer
        )
        for member in state.other_voters():
            state.send(member, request, after_record)
        return self._count_votes()

    def handle_records_synced(self, record: int) -> bool:
        """Count this replica's own vote once its record is on the disk; return whether the election is won.

        Election safety: a candidate that lost its unsynced vote in a power failure could win the same term
        twice in a group where its own vote is a quorum.
        """
        if self._state.role is not Role.CANDIDATE or record < self._own_vote_record:
            return False
        self._votes.add(self._state.identity.id)
        return self._count_votes()

    def handle_vote_request(self, request: wire.VoteRequest) -> None:
        """Grant or deny a vote, and send the reply."""
        state = self._state
        if self._has_live_leader() and not request.is_transfer:
            # A replica that was partitioned or removed from the group must not depose a healthy leader.
            self._reply(request, False)
            return
        # Leader completeness: deny the vote if the candidate's log may lack a committed entry.
        is_up_to_date = (request.last_term, request.last_index) >= (state.log.last_term, state.log.last_index)
        if request.is_pre_vote:
            self._reply(request, is_up_to_date and request.term > state.term)
            return
        if request.term > state.term:
            state.become_follower(request.term, "")
        # A replica that is not a voter in its own log grants votes too: it may not have received the entry
        # that makes it a voter yet, and the candidate decides whose votes count.
        # Election safety: at most one vote per term.
        granted = is_up_to_date and request.term == state.term and state.vote in ("", request.sender)
        if granted and not state.vote:
            state.record_vote(request.sender)
        if granted:
            state.reset_election_timer()
        self._reply(request, granted)

    def handle_vote_reply(self, reply: wire.VoteReply) -> bool:
        """Count a vote if it was granted in the current election; return whether the election is won."""
        state = self._state
        if reply.term > state.term:
            state.become_follower(reply.term, "")
            return False
        if not reply.granted:
            return False
        asked_term = state.term + 1 if reply.is_pre_vote else state.term
        role = Role.PRE_CANDIDATE if reply.is_pre_vote else Role.CANDIDATE
        if state.role is not role or reply.requested_term != asked_term:
            return False
        self._votes.add(reply.sender)
        return self._count_votes()

    def _has_live_leader(self) -> bool:
        state = self._state
        if state.leader_state is not None:
            return True
        return bool(state.leader_id) and state.now - state.last_leader_contact_s < ELECTION_MIN_S

    def _reply(self, request: wire.VoteRequest, granted: bool) -> None:
        state = self._state
        reply = wire.VoteReply(state.term, state.identity.id, request.term, request.is_pre_vote, granted)
        state.send_to(request.sender, reply, 0 if request.is_pre_vote else state.durability.last_record)

    def _count_votes(self) -> bool:
        state = self._state
        if not state.has_quorum(self._votes):
            return False
        if state.role is Role.PRE_CANDIDATE:
            return self.start_election(is_pre_vote=False)
        return state.role is Role.CANDIDATE
