"""Measures how long runs continue after their clients have left, by the state of the request."""

from __future__ import annotations

import bisect
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

from hdrh.histogram import HdrHistogram

from brambleusher.lab.soak.records import (
    RequestKind,
    RequestOutcome,
    RequestRecord,
    RunOutcome,
    RunRecord,
    SoakRecord,
)

US_PER_S = 1_000_000
UNENDED_RUN_S = 60  # the time that is recorded for a run that never ended
UNENDED_RUN_US = UNENDED_RUN_S * US_PER_S
DIGITS = 3  # the significant digits of histograms
PERCENTILES = (50.0, 99.0)


class DepartedState(Enum):
    """The state of a request when its client left, as its instances observed it."""

    NOT_STARTED = "queued or connecting"
    WAITING = "waiting for a head"
    STREAMING = "streaming"
    BETWEEN_ATTEMPTS = "between attempts"
    RESUMING = "resuming"


@dataclass(frozen=True, slots=True)
class Departure:
    """One request whose client left.  Times are in seconds since the start of the soak."""

    attempt: str
    kind: RequestKind
    process: str
    state: DepartedState
    left_s: float
    continued_s: float  # the time from `left_s` to the end of the last run; 0 if no run continued or began
    own_stall_s: float  # the part of `continued_s` in which the soak itself stalled

    @property
    def unexplained_s(self) -> float:
        """The part of `continued_s` that is not explained by stalls of the soak itself."""
        return max(0.0, self.continued_s - self.own_stall_s)


class _Stalls:
    """The intervals in which the soak itself stalled."""

    def __init__(self, intervals: list[tuple[float, float]]) -> None:
        self._intervals = sorted(intervals)
        self._begins = [since_s for since_s, _ in self._intervals]

    def within_s(self, since_s: float, until_s: float) -> float:
        """Return how many seconds between two times the soak stalled."""
        at = max(0, bisect.bisect_right(self._begins, since_s) - 1)
        late_s = 0.0
        for begin_s, end_s in self._intervals[at:]:
            if begin_s >= until_s:
                break
            late_s += max(0.0, min(end_s, until_s) - max(begin_s, since_s))
        return late_s


def departures(record: SoakRecord) -> Iterator[Departure]:
    """Yield a departure for each request whose client left.

    A notice, which may run only once and is not streamed, is finished without its client, and may reach its
    instance at the moment of the close.  For a notice, only the start of its runs counts, not their end.
    """
    runs: dict[str, list[RunRecord]] = defaultdict(list)
    for run in record.runs:
        runs[run.attempt].append(run)
    late = _Stalls(record.own_stalls)
    for request in record.requests:
        if request.outcome is RequestOutcome.LEFT:
            yield _departure(request, runs[request.attempt], late)


def _departure(request: RequestRecord, runs: list[RunRecord], late: _Stalls) -> Departure:
    left_s = request.ended_s
    is_finished_without_client = request.kind is RequestKind.NOTICE
    ends = [run.begun_s if is_finished_without_client else _end_s(run, left_s) for run in runs]
    until_s = max([left_s, *ends])
    state = _state(runs, left_s)
    lateness_s = late.within_s(left_s, until_s)
    return Departure(
        request.attempt, request.kind, request.gateway, state, left_s, until_s - left_s, lateness_s
    )


def _end_s(run: RunRecord, left_s: float) -> float:
    return left_s + UNENDED_RUN_S if run.outcome is RunOutcome.RUNNING else run.ended_s


def _state(runs: list[RunRecord], at_s: float) -> DepartedState:
    begun = [run for run in runs if run.begun_s <= at_s]
    if not begun:
        return DepartedState.NOT_STARTED
    last = max(begun, key=lambda run: run.begun_s)
    if last.ended_s <= at_s and last.outcome is not RunOutcome.COMPLETE:
        return DepartedState.BETWEEN_ATTEMPTS
    if last.is_resumed:
        return DepartedState.RESUMING
    is_streaming = last.head_s is not None and last.head_s <= at_s
    return DepartedState.STREAMING if is_streaming else DepartedState.WAITING


class DepartureTimes:
    """Histograms of how long runs continued after departures, by program and state."""

    def __init__(self) -> None:
        self._histograms: dict[tuple[str, DepartedState], HdrHistogram] = {}

    def add(self, found: Iterable[Departure]) -> None:
        """Add departures to the histograms."""
        for departure in found:
            program = departure.process.partition("-")[0]
            histogram = self._histograms.setdefault(
                (program, departure.state), HdrHistogram(1, UNENDED_RUN_US, DIGITS)
            )
            histogram.record_value(min(UNENDED_RUN_US, max(1, int(departure.unexplained_s * US_PER_S))))

    def rows(self) -> list[str]:
        """Return the lines of a table by program and state, with times in milliseconds."""
        lines = ["program   state                 departures   p50 ms   p99 ms  most ms"]
        for program, state in sorted(
            self._histograms, key=lambda key: (key[0], list(DepartedState).index(key[1]))
        ):
            histogram = self._histograms[program, state]
            p50, p99 = (histogram.get_value_at_percentile(each) / 1000 for each in PERCENTILES)
            most = histogram.get_max_value() / 1000
            lines.append(
                f"{program:9} {state.value:21} {histogram.get_total_count():10}"
                f" {p50:8.1f} {p99:8.1f} {most:8.1f}"
            )
        return lines
