"""Count how many seeds the lab needs to detect each deliberate bug (mutation), and by which rule.

    python -m benchmarks.breakages [--most 2000] [--share 100] [--jobs N] [NAME ...]

A seed counts if the run with the mutation violates a rule expected for it, and the run without it does not.
"""

from __future__ import annotations

import argparse
import multiprocessing
import os
from collections import Counter
from collections.abc import Sequence
from contextlib import AbstractContextManager

from brambleusher.lab.faults.breakages import PROGRAM_MUTATIONS
from brambleusher.lab.fleets.scenario import draw_scenario
from brambleusher.lab.virtual.explore import play


def rules_broken(
    seed: int, profile: str, mutation: AbstractContextManager[object] | None = None
) -> frozenset[str]:
    """Return the rules that one run violates."""
    return frozenset(play(draw_scenario(seed, profile), mutation).rules)


def measure(task: tuple[str, int, int]) -> tuple[str, int | None, int, Counter[str]]:
    """Return the first detecting seed, the number of detecting ones among `share` seeds, and their rules."""
    name, most, sample_size = task
    mutation = PROGRAM_MUTATIONS[name]
    first, detected, rules = None, 0, Counter[str]()
    for seed in range(most):
        if first is not None and seed >= sample_size:
            break
        found = rules_broken(seed, mutation.profile, mutation.activated()) & set(mutation.rules)
        if found and not rules_broken(seed, mutation.profile) & found:
            first = seed if first is None else first
            detected += seed < sample_size
            rules.update(found)
    return name, first, detected, rules


def main(words: Sequence[str] | None = None) -> int:
    """Print the table; returns 1 if a mutation was not detected."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--most", type=int, default=2000, help="seeds that are tried for each")
    parser.add_argument("--share", type=int, default=100, help="seeds over which the share is counted")
    parser.add_argument("--jobs", type=int, default=len(os.sched_getaffinity(0)))
    parser.add_argument("names", nargs="*", metavar="NAME")
    given = parser.parse_args(words)
    names = given.names or list(PROGRAM_MUTATIONS)
    missed = 0
    with multiprocessing.get_context("spawn").Pool(given.jobs) as pool:
        tasks = [(name, given.most, given.share) for name in names]
        found = {each[0]: each for each in pool.imap_unordered(measure, tasks)}
    print(f"| breakage | what is wrong | found under | first seed | of {given.share} seeds |")
    print("| --- | --- | --- | --- | --- |")
    for name in names:
        _, first, detected, rules = found[name]
        missed += first is None
        under = ", ".join(f"`{rule}`" for rule, _ in rules.most_common())
        description = PROGRAM_MUTATIONS[name].description
        print(
            f"| `{name}` | {description} | {under or '-'} | {'-' if first is None else first} | {detected} |"
        )
    return 1 if missed else 0


if __name__ == "__main__":
    raise SystemExit(main())
