"""Compares two variants of an experiment by paired differences with bootstrap confidence intervals."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np

from brambleusher.lab.experiments.store import Store, StoredCell, StoreError

BOOTSTRAP_SAMPLES = 10_000
CONFIDENCE_LEVEL = 0.95
BOOTSTRAP_SEED = 20_261_201
LEADING_METRICS = (
    "share.served",
    "share.on_time",
    "worth",
    "share.refused",
    "attempts",
    "load.mean",
    "load.spread",
)


@dataclass(frozen=True)
class ComparedResults:
    """One side of a comparison: a results file, restricted to one settings name if `settings` is not None."""

    path: Path
    settings: str | None

    @classmethod
    def parse(cls, argument: str) -> ComparedResults:
        """Parse an argument of the form `FILE` or `FILE:SETTINGS`."""
        path, colon, settings = argument.rpartition(":")
        return cls(Path(path), settings) if colon and path else cls(Path(argument), None)

    def cells(self, store: Store) -> list[StoredCell]:
        """Return the finished cells of this side; raise `StoreError` if there are none."""
        found = [
            cell
            for cell in store.cells()
            if cell.state == "done" and (self.settings is None or cell.settings == self.settings)
        ]
        if not found:
            raise StoreError(
                f"{self.path}: no cells are done"
                + (f" with the settings {self.settings}" if self.settings else "")
            )
        return found


@dataclass(frozen=True)
class Difference:
    """The paired differences of one metric, each the value of the second side minus that of the first."""

    name: str
    pairs: int
    first: float  # mean on the first side
    second: float  # mean on the second side
    mean: float  # mean of the differences
    low: float  # lower bound of the confidence interval of `mean`
    high: float  # upper bound of the confidence interval of `mean`

    @property
    def excludes_zero(self) -> bool:
        """Return whether there are at least three pairs and the confidence interval excludes 0."""
        return self.pairs >= 3 and (self.low > 0 or self.high < 0)


def interval(
    differences: np.ndarray[Any, np.dtype[np.float64]], seed: int = BOOTSTRAP_SEED
) -> tuple[float, float]:
    """Return a percentile bootstrap confidence interval of the mean (Efron, 1979)."""
    if len(differences) == 1:
        return float(differences[0]), float(differences[0])
    rng = np.random.default_rng(seed)
    sample_indexes = rng.integers(0, len(differences), size=(BOOTSTRAP_SAMPLES, len(differences)))
    means = differences[sample_indexes].mean(axis=1)
    low, high = np.quantile(means, [(1 - CONFIDENCE_LEVEL) / 2, (1 + CONFIDENCE_LEVEL) / 2])
    return float(low), float(high)


def compare(first: ComparedResults, second: ComparedResults) -> list[Difference]:
    """Compare cells that have the same world, demand, seed and place.

    Raises:
        StoreError: There is no such pair of cells, or a results file can't be used.
    """
    with Store(first.path) as first_store, Store(second.path) as second_store:
        first_metrics = {
            _pair_key(cell, first, second): first_store.metrics(cell.id) for cell in first.cells(first_store)
        }
        second_metrics = {
            _pair_key(cell, second, first): second_store.metrics(cell.id)
            for cell in second.cells(second_store)
        }
    shared_keys = [key for key in first_metrics if key in second_metrics]
    if not shared_keys:
        raise StoreError("the two sides have no cells with the same world, demand, seed and place")
    names = sorted(
        {name for key in shared_keys for name in first_metrics[key].keys() & second_metrics[key].keys()},
        key=_display_position,
    )
    found = []
    for name in names:
        pairs = [
            (first_metrics[key][name], second_metrics[key][name])
            for key in shared_keys
            if name in first_metrics[key] and name in second_metrics[key]
        ]
        a, b = np.array(pairs, dtype=np.float64).T
        low, high = interval(b - a)
        found.append(
            Difference(name, len(pairs), float(a.mean()), float(b.mean()), float((b - a).mean()), low, high)
        )
    return found


def _pair_key(cell: StoredCell, side: ComparedResults, other: ComparedResults) -> tuple[object, ...]:
    """Return the properties that the two cells of a pair must share."""
    settings = cell.settings if side.settings is None and other.settings is None else ""
    return cell.world, cell.demand, cell.seed, cell.where, settings


def _display_position(name: str) -> tuple[int, str]:
    return (
        LEADING_METRICS.index(name)
        if name in LEADING_METRICS
        else len(LEADING_METRICS) + name.startswith("load."),
        name,
    )


def format_differences(differences: list[Difference], has_node_loads: bool = False) -> list[str]:
    """Format a comparison as lines of a table; `has_node_loads` includes the load of each node."""
    shown = [each for each in differences if has_node_loads or not each.name.startswith("load.node.")]
    width = max(len(each.name) for each in shown)
    lines = [
        f"{'figure':<{width}} {'pairs':>5} {'A':>12} {'B':>12} {'B - A':>12}   95% of the mean difference"
    ]
    for each in shown:
        excludes_zero = "  *" if each.excludes_zero else ""
        lines.append(
            f"{each.name:<{width}} {each.pairs:>5} {each.first:>12.5g} {each.second:>12.5g}"
            f" {each.mean:>+12.4g}   {each.low:+.4g} to {each.high:+.4g}{excludes_zero}"
        )
    lines += ["", "* the interval excludes 0"]
    return lines
