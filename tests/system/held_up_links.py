"""Evacuation orders that a link holds up on their way to a machine of a virtual deployment."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.streams import Stream
from tests.system.virtual_deployment import CONTROL, VirtualDeployment

ZONE = "n1"
PATH = f"/api/evacuations/{ZONE}"
HELD_UP_S = 3.0


@dataclass(frozen=True)
class Link:
    """How a link passes on a connection that it holds up.

    Attributes:
        opening_is_held_up: Whether the connection opens only once the link passes bytes again.
        carried_an_order: Whether the connection has carried an earlier order.
        end_after_s: How long after the order the end of the connection arrives; None if the caller keeps the
            connection open.
    """

    opening_is_held_up: bool = False
    carried_an_order: bool = False
    end_after_s: float | None = None


def request(method: str, path: str = PATH) -> bytes:
    return f"{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n".encode()


def run_as_caller(deployment: VirtualDeployment, run: Callable[[Scheduler], object]) -> None:
    deployment.caller.serve(lambda scheduler: scheduler.spawn(run, scheduler), "caller")


def hold_up(
    deployment: VirtualDeployment, machine: str, method: str, link: Link, held_up_s: float = HELD_UP_S
) -> None:
    """Send an order now; it arrives `held_up_s` later, and the end of its connection as the link has it."""
    address = (deployment.world.machines[machine].ip, CONTROL)

    def run(scheduler: Scheduler) -> None:
        arrives_at = scheduler.now() + held_up_s
        stream: Stream | None = None
        if not link.opening_is_held_up:
            stream = Stream.connect(scheduler, address, arrives_at)
            if link.carried_an_order:
                stream.send(request("POST" if method == "DELETE" else "DELETE"), arrives_at)
                assert b" 200 " in (stream.receive(arrives_at) or b"")
        scheduler.sleep(arrives_at - scheduler.now())
        stream = stream or Stream.connect(scheduler, address, arrives_at + 1.0)
        stream.send(request(method), arrives_at + 1.0)
        if link.end_after_s is None:
            stream.receive(arrives_at + 5.0)
        else:
            scheduler.sleep(link.end_after_s)
        stream.close()

    run_as_caller(deployment, run)
