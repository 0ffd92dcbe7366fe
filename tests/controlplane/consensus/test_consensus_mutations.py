"""Mutation tests: the randomized fault injection must detect each fault injected into consensus."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import replace as replace_in

import pytest

from brambleusher.controlplane.consensus.election import Election
from brambleusher.controlplane.consensus.follower import Follower
from brambleusher.controlplane.consensus.leader_state import LeaderState
from brambleusher.controlplane.consensus.outputs import HardState, Record
from brambleusher.controlplane.consensus.raft import Consensus
from brambleusher.controlplane.consensus.replica_state import ReplicaState
from brambleusher.controlplane.consensus.replication import Replication
from brambleusher.wire import consensus_messages as wire
from brambleusher.wire.consensus_messages import EntryKind
from tests.controlplane.consensus.cluster import Cluster, SafetyViolationError
from tests.controlplane.consensus.exploration import explore
from tests.controlplane.consensus.faulty_parts import injected_fault


class VotesTwice(Election):
    def handle_vote_request(self, request: wire.VoteRequest) -> None:
        if not request.is_pre_vote:
            self._state.vote = ""
        super().handle_vote_request(request)


class ForgetsVotes(ReplicaState):
    def record(self, record: Record) -> int:
        if isinstance(record, HardState):
            return self.durability.last_record
        return super().record(record)


class AnswersBeforeSync(ReplicaState):
    def send(self, recipient: wire.Member, message: wire.Message, after_record: int = 0) -> None:
        super().send(recipient, message, 0)


class CountsItselfUnsynced(ReplicaState):
    def append_entry(self, entry: wire.Entry) -> None:
        super().append_entry(entry)
        self.durability.synced_index = self.log.last_index


class VotesForTheShorter(Election):
    def handle_vote_request(self, request: wire.VoteRequest) -> None:
        super().handle_vote_request(replace_in(request, last_index=10**9, last_term=10**9))


class KeepsConflicts(Follower):
    def _append(self, entries: Sequence[wire.Entry]) -> None:
        super()._append([entry for entry in entries if self._state.log.term_at(entry.index) is None])


class CommitsAlone(ReplicaState):
    def has_quorum(self, agreeing: Collection[str]) -> bool:
        return len(agreeing) >= 1


class CommitsOldTerms(ReplicaState):
    def commit_to(self, index: int) -> None:
        super().commit_to(self.log.last_index)


class FollowsOldLeaders(Consensus):
    def handle_message(self, message: wire.Message, now: float) -> None:
        if isinstance(message, wire.AppendEntries) and message.term < self.term:
            message = replace_in(message, term=self.term)
        super().handle_message(message, now)


class AgreesWithAnything(Follower):
    def handle_append_entries(self, message: wire.AppendEntries) -> None:
        known = self._state.log.term_at(message.previous_index)
        if known is not None and known != message.previous_term:
            message = replace_in(message, previous_term=known)
        super().handle_append_entries(message)


class SkipsTheLastMatch(Replication):
    def advance_commit(self, leader_state: LeaderState) -> bool:
        state = self._state
        followers = leader_state.progress.followers.values()
        matched = max([state.durability.synced_index, *(known.match_index for known in followers)])
        if matched > state.commit_index and state.log.term_at(matched) == state.term:
            state.commit_to(matched)
        return False


FAULTS = [
    VotesTwice,
    ForgetsVotes,
    AnswersBeforeSync,
    CountsItselfUnsynced,
    VotesForTheShorter,
    KeepsConflicts,
    CommitsAlone,
    CommitsOldTerms,
    AgreesWithAnything,
    SkipsTheLastMatch,
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_a_fault_put_in_on_purpose_is_found(fault: type) -> None:
    for seed in range(150):
        try:
            with injected_fault(fault):
                explore(Consensus, seed)
        except (SafetyViolationError, AssertionError, KeyError, IndexError):
            return
    pytest.fail("no randomized run detected the injected fault")


def old_leader_speaks(make: type[Consensus]) -> bool:
    """Whether a delayed message of an old leader leaves its successor's entries at a follower unchanged."""
    cluster = Cluster("abc", seed=9)
    cluster.make = make
    for name in "abc":
        cluster.start(name, [])
    for number in range(3):
        assert cluster.commit(number)
    old = cluster.leader()
    assert old is not None
    late = wire.AppendEntries(
        old.consensus.term, old.name, old.consensus.log.last_index, old.consensus.log.last_term,
        [wire.Entry(old.consensus.log.last_index + 1, old.consensus.term, EntryKind.COMMAND, "late")],
        old.consensus.commit_index, 1,
    )  # fmt: skip
    cluster.crash(old.name)
    assert cluster.commit("of the successor")
    follower = next(node for node in cluster.nodes.values() if node.up and not node.consensus.is_leader)
    before = list(follower.consensus.log.entries)
    cluster.deliver(old.name, follower.name, late)
    return follower.consensus.log.entries == before


def test_an_old_leader_changes_nothing() -> None:
    assert old_leader_speaks(Consensus)
    assert not old_leader_speaks(FollowsOldLeaders)
