"""Selection of controllers: near ones are preferred, and failed ones are avoided during a backoff."""

from __future__ import annotations

import random

from brambleusher.membership.controllers import Controllers, Locality

HERE = Locality("n1", "north")


def test_near_controllers_come_first_and_far_ones_when_those_fail() -> None:
    controllers = Controllers(("far",), random.Random(3), HERE)
    controllers.set_announced(
        [
            ("far", Locality("s1", "south")),
            ("zone", Locality("n1", "north")),
            ("region", Locality("n2", "north")),
        ]
    )
    assert [controllers.acquire(0, 0.0), controllers.acquire(1, 0.0)] == ["zone", "region"]
    controllers.record_failure("zone", 0.0)
    assert controllers.acquire(0, 0.0) == "far"
    controllers.record_success("zone")
    assert controllers.acquire(0, 0.0) == "zone"


def test_a_poller_moves_once_a_nearer_controller_is_available() -> None:
    controllers = Controllers(("far",), random.Random(3), HERE)
    assert controllers.acquire(0, 0.0) == "far"
    assert not controllers.is_nearer_available(0, "far", 0.0)
    controllers.set_announced([("far", Locality("s1", "south")), ("zone", Locality("n1", "north"))])
    assert controllers.is_nearer_available(0, "far", 0.0)
    controllers.record_failure("zone", 0.0)
    assert not controllers.is_nearer_available(0, "far", 0.1)
    controllers.record_success("zone")
    assert controllers.acquire(0, 0.2) == "zone"
    assert not controllers.is_nearer_available(0, "zone", 0.2)
    assert controllers.acquire(1, 0.2) == "far"
    assert not controllers.is_nearer_available(1, "far", 0.2)  # the nearer controller is acquired by slot 0


def test_the_poller_with_the_nearest_controller_is_primary() -> None:
    controllers = Controllers(("far", "zone"), random.Random(3), HERE)
    controllers._acquired = {0: "far", 1: "zone"}
    assert controllers.has_nearest_controller(0)  # no locality is known yet
    assert not controllers.has_nearest_controller(1)
    controllers.set_announced([("far", Locality("s1", "south")), ("zone", Locality("n1", "north"))])
    assert controllers.has_nearest_controller(1)
    assert not controllers.has_nearest_controller(0)


def test_two_pollers_follow_two_controllers() -> None:
    controllers = Controllers(("a", "b", "c"), random.Random(3), HERE)
    assert controllers.acquire(0, 0.0) != controllers.acquire(1, 0.0)


def test_a_controller_that_failed_backs_off_and_one_is_always_found() -> None:
    controllers = Controllers(("a", "b", "c"), random.Random(3), HERE)
    acquired = controllers.acquire(1, 0.0)
    for name in {"a", "b", "c"} - {acquired}:
        controllers.record_failure(name, 0.0)
    assert controllers.acquire(0, 0.0) != acquired
    controllers.record_failure(acquired, 0.0)
    assert controllers.acquire(0, 0.1) in {"a", "b", "c"}


def test_seeds_are_never_forgotten() -> None:
    controllers = Controllers(("a",), random.Random(3), HERE)
    controllers.set_announced([("x", Locality()), ("y", Locality())])
    controllers.set_seeds(("b",))
    acquired = set()
    for number in range(40):
        address = controllers.acquire(0, float(number) * 10)
        controllers.record_failure(address, float(number) * 10)
        acquired.add(address)
    assert {"x", "y", "b"} <= acquired
