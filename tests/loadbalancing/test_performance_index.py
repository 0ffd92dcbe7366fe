"""The performance index of a host."""

from __future__ import annotations

import pytest

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.performance_index import aggregate_pi
from tests.loadbalancing.balancer_builders import build_balancer
from tests.rules import MS, SECOND


def test_aggregated_index_of_the_source() -> None:
    index, count = aggregate_pi([1.6, 1.4, 2.0, 1.8], [25, 175, 100, 100], [0, 1, 2, 3])
    assert index == pytest.approx(1.62, abs=0.005)
    assert count == 400


def test_a_hung_host_loses_its_weight_before_any_time_out() -> None:
    """A host that stops answering also stops reporting its load."""
    balancer = build_balancer(["h1", "h2"])
    now = 0
    for n in range(12):
        now += 40 * MS
        actions = balancer.handle(api.RequestArrived(f"q{n}", "c", None, 2 * SECOND), now)
        for action in actions:
            if isinstance(action, api.StartAttempt) and action.host == "h2":
                balancer.handle(
                    api.AttemptEnded(action.request, 0, "h2", api.AttemptStatus.OK, 10 * MS, True), now
                )
    balancer.handle(api.TimerFired(0), now + 450 * MS)
    weights = {host.name: host.weight for host in balancer.host_table.hosts.values()}
    assert weights["h1"] < 1 and weights["h2"] > 63


def test_the_index_is_relative_when_most_miss_the_goal() -> None:
    """The few hosts that meet the goal must not get all traffic and fail in turn."""
    balancer = build_balancer(["h1", "h2", "h3"])
    for name, index in (("h1", 2.0), ("h2", 2.0), ("h3", 1.4)):
        host = balancer.host_table.hosts[name]
        host.latency_counts, host.latency_ratio_totals = [50.0], [50.0 * index]
    balancer._recompute_weights(SECOND, 0.0)
    assert all(host.weight > 15 for host in balancer.host_table.hosts.values())


def test_one_attempt_that_is_never_answered_is_no_overload() -> None:
    """A few dropped connections used to make whole fleets look late."""
    balancer = build_balancer(["h1"])
    host = balancer.host_table.hosts["h1"]
    for n in range(20):
        balancer.outliers.record_ratio(host, 0, 100.0 if n == 0 else 0.1)
    assert balancer.performance_index.of_host(host, 1) < 0.5
    balancer.handle(api.RequestArrived("q", "c", None, 100 * SECOND), 0)
    assert balancer.performance_index.of_host(host, 50 * SECOND) < 0.7
