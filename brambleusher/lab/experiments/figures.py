"""What a run came to, in figures: no clock, no I/O.  The same for virtual time and for sockets."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence

from brambleusher.lab.experiments.store import CellResult
from brambleusher.lab.fleets.figures import WorldSpec
from brambleusher.lab.stand_ins.node import Execution
from brambleusher.load.results import ENDS, PERCENTILES, Outcome, Results
from brambleusher.load.times import SECOND

MOST_POINTS = 120  # of a series
MOST_EVENTS = 400


class Tally:
    """Takes in what became of requests, as a player tells it, and of executions at the end."""

    def __init__(self, world: WorldSpec, speed: float, span_s: float) -> None:
        """`span_s`: how long the play takes, in seconds of the run."""
        self.world, self.span_s = world, span_s
        self.results = Results(speed=speed)
        self._classes = {each.name: each for each in world.classes}
        self._step_ns = step_of(span_s)
        self._rows: dict[str, Counter[int]] = defaultdict(Counter)
        self._worth = self._most_worth = 0.0
        self._on_time = 0

    @classmethod
    def of(cls, world: WorldSpec, results: Results, span_s: float) -> Tally:
        """What several processes came to, whose windows are the steps; worth and aims are not known then."""
        tally = cls(world, results.speed, span_s)
        tally.results = results
        tally._step_ns = round(results.window_ns / results.speed)
        for at, classes in results.windows.items():
            for row in classes.values():
                tally._rows["asked"][at] += row[0]
                for end, count in zip(ENDS, row[1:], strict=True):
                    tally._rows[end][at] += count
        return tally

    def add(self, outcome: Outcome) -> None:
        """One request that is over."""
        self.results.add(outcome)
        at = outcome.due_ns // self._step_ns
        self._rows["asked"][at] += 1
        self._rows[outcome.end][at] += 1
        figures = self._classes.get(outcome.request.request_class)
        if figures is None:
            return
        self._most_worth += figures.worth
        if outcome.end == "served":
            on_time = outcome.ended_ns - outcome.due_ns <= figures.aim_s * SECOND
            self._on_time += on_time
            self._worth += figures.worth if on_time else figures.worth * figures.late_worth

    def result(
        self,
        executions: Iterable[Execution],
        start_ns: int,
        events: Sequence[tuple[float, str]] = (),
        more: dict[str, float] | None = None,
        documents: dict[str, object] | None = None,
    ) -> CellResult:
        """All of it; `start_ns` is when the play began, on the clock of the executions."""
        results, sent = self.results, max(1, self.results.sent)
        figures: dict[str, float] = {"requests": float(results.sent)}
        for end in ENDS:
            figures[f"share.{end}"] = results.total(end) / sent
        if self._most_worth:
            figures["share.on_time"] = self._on_time / sent
            figures["worth"] = self._worth / self._most_worth
        for name, hist in results.latency.items():
            for each in PERCENTILES:
                figures[f"latency_ms.{name}.p{each:g}"] = hist.get_value_at_percentile(each) / 1000
        for name, ends in results.ends.items():
            total = sum(ends.values())
            figures[f"share.{name}.served"] = ends.get("served", 0) / total
        figures["lateness_ms.p99"] = results.lateness.get_value_at_percentile(99.0) / 1000
        series = {
            name: [
                (at * self._step_ns / SECOND, row[at] * SECOND / self._step_ns)
                for at in range(math.ceil(self.span_s * SECOND / self._step_ns))
            ]
            for name, row in self._rows.items()
        }
        self._nodes(executions, start_ns, figures, series)
        return CellResult(
            figures={**figures, **(more or {})}, series=series, events=list(events)[:MOST_EVENTS],
            documents=documents or {},
        )  # fmt: skip

    def _nodes(
        self,
        executions: Iterable[Execution],
        start_ns: int,
        figures: dict[str, float],
        series: dict[str, list[tuple[float, float]]],
    ) -> None:
        """Load of nodes and zones: work done, as a part of what they could do in the play's time."""
        work: dict[str, dict[int, float]] = defaultdict(lambda: defaultdict(float))
        ran = came = 0
        for each in executions:
            came += 1
            if each.ran and each.end in ("made", "error"):
                ran += 1
                # A request's work is counted where it ended; steps are long against one request.
                work[each.node][max(0, each.ended_ns - start_ns) // self._step_ns] += each.work_s
        figures["attempts"] = came / max(1, self.results.sent)
        figures["runs"] = ran / max(1, self.results.sent)
        zones: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
        rows: dict[str, dict[int, float]] = defaultdict(lambda: defaultdict(float))
        for node in self.world.nodes:
            capacity = node.settings.cores * node.settings.speed
            done = sum(work[node.id].values())
            if node.spare and not done:
                continue
            figures[f"load.node.{node.id}"] = done / capacity / self.span_s
            zones[node.zone][0] += done
            zones[node.zone][1] += capacity
            for at, worked in work[node.id].items():
                rows[node.zone][at] += worked
        for zone, (done, capacity) in zones.items():
            figures[f"load.zone.{zone}"] = done / capacity / self.span_s
            step_s = self._step_ns / SECOND
            series[f"load.zone.{zone}"] = [
                (at * step_s, rows[zone][at] / capacity / step_s)
                for at in range(math.ceil(self.span_s / step_s))
            ]
        loads = [value for name, value in figures.items() if name.startswith("load.node.")]
        if loads:
            mean = sum(loads) / len(loads)
            figures["load.mean"] = mean
            figures["load.spread"] = (max(loads) - min(loads)) / mean if mean else 0.0


def step_of(span_s: float) -> int:
    """The step of series in ns: the least round one that gives no more than `MOST_POINTS`."""
    for step_s in (0.1, 0.2, 0.5, 1, 2, 5, 10, 20, 60, 120, 300, 600, 3600):
        if span_s / step_s <= MOST_POINTS:
            return round(step_s * SECOND)
    return 86_400 * SECOND
