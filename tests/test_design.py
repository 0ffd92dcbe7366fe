"""The design's worked examples and the ordinary path."""

from __future__ import annotations

import random
import unittest

import pytest

from brambleusher.loadbalancing import Balancer, api
from brambleusher.loadbalancing.hosts import Host
from brambleusher.loadbalancing.performance_index import aggregate_pi
from brambleusher.loadbalancing.token_round_robin import TokenRoundRobin
from brambleusher.loadbalancing.weights import final_weights
from tests.rules import MS, SECOND

CLS = api.RequestClass("c", 500 * MS, 2 * SECOND, 1.0)


def entry(name: str, zone: str = "a", started_ns: int = 0) -> api.HostEntry:
    return api.HostEntry(name, zone, "k", 0, api.HostState.READY, 1.0, started_ns)


def build(names: list[str], zone: str = "a", **changes: object) -> tuple[Balancer, list[api.HostEntry]]:
    settings = api.Settings(zone=zone, classes=(CLS,), fleet_size=1, max_attempts=3, **changes)  # type: ignore[arg-type]
    balancer = Balancer(settings, 3)
    balancer.start(0)
    entries = [entry(name) for name in names]
    balancer.handle(api.HostListUpdated(api.ListKind.SAVED, entries), 0)
    return balancer, entries


def test_aggregated_index_of_the_source() -> None:
    index, count = aggregate_pi([1.6, 1.4, 2.0, 1.8], [25, 175, 100, 100], [0, 1, 2, 3])
    assert index == pytest.approx(1.62, abs=0.005)
    assert count == 400


def test_final_weights_of_the_source() -> None:
    weights = final_weights([16, 16, 12, 20], [0.8, 1.0, 1.4, 1.6], [1.0] * 4)
    assert [round(weight) for weight in weights] == [26, 26, 12, 0]


def test_turn_order_of_the_source() -> None:
    turn = TokenRoundRobin(random.Random(1))
    hosts = [Host(entry(name), True, 1) for name in ("1", "2", "3")]
    turn.set_hosts(list(hosts))
    turn.ring, turn._next, turn._tokens_per_weight = hosts, 0, 1.0
    for host, weight in zip(hosts, (32.0, 12.0, 20.0), strict=True):
        host.weight = weight
        host.in_flight_fraction = 1.0
    order = [spent.name for _ in range(64) if (spent := turn.spend(lambda host: True, 0))]
    assert order == ["1", "2", "3"] * 12 + ["1", "3"] * 8 + ["1"] * 12
    host_after = turn.spend(lambda host: True, 0)
    assert host_after is not None and sum(host.tokens for host in hosts) == 63


def test_a_host_with_more_attempts_out_than_its_weight_explains_is_passed_over() -> None:
    """Guards against hosts that slowed down, or that all proxies found at once, between two reports."""
    turn = TokenRoundRobin(random.Random(1))
    hosts = [Host(entry(name), True, 1) for name in ("1", "2")]
    turn.set_hosts(list(hosts))
    for host in hosts:
        host.weight = 32.0
    turn.cut_tokens()
    for n in range(3):
        hosts[0].in_flight[(str(n), 0)] = None  # type: ignore[assignment]
    picked = [turn.spend(lambda host: True, 3) for _ in range(4)]
    assert picked == [hosts[1]] * 4
    assert turn.spend(lambda host: host is hosts[0], 3) is hosts[0]


def test_all_zero_weights_become_equal() -> None:
    assert final_weights([1, 1], [2.0, 2.0], [1.0, 1.0]) == [32.0, 32.0]
    assert final_weights([], [], []) == []


def test_health_multiplies() -> None:
    assert final_weights([1, 1], [0, 0], [1.0, 0.5]) == pytest.approx([64 / 1.5, 32 / 1.5])


def test_a_recompute_cuts_tokens_left() -> None:
    turn = TokenRoundRobin(random.Random(1))
    host = Host(entry("1"), True, 1)
    turn.ring, turn._tokens_per_weight, host.weight, host.tokens = [host], 1.0, 3.0, 20
    turn.cut_tokens()
    assert host.tokens == 3


def report_all(balancer: Balancer, reports: dict[str, tuple[float, float]], rounds: int = 60) -> None:
    now = 0
    for n in range(rounds):
        now += 20 * MS
        actions = balancer.handle(api.RequestArrived(f"q{n}", "c", None, SECOND), now)
        for action in actions:
            if isinstance(action, api.StartAttempt):
                util, qps = reports.get(action.host, (None, None))
                ended = api.AttemptEnded(
                    action.request,
                    0,
                    action.host,
                    api.AttemptStatus.OK,
                    10 * MS,
                    True,
                    api.LoadReport(util, qps),
                )
                balancer.handle(ended, now)
        if n % 4 == 3:
            balancer.handle(api.TimerFired(0), now)


def test_spare_decides_and_silence_counts_as_the_median() -> None:
    balancer, _ = build(["h1", "h2", "h3", "h4"])
    report_all(balancer, {"h1": (0.5, 10.0), "h2": (0.5, 20.0), "h3": (0.5, 30.0)})
    weights = {host.name: host.weight for host in balancer.host_table.hosts.values()}
    assert weights["h2"] == pytest.approx(2 * weights["h1"], rel=0.05)
    assert weights["h3"] == pytest.approx(3 * weights["h1"], rel=0.05)
    assert weights["h4"] == pytest.approx(weights["h2"], rel=0.05)
    assert sum(weights.values()) == pytest.approx(64)


def test_with_no_spare_anywhere_weights_fall_to_capacity() -> None:
    balancer, _ = build(["h1", "h2"])
    report_all(balancer, {"h1": (1.0, 10.0), "h2": (1.0, 30.0)})
    weights = {host.name: host.weight for host in balancer.host_table.hosts.values()}
    assert weights["h2"] == pytest.approx(3 * weights["h1"], rel=0.05)


def test_a_hung_host_loses_its_weight_before_any_time_out() -> None:
    """Guards against a host that stops answering: it also stops reporting."""
    balancer, _ = build(["h1", "h2"])
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


def test_a_draining_host_loses_its_tokens_at_once() -> None:
    balancer, entries = build(["h1", "h2"])
    drained = api.HostEntry("h1", "a", "k", 0, api.HostState.DRAINING)
    balancer.handle(api.HostListUpdated(api.ListKind.DELTA, [drained]), 1)
    host = balancer.host_table.hosts[entries[0].host]
    assert (host.tokens, host.weight) == (0, 0.0)


def test_bad_reports_poison_nothing() -> None:
    balancer, _ = build(["h1", "h2"])
    host = balancer.host_table.hosts["h1"]
    for util, qps in ((None, 5.0), (0.5, None), (float("nan"), 5.0), (0.5, float("inf"))):
        balancer.capacity.record_report(host, api.LoadReport(util, qps), 1)
    assert host.reported_ns == -1
    balancer.capacity.record_report(host, api.LoadReport(7.0, -3.0), 1)
    assert (host.utilisation, host.throughput_sum) == (1.0, 0.0)


def test_readme_example_runs() -> None:
    from pathlib import Path

    text = (Path(__file__).parent.parent / "README.md").read_text(encoding="utf-8")
    code = text.split("```python\n", 1)[1].split("```", 1)[0]
    scope: dict[str, object] = {}
    exec(code, scope)
    assert isinstance(scope["send"], api.StartAttempt)


def test_a_host_that_takes_no_connection_is_let_be() -> None:
    """Guards against hosts that are down: they fail fast, hold little, and so look free."""
    balancer, _ = build(["h1", "h2"])
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


def test_full_answers_leave_the_health_alone() -> None:
    """Guards against one full host's turns filling the next."""
    balancer, _ = build(["h1", "h2"])
    host = balancer.host_table.hosts["h1"]
    balancer.outliers.record_outcome(host, 0, api.AttemptStatus.OVERLOADED, 0, 1)
    assert host.health == 1.0
    balancer.outliers.record_outcome(host, 0, api.AttemptStatus.ERROR, 0, 1)
    assert host.health < 1.0


def test_the_index_is_relative_when_most_miss_the_goal() -> None:
    """Guards against the few hosts under the limit getting everything and dropping out in turn."""
    balancer, _ = build(["h1", "h2", "h3"])
    for name, index in (("h1", 2.0), ("h2", 2.0), ("h3", 1.4)):
        host = balancer.host_table.hosts[name]
        host.latency_counts, host.latency_ratio_totals = [50.0], [50.0 * index]
    balancer._recompute_weights(SECOND, 0.0)
    assert all(host.weight > 15 for host in balancer.host_table.hosts.values())


def test_overload_refuses_the_least_worth_first() -> None:
    """Guards against queues in which every answer comes late: what is out is bounded."""
    low = api.RequestClass("low", 500 * MS, 2 * SECOND, 1.0)
    high = api.RequestClass("high", 500 * MS, 2 * SECOND, 10.0)
    balancer = Balancer(api.Settings(zone="a", classes=(low, high), fleet_size=1, is_value_by_work=True), 3)
    balancer.start(0)
    balancer.handle(api.HostListUpdated(api.ListKind.SAVED, [entry("h1"), entry("h2")]), 0)
    now, kept = 0, {"low": 0, "high": 0}
    for n in range(400):
        now += 10 * MS
        name = "low" if n % 2 else "high"
        for action in balancer.handle(api.RequestArrived(f"q{n}", name, None, 2 * SECOND), now):
            if isinstance(action, api.StartAttempt) and n >= 200:
                kept[name] += 1
        if n % 5 == 0 and balancer.attempts.requests:
            oldest = next(iter(balancer.attempts.requests.values()))
            host, sent, _ = oldest.attempts[0]
            ended = api.AttemptEnded(
                oldest.id, 0, host.name, api.AttemptStatus.OK, now - sent, True, api.LoadReport(1.0, 10.0)
            )
            balancer.handle(ended, now)
        if n % 6 == 0:
            balancer.handle(api.TimerFired(0), now)
    assert kept["high"] > 1.5 * kept["low"]
    assert kept["low"] + kept["high"] < 120


def test_crossing_waits_for_local_use_and_for_idler_zones() -> None:
    """Guards against paying to exchange work between zones that are as busy as each other."""
    settings = api.Settings(zone="a", classes=(CLS,), fleet_size=1, cross_zone_price=0.2)
    balancer = Balancer(settings, 3)
    balancer.handle(api.HostListUpdated(api.ListKind.SAVED, [entry("h1"), entry("h2", "b")]), 0)
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


def test_a_fleet_that_is_cold_as_a_whole_is_let_in_by_what_it_carries() -> None:
    """Guards against one request a host until all are warm, after every host was restarted."""
    settings = api.Settings(
        zone="a",
        classes=(CLS,),
        fleet_size=1,
        warm_up_ns=20 * SECOND,
        initial_capacity=0.5,
        overload_multiple=3.0,
    )
    balancer = Balancer(settings, 3)
    balancer.start(SECOND)
    fresh = [entry("h1", started_ns=SECOND), entry("h2", started_ns=SECOND)]
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


def test_a_quiet_proxy_keeps_to_few_hosts_and_grows_with_its_traffic() -> None:
    """Guards against hundreds of proxies holding a connection each to every host."""
    balancer, _ = build([f"h{n}" for n in range(40)], connection_price=0.1)
    report_all(balancer, {})
    assert len(balancer.round_robin.ring) <= 4
    for n in range(12):
        balancer.handle(api.RequestArrived(f"more{n}", "c", None, 2 * SECOND), 2 * SECOND)
    balancer.handle(api.TimerFired(0), 2 * SECOND)
    assert len(balancer.round_robin.ring) >= 10


def test_free_connections_allow_more_hosts() -> None:
    balancer, _ = build([f"h{n}" for n in range(40)])
    assert len(balancer.round_robin.ring) == 12


def used_once(seed_gap: int) -> tuple[Balancer, str, int]:
    balancer, _ = build(["h1"], connection_idle_timeout_ns=60 * SECOND)
    (sent,) = balancer.handle(api.RequestArrived("a", "c", None, 2 * SECOND), MS)
    assert isinstance(sent, api.StartAttempt)
    balancer.handle(api.AttemptEnded("a", 0, "h1", api.AttemptStatus.OK, 9 * MS, True), 10 * MS)
    return balancer, "h1", 10 * MS + seed_gap


def test_a_reset_on_an_idle_connection_teaches_how_long_to_trust_one() -> None:
    """Guards against connections dropped unseen while idle; the host is not to blame."""
    balancer, host, now = used_once(SECOND)
    balancer.handle(api.RequestArrived("b", "c", None, 2 * SECOND), now)
    balancer.handle(api.AttemptEnded("b", 0, host, api.AttemptStatus.RESET, MS, False), now + MS)
    assert balancer.host_table.hosts[host].health == 1.0
    (sent,) = balancer.handle(api.RequestArrived("c", "c", None, 2 * SECOND), now + 2 * MS)
    assert isinstance(sent, api.StartAttempt)
    balancer.handle(api.AttemptEnded("c", 0, host, api.AttemptStatus.OK, MS, True), now + 3 * MS)
    later = balancer.handle(api.RequestArrived("d", "c", None, 2 * SECOND), now + 3 * MS + 900 * MS)
    assert [type(action) for action in later] == [api.CloseIdleConnections, api.StartAttempt]


@pytest.mark.parametrize(("kept_ms", "trusted"), [(1200, True), (800, False)])
def test_a_reset_costs_no_trust_where_longer_idle_ones_were_kept(kept_ms: int, trusted: bool) -> None:
    """Guards against resets by chance: most requests of thin traffic would open a connection anew."""
    balancer, host, now = used_once(kept_ms * MS)
    for name, status in (("b", api.AttemptStatus.OK), ("c", api.AttemptStatus.RESET)):
        balancer.handle(api.RequestArrived(name, "c", None, 2 * SECOND), now)
        balancer.handle(api.AttemptEnded(name, 0, host, status, MS, False), now + MS)
        now += SECOND
    assert (balancer.idle_timeout.timeout_ns == 60 * SECOND) is trusted
    assert (balancer.host_table.hosts[host].health < 1.0) is trusted  # else its idle time is to blame


def test_a_lone_time_out_does_not_cost_idle_connections_their_trust() -> None:
    """Guards against impatient clients and busy hosts: closing for them costs a handshake a request."""
    balancer, host, now = used_once(SECOND)
    balancer.handle(api.RequestArrived("b", "c", None, 100 * MS), now)
    balancer.handle(
        api.AttemptEnded("b", 0, host, api.AttemptStatus.TIMEOUT, 100 * MS, False), now + 100 * MS
    )
    assert balancer.idle_timeout.timeout_ns == 60 * SECOND


def test_an_early_leaver_is_no_failure_of_the_host() -> None:
    balancer, _ = build(["h1", "h2"])
    host = balancer.host_table.hosts["h1"]
    balancer.outliers.record_outcome(host, 0, api.AttemptStatus.TIMEOUT, 100 * MS, 1)
    assert host.health == 1.0
    balancer.outliers.record_outcome(host, 0, api.AttemptStatus.TIMEOUT, 500 * MS, 1)
    assert host.health < 1.0


def test_an_answer_without_its_report_counts_as_busy() -> None:
    """Guards against hosts that fall silent just when they are busy: their last report is not spare."""
    balancer, _ = build(["h1"])
    for n, report in enumerate((api.LoadReport(0.2, 10.0), None)):
        balancer.handle(api.RequestArrived(f"q{n}", "c", None, 2 * SECOND), n * SECOND)
        ended = api.AttemptEnded(f"q{n}", 0, "h1", api.AttemptStatus.OK, 9 * MS, True, report)
        balancer.handle(ended, n * SECOND + 9 * MS)
        assert balancer.host_table.hosts["h1"].utilisation == (0.2 if report else 0.75)


def test_where_connections_fail_a_connected_host_is_taken() -> None:
    """Guards against hosts that take few connections: each try elsewhere costs one of few attempts."""
    balancer, _ = build([f"h{n}" for n in range(4)])
    (sent,) = balancer.handle(api.RequestArrived("a", "c", None, 2 * SECOND), MS)
    assert isinstance(sent, api.StartAttempt)
    balancer.handle(api.AttemptEnded("a", 0, sent.host, api.AttemptStatus.OK, 9 * MS, True), 10 * MS)
    balancer.outliers.connect_failures = 2.0
    for n in range(6):
        (again,) = balancer.handle(api.RequestArrived(f"b{n}", "c", None, 2 * SECOND), 20 * MS)
        assert isinstance(again, api.StartAttempt) and again.host == sent.host


def test_a_small_proxy_refuses_the_part_that_has_no_place() -> None:
    """Guards against hundreds of proxies with one place each filling every queue together."""
    balancer, _ = build(["h1"])
    balancer.admission.sorted_densities = [float(n) for n in range(100)]
    balancer.admission.limit, balancer.admission.offered, balancer.admission.is_late = 0.4, 1.0, True
    assert not balancer._admits(59.0) and balancer._admits(61.0)
    balancer.admission.is_late = False
    balancer.admission.rejections_long = 2.0  # hosts that reject bound their own queues
    assert balancer._admits(59.0)


def test_ticks_are_no_oftener_than_traffic_warrants() -> None:
    """Guards against a cost that goes by hosts times proxies."""
    balancer, _ = build(["h1"])
    (timer,) = balancer.handle(api.TimerFired(0), SECOND)
    assert isinstance(timer, api.SetTimer) and timer.at_ns == SECOND + 250 * MS
    for n in range(200):
        balancer.handle(api.RequestArrived(f"q{n}", "c", None, 2 * SECOND), SECOND)
    timer = balancer.handle(api.TimerFired(0), SECOND + MS)[-1]
    assert isinstance(timer, api.SetTimer) and timer.at_ns == SECOND + MS + balancer._tick_ns


def test_a_proxy_that_was_idle_takes_its_first_burst() -> None:
    """Guards against the limit of an idle proxy, as many as the hosts in use, meeting a burst after it."""
    balancer, _ = build([f"h{n}" for n in range(12)])
    for n in range(8):
        balancer.handle(api.TimerFired(0), n * SECOND // 2)
    for n in range(30):
        (action,) = balancer.handle(api.RequestArrived(f"q{n}", "c", None, 2 * SECOND), 4 * SECOND)
        assert isinstance(action, api.StartAttempt)


class GivingUp(unittest.TestCase):
    def test_one_that_reached_no_host_is_given_up_before_half_of_its_time(self) -> None:
        """Guards against clients kept waiting for hosts that take no connection."""
        for status, at_ms, expected in (
            (api.AttemptStatus.CONNECT_FAILED, 50, api.StartAttempt),
            (api.AttemptStatus.CONNECT_FAILED, 170, api.RejectRequest),
            (api.AttemptStatus.OVERLOADED, 170, api.StartAttempt),  # it was written whole
            (api.AttemptStatus.CONNECT_FAILED, 300, api.StartAttempt),  # too late to be given up early
        ):
            with self.subTest(status=status, at_ms=at_ms):
                balancer, _ = build(["h1", "h2"])
                actions = balancer.handle(api.RequestArrived("q", "c", None, 400 * MS), 0)
                (first,) = [action for action in actions if isinstance(action, api.StartAttempt)]
                ended = api.AttemptEnded("q", 0, first.host, status, at_ms * MS, False)
                actions = balancer.handle(ended, at_ms * MS)
                self.assertEqual(
                    [type(a) for a in actions if not isinstance(a, api.CloseIdleConnections)], [expected]
                )


class Admission(unittest.TestCase):
    def test_the_limit_leaves_an_attempt_a_host(self) -> None:
        """Guards against a limit held down by the little that it lets through, while hosts are idle."""
        balancer, _ = build(["h1", "h2", "h3", "h4"])
        for host in balancer.host_table.hosts.values():
            host.throughput_sum, host.utilisation_sum = 1000.0, 10.0
            host.utilisation, host.throughput, host.reported_ns = 0.01, 1.0, 1
        balancer.traffic.answer_counts, balancer.traffic.latency_totals_ns = [100.0], [100.0 * 100 * MS]
        balancer.admission.outcomes = 100.0
        balancer.traffic.unloaded_latency_ns, balancer.admission.limit = [100.0 * MS], 100.0
        balancer._recompute_weights(1, 0.0)
        for host in balancer.host_table.hosts.values():
            host.performance_index = 2.0  # late: some answers never come
        for _ in range(80):
            balancer._update_admission_limit(0.125)
        self.assertAlmostEqual(balancer.admission.limit, 4.0)

    def test_one_that_is_never_answered_is_no_crowd(self) -> None:
        """Guards against a few connections that fell silent: they made whole fleets look late."""
        balancer, _ = build(["h1"])
        host = balancer.host_table.hosts["h1"]
        for n in range(20):
            balancer.outliers.record_ratio(host, 0, 100.0 if n == 0 else 0.1)
        self.assertLess(balancer.performance_index.of_host(host, 1), 0.5)
        balancer.handle(api.RequestArrived("q", "c", None, 100 * SECOND), 0)
        self.assertLess(balancer.performance_index.of_host(host, 50 * SECOND), 0.7)


class Silence(unittest.TestCase):
    def test_a_safe_attempt_is_given_up_early_only_where_some_are_never_answered(self) -> None:
        """Guards against connections that fall silent under a request until its time is up."""
        for silent, late, expected in ((0.0, False, 0), (5.0, True, 0), (5.0, False, 250 * MS)):
            with self.subTest(silent=silent, late=late):
                balancer, _ = build(["h1", "h2"])
                balancer.outliers.timeouts, balancer.admission.is_late = silent, late
                actions = balancer.handle(api.RequestArrived("q", "c", None, 2 * SECOND), 0)
                (sent,) = [action for action in actions if isinstance(action, api.StartAttempt)]
                self.assertEqual(sent.timeout_ns, expected)
