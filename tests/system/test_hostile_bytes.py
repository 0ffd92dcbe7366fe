"""Hostile and mistaken bytes at every port of the control plane, a short run (`hostile_bytes`: more)."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from tests.system import hostile_bytes
from tests.system.hostile_bytes import Input, Target
from tests.system.virtual_deployment import CONTROL, DIRECTORY, PEER


@pytest.fixture(scope="module")
def target() -> Iterator[Target]:
    target = Target()
    yield target
    target.close()


@settings(
    phases=[Phase.generate],
    max_examples=15,
    deadline=None,
    database=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
@given(st.lists(hostile_bytes.inputs(), min_size=15, max_size=hostile_bytes.INPUTS_PER_EXAMPLE))
def test_no_input_stays_unanswered_or_ends_a_task(target: Target, batch: list[Input]) -> None:
    target.play(batch)


@pytest.mark.parametrize("port", [CONTROL, DIRECTORY])
def test_a_head_request_gets_a_response(target: Target, port: int) -> None:
    """Guards against a response with a body, which ended the task without any response."""
    target.play([Input("c1", port, (b"HEAD /api/status HTTP/1.1\r\nHost: h\r\n\r\n",))])
    address = (target.deployment.world.machines["c1"].ip, port)
    assert target.deployment.call(address, "HEAD", "/api/status").status == 404


@pytest.mark.parametrize("sender", ["nonsense", "10.4.0.1", "name:7720", "10.4.0.1:99999999999"])
def test_an_observer_without_an_address_holds_up_no_announcement(target: Target, sender: str) -> None:
    controller = target.deployment.controllers["c1"]
    target.play([Input("c1", PEER, (b'{"kind":"observer","from":"%s"}\n' % sender.encode(),))])
    assert sender not in controller.replica.observers.addresses()
