"""Runs one process of a soak with a mutation, which is a deliberately planted fault.

python -m brambleusher.lab.soak.mutated_process MUTATION PROGRAM ARGUMENT...
"""

from __future__ import annotations

import runpy
import sys
from collections.abc import Sequence

from brambleusher.runtime.signal_holding import SERVING_SIGNALS, hold_signals

SYSTEM, SIDECAR = "system", "sidecar"
MODULES = {SYSTEM: "brambleusher.system_main", SIDECAR: "brambleusher"}


def main(arguments: Sequence[str]) -> None:
    """Apply the mutation, then run the program with the remaining arguments until it exits."""
    name, program, *program_arguments = arguments
    from brambleusher.lab.faults.breakages import Patches  # imported here, since the import is slow
    from brambleusher.lab.soak.mutations import find_mutation

    find_mutation(name).apply_to(Patches())
    sys.argv = ["brambleusher", *program_arguments]
    runpy.run_module(MODULES[program], run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    hold_signals(*SERVING_SIGNALS)
    main(sys.argv[1:])
