"""Tests that counters keep the names that operators read on the status page."""

from __future__ import annotations

from brambleusher.dataplane.counters import Counters, RequestCounter
from brambleusher.dataplane.rejection_reason import RejectionReason


def test_the_names_on_the_status_page() -> None:
    counters = Counters()
    for counter in RequestCounter:
        counters.add(counter)
    assert set(counters.as_json()) == {
        "bad_request",
        "broken",
        "client_left",
        "failed",
        "no_route",
        "not_serving",
        "passed_failure",
        "resumed",
        "served",
        "too_large",
    }


def test_rejections_and_failed_attempts_are_counted_by_reason() -> None:
    counters = Counters()
    counters.add_rejection(RejectionReason.NO_INSTANCE)
    counters.add_rejection(RejectionReason.CONNECT_FAILED)
    for _ in range(2):
        counters.add_failed_attempt(RejectionReason.CONNECT_FAILED)
    assert counters.as_json() == {"notreached": 2, "refused_no_instance": 1, "refused_notreached": 1}
    assert [reason.value for reason in RejectionReason] == [
        "",
        "time",
        "ran",
        "no_instance",
        "connections",
        "retry_budget",
        "notreached",
        "rejected",
        "lost",
    ]
