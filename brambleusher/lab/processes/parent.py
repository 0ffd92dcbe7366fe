"""Processes that end with the one that started them, also where that one is killed outright."""

from __future__ import annotations

import ctypes
import os
import signal
import sys
from collections.abc import Callable

PR_SET_PDEATHSIG = 1  # prctl(2): the signal that comes when the thread that started the process has ended


def tied_to(parent: int, number: int = signal.SIGTERM) -> Callable[[], None]:
    """What a child has to call at its start, so that the end of its parent brings it a signal.

    `parent` is the parent's process id.  It needs no privilege and outlives an exec.  On systems other than
    Linux it does nothing.
    """
    if sys.platform != "linux":
        return lambda: None
    prctl = ctypes.CDLL(None).prctl  # looked up before a fork: little is safe between it and the exec

    def tie() -> None:
        prctl(PR_SET_PDEATHSIG, int(number))
        if os.getppid() != parent:  # guards against a parent that ended before it was asked for
            os.kill(os.getpid(), number)

    return tie
