"""One sidecar process of a drill: the unmodified program with a wall clock that the test rig can shift.

`python -m brambleusher.lab.processes.child WALL-FILE [--operator FILE] [--breakage NAME]`
"""

from __future__ import annotations

import mmap
import struct
import sys
import time
from contextlib import AbstractContextManager, nullcontext

import click

from brambleusher.runtime.operating_system import RealSystem
from brambleusher.sidecar.main import run


class ShiftedClockSystem(RealSystem):
    """The operating system with a shifted wall clock.

    A memory-mapped file holds the offset in nanoseconds, as a little-endian signed integer of 8 bytes.
    """

    def __init__(self, wall_file: str) -> None:
        super().__init__()
        with open(wall_file, "rb") as file:
            self._offset = mmap.mmap(file.fileno(), 8, access=mmap.ACCESS_READ)

    def wall_ns(self) -> int:
        """Return the Unix time in nanoseconds plus the offset that the test rig has set."""
        (offset,) = struct.unpack("<q", self._offset[:8])
        return time.time_ns() + int(offset)


@click.command()
@click.argument("wall_file")
@click.option("--operator")
@click.option("--breakage")
def main(wall_file: str, operator: str | None, breakage: str | None) -> None:
    """Run the sidecar until it exits, with a mutation applied if `--breakage` names one."""
    mutation_context: AbstractContextManager[object] = nullcontext()
    if breakage is not None:
        from brambleusher.lab.processes.breakages import apply_mutation

        mutation_context = apply_mutation(breakage)
    with mutation_context:
        sys.exit(run(operator, "logfmt", ShiftedClockSystem(wall_file)))


if __name__ == "__main__":
    main()
