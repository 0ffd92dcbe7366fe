"""Proper orders of an operator at controllers and an observer whose disks or processes are slow."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import pytest

from brambleusher.controlplane import forwarding
from brambleusher.runtime.connection_timing import ConnectionTiming, RequestReadiness
from brambleusher.runtime.streams import Stream
from tests.system import held_up_plays
from tests.system.held_up_links import PATH
from tests.system.held_up_plays import CALLER_TIMEOUT_S, MACHINES
from tests.system.slow_machines import slow_down_disks, slow_down_steps
from tests.system.virtual_deployment import VirtualDeployment

PAUSE_S = 0.5  # between the response to an order and the next order


@pytest.fixture
def deployment() -> Iterator[VirtualDeployment]:
    deployment = VirtualDeployment(gateways=1, observers=1)
    deployment.served()
    deployment.sleep(3.0)
    yield deployment
    deployment.close()


@pytest.mark.parametrize("sync_s", [0.0, 0.2, 0.4, 0.5, 0.6])
def test_orders_are_taken_at_the_first_attempt_however_slow_the_disks_sync(
    deployment: VirtualDeployment, sync_s: float
) -> None:
    """Guards against orders that are proposed again and again while their first entry is being synced."""
    slow_down_disks(deployment, sync_s)
    send_orders(deployment)


@pytest.mark.parametrize("step_s", [0.01, 0.03, 0.05])
def test_orders_are_taken_at_the_first_attempt_however_slow_the_processes_step(
    deployment: VirtualDeployment, step_s: float
) -> None:
    """Guards against orders that get 503 as each step on their way takes long."""
    slow_down_steps(deployment, step_s)
    send_orders(deployment)


def send_orders(deployment: VirtualDeployment) -> None:
    """Send orders one after the other, each to another machine, and check that each is taken in time."""
    for at in range(16):
        method = ("POST", "DELETE")[at % 2]
        reply = deployment.control(MACHINES[at % 4], method, PATH, timeout_s=CALLER_TIMEOUT_S)
        assert reply.status == 200, (at, reply)
        deployment.sleep(PAUSE_S)


@pytest.mark.parametrize("seed", range(12))
def test_no_play_of_a_held_up_order_breaks_a_rule(seed: int) -> None:
    held_up_plays.play(seed)


def believe_the_system(patch: pytest.MonkeyPatch) -> None:
    """Inject the former fault: what the system tells of a connection's age counts without a bound."""

    def of_accepted(
        self: ConnectionTiming, stream: Stream, accepted_at: float, _queued_after: float
    ) -> RequestReadiness:
        system = self._scheduler.system
        return RequestReadiness(
            accepted_at, system.seconds_since_data(stream.sock), system.seconds_to_open(stream.sock)
        )

    patch.setattr(ConnectionTiming, "of_accepted", of_accepted)


def give_up_early(patch: pytest.MonkeyPatch) -> None:
    """Inject the former fault: a leader gives a command up while it is being synced."""
    patch.setattr(forwarding, "COMMAND_TIMEOUT_S", 0.45)


@pytest.mark.parametrize("fault", [believe_the_system, give_up_early])
def test_plays_of_held_up_orders_find_it(
    fault: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    fault(monkeypatch)
    with pytest.raises(held_up_plays.PlayFailedError):
        for seed in range(60):
            held_up_plays.play(seed)
