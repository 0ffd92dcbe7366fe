"""Snapshots: sent to followers whose next entries the leader has compacted, and installed by followers.

Source: Raft paper, section 7.
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
        """Return a snapshot of the applied state, with the term and the members at that index.

        Args:
            applied_index: The index of the last applied entry.
            machine_state: The state of the state machine as a JSON value.

        Raises:
            InvariantViolationError: The index is not committed, or was compacted from the log.
        """
        state = self._state
        term = state.log.term_at(applied_index)
        if term is None or applied_index > state.commit_index:
            raise InvariantViolationError(
                f"cannot make a snapshot at index {applied_index}: only entries "
                f"{state.log.base_index}..{state.commit_index} are committed and in the log"
            )
        return Restore(applied_index, term, state.log.members_at(applied_index), machine_state)

    def send_snapshot(self, member: Member, progress: FollowerProgress) -> None:
        """Send a snapshot, or only a heartbeat while an earlier snapshot may still be in transit."""
        state = self._state
        if state.now - progress.snapshot_sent_s < SNAPSHOT_EVERY_S:
            heartbeat = wire.AppendEntries(
                state.term, state.identity.id, 0, 0, [], 0, state.heartbeat_sequence
            )
            state.send(member, heartbeat)
            return
        progress.snapshot_sent_s = state.now
        # The driver fills in the applied state just before the message is sent: see `fill_snapshot`.
        state.send(
            member,
            wire.InstallSnapshot(state.term, state.identity.id, 0, 0, [], None, state.heartbeat_sequence),
        )

    def fill_snapshot(
        self, message: wire.InstallSnapshot, applied_index: int, machine_state: object
    ) -> wire.InstallSnapshot:
        """Return the message with a snapshot; for the arguments see `make_snapshot`."""
        snapshot = self.make_snapshot(applied_index, machine_state)
        return replace(
            message,
            index=snapshot.index,
            index_term=snapshot.term,
            members=list(snapshot.members),
            state=snapshot.state,
        )

    def handle_install_snapshot(self, message: wire.InstallSnapshot) -> None:
        """Install a snapshot that the leader sent."""
        state = self._state
        state.record_leader_contact(message.sender)
        if state.log.term_at(message.index) == message.index_term:
            # Log matching: the log already contains the snapshot's last entry. The entries after it may have
            # been confirmed to the leader, so they are not deleted.
            state.commit_to(message.index)
        elif message.index > state.commit_index:
            state.restore(Restore(message.index, message.index_term, tuple(message.members), message.state))
        state.become_passive()  # the snapshot's members may have granted or revoked this replica's vote
        state.reply_to_leader(True, min(message.index, state.log.last_index), message.heartbeat_sequence)
