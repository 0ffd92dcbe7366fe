"""What proxies report of the nodes, gathered until the balancer of their zone is told.

Sums are gathered over a period and told once: a balancer hears as much from a thousand proxies as
from one, and none of them more often than it asked to.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from brambleusher.loadbalancing.api import LoadReport
from brambleusher.loadbalancing.fleet_balancer import ReportedOutcomes
from brambleusher.xds.resources import LATENCY_MS, THROUGHPUT, UTILISATION
from brambleusher.xds.wire import Sum

MAX_MEAN = 1e9


@dataclass(slots=True)
class _Gathered:
    served: int = 0
    failed: int = 0
    figures: dict[str, tuple[int, float]] = field(default_factory=dict)

    def mean(self, name: str) -> float | None:
        count, total = self.figures.get(name, (0, 0.0))
        return min(total / count, MAX_MEAN) if count else None


class Loads:
    """One zone's reports since the balancer was told last."""

    def __init__(self, classes: Iterable[str]) -> None:
        """`classes`: whose clusters are reported on; sums of any other are passed over."""
        self._classes = frozenset(classes)
        self._sums: dict[tuple[str, str], _Gathered] = {}
        self.taken = self.unknown = 0  # sums, and those of nodes that are not listed

    def take(self, sums: Iterable[Sum], node_at: Mapping[tuple[str, int], str], nodes: Iterable[str]) -> None:
        """Add one report; sums of nodes that nobody lists, or of no class, are counted and passed over."""
        known = nodes if isinstance(nodes, set | frozenset | dict) else set(nodes)
        for each in sums:
            node = each.node if each.node in known else node_at.get(each.address)
            if node is None or each.cluster not in self._classes:
                self.unknown += 1
                continue
            self.taken += 1
            held = self._sums.setdefault((node, each.cluster), _Gathered())
            held.served += each.served
            held.failed += each.failed
            for name, (count, total) in each.figures.items():
                before = held.figures.get(name, (0, 0.0))
                held.figures[name] = (before[0] + count, before[1] + total)

    def tell(self) -> list[ReportedOutcomes]:
        """All that was gathered, as events, and a fresh start."""
        sums, self._sums = self._sums, {}
        out = []
        for (node, cluster), held in sorted(sums.items()):
            utilisation, throughput = held.mean(UTILISATION), held.mean(THROUGHPUT)
            latency = held.mean(LATENCY_MS)
            report = None
            if utilisation is not None and throughput is not None:
                report = LoadReport(utilisation, throughput)
            latency_ns = None if latency is None else int(latency * 1e6)
            out.append(ReportedOutcomes(node, cluster, held.served, held.failed, latency_ns, report))
        return out
