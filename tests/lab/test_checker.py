"""Tests of the checker on synthetic traffic that keeps or breaks each rule."""

from __future__ import annotations

import ast
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from brambleusher.lab import checker
from brambleusher.lab.checker import Checker, Rules, judge
from brambleusher.lab.checker.messages import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    ChunkDecoder,
    LineReader,
    Message,
    MessageReader,
    load_report,
)
from brambleusher.lab.checker.roster import parse_update
from brambleusher.lab.checker.rules import RULES

MS, S = 10**6, 10**9
SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "look", "effect": "read_like"}, {"name": "move", "effect": "non_idempotent"},
    ],
    "projects": [{"name": "acme"}],
    "limits": {"max_attempts": 3, "second_copies": False},
    "safety": {
        "drain_grace_ns": 500 * MS, "must_ask_in_ns": 10 * S, "cold_ns": 20 * S, "fall_multiple": 4.0,
        "fall_ns": 3 * S,
    },
}  # fmt: skip
A, B = "a", "b"
NODE_ADDRESSES = {A: ("10.1.0.1", 9000), B: ("10.1.0.2", 9000)}
DISCOVERY = ("10.2.0.1", 8500)


class End(NamedTuple):
    machine: str
    ip: str
    port: int


@dataclass
class Conn:
    id: int
    client: End
    server: End


@dataclass
class ExecutionRecord:
    node: str
    request: str
    came_ns: int
    process: int = 0
    work_s: float = 0.1
    began_ns: int = 0
    cold: bool = False
    capacity: float = 1.0
    answer: bytes = b""


def entry(name: str, state: str = "Ready", started_ms: int = 0, at: str = "") -> dict[str, Any]:
    ip, port = NODE_ADDRESSES[at or name]
    return {"id": name, "addr": f"{ip}:{port}", "state": state, "weight": 1.0, "started_ms": started_ms}


def list_line(*servers: dict[str, Any], version: int = 8, full: bool = False) -> bytes:
    return json.dumps({"version": version, "full": full, "servers": servers}).encode() + b"\n"


def http(first: str, body: bytes = b"", **headers: str) -> bytes:
    lines = [first, *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items())]
    if not any(name.lower() == "content-length" for name in headers):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def request_bytes(name: str, cls: str = "move", wait_ms: str = "1000", **more: str) -> bytes:
    body = b"" if cls == "look" else b"pay"
    first = f"{'GET' if cls == 'look' else 'POST'} /{cls}?q=1 HTTP/1.1"
    headers = {"Request_Id": name, "Request_Class": cls, "Tenant": "acme", "Request_Timeout_Ms": wait_ms}
    return http(first, body, **{**headers, **more})


@dataclass
class Traffic:
    """Synthetic traffic without delays, fed to a checker; a test advances the clock itself."""

    now: int = 10 * S
    executions: list[ExecutionRecord] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.checker = Checker(Rules.from_settings(SETTINGS), self.executions)
        self.number = 0
        known = {"version": 7, "full": True, "servers": [entry(A), entry(B)]}
        self.checker.sidecar(
            self.now,
            "m0",
            {
                "name": "n0",
                "listen": "10.0.0.1:80",
                "discovery": "10.2.0.1:8500",
                "known": known,
                "admin_addr": "10.0.0.1:81",
            },
        )
        self.checker.actual_list(self.now, known["servers"], True)  # type: ignore[arg-type]
        for name, place in NODE_ADDRESSES.items():
            self.checker.node(self.now, name, place, 0)
        self.checker.process(self.now, "m0", "started")

    def wait(self, ns: int) -> Traffic:
        self.checker.step(self.now)
        self.now += ns
        self.checker.step(self.now)
        return self

    def end(self) -> list[str]:
        return [each.rule for each in self.checker.finish(self.now + 60 * S)]

    def connect(self, server: tuple[str, int], machine: str = "m0", accept: bool = True) -> Conn:
        self.number += 1
        conn = Conn(self.number, End(machine, "10.9.0.1", 30000 + self.number), End("x", *server))
        self.checker.opened(self.now, conn)
        self.checker.established(self.now, conn)
        if accept:
            self.checker.accepted(self.now, conn)
        return conn

    def client(self, machine: str = "clients", accept: bool = True) -> Conn:
        return self.connect(("10.0.0.1", 80), machine, accept)

    def transfer(self, conn: Conn, side: str, data: bytes, read: bool = True, arrive: bool = True) -> None:
        """Send bytes from one side of a connection, and let them arrive and be read at the other."""
        other = "server" if side == "client" else "client"
        self.checker.sent(self.now, conn, side, data)
        if arrive:
            self.checker.arrived(self.now, conn, other, data)
        if arrive and read:
            self.checker.read(self.now, conn, other, data)

    def send_request(
        self, name: str = "r1", cls: str = "move", conn: Conn | None = None, **more: str
    ) -> Conn:
        conn = conn or self.client()
        self.transfer(conn, "client", request_bytes(name, cls, **more))
        return conn

    def send_attempt(
        self, name: str = "r1", cls: str = "move", node: str = A, conn: Conn | None = None, data: bytes = b""
    ) -> Conn:
        conn = conn or self.connect(NODE_ADDRESSES[node])
        self.transfer(conn, "client", data or request_bytes(name, cls))
        return conn

    def execute(self, name: str = "r1", node: str = A, answer: bytes = b"", **more: Any) -> bytes:
        answer = answer or f"{node} made it for {name}".encode()
        self.executions.append(
            ExecutionRecord(node, name, self.now, began_ns=self.now, answer=answer, **more)
        )
        return answer

    def node_answers(self, conn: Conn, first: str, body: bytes = b"", **headers: str) -> None:
        self.transfer(conn, "server", http(f"HTTP/1.1 {first}", body, **headers))

    def answer(self, conn: Conn, status: int, body: bytes = b"") -> None:
        self.transfer(conn, "server", http(f"HTTP/1.1 {status} X", body))

    def open_watch(self, at: tuple[str, int] = DISCOVERY, since: str = "&since=7") -> Conn:
        conn = self.connect(at)
        self.transfer(conn, "client", http(f"GET /v1/endpoints?follow=1{since} HTTP/1.1"))
        self.transfer(conn, "server", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        return conn

    def send_list(self, watch: Conn, line: bytes, arrive: bool = True) -> None:
        self.transfer(watch, "server", b"%x\r\n%s\r\n" % (len(line), line), arrive=arrive)

    def serve_request(
        self, name: str = "r1", cls: str = "move", node: str = A, conn: Conn | None = None
    ) -> Conn:
        """Play a complete request, from its arrival at the sidecar to the answer."""
        conn = self.send_request(name, cls, conn)
        claim = self.send_attempt(name, cls, node)
        body = self.execute(name, node)
        self.node_answers(claim, "200 OK", body)
        self.answer(conn, 200, body)
        return claim


Cases = list[tuple[str, str, Callable[[Traffic], object]]]
CASES: Cases = []


def case(rule: str) -> Callable[[Callable[[Traffic], object]], Callable[[Traffic], object]]:
    """Register a case of traffic that breaks one rule exactly once, or no rule if `rule` is empty."""

    def add(call: Callable[[Traffic], object]) -> Callable[[Traffic], object]:
        CASES.append((rule, call.__name__, call))
        return call

    return add


# --- answers --------------------------------------------------------------------------------------


@case("")
def served(traffic: Traffic) -> None:
    traffic.serve_request()


@case("")
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


@case("")
def served_at_the_last_moment(traffic: Traffic) -> None:
    conn = traffic.send_request(cls="look")
    claim, body = traffic.send_attempt(cls="look"), traffic.execute()
    traffic.node_answers(claim, "200 OK", body)
    traffic.wait(1050 * MS)
    traffic.answer(conn, 200, body)


@case("answer")
def served_a_nanosecond_later(traffic: Traffic) -> None:
    conn = traffic.send_request(cls="look")
    claim, body = traffic.send_attempt(cls="look"), traffic.execute()
    traffic.node_answers(claim, "200 OK", body)
    traffic.wait(1050 * MS + 1)
    traffic.answer(conn, 200, body)


@case("answer")
def never_answered(traffic: Traffic) -> None:
    traffic.send_request()


@case("answer")
def half_an_answer(traffic: Traffic) -> None:
    conn = traffic.send_request(cls="look")
    traffic.transfer(conn, "server", b"HTTP/1.1 502 X\r\nContent-Length: 5\r\n\r\nab")


@case("answer")
def closed_without_an_answer(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.checker.closed(traffic.now, conn, "server")
    traffic.wait(1)
    traffic.checker.closed(traffic.now, conn, "client")


@case("")
def a_close_that_crosses_a_request(traffic: Traffic) -> None:
    conn = traffic.client()
    traffic.serve_request(conn=conn)
    traffic.transfer(conn, "client", request_bytes("r2"), read=False)
    traffic.checker.closed(traffic.now, conn, "server")
    traffic.wait(1)
    traffic.serve_request("r2")


@case("once")
def run_more_often_than_it_was_taken(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.execute()
    traffic.wait(1)
    traffic.serve_request()
    traffic.answer(conn, 502)
    traffic.execute()


@case("answer")
def dropped_from_the_queue(traffic: Traffic) -> None:
    conn = traffic.client(accept=False)
    traffic.transfer(conn, "client", request_bytes("r1"), read=False)
    traffic.checker.ended(traffic.now, conn, "client", "reset")
    traffic.wait(1)
    traffic.checker.closed(traffic.now, conn, "client")


@case("")
def not_accepted_without_descriptors(traffic: Traffic) -> None:
    traffic.checker.descriptors_short(traffic.now, "m0", True)
    traffic.send_request(conn=traffic.client(accept=False))
    traffic.wait(500 * MS).checker.descriptors_short(traffic.now, "m0", False)


@case("answer")
def not_accepted_with_descriptors(traffic: Traffic) -> None:
    traffic.checker.descriptors_short(traffic.now, "m0", True)
    traffic.wait(500 * MS).checker.descriptors_short(traffic.now, "m0", False)
    traffic.wait(1).send_request(conn=traffic.client(accept=False))


@case("answer")
def accepted_and_not_answered_without_descriptors(traffic: Traffic) -> None:
    traffic.checker.descriptors_short(traffic.now, "m0", True)
    traffic.send_request()


@case("")
def told_late_what_was_not_accepted_without_descriptors(traffic: Traffic) -> None:
    traffic.checker.descriptors_short(traffic.now, "m0", True)
    conn = traffic.client(accept=False)
    traffic.send_request(conn=conn)
    traffic.wait(1050 * MS - 2)
    traffic.checker.accepted(traffic.now, conn)
    traffic.now += 4
    traffic.answer(conn, 503)


@case("")
def the_client_leaves(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.checker.closed(traffic.now, conn, "client")


@case("answer")
def the_answer_is_overtaken_by_a_reset(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.transfer(conn, "server", http("HTTP/1.1 502 X"), arrive=False)
    traffic.checker.closed(traffic.now, conn, "server")
    traffic.checker.ended(traffic.now, conn, "client", "reset")


@case("")
def the_client_ends_its_sending(traffic: Traffic) -> None:
    traffic.checker.ended(traffic.now, traffic.send_request(), "server", "fin")


@case("")
def the_network_breaks_its_connection(traffic: Traffic) -> None:
    traffic.checker.ended(traffic.now, traffic.send_request(), "client", "reset")


@case("")
def a_reset_behind_an_answer(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.answer(conn, 502)
    traffic.checker.closed(traffic.now, conn, "server")
    traffic.checker.ended(traffic.now, conn, "client", "reset")


@case("")
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


@case("")
def held_up_and_answered_in_time(traffic: Traffic) -> None:
    delay_request(traffic, 1050 * MS)


@case("answer")
def held_up_and_answered_too_late(traffic: Traffic) -> None:
    delay_request(traffic, 1050 * MS + 1)


@case("")
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


@case("")
def sent_ahead_and_answered_in_time(traffic: Traffic) -> None:
    traffic.answer(pipeline_requests(traffic, 1050 * MS), 503)


@case("answer")
def sent_ahead_and_answered_too_late(traffic: Traffic) -> None:
    traffic.answer(pipeline_requests(traffic, 1050 * MS + 1), 503)


@case("")
def sent_ahead_and_closed(traffic: Traffic) -> None:
    traffic.checker.closed(traffic.now, pipeline_requests(traffic, MS), "server")


@case("")
def asked_whether_it_is_ready(traffic: Traffic) -> None:
    conn = traffic.client()
    traffic.transfer(conn, "client", http("GET /ready HTTP/1.1"))
    traffic.wait(9 * S).answer(conn, 200, b"ready")


@case("")
def an_id_used_again_after_its_answer(traffic: Traffic) -> None:
    traffic.serve_request()
    traffic.wait(MS).serve_request()


@case("")
def killed_over_it(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.checker.closed(traffic.now, conn, "server")
    traffic.checker.process(traffic.now, "m0", "killed")


@case("answer")
def killed_over_what_came_long_after_sigterm(traffic: Traffic) -> None:
    traffic.checker.process(traffic.now, "m0", "signal 15")
    traffic.wait(700 * MS + 1).send_request(wait_ms="9000")
    traffic.wait(4 * S).checker.process(traffic.now, "m0", "killed")


@case("")
def killed_over_what_came_soon_after_sigterm(traffic: Traffic) -> None:
    traffic.checker.process(traffic.now, "m0", "signal 15")
    traffic.wait(700 * MS).send_request(wait_ms="9000")
    traffic.wait(4 * S).checker.process(traffic.now, "m0", "killed")


@case("answer")
def ends_over_it_after_sigterm(traffic: Traffic) -> None:
    traffic.send_request()
    traffic.checker.process(traffic.now, "m0", "signal 15")
    traffic.checker.process(traffic.now, "m0", "exited")


@case("crash")
def ends_unasked(traffic: Traffic) -> None:
    traffic.checker.process(traffic.now, "m0", "exited")


@case("one-answer")
def two_answers(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.answer(conn, 502)
    traffic.answer(conn, 502)


@case("one-answer")
def two_answers_at_once(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.transfer(conn, "server", http("HTTP/1.1 502 X") * 2)


@case("")
def told_off_for_half_a_request(traffic: Traffic) -> None:
    conn = traffic.client()
    traffic.transfer(conn, "client", request_bytes("r1")[:50])
    traffic.answer(conn, 408)


@case("made-answer")
def served_with_something_else(traffic: Traffic) -> None:
    conn = traffic.send_request()
    body = traffic.execute()
    traffic.send_attempt()
    traffic.answer(conn, 200, body[:-1])


@case("other-answer")
def served_with_the_answer_of_another(traffic: Traffic) -> None:
    conn = traffic.send_request("r1")
    traffic.send_attempt("r1")
    traffic.send_request("r2")
    body = traffic.execute("r2")
    traffic.answer(conn, 200, body)
    traffic.checker.process(traffic.now, "m0", "killed")


# --- non-idempotent requests ----------------------------------------------------------------------


@case("")
def refused_before_it_was_sent(traffic: Traffic) -> None:
    traffic.answer(traffic.send_request(), 503)


@case("")
def refused_after_proof(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.node_answers(traffic.send_attempt(), "503 X", Not_Started="1")
    traffic.answer(conn, 503)


@case("refusal")
def refused_after_a_503_that_proves_nothing(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.node_answers(traffic.send_attempt(), "503 X")
    traffic.answer(conn, 503)


@case("refusal")
def refused_after_a_reset(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.checker.ended(traffic.now, traffic.send_attempt(), "client", "reset")
    traffic.answer(conn, 429)


@case("")
def failed_after_a_reset(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.checker.ended(traffic.now, traffic.send_attempt(), "client", "reset")
    traffic.answer(conn, 502)


@case("")
def what_may_be_repeated_is_refused_and_repeated(traffic: Traffic) -> None:
    conn = traffic.send_request(cls="look")
    for node in (A, B):
        traffic.checker.ended(traffic.now, traffic.send_attempt(cls="look", node=node), "client", "reset")
        traffic.execute(node=node)
    traffic.answer(conn, 503)


@case("refusal")
def refused_after_a_proof_that_came_behind_an_answer(traffic: Traffic) -> None:
    conn, claim = traffic.send_request(), traffic.send_attempt()
    traffic.node_answers(claim, "500 X")
    traffic.node_answers(claim, "503 X", Not_Started="1")
    traffic.answer(conn, 503)


@case("")
def sent_again_after_proof(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.node_answers(traffic.send_attempt(), "504 X", Not_Started="1")
    traffic.node_answers(traffic.send_attempt(node=B), "200 OK", body := traffic.execute(node=B))
    traffic.answer(conn, 200, body)


@case("")
def sent_again_after_a_break_before_the_last_byte(traffic: Traffic) -> None:
    conn = traffic.send_request()
    first = traffic.send_attempt(data=request_bytes("r1")[:-1])
    traffic.checker.ended(traffic.now, first, "client", "reset")
    traffic.node_answers(traffic.send_attempt(node=B), "200 OK", body := traffic.execute(node=B))
    traffic.answer(conn, 200, body)


@case("repeat")
def sent_again_after_a_reset(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.checker.ended(traffic.now, traffic.send_attempt(), "client", "reset")
    traffic.send_attempt(node=B)
    traffic.answer(conn, 502)


@case("once")
def run_twice(traffic: Traffic) -> None:
    traffic.serve_request()
    traffic.execute(node=B)


@case("attempts")
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


@case("for-nobody")
def passed_on_long_after_its_client_left(traffic: Traffic) -> None:
    send_after_client_close(traffic, 301 * MS)


@case("")
def passed_on_as_its_client_left(traffic: Traffic) -> None:
    send_after_client_close(traffic, 299 * MS)


@case("copies")
def two_at_once(traffic: Traffic) -> None:
    conn = traffic.send_request(cls="look")
    traffic.send_attempt(cls="look")
    traffic.send_attempt(cls="look", node=B)
    traffic.answer(conn, 502)


# --- drains ---------------------------------------------------------------------------------------


def send_after_drain(traffic: Traffic, after: int, *lines: bytes) -> None:
    watch = traffic.open_watch()
    for line in lines or (list_line(entry(A, "Terminating")),):
        traffic.send_list(watch, line)
    traffic.wait(after).serve_request(cls="look")


@case("")
def sent_at_the_limit(traffic: Traffic) -> None:
    send_after_drain(traffic, 500_000_000)


@case("drain")
def sent_a_nanosecond_past_it(traffic: Traffic) -> None:
    send_after_drain(traffic, 500_000_001)


@case("drain")
def sent_though_gone(traffic: Traffic) -> None:
    send_after_drain(traffic, 500_000_001, list_line(entry(A, "Gone")))


def fetch_list(traffic: Traffic, **headers: str) -> None:
    """Fetch the whole list with a single request, without a watch."""
    conn, body = traffic.connect(DISCOVERY), list_line(entry(A, "Terminating"), entry(B), full=True)
    traffic.transfer(conn, "client", http("GET /v1/endpoints HTTP/1.1"))
    traffic.transfer(conn, "server", http("HTTP/1.1 200 OK", body[:-1], **headers))
    traffic.checker.closed(traffic.now, conn, "client")


@case("drain")
def sent_though_a_fetched_list_tells(traffic: Traffic) -> None:
    fetch_list(traffic)
    traffic.wait(500_000_001).serve_request(cls="look")


@case("")
def a_fetched_list_that_is_cut_short(traffic: Traffic) -> None:
    fetch_list(traffic, Content_Length="9999")
    traffic.wait(500_000_001).serve_request(cls="look")


@case("drain")
def sent_though_missing_from_the_list(traffic: Traffic) -> None:
    send_after_drain(traffic, 500_000_001, list_line(entry(B), full=True))


@case("")
def sent_though_the_line_makes_no_sense(traffic: Traffic) -> None:
    send_after_drain(traffic, 1 * S, b'{"version":8,"servers":[{"id":"a","state":"Gone"},{"id":"b"}]}\n')


@case("")
def sent_after_the_drain_was_taken_back(traffic: Traffic) -> None:
    send_after_drain(traffic, 1 * S, list_line(entry(A, "Terminating")), list_line(entry(A), version=9))


@case("")
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


@case("")
def a_new_node_at_the_address(traffic: Traffic) -> None:
    traffic.checker.node(traffic.now, "c", NODE_ADDRESSES[A], 5)
    send_after_drain(traffic, 1 * S, list_line(entry(A, "Gone"), entry("c", started_ms=5, at=A)))


@case("drain")
def a_connection_to_the_node_that_was_there(traffic: Traffic) -> None:
    claim = traffic.serve_request(cls="look")
    traffic.checker.node(traffic.now, "c", NODE_ADDRESSES[A], 5)
    traffic.send_list(traffic.open_watch(), list_line(entry(A, "Gone"), entry("c", started_ms=5, at=A)))
    conn = traffic.wait(500_000_001).send_request("r2", "look")
    traffic.send_attempt("r2", "look", conn=claim)
    traffic.answer(conn, 502)


@case("drain")
def a_connection_to_the_process_before(traffic: Traffic) -> None:
    claim = traffic.serve_request(cls="look")
    traffic.send_list(traffic.open_watch(), list_line(entry(A, started_ms=5)))
    conn = traffic.wait(500_000_001).send_request("r2", "look")
    traffic.send_attempt("r2", "look", conn=claim)
    traffic.answer(conn, 502)


@case("drain")
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


@case("")
def watches_all_the_while(traffic: Traffic) -> None:
    send_without_updates(traffic, 20 * S, traffic.open_watch)


@case("drain")
def has_not_watched_since(traffic: Traffic) -> None:
    def first() -> None:
        traffic.checker.ended(traffic.now, traffic.open_watch(), "client", "fin")

    send_without_updates(traffic, 10_500_000_001, first)


@case("drain")
def has_closed_its_watch(traffic: Traffic) -> None:
    def first() -> None:
        traffic.checker.closed(traffic.now, traffic.open_watch(), "client")

    send_without_updates(traffic, 10_500_000_001, first)


def fail_discovery_request(traffic: Traffic) -> None:
    conn = traffic.connect(DISCOVERY)
    traffic.transfer(conn, "client", http("GET /v1/endpoints?follow=1 HTTP/1.1"))
    traffic.transfer(conn, "server", http("HTTP/1.1 503 X"))
    traffic.checker.closed(traffic.now, conn, "client")


@case("")
def its_call_failed_not_so_long_ago(traffic: Traffic) -> None:
    send_without_updates(traffic, 40_500_000_000, lambda: fail_discovery_request(traffic))


@case("drain")
def its_call_failed_too_long_ago(traffic: Traffic) -> None:
    send_without_updates(traffic, 40_500_000_001, lambda: fail_discovery_request(traffic))


@case("drain")
def a_line_that_the_network_kept_counts_as_told(traffic: Traffic) -> None:
    line = list_line(entry(A, "Terminating"))
    watch, data = traffic.open_watch(), b"%x\r\n%s\r\n" % (len(line), line)
    traffic.checker.sent(traffic.now, watch, "server", data)
    traffic.wait(7 * S).checker.arrived(traffic.now, watch, "client", data)
    # The list counts as received 6 s after its writing, not on its arrival.
    traffic.wait(MS).serve_request(cls="look")


@case("")
def a_line_that_the_network_held_up(traffic: Traffic) -> None:
    line = list_line(entry(A, "Terminating"))
    watch, data = traffic.open_watch(), b"%x\r\n%s\r\n" % (len(line), line)
    traffic.checker.sent(traffic.now, watch, "server", data)
    traffic.wait(2 * S).checker.arrived(traffic.now, watch, "client", data)
    traffic.wait(500 * MS).serve_request(cls="look")


@case("drain")
def sent_to_where_a_node_was(traffic: Traffic) -> None:
    claim = traffic.serve_request(cls="look")
    traffic.send_list(traffic.open_watch(), list_line(entry(A, at=B)))
    conn = traffic.wait(500_000_001).send_request("r2", "look")
    traffic.send_attempt("r2", "look", conn=claim)
    traffic.answer(conn, 502)


@case("unlisted")
def sent_to_nobody(traffic: Traffic) -> None:
    conn = traffic.send_request()
    claim = traffic.connect(("10.1.0.9", 9000))
    traffic.send_attempt(conn=claim)
    traffic.answer(conn, 502)


def send_after_true_drain(traffic: Traffic, after: int) -> None:
    traffic.open_watch()
    traffic.checker.actual_list(traffic.now, [entry(A, "Terminating")])
    traffic.wait(after).serve_request(cls="look")


@case("")
def counts_as_told_at_the_limit(traffic: Traffic) -> None:
    send_after_true_drain(traffic, 6_500_000_000)


@case("drain")
def counts_as_told_a_nanosecond_past_it(traffic: Traffic) -> None:
    send_after_true_drain(traffic, 6_500_000_001)


@case("")
def discovery_was_down_meanwhile(traffic: Traffic) -> None:
    traffic.checker.discovery_available(traffic.now, False)
    send_after_true_drain(traffic, 7 * S)


@case("drain")
def counts_as_told_since_it_never_asks(traffic: Traffic) -> None:
    traffic.checker.discovery_available(traffic.now, False)
    traffic.checker.actual_list(traffic.now, [entry(A, "Terminating")])
    traffic.wait(10_500_000_001).serve_request(cls="look")


@case("")
def never_asks_for_not_quite_so_long(traffic: Traffic) -> None:
    traffic.checker.discovery_available(traffic.now, False)
    traffic.checker.actual_list(traffic.now, [entry(A, "Terminating")])
    traffic.wait(10_500_000_000).serve_request(cls="look")


@case("drain")
def counts_as_told_after_a_reload(traffic: Traffic) -> None:
    traffic.checker.actual_list(traffic.now, [entry(A, "Terminating")])
    traffic.checker.process(traffic.now, "m0", "signal 1")
    traffic.wait(4_500_000_001).serve_request(cls="look")


@case("")
def a_line_is_told_when_written(traffic: Traffic) -> None:
    line = list_line(entry(A, "Terminating"))
    watch, data = traffic.open_watch(), b"%x\r\n%s\r\n" % (len(line), line)
    traffic.checker.sent(traffic.now, watch, "server", data)
    traffic.wait(50 * MS).checker.arrived(traffic.now, watch, "client", data)
    traffic.wait(450 * MS).serve_request(cls="look")


@case("drain")
def a_line_is_told_when_written_and_no_later(traffic: Traffic) -> None:
    line = list_line(entry(A, "Terminating"))
    watch, data = traffic.open_watch(), b"%x\r\n%s\r\n" % (len(line), line)
    traffic.checker.sent(traffic.now, watch, "server", data)
    traffic.wait(50 * MS).checker.arrived(traffic.now, watch, "client", data)
    traffic.wait(450 * MS + 1).serve_request(cls="look")


@case("versions")
def asks_a_new_discovery_for_an_old_version(traffic: Traffic) -> None:
    traffic.checker.discovery(("10.2.0.2", 8500))
    traffic.open_watch(("10.2.0.2", 8500))


@case("")
def asks_a_new_discovery_for_everything(traffic: Traffic) -> None:
    traffic.checker.discovery(("10.2.0.2", 8500))
    watch = traffic.open_watch(("10.2.0.2", 8500), "")
    traffic.send_list(watch, list_line(entry(A), version=3, full=True))
    traffic.open_watch(("10.2.0.2", 8500), "&since=3")


# --- connections ----------------------------------------------------------------------------------


def reuse_connection(traffic: Traffic, between: Callable[[Conn], object], first: str = "200 OK") -> None:
    conn, claim = traffic.send_request(cls="look"), traffic.send_attempt(cls="look")
    traffic.node_answers(claim, first, body := traffic.execute())
    traffic.answer(conn, 200, body)
    between(claim)
    traffic.wait(1)
    conn = traffic.send_request("r2", "look")
    traffic.send_attempt("r2", "look", conn=claim)
    traffic.answer(conn, 502)


@case("")
def a_connection_is_used_again(traffic: Traffic) -> None:
    reuse_connection(traffic, lambda claim: None)


@case("dirty")
def with_bytes_waiting(traffic: Traffic) -> None:
    reuse_connection(traffic, lambda claim: traffic.transfer(claim, "server", b"x", read=False))


@case("dirty")
def with_bytes_read_behind_an_answer(traffic: Traffic) -> None:
    reuse_connection(traffic, lambda claim: traffic.transfer(claim, "server", b"x"))


@case("dirty")
def with_an_end_waiting(traffic: Traffic) -> None:
    reuse_connection(traffic, lambda claim: traffic.checker.ended(traffic.now, claim, "client", "fin"))


@case("dirty")
def that_the_node_was_to_close(traffic: Traffic) -> None:
    conn, claim = traffic.send_request(cls="look"), traffic.send_attempt(cls="look")
    traffic.node_answers(claim, "200 OK", body := traffic.execute(), Connection="close")
    traffic.answer(conn, 200, body)
    conn = traffic.wait(1).send_request("r2", "look")
    traffic.send_attempt("r2", "look", conn=claim)
    traffic.answer(conn, 502)


@case("")
def after_answers_ahead_of_the_answer(traffic: Traffic) -> None:
    conn, claim = traffic.send_request(cls="look"), traffic.send_attempt(cls="look")
    traffic.transfer(claim, "server", b"HTTP/1.1 103 Early\r\n\r\n" * 2)
    traffic.node_answers(claim, "200 OK", body := traffic.execute())
    traffic.answer(conn, 200, body)
    conn = traffic.wait(1).send_request("r2", "look")
    traffic.send_attempt("r2", "look", conn=claim)
    traffic.answer(conn, 502)


@case("shared")
def two_written_at_once(traffic: Traffic) -> None:
    conn, other = traffic.send_request(cls="look"), traffic.send_request("r2", cls="look")
    traffic.send_attempt(data=request_bytes("r1", "look") + request_bytes("r2", "look"))
    traffic.answer(conn, 502)
    traffic.answer(other, 502)


@case("shared")
def with_another_out(traffic: Traffic) -> None:
    conn, other = traffic.send_request(cls="look"), traffic.send_request("r2", cls="look")
    claim = traffic.send_attempt(cls="look")
    traffic.send_attempt("r2", cls="look", conn=claim)
    traffic.answer(conn, 502)
    traffic.answer(other, 502)


# --- forwarded requests ---------------------------------------------------------------------------


@case("unasked")
def something_that_nobody_asked_for(traffic: Traffic) -> None:
    traffic.send_attempt("r9")


@case("changed")
def another_body(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.send_attempt(data=request_bytes("r1").replace(b"pay", b"PAY"))
    traffic.answer(conn, 502)


@case("framing")
def a_length_and_a_coding(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.send_attempt(data=request_bytes("r1").replace(b"Tenant", b"Transfer-Encoding: chunked\r\nTenant"))
    traffic.answer(conn, 502)


@case("told-off")
def told_off_though_it_can_be_served(traffic: Traffic) -> None:
    traffic.answer(traffic.send_request(), 400)


@case("told-off")
def sent_elsewhere(traffic: Traffic) -> None:
    traffic.answer(traffic.send_request(cls="look"), 302)


@case("")
def told_off_for_an_id_in_use(traffic: Traffic) -> None:
    conn = traffic.send_request()
    traffic.answer(traffic.send_request(), 400)
    traffic.answer(conn, 429)


@case("")
def told_off_before_its_end_was_read(traffic: Traffic) -> None:
    conn = traffic.client()
    traffic.transfer(conn, "client", request_bytes("r1"), read=False)
    traffic.answer(conn, 408)


@case("unusable")
def served_without_a_deadline(traffic: Traffic) -> None:
    traffic.answer(traffic.send_request(wait_ms="soon"), 200, b"")


@case("")
def told_off_without_a_deadline(traffic: Traffic) -> None:
    traffic.answer(traffic.send_request(wait_ms="soon"), 400)


# --- bad clients ----------------------------------------------------------------------------------


def misbehave(traffic: Traffic, do: Callable[[Conn], object]) -> None:
    traffic.checker.bad_client("rude")
    conn = traffic.client("rude")
    do(conn)


@case("bad-client")
def kept_waiting(traffic: Traffic) -> None:
    misbehave(traffic, lambda conn: traffic.transfer(conn, "client", b"GET"))


@case("bad-client")
def kept_waiting_with_a_whole_request(traffic: Traffic) -> None:
    misbehave(traffic, lambda conn: traffic.send_request(conn=conn, wait_ms="soon"))


@case("bad-client")
def accepted_and_kept_waiting_without_descriptors(traffic: Traffic) -> None:
    traffic.checker.descriptors_short(traffic.now, "m0", True)
    misbehave(traffic, lambda conn: None)


@case("")
def closed_in_time(traffic: Traffic) -> None:
    misbehave(traffic, lambda conn: traffic.wait(3 * S).checker.closed(traffic.now, conn, "server"))


@case("bad-client")
def closed_too_late(traffic: Traffic) -> None:
    misbehave(traffic, lambda conn: traffic.wait(3050 * MS + 1).checker.closed(traffic.now, conn, "server"))


@case("")
def left_by_itself(traffic: Traffic) -> None:
    misbehave(traffic, lambda conn: traffic.wait(S).checker.closed(traffic.now, conn, "client"))


@case("answer")
def bad_but_owed_what_can_be_served(traffic: Traffic) -> None:
    misbehave(traffic, lambda conn: traffic.send_request(conn=conn, wait_ms="9000"))


@case("")
def kept_waiting_without_descriptors(traffic: Traffic) -> None:
    traffic.checker.bad_client("rude")
    traffic.checker.descriptors_short(traffic.now, "m0", True)
    traffic.client("rude", accept=False)


@case("")
def both_framings_turned_away(traffic: Traffic) -> None:
    both = request_bytes("r1").replace(b"Tenant", b"Transfer-Encoding: chunked\r\nTenant")

    def do(conn: Conn) -> None:
        traffic.transfer(conn, "client", both)
        traffic.answer(conn, 400)

    misbehave(traffic, do)


# --- cold nodes -----------------------------------------------------------------------------------


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


@case("cold")
def a_burst_on_a_cold_node(traffic: Traffic) -> None:
    # 5 s of work exceed the budget of 3 s with its allowance of 0.55 s for chance.
    load_cold_node(traffic, 50, every_ms=10)


@case("")
def as_much_spread_out(traffic: Traffic) -> None:
    load_cold_node(traffic, 50, every_ms=100)


@case("")
def by_those_who_were_not_told(traffic: Traffic) -> None:
    load_cold_node(traffic, 50, informed=False, every_ms=10)


# --- recovery -------------------------------------------------------------------------------------


def after_faults(traffic: Traffic, served: int, of: int, wait_s: int) -> None:
    traffic.checker.faults_ended(traffic.now)
    traffic.wait(wait_s * S)
    for number in range(of):
        if number < served:
            traffic.serve_request(f"r{number}", "look")
        else:
            traffic.answer(traffic.send_request(f"r{number}", "look"), 503)
        traffic.wait(MS)


# --- operators ------------------------------------------------------------------------------------


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


@case("")
def sent_to_a_node_taken_out_at_the_limit(traffic: Traffic) -> None:
    call_offline(traffic)
    traffic.wait(500 * MS).serve_request()


@case("drain")
def sent_to_a_node_taken_out_1_ns_past_the_limit(traffic: Traffic) -> None:
    call_offline(traffic)
    traffic.wait(500 * MS + 1).serve_request()


@case("drain")
def taken_out_whatever_discovery_says(traffic: Traffic) -> None:
    call_offline(traffic)
    traffic.wait(300 * MS)
    call_offline(traffic)  # a repeated call does not restart the grace period
    traffic.send_list(traffic.open_watch(), list_line(entry(A), entry(B), full=True))
    traffic.wait(300 * MS).serve_request()


@case("")
def taken_out_and_back(traffic: Traffic) -> None:
    call_offline(traffic)
    traffic.wait(S)
    call_admin(traffic, f"registry-nodes/{A}/online")
    traffic.serve_request()


@case("")
def a_no_binds_nobody(traffic: Traffic) -> None:
    call_offline(traffic, B)
    call_admin(traffic, "registry-nodes/x/offline", 404)
    traffic.wait(900 * MS).serve_request()


@case("drain")
def a_call_binds_after_a_second_without_a_yes(traffic: Traffic) -> None:
    call_offline(traffic, status=None)
    traffic.wait(1500 * MS + 1).serve_request()


@case("")
def a_call_without_a_yes_has_a_second(traffic: Traffic) -> None:
    call_offline(traffic, status=None)
    traffic.wait(1500 * MS).serve_request()


@case("service")
def ready_while_out_of_service(traffic: Traffic) -> None:
    call_admin(traffic, "out-of-service")
    probe_readiness(traffic, 200)


@case("")
def out_of_service_and_back(traffic: Traffic) -> None:
    probe_readiness(traffic, 200)
    call_admin(traffic, "out-of-service")
    probe_readiness(traffic, 503)
    traffic.wait(S)
    call_admin(traffic, "in-service")
    probe_readiness(traffic, 200)


@case("service")
def not_ready_long_after_it_is_back(traffic: Traffic) -> None:
    call_admin(traffic, "out-of-service")
    call_admin(traffic, "in-service")
    traffic.wait(1500 * MS + 1)
    probe_readiness(traffic, 503)


@case("")
def not_ready_yet(traffic: Traffic) -> None:
    traffic.wait(1500 * MS)
    probe_readiness(traffic, 503)


@case("service")
def a_connection_rests_while_out_of_service(traffic: Traffic) -> None:
    traffic.serve_request()
    call_admin(traffic, "out-of-service")
    traffic.wait(2 * S)


@case("")
def a_connection_that_rests_is_closed_in_time(traffic: Traffic) -> None:
    conn = traffic.client()
    traffic.serve_request("r1", "look", conn=conn)
    call_admin(traffic, "out-of-service")
    traffic.wait(S)
    traffic.checker.closed(traffic.now, conn, "server")
    traffic.wait(2 * S)


@case("recovery")
def still_ill(traffic: Traffic) -> None:
    after_faults(traffic, 94, 100, 3)


@case("")
def well_again(traffic: Traffic) -> None:
    after_faults(traffic, 95, 100, 3)


@case("")
def too_few_to_tell(traffic: Traffic) -> None:
    after_faults(traffic, 0, 7, 3)


@case("recovery")
def just_enough_to_tell(traffic: Traffic) -> None:
    after_faults(traffic, 0, 8, 3)


@case("")
def one_lost_of_few(traffic: Traffic) -> None:
    after_faults(traffic, 11, 12, 3)


@case("recovery")
def two_lost_of_few(traffic: Traffic) -> None:
    after_faults(traffic, 17, 19, 3)


@case("")
def refused_and_served_when_tried_again(traffic: Traffic) -> None:
    traffic.checker.faults_ended(traffic.now)
    traffic.wait(3 * S)
    for number in range(30):
        traffic.answer(traffic.send_request(f"r{number}", "look"), 503)
        traffic.wait(MS).serve_request(f"r{number}-1", "look")


@case("")
def bad_clients_are_not_asked(traffic: Traffic) -> None:
    traffic.checker.bad_client("rude")
    traffic.checker.faults_ended(traffic.now)
    traffic.wait(3 * S)
    for number in range(30):
        traffic.answer(traffic.send_request(f"r{number}", "look", traffic.client("rude")), 503)


@case("")
def not_asked_to_be_well_yet(traffic: Traffic) -> None:
    after_faults(traffic, 0, 100, 2)


@pytest.mark.parametrize(("lost", "rules"), [(1, []), (2, ["recovery"])])
def test_who_is_not_let_in_is_not_served(lost: int, rules: list[str]) -> None:
    traffic = Traffic()
    after_faults(traffic, 10, 10, 3)
    before = [(10 * S, "long before")] * 9
    found = traffic.checker.finish(traffic.now + 60 * S, (), before + [(traffic.now, "r99")] * lost)
    assert [each.rule for each in found] == rules


@pytest.mark.parametrize(("rule", "name", "call"), CASES, ids=[name for _, name, _ in CASES])
def test_wire(rule: str, name: str, call: Callable[[Traffic], object]) -> None:
    traffic = Traffic()
    call(traffic)
    found = traffic.end()
    assert found == ([rule] if rule else []), "\n".join(map(str, traffic.checker.breaches))


def test_every_rule_can_be_broken() -> None:
    elsewhere = {"left-over", "replay", "timers", "report"}
    assert {rule for rule, _, _ in CASES if rule} == set(RULES) - elsewhere


def test_left_over() -> None:
    traffic = Traffic()
    (breach,) = traffic.checker.finish(traffic.now, ["n0: 1 tickets"])
    assert breach.rule == "left-over" and "1 tickets" in str(breach)


def test_a_breach_tells_what_led_to_it() -> None:
    traffic = Traffic()
    send_after_drain(traffic, 500_000_001)
    text = str(traffic.checker.breaches[0])
    assert "first byte 1 ns too late" in text
    assert "is told changes, version 8" in text and "a Terminating" in text


def test_a_breach_tells_the_life_of_its_request() -> None:
    traffic = Traffic()
    conn = traffic.send_request()
    traffic.checker.ended(traffic.now, traffic.send_attempt(), "client", "reset")
    traffic.node_answers(traffic.send_attempt(node=B), "503 X", Not_Started="1")
    traffic.answer(conn, 503)
    first, second = traffic.checker.breaches
    assert (first.rule, second.rule) == ("repeat", "refusal")
    for line in (
        "n0 takes r1 from 10.9.0.1", "first byte to a at", "written whole to a at",
        "a at 10.1.0.1:9000 ended it",
        "sent again to b", "503 from b at 10.1.0.2:9000, not started", "n0 answers 503",
    ):  # fmt: skip
        assert line in str(second), line


# --- captures -------------------------------------------------------------------------------------


def report_rules(traffic: Traffic, *metrics: float | None) -> list[str]:
    """Return the broken rules if a capture has these metrics while the answer reported 0.5 and 14."""
    conn = traffic.send_request(cls="look")
    claim, body = traffic.send_attempt(cls="look"), traffic.execute()
    traffic.node_answers(claim, "200 OK", body, Server_Load='{"util":0.5,"qps":14}')
    traffic.answer(conn, 200, body)
    end = {"server": A, "status": "ok", "report": list(metrics) or None}
    return check_capture(traffic, {"t_ns": 1, "ev": "attempt", "id": "r1", "in": end, "out": []})


def test_reports_that_the_module_was_told() -> None:
    assert "report" not in report_rules(Traffic(), 0.5, 14.0)
    assert "report" in report_rules(Traffic(), 0.5, 13.0)
    assert "report" in report_rules(Traffic(), None, None)
    assert "report" in report_rules(Traffic())


@pytest.mark.parametrize(
    ("text", "metrics"),
    [
        ('{"util":0.61,"qps":7}', (0.61, 7.0)), ('{"utilization":1,"throughput":2.5}', (1.0, 2.5)),
        ('{"util":-1,"qps":true}', (None, None)), ("[1]", (None, None)), ("q7!", (None, None)),
        ('{"qps":1e999}', (None, None)), ('{"util":0}', (0.0, None)), (None, None),
    ],
)  # fmt: skip
def test_load_reports(text: str | None, metrics: object) -> None:
    headers = [] if text is None else [("server-load", text)]
    assert load_report(Message("HTTP/1.1 200 OK", headers, 0)) == metrics


def check_capture(traffic: Traffic, *records: dict[str, Any]) -> list[str]:
    lines = [json.dumps({"ev": "start", "v": 1}), *map(json.dumps, records), "time=1 level=info"]
    traffic.checker.captured(traffic.now, "m0", "\n".join(lines).encode())
    return [each.rule for each in traffic.checker.breaches]


def record(t_ms: int, ev: str = "request", token: int = 0, timer_ms: int = 0) -> dict[str, Any]:
    actions = [["timer", timer_ms * MS, token]] if timer_ms else []
    return {"t_ns": t_ms * MS, "ev": ev, "in": {"token": token}, "out": actions}


def test_timers_that_came() -> None:
    assert "timers" not in check_capture(
        Traffic(), record(1, timer_ms=100), record(100, "timer", timer_ms=200), record(700)
    )


def test_a_timer_that_never_came() -> None:
    assert "timers" in check_capture(Traffic(), record(1, timer_ms=100), record(601))


def test_a_capture_that_is_refused() -> None:
    assert "replay" in check_capture(Traffic(), record(1))


# --- parsers --------------------------------------------------------------------------------------


@pytest.mark.parametrize("step", [1, 2, 3, 7, 1000])
def test_readers_cut_where_messages_end(step: int) -> None:
    one = http("GET /a HTTP/1.1", A="b")
    two = (
        b"POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: u\r\n\r\n"
    )
    data, reader = one + b"\r\n" + two + one, MessageReader(answers=False)
    found = [
        message for at in range(0, len(data), step) for message in reader.feed(data[at : at + step])
    ]  # fmt: skip
    assert [message.body for message in found] == [b"", b"abcde", b""]
    assert found[1].begin == len(one) + 2 and found[1].end == found[2].begin == len(one) + 2 + len(two)
    assert found[2].end == len(data) and not reader.has_partial


@pytest.mark.parametrize(
    "head",
    [
        "Content-Length: 1\r\nTransfer-Encoding: chunked", "Content-Length: 1\r\nContent-Length: 2",
        "Content-Length: -1", "Content-Length: 99999999999", "Transfer-Encoding: gzip", "no colon", ": x",
    ],
)  # fmt: skip
def test_framing_that_can_be_read_in_two_ways(head: str) -> None:
    reader = MessageReader(answers=False)
    assert reader.feed(f"POST /a HTTP/1.1\r\n{head}\r\n\r\nabc".encode()) == []
    assert reader.fault is not None and reader.has_partial


def test_an_answer_without_framing_never_ends() -> None:
    reader = MessageReader(answers=True)
    assert reader.feed(b"HTTP/1.1 200 OK\r\n\r\nabc") == [] and reader.has_partial


def test_bad_chunks() -> None:
    for data in (b"zz\r\n", b"3\r\nabcd\r\n", b"-1\r\n"):
        chunks = ChunkDecoder()
        chunks.feed(data)
        assert chunks.fault is not None


@pytest.mark.parametrize("step", [1, 5, 1000])
def test_lines_of_a_watch(step: int) -> None:
    data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n5\r\nc\n\nde\r\n"
    lines = LineReader()
    found = [line for at in range(0, len(data), step) for line in lines.feed(data[at : at + step])]
    assert found == [b"abc", b""] and not lines.done
    assert lines.feed(b"1\r\n\n\r\n0\r\n\r\n") == [b"de"] and lines.done


LOOK = "GET /look HTTP/1.1"
GOOD = {"Request_Id": "r1", "Request_Class": "look", "Tenant": "acme", "Request_Timeout_Ms": "500"}


@pytest.mark.parametrize(
    ("first", "headers", "fault"),
    [
        (LOOK, {}, None), ("GET /look/a?b=c HTTP/1.0", {}, None),
        ("GET /look HTTP/2", {}, "line"),
        ("GET look HTTP/1.1", {}, "line"), ("GET /look", {}, "line"), ("GET", {}, "line"),
        ("GET /ready HTTP/1.1", {}, judge.READY), ("POST /ready HTTP/1.1", {}, "class does not"),
        ("POST /look HTTP/1.1", {}, "method"), ("GET /move HTTP/1.1", {"Request_Class": "move"}, "method"),
        ("GET /other HTTP/1.1", {}, "class does not"),
        (LOOK, {"Request_Class": "move"}, "path"),
        (LOOK, {"Request_Id": ""}, "id"), (LOOK, {"Request_Id": "a b"}, "id"),
        (LOOK, {"Request_Id": "!" + "~" * 127}, None),
        (LOOK, {"Request_Id": "x" * 129}, "id"),
        (LOOK, {"Request_Timeout_Ms": "0"}, "deadline"),
        (LOOK, {"Request_Timeout_Ms": "-5"}, "deadline"),
        (LOOK, {"Request_Timeout_Ms": "1" * 9}, None),
        (LOOK, {"Request_Timeout_Ms": "1" * 10}, "deadline"),
        (LOOK, {"Tenant": "other"}, "tenant"),
        (LOOK, {"Work_Hint": "12.5"}, None), (LOOK, {"Work_Hint": "x"}, "hint"),
    ],
)  # fmt: skip
def test_requests_that_can_be_served(first: str, headers: dict[str, str], fault: str | None) -> None:
    (message,) = MessageReader(answers=False).feed(http(first, b"", **{**GOOD, **headers}))
    found = judge.find_request_fault(message, Rules.from_settings(SETTINGS))
    assert found is None if fault is None else found is not None and fault in found


@pytest.mark.parametrize(("size", "sound"), [(64 * 1024, True), (64 * 1024 + 1, False)])
def test_a_body_that_is_too_large(size: int, sound: bool) -> None:
    (message,) = MessageReader(answers=False).feed(
        http("POST /move HTTP/1.1", b"x" * size, **{**GOOD, "Request_Class": "move"})
    )
    assert (judge.find_request_fault(message, Rules.from_settings(SETTINGS)) is None) is sound


@pytest.mark.parametrize(
    ("changed", "sound"),
    [
        ({}, True), ({"id": ""}, False), ({"id": 5}, False), ({"state": "Odd"}, False),
        ({"addr": "a"}, False),
        ({"addr": ":80"}, False), ({"addr": "a:65535"}, True), ({"addr": "a:65536"}, False),
        ({"addr": 5, "state": "Gone"}, True), ({"weight": -1}, False), ({"weight": True}, False),
        ({"weight": 0}, True), ({"weight": "1"}, False), ({"weight": 1e999}, False), ({"cell": -1}, False),
        ({"cell": 1.5}, False), ({"started_ms": -1}, False), ({"started_ms": 7}, True),
    ],
)  # fmt: skip
def test_entries_that_make_sense(changed: dict[str, Any], sound: bool) -> None:
    line = list_line({**entry(A), **changed})
    assert (parse_update(line) is not None) is sound


def test_lists_that_make_no_sense() -> None:
    for line in (b"[]", b"{}", b'{"servers":{}}', b'{"version":-1,"servers":[]}', b"{", b"\xff", b"[" * 9999):
        assert parse_update(line) is None
    assert parse_update(b'{"version":3,"servers":[]}') is not None


def test_what_has_no_end_is_not_waited_for() -> None:
    for data in (
        b"x" * (MAX_HEAD_BYTES + 1),
        b"GET / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1),
    ):
        reader = MessageReader(answers=False)
        reader.feed(data)
        assert reader.fault is not None
    reader, part = MessageReader(answers=True), b"%x\r\n%s\r\n" % (1 << 20, b"x" * (1 << 20))
    reader.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    for _ in range(5):
        reader.feed(part)
    assert reader.fault is not None


# --- independence ---------------------------------------------------------------------------------


def test_the_checker_shares_no_code_with_the_program() -> None:
    folder = Path(checker.__file__).parent
    for path in sorted(folder.glob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            names = [node.module or ""] if isinstance(node, ast.ImportFrom) else []
            names += [each.name for each in node.names] if isinstance(node, ast.Import) else []
            ours = [name for name in names if name.partition(".")[0] in ("brambleusher",)]
            shared = [name for name in ours if not name.startswith("brambleusher.lab.checker")]
            # `rerun` may import the program's replay, because it checks that replay.
            assert shared == (["brambleusher.features.replay"] if path.name == "rerun.py" and shared else [])
