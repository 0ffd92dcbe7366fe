"""One process of a soak with a planted fault.

python -m brambleusher.lab.soak.mutated_process MUTATION PROGRAM ARGUMENT...
"""

from __future__ import annotations

import runpy
import signal
import sys
from collections.abc import Sequence

from brambleusher.runtime.signal_holding import hold_signals

SYSTEM, SIDECAR = "system", "sidecar"
MODULES = {SYSTEM: "brambleusher.system_main", SIDECAR: "brambleusher"}


def main(arguments: Sequence[str]) -> None:
    """Plant the fault, then run the program with the rest of the arguments until it exits."""
    name, program, *rest = arguments
    from brambleusher.lab.faults.breakages import Patches  # late: it takes a while
    from brambleusher.lab.soak.mutations import find

    find(name).put(Patches())
    sys.argv = ["brambleusher", *rest]
    runpy.run_module(MODULES[program], run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    hold_signals(signal.SIGHUP)
    main(sys.argv[1:])
