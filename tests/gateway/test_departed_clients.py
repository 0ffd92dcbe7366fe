"""Clients that leave before their response is complete: nothing goes on for them."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.system.virtual_deployment import VirtualDeployment, configuration, route

LEAVES_AFTER_S = 0.3  # a client, after its request
NOTICE_MAX_S = 0.1  # from there until its instance has been told
DEPARTED = "brambleusher_gateway_departed_requests"
IN_FLIGHT = "brambleusher_gateway_attempts_in_flight"
ACTIVE = "brambleusher_gateway_active_requests"
RESUMED = 'brambleusher_gateway_requests_total{outcome="resumed"}'
ONCE = route("/o/", resumable=False, tries=1)


@pytest.fixture
def deployment() -> Iterator[VirtualDeployment]:
    made = VirtualDeployment(gateways=1)
    for name, zone in (("a", "n1"), ("b", "n2"), ("c", "n1")):
        made.add_instance(name, zone=zone)
    made.served(configuration(1, route(), ONCE))
    made.sleep(6.0)  # until the instances are warm
    yield made
    made.close()


def leaving_request(deployment: VirtualDeployment, target: str = "/s/x", *, attempt: str) -> None:
    """A request whose client closes its connection after a moment."""
    deployment.start_request("g1", target, attempt=attempt, timeout_s=LEAVES_AFTER_S)


def cancelled_after_s(deployment: VirtualDeployment, attempt: str) -> float | None:
    """How long after its client left the only run of a request was cancelled; None: it was not."""
    (arrival,) = deployment.arrivals(attempt)
    if arrival.cancelled_at is None:
        return None
    return arrival.cancelled_at - arrival.at - LEAVES_AFTER_S


def assert_runs_end_with_their_clients(deployment: VirtualDeployment) -> None:
    """Requests that may run again, and streams that may run once."""
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
        instance.pause_s = 0.2  # the second event is due later than the client stays
        instance.slows_after_events = 1
    assert_runs_end_with_their_clients(deployment)


def test_instances_that_stand_still_do_not_run_on_for_clients_that_have_left(
    deployment: VirtualDeployment,
) -> None:
    """The recorded incident in small: some instances stand still, and clients leave early."""
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
