"""Aggregate the load reports of proxies until the balancer of their zone collects them.

Samples are summed by host and cluster between two collections.  A balancer therefore gets as many events
from a thousand proxies as from one, and only when it asks for them.
"""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass, field

from brambleusher.loadbalancing.api import LoadReport
from brambleusher.loadbalancing.fleet_balancer import ReportedOutcomes
from brambleusher.xds.resources import LATENCY_MS, THROUGHPUT, UTILISATION
from brambleusher.xds.wire import LoadSample

MAX_MEAN = 1e9  # a metric's mean is capped at this value in its own unit; more is an error of the sender
NS_PER_MS = 1e6


@dataclass(slots=True)
class _Totals:
    successes: int = 0
    errors: int = 0
    metrics: dict[str, tuple[int, float]] = field(default_factory=dict)  # (count, total) by metric

    def add(self, sample: LoadSample) -> None:
        self.successes += sample.successes
        self.errors += sample.errors
        for name, (count, total) in sample.metrics.items():
            before = self.metrics.get(name, (0, 0.0))
            self.metrics[name] = (before[0] + count, before[1] + total)

    def mean(self, name: str) -> float | None:
        count, total = self.metrics.get(name, (0, 0.0))
        return min(total / count, MAX_MEAN) if count else None

    def outcomes(self, host: str, cluster: str) -> ReportedOutcomes:
        utilisation, throughput = self.mean(UTILISATION), self.mean(THROUGHPUT)
        latency_ms = self.mean(LATENCY_MS)
        report = None
        if utilisation is not None and throughput is not None:
            report = LoadReport(utilisation, throughput)
        latency_ns = None if latency_ms is None else int(latency_ms * NS_PER_MS)
        return ReportedOutcomes(host, cluster, self.successes, self.errors, latency_ns, report)


class LoadReports:
    """The load reports of one zone since the last call of `drain`."""

    def __init__(self, classes: Iterable[str]) -> None:
        """Start without samples; `classes` are the names of the clusters whose reports are accepted."""
        self._classes = frozenset(classes)
        self._totals: dict[tuple[str, str], _Totals] = {}  # totals by host and cluster
        self.accepted = self.unknown = 0  # `unknown` counts the samples of unlisted hosts or clusters

    def add(
        self,
        samples: Iterable[LoadSample],
        host_by_address: Mapping[tuple[str, int], str],
        hosts: Container[str],
    ) -> None:
        """Add the samples of one report; samples of unknown hosts or clusters are only counted."""
        for sample in samples:
            host = sample.host if sample.host in hosts else host_by_address.get(sample.address)
            if host is None or sample.cluster not in self._classes:
                self.unknown += 1
                continue
            self.accepted += 1
            self._totals.setdefault((host, sample.cluster), _Totals()).add(sample)

    def drain(self) -> list[ReportedOutcomes]:
        """Return the collected totals as events for the balancer, and reset them."""
        totals, self._totals = self._totals, {}
        return [totals[key].outcomes(*key) for key in sorted(totals)]
