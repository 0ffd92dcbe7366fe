"""Abandoned waits for the first byte as evidence about an instance."""

from __future__ import annotations

import random

import pytest

from benchmarks.hung_instance import Play
from brambleusher.loadbalancing.first_byte_survival import MIN_SURVIVAL, AbandonedWaits, FirstByteSurvival
from brambleusher.loadbalancing.instance_weights import InstanceWeights

TARGET_S = 0.5


def survival_of(ratios: list[float], abandoned: list[float] | None = None) -> FirstByteSurvival:
    made = FirstByteSurvival()
    for ratio in ratios:
        made.record_answer(ratio)
    for ratio in abandoned or []:
        made.record_abandoned(ratio)
    return made


def test_without_answers_every_wait_is_usual() -> None:
    assert FirstByteSurvival().survival(3.0) == 1.0
    assert survival_of([0.1] * 9).survival(3.0) == 1.0


def test_the_share_of_longer_answers_is_counted() -> None:
    seen = survival_of([0.12] * 50 + [0.45] * 50)
    assert seen.survival(0.04) == 1.0
    assert seen.survival(0.3) == pytest.approx(0.5)
    assert seen.survival(0.5) == MIN_SURVIVAL


def test_waits_that_were_ended_early_do_not_make_answers_look_quick() -> None:
    """Half of all answers are slow, and most of their clients leave at 0.3; these waits must count."""
    seen = survival_of([0.12] * 50 + [0.45] * 5, [0.3] * 45)
    assert seen.survival(0.3) == pytest.approx(0.5)


def test_old_evidence_fades() -> None:
    seen = survival_of([0.45] * 1000)
    for _ in range(2000):
        seen.record_answer(0.12)
    assert seen.survival(0.3) == MIN_SURVIVAL


def test_waits_that_overlap_count_once() -> None:
    waits = AbandonedWaits()
    for sent_s in (1.0, 1.05, 1.1):
        waits.add(sent_s, sent_s + 0.2, 0.4, -2.0)
    assert waits.log_survival == -2.0
    waits.add(1.2, 1.4, 0.4, -2.0)
    assert waits.log_survival == -4.0
    assert waits.clear() == [0.4] * 4
    assert (waits.log_survival, waits.ratios) == (0.0, [])


def is_unresponsive_after(waits: int, answer_after: int | None = None) -> InstanceWeights:
    """Create two instances with a history, then let clients abandon requests at `b` one after another."""
    weights = InstanceWeights(random.Random(1))
    weights.set_instances({"a": 8.0, "b": 8.0})
    now = 0.0
    for number in range(60):
        name = "ab"[number % 2]
        attempt = weights.start_attempt(name, 0, TARGET_S, now)
        weights.record_first_byte(name, attempt, now + 0.1)
        weights.finish_attempt(name, attempt, True)
        now += 0.2
    for number in range(waits):
        attempt = weights.start_attempt("b", 0, TARGET_S, now)
        if number == answer_after:
            weights.record_first_byte("b", attempt, now + 0.1)
        weights.abandon_attempt("b", attempt, now + 0.15)
        now += 0.2
    for at in (now - 1.0, now):  # weights are updated at the second of two ticks
        weights.recompute(at, 1.0)
    return weights


NOW_S = 12.0  # time in seconds when the clients begin to leave


def test_clients_that_all_leave_early_do_not_hide_a_hung_instance() -> None:
    assert not is_unresponsive_after(4).is_unresponsive("b", NOW_S + 0.8)
    weights = is_unresponsive_after(5)
    assert weights.is_unresponsive("b", NOW_S + 1.0)
    assert weights.weights()["b"] == 0.0
    assert not weights.is_unresponsive("a", NOW_S + 1.0)
    assert not weights.is_unresponsive("b", NOW_S + 6.0)  # the next request shows whether it still hangs


def test_an_answer_in_between_clears_it() -> None:
    assert not is_unresponsive_after(8, answer_after=4).is_unresponsive("b", NOW_S + 1.6)


@pytest.mark.parametrize("leaves_at", [0.3, 0.5])
def test_a_hung_instance_gets_a_fraction_of_its_share(leaves_at: float) -> None:
    play = Play(1, 20.0, leaves_at, 20.0, 50.0).run()
    assert len(play.sent_to_hung) < 25  # an even share would be 100


@pytest.mark.parametrize("leaves_at", [0.3, 0.5])
def test_no_sound_instance_is_passed_over_for_it_in_an_hour_of_long_answers(leaves_at: float) -> None:
    assert Play(1, 20.0, leaves_at, 3600.0, 3600.0).run().false_alarms == 0
