"""One process of a soak with a planted fault.

python -m brambleusher.lab.soak.mutated_process MUTATION PROGRAM ARGUMENT...
"""

from __future__ import annotations

import sys
from collections.abc import Sequence

SYSTEM, SIDECAR = "system", "sidecar"


def main(arguments: Sequence[str]) -> int:
    """Plant the fault, then run the program with the rest of the arguments; return its exit status."""
    name, program, *rest = arguments
    from brambleusher.lab.faults.breakages import Patches
    from brambleusher.lab.soak.mutations import find

    find(name).put(Patches())
    if program == SYSTEM:
        from brambleusher.system_main import main as run
    else:
        from brambleusher.__main__ import main as run
    return run(rest)


if __name__ == "__main__":
    from brambleusher.runtime.signal_holding import run_holding_reload

    sys.exit(run_holding_reload(lambda: main(sys.argv[1:])))
