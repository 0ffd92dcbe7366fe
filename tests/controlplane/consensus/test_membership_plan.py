"""The decision on the next membership change of a group."""

from __future__ import annotations

from dataclasses import replace as replace_in

from brambleusher.controlplane.consensus.membership_plan import MEMBERS_MAX, Group, next_members
from tests.controlplane.consensus.cluster import member


def test_votes_and_members_change_one_at_a_time() -> None:
    members = (member("a"), member("b"), member("c"))
    joining = [member("d", voter=False), member("e", voter=False)]
    first = next_members(Group(members, "a", 5), joining)
    assert first is not None
    assert [each.id for each in first] == ["a", "b", "c", "d"]
    assert not first[-1].is_voter
    second = next_members(Group(first, "a", 5, {}, {"d"}), [])
    assert second is not None
    assert second[-1].is_voter


def test_an_unresponsive_voter_keeps_its_vote_while_nobody_can_take_it() -> None:
    members = (member("a"), member("b"), member("c"))
    assert next_members(Group(members, "a", 3, {"c": 9.0}, {"b"}), []) is None


def votes_after(group: Group) -> str | None:
    """The sorted names of the voters after the next change, or None if there is no change."""
    changed = next_members(group, [])
    return None if changed is None else "".join(sorted(each.id for each in changed if each.is_voter))


def test_an_unresponsive_voter_is_replaced_by_a_learner_that_is_caught_up() -> None:
    members = (member("a"), member("b"), member("c"), member("d", voter=False))
    group = Group(members, "a", 3, {"c": 9.0}, {"b", "d"})
    assert votes_after(group) == "abcd"
    assert votes_after(replace_in(group, members=group.with_vote("d", True))) == "abd"


def test_a_voter_that_shuts_down_is_replaced_before_it_loses_its_vote() -> None:
    members = (member("a"), member("b"), member("c"), member("d", voter=False))
    group = Group(members, "a", 3, {}, {"b", "c", "d"}, {"c"})
    assert votes_after(group) == "abcd"
    assert votes_after(replace_in(group, members=group.with_vote("d", True))) == "abd"
    assert votes_after(replace_in(group, caught_up={"b", "c"})) is None
    assert votes_after(replace_in(group, shutting_down={"c", "d"})) is None


def test_nobody_is_replaced_while_too_few_are_there_to_agree_on_one_more_vote() -> None:
    members = (member("a"), member("b"), member("c"), member("d", voter=False))
    group = Group(members, "a", 3, {"b": 9.0, "c": 9.0}, {"d"})
    assert votes_after(group) is None


def test_votes_spread_over_zones_again_once_a_zone_is_back() -> None:
    zones = {"a": "1", "b": "2", "c": "3", "d": "2"}
    members = tuple(replace_in(member(name, voter=name != "c"), zone=zone) for name, zone in zones.items())
    group = Group(members, "a", 3, {}, {"b", "c", "d"}, is_stable=True)
    assert votes_after(replace_in(group, is_stable=False)) is None
    assert votes_after(group) == "abcd"
    following = replace_in(group, members=group.with_vote("c", True))
    assert votes_after(following) == "abc"
    assert votes_after(replace_in(following, members=following.with_vote("d", False))) is None


def test_votes_are_not_moved_for_zones_while_those_of_voters_are_unknown() -> None:
    bootstrap_members = tuple(replace_in(member(name), zone="") for name in "abc")
    newcomer = replace_in(member("d", voter=False), zone="1")
    group = Group((*bootstrap_members, newcomer), "a", 3, {}, {"b", "c", "d"}, is_stable=True)
    assert votes_after(group) is None


def test_an_unresponsive_learner_is_removed_sooner_where_the_group_is_full() -> None:
    learners = tuple(member(f"l{number}", voter=False) for number in range(MEMBERS_MAX - 1))
    group = Group((member("a"), *learners), "a", 1, {"l3": 5.0, "l4": 7.0}, {"l1"})
    changed = next_members(group, [member("new", voter=False)])
    assert changed is not None
    assert "l4" not in {each.id for each in changed}
    assert len(changed) == MEMBERS_MAX - 1
    fewer = replace_in(group, members=(member("a"), *learners[:5]))
    assert next_members(fewer, []) is None
