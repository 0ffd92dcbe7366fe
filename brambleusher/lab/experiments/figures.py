"""Computes the metrics and time series of a run, in virtual time and on sockets alike; no clock, no I/O."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence

from brambleusher.lab.experiments.store import CellResult
from brambleusher.lab.fleets.figures import WorldSpec
from brambleusher.lab.stand_ins.node import Execution
from brambleusher.load.results import ENDS, PERCENTILES, Outcome, Results
from brambleusher.load.times import SECOND

MAX_POINTS = 120  # maximum number of points in a time series
MAX_EVENTS = 400  # maximum number of events stored for a cell


class OutcomeCounter:
    """Counts the outcomes of requests reported by a player, and computes the metrics of a run from them."""

    def __init__(self, world: WorldSpec, speed: float, span_s: float) -> None:
        """Start with empty counters; `span_s` is the duration of the play in seconds of run time."""
        self.world, self.span_s = world, span_s
        self.results = Results(speed=speed)
        self._classes = {each.name: each for each in world.classes}
        self._step_ns = series_step_ns(span_s)
        self._rows: dict[str, Counter[int]] = defaultdict(Counter)
        self._earned_value = self._maximum_value = 0.0
        self._on_time = 0

    @classmethod
    def of(cls, world: WorldSpec, results: Results, span_s: float) -> OutcomeCounter:
        """Build the counters from merged results of several processes.

        Their windows become the steps of the series; worth and latency targets are unknown in this case.
        """
        counter = cls(world, results.speed, span_s)
        counter.results = results
        counter._step_ns = round(results.window_ns / results.speed)
        for at, classes in results.windows.items():
            for row in classes.values():
                counter._rows["asked"][at] += row[0]
                for end, count in zip(ENDS, row[1:], strict=True):
                    counter._rows[end][at] += count
        return counter

    def add(self, outcome: Outcome) -> None:
        """Count one finished request."""
        self.results.add(outcome)
        at = outcome.due_ns // self._step_ns
        self._rows["asked"][at] += 1
        self._rows[outcome.end][at] += 1
        spec = self._classes.get(outcome.request.request_class)
        if spec is None:
            return
        self._maximum_value += spec.worth
        if outcome.end == "served":
            on_time = outcome.ended_ns - outcome.due_ns <= spec.aim_s * SECOND
            self._on_time += on_time
            self._earned_value += spec.worth if on_time else spec.worth * spec.late_worth

    def result(
        self,
        executions: Iterable[Execution],
        start_ns: int,
        events: Sequence[tuple[float, str]] = (),
        extra_metrics: dict[str, float] | None = None,
        documents: dict[str, object] | None = None,
    ) -> CellResult:
        """Compute the result of the cell.

        `start_ns` is the start of the play in nanoseconds, on the same clock as the executions.
        """
        results, sent = self.results, max(1, self.results.sent)
        metrics: dict[str, float] = {"requests": float(results.sent)}
        for end in ENDS:
            metrics[f"share.{end}"] = results.total(end) / sent
        if self._maximum_value:
            metrics["share.on_time"] = self._on_time / sent
            metrics["worth"] = self._earned_value / self._maximum_value
        for name, hist in results.latency.items():
            for each in PERCENTILES:
                metrics[f"latency_ms.{name}.p{each:g}"] = hist.get_value_at_percentile(each) / 1000
        for name, ends in results.ends.items():
            total = sum(ends.values())
            metrics[f"share.{name}.served"] = ends.get("served", 0) / total
        metrics["lateness_ms.p99"] = results.lateness.get_value_at_percentile(99.0) / 1000
        series = {
            name: [
                (at * self._step_ns / SECOND, row[at] * SECOND / self._step_ns)
                for at in range(math.ceil(self.span_s * SECOND / self._step_ns))
            ]
            for name, row in self._rows.items()
        }
        self._add_node_loads(executions, start_ns, metrics, series)
        return CellResult(
            figures={**metrics, **(extra_metrics or {})}, series=series, events=list(events)[:MAX_EVENTS],
            documents=documents or {},
        )  # fmt: skip

    def _add_node_loads(
        self,
        executions: Iterable[Execution],
        start_ns: int,
        metrics: dict[str, float],
        series: dict[str, list[tuple[float, float]]],
    ) -> None:
        """Compute the load of nodes and zones: work done divided by capacity during the play."""
        work: dict[str, dict[int, float]] = defaultdict(lambda: defaultdict(float))
        executed = received = 0
        for each in executions:
            received += 1
            if each.ran and each.end in ("made", "error"):
                executed += 1
                # All work of a request counts in the step in which the request ended: steps are much longer
                # than one request.
                work[each.node][max(0, each.ended_ns - start_ns) // self._step_ns] += each.work_s
        metrics["attempts"] = received / max(1, self.results.sent)
        metrics["runs"] = executed / max(1, self.results.sent)
        zones: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
        zone_work: dict[str, dict[int, float]] = defaultdict(lambda: defaultdict(float))
        for node in self.world.nodes:
            capacity = node.settings.cores * node.settings.speed
            done = sum(work[node.id].values())
            if node.spare and not done:
                continue
            metrics[f"load.node.{node.id}"] = done / capacity / self.span_s
            zones[node.zone][0] += done
            zones[node.zone][1] += capacity
            for at, worked in work[node.id].items():
                zone_work[node.zone][at] += worked
        for zone, (done, capacity) in zones.items():
            metrics[f"load.zone.{zone}"] = done / capacity / self.span_s
            step_s = self._step_ns / SECOND
            series[f"load.zone.{zone}"] = [
                (at * step_s, zone_work[zone][at] / capacity / step_s)
                for at in range(math.ceil(self.span_s / step_s))
            ]
        loads = [value for name, value in metrics.items() if name.startswith("load.node.")]
        if loads:
            mean = sum(loads) / len(loads)
            metrics["load.mean"] = mean
            metrics["load.spread"] = (max(loads) - min(loads)) / mean if mean else 0.0


def series_step_ns(span_s: float) -> int:
    """Return the smallest step of a time series, in nanoseconds, that gives at most `MAX_POINTS` points."""
    for step_s in (0.1, 0.2, 0.5, 1, 2, 5, 10, 20, 60, 120, 300, 600, 3600):
        if span_s / step_s <= MAX_POINTS:
            return round(step_s * SECOND)
    return 86_400 * SECOND
