"""Tests that responses to operators and their tools equal those recorded with commit 49e18d4.

The recordings cover endpoints, pages, counters and metrics.
"""

from __future__ import annotations

import hashlib
import json
from pathlib import Path
from typing import Any

import pytest

from tests.recorded import gateway_day, sidecar_day, system_day

RECORDED = Path(__file__).parent / "recorded" / "answers"
SIDECAR: dict[str, Any] = json.loads((RECORDED / "sidecar.json").read_bytes())
SYSTEM: dict[str, Any] = json.loads((RECORDED / "system.json").read_bytes())

GATEWAY: dict[str, Any] = json.loads((RECORDED / "gateway.json").read_bytes())


@pytest.fixture(scope="module")
def answers() -> dict[str, Any]:
    return system_day.play()


@pytest.mark.parametrize("name", list(SYSTEM))
def test_the_system_answers_alike(name: str, answers: dict[str, Any]) -> None:
    assert answers[name] == SYSTEM[name]


def test_the_system_was_asked_the_same(answers: dict[str, Any]) -> None:
    assert list(answers) == list(SYSTEM)


@pytest.mark.parametrize("form", ["statsd", "influx"])
def test_a_sidecar_reports_the_same_metrics(form: str) -> None:
    """Compares names, tags, values and times of all lines; first lines per name help to find differences."""
    day = sidecar_day.play(form)
    lines: list[str] = day["metrics"]
    first: dict[str, str] = {}
    for line in lines:
        first.setdefault(line.split(":")[0].split(",")[0], line)
    expected = SIDECAR[form]["metrics"]
    assert first == expected["first"]
    assert len(lines) == expected["count"]
    assert hashlib.sha256("\n".join(lines).encode()).hexdigest() == expected["sha256"]


def test_a_sidecar_answers_alike_and_counts_alike() -> None:
    day = sidecar_day.play("statsd")
    for answer, expected in zip(day["answers"], SIDECAR["answers"], strict=True):
        assert list(answer) == expected
    for counters, expected in zip(day["counters"], SIDECAR["counters"], strict=True):
        assert list(counters.items()) == list(expected.items())


@pytest.mark.parametrize("scenario", gateway_day.FAILURE_SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_a_gateway_answers_and_counts_alike_in_trouble(scenario: gateway_day.FailureScenario) -> None:
    assert gateway_day.play(scenario) == GATEWAY[scenario.__name__]


def test_every_trouble_is_recorded() -> None:
    assert [scenario.__name__ for scenario in gateway_day.FAILURE_SCENARIOS] == list(GATEWAY)
