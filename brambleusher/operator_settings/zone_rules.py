"""Section `zones` of the operator file: spill between zones, flap damping and evacuations."""

from __future__ import annotations

from typing import TypeGuard

from brambleusher.loadbalancing.api import Tier, ZoneRules
from brambleusher.operator_settings.section import OperatorFileError, Section

MAX_ZONES = 64
MAX_WEIGHT = 1000
NS_PER_S = 1e9


def _is_weight(value: object) -> TypeGuard[int | float]:
    return not isinstance(value, bool) and isinstance(value, int | float) and 0 < value <= MAX_WEIGHT


def _parse_tier(raw: object, path: str) -> Tier:
    """Parse a tier of equally near zones: a zone name, a list of names, or a mapping to weights."""
    if isinstance(raw, str) and raw:
        return ((raw, 1.0),)
    if isinstance(raw, list) and raw:
        for index, name in enumerate(raw):
            if not isinstance(name, str) or not name:
                raise OperatorFileError(f"{path}[{index}] is not the name of a zone")
        return tuple((name, 1.0) for name in raw)
    if isinstance(raw, dict) and raw:
        weights = []
        for name, weight in raw.items():
            if not _is_weight(weight):
                raise OperatorFileError(f"{path}.{name} is not a weight over 0 and up to {MAX_WEIGHT}")
            weights.append((name, float(weight)))
        return tuple(weights)
    raise OperatorFileError(f"{path} is not a zone, a list of zones, or zones with weights")


def _parse_tiers(raw: dict[str, object], zone: str, path: str) -> tuple[Tier, ...]:
    """Parse the tiers after a zone: a list, a weighted tier, or another zone whose own tiers follow."""
    visited, tiers = [zone], list[Tier]()
    while isinstance(following := raw.get(visited[-1]), str):
        if following in visited:
            raise OperatorFileError(f"{path}.{zone} goes in a circle: {' to '.join([*visited, following])}")
        tiers.append(_parse_tier(following, f"{path}.{visited[-1]}"))
        visited.append(following)
    last = visited[-1]
    if (remainder := raw.get(last)) is None:
        if last in raw:
            raise OperatorFileError(f"{path}.{last} names no zone")
        return tuple(tiers)
    own = _parse_tier_list(remainder, f"{path}.{last}")
    if len(visited) > 1:  # the last zone's tiers may lead back to zones that already have a tier
        own = [tuple(weighted for weighted in tier if weighted[0] not in visited) for tier in own]
        return (*tiers, *(tier for tier in own if tier))
    _check_names([name for tier in own for name, _ in tier], zone, path)
    return tuple(own)


def _parse_tier_list(raw: object, path: str) -> list[Tier]:
    listed = raw if isinstance(raw, list) else [raw]
    if not 0 < len(listed) <= MAX_ZONES:
        raise OperatorFileError(f"{path} is not a list of 1 to {MAX_ZONES} tiers")
    return [_parse_tier(tier, f"{path}[{index}]") for index, tier in enumerate(listed)]


def _check_names(names: list[str], zone: str, path: str) -> None:
    """Check that the tiers after a zone neither contain the zone itself nor any zone twice."""
    for name in names:
        if name == zone:
            raise OperatorFileError(f"{path}.{zone} goes in a circle: {zone} to {zone}")
        if names.count(name) > 1:
            raise OperatorFileError(f"{path}.{zone} names {name} twice")


def _parse_neighbours(raw: object) -> tuple[tuple[str, tuple[Tier, ...]], ...]:
    path = "zones.neighbours"
    if raw is None:
        return ()
    if not isinstance(raw, dict) or len(raw) > MAX_ZONES:
        raise OperatorFileError(f"{path} is not a mapping of at most {MAX_ZONES} zones")
    return tuple((zone, _parse_tiers(raw, zone, path)) for zone in raw)


def parse_zone_rules(raw: object) -> ZoneRules:
    """Parse the section `zones`.

    Raises:
        OperatorFileError: A value is invalid; the message names its key.
    """
    section, defaults = Section(raw, "zones"), ZoneRules()
    rules = ZoneRules(
        neighbours=_parse_neighbours(section.take("neighbours")),
        spill_rate=section.number("spill", defaults.spill_rate, 0.01, 10.0),
        max_utilisation=section.number("strain", defaults.max_utilisation, 0.1, 1.0),
        panic_threshold=section.number("panic", defaults.panic_threshold, 0.0, 1.0),
        flap_penalty_half_life_ns=int(
            section.number("half_life_s", defaults.flap_penalty_half_life_ns / NS_PER_S, 1.0, 3600.0)
            * NS_PER_S
        ),
        max_flap_suppression_ns=int(
            section.number("hold_most_s", defaults.max_flap_suppression_ns / NS_PER_S, 0.0, 86_400.0)
            * NS_PER_S
        ),
        flap_exempt=section.name_list("trust", MAX_ZONES),
        evacuated=section.name_list("evacuate", MAX_ZONES),
    )
    section.reject_unknown_keys()
    return rules
