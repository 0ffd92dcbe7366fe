"""Holds signals that arrive while a process starts, and ignores signals while it exits.

Outside the time in which its handlers are installed, the default action of a signal ends the process, so a
reload signal during start or exit would kill it. The state is global to the process, like signal handlers.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from types import FrameType

SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)
SERVING_SIGNALS = (signal.SIGHUP, *SHUTDOWN_SIGNALS)

_held: set[int] = set()


class ShutdownRequestedError(Exception):
    """Raised when a process that has not begun to serve is told to shut down."""


def _hold(number: int, _frame: FrameType | None) -> None:
    _held.add(number)


def hold_signals(*numbers: int) -> None:
    """Record these signals from now on until their handlers are installed.

    A signal that was blocked when the process started is unblocked, and recorded if it arrived meanwhile.
    """
    for number in numbers:
        signal.signal(number, _hold)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, numbers)


def take_held_signal(number: int) -> bool:
    """Return whether a signal arrived while it was held, and clear its record."""
    was_held = number in _held
    _held.discard(number)
    return was_held


def check_shutdown_request() -> None:
    """Raise `ShutdownRequestedError` if a held signal tells the process to shut down."""
    if _held.intersection(SHUTDOWN_SIGNALS):
        raise ShutdownRequestedError


def ignore_signals(*numbers: int) -> None:
    """Ignore these signals from now on, so that an exiting process keeps its exit status."""
    for number in numbers:
        signal.signal(number, signal.SIG_IGN)


def run_holding_signals(program: Callable[[], int], *others: int) -> int:
    """Run a program that handles SIGHUP, SIGTERM, SIGINT and others once it serves; return its exit status.

    Until this runs, reload signals are blocked by the interpreter of `deployment/interpreter.c` for the roles
    of the system, and ignored by the command that starts a sidecar. Signals that arrive earlier are held
    until their handlers are installed, and signals that arrive while the process exits are ignored.
    """
    hold_signals(*SERVING_SIGNALS, *others)
    try:
        return program()
    except ShutdownRequestedError:
        return 0
    finally:
        ignore_signals(*SERVING_SIGNALS, *others)
