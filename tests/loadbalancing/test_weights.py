"""Weights of hosts: spare capacity, index and health."""

from __future__ import annotations

import pytest

from brambleusher.loadbalancing import Balancer, api
from brambleusher.loadbalancing.weights import final_weights
from tests.loadbalancing.balancer_builders import (
    REQUEST_CLASS,
    build_balancer,
    host_entry,
    serve_with_reports,
)
from tests.rules import MS, SECOND


def test_final_weights_of_the_source() -> None:
    weights = final_weights([16, 16, 12, 20], [0.8, 1.0, 1.4, 1.6], [1.0] * 4)
    assert [round(weight) for weight in weights] == [26, 26, 12, 0]


def test_all_zero_weights_become_equal() -> None:
    assert final_weights([1, 1], [2.0, 2.0], [1.0, 1.0]) == [32.0, 32.0]
    assert final_weights([], [], []) == []


def test_health_multiplies() -> None:
    assert final_weights([1, 1], [0, 0], [1.0, 0.5]) == pytest.approx([64 / 1.5, 32 / 1.5])


def test_spare_capacity_decides_and_an_unreported_host_counts_as_the_median() -> None:
    balancer = build_balancer(["h1", "h2", "h3", "h4"])
    serve_with_reports(balancer, {"h1": (0.5, 10.0), "h2": (0.5, 20.0), "h3": (0.5, 30.0)})
    weights = {host.name: host.weight for host in balancer.host_table.hosts.values()}
    assert weights["h2"] == pytest.approx(2 * weights["h1"], rel=0.05)
    assert weights["h3"] == pytest.approx(3 * weights["h1"], rel=0.05)
    assert weights["h4"] == pytest.approx(weights["h2"], rel=0.05)
    assert sum(weights.values()) == pytest.approx(64)


def test_without_spare_capacity_weights_go_by_capacity() -> None:
    balancer = build_balancer(["h1", "h2"])
    serve_with_reports(balancer, {"h1": (1.0, 10.0), "h2": (1.0, 30.0)})
    weights = {host.name: host.weight for host in balancer.host_table.hosts.values()}
    assert weights["h2"] == pytest.approx(3 * weights["h1"], rel=0.05)


def test_malformed_reports_are_ignored_and_extreme_ones_clamped() -> None:
    balancer = build_balancer(["h1", "h2"])
    host = balancer.host_table.hosts["h1"]
    for util, qps in ((None, 5.0), (0.5, None), (float("nan"), 5.0), (0.5, float("inf"))):
        balancer.capacity.record_report(host, api.LoadReport(util, qps), 1)
    assert host.reported_ns == -1
    balancer.capacity.record_report(host, api.LoadReport(7.0, -3.0), 1)
    assert (host.utilisation, host.throughput_sum) == (1.0, 0.0)


def test_an_answer_without_its_report_counts_as_busy() -> None:
    """Hosts may stop reporting when they are busy; the last report is then no sign of spare capacity."""
    balancer = build_balancer(["h1"])
    for n, report in enumerate((api.LoadReport(0.2, 10.0), None)):
        balancer.handle(api.RequestArrived(f"q{n}", "c", None, 2 * SECOND), n * SECOND)
        ended = api.AttemptEnded(f"q{n}", 0, "h1", api.AttemptStatus.OK, 9 * MS, True, report)
        balancer.handle(ended, n * SECOND + 9 * MS)
        assert balancer.host_table.hosts["h1"].utilisation == (0.2 if report else 0.75)


def test_spill_waits_for_local_use_and_for_idler_zones() -> None:
    """Equally busy zones gain nothing by exchanging work, so no price should be paid for it."""
    settings = api.Settings(zone="a", classes=(REQUEST_CLASS,), fleet_size=1, cross_zone_price=0.2)
    balancer = Balancer(settings, 3)
    balancer.handle(api.HostListUpdated(api.ListKind.SAVED, [host_entry("h1"), host_entry("h2", "b")]), 0)
    here, there = balancer.host_table.hosts["h1"], balancer.host_table.hosts["h2"]
    remote = {}
    for label, util, away in (("idle", 0.3, 0.3), ("busy", 0.95, 0.3), ("both", 0.95, 1.0)):
        balancer.cross_zone_spill.fraction = 0.5
        for host, use in ((here, util), (there, away)):
            host.throughput_sum, host.utilisation_sum = 100.0 * use, use
            host.utilisation, host.reported_ns, host.throughput = use, SECOND, 100.0 * use
        balancer._recompute_weights(SECOND, 0.5)
        remote[label] = balancer.cross_zone_spill.fraction
    assert remote["idle"] < 0.5 < remote["busy"]
    assert remote["both"] <= 0.5
