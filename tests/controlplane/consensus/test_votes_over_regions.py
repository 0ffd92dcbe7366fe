"""Voters are spread over regions and, within regions, over zones; moving them terminates."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from brambleusher.controlplane.consensus.membership_plan import Group, next_members
from brambleusher.wire.consensus_messages import Member

MOVES_MAX = 40

RegionByZone = dict[str, str]  # region by zone


def stable_group(
    region_by_zone: RegionByZone, zones: list[str], voters: set[int], leader: int, required_voters: int
) -> Group:
    members = [Member(f"m{at}", f"at-{at}", "", zone, at in voters) for at, zone in enumerate(zones)]
    return Group(
        members,
        f"m{leader}",
        required_voters,
        caught_up={member.id for member in members},
        is_stable=True,
        region_by_zone=region_by_zone,
    )


def final_members(group: Group) -> list[Member]:
    """The members after all changes are done; checks that each change affects a single vote."""
    members = list(group.members)
    for _ in range(MOVES_MAX):
        before = {member.id for member in members if member.is_voter}
        changed = next_members(
            Group(
                members,
                group.leader,
                group.required_voters,
                caught_up=group.caught_up,
                is_stable=True,
                region_by_zone=group.region_by_zone,
            ),
            (),
        )
        if changed is None:
            return members
        members = list(changed)
        assert len(before ^ {member.id for member in members if member.is_voter}) == 1
    raise AssertionError("voters still move after many changes")


def votes(members: list[Member], region_by_zone: RegionByZone) -> list[int]:
    counts = Counter(region_by_zone[member.zone] for member in members if member.is_voter)
    return sorted(counts.values())


THREE_REGIONS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}


@pytest.mark.parametrize("seed", range(40))
def test_five_votes_over_three_regions_bear_the_loss_of_any(seed: int) -> None:
    rng = random.Random(seed)
    zones = list(THREE_REGIONS)
    voters = set(rng.sample(range(6), rng.choice([1, 3, 5])))
    group = stable_group(THREE_REGIONS, zones, voters, rng.choice(sorted(voters)), 5)
    assert votes(final_members(group), THREE_REGIONS) == [1, 2, 2]


def test_after_replacements_votes_return_to_the_region_that_has_too_few() -> None:
    """Region a has three voters and region b two, while region c has two controllers that are learners."""
    zones = ["a1", "a2", "a2", "b1", "b2", "c1", "c2"]
    group = stable_group(THREE_REGIONS, zones, {0, 1, 2, 3, 4}, 0, 5)
    assert votes(final_members(group), THREE_REGIONS) == [1, 2, 2]


@pytest.mark.parametrize("seed", range(300))
def test_moving_votes_ends_wherever_controllers_stand(seed: int) -> None:
    rng = random.Random(seed)
    region_by_zone = {f"z{at}": rng.choice("abc") for at in range(rng.randrange(1, 7))}
    zones = [rng.choice(list(region_by_zone)) for _ in range(rng.randrange(3, 11))]
    required_voters = rng.choice([3, 5])
    voters = set(rng.sample(range(len(zones)), min(required_voters, len(zones))))
    group = stable_group(region_by_zone, zones, voters, rng.choice(sorted(voters)), required_voters)
    members = final_members(group)
    assert sum(member.is_voter for member in members) == min(required_voters, len(zones))


def test_without_regions_zones_alone_count() -> None:
    group = stable_group({}, ["x", "x", "x", "y", "z"], {0, 1, 2}, 0, 3)
    counts = Counter(member.zone for member in final_members(group) if member.is_voter)
    assert max(counts.values()) == 1
