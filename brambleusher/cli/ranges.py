"""Numbers as options: finite, and within bounds in which what is made of them is too."""

from __future__ import annotations

import math
from typing import Any

import click

MOST_SECONDS, MOST_TIMES = 1e9, 1e6


class Number(click.FloatRange):
    """A range of floats that has no room for nan, which compares with nothing."""

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """The number; fails with a message that names it."""
        number = super().convert(value, param, ctx)
        if not math.isfinite(number):
            self.fail(f"{value!r} is no finite number", param, ctx)
        return number


SECONDS = Number(0, MOST_SECONDS)
TIMES = Number(0, MOST_TIMES)
SPEED = Number(1 / MOST_TIMES, MOST_TIMES)
