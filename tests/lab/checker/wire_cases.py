"""Cases of traffic that keep or break one rule, each with the rule."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from tests.lab.checker.synthetic_traffic import Traffic


class WireCase(NamedTuple):
    """Traffic that breaks one rule exactly once, or no rule if `rule` is empty."""

    rule: str
    name: str
    play: Callable[[Traffic], object]


class Cases(list[WireCase]):
    """The cases of one module."""

    def case(self, rule: str) -> Callable[[Callable[[Traffic], None]], Callable[[Traffic], None]]:
        """Return a decorator that adds a case, which breaks `rule` once, or no rule if it is empty."""

        def add(play: Callable[[Traffic], None]) -> Callable[[Traffic], None]:
            self.append(WireCase(rule, play.__name__, play))
            return play

        return add
