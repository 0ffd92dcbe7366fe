"""Counts of what became of requests, for operators."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Named counts."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def add(self, name: str, number: int = 1) -> None:
        """Count something."""
        self._counts[name] += number

    def as_json(self) -> dict[str, int]:
        """All counts."""
        return dict(sorted(self._counts.items()))
