"""A world of real processes: the clock, machines with loopback addresses of their own, stand-ins on them."""

from __future__ import annotations

import os
import random
import signal
import socket
import struct
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

from brambleusher.lab.processes.relays import RealNetwork, RigSystem
from brambleusher.runtime.scheduler import Scheduler, Timer
from brambleusher.runtime.system import Address

BEAT_SECONDS = 0.02  # between two looks at how late the rig itself is
FIRST_OCTET, OCTETS = 16, 200  # of rigs that run beside one another: 127.16 to 127.215


class Stoppable(Protocol):
    """A real process, as its machine needs it."""

    @property
    def dead(self) -> bool:
        """Whether it has ended."""

    def stop(self, on: bool) -> None:
        """SIGSTOP or SIGCONT, counted: it goes on when all that stopped it have let go."""


class StandIn:
    """A stand-in as a process: it lives on the rig's scheduler, and ends when it is told to."""

    def __init__(self, server: object) -> None:
        self._server = server
        self.dead = False
        self.ended: int | None = None
        self.limit = 0
        self.descriptors = 0
        self.stderr = b""

    def kill(self, reset: bool = False) -> None:
        """End it at once."""
        if self.dead:
            return
        self.dead, self.ended = True, -int(signal.SIGKILL)
        close = getattr(self._server, "close", None)
        if close is not None:
            close(reset=reset)

    def signal(self, number: int) -> None:
        """Stand-ins have none but the one that ends them."""
        if number == signal.SIGKILL:
            self.kill()


class RealMachine:
    """An address of loopback, and what runs there; `program`: a sidecar does."""

    def __init__(self, stage: RealStage, name: str, ip: str, program: bool) -> None:
        self.stage, self.name, self.ip, self.program = stage, name, ip, program
        self.gone = self.drops_connects = self.squeezed = False
        self.holds = False  # its stand-ins get no processor; its kernel goes on
        self.process: Stoppable | None = None  # a sidecar's
        self.wall_file = stage.folder / f"{name}.wall"
        self.wall_file.write_bytes(struct.pack("<q", 0))
        self._kept: dict[int, socket.socket] = {}  # that keep its ports from others
        self._stand_ins: list[StandIn] = []
        self._wall_offset_ns = 0

    def address(self, port: int) -> Address:
        """Where a process of it listens that is to listen on some port."""
        if port not in self._kept:
            kept = socket.socket()
            kept.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            kept.bind((self.ip, 0))
            self._kept[port] = kept
            self.stage.network.own(kept.getsockname()[:2], self, port)
        address: Address = self._kept[port].getsockname()[:2]
        return address

    def serve(
        self, build: Callable[[Scheduler], object], name: str = "", descriptors: int | None = None
    ) -> StandIn:
        """Build a stand-in, at once."""
        if self.gone:
            raise RuntimeError(f"{self.name} has vanished")
        stand_in = StandIn(build(self.stage.scheduler))
        self._stand_ins = [each for each in self._stand_ins if not each.dead]
        self._stand_ins.append(stand_in)
        return stand_in

    def stall(self, wait_ns: int) -> None:
        """No process on it runs for a while; its kernel goes on."""
        process = self.process
        if process is not None:
            if not process.dead:
                process.stop(True)
                self.stage.after(wait_ns, lambda: process.stop(False))
            return
        self.holds = True

        def over() -> None:
            self.holds = False
            self.stage.network.judge()

        self.stage.after(wait_ns, over)

    def vanish(self) -> None:
        """Lose its power."""
        self.gone = True
        self.stage.network.lose(self)
        for each in self._stand_ins:
            each.kill(reset=True)

    def come_back(self) -> None:
        """Have it again, without processes."""
        self.gone = False
        self.stage.network.find(self)

    def shift_wall(self, by_ns: int) -> None:
        """Set the wall clock that its processes read forward, or back."""
        self._wall_offset_ns += by_ns
        with open(self.wall_file, "r+b") as file:  # in place: processes have it mapped
            file.write(struct.pack("<q", self._wall_offset_ns))

    def close(self) -> None:
        """End what is here."""
        for each in self._stand_ins:
            each.kill()
        for kept in self._kept.values():
            kept.close()


class RealStage:
    """The world: one scheduler in the rig's process, and what it drives."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.seed, self.folder = seed, folder
        self.system = RigSystem()
        self.scheduler = Scheduler(self.system)
        self.network = RealNetwork(self)
        self.system.heard = self.network.heard
        self.machines: dict[str, RealMachine] = {}
        self.taps: list[Any] = []
        self.step_hooks: list[Callable[[], object]] = []
        self.failure: Exception | None = None
        self.beats_late: list[float] = []  # seconds by which the rig's own timers came late
        self.cpu_s = self.measured_s = 0.0
        self._octet = FIRST_OCTET + os.getpid() % OCTETS
        self._soon: set[Callable[[], None]] = set()
        self._beat(self.scheduler.now())

    @property
    def now_ns(self) -> int:
        """On the system's monotonic clock."""
        return time.monotonic_ns()

    @property
    def wall_ns(self) -> int:
        """Unix time."""
        return time.time_ns()

    def _beat(self, due: float) -> None:
        now = self.scheduler.now()
        self.beats_late.append(now - due)
        self.stepped()
        self.scheduler.call_at(now + BEAT_SECONDS, lambda: self._beat(now + BEAT_SECONDS))

    def begin_measure(self) -> tuple[float, float]:
        """Forget how late the rig has been so far; what `end_measure` is given."""
        self.beats_late.clear()
        self.network.late.clear()
        self.system.epoll.rounds.clear()
        return time.process_time(), time.monotonic()

    def end_measure(self, begun: tuple[float, float]) -> None:
        """Note what the rig has used since."""
        self.cpu_s, self.measured_s = time.process_time() - begun[0], time.monotonic() - begun[1]

    def stepped(self) -> None:
        """Something was told, or time has passed."""
        for hook in self.step_hooks:
            hook()

    def tell(self, what: str, *args: Any) -> None:
        """Tell the taps; what one raises ends the run."""
        try:
            for tap in self.taps:
                getattr(tap, what)(self.now_ns, *args)
        except Exception as error:
            if self.failure is None:
                self.failure = error
            self.scheduler.stop()

    def soon(self, call: Callable[[], None]) -> None:
        """Have a call made in the next round, once however often it is asked for."""
        if call not in self._soon:
            self._soon.add(call)

            def go() -> None:
                self._soon.discard(call)
                call()

            self.scheduler.call_at(0.0, go)

    def stream(self, name: str) -> random.Random:
        """Random numbers of their own for one purpose."""
        return random.Random(f"{self.seed}/{name}")

    def machine(self, name: str, ip: str) -> RealMachine:
        """A new machine; those of 10.0 are sidecars'."""
        _, kind, *rest = ip.split(".")
        # 127.X.kind*16+high.low: an address of loopback that names the machine, and the rig by X.
        own = f"127.{self._octet}.{16 * int(kind) + int(rest[0])}.{rest[1]}"
        machine = self.machines[name] = RealMachine(self, name, own, kind == "0")
        return machine

    def at(self, when_ns: int, call: Callable[[], object]) -> Timer:
        """Have a call made at a moment, at once if it has passed."""
        return self.scheduler.call_at(when_ns / 1e9, call)

    def after(self, wait_ns: int, call: Callable[[], object]) -> Timer:
        """Have a call made after a while."""
        return self.at(self.now_ns + max(0, wait_ns), call)

    def run(self, until_ns: int | None = None, until: Callable[[], bool] | None = None) -> bool:
        """Go on until a moment, or until `until` says so; says whether it did."""
        said = False

        def over() -> bool:
            nonlocal said
            said = until is not None and until()
            return said or self.failure is not None or (until_ns is not None and self.now_ns >= until_ns)

        if until_ns is not None:
            self.at(until_ns, self.scheduler.interrupt_poll)
        self.scheduler.run(over)
        if self.failure is not None:
            failure, self.failure = self.failure, None
            raise failure
        return said

    def close(self) -> None:
        """End it all."""
        self.taps, self.step_hooks = [], []
        self.network.close()
        for machine in self.machines.values():
            machine.close()
        self.scheduler.close()
