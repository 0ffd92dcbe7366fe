"""The registry of mutations: each names the rules that a soak may report for it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from brambleusher.lab.faults.breakages import Patches


@dataclass(frozen=True, slots=True)
class SoakMutation:
    """One mutation, with the rules that a soak may report for it."""

    name: str
    program: str  # the program that the fault affects; the patch itself is applied in every process
    summary: str
    rules: tuple[str, ...]
    apply_to: Callable[[Patches], None]


MUTATIONS: dict[str, SoakMutation] = {}


class UnknownMutationError(ValueError):
    """No mutation has that name; the message lists all names."""

    def __init__(self, name: str) -> None:
        super().__init__(f"mutation: {name!r} is not one of {', '.join(sorted(MUTATIONS))}")


def mutation(
    name: str, program: str, summary: str, *rules: str
) -> Callable[[Callable[[Patches], None]], Callable[[Patches], None]]:
    """Return a decorator that registers a patch function as a mutation."""

    def add(apply_to: Callable[[Patches], None]) -> Callable[[Patches], None]:
        MUTATIONS[name] = SoakMutation(name, program, summary, rules, apply_to)
        return apply_to

    return add


def find_mutation(name: str) -> SoakMutation:
    """Return the mutation with this name; raises `UnknownMutationError`."""
    if name not in MUTATIONS:
        raise UnknownMutationError(name)
    return MUTATIONS[name]
