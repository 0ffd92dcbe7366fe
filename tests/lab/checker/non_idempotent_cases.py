"""Cases of requests that may run only once."""

from __future__ import annotations

from tests.lab.checker.synthetic_traffic import MS, A, B, Traffic, request_bytes
from tests.lab.checker.wire_cases import Cases

CASES = Cases()


@CASES.case("")
def refused_before_it_was_sent(traffic: Traffic) -> None:
    traffic.answer(traffic.send_request(), 503)


@CASES.case("")
def refused_after_proof(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.node_answers(traffic.send_attempt(), "503 X", Not_Started="1")
    traffic.answer(conn, 503)


@CASES.case("refusal")
def refused_after_a_503_that_proves_nothing(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.node_answers(traffic.send_attempt(), "503 X")
    traffic.answer(conn, 503)


@CASES.case("refusal")
def refused_after_a_reset(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.checker.ended(traffic.now, traffic.send_attempt(), "client", "reset")
    traffic.answer(conn, 429)


@CASES.case("")
def failed_after_a_reset(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.checker.ended(traffic.now, traffic.send_attempt(), "client", "reset")
    traffic.answer(conn, 502)


@CASES.case("")
def what_may_be_repeated_is_refused_and_repeated(traffic: Traffic) -> None:
    conn = traffic.send_request(cls="look")
    for node in (A, B):
        traffic.checker.ended(traffic.now, traffic.send_attempt(cls="look", node=node), "client", "reset")
        traffic.execute(node=node)
    traffic.answer(conn, 503)


@CASES.case("refusal")
def refused_after_a_proof_that_came_behind_an_answer(traffic: Traffic) -> None:
    conn, claim = traffic.send_request(), traffic.send_attempt()
    traffic.node_answers(claim, "500 X")
    traffic.node_answers(claim, "503 X", Not_Started="1")
    traffic.answer(conn, 503)


@CASES.case("")
def sent_again_after_proof(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.node_answers(traffic.send_attempt(), "504 X", Not_Started="1")
    traffic.node_answers(traffic.send_attempt(node=B), "200 OK", body := traffic.execute(node=B))
    traffic.answer(conn, 200, body)


@CASES.case("")
def sent_again_after_a_break_before_the_last_byte(traffic: Traffic) -> None:
    conn = traffic.send_request()
    first = traffic.send_attempt(data=request_bytes("r1")[:-1])
    traffic.checker.ended(traffic.now, first, "client", "reset")
    traffic.node_answers(traffic.send_attempt(node=B), "200 OK", body := traffic.execute(node=B))
    traffic.answer(conn, 200, body)


@CASES.case("repeat")
def sent_again_after_a_reset(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.checker.ended(traffic.now, traffic.send_attempt(), "client", "reset")
    traffic.send_attempt(node=B)
    traffic.answer(conn, 502)


@CASES.case("once")
def run_twice(traffic: Traffic) -> None:
    traffic.serve_request()
    traffic.execute(node=B)


@CASES.case("attempts")
def one_attempt_too_many(traffic: Traffic) -> None:
    conn = traffic.send_request(cls="look")
    for _ in range(4):
        traffic.node_answers(traffic.send_attempt(cls="look"), "500 X")
    traffic.answer(conn, 502)


def send_after_client_close(traffic: Traffic, after: int) -> None:
    """Send a request to a node some time after its client's close, as a sidecar does that was stopped."""
    conn = traffic.send_request(cls="look")
    traffic.checker.ended(traffic.now, conn, "server", "fin")
    traffic.wait(after).send_attempt(cls="look")


@CASES.case("for-nobody")
def passed_on_long_after_its_client_left(traffic: Traffic) -> None:
    send_after_client_close(traffic, 301 * MS)


@CASES.case("")
def passed_on_as_its_client_left(traffic: Traffic) -> None:
    send_after_client_close(traffic, 299 * MS)


@CASES.case("copies")
def two_at_once(traffic: Traffic) -> None:
    conn = traffic.send_request(cls="look")
    traffic.send_attempt(cls="look")
    traffic.send_attempt(cls="look", node=B)
    traffic.answer(conn, 502)
