"""Outlier detection from attempt outcomes."""

from __future__ import annotations

from brambleusher.loadbalancing import api
from tests.loadbalancing.balancer_builders import build_balancer
from tests.rules import MS, SECOND


def test_a_host_that_takes_no_connection_is_ejected_for_a_while() -> None:
    """Hosts that are down fail quickly, have few attempts in flight, and therefore look idle."""
    balancer = build_balancer(["h1", "h2"])
    balancer.handle(api.RequestArrived("q0", "c", None, 2 * SECOND), 1)
    first = next(a for a in balancer._actions if isinstance(a, api.StartAttempt)).host
    refused = api.AttemptEnded("q0", 0, first, api.AttemptStatus.CONNECT_FAILED, 250 * MS, False)
    (retry,) = [a for a in balancer.handle(refused, 250 * MS) if isinstance(a, api.StartAttempt)]
    assert retry.host != first
    for n in range(1, 7):
        arrived = api.RequestArrived(f"q{n}", "c", None, 2 * SECOND)
        assert [a.host for a in balancer.handle(arrived, 260 * MS) if isinstance(a, api.StartAttempt)] == [
            retry.host
        ]


def test_rejections_do_not_cost_health() -> None:
    """If rejections reduced health, the turns of a full host would fill up the next one."""
    balancer = build_balancer(["h1", "h2"])
    host = balancer.host_table.hosts["h1"]
    balancer.outliers.record_outcome(host, 0, api.AttemptStatus.OVERLOADED, 0, 1)
    assert host.health == 1.0
    balancer.outliers.record_outcome(host, 0, api.AttemptStatus.ERROR, 0, 1)
    assert host.health < 1.0


def test_a_client_that_leaves_early_is_no_failure_of_the_host() -> None:
    balancer = build_balancer(["h1", "h2"])
    host = balancer.host_table.hosts["h1"]
    balancer.outliers.record_outcome(host, 0, api.AttemptStatus.TIMEOUT, 100 * MS, 1)
    assert host.health == 1.0
    balancer.outliers.record_outcome(host, 0, api.AttemptStatus.TIMEOUT, 500 * MS, 1)
    assert host.health < 1.0
