"""Tests of the configuration store: the count of gateways by which budgets are divided."""

from __future__ import annotations

from brambleusher.dataplane.configuration_store import COUNT_WINDOW_S, GatewayCount


def test_the_largest_count_of_the_window_is_used() -> None:
    count = GatewayCount()
    assert count.record(8, 0.0) == 8.0
    assert count.record(3, 5.0) == 8.0
    assert count.record(3, COUNT_WINDOW_S - 1.0) == 8.0
    assert count.record(3, COUNT_WINDOW_S) == 3.0


def test_there_is_at_least_one_gateway() -> None:
    assert GatewayCount().record(0, 0.0) == 1.0
