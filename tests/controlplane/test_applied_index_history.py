"""The index that a replica had applied at an earlier time."""

from __future__ import annotations

import pytest

from brambleusher.controlplane.applied_index_history import (
    ENTRIES_MAX,
    UNKNOWN_INDEX,
    AppliedIndexHistory,
)


@pytest.mark.parametrize(
    ("time", "index"), [(0.9, UNKNOWN_INDEX), (1.0, 7), (1.9, 7), (2.0, 8), (2.5, 8), (3.0, 12), (99.0, 12)]
)
def test_an_index_is_the_last_one_recorded_until_then(time: float, index: int) -> None:
    history = AppliedIndexHistory(1.0, 7)
    for now, applied in ((2.0, 8), (2.2, 8), (3.0, 12)):
        history.record(now, applied)
    assert history.index_at(time) == index


def test_the_history_is_bounded_and_does_not_guess_beyond_its_bound() -> None:
    history = AppliedIndexHistory(0.0, 0)
    for at in range(1, ENTRIES_MAX + 10):
        history.record(float(at), at)
    assert history.index_at(9.0) == UNKNOWN_INDEX
    assert history.index_at(10.0) == 10
