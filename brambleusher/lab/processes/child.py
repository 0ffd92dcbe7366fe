"""One sidecar of a drill: the program as it is, on a system whose wall clock the rig may set.

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


class RiggedSystem(RealSystem):
    """This process's machine, its wall clock set off by what a file holds: nanoseconds, 8 bytes."""

    def __init__(self, wall_file: str) -> None:
        with open(wall_file, "rb") as file:
            self._offset = mmap.mmap(file.fileno(), 8, access=mmap.ACCESS_READ)

    def wall_ns(self) -> int:
        """Unix time in nanoseconds as the rig has it."""
        (offset,) = struct.unpack("<q", self._offset[:8])
        return time.time_ns() + int(offset)


@click.command()
@click.argument("wall_file")
@click.option("--operator")
@click.option("--breakage")
def main(wall_file: str, operator: str | None, breakage: str | None) -> None:
    """Serve."""
    broken: AbstractContextManager[object] = nullcontext()
    if breakage is not None:
        from brambleusher.lab.processes.breakages import on

        broken = on(breakage)
    with broken:
        sys.exit(run(operator, "logfmt", RiggedSystem(wall_file)))


if __name__ == "__main__":
    main()
