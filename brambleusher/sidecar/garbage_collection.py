"""When this process collects garbage."""

from __future__ import annotations

import gc

STEPS_PER_COLLECTION = 4  # of a long endpoint list: each leaves some hundred records
THRESHOLDS = (50_000, 1_000, 50)  # allocations, and collections of the generation below


class GarbageCollectionPolicy:
    """Keeps collections short.

    Records are short-lived and seldom cyclic: reference counts free them, rare collections suffice.  But a
    long list leaves records by the ten thousand that stay, and a collection that comes upon all of them, or
    upon all that were ever kept, holds everything up for 10 to 40 ms.  So what is young is looked through
    every few steps of such a list, and what is old hardly ever.
    """

    def __init__(self) -> None:
        self._steps = 0
        gc.set_threshold(*THRESHOLDS)

    def step(self) -> None:
        """Count a step of a long list, and collect the young generation every few of them."""
        self._steps += 1
        if self._steps % STEPS_PER_COLLECTION == 0:
            gc.collect(0)


def freeze_current_objects() -> None:
    """Collect, and exempt what is there now from all later collections."""
    gc.collect()
    gc.freeze()
