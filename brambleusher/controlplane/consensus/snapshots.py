"""Snapshots: sent to followers whose next entries are gone from the leader's log, and taken from a leader.

Source: Raft, section 7.
"""

from __future__ import annotations

from dataclasses import replace

from brambleusher.controlplane.consensus.errors import InvariantViolationError
from brambleusher.controlplane.consensus.outputs import Restore
from brambleusher.controlplane.consensus.progress import FollowerProgress
from brambleusher.controlplane.consensus.replica_state import ReplicaState
from brambleusher.controlplane.consensus.timing import SNAPSHOT_EVERY_S
from brambleusher.wire import consensus_messages as wire
from brambleusher.wire.consensus_messages import Member


class Snapshots:
    """Makes, sends and installs snapshots of the state machine."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state

    def make_snapshot(self, applied_index: int, machine_state: object) -> Restore:
        """Return a snapshot of what is applied, with the term and the members that belong to it.

        Args:
            applied_index: The index up to which all entries are applied, and none beyond.
            machine_state: The state machine's state as JSON.

        Raises:
            InvariantViolationError: The index is not committed, or gone from the log.
        """
        state = self._state
        term = state.log.term_at(applied_index)
        if term is None or applied_index > state.commit_index:
            raise InvariantViolationError(
                f"no snapshot can be made at index {applied_index}: the log has "
                f"{state.log.base_index}..{state.commit_index} committed"
            )
        return Restore(applied_index, term, state.log.members_at(applied_index), machine_state)

    def send_snapshot(self, member: Member, progress: FollowerProgress) -> None:
        """Send a snapshot, or a heartbeat while an earlier one may still be on its way."""
        state = self._state
        if state.now - progress.snapshot_sent_s < SNAPSHOT_EVERY_S:
            heartbeat = wire.AppendEntries(
                state.term, state.identity.id, 0, 0, [], 0, state.heartbeat_sequence
            )
            state.send(member, heartbeat)
            return
        progress.snapshot_sent_s = state.now
        # The driver fills in what is applied when the message leaves: see `fill_snapshot`.
        state.send(
            member,
            wire.InstallSnapshot(state.term, state.identity.id, 0, 0, [], None, state.heartbeat_sequence),
        )

    def fill_snapshot(
        self, message: wire.InstallSnapshot, applied_index: int, machine_state: object
    ) -> wire.InstallSnapshot:
        """Return the message with a snapshot; arguments as of `make_snapshot`."""
        made = self.make_snapshot(applied_index, machine_state)
        return replace(
            message, index=made.index, index_term=made.term, members=list(made.members), state=made.state
        )

    def handle_install_snapshot(self, message: wire.InstallSnapshot) -> None:
        """Take a snapshot of the leader."""
        state = self._state
        state.record_leader_contact(message.sender)
        if state.log.term_at(message.index) == message.index_term:
            # Log matching: the log goes on behind it, and what follows may be confirmed already: it stays.
            state.commit_to(message.index)
        elif message.index > state.commit_index:
            state.restore(Restore(message.index, message.index_term, tuple(message.members), message.state))
        state.become_passive()  # the snapshot's members may have given or taken this replica's vote
        state.reply_to_leader(True, min(message.index, state.log.last_index), message.heartbeat_sequence)
