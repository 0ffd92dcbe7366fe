"""Tests of the instance table: status, evacuations, warm-up and back-off."""

from __future__ import annotations

from brambleusher.dataplane.instance import InstanceStatus
from brambleusher.dataplane.instance_table import WARM_UP_MARGIN_S
from tests.dataplane.dataplane_builders import entry, instances, listed, usable


def test_draining_and_removed_instances_are_unusable_and_stay_so() -> None:
    known = instances(entry("a"), entry("b"), entry("c"))
    kept = known.for_service("llm")
    left = known.update(listed(entry("a", state="draining"), entry("b")), 1.0, 1.0)
    assert {instance.id: instance.status for instance in left} == {
        "a": InstanceStatus.DRAINING,
        "c": InstanceStatus.REMOVED,
    }
    assert usable(known) == {"b"}
    known.update(listed(entry("a"), entry("b")), 2.0, 2.0)
    assert usable(known) == {"b"}
    assert next(each for each in kept if each.id == "c").status is InstanceStatus.REMOVED


def test_home_regions_and_evacuations_limit_the_usable_instances() -> None:
    known = instances(entry("a"), entry("b", "n2"), entry("c", "s1"))
    assert usable(known, home_regions=("north",)) == {"a", "b"}
    known.set_evacuated_zones(frozenset({"n1"}), 0.0)
    assert usable(known, home_regions=("north",)) == {"b"}
    assert usable(known) == {"b", "c"}


def test_instances_of_the_first_list_are_warm_and_later_ones_are_not() -> None:
    known = instances(entry("a"))
    known.update(listed(entry("a"), entry("b")), 1.0, 1.0)
    by_name = {instance.id: instance for instance in known.for_service("llm")}
    assert not known.is_warming_up(by_name["a"], 1.0)
    assert known.is_warming_up(by_name["b"], 1.0)
    assert not known.is_warming_up(by_name["b"], 1.0 + 3.0 + WARM_UP_MARGIN_S + 0.1)


def test_the_warm_up_time_on_the_list_counts() -> None:
    known = instances(entry("a", warmup_ms=2500))
    assert known.is_warming_up(known.for_service("llm")[0], 2.4)


def test_a_zone_that_is_taken_back_is_warming_up() -> None:
    known = instances(entry("a"), entry("b", "n2"))
    known.set_evacuated_zones(frozenset({"n1"}), 0.0)
    known.set_evacuated_zones(frozenset(), 5.0)
    cold = {instance.id for instance in known.for_service("llm") if known.is_warming_up(instance, 5.1)}
    assert cold == {"a"}


def test_an_instance_that_accepts_no_connection_backs_off_longer_each_time() -> None:
    known = instances(entry("a"))
    instance = known.for_service("llm")[0]
    backoffs = []
    for _ in range(6):
        instance.record_connect_failure(10.0)
        backoffs.append(instance.backoff_until_s - 10.0)
    assert backoffs == sorted(backoffs)
    assert backoffs[-1] == 2.0
    assert usable(known, 10.0) == set()
    instance.record_connected()
    assert usable(known, 10.0) == {"a"}
