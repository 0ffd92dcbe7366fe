"""Signals that come while a process starts, when nothing handles them yet, or ends, when nothing does more.

Their default action ends the process at once: a reload that crosses a start or an end would take it down.
The state is the process's own, as signal handlers are.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from types import FrameType

_held: set[int] = set()


def _hold(number: int, _frame: FrameType | None) -> None:
    _held.add(number)


def hold_signals(*numbers: int) -> None:
    """From now on remember these signals until their handlers are installed."""
    for number in numbers:
        signal.signal(number, _hold)


def take_held_signal(number: int) -> bool:
    """Return, once, whether a signal came while it was held."""
    was_held = number in _held
    _held.discard(number)
    return was_held


def ignore_signals(*numbers: int) -> None:
    """From now on ignore these signals: the process ends anyway, with the status that it has."""
    for number in numbers:
        signal.signal(number, signal.SIG_IGN)


def run_holding_reload(program: Callable[[], int]) -> int:
    """Run a program that handles SIGHUP, SIGTERM and SIGINT once it serves; return its exit status.

    Race: a reload that comes earlier is held until there is a handler, and signals that come while the
    process ends are ignored.
    """
    hold_signals(signal.SIGHUP)
    try:
        return program()
    finally:
        ignore_signals(signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
