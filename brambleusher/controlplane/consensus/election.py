"""Elections: pre-votes, votes and how a candidate becomes leader.

Election safety (at most one leader a term): a replica votes once a term and syncs its vote before the reply
leaves, and a candidate needs a quorum.  Leader completeness (a leader has every committed entry): a vote is
granted only to a candidate whose log is at least as up to date, and every quorum meets every set of replicas
that may have committed an entry.

Source: Raft, section 5.2 and 5.4.1; pre-vote: Ongaro's dissertation, section 9.6.
"""

from __future__ import annotations

from brambleusher.controlplane.consensus.outputs import Role
from brambleusher.controlplane.consensus.replica_state import ReplicaState
from brambleusher.controlplane.consensus.timing import ELECTION_MIN_S
from brambleusher.wire import consensus_messages as wire


class Election:
    """The election of this replica, and its votes for others.

    Methods that may end in a won election return whether it is won: the caller makes this replica the leader.
    """

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._votes: set[str] = set()
        self._own_vote_record = 0  # number of the record of this replica's vote for itself

    def handle_timer(self) -> bool:
        """Start a pre-vote after an election timeout without contact to a leader."""
        state = self._state
        if state.now < state.election_due_s:
            return False
        state.reset_election_timer()
        return bool(state.voters) and self.start_election(is_pre_vote=True)

    def start_election(self, *, is_pre_vote: bool, is_transfer: bool = False) -> bool:
        """Ask all voters for their votes, in a pre-vote whether they would give them.

        Args:
            is_pre_vote: Ask without a change of term, so that a replica that was cut off disturbs nobody.
            is_transfer: The leader asked for it; voters need not have lost contact with that leader.
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
            self._votes = set()  # the own vote counts once it is synced: see `handle_records_synced`
        state.reset_election_timer()
        asked_term = state.term + 1 if is_pre_vote else state.term
        request = wire.VoteRequest(
            asked_term, state.identity.id, state.log.last_index, state.log.last_term, is_pre_vote, is_transfer
        )
        for member in state.other_voters():
            state.send(member, request, after_record)
        return self._count_votes()

    def handle_records_synced(self, record: int) -> bool:
        """Count the own vote once its record is on the disk.

        Election safety: a candidate that loses its vote with its power could win the same term twice, where
        no other vote is needed.
        """
        if self._state.role is not Role.CANDIDATE or record < self._own_vote_record:
            return False
        self._votes.add(self._state.identity.id)
        return self._count_votes()

    def handle_vote_request(self, request: wire.VoteRequest) -> None:
        """Grant or deny a vote."""
        state = self._state
        if self._has_live_leader() and not request.is_transfer:
            # A member that was cut off, or is none any more, must not unseat a healthy leader.
            self._reply(request, False)
            return
        # Leader completeness: no vote for a log that may lack a committed entry.
        is_up_to_date = (request.last_term, request.last_index) >= (state.log.last_term, state.log.last_index)
        if request.is_pre_vote:
            self._reply(request, is_up_to_date and request.term > state.term)
            return
        if request.term > state.term:
            state.become_follower(request.term, "")
        # Whose votes count is for the candidate to say: this replica may not know yet that it got one.
        # Election safety: one vote a term.
        granted = is_up_to_date and request.term == state.term and state.vote in ("", request.sender)
        if granted and not state.vote:
            state.record_vote(request.sender)
        if granted:
            state.reset_election_timer()
        self._reply(request, granted)

    def handle_vote_reply(self, reply: wire.VoteReply) -> bool:
        """Count a vote that was granted in the current election."""
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
