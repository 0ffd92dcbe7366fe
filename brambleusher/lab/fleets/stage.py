"""What a fleet needs of the world it stands in: virtual time's or real processes' one."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

from brambleusher.lab.checker.books import Wire
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.system import Address


class Process(Protocol):
    """One process."""

    limit: int  # descriptors that it may have open

    @property
    def dead(self) -> bool:
        """Whether it has ended."""

    @property
    def descriptors(self) -> int:
        """How many are open, the three standard ones not counted."""

    @property
    def ended(self) -> int | None:
        """Its exit status, -N if signal N killed it; None while it runs."""

    @property
    def stderr(self) -> bytes | bytearray:
        """What it has written there."""

    def kill(self, reset: bool = False) -> None:
        """End it at once; with `reset` its connections are reset."""

    def signal(self, number: int) -> None:
        """Send it a signal."""


class Machine(Protocol):
    """Where processes run."""

    @property
    def name(self) -> str:
        """Its name."""

    @property
    def ip(self) -> str:
        """Its address."""

    @property
    def gone(self) -> bool:
        """Whether it is without power."""

    def address(self, port: int) -> Address:
        """Where a process of it listens that is to listen on some port."""

    def serve(
        self, build: Callable[[Scheduler], object], name: str = "", descriptors: int | None = None
    ) -> Process:
        """Start a process that builds something on a scheduler and runs it."""

    def stall(self, wait_ns: int) -> None:
        """No process on it runs for a while; its kernel goes on."""

    def vanish(self) -> None:
        """Lose its power."""

    def come_back(self) -> None:
        """Have it again, without processes."""

    def shift_wall(self, by_ns: int) -> None:
        """Set the wall clock forward, or back."""


class Link(Protocol):
    """One way between two machines."""

    latency_ns: int


class Network(Protocol):
    """All links and connections, and the faults one may cause on them; machines are this world's."""

    def link(self, from_: Any, to: Any) -> Link:
        """The way from one machine to another."""

    def reachable_address(self, machine: Any, address: Address) -> Address:
        """Where a machine connects to, to reach an address."""

    def connections(self, machine: Any) -> Sequence[Wire]:
        """Those that the process on a machine has accepted."""

    def cut(self, a: Any, b: Any, one_way: bool = False) -> None:
        """Nothing passes from `a` to `b`, nor back unless `one_way`."""

    def heal(self, a: Any, b: Any, one_way: bool = False) -> None:
        """It passes again, with what was sent meanwhile."""

    def slow_link(self, a: Any, b: Any, extra_ns: int) -> None:
        """Both ways take so much longer; 0 ends it."""

    def throttle(self, a: Any, b: Any, bytes_per_s: float) -> None:
        """So many bytes a second pass each way at most; 0 ends it."""

    def blackhole(self, connection: Any) -> None:
        """Both ends stay open and nothing passes."""

    def stop_blackholing(self, connection: Any) -> None:
        """It passes again."""

    def reset(self, connection: Any) -> None:
        """Both ends get a reset."""

    def refuse(self, machine: Any, port: int) -> None:
        """Connects to a port are refused, though somebody listens."""

    def stop_refusing(self, machine: Any, port: int) -> None:
        """They are taken again."""

    def drop_connects(self, machine: Any) -> None:
        """Connects to a machine stay unanswered."""

    def stop_dropping_connects(self, machine: Any) -> None:
        """They are answered again."""


class Stage(Protocol):
    """A world; times in nanoseconds of its monotonic clock."""

    @property
    def now_ns(self) -> int:
        """Now."""

    @property
    def wall_ns(self) -> int:
        """Unix time on a clock that is right."""

    @property
    def network(self) -> Network:
        """Its network."""

    @property
    def machines(self) -> Mapping[str, Machine]:
        """By name."""

    def machine(self, name: str, ip: str) -> Machine:
        """A new machine."""

    def stream(self, name: str) -> random.Random:
        """Random numbers of their own for one purpose."""

    def at(self, when_ns: int, call: Callable[[], object]) -> object:
        """Have a call made at a moment, at once if it has passed."""

    def after(self, wait_ns: int, call: Callable[[], object]) -> object:
        """Have a call made after a while."""

    def run(self, until_ns: int | None = None, until: Callable[[], bool] | None = None) -> bool:
        """Go on until a moment, or until `until` says so; says whether it did."""
