"""Interfaces that a fleet needs from its world, which is either in virtual time or of real processes."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

from brambleusher.lab.checker.books import Wire
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.system import Address


class Process(Protocol):
    """A process on a machine of the world."""

    limit: int  # maximum number of open file descriptors

    @property
    def dead(self) -> bool:
        """Whether the process has exited."""

    @property
    def descriptors(self) -> int:
        """Number of open file descriptors, without the three standard ones."""

    @property
    def ended(self) -> int | None:
        """Exit status of the process, -N if signal N killed the process, None while it runs."""

    @property
    def stderr(self) -> bytes | bytearray:
        """Bytes that the process has written to standard error."""

    def kill(self, reset: bool = False) -> None:
        """Kill the process; with `reset`, its connections are reset instead of closed."""

    def signal(self, number: int) -> None:
        """Send a signal to the process."""


class Machine(Protocol):
    """A machine on which processes run."""

    @property
    def name(self) -> str:
        """Name of the machine."""

    @property
    def ip(self) -> str:
        """IP address of the machine."""

    @property
    def has_vanished(self) -> bool:
        """Whether the machine has lost power."""

    def address(self, port: int) -> Address:
        """Return the address that a process on the machine must use to listen on a given port."""

    def serve(
        self, build: Callable[[Scheduler], object], name: str = "", descriptors: int | None = None
    ) -> Process:
        """Start a process that calls `build` with its scheduler and runs the scheduler."""

    def stall(self, wait_ns: int) -> None:
        """Pause all processes of the machine for some time, while its kernel keeps running."""

    def vanish(self) -> None:
        """Cut the power of the machine."""

    def come_back(self) -> None:
        """Restore the power of the machine, without processes."""

    def shift_wall(self, by_ns: int) -> None:
        """Set the wall clock forward, or back for a negative `by_ns`."""


class Link(Protocol):
    """One direction of the network between two machines."""

    latency_ns: int


class Network(Protocol):
    """All links and connections of a world, and the faults that can be injected into them."""

    def link(self, from_: Any, to: Any) -> Link:
        """Return the link from one machine to another."""

    def reachable_address(self, machine: Any, address: Address) -> Address:
        """Return the address to which a machine connects to reach a given address."""

    def connections(self, machine: Any) -> Sequence[Wire]:
        """Return the connections that the process on a machine has accepted."""

    def partition(self, a: Any, b: Any, one_way: bool = False) -> None:
        """Partition the network from `a` to `b`, and in the other direction too unless `one_way`."""

    def heal(self, a: Any, b: Any, one_way: bool = False) -> None:
        """Repair a partition, and deliver the data sent during the partition."""

    def set_link_latency(self, a: Any, b: Any, extra_ns: int) -> None:
        """Add `extra_ns` of latency in both directions; 0 removes the added latency."""

    def throttle(self, a: Any, b: Any, bytes_per_s: float) -> None:
        """Limit the throughput in each direction, in bytes per second; 0 removes the limit."""

    def blackhole(self, connection: Any) -> None:
        """Stop all data on a connection, with both ends left open."""

    def stop_blackholing(self, connection: Any) -> None:
        """Resume the data on a blackholed connection."""

    def reset(self, connection: Any) -> None:
        """Reset both ends of a connection."""

    def refuse_connects(self, machine: Any, port: int) -> None:
        """Refuse new connections to a port, although a process listens on it."""

    def stop_refusing(self, machine: Any, port: int) -> None:
        """Accept new connections to a port again."""

    def drop_connects(self, machine: Any) -> None:
        """Leave connection attempts to a machine without a response."""

    def stop_dropping_connects(self, machine: Any) -> None:
        """Respond to connection attempts to a machine again."""


class Stage(Protocol):
    """A world in which a fleet runs, with times in nanoseconds on the world's monotonic clock."""

    @property
    def now_ns(self) -> int:
        """Current time on the world's monotonic clock, in nanoseconds."""

    @property
    def wall_ns(self) -> int:
        """Correct Unix time in nanoseconds, not affected by `shift_wall`."""

    @property
    def network(self) -> Network:
        """Network of the world."""

    @property
    def machines(self) -> Mapping[str, Machine]:
        """Machines of the world by name."""

    def machine(self, name: str, ip: str) -> Machine:
        """Add a machine to the world."""

    def stream(self, name: str) -> random.Random:
        """Return a random generator reserved for one purpose."""

    def at(self, when_ns: int, call: Callable[[], object]) -> object:
        """Schedule a call at a given time, or immediately if that time has passed."""

    def after(self, wait_ns: int, call: Callable[[], object]) -> object:
        """Schedule a call after `wait_ns` nanoseconds."""

    def run(self, until_ns: int | None = None, until: Callable[[], bool] | None = None) -> bool:
        """Run until a given time or until `until` returns True; return whether `until` did."""
