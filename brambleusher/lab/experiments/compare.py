"""Two variants of an experiment held against each other: paired differences, bootstrap intervals."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np

from brambleusher.lab.experiments.store import Store, StoredCell, StoreError

RESAMPLES = 10_000
LEVEL = 0.95
SEED = 20_261_201
USUAL = ("share.served", "share.on_time", "worth", "share.refused", "attempts", "load.mean", "load.spread")


@dataclass(frozen=True)
class Side:
    """One side: a results file, and the settings in it if not all of them."""

    path: Path
    settings: str | None

    @classmethod
    def of(cls, word: str) -> Side:
        """`FILE` or `FILE:SETTINGS`."""
        path, colon, settings = word.rpartition(":")
        return cls(Path(path), settings) if colon and path else cls(Path(word), None)

    def cells(self, store: Store) -> list[StoredCell]:
        """The cells of this side that are done; raises `StoreError` where there are none."""
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
    """A figure on both sides, and the differences of its pairs: the second less the first."""

    name: str
    pairs: int
    first: float  # means
    second: float
    mean: float
    low: float
    high: float

    @property
    def clear(self) -> bool:
        """Whether the interval leaves out 0; never with fewer than three pairs."""
        return self.pairs >= 3 and (self.low > 0 or self.high < 0)


def interval(differences: np.ndarray[Any, np.dtype[np.float64]], seed: int = SEED) -> tuple[float, float]:
    """The percentile bootstrap's interval of the mean (Efron, 1979)."""
    if len(differences) == 1:
        return float(differences[0]), float(differences[0])
    rng = np.random.default_rng(seed)
    picks = rng.integers(0, len(differences), size=(RESAMPLES, len(differences)))
    means = differences[picks].mean(axis=1)
    low, high = np.quantile(means, [(1 - LEVEL) / 2, (1 + LEVEL) / 2])
    return float(low), float(high)


def compare(first: Side, second: Side) -> list[Difference]:
    """Pairs of cells that are alike but for what is compared; raises `StoreError` where there are none."""
    with Store(first.path) as one, Store(second.path) as other:
        mine = {_key(cell, first, second): one.figures(cell.id) for cell in first.cells(one)}
        theirs = {_key(cell, second, first): other.figures(cell.id) for cell in second.cells(other)}
    both = [key for key in mine if key in theirs]
    if not both:
        raise StoreError("no two cells have the same world, demand, seed and place")
    names = sorted({name for key in both for name in mine[key].keys() & theirs[key].keys()}, key=_order)
    found = []
    for name in names:
        pairs = [
            (mine[key][name], theirs[key][name]) for key in both if name in mine[key] and name in theirs[key]
        ]
        a, b = np.array(pairs, dtype=np.float64).T
        low, high = interval(b - a)
        found.append(
            Difference(name, len(pairs), float(a.mean()), float(b.mean()), float((b - a).mean()), low, high)
        )
    return found


def _key(cell: StoredCell, side: Side, other: Side) -> tuple[object, ...]:
    """What two cells of a pair have in common."""
    settings = cell.settings if side.settings is None and other.settings is None else ""
    return cell.world, cell.demand, cell.seed, cell.where, settings


def _order(name: str) -> tuple[int, str]:
    return (USUAL.index(name) if name in USUAL else len(USUAL) + name.startswith("load."), name)


def texts(differences: list[Difference], everything: bool = False) -> list[str]:
    """As a table; without `everything`, no single node's load."""
    shown = [each for each in differences if everything or not each.name.startswith("load.node.")]
    width = max(len(each.name) for each in shown)
    lines = [
        f"{'figure':<{width}} {'pairs':>5} {'A':>12} {'B':>12} {'B - A':>12}   95% of the mean difference"
    ]
    for each in shown:
        clear = "  *" if each.clear else ""
        lines.append(
            f"{each.name:<{width}} {each.pairs:>5} {each.first:>12.5g} {each.second:>12.5g}"
            f" {each.mean:>+12.4g}   {each.low:+.4g} to {each.high:+.4g}{clear}"
        )
    lines += ["", "* the interval leaves out 0"]
    return lines
