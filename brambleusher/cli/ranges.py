"""Types of numeric options with bounds that keep values computed from them finite."""

from __future__ import annotations

import math

import click

MAX_S = 1e9  # about thirty years; the same time in nanoseconds fits into 64 bits
MAX_FACTOR = 1e6


class FiniteRange(click.FloatRange):
    """A range of floats that rejects NaN, which a range check with comparisons would accept."""

    def convert(self, value: float, param: click.Parameter | None, ctx: click.Context | None) -> float:
        """Convert the value of an option; fail with a message that names the option."""
        number = super().convert(value, param, ctx)
        if not math.isfinite(number):
            self.fail(f"{value!r} is no finite number", param, ctx)
        return number


DURATION_S = FiniteRange(0, MAX_S)
FACTOR = FiniteRange(0, MAX_FACTOR)
SPEED = FiniteRange(1 / MAX_FACTOR, MAX_FACTOR)
