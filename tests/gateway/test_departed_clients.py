"""Tests that no work continues for clients that disconnect before their response is complete."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import Stream
from tests.system.virtual_deployment import FRONT, VirtualDeployment, configuration, route

LEAVES_AFTER_S = 0.3  # seconds between the request and the disconnect of its client
NOTICE_MAX_S = 0.1  # seconds from the disconnect until the instance is notified
DEPARTED = "brambleusher_gateway_departed_requests"
IN_FLIGHT = "brambleusher_gateway_attempts_in_flight"
ACTIVE = "brambleusher_gateway_active_requests"
RESUMED = 'brambleusher_gateway_requests_total{outcome="resumed"}'
ONCE = route("/o/", resumable=False, tries=1)
PLAIN = route("/p/", kind="idempotent", resumable=False, affine=False, service="desk")
DESK = route("/d/", kind="mutating", resumable=False, affine=False, tries=1, service="desk")


@pytest.fixture
def deployment() -> Iterator[VirtualDeployment]:
    made = VirtualDeployment(gateways=1)
    for name, zone in (("a", "n1"), ("b", "n2"), ("c", "n1")):
        made.add_instance(name, zone=zone)
    made.add_instance("d", "desk", "n1")
    made.served(configuration(1, route(), ONCE, PLAIN, DESK))
    made.sleep(6.0)  # wait until the instances are warm
    yield made
    made.close()


def leaving_request(deployment: VirtualDeployment, target: str = "/s/x", *, attempt: str) -> None:
    """Start a request whose client closes its connection after `LEAVES_AFTER_S`."""
    deployment.start_request("g1", target, attempt=attempt, timeout_s=LEAVES_AFTER_S)


def cancelled_after_s(deployment: VirtualDeployment, attempt: str) -> float | None:
    """Return the seconds between the client's disconnect and the cancellation of the only run, if any."""
    (arrival,) = deployment.arrivals(attempt)
    if arrival.cancelled_at is None:
        return None
    return arrival.cancelled_at - arrival.at - LEAVES_AFTER_S


def assert_runs_end_with_their_clients(deployment: VirtualDeployment) -> None:
    """Check a resumable stream and a stream that may run only once."""
    for target in ("/s/x", "/o/x"):
        leaving_request(deployment, target, attempt=target)
        deployment.sleep(LEAVES_AFTER_S + 0.5)
        notice_s = cancelled_after_s(deployment, target)
        assert notice_s is not None
        assert notice_s < NOTICE_MAX_S


def test_a_run_ends_when_its_client_leaves_before_the_head(deployment: VirtualDeployment) -> None:
    for instance in deployment.stub_instances.values():
        instance.is_unresponsive = True
    assert_runs_end_with_their_clients(deployment)


def test_a_run_ends_when_its_client_leaves_between_events(deployment: VirtualDeployment) -> None:
    for instance in deployment.stub_instances.values():
        instance.pause_s = 0.2  # the client disconnects before the second event
        instance.slows_after_events = 1
    assert_runs_end_with_their_clients(deployment)


def test_instances_that_stand_still_do_not_run_on_for_clients_that_have_left(
    deployment: VirtualDeployment,
) -> None:
    """Reproduces a recorded incident on a small scale: unresponsive instances and impatient clients."""
    for name in ("a", "b"):
        deployment.stub_instances[name].is_unresponsive = True
    attempts = [f"gone{number}" for number in range(20)]
    for attempt in attempts:
        leaving_request(deployment, attempt=attempt)
        deployment.sleep(0.05)
    deployment.sleep(LEAVES_AFTER_S + 0.5)
    runs = [arrival for attempt in attempts for arrival in deployment.arrivals(attempt)]
    stalled = [arrival for arrival in runs if arrival.instance in "ab"]
    assert stalled
    metrics = deployment.metrics("g1")
    assert [metrics[name] for name in (ACTIVE, DEPARTED, IN_FLIGHT)] == [0, 0, 0]
    assert len(runs) == len(attempts)
    assert all(arrival.cancelled_at is not None for arrival in stalled)


def assert_nothing_is_left(deployment: VirtualDeployment) -> None:
    """Check that no request or attempt is active and no connection is counted as in use."""
    metrics = deployment.metrics("g1")
    assert [metrics[name] for name in (ACTIVE, DEPARTED, IN_FLIGHT)] == [0, 0, 0]
    weights = deployment.gateways["g1"].instances.weights
    assert not any(weights["llm"].attempts_in_flight(name) for name in "abc")
    assert not weights["desk"].attempts_in_flight("d")


def test_a_run_ends_when_its_client_leaves_while_its_response_is_buffered(
    deployment: VirtualDeployment,
) -> None:
    deployment.stub_instances["d"].head_delay_s = 3.0
    leaving_request(deployment, "/p/x", attempt="gone")
    deployment.sleep(LEAVES_AFTER_S + 0.5)
    notice_s = cancelled_after_s(deployment, "gone")
    assert notice_s is not None
    assert notice_s < NOTICE_MAX_S
    assert_nothing_is_left(deployment)


def test_a_request_that_may_run_once_is_finished_without_its_client(deployment: VirtualDeployment) -> None:
    deployment.stub_instances["d"].head_delay_s = 1.0
    connections = deployment.stub_instances["d"].connections
    leaving_request(deployment, "/d/x", attempt="gone")
    deployment.sleep(LEAVES_AFTER_S + 1.5)
    assert cancelled_after_s(deployment, "gone") is None
    assert_nothing_is_left(deployment)
    deployment.stub_instances["d"].head_delay_s = 0.0
    assert deployment.request("g1", "/d/x", attempt="next").status == 200
    # The connection of the abandoned request was reused.
    assert deployment.stub_instances["d"].connections == connections + 1


@pytest.mark.parametrize("target", ["/s/x", "/d/x"])
def test_nothing_is_sent_for_a_client_that_leaves_while_its_instance_is_connected(
    deployment: VirtualDeployment, target: str
) -> None:
    for name in deployment.stub_instances:
        deployment.world.network.drop_connects(name)
    deployment.start_request("g1", target, attempt="gone", timeout_s=0.05)
    deployment.sleep(0.1)
    for name in deployment.stub_instances:
        deployment.world.network.stop_dropping_connects(name)
    deployment.sleep(2.0)
    assert deployment.arrivals("gone") == []
    assert_nothing_is_left(deployment)


def test_nothing_is_sent_for_clients_that_left_while_the_gateway_stood_still(
    deployment: VirtualDeployment,
) -> None:
    assert deployment.request("g1", attempt="before").status == 200  # leaves an idle connection
    deployment.world.machines["g1"].stall(1_000_000_000)
    for target in ("/s/x", "/o/x", "/p/x", "/d/x"):
        leaving_request(deployment, target, attempt=target)
    deployment.sleep(2.0)
    assert [deployment.arrivals(target) for target in ("/s/x", "/o/x", "/p/x", "/d/x")] == [[]] * 4
    assert_nothing_is_left(deployment)


def test_a_stream_that_breaks_off_is_not_resumed_for_a_client_that_has_left(
    deployment: VirtualDeployment,
) -> None:
    for instance in deployment.stub_instances.values():
        # The instance resets the connection at the time when the client disconnects.
        instance.pause_s, instance.resets_after_events = LEAVES_AFTER_S / 3, 2
    leaving_request(deployment, attempt="gone")
    deployment.sleep(2.0)
    assert len(deployment.arrivals("gone")) == 1
    assert deployment.metrics("g1").get(RESUMED, 0) == 0
    assert_nothing_is_left(deployment)


def test_a_rejected_request_is_not_tried_again_for_a_client_that_has_left(
    deployment: VirtualDeployment,
) -> None:
    for instance in deployment.stub_instances.values():
        instance.rejects_requests, instance.head_delay_s = True, LEAVES_AFTER_S + 0.2
    for target in ("/s/x", "/d/x"):
        leaving_request(deployment, target, attempt=target)
    deployment.sleep(2.0)
    assert len(deployment.arrivals("/s/x")) == len(deployment.arrivals("/d/x")) == 1
    assert_nothing_is_left(deployment)


def raw_client(deployment: VirtualDeployment, sent: bytes, stays_s: float, reads: bool = True) -> list[bytes]:
    """Send raw bytes and close after `stays_s` seconds; the returned list fills as data is received."""
    received: list[bytes] = []

    def run(scheduler: Scheduler) -> None:
        address = (deployment.world.machines["g1"].ip, FRONT)
        end = scheduler.now() + stays_s
        stream = Stream.connect(scheduler, address, end)
        stream.send(sent, end)
        while reads:
            try:
                data = stream.receive(end)
            except TaskTimeoutError:
                break
            if not data:
                break
            received.append(data)
        if not reads:
            scheduler.sleep(stays_s)
        stream.close()
        scheduler.stop()

    deployment.caller.serve(lambda scheduler: scheduler.spawn(run, scheduler), "raw")
    return received


def encoded(target: str, attempt: str, body: bytes = b"") -> bytes:
    head = (
        f"POST {target} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {attempt}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def test_a_client_is_seen_to_leave_behind_the_next_request_that_it_sent_ahead(
    deployment: VirtualDeployment,
) -> None:
    for instance in deployment.stub_instances.values():
        instance.is_unresponsive = True
    raw_client(deployment, encoded("/s/x", "gone") + encoded("/s/x", "ahead"), LEAVES_AFTER_S)
    deployment.sleep(LEAVES_AFTER_S + 0.5)
    notice_s = cancelled_after_s(deployment, "gone")
    assert notice_s is not None
    assert notice_s < NOTICE_MAX_S
    assert deployment.arrivals("ahead") == []


def test_requests_sent_ahead_are_all_answered(deployment: VirtualDeployment) -> None:
    body = b"x" * 20_000
    sent = b"".join(encoded("/d/x", f"ahead{number}", body) for number in range(12))
    received = raw_client(deployment, sent, 3.0)
    deployment.sleep(2.0)
    assert b"".join(received).count(b"HTTP/1.1 200") == 12
    arrivals = [arrival for number in range(12) for arrival in deployment.arrivals(f"ahead{number}")]
    assert [arrival.body for arrival in arrivals] == [body] * 12
    assert deployment.gateways["g1"].body_memory.reserved_bytes == 0


def test_a_connection_closes_after_its_response_where_no_memory_is_left_for_what_follows(
    deployment: VirtualDeployment,
) -> None:
    deployment.stub_instances["d"].head_delay_s = 0.5
    memory = deployment.gateways["g1"].body_memory
    available_bytes = 30_000
    reserved_bytes_before = memory.limit_bytes - available_bytes
    assert memory.reserve(reserved_bytes_before)
    sent = encoded("/p/x", "first") + encoded("/p/x", "ahead", b"x" * 200_000)
    received = raw_client(deployment, sent, 3.0)
    deployment.sleep(2.0)
    response = b"".join(received)
    assert response.count(b"HTTP/1.1 200") == 1
    assert b"connection: close" in response.lower()
    assert deployment.arrivals("ahead") == []
    assert memory.reserved_bytes == reserved_bytes_before


def test_a_client_that_takes_no_data_is_no_failure_of_its_instance(deployment: VirtualDeployment) -> None:
    for instance in deployment.stub_instances.values():
        instance.event_bytes, instance.events = 256 * 1024, 8
    raw_client(deployment, encoded("/s/x", "full"), 30.0, reads=False)
    deployment.sleep(15.0)
    assert len(deployment.arrivals("full")) == 1
    assert deployment.metrics("g1").get(RESUMED, 0) == 0
    assert_nothing_is_left(deployment)
