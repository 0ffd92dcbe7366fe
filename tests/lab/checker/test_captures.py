"""Tests of the checker on captures of a sidecar's decisions."""

from __future__ import annotations

import json
from typing import Any

import pytest

from brambleusher.lab.checker.messages import Message, load_report
from tests.lab.checker.synthetic_traffic import MS, A, Traffic


def report_rules(traffic: Traffic, *metrics: float | None) -> list[str]:
    """Return the broken rules if a capture has these metrics while the answer reported 0.5 and 14."""
    conn = traffic.send_request(cls="look")
    claim, body = traffic.send_attempt(cls="look"), traffic.execute()
    traffic.node_answers(claim, "200 OK", body, Server_Load='{"util":0.5,"qps":14}')
    traffic.answer(conn, 200, body)
    end = {"server": A, "status": "ok", "report": list(metrics) or None}
    return check_capture(traffic, {"t_ns": 1, "ev": "attempt", "id": "r1", "in": end, "out": []})


def test_reports_that_the_module_was_told() -> None:
    assert "report" not in report_rules(Traffic(), 0.5, 14.0)
    assert "report" in report_rules(Traffic(), 0.5, 13.0)
    assert "report" in report_rules(Traffic(), None, None)
    assert "report" in report_rules(Traffic())


@pytest.mark.parametrize(
    ("text", "metrics"),
    [
        ('{"util":0.61,"qps":7}', (0.61, 7.0)), ('{"utilization":1,"throughput":2.5}', (1.0, 2.5)),
        ('{"util":-1,"qps":true}', (None, None)), ("[1]", (None, None)), ("q7!", (None, None)),
        ('{"qps":1e999}', (None, None)), ('{"util":0}', (0.0, None)), (None, None),
    ],
)  # fmt: skip
def test_load_reports(text: str | None, metrics: object) -> None:
    headers = [] if text is None else [("server-load", text)]
    assert load_report(Message("HTTP/1.1 200 OK", headers, 0)) == metrics


def check_capture(traffic: Traffic, *records: dict[str, Any]) -> list[str]:
    lines = [json.dumps({"ev": "start", "v": 1}), *map(json.dumps, records), "time=1 level=info"]
    traffic.checker.captured(traffic.now, "m0", "\n".join(lines).encode())
    return [each.rule for each in traffic.checker.breaches]


def record(t_ms: int, ev: str = "request", token: int = 0, timer_ms: int = 0) -> dict[str, Any]:
    actions = [["timer", timer_ms * MS, token]] if timer_ms else []
    return {"t_ns": t_ms * MS, "ev": ev, "in": {"token": token}, "out": actions}


def test_timers_that_came() -> None:
    assert "timers" not in check_capture(
        Traffic(), record(1, timer_ms=100), record(100, "timer", timer_ms=200), record(700)
    )


def test_a_timer_that_never_came() -> None:
    assert "timers" in check_capture(Traffic(), record(1, timer_ms=100), record(601))


def test_a_capture_that_is_refused() -> None:
    assert "replay" in check_capture(Traffic(), record(1))
