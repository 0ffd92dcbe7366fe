"""A broken rule, as the checks of a soak report it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken rule."""

    rule: str
    at_s: float
    what: str

    def __str__(self) -> str:
        """Return the violation as one line."""
        return f"{self.rule} at {self.at_s:.3f} s: {self.what}"
