"""Python's collector of cycles, put off while a rig or a run must not stand still."""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager


def put_off() -> None:
    """What there is now is left alone by the collector, and what comes is looked at rarely."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(100_000, 50, 1000)


@contextmanager
def uncollected() -> Iterator[None]:
    """It is put off for a while.

    Guards against a rig that stands still: with thousands of relays one collection takes longer than an
    answer may be late.
    """
    before = gc.get_threshold()
    put_off()
    try:
        yield
    finally:
        gc.set_threshold(*before)
        gc.unfreeze()
