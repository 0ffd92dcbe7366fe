"""What a leader sends each follower next: bounds, and where it goes back."""

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
    known = replication.record_reply(wire.AppendEntriesReply(1, "b", False, 15, 8), 1.0)
    assert known is not None
    assert known.next_index == 23
    known = replication.record_reply(wire.AppendEntriesReply(1, "b", False, 15, 9), 1.0)
    assert known is not None
    assert (known.next_index, known.match_index) == (16, 22)
    assert replication.record_reply(wire.AppendEntriesReply(1, "z", True, 1, 9), 1.0) is None


def test_a_message_and_what_is_not_confirmed_are_bounded_in_bytes() -> None:
    """64 configurations of 35 kB ahead of a heartbeat would hold a small link for seconds."""
    log = Log(0, 0, BOOTSTRAP_MEMBERS)
    for index in range(1, 65):
        log.append(Entry(index, 1, EntryKind.COMMAND, {"packed": "x" * 35_000}))
    replication = ReplicationProgress({"b": FollowerProgress(next_index=1)})
    known = replication.followers["b"]
    sent = 0
    for _ in range(64):
        chosen = known.take_next_entries(log)
        size = sum(wire_bytes(entry) for entry in chosen)
        assert size <= MESSAGE_BYTES
        sent += size
    assert UNCONFIRMED_BYTES <= sent <= UNCONFIRMED_BYTES + MESSAGE_BYTES
    replication.record_reply(wire.AppendEntriesReply(1, "b", True, known.next_index - 1, 1), 1.0)
    assert known.take_next_entries(log)


def test_entries_a_member_may_have_from_others_do_not_count_as_sent() -> None:
    """A new leader knows nothing confirmed yet; its first entry must not wait for an answer."""
    log = Log(0, 0, BOOTSTRAP_MEMBERS)
    for index in range(1, 66):
        log.append(Entry(index, 1, EntryKind.COMMAND, {"packed": "x" * 35_000}))
    replication = ReplicationProgress({"b": FollowerProgress(next_index=65)})
    known = replication.followers["b"]
    assert [entry.index for entry in known.take_next_entries(log)] == [65]
    replication.record_reply(wire.AppendEntriesReply(1, "b", False, 40, 1), 1.0)
    assert known.take_next_entries(log)[0].index == 41


def test_an_entry_over_the_bound_goes_alone() -> None:
    log = Log(0, 0, BOOTSTRAP_MEMBERS)
    for index in (1, 2):
        log.append(Entry(index, 1, EntryKind.COMMAND, {"packed": "x" * (MESSAGE_BYTES * 3)}))
    replication = ReplicationProgress({"b": FollowerProgress(next_index=1)})
    known = replication.followers["b"]
    assert [entry.index for entry in known.take_next_entries(log)] == [1]
    assert known.take_next_entries(log) == []
