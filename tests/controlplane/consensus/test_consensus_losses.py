"""Consensus with snapshots, lost disks and members that shut down: random faults, and specific interleavings.

Tests of a specific interleaving also run with the original fault injected, and check that it breaks them.
"""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from brambleusher.controlplane.consensus.election import Election
from brambleusher.controlplane.consensus.outputs import HardState, Record, Restore
from brambleusher.controlplane.consensus.raft import Consensus
from brambleusher.controlplane.consensus.replicated_log import Log
from brambleusher.controlplane.consensus.snapshots import Snapshots
from brambleusher.wire import consensus_messages as wire
from brambleusher.wire.consensus_messages import Entry, EntryKind, Member
from tests.controlplane.consensus.cluster import Cluster, Fate, SafetyViolationError, member
from tests.controlplane.consensus.exploration import explore
from tests.controlplane.consensus.faulty_parts import injected_fault

BOOTSTRAP_MEMBERS = tuple(member(name) for name in "abc")


@pytest.mark.parametrize("block", range(6))
@pytest.mark.parametrize("names", ["abc", "abcde"])
def test_days_with_lost_disks_and_members_that_shut_down(names: str, block: int) -> None:
    for seed in range(block * 20, block * 20 + 20):
        explore(Consensus, seed, names, losses=True)


class SnapshotIsIgnored(Snapshots):
    def handle_install_snapshot(self, message: wire.InstallSnapshot) -> None:
        state = self._state
        state.record_leader_contact(message.sender)
        state.reply_to_leader(True, min(message.index, state.log.last_index), message.heartbeat_sequence)


def test_days_with_losses_find_that_a_snapshot_is_ignored() -> None:
    with injected_fault(SnapshotIsIgnored), pytest.raises(SafetyViolationError):
        for seed in range(20):
            explore(Consensus, seed, losses=True)


# --- delayed snapshots ---------------------------------------------------------------------------


class SnapshotReplacesEverything(Snapshots):
    """Injects a former fault: installing a snapshot deletes the entries after it, even confirmed ones."""

    def handle_install_snapshot(self, message: wire.InstallSnapshot) -> None:
        state = self._state
        state.record_leader_contact(message.sender)
        if message.index > state.commit_index:
            members = tuple(message.members)
            state.restore(Restore(message.index, message.index_term, members, message.state))
        state.reply_to_leader(True, min(message.index, state.log.last_index), message.heartbeat_sequence)


def entries(first: int, last: int, term: int = 1) -> list[Entry]:
    return [Entry(index, term, EntryKind.COMMAND, index) for index in range(first, last + 1)]


def follower_with_a_late_snapshot(make: type[Consensus]) -> tuple[Consensus, list[wire.Message], list[Entry]]:
    """A follower with 22 confirmed entries, of which it knows 14 as committed, gets a snapshot up to 15."""
    log = Log(0, 0, BOOTSTRAP_MEMBERS)
    follower = make(member("b", voter=False), log, 1, "", 0.0, random.Random(1))
    follower.handle_message(wire.AppendEntries(1, "a", 0, 0, entries(1, 22), 14, 7), 0.1)
    follower.handle_records_synced(len(follower.take_output().records))
    state = {"applied": 15}
    follower.handle_message(wire.InstallSnapshot(1, "a", 15, 1, list(BOOTSTRAP_MEMBERS), state, 5), 0.2)
    output = follower.take_output()
    assert not any(out.after_record for out in output.messages)
    return follower, [out.message for out in output.messages], output.committed


def test_a_late_snapshot_keeps_what_was_confirmed_behind_it() -> None:
    follower, replies, committed = follower_with_a_late_snapshot(Consensus)
    assert (follower.log.last_index, follower.commit_index) == (22, 15)
    assert [entry.index for entry in committed] == [15]
    assert replies == [wire.AppendEntriesReply(1, "b", True, 15, 5)]


def test_with_the_whole_log_replaced_what_was_confirmed_is_gone() -> None:
    log = Log(0, 0, BOOTSTRAP_MEMBERS)
    with injected_fault(SnapshotReplacesEverything):
        follower = Consensus(member("b", voter=False), log, 1, "", 0.0, random.Random(1))
    follower.handle_message(wire.AppendEntries(1, "a", 0, 0, entries(1, 22), 14, 7), 0.1)
    follower.handle_message(wire.InstallSnapshot(1, "a", 15, 1, list(BOOTSTRAP_MEMBERS), {}, 5), 0.2)
    assert follower.log.last_index == 15


def acknowledged_behind_a_late_snapshot(make: type[Consensus]) -> Cluster:
    """The leader's disk is slow, so that only its followers have synced an entry; then the leader crashes."""
    cluster = Cluster("abc", seed=11)
    cluster.make = make
    for name in "abc":
        cluster.start(name, [])
    for number in range(6):
        assert cluster.commit(number)
    leader = cluster.leader()
    assert leader is not None
    late, other = (cluster.nodes[name] for name in "abc" if name != leader.name)
    state = {index: content for index, content in leader.state.items() if index <= leader.applied}
    asked = wire.InstallSnapshot(leader.consensus.term, leader.name, 0, 0, [], None, 0)
    snapshot = leader.consensus.fill_snapshot(asked, leader.applied, state)
    leader.slow_disk = True
    late.consensus.state.commit_index -= 1  # the follower does not know of the last commit yet
    late.applied -= 1
    del late.state[late.applied + 1]
    cluster.mutate = lambda number, sender, to, message: Fate.DROP if to == other.name else Fate.DELIVER
    position = cluster.propose("confirmed")
    assert position is not None
    cluster.step()
    cluster.step()
    cluster.deliver(leader.name, late.name, snapshot)
    cluster.mutate = lambda *_: Fate.DELIVER
    assert cluster.run(lambda: position.index in leader.state, steps=60)
    cluster.checker.record_acknowledged(position.index, leader.state[position.index])
    cluster.crash(leader.name)
    return cluster


def test_nothing_acknowledged_is_lost_behind_a_late_snapshot() -> None:
    cluster = acknowledged_behind_a_late_snapshot(Consensus)
    assert cluster.commit("after")
    cluster.check()


def test_a_state_is_sent_under_the_index_up_to_which_it_is_applied() -> None:
    cluster = Cluster("abc", seed=6)
    for number in range(3):
        assert cluster.commit(number)
    leader = cluster.leader()
    assert leader is not None
    asked = wire.InstallSnapshot(leader.consensus.term, leader.name, 0, 0, [], None, 4)
    sent = leader.consensus.fill_snapshot(asked, 2, "two")
    assert (sent.index, sent.index_term, sent.state) == (2, leader.consensus.log.term_at(2), "two")
    with pytest.raises(AssertionError):
        leader.consensus.fill_snapshot(asked, leader.consensus.commit_index + 1, "not committed")


def test_a_lost_disk_counts_for_nothing_while_members_change() -> None:
    """A quorum of the old members need not intersect a quorum of the new members without the wiped one."""
    log = Log(0, 0, BOOTSTRAP_MEMBERS)
    replica = Consensus(member("a", voter=False), log, 1, "", 0.0, random.Random(1))
    four = [each.as_json() for each in (*BOOTSTRAP_MEMBERS, member("d"))]
    replica.handle_message(
        wire.AppendEntries(1, "c", 0, 0, [Entry(1, 1, EntryKind.MEMBERS, four)], 0, 1), 0.0
    )
    empty = replace(member("b2", voter=False), address="at-b")
    for at in (0.1, 0.4, 0.7):
        replica.handle_message(wire.JoinRequest("b2", empty), at)
    assert replica.state.wiped_members() == set()
    replica.handle_message(wire.AppendEntries(1, "c", 1, 1, [], 1, 2), 0.8)
    assert replica.state.wiped_members() == {"b"}


# --- votes of replicas that do not know that they are voters -------------------------------------


class OnlyMembersVote(Election):
    """Injects a former fault: a replica that does not know yet that it is a voter denies its vote."""

    def handle_vote_request(self, request: wire.VoteRequest) -> None:
        if self._state.is_voter or request.is_pre_vote:
            super().handle_vote_request(request)


class OnlyVotersStartElections(Election):
    """Injects a former fault: learners start no elections, so a later entry at a learner blocks the group."""

    def start_election(self, *, is_pre_vote: bool, is_transfer: bool = False) -> bool:
        if not self._state.is_voter:
            return False
        return super().start_election(is_pre_vote=is_pre_vote, is_transfer=is_transfer)


def members_entry(index: int, term: int, *members: Member) -> Entry:
    return Entry(index, term, EntryKind.MEMBERS, [each.as_json() for each in members])


def group_without_its_leader(make: type[Consensus], ends: dict[str, list[Entry]]) -> Cluster:
    """Voters b and c and learner d without the leader a; each has two common entries and then its `ends`."""
    cluster = Cluster("abc", seed=4)
    cluster.make = make
    common = [
        Entry(1, 1, EntryKind.NONE, None),
        members_entry(2, 1, *BOOTSTRAP_MEMBERS, member("d", voter=False)),
    ]
    for name in "bcd":
        records: list[Record] = [HardState(3, ""), *common, *ends[name]]
        cluster.start(name, records)
    del cluster.nodes["a"]
    return cluster


def test_a_replica_votes_that_does_not_know_yet_that_it_may() -> None:
    four = members_entry(3, 2, *BOOTSTRAP_MEMBERS, member("d"))
    ends: dict[str, list[Entry]] = {"b": [four], "c": [], "d": []}
    assert group_without_its_leader(Consensus, ends).commit("after")
    with injected_fault(OnlyMembersVote):
        assert not group_without_its_leader(Consensus, ends).commit("after")


def test_a_replica_without_a_vote_leads_where_the_others_lack_what_it_holds() -> None:
    """Replica b needs the vote of d, which denies it because d has the entries of a later leader."""
    four = members_entry(3, 2, *BOOTSTRAP_MEMBERS, member("d"))
    later = [Entry(3, 3, EntryKind.NONE, None), Entry(4, 3, EntryKind.COMMAND, "of the later leader")]
    ends: dict[str, list[Entry]] = {"b": [four], "c": [], "d": later}
    cluster = group_without_its_leader(Consensus, ends)
    assert cluster.commit("after")
    assert cluster.run(lambda: (leader := cluster.leader()) is not None and leader.consensus.state.is_voter)
    with injected_fault(OnlyVotersStartElections):
        assert not group_without_its_leader(Consensus, ends).commit("after")


class CountsItsVoteUnsynced(Election):
    """Injects a former fault: a candidate counts its own vote before it is synced."""

    def start_election(self, *, is_pre_vote: bool, is_transfer: bool = False) -> bool:
        has_won = super().start_election(is_pre_vote=is_pre_vote, is_transfer=is_transfer)
        self._votes.add(self._state.identity.id)
        return self._count_votes() or has_won


@pytest.mark.parametrize("election", [Election, CountsItsVoteUnsynced])
def test_where_one_vote_is_enough_it_counts_once_it_is_synced(election: type[Election]) -> None:
    """Otherwise it could lead the same term again after a power loss, and reuse its entries' indexes."""
    log = Log(0, 0, (member("a"),))
    with injected_fault(election):
        alone = Consensus(member("a", voter=False), log, 1, "", 0.0, random.Random(1))
    alone.tick(2.0)
    records = alone.take_output().records
    assert records[0] == HardState(2, "a")
    assert alone.is_leader is (election is CountsItsVoteUnsynced)
    alone.handle_records_synced(len(records))
    assert alone.is_leader


# --- members that shut down ----------------------------------------------------------------------


def with_a_learner() -> Cluster:
    cluster = Cluster("abc", seed=8)
    assert cluster.commit("first")
    cluster.start("d", None)
    assert cluster.run(lambda: voters_of(cluster, False) == {"d"})
    for _ in range(30):
        cluster.step()
    return cluster


def voters_of(cluster: Cluster, voter: bool = True) -> set[str]:
    leader = cluster.leader()
    members = () if leader is None else leader.consensus.log.members
    return {each.id for each in members if each.is_voter is voter}


def test_a_member_that_shuts_down_has_transferred_its_vote_within_a_tenth_of_a_second() -> None:
    cluster = with_a_learner()
    leader = cluster.leader()
    assert leader is not None
    shutting_down = next(name for name in "abc" if name != leader.name)
    cluster.nodes[shutting_down].consensus.begin_graceful_shutdown()
    assert cluster.nodes[shutting_down].consensus.has_vote()
    cluster.post(shutting_down, leader.name, wire.ShutdownNotice(shutting_down))
    assert cluster.run(lambda: not cluster.nodes[shutting_down].consensus.has_vote(), steps=8)
    assert voters_of(cluster) == {*"abcd"} - {shutting_down}
    cluster.crash(shutting_down)
    del cluster.nodes[shutting_down]
    second = next(name for name in "abc" if name not in (shutting_down, leader.name))
    cluster.wipe(second, "again")
    assert cluster.commit("after")
    cluster.check()


def test_a_replica_with_the_only_copy_leads_though_it_is_shutting_down() -> None:
    """The leader shuts down after the only other replica that confirmed its entry has lost its disk."""
    cluster = with_a_learner()
    first = cluster.leader()
    assert first is not None
    one, behind = (name for name in "abc" if name != first.name)
    cluster.partitioned = {frozenset((behind, name)) for name in "abcd"} | {
        frozenset(("d", name)) for name in "abc"
    }
    assert cluster.commit("on two of three")
    first.consensus.begin_graceful_shutdown()
    cluster.wipe(one, "again")
    cluster.partitioned = set()
    assert cluster.commit("after")
    cluster.check()
