"""Output destinations of features; features with the same destination share one writer."""

from __future__ import annotations

from collections.abc import Callable

from brambleusher.features.output_queue import OutputWriter
from brambleusher.runtime.system import Sink, System

STDERR = "stderr"
STDERR_DESCRIPTOR = 2


class Outputs:
    """Creates output writers on first use, one per destination."""

    def __init__(self, system: System) -> None:
        self._system = system
        self._writers: dict[str, OutputWriter] = {}  # open writers by destination

    @property
    def has_stderr(self) -> bool:
        """Whether any feature writes to standard error."""
        return STDERR in self._writers

    def stderr(self) -> OutputWriter:
        """Return the writer for standard error."""
        return self.writer(STDERR, lambda: self._system.descriptor_sink(STDERR_DESCRIPTOR))

    def writer(self, destination: str, open_sink: Callable[[], Sink]) -> OutputWriter:
        """Return a destination's writer; `open_sink` is called when the writer is first created."""
        if destination not in self._writers:
            self._writers[destination] = OutputWriter(open_sink(), destination, self._system)
        return self._writers[destination]

    def close_all_but_stderr(self) -> None:
        """Flush and close all writers but standard error, to which the counters are written at exit."""
        for destination, writer in self._writers.items():
            if destination != STDERR:
                writer.close()

    def close(self) -> None:
        """Flush and close all writers."""
        for writer in self._writers.values():
            writer.close()
