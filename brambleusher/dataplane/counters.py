"""Counters of request outcomes, for operators."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Named counters; the names are part of the status page and do not change."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def add(self, name: str, number: int = 1) -> None:
        """Increase a counter."""
        self._counts[name] += number

    def as_json(self) -> dict[str, int]:
        """Return all counters that were ever increased, by name."""
        return dict(sorted(self._counts.items()))
