"""Tests of placement: own region first, subsets, prefix affinity and warm-up budgets."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

from brambleusher.dataplane.instance_table import InstanceTable
from brambleusher.dataplane.placement import SUBSET_MIN, Placement
from brambleusher.dataplane.prefix_affinity import rank_by_affinity
from brambleusher.wire.configuration import Service
from tests.dataplane.dataplane_builders import ZONES, entry, instances, listed, placement_request


def test_near_instances_come_first() -> None:
    known = instances(entry("a"), entry("b", "n2"), entry("c", "s1"))
    placement = Placement(known, "north")
    chosen = {placement.choose(placement_request(), (), 0.0) for _ in range(9)}
    assert {instance.id for instance in chosen if instance} == {"a", "b"}


def used_by(gateway: str, known_zones: dict[str, str], **given: Any) -> set[str]:
    """Return the instances that a gateway in region `north` uses at low utilisation."""
    known = InstanceTable(ZONES, random.Random(1), gateway_name=gateway)
    known.services = {"llm": Service(name="llm")}
    known.update(listed(*(entry(name, zone, capacity=100) for name, zone in known_zones.items())), 0.0, 0.0)
    known.tick(0.0)
    for number in range(1, 6):
        known.tick(number * 0.5)
    placement = Placement(known, "north")
    chosen = [placement.choose(placement_request(**given), (), 3.0) for _ in range(40)]
    return {instance.id for instance in chosen if instance}


def test_each_gateway_uses_a_stable_subset_of_its_own() -> None:
    zones = {f"i{number}": "n1" if number % 2 else "n2" for number in range(20)}
    first, again, other = (used_by(name, zones) for name in ("g1", "g1", "g2"))
    assert len(first) == SUBSET_MIN
    assert first == again
    assert first != other
    users = Counter(name for number in range(40) for name in used_by(f"g{number}", zones))
    assert set(users) == set(zones)
    assert max(users.values()) <= 4 * 40 * SUBSET_MIN / 20


def test_the_subset_is_of_far_instances_where_no_near_one_is_usable() -> None:
    zones = {f"i{number}": "s1" for number in range(20)}
    assert len(used_by("g1", zones, home_regions=("south",))) == SUBSET_MIN


def test_all_instances_are_used_where_they_are_full() -> None:
    known = instances(*(entry(f"i{number}", capacity=2) for number in range(12)))
    weights = known.weights["llm"]
    for number in range(12):
        weights.record_load(f"i{number}", 1, 0, 2)
    known.tick(0.0)
    known.tick(0.5)
    placement = Placement(known, "north")
    chosen = {
        each.id for _ in range(60) if (each := placement.choose(placement_request(), (), 0.6)) is not None
    }
    assert len(chosen) == 12


def test_round_robin_begins_at_an_instance_with_an_idle_connection() -> None:
    known = instances(*(entry(f"i{number}") for number in range(3)))
    weights = known.weights["llm"]
    chosen = [
        weights.choose(["i0", "i1", "i2"], 0.0, reload_candidates=True, preferred=["i2"]) for _ in range(3)
    ]
    assert chosen[0] == "i2"
    assert set(chosen) == {"i0", "i1", "i2"}


def test_far_instances_are_used_where_near_ones_were_tried() -> None:
    known = instances(entry("a"), entry("c", "s1"))
    placement = Placement(known, "north")
    far = placement.choose(placement_request(), {"a"}, 0.0)
    assert far is not None
    assert far.id == "c"
    assert placement.choose(placement_request(home_regions=("north",)), {"a"}, 0.0) is None


def test_a_large_prefix_is_cached_by_one_instance_of_all_regions() -> None:
    entries = [entry("a"), entry("b", "n2"), entry("c", "s1"), entry("d", "s1")]
    for key in ("k1", "k2", "k3", "k4"):
        chosen = set()
        for region in ("north", "south"):
            placement = Placement(instances(*entries), region)
            for _ in range(3):
                instance = placement.choose(placement_request(key, 13000), (), 0.0)
                assert instance is not None
                chosen.add(instance.id)
        assert len(chosen) == 1


def test_a_warming_instance_with_affinity_is_skipped_once_its_budget_is_spent() -> None:
    """The instances of a restored region have full spare capacity, but get no more than the warm-up rate."""
    known = instances(entry("a"))
    known.gateway_count = 1.0
    known.update(listed(entry("a"), entry("b")), 1.0, 1.0)
    placement = Placement(known, "north")
    key = next(f"k{n}" for n in range(50) if rank_by_affinity(f"k{n}", ["a", "b"])[0] == "b")
    sent = [placement.choose(placement_request(key, 13000), (), 1.0) for _ in range(10)]
    assert [instance.id for instance in sent if instance].count("b") <= 1
