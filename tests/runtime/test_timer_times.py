"""Times of timers and deadlines that are not finite: none ends the process or holds up other tasks."""

from __future__ import annotations

import math
import socket
from collections.abc import Iterator

import pytest

from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.scheduler import Event, Scheduler, TaskTimeoutError

SOON_S = 0.02


@pytest.fixture
def scheduler() -> Iterator[Scheduler]:
    scheduler = Scheduler(RealSystem())
    yield scheduler
    scheduler.close()


def run_beside_another_task(scheduler: Scheduler, task: object) -> bool:
    """Run a task, and return whether another task's short sleeps end as if it were alone."""
    ends: list[float] = []

    def sleep_repeatedly() -> None:
        for _ in range(3):
            scheduler.sleep(SOON_S)
            ends.append(scheduler.now())
        scheduler.stop()

    assert callable(task)
    scheduler.spawn(task)
    scheduler.spawn(sleep_repeatedly)
    scheduler.run()
    return len(ends) == 3


def test_a_deadline_that_is_not_a_number_is_an_error_of_its_task_alone(scheduler: Scheduler) -> None:
    """Guards against NaN at the head of the timers, which ended the process in the scheduler's loop."""
    mine, peer = socket.socketpair()
    mine.setblocking(False)
    errors: list[str] = []

    def wait() -> None:
        for _ in range(2):
            try:
                scheduler.park(math.nan, mine)
            except ValueError as error:
                errors.append(str(error))
        with pytest.raises(TaskTimeoutError):  # the socket can be waited for again
            scheduler.park(scheduler.now() + SOON_S, mine)

    assert run_beside_another_task(scheduler, wait)
    assert errors == ["a time is not a number"] * 2
    with pytest.raises(ValueError, match="a time is not a number"):
        scheduler.call_at(math.nan, lambda: None)
    mine.close()
    peer.close()


def test_a_deadline_in_infinity_is_never_reached(scheduler: Scheduler) -> None:
    event = Event()
    ended: list[str] = []

    def wait() -> None:
        scheduler.park(math.inf, event=event)
        ended.append("event")

    assert run_beside_another_task(scheduler, wait)
    assert ended == []
    event.set()
    scheduler.spawn(scheduler.stop)
    scheduler.run()
    assert ended == ["event"]


def test_an_infinite_timer_alone_does_not_end_the_loop(scheduler: Scheduler) -> None:
    """Guards against an overflow where the loop computes how long to poll."""
    scheduler.call_at(math.inf, lambda: None)
    assert scheduler._poll_timeout_ms() == 1000
    scheduler.call_at(scheduler.now() + SOON_S, scheduler.stop)
    scheduler.run()
