"""Host table: the subset of hosts in use."""

from __future__ import annotations

from brambleusher.loadbalancing import api
from tests.loadbalancing.balancer_builders import build_balancer, serve_with_reports
from tests.rules import SECOND


def test_a_quiet_proxy_uses_few_hosts_and_more_with_its_traffic() -> None:
    """Hundreds of proxies must not each hold a connection to every host."""
    balancer = build_balancer([f"h{n}" for n in range(40)], connection_price=0.1)
    serve_with_reports(balancer, {})
    assert len(balancer.round_robin.ring) <= 4
    for n in range(12):
        balancer.handle(api.RequestArrived(f"more{n}", "c", None, 2 * SECOND), 2 * SECOND)
    balancer.handle(api.TimerFired(0), 2 * SECOND)
    assert len(balancer.round_robin.ring) >= 10


def test_free_connections_allow_more_hosts() -> None:
    balancer = build_balancer([f"h{n}" for n in range(40)])
    assert len(balancer.round_robin.ring) == 12
