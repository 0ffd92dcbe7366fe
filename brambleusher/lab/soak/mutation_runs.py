"""Measures how well soaks find faults: plays them against mutations and counts seeds until each is found."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass

from brambleusher.lab.soak.mutations import MUTATIONS, find_mutation
from brambleusher.lab.soak.run import SoakError, play
from brambleusher.lab.soak.settings import SoakSettings

FIRST_PROCESSES_ID = 50  # these soaks use address ranges from here on; other soaks use lower ones
NOT_RECOVERED = "not recovered"  # the verdict if the soak fails because the system does not recover


@dataclass(frozen=True, slots=True)
class MutationResult:
    """How many seeds it took to find one mutation."""

    name: str
    program: str
    expected_rules: tuple[str, ...]
    seeds_played: int
    rules: tuple[str, ...]  # rules broken by the last played seed; empty if none was broken

    @property
    def is_found(self) -> bool:
        """Whether an expected rule was broken, or the system did not recover."""
        return bool(set(self.rules) & {*self.expected_rules, NOT_RECOVERED})

    def row(self) -> str:
        """Return the result as a line of the table."""
        verdict = f"found by seed {self.seeds_played} of the series" if self.is_found else "NOT FOUND"
        seen = ", ".join(self.rules) or "nothing"
        expected = ", ".join(self.expected_rules)
        return f"{self.name:26} {self.program:20} {verdict:30} {seen} (expected {expected})"


def run_mutations(
    names: Sequence[str], seeds: Sequence[int], duration_s: float, jobs: int
) -> Iterator[MutationResult]:
    """Play soaks against mutations, at most `jobs` at a time, and yield each result as it comes.

    Raises:
        UnknownMutationError: A name is not that of a mutation.
    """
    chosen = [find_mutation(name).name for name in names or MUTATIONS]
    with ProcessPoolExecutor(max_workers=jobs) as pool:
        runs = [
            pool.submit(_run_one, name, tuple(seeds), duration_s, number)
            for number, name in enumerate(chosen, 1)
        ]
        for run in as_completed(runs):
            yield run.result()


def _run_one(name: str, seeds: Sequence[int], duration_s: float, number: int) -> MutationResult:
    mutation, rules = find_mutation(name), set[str]()
    played = 0
    for seed in seeds:
        played += 1
        settings = SoakSettings(seed, duration_s, mutation=name, processes_id=FIRST_PROCESSES_ID + number)
        try:
            rules = {violation.rule for violation in play(settings).violations}
        except SoakError:
            rules = {NOT_RECOVERED}
        if rules & {*mutation.rules, NOT_RECOVERED}:
            break
    return MutationResult(name, mutation.program, mutation.rules, played, tuple(sorted(rules)))
