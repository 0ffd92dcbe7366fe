"""A test world in real time: a clock, machines with their own loopback addresses, and stand-ins on them."""

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

TIMER_CHECK_SECONDS = 0.02  # the interval at which the test rig measures how late its own timers are
FIRST_OCTET, OCTETS = 16, 200  # concurrent rigs use different networks, from 127.16 to 127.215


class Stoppable(Protocol):
    """The interface of a real process that its machine needs."""

    @property
    def dead(self) -> bool:
        """Whether the process has ended."""

    def stop(self, on: bool) -> None:
        """Stop or continue the process; it continues when every stop has been matched by a continue."""


class StandIn:
    """A stand-in server with the interface of a process; it runs on the test rig's scheduler until killed."""

    def __init__(self, server: object) -> None:
        self._server = server
        self.dead = False
        self.ended: int | None = None
        self.limit = 0
        self.descriptors = 0
        self.stderr = b""

    def kill(self, reset: bool = False) -> None:
        """Close the stand-in at once, with connection resets if `reset` is set."""
        if self.dead:
            return
        self.dead, self.ended = True, -int(signal.SIGKILL)
        close = getattr(self._server, "close", None)
        if close is not None:
            close(reset=reset)

    def signal(self, number: int) -> None:
        """Handle a signal: SIGKILL ends the stand-in, all others are ignored."""
        if number == signal.SIGKILL:
            self.kill()


class RealMachine:
    """A loopback address and the processes that run there; `runs_sidecar` tells whether a sidecar does."""

    def __init__(self, stage: RealStage, name: str, ip: str, runs_sidecar: bool) -> None:
        self.stage, self.name, self.ip, self.runs_sidecar = stage, name, ip, runs_sidecar
        self.has_vanished = self.drops_connects = self.descriptors_limited = False
        # Whether the machine's stand-ins are paused while its kernel still accepts connections.
        self.stand_ins_paused = False
        self.process: Stoppable | None = None  # the sidecar's process, if a sidecar runs here
        self.wall_file = stage.folder / f"{name}.wall"
        self.wall_file.write_bytes(struct.pack("<q", 0))
        # Bound sockets that reserve this machine's ports, by nominal port.
        self._reserved_ports: dict[int, socket.socket] = {}
        self._stand_ins: list[StandIn] = []
        self._wall_offset_ns = 0

    def address(self, port: int) -> Address:
        """Return the real address for a nominal port; the first call reserves a free port for it."""
        if port not in self._reserved_ports:
            reservation = socket.socket()
            reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            reservation.bind((self.ip, 0))
            self._reserved_ports[port] = reservation
            self.stage.network.register_port(reservation.getsockname()[:2], self, port)
        address: Address = self._reserved_ports[port].getsockname()[:2]
        return address

    def serve(
        self, build: Callable[[Scheduler], object], name: str = "", descriptors: int | None = None
    ) -> StandIn:
        """Build and start a stand-in on this machine."""
        if self.has_vanished:
            raise RuntimeError(f"{self.name} has vanished")
        stand_in = StandIn(build(self.stage.scheduler))
        self._stand_ins = [each for each in self._stand_ins if not each.dead]
        self._stand_ins.append(stand_in)
        return stand_in

    def stall(self, wait_ns: int) -> None:
        """Pause this machine's processes for `wait_ns` nanoseconds; the kernel still accepts connections."""
        process = self.process
        if process is not None:
            if not process.dead:
                process.stop(True)
                self.stage.after(wait_ns, lambda: process.stop(False))
            return
        self.stand_ins_paused = True

        def over() -> None:
            self.stand_ins_paused = False
            self.stage.network.update()

        self.stage.after(wait_ns, over)

    def vanish(self) -> None:
        """Simulate a loss of power: connections lead nowhere, and all stand-ins end."""
        self.has_vanished = True
        self.stage.network.power_off(self)
        for each in self._stand_ins:
            each.kill(reset=True)

    def come_back(self) -> None:
        """Restore the power, without any process running."""
        self.has_vanished = False
        self.stage.network.power_on(self)

    def shift_wall(self, by_ns: int) -> None:
        """Shift the wall clock that this machine's processes read, forward or back."""
        self._wall_offset_ns += by_ns
        with open(self.wall_file, "r+b") as file:  # written in place, since processes have the file mapped
            file.write(struct.pack("<q", self._wall_offset_ns))

    def close(self) -> None:
        """End all stand-ins and release the reserved ports."""
        for each in self._stand_ins:
            each.kill()
        for reservation in self._reserved_ports.values():
            reservation.close()


class RealStage:
    """The world of a real-time run: machines, network, taps and stand-ins on one scheduler."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.seed, self.folder = seed, folder
        self.system = RigSystem()
        self.scheduler = Scheduler(self.system)
        self.network = RealNetwork(self)
        self.system.set_listening = self.network.set_listening
        self.machines: dict[str, RealMachine] = {}
        self.taps: list[Any] = []
        self.step_hooks: list[Callable[[], object]] = []
        self.failure: Exception | None = None
        self.timer_lateness_s: list[float] = []  # how late the test rig's own timers ran, in seconds
        self.cpu_s = self.measured_s = 0.0
        self._octet = FIRST_OCTET + os.getpid() % OCTETS
        self._pending_calls: set[Callable[[], None]] = set()
        self._check_lateness(self.scheduler.now())

    @property
    def now_ns(self) -> int:
        """The time of the system's monotonic clock in nanoseconds."""
        return time.monotonic_ns()

    @property
    def wall_ns(self) -> int:
        """The Unix time in nanoseconds."""
        return time.time_ns()

    def _check_lateness(self, due: float) -> None:
        now = self.scheduler.now()
        self.timer_lateness_s.append(now - due)
        self.run_step_hooks()
        self.scheduler.call_at(
            now + TIMER_CHECK_SECONDS, lambda: self._check_lateness(now + TIMER_CHECK_SECONDS)
        )

    def begin_measure(self) -> tuple[float, float]:
        """Discard the lateness measured so far and return the values to pass to `end_measure`."""
        self.timer_lateness_s.clear()
        self.network.late.clear()
        self.system.epoll.rounds.clear()
        return time.process_time(), time.monotonic()

    def end_measure(self, begun: tuple[float, float]) -> None:
        """Record the processor time and the elapsed time since `begin_measure`."""
        self.cpu_s, self.measured_s = time.process_time() - begun[0], time.monotonic() - begun[1]

    def run_step_hooks(self) -> None:
        """Call the step hooks, after events were reported or time has passed."""
        for hook in self.step_hooks:
            hook()

    def notify_taps(self, what: str, *args: Any) -> None:
        """Report an event to all taps; an exception from a tap ends the run."""
        try:
            for tap in self.taps:
                getattr(tap, what)(self.now_ns, *args)
        except Exception as error:
            if self.failure is None:
                self.failure = error
            self.scheduler.stop()

    def call_soon_once(self, call: Callable[[], None]) -> None:
        """Schedule a call for the next round of the scheduler, once even if it is requested several times."""
        if call not in self._pending_calls:
            self._pending_calls.add(call)

            def go() -> None:
                self._pending_calls.discard(call)
                call()

            self.scheduler.call_at(0.0, go)

    def stream(self, name: str) -> random.Random:
        """Return a random generator for one purpose, seeded by the world's seed and the name."""
        return random.Random(f"{self.seed}/{name}")

    def machine(self, name: str, ip: str) -> RealMachine:
        """Return a new machine for a nominal address; addresses in 10.0 belong to sidecars."""
        _, kind, *octets = ip.split(".")
        # The loopback address 127.X.(16*kind+high).low identifies the machine, and the test rig by X.
        own = f"127.{self._octet}.{16 * int(kind) + int(octets[0])}.{octets[1]}"
        machine = self.machines[name] = RealMachine(self, name, own, kind == "0")
        return machine

    def at(self, when_ns: int, call: Callable[[], object]) -> Timer:
        """Schedule a call at a time of the monotonic clock in nanoseconds, or at once if that has passed."""
        return self.scheduler.call_at(when_ns / 1e9, call)

    def after(self, wait_ns: int, call: Callable[[], object]) -> Timer:
        """Schedule a call after `wait_ns` nanoseconds."""
        return self.at(self.now_ns + max(0, wait_ns), call)

    def run(self, until_ns: int | None = None, until: Callable[[], bool] | None = None) -> bool:
        """Run until the time `until_ns`, or until `until` returns true; return whether `until` did."""
        is_met = False

        def over() -> bool:
            nonlocal is_met
            is_met = until is not None and until()
            return is_met or self.failure is not None or (until_ns is not None and self.now_ns >= until_ns)

        if until_ns is not None:
            self.at(until_ns, self.scheduler.interrupt_poll)
        self.scheduler.run(over)
        if self.failure is not None:
            failure, self.failure = self.failure, None
            raise failure
        return is_met

    def close(self) -> None:
        """End the network, the machines and the scheduler."""
        self.taps, self.step_hooks = [], []
        self.network.close()
        for machine in self.machines.values():
            machine.close()
        self.scheduler.close()
