"""Tests of request handling by a gateway with a control plane and instances, in virtual time."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.system.virtual_deployment import FRONT, READY, VirtualDeployment, configuration, route

EVENTS = b"".join(b"id: %d\ndata: token %d\n\n" % (number, number) for number in range(1, 6))
DESK = route("/d/", service="desk", kind="mutating", resumable=False, affine=False, tries=1)
ONCE = route("/o/", resumable=False, tries=1)
HOME = route("/h/", home_regions=["north"])
WARM_S = 6.0  # time after which instances added after the first list are warm


@pytest.fixture
def deployment() -> Iterator[VirtualDeployment]:
    made = VirtualDeployment(gateways=2)
    made.add_instance("a", zone="n1")
    made.add_instance("b", zone="n2")
    made.add_instance("s", zone="s1")
    made.add_instance("d1", "desk", "n1")
    made.add_instance("d2", "desk", "n2")
    made.served(configuration(1, route(), DESK, ONCE, HOME))
    made.sleep(WARM_S)
    yield made
    made.close()


def only(deployment: VirtualDeployment, *names: str) -> None:
    """Remove all other instances from the instance list."""
    for name, server in deployment.stub_instances.items():
        server.is_listed = name in names
    deployment.sleep(2.0)


def test_a_stream_is_relayed_complete_with_the_head_of_its_instance(deployment: VirtualDeployment) -> None:
    reply = deployment.request("g1", attempt="one")
    (arrival,) = deployment.arrivals("one")
    assert (reply.status, reply.body, reply.is_complete) == (200, EVENTS, True)
    assert reply.headers["x-server-seal"] == f"{arrival.instance}.one"
    assert reply.headers["x-attempt-id"] == "one"


def test_events_are_relayed_as_they_come(deployment: VirtualDeployment) -> None:
    for server in deployment.stub_instances.values():
        server.pause_s = 0.5
    reply = deployment.start_request("g1", attempt="slow")
    deployment.sleep(1.3)
    assert reply.body == EVENTS[: EVENTS.index(b"id: 3")]


def test_the_request_is_forwarded_unchanged_and_names_its_target(deployment: VirtualDeployment) -> None:
    headers = {
        "X-Target-Instance": "i-forged",
        "X-Model": "m",
        "X-Own": "kept",
        "Connection": "X-Hop",
        "X-Hop": "dropped",
        "Priority": "0",
    }
    deployment.request("g1", "/s/deep/path?x=1&y=%2F", attempt="two", body=b"\0binary\xff", headers=headers)
    (arrival,) = deployment.arrivals("two")
    assert (arrival.method, arrival.target, arrival.body) == (
        "POST",
        "/s/deep/path?x=1&y=%2F",
        b"\0binary\xff",
    )
    assert arrival.headers["x-target-instance"] == arrival.instance
    assert arrival.headers["x-model"] == "m"
    assert arrival.headers["x-own"] == "kept"
    assert "x-hop" not in arrival.headers
    assert 3800 < int(arrival.headers["x-deadline-remaining"]) <= 4000
    assert arrival.headers["priority"] == "5"


def test_a_request_without_a_route_gets_404(deployment: VirtualDeployment) -> None:
    assert deployment.request("g1", "/none/x").status == 404
    assert deployment.request("g1", headers={"Host": "other"}).status == 404


def test_a_resumable_stream_continues_at_another_instance(deployment: VirtualDeployment) -> None:
    only(deployment, "a", "b")
    deployment.stub_instances["a"].resets_after_events = deployment.stub_instances[
        "b"
    ].resets_after_events = 2
    reply = deployment.start_request("g1", attempt="res")
    deployment.wait(lambda: bool(deployment.arrivals("res")))
    first = deployment.arrivals("res")[0].instance
    second = "b" if first == "a" else "a"
    deployment.stub_instances[second].resets_after_events = None
    deployment.wait(lambda: bool(reply.error))
    assert (reply.status, reply.body, reply.is_complete) == (200, EVENTS, True)
    assert reply.headers["x-server-seal"] == f"{first}.res"
    assert [arrival.headers.get("last-event-id") for arrival in deployment.arrivals("res")] == [None, "2"]


def test_a_stream_continues_after_the_last_event_id_of_the_client(deployment: VirtualDeployment) -> None:
    reply = deployment.request("g1", attempt="cont", headers={"Last-Event-Id": "3"})
    assert reply.body == EVENTS[EVENTS.index(b"id: 4") :]
    assert deployment.arrivals("cont")[0].headers["last-event-id"] == "3"


def test_no_more_instances_run_a_stream_than_its_route_allows(deployment: VirtualDeployment) -> None:
    for server in deployment.stub_instances.values():
        server.resets_after_events = 1
    reply = deployment.request("g1", attempt="cuts")
    assert not reply.is_complete
    assert len(deployment.arrivals("cuts")) == 2


def test_a_stream_that_is_not_resumable_is_cut_off_visibly(deployment: VirtualDeployment) -> None:
    for server in deployment.stub_instances.values():
        server.resets_after_events = 2
    reply = deployment.request("g1", "/o/x", attempt="once")
    assert reply.status == 200
    assert not reply.is_complete
    assert reply.body == EVENTS[: EVENTS.index(b"id: 3")]
    assert len(deployment.arrivals("once")) == 1


def test_a_request_that_must_run_once_is_not_retried_after_a_reset(deployment: VirtualDeployment) -> None:
    for server in deployment.stub_instances.values():
        server.resets_after_events = 0
    reply = deployment.request("g1", "/d/x", attempt="mut")
    assert (reply.status, reply.is_complete) == (502, True)
    assert "x-server-seal" not in reply.headers
    assert len(deployment.arrivals("mut")) == 1


def test_a_rejected_request_is_retried_at_another_instance(deployment: VirtualDeployment) -> None:
    deployment.stub_instances["d1"].rejects_requests = True
    for number in range(4):
        assert deployment.request("g1", "/d/x", attempt=f"shed{number}").status == 200
    assert all(deployment.arrivals(f"shed{number}")[-1].instance == "d2" for number in range(4))


def test_where_all_instances_reject_the_gateway_rejects_with_retry_after(
    deployment: VirtualDeployment,
) -> None:
    for server in deployment.stub_instances.values():
        server.rejects_requests = True
    reply = deployment.request("g1", "/d/x", attempt="full")
    assert reply.status == 503
    assert 0 < float(reply.headers["retry-after"]) <= 4.0 / 3
    assert reply.seconds < 0.1


def test_retries_of_rejections_stay_within_the_budget(deployment: VirtualDeployment) -> None:
    for server in deployment.stub_instances.values():
        server.rejects_requests = True
    for number in range(60):
        deployment.request("g1", "/d/x", attempt=f"b{number}")
    sent = sum(len(deployment.arrivals(f"b{number}")) for number in range(60))
    assert sent - 60 <= 0.2 * 60 + 50


def test_an_error_response_of_an_instance_is_forwarded_unchanged(deployment: VirtualDeployment) -> None:
    for server in deployment.stub_instances.values():
        server.status = 500
    reply = deployment.request("g1", "/d/x", attempt="fail")
    assert reply.status == 500
    assert reply.body.endswith(b"ran fail")
    assert reply.headers["x-server-seal"].endswith("fail")


def test_a_response_to_another_request_is_dropped(deployment: VirtualDeployment) -> None:
    for server in deployment.stub_instances.values():
        server.stray_responses = 1
    for number in range(5):
        reply = deployment.request("g1", "/d/x", attempt=f"s{number}")
        assert reply.body.endswith(f"ran s{number}".encode())


def test_a_request_stays_inside_its_home_regions(deployment: VirtualDeployment) -> None:
    only(deployment, "s", "d1")
    reply = deployment.request("g1", "/h/x", attempt="home")
    assert reply.status == 503
    assert deployment.arrivals("home") == []
    assert deployment.request("g1", "/s/x", attempt="any").status == 200


def test_a_refused_connection_costs_no_attempt(deployment: VirtualDeployment) -> None:
    deployment.process("a").kill()
    for number in range(6):
        assert deployment.request("g1", "/o/x", attempt=f"r{number}").status == 200
    assert {deployment.arrivals(f"r{number}")[0].instance for number in range(6)} == {"b"}


def test_a_draining_instance_gets_no_further_request(deployment: VirtualDeployment) -> None:
    deployment.request("g1", attempt="before")
    deployment.stub_instances["a"].state = "draining"
    deployment.sleep(2.0)
    for number in range(6):
        deployment.request("g1", attempt=f"after{number}")
    assert all(deployment.arrivals(f"after{number}")[0].instance != "a" for number in range(6))


def test_another_incarnation_at_the_address_runs_nothing(deployment: VirtualDeployment) -> None:
    only(deployment, "a")
    deployment.stub_instances["a"].name = "reborn"
    reply = deployment.request("g1", attempt="reuse")
    assert reply.status == 503
    assert deployment.arrivals("reuse")[0].headers["x-target-instance"] == "a"


def test_a_replaced_instance_is_tried_once(deployment: VirtualDeployment) -> None:
    """After a region failure instances restart with new names while the list still has the old ones."""
    only(deployment, "d1", "d2")
    deployment.stub_instances["d1"].name = "reborn"
    for number in range(8):
        assert deployment.request("g1", "/d/x", attempt=f"r{number}").status == 200
    asked = [arrival for number in range(8) for arrival in deployment.arrivals(f"r{number}")]
    assert [arrival.instance for arrival in asked].count("reborn") <= 1


def test_a_gateway_without_a_configuration_rejects_and_is_not_ready() -> None:
    deployment = VirtualDeployment(gateways=1)
    address = deployment.world.machines["g1"].ip
    reply = deployment.request("g1")
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) > 0
    assert deployment.call((address, READY), "GET", "/api/readiness").status == 503
    deployment.served()
    assert deployment.call((address, READY), "GET", "/api/readiness").status == 200
    deployment.close()


def test_a_head_over_the_limit_gets_431(deployment: VirtualDeployment) -> None:
    reply = deployment.call(
        (deployment.world.machines["g1"].ip, FRONT), "POST", "/s/x", headers={"X-Big": "x" * 20000}
    )
    assert reply.status == 431


def test_graceful_shutdown_serves_requests_under_way_and_late_ones(deployment: VirtualDeployment) -> None:
    for server in deployment.stub_instances.values():
        server.pause_s = 0.6
    reply = deployment.start_request("g1", attempt="under-way")
    deployment.sleep(0.3)
    deployment.process("g1").signal(15)
    deployment.sleep(0.2)
    address = deployment.world.machines["g1"].ip
    assert deployment.call((address, READY), "GET", "/api/readiness").status == 503
    late = deployment.start_request("g1", attempt="late")
    deployment.wait(lambda: bool(reply.error and late.error))
    assert reply.is_complete
    assert late.is_complete
    assert late.headers["connection"] == "close"
    deployment.wait(lambda: deployment.process("g1").dead, 9.0)
    assert deployment.process("g1").ended == 0


def test_a_late_request_that_could_outlast_a_graceful_shutdown_is_rejected(
    deployment: VirtualDeployment,
) -> None:
    for server in deployment.stub_instances.values():
        server.pause_s = 0.7
    reply = deployment.start_request("g1", attempt="under-way")
    deployment.sleep(0.3)
    deployment.process("g1").signal(15)
    deployment.sleep(2.0)
    # The client of this request can't know about the shutdown yet.
    known = deployment.start_request("g1", attempt="known-late")
    deployment.sleep(1.2)
    # The deadline of this request is in 4 s, and the process ends in 4.5 s.
    late = deployment.start_request("g1", attempt="late")
    deployment.sleep(0.8)
    too_late = deployment.start_request("g1", attempt="too-late")
    deployment.wait(lambda: bool(reply.error and known.error and late.error and too_late.error))
    assert [each.status for each in (reply, known, late, too_late)] == [200, 200, 200, 503]
    assert all(each.is_complete for each in (reply, known, late, too_late))
    assert 0 < float(too_late.headers["retry-after"]) < 1
    assert deployment.arrivals("too-late") == []
    deployment.wait(lambda: deployment.process("g1").dead, 9.0)
    assert deployment.process("g1").ended == 0


def test_the_status_is_one_object(deployment: VirtualDeployment) -> None:
    deployment.request("g1")
    address = deployment.world.machines["g1"].ip
    status = deployment.call((address, READY), "GET", "/api/status").json()
    assert status["revision"] == 1
    assert status["counters"]["served"] == 1
    assert set(status["weights"]) == {"llm", "desk"}


def test_the_memory_for_bodies_of_all_clients_is_bounded(deployment: VirtualDeployment) -> None:
    memory = deployment.gateways["g1"].body_memory
    deployment.request("g1", attempt="fits", body=b"x" * 50_000)
    assert memory.reserved_bytes == 0
    memory.limit_bytes = 60_000
    for server in deployment.stub_instances.values():
        server.pause_s = 0.3
    first = deployment.start_request("g1", attempt="first", body=b"x" * 50_000)
    deployment.sleep(0.2)
    second = deployment.request("g1", attempt="second", body=b"x" * 50_000)
    assert second.status == 503
    assert float(second.headers["retry-after"]) > 0
    assert deployment.arrivals("second") == []
    deployment.wait(lambda: bool(first.error))
    assert first.is_complete
    deployment.sleep(0.5)
    assert memory.reserved_bytes == 0
    assert deployment.request("g1", attempt="third", body=b"x" * 50_000).status == 200


def test_a_response_without_an_id_on_a_reused_connection_is_dropped(
    deployment: VirtualDeployment,
) -> None:
    """A late response to the previous request would look like the answer to the next one."""
    only(deployment, "d1")
    assert deployment.request("g1", "/d/x", attempt="first").status == 200
    deployment.stub_instances["d1"].stray_responses, deployment.stub_instances["d1"].stray_attempt_id = 1, ""
    reply = deployment.request("g1", "/d/x", attempt="second")
    assert (reply.status, reply.body) == (200, b"d1 ran second")
    assert len(deployment.arrivals("second")) == 1


def test_a_response_without_an_id_is_accepted_on_a_new_connection_only(deployment: VirtualDeployment) -> None:
    only(deployment, "d1")
    deployment.stub_instances["d1"].echoes_attempt_id = False
    assert deployment.request("g1", "/d/x", attempt="first").body == b"d1 ran first"
    reply = deployment.request("g1", "/d/x", attempt="second")
    assert reply.status in (502, 504)
    assert len(deployment.arrivals("second")) == 1


@pytest.mark.parametrize("how", ["silent", "cut"])
def test_a_request_that_must_run_once_is_sent_once(deployment: VirtualDeployment, how: str) -> None:
    for name in ("d1", "d2"):
        server = deployment.stub_instances[name]
        server.is_unresponsive, server.resets_after_events = how == "silent", 0 if how == "cut" else None
    reply = deployment.request("g1", "/d/x", attempt="once", headers={"X-Deadline-Remaining": "1500"})
    assert reply.status in (502, 504)
    deployment.sleep(2.0)
    assert len(deployment.arrivals("once")) == 1
