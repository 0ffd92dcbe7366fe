"""Postpones Python's cyclic garbage collection while a test rig or a run must not pause."""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager


def postpone_collection() -> None:
    """Exclude all existing objects from collection, and collect new objects rarely."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(100_000, 50, 1000)


@contextmanager
def postponed_collection() -> Iterator[None]:
    """Postpone collections until the context exits.

    Prevents pauses of the test rig: with thousands of relays one collection takes longer than the time by
    which an answer may be late.
    """
    before = gc.get_threshold()
    postpone_collection()
    try:
        yield
    finally:
        gc.set_threshold(*before)
        gc.unfreeze()
