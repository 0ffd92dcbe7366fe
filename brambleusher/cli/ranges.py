"""Types of numeric options: finite, and bounded so that what is computed from them is finite, too."""

from __future__ import annotations

import math

import click

MAX_S = 1e9  # some thirty years; nanoseconds of it fit into 64 bits
MAX_FACTOR = 1e6


class FiniteRange(click.FloatRange):
    """A range of floats without NaN, which passes every comparison with a bound."""

    def convert(self, value: float, param: click.Parameter | None, ctx: click.Context | None) -> float:
        """Convert the value of an option; fails with a message that names it."""
        number = super().convert(value, param, ctx)
        if not math.isfinite(number):
            self.fail(f"{value!r} is no finite number", param, ctx)
        return number


DURATION_S = FiniteRange(0, MAX_S)
FACTOR = FiniteRange(0, MAX_FACTOR)
SPEED = FiniteRange(1 / MAX_FACTOR, MAX_FACTOR)
