"""Tests that responses of any size come complete, or visibly incomplete, without memory of their size."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from brambleusher.dataplane.response_relay import BUFFERED_MAX_BYTES
from tests.system.virtual_deployment import VirtualDeployment, configuration, route

KB = 1024
WARM_S = 6.0  # time after which instances are warm
LARGE_BYTES = 3 * BUFFERED_MAX_BYTES
MUTATING = route("/m/", service="desk", kind="mutating", resumable=False, affine=False, tries=1)
IDEMPOTENT = route("/i/", service="desk", kind="idempotent", resumable=False, affine=False, tries=2)
PREFIXES = ("/m/", "/i/")


@pytest.fixture
def deployment() -> Iterator[VirtualDeployment]:
    made = VirtualDeployment(gateways=1)
    made.add_instance("d1", "desk", "n1")
    made.add_instance("d2", "desk", "n2")
    made.served(configuration(1, MUTATING, IDEMPOTENT))
    made.sleep(WARM_S)
    yield made
    made.close()


def set_bodies(deployment: VirtualDeployment, size: int, breaks_off_after: int | None = None) -> None:
    for instance in deployment.stub_instances.values():
        instance.body_bytes, instance.breaks_off_after_bytes = size, breaks_off_after


def buffered_bytes(deployment: VirtualDeployment) -> int:
    return deployment.gateways["g1"].response_memory.reserved_bytes


@pytest.mark.parametrize("prefix", PREFIXES)
@pytest.mark.parametrize("size", [100, 100 * KB, BUFFERED_MAX_BYTES - 100, LARGE_BYTES])
def test_a_response_comes_complete_with_its_length(
    deployment: VirtualDeployment, prefix: str, size: int
) -> None:
    set_bodies(deployment, size)
    reply = deployment.request("g1", prefix + "x", attempt="large")
    (arrival,) = deployment.arrivals("large")
    assert (reply.status, reply.is_complete) == (200, True)
    assert reply.body == f"{arrival.instance} ran large".encode() + b"." * size
    assert reply.headers["content-length"] == str(len(reply.body))
    assert buffered_bytes(deployment) == 0


# Guards against a gateway that runs out of memory because it keeps each response until it is complete.
def test_responses_buffer_no_more_than_the_memory_of_all(deployment: VirtualDeployment) -> None:
    memory = deployment.gateways["g1"].response_memory
    memory.limit_bytes = 200 * KB
    set_bodies(deployment, LARGE_BYTES)
    replies = [deployment.start_request("g1", "/m/x", attempt=f"r{at}") for at in range(6)]
    most = 0
    while not all(reply.error for reply in replies):
        deployment.sleep(0.0005)
        most = max(most, memory.reserved_bytes)
    assert 0 < most <= 200 * KB
    assert all(reply.is_complete and len(reply.body) > LARGE_BYTES for reply in replies)
    assert memory.reserved_bytes == 0


@pytest.mark.parametrize("prefix", PREFIXES)
def test_a_large_response_that_breaks_off_looks_incomplete(
    deployment: VirtualDeployment, prefix: str
) -> None:
    set_bodies(deployment, LARGE_BYTES, breaks_off_after=2 * BUFFERED_MAX_BYTES)
    reply = deployment.request("g1", prefix + "x", attempt="cut")
    assert reply.status == 200
    assert not reply.is_complete
    assert len(deployment.arrivals("cut")) == 1
    assert buffered_bytes(deployment) == 0


def test_a_small_response_that_breaks_off_is_requested_again(deployment: VirtualDeployment) -> None:
    set_bodies(deployment, 200 * KB, breaks_off_after=100 * KB)
    deployment.stub_instances["d1"].breaks_off_after_bytes = None
    for attempt in ("one", "two", "three", "four"):
        reply = deployment.request("g1", "/i/x", attempt=attempt)
        assert (reply.status, reply.is_complete) == (200, True)
        assert reply.body.startswith(b"d1 ran")
    assert deployment.stub_instances["d2"].arrivals


@pytest.mark.parametrize(("prefix", "is_finished"), [("/m/", True), ("/i/", False)])
def test_only_a_large_response_to_a_request_that_may_run_once_is_read_on_without_its_client(
    deployment: VirtualDeployment, prefix: str, is_finished: bool
) -> None:
    set_bodies(deployment, 10 * BUFFERED_MAX_BYTES)
    reply = deployment.start_request("g1", prefix + "x", attempt="left", timeout_s=0.02)
    deployment.wait(lambda: bool(reply.error))
    deployment.sleep(3.0)
    (arrival,) = deployment.arrivals("left")
    assert reply.body
    assert not reply.is_complete
    assert deployment.gateways["g1"].status()["counters"] == {"client_left": 1}
    assert ("left" in deployment.stub_instances[arrival.instance].completed) is is_finished
    assert buffered_bytes(deployment) == 0
