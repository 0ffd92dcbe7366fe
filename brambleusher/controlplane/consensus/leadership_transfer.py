"""Planned transfer of leadership: the voter that has most entries starts an election at once.

Source: Ongaro's dissertation, section 3.10.
"""

from __future__ import annotations

from brambleusher.controlplane.consensus.leader_state import LeaderState
from brambleusher.controlplane.consensus.progress import FollowerProgress
from brambleusher.controlplane.consensus.replica_state import ReplicaState
from brambleusher.controlplane.consensus.timing import ELECTION_MIN_S, TRANSFER_S, UNSYNCED_MAX
from brambleusher.wire import consensus_messages as wire


class LeadershipTransfer:
    """Transfers leadership to another voter; meanwhile no proposals are accepted."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state

    def is_in_progress(self, leading: LeaderState) -> bool:
        """Return whether a successor may still become leader."""
        return self._state.now < leading.transfer_until_s

    def is_advisable(self) -> bool:
        """Return whether another replica should lead: the disk is too slow, or this one has no vote."""
        state = self._state
        unsynced = state.log.last_index - state.durability.synced_index
        return unsynced > UNSYNCED_MAX or not state.is_voter

    def begin_transfer(self, leading: LeaderState) -> bool:
        """Choose a successor; return False where no voter is there."""
        state = self._state
        near = leading.progress.responsive_within(ELECTION_MIN_S, state.now)
        leaving = state.membership_requests.members_shutting_down()
        ready = [
            (leading.progress.followers[member.id].match_index, member)
            for member in state.voters
            if member.id in near and member.id not in leaving
        ]
        if not ready:
            return False
        match_index, successor = max(ready, key=lambda pair: pair[0])
        leading.transfer_until_s = state.now + TRANSFER_S
        leading.successor_id = successor.id
        if match_index == state.log.last_index:
            state.send(successor, wire.TransferLeadership(state.term, state.identity.id))
        return True

    def continue_transfer(self, leading: LeaderState, identity: str, progress: FollowerProgress) -> None:
        """Ask the successor to start its election, once it has every entry."""
        if identity != leading.successor_id or not self.is_in_progress(leading):
            return
        state = self._state
        member = state.member(identity)
        if member is not None and progress.match_index == state.log.last_index:
            state.send(member, wire.TransferLeadership(state.term, state.identity.id))
