"""Tests of the checker on synthetic traffic that keeps or breaks each rule."""

from __future__ import annotations

import pytest

from brambleusher.lab.checker.rules import RULES
from tests.lab.checker import (
    answer_cases,
    bad_client_cases,
    cold_node_cases,
    connection_cases,
    drain_cases,
    forwarded_request_cases,
    non_idempotent_cases,
    operator_cases,
    recovery_cases,
)
from tests.lab.checker.drain_cases import send_after_drain
from tests.lab.checker.recovery_cases import after_faults
from tests.lab.checker.synthetic_traffic import B, S, Traffic
from tests.lab.checker.wire_cases import WireCase


@pytest.mark.parametrize(("lost", "rules"), [(1, []), (2, ["recovery"])])
def test_who_is_not_let_in_is_not_served(lost: int, rules: list[str]) -> None:
    traffic = Traffic()
    after_faults(traffic, 10, 10, 3)
    before = [(10 * S, "long before")] * 9
    found = traffic.checker.finish(traffic.now + 60 * S, (), before + [(traffic.now, "r99")] * lost)
    assert [each.rule for each in found] == rules


CASES = [
    *answer_cases.CASES,
    *non_idempotent_cases.CASES,
    *drain_cases.CASES,
    *connection_cases.CASES,
    *forwarded_request_cases.CASES,
    *bad_client_cases.CASES,
    *cold_node_cases.CASES,
    *operator_cases.CASES,
    *recovery_cases.CASES,
]


@pytest.mark.parametrize("case", CASES, ids=[case.name for case in CASES])
def test_wire(case: WireCase) -> None:
    traffic = Traffic()
    case.play(traffic)
    found = traffic.end()
    assert found == ([case.rule] if case.rule else []), "\n".join(map(str, traffic.checker.breaches))


def test_every_rule_can_be_broken() -> None:
    elsewhere = {"left-over", "replay", "timers", "report"}
    assert {case.rule for case in CASES if case.rule} == set(RULES) - elsewhere


def test_left_over() -> None:
    traffic = Traffic()
    (breach,) = traffic.checker.finish(traffic.now, ["n0: 1 tickets"])
    assert breach.rule == "left-over" and "1 tickets" in str(breach)


def test_a_breach_tells_what_led_to_it() -> None:
    traffic = Traffic()
    send_after_drain(traffic, 500_000_001)
    text = str(traffic.checker.breaches[0])
    assert "first byte 1 ns too late" in text
    assert "is told changes, version 8" in text and "a Terminating" in text


def test_a_breach_tells_the_life_of_its_request() -> None:
    traffic = Traffic()
    conn = traffic.send_request()
    traffic.checker.ended(traffic.now, traffic.send_attempt(), "client", "reset")
    traffic.node_answers(traffic.send_attempt(node=B), "503 X", Not_Started="1")
    traffic.answer(conn, 503)
    first, second = traffic.checker.breaches
    assert (first.rule, second.rule) == ("repeat", "refusal")
    for line in (
        "n0 takes r1 from 10.9.0.1", "first byte to a at", "written whole to a at",
        "a at 10.1.0.1:9000 ended it",
        "sent again to b", "503 from b at 10.1.0.2:9000, not started", "n0 answers 503",
    ):  # fmt: skip
        assert line in str(second), line
