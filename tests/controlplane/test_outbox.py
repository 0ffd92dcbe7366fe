"""Consensus messages are delivered in order, and only after their records are durable."""

from __future__ import annotations

from dataclasses import replace

from brambleusher.controlplane.consensus.outputs import Outgoing
from brambleusher.controlplane.outbox import ADDRESSES_MAX, Outbox, ReplicaAddresses
from brambleusher.wire import consensus_messages as wire
from brambleusher.wire.consensus_messages import Member

MEMBER = Member("b", "10.0.0.2:1", "10.0.0.2:2", "z", True)


def message(after_record: int, term: int) -> Outgoing:
    return Outgoing(MEMBER, wire.TransferLeadership(term, "a"), after_record)


def test_messages_wait_for_their_records_and_keep_their_order() -> None:
    delivered: list[Outgoing] = []
    outbox = Outbox(delivered.append)
    at_once, first, second, third = message(0, 1), message(3, 2), message(5, 3), message(6, 4)
    for each in (first, second, third, at_once):
        outbox.post(each, synced_number=2)
    assert delivered == [at_once]
    outbox.deliver_synced(5)
    assert delivered == [at_once, first, second]
    outbox.deliver_synced(6)
    assert delivered == [at_once, first, second, third]


def test_a_member_without_an_address_is_reached_where_its_messages_came_from() -> None:
    addresses = ReplicaAddresses()
    unknown = replace(MEMBER, id="c", address="")
    assert addresses.address_of(unknown) == ""
    addresses.record("c", "10.0.0.3:1")
    assert addresses.address_of(unknown) == "10.0.0.3:1"
    assert addresses.address_of(MEMBER) == "10.0.0.2:1"


def test_recorded_addresses_are_bounded_and_the_oldest_go_first() -> None:
    addresses = ReplicaAddresses()
    for number in range(ADDRESSES_MAX + 1):
        addresses.record(f"r{number}", f"10.0.0.3:{number}")
    assert len(addresses.addresses()) == ADDRESSES_MAX
    assert addresses.address_of(replace(MEMBER, id="r0", address="")) == ""
