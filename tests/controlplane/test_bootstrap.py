"""Formation of the first group: which controllers form it, whichever processes the seeds are."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brambleusher.controlplane.bootstrap import Bootstrap, ObserverGrant
from brambleusher.wire.bootstrap_messages import BootstrapAnswer, BootstrapQuery
from brambleusher.wire.consensus_messages import Member
from brambleusher.wire.errors import InvalidMessageError

SEEDS = ("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")
OBSERVER = BootstrapAnswer(is_observer=True)
CONTROLLER = BootstrapAnswer(is_observer=False)


def member(address: str, voter: bool = True) -> Member:
    return Member(f"id-{address}", address, "", "", voter)


MEMBERS = tuple(member(seed) for seed in SEEDS)


def addresses(members: tuple[Member, ...]) -> list[str]:
    return [each.address for each in members]


def test_a_seed_removes_exactly_the_observers_from_the_initial_members() -> None:
    bootstrap = Bootstrap(replace(MEMBERS[0], is_voter=False), MEMBERS, ())
    assert bootstrap.other_seeds == list(SEEDS[1:])
    assert addresses(bootstrap.initial_members()) == list(SEEDS)
    bootstrap.record_answer(SEEDS[1], CONTROLLER)
    assert addresses(bootstrap.initial_members()) == list(SEEDS)
    bootstrap.record_answer(SEEDS[2], OBSERVER)
    assert addresses(bootstrap.initial_members()) == list(SEEDS[:2])
    assert bootstrap.unanswered_seeds() == [SEEDS[1]]
    bootstrap.record_answer(SEEDS[1], OBSERVER)
    assert addresses(bootstrap.initial_members()) == [SEEDS[0]]
    assert not bootstrap.next_query(SEEDS[1]).requests_grant


def test_another_controller_needs_the_grant_of_every_seed_in_order() -> None:
    own = member("10.0.0.9:1", voter=False)
    bootstrap = Bootstrap(own, (), SEEDS)
    for seed in SEEDS:
        assert not bootstrap.next_query(seed).requests_grant
        bootstrap.record_answer(seed, OBSERVER)
    for at, seed in enumerate(SEEDS):
        assert [bootstrap.next_query(each).requests_grant for each in SEEDS] == [
            other <= at for other in range(len(SEEDS))
        ]
        assert bootstrap.initial_members() == ()
        bootstrap.record_answer(seed, BootstrapAnswer(is_observer=True, is_granted=True))
    assert bootstrap.initial_members() == (replace(own, is_voter=True),)


def test_no_grant_is_requested_while_a_seed_may_be_a_controller() -> None:
    bootstrap = Bootstrap(member("10.0.0.9:1", voter=False), (), SEEDS)
    bootstrap.record_answer(SEEDS[0], OBSERVER)
    bootstrap.record_answer(SEEDS[1], OBSERVER)
    bootstrap.record_answer(SEEDS[2], CONTROLLER)
    assert not any(bootstrap.next_query(seed).requests_grant for seed in SEEDS)
    assert Bootstrap(member("10.0.0.9:1"), (), ()).initial_members() == ()


def test_an_observer_grants_to_one_controller_and_only_at_the_first_start() -> None:
    first, second = BootstrapQuery("a", True), BootstrapQuery("b", True)
    grant = ObserverGrant(is_first_start=True)
    assert not grant.answer(BootstrapQuery("a", False)).is_granted
    assert grant.answer(first) == BootstrapAnswer(True, True)
    assert grant.answer(second) == BootstrapAnswer(True, False)
    assert grant.answer(first).is_granted
    assert not ObserverGrant(is_first_start=False).answer(first).is_granted
    assert not grant.answer(BootstrapQuery("", True)).is_granted
    assert not ObserverGrant(is_first_start=False).answer(BootstrapQuery("", False)).is_granted


@dataclass
class Run:
    """Controllers that are no seeds, and three observers as the only seeds; messages are answered at once."""

    restarted_observers: tuple[int, ...] = ()
    controllers: list[Bootstrap] = field(init=False)
    observers: list[ObserverGrant] = field(default_factory=lambda: [ObserverGrant(True) for _ in SEEDS])
    formed: set[int] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.controllers = [self.create(at) for at in range(3)]

    def create(self, at: int) -> Bootstrap:
        return Bootstrap(member(f"10.0.1.{at}:1", voter=False), (), SEEDS)

    def exchange(self, at: int, seed: int, is_answer_lost: bool) -> None:
        """Let a controller query a seed; its group is then on its disk."""
        answer = self.observers[seed].answer(self.controllers[at].next_query(SEEDS[seed]))
        if not is_answer_lost:
            self.controllers[at].record_answer(SEEDS[seed], answer)
        if self.controllers[at].initial_members():
            self.formed.add(at)

    def play(self, steps: list[tuple[int, int, int]]) -> None:
        """Restart observers as if at the first start, restart controllers, and exchange messages."""
        for kind, at, seed in steps:
            if kind == 0 and seed in self.restarted_observers:
                self.observers[seed] = ObserverGrant(True)
            elif kind == 1:
                self.controllers[at] = self.create(at)
            else:
                self.exchange(at, seed, is_answer_lost=kind == 2)


STEPS = st.lists(st.tuples(st.integers(0, 9), st.integers(0, 2), st.integers(0, 2)), max_size=60)


@settings(max_examples=400, deadline=None)
@given(STEPS)
def test_at_most_one_controller_forms_a_group_whatever_is_lost(steps: list[tuple[int, int, int]]) -> None:
    """Two observers restart again and again, each time as if at the first start; the third never does."""
    run = Run(restarted_observers=(0, 1))
    run.play(steps)
    assert len(run.formed) <= 1


@settings(max_examples=200, deadline=None)
@given(STEPS)
def test_one_controller_forms_a_group_once_messages_arrive(steps: list[tuple[int, int, int]]) -> None:
    run = Run()
    run.play(steps)
    for _ in range(2 * len(SEEDS)):
        for at in range(len(run.controllers)):
            for seed in range(len(SEEDS)):
                run.exchange(at, seed, is_answer_lost=False)
    assert len(run.formed) == 1


def test_messages_are_read_back_and_invalid_ones_are_rejected() -> None:
    for query in (BootstrapQuery("a", True), BootstrapQuery("b", False)):
        assert BootstrapQuery.from_json(query.as_json()) == query
    for answer in (OBSERVER, CONTROLLER, BootstrapAnswer(True, True)):
        assert BootstrapAnswer.from_json(answer.as_json()) == answer
    queries: list[dict[str, object]] = [{}, {"identity": 1, "requests_grant": True}, {"identity": "a"}]
    for data in queries:
        with pytest.raises(InvalidMessageError):
            BootstrapQuery.from_json(data)
    answers: list[dict[str, object]] = [{}, {"observer": 1, "granted": True}, {"answer": None}]
    for data in answers:
        with pytest.raises(InvalidMessageError):
            BootstrapAnswer.from_json(data)
