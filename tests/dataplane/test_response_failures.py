"""Tests that failed responses are counted by reason, and that the log names an instance once a second."""

from __future__ import annotations

import logging

import pytest

from brambleusher.dataplane.instance import Instance
from brambleusher.dataplane.response_failures import ResponseFailure, ResponseFailureLog


class Clock:
    """The part of a scheduler that tells the time."""

    now_s = 0.0

    def now(self) -> float:
        return self.now_s


def test_each_failure_is_counted_and_one_a_second_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    clock = Clock()
    failures = ResponseFailureLog(clock)  # type: ignore[arg-type]
    instance = Instance("i1", "llm", ("10.0.0.1", 80), "n1", "north", 8.0)
    with caplog.at_level(logging.WARNING):
        for clock.now_s in (0.0, 0.4, 0.9, 1.0):
            failures.record(ResponseFailure.DEADLINE, instance, 200, 77)
    assert failures.counts == {"deadline": 4}
    assert [record.getMessage() for record in caplog.records] == ["response failed"] * 2
    assert caplog.records[0].__dict__["fields"] == {
        "instance": "i1",
        "service": "llm",
        "reason": "deadline",
        "status": 200,
        "received_bytes": 77,
    }
