"""Tests that reservations of memory for request bodies stay within the limit."""

from __future__ import annotations

from brambleusher.dataplane.memory_budget import MemoryBudget


def test_a_reservation_over_the_limit_reserves_nothing() -> None:
    memory = MemoryBudget(100)
    assert memory.reserve(60)
    assert not memory.reserve(41)
    assert memory.reserved_bytes == 60
    assert memory.reserve(40)
    memory.release(100)
    assert memory.reserved_bytes == 0
