"""Tests of the connection pool: how gateways divide the connection limit of an instance."""

from __future__ import annotations

from brambleusher.dataplane.connection_pool import connection_quota


def test_connections_are_shared_out() -> None:
    assert 8 * connection_quota(110, 8) <= 110
    assert connection_quota(3, 50) == 1
