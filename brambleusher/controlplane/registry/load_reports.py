"""Aggregates the metrics of instances that gateways measure, since one gateway alone sees too few requests.

Each gateway reports its own decaying metrics with its long poll; a controller sums up the recent reports and
responds with the sum of the other gateways' reports. The contribution of each gateway is bounded, so that a
single gateway that is faulty, or partitioned from an instance, cannot dominate the sum. This module does no
I/O.
"""

from __future__ import annotations

from typing import NamedTuple

from brambleusher.wire.errors import InvalidMessageError

REPORT_TTL_S = 2.5
SUM_INTERVAL_S = 0.25  # minimum interval between two aggregations of the reports
ATTEMPTS_MAX = 20.0  # maximum number of attempts that count per gateway and instance
FAILURES_MAX = 4.0  # maximum number of failed attempts that count per gateway and instance
LATENCY_MAX_TARGETS = 4.0  # maximum mean latency of a gateway's responses that counts, in latency targets
REPORTED_LOAD_MAX = 2.0  # maximum reported load of an instance that counts, as a fraction of its slots
INSTANCES_MAX = 2000
DECIMALS = 2  # precision of the numbers that are sent


class InstanceMetrics(NamedTuple):
    """Metrics of one instance as measured by one gateway; sent on the wire as a list in this order."""

    served: float  # number of attempts that were served
    failed: float  # number of attempts that failed
    in_flight: float  # number of attempts in flight
    responses: float  # number of responses whose latency was measured
    latency_sum: float  # sum of the measured latencies, in latency targets
    requests_per_s: float
    load_sum: float  # sum of the reported loads (as fractions of the slots) times their weights
    load_weight: float  # sum of the weights of the reported loads


METRIC_COUNT = len(InstanceMetrics._fields)
METRIC_COUNT_WITHOUT_LOAD = 6  # number of values sent by gateway versions that do not report load

LoadReport = dict[str, InstanceMetrics]  # metrics by name of the instance
MetricTotals = dict[str, list[float]]  # summed metrics of several gateways by instance, in wire format


def parse_report(report: object) -> LoadReport:
    """Parse a report from its wire format, and limit its values to their bounds.

    Raises:
        InvalidMessageError: The report is not an object of lists of numbers, or has too many instances.
    """
    if not isinstance(report, dict) or len(report) > INSTANCES_MAX:
        raise InvalidMessageError(f"a load report must be an object with at most {INSTANCES_MAX} instances")
    return {str(name): _bounded(_parse_values(values)) for name, values in report.items()}


def _parse_values(values: object) -> list[float]:
    """Return the metric values of one instance; values that an older gateway does not send are 0."""
    if not isinstance(values, list) or len(values) not in (METRIC_COUNT_WITHOUT_LOAD, METRIC_COUNT):
        raise InvalidMessageError(f"the metrics of an instance are not a list of length {METRIC_COUNT}")
    if not all(isinstance(value, int | float) and value >= 0 for value in values):
        raise InvalidMessageError(f"the metrics of an instance must be numbers of at least 0: {values!r}")
    return [float(value) for value in values] + [0.0] * (METRIC_COUNT - len(values))


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
        self._reports: dict[str, tuple[float, LoadReport]] = {}  # time of receipt and report, by gateway
        self._sum: MetricTotals = {}
        self._summed_at_s = -SUM_INTERVAL_S

    def record(self, gateway: str, report: LoadReport, now: float) -> None:
        """Record a gateway's load report."""
        self._reports[gateway] = (now, report)

    def sum_of_others(self, gateway: str, now: float) -> tuple[int, MetricTotals]:
        """Return the number of other gateways that reported recently, and the sum of their reports."""
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
    """Return the sum without the contribution of the requesting gateway."""
    if own is None:
        return [round(value, DECIMALS) for value in total]
    return [round(max(0.0, value - own_value), DECIMALS) for value, own_value in zip(total, own, strict=True)]
