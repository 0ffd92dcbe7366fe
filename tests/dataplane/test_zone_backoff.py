"""Tests that zones in which connections time out are tried last, and used again after recovery."""

from __future__ import annotations

import random

from brambleusher.dataplane.instance_table import InstanceTable
from brambleusher.dataplane.placement import Placement
from brambleusher.dataplane.zone_backoff import BACKOFF_FIRST_S, BACKOFF_MAX_S, TRIAL_S, ZoneBackoff
from brambleusher.wire.policy import Policy
from tests.dataplane.dataplane_builders import ZONES, entry, instances, listed, placement_request


def record_timeouts(backoff: ZoneBackoff, zone: str, count: int, now: float = 0.0) -> None:
    for at in range(count):
        backoff.record_timeout(zone, f"{zone}{at}", now)


def test_one_unresponsive_instance_is_not_an_unresponsive_zone() -> None:
    backoff = ZoneBackoff()
    record_timeouts(backoff, "z", 1)
    backoff.record_timeout("z", "z0", 0.1)
    assert not backoff.zones_in_backoff(0.2)
    record_timeouts(backoff, "z", 2, 0.2)
    assert backoff.zones_in_backoff(0.2) == {"z"}


def test_an_accepted_connection_ends_the_backoff_of_its_zone() -> None:
    backoff = ZoneBackoff()
    record_timeouts(backoff, "z", 3)
    backoff.record_connected("z")
    assert not backoff.zones_in_backoff(0.0)
    record_timeouts(backoff, "z", 1)
    assert not backoff.zones_in_backoff(0.0)


def test_backoff_grows_to_a_bound_and_one_trial_goes_at_a_time() -> None:
    backoff = ZoneBackoff()
    record_timeouts(backoff, "z", 2)
    now = 0.0
    for _ in range(6):
        before = now
        while backoff.zones_in_backoff(now):
            now += 0.05
        assert BACKOFF_FIRST_S - 0.06 <= now - before <= BACKOFF_MAX_S + 0.06
        backoff.begin_trial("z", now)
        assert backoff.zones_in_backoff(now + TRIAL_S / 2) == {"z"}
        backoff.record_timeout("z", "again", now + 0.25)
        now += 0.25
    backoff.record_connected("z")
    assert not backoff.zones_in_backoff(now)


def test_a_trial_without_an_outcome_delays_others_for_a_moment_only() -> None:
    backoff = ZoneBackoff()
    record_timeouts(backoff, "z", 2)
    backoff.begin_trial("z", BACKOFF_FIRST_S)
    assert not backoff.zones_in_backoff(BACKOFF_FIRST_S + TRIAL_S + 0.01)


def test_a_zone_without_evidence_gets_no_backoff_from_a_request() -> None:
    backoff = ZoneBackoff()
    backoff.begin_trial("z", 0.0)
    record_timeouts(backoff, "z", 1)
    backoff.begin_trial("z", 0.0)
    assert not backoff.zones_in_backoff(0.0)


def chosen_zones(known: InstanceTable, placement: Placement, now: float, **given: object) -> set[str]:
    found = [placement.choose(placement_request(), (), now, **given) for _ in range(8)]  # type: ignore[arg-type]
    return {instance.zone for instance in found if instance}


def test_a_zone_in_backoff_comes_last_but_is_used_where_there_is_no_other() -> None:
    known = instances(entry("a"), entry("b", "n2"))
    placement = Placement(known, "north")
    record_timeouts(known.zone_backoff, "n1", 2)
    assert chosen_zones(known, placement, 0.1) == {"n2"}
    only = instances(entry("a"))
    record_timeouts(only.zone_backoff, "n1", 2)
    assert chosen_zones(only, Placement(only, "north"), 0.1) == {"n1"}


def test_a_request_leaves_a_region_in_which_a_connection_timed_out() -> None:
    known = instances(entry("a"), entry("b", "n2"), entry("c", "s1"))
    placement = Placement(known, "north")
    assert chosen_zones(known, placement, 0.1, unresponsive_regions={"north"}) == {"s1"}
    homes = placement.choose(placement_request(home_regions=("north",)), {"a"}, 0.1, {"north"})
    assert homes is not None
    assert homes.id == "b"


def test_the_mechanism_can_be_switched_off() -> None:
    policy = Policy(zone_rests=False)
    known = InstanceTable(ZONES, random.Random(1), policy)
    known.update(listed(entry("a"), entry("b", "n2"), entry("c", "s1")), 0.0, 0.0)
    record_timeouts(known.zone_backoff, "n1", 2)
    placement = Placement(known, "north", policy)
    assert chosen_zones(known, placement, 0.1, unresponsive_regions={"north"}) == {"n1", "n2"}
