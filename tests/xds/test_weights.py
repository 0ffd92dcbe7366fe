"""Tests of endpoint weights, and of the load reports that they follow."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest
from envoy.service.load_stats.v3 import lrs_pb2
from hypothesis import given
from hypothesis import strategies as st

from brambleusher.loadbalancing import Balancer, api
from brambleusher.loadbalancing.fleet_balancer import (
    FleetBalancer,
    HostStatus,
    ReportedOutcomes,
    host_statuses,
    scale_counts,
)
from brambleusher.loadbalancing.locality_weights import MEAN_WEIGHT, WeightDamper, WeightRounder
from brambleusher.loadbalancing.settings import parse_settings
from brambleusher.xds.errors import ProtocolError
from brambleusher.xds.wire import decode_load_report
from tests.rig import SETTINGS
from tests.xds.control_builders import MS, SECOND, core_with, endpoint


def entries(count: int) -> list[api.HostEntry]:
    return [api.HostEntry(f"n{at:02}", "z", "k", 0, api.HostState.READY) for at in range(count)]


def test_without_reports_weights_are_those_of_a_sidecar_without_reports() -> None:
    parsed = replace(parse_settings(SETTINGS), connection_price=0.0)
    fleet, sidecar = FleetBalancer(parsed, 1), Balancer(parsed, 1)
    for each in (fleet, sidecar):
        each.start(0)
        # Twelve hosts are the minimum that a sidecar uses.
        each.handle(api.HostListUpdated(api.ListKind.FULL, entries(12)), 0)
        each.handle(api.TimerFired(0), SECOND)
    mine, theirs = ([host_status.weight for host_status in host_statuses(each)] for each in (fleet, sidecar))
    assert mine == pytest.approx(theirs) and min(mine) > 0


def test_reports_and_outcomes_move_weights_as_the_rules_have_it() -> None:
    parsed = parse_settings(SETTINGS)
    fleet = FleetBalancer(parsed, 1)
    fleet.start(0)
    fleet.handle(api.HostListUpdated(api.ListKind.FULL, entries(40)), 0)
    now = 0
    for _ in range(8):
        now += SECOND // 2
        for at, entry in enumerate(entries(40)):
            busy = api.LoadReport(0.95 if at == 0 else 0.4, 100.0)
            failed, latency = (30 if at == 1 else 0), (900 * MS if at == 2 else 100 * MS)
            fleet.record_outcomes(
                ReportedOutcomes(entry.host, "look", 30 - failed, failed, latency, busy), now
            )
        fleet.handle(api.TimerFired(0), now)
    weights = {each.host: each.weight for each in host_statuses(fleet)}
    usual = weights["n10"]
    assert usual > 0 and weights["n00"] < usual / 2  # n00 reports a high load
    assert weights["n01"] < usual / 2 and weights["n02"] < usual / 2  # n01 fails, and n02 is slow
    fleet.record_outcomes(ReportedOutcomes("nobody", "look", 1, 1), now)
    fleet.record_outcomes(ReportedOutcomes("n03", "no class", 1, 1), now)


@given(st.integers(0, 10**9), st.integers(0, 10**9))
def test_many_attempts_count_as_a_few_in_proportion(served: int, failed: int) -> None:
    good, bad = scale_counts(served, failed)
    assert good >= 0 and bad >= 0 and good + bad == min(served + failed, 64)
    assert (bad > 0) == (failed > 0)


def test_rounding_stays_until_a_weight_has_moved() -> None:
    rounder = WeightRounder(0.1)

    def host_status(name: str, weight: float, state: api.HostState = api.HostState.READY) -> HostStatus:
        return HostStatus(name, "z", state, weight, 0.0, 1.0, None)

    first = rounder.round(
        [host_status("a", 32), host_status("b", 32), host_status("c", 0, api.HostState.DRAINING)]
    )
    assert [(share.weight, share.is_draining) for share in first] == [
        (MEAN_WEIGHT, False),
        (MEAN_WEIGHT, False),
        (0, True),
    ]
    assert rounder.round([host_status("a", 33), host_status("b", 31)]) == first[:2]
    moved = rounder.round([host_status("a", 64), host_status("b", 0.001)])
    assert [share.weight for share in moved] == [2 * MEAN_WEIGHT, 1]
    assert [share.weight for share in rounder.round([host_status("a", 64), host_status("b", 0.0)])] == [
        2 * MEAN_WEIGHT,
        0,
    ]


@pytest.mark.parametrize("use", [0.3, 0.6, 0.8, 0.9])
def test_weights_that_are_followed_blindly_settle(use: float) -> None:
    """Guards against oscillating weights: nodes differ in capacity, and their load follows old weights."""
    capacity = {"a": 60.0, "b": 100.0, "c": 140.0, "d": 100.0}
    offered = use * sum(capacity.values())
    damper = WeightDamper()
    weight = dict.fromkeys(capacity, 16.0)
    for _ in range(60):
        total = sum(weight.values())
        util = {name: min(1.0, offered * weight[name] / total / size) for name, size in capacity.items()}
        spare = {name: size * (1 - util[name]) + 1e-6 for name, size in capacity.items()}
        goal = {name: 64 * each / sum(spare.values()) for name, each in spare.items()}
        states = [
            HostStatus(name, "z", api.HostState.READY, each, 0.0, 1.0, util[name])
            for name, each in goal.items()
        ]
        weight = {each.host: each.weight for each in damper.follow(states, step=True)}
    assert max(util.values()) - min(util.values()) < 0.05
    gone = [replace(each, weight=0.0) for each in states[:1]] + states[1:]
    assert [each.weight for each in damper.follow(gone, step=False)] == [0.0, *list(weight.values())[1:]]


def test_reports_of_both_kinds_are_read_and_nonsense_passed_over(tmp_path: Path) -> None:
    report = lrs_pb2.LoadStatsRequest()
    report.node.id = "p"
    cluster = report.cluster_stats.add(cluster_name="look")
    part = cluster.upstream_locality_stats.add()
    each = part.upstream_endpoint_stats.add(total_successful_requests=9, total_error_requests=1)
    each.address.socket_address.address, each.address.socket_address.port_value = "10.0.0.1", 9001
    for name, total in (
        ("cpu_utilization", 4.5),
        ("named_metrics.rps_fractional", 900.0),
        ("latency_ms", float("nan")),
    ):
        each.load_metric_stats.add(
            metric_name=name, num_requests_finished_with_metric=9, total_metric_value=total
        )
    part = cluster.upstream_locality_stats.add(total_successful_requests=5)
    part.locality.sub_zone = "n2"
    part.cpu_utilization.num_requests_finished_with_metric, part.cpu_utilization.total_metric_value = 5, 1.0
    stranger = cluster.upstream_locality_stats.add(total_successful_requests=5)
    stranger.locality.sub_zone = "n9"
    samples, node = decode_load_report(report.SerializeToString())
    assert node.id == "p"
    core = core_with(tmp_path, endpoint("n1"), endpoint("n2"))
    core.record_load_report("z", samples)
    assert core.zones["z"].load_reports.unknown == 1
    outcomes = {each.host: each for each in core.zones["z"].load_reports.drain()}
    assert outcomes["n1"].report == api.LoadReport(0.5, 100.0) and outcomes["n1"].latency_ns is None
    assert (outcomes["n1"].served, outcomes["n1"].failed, outcomes["n2"].served) == (9, 1, 5)
    with pytest.raises(ProtocolError):
        decode_load_report(b"\xff\xff")
