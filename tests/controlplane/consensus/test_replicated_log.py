"""The members according to the in-memory log, as entries are appended, truncated and compacted."""

from __future__ import annotations

from brambleusher.controlplane.consensus.replicated_log import Log
from brambleusher.wire.consensus_messages import Entry, EntryKind, Member
from tests.controlplane.consensus.cluster import member

ONE, TWO, THREE = ((member("a"),), (member("a"), member("b")), (member("a"), member("b"), member("c")))


def members_entry(index: int, *members: Member) -> Entry:
    return Entry(index, 1, EntryKind.MEMBERS, [each.as_json() for each in members])


def log_with_two_changes() -> Log:
    """A log of five entries, of which entries 2 and 4 are membership changes."""
    log = Log(0, 0, ONE)
    log.append(Entry(1, 1, EntryKind.NONE, None))
    log.append(members_entry(2, *TWO))
    log.append(Entry(3, 1, EntryKind.COMMAND, "x"))
    log.append(members_entry(4, *THREE))
    log.append(Entry(5, 2, EntryKind.COMMAND, "y"))
    return log


def test_the_last_change_in_the_log_is_in_force() -> None:
    log = log_with_two_changes()
    assert (log.members, log.members_index) == (THREE, 4)
    assert [log.members_at(index) for index in (0, 1, 2, 3, 4, 5)] == [ONE, ONE, TWO, TWO, THREE, THREE]


def test_truncation_brings_back_the_members_before() -> None:
    log = log_with_two_changes()
    log.truncate(5)
    assert (log.members, log.members_index) == (THREE, 4)
    log.truncate(4)
    assert (log.members, log.members_index) == (TWO, 2)
    log.truncate(2)
    assert (log.members, log.members_index) == (ONE, 0)
    assert log.last_index == 1


def test_a_compacted_log_keeps_the_members_of_its_snapshot() -> None:
    log = log_with_two_changes()
    log.compact(3)
    assert (log.base_index, log.base_term, log.base_members) == (3, 1, TWO)
    assert (log.members, log.members_index) == (THREE, 4)
    assert [log.term_at(index) for index in (2, 3, 5, 6)] == [None, 1, 2, None]
    log.truncate(4)
    assert (log.members, log.members_index) == (TWO, 3)
