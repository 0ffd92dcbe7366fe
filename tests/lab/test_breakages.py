"""The lab detects each deliberate bug under the right rule, in runs where the unmodified program breaks none.

Bugs that few seeds expose are replayed from scenario files written by `brambleusher explore --shrink`; the
others must appear in the first seeds.  `python -m benchmarks.breakages` prints the whole table.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from brambleusher.lab.checker.rules import RULES
from brambleusher.lab.faults.breakages import PROGRAM_MUTATIONS, Patches
from brambleusher.lab.fleets.scenario import Scenario, draw_scenario, read_scenario
from brambleusher.lab.processes.breakages import ALL_MUTATIONS
from brambleusher.lab.virtual.explore import play

FILES = {path.stem: path for path in sorted((Path(__file__).parents[1] / "breakages").glob("*.yaml"))}
LOOKED_AT = 40  # seeds tried for a mutation without a scenario file: at least one seed in ten exposes it


def found(name: str, scenario: Scenario) -> bool:
    """Return whether a scenario breaks an expected rule with the mutation, and not without it."""
    mutation = PROGRAM_MUTATIONS[name]
    told = set(play(scenario, mutation.activated()).rules) & set(mutation.rules)
    return bool(told) and not set(play(scenario).rules) & told


@pytest.mark.parametrize("name", sorted(set(PROGRAM_MUTATIONS) - set(FILES)))
def test_is_found_in_the_first_seeds(name: str) -> None:
    profile = PROGRAM_MUTATIONS[name].profile
    assert any(found(name, draw_scenario(seed, profile)) for seed in range(LOOKED_AT))


@pytest.mark.parametrize("name", sorted(FILES))
def test_is_found_in_its_scenario(name: str) -> None:
    scenario = read_scenario(FILES[name].read_bytes())
    assert found(name, scenario)
    assert not play(scenario).breaches


def test_a_send_1_ms_past_the_drain_limit_is_found_to_the_nanosecond() -> None:
    scenario = read_scenario(FILES["drain-late"].read_bytes())
    breaches = play(scenario, PROGRAM_MUTATIONS["drain-late"].activated()).breaches
    assert {breach.rule for breach in breaches} == {"drain"}
    late = int(breaches[0].what.split("first byte ")[1].split(" ns")[0])
    assert 0 < late <= 2_000_000  # the delay of 1 ms, and at most 1 ms for delivery of the list


@pytest.mark.parametrize("name", sorted(PROGRAM_MUTATIONS))
def test_is_undone(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    before: dict[tuple[Any, str], Any] = {}
    put = Patches.set

    def noted(self: Patches, owner: Any, attribute: str, value: Any) -> Any:
        before.setdefault((owner, attribute), vars(owner)[attribute])
        return put(self, owner, attribute, value)

    monkeypatch.setattr(Patches, "set", noted)
    with PROGRAM_MUTATIONS[name].activated():
        assert before and all(vars(owner)[key] is not old for (owner, key), old in before.items())
    assert all(vars(owner)[key] is old for (owner, key), old in before.items())


@pytest.mark.parametrize("name", sorted(ALL_MUTATIONS))
def test_patches_name_attributes_that_the_program_has(name: str) -> None:
    with ALL_MUTATIONS[name].activated():
        pass  # a patch of a missing attribute raises KeyError


def test_there_are_enough_and_each_names_its_rules() -> None:
    assert len(PROGRAM_MUTATIONS) >= 14
    assert set(FILES) <= set(PROGRAM_MUTATIONS)
    assert all(
        each.rules and set(each.rules) <= set(RULES) and each.description
        for each in PROGRAM_MUTATIONS.values()
    )
