"""Greenlet tasks over a poll set: one thread, one poller, one heap of timers.

A task runs until it parks.  It may park on a socket, on a `Event`, or on both, always with the
choice of a deadline; whichever comes first wakes it.  Deadlines are in seconds on `Scheduler.now`.
"""

from __future__ import annotations

import heapq
import logging
from collections import deque
from collections.abc import Callable
from typing import Any

import greenlet

from brambleusher.runtime.system import READ, WRITE, Socket, System

log = logging.getLogger(__name__)

LATE_SECONDS = 0.05  # by which a timer has to be late for the process to be behind
BREATH_SECONDS = 0.0005  # that others may have between two steps of long work, where they never rest

__all__ = ["READ", "WRITE", "Event", "Scheduler", "Task", "TaskCancelledError", "TaskTimeoutError", "Timer"]


class TaskTimeoutError(Exception):
    """The deadline passed before what was waited for came."""


class TaskCancelledError(BaseException):
    """Raised inside a task that was called off; not an `Exception`, so that handlers let it pass."""


class Timer:
    """A call due at some moment; `cancel` leaves an empty shell in the heap."""

    __slots__ = ("_scheduler", "call")

    def __init__(self, scheduler: Scheduler, call: Callable[[], object]) -> None:
        self._scheduler = scheduler
        self.call: Callable[[], object] | None = call

    def cancel(self) -> None:
        """Make it do nothing."""
        if self.call is not None:
            self.call = None
            self._scheduler.timer_cancelled()


class Event:
    """A flag that one parked task waits on; set while nobody waits, it stays set."""

    __slots__ = ("is_set", "task")

    def __init__(self) -> None:
        self.is_set = False
        self.task: Task | None = None

    def set(self) -> None:
        """Wake the task that waits, or let the next wait return at once."""
        self.is_set = True
        if self.task is not None:
            self.task.scheduler.wake(self.task, "event")


class Task:
    """One greenlet and what it waits for."""

    __slots__ = ("event", "done", "glet", "name", "parked", "scheduler", "sock_fd", "timer", "urgent")

    def __init__(
        self, scheduler: Scheduler, name: str, run: Callable[[Any], None], urgent: bool = False
    ) -> None:
        self.scheduler, self.name, self.urgent = scheduler, name, urgent
        self.glet = scheduler.system.greenlet(run, scheduler.hub)
        self.parked = self.done = False
        self.sock_fd = -1
        self.event: Event | None = None
        self.timer: Timer | None = None

    def cancel(self) -> None:
        """Raise `TaskCancelledError` where the task is parked; a task that has ended is left alone."""
        if not self.done:
            self.scheduler.wake(self, TaskCancelledError())


class Scheduler:
    """The hub: runs ready tasks, then polls until a socket or a timer is due."""

    def __init__(self, system: System) -> None:
        self.system = system
        # Seconds on a clock that only advances.
        self.now: Callable[[], float] = system.monotonic
        self.hub = greenlet.getcurrent()
        self._poll = system.poller()
        self._ready: deque[tuple[Task, Any]] = deque()
        self._timers: list[tuple[float, int, Timer]] = []
        self._timer_count = self._shells = 0
        self._waiting: dict[int, Task] = {}
        self._soon: deque[Callable[[], object]] = deque()
        self._breathing: deque[Event] = deque()  # of tasks with long work, in turn
        self._late, self._late_until = 0.0, 0.0
        self._breath_at: float | None = 0.0  # when the last step of one ended; None: it is under way
        self._running: Task | None = None
        self._stopped = False
        # Signal handlers write here, so that a poll in progress ends.
        self._waker = system.waker()
        self._poll.register(self._waker.fileno(), READ)

    # --- what tasks call ------------------------------------------------------------------------

    @property
    def timers(self) -> int:
        """Calls that are due at some moment."""
        return len(self._timers) - self._shells

    @property
    def lateness_s(self) -> float:
        """Seconds for which what comes to light now may have waited unseen, 0 where no timer was late.

        A process that was stopped, or is short of processor time, is behind for as long again as it was late.
        """
        return self._late if self.now() < self._late_until else 0.0

    def spawn(self, call: Callable[..., Any], *args: Any, name: str = "", urgent: bool = False) -> Task:
        """Start a task; it runs for the first time in the hub's next round.

        One that is `urgent` goes ahead of all that is ready whenever it is.
        """
        task = Task(self, name or call.__qualname__, lambda why: self._body(task, call, args, why), urgent)
        self._queue(task, None)
        task.parked = True
        return task

    def _queue(self, task: Task, why: Any) -> None:
        if task.urgent:
            self._ready.appendleft((task, why))
        else:
            self._ready.append((task, why))

    def park(
        self,
        deadline: float | None = None,
        sock: Socket | None = None,
        events: int = READ,
        event: Event | None = None,
    ) -> str:
        """Wait for a socket, a event or both; says which came, raises `TaskTimeoutError` if neither did."""
        if event is not None and event.is_set:
            event.is_set = False
            return "event"
        task = self._current()
        if sock is not None:
            task.sock_fd = sock.fileno()
            if task.sock_fd in self._waiting:
                task.sock_fd = -1
                raise RuntimeError("two tasks wait on one socket")
            self._waiting[task.sock_fd] = task
            self._poll.register(task.sock_fd, events)
        if event is not None:
            task.event, event.task = event, task
        if deadline is not None:
            task.timer = self.call_at(deadline, lambda: self.wake(task, TaskTimeoutError()))
        task.parked = True
        why = self.hub.switch()
        if event is not None:
            event.is_set = False
        if isinstance(why, BaseException):
            try:
                raise why
            finally:
                # Guards against a cycle for each deadline that passes (the exception holds this frame, and
                # this the exception), which keeps what its task held until the collector comes by.
                del why
        return str(why)

    def sleep(self, seconds: float) -> None:
        """Let others run for a while."""
        try:
            self.park(self.now() + seconds)
        except TaskTimeoutError:
            return

    def yield_now(self) -> None:
        """Let all run that are ready.

        Guards against one task that always finds something to do, and never has to wait for it.
        """
        task = self._current()
        self._queue(task, None)
        task.parked = True
        why = self.hub.switch()
        if isinstance(why, BaseException):
            raise why

    def yield_until_idle(self) -> None:
        """Let others run until nobody is ready to, or for a moment where somebody always is.

        For long work in steps: it has the time that is left, and a part of it where none is.
        """
        event = Event()
        self._breathing.append(event)
        self.park(event=event)

    def call_at(self, when: float, call: Callable[[], object]) -> Timer:
        """Have the hub make a short call at a moment; it must not park."""
        timer = Timer(self, call)
        self._timer_count += 1
        heapq.heappush(self._timers, (when, self._timer_count, timer))
        return timer

    def timer_cancelled(self) -> None:
        """Clear the heap of empty shells once most of it is.

        Guards against a deadline of minutes for each request that was answered in milliseconds.
        """
        self._shells += 1
        if self._shells > 512 and self._shells * 2 > len(self._timers):
            self._timers = [entry for entry in self._timers if entry[2].call is not None]
            heapq.heapify(self._timers)
            self._shells = 0

    def call_soon(self, call: Callable[[], object]) -> None:
        """Have the hub make a short call in its next round; safe in a signal handler."""
        self._soon.append(call)
        self.interrupt_poll()

    def wake(self, task: Task, why: Any) -> None:
        """Queue a parked task to run again; the first reason to wake it counts."""
        if not task.parked:
            return
        if task.sock_fd < 0 and task.event is None and task.timer is None:
            # Queued already.  A cancel must not be lost to a reason that came a moment earlier.
            if isinstance(why, TaskCancelledError):
                for at, (queued, _) in enumerate(self._ready):
                    if queued is task:
                        self._ready[at] = (task, why)
                        return
            else:
                return
        self._unhook(task)
        self._queue(task, why)

    # --- the hub --------------------------------------------------------------------------------

    def run(self, until: Callable[[], bool] | None = None) -> None:
        """Serve until `stop` is called or `until` says so."""
        self._stopped = False
        while not self._stopped and not (until is not None and until()):
            self._fire(self.now())
            for _ in range(len(self._ready)):
                task, why = self._ready.popleft()
                task.parked = False
                self._running = task
                task.glet.switch(why)
                self._running = None
            self._collect(0 if self._ready or self._breathing else self._pause())
            if self._breathing:
                self._let_breathe()

    def _let_breathe(self) -> None:
        now = self.now()
        if self._breath_at is None:
            self._breath_at = now
        if (not self._ready and self._pause() > 0) or now - self._breath_at >= BREATH_SECONDS:
            self._breathing.popleft().set()
            self._breath_at = None

    def stop(self) -> None:
        """End `run` after this round; safe in a signal handler."""
        self._stopped = True
        self.interrupt_poll()

    def interrupt_poll(self) -> None:
        """End a poll in progress; safe in a signal handler."""
        self._waker.wake()

    def close(self) -> None:
        """Release the scheduler's own sockets."""
        self._waker.close()

    def _pause(self) -> int:
        while self._timers and self._timers[0][2].call is None:
            heapq.heappop(self._timers)
            self._shells -= 1
        if not self._timers:
            return 1000
        return max(0, min(1000, int((self._timers[0][0] - self.now()) * 1000 + 0.999)))

    def _fire(self, now: float) -> None:
        calls = [self._soon.popleft() for _ in range(len(self._soon))]
        while self._timers and self._timers[0][0] <= now:
            due, _, timer = heapq.heappop(self._timers)
            if timer.call is None:
                self._shells -= 1
            else:
                late = now - due
                if late > LATE_SECONDS and now + late > self._late_until:
                    self._late, self._late_until = late, now + late
                calls.append(timer.call)
                timer.call = None
        for call in calls:
            try:
                call()
            except Exception:
                log.exception("timer failed")

    def _collect(self, pause: int) -> None:
        for fd, _ in self._poll.poll(pause):
            task = self._waiting.get(fd)
            if task is not None:
                self.wake(task, "socket")
            elif fd == self._waker.fileno():
                self._waker.clear()
            else:  # guards against a loop at full speed over a socket nobody waits for
                self._poll.unregister(fd)

    def _unhook(self, task: Task) -> None:
        if task.sock_fd >= 0:
            del self._waiting[task.sock_fd]
            self._poll.unregister(task.sock_fd)
            task.sock_fd = -1
        if task.event is not None:
            task.event.task = None
            task.event = None
        if task.timer is not None:
            task.timer.cancel()
            task.timer = None

    def _current(self) -> Task:
        if self._running is None:
            raise RuntimeError("only a task may wait")
        return self._running

    def _body(self, task: Task, call: Callable[..., Any], args: tuple[Any, ...], why: Any) -> None:
        try:
            if isinstance(why, TaskCancelledError):  # called off before its first step
                return
            call(*args)
        except TaskCancelledError:
            return
        except Exception:
            # Guards against one task's fault ending the program.
            log.exception("task failed", extra={"fields": {"task": task.name}})
        finally:
            task.done = True
