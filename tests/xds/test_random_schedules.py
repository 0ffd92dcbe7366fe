"""Tests of the control service under random schedules of faults."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from pathlib import Path

import pytest

from brambleusher.lab.control import history as control_history


@pytest.fixture
def quiet() -> Iterator[None]:
    """Disable logging, since these schedules cause thousands of expected warnings."""
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


@pytest.mark.usefixtures("quiet")
def test_no_view_is_older_than_one_accepted_before_whatever_happens(tmp_path: Path) -> None:
    judged = sum(control_history.run(seed, tmp_path).check_count for seed in range(15))
    assert judged > 1000


@pytest.mark.usefixtures("quiet")
@pytest.mark.parametrize(("mutation", "first"), [("store", 29), ("claims", 41), ("silence", 8), ("floor", 0)])
def test_the_checker_catches_what_would_break_that(tmp_path: Path, mutation: str, first: int) -> None:
    assert mutation in control_history.MUTATION_NAMES
    for seed in range(first, first + 200):  # `first` is the first seed that caught the mutation
        try:
            control_history.run(seed, tmp_path, mutation)
        except control_history.Violation:
            return
    pytest.fail(f"a service without its {mutation} went unnoticed")
