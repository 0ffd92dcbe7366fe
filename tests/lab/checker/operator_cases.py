"""Cases of calls to the admin endpoint."""

from __future__ import annotations

from tests.lab.checker.synthetic_traffic import MS, A, B, S, Traffic, entry, http, list_line
from tests.lab.checker.wire_cases import Cases

CASES = Cases()


def call_admin(traffic: Traffic, target: str, status: int | None = 200) -> None:
    """Send a call to the admin endpoint and answer it with a status, or not at all for None."""
    conn = traffic.connect(("10.0.0.1", 81), "operators")
    traffic.transfer(conn, "client", http(f"POST /control/{target} HTTP/1.1"))
    if status is not None:
        traffic.transfer(conn, "server", http(f"HTTP/1.1 {status} ", b"done"))


def call_offline(traffic: Traffic, node: str = A, status: int | None = 200) -> None:
    call_admin(traffic, f"registry-nodes/{node}/offline", status)


def probe_readiness(traffic: Traffic, status: int) -> None:
    conn = traffic.client()
    traffic.transfer(conn, "client", http("GET /ready HTTP/1.1"))
    traffic.transfer(conn, "server", http(f"HTTP/1.1 {status} ", b"said"))
    traffic.checker.closed(traffic.now, conn, "client")


@CASES.case("")
def sent_to_a_node_taken_out_at_the_limit(traffic: Traffic) -> None:
    call_offline(traffic)
    traffic.wait(500 * MS).serve_request()


@CASES.case("drain")
def sent_to_a_node_taken_out_1_ns_past_the_limit(traffic: Traffic) -> None:
    call_offline(traffic)
    traffic.wait(500 * MS + 1).serve_request()


@CASES.case("drain")
def taken_out_whatever_discovery_says(traffic: Traffic) -> None:
    call_offline(traffic)
    traffic.wait(300 * MS)
    call_offline(traffic)  # a repeated call does not restart the grace period
    traffic.send_list(traffic.open_watch(), list_line(entry(A), entry(B), full=True))
    traffic.wait(300 * MS).serve_request()


@CASES.case("")
def taken_out_and_back(traffic: Traffic) -> None:
    call_offline(traffic)
    traffic.wait(S)
    call_admin(traffic, f"registry-nodes/{A}/online")
    traffic.serve_request()


@CASES.case("")
def a_no_binds_nobody(traffic: Traffic) -> None:
    call_offline(traffic, B)
    call_admin(traffic, "registry-nodes/x/offline", 404)
    traffic.wait(900 * MS).serve_request()


@CASES.case("drain")
def a_call_binds_after_a_second_without_a_yes(traffic: Traffic) -> None:
    call_offline(traffic, status=None)
    traffic.wait(1500 * MS + 1).serve_request()


@CASES.case("")
def a_call_without_a_yes_has_a_second(traffic: Traffic) -> None:
    call_offline(traffic, status=None)
    traffic.wait(1500 * MS).serve_request()


@CASES.case("service")
def ready_while_out_of_service(traffic: Traffic) -> None:
    call_admin(traffic, "out-of-service")
    probe_readiness(traffic, 200)


@CASES.case("")
def out_of_service_and_back(traffic: Traffic) -> None:
    probe_readiness(traffic, 200)
    call_admin(traffic, "out-of-service")
    probe_readiness(traffic, 503)
    traffic.wait(S)
    call_admin(traffic, "in-service")
    probe_readiness(traffic, 200)


@CASES.case("service")
def not_ready_long_after_it_is_back(traffic: Traffic) -> None:
    call_admin(traffic, "out-of-service")
    call_admin(traffic, "in-service")
    traffic.wait(1500 * MS + 1)
    probe_readiness(traffic, 503)


@CASES.case("")
def not_ready_yet(traffic: Traffic) -> None:
    traffic.wait(1500 * MS)
    probe_readiness(traffic, 503)


@CASES.case("service")
def a_connection_rests_while_out_of_service(traffic: Traffic) -> None:
    traffic.serve_request()
    call_admin(traffic, "out-of-service")
    traffic.wait(2 * S)


@CASES.case("")
def a_connection_that_rests_is_closed_in_time(traffic: Traffic) -> None:
    conn = traffic.client()
    traffic.serve_request("r1", "look", conn=conn)
    call_admin(traffic, "out-of-service")
    traffic.wait(S)
    traffic.checker.closed(traffic.now, conn, "server")
    traffic.wait(2 * S)
