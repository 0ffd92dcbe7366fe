"""Consensus when any single message is lost, duplicated, delayed or reordered, and under random faults."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from brambleusher.controlplane.consensus.outputs import Outgoing, Role
from brambleusher.controlplane.consensus.raft import Consensus
from brambleusher.controlplane.consensus.timing import UNSYNCED_MAX
from brambleusher.wire import consensus_messages as wire
from tests.controlplane.consensus.cluster import Cluster, Fate, SafetyViolationError
from tests.controlplane.consensus.exploration import MUTATIONS, explore


def change(cluster: Cluster) -> None:
    """Elect a leader and commit three commands."""
    for number in range(3):
        assert cluster.commit(number)


def transfer(cluster: Cluster) -> None:
    """Transfer leadership, then commit another command."""
    change(cluster)
    first = cluster.leader()
    assert first is not None
    first.consensus.transfer_leadership()
    cluster.pump(first)
    assert cluster.run(lambda: cluster.leader() not in (None, first))
    assert cluster.commit("after")


def crash(cluster: Cluster) -> None:
    """Crash the leader, commit under its successor, and restart the first leader."""
    change(cluster)
    first = cluster.leader()
    assert first is not None
    cluster.crash(first.name)
    assert cluster.commit("without")
    cluster.restart(first.name)
    assert cluster.commit("with")


def rejoin(cluster: Cluster) -> None:
    """Wipe the disk of a replica, which rejoins as a new member."""
    change(cluster)
    lost = next(node for node in cluster.nodes.values() if not node.consensus.is_leader)
    cluster.wipe(lost.name, "again")
    assert cluster.commit("meanwhile")

    def votes() -> bool:
        leader = cluster.leader()
        return leader is not None and any(each.id == "again" for each in leader.consensus.voters)

    assert cluster.run(votes)
    assert cluster.commit("after")


def replace(cluster: Cluster) -> None:
    """Remove a replica permanently; an empty replica at another address gets its vote."""
    change(cluster)
    removed = next(node for node in cluster.nodes.values() if not node.consensus.is_leader)
    cluster.crash(removed.name)
    cluster.start("d", None)

    def replaced() -> bool:
        leader = cluster.leader()
        return leader is not None and "d" in {each.id for each in leader.consensus.voters}

    assert cluster.run(replaced)
    assert cluster.commit("after")
    del cluster.nodes[removed.name]


SCENARIOS: list[Callable[[Cluster], None]] = [change, transfer, crash, rejoin, replace]


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_one_message_at_a_time(scenario: Callable[[Cluster], None], record_property: Any) -> None:
    plain = Cluster("abc", seed=5)
    scenario(plain)
    plain.check()
    for at in range(1, plain.sent + 1):
        for fate in MUTATIONS:
            cluster = Cluster("abc", seed=5)
            cluster.mutate = lambda number, *_, at=at, fate=fate: fate if number == at else Fate.DELIVER
            scenario(cluster)
            cluster.check()
    record_property("mutations_of_one_message", plain.sent * len(MUTATIONS))
    assert plain.sent > 30


@pytest.mark.parametrize("block", range(6))
def test_days_of_faults(block: int) -> None:
    for seed in range(block * 25, block * 25 + 25):
        explore(Consensus, seed)


def test_days_of_faults_with_five() -> None:
    for seed in range(25):
        explore(Consensus, seed, "abcde")


def acknowledged_by_two() -> tuple[Cluster, str, str, str]:
    """Crash all replicas after a command was committed by the leader and one follower only.

    Returns the cluster and the names of the leader, of that follower and of the replica without the command.
    """
    cluster = Cluster("abc", seed=3)
    change(cluster)
    leader = cluster.leader()
    assert leader is not None
    one, two = (name for name in "abc" if name != leader.name)
    cluster.crash(two)
    assert cluster.commit("on two of three")
    for name in (leader.name, one):
        cluster.crash(name)
    return cluster, leader.name, one, two


def test_a_wiped_replica_that_kept_its_identity_would_lose_what_was_acknowledged() -> None:
    """Shows why a replica with a lost disk needs a new identity.

    With its old identity, its vote and that of the replica without the command elect a leader without it.
    """
    cluster, _, one, two = acknowledged_by_two()
    cluster.start(one, [])  # the replica has an empty disk and keeps its old identity
    cluster.restart(two)
    assert cluster.run(lambda: cluster.leader() is not None)
    with pytest.raises(SafetyViolationError):
        cluster.check()


def test_a_wiped_replica_does_not_vote_and_nothing_is_lost() -> None:
    cluster, leader, one, two = acknowledged_by_two()
    cluster.wipe(one, "again")
    cluster.restart(two)
    assert not cluster.run(lambda: cluster.leader() is not None, steps=300)
    cluster.restart(leader)
    assert cluster.commit("after")
    cluster.check()


# --- individual properties ------------------------------------------------------------------------


def test_a_leader_without_a_majority_steps_down_and_answers_no_read() -> None:
    cluster = Cluster("abc", seed=1)
    change(cluster)
    leader = cluster.leader()
    assert leader is not None
    answers: list[bool] = []
    cluster.partitioned = {frozenset((leader.name, other)) for other in "abc" if other != leader.name}
    leader.consensus.read(answers.append)
    cluster.pump(leader)
    for _ in range(100):
        cluster.step()
    assert answers == [False]
    assert leader.consensus.state.role is not Role.LEADER
    assert not leader.consensus.has_quorum_contact(cluster.now)


def test_a_read_is_answered_once_a_majority_confirmed_the_leader() -> None:
    cluster = Cluster("abc", seed=1)
    change(cluster)
    leader = cluster.leader()
    assert leader is not None
    answers: list[bool] = []
    leader.consensus.read(answers.append)
    cluster.pump(leader)
    assert answers == []
    cluster.step()
    cluster.step()
    assert answers == [True]


def test_a_member_that_was_cut_off_does_not_unseat_the_leader() -> None:
    cluster = Cluster("abc", seed=2)
    change(cluster)
    leader = cluster.leader()
    assert leader is not None
    other = next(name for name in "abc" if name != leader.name)
    cluster.partitioned = {frozenset((other, name)) for name in "abc" if name != other}
    for _ in range(200):
        cluster.step()
    term = leader.consensus.term
    cluster.partitioned = set()
    for _ in range(100):
        cluster.step()
    assert leader.consensus.is_leader
    assert leader.consensus.term == term


def test_a_leader_whose_disk_is_stuck_commits_with_the_others() -> None:
    cluster = Cluster("abc", seed=4)
    change(cluster)
    leader = cluster.leader()
    assert leader is not None
    leader.slow_disk = True
    assert cluster.commit("others have it")
    assert cluster.leader() is leader


def test_a_snapshot_brings_back_a_replica_whose_entries_are_gone() -> None:
    cluster = Cluster("abc", seed=6)
    change(cluster)
    leader = cluster.leader()
    assert leader is not None
    late = next(name for name in "abc" if name != leader.name)
    cluster.crash(late)
    for number in range(5):
        assert cluster.commit(f"more {number}")
    leader.consensus.handle_snapshot_stored(leader.consensus.commit_index)
    cluster.restart(late)
    cluster.check()
    assert cluster.nodes[late].consensus.log.base_index > 0


def test_a_leader_whose_disk_is_stuck_transfers_leadership_before_its_memory_fills() -> None:
    cluster = Cluster("abc", seed=4)
    change(cluster)
    leader = cluster.leader()
    assert leader is not None
    leader.slow_disk = True
    for number in range(UNSYNCED_MAX * 3):
        cluster.propose(number)
        if cluster.leader() is not leader:
            break
        cluster.step()
    assert cluster.run(lambda: cluster.leader() not in (None, leader))
    assert cluster.commit("after")
    assert leader.consensus.log.last_index - leader.synced < UNSYNCED_MAX * 3


def test_a_leader_whose_disk_is_stuck_and_has_no_successor_stops_accepting_proposals() -> None:
    cluster = Cluster("a", seed=4)
    assert cluster.commit("first")
    leader = cluster.leader()
    assert leader is not None
    leader.slow_disk = True
    for number in range(UNSYNCED_MAX * 4):
        cluster.propose(number)
        cluster.step()
    assert leader.consensus.log.last_index <= UNSYNCED_MAX * 2 + 10


def test_messages_wait_until_their_record_is_synced() -> None:
    cluster = Cluster("abc", seed=7)
    node = cluster.nodes["a"]
    node.consensus.handle_message(wire.VoteRequest(5, "b", 9, 9, False, False), 10.0)
    sent = node.consensus.take_output()
    replies = [out for out in sent.messages if isinstance(out.message, wire.VoteReply)]
    assert [type(out) for out in replies] == [Outgoing]
    assert replies[0].after_record == len(sent.records) > 0
