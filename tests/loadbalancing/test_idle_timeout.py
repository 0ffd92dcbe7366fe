"""Learned idle timeout: how long an idle connection is still used."""

from __future__ import annotations

import pytest

from brambleusher.loadbalancing import Balancer, api
from tests.loadbalancing.balancer_builders import build_balancer
from tests.rules import MS, SECOND


def used_once(seed_gap: int) -> tuple[Balancer, str, int]:
    balancer = build_balancer(["h1"], connection_idle_timeout_ns=60 * SECOND)
    (sent,) = balancer.handle(api.RequestArrived("a", "c", None, 2 * SECOND), MS)
    assert isinstance(sent, api.StartAttempt)
    balancer.handle(api.AttemptEnded("a", 0, "h1", api.AttemptStatus.OK, 9 * MS, True), 10 * MS)
    return balancer, "h1", 10 * MS + seed_gap


def test_a_reset_on_an_idle_connection_shortens_the_idle_timeout() -> None:
    """Connections may be dropped unnoticed while idle, which is not a failure of the host."""
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
def test_a_reset_leaves_the_idle_timeout_where_longer_idle_ones_answered(kept_ms: int, trusted: bool) -> None:
    """After a random reset, most requests of a proxy with little traffic would open new connections."""
    balancer, host, now = used_once(kept_ms * MS)
    for name, status in (("b", api.AttemptStatus.OK), ("c", api.AttemptStatus.RESET)):
        balancer.handle(api.RequestArrived(name, "c", None, 2 * SECOND), now)
        balancer.handle(api.AttemptEnded(name, 0, host, status, MS, False), now + MS)
        now += SECOND
    assert (balancer.idle_timeout.timeout_ns == 60 * SECOND) is trusted
    # Otherwise the idle time caused the reset.
    assert (balancer.host_table.hosts[host].health < 1.0) is trusted


def test_a_single_timeout_leaves_the_idle_timeout() -> None:
    """Timeouts due to impatient clients or busy hosts must not cost a handshake per request."""
    balancer, host, now = used_once(SECOND)
    balancer.handle(api.RequestArrived("b", "c", None, 100 * MS), now)
    balancer.handle(
        api.AttemptEnded("b", 0, host, api.AttemptStatus.TIMEOUT, 100 * MS, False), now + 100 * MS
    )
    assert balancer.idle_timeout.timeout_ns == 60 * SECOND
