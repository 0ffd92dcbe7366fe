"""Configures garbage collection for short pauses."""

from __future__ import annotations

import gc

STEPS_PER_COLLECTION = 4  # each step of applying a long endpoint list allocates hundreds of objects
THRESHOLDS = (50_000, 1_000, 50)  # allocations, then collections of the next younger generation


class GarbageCollectionPolicy:
    """Keeps garbage collection pauses short.

    Most objects are short-lived and rarely part of reference cycles, so reference counting frees them and
    rare collections suffice. A long endpoint list, however, allocates tens of thousands of objects that stay,
    and a collection that scans all of them, or all long-lived objects, blocks the process for 10 to 40 ms.
    The young generation is therefore collected every few steps of applying such a list, and old generations
    almost never.
    """

    def __init__(self) -> None:
        self._steps = 0
        gc.set_threshold(*THRESHOLDS)

    def step(self) -> None:
        """Count a step of applying a long list, and collect the young generation every few steps."""
        self._steps += 1
        if self._steps % STEPS_PER_COLLECTION == 0:
            gc.collect(0)


def freeze_current_objects() -> None:
    """Run a full collection, and exempt all current objects from later collections."""
    gc.collect()
    gc.freeze()
