"""Cases of what a sidecar forwards, and of the requests that it rejects."""

from __future__ import annotations

from tests.lab.checker.synthetic_traffic import Traffic, request_bytes
from tests.lab.checker.wire_cases import Cases

CASES = Cases()


@CASES.case("unasked")
def something_that_nobody_asked_for(traffic: Traffic) -> None:
    traffic.send_attempt("r9")


@CASES.case("changed")
def another_body(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.send_attempt(data=request_bytes("r1").replace(b"pay", b"PAY"))
    traffic.answer(conn, 502)


@CASES.case("framing")
def a_length_and_a_coding(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.send_attempt(data=request_bytes("r1").replace(b"Tenant", b"Transfer-Encoding: chunked\r\nTenant"))
    traffic.answer(conn, 502)


@CASES.case("told-off")
def told_off_though_it_can_be_served(traffic: Traffic) -> None:
    traffic.answer(traffic.send_request(), 400)


@CASES.case("told-off")
def sent_elsewhere(traffic: Traffic) -> None:
    traffic.answer(traffic.send_request(cls="look"), 302)


@CASES.case("")
def told_off_for_an_id_in_use(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.answer(traffic.send_request(), 400)
    traffic.answer(conn, 429)


@CASES.case("")
def told_off_before_its_end_was_read(traffic: Traffic) -> None:
    conn = traffic.client()
    traffic.transfer(conn, "client", request_bytes("r1"), read=False)
    traffic.answer(conn, 408)


@CASES.case("unusable")
def served_without_a_deadline(traffic: Traffic) -> None:
    traffic.answer(traffic.send_request(wait_ms="soon"), 200, b"")


@CASES.case("")
def told_off_without_a_deadline(traffic: Traffic) -> None:
    traffic.answer(traffic.send_request(wait_ms="soon"), 400)
