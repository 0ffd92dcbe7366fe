"""Where features write to: one writer a destination, shared by the features that name it."""

from __future__ import annotations

from collections.abc import Callable

from brambleusher.features.output_queue import OutputWriter
from brambleusher.runtime.system import Sink, System

STDERR = "stderr"
STDERR_DESCRIPTOR = 2


class Outputs:
    """The writers, made as they are asked for."""

    def __init__(self, system: System) -> None:
        self._system = system
        self._writers: dict[str, OutputWriter] = {}  # by destination

    @property
    def has_stderr(self) -> bool:
        """Whether a feature writes to standard error."""
        return STDERR in self._writers

    def stderr(self) -> OutputWriter:
        """Return the writer to standard error."""
        return self.writer(STDERR, lambda: self._system.descriptor_sink(STDERR_DESCRIPTOR))

    def writer(self, destination: str, open_sink: Callable[[], Sink]) -> OutputWriter:
        """Return a destination's writer; `open_sink` is called for the first one."""
        if destination not in self._writers:
            self._writers[destination] = OutputWriter(open_sink(), destination, self._system)
        return self._writers[destination]

    def close_all_but_stderr(self) -> None:
        """Write what waits to all destinations but standard error, which the counters go to at the exit."""
        for destination, writer in self._writers.items():
            if destination != STDERR:
                writer.close()

    def close(self) -> None:
        """Write what waits to all destinations."""
        for writer in self._writers.values():
            writer.close()
