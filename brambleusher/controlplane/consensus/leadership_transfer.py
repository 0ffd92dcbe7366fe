"""Leadership transfer: the voter with the most entries starts an election without waiting for its timeout.

Source: Ongaro's dissertation, section 3.10.
"""

from __future__ import annotations

from brambleusher.controlplane.consensus.leader_state import LeaderState
from brambleusher.controlplane.consensus.progress import FollowerProgress
from brambleusher.controlplane.consensus.replica_state import ReplicaState
from brambleusher.controlplane.consensus.timing import ELECTION_MIN_S, TRANSFER_S, UNSYNCED_MAX
from brambleusher.wire import consensus_messages as wire


class LeadershipTransfer:
    """Transfers leadership to another voter; proposals are rejected during the transfer."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state

    def is_in_progress(self, leader_state: LeaderState) -> bool:
        """Return whether a transfer was begun and has not timed out."""
        return self._state.now < leader_state.transfer_until_s

    def is_advisable(self) -> bool:
        """Return whether another replica should lead: this one's disk is too slow, or it is not a voter."""
        state = self._state
        unsynced = state.log.last_index - state.durability.synced_index
        return unsynced > UNSYNCED_MAX or not state.is_voter

    def begin_transfer(self, leader_state: LeaderState) -> bool:
        """Choose a successor and begin the transfer; return False if no other voter is available."""
        state = self._state
        responsive = leader_state.progress.responsive_within(ELECTION_MIN_S, state.now)
        shutting_down = state.membership_requests.members_shutting_down()
        candidates = [
            (leader_state.progress.followers[member.id].match_index, member)
            for member in state.voters
            if member.id in responsive and member.id not in shutting_down
        ]
        if not candidates:
            return False
        match_index, successor = max(candidates, key=lambda pair: pair[0])
        leader_state.transfer_until_s = state.now + TRANSFER_S
        leader_state.successor_id = successor.id
        if match_index == state.log.last_index:
            state.send(successor, wire.TransferLeadership(state.term, state.identity.id))
        return True

    def continue_transfer(self, leader_state: LeaderState, identity: str, progress: FollowerProgress) -> None:
        """Ask the successor to start its election once it has every entry."""
        if identity != leader_state.successor_id or not self.is_in_progress(leader_state):
            return
        state = self._state
        member = state.member(identity)
        if member is not None and progress.match_index == state.log.last_index:
            state.send(member, wire.TransferLeadership(state.term, state.identity.id))
