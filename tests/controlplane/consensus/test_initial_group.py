"""The first group of a system: initial members that are replaced, and growth before the first command."""

from __future__ import annotations

from typing import Any

from brambleusher.controlplane.consensus.outputs import BootstrapMembersRecord, LogPosition
from brambleusher.controlplane.consensus.raft import Consensus, InitialGrowth
from tests.controlplane.consensus.cluster import STEP_S, Cluster, Node, member

GROWTH_TIMEOUT_S = 4.0


class GrowingConsensus(Consensus):
    """A replica of a group that grows to three voters before its first command."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._initial_growth = InitialGrowth(3, GROWTH_TIMEOUT_S)


class GrowingCluster(Cluster):
    """Replicas of which only the first is a seed; the other two seeds, x and y, are observers."""

    make = GrowingConsensus

    def __init__(self, names: str, seed: int = 1) -> None:
        super().__init__(names, seed, bootstrap_members="axy")

    @property
    def founder(self) -> Node:
        return self.nodes["a"]

    def remove_observers(self) -> None:
        self.founder.consensus.replace_bootstrap_members((member("a"),))
        self.pump(self.founder)


def voters(node: Node) -> set[str]:
    return {each.id for each in node.consensus.voters}


def test_a_group_with_a_majority_of_observers_has_a_leader_only_without_them() -> None:
    cluster = GrowingCluster("abc")
    assert not cluster.run(lambda: cluster.leader() is not None)
    cluster.remove_observers()
    assert cluster.run(lambda: cluster.leader() is cluster.founder)


def test_a_new_group_accepts_its_first_command_once_all_voters_know_that_it_has_grown() -> None:
    for seed in range(20):
        cluster = GrowingCluster("abc", seed)
        cluster.remove_observers()
        position: LogPosition | None = None
        while position is None:
            cluster.step()
            position = cluster.propose("first")
            assert cluster.steps < 600
        for node in cluster.nodes.values():
            assert voters(node) == {"a", "b", "c"}


def test_a_group_that_cannot_grow_accepts_commands_after_a_while() -> None:
    cluster = GrowingCluster("a")
    cluster.remove_observers()
    assert cluster.run(lambda: cluster.leader() is not None)
    begun = cluster.now
    assert cluster.propose("too early") is None
    assert cluster.run(lambda: cluster.propose("first") is not None)
    assert GROWTH_TIMEOUT_S - STEP_S <= cluster.now - begun <= GROWTH_TIMEOUT_S + 2 * STEP_S
    assert cluster.commit("second")


def test_a_group_that_has_a_command_does_not_wait_for_voters_again() -> None:
    cluster = GrowingCluster("abc")
    cluster.remove_observers()
    assert cluster.commit("first")
    leader = cluster.leader()
    assert leader is not None
    cluster.wipe(next(name for name in "abc" if name != leader.name), "again")
    assert cluster.run(lambda: "again" in {each.id for each in leader.consensus.log.members})
    assert cluster.propose("second") is not None


def test_initial_members_are_durable_and_not_replaced_once_there_is_a_log() -> None:
    cluster = GrowingCluster("a")
    cluster.remove_observers()
    assert cluster.founder.records == [BootstrapMembersRecord((member("a"),))]
    cluster.sync(cluster.founder)
    cluster.crash("a")
    cluster.restart("a")
    assert voters(cluster.founder) == {"a"}
    assert cluster.run(lambda: not cluster.founder.consensus.has_empty_log())
    cluster.founder.consensus.replace_bootstrap_members((member("b"),))
    assert voters(cluster.founder) == {"a"}
