"""The observers that a controller has heard of: contacts, the bound on their number, and who is silent."""

from __future__ import annotations

import random

from brambleusher.controlplane.known_observers import FORGOTTEN_AFTER_S, OBSERVERS_MAX, KnownObservers

SILENT_S = 3.0


def known(*stored: str) -> KnownObservers:
    return KnownObservers(stored, random.Random(1))


def test_stored_observers_are_silent_until_there_is_contact() -> None:
    observers = known("a:1", "b:1")
    assert sorted(observers.sample_silent(0.0, SILENT_S, 8)) == ["a:1", "b:1"]
    assert not observers.record_contact("a:1", 0.0)
    assert observers.sample_silent(1.0, SILENT_S, 8) == ["b:1"]
    assert sorted(observers.sample_silent(SILENT_S, SILENT_S, 8)) == ["a:1", "b:1"]


def test_only_a_new_address_is_a_change() -> None:
    observers = known()
    assert observers.record_contact("a:1", 0.0)
    assert not observers.record_contact("a:1", 1.0)
    assert observers.addresses() == ("a:1",)


def test_no_more_silent_observers_are_returned_than_asked_for() -> None:
    observers = known(*(f"{at}:1" for at in range(20)))
    drawn = {address for _ in range(200) for address in observers.sample_silent(0.0, SILENT_S, 4)}
    assert len(observers.sample_silent(0.0, SILENT_S, 4)) == 4
    assert len(drawn) == 20


def test_the_longest_silent_observer_gives_way_to_a_new_one_and_none_in_contact_does() -> None:
    observers = known(*(f"{at}:1" for at in range(OBSERVERS_MAX + 5)))
    assert len(observers.addresses()) == OBSERVERS_MAX
    for at in range(1, OBSERVERS_MAX):
        observers.record_contact(f"{at}:1", 1.0)
    assert observers.record_contact("new:1", 1.0)
    assert "0:1" not in observers.addresses()
    assert not observers.record_contact("newer:1", 1.0)
    assert not observers.record_contact("newer:1", FORGOTTEN_AFTER_S)
    assert observers.record_contact("newer:1", FORGOTTEN_AFTER_S + 1.0)
    assert len(observers.addresses()) == OBSERVERS_MAX
