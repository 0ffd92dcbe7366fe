"""Sums of load reports: bounded, expiring, and without the requesting gateway's own report."""

from __future__ import annotations

from typing import Any

import pytest

from brambleusher.controlplane.registry.load_reports import (
    ATTEMPTS_MAX,
    FAILURES_MAX,
    REPORT_TTL_S,
    SUM_INTERVAL_S,
    FleetLoadReports,
    parse_report,
)
from brambleusher.wire.errors import InvalidMessageError

ONE = [2.0, 1.0, 0.5, 2.0, 0.8, 3.0, 0.5, 1.0]


def test_the_sum_excludes_the_gateway_that_asks() -> None:
    reports = FleetLoadReports()
    for name in ("g1", "g2", "g3"):
        reports.record(name, parse_report({"a": ONE}), 0.0)
    reporters, sums = reports.sum_of_others("g1", 0.1)
    assert reporters == 2
    assert sums["a"] == [4.0, 2.0, 1.0, 4.0, 1.6, 6.0, 1.0, 2.0]
    assert reports.sum_of_others("other", 0.1)[0] == 3


def test_old_reports_expire() -> None:
    reports = FleetLoadReports()
    reports.record("g1", parse_report({"a": ONE}), 0.0)
    reports.record("g2", parse_report({"a": ONE}), REPORT_TTL_S)
    assert reports.sum_of_others("x", REPORT_TTL_S + SUM_INTERVAL_S)[0] == 1


def test_no_single_gateway_moves_the_fleet() -> None:
    """Nineteen gateways report a healthy instance, and one reports that every attempt failed."""
    reports = FleetLoadReports()
    for number in range(19):
        reports.record(f"g{number}", parse_report({"a": [5.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.2, 1.0]}), 0.0)
    reports.record("liar", parse_report({"a": [0.0, 1e9, 0.0, 1e9, 1e18, 0.0, 1e9, 1e9]}), 0.0)
    served, failed, _, answers, latency, _, load, weight = reports.sum_of_others("x", 0.1)[1]["a"]
    assert failed <= FAILURES_MAX
    assert served / (served + failed) > 0.95
    assert answers <= ATTEMPTS_MAX
    assert latency <= 4.0 * ATTEMPTS_MAX
    assert load / weight < 0.3


@pytest.mark.parametrize(
    "report",
    [[], {"a": 1}, {"a": [1, 2]}, {"a": [1, 2, 3, 4, 5, "6"]}, {"a": [1, 2, 3, 4, 5, -6]}, {"a": [None] * 8}],
)
def test_a_malformed_report_is_rejected(report: Any) -> None:
    with pytest.raises(InvalidMessageError):
        parse_report(report)
