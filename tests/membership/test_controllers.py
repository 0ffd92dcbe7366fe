"""Selection of controllers: near ones are preferred, and failed ones are avoided during a backoff."""

from __future__ import annotations

import random

from brambleusher.membership.controllers import Controllers, Locality

HERE = Locality("n1", "north")


def test_near_controllers_come_first_and_far_ones_when_those_fail() -> None:
    known = Controllers(("far",), random.Random(3), HERE)
    known.set_announced(
        [
            ("far", Locality("s1", "south")),
            ("zone", Locality("n1", "north")),
            ("region", Locality("n2", "north")),
        ]
    )
    assert [known.acquire(0, 0.0), known.acquire(1, 0.0)] == ["zone", "region"]
    known.record_failure("zone", 0.0)
    assert known.acquire(0, 0.0) == "far"
    known.record_success("zone")
    assert known.acquire(0, 0.0) == "zone"


def test_a_poller_moves_once_a_nearer_controller_is_available() -> None:
    known = Controllers(("far",), random.Random(3), HERE)
    assert known.acquire(0, 0.0) == "far"
    assert not known.is_nearer_available(0, "far", 0.0)
    known.set_announced([("far", Locality("s1", "south")), ("zone", Locality("n1", "north"))])
    assert known.is_nearer_available(0, "far", 0.0)
    known.record_failure("zone", 0.0)
    assert not known.is_nearer_available(0, "far", 0.1)
    known.record_success("zone")
    assert known.acquire(0, 0.2) == "zone"
    assert not known.is_nearer_available(0, "zone", 0.2)
    assert known.acquire(1, 0.2) == "far"
    assert not known.is_nearer_available(1, "far", 0.2)  # the nearer controller is acquired by slot 0


def test_the_poller_with_the_nearest_controller_is_primary() -> None:
    known = Controllers(("far", "zone"), random.Random(3), HERE)
    known._acquired = {0: "far", 1: "zone"}
    assert known.has_nearest_controller(0)  # no locality is known yet
    assert not known.has_nearest_controller(1)
    known.set_announced([("far", Locality("s1", "south")), ("zone", Locality("n1", "north"))])
    assert known.has_nearest_controller(1)
    assert not known.has_nearest_controller(0)


def test_two_pollers_follow_two_controllers() -> None:
    known = Controllers(("a", "b", "c"), random.Random(3), HERE)
    assert known.acquire(0, 0.0) != known.acquire(1, 0.0)


def test_a_controller_that_failed_backs_off_and_one_is_always_found() -> None:
    known = Controllers(("a", "b", "c"), random.Random(3), HERE)
    held = known.acquire(1, 0.0)
    for name in {"a", "b", "c"} - {held}:
        known.record_failure(name, 0.0)
    assert known.acquire(0, 0.0) != held
    known.record_failure(held, 0.0)
    assert known.acquire(0, 0.1) in {"a", "b", "c"}


def test_seeds_are_never_forgotten() -> None:
    known = Controllers(("a",), random.Random(3), HERE)
    known.set_announced([("x", Locality()), ("y", Locality())])
    known.set_seeds(("b",))
    taken = set()
    for number in range(40):
        address = known.acquire(0, float(number) * 10)
        known.record_failure(address, float(number) * 10)
        taken.add(address)
    assert {"x", "y", "b"} <= taken
