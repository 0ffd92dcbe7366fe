"""Token round robin: order of turns and skipping of slow hosts."""

from __future__ import annotations

import random

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.hosts import Host
from brambleusher.loadbalancing.token_round_robin import TokenRoundRobin
from tests.loadbalancing.balancer_builders import build_balancer, host_entry


def test_order_of_turns_as_in_the_source() -> None:
    round_robin = TokenRoundRobin(random.Random(1))
    hosts = [Host(host_entry(name), True, 1) for name in ("1", "2", "3")]
    round_robin.set_hosts(list(hosts))
    round_robin.ring, round_robin._next, round_robin._tokens_per_weight = hosts, 0, 1.0
    for host, weight in zip(hosts, (32.0, 12.0, 20.0), strict=True):
        host.weight = weight
        host.in_flight_fraction = 1.0
    order = [spent.name for _ in range(64) if (spent := round_robin.spend(lambda host: True, 0))]
    assert order == ["1", "2", "3"] * 12 + ["1", "3"] * 8 + ["1"] * 12
    host_after = round_robin.spend(lambda host: True, 0)
    assert host_after is not None and sum(host.tokens for host in hosts) == 63


def test_a_host_with_more_in_flight_than_its_weight_explains_is_passed_over() -> None:
    """Hosts may slow down, or be chosen by all proxies at once, between two load reports."""
    round_robin = TokenRoundRobin(random.Random(1))
    hosts = [Host(host_entry(name), True, 1) for name in ("1", "2")]
    round_robin.set_hosts(list(hosts))
    for host in hosts:
        host.weight = 32.0
    round_robin.trim_tokens()
    for n in range(3):
        hosts[0].in_flight[(str(n), 0)] = None  # type: ignore[assignment]
    picked = [round_robin.spend(lambda host: True, 3) for _ in range(4)]
    assert picked == [hosts[1]] * 4
    assert round_robin.spend(lambda host: host is hosts[0], 3) is hosts[0]


def test_a_recompute_cuts_tokens_left() -> None:
    round_robin = TokenRoundRobin(random.Random(1))
    host = Host(host_entry("1"), True, 1)
    round_robin.ring, round_robin._tokens_per_weight, host.weight, host.tokens = [host], 1.0, 3.0, 20
    round_robin.trim_tokens()
    assert host.tokens == 3


def test_a_draining_host_loses_its_tokens_at_once() -> None:
    balancer = build_balancer(["h1", "h2"])
    drained = api.HostEntry("h1", "a", "k", 0, api.HostState.DRAINING)
    balancer.handle(api.HostListUpdated(api.ListKind.DELTA, [drained]), 1)
    host = balancer.host_table.hosts["h1"]
    assert (host.tokens, host.weight) == (0, 0.0)
