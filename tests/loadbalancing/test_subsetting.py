"""Subsetting from an instance's number and the list."""

from __future__ import annotations

import random

import pytest

from brambleusher.loadbalancing.subsetting import Ring, size_for


def names(count: int) -> list[str]:
    return [f"n{at}" for at in range(count)]


@pytest.mark.parametrize("hosts", [1, 2, 7, 14, 41, 200])
@pytest.mark.parametrize("instances", [1, 2, 3, 10, 57, 300])
def test_arcs_use_all_hosts_to_the_same_part(instances: int, hosts: int) -> None:
    ring = Ring(names(hosts))
    for size in (1, 4, 12, 500):
        used = dict.fromkeys(ring.names, 0.0)
        lengths = set()
        for number in range(instances):
            subset = ring.arc(number, size, instances)
            assert len({name for name, _ in subset}) == len(subset)
            assert all(0 < part <= 1 for _, part in subset)
            assert len(subset) >= min(size, hosts)
            lengths.add(round(sum(part for _, part in subset), 9))
            for name, part in subset:
                used[name] += part
        assert len(lengths) == 1
        assert max(used.values()) - min(used.values()) < 1e-9


def test_a_host_that_goes_concerns_by_rendezvous_only_those_who_have_it() -> None:
    ring, less = Ring(names(100)), Ring(names(99))
    concerned = 0
    for number in range(300):
        before, after = dict(ring.rendezvous(number, 12)), dict(less.rendezvous(number, 12))
        assert len(before) == len(after) == 12
        concerned += "n99" in before
        assert len(after.keys() - before.keys()) == ("n99" in before)
        assert before.keys() - after.keys() <= {"n99"}
    assert 10 < concerned < 70  # the expected value is 36


def test_rounds_use_each_host_once_a_round_and_a_host_that_goes_moves_one_at_most() -> None:
    ring, less = Ring(names(120)), Ring(names(119)[::-1])
    for turn in range(5):
        round_of = [name for at in range(10) for name, _ in ring.rounds(turn * 10 + at, 12)]
        assert sorted(round_of) == sorted(ring.names)
    orders = {tuple(name for name, _ in ring.rounds(turn * 10, 12)) for turn in range(5)}
    assert len(orders) == 5
    for number in range(9):  # the last instance of the round has no complete subset left
        before, after = dict(ring.rounds(number, 12)), dict(less.rounds(number, 12))
        assert len(after.keys() - before.keys()) <= 1


def test_the_order_of_the_list_and_what_is_named_twice_make_no_difference() -> None:
    listed = names(50)
    shuffled = [*listed, "n3"]
    random.Random(4).shuffle(shuffled)
    for one, other in ((Ring(listed), Ring(shuffled)),):
        assert one.names == other.names
        assert one.rendezvous(7, 5) == other.rendezvous(7, 5)
        assert one.rounds(7, 5) == other.rounds(7, 5)
        assert one.arc(7, 5, 9) == other.arc(7, 5, 9)


def test_what_makes_no_sense_is_refused_and_no_hosts_are_no_subset() -> None:
    ring = Ring(names(5))
    for number, size, instances in ((3, 2, 3), (-1, 2, 3), (0, 0, 3)):
        with pytest.raises(ValueError, match="instance"):
            ring.arc(number, size, instances)
    for number, size in ((-1, 2), (0, 0)):
        with pytest.raises(ValueError, match="instance"):
            ring.rendezvous(number, size)
        with pytest.raises(ValueError, match="instance"):
            ring.rounds(number, size)
    empty = Ring([])
    assert empty.arc(0, 3, 4) == empty.rendezvous(0, 3) == empty.rounds(0, 3) == []
    assert [size_for(3, 2000, 12), size_for(5000, 2000, 12), size_for(9, 4, 12)] == [667, 12, 4]
