"""Tests that a gateway detects a disconnected client, whatever bytes the client pipelined."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import suppress

import pytest

from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import SHUTDOWN_WRITE
from tests.system.virtual_deployment import FRONT, VirtualDeployment, configuration, route

LEAVES_AFTER_S = 0.3  # seconds between the request and the disconnect of its client
NOTICE_MAX_S = 0.1  # seconds from the disconnect until the instance is notified
DEADLINE_S = 4.0  # deadline of the route in seconds
KB = 1024
AHEAD = {"nothing": 0, "15 KB": 15 * KB, "17 KB": 17 * KB, "300 KB": 300 * KB}
IN_FLIGHT = "brambleusher_gateway_attempts_in_flight"
ACTIVE = "brambleusher_gateway_active_requests"


@pytest.fixture
def deployment() -> Iterator[VirtualDeployment]:
    made = VirtualDeployment(gateways=1)
    for name, zone in (("a", "n1"), ("b", "n2")):
        made.add_instance(name, zone=zone)
    made.add_instance("d", "desk", "n1")
    desk = route("/d/", kind="idempotent", resumable=False, affine=False, tries=2, service="desk")
    made.served(configuration(1, route(), desk))
    made.sleep(6.0)  # wait until the instances are warm
    yield made
    made.close()


def encoded(attempt: str, body: bytes = b"", target: str = "/s/x") -> bytes:
    """Return a request as bytes."""
    lines = (
        f"POST {target} HTTP/1.1",
        "Host: h",
        f"X-Attempt-Id: {attempt}",
        f"Content-Length: {len(body)}",
        "",
        "",
    )
    return "\r\n".join(lines).encode() + body


def leave(stream: Stream, how: str) -> None:
    """End a connection in one of the ways in which clients do."""
    if how == "reset":
        stream.scheduler.system.reset(stream.sock)
        stream.open = False
    elif how == "half-closed":
        stream.sock.shutdown(SHUTDOWN_WRITE)
        stream.scheduler.sleep(DEADLINE_S)
        stream.close()
    else:
        stream.close()


def start_client(deployment: VirtualDeployment, request: bytes, ahead: bytes, how: str) -> None:
    """Start a client that sends a request and pipelined bytes, then disconnects after `LEAVES_AFTER_S`."""

    def run(scheduler: Scheduler) -> None:
        leaves_at = scheduler.now() + LEAVES_AFTER_S
        stream = Stream.connect(scheduler, (deployment.world.machines["g1"].ip, FRONT), leaves_at)
        with suppress(TaskTimeoutError):  # the gateway may not read all pipelined bytes
            stream.send(request + ahead, leaves_at)
        scheduler.sleep(leaves_at - scheduler.now())
        leave(stream, how)
        scheduler.stop()

    deployment.caller.serve(lambda scheduler: scheduler.spawn(run, scheduler), "raw")


def bytes_ahead(what: str) -> bytes:
    """Return pipelined bytes: the start of a request with a long body, or a complete request."""
    if what == "pipelined request":
        return encoded("ahead")
    size = AHEAD[what]
    return encoded("ahead", b"x" * 2 * size)[:size] if size else b""


def assert_run_ended_soon(deployment: VirtualDeployment, attempt: str) -> None:
    (arrival,) = deployment.arrivals(attempt)
    assert arrival.cancelled_at is not None
    assert arrival.cancelled_at - arrival.at - LEAVES_AFTER_S < NOTICE_MAX_S
    metrics = deployment.metrics("g1")
    assert [metrics[name] for name in (ACTIVE, IN_FLIGHT)] == [0, 0]
    assert deployment.arrivals("ahead") == []


@pytest.mark.parametrize("what", [*AHEAD, "pipelined request"])
@pytest.mark.parametrize("how", ["closed", "reset", "half-closed"])
@pytest.mark.parametrize("state", ["waiting for a head", "streaming"])
def test_a_run_ends_with_its_client_behind_bytes_sent_ahead(
    deployment: VirtualDeployment, state: str, how: str, what: str
) -> None:
    for instance in deployment.stub_instances.values():
        instance.is_unresponsive = state == "waiting for a head"
        instance.slows_after_events = 1
    start_client(deployment, encoded("gone"), bytes_ahead(what), how)
    deployment.sleep(LEAVES_AFTER_S + 0.5)
    assert_run_ended_soon(deployment, "gone")


@pytest.mark.parametrize("what", [*AHEAD, "pipelined request"])
def test_the_run_of_a_client_without_power_ends_by_the_deadline(
    deployment: VirtualDeployment, what: str
) -> None:
    """Without power the client's connection is never closed, so only the deadline ends the run."""
    for instance in deployment.stub_instances.values():
        instance.is_unresponsive = True
    start_client(deployment, encoded("gone"), bytes_ahead(what), "closed")
    deployment.sleep(LEAVES_AFTER_S / 2)
    deployment.world.machines["caller"].vanish()
    deployment.sleep(2 * DEADLINE_S + 0.5)  # a pipelined request is served next, until its own deadline
    for attempt in ("gone", "ahead") if what == "pipelined request" else ("gone",):
        arrivals = deployment.arrivals(attempt)
        assert arrivals
        for arrival in arrivals:
            assert arrival.cancelled_at is not None
            assert arrival.cancelled_at - arrivals[0].at < DEADLINE_S + NOTICE_MAX_S
    gateway = deployment.gateways["g1"]
    assert not any(gateway.instances.weights["llm"].attempts_in_flight(name) for name in "ab")
