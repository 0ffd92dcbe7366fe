"""Holds back signals during a step that must not be left half done, such as the start of a child process."""

from __future__ import annotations

import signal
import threading
from collections.abc import Iterator
from contextlib import contextmanager

DEFERRED = (signal.SIGINT, signal.SIGTERM)


@contextmanager
def signals_deferred() -> Iterator[None]:
    """Deliver a SIGINT or SIGTERM that comes within the block at the end of the block.

    Outside of the main thread, where Python handles no signals, the block is left as it is.
    """
    if threading.current_thread() is not threading.main_thread():
        yield
        return
    pending: list[int] = []
    previous = {each: signal.signal(each, lambda number, _frame: pending.append(number)) for each in DEFERRED}
    try:
        yield
    finally:
        for each, handler in previous.items():
            signal.signal(each, handler)
        for number in pending:
            signal.raise_signal(number)
