"""Tests that a task whose peer always sends shares its turn, and ends at its deadline."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import pytest

from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.scheduler import CHECKPOINTS_PER_TURN, Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import Stream

FOREVER = 10_000  # iterations after which a loop that nothing ends has failed


@contextmanager
def scheduler_running(*tasks: Callable[[Scheduler], None]) -> Iterator[Scheduler]:
    scheduler = Scheduler(RealSystem())
    for task in tasks:
        scheduler.spawn(task, scheduler)
    scheduler.call_at(scheduler.now() + 5.0, scheduler.stop)
    scheduler.run()
    yield scheduler
    scheduler.close()


class EndlessSocket:
    """A socket on which bytes are always there to receive."""

    def recv(self, size: int, flags: int = 0, /) -> bytes:
        return b"x"

    def fileno(self) -> int:
        return -1


def endless_stream(scheduler: Scheduler) -> Stream:
    return Stream(scheduler, EndlessSocket())  # type: ignore[arg-type]


# Guards against a process that stands still while one peer sends faster than a task receives.
def test_others_run_while_bytes_are_always_there() -> None:
    turns: list[str] = []

    def receives(scheduler: Scheduler) -> None:
        stream = endless_stream(scheduler)
        while len(turns) < FOREVER:
            stream.receive(None)
            turns.append("receives")
        scheduler.stop()

    def other(scheduler: Scheduler) -> None:
        for _ in range(3):
            turns.append("other")
            scheduler.yield_now()

    with scheduler_running(receives, other):
        others = [at for at, name in enumerate(turns) if name == "other"]
    assert others
    assert others[0] <= CHECKPOINTS_PER_TURN


# Guards against a request that is held as long as its instance sends, whatever its deadline.
def test_a_deadline_passes_while_bytes_are_always_there() -> None:
    ended: list[int] = []

    def receives(scheduler: Scheduler) -> None:
        stream, deadline = endless_stream(scheduler), scheduler.now() + 0.01
        received = 0
        with pytest.raises(TaskTimeoutError):
            while scheduler.now() < deadline + 1.0:
                received += len(stream.receive(deadline) or b"")
        ended.append(received)
        assert scheduler.now() < deadline + 0.5
        scheduler.stop()

    with scheduler_running(receives):
        assert ended


class TricklingSocket:
    """A socket on which a byte arrives between each failed receive and the poll."""

    def __init__(self, readable: socket.socket) -> None:
        self._readable, self._has_byte = readable, False

    def recv(self, size: int, flags: int = 0, /) -> bytes:
        self._has_byte = not self._has_byte
        if self._has_byte:
            raise BlockingIOError
        return b"x"

    def fileno(self) -> int:
        return self._readable.fileno()


# Guards against a trickle whose next byte is always there by the time of the poll.
def test_a_deadline_passes_while_a_byte_comes_to_each_poll() -> None:
    ended: list[float] = []

    def receives(scheduler: Scheduler) -> None:
        near, far = socket.socketpair()
        with near, far:
            far.send(b"x")
            stream = Stream(scheduler, TricklingSocket(near))  # type: ignore[arg-type]
            deadline = scheduler.now() + 0.01
            with pytest.raises(TaskTimeoutError):
                while scheduler.now() < deadline + 1.0:
                    stream.receive(deadline)
            ended.append(scheduler.now() - deadline)
        scheduler.stop()

    with scheduler_running(receives):
        assert ended
        assert ended[0] < 0.5
