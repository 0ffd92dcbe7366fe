"""The checks of a soak: pure functions from a record of observations to the violations of rules."""

from __future__ import annotations

import bisect
import signal
from collections import defaultdict
from http import HTTPStatus

from brambleusher.lab.soak.departures import Departure, departures
from brambleusher.lab.soak.instances import complete_response
from brambleusher.lab.soak.order_checks import check_orders
from brambleusher.lab.soak.records import (
    ProcessEventKind,
    RequestOutcome,
    RequestRecord,
    RunOutcome,
    RunRecord,
    SoakRecord,
)
from brambleusher.lab.soak.settings import DEPARTED_S, GRACE_S, grace_period_s
from brambleusher.lab.soak.violations import Violation
from brambleusher.lab.soak.wires import DEADLINE_S

# Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
KILL_EVENTS = frozenset({ProcessEventKind.KILLED, ProcessEventKind.OVERDUE})
CLOSE_NOTICE_S = 0.2  # the time that an instance takes to notice that its caller has closed the connection
UNREAD_S = 0.5  # a request may not have been read if its connection ends sooner than this after it was sent
AROUND_KILL_S = 1.5  # SIGKILL of a gateway explains every connection that ends within this time of the kill
EXIT_SLACK_S = 1.0  # extra time after the grace period in which a process may exit on a busy machine
RESIDENT_MAX_MB = 150.0
DESCRIPTORS_MAX = 600
START_S = 2.0  # SIGTERM may end a process at once during this time after its start
READ_LAG_S = 2.5  # a read may miss an acknowledged change for at most this long


def check(record: SoakRecord, departed_s: float = DEPARTED_S) -> list[Violation]:
    """Return all violations, in the order of the rules.

    Args:
        record: The observations of the soak.
        departed_s: The time for which a run may continue after its client left, without the time in which
            the soak itself stalled.
    """
    return _Check(record, departed_s).run()


class _Check:
    def __init__(self, record: SoakRecord, departed_s: float) -> None:
        self._record, self._departed_s = record, departed_s
        self._violations: list[Violation] = []
        self._runs: dict[str, list[RunRecord]] = defaultdict(list)
        for run in record.runs:
            self._runs[run.attempt].append(run)
        self._kills: dict[str, list[float]] = defaultdict(list)
        self._terminations: dict[str, list[float]] = defaultdict(list)
        for event in record.processes:
            if event.kind in KILL_EVENTS:
                self._kills[event.process].append(event.at_s)
            elif event.kind is ProcessEventKind.TERMINATED:
                self._terminations[event.process].append(event.at_s)

    def run(self) -> list[Violation]:
        for request in self._record.requests:
            self._check_response(request)
            self._check_run_once(request)
            self._check_connection_lost(request)
        for departure in departures(self._record):
            self._check_departed(departure)
        self._check_configuration()
        self._violations += check_orders(self._record)
        self._check_processes()
        self._check_end()
        return self._violations

    def _add(self, rule: str, at_s: float, what: str) -> None:
        self._violations.append(Violation(rule, at_s, what))

    # --- requests ---------------------------------------------------------------------------------

    def _check_response(self, request: RequestRecord) -> None:
        """Check that a complete response with status 200 has the whole body of this request."""
        if request.outcome is not RequestOutcome.COMPLETE:
            return
        if request.answered_attempt != request.attempt:
            self._add("wrong-answer", request.ended_s, f"{request.attempt} got {request.answered_attempt!r}")
        if request.status != HTTPStatus.OK:
            return
        if request.body != complete_response(request.attempt, request.kind):
            self._add(
                "incomplete", request.ended_s, f"{request.attempt} ({request.kind}) got {request.body!r}"
            )

    def _check_run_once(self, request: RequestRecord) -> None:
        ran = [run for run in self._runs[request.attempt] if run.outcome is not RunOutcome.REJECTED]
        if not request.kind.runs_once:
            return
        if len(ran) > 1:
            instances = ", ".join(f"{run.instance} at {run.begun_s:.3f}" for run in ran)
            self._add("run-twice", ran[1].begun_s, f"{request.attempt} ({request.kind}): {instances}")
        is_rejected = request.outcome is RequestOutcome.COMPLETE and request.status in NOT_RUN_STATUSES
        if ran and is_rejected:
            self._add("refused-after-run", request.ended_s, f"{request.attempt} ran and got {request.status}")

    def _was_killed(self, process: str, since_s: float, until_s: float) -> bool:
        kills = self._kills[process]
        at = bisect.bisect_left(kills, since_s - AROUND_KILL_S)
        return at < len(kills) and kills[at] <= until_s + AROUND_KILL_S

    def _outlasted_half_grace_period(self, request: RequestRecord, runs: list[RunRecord]) -> bool:
        """Whether an instance still ran the request after half of the gateway's grace period."""
        grace_s = grace_period_s(request.gateway)
        was_at_work = any(run.ended_s >= request.ended_s - CLOSE_NOTICE_S for run in runs)
        return was_at_work and any(
            at_s + grace_s / 2 <= request.ended_s <= at_s + grace_s
            for at_s in self._terminations[request.gateway]
        )

    def _check_connection_lost(self, request: RequestRecord) -> None:
        """Check that a connection that ends without a complete response has an allowed cause.

        Allowed causes are a kill of the gateway, an instance's fault, the deadline, a request that may not
        have been read, and a run that outlasts half of the gateway's grace period.
        """
        if request.outcome is not RequestOutcome.CLOSED or request.sent_s is None:
            return
        runs = self._runs[request.attempt]
        is_late = request.ended_s - request.begun_s >= DEADLINE_S - UNREAD_S
        is_unread = not runs and request.ended_s - request.sent_s < UNREAD_S
        is_broken = any(run.outcome is RunOutcome.BROKEN for run in runs)
        is_killed = self._was_killed(request.gateway, request.begun_s, request.ended_s)
        if is_late or is_unread or is_broken or is_killed or self._outlasted_half_grace_period(request, runs):
            return
        after_s = request.ended_s - request.sent_s
        where = f"{request.attempt} ({request.kind}) at {request.gateway}"
        what = f"{where}: connection closed {after_s:.3f} s after the request was sent"
        self._add("lost", request.ended_s, what)

    def _check_departed(self, departure: Departure) -> None:
        """Check that no run begins or continues after its client left, except runs that must be finished."""
        if departure.unexplained_s > self._departed_s:
            what = (
                f"{departure.attempt} ({departure.kind}) at {departure.process} continued for "
                f"{departure.unexplained_s:.3f} s, {departure.state.value} when its client left"
            )
            self._add("departed", departure.left_s, what)

    # --- the control plane ------------------------------------------------------------------------

    def _check_configuration(self) -> None:
        for first, second in self._record.conflicts:
            self._add("conflict", 0.0, f"revisions {first} and {second} on one base were both acknowledged")
        for read in self._record.reads:
            due = [change for change in self._record.changes if change.at_s + READ_LAG_S < read.asked_s]
            newest = max((change.revision for change in due), default=0)
            if read.revision < newest:
                what = f"{read.controller} answered revision {read.revision}, {newest} was acknowledged"
                self._add("change-lost", read.asked_s, what)

    # --- processes --------------------------------------------------------------------------------

    def _check_processes(self) -> None:
        last: dict[str, tuple[ProcessEventKind, float]] = {}
        started: dict[str, float] = {}
        for event in self._record.processes:
            signal_kind, signal_s = last.get(event.process, (ProcessEventKind.STARTED, 0.0))
            if event.kind is ProcessEventKind.STARTED:
                started[event.process] = event.at_s
            elif event.kind is ProcessEventKind.EXITED:
                since_s = started[event.process]
                self._check_exit(event.process, event.at_s, event.status, signal_kind, signal_s, since_s)
                last.pop(event.process, None)
            elif event.kind in KILL_EVENTS or (
                event.kind is ProcessEventKind.TERMINATED and signal_kind is ProcessEventKind.STARTED
            ):
                last[event.process] = (event.kind, event.at_s)

    def _check_exit(
        self,
        process: str,
        at_s: float,
        status: int,
        signal_kind: ProcessEventKind,
        signal_s: float,
        started_s: float,
    ) -> None:
        if signal_kind is ProcessEventKind.KILLED:
            return
        if signal_kind is ProcessEventKind.OVERDUE:
            self._add("exit", at_s, f"{process} had not ended when its grace period was over")
            return
        if signal_kind is ProcessEventKind.STARTED:
            self._add(
                "exit",
                at_s,
                f"{process} ended by itself with {status}, {at_s - started_s:.3f} s after it started",
            )
        elif status != 0 and not (status == -signal.SIGTERM and signal_s - started_s < START_S):
            after_s, up_s = at_s - signal_s, signal_s - started_s
            what = (
                f"{process} ended with {status}, {after_s:.3f} s after SIGTERM, {up_s:.3f} s after its start"
            )
            self._add("exit", at_s, what)
        elif at_s - signal_s > GRACE_S + EXIT_SLACK_S:
            self._add("exit", at_s, f"{process} took {at_s - signal_s:.3f} s to end")

    def _check_end(self) -> None:
        """Check that after the soak no process leaks resources, and that every gateway serves requests."""
        for line in self._record.faulty_log_lines:
            self._add("log", 0.0, line)
        for use in self._record.final_usages:
            if use.resident_mb > RESIDENT_MAX_MB or use.descriptors > DESCRIPTORS_MAX:
                what = f"{use.process} holds {use.resident_mb:.0f} MB and {use.descriptors} descriptors"
                self._add("bounds", 0.0, what)
        for gateway, metrics in self._record.final_metrics.items():
            for name in ("active_requests", "departed_requests", "attempts_in_flight"):
                value = metrics.get(f"brambleusher_gateway_{name}")
                if value != 0:
                    self._add("left-over", 0.0, f"{gateway}: {name} is {value}")
        for gateway, statuses in self._record.final_statuses.items():
            if any(status != HTTPStatus.OK for status in statuses):
                self._add("recovery", 0.0, f"{gateway} answers {statuses} after all faults have ended")
