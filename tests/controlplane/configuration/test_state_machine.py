"""The state machine of the configuration group: commands, verdicts, and the storage format of the state."""

from __future__ import annotations

import pytest

from brambleusher.controlplane.configuration.commands import (
    PutConfiguration,
    SetEvacuation,
    Verdict,
    command_from_json,
)
from brambleusher.controlplane.configuration.state_machine import SharedState
from brambleusher.wire.errors import InvalidMessageError
from tests.system.virtual_deployment import configuration

BODY = configuration(4)


def test_without_its_applied_index_a_delayed_copy_would_act() -> None:
    state = SharedState()
    assert state.apply(5, SetEvacuation("n1", True, 4)) is Verdict.ACCEPTED
    assert state.apply(6, SetEvacuation("n1", True, 4)) is Verdict.REPEATED
    assert state.apply(7, SetEvacuation("n1", False, 6)) is Verdict.ACCEPTED
    assert state.apply(8, SetEvacuation("n1", True, 4)) is Verdict.OUTDATED
    assert state.apply(8, SetEvacuation("n2", True, 4)) is Verdict.ACCEPTED
    again = SharedState.from_json(state.as_json())
    assert again.apply(9, SetEvacuation("n1", True, 6)) is Verdict.OUTDATED
    assert again.apply(9, SetEvacuation("n1", True)) is Verdict.ACCEPTED


def test_state_and_commands_of_the_version_before_are_read() -> None:
    written = {"index": 3, "revision": 2, "packed": "", "digests": [], "evacuated": ["n1"]}
    assert SharedState.from_json(written).evacuated_zones == ["n1"]
    assert command_from_json({"op": "evacuate", "zone": "n1", "evacuated": False}) == SetEvacuation(
        "n1", False
    )
    command = SetEvacuation("n1", True, 7)
    assert command_from_json(command.as_json()) == command


def test_a_command_without_a_body_never_comes_into_force() -> None:
    """It only checks whether the patch was accepted before, since its base may become current meanwhile."""
    state = SharedState()
    assert state.apply(1, PutConfiguration.from_body(0, 4, BODY)) is Verdict.ACCEPTED
    question = PutConfiguration.from_patch(4, 5, b"patch", None)
    assert state.apply(2, question) is Verdict.STALE
    assert state.revision == 4
    assert state.apply(3, PutConfiguration.from_patch(4, 5, b"patch", BODY)) is Verdict.ACCEPTED
    assert state.apply(4, question) is Verdict.REPEATED


def test_a_patch_and_a_configuration_of_the_same_bytes_have_different_digests() -> None:
    assert (
        PutConfiguration.from_body(1, 2, b"x").digest != PutConfiguration.from_patch(1, 2, b"x", b"y").digest
    )


def test_a_state_with_an_unknown_key_is_rejected() -> None:
    """The content of a later version's key would be lost with the next snapshot."""
    with pytest.raises(InvalidMessageError, match="later"):
        SharedState.from_json({**SharedState().as_json(), "later": 1})


def test_a_state_keeps_its_form() -> None:
    stored = {
        "index": 9,
        "revision": 3,
        "packed": "p",
        "digests": ["d"],
        "evacuated": ["n1"],
        "zones_changed": {"n1": 9},
    }
    state = SharedState.from_json(stored)
    assert list(state.as_json().items()) == list(stored.items())
    assert SharedState.from_json(None) == SharedState()
