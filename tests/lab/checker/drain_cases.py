"""Cases of requests to nodes that the sidecar was told to leave."""

from __future__ import annotations

from collections.abc import Callable

from tests.lab.checker.synthetic_traffic import (
    DISCOVERY,
    MS,
    NODE_ADDRESSES,
    A,
    B,
    Conn,
    S,
    Traffic,
    entry,
    http,
    list_line,
    request_bytes,
)
from tests.lab.checker.wire_cases import Cases

CASES = Cases()


def send_after_drain(traffic: Traffic, after: int, *lines: bytes) -> None:
    watch = traffic.open_watch()
    for line in lines or (list_line(entry(A, "Terminating")),):
        traffic.send_list(watch, line)
    traffic.wait(after).serve_request(cls="look")


@CASES.case("")
def sent_at_the_limit(traffic: Traffic) -> None:
    send_after_drain(traffic, 500_000_000)


@CASES.case("drain")
def sent_a_nanosecond_past_it(traffic: Traffic) -> None:
    send_after_drain(traffic, 500_000_001)


@CASES.case("drain")
def sent_though_gone(traffic: Traffic) -> None:
    send_after_drain(traffic, 500_000_001, list_line(entry(A, "Gone")))


def fetch_list(traffic: Traffic, **headers: str) -> None:
    """Fetch the whole list with a single request, without a watch."""
    conn, body = traffic.connect(DISCOVERY), list_line(entry(A, "Terminating"), entry(B), full=True)
    traffic.transfer(conn, "client", http("GET /v1/endpoints HTTP/1.1"))
    traffic.transfer(conn, "server", http("HTTP/1.1 200 OK", body[:-1], **headers))
    traffic.checker.closed(traffic.now, conn, "client")


@CASES.case("drain")
def sent_though_a_fetched_list_tells(traffic: Traffic) -> None:
    fetch_list(traffic)
    traffic.wait(500_000_001).serve_request(cls="look")


@CASES.case("")
def a_fetched_list_that_is_cut_short(traffic: Traffic) -> None:
    fetch_list(traffic, Content_Length="9999")
    traffic.wait(500_000_001).serve_request(cls="look")


@CASES.case("drain")
def sent_though_missing_from_the_list(traffic: Traffic) -> None:
    send_after_drain(traffic, 500_000_001, list_line(entry(B), full=True))


@CASES.case("")
def sent_though_the_line_makes_no_sense(traffic: Traffic) -> None:
    send_after_drain(traffic, 1 * S, b'{"version":8,"servers":[{"id":"a","state":"Gone"},{"id":"b"}]}\n')


@CASES.case("")
def sent_after_the_drain_was_taken_back(traffic: Traffic) -> None:
    send_after_drain(traffic, 1 * S, list_line(entry(A, "Terminating")), list_line(entry(A), version=9))


@CASES.case("")
def its_first_byte_was_in_time(traffic: Traffic) -> None:
    traffic.send_list(traffic.open_watch(), list_line(entry(A, "Terminating")))
    traffic.wait(499 * MS)
    conn, claim = (
        traffic.send_request(cls="look"),
        traffic.send_attempt(cls="look", data=request_bytes("r1", "look")[:1]),
    )
    traffic.wait(2 * MS).transfer(claim, "client", request_bytes("r1", "look")[1:])
    traffic.node_answers(claim, "200 OK", body := traffic.execute())
    traffic.answer(conn, 200, body)


@CASES.case("")
def a_new_node_at_the_address(traffic: Traffic) -> None:
    traffic.checker.node(traffic.now, "c", NODE_ADDRESSES[A], 5)
    send_after_drain(traffic, 1 * S, list_line(entry(A, "Gone"), entry("c", started_ms=5, at=A)))


@CASES.case("drain")
def a_connection_to_the_node_that_was_there(traffic: Traffic) -> None:
    claim = traffic.serve_request(cls="look")
    traffic.checker.node(traffic.now, "c", NODE_ADDRESSES[A], 5)
    traffic.send_list(traffic.open_watch(), list_line(entry(A, "Gone"), entry("c", started_ms=5, at=A)))
    conn = traffic.wait(500_000_001).send_request("r2", "look")
    traffic.send_attempt("r2", "look", conn=claim)
    traffic.answer(conn, 502)


@CASES.case("drain")
def a_connection_to_the_process_before(traffic: Traffic) -> None:
    claim = traffic.serve_request(cls="look")
    traffic.send_list(traffic.open_watch(), list_line(entry(A, started_ms=5)))
    conn = traffic.wait(500_000_001).send_request("r2", "look")
    traffic.send_attempt("r2", "look", conn=claim)
    traffic.answer(conn, 502)


@CASES.case("drain")
def counts_as_told_of_a_new_process(traffic: Traffic) -> None:
    claim = traffic.serve_request(cls="look")
    traffic.open_watch()
    traffic.checker.actual_list(traffic.now, [entry(A, started_ms=5)])
    conn = traffic.wait(6_500_000_001).send_request("r2", "look")
    traffic.send_attempt("r2", "look", conn=claim)
    traffic.answer(conn, 502)


def send_without_updates(traffic: Traffic, after: int, first: Callable[[], Conn | None]) -> None:
    """Drain a node while discovery can't deliver updates, so that only the age of the last request counts."""
    traffic.checker.discovery_available(traffic.now, False)
    traffic.checker.actual_list(traffic.now, [entry(A, "Terminating")])
    watch = first()
    traffic.wait(after)
    if watch is not None:
        traffic.send_list(watch, b"\n")
    traffic.serve_request(cls="look")


@CASES.case("")
def watches_all_the_while(traffic: Traffic) -> None:
    send_without_updates(traffic, 20 * S, traffic.open_watch)


@CASES.case("drain")
def has_not_watched_since(traffic: Traffic) -> None:
    def first() -> None:
        traffic.checker.ended(traffic.now, traffic.open_watch(), "client", "fin")

    send_without_updates(traffic, 10_500_000_001, first)


@CASES.case("drain")
def has_closed_its_watch(traffic: Traffic) -> None:
    def first() -> None:
        traffic.checker.closed(traffic.now, traffic.open_watch(), "client")

    send_without_updates(traffic, 10_500_000_001, first)


def fail_discovery_request(traffic: Traffic) -> None:
    conn = traffic.connect(DISCOVERY)
    traffic.transfer(conn, "client", http("GET /v1/endpoints?follow=1 HTTP/1.1"))
    traffic.transfer(conn, "server", http("HTTP/1.1 503 X"))
    traffic.checker.closed(traffic.now, conn, "client")


@CASES.case("")
def its_call_failed_not_so_long_ago(traffic: Traffic) -> None:
    send_without_updates(traffic, 40_500_000_000, lambda: fail_discovery_request(traffic))


@CASES.case("drain")
def its_call_failed_too_long_ago(traffic: Traffic) -> None:
    send_without_updates(traffic, 40_500_000_001, lambda: fail_discovery_request(traffic))


@CASES.case("drain")
def a_line_that_the_network_kept_counts_as_told(traffic: Traffic) -> None:
    line = list_line(entry(A, "Terminating"))
    watch, data = traffic.open_watch(), b"%x\r\n%s\r\n" % (len(line), line)
    traffic.checker.sent(traffic.now, watch, "server", data)
    traffic.wait(7 * S).checker.arrived(traffic.now, watch, "client", data)
    # The list counts as received 6 s after its writing, not on its arrival.
    traffic.wait(MS).serve_request(cls="look")


@CASES.case("")
def a_line_that_the_network_held_up(traffic: Traffic) -> None:
    line = list_line(entry(A, "Terminating"))
    watch, data = traffic.open_watch(), b"%x\r\n%s\r\n" % (len(line), line)
    traffic.checker.sent(traffic.now, watch, "server", data)
    traffic.wait(2 * S).checker.arrived(traffic.now, watch, "client", data)
    traffic.wait(500 * MS).serve_request(cls="look")


@CASES.case("drain")
def sent_to_where_a_node_was(traffic: Traffic) -> None:
    claim = traffic.serve_request(cls="look")
    traffic.send_list(traffic.open_watch(), list_line(entry(A, at=B)))
    conn = traffic.wait(500_000_001).send_request("r2", "look")
    traffic.send_attempt("r2", "look", conn=claim)
    traffic.answer(conn, 502)


@CASES.case("unlisted")
def sent_to_nobody(traffic: Traffic) -> None:
    conn = traffic.send_request()
    claim = traffic.connect(("10.1.0.9", 9000))
    traffic.send_attempt(conn=claim)
    traffic.answer(conn, 502)


def send_after_true_drain(traffic: Traffic, after: int) -> None:
    traffic.open_watch()
    traffic.checker.actual_list(traffic.now, [entry(A, "Terminating")])
    traffic.wait(after).serve_request(cls="look")


@CASES.case("")
def counts_as_told_at_the_limit(traffic: Traffic) -> None:
    send_after_true_drain(traffic, 6_500_000_000)


@CASES.case("drain")
def counts_as_told_a_nanosecond_past_it(traffic: Traffic) -> None:
    send_after_true_drain(traffic, 6_500_000_001)


@CASES.case("")
def discovery_was_down_meanwhile(traffic: Traffic) -> None:
    traffic.checker.discovery_available(traffic.now, False)
    send_after_true_drain(traffic, 7 * S)


@CASES.case("drain")
def counts_as_told_since_it_never_asks(traffic: Traffic) -> None:
    traffic.checker.discovery_available(traffic.now, False)
    traffic.checker.actual_list(traffic.now, [entry(A, "Terminating")])
    traffic.wait(10_500_000_001).serve_request(cls="look")


@CASES.case("")
def never_asks_for_not_quite_so_long(traffic: Traffic) -> None:
    traffic.checker.discovery_available(traffic.now, False)
    traffic.checker.actual_list(traffic.now, [entry(A, "Terminating")])
    traffic.wait(10_500_000_000).serve_request(cls="look")


@CASES.case("drain")
def counts_as_told_after_a_reload(traffic: Traffic) -> None:
    traffic.checker.actual_list(traffic.now, [entry(A, "Terminating")])
    traffic.checker.process(traffic.now, "m0", "signal 1")
    traffic.wait(4_500_000_001).serve_request(cls="look")


@CASES.case("")
def a_line_is_told_when_written(traffic: Traffic) -> None:
    line = list_line(entry(A, "Terminating"))
    watch, data = traffic.open_watch(), b"%x\r\n%s\r\n" % (len(line), line)
    traffic.checker.sent(traffic.now, watch, "server", data)
    traffic.wait(50 * MS).checker.arrived(traffic.now, watch, "client", data)
    traffic.wait(450 * MS).serve_request(cls="look")


@CASES.case("drain")
def a_line_is_told_when_written_and_no_later(traffic: Traffic) -> None:
    line = list_line(entry(A, "Terminating"))
    watch, data = traffic.open_watch(), b"%x\r\n%s\r\n" % (len(line), line)
    traffic.checker.sent(traffic.now, watch, "server", data)
    traffic.wait(50 * MS).checker.arrived(traffic.now, watch, "client", data)
    traffic.wait(450 * MS + 1).serve_request(cls="look")


@CASES.case("versions")
def asks_a_new_discovery_for_an_old_version(traffic: Traffic) -> None:
    traffic.checker.discovery(("10.2.0.2", 8500))
    traffic.open_watch(("10.2.0.2", 8500))


@CASES.case("")
def asks_a_new_discovery_for_everything(traffic: Traffic) -> None:
    traffic.checker.discovery(("10.2.0.2", 8500))
    watch = traffic.open_watch(("10.2.0.2", 8500), "")
    traffic.send_list(watch, list_line(entry(A), version=3, full=True))
    traffic.open_watch(("10.2.0.2", 8500), "&since=3")
