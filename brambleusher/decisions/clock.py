"""The time by which decisions are made."""

from __future__ import annotations

from brambleusher.runtime.system import System

NS_PER_S = 1e9


class Clock:
    """Unix time, read from the wall once and carried on by the monotonic clock.

    Guards against a wall clock that is set while the sidecar runs, and against comparing monotonic
    time with the start times in the endpoint list, which are Unix time.
    """

    def __init__(self, system: System) -> None:
        self._monotonic_ns = system.monotonic_ns
        self._offset_ns = system.wall_ns() - system.monotonic_ns()

    def now_ns(self) -> int:
        """Return Unix time in nanoseconds."""
        return self._offset_ns + self._monotonic_ns()

    def seconds(self, at_ns: int) -> float:
        """Return the scheduler's time, in seconds, at a moment of Unix time."""
        return (at_ns - self._offset_ns) / NS_PER_S
