"""Tests of the retry budget: all gateways together stay within the bound."""

from __future__ import annotations

from brambleusher.dataplane.retry_budget import RetryBudget


def test_retries_of_all_gateways_stay_within_the_slack() -> None:
    budgets = [RetryBudget(0.2, 56, 10, 8, 0.0) for _ in range(8)]
    for budget in budgets:
        budget.set_gateway_count(8)
    taken = sum(budget.take(step / 100) for step in range(1000) for budget in budgets)
    assert 8 <= taken <= 56


def test_requests_earn_retries() -> None:
    budget = RetryBudget(0.2, 0, 10, 8, 0.0)
    taken = 0
    for _ in range(1000):
        budget.record_request()
        taken += budget.take(0.0)
    assert 80 <= taken <= 110
