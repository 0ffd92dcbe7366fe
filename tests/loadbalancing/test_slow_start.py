"""Slow start in a large fleet: total budgets of all proxies, and reported capacities."""

from __future__ import annotations

import random

import pytest

from brambleusher.loadbalancing import Balancer, api, slow_start
from brambleusher.loadbalancing.host_ranking import HostRanking
from brambleusher.loadbalancing.hosts import Host

SECOND = 10**9
ZONES = ("a", "b", "c", "d")


def entries(counts: dict[str, int], started_ns: int = 0) -> list[api.HostEntry]:
    """Return list entries with the given number of ready hosts per zone."""
    return [
        api.HostEntry(f"{zone}{number}", zone, "k", 0, api.HostState.READY, 1.0, started_ns)
        for zone, count in counts.items()
        for number in range(count)
    ]


@pytest.mark.parametrize(
    ("counts", "subset_size"),
    [
        (dict.fromkeys(ZONES, 25), 10),  # an ordinary endpoint list
        (dict.fromkeys(ZONES, 25), 4),
        ({"a": 2, "b": 25, "c": 25, "d": 25}, 8),  # a zone in which two hosts have returned
        ({"a": 50, "b": 10, "c": 10, "d": 10}, 6),
    ],
    ids=["even", "few each", "a zone coming back", "a large zone"],
)
def test_budgets_of_all_proxies_add_up_to_one(counts: dict[str, int], subset_size: int) -> None:
    """For 200 proxies with random subsets, the budget shares of each host add up to about one."""
    rng, shares_of_host = random.Random(5), dict.fromkeys((entry.host for entry in entries(counts)), 0.0)
    for number in range(200):
        own = ZONES[number % len(ZONES)]
        ranking: HostRanking[Host] = HostRanking()
        ranking.rebuild([Host(entry, entry.zone == own, 0, rng.random()) for entry in entries(counts)])
        local, remote = ranking.subset(subset_size)
        used = max(len(local), len(remote)), len(remote)
        for host in local + remote:
            shares_of_host[host.name] += 1 / slow_start.proxies_per_host(
                200, ranking.ready_per_zone, host.zone, *used, 1.0
            )
    for zone in counts:
        mean = sum(value for name, value in shares_of_host.items() if name[0] == zone) / counts[zone]
        assert 0.8 < mean < 1.2, (zone, mean)
    # Random variation; the rule allows 2, and few proxies use their whole share.
    assert max(shares_of_host.values()) < 2.5


def test_zones_are_counted_as_hosts_come_and_go() -> None:
    hosts = [Host(entry, True, 0, 0.5) for entry in entries(dict.fromkeys(ZONES, 20))]
    ranking: HostRanking[Host] = HostRanking()
    ranking.update(hosts, hosts)
    hosts[0].is_ready = False
    ranking.update(hosts, hosts[:1])
    ranking.update(hosts, hosts[:1])
    ranking.discard(hosts[21])
    assert ranking.ready_per_zone == {"a": 19, "b": 19, "c": 20, "d": 20}
    hosts[0].is_ready = True
    ranking.update(hosts, hosts[:1])
    assert ranking.ready_per_zone["a"] == 20


def attempts_at_a_host_warming_up(reported: api.LoadReport) -> int:
    """Return how many of 600 requests within 6 s go to a host that started 2 s ago."""
    settings = api.Settings(
        zone="a", fleet_size=10, warm_up_ns=20 * SECOND, initial_capacity=0.2, overload_multiple=4.0,
        classes=(api.RequestClass("r", SECOND, 2 * SECOND, 1.0),),
    )  # fmt: skip
    balancer, now, count = Balancer(settings, 3), 100 * SECOND, 0
    balancer.start(now)
    new = entries({"b": 1}, now - 2 * SECOND)
    balancer.handle(api.HostListUpdated(api.ListKind.SAVED, entries({"a": 2}) + new), now)
    for number in range(600):
        now += 10_000_000
        for action in balancer.handle(api.RequestArrived(str(number), "r", None, 2 * SECOND), now):
            if isinstance(action, api.StartAttempt):
                is_new = action.host == new[0].host
                count += is_new
                report = reported if is_new else api.LoadReport(0.8, 20.0)
                balancer.handle(
                    api.AttemptEnded(
                        str(number), 0, action.host, api.AttemptStatus.OK, 50_000_000, True, report
                    ),
                    now + 5_000_000,
                )
        if number % 10 == 0:
            balancer.handle(api.TimerFired(0), now + 6_000_000)
    return count


def test_a_host_warming_up_gets_what_it_reports_it_can_do() -> None:
    # The host reports the capacity of a warm one, 25 requests per second, or 6, which its age implies.
    warmed, as_old = api.LoadReport(0.2, 5.0), api.LoadReport(0.5, 3.0)
    assert attempts_at_a_host_warming_up(warmed) > 1.4 * attempts_at_a_host_warming_up(as_old)


def test_few_reports_say_nothing_and_many_count_with_a_margin() -> None:
    host = Host(entries({"a": 1}, 1)[0], True, 1)
    assert slow_start.reported_fraction(host, 20.0) == 0.0
    host.utilisation_sum, host.throughput_sum = 0.4, 40.0
    assert slow_start.reported_fraction(host, 20.0) == 0.0  # there are too few reports
    host.utilisation_sum, host.throughput_sum = 1.0, 100.0
    assert slow_start.reported_fraction(host, None) == 0.0  # the capacity of its kind is unknown
    assert (
        slow_start.warm_fraction(SECOND, 0.2, 20 * SECOND, slow_start.reported_fraction(host, 20.0))
        == slow_start.REPORTED_FRACTION
    )
    assert slow_start.warm_fraction(-SECOND, 0.2, 20 * SECOND) == 0.2
    assert slow_start.warm_fraction(20 * SECOND, 0.2, 20 * SECOND) == 1.0
