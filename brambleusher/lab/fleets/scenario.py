"""Scenarios: a world, its requests and its faults, as plain data in a YAML file."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
import yaml

from brambleusher.lab.faults.kinds import AnyFault, check_faults, draw_faults
from brambleusher.lab.fleets.figures import Ranges, Sampler, WorldSpec, draw_asks, draw_world
from brambleusher.lab.stand_ins.settings import PlannedRequest, Settings

FORMAT = 1


class ScenarioError(ValueError):
    """A scenario is invalid; the message names the key."""


class Scenario(Settings, frozen=True):
    """The complete initial conditions of a run; `seed` determines the random choices made during the run."""

    seed: int
    world: WorldSpec
    asks: tuple[PlannedRequest, ...]
    faults: tuple[AnyFault, ...]
    profile: str = "default"
    format: Annotated[int, msgspec.Meta(ge=FORMAT, le=FORMAT)] = FORMAT
    note: str = ""  # description of what the scenario demonstrates


# Ranges of the profiles that don't use the default ranges.
PROFILE_RANGES = {"zones-ruled": Ranges(nodes=(5, 8), sidecars=(2, 3), requests_per_s=(14.0, 20.0))}
RULED = ("zones-ruled",)  # profiles in which the operator file has a section on zones


def draw_rules(seed: int, world: WorldSpec) -> dict[str, Any]:
    """Draw the section on zones of an operator file."""
    draw = Sampler(seed, "zone rules")
    rules: dict[str, Any] = {"half_life_s": draw.uniform((1.0, 4.0)), "hold_most_s": draw.uniform((1.0, 6.0))}
    if draw.chance(0.5):
        neighbours = {}
        for zone in world.zones:
            others = [each for each in world.zones if each != zone]
            draw.rng.shuffle(others)
            neighbours[zone] = draw.rng.choice(
                ([others[0]], [[others[0], others[1]], others[2]], {others[0]: 2.0, others[1]: 1.0})
            )
        rules["neighbours"] = neighbours
    if draw.chance(0.5):
        rules |= {
            "spill": draw.uniform((0.1, 1.5)),
            "strain": draw.uniform((0.7, 1.0)),
            "panic": draw.uniform((0.0, 0.8)),
        }
    return rules


def draw_scenario(seed: int, profile: str = "default", ranges: Ranges | None = None) -> Scenario:
    """Draw the scenario of a seed; raises `ValueError` for an unknown profile."""
    world = draw_world(seed, ranges or PROFILE_RANGES.get(profile))
    if profile in RULED:
        world = msgspec.structs.replace(world, operator={"zones": draw_rules(seed, world)})
    return Scenario(
        seed=seed,
        profile=profile,
        world=world,
        asks=draw_asks(seed, world),
        faults=draw_faults(seed, world, profile),
    )


class _Dumper(yaml.SafeDumper):
    """Writes each innermost mapping or list on one line."""

    def represent_mapping(self, tag: str, mapping: Any, flow_style: bool | None = None) -> yaml.MappingNode:
        """Represent a mapping on one line if it contains no mappings or lists."""
        flat = not any(isinstance(value, dict | list | tuple) for value in mapping.values())
        return super().represent_mapping(tag, mapping, flow_style=flat)

    def represent_sequence(
        self, tag: str, sequence: Any, flow_style: bool | None = None
    ) -> yaml.SequenceNode:
        """Represent a list on one line if it contains no mappings or lists."""
        flat = not any(isinstance(value, dict | list | tuple) for value in sequence)
        return super().represent_sequence(tag, sequence, flow_style=flat)


def write_scenario(scenario: Scenario) -> str:
    """Return the text of a scenario file."""
    return yaml.dump(
        msgspec.to_builtins(scenario), Dumper=_Dumper, sort_keys=False, width=110, allow_unicode=True
    )


def read_scenario(text: str | bytes) -> Scenario:
    """Parse the text of a scenario file; raises `ScenarioError`, which names the invalid key."""
    try:
        raw = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise ScenarioError(f"not YAML: {' '.join(str(error).split())}") from None
    if not isinstance(raw, dict):
        raise ScenarioError("not a mapping")
    try:
        scenario = msgspec.convert(raw, Scenario)
        check_faults(scenario.faults, scenario.world)
    except (msgspec.ValidationError, ValueError) as error:
        raise ScenarioError(str(error)) from None
    for number, ask in enumerate(scenario.asks):
        if ask.sidecar >= len(scenario.world.sidecars):
            raise ScenarioError(f"asks[{number}].sidecar is {ask.sidecar}, but the number of sidecars is "
                                f"{len(scenario.world.sidecars)}")  # fmt: skip
    return scenario
