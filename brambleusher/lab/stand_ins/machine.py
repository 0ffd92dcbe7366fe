"""A model of a node's machine: cores shared by requests, a bounded queue, warm-up, and load reports.

The model uses no sockets, timers or clocks: every call passes the current time in seconds, and `next_at`
returns the time of the next call to `advance`.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from brambleusher.lab.stand_ins.settings import NodeSettings

WARM_STEPS = 16  # number of steps in which a cold machine's capacity rises
EPSILON = 1e-9


@dataclass(eq=False, slots=True)
class Job:
    """A request as processed by the machine; `begun` and `done` are called when its work starts and ends."""

    work: float  # work in seconds on a standard core
    begun: Callable[[float], bool]  # called at the start of the work; returns False to discard the job
    done: Callable[[float], None]
    end: float = math.nan  # value of the machine's service counter at which a running job is done


@dataclass(frozen=True, slots=True)
class Report:
    """A load measurement: the requests per second and the fraction of the CPU time used."""

    at: float
    seen_at: float
    throughput: float
    utilization: float


class Machine:
    """Processes jobs: running jobs share the cores evenly, and other jobs wait in a FIFO queue."""

    def __init__(self, settings: NodeSettings, rng: random.Random, now: float, cold: bool) -> None:
        self.settings, self._rng = settings, rng
        self._slots = settings.cores * settings.slots_per_core
        self._queue_limit = settings.cores * settings.queue_per_core
        self._running: list[Job] = []
        self._waiting: deque[Job] = deque()
        self._now = self.started_at = now
        self._service = 0.0  # work done for each running job since the start, in seconds on a standard core
        self._rate = 0.0
        self._warmth = settings.cold_from if cold and settings.cold_s else 1.0
        self._warm_at = now + settings.cold_s / WARM_STEPS
        self._worked = 0.0  # work done since the start, in seconds on a standard core
        self._cold_arrivals: deque[tuple[float, float]] = deque()  # times and work of the arrivals while cold
        self.fell_at: float | None = None
        # Losses of capacity from external causes, set by `set_capacity_loss`.
        self._slow, self._neighbour_share, self._hung, self._connection_tax = 1.0, 0.0, False, 0.0
        self._busy = 0.0  # CPU time used since the last report, in seconds
        self._finished = 0  # number of jobs finished since the last report
        self._report_at = now + settings.report_period_s * (0.5 + 0.5 * rng.random())
        self._reported_at = now
        self._reports: deque[Report] = deque()

    # --- state ----------------------------------------------------------------------------------

    @property
    def job_count(self) -> int:
        """Number of running and queued requests."""
        return len(self._running) + len(self._waiting)

    @property
    def is_full(self) -> bool:
        """Whether all slots and the queue are full."""
        return len(self._running) >= self._slots and len(self._waiting) >= self._queue_limit

    @property
    def is_cold(self) -> bool:
        """Whether the machine is still warming up."""
        return self._warmth < 1.0

    @property
    def capacity(self) -> float:
        """Seconds of work on a standard core per second, without the effects of thrashing and faults."""
        return self.settings.cores * self.settings.speed * self._warmth

    def report(self, now: float, delay: float = 0.0) -> Report | None:
        """Return the newest report visible at `now`, with visibility delayed further by `delay` seconds."""
        seen = None
        for report in self._reports:
            if report.seen_at + delay > now:
                break
            seen = report
        return seen

    # --- work -----------------------------------------------------------------------------------

    def add(self, job: Job, now: float) -> None:
        """Add a job; the caller has checked that `is_full` is False."""
        self.advance(now)
        self._record_arrival(job.work, now)
        self._waiting.append(job)
        self._fill_slots()

    def record_rejected(self, work: float, now: float) -> None:
        """Record a rejected request, which still counts toward overload during warm-up."""
        self._record_arrival(work, now)

    def drop(self, job: Job, now: float) -> bool:
        """Remove a running or queued job; return False if the job has already ended."""
        self.advance(now)
        if job in self._running:
            self._running.remove(job)
        elif job in self._waiting:
            self._waiting.remove(job)
        else:
            return False
        self._fill_slots()
        return True

    def is_running(self, job: Job) -> bool:
        """Return whether a job is running."""
        return job in self._running

    def add_background_work(self, work: float, now: float) -> None:
        """Do work that belongs to no job, such as a handshake; it delays the running jobs."""
        self.advance(now)
        self._busy += work / self.settings.speed
        if self._running:
            delay = work / len(self._running)
            for job in self._running:
                job.end += delay

    def set_capacity_loss(
        self,
        now: float,
        slow: float | None = None,
        taken: float | None = None,
        hung: bool | None = None,
        tax: float | None = None,
    ) -> None:
        """Change the losses of capacity from external causes; None leaves a value unchanged.

        Args:
            now: The current time in seconds.
            slow: Factor by which work takes longer.
            taken: Fraction of the machine used by another program.
            hung: Whether no work is done at all.
            tax: Fraction of the capacity lost to open connections.
        """
        self.advance(now)
        self._slow = self._slow if slow is None else slow
        self._neighbour_share = self._neighbour_share if taken is None else taken
        self._hung = self._hung if hung is None else hung
        self._connection_tax = self._connection_tax if tax is None else tax
        self._rate = self._rate_now()

    def advance(self, now: float) -> None:
        """Advance to a given time, and call `done` of each job that has finished, with its finish time."""
        while (at := self.next_at()) is not None and at <= now + EPSILON:
            self._advance_to(max(at, self._now))
            if self.is_cold and self._now >= self._warm_at - EPSILON:
                self._warm_up()
            service = self._service + EPSILON
            for job in [job for job in self._running if job.end <= service]:
                self._running.remove(job)
                self._worked += job.work
                self._finished += 1
                job.done(self._now)
            self._fill_slots()
        self._advance_to(max(now, self._now))

    def next_at(self) -> float | None:
        """Return the time of the next finished job or capacity change; None if there is none."""
        if not self._running:
            # The warm-up of a machine without work is computed when the next job arrives.
            return self._warm_at if self.is_cold and self._warm_at <= self._now + EPSILON else None
        at = math.inf
        if self._rate > 0:
            left = min(job.end for job in self._running) - self._service
            at = self._now + max(0.0, left) / self._rate
        if self.is_cold:
            at = min(at, self._warm_at)
        return None if at == math.inf else at

    # --- internals ------------------------------------------------------------------------------

    def _fill_slots(self) -> None:
        while self._waiting and len(self._running) < self._slots:
            job = self._waiting.popleft()
            if job.begun(self._now):
                job.end = self._service + job.work
                self._running.append(job)
        self._rate = self._rate_now()

    def _rate_now(self) -> float:
        """Return the work done for each running job per second, in seconds on a standard core."""
        if not self._running or self._hung:
            return 0.0
        settings = self.settings
        cores_per_job = min(1.0, settings.cores / len(self._running))
        excess = max(0.0, self.job_count / settings.cores - settings.thrash_at)
        rate = settings.speed * cores_per_job * self._warmth / (1.0 + settings.thrash * excess)
        return rate * (1.0 - self._neighbour_share) * (1.0 - self._connection_tax) / self._slow

    def _advance_to(self, to: float) -> None:
        cores = min(len(self._running), self.settings.cores)
        while self._report_at <= to:
            self._integrate(self._report_at, cores)
            self._add_report()
        self._integrate(to, cores)
        if not self._running:
            while self.is_cold and self._warm_at <= to + EPSILON:
                self._warm_up()

    def _integrate(self, to: float, cores: int) -> None:
        passed = to - self._now
        self._service += self._rate * passed
        self._busy += cores * passed
        self._now = to

    def _warm_up(self) -> None:
        settings = self.settings
        self._warm_at += settings.cold_s / WARM_STEPS
        progress = (self._warm_at - settings.cold_s / WARM_STEPS - self.started_at) / settings.cold_s
        if settings.warm_by == "work":
            needed = settings.warm_work * settings.cold_s * settings.cores * settings.speed
            progress = max(progress, self._worked / needed)
        self._warmth = min(1.0, settings.cold_from + (1.0 - settings.cold_from) * progress)
        if progress >= 1.0 - EPSILON:
            self._warmth = 1.0
        self._rate = self._rate_now()

    def _record_arrival(self, work: float, now: float) -> None:
        """Record work that arrives at a cold machine, and stop the machine permanently on overload."""
        if not self.is_cold or not self.settings.falls or self.fell_at is not None:
            return
        arrivals, settings = self._cold_arrivals, self.settings
        arrivals.append((now, work))
        while arrivals[0][0] <= now - settings.fall_s:
            arrivals.popleft()
        # Allows for random variation: one standard deviation of the work of the requests that fit the limit.
        total = sum(work for _, work in arrivals)
        limit = settings.fall_multiple * self.capacity * settings.fall_s
        if total > limit + math.sqrt(limit * sum(work * work for _, work in arrivals) / total):
            self.fell_at = now

    def _add_report(self) -> None:
        settings, at = self.settings, self._report_at
        span = at - self._reported_at
        noise = 1.0 + settings.report_noise * (2.0 * self._rng.random() - 1.0)
        busy = min(1.0, max(0.0, self._busy / span / settings.cores * noise))
        rate = self._finished / span * (1.0 + settings.report_noise * (2.0 * self._rng.random() - 1.0))
        self._reports.append(Report(at, at + settings.report_delay_s, rate, busy))
        if len(self._reports) > 32:  # bounds the memory where no reports are requested
            self._reports.popleft()
        self._busy, self._finished = 0.0, 0
        self._reported_at, self._report_at = at, at + settings.report_period_s
