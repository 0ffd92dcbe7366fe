"""Replication progress: which entries a leader sends next, size limits, and stepping back."""

from __future__ import annotations

from brambleusher.controlplane.consensus.progress import (
    MESSAGE_BYTES,
    UNCONFIRMED_BYTES,
    FollowerProgress,
    ReplicationProgress,
    wire_bytes,
)
from brambleusher.controlplane.consensus.replicated_log import Log
from brambleusher.wire import consensus_messages as wire
from brambleusher.wire.consensus_messages import Entry, EntryKind
from tests.controlplane.consensus.cluster import member

BOOTSTRAP_MEMBERS = tuple(member(name) for name in "abc")


def test_a_rejection_sets_back_what_is_sent_and_an_old_one_does_not() -> None:
    replication = ReplicationProgress(
        {"b": FollowerProgress(next_index=23, match_index=22, heartbeat_sequence=9)}
    )
    progress = replication.record_reply(wire.AppendEntriesReply(1, "b", False, 15, 8), 1.0)
    assert progress is not None
    assert progress.next_index == 23
    progress = replication.record_reply(wire.AppendEntriesReply(1, "b", False, 15, 9), 1.0)
    assert progress is not None
    assert (progress.next_index, progress.match_index) == (16, 22)
    assert replication.record_reply(wire.AppendEntriesReply(1, "z", True, 1, 9), 1.0) is None


def test_a_message_and_what_is_not_confirmed_are_bounded_in_bytes() -> None:
    """64 configurations of 35 kB queued ahead of a heartbeat would delay it by seconds on a slow link."""
    log = Log(0, 0, BOOTSTRAP_MEMBERS)
    for index in range(1, 65):
        log.append(Entry(index, 1, EntryKind.COMMAND, {"packed": "x" * 35_000}))
    replication = ReplicationProgress({"b": FollowerProgress(next_index=1)})
    progress = replication.followers["b"]
    sent = 0
    for _ in range(64):
        chosen = progress.take_next_entries(log)
        size = sum(wire_bytes(entry) for entry in chosen)
        assert size <= MESSAGE_BYTES
        sent += size
    assert UNCONFIRMED_BYTES <= sent <= UNCONFIRMED_BYTES + MESSAGE_BYTES
    replication.record_reply(wire.AppendEntriesReply(1, "b", True, progress.next_index - 1, 1), 1.0)
    assert progress.take_next_entries(log)


def test_entries_a_member_may_have_from_others_do_not_count_as_sent() -> None:
    """A new leader has no confirmed entries yet; its first entry must be sent without waiting for a reply."""
    log = Log(0, 0, BOOTSTRAP_MEMBERS)
    for index in range(1, 66):
        log.append(Entry(index, 1, EntryKind.COMMAND, {"packed": "x" * 35_000}))
    replication = ReplicationProgress({"b": FollowerProgress(next_index=65)})
    progress = replication.followers["b"]
    assert [entry.index for entry in progress.take_next_entries(log)] == [65]
    replication.record_reply(wire.AppendEntriesReply(1, "b", False, 40, 1), 1.0)
    assert progress.take_next_entries(log)[0].index == 41


def test_an_entry_over_the_bound_goes_alone() -> None:
    log = Log(0, 0, BOOTSTRAP_MEMBERS)
    for index in (1, 2):
        log.append(Entry(index, 1, EntryKind.COMMAND, {"packed": "x" * (MESSAGE_BYTES * 3)}))
    replication = ReplicationProgress({"b": FollowerProgress(next_index=1)})
    progress = replication.followers["b"]
    assert [entry.index for entry in progress.take_next_entries(log)] == [1]
    assert progress.take_next_entries(log) == []
