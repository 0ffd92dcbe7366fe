"""Counts what overlapped in soaks: faults of instances, departures of clients, and changes.

Changes are those of processes or of the configuration.  The functions are pure.
"""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Iterator

from brambleusher.lab.soak.departures import DepartedState, departures
from brambleusher.lab.soak.plan import CHANGES, INSTANCE_FAULTS
from brambleusher.lab.soak.records import ClientAct, RequestOutcome, SoakRecord

OVERLAP_S = 1.0  # two events count as overlapping if they are at most this far apart
Pair = tuple[str, str]

FAULTS = tuple(kind.value for kind in INSTANCE_FAULTS)
ACTS = tuple(act.value for act in ClientAct)
CHANGE_KINDS = tuple(kind.value for kind in CHANGES)
GROUPS = ((FAULTS, ACTS), (FAULTS, CHANGE_KINDS), (ACTS, CHANGE_KINDS))


def all_pairs() -> Iterator[Pair]:
    """Yield every pair of kinds whose overlaps are counted."""
    for first, second in GROUPS:
        yield from itertools.product(first, second)


class Coincidences:
    """Counts of overlapping pairs over any number of soaks."""

    def __init__(self) -> None:
        self.counts: Counter[Pair] = Counter()
        self.checked_counts: Counter[Pair] = (
            Counter()
        )  # counts of overlaps in which a run had to end with its client

    def add(self, record: SoakRecord) -> None:
        """Add one soak; each fault and each change counts once for each kind of event that it overlaps."""
        left = [
            (request.ended_s, request.act.value)
            for request in record.requests
            if request.outcome is RequestOutcome.LEFT and request.act is not None
        ]
        acts = {request.attempt: request.act for request in record.requests}
        running = [
            (departure.left_s, act.value)
            for departure in departures(record)
            if departure.state is not DepartedState.NOT_STARTED
            if (act := acts[departure.attempt]) is not None
        ]
        changes = [(change.at_s, change.kind) for change in record.change_events]
        faults = {(interval.kind, interval.since_s, interval.until_s) for interval in record.fault_intervals}
        for kind, since_s, until_s in faults:
            self.counts.update(_overlapping(kind, since_s, until_s, left))
            self.counts.update(_overlapping(kind, since_s, until_s, changes))
            self.checked_counts.update(_overlapping(kind, since_s, until_s, running))
        for at_s, kind in changes:
            self.counts.update((act, kind) for act in _kinds_within(at_s, at_s, left))
            self.checked_counts.update((act, kind) for act in _kinds_within(at_s, at_s, running))

    def rows(self) -> list[str]:
        """Return a table for each group: counts of overlaps, and of those with a checked departure."""
        lines = []
        for first, second in GROUPS:
            lines.append(f"{'':22}" + "".join(f"{name:>22}" for name in second))
            for name in first:
                cells = "".join(f"{self._cell((name, other)):>22}" for other in second)
                lines.append(f"{name:22}{cells}")
        return lines

    def _cell(self, pair: Pair) -> str:
        has_act = pair[0] in ACTS or pair[1] in ACTS
        return f"{self.counts[pair]} ({self.checked_counts[pair]})" if has_act else str(self.counts[pair])

    def rarest(self) -> tuple[Pair, int]:
        """Return the pair that overlapped least often, with its count."""
        pair = min(all_pairs(), key=lambda each: self.counts[each])
        return pair, self.counts[pair]

    def never_checked(self) -> list[Pair]:
        """Return the pairs with an act of a client for which no departure was checked."""
        return [pair for pair in all_pairs() if set(pair) & set(ACTS) and not self.checked_counts[pair]]


def _kinds_within(since_s: float, until_s: float, events: list[tuple[float, str]]) -> set[str]:
    return {kind for at_s, kind in events if since_s - OVERLAP_S <= at_s <= until_s + OVERLAP_S}


def _overlapping(kind: str, since_s: float, until_s: float, events: list[tuple[float, str]]) -> list[Pair]:
    return [(kind, other) for other in _kinds_within(since_s, until_s, events)]
