"""Cases of when and how often a sidecar answers a request."""

from __future__ import annotations

from tests.lab.checker.synthetic_traffic import MS, NODE_ADDRESSES, A, Conn, S, Traffic, http, request_bytes
from tests.lab.checker.wire_cases import Cases

CASES = Cases()


@CASES.case("")
def served(traffic: Traffic) -> None:
    traffic.serve_request()


@CASES.case("")
def served_byte_by_byte(traffic: Traffic) -> None:
    conn, claim = traffic.client(), traffic.connect(NODE_ADDRESSES[A])
    for at in range(len(request_bytes("r1"))):
        traffic.transfer(conn, "client", request_bytes("r1")[at : at + 1])
    for at in range(len(request_bytes("r1"))):
        traffic.transfer(claim, "client", request_bytes("r1")[at : at + 1])
    body = traffic.execute()
    traffic.node_answers(claim, "200 OK", body)
    data = http("HTTP/1.1 200 OK", body)
    for at in range(len(data)):
        traffic.transfer(conn, "server", data[at : at + 1])


@CASES.case("")
def served_at_the_last_moment(traffic: Traffic) -> None:
    conn = traffic.send_request(cls="look")
    claim, body = traffic.send_attempt(cls="look"), traffic.execute()
    traffic.node_answers(claim, "200 OK", body)
    traffic.wait(1050 * MS)
    traffic.answer(conn, 200, body)


@CASES.case("answer")
def served_a_nanosecond_later(traffic: Traffic) -> None:
    conn = traffic.send_request(cls="look")
    claim, body = traffic.send_attempt(cls="look"), traffic.execute()
    traffic.node_answers(claim, "200 OK", body)
    traffic.wait(1050 * MS + 1)
    traffic.answer(conn, 200, body)


@CASES.case("answer")
def never_answered(traffic: Traffic) -> None:
    traffic.send_request()


@CASES.case("answer")
def half_an_answer(traffic: Traffic) -> None:
    conn = traffic.send_request(cls="look")
    traffic.transfer(conn, "server", b"HTTP/1.1 502 X\r\nContent-Length: 5\r\n\r\nab")


@CASES.case("answer")
def closed_without_an_answer(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.checker.closed(traffic.now, conn, "server")
    traffic.wait(1)
    traffic.checker.closed(traffic.now, conn, "client")


@CASES.case("")
def a_close_that_crosses_a_request(traffic: Traffic) -> None:
    conn = traffic.client()
    traffic.serve_request(conn=conn)
    traffic.transfer(conn, "client", request_bytes("r2"), read=False)
    traffic.checker.closed(traffic.now, conn, "server")
    traffic.wait(1)
    traffic.serve_request("r2")


@CASES.case("once")
def run_more_often_than_it_was_taken(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.execute()
    traffic.wait(1)
    traffic.serve_request()
    traffic.answer(conn, 502)
    traffic.execute()


@CASES.case("answer")
def dropped_from_the_queue(traffic: Traffic) -> None:
    conn = traffic.client(accept=False)
    traffic.transfer(conn, "client", request_bytes("r1"), read=False)
    traffic.checker.ended(traffic.now, conn, "client", "reset")
    traffic.wait(1)
    traffic.checker.closed(traffic.now, conn, "client")


@CASES.case("")
def not_accepted_without_descriptors(traffic: Traffic) -> None:
    traffic.checker.descriptors_short(traffic.now, "m0", True)
    traffic.send_request(conn=traffic.client(accept=False))
    traffic.wait(500 * MS).checker.descriptors_short(traffic.now, "m0", False)


@CASES.case("answer")
def not_accepted_with_descriptors(traffic: Traffic) -> None:
    traffic.checker.descriptors_short(traffic.now, "m0", True)
    traffic.wait(500 * MS).checker.descriptors_short(traffic.now, "m0", False)
    traffic.wait(1).send_request(conn=traffic.client(accept=False))


@CASES.case("answer")
def accepted_and_not_answered_without_descriptors(traffic: Traffic) -> None:
    traffic.checker.descriptors_short(traffic.now, "m0", True)
    traffic.send_request()


@CASES.case("")
def told_late_what_was_not_accepted_without_descriptors(traffic: Traffic) -> None:
    traffic.checker.descriptors_short(traffic.now, "m0", True)
    conn = traffic.client(accept=False)
    traffic.send_request(conn=conn)
    traffic.wait(1050 * MS - 2)
    traffic.checker.accepted(traffic.now, conn)
    traffic.now += 4
    traffic.answer(conn, 503)


@CASES.case("")
def the_client_leaves(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.checker.closed(traffic.now, conn, "client")


@CASES.case("answer")
def the_answer_is_overtaken_by_a_reset(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.transfer(conn, "server", http("HTTP/1.1 502 X"), arrive=False)
    traffic.checker.closed(traffic.now, conn, "server")
    traffic.checker.ended(traffic.now, conn, "client", "reset")


@CASES.case("")
def the_client_ends_its_sending(traffic: Traffic) -> None:
    traffic.checker.ended(traffic.now, traffic.send_request(), "server", "fin")


@CASES.case("")
def the_network_breaks_its_connection(traffic: Traffic) -> None:
    traffic.checker.ended(traffic.now, traffic.send_request(), "client", "reset")


@CASES.case("")
def a_reset_behind_an_answer(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.answer(conn, 502)
    traffic.checker.closed(traffic.now, conn, "server")
    traffic.checker.ended(traffic.now, conn, "client", "reset")


@CASES.case("")
def the_client_does_not_read(traffic: Traffic) -> None:
    conn = traffic.send_request(cls="look")
    traffic.transfer(conn, "server", b"HTTP/1.1 502 X\r\nContent-Length: 5\r\n\r\nab", read=False)


def delay_request(traffic: Traffic, after: int) -> None:
    """Delay a request by 100 ms on the network; its deadline counts from its arrival."""
    conn = traffic.client()
    traffic.checker.sent(traffic.now, conn, "client", request_bytes("r1"))
    traffic.wait(100 * MS).checker.arrived(traffic.now, conn, "server", request_bytes("r1"))
    traffic.checker.read(traffic.now, conn, "server", request_bytes("r1"))
    traffic.wait(after).answer(conn, 502)


@CASES.case("")
def held_up_and_answered_in_time(traffic: Traffic) -> None:
    delay_request(traffic, 1050 * MS)


@CASES.case("answer")
def held_up_and_answered_too_late(traffic: Traffic) -> None:
    delay_request(traffic, 1050 * MS + 1)


@CASES.case("")
def held_up_in_part(traffic: Traffic) -> None:
    conn, data = traffic.client(), request_bytes("r1")
    traffic.checker.sent(traffic.now, conn, "client", data)
    traffic.checker.arrived(traffic.now, conn, "server", data[:9])
    traffic.wait(100 * MS).checker.arrived(traffic.now, conn, "server", data[9:])
    traffic.checker.read(traffic.now, conn, "server", data)
    traffic.wait(1050 * MS).answer(conn, 502)


def pipeline_requests(traffic: Traffic, after: int) -> Conn:
    """Pipeline two requests; the deadline of the second counts from the answer to the first."""
    conn = traffic.client()
    traffic.transfer(conn, "client", request_bytes("r1", "look") + request_bytes("r2", "look"))
    traffic.wait(900 * MS).answer(conn, 503)
    traffic.wait(after)
    return conn


@CASES.case("")
def sent_ahead_and_answered_in_time(traffic: Traffic) -> None:
    traffic.answer(pipeline_requests(traffic, 1050 * MS), 503)


@CASES.case("answer")
def sent_ahead_and_answered_too_late(traffic: Traffic) -> None:
    traffic.answer(pipeline_requests(traffic, 1050 * MS + 1), 503)


@CASES.case("")
def sent_ahead_and_closed(traffic: Traffic) -> None:
    traffic.checker.closed(traffic.now, pipeline_requests(traffic, MS), "server")


@CASES.case("")
def asked_whether_it_is_ready(traffic: Traffic) -> None:
    conn = traffic.client()
    traffic.transfer(conn, "client", http("GET /ready HTTP/1.1"))
    traffic.wait(9 * S).answer(conn, 200, b"ready")


@CASES.case("")
def an_id_used_again_after_its_answer(traffic: Traffic) -> None:
    traffic.serve_request()
    traffic.wait(MS).serve_request()


@CASES.case("")
def killed_over_it(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.checker.closed(traffic.now, conn, "server")
    traffic.checker.process(traffic.now, "m0", "killed")


@CASES.case("answer")
def killed_over_what_came_long_after_sigterm(traffic: Traffic) -> None:
    traffic.checker.process(traffic.now, "m0", "signal 15")
    traffic.wait(700 * MS + 1).send_request(wait_ms="9000")
    traffic.wait(4 * S).checker.process(traffic.now, "m0", "killed")


@CASES.case("")
def killed_over_what_came_soon_after_sigterm(traffic: Traffic) -> None:
    traffic.checker.process(traffic.now, "m0", "signal 15")
    traffic.wait(700 * MS).send_request(wait_ms="9000")
    traffic.wait(4 * S).checker.process(traffic.now, "m0", "killed")


@CASES.case("answer")
def ends_over_it_after_sigterm(traffic: Traffic) -> None:
    traffic.send_request()
    traffic.checker.process(traffic.now, "m0", "signal 15")
    traffic.checker.process(traffic.now, "m0", "exited")


@CASES.case("crash")
def ends_unasked(traffic: Traffic) -> None:
    traffic.checker.process(traffic.now, "m0", "exited")


@CASES.case("one-answer")
def two_answers(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.answer(conn, 502)
    traffic.answer(conn, 502)


@CASES.case("one-answer")
def two_answers_at_once(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.transfer(conn, "server", http("HTTP/1.1 502 X") * 2)


@CASES.case("")
def told_off_for_half_a_request(traffic: Traffic) -> None:
    conn = traffic.client()
    traffic.transfer(conn, "client", request_bytes("r1")[:50])
    traffic.answer(conn, 408)


@CASES.case("made-answer")
def served_with_something_else(traffic: Traffic) -> None:
    conn = traffic.send_request()
    body = traffic.execute()
    traffic.send_attempt()
    traffic.answer(conn, 200, body[:-1])


@CASES.case("other-answer")
def served_with_the_answer_of_another(traffic: Traffic) -> None:
    conn = traffic.send_request("r1")
    traffic.send_attempt("r1")
    traffic.send_request("r2")
    body = traffic.execute("r2")
    traffic.answer(conn, 200, body)
    traffic.checker.process(traffic.now, "m0", "killed")
