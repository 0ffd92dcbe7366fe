"""Seeded simulation in virtual time: a clock with events, machines, and processes with their system calls.

One thread runs the whole simulation. A process is a greenlet that calls an unmodified main program with a
`System` of its own. The process runs until it polls or waits for a worker or a sink; then the world runs the
next event. Every unspecified quantity, such as the time between two polls, is drawn from the seed.
"""

from __future__ import annotations

import errno
import heapq
import logging
import random
import signal
import traceback
from collections import deque
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass
from typing import Any, Protocol

import greenlet

from brambleusher.lab.virtual.network import (
    ANY,
    ERR,
    FIRST_PORT,
    HUP,
    LAST_PORT,
    NVAL,
    Connection,
    Killed,
    Network,
    State,
    VirtualListener,
    VirtualSocket,
    os_error,
)
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.system import READ, WRITE, Address, Item, Poller, Sink, Socket, Waker, Worker

START_NS = 1_000_000_000_000  # reading of every monotonic clock when a world begins
WALL_NS = 1_790_000_000_000_000_000  # Unix time when a world begins, in nanoseconds
MILLISECOND = 1_000_000
STANDARD_DESCRIPTORS = 3  # number of the standard descriptors, which every process has open from the start
# Signals that Linux ignores by default; any other signal without a handler ends the process.
IGNORED_SIGNALS = frozenset({signal.SIGCHLD, signal.SIGCONT, signal.SIGURG, signal.SIGWINCH})
MAX_THROWS = 16  # attempts to end a greenlet of a dead process before it is abandoned

Range = tuple[int, int]  # lowest and highest value, both included


@dataclass(frozen=True, slots=True)
class Pace:
    """Durations of the steps of a process that has only a share of a core, in nanoseconds."""

    start_ns: Range  # time from the start of the process to the first step of its program
    poll_interval_ns: Range  # time from one poll to the next


@dataclass(frozen=True, slots=True)
class WorldSettings:
    """Properties of a world; times in nanoseconds, sizes in bytes, fractions from 0 to 1."""

    latency_ns: Range = (40_000, 400_000)  # one-way latency between machines, drawn once per direction
    jitter_ns: int = 60_000  # largest addition to the latency, drawn for each transmission
    loopback_ns: Range = (4_000, 12_000)  # one-way latency within a machine
    poll_interval_ns: Range = (3_000, 25_000)  # time a process takes from one poll to the next
    wake_ns: Range = (1_000, 15_000)  # time from a descriptor's readiness to the return of the poll
    start_ns: Range = (1_000, 2_000_000)  # time from a process's start to the first step of its program
    worker_ns: Range = (20_000, 500_000)  # time from a worker's wake-up to its turn
    send_buffer: int = 64 * 1024
    receive_buffer: int = 64 * 1024
    split: float = 0.05  # fraction of transmissions that arrive in two parts, split at a random byte
    short_send: float = 0.02  # fraction of sends that take only a part of the bytes
    short_receive: float = 0.03  # fraction of receives that return only a part of the available bytes
    # Fraction of connections reset before accept() that fail it with ECONNABORTED, as BSD does.
    aborted_accepts: float = 0.0
    max_retransmit_ns: int = 120 * 1_000_000_000  # longest retransmission timeout
    descriptors: int = 1024  # default limit of descriptors for a process
    output_bytes: int = 256 * 1024  # size of the kept tail of a process's standard error


class Tap:
    """Observer of every step on the wire, with its time in nanoseconds; `side` is "client" or "server"."""

    def opened(self, now: int, conn: Connection) -> None:
        """Observe the start of a connect."""

    def established(self, now: int, conn: Connection) -> None:
        """Observe that a connection is established from its client's view."""

    def accepted(self, now: int, conn: Connection) -> None:
        """Observe that a process accepted a connection from its listener's queue."""

    def refused(self, now: int, conn: Connection) -> None:
        """Observe that a client learnt of the refusal of its connect."""

    def sent(self, now: int, conn: Connection, side: str, data: bytes) -> None:
        """Observe bytes that a process handed to its system."""

    def arrived(self, now: int, conn: Connection, side: str, data: bytes) -> None:
        """Observe bytes that became readable at a side."""

    def read(self, now: int, conn: Connection, side: str, data: bytes) -> None:
        """Observe bytes that a process read from its system."""

    def ended(self, now: int, conn: Connection, side: str, how: str) -> None:
        """Observe that the peer's end reached a side; `how` is "fin" or "reset"."""

    def closed(self, now: int, conn: Connection, side: str) -> None:
        """Observe that the process at a side closed a connection or ended."""

    def process(self, now: int, machine: Machine, what: str) -> None:
        """Observe a change of a process: `what` is "started", "killed", "exited" or "signal N".

        After "killed" and "exited" the process's connections are reported as closed.
        """


class Event:
    """A call scheduled for a time."""

    __slots__ = ("args", "call")

    def __init__(self, call: Callable[..., Any] | None, args: tuple[Any, ...]) -> None:
        self.call, self.args = call, args

    def cancel(self) -> None:
        """Cancel the scheduled call."""
        self.call, self.args = None, ()


class World:
    """The simulation loop: one clock, one heap of events, and the machines and network on them."""

    def __init__(self, seed: int | str, settings: WorldSettings | None = None) -> None:
        self.seed, self.settings = seed, settings or WorldSettings()
        self.now_ns = START_NS
        self.machines: dict[str, Machine] = {}
        self.machines_by_ip: dict[str, Machine] = {}
        self.taps: list[Tap] = []
        self.step_hooks: list[Callable[[], object]] = []
        self.current: Process | None = None  # process whose code is running; None between processes
        self.datagrams: deque[tuple[int, str, Address, bytes]] = deque(maxlen=4096)
        self.events_done = 0
        self.failure: Exception | None = None
        self.main_greenlet = greenlet.getcurrent()
        self._heap: list[tuple[int, float, int, Event]] = []
        self._count = 0
        self._draw = self.stream("order").random
        self._closed = False
        self.network = Network(self)

    def stream(self, name: str) -> random.Random:
        """Create a random stream for one purpose, which draws from other streams don't affect."""
        return random.Random(f"{self.seed}/{name}")

    # --- time -----------------------------------------------------------------------------------

    @property
    def elapsed_ns(self) -> int:
        """Virtual time since the world began, in nanoseconds."""
        return self.now_ns - START_NS

    @property
    def wall_ns(self) -> int:
        """Unix time on a machine with a correct clock, in nanoseconds."""
        return WALL_NS + self.now_ns - START_NS

    def at(self, when_ns: int, call: Callable[[], object]) -> Event:
        """Schedule a call for a time, or at once if the time has passed; the call must not block."""
        return self.push(max(when_ns, self.now_ns), call)

    def after(self, wait_ns: int, call: Callable[[], object]) -> Event:
        """Schedule a call after a delay."""
        return self.push(self.now_ns + max(0, wait_ns), call)

    def push(self, when: int, call: Callable[..., Any], *args: Any) -> Event:
        """Schedule a call with arguments for a time, which must not have passed."""
        event = Event(call, args)
        self._count += 1
        heapq.heappush(self._heap, (when, self._draw(), self._count, event))
        return event

    def run(self, until_ns: int | None = None, until: Callable[[], bool] | None = None) -> bool:
        """Run events up to a time, until `until` returns true after an event, or until none is left.

        An exception from a tap or from a scheduled call ends the run and is raised here.

        Returns:
            Whether `until` ended the run.
        """
        self.main_greenlet = greenlet.getcurrent()
        if until is not None and until():
            return True
        heap, pop, hooks = self._heap, heapq.heappop, self.step_hooks
        while heap and (until_ns is None or heap[0][0] <= until_ns):
            when, _, _, event = pop(heap)
            call = event.call
            if call is None:
                continue
            self.now_ns = when
            event.call = None
            call(*event.args)
            self.events_done += 1
            for hook in hooks:
                hook()
            if self.failure is not None:
                failure, self.failure = self.failure, None
                raise failure
            if until is not None and until():
                return True
        if until_ns is not None and self.now_ns < until_ns:
            self.now_ns = until_ns
        return False

    def notify_taps(self, what: str, *args: Any) -> None:
        """Call a method of all taps; an exception ends the run without reaching the current process."""
        try:
            for tap in self.taps:
                getattr(tap, what)(self.now_ns, *args)
        except Exception as error:
            if self.failure is None:
                self.failure = error

    # --- machines -------------------------------------------------------------------------------

    def machine(self, name: str, ip: str) -> Machine:
        """Add a machine; raises `ValueError` if its name or IP address is taken."""
        if name in self.machines or ip in self.machines_by_ip:
            raise ValueError(f"a machine with the name {name} or the address {ip} already exists")
        machine = self.machines[name] = self.machines_by_ip[ip] = Machine(self, name, ip)
        return machine

    def close(self) -> None:
        """End all processes without reporting to the taps, and release their resources."""
        self._closed = True
        self.taps, self.step_hooks = [], []
        self.main_greenlet = greenlet.getcurrent()
        for machine in self.machines.values():
            for process in machine.processes:
                process.forget()
        self._heap.clear()

    def __enter__(self) -> World:
        """Return the world."""
        return self

    def __exit__(self, *exc: object) -> None:
        """Close the world."""
        self.close()


class ProcessLog(logging.Handler):
    """Handler that writes log records to the standard error of the running process.

    Records logged while no process runs are discarded.
    """

    def __init__(self, world: World) -> None:
        super().__init__()
        self._world = world

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as one line."""
        process = self._world.current
        if process is None or process.dead:
            return
        try:
            process.write_stderr(self.format(record).encode("utf-8", "backslashreplace") + b"\n")
        except Exception:
            self.handleError(record)


class Machine:
    """A simulated machine with its address, wall clock, files and processes."""

    def __init__(self, world: World, name: str, ip: str) -> None:
        self.world, self.name, self.ip = world, name, ip
        self.has_vanished = False
        self.drops_connects = False
        self.wall_offset_ns = 0
        self.listeners: dict[int, VirtualListener] = {}
        self.files: dict[str, bytearray] = {}
        self.processes: list[Process] = []  # processes that have not ended
        self.process: Process | None = None  # process started last, ended or not
        self._next_port = world.stream(f"ports {name}").randint(FIRST_PORT, LAST_PORT)

    def __repr__(self) -> str:
        """Describe the machine by its name and address."""
        return f"<Machine {self.name} {self.ip}>"

    def start(
        self,
        main: Callable[[VirtualSystem], object],
        name: str = "",
        descriptors: int | None = None,
        pace: Pace | None = None,
    ) -> Process:
        """Start a process that calls `main` with its system after a start time drawn from its pace."""
        if self.has_vanished:
            raise RuntimeError(f"{self.name} has vanished and can't start a process")
        process = Process(self, main, name or self.name, descriptors, pace)
        self.processes.append(process)
        self.process = process
        return process

    def address(self, port: int) -> Address:
        """Return the address at which a process of this machine listens for a port number."""
        return self.ip, port

    def serve(
        self, build: Callable[[Scheduler], object], name: str = "", descriptors: int | None = None
    ) -> Process:
        """Start a process that calls `build` with a new scheduler and runs the scheduler."""

        def main(system: VirtualSystem) -> None:
            scheduler = Scheduler(system)
            build(scheduler)
            scheduler.run()

        return self.start(main, name, descriptors)

    def stall(self, wait_ns: int) -> None:
        """Suspend all processes for a time; the kernel keeps accepting and acknowledging."""
        for process in self.processes:
            process.stall(wait_ns)

    def vanish(self) -> None:
        """Simulate a power failure: the machine sends nothing more, and connects to it stay unanswered."""
        self.has_vanished = True
        for process in list(self.processes):
            process.vanish()
        for listener in list(self.listeners.values()):
            listener.vanish()
        self.world.network.update_down()

    def come_back(self) -> None:
        """Return to the network without processes; old connections are reset and connects are refused."""
        self.has_vanished = False
        self.world.network.update_down()
        self.world.network.retransmit_undelivered()

    def set_wall(self, offset_ns: int) -> None:
        """Set the wall clock's offset from the world's clock; a negative offset puts it behind."""
        self.wall_offset_ns = offset_ns

    def shift_wall(self, by_ns: int) -> None:
        """Move the wall clock forward, or back for a negative value."""
        self.wall_offset_ns += by_ns

    def free_port(self) -> int:
        """Allocate an ephemeral port; raises `EADDRNOTAVAIL` if none is free."""
        for _ in range(LAST_PORT - FIRST_PORT + 1):
            port = self._next_port
            self._next_port = FIRST_PORT if port == LAST_PORT else port + 1
            if port not in self.listeners:
                return port
        raise os_error(errno.EADDRNOTAVAIL)


class _DescriptorEntry(Protocol):
    """An object that a descriptor refers to."""

    def mask(self) -> int: ...
    def detach(self, abort: bool) -> None: ...
    def vanish(self) -> None: ...


class Process:
    """A simulated process with its descriptors, greenlets, schedule and exit status."""

    def __init__(
        self,
        machine: Machine,
        main: Callable[[VirtualSystem], object],
        name: str,
        descriptors: int | None,
        pace: Pace | None = None,
    ) -> None:
        world = machine.world
        settings = world.settings
        self._pace = pace or Pace(settings.start_ns, settings.poll_interval_ns)
        self.world, self.machine, self.name = world, machine, name
        self.limit = descriptors or world.settings.descriptors
        self.dead = False
        self.ended: int | None = None  # exit status, or -N if signal N killed the process; None until then
        self.error: BaseException | None = None  # exception that ended the main program
        self.stderr = bytearray()
        self.stderr_dropped = 0
        self.sinks: dict[str, VirtualSink] = {}
        self.handlers: dict[int, Callable[[], None]] = {}
        self.fds: dict[int, _DescriptorEntry] = {}
        self.pollers: list[VirtualPoller] = []
        self.busy_until = 0
        self.stalled_until = 0
        self.greenlets: list[greenlet.greenlet] = []
        self._greenlet_prune_limit = 64
        self._main = main
        self._free: list[int] = []
        self._next_fd = STANDARD_DESCRIPTORS
        self._signals: deque[int] = deque()
        self._draw = world.stream(f"process {machine.name} {name} {world.now_ns}").random
        self._glet = greenlet.greenlet(self._body, world.main_greenlet)
        self._asleep: greenlet.greenlet | None = self._glet  # greenlet that polls or waits
        self._polling: VirtualPoller | None = None
        self._resume_scheduled = False  # whether an event that resumes the process is scheduled
        self._deadline: int | None = None
        self._timer_at = 0
        self.system = VirtualSystem(self)
        self._resume_scheduled = True
        world.push(world.now_ns + self.draw(self._pace.start_ns), self._begin)

    def __repr__(self) -> str:
        """Describe the process by its name and machine."""
        return f"<Process {self.name} on {self.machine.name}>"

    @property
    def descriptors(self) -> int:
        """The number of open descriptors, without the three standard ones."""
        return len(self.fds)

    def draw(self, between: Range) -> int:
        """Draw a whole number from a range, from this process's own random stream."""
        low, high = between
        return low + int(self._draw() * (high - low + 1))

    # --- control from outside -------------------------------------------------------------------

    def signal(self, number: int) -> None:
        """Send the process a signal.

        The handler is called between two steps of the process; without one, Linux's default action applies.
        """
        if self.dead:
            return
        self.world.notify_taps("process", self.machine, f"signal {int(number)}")
        if number == signal.SIGKILL or (number not in self.handlers and number not in IGNORED_SIGNALS):
            self._kill(-int(number), False)
        elif number in self.handlers:
            self._signals.append(int(number))
            if self._polling is not None:
                self._wake()

    def kill(self, reset: bool = False) -> None:
        """End the process at once, so that its code has no further effect.

        The system closes the process's descriptors as Linux does: a connection with unread bytes is reset,
        others end with a FIN. With `reset` all connections are reset.
        """
        self._kill(-int(signal.SIGKILL), reset)

    def stall(self, wait_ns: int) -> None:
        """Suspend the process for a time; the kernel keeps working."""
        self.stalled_until = max(self.stalled_until, self.world.now_ns + wait_ns)

    def vanish(self) -> None:
        """End the process with its machine, without a word to the peers."""
        if self.dead:
            return
        self._die(-int(signal.SIGKILL))
        self.world.notify_taps("process", self.machine, "killed")
        for _, entry in self._take_descriptors():
            entry.vanish()
        self._clean_up()

    def forget(self) -> None:
        """End the process with its world, without reporting to taps or closing connections."""
        if not self.dead:
            self._die(None)
        self.fds.clear()
        self._end_greenlets()

    def _kill(self, status: int, reset: bool) -> None:
        if self.dead:
            return
        self._die(status)
        self.world.notify_taps("process", self.machine, "killed")
        for _, entry in self._take_descriptors():
            entry.detach(reset)
        self._clean_up()

    def _die(self, status: int | None) -> None:
        self.dead = True
        self.ended = status
        if self in self.machine.processes and not self.world._closed:
            self.machine.processes.remove(self)

    def _take_descriptors(self) -> list[tuple[int, _DescriptorEntry]]:
        things, self.fds = sorted(self.fds.items()), {}
        return things

    def _clean_up(self) -> None:
        if greenlet.getcurrent() is self.world.main_greenlet:
            self._end_greenlets()
        else:  # called from a process's greenlet, which must not end another's greenlets
            self.world.push(self.world.now_ns, self._end_greenlets)

    def _end_greenlets(self) -> None:
        """End the greenlets of a dead process; any system call that they still make raises `Killed`."""
        self._asleep = None
        ending, self.greenlets = [self._glet, *self.greenlets], []
        before, self.world.current = self.world.current, None
        for each in ending:
            for _ in range(MAX_THROWS):
                if not each:  # the greenlet has not begun, or has ended
                    break
                try:
                    each.throw(Killed)
                except KeyboardInterrupt:
                    raise
                except BaseException:  # exceptions from the code of a dead process are ignored
                    continue
        self.world.current = before

    # --- scheduling -----------------------------------------------------------------------------

    def _begin(self) -> None:
        if self.dead:
            return
        self._glet.parent = self.world.main_greenlet
        self.world.notify_taps("process", self.machine, "started")
        self._resume()

    def _body(self) -> None:
        status = 0
        try:
            self._main(self.system)
        except Killed:
            return
        except greenlet.GreenletExit:
            return
        except SystemExit as error:
            status = error.code if isinstance(error.code, int) else 0 if error.code is None else 1
        except KeyboardInterrupt:
            raise  # the interrupt is meant for the caller that runs the world
        except BaseException as error:
            status, self.error = 1, error
            self.write_stderr(traceback.format_exc().encode("utf-8", "backslashreplace"))
        if self.dead:
            return
        # The process exits here: greenlets that the main program left waiting never run again.
        self._die(status)
        self.world.notify_taps("process", self.machine, "exited")
        for _, entry in self._take_descriptors():
            entry.detach(False)
        self.world.push(self.world.now_ns, self._end_greenlets)

    def _resume(self) -> None:
        world = self.world
        if self.dead:
            return
        if world.now_ns < self.stalled_until:
            world.push(self.stalled_until, self._resume)
            return
        self._resume_scheduled = False
        glet, self._asleep = self._asleep, None
        world.current = self
        if glet is not None:
            glet.switch()
        world.current = None

    def sleep(self) -> None:
        """Suspend the calling code of the process until an event resumes it."""
        self._asleep = greenlet.getcurrent()
        self.world.main_greenlet.switch()
        if self.dead:
            raise Killed

    def _wake(self) -> None:
        if not self._resume_scheduled:
            self._resume_scheduled = True
            now = self.world.now_ns
            when = now + self.draw(self.world.settings.wake_ns)
            self.world.push(max(when, self.busy_until), self._resume)

    def poll(self, poller: VirtualPoller, pause_ms: int | None) -> list[tuple[int, int]]:
        """Wait for a ready descriptor, a signal or the timeout, on behalf of the process's own code."""
        if self.dead:
            raise Killed
        world = self.world
        busy = self.busy_until = world.now_ns + self.draw(self._pace.poll_interval_ns)
        deadline: int | None = None
        if pause_ms is not None and pause_ms >= 0:
            deadline = max(busy, world.now_ns + int(pause_ms) * MILLISECOND)
        self._deadline = deadline
        if pause_ms == 0 or self._signals or poller.ready():
            self._resume_scheduled = True
            world.push(busy, self._resume)
        elif deadline is not None:
            self._arm(deadline)
        self._polling = poller
        try:
            while True:
                self.sleep()
                while self._signals:
                    self.handlers[self._signals.popleft()]()
                found = poller.ready()
                if found or (deadline is not None and world.now_ns >= deadline):
                    return found
                if deadline is not None:
                    self._arm(deadline)
        finally:
            self._polling = None

    def _arm(self, deadline: int) -> None:
        if not self._timer_at or deadline < self._timer_at:
            self._timer_at = deadline
            self.world.push(deadline, self._timer, deadline)

    def _timer(self, when: int) -> None:
        if self._timer_at != when:
            return
        self._timer_at = 0
        if self.dead or self._polling is None or self._resume_scheduled or self._deadline is None:
            return
        if self.world.now_ns >= self._deadline:
            self._wake()
        else:
            self._arm(self._deadline)

    def notify_pollers(self, fd: int) -> None:
        """Tell the pollers that the poll bits of a descriptor may have changed."""
        for poller in self.pollers:
            if poller.mark_changed(fd) and poller is self._polling and not self._resume_scheduled:
                self._wake()

    # --- descriptors ----------------------------------------------------------------------------

    def allocate(self, entry: _DescriptorEntry) -> int:
        """Allocate the lowest free descriptor; raises `EMFILE` if none is free."""
        self.check_descriptor()
        if self._free:
            fd = heapq.heappop(self._free)
        else:
            fd = self._next_fd
            self._next_fd += 1
        self.fds[fd] = entry
        for poller in self.pollers:
            poller.mark_changed(fd)
        return fd

    def check_descriptor(self) -> None:
        """Raise `EMFILE` if no descriptor is free."""
        if (self._free[0] if self._free else self._next_fd) >= self.limit:
            raise os_error(errno.EMFILE)

    def release(self, fd: int) -> None:
        """Free a descriptor."""
        del self.fds[fd]
        heapq.heappush(self._free, fd)
        for poller in self.pollers:
            poller.mark_changed(fd)

    # --- greenlets and output -------------------------------------------------------------------

    def track_greenlet(self, task: greenlet.greenlet) -> None:
        """Register a greenlet of the process, so that it ends with the process."""
        self.greenlets.append(task)
        if len(self.greenlets) > self._greenlet_prune_limit:
            self.greenlets = [each for each in self.greenlets if not each.dead]
            self._greenlet_prune_limit = 64 + 2 * len(self.greenlets)

    def write_stderr(self, data: bytes) -> None:
        """Append to the standard error; bytes beyond `WorldSettings.output_bytes` are lost, oldest first."""
        self.stderr += data
        over = len(self.stderr) - self.world.settings.output_bytes
        if over > 0:
            self.stderr_dropped += over
            del self.stderr[:over]


class VirtualPoller:
    """A set of descriptors like `select.poll`; a poll checks only descriptors that may have become ready."""

    __slots__ = ("_candidates", "_number", "_process", "_registered")

    def __init__(self, process: Process) -> None:
        self._process = process
        # Watched events and place in the order of registration, by descriptor.
        self._registered: dict[int, tuple[int, int]] = {}
        self._candidates: dict[int, None] = {}  # descriptors that may be ready
        self._number = 0

    def register(self, fd: int, events: int, /) -> None:
        """Watch a descriptor for `READ` or `WRITE`; errors and hangups are always reported."""
        if self._process.dead:
            raise Killed
        if fd < 0:
            raise ValueError("file descriptor cannot be a negative integer (-1)")
        known = self._registered.get(fd)
        if known is None:
            self._number += 1
        self._registered[fd] = (events | ERR | HUP | NVAL, self._number if known is None else known[1])
        self._candidates[fd] = None

    def unregister(self, fd: int, /) -> None:
        """Stop watching a descriptor; raises `KeyError` if it is not watched."""
        del self._registered[fd]
        self._candidates.pop(fd, None)

    def poll(self, pause_ms: int | None = None, /) -> list[tuple[int, int]]:
        """Wait for ready descriptors, at most `pause_ms` milliseconds, and return them with their events."""
        return self._process.poll(self, pause_ms)

    def mark_changed(self, fd: int) -> bool:
        """Record that a descriptor's poll bits may have changed, and tell whether it is ready."""
        known = self._registered.get(fd)
        if known is None:
            return False
        self._candidates[fd] = None
        entry = self._process.fds.get(fd)
        return (NVAL if entry is None else entry.mask() & known[0]) != 0

    def ready(self) -> list[tuple[int, int]]:
        """Return the ready descriptors with their events, in the order of registration."""
        candidates = self._candidates
        if not candidates:
            return []
        found: list[tuple[int, int, int]] = []
        fds, not_ready = self._process.fds, []
        for fd in candidates:
            events, position = self._registered[fd]
            entry = fds.get(fd)
            mask = NVAL if entry is None else entry.mask() & events
            if mask:
                found.append((position, fd, mask))
            if events & WRITE and not mask & WRITE and isinstance(entry, VirtualSocket):
                entry.want_write()
            if not mask:
                not_ready.append(fd)
        for fd in not_ready:
            del candidates[fd]
        if len(found) > 1:
            found.sort()
        return [(fd, mask) for _, fd, mask in found]


class VirtualWaker:
    """Object that ends a poll in progress; it takes two descriptors, like a pair of sockets."""

    def __init__(self, process: Process) -> None:
        self._process = process
        self._set = False
        self._fd = process.allocate(self)
        try:
            self._other = process.allocate(self)
        except OSError:
            process.release(self._fd)
            raise

    def fileno(self) -> int:
        """Return the descriptor to watch for `READ`; -1 once the waker is closed."""
        return self._fd

    def wake(self) -> None:
        """Make the descriptor readable."""
        if not self._set and self._fd >= 0 and not self._process.dead:
            self._set = True
            self._process.notify_pollers(self._fd)

    def clear(self) -> None:
        """Make the descriptor unreadable again."""
        self._set = False

    def close(self) -> None:
        """Release both descriptors."""
        if self._fd >= 0 and not self._process.dead:
            self._process.release(self._fd)
            self._process.release(self._other)
        self._fd = self._other = -1

    def mask(self) -> int:
        """Return the waker's current poll bits."""
        return (READ if self._set else 0) | WRITE

    def detach(self, abort: bool) -> None:
        """Do nothing: no other process uses the waker."""

    def vanish(self) -> None:
        """Do nothing: no other process uses the waker."""


class VirtualSink:
    """Destination of output lines, which a test or a fault can make block or fail."""

    def __init__(self, process: Process, take: Callable[[bytes], None]) -> None:
        self._process, self._take = process, take
        self._waiting: list[greenlet.greenlet] = []
        self.blocked = False
        self.failing = False
        self.lines = 0

    def block(self) -> None:
        """Make writes block from now on."""
        self.blocked = True

    def unblock(self) -> None:
        """End the blocking and resume all blocked writes."""
        self.blocked = False
        waiting, self._waiting = self._waiting, []
        for each in waiting:
            self._process.world.push(self._process.world.now_ns, self._resume_write, each)

    def fail(self, failing: bool = True) -> None:
        """Make writes lose their lines from now on, or with False end that."""
        self.failing = failing

    def _resume_write(self, waiting: greenlet.greenlet) -> None:
        world = self._process.world
        if not self._process.dead:
            world.current = self._process
            waiting.switch()
            world.current = None

    def write(self, items: list[Item]) -> int:
        """Write items and return the number of lost lines."""
        process = self._process
        if process.dead:
            raise Killed
        while self.blocked:
            self._waiting.append(greenlet.getcurrent())
            process.world.main_greenlet.switch()
            if process.dead:
                raise Killed
        lines = sum(item.count(b"\n") for item in items)
        if self.failing:
            return lines
        self.lines += lines
        for item in items:
            self._take(item)
        return 0

    def close(self) -> None:
        """Do nothing: a sink holds no resources."""


class VirtualWorker:
    """Worker that takes turns beside the process's main greenlet, in place of a thread.

    The time from a wake-up to the worker's turn is drawn from `WorldSettings.worker_ns`.
    """

    def __init__(
        self, process: Process, name: str, due: Callable[[], bool], turn: Callable[[], None]
    ) -> None:
        self.name = name
        self._process, self._due, self._turn = process, due, turn
        self._lock = nullcontext()  # no lock is needed, because only one greenlet runs at a time
        self._ending = self._over = self._scheduled = False
        self._in_turn = False
        self._joining: list[Process] = []
        self._glet = greenlet.greenlet(self._run, process.world.main_greenlet)
        process.track_greenlet(self._glet)

    @property
    def lock(self) -> AbstractContextManager[Any]:
        """A lock without effect, because `due` and `turn` never run in parallel to the main greenlet."""
        return self._lock

    def wake(self) -> None:
        """Schedule a turn of the worker, because work may be due."""
        process = self._process
        if not self._scheduled and not self._over and not self._in_turn and not process.dead:
            self._scheduled = True
            world = process.world
            world.push(world.now_ns + process.draw(world.settings.worker_ns), self._step)

    def end(self, seconds: float) -> None:
        """Stop the worker once its due work is done; the calling process waits at most `seconds`."""
        process = self._process
        if process.dead:
            raise Killed
        self._ending = True
        self.wake()
        world = process.world
        deadline = world.now_ns + int(seconds * 1e9)
        if greenlet.getcurrent() is world.main_greenlet or self._over or deadline <= world.now_ns:
            return
        timer = world.push(deadline, self._joined)
        self._joining.append(process)
        while not self._over and world.now_ns < deadline:
            process.sleep()
        timer.cancel()

    def _joined(self) -> None:
        joining, self._joining = self._joining, []
        for process in joining:
            if not process.dead:
                process._wake()

    def _step(self) -> None:
        process, world = self._process, self._process.world
        if process.dead or self._over:
            return
        if world.now_ns < process.stalled_until:
            world.push(process.stalled_until, self._step)
            return
        self._scheduled = False
        world.current = process
        self._glet.switch()
        world.current = None

    def _run(self) -> None:
        process = self._process
        try:
            while True:
                while not self._due():
                    if self._ending:
                        return
                    process.world.main_greenlet.switch()
                self._in_turn = True
                self._turn()
                self._in_turn = False
                if self._ending or self._due():
                    self.wake()
                process.world.main_greenlet.switch()
        except Killed:
            return
        except Exception:
            process.write_stderr(traceback.format_exc().encode("utf-8", "backslashreplace"))
        finally:
            self._over = True
            if not process.dead:
                process.world.push(process.world.now_ns, self._joined)


class VirtualSystem:
    """Implementation of `runtime.system.System` for one process in a world."""

    def __init__(self, process: Process) -> None:
        self.process = process
        self.machine, self.world = process.machine, process.world

    def monotonic(self) -> float:
        """Return the monotonic clock's time in seconds."""
        if self.process.dead:
            raise Killed
        return self.world.now_ns / 1e9

    def monotonic_ns(self) -> int:
        """Return the monotonic clock's time in nanoseconds."""
        if self.process.dead:
            raise Killed
        return self.world.now_ns

    def wall_ns(self) -> int:
        """Return the Unix time in nanoseconds; the clock may be set forward or back."""
        return self.world.wall_ns + self.machine.wall_offset_ns

    def greenlet(self, run: Callable[..., Any], hub: greenlet.greenlet) -> greenlet.greenlet:
        """Create a greenlet that ends with the process."""
        task = greenlet.greenlet(run, hub)
        self.process.track_greenlet(task)
        return task

    def poller(self) -> Poller:
        """Create an empty poller."""
        poller = VirtualPoller(self.process)
        self.process.pollers.append(poller)
        return poller

    def waker(self) -> Waker:
        """Create a waker."""
        self._check()
        return VirtualWaker(self.process)

    def listen(self, address: Address, backlog: int) -> Socket:
        """Create a listening socket; raises `OSError` if the address or descriptors are unavailable."""
        self._check()
        process, machine = self.process, self.machine
        process.check_descriptor()
        host, port = address
        if host not in (ANY, machine.ip) and not host.startswith("127."):
            raise os_error(errno.EADDRNOTAVAIL)
        if port in machine.listeners:
            raise os_error(errno.EADDRINUSE)
        listener = VirtualListener(machine, process, host, port or machine.free_port(), backlog)
        listener.fd = process.allocate(listener)
        machine.listeners[listener.port] = listener
        return listener

    def sleep(self, seconds: float) -> None:
        """Raise `NotImplementedError`: virtual processes never block in a sleep."""
        raise NotImplementedError

    def adopt(self, fd: int) -> Socket:
        """Raise `OSError`, because virtual processes inherit no sockets."""
        raise os_error(errno.ENOTSOCK)

    def accept(self, listener: Socket) -> tuple[Socket, str]:
        """Accept a connection and return it with its peer's host; raises `BlockingIOError` and `OSError`."""
        self._check()
        process, world = self.process, self.world
        if listener.fileno() < 0:
            raise os_error(errno.EBADF)
        process.check_descriptor()  # Linux checks for a free descriptor first
        if not isinstance(listener, VirtualListener):
            raise os_error(errno.EINVAL)
        if not listener.queue:
            raise BlockingIOError(errno.EAGAIN, "Resource temporarily unavailable")
        sock = listener.queue.popleft()
        conn = sock.conn
        if conn is None:
            raise os_error(errno.ECONNABORTED)
        fraction = world.settings.aborted_accepts
        if fraction and sock.state == State.CLOSE and sock.link is not None and sock.link.random() < fraction:
            raise os_error(errno.ECONNABORTED)
        sock.process = process
        sock.fd = process.allocate(sock)
        if world.taps:
            world.notify_taps("accepted", conn)
        return sock, conn.client.ip

    def connection(self) -> Socket:
        """Create an unconnected socket; raises `OSError` if no descriptor is free."""
        self._check()
        sock = VirtualSocket(self.world.network, self.machine, self.process, State.CLOSE)
        sock.fd = self.process.allocate(sock)
        return sock

    def reset(self, sock: Socket) -> None:
        """Close a connection with a reset."""
        if isinstance(sock, VirtualSocket):
            sock.abort()

    def error_of(self, sock: Socket) -> int:
        """Return and clear a socket's pending error; 0 for none."""
        self._check()
        return sock.take_error() if isinstance(sock, VirtualSocket) else 0

    def seconds_since_data(self, sock: Socket) -> float:
        """Return the seconds since a connection last received bytes, read or not; 0 if it never did."""
        self._check()
        if not isinstance(sock, VirtualSocket) or not sock.received_ns:
            return 0.0
        return (self.world.now_ns - sock.received_ns) / 1e9

    def seconds_to_open(self, sock: Socket) -> float:
        """Return the seconds from the SYN-ACK of an accepted connection to its acknowledgement."""
        self._check()
        if not isinstance(sock, VirtualSocket):
            return 0.0
        return (sock.opened_ns - sock.answered_ns) / 1e9

    def set_unacknowledged_timeout(self, sock: Socket, seconds: float) -> None:
        """Set the time after which unacknowledged bytes fail a connection; no keepalive probes are sent."""
        assert isinstance(sock, VirtualSocket)
        sock.unacknowledged_timeout_ns = int(seconds * 1e9)

    def on_signal(self, number: int, call: Callable[[], None]) -> None:
        """Install a signal handler."""
        self._check()
        self.process.handlers[int(number)] = call

    def worker(self, name: str, due: Callable[[], bool], turn: Callable[[], None]) -> Worker:
        """Start a worker that calls `turn` whenever it is woken and `due` returns true."""
        self._check()
        return VirtualWorker(self.process, name, due, turn)

    def descriptor_sink(self, fd: int) -> Sink:
        """Create a sink that writes to standard error, whatever the descriptor."""
        return self._sink(f"fd {fd}", self.process.write_stderr)

    def file_sink(self, path: str) -> Sink:
        """Create a sink that writes to a file on the machine, which outlives the process."""
        content = self.machine.files.setdefault(path, bytearray())
        most = self.world.settings.output_bytes

        def take(data: bytes) -> None:
            content.extend(data)
            if len(content) > most:
                del content[: len(content) - most]

        return self._sink(f"file {path}", take)

    def datagram_sink(self, address: Address) -> Sink:
        """Create a sink that sends whole lines as datagrams to an address; `World.datagrams` records them."""
        world, name = self.world, self.machine.name
        return self._sink(
            f"udp {address[0]}:{address[1]}",
            lambda data: world.datagrams.append((world.now_ns, name, address, data)),
        )

    def _sink(self, name: str, take: Callable[[bytes], None]) -> Sink:
        self._check()
        sink = VirtualSink(self.process, take)
        self.process.sinks[name] = sink
        return sink

    def _check(self) -> None:
        if self.process.dead:
            raise Killed
