"""Clock for the balancer's decisions."""

from __future__ import annotations

from brambleusher.runtime.system import System

NS_PER_S = 1e9


class Clock:
    """Unix time that advances with the monotonic clock; the wall clock is read only once.

    Decisions are therefore unaffected when the wall clock is set while the sidecar runs, and times can still
    be compared with the start times in the endpoint list, which are Unix times.
    """

    def __init__(self, system: System) -> None:
        self._monotonic_ns = system.monotonic_ns
        self._offset_ns = system.wall_ns() - system.monotonic_ns()

    def now_ns(self) -> int:
        """Return Unix time in nanoseconds."""
        return self._offset_ns + self._monotonic_ns()

    def seconds(self, at_ns: int) -> float:
        """Return the scheduler's time in seconds for a Unix time in nanoseconds."""
        return (at_ns - self._offset_ns) / NS_PER_S
