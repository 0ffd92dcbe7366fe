"""Admission control: the limit on attempts in flight, and the choice of requests by value."""

from __future__ import annotations

import pytest

from brambleusher.loadbalancing import Balancer, api
from tests.loadbalancing.balancer_builders import REQUEST_CLASS, build_balancer, host_entry
from tests.rules import MS, SECOND


def test_overload_rejects_the_least_valuable_first() -> None:
    """The number in flight is bounded; without a bound queues grow until every answer is late."""
    low = api.RequestClass("low", 500 * MS, 2 * SECOND, 1.0)
    high = api.RequestClass("high", 500 * MS, 2 * SECOND, 10.0)
    balancer = Balancer(api.Settings(zone="a", classes=(low, high), fleet_size=1, is_value_by_work=True), 3)
    balancer.start(0)
    balancer.handle(api.HostListUpdated(api.ListKind.SAVED, [host_entry("h1"), host_entry("h2")]), 0)
    now, admitted = 0, {"low": 0, "high": 0}
    for n in range(400):
        now += 10 * MS
        name = "low" if n % 2 else "high"
        for action in balancer.handle(api.RequestArrived(f"q{n}", name, None, 2 * SECOND), now):
            if isinstance(action, api.StartAttempt) and n >= 200:
                admitted[name] += 1
        if n % 5 == 0 and balancer.attempts.requests:
            oldest = next(iter(balancer.attempts.requests.values()))
            host, sent, _ = oldest.attempts[0]
            ended = api.AttemptEnded(
                oldest.id, 0, host.name, api.AttemptStatus.OK, now - sent, True, api.LoadReport(1.0, 10.0)
            )
            balancer.handle(ended, now)
        if n % 6 == 0:
            balancer.handle(api.TimerFired(0), now)
    assert admitted["high"] > 1.5 * admitted["low"]
    assert admitted["low"] + admitted["high"] < 120


def test_a_fleet_warming_up_completely_is_admitted_by_what_it_carries() -> None:
    """After a restart of every host, each one used to get a single request until all were warm."""
    settings = api.Settings(
        zone="a",
        classes=(REQUEST_CLASS,),
        fleet_size=1,
        warm_up_ns=20 * SECOND,
        initial_capacity=0.5,
        overload_multiple=3.0,
    )
    balancer = Balancer(settings, 3)
    balancer.start(SECOND)
    fresh = [host_entry("h1", started_ns=SECOND), host_entry("h2", started_ns=SECOND)]
    balancer.handle(api.HostListUpdated(api.ListKind.SAVED, fresh), SECOND)
    now, sent = SECOND, 0
    for n in range(100):
        now += 40 * MS
        for action in balancer.handle(api.RequestArrived(f"q{n}", "c", None, SECOND), now):
            if isinstance(action, api.StartAttempt):
                sent += 1
                ended = api.AttemptEnded(
                    action.request,
                    0,
                    action.host,
                    api.AttemptStatus.OK,
                    10 * MS,
                    True,
                    api.LoadReport(0.5, 10.0),
                )
                balancer.handle(ended, now)
        balancer.handle(api.TimerFired(0), now)
    assert sent > 50


def test_a_small_proxy_rejects_the_part_that_has_no_slot() -> None:
    """Hundreds of proxies with one slot each must not fill every queue together."""
    balancer = build_balancer(["h1"])
    balancer.admission.sorted_densities = [float(n) for n in range(100)]
    balancer.admission.limit, balancer.admission.offered_load, balancer.admission.is_late = 0.4, 1.0, True
    assert not balancer._admits(59.0) and balancer._admits(61.0)
    balancer.admission.is_late = False
    balancer.admission.rejections_long = 2.0  # hosts that reject attempts bound their own queues
    assert balancer._admits(59.0)


def test_a_proxy_that_was_idle_admits_its_first_burst() -> None:
    """A burst after an idle period must not meet the idle proxy's limit of one attempt per host."""
    balancer = build_balancer([f"h{n}" for n in range(12)])
    for n in range(8):
        balancer.handle(api.TimerFired(0), n * SECOND // 2)
    for n in range(30):
        (action,) = balancer.handle(api.RequestArrived(f"q{n}", "c", None, 2 * SECOND), 4 * SECOND)
        assert isinstance(action, api.StartAttempt)


def test_the_limit_leaves_an_attempt_a_host() -> None:
    """A low limit must not keep itself low by the few attempts it admits while hosts are idle."""
    balancer = build_balancer(["h1", "h2", "h3", "h4"])
    for host in balancer.host_table.hosts.values():
        host.throughput_sum, host.utilisation_sum = 1000.0, 10.0
        host.utilisation, host.throughput, host.reported_ns = 0.01, 1.0, 1
    balancer.traffic.answer_counts, balancer.traffic.latency_totals_ns = [100.0], [100.0 * 100 * MS]
    balancer.admission.outcomes = 100.0
    balancer.traffic.unloaded_latency_ns, balancer.admission.limit = [100.0 * MS], 100.0
    balancer._recompute_weights(1, 0.0)
    for host in balancer.host_table.hosts.values():
        host.performance_index = 2.0  # late, since some attempts are never answered
    for _ in range(80):
        balancer._update_admission_limit(0.125)
    assert balancer.admission.limit == pytest.approx(4.0)
