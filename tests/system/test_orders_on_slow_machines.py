"""Proper orders of an operator at controllers and an observer whose disks or links are slow."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from functools import partial

import greenlet
import pytest

from tests.system.virtual_deployment import SECOND, VirtualDeployment

PATH = "/api/evacuations/n1"
CALLER_TIMEOUT_S = 1.0  # PROTOCOL.md, the operator's API: a second of silence
PAUSE_S = 0.5  # between the response to an order and the next order
MACHINES = ("c1", "c2", "c3", "o1")


@pytest.fixture
def deployment() -> Iterator[VirtualDeployment]:
    deployment = VirtualDeployment(gateways=1, observers=1)
    deployment.served()
    deployment.sleep(3.0)
    yield deployment
    deployment.close()


def slow_down_disks(deployment: VirtualDeployment, sync_s: float) -> None:
    """Make every sync of the controllers' disks, which their workers wait for, take a number of seconds."""
    for name, disk in deployment.disks.items():
        disk.before = partial(before_change, deployment, name, sync_s)


def before_change(deployment: VirtualDeployment, machine: str, sync_s: float, _count: int, what: str) -> None:
    """Suspend the worker that is about to sync, while the process goes on."""
    world, process, worker = deployment.world, deployment.process(machine), greenlet.getcurrent()

    def resume() -> None:
        world.current = process
        worker.switch()
        world.current = None

    if what == "sync":
        world.push(world.now_ns + int(sync_s * SECOND), resume)
        world.current = None
        world.main_greenlet.switch()


def slow_down_steps(deployment: VirtualDeployment, step_s: float) -> None:
    """Make every process of the control plane poll only once in a number of seconds."""
    step_ns = int(step_s * SECOND)
    for name in (*deployment.controllers, *deployment.observers):
        process = deployment.process(name)
        process._pace = replace(process._pace, poll_interval_ns=(step_ns, step_ns))


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
