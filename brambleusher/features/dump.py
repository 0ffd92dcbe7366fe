"""Ask a running sidecar process to dump its capture."""

from __future__ import annotations

import os
import re
import signal
import sys
from pathlib import Path


def handles_usr1(pid: int) -> bool:
    """Return whether a process handles SIGUSR1; assume so if the system gives no information."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return True
    caught = re.search(r"^SigCgt:\s*([0-9a-f]+)$", status, re.M)
    return caught is None or bool(int(caught[1], 16) >> (signal.SIGUSR1 - 1) & 1)


def dump(pid: int) -> int:
    """Send the signal for a capture dump to a sidecar, and return the exit status: 0, or 1 on failure."""
    try:
        if pid < 1:  # `os.kill` would signal a group of processes
            raise ProcessLookupError
        # SIGUSR1 would terminate a process that has no handler for it.
        if not handles_usr1(pid):
            print(f"brambleusher: process {pid} does not handle SIGUSR1: not a sidecar", file=sys.stderr)
            return 1
        os.kill(pid, signal.SIGUSR1)
    except (OSError, OverflowError) as error:
        print(
            f"brambleusher: process {pid}: {getattr(error, 'strerror', None) or 'not there'}", file=sys.stderr
        )
        return 1
    return 0
