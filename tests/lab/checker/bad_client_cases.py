"""Cases of clients that break the protocol."""

from __future__ import annotations

from collections.abc import Callable

from tests.lab.checker.synthetic_traffic import MS, Conn, S, Traffic, request_bytes
from tests.lab.checker.wire_cases import Cases

CASES = Cases()


def misbehave(traffic: Traffic, do: Callable[[Conn], object]) -> None:
    traffic.checker.bad_client("rude")
    conn = traffic.client("rude")
    do(conn)


@CASES.case("bad-client")
def kept_waiting(traffic: Traffic) -> None:
    misbehave(traffic, lambda conn: traffic.transfer(conn, "client", b"GET"))


@CASES.case("bad-client")
def kept_waiting_with_a_whole_request(traffic: Traffic) -> None:
    misbehave(traffic, lambda conn: traffic.send_request(conn=conn, wait_ms="soon"))


@CASES.case("bad-client")
def accepted_and_kept_waiting_without_descriptors(traffic: Traffic) -> None:
    traffic.checker.descriptors_short(traffic.now, "m0", True)
    misbehave(traffic, lambda conn: None)


@CASES.case("")
def closed_in_time(traffic: Traffic) -> None:
    misbehave(traffic, lambda conn: traffic.wait(3 * S).checker.closed(traffic.now, conn, "server"))


@CASES.case("bad-client")
def closed_too_late(traffic: Traffic) -> None:
    misbehave(traffic, lambda conn: traffic.wait(3050 * MS + 1).checker.closed(traffic.now, conn, "server"))


@CASES.case("")
def left_by_itself(traffic: Traffic) -> None:
    misbehave(traffic, lambda conn: traffic.wait(S).checker.closed(traffic.now, conn, "client"))


@CASES.case("answer")
def bad_but_owed_what_can_be_served(traffic: Traffic) -> None:
    misbehave(traffic, lambda conn: traffic.send_request(conn=conn, wait_ms="9000"))


@CASES.case("")
def kept_waiting_without_descriptors(traffic: Traffic) -> None:
    traffic.checker.bad_client("rude")
    traffic.checker.descriptors_short(traffic.now, "m0", True)
    traffic.client("rude", accept=False)


@CASES.case("")
def both_framings_turned_away(traffic: Traffic) -> None:
    both = request_bytes("r1").replace(b"Tenant", b"Transfer-Encoding: chunked\r\nTenant")

    def do(conn: Conn) -> None:
        traffic.transfer(conn, "client", both)
        traffic.answer(conn, 400)

    misbehave(traffic, do)
