"""Tests of reused connections where instances silently drop idle connections.

A request that may run only once must not be lost on a connection that the instance has dropped.
"""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from brambleusher.dataplane import upstream_client
from brambleusher.dataplane.placement import CONTACT_FRESH_S
from brambleusher.dataplane.upstream_client import UNCHECKED_IDLE_S
from tests.system.virtual_deployment import StubInstance, VirtualDeployment, configuration, route

LONG_BODY = b"filing " * 8000
APPLIED_S = 3.0  # time after which an acknowledged configuration is in force
WARM_S = 6.0  # time after which the instance list is known and its instances are warm
ONCE = route("/d/", kind="mutating", service="desk", resumable=False, affine=False)


@pytest.fixture
def deployment() -> Iterator[VirtualDeployment]:
    deployment = VirtualDeployment(gateways=1, in_force=("pool",))
    deployment.add_instance("d1", "desk")
    deployment.served(configuration(1, ONCE))
    deployment.sleep(WARM_S)
    yield deployment
    deployment.close()


def desk(deployment: VirtualDeployment) -> StubInstance:
    return deployment.stub_instances["d1"]


def send_request(deployment: VirtualDeployment, attempt: str, idle_s: float = 0.0) -> int:
    deployment.sleep(idle_s)
    status = deployment.request("g1", "/d/x", attempt=attempt, body=b"x" * 3000).status
    assert len(deployment.arrivals(attempt)) == 1
    assert deployment.arrivals(attempt)[0].body == b"x" * 3000
    return status


def test_a_connection_is_reused_after_an_idle_time(deployment: VirtualDeployment) -> None:
    assert send_request(deployment, "a") == 200
    assert send_request(deployment, "b", idle_s=4 * UNCHECKED_IDLE_S) == 200
    assert send_request(deployment, "c", idle_s=4 * UNCHECKED_IDLE_S) == 200
    assert desk(deployment).connections == 1


def test_a_connection_that_the_instance_forgot_costs_no_request(deployment: VirtualDeployment) -> None:
    """Without the liveness check the request would be lost, and nobody would know whether it ran."""
    assert send_request(deployment, "a") == 200
    desk(deployment).forgets_after_s = 0.1
    assert send_request(deployment, "b", idle_s=0.2) == 200
    assert desk(deployment).connections == 2


@pytest.mark.parametrize("kind", ["mutating", "streaming"])
def test_a_request_that_failed_before_its_body_was_in_is_not_sent_again(
    deployment: VirtualDeployment, kind: str
) -> None:
    """Guards against a second run: an answer that comes early is no sign of a dropped connection."""
    assert deployment.put("c1", 1, configuration(2, {**ONCE, "kind": kind})).status == 200
    assert send_request(deployment, "a", idle_s=APPLIED_S) == 200
    desk(deployment).fails_early = True
    deployment.sleep(4 * UNCHECKED_IDLE_S)
    assert deployment.request("g1", "/d/x", attempt="b", body=LONG_BODY).status == 500
    assert len(deployment.arrivals("b")) == 1
    assert desk(deployment).connections == 1


def test_a_request_that_failed_early_is_not_refused_as_one_that_has_not_run(
    deployment: VirtualDeployment,
) -> None:
    """Guards against 503 for a request that has run, where the instance becomes full right after it."""
    assert send_request(deployment, "a") == 200
    desk(deployment).fails_early = True
    deployment.sleep(4 * UNCHECKED_IDLE_S)
    reply = deployment.start_request("g1", "/d/x", attempt="b", body=LONG_BODY)
    deployment.wait(lambda: bool(deployment.arrivals("b")))
    desk(deployment).fails_early, desk(deployment).rejects_requests = False, True
    deployment.wait(lambda: bool(reply.error))
    assert (reply.status, len(deployment.arrivals("b"))) == (500, 1)


def test_bytes_of_no_request_on_an_idle_connection_cost_no_request(
    deployment: VirtualDeployment,
) -> None:
    """Bytes that arrive before the head of a request is complete answer none, and it has not run."""
    assert send_request(deployment, "a") == 200
    desk(deployment).sends_stray_bytes_when_idle = True
    assert send_request(deployment, "b", idle_s=0.2) == 200
    assert desk(deployment).connections == 2


def test_after_a_reset_connections_idle_for_as_long_are_not_reused(
    deployment: VirtualDeployment,
) -> None:
    desk(deployment).forgets_after_s = 0.6
    for attempt in ("a", "b"):
        deployment.start_request("g1", "/d/x", attempt=attempt)
    deployment.sleep(0.3)
    gateway = deployment.gateways["g1"]
    pool = gateway.connection_pool
    before_s = pool.learned_idle_timeout_s
    deployment.sleep(0.5)
    gateway.instances.for_service("desk")[0].last_contact_s = deployment.now
    assert send_request(deployment, "c") == 200
    assert pool.learned_idle_timeout_s < before_s


def test_an_instance_without_recent_contact_gets_a_new_connection(deployment: VirtualDeployment) -> None:
    """The instance may have lost power: a request on an idle connection would then be lost."""
    assert send_request(deployment, "a") == 200
    assert send_request(deployment, "b", idle_s=CONTACT_FRESH_S * 1.5) == 200
    assert desk(deployment).connections == 2


def test_where_instances_keep_idle_connections_all_are_reused() -> None:
    deployment = VirtualDeployment(gateways=1)
    deployment.add_instance("d1", "desk")
    deployment.served(configuration(1, ONCE))
    deployment.sleep(WARM_S)
    assert send_request(deployment, "a") == 200
    assert send_request(deployment, "b", idle_s=CONTACT_FRESH_S * 2) == 200
    assert desk(deployment).connections == 1
    deployment.close()


def test_without_the_liveness_check_the_request_would_be_lost(
    deployment: VirtualDeployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(upstream_client, "UNCHECKED_IDLE_S", 60.0)
    assert send_request(deployment, "a") == 200
    desk(deployment).forgets_after_s = 0.1
    deployment.sleep(0.2)
    assert deployment.request("g1", "/d/x", attempt="b").status == 502
