"""Since when the client of an accepted connection can have sent a request."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from brambleusher.runtime.connection_timing import OPENINGS_COMPARED, ConnectionTiming

LISTENING_SINCE, QUEUED_AFTER, ACCEPTED_AT, NOW = 100.0, 197.0, 200.0, 200.01


class FakeScheduler:
    """A scheduler whose operating system tells fixed times of every connection."""

    def __init__(self, unread_s: float, opening_s: float, lateness_s: float) -> None:
        self.time, self.lateness_s, self.opening_s = LISTENING_SINCE, lateness_s, opening_s
        self.system = SimpleNamespace(
            seconds_since_data=lambda _sock: unread_s, seconds_to_open=lambda _sock: self.opening_s
        )

    def now(self) -> float:
        return self.time


def timing_with(
    unread_s: float = 0.0, opening_s: float = 0.0, lateness_s: float = 0.0
) -> tuple[ConnectionTiming, FakeScheduler]:
    scheduler: Any = FakeScheduler(unread_s, opening_s, lateness_s)
    timing = ConnectionTiming(scheduler)
    scheduler.time = NOW
    return timing, scheduler


STREAM: Any = SimpleNamespace(sock=None)


@pytest.mark.parametrize(
    ("unread_s", "lateness_s", "sent_after"),
    [
        (0.01, 0.0, 200.0),  # the bytes came as the connection was accepted
        (2.51, 0.0, 197.5),  # they waited for a process that stood still
        (3.03, 0.0, 197.0),  # within the granularity of the times, but not before the connection
        (3600.0, 0.0, 200.0),  # contradicted: the accept queue was empty then
        (3600.0, 1.5, 198.5),  # contradicted, but the process has fallen behind
        (0.0, 1.5, 198.5),  # not told
        (0.0, 60.0, 197.0),
    ],
)
def test_bytes_waited_as_long_as_nothing_contradicts(
    unread_s: float, lateness_s: float, sent_after: float
) -> None:
    timing, _ = timing_with(unread_s=unread_s, lateness_s=lateness_s)
    readiness = timing.of_accepted(STREAM, ACCEPTED_AT, QUEUED_AFTER)
    assert readiness.since == ACCEPTED_AT
    assert readiness.sent_after == pytest.approx(sent_after)


def test_an_opening_that_takes_longer_than_others_counts() -> None:
    timing, scheduler = timing_with(opening_s=0.002)
    timing.of_accepted(STREAM, ACCEPTED_AT, QUEUED_AFTER)
    scheduler.opening_s = 1.0
    assert timing.of_accepted(STREAM, ACCEPTED_AT, QUEUED_AFTER).sent_after == pytest.approx(199.002)


@pytest.mark.parametrize("opening_s", [1.0, 3600.0])
def test_what_is_told_of_every_opening_does_not_count(opening_s: float) -> None:
    timing, _ = timing_with(opening_s=opening_s)
    for _ in range(OPENINGS_COMPARED + 1):
        assert timing.of_accepted(STREAM, ACCEPTED_AT, QUEUED_AFTER).sent_after == ACCEPTED_AT


def test_no_request_is_older_than_the_listener() -> None:
    timing, scheduler = timing_with()
    timing.of_accepted(STREAM, ACCEPTED_AT, QUEUED_AFTER)
    scheduler.opening_s = 3600.0
    assert timing.of_accepted(STREAM, ACCEPTED_AT, QUEUED_AFTER).sent_after == LISTENING_SINCE
