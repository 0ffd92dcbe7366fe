"""Replication as a follower: checks and appends the entries that the leader sends.

Log matching: new entries are appended only after an entry with the index and term that the leader names, so
that two logs that both have an entry with the same index and term are identical up to that entry.

Source: Raft paper, section 5.3.
"""

from __future__ import annotations

from collections.abc import Sequence

from brambleusher.controlplane.consensus.outputs import Truncate
from brambleusher.controlplane.consensus.replica_state import ReplicaState
from brambleusher.wire import consensus_messages as wire
from brambleusher.wire.consensus_messages import Entry


class Follower:
    """Checks and appends entries from the leader of the current term."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state

    def reject_stale_leader(self, message: wire.LeaderMessage) -> None:
        """Reply to the leader of an earlier term with the current term, so that it steps down."""
        state = self._state
        reply = wire.AppendEntriesReply(state.term, state.identity.id, False, state.log.last_index, 0)
        state.send_to(message.sender, reply)

    def handle_append_entries(self, message: wire.AppendEntries) -> None:
        """Append entries that match this replica's log, and commit those that the leader has committed."""
        state = self._state
        state.record_leader_contact(message.sender)
        if state.log.term_at(message.previous_index) == message.previous_term:
            self._accept(message, message.entries)
        elif message.previous_index < state.log.base_index:
            self._append_past_snapshot(message)
        else:
            # Log matching: append nothing; the hint tells the leader which index to go back to.
            hint = min(state.log.last_index, max(message.previous_index - 1, state.log.base_index))
            state.reply_to_leader(False, hint, message.heartbeat_sequence)

    def _append_past_snapshot(self, message: wire.AppendEntries) -> None:
        """Append entries that begin before this replica's snapshot, except those that the snapshot covers."""
        base_index = self._state.log.base_index
        last = message.previous_index + len(message.entries)
        if last < base_index:
            self._state.reply_to_leader(True, last, message.heartbeat_sequence)
            return
        self._accept(message, [entry for entry in message.entries if entry.index > base_index])

    def _accept(self, message: wire.AppendEntries, entries: Sequence[Entry]) -> None:
        last = message.previous_index + len(message.entries)
        self._append(entries)
        self._state.reply_to_leader(True, last, message.heartbeat_sequence)
        self._state.commit_to(min(message.leader_commit, last))

    def _append(self, entries: Sequence[Entry]) -> None:
        """Append missing entries, after truncating the log from the first entry with a conflicting term."""
        state = self._state
        for entry in entries:
            known_term = state.log.term_at(entry.index)
            if known_term == entry.term:
                continue
            if known_term is not None:
                state.log.truncate(entry.index)
                state.record(Truncate(entry.index))
                state.durability.record_truncation(entry.index)
            state.append_entry(entry)
        if entries:
            state.become_passive()  # the entries may have granted or revoked this replica's vote
