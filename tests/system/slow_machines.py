"""Makes the disks and the processes of a virtual deployment's control plane slow."""

from __future__ import annotations

from dataclasses import replace
from functools import partial

import greenlet

from tests.system.virtual_deployment import SECOND, VirtualDeployment


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
