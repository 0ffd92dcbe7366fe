"""Instance weights and tokens at a gateway, including cases that the source leaves open."""

from __future__ import annotations

import random

import pytest

from brambleusher.loadbalancing.instance_metrics import HEALTH_POWER, TICK_S
from brambleusher.loadbalancing.instance_weights import OTHERS_FRESH_S, InstanceWeights

LATENCY_TARGET_S = 0.5


def weights_of(*names: str, capacity: float = 64.0) -> InstanceWeights:
    weights = InstanceWeights(random.Random(1))
    weights.set_instances(dict.fromkeys(names, capacity))
    weights.recompute(0.0, 1.0)
    return weights


def send(
    weights: InstanceWeights, name: str, now: float, latency: float = 0.05, succeeds: bool = True
) -> None:
    attempt = weights.start_attempt(name, 0, LATENCY_TARGET_S, now)
    if succeeds:
        weights.record_first_byte(name, attempt, now + latency)
    weights.finish_attempt(name, attempt, succeeds)


def ticks(weights: InstanceWeights, begin: float, count: int) -> float:
    for step in range(1, count + 1):
        weights.recompute(begin + step * TICK_S, 1.0)
    return begin + count * TICK_S


def test_instances_without_figures_share_equally() -> None:
    assert weights_of("a", "b", "c", "d").weights() == dict.fromkeys("abcd", 16.0) | {}


def test_the_less_used_instance_gets_more() -> None:
    weights = weights_of("a", "b", capacity=4.0)
    for _ in range(3):
        weights.start_attempt("a", 0, 1000.0, 0.0)
    send(weights, "b", 0.0)
    ticks(weights, 0.0, 200)
    assert weights.weights()["b"] == pytest.approx(4 * weights.weights()["a"], rel=0.1)


def test_a_full_instance_gets_nothing() -> None:
    weights = weights_of("a", "b", capacity=2.0)
    for _ in range(2):
        weights.start_attempt("a", 0, 1000.0, 0.0)
    send(weights, "b", 0.0)
    ticks(weights, 0.0, 400)
    assert weights.weights()["a"] == 0.0


@pytest.mark.parametrize(
    ("latency", "factor"),
    [(0.4 * LATENCY_TARGET_S, 1.0), (1.25 * LATENCY_TARGET_S, 0.75), (1.6 * LATENCY_TARGET_S, 0.0)],
)
def test_the_index_cuts(latency: float, factor: float) -> None:
    weights = weights_of("a", "b")
    for _ in range(200):
        send(weights, "a", 0.0, latency)
        send(weights, "b", 0.0, 0.1 * LATENCY_TARGET_S)
    ticks(weights, 0.0, 1)
    shares = weights.weights()
    assert shares["a"] / shares["b"] == pytest.approx(factor, abs=0.02)


def test_health_scales() -> None:
    weights = weights_of("a", "b")
    for turn in range(100):
        send(weights, "a", 0.0, succeeds=turn % 2 == 0)
        send(weights, "b", 0.0)
    ticks(weights, 0.0, 1)
    shares = weights.weights()
    assert shares["a"] / shares["b"] == pytest.approx(0.5**HEALTH_POWER, rel=0.2)


def test_weights_add_up_to_64_and_all_zero_become_equal() -> None:
    weights = weights_of("a", "b")
    for name in "ab":
        for _ in range(50):
            send(weights, name, 0.0, 3 * LATENCY_TARGET_S)
    ticks(weights, 0.0, 1)
    assert weights.weights() == {"a": 32.0, "b": 32.0} or set(weights.weights().values()) == {32.0}


def test_an_instance_that_hangs_loses_weight_though_its_figures_are_old() -> None:
    """A hung instance keeps good but outdated metrics, so the age of its unanswered attempts counts."""
    weights = weights_of("a", "b")
    for _ in range(20):
        send(weights, "a", 0.0)
        send(weights, "b", 0.0)
    for _ in range(5):
        weights.start_attempt("a", 0, LATENCY_TARGET_S, 0.1)
    ticks(weights, 0.0, 2)
    assert weights.weights()["a"] == 0.0


def test_tokens_go_by_weight() -> None:
    weights = weights_of("a", "b", "c")
    chosen = [weights.choose(["a", "b", "c"], 0.0) for _ in range(30)]
    assert [chosen.count(name) for name in "abc"] == [10, 10, 10]


def test_candidates_without_tokens_borrow_and_reload_nothing() -> None:
    """Placement may leave only candidates without tokens while other instances still have some."""
    weights = weights_of("a", "b", "c")
    assert weights.choose(["a"], 0.0) == "a"
    for _ in range(5):
        assert weights.choose(["a"], 0.0) == "a"
    assert {weights.choose(["b", "c"], 0.0), weights.choose(["b", "c"], 0.0)} == {"b", "c"}


def test_no_candidates_no_choice() -> None:
    assert weights_of("a").choose([], 0.0) is None
    assert weights_of("a").choose(["gone"], 0.0) is None


def test_an_instance_that_holds_more_than_its_share_is_passed_over() -> None:
    weights = weights_of("a", "b", "c", "d")
    for _ in range(8):
        weights.start_attempt("a", 0, LATENCY_TARGET_S, 0.0)
    assert "a" not in {weights.choose(["a", "b", "c", "d"], 0.0) for _ in range(3)}


def test_those_that_leave_lose_weight_and_tokens_at_once() -> None:
    weights = weights_of("a", "b")
    attempt = weights.start_attempt("a", 0, LATENCY_TARGET_S, 0.0)
    weights.set_instances({"b": 64.0})
    assert weights.weights() == {"b": 64.0}
    assert weights.choose(["a", "b"], 0.0) == "b"
    assert weights.choose(["a"], 0.0) is None
    weights.finish_attempt("a", attempt, True)
    weights.set_instances({"b": 64.0})
    assert weights.attempts_in_flight("a") == 0


def test_the_weight_of_a_moment_is_a_cut_for_tokens() -> None:
    weights = weights_of("a", "b", "c", "d")
    weights.choose(["a"], 0.0)
    for _ in range(30):
        send(weights, "b", 0.0, succeeds=False)
    ticks(weights, 0.0, 1)
    chosen_names = [weights.choose(["a", "b", "c", "d"], 0.0) for _ in range(16)]
    assert chosen_names.count("b") <= 2


BAD = [10.0, 8.0, 0.0, 0.0, 0.0, 0.0]
GOOD = [18.0, 0.0, 0.0, 0.0, 0.0, 0.0]


def test_what_others_saw_judges_an_instance_that_this_gateway_never_used() -> None:
    weights = weights_of("a", "b")
    weights.import_totals(20, {"a": BAD, "b": GOOD}, 0.4)
    weights.recompute(0.5, 21.0)
    shares = weights.weights()
    assert shares["a"] < shares["b"] / 10


def test_without_news_of_others_a_gateway_judges_alone_again() -> None:
    weights = weights_of("a", "b")
    weights.import_totals(20, {"a": BAD, "b": GOOD}, 0.4)
    ticks(weights, 0.0, int(OTHERS_FRESH_S / TICK_S) + 2)
    assert weights.weights() == {"a": 32.0, "b": 32.0}


def test_own_failures_count_against_good_news_of_others() -> None:
    """A gateway that is cut off from an instance sees failures that others do not."""
    weights = weights_of("a", "b")
    weights.import_totals(20, {"a": GOOD, "b": GOOD}, 0.0)
    for _ in range(12):
        send(weights, "a", 0.0, succeeds=False)
    weights.import_totals(20, {"a": GOOD, "b": GOOD}, 0.4)
    weights.recompute(0.5, 21.0)
    assert weights.weights()["a"] < weights.weights()["b"] / 4


def test_a_report_says_what_was_seen_and_nothing_of_the_rest() -> None:
    weights = weights_of("a", "b")
    send(weights, "a", 0.0, 0.1)
    send(weights, "a", 0.0, succeeds=False)
    ticks(weights, 0.0, 1)
    report = weights.export_totals()
    assert set(report) == {"a"}
    served, failed, *_ = report["a"]
    assert 0 < failed <= 1
    assert served >= 0


def test_a_silent_instance_is_passed_over_before_the_next_recompute() -> None:
    weights = weights_of("a", "b", "c")
    for name in "bc":
        send(weights, name, 0.0)
    weights.start_attempt("a", 0, LATENCY_TARGET_S, 0.1)
    chosen = {weights.choose(["a", "b", "c"], 0.1 + 0.7 * LATENCY_TARGET_S) for _ in range(6)}
    assert chosen == {"b", "c"}


def test_a_hung_instance_is_known_though_its_clients_leave() -> None:
    weights = weights_of("a", "b")
    attempt = weights.start_attempt("a", 0, LATENCY_TARGET_S, 1.0)
    weights.abandon_attempt("a", attempt, 1.0 + 2 * LATENCY_TARGET_S)
    assert weights.attempts_in_flight("a") == 0
    assert {weights.choose(["a", "b"], 2.1) for _ in range(10)} == {"b"}


def test_a_client_that_leaves_early_says_nothing_against_its_instance() -> None:
    weights = weights_of("a", "b")
    for _ in range(5):
        weights.abandon_attempt(
            "a", weights.start_attempt("a", 0, LATENCY_TARGET_S, 1.0), 1.0 + LATENCY_TARGET_S / 2
        )
    assert {weights.choose(["a", "b"], 2.1) for _ in range(10)} == {"a", "b"}


def test_an_answer_ends_what_an_abandoned_wait_says_and_so_does_time() -> None:
    weights = weights_of("a", "b")
    for now in (1.0, 10.0):
        weights.abandon_attempt(
            "a", weights.start_attempt("a", 0, LATENCY_TARGET_S, now), now + 4 * LATENCY_TARGET_S
        )
    assert {weights.choose(["a", "b"], 12.1) for _ in range(10)} == {"b"}
    assert {weights.choose(["a", "b"], 16.5) for _ in range(10)} == {"a", "b"}
    weights.abandon_attempt("a", weights.start_attempt("a", 0, LATENCY_TARGET_S, 20.0), 22.0)
    send(weights, "a", 22.0)
    assert {weights.choose(["a", "b"], 22.2) for _ in range(10)} == {"a", "b"}


def test_a_wait_that_ends_after_the_first_byte_says_nothing() -> None:
    weights = weights_of("a", "b")
    attempt = weights.start_attempt("a", 0, LATENCY_TARGET_S, 1.0)
    weights.record_first_byte("a", attempt, 1.1)
    weights.abandon_attempt("a", attempt, 9.0)
    assert weights.attempts_in_flight("a") == 0
    assert {weights.choose(["a", "b"], 9.1) for _ in range(10)} == {"a", "b"}
