"""Attempts: host selection, attempt timeouts, and when a request is given up."""

from __future__ import annotations

import pytest

from brambleusher.loadbalancing import api
from tests.loadbalancing.balancer_builders import build_balancer
from tests.rules import MS, SECOND


def test_where_connections_fail_a_connected_host_is_taken() -> None:
    """While hosts accept few connections, each failed connect would use up one of few attempts."""
    balancer = build_balancer([f"h{n}" for n in range(4)])
    (sent,) = balancer.handle(api.RequestArrived("a", "c", None, 2 * SECOND), MS)
    assert isinstance(sent, api.StartAttempt)
    balancer.handle(api.AttemptEnded("a", 0, sent.host, api.AttemptStatus.OK, 9 * MS, True), 10 * MS)
    balancer.outliers.connect_failures = 2.0
    for n in range(6):
        (again,) = balancer.handle(api.RequestArrived(f"b{n}", "c", None, 2 * SECOND), 20 * MS)
        assert isinstance(again, api.StartAttempt) and again.host == sent.host


@pytest.mark.parametrize(
    ("status", "at_ms", "expected"),
    [
        (api.AttemptStatus.CONNECT_FAILED, 50, api.StartAttempt),
        (api.AttemptStatus.CONNECT_FAILED, 170, api.RejectRequest),
        (api.AttemptStatus.OVERLOADED, 170, api.StartAttempt),  # the request was sent completely
        (api.AttemptStatus.CONNECT_FAILED, 300, api.StartAttempt),  # too late for giving up early
    ],
)
def test_a_request_that_reached_no_host_is_given_up_before_half_of_its_time(
    status: api.AttemptStatus, at_ms: int, expected: type
) -> None:
    """Clients must not be kept waiting for hosts that accept no connections."""
    balancer = build_balancer(["h1", "h2"])
    actions = balancer.handle(api.RequestArrived("q", "c", None, 400 * MS), 0)
    (first,) = [action for action in actions if isinstance(action, api.StartAttempt)]
    ended = api.AttemptEnded("q", 0, first.host, status, at_ms * MS, False)
    actions = balancer.handle(ended, at_ms * MS)
    assert [type(a) for a in actions if not isinstance(a, api.CloseIdleConnections)] == [expected]


@pytest.mark.parametrize(
    ("timeouts", "is_late", "expected_ns"), [(0.0, False, 0), (5.0, True, 0), (5.0, False, 250 * MS)]
)
def test_a_safe_attempt_is_given_up_early_only_where_some_are_never_answered(
    timeouts: float, is_late: bool, expected_ns: int
) -> None:
    """A connection may become unresponsive during a request and stay so until the deadline."""
    balancer = build_balancer(["h1", "h2"])
    balancer.outliers.timeouts = timeouts
    balancer.admission.is_late = is_late
    actions = balancer.handle(api.RequestArrived("q", "c", None, 2 * SECOND), 0)
    (sent,) = [action for action in actions if isinstance(action, api.StartAttempt)]
    assert sent.timeout_ns == expected_ns
