"""Quorum sizes and agreed values, with and without wiped voters."""

from __future__ import annotations

from itertools import combinations

from brambleusher.controlplane.consensus.quorum import agreed_value, has_quorum, votes_needed
from tests.controlplane.consensus.cluster import member


def test_any_quorum_meets_all_that_may_hold_what_was_committed() -> None:
    for count in range(1, 8):
        voters = [member(str(number)) for number in range(count)]
        names = [voter.id for voter in voters]
        for wiped_count in range(count):
            wiped = set(names[:wiped_count])
            remaining = [name for name in names if name not in wiped]
            for size in range(count + 1):
                for agreeing in combinations(remaining, size):
                    if not has_quorum(voters, agreeing, wiped):
                        continue
                    for holding in combinations(names, count // 2 + 1):
                        survivors = set(holding) - wiped
                        # If all voters that had the entry lost their disks, the loss exceeds the tolerance.
                        assert not survivors or survivors & set(agreeing), (count, wiped, agreeing, holding)


def test_one_lost_disk_of_four_costs_no_quorum_and_of_three_it_does() -> None:
    assert [votes_needed(count, 0) for count in (1, 2, 3, 4, 5, 6)] == [1, 2, 2, 3, 3, 4]
    assert [votes_needed(count, 1) for count in (1, 2, 3, 4, 5, 6)] == [1, 1, 2, 2, 3, 3]
    four = [member(name) for name in "abcd"]
    assert not has_quorum(four, "ad", "")
    assert has_quorum(four, "ad", "b")
    assert not has_quorum(four, "ab", "b")
    assert agreed_value(four, {"a": 9, "b": 9, "d": 7}, "") == 7
    assert agreed_value(four, {"a": 9, "b": 9, "d": 7}, "b") == 7
    assert agreed_value(four, {"a": 9, "b": 9}, "b") == -1
