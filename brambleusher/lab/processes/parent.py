"""Child processes that end with their parent process, even if the parent is killed by SIGKILL."""

from __future__ import annotations

import ctypes
import os
import signal
import sys
from collections.abc import Callable

PR_SET_PDEATHSIG = 1  # prctl(2): sets the signal sent when the thread that started the process has ended


def signal_on_parent_end(parent: int, number: int = signal.SIGTERM) -> Callable[[], None]:
    """Return a function that a child process calls at its start to get a signal when its parent ends.

    `parent` is the parent's process id.  The setting needs no privilege and survives an exec.  On systems
    other than Linux the function does nothing.
    """
    if sys.platform != "linux":
        return lambda: None
    # Looked up before the fork, since few calls are safe between fork and exec.
    prctl = ctypes.CDLL(None).prctl

    def tie() -> None:
        prctl(PR_SET_PDEATHSIG, int(number))
        if os.getppid() != parent:  # the parent may have ended before the prctl call
            os.kill(os.getpid(), number)

    return tie
