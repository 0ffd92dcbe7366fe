"""Cases of connections that are used again."""

from __future__ import annotations

from collections.abc import Callable

from tests.lab.checker.synthetic_traffic import Conn, Traffic, request_bytes
from tests.lab.checker.wire_cases import Cases

CASES = Cases()


def reuse_connection(traffic: Traffic, between: Callable[[Conn], object], first: str = "200 OK") -> None:
    conn, claim = traffic.send_request(cls="look"), traffic.send_attempt(cls="look")
    traffic.node_answers(claim, first, body := traffic.execute())
    traffic.answer(conn, 200, body)
    between(claim)
    traffic.wait(1)
    conn = traffic.send_request("r2", "look")
    traffic.send_attempt("r2", "look", conn=claim)
    traffic.answer(conn, 502)


@CASES.case("")
def a_connection_is_used_again(traffic: Traffic) -> None:
    reuse_connection(traffic, lambda claim: None)


@CASES.case("dirty")
def with_bytes_waiting(traffic: Traffic) -> None:
    reuse_connection(traffic, lambda claim: traffic.transfer(claim, "server", b"x", read=False))


@CASES.case("dirty")
def with_bytes_read_behind_an_answer(traffic: Traffic) -> None:
    reuse_connection(traffic, lambda claim: traffic.transfer(claim, "server", b"x"))


@CASES.case("dirty")
def with_an_end_waiting(traffic: Traffic) -> None:
    reuse_connection(traffic, lambda claim: traffic.checker.ended(traffic.now, claim, "client", "fin"))


@CASES.case("dirty")
def that_the_node_was_to_close(traffic: Traffic) -> None:
    conn, claim = traffic.send_request(cls="look"), traffic.send_attempt(cls="look")
    traffic.node_answers(claim, "200 OK", body := traffic.execute(), Connection="close")
    traffic.answer(conn, 200, body)
    conn = traffic.wait(1).send_request("r2", "look")
    traffic.send_attempt("r2", "look", conn=claim)
    traffic.answer(conn, 502)


@CASES.case("")
def after_answers_ahead_of_the_answer(traffic: Traffic) -> None:
    conn, claim = traffic.send_request(cls="look"), traffic.send_attempt(cls="look")
    traffic.transfer(claim, "server", b"HTTP/1.1 103 Early\r\n\r\n" * 2)
    traffic.node_answers(claim, "200 OK", body := traffic.execute())
    traffic.answer(conn, 200, body)
    conn = traffic.wait(1).send_request("r2", "look")
    traffic.send_attempt("r2", "look", conn=claim)
    traffic.answer(conn, 502)


@CASES.case("shared")
def two_written_at_once(traffic: Traffic) -> None:
    conn, other = traffic.send_request(cls="look"), traffic.send_request("r2", cls="look")
    traffic.send_attempt(data=request_bytes("r1", "look") + request_bytes("r2", "look"))
    traffic.answer(conn, 502)
    traffic.answer(other, 502)


@CASES.case("shared")
def with_another_out(traffic: Traffic) -> None:
    conn, other = traffic.send_request(cls="look"), traffic.send_request("r2", cls="look")
    claim = traffic.send_attempt(cls="look")
    traffic.send_attempt("r2", cls="look", conn=claim)
    traffic.answer(conn, 502)
    traffic.answer(other, 502)
