"""Asks a running sidecar for its capture, from outside its process."""

from __future__ import annotations

import os
import re
import signal
import sys
from pathlib import Path


def handles_usr1(pid: int) -> bool:
    """Whether a process handles SIGUSR1; where the system does not tell, it is taken to."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return True
    caught = re.search(r"^SigCgt:\s*([0-9a-f]+)$", status, re.M)
    return caught is None or bool(int(caught[1], 16) >> (signal.SIGUSR1 - 1) & 1)


def dump(pid: int) -> int:
    """Ask a sidecar for its capture; 1 if that can't be done."""
    try:
        if pid < 1:  # which would be a group of processes
            raise ProcessLookupError
        # Guards against ending a process that has no handler for the signal.
        if not handles_usr1(pid):
            print(f"brambleusher: process {pid} takes no SIGUSR1: no sidecar", file=sys.stderr)
            return 1
        os.kill(pid, signal.SIGUSR1)
    except (OSError, OverflowError) as error:
        print(
            f"brambleusher: process {pid}: {getattr(error, 'strerror', None) or 'not there'}", file=sys.stderr
        )
        return 1
    return 0
