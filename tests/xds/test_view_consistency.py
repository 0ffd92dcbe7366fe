"""Tests of when a control service may publish a view."""

from __future__ import annotations

from brambleusher.loadbalancing.view_consistency import (
    PeerStatus,
    ViewConsistency,
    ViewPosition,
    WithheldReason,
)
from tests.xds.control_builders import AT_FIVE, SECOND


def new_consistency(floor: ViewPosition | None = AT_FIVE) -> ViewConsistency:
    return ViewConsistency(floor, 0, timeout_ns=3 * SECOND, subscribers_wait_ns=2 * SECOND)


def test_nothing_goes_out_before_it_is_known_to_be_the_present_and_written() -> None:
    consistency = new_consistency()
    assert consistency.withheld_reason(0) is WithheldReason.NO_DISCOVERY
    consistency.record_discovery(ViewPosition(1, 4), 0)
    assert consistency.withheld_reason(0) is WithheldReason.BEHIND
    assert consistency.position_to_write() is None  # a position older than the floor is never written
    consistency.record_discovery(ViewPosition(1, 6), 0)
    assert (
        consistency.withheld_reason(0) is WithheldReason.NOT_DURABLE
        and consistency.withheld_reason(0, has_only_removals=True) is None
    )
    consistency.record_written(ViewPosition(1, 6))
    assert consistency.withheld_reason(0) is None
    assert consistency.withheld_reason(3 * SECOND + 1) is WithheldReason.ISOLATED
    consistency.record_subscriber_position(ViewPosition(1, 7))
    assert consistency.withheld_reason(0) is WithheldReason.BEHIND
    consistency.record_discovery(ViewPosition(2, 1), 0)  # a higher epoch precedes any version
    consistency.record_written(ViewPosition(2, 1))
    assert consistency.withheld_reason(0) is None


def test_another_instance_vouches_or_shows_that_this_one_is_behind() -> None:
    consistency = new_consistency()
    consistency.record_discovery(ViewPosition(1, 6), 0)
    consistency.record_written(ViewPosition(1, 6))
    consistency.record_discovery_disconnect()
    assert consistency.withheld_reason(0) is WithheldReason.ISOLATED
    consistency.record_peer_status(
        "b", PeerStatus(ViewPosition(1, 6), ViewPosition(1, 5), is_connected=False), 0
    )
    # The peer is disconnected from discovery too.
    assert consistency.withheld_reason(0) is WithheldReason.ISOLATED
    consistency.record_peer_status(
        "b", PeerStatus(ViewPosition(1, 6), ViewPosition(1, 6), is_connected=True), 0
    )
    assert (
        consistency.withheld_reason(0) is None
        and consistency.withheld_reason(3 * SECOND + 1) is WithheldReason.ISOLATED
    )
    consistency.record_peer_status(
        "b", PeerStatus(ViewPosition(1, 7), ViewPosition(1, 6), is_connected=True), 0
    )
    assert consistency.withheld_reason(0) is WithheldReason.BEHIND


def test_with_a_store_that_was_lost_claims_are_awaited() -> None:
    consistency = new_consistency(None)
    consistency.record_discovery(ViewPosition(1, 6), 0)
    consistency.record_written(ViewPosition(1, 6))
    assert consistency.withheld_reason(SECOND) is WithheldReason.AWAITING_SUBSCRIBERS
    assert consistency.withheld_reason(2 * SECOND) is None
