"""Cases of nodes that have just started."""

from __future__ import annotations

from tests.lab.checker.synthetic_traffic import MS, NODE_ADDRESSES, B, Traffic, entry, list_line
from tests.lab.checker.wire_cases import Cases

CASES = Cases()


def load_cold_node(traffic: Traffic, requests: int, informed: bool = True, every_ms: int = 100) -> None:
    traffic.checker.node(traffic.now, B, NODE_ADDRESSES[B], 5)
    if informed:
        traffic.send_list(traffic.open_watch(), list_line(entry(B, started_ms=5)))
    for number in range(requests):
        conn = traffic.send_request(f"r{number}", "look")
        traffic.send_attempt(f"r{number}", "look", B)
        body = traffic.execute(f"r{number}", B, cold=True, capacity=0.25, work_s=0.1)
        traffic.answer(conn, 200, body)
        traffic.wait(every_ms * MS)


@CASES.case("cold")
def a_burst_on_a_cold_node(traffic: Traffic) -> None:
    # 5 s of work exceed the budget of 3 s with its allowance of 0.55 s for chance.
    load_cold_node(traffic, 50, every_ms=10)


@CASES.case("")
def as_much_spread_out(traffic: Traffic) -> None:
    load_cold_node(traffic, 50, every_ms=100)


@CASES.case("")
def by_those_who_were_not_told(traffic: Traffic) -> None:
    load_cold_node(traffic, 50, informed=False, every_ms=10)
