"""Replication as a follower: checks and appends the entries that the leader sends.

Log matching: entries are taken only behind one of the same index and term, so that two logs which have an
entry of the same index and term are the same up to there.

Source: Raft, section 5.3.
"""

from __future__ import annotations

from collections.abc import Sequence

from brambleusher.controlplane.consensus.outputs import Truncate
from brambleusher.controlplane.consensus.replica_state import ReplicaState
from brambleusher.wire import consensus_messages as wire
from brambleusher.wire.consensus_messages import Entry


class Follower:
    """Takes entries of the leader of the current term."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state

    def reject_stale_leader(self, message: wire.LeaderMessage) -> None:
        """Tell the leader of an earlier term that there is a later one."""
        state = self._state
        reply = wire.AppendEntriesReply(state.term, state.identity.id, False, state.log.last_index, 0)
        state.send_to(message.sender, reply)

    def handle_append_entries(self, message: wire.AppendEntries) -> None:
        """Append entries that fit behind the log, and commit what the leader has committed of them."""
        state = self._state
        state.record_leader_contact(message.sender)
        if state.log.term_at(message.previous_index) == message.previous_term:
            self._accept(message, message.entries)
        elif message.previous_index < state.log.base_index:
            self._append_past_snapshot(message)
        else:
            # Log matching: nothing is taken; the hint tells the leader how far to go back.
            hint = min(state.log.last_index, max(message.previous_index - 1, state.log.base_index))
            state.reply_to_leader(False, hint, message.heartbeat_sequence)

    def _append_past_snapshot(self, message: wire.AppendEntries) -> None:
        """Take entries that begin before the own snapshot: what is in the snapshot is committed already."""
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
        """Append what is missing; an entry of another term, and all behind it, give way to the leader's."""
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
            state.become_passive()  # the entries may have given or taken this replica's vote
