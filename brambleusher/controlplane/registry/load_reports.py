"""Sums of what gateways saw of instances: one gateway of many sees too little to judge any; pure.

Each gateway sends its own fading figures with its long poll; a controller adds up those it got lately
and answers with the sum of the others'.  What one gateway can add is bounded: neither one that is cut off
from an instance nor one that is wrong moves the fleet alone.
"""

from __future__ import annotations

from typing import Any

from brambleusher.wire.errors import InvalidMessageError

FRESH_S = 2.5  # a report counts for so long
SUM_EVERY_S = 0.25
COUNT_MOST = 20.0  # attempts of one gateway at one instance that count
FAILED_MOST = 4.0  # failures among them
INDEX_MOST = 4.0  # of one latency, in aims
INSTANCES_MOST = 2000
DECIMALS = 2

# Served, failed, in use, answers, sum of their latencies in aims, requests a second, reported loads (parts of
# the slots) times their weights, these weights.
Figures = list[float]
WIDTH = 8
WIDTH_BEFORE = 6  # of gateways that do not know reported loads
LOAD_MOST = 2.0  # of one reported load


def parse_report(report: Any) -> dict[str, Figures]:
    """A report within its bounds; raises `InvalidMessageError`."""
    if not isinstance(report, dict) or len(report) > INSTANCES_MOST:
        raise InvalidMessageError("a report is no object of bounded size")
    bounded: dict[str, Figures] = {}
    for name, figures in report.items():
        if not isinstance(figures, list) or len(figures) not in (WIDTH_BEFORE, WIDTH):
            raise InvalidMessageError(f"figures are no list of {WIDTH}")
        if not all(isinstance(figure, int | float) and figure >= 0 for figure in figures):
            raise InvalidMessageError("a figure is no number")
        padded = [float(figure) for figure in figures] + [0.0] * (WIDTH - len(figures))
        bounded[str(name)] = _bounded(padded)
    return bounded


def _bounded(figures: Figures) -> Figures:
    served, failed, used, answers, latency, rate, load, weight = figures
    scale = min(
        1.0,
        COUNT_MOST / max(served + failed, COUNT_MOST),
        FAILED_MOST / max(failed, FAILED_MOST),
    )
    kept = min(1.0, COUNT_MOST / max(answers, COUNT_MOST))
    latency = min(latency, INDEX_MOST * answers)
    weight = min(weight, 1.0)
    load = min(load, LOAD_MOST * weight)
    return [served * scale, failed * scale, used, answers * kept, latency * kept, rate, load, weight]


class FleetLoadReports:
    """The latest report of each gateway that asked here, and their sum."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, dict[str, Figures]]] = {}
        self._sum: dict[str, Figures] = {}
        self._summed_at = -SUM_EVERY_S

    def record(self, gateway: str, report: dict[str, Figures], now: float) -> None:
        """A gateway's own figures."""
        self._reports[gateway] = (now, report)

    def sum_of_others(self, gateway: str, now: float) -> tuple[int, dict[str, Figures]]:
        """How many other gateways reported lately, and the sum of what they saw."""
        if now - self._summed_at >= SUM_EVERY_S:
            self._add_up(now)
        own = self._reports.get(gateway, (0.0, {}))[1]
        rest = {name: self._without(name, total, own) for name, total in self._sum.items()}
        return max(0, len(self._reports) - (gateway in self._reports)), rest

    @staticmethod
    def _without(name: str, total: Figures, own: dict[str, Figures]) -> Figures:
        figures = own.get(name)
        if figures is None:
            return [round(value, DECIMALS) for value in total]
        return [round(max(0.0, value - mine), DECIMALS) for value, mine in zip(total, figures, strict=True)]

    def _add_up(self, now: float) -> None:
        self._summed_at = now
        for gateway in [name for name, (at, _) in self._reports.items() if now - at > FRESH_S]:
            del self._reports[gateway]
        self._sum = {}
        for _, report in self._reports.values():
            for name, figures in report.items():
                total = self._sum.get(name)
                if total is None:
                    self._sum[name] = list(figures)
                else:
                    for place, figure in enumerate(figures):
                        total[place] += figure
