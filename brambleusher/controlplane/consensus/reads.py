"""Linearizable reads: a leader confirms with a quorum that it still leads before it answers.

Source: Ongaro's dissertation, section 6.4 (read index).
"""

from __future__ import annotations

from collections.abc import Callable

from brambleusher.controlplane.consensus.leader_state import LeaderState
from brambleusher.controlplane.consensus.replica_state import ReplicaState


class Reads:
    """Reads of the leader's state."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state

    def begin_read(self, leading: LeaderState | None, done: Callable[[bool], None]) -> bool:
        """Begin a read with the next heartbeat, which the caller sends; return whether it begins.

        A leader that has committed nothing in its term may lack commits of the leader before; its read fails
        at once, as does one of a replica that does not lead.
        """
        state = self._state
        if leading is None or state.log.term_at(state.commit_index) != state.term:
            done(False)
            return False
        state.heartbeat_sequence += 1
        leading.pending_reads.add(state.heartbeat_sequence, done)
        return True

    def confirm_reads(self, leading: LeaderState) -> None:
        """Answer the reads whose heartbeat a quorum has replied to."""
        if not leading.pending_reads:
            return
        state = self._state
        sequences = {
            identity: known.heartbeat_sequence for identity, known in leading.progress.followers.items()
        }
        leading.pending_reads.confirm(
            state.agreed_value({**sequences, state.identity.id: state.heartbeat_sequence})
        )
