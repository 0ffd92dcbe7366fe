"""Sums of the metrics that gateways observed of instances: one gateway of many observes too few; pure.

Each gateway reports its own decaying metrics with its long poll; a controller adds up recent reports and
answers with the sum of the others'.  What one gateway can add is bounded: neither one that is partitioned
from an instance nor a faulty one moves the fleet alone.
"""

from __future__ import annotations

from typing import NamedTuple

from brambleusher.wire.errors import InvalidMessageError

REPORT_TTL_S = 2.5
SUM_INTERVAL_S = 0.25  # reports are added up at most so often
ATTEMPTS_MAX = 20.0  # of one gateway at one instance that count
FAILURES_MAX = 4.0  # among them
LATENCY_MAX_TARGETS = 4.0  # of one response
REPORTED_LOAD_MAX = 2.0  # of one load that an instance reported, as a fraction of its slots
INSTANCES_MAX = 2000
DECIMALS = 2  # of what is sent


class InstanceMetrics(NamedTuple):
    """What one gateway observed of one instance; on the wire a list in this order."""

    served: float  # attempts
    failed: float  # attempts
    in_flight: float  # attempts
    responses: float  # whose latency was measured
    latency_sum: float  # of these, in latency targets
    requests_per_s: float
    load_sum: float  # reported loads (fractions of the slots) times their weights
    load_weight: float  # sum of these weights


WIDTH = len(InstanceMetrics._fields)
WIDTH_WITHOUT_LOAD = 6  # of gateways of versions before reported loads

LoadReport = dict[str, InstanceMetrics]  # by instance
MetricTotals = dict[str, list[float]]  # the same sums of several gateways, in their form on the wire


def parse_report(report: object) -> LoadReport:
    """Return a report from its form on the wire, within its bounds.

    Raises:
        InvalidMessageError: It is no object of lists of numbers, or too large.
    """
    if not isinstance(report, dict) or len(report) > INSTANCES_MAX:
        raise InvalidMessageError(f"a load report is no object of up to {INSTANCES_MAX} instances")
    return {str(name): _bounded(_parse_values(values)) for name, values in report.items()}


def _parse_values(values: object) -> list[float]:
    """Return the values of one instance, those that the gateway does not know as 0."""
    if not isinstance(values, list) or len(values) not in (WIDTH_WITHOUT_LOAD, WIDTH):
        raise InvalidMessageError(f"metrics of an instance are no list of {WIDTH}")
    if not all(isinstance(value, int | float) and value >= 0 for value in values):
        raise InvalidMessageError(f"metrics of an instance are no numbers: {values!r}")
    return [float(value) for value in values] + [0.0] * (WIDTH - len(values))


def _bounded(values: list[float]) -> InstanceMetrics:
    served, failed, in_flight, responses, latency_sum, requests_per_s, load_sum, load_weight = values
    scale = min(
        1.0,
        ATTEMPTS_MAX / max(served + failed, ATTEMPTS_MAX),
        FAILURES_MAX / max(failed, FAILURES_MAX),
    )
    response_scale = min(1.0, ATTEMPTS_MAX / max(responses, ATTEMPTS_MAX))
    latency_sum = min(latency_sum, LATENCY_MAX_TARGETS * responses)
    load_weight = min(load_weight, 1.0)
    load_sum = min(load_sum, REPORTED_LOAD_MAX * load_weight)
    return InstanceMetrics(
        served * scale,
        failed * scale,
        in_flight,
        responses * response_scale,
        latency_sum * response_scale,
        requests_per_s,
        load_sum,
        load_weight,
    )


class FleetLoadReports:
    """The latest report of each gateway that polls this controller, and their sum."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, LoadReport]] = {}  # by gateway, with the time
        self._sum: MetricTotals = {}
        self._summed_at_s = -SUM_INTERVAL_S

    def record(self, gateway: str, report: LoadReport, now: float) -> None:
        """Record what a gateway observed."""
        self._reports[gateway] = (now, report)

    def sum_of_others(self, gateway: str, now: float) -> tuple[int, MetricTotals]:
        """Return how many other gateways reported recently, and the sum of what they observed."""
        if now - self._summed_at_s >= SUM_INTERVAL_S:
            self._add_up(now)
        own: LoadReport = self._reports.get(gateway, (0.0, {}))[1]
        totals = {name: _without(total, own.get(name)) for name, total in self._sum.items()}
        return max(0, len(self._reports) - (gateway in self._reports)), totals

    def _add_up(self, now: float) -> None:
        self._summed_at_s = now
        expired = [name for name, (at_s, _) in self._reports.items() if now - at_s > REPORT_TTL_S]
        for gateway in expired:
            del self._reports[gateway]
        self._sum = {}
        for _, report in self._reports.values():
            self._add(report)

    def _add(self, report: LoadReport) -> None:
        for name, metrics in report.items():
            total = self._sum.get(name)
            if total is None:
                self._sum[name] = list(metrics)
                continue
            for position, value in enumerate(metrics):
                total[position] += value


def _without(total: list[float], own: InstanceMetrics | None) -> list[float]:
    """Return a sum without what the asking gateway has added to it."""
    if own is None:
        return [round(value, DECIMALS) for value in total]
    return [round(max(0.0, value - own_value), DECIMALS) for value, own_value in zip(total, own, strict=True)]
