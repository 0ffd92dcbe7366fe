"""Zones whose instances let connections time out are tried last, and found again once they are back."""

from __future__ import annotations

import random

from brambleusher.dataplane.instances import Instances
from brambleusher.dataplane.placement import Placement
from brambleusher.dataplane.zone_rests import REST_FIRST_S, REST_MOST_S, TRIAL_S, ZoneRests
from brambleusher.wire.policy import Policy
from tests.system.test_dataplane_parts import ZONES, entry, instances, wanted


def silent(rests: ZoneRests, zone: str, count: int, now: float = 0.0) -> None:
    for at in range(count):
        rests.timed_out(zone, f"{zone}{at}", now)


def test_one_silent_instance_is_not_a_silent_zone() -> None:
    rests = ZoneRests()
    silent(rests, "z", 1)
    rests.timed_out("z", "z0", 0.1)
    assert not rests.resting(0.2)
    silent(rests, "z", 2, 0.2)
    assert rests.resting(0.2) == {"z"}


def test_an_instance_that_takes_a_connection_clears_its_zone() -> None:
    rests = ZoneRests()
    silent(rests, "z", 3)
    rests.connected("z")
    assert not rests.resting(0.0)
    silent(rests, "z", 1)
    assert not rests.resting(0.0)


def test_rests_grow_to_a_bound_and_one_trial_goes_at_a_time() -> None:
    rests = ZoneRests()
    silent(rests, "z", 2)
    now = 0.0
    for _ in range(6):
        before = now
        while rests.resting(now):
            now += 0.05
        assert REST_FIRST_S - 0.06 <= now - before <= REST_MOST_S + 0.06
        rests.tried("z", now)
        assert rests.resting(now + TRIAL_S / 2) == {"z"}
        rests.timed_out("z", "again", now + 0.25)
        now += 0.25
    rests.connected("z")
    assert not rests.resting(now)


def test_a_trial_that_nothing_is_heard_of_holds_others_back_for_a_moment_only() -> None:
    rests = ZoneRests()
    silent(rests, "z", 2)
    rests.tried("z", REST_FIRST_S)
    assert not rests.resting(REST_FIRST_S + TRIAL_S + 0.01)


def test_a_zone_without_evidence_is_not_held_back_by_a_request() -> None:
    rests = ZoneRests()
    rests.tried("z", 0.0)
    silent(rests, "z", 1)
    rests.tried("z", 0.0)
    assert not rests.resting(0.0)


def chosen_zones(known: Instances, placement: Placement, now: float, **given: object) -> set[str]:
    found = [placement.choose(wanted(), (), now, **given) for _ in range(8)]  # type: ignore[arg-type]
    return {instance.zone for instance in found if instance}


def test_a_resting_zone_comes_last_but_is_used_where_there_is_no_other() -> None:
    known = instances(entry("a"), entry("b", "n2"))
    placement = Placement(known, "north")
    silent(known.zone_rests, "n1", 2)
    assert chosen_zones(known, placement, 0.1) == {"n2"}
    only = instances(entry("a"))
    silent(only.zone_rests, "n1", 2)
    assert chosen_zones(only, Placement(only, "north"), 0.1) == {"n1"}


def test_a_request_leaves_a_region_in_which_it_waited_in_vain() -> None:
    known = instances(entry("a"), entry("b", "n2"), entry("c", "s1"))
    placement = Placement(known, "north")
    assert chosen_zones(known, placement, 0.1, silent_regions={"north"}) == {"s1"}
    homes = placement.choose(wanted(home_regions=("north",)), {"a"}, 0.1, {"north"})
    assert homes is not None
    assert homes.id == "b"


def test_the_mechanism_can_be_switched_off() -> None:
    policy = Policy(zone_rests=False)
    known = Instances(ZONES, random.Random(1), policy)
    known.take_list([entry("a"), entry("b", "n2"), entry("c", "s1")], 0.0, 0.0)
    silent(known.zone_rests, "n1", 2)
    placement = Placement(known, "north", policy)
    assert chosen_zones(known, placement, 0.1, silent_regions={"north"}) == {"n1", "n2"}
