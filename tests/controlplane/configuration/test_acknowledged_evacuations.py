"""Orders that were sent before an acknowledged one that changed nothing."""

from __future__ import annotations

import pytest

from brambleusher.controlplane.configuration.acknowledged_evacuations import AcknowledgedEvacuations
from brambleusher.controlplane.configuration.commands import SetEvacuation
from brambleusher.controlplane.configuration.state_machine import SharedState

STATE = SharedState(index=5, evacuated_zones=["a", "b"], zone_change_index={"a": 5, "b": 4})


@pytest.mark.parametrize(
    ("zone", "is_evacuated", "applied_index", "is_overtaken"),
    [
        ("a", False, 19, True),
        ("a", False, 20, False),
        ("a", False, None, False),  # written by a version that records no index
        ("a", True, 19, False),  # repeats the state
        ("a", False, 4, False),  # outdated by the state itself
        ("b", False, 19, False),  # another zone
        ("b", False, 9, True),  # older than the leader's term
    ],
)
def test_an_order_is_overtaken_by_a_later_repeat_and_by_a_new_term(
    zone: str, is_evacuated: bool, applied_index: int | None, is_overtaken: bool
) -> None:
    acknowledged = AcknowledgedEvacuations()
    acknowledged.begin_term(3, 10)
    acknowledged.record_repeated("a", 20)
    acknowledged.begin_term(3, 30)
    command = SetEvacuation(zone, is_evacuated, applied_index)
    assert acknowledged.is_overtaken(command, STATE) is is_overtaken
