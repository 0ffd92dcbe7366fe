"""Linearizable reads: before a leader answers, a quorum confirms that it still leads.

Source: Ongaro's dissertation, section 6.4 (read index).
"""

from __future__ import annotations

from collections.abc import Callable

from brambleusher.controlplane.consensus.leader_state import LeaderState
from brambleusher.controlplane.consensus.replica_state import ReplicaState


class Reads:
    """Begins and confirms linearizable reads on the leader."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state

    def begin_read(self, leader_state: LeaderState | None, done: Callable[[bool], None]) -> bool:
        """Begin a read that the next heartbeat confirms, which the caller sends; return whether it has begun.

        The read fails immediately if this replica does not lead, or has not committed an entry of its term
        yet: such a leader may not know all entries that the previous leader committed.
        """
        state = self._state
        if leader_state is None or state.log.term_at(state.commit_index) != state.term:
            done(False)
            return False
        state.heartbeat_sequence += 1
        leader_state.pending_reads.add(state.heartbeat_sequence, done)
        return True

    def confirm_reads(self, leader_state: LeaderState) -> None:
        """Complete the reads whose heartbeat a quorum has replied to."""
        if not leader_state.pending_reads:
            return
        state = self._state
        sequences = {
            identity: known.heartbeat_sequence for identity, known in leader_state.progress.followers.items()
        }
        leader_state.pending_reads.confirm(
            state.agreed_value({**sequences, state.identity.id: state.heartbeat_sequence})
        )
