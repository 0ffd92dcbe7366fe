"""The observers that a controller has heard of: the bound on their number, and who gets an announcement."""

from __future__ import annotations

import pytest

from brambleusher.controlplane.known_observers import (
    ANNOUNCEMENT_INTERVAL_S,
    ANNOUNCEMENTS_MAX,
    FORGOTTEN_AFTER_S,
    OBSERVERS_MAX,
    KnownObservers,
)
from brambleusher.wire.errors import InvalidMessageError


def test_only_a_new_address_is_a_change() -> None:
    observers = KnownObservers(["10.0.0.1:1"])
    assert not observers.record_introduction("10.0.0.1:1", 0.0)
    assert observers.record_introduction("10.0.0.2:1", 0.0)
    assert not observers.record_introduction("10.0.0.2:1", 1.0)
    assert observers.addresses() == ("10.0.0.1:1", "10.0.0.2:1")


def test_stored_and_new_observers_get_an_announcement_at_once_and_again_after_an_interval() -> None:
    observers = KnownObservers(["10.0.0.1:1", "10.0.0.2:1"])
    assert observers.take_due(0.0) == ["10.0.0.1:1", "10.0.0.2:1"]
    observers.record_introduction("10.0.0.3:1", 0.5)
    assert observers.take_due(0.5) == ["10.0.0.3:1"]
    assert observers.take_due(1.0) == []
    assert observers.take_due(ANNOUNCEMENT_INTERVAL_S) == ["10.0.0.1:1", "10.0.0.2:1"]


def test_of_many_observers_each_gets_its_turn() -> None:
    observers = KnownObservers(f"10.0.1.{at}:1" for at in range(OBSERVERS_MAX))
    rounds = [observers.take_due(at * 0.6) for at in range(OBSERVERS_MAX // ANNOUNCEMENTS_MAX)]
    assert all(len(due) == ANNOUNCEMENTS_MAX for due in rounds)
    assert {address for due in rounds for address in due} == set(observers.addresses())


def test_the_longest_silent_observer_gives_way_to_a_new_one_and_none_that_is_there_does() -> None:
    observers = KnownObservers(f"10.0.1.{at}:1" for at in range(OBSERVERS_MAX + 5))
    assert len(observers.addresses()) == OBSERVERS_MAX
    for at in range(1, OBSERVERS_MAX):
        observers.record_introduction(f"10.0.1.{at}:1", 1.0)
    assert observers.record_introduction("10.0.2.1:1", 1.0)
    assert "10.0.1.0:1" not in observers.addresses()
    assert not observers.record_introduction("10.0.2.2:1", 1.0)
    assert not observers.record_introduction("10.0.2.2:1", FORGOTTEN_AFTER_S)
    assert observers.record_introduction("10.0.2.2:1", FORGOTTEN_AFTER_S + 1.0)
    assert len(observers.addresses()) == OBSERVERS_MAX


@pytest.mark.parametrize(
    "address",
    [
        "",
        "10.0.0.1",
        "10.0.0.1:",
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.1:" + "9" * 5000,
        "name:1",
        ":1",
        "\0:1",
        "a" * 9000 + ":1",
    ],
)
def test_an_address_that_nobody_can_connect_to_is_an_error_and_not_stored(address: str) -> None:
    """Guards against a task of the controller that fails for ever, as it is told to connect there."""
    observers = KnownObservers([])
    with pytest.raises(InvalidMessageError):
        observers.record_introduction(address, 0.0)
    assert observers.addresses() == ()
