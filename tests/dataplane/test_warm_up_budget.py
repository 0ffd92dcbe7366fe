"""Tests of the warm-up budget: all gateways together stay within the rate of a warming instance."""

from __future__ import annotations

import pytest

from brambleusher.dataplane.warm_up_budget import WarmUpBudget


@pytest.mark.parametrize("gateways", [1, 8, 87, 400])
def test_a_warming_instance_gets_no_more_than_its_rate_from_all_gateways(gateways: int) -> None:
    for instance in range(20):
        budgets = [WarmUpBudget(f"i{instance}", 0.0) for _ in range(gateways)]
        times = []
        for step in range(300):
            for rank, budget in enumerate(budgets):
                if budget.take(26.0, rank, gateways, step / 100):
                    times.append(step / 100)
        most = max((sum(begin <= at < begin + 1.0 for at in times) for begin in times), default=0)
        assert most <= 26 * 1.5 + 5


def test_a_warming_instance_gets_a_fair_fraction_of_its_rate() -> None:
    budgets = [WarmUpBudget("i", 0.0) for _ in range(8)]
    taken = sum(
        budget.take(26.0, rank, 8, step / 100) for step in range(300) for rank, budget in enumerate(budgets)
    )
    assert taken > 3 * 26 * 0.6
