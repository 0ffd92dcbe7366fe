"""A seeded world in virtual time: its clock and events, machines, and processes with what they see.

One thread runs it all.  A process is a greenlet that calls an unmodified main program with a `System` of
its own; it runs until it polls (or waits for a worker or a sink), and the world goes on with the next
event.  Whatever is left open, such as how long a round takes, is drawn from the seed.
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
    fault,
)
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.system import READ, WRITE, Address, Item, Poller, Sink, Socket, Waker, Worker

START_NS = 1_000_000_000_000  # on every clock that only advances, when a world begins
WALL_NS = 1_790_000_000_000_000_000  # Unix time at that moment
MILLISECOND = 1_000_000
STANDARD = 3  # descriptors that a process has from the start
# What Linux does with these where nobody handles them is nothing; other signals end a process.
HARMLESS = frozenset({signal.SIGCHLD, signal.SIGCONT, signal.SIGURG, signal.SIGWINCH})
THROWS = 16  # so often a greenlet of a dead process is ended before it is left alone

Range = tuple[int, int]  # both ends included


@dataclass(frozen=True, slots=True)
class Pace:
    """How long a process takes that has a part of a core, in nanoseconds."""

    start_ns: Range  # from a start to the first step of the program
    round_ns: Range  # from one poll to the next


@dataclass(frozen=True, slots=True)
class WorldSettings:
    """What a world is like; times in nanoseconds, sizes in bytes, shares from 0 to 1."""

    latency_ns: Range = (40_000, 400_000)  # one way between two machines: each way draws one
    jitter_ns: int = 60_000  # on top of it, drawn for each part that is sent
    loopback_ns: Range = (4_000, 12_000)  # one way within a machine
    round_ns: Range = (3_000, 25_000)  # what a process takes from one poll to the next
    wake_ns: Range = (1_000, 15_000)  # from the moment a poll has something to its return
    start_ns: Range = (1_000, 2_000_000)  # from a start to the first step of the program
    worker_ns: Range = (20_000, 500_000)  # from a worker's wake to its turn
    send_buffer: int = 64 * 1024
    receive_buffer: int = 64 * 1024
    split: float = 0.05  # of what is sent: comes in two parts, cut at any byte
    short_send: float = 0.02  # of sends: takes a part only
    short_receive: float = 0.03  # of receives: gives a part only
    aborted_accepts: float = 0.0  # of connections reset before accept: ECONNABORTED, as BSD says
    retransmit_most_ns: int = 120 * 1_000_000_000  # the longest pause before bytes are sent again
    descriptors: int = 1024  # a process, unless told otherwise
    output_bytes: int = 256 * 1024  # of standard error that are kept, the last ones


class Tap:
    """Is told of each step on the wire, at its time in ns; `side` is "client" or "server"."""

    def opened(self, now: int, conn: Connection) -> None:
        """A process asked for a connection."""

    def established(self, now: int, conn: Connection) -> None:
        """It is up, as its client sees it."""

    def accepted(self, now: int, conn: Connection) -> None:
        """A process took it from its listener's queue."""

    def refused(self, now: int, conn: Connection) -> None:
        """Its client learnt that nobody listens."""

    def sent(self, now: int, conn: Connection, side: str, data: bytes) -> None:
        """A process handed bytes to its system."""

    def arrived(self, now: int, conn: Connection, side: str, data: bytes) -> None:
        """Bytes became readable at a side."""

    def read(self, now: int, conn: Connection, side: str, data: bytes) -> None:
        """A process took bytes from its system."""

    def ended(self, now: int, conn: Connection, side: str, how: str) -> None:
        """The end came to a side: how is "fin" or "reset"."""

    def closed(self, now: int, conn: Connection, side: str) -> None:
        """The process at a side closed it, or came to its end."""

    def process(self, now: int, machine: Machine, what: str) -> None:
        """What is "started", "killed" (its connections end next), "exited" (the same) or "signal N"."""


class Event:
    """A call due at some moment."""

    __slots__ = ("args", "call")

    def __init__(self, call: Callable[..., Any] | None, args: tuple[Any, ...]) -> None:
        self.call, self.args = call, args

    def cancel(self) -> None:
        """Make it do nothing."""
        self.call, self.args = None, ()


class World:
    """The loop: one clock, one heap of events, everything that is on it."""

    def __init__(self, seed: int | str, settings: WorldSettings | None = None) -> None:
        self.seed, self.settings = seed, settings or WorldSettings()
        self.now_ns = START_NS
        self.machines: dict[str, Machine] = {}
        self.machines_by_ip: dict[str, Machine] = {}
        self.taps: list[Tap] = []
        self.step_done: list[Callable[[], object]] = []
        self.current: Process | None = None  # whose code runs
        self.datagrams: deque[tuple[int, str, Address, bytes]] = deque(maxlen=4096)
        self.events_done = 0
        self.failure: Exception | None = None
        self.hub = greenlet.getcurrent()
        self._heap: list[tuple[int, float, int, Event]] = []
        self._count = 0
        self._draw = self.stream("order").random
        self._closed = False
        self.network = Network(self)

    def stream(self, name: str) -> random.Random:
        """Random numbers of their own for one purpose: draws elsewhere don't change them."""
        return random.Random(f"{self.seed}/{name}")

    # --- time -----------------------------------------------------------------------------------

    @property
    def elapsed_ns(self) -> int:
        """Virtual time since the world began."""
        return self.now_ns - START_NS

    @property
    def wall_ns(self) -> int:
        """Unix time, as machines have it whose clock is right."""
        return WALL_NS + self.now_ns - START_NS

    def at(self, when_ns: int, call: Callable[[], object]) -> Event:
        """Have a call made at a moment, at once if it has passed; it must not wait."""
        return self.push(max(when_ns, self.now_ns), call)

    def after(self, wait_ns: int, call: Callable[[], object]) -> Event:
        """Have a call made after a while."""
        return self.push(self.now_ns + max(0, wait_ns), call)

    def push(self, when: int, call: Callable[..., Any], *args: Any) -> Event:
        """The same with arguments, and without a look at the clock."""
        event = Event(call, args)
        self._count += 1
        heapq.heappush(self._heap, (when, self._draw(), self._count, event))
        return event

    def run(self, until_ns: int | None = None, until: Callable[[], bool] | None = None) -> bool:
        """Go on until a moment, or until `until` says so after some event, or until nothing is due.

        Says whether `until` said so.  What a tap or a call raises ends the run and comes out here.
        """
        self.hub = greenlet.getcurrent()
        if until is not None and until():
            return True
        heap, pop, hooks = self._heap, heapq.heappop, self.step_done
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

    def tell(self, what: str, *args: Any) -> None:
        """Tell the taps; what one raises ends the run, and never reaches the process that was at it."""
        try:
            for tap in self.taps:
                getattr(tap, what)(self.now_ns, *args)
        except Exception as error:
            if self.failure is None:
                self.failure = error

    # --- what is on it --------------------------------------------------------------------------

    def machine(self, name: str, ip: str) -> Machine:
        """A new machine."""
        if name in self.machines or ip in self.machines_by_ip:
            raise ValueError(f"there is a machine {name} or {ip} already")
        machine = self.machines[name] = self.machines_by_ip[ip] = Machine(self, name, ip)
        return machine

    def close(self) -> None:
        """End all processes without a trace on the wire, and let go of what they held."""
        self._closed = True
        self.taps, self.step_done = [], []
        self.hub = greenlet.getcurrent()
        for machine in self.machines.values():
            for process in machine.processes:
                process.forget()
        self._heap.clear()

    def __enter__(self) -> World:
        """Itself."""
        return self

    def __exit__(self, *exc: object) -> None:
        """Close it."""
        self.close()


class ProcessLog(logging.Handler):
    """Log records to the standard error of the process whose code runs; nobody else's are kept."""

    def __init__(self, world: World) -> None:
        super().__init__()
        self._world = world

    def emit(self, record: logging.LogRecord) -> None:
        """One record, a line."""
        process = self._world.current
        if process is None or process.dead:
            return
        try:
            process.write_stderr(self.format(record).encode("utf-8", "backslashreplace") + b"\n")
        except Exception:
            self.handleError(record)


class Machine:
    """A machine: its address, its wall clock, its files, the processes on it."""

    def __init__(self, world: World, name: str, ip: str) -> None:
        self.world, self.name, self.ip = world, name, ip
        self.gone = False
        self.swallows = False
        self.wall_offset_ns = 0
        self.listeners: dict[int, VirtualListener] = {}
        self.files: dict[str, bytearray] = {}
        self.processes: list[Process] = []  # those that have not ended
        self.process: Process | None = None  # the last one started
        self._next_port = world.stream(f"ports {name}").randint(FIRST_PORT, LAST_PORT)

    def __repr__(self) -> str:
        """For messages."""
        return f"<Machine {self.name} {self.ip}>"

    def start(
        self,
        main: Callable[[VirtualSystem], object],
        name: str = "",
        descriptors: int | None = None,
        pace: Pace | None = None,
    ) -> Process:
        """Start a process: `main` is called with its system, soon, or at its own pace."""
        if self.gone:
            raise RuntimeError(f"{self.name} has vanished")
        process = Process(self, main, name or self.name, descriptors, pace)
        self.processes.append(process)
        self.process = process
        return process

    def address(self, port: int) -> Address:
        """Where a process of it listens that is to listen on some port."""
        return self.ip, port

    def serve(
        self, build: Callable[[Scheduler], object], name: str = "", descriptors: int | None = None
    ) -> Process:
        """Start a process that builds something on a scheduler and runs it."""

        def main(system: VirtualSystem) -> None:
            scheduler = Scheduler(system)
            build(scheduler)
            scheduler.run()

        return self.start(main, name, descriptors)

    def stall(self, wait_ns: int) -> None:
        """No process on it runs for a while; its kernel goes on accepting and acknowledging."""
        for process in self.processes:
            process.stall(wait_ns)

    def vanish(self) -> None:
        """Lose its power: it says nothing from now on, and connects to it never come up."""
        self.gone = True
        for process in list(self.processes):
            process.vanish()
        for listener in list(self.listeners.values()):
            listener.vanish()
        self.world.network.judge()

    def come_back(self) -> None:
        """Be on the network again, without processes: what it does not know is reset, or refused."""
        self.gone = False
        self.world.network.judge()
        self.world.network.pass_on()

    def set_wall(self, offset_ns: int) -> None:
        """Set the wall clock so much ahead of the world's, or behind where it is negative."""
        self.wall_offset_ns = offset_ns

    def shift_wall(self, by_ns: int) -> None:
        """Set the wall clock forward, or back."""
        self.wall_offset_ns += by_ns

    def free_port(self) -> int:
        """A port for one that does not ask for one; raises `EADDRNOTAVAIL` where none is free."""
        for _ in range(LAST_PORT - FIRST_PORT + 1):
            port = self._next_port
            self._next_port = FIRST_PORT if port == LAST_PORT else port + 1
            if port not in self.listeners:
                return port
        raise fault(errno.EADDRNOTAVAIL)


class _Watched(Protocol):
    """What a descriptor leads to."""

    def mask(self) -> int: ...
    def let_go(self, abort: bool) -> None: ...
    def vanish(self) -> None: ...


class Process:
    """A process: its descriptors, its greenlets, when it runs, how it ended."""

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
        self._pace = pace or Pace(settings.start_ns, settings.round_ns)
        self.world, self.machine, self.name = world, machine, name
        self.limit = descriptors or world.settings.descriptors
        self.dead = False
        self.ended: int | None = None  # its exit status, -N if signal N killed it
        self.error: BaseException | None = None  # what ended its main program
        self.stderr = bytearray()
        self.stderr_lost = 0
        self.sinks: dict[str, VirtualSink] = {}
        self.handlers: dict[int, Callable[[], None]] = {}
        self.fds: dict[int, _Watched] = {}
        self.pollers: list[VirtualPoller] = []
        self.busy_until = 0
        self.stalled_until = 0
        self.greenlets: list[greenlet.greenlet] = []
        self._greenlets_looked_at = 64
        self._main = main
        self._free: list[int] = []
        self._next_fd = STANDARD
        self._signals: deque[int] = deque()
        self._draw = world.stream(f"process {machine.name} {name} {world.now_ns}").random
        self._glet = greenlet.greenlet(self._body, world.hub)
        self._asleep: greenlet.greenlet | None = self._glet  # the one that polls or waits
        self._polling: VirtualPoller | None = None
        self._woken = False  # and its return is due
        self._deadline: int | None = None
        self._timer_at = 0
        self.system = VirtualSystem(self)
        self._woken = True
        world.push(world.now_ns + self.draw(self._pace.start_ns), self._first)

    def __repr__(self) -> str:
        """For messages."""
        return f"<Process {self.name} on {self.machine.name}>"

    @property
    def descriptors(self) -> int:
        """How many are open, the three standard ones not counted."""
        return len(self.fds)

    def draw(self, between: Range) -> int:
        """A whole number of a range, from this process's own stream."""
        low, high = between
        return low + int(self._draw() * (high - low + 1))

    # --- what is done to it ---------------------------------------------------------------------

    def signal(self, number: int) -> None:
        """Send it a signal: its handler is called between two steps, or it ends as Linux has it."""
        if self.dead:
            return
        self.world.tell("process", self.machine, f"signal {int(number)}")
        if number == signal.SIGKILL or (number not in self.handlers and number not in HARMLESS):
            self._kill(-int(number), False)
        elif number in self.handlers:
            self._signals.append(int(number))
            if self._polling is not None:
                self._wake()

    def kill(self, reset: bool = False) -> None:
        """End it at once: no more of its code has any effect.

        Its system closes what it had open, as Linux does: a connection with bytes unread is reset, others
        end in order.  With `reset` all of them are reset.
        """
        self._kill(-int(signal.SIGKILL), reset)

    def stall(self, wait_ns: int) -> None:
        """It does not run for a while; its kernel goes on."""
        self.stalled_until = max(self.stalled_until, self.world.now_ns + wait_ns)

    def vanish(self) -> None:
        """End it with its machine: nobody is told."""
        if self.dead:
            return
        self._die(-int(signal.SIGKILL))
        self.world.tell("process", self.machine, "killed")
        for _, thing in self._take_all():
            thing.vanish()
        self._clear_up()

    def forget(self) -> None:
        """End it with its world: nothing is told or done."""
        if not self.dead:
            self._die(None)
        self.fds.clear()
        self._end_greenlets()

    def _kill(self, status: int, reset: bool) -> None:
        if self.dead:
            return
        self._die(status)
        self.world.tell("process", self.machine, "killed")
        for _, thing in self._take_all():
            thing.let_go(reset)
        self._clear_up()

    def _die(self, status: int | None) -> None:
        self.dead = True
        self.ended = status
        if self in self.machine.processes and not self.world._closed:
            self.machine.processes.remove(self)

    def _take_all(self) -> list[tuple[int, _Watched]]:
        things, self.fds = sorted(self.fds.items()), {}
        return things

    def _clear_up(self) -> None:
        if greenlet.getcurrent() is self.world.hub:
            self._end_greenlets()
        else:  # some process's code did this: it is not the place to end another's
            self.world.push(self.world.now_ns, self._end_greenlets)

    def _end_greenlets(self) -> None:
        """End what its code left waiting; whatever that code still tries finds its system dead."""
        self._asleep = None
        ending, self.greenlets = [self._glet, *self.greenlets], []
        before, self.world.current = self.world.current, None
        for each in ending:
            for _ in range(THROWS):
                if not each:  # not begun, or over
                    break
                try:
                    each.throw(Killed)
                except KeyboardInterrupt:
                    raise
                except BaseException:  # what the code of a dead process raises is nobody's business
                    continue
        self.world.current = before

    # --- when it runs ---------------------------------------------------------------------------

    def _first(self) -> None:
        if self.dead:
            return
        self._glet.parent = self.world.hub
        self.world.tell("process", self.machine, "started")
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
            raise  # meant for who runs the world
        except BaseException as error:
            status, self.error = 1, error
            self.write_stderr(traceback.format_exc().encode("utf-8", "backslashreplace"))
        if self.dead:
            return
        # The last step: what its main program left waiting never runs again.
        self._die(status)
        self.world.tell("process", self.machine, "exited")
        for _, thing in self._take_all():
            thing.let_go(False)
        self.world.push(self.world.now_ns, self._end_greenlets)

    def _resume(self) -> None:
        world = self.world
        if self.dead:
            return
        if world.now_ns < self.stalled_until:
            world.push(self.stalled_until, self._resume)
            return
        self._woken = False
        glet, self._asleep = self._asleep, None
        world.current = self
        if glet is not None:
            glet.switch()
        world.current = None

    def sleep(self) -> None:
        """For code of the process: wait until something resumes it."""
        self._asleep = greenlet.getcurrent()
        self.world.hub.switch()
        if self.dead:
            raise Killed

    def _wake(self) -> None:
        if not self._woken:
            self._woken = True
            now = self.world.now_ns
            when = now + self.draw(self.world.settings.wake_ns)
            self.world.push(max(when, self.busy_until), self._resume)

    def poll(self, poller: VirtualPoller, pause_ms: int | None) -> list[tuple[int, int]]:
        """For code of the process: wait for a descriptor."""
        if self.dead:
            raise Killed
        world = self.world
        busy = self.busy_until = world.now_ns + self.draw(self._pace.round_ns)
        deadline: int | None = None
        if pause_ms is not None and pause_ms >= 0:
            deadline = max(busy, world.now_ns + int(pause_ms) * MILLISECOND)
        self._deadline = deadline
        if pause_ms == 0 or self._signals or poller.ready():
            self._woken = True
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
        if self.dead or self._polling is None or self._woken or self._deadline is None:
            return
        if self.world.now_ns >= self._deadline:
            self._wake()
        else:
            self._arm(self._deadline)

    def stir(self, fd: int) -> None:
        """The poll bits of a descriptor may have changed."""
        for poller in self.pollers:
            if poller.touch(fd) and poller is self._polling and not self._woken:
                self._wake()

    # --- descriptors ----------------------------------------------------------------------------

    def allocate(self, thing: _Watched) -> int:
        """The lowest descriptor that is free; raises `EMFILE`."""
        self.check_descriptor()
        if self._free:
            fd = heapq.heappop(self._free)
        else:
            fd = self._next_fd
            self._next_fd += 1
        self.fds[fd] = thing
        for poller in self.pollers:
            poller.touch(fd)
        return fd

    def check_descriptor(self) -> None:
        """Raise `EMFILE` where none is free."""
        if (self._free[0] if self._free else self._next_fd) >= self.limit:
            raise fault(errno.EMFILE)

    def release(self, fd: int) -> None:
        """A descriptor is free again."""
        del self.fds[fd]
        heapq.heappush(self._free, fd)
        for poller in self.pollers:
            poller.touch(fd)

    # --- the rest -------------------------------------------------------------------------------

    def keep(self, task: greenlet.greenlet) -> None:
        """Remember a greenlet of its code, so that it can be ended with it."""
        self.greenlets.append(task)
        if len(self.greenlets) > self._greenlets_looked_at:
            self.greenlets = [each for each in self.greenlets if not each.dead]
            self._greenlets_looked_at = 64 + 2 * len(self.greenlets)

    def write_stderr(self, data: bytes) -> None:
        """Append to its standard error; the oldest bytes are lost once it has too many."""
        self.stderr += data
        over = len(self.stderr) - self.world.settings.output_bytes
        if over > 0:
            self.stderr_lost += over
            del self.stderr[:over]


class VirtualPoller:
    """A set of descriptors, as `select.poll` has it; only those that were touched are looked at."""

    __slots__ = ("_hot", "_number", "_process", "_registered")

    def __init__(self, process: Process) -> None:
        self._process = process
        self._registered: dict[int, tuple[int, int]] = {}  # events and place in the order
        self._hot: dict[int, None] = {}  # may have something to say
        self._number = 0

    def register(self, fd: int, events: int, /) -> None:
        """Watch a descriptor for `READ` or `WRITE`; faults are always told."""
        if self._process.dead:
            raise Killed
        if fd < 0:
            raise ValueError("file descriptor cannot be a negative integer (-1)")
        known = self._registered.get(fd)
        if known is None:
            self._number += 1
        self._registered[fd] = (events | ERR | HUP | NVAL, self._number if known is None else known[1])
        self._hot[fd] = None

    def unregister(self, fd: int, /) -> None:
        """Watch it no more; `KeyError` where it is not watched."""
        del self._registered[fd]
        self._hot.pop(fd, None)

    def poll(self, pause_ms: int | None = None, /) -> list[tuple[int, int]]:
        """Descriptors and their events, at once if there are any, else after so many ms at the latest."""
        return self._process.poll(self, pause_ms)

    def touch(self, fd: int) -> bool:
        """Its bits may have changed; says whether there is something to tell."""
        known = self._registered.get(fd)
        if known is None:
            return False
        self._hot[fd] = None
        thing = self._process.fds.get(fd)
        return (NVAL if thing is None else thing.mask() & known[0]) != 0

    def ready(self) -> list[tuple[int, int]]:
        """What there is to tell now, in the order of registration."""
        hot = self._hot
        if not hot:
            return []
        found: list[tuple[int, int, int]] = []
        fds, cold = self._process.fds, []
        for fd in hot:
            events, place = self._registered[fd]
            thing = fds.get(fd)
            mask = NVAL if thing is None else thing.mask() & events
            if mask:
                found.append((place, fd, mask))
            if events & WRITE and not mask & WRITE and isinstance(thing, VirtualSocket):
                thing.want_write()
            if not mask:
                cold.append(fd)
        for fd in cold:
            del hot[fd]
        if len(found) > 1:
            found.sort()
        return [(fd, mask) for _, fd, mask in found]


class VirtualWaker:
    """Ends a poll in progress; takes two descriptors, as a pair of sockets does."""

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
        """The descriptor to watch for `READ`; -1 once it is closed."""
        return self._fd

    def wake(self) -> None:
        """Make it readable."""
        if not self._set and self._fd >= 0 and not self._process.dead:
            self._set = True
            self._process.stir(self._fd)

    def clear(self) -> None:
        """Make it unreadable again."""
        self._set = False

    def close(self) -> None:
        """Let go of its descriptors."""
        if self._fd >= 0 and not self._process.dead:
            self._process.release(self._fd)
            self._process.release(self._other)
        self._fd = self._other = -1

    def mask(self) -> int:
        """Its poll bits."""
        return (READ if self._set else 0) | WRITE

    def let_go(self, abort: bool) -> None:
        """Nothing: nobody else sees it."""

    def vanish(self) -> None:
        """Nothing."""


class VirtualSink:
    """Where lines end up; a test or a fault may make it block or fail."""

    def __init__(self, process: Process, take: Callable[[bytes], None]) -> None:
        self._process, self._take = process, take
        self._waiting: list[greenlet.greenlet] = []
        self.blocked = False
        self.failing = False
        self.lines = 0

    def block(self) -> None:
        """Writes wait from now on."""
        self.blocked = True

    def unblock(self) -> None:
        """Those that wait go on."""
        self.blocked = False
        waiting, self._waiting = self._waiting, []
        for each in waiting:
            self._process.world.push(self._process.world.now_ns, self._go_on, each)

    def fail(self, failing: bool = True) -> None:
        """Writes lose their lines from now on, or no more."""
        self.failing = failing

    def _go_on(self, waiting: greenlet.greenlet) -> None:
        world = self._process.world
        if not self._process.dead:
            world.current = self._process
            waiting.switch()
            world.current = None

    def write(self, items: list[Item]) -> int:
        """Write; says how many lines were lost."""
        process = self._process
        if process.dead:
            raise Killed
        while self.blocked:
            self._waiting.append(greenlet.getcurrent())
            process.world.hub.switch()
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
        """Nothing is held."""


class VirtualWorker:
    """A worker beside the process's main greenlet, as a thread would be; its turns take drawn times."""

    def __init__(
        self, process: Process, name: str, due: Callable[[], bool], turn: Callable[[], None]
    ) -> None:
        self.name = name
        self._process, self._due, self._turn = process, due, turn
        self._lock = nullcontext()  # one runs at a time
        self._ending = self._over = self._scheduled = False
        self._in_turn = False
        self._joining: list[Process] = []
        self._glet = greenlet.greenlet(self._run, process.world.hub)
        process.keep(self._glet)

    @property
    def lock(self) -> AbstractContextManager[Any]:
        """Guards nothing: `due` and `turn` never run beside the serving code."""
        return self._lock

    def wake(self) -> None:
        """Something may be due."""
        process = self._process
        if not self._scheduled and not self._over and not self._in_turn and not process.dead:
            self._scheduled = True
            world = process.world
            world.push(world.now_ns + process.draw(world.settings.worker_ns), self._step)

    def end(self, seconds: float) -> None:
        """Have what is due done and stop; the process waits no longer than that."""
        process = self._process
        if process.dead:
            raise Killed
        self._ending = True
        self.wake()
        world = process.world
        deadline = world.now_ns + int(seconds * 1e9)
        if greenlet.getcurrent() is world.hub or self._over or deadline <= world.now_ns:
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
                    process.world.hub.switch()
                self._in_turn = True
                self._turn()
                self._in_turn = False
                if self._ending or self._due():
                    self.wake()
                process.world.hub.switch()
        except Killed:
            return
        except Exception:
            process.write_stderr(traceback.format_exc().encode("utf-8", "backslashreplace"))
        finally:
            self._over = True
            if not process.dead:
                process.world.push(process.world.now_ns, self._joined)


class VirtualSystem:
    """`runtime.system.System` for one process in a world."""

    def __init__(self, process: Process) -> None:
        self.process = process
        self.machine, self.world = process.machine, process.world

    def monotonic(self) -> float:
        """Seconds on a clock that only advances."""
        if self.process.dead:
            raise Killed
        return self.world.now_ns / 1e9

    def monotonic_ns(self) -> int:
        """The same clock in nanoseconds."""
        if self.process.dead:
            raise Killed
        return self.world.now_ns

    def wall_ns(self) -> int:
        """Unix time in nanoseconds; it may be set, forward or back."""
        return self.world.wall_ns + self.machine.wall_offset_ns

    def greenlet(self, run: Callable[..., Any], hub: greenlet.greenlet) -> greenlet.greenlet:
        """A greenlet that ends with the process."""
        task = greenlet.greenlet(run, hub)
        self.process.keep(task)
        return task

    def poller(self) -> Poller:
        """A new set of descriptors."""
        poller = VirtualPoller(self.process)
        self.process.pollers.append(poller)
        return poller

    def waker(self) -> Waker:
        """A new waker."""
        self._check()
        return VirtualWaker(self.process)

    def listen(self, address: Address, backlog: int) -> Socket:
        """A socket that listens; raises `OSError`."""
        self._check()
        process, machine = self.process, self.machine
        process.check_descriptor()
        host, port = address
        if host not in (ANY, machine.ip) and not host.startswith("127."):
            raise fault(errno.EADDRNOTAVAIL)
        if port in machine.listeners:
            raise fault(errno.EADDRINUSE)
        listener = VirtualListener(machine, process, host, port or machine.free_port(), backlog)
        listener.fd = process.allocate(listener)
        machine.listeners[listener.port] = listener
        return listener

    def sleep(self, seconds: float) -> None:
        """No process here stands still."""
        raise NotImplementedError

    def adopt(self, fd: int) -> Socket:
        """No process here is given a socket; raises `OSError`."""
        raise fault(errno.ENOTSOCK)

    def accept(self, listener: Socket) -> tuple[Socket, str]:
        """A connection that waits, and its peer's host; raises `BlockingIOError` and `OSError`."""
        self._check()
        process, world = self.process, self.world
        if listener.fileno() < 0:
            raise fault(errno.EBADF)
        process.check_descriptor()  # Linux looks for one first
        if not isinstance(listener, VirtualListener):
            raise fault(errno.EINVAL)
        if not listener.queue:
            raise BlockingIOError(errno.EAGAIN, "Resource temporarily unavailable")
        sock = listener.queue.popleft()
        conn = sock.conn
        if conn is None:
            raise fault(errno.ECONNABORTED)
        share = world.settings.aborted_accepts
        if share and sock.state == State.CLOSE and sock.link is not None and sock.link.random() < share:
            raise fault(errno.ECONNABORTED)
        sock.process = process
        sock.fd = process.allocate(sock)
        if world.taps:
            world.tell("accepted", conn)
        return sock, conn.client.ip

    def connection(self) -> Socket:
        """A socket that is not connected yet; raises `OSError` where no descriptor is free."""
        self._check()
        sock = VirtualSocket(self.world.network, self.machine, self.process, State.CLOSE)
        sock.fd = self.process.allocate(sock)
        return sock

    def reset(self, sock: Socket) -> None:
        """Close a connection so that its other end sees a reset."""
        if isinstance(sock, VirtualSocket):
            sock.abort()

    def error_of(self, sock: Socket) -> int:
        """The error that waits on a socket, and clears it; 0 for none."""
        self._check()
        return sock.take_error() if isinstance(sock, VirtualSocket) else 0

    def seconds_since_data(self, sock: Socket) -> float:
        """Seconds since bytes last came on a connection, read or not."""
        self._check()
        if not isinstance(sock, VirtualSocket) or not sock.received_ns:
            return 0.0
        return (self.world.now_ns - sock.received_ns) / 1e9

    def set_unacknowledged_timeout(self, sock: Socket, seconds: float) -> None:
        """Have a connection fail once bytes sent stay unacknowledged for so long; there are no probes."""
        assert isinstance(sock, VirtualSocket)
        sock.silence_ns = int(seconds * 1e9)

    def on_signal(self, number: int, call: Callable[[], None]) -> None:
        """Have a signal handled."""
        self._check()
        self.process.handlers[int(number)] = call

    def worker(self, name: str, due: Callable[[], bool], turn: Callable[[], None]) -> Worker:
        """Start a worker."""
        self._check()
        return VirtualWorker(self.process, name, due, turn)

    def descriptor_sink(self, fd: int) -> Sink:
        """Standard error, whichever descriptor is asked for."""
        return self._sink(f"fd {fd}", self.process.write_stderr)

    def file_sink(self, path: str) -> Sink:
        """A file on the machine: it outlives the process."""
        kept = self.machine.files.setdefault(path, bytearray())
        most = self.world.settings.output_bytes

        def take(data: bytes) -> None:
            kept.extend(data)
            if len(kept) > most:
                del kept[: len(kept) - most]

        return self._sink(f"file {path}", take)

    def datagram_sink(self, address: Address) -> Sink:
        """Datagrams of whole lines to one address; `World.datagrams` has the last ones."""
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
