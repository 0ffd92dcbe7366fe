"""A single-threaded scheduler of greenlet tasks with one poll set and one timer heap.

A task runs until it parks. It may park on a socket, on an `Event` or on both, with an optional deadline,
and the first of them wakes it. Deadlines are in seconds on the clock `Scheduler.now`.
"""

from __future__ import annotations

import heapq
import logging
import math
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from enum import Enum

import greenlet

from brambleusher.runtime.system import READ, WRITE, Socket, System

log = logging.getLogger(__name__)

LATENESS_MIN_S = 0.05  # a timer late by more seconds than this means that the process has fallen behind
CHECKPOINTS_PER_TURN = 16  # checkpoints that a task may pass before it lets other tasks run
YIELD_MAX_S = 0.0005  # longest time in seconds for other tasks between two steps of long work
POLL_TIMEOUT_MAX_MS = 1000
CANCELLED_TIMERS_MIN = 512  # cancelled timers in the heap before it is compacted
_MS_PER_S = 1000

__all__ = [
    "READ",
    "WRITE",
    "Event",
    "Scheduler",
    "Task",
    "TaskCancelledError",
    "TaskTimeoutError",
    "Timer",
    "Wakeup",
]


class Wakeup(Enum):
    """The reason for which a parked task was woken."""

    SOCKET = "socket"
    EVENT = "event"


# Local copies, as each access to an enum member costs a function call on the hot path of every request.
_SOCKET, _EVENT = Wakeup.SOCKET, Wakeup.EVENT


class TaskTimeoutError(Exception):
    """Raised when a deadline passes before the awaited event occurs."""


class TaskCancelledError(BaseException):
    """Raised inside a cancelled task; not an `Exception`, so that general error handlers do not catch it."""


WakeReason = Wakeup | BaseException | None  # None for a task's first step and after a yield


class Timer:
    """A callback that is due at a set time; a cancelled timer stays in the heap without effect."""

    __slots__ = ("_scheduler", "callback")

    def __init__(self, scheduler: Scheduler, callback: Callable[[], object]) -> None:
        self._scheduler = scheduler
        self.callback: Callable[[], object] | None = callback

    def cancel(self) -> None:
        """Cancel the timer, so that its callback is not called."""
        if self.callback is not None:
            self.callback = None
            self._scheduler.timer_cancelled()


class Event:
    """A flag that one parked task can wait on; if no task waits, the flag stays set until the next wait."""

    __slots__ = ("is_set", "task")

    def __init__(self) -> None:
        self.is_set = False
        self.task: Task | None = None

    def set(self) -> None:
        """Wake the waiting task, or make the next wait return immediately."""
        self.is_set = True
        if self.task is not None:
            self.task.scheduler.wake(self.task, _EVENT)


class Task:
    """A greenlet with the socket, event and timer that it waits for."""

    __slots__ = ("event", "done", "glet", "name", "parked", "scheduler", "sock_fd", "timer", "urgent")

    def __init__(
        self, scheduler: Scheduler, name: str, run: Callable[[WakeReason], None], urgent: bool = False
    ) -> None:
        self.scheduler, self.name, self.urgent = scheduler, name, urgent
        self.glet = scheduler.system.greenlet(run, scheduler.hub)
        self.parked = self.done = False
        self.sock_fd = -1
        self.event: Event | None = None
        self.timer: Timer | None = None

    def cancel(self) -> None:
        """Raise `TaskCancelledError` in the parked task; a finished task is not affected."""
        if not self.done:
            self.scheduler.wake(self, TaskCancelledError())


def _check_time(when: float) -> None:
    """Raise `ValueError` for NaN, which would leave the heap of timers without an order."""
    if math.isnan(when):
        raise ValueError("a time is not a number")


class Scheduler:
    """Runs ready tasks in the hub greenlet, then polls until a socket or a timer is ready."""

    def __init__(self, system: System) -> None:
        self.system = system
        # Returns the time in seconds on a monotonic clock.
        self.now: Callable[[], float] = system.monotonic
        self.hub = greenlet.getcurrent()
        self._poll = system.poller()
        self._ready: deque[tuple[Task, WakeReason]] = deque()
        self._timers: list[tuple[float, int, Timer]] = []
        self._timer_count = self._cancelled_timers = 0
        self._waiting: dict[int, Task] = {}  # waiting tasks by file descriptor
        self._readable_callbacks: dict[int, Callable[[], object]] = {}  # callbacks by watched file descriptor
        self._soon: deque[Callable[[], object]] = deque()
        self._yielding: deque[Event] = deque()  # events of tasks in `yield_until_idle`, resumed in turn
        self._lateness_s, self._late_until = 0.0, 0.0
        self._last_step_at: float | None = 0.0  # end of the last step of long work; None during a step
        self._iteration_at = self._previous_iteration_at = (
            self.now()
        )  # when the latest two polls had returned
        self._running: Task | None = None
        self._checkpoints_left = CHECKPOINTS_PER_TURN
        self._stopped = False
        # Signal handlers use the waker to end a poll in progress.
        self._waker = system.waker()
        self._poll.register(self._waker.fileno(), READ)

    # --- called by tasks ------------------------------------------------------------------------

    @property
    def timers(self) -> int:
        """The number of pending timers."""
        return len(self._timers) - self._cancelled_timers

    @property
    def lateness_s(self) -> float:
        """The seconds for which events handled now may have been delayed; 0 if no timer was late.

        A process that was stopped or lacks processor time counts as behind for as long again as it was late.
        """
        return self._lateness_s if self.now() < self._late_until else 0.0

    @property
    def events_after(self) -> float:
        """The time after which the events of this iteration have occurred: when the poll before returned."""
        return self._previous_iteration_at

    @property
    def current_task(self) -> Task:
        """The running task; raises `RuntimeError` outside a task."""
        return self._current()

    def spawn(
        self, function: Callable[..., object], *args: object, name: str = "", urgent: bool = False
    ) -> Task:
        """Start a task, which runs for the first time in the hub's next iteration.

        Whenever an `urgent` task is ready, it runs before all other ready tasks.
        """

        def run(reason: WakeReason) -> None:
            self._run_task(task, function, args, reason)

        task = Task(self, name or function.__qualname__, run, urgent)
        self._queue(task, None)
        task.parked = True
        return task

    def _queue(self, task: Task, reason: WakeReason) -> None:
        if task.urgent:
            self._ready.appendleft((task, reason))
        else:
            self._ready.append((task, reason))

    def park(
        self,
        deadline: float | None = None,
        sock: Socket | None = None,
        events: int = READ,
        event: Event | None = None,
    ) -> Wakeup:
        """Wait for `events` (`READ` or `WRITE`) on a socket, for an event, or for both.

        Returns:
            Which of the two occurred; the event is cleared.

        Raises:
            TaskTimeoutError: Neither occurred before the deadline, in seconds on the clock `now`.
            ValueError: The deadline is not a number.
            TaskCancelledError: The task was cancelled.
        """
        if event is not None and event.is_set:
            event.is_set = False
            return _EVENT
        if deadline is not None:
            _check_time(deadline)
        task = self._current()
        if sock is not None:
            self._watch(task, sock, events)
        if event is not None:
            task.event, event.task = event, task
        if deadline is not None:
            task.timer = self.call_at(deadline, lambda: self.wake(task, TaskTimeoutError()))
        task.parked = True
        reason = self.hub.switch()
        if event is not None:
            event.is_set = False
        if isinstance(reason, BaseException):
            try:
                raise reason
            finally:
                # The exception references this frame and the frame the exception. Such a reference cycle
                # for every passed deadline would keep the task's objects until the next garbage collection.
                del reason
        assert isinstance(reason, Wakeup)
        return reason

    def _watch(self, task: Task, sock: Socket, events: int) -> None:
        fd = sock.fileno()
        if fd in self._waiting:
            raise RuntimeError("two tasks wait on one socket")
        if fd in self._readable_callbacks:
            if events & READ:
                raise RuntimeError("a task waits to receive from a socket that is watched")
            events |= READ
        task.sock_fd = fd
        self._waiting[fd] = task
        self._poll.register(fd, events)

    def watch_readable(self, fd: int, callback: Callable[[], object]) -> None:
        """Make the hub call a short function, which must not park, whenever a descriptor is readable.

        A task may wait to send on the same descriptor, but not to receive. The watch must end before the hub
        polls a closed descriptor.
        """
        if fd in self._readable_callbacks or fd in self._waiting:
            raise RuntimeError("the socket is already watched or waited for")
        self._readable_callbacks[fd] = callback
        self._poll.register(fd, READ)

    def unwatch_readable(self, fd: int) -> None:
        """Stop watching a descriptor."""
        del self._readable_callbacks[fd]
        if fd not in self._waiting:
            self._poll.unregister(fd)

    def sleep(self, seconds: float) -> None:
        """Park the task for a number of seconds while other tasks run."""
        try:
            self.park(self.now() + seconds)
        except TaskTimeoutError:
            return

    def yield_now(self) -> None:
        """Let all ready tasks run, so that a task that always has work does not starve them."""
        task = self._current()
        self._queue(task, None)
        task.parked = True
        reason = self.hub.switch()
        if isinstance(reason, BaseException):
            raise reason

    def yield_until_idle(self) -> None:
        """Let other tasks run until none is ready, or for `YIELD_MAX_S` seconds if some task always is.

        Long work in steps calls this between steps, and so uses idle time, or a share of the time under load.
        """
        event = Event()
        self._yielding.append(event)
        self.park(event=event)

    def checkpoint(self, deadline: float | None = None) -> None:
        """Let other tasks run if this one has passed `CHECKPOINTS_PER_TURN` checkpoints since it last parked.

        Each iteration of a loop over what a peer sends passes one: as long as the peer sends faster than the
        loop works, no receive parks, so neither other tasks nor the deadline would get a turn.

        Raises:
            TaskTimeoutError: The deadline had passed after the other tasks ran.
        """
        self._checkpoints_left -= 1
        if self._checkpoints_left > 0:
            return
        self.yield_until_idle()
        if deadline is not None and self.now() >= deadline:
            raise TaskTimeoutError

    def call_at(self, when: float, callback: Callable[[], object]) -> Timer:
        """Make the hub call a short function, which must not park, at a set time.

        Raises:
            ValueError: The time is not a number.
        """
        _check_time(when)
        timer = Timer(self, callback)
        self._timer_count += 1
        heapq.heappush(self._timers, (when, self._timer_count, timer))
        return timer

    def timer_cancelled(self) -> None:
        """Remove cancelled timers from the heap once they are the majority.

        Otherwise, each request that was answered in milliseconds would leave its deadline timer in the heap
        for minutes.
        """
        self._cancelled_timers += 1
        if self._cancelled_timers > CANCELLED_TIMERS_MIN and self._cancelled_timers * 2 > len(self._timers):
            self._timers = [entry for entry in self._timers if entry[2].callback is not None]
            heapq.heapify(self._timers)
            self._cancelled_timers = 0

    def call_soon(self, callback: Callable[[], object]) -> None:
        """Make the hub call a short function in its next iteration; safe in a signal handler."""
        self._soon.append(callback)
        self.interrupt_poll()

    def wake(self, task: Task, reason: WakeReason) -> None:
        """Queue a parked task to run again; only the first wake reason takes effect."""
        if not task.parked:
            return
        if task.sock_fd < 0 and task.event is None and task.timer is None:
            if not isinstance(reason, TaskCancelledError):
                return  # the task is already queued
            # A cancellation replaces an earlier wake reason that the task has not seen yet.
            for at, (queued, _) in enumerate(self._ready):
                if queued is task:
                    self._ready[at] = (task, reason)
                    return
        self._unhook(task)
        self._queue(task, reason)

    # --- the hub --------------------------------------------------------------------------------

    def run(self, until: Callable[[], bool] | None = None) -> None:
        """Run tasks until `stop` is called or `until` returns true."""
        self._stopped = False
        while not self._stopped and not (until is not None and until()):
            self._previous_iteration_at, self._iteration_at = self._iteration_at, self.now()
            self._fire(self._iteration_at)
            for _ in range(len(self._ready)):
                task, reason = self._ready.popleft()
                task.parked = False
                self._running = task
                self._checkpoints_left = CHECKPOINTS_PER_TURN
                task.glet.switch(reason)
                self._running = None
            self._poll_once(0 if self._ready or self._yielding else self._poll_timeout_ms())
            if self._yielding:
                self._resume_long_work()

    def _resume_long_work(self) -> None:
        now = self.now()
        if self._last_step_at is None:
            self._last_step_at = now
        is_idle = not self._ready and self._poll_timeout_ms() > 0
        if is_idle or now - self._last_step_at >= YIELD_MAX_S:
            self._yielding.popleft().set()
            self._last_step_at = None

    def stop(self) -> None:
        """Make `run` return after the current iteration; safe in a signal handler."""
        self._stopped = True
        self.interrupt_poll()

    def interrupt_poll(self) -> None:
        """End a poll in progress; safe in a signal handler."""
        self._waker.wake()

    def close(self) -> None:
        """Release the scheduler's own sockets."""
        self._waker.close()

    def _poll_timeout_ms(self) -> int:
        while self._timers and self._timers[0][2].callback is None:
            heapq.heappop(self._timers)
            self._cancelled_timers -= 1
        if not self._timers:
            return POLL_TIMEOUT_MAX_MS
        left_ms = (self._timers[0][0] - self.now()) * _MS_PER_S + 0.999  # rounded up by `int`
        return max(0, int(min(POLL_TIMEOUT_MAX_MS, left_ms)))

    def _fire(self, now: float) -> None:
        """Call the callbacks that are due."""
        callbacks = [self._soon.popleft() for _ in range(len(self._soon))]
        while self._timers and self._timers[0][0] <= now:
            due, _, timer = heapq.heappop(self._timers)
            if timer.callback is None:
                self._cancelled_timers -= 1
            else:
                self._record_lateness(now - due, now)
                callbacks.append(timer.callback)
                timer.callback = None
        for callback in callbacks:
            try:
                callback()
            except Exception:
                log.exception("timer failed")

    def _record_lateness(self, lateness_s: float, now: float) -> None:
        if lateness_s > LATENESS_MIN_S and now + lateness_s > self._late_until:
            self._lateness_s, self._late_until = lateness_s, now + lateness_s

    def _poll_once(self, timeout_ms: int) -> None:
        for fd, events in self._poll.poll(timeout_ms):
            callback = self._readable_callbacks.get(fd)
            if callback is not None:
                self._notify_watched(fd, events, callback)
                continue
            task = self._waiting.get(fd)
            if task is not None:
                self.wake(task, _SOCKET)
            elif fd == self._waker.fileno():
                self._waker.clear()
            else:  # a stale descriptor, which would end every poll immediately
                self._unregister_unwaited(fd)

    def _unregister_unwaited(self, fd: int) -> None:
        """Stop polling a descriptor that no task waits for.

        In the same iteration, the callback of a watched descriptor may have woken the task waiting for this
        descriptor, and so may have unregistered it already.
        """
        with suppress(KeyError):
            self._poll.unregister(fd)

    def _notify_watched(self, fd: int, events: int, callback: Callable[[], object]) -> None:
        if events != WRITE:
            callback()
        task = self._waiting.get(fd)
        if task is not None and events & WRITE:
            self.wake(task, _SOCKET)

    def _unhook(self, task: Task) -> None:
        if task.sock_fd >= 0:
            del self._waiting[task.sock_fd]
            if task.sock_fd in self._readable_callbacks:
                self._poll.register(task.sock_fd, READ)
            else:
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

    def _run_task(
        self, task: Task, function: Callable[..., object], args: tuple[object, ...], reason: WakeReason
    ) -> None:
        try:
            if isinstance(reason, TaskCancelledError):  # the task was cancelled before its first step
                return
            function(*args)
        except TaskCancelledError:
            return
        except Exception:
            # An error in one task must not end the process.
            log.exception("task failed", extra={"fields": {"task": task.name}})
        finally:
            task.done = True
