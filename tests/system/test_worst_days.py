"""Days of the control side with one loss after the other, and operators that race and repeat."""

from __future__ import annotations

import pytest

from tests.system.worst_days import play


@pytest.mark.parametrize("block", range(6))
def test_days_of_losses_with_operators_that_race_and_repeat(block: int) -> None:
    for seed in range(block * 8, block * 8 + 8):
        play(seed)
