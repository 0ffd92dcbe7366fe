"""Agreement: one message at a time is lost, doubled, held back or overtakes; and the checker can fail."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from dataclasses import replace as replace_in
from typing import Any

import pytest

from brambleusher.controlplane.consensus.election import Election
from brambleusher.controlplane.consensus.follower import Follower
from brambleusher.controlplane.consensus.leader_state import LeaderState
from brambleusher.controlplane.consensus.membership_plan import MEMBERS_MAX, Group, next_members
from brambleusher.controlplane.consensus.outputs import HardState, Outgoing, Record, Role
from brambleusher.controlplane.consensus.raft import Consensus
from brambleusher.controlplane.consensus.replica_state import ReplicaState
from brambleusher.controlplane.consensus.replication import Replication
from brambleusher.controlplane.consensus.timing import UNSYNCED_MAX
from brambleusher.wire import consensus_messages as wire
from brambleusher.wire.consensus_messages import EntryKind
from brambleusher.wire.errors import InvalidMessageError
from tests.system.cluster import Cluster, SafetyViolationError, member
from tests.system.exploration import MUTATIONS, explore
from tests.system.faulty_parts import installed


def change(cluster: Cluster) -> None:
    """An election and three commands."""
    for number in range(3):
        assert cluster.commit(number)


def transfer(cluster: Cluster) -> None:
    """The leader hands over, and commands go on."""
    change(cluster)
    first = cluster.leader()
    assert first is not None
    first.consensus.transfer_leadership()
    cluster.pump(first)
    assert cluster.run(lambda: cluster.leader() not in (None, first))
    assert cluster.commit("after")


def crash(cluster: Cluster) -> None:
    """The leader loses power, another takes over, the first comes back."""
    change(cluster)
    first = cluster.leader()
    assert first is not None
    cluster.crash(first.name)
    assert cluster.commit("without")
    cluster.restart(first.name)
    assert cluster.commit("with")


def rejoin(cluster: Cluster) -> None:
    """A replica loses its disk and comes back as a new member."""
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
    """A replica is gone for good, and an empty one at another address takes its vote."""
    change(cluster)
    gone = next(node for node in cluster.nodes.values() if not node.consensus.is_leader)
    cluster.crash(gone.name)
    cluster.start("d", None)

    def replaced() -> bool:
        leader = cluster.leader()
        return leader is not None and "d" in {each.id for each in leader.consensus.voters}

    assert cluster.run(replaced)
    assert cluster.commit("after")
    del cluster.nodes[gone.name]


SCENARIOS: list[Callable[[Cluster], None]] = [change, transfer, crash, rejoin, replace]


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_one_message_at_a_time(scenario: Callable[[Cluster], None], record_property: Any) -> None:
    plain = Cluster("abc", seed=5)
    scenario(plain)
    plain.check()
    for at in range(1, plain.sent + 1):
        for how in MUTATIONS:
            cluster = Cluster("abc", seed=5)
            cluster.mutate = lambda number, *_, at=at, how=how: how if number == at else "deliver"
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


# --- faults put into the program on purpose: each has to be found --------------------------------


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
    def advance_commit(self, leading: LeaderState) -> bool:
        state = self._state
        followers = leading.progress.followers.values()
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
            with installed(fault):
                explore(Consensus, seed)
        except (SafetyViolationError, AssertionError, KeyError, IndexError):
            return
    pytest.fail("no day of faults found it")


def old_leader_speaks(make: type[Consensus]) -> bool:
    """Whether an old leader's late message leaves what a follower synced for its successor as it is."""
    cluster = Cluster("abc", seed=9)
    cluster.make = make
    for name in "abc":
        cluster.start(name, [])
    change(cluster)
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


def acknowledged_by_two() -> tuple[Cluster, str, str, str]:
    """All are down; the leader and one other hold a command that the third lacks; names in that order."""
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
    """The reason why a lost disk makes a new member: with the old identity two empty votes make a leader."""
    cluster, _, one, two = acknowledged_by_two()
    cluster.start(one, [])  # an empty disk, and the identity of the old one
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


# --- single rules ---------------------------------------------------------------------------------


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


def test_a_leader_whose_disk_stands_still_goes_on_with_the_others() -> None:
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


def test_votes_and_members_change_one_at_a_time() -> None:
    members = (member("a"), member("b"), member("c"))
    joining = [member("d", voter=False), member("e", voter=False)]
    first = next_members(Group(members, "a", 5), joining)
    assert first is not None
    assert [each.id for each in first] == ["a", "b", "c", "d"]
    assert not first[-1].is_voter
    second = next_members(Group(first, "a", 5, {}, {"d"}), [])
    assert second is not None
    assert second[-1].is_voter


def test_a_lost_voter_keeps_its_vote_while_nobody_can_take_it() -> None:
    members = (member("a"), member("b"), member("c"))
    assert next_members(Group(members, "a", 3, {"c": 9.0}, {"b"}), []) is None


def votes_after(group: Group) -> str | None:
    """The voters after the next change, in the order of their names; None where nothing changes."""
    changed = next_members(group, [])
    return None if changed is None else "".join(sorted(each.id for each in changed if each.is_voter))


def test_a_lost_voter_makes_room_for_a_learner_that_holds_everything() -> None:
    members = (member("a"), member("b"), member("c"), member("d", voter=False))
    group = Group(members, "a", 3, {"c": 9.0}, {"b", "d"})
    assert votes_after(group) == "abcd"
    assert votes_after(replace_in(group, members=group.with_vote("d", True))) == "abd"


def test_a_voter_that_leaves_is_replaced_before_it_loses_its_vote() -> None:
    members = (member("a"), member("b"), member("c"), member("d", voter=False))
    group = Group(members, "a", 3, {}, {"b", "c", "d"}, {"c"})
    assert votes_after(group) == "abcd"
    assert votes_after(replace_in(group, members=group.with_vote("d", True))) == "abd"
    assert votes_after(replace_in(group, caught_up={"b", "c"})) is None
    assert votes_after(replace_in(group, shutting_down={"c", "d"})) is None


def test_nobody_is_replaced_while_too_few_are_there_to_agree_on_one_more_vote() -> None:
    members = (member("a"), member("b"), member("c"), member("d", voter=False))
    group = Group(members, "a", 3, {"b": 9.0, "c": 9.0}, {"d"})
    assert votes_after(group) is None


def test_votes_spread_over_zones_again_once_a_zone_is_back() -> None:
    zones = {"a": "1", "b": "2", "c": "3", "d": "2"}
    members = tuple(replace_in(member(name, voter=name != "c"), zone=zone) for name, zone in zones.items())
    group = Group(members, "a", 3, {}, {"b", "c", "d"}, is_stable=True)
    assert votes_after(replace_in(group, is_stable=False)) is None
    assert votes_after(group) == "abcd"
    following = replace_in(group, members=group.with_vote("c", True))
    assert votes_after(following) == "abc"
    assert votes_after(replace_in(following, members=following.with_vote("d", False))) is None


def test_votes_are_not_moved_for_zones_while_those_of_voters_are_unknown() -> None:
    founders = tuple(replace_in(member(name), zone="") for name in "abc")
    newcomer = replace_in(member("d", voter=False), zone="1")
    group = Group((*founders, newcomer), "a", 3, {}, {"b", "c", "d"}, is_stable=True)
    assert votes_after(group) is None


def test_a_learner_that_is_silent_makes_room_sooner_where_there_is_none() -> None:
    learners = tuple(member(f"l{number}", voter=False) for number in range(MEMBERS_MAX - 1))
    group = Group((member("a"), *learners), "a", 1, {"l3": 5.0, "l4": 7.0}, {"l1"})
    changed = next_members(group, [member("new", voter=False)])
    assert changed is not None
    assert "l4" not in {each.id for each in changed}
    assert len(changed) == MEMBERS_MAX - 1
    fewer = replace_in(group, members=(member("a"), *learners[:5]))
    assert next_members(fewer, []) is None


def test_a_leader_whose_disk_takes_nothing_hands_over_before_its_memory_fills() -> None:
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


def test_a_leader_whose_disk_takes_nothing_and_that_nobody_can_succeed_stops_taking_more() -> None:
    cluster = Cluster("a", seed=4)
    assert cluster.commit("first")
    leader = cluster.leader()
    assert leader is not None
    leader.slow_disk = True
    for number in range(UNSYNCED_MAX * 4):
        cluster.propose(number)
        cluster.step()
    assert leader.consensus.log.last_index <= UNSYNCED_MAX * 2 + 10


def test_messages_survive_the_wire_and_faults_in_them_are_told() -> None:
    message = wire.AppendEntries(3, "a", 1, 1, [wire.Entry(2, 3, EntryKind.COMMAND, {"op": "x"})], 1, 9)
    data = wire.encode_message(message)
    assert wire.decode_message(data) == message
    for key in list(data):
        broken = {name: value for name, value in data.items() if name != key}
        with pytest.raises(InvalidMessageError):
            wire.decode_message(broken)
    for key, value in (("term", "3"), ("entries", 7), ("entries", [[1, 2]]), ("kind", "else")):
        with pytest.raises(InvalidMessageError):
            wire.decode_message({**data, key: value})


def test_held_messages_wait_for_their_record() -> None:
    cluster = Cluster("abc", seed=7)
    node = cluster.nodes["a"]
    node.consensus.handle_message(wire.VoteRequest(5, "b", 9, 9, False, False), 10.0)
    sent = node.consensus.take_output()
    replies = [out for out in sent.messages if isinstance(out.message, wire.VoteReply)]
    assert [type(out) for out in replies] == [Outgoing]
    assert replies[0].after_record == len(sent.records) > 0
