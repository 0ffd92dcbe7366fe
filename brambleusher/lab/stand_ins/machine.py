"""The machine under an endpoint: cores shared by requests, a waiting room, a cold start, load reports.

No sockets, timers or clock: every call says what time it is, in seconds, and `next_at` says when to
call `advance` again.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from brambleusher.lab.stand_ins.settings import NodeSettings

WARM_STEPS = 16  # a cold machine's capacity rises in so many steps
EPSILON = 1e-9


@dataclass(eq=False, slots=True)
class Job:
    """A request as the machine sees it; `begun` and `done` are called when they happen."""

    work: float  # seconds of a standard core
    begun: Callable[[float], bool]  # may say no: then it is not worked on
    done: Callable[[float], None]
    end: float = math.nan  # while it is worked on: the service at which it is done


@dataclass(frozen=True, slots=True)
class Report:
    """One measurement: requests a second and the part of the cores that was busy."""

    at: float
    seen_at: float
    throughput: float
    utilization: float


class Machine:
    """Works on jobs: those in slots share the cores evenly, the others wait in turn."""

    def __init__(self, settings: NodeSettings, rng: random.Random, now: float, cold: bool) -> None:
        self.settings, self._rng = settings, rng
        self._slots = settings.cores * settings.slots_per_core
        self._room = settings.cores * settings.queue_per_core
        self._running: list[Job] = []
        self._waiting: deque[Job] = deque()
        self._now = self.started_at = now
        self._service = 0.0  # what each running job has had, since the start
        self._rate = 0.0
        self._warmth = settings.cold_from if cold and settings.cold_s else 1.0
        self._warm_at = now + settings.cold_s / WARM_STEPS
        self._worked = 0.0  # seconds of a standard core, since the start
        self._pushed: deque[tuple[float, float]] = deque()  # arrivals while cold: when, and work
        self.fell_at: float | None = None
        # What the world takes away: set by `burden`.
        self._slow, self._taken, self._hung, self._tax = 1.0, 0.0, False, 0.0
        self._busy = 0.0  # core seconds since the last report
        self._finished = 0  # since the last report
        self._report_at = now + settings.report_period_s * (0.5 + 0.5 * rng.random())
        self._reported_at = now
        self._reports: deque[Report] = deque()

    # --- what is known of it --------------------------------------------------------------------

    @property
    def held(self) -> int:
        """Requests in work and waiting."""
        return len(self._running) + len(self._waiting)

    @property
    def full(self) -> bool:
        """Whether one more would find no place."""
        return len(self._running) >= self._slots and len(self._waiting) >= self._room

    @property
    def cold(self) -> bool:
        """Whether its capacity is still rising."""
        return self._warmth < 1.0

    @property
    def capacity(self) -> float:
        """Seconds of a standard core that it can work in a second, crowding and troubles apart."""
        return self.settings.cores * self.settings.speed * self._warmth

    def report(self, now: float, delay: float = 0.0) -> Report | None:
        """The newest report that can be seen by now, with some further delay."""
        seen = None
        for report in self._reports:
            if report.seen_at + delay > now:
                break
            seen = report
        return seen

    # --- work -----------------------------------------------------------------------------------

    def add(self, job: Job, now: float) -> None:
        """Take a job in; the caller has seen that it is not `full`."""
        self.advance(now)
        self._push(job.work, now)
        self._waiting.append(job)
        self._fill()

    def refused(self, work: float, now: float) -> None:
        """A request was turned away: it pushed all the same."""
        self._push(work, now)

    def drop(self, job: Job, now: float) -> bool:
        """Stop working on a job, or let it wait no longer; false if it is not here any more."""
        self.advance(now)
        if job in self._running:
            self._running.remove(job)
        elif job in self._waiting:
            self._waiting.remove(job)
        else:
            return False
        self._fill()
        return True

    def runs(self, job: Job) -> bool:
        """Whether a job is in work."""
        return job in self._running

    def spend(self, work: float, now: float) -> None:
        """Work that nobody waits for, such as a handshake's: it delays what is in work."""
        self.advance(now)
        self._busy += work / self.settings.speed
        if self._running:
            share = work / len(self._running)
            for job in self._running:
                job.end += share

    def burden(
        self,
        now: float,
        slow: float | None = None,
        taken: float | None = None,
        hung: bool | None = None,
        tax: float | None = None,
    ) -> None:
        """Change what the world takes away: a factor, a share of the machine, all of it, a part."""
        self.advance(now)
        self._slow = self._slow if slow is None else slow
        self._taken = self._taken if taken is None else taken
        self._hung = self._hung if hung is None else hung
        self._tax = self._tax if tax is None else tax
        self._rate = self._rate_now()

    def advance(self, now: float) -> None:
        """Let time pass; jobs that are done by then are told so, at the moment they were."""
        while (at := self.next_at()) is not None and at <= now + EPSILON:
            self._move(max(at, self._now))
            if self.cold and self._now >= self._warm_at - EPSILON:
                self._warm()
            service = self._service + EPSILON
            for job in [job for job in self._running if job.end <= service]:
                self._running.remove(job)
                self._worked += job.work
                self._finished += 1
                job.done(self._now)
            self._fill()
        self._move(max(now, self._now))

    def next_at(self) -> float | None:
        """When a job is done or the capacity changes, as things stand; None if nothing is to happen."""
        if not self._running:
            # A machine without work warms up unwatched: it catches up when work comes.
            return self._warm_at if self.cold and self._warm_at <= self._now + EPSILON else None
        at = math.inf
        if self._rate > 0:
            left = min(job.end for job in self._running) - self._service
            at = self._now + max(0.0, left) / self._rate
        if self.cold:
            at = min(at, self._warm_at)
        return None if at == math.inf else at

    # --- within ---------------------------------------------------------------------------------

    def _fill(self) -> None:
        while self._waiting and len(self._running) < self._slots:
            job = self._waiting.popleft()
            if job.begun(self._now):
                job.end = self._service + job.work
                self._running.append(job)
        self._rate = self._rate_now()

    def _rate_now(self) -> float:
        """Seconds of a standard core that each running job gets in a second."""
        if not self._running or self._hung:
            return 0.0
        settings = self.settings
        share = min(1.0, settings.cores / len(self._running))
        crowd = max(0.0, self.held / settings.cores - settings.thrash_at)
        rate = settings.speed * share * self._warmth / (1.0 + settings.thrash * crowd)
        return rate * (1.0 - self._taken) * (1.0 - self._tax) / self._slow

    def _move(self, to: float) -> None:
        cores = min(len(self._running), self.settings.cores)
        while self._report_at <= to:
            self._step(self._report_at, cores)
            self._measure()
        self._step(to, cores)
        if not self._running:
            while self.cold and self._warm_at <= to + EPSILON:
                self._warm()

    def _step(self, to: float, cores: int) -> None:
        passed = to - self._now
        self._service += self._rate * passed
        self._busy += cores * passed
        self._now = to

    def _warm(self) -> None:
        settings = self.settings
        self._warm_at += settings.cold_s / WARM_STEPS
        part = (self._warm_at - settings.cold_s / WARM_STEPS - self.started_at) / settings.cold_s
        if settings.warm_by == "work":
            whole = settings.warm_work * settings.cold_s * settings.cores * settings.speed
            part = max(part, self._worked / whole)
        self._warmth = min(1.0, settings.cold_from + (1.0 - settings.cold_from) * part)
        if part >= 1.0 - EPSILON:
            self._warmth = 1.0
        self._rate = self._rate_now()

    def _push(self, work: float, now: float) -> None:
        """Count what reaches a cold machine; too much for too long brings it down."""
        if not self.cold or not self.settings.falls or self.fell_at is not None:
            return
        pushed, settings = self._pushed, self.settings
        pushed.append((now, work))
        while pushed[0][0] <= now - settings.fall_s:
            pushed.popleft()
        # Some slack for chance: one deviation of the work of as many such requests as there is room for.
        total = sum(work for _, work in pushed)
        room = settings.fall_multiple * self.capacity * settings.fall_s
        if total > room + math.sqrt(room * sum(work * work for _, work in pushed) / total):
            self.fell_at = now

    def _measure(self) -> None:
        settings, at = self.settings, self._report_at
        span = at - self._reported_at
        noise = 1.0 + settings.report_noise * (2.0 * self._rng.random() - 1.0)
        busy = min(1.0, max(0.0, self._busy / span / settings.cores * noise))
        rate = self._finished / span * (1.0 + settings.report_noise * (2.0 * self._rng.random() - 1.0))
        self._reports.append(Report(at, at + settings.report_delay_s, rate, busy))
        if len(self._reports) > 32:  # guards against reports without end where nobody asks
            self._reports.popleft()
        self._busy, self._finished = 0.0, 0
        self._reported_at, self._report_at = at, at + settings.report_period_s
