"""The checker against synthetic wires: for each rule, wires that keep it and wires that break it."""

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
PLACES = {A: ("10.1.0.1", 9000), B: ("10.1.0.2", 9000)}
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
class Ran:
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
    ip, port = PLACES[at or name]
    return {"id": name, "addr": f"{ip}:{port}", "state": state, "weight": 1.0, "started_ms": started_ms}


def listing(*servers: dict[str, Any], version: int = 8, full: bool = False) -> bytes:
    return json.dumps({"version": version, "full": full, "servers": servers}).encode() + b"\n"


def http(first: str, body: bytes = b"", **headers: str) -> bytes:
    lines = [first, *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items())]
    if not any(name.lower() == "content-length" for name in headers):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def ask(name: str, cls: str = "move", wait_ms: str = "1000", **more: str) -> bytes:
    body = b"" if cls == "look" else b"pay"
    first = f"{'GET' if cls == 'look' else 'POST'} /{cls}?q=1 HTTP/1.1"
    headers = {"Request_Id": name, "Request_Class": cls, "Tenant": "acme", "Request_Timeout_Ms": wait_ms}
    return http(first, body, **{**headers, **more})


@dataclass
class Play:
    """A wire on which nothing takes time; a test moves the clock."""

    now: int = 10 * S
    ran: list[Ran] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.checker = Checker(Rules.of(SETTINGS), self.ran)
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
        self.checker.true_list(self.now, known["servers"], True)  # type: ignore[arg-type]
        for name, place in PLACES.items():
            self.checker.node(self.now, name, place, 0)
        self.checker.process(self.now, "m0", "started")

    def wait(self, ns: int) -> Play:
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

    def pass_(self, conn: Conn, side: str, data: bytes, read: bool = True, arrive: bool = True) -> None:
        """Bytes from one side, to the other."""
        other = "server" if side == "client" else "client"
        self.checker.sent(self.now, conn, side, data)
        if arrive:
            self.checker.arrived(self.now, conn, other, data)
        if arrive and read:
            self.checker.read(self.now, conn, other, data)

    def take(self, name: str = "r1", cls: str = "move", conn: Conn | None = None, **more: str) -> Conn:
        conn = conn or self.client()
        self.pass_(conn, "client", ask(name, cls, **more))
        return conn

    def claim(
        self, name: str = "r1", cls: str = "move", node: str = A, conn: Conn | None = None, data: bytes = b""
    ) -> Conn:
        conn = conn or self.connect(PLACES[node])
        self.pass_(conn, "client", data or ask(name, cls))
        return conn

    def run(self, name: str = "r1", node: str = A, answer: bytes = b"", **more: Any) -> bytes:
        answer = answer or f"{node} made it for {name}".encode()
        self.ran.append(Ran(node, name, self.now, began_ns=self.now, answer=answer, **more))
        return answer

    def node_answers(self, conn: Conn, first: str, body: bytes = b"", **headers: str) -> None:
        self.pass_(conn, "server", http(f"HTTP/1.1 {first}", body, **headers))

    def answer(self, conn: Conn, status: int, body: bytes = b"") -> None:
        self.pass_(conn, "server", http(f"HTTP/1.1 {status} X", body))

    def watch(self, at: tuple[str, int] = DISCOVERY, since: str = "&since=7") -> Conn:
        conn = self.connect(at)
        self.pass_(conn, "client", http(f"GET /v1/endpoints?follow=1{since} HTTP/1.1"))
        self.pass_(conn, "server", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        return conn

    def tell(self, watch: Conn, line: bytes, arrive: bool = True) -> None:
        self.pass_(watch, "server", b"%x\r\n%s\r\n" % (len(line), line), arrive=arrive)

    def serve(self, name: str = "r1", cls: str = "move", node: str = A, conn: Conn | None = None) -> Conn:
        """A request from its taking to its answer."""
        conn = self.take(name, cls, conn)
        claim = self.claim(name, cls, node)
        body = self.run(name, node)
        self.node_answers(claim, "200 OK", body)
        self.answer(conn, 200, body)
        return claim


Wires = list[tuple[str, str, Callable[[Play], object]]]
WIRES: Wires = []


def wire(rule: str) -> Callable[[Callable[[Play], object]], Callable[[Play], object]]:
    """A wire that breaks one rule, once; or none."""

    def add(call: Callable[[Play], object]) -> Callable[[Play], object]:
        WIRES.append((rule, call.__name__, call))
        return call

    return add


# --- answers --------------------------------------------------------------------------------------


@wire("")
def served(play: Play) -> None:
    play.serve()


@wire("")
def served_byte_by_byte(play: Play) -> None:
    conn, claim = play.client(), play.connect(PLACES[A])
    for at in range(len(ask("r1"))):
        play.pass_(conn, "client", ask("r1")[at : at + 1])
    for at in range(len(ask("r1"))):
        play.pass_(claim, "client", ask("r1")[at : at + 1])
    body = play.run()
    play.node_answers(claim, "200 OK", body)
    data = http("HTTP/1.1 200 OK", body)
    for at in range(len(data)):
        play.pass_(conn, "server", data[at : at + 1])


@wire("")
def served_at_the_last_moment(play: Play) -> None:
    conn = play.take(cls="look")
    claim, body = play.claim(cls="look"), play.run()
    play.node_answers(claim, "200 OK", body)
    play.wait(1050 * MS)
    play.answer(conn, 200, body)


@wire("answer")
def served_a_nanosecond_later(play: Play) -> None:
    conn = play.take(cls="look")
    claim, body = play.claim(cls="look"), play.run()
    play.node_answers(claim, "200 OK", body)
    play.wait(1050 * MS + 1)
    play.answer(conn, 200, body)


@wire("answer")
def never_answered(play: Play) -> None:
    play.take()


@wire("answer")
def half_an_answer(play: Play) -> None:
    conn = play.take(cls="look")
    play.pass_(conn, "server", b"HTTP/1.1 502 X\r\nContent-Length: 5\r\n\r\nab")


@wire("answer")
def closed_without_an_answer(play: Play) -> None:
    conn = play.take()
    play.checker.closed(play.now, conn, "server")
    play.wait(1)
    play.checker.closed(play.now, conn, "client")


@wire("")
def a_close_that_crosses_a_request(play: Play) -> None:
    conn = play.client()
    play.serve(conn=conn)
    play.pass_(conn, "client", ask("r2"), read=False)
    play.checker.closed(play.now, conn, "server")
    play.wait(1)
    play.serve("r2")


@wire("once")
def run_more_often_than_it_was_taken(play: Play) -> None:
    conn = play.take()
    play.run()
    play.wait(1)
    play.serve()
    play.answer(conn, 502)
    play.run()


@wire("answer")
def dropped_from_the_queue(play: Play) -> None:
    conn = play.client(accept=False)
    play.pass_(conn, "client", ask("r1"), read=False)
    play.checker.ended(play.now, conn, "client", "reset")
    play.wait(1)
    play.checker.closed(play.now, conn, "client")


@wire("")
def not_accepted_without_descriptors(play: Play) -> None:
    play.checker.starved(play.now, "m0", True)
    play.take(conn=play.client(accept=False))
    play.wait(500 * MS).checker.starved(play.now, "m0", False)


@wire("answer")
def not_accepted_with_descriptors(play: Play) -> None:
    play.checker.starved(play.now, "m0", True)
    play.wait(500 * MS).checker.starved(play.now, "m0", False)
    play.wait(1).take(conn=play.client(accept=False))


@wire("answer")
def accepted_and_not_answered_without_descriptors(play: Play) -> None:
    play.checker.starved(play.now, "m0", True)
    play.take()


@wire("")
def told_late_what_was_not_accepted_without_descriptors(play: Play) -> None:
    play.checker.starved(play.now, "m0", True)
    conn = play.client(accept=False)
    play.take(conn=conn)
    play.wait(1050 * MS - 2)
    play.checker.accepted(play.now, conn)
    play.now += 4
    play.answer(conn, 503)


@wire("")
def the_client_leaves(play: Play) -> None:
    conn = play.take()
    play.checker.closed(play.now, conn, "client")


@wire("answer")
def the_answer_is_overtaken_by_a_reset(play: Play) -> None:
    conn = play.take()
    play.pass_(conn, "server", http("HTTP/1.1 502 X"), arrive=False)
    play.checker.closed(play.now, conn, "server")
    play.checker.ended(play.now, conn, "client", "reset")


@wire("")
def the_client_ends_its_sending(play: Play) -> None:
    play.checker.ended(play.now, play.take(), "server", "fin")


@wire("")
def the_network_breaks_its_connection(play: Play) -> None:
    play.checker.ended(play.now, play.take(), "client", "reset")


@wire("")
def a_reset_behind_an_answer(play: Play) -> None:
    conn = play.take()
    play.answer(conn, 502)
    play.checker.closed(play.now, conn, "server")
    play.checker.ended(play.now, conn, "client", "reset")


@wire("")
def the_client_does_not_read(play: Play) -> None:
    conn = play.take(cls="look")
    play.pass_(conn, "server", b"HTTP/1.1 502 X\r\nContent-Length: 5\r\n\r\nab", read=False)


def held_up(play: Play, after: int) -> None:
    """The network brings a request 100 ms late: its time runs from there."""
    conn = play.client()
    play.checker.sent(play.now, conn, "client", ask("r1"))
    play.wait(100 * MS).checker.arrived(play.now, conn, "server", ask("r1"))
    play.checker.read(play.now, conn, "server", ask("r1"))
    play.wait(after).answer(conn, 502)


@wire("")
def held_up_and_answered_in_time(play: Play) -> None:
    held_up(play, 1050 * MS)


@wire("answer")
def held_up_and_answered_too_late(play: Play) -> None:
    held_up(play, 1050 * MS + 1)


@wire("")
def held_up_in_part(play: Play) -> None:
    conn, data = play.client(), ask("r1")
    play.checker.sent(play.now, conn, "client", data)
    play.checker.arrived(play.now, conn, "server", data[:9])
    play.wait(100 * MS).checker.arrived(play.now, conn, "server", data[9:])
    play.checker.read(play.now, conn, "server", data)
    play.wait(1050 * MS).answer(conn, 502)


def ahead(play: Play, after: int) -> Conn:
    """Two requests at once: the second one's time runs from the answer to the first."""
    conn = play.client()
    play.pass_(conn, "client", ask("r1", "look") + ask("r2", "look"))
    play.wait(900 * MS).answer(conn, 503)
    play.wait(after)
    return conn


@wire("")
def sent_ahead_and_answered_in_time(play: Play) -> None:
    play.answer(ahead(play, 1050 * MS), 503)


@wire("answer")
def sent_ahead_and_answered_too_late(play: Play) -> None:
    play.answer(ahead(play, 1050 * MS + 1), 503)


@wire("")
def sent_ahead_and_closed(play: Play) -> None:
    play.checker.closed(play.now, ahead(play, MS), "server")


@wire("")
def asked_whether_it_is_ready(play: Play) -> None:
    conn = play.client()
    play.pass_(conn, "client", http("GET /ready HTTP/1.1"))
    play.wait(9 * S).answer(conn, 200, b"ready")


@wire("")
def an_id_used_again_after_its_answer(play: Play) -> None:
    play.serve()
    play.wait(MS).serve()


@wire("")
def killed_over_it(play: Play) -> None:
    conn = play.take()
    play.checker.closed(play.now, conn, "server")
    play.checker.process(play.now, "m0", "killed")


@wire("answer")
def killed_over_what_came_long_after_sigterm(play: Play) -> None:
    play.checker.process(play.now, "m0", "signal 15")
    play.wait(700 * MS + 1).take(wait_ms="9000")
    play.wait(4 * S).checker.process(play.now, "m0", "killed")


@wire("")
def killed_over_what_came_soon_after_sigterm(play: Play) -> None:
    play.checker.process(play.now, "m0", "signal 15")
    play.wait(700 * MS).take(wait_ms="9000")
    play.wait(4 * S).checker.process(play.now, "m0", "killed")


@wire("answer")
def ends_over_it_after_sigterm(play: Play) -> None:
    play.take()
    play.checker.process(play.now, "m0", "signal 15")
    play.checker.process(play.now, "m0", "exited")


@wire("crash")
def ends_unasked(play: Play) -> None:
    play.checker.process(play.now, "m0", "exited")


@wire("one-answer")
def two_answers(play: Play) -> None:
    conn = play.take()
    play.answer(conn, 502)
    play.answer(conn, 502)


@wire("one-answer")
def two_answers_at_once(play: Play) -> None:
    conn = play.take()
    play.pass_(conn, "server", http("HTTP/1.1 502 X") * 2)


@wire("")
def told_off_for_half_a_request(play: Play) -> None:
    conn = play.client()
    play.pass_(conn, "client", ask("r1")[:50])
    play.answer(conn, 408)


@wire("made-answer")
def served_with_something_else(play: Play) -> None:
    conn = play.take()
    body = play.run()
    play.claim()
    play.answer(conn, 200, body[:-1])


@wire("other-answer")
def served_with_the_answer_of_another(play: Play) -> None:
    conn = play.take("r1")
    play.claim("r1")
    play.take("r2")
    body = play.run("r2")
    play.answer(conn, 200, body)
    play.checker.process(play.now, "m0", "killed")


# --- what may not be repeated ---------------------------------------------------------------------


@wire("")
def refused_before_it_was_sent(play: Play) -> None:
    play.answer(play.take(), 503)


@wire("")
def refused_after_proof(play: Play) -> None:
    conn = play.take()
    play.node_answers(play.claim(), "503 X", Not_Started="1")
    play.answer(conn, 503)


@wire("refusal")
def refused_after_a_503_that_proves_nothing(play: Play) -> None:
    conn = play.take()
    play.node_answers(play.claim(), "503 X")
    play.answer(conn, 503)


@wire("refusal")
def refused_after_a_reset(play: Play) -> None:
    conn = play.take()
    play.checker.ended(play.now, play.claim(), "client", "reset")
    play.answer(conn, 429)


@wire("")
def failed_after_a_reset(play: Play) -> None:
    conn = play.take()
    play.checker.ended(play.now, play.claim(), "client", "reset")
    play.answer(conn, 502)


@wire("")
def what_may_be_repeated_is_refused_and_repeated(play: Play) -> None:
    conn = play.take(cls="look")
    for node in (A, B):
        play.checker.ended(play.now, play.claim(cls="look", node=node), "client", "reset")
        play.run(node=node)
    play.answer(conn, 503)


@wire("refusal")
def refused_after_a_proof_that_came_behind_an_answer(play: Play) -> None:
    conn, claim = play.take(), play.claim()
    play.node_answers(claim, "500 X")
    play.node_answers(claim, "503 X", Not_Started="1")
    play.answer(conn, 503)


@wire("")
def sent_again_after_proof(play: Play) -> None:
    conn = play.take()
    play.node_answers(play.claim(), "504 X", Not_Started="1")
    play.node_answers(play.claim(node=B), "200 OK", body := play.run(node=B))
    play.answer(conn, 200, body)


@wire("")
def sent_again_after_a_break_before_the_last_byte(play: Play) -> None:
    conn = play.take()
    first = play.claim(data=ask("r1")[:-1])
    play.checker.ended(play.now, first, "client", "reset")
    play.node_answers(play.claim(node=B), "200 OK", body := play.run(node=B))
    play.answer(conn, 200, body)


@wire("repeat")
def sent_again_after_a_reset(play: Play) -> None:
    conn = play.take()
    play.checker.ended(play.now, play.claim(), "client", "reset")
    play.claim(node=B)
    play.answer(conn, 502)


@wire("once")
def run_twice(play: Play) -> None:
    play.serve()
    play.run(node=B)


@wire("attempts")
def one_attempt_too_many(play: Play) -> None:
    conn = play.take(cls="look")
    for _ in range(4):
        play.node_answers(play.claim(cls="look"), "500 X")
    play.answer(conn, 502)


def asked_for_nobody(play: Play, after: int) -> None:
    """A sidecar that was stopped finds a request, and behind it the end of the one who asked."""
    conn = play.take(cls="look")
    play.checker.ended(play.now, conn, "server", "fin")
    play.wait(after).claim(cls="look")


@wire("for-nobody")
def passed_on_long_after_its_client_left(play: Play) -> None:
    asked_for_nobody(play, 301 * MS)


@wire("")
def passed_on_as_its_client_left(play: Play) -> None:
    asked_for_nobody(play, 299 * MS)


@wire("copies")
def two_at_once(play: Play) -> None:
    conn = play.take(cls="look")
    play.claim(cls="look")
    play.claim(cls="look", node=B)
    play.answer(conn, 502)


# --- drains ---------------------------------------------------------------------------------------


def drained(play: Play, after: int, *lines: bytes) -> None:
    watch = play.watch()
    for line in lines or (listing(entry(A, "Terminating")),):
        play.tell(watch, line)
    play.wait(after).serve(cls="look")


@wire("")
def sent_at_the_limit(play: Play) -> None:
    drained(play, 500_000_000)


@wire("drain")
def sent_a_nanosecond_past_it(play: Play) -> None:
    drained(play, 500_000_001)


@wire("drain")
def sent_though_gone(play: Play) -> None:
    drained(play, 500_000_001, listing(entry(A, "Gone")))


def fetched(play: Play, **headers: str) -> None:
    """The whole list, asked for once."""
    conn, body = play.connect(DISCOVERY), listing(entry(A, "Terminating"), entry(B), full=True)
    play.pass_(conn, "client", http("GET /v1/endpoints HTTP/1.1"))
    play.pass_(conn, "server", http("HTTP/1.1 200 OK", body[:-1], **headers))
    play.checker.closed(play.now, conn, "client")


@wire("drain")
def sent_though_a_fetched_list_tells(play: Play) -> None:
    fetched(play)
    play.wait(500_000_001).serve(cls="look")


@wire("")
def a_fetched_list_that_is_cut_short(play: Play) -> None:
    fetched(play, Content_Length="9999")
    play.wait(500_000_001).serve(cls="look")


@wire("drain")
def sent_though_missing_from_the_list(play: Play) -> None:
    drained(play, 500_000_001, listing(entry(B), full=True))


@wire("")
def sent_though_the_line_makes_no_sense(play: Play) -> None:
    drained(play, 1 * S, b'{"version":8,"servers":[{"id":"a","state":"Gone"},{"id":"b"}]}\n')


@wire("")
def sent_after_the_drain_was_taken_back(play: Play) -> None:
    drained(play, 1 * S, listing(entry(A, "Terminating")), listing(entry(A), version=9))


@wire("")
def its_first_byte_was_in_time(play: Play) -> None:
    play.tell(play.watch(), listing(entry(A, "Terminating")))
    play.wait(499 * MS)
    conn, claim = play.take(cls="look"), play.claim(cls="look", data=ask("r1", "look")[:1])
    play.wait(2 * MS).pass_(claim, "client", ask("r1", "look")[1:])
    play.node_answers(claim, "200 OK", body := play.run())
    play.answer(conn, 200, body)


@wire("")
def a_new_node_at_the_address(play: Play) -> None:
    play.checker.node(play.now, "c", PLACES[A], 5)
    drained(play, 1 * S, listing(entry(A, "Gone"), entry("c", started_ms=5, at=A)))


@wire("drain")
def a_connection_to_the_node_that_was_there(play: Play) -> None:
    claim = play.serve(cls="look")
    play.checker.node(play.now, "c", PLACES[A], 5)
    play.tell(play.watch(), listing(entry(A, "Gone"), entry("c", started_ms=5, at=A)))
    conn = play.wait(500_000_001).take("r2", "look")
    play.claim("r2", "look", conn=claim)
    play.answer(conn, 502)


@wire("drain")
def a_connection_to_the_process_before(play: Play) -> None:
    claim = play.serve(cls="look")
    play.tell(play.watch(), listing(entry(A, started_ms=5)))
    conn = play.wait(500_000_001).take("r2", "look")
    play.claim("r2", "look", conn=claim)
    play.answer(conn, 502)


@wire("drain")
def counts_as_told_of_a_new_process(play: Play) -> None:
    claim = play.serve(cls="look")
    play.watch()
    play.checker.true_list(play.now, [entry(A, started_ms=5)])
    conn = play.wait(6_500_000_001).take("r2", "look")
    play.claim("r2", "look", conn=claim)
    play.answer(conn, 502)


def unasked(play: Play, after: int, first: Callable[[], Conn | None]) -> None:
    """Discovery can't tell of a drain by itself: what counts is when it was asked."""
    play.checker.discovery_able(play.now, False)
    play.checker.true_list(play.now, [entry(A, "Terminating")])
    watch = first()
    play.wait(after)
    if watch is not None:
        play.tell(watch, b"\n")
    play.serve(cls="look")


@wire("")
def watches_all_the_while(play: Play) -> None:
    unasked(play, 20 * S, play.watch)


@wire("drain")
def has_not_watched_since(play: Play) -> None:
    def first() -> None:
        play.checker.ended(play.now, play.watch(), "client", "fin")

    unasked(play, 10_500_000_001, first)


@wire("drain")
def has_closed_its_watch(play: Play) -> None:
    def first() -> None:
        play.checker.closed(play.now, play.watch(), "client")

    unasked(play, 10_500_000_001, first)


def called_in_vain(play: Play) -> None:
    conn = play.connect(DISCOVERY)
    play.pass_(conn, "client", http("GET /v1/endpoints?follow=1 HTTP/1.1"))
    play.pass_(conn, "server", http("HTTP/1.1 503 X"))
    play.checker.closed(play.now, conn, "client")


@wire("")
def its_call_failed_not_so_long_ago(play: Play) -> None:
    unasked(play, 40_500_000_000, lambda: called_in_vain(play))


@wire("drain")
def its_call_failed_too_long_ago(play: Play) -> None:
    unasked(play, 40_500_000_001, lambda: called_in_vain(play))


@wire("drain")
def a_line_that_the_network_kept_counts_as_told(play: Play) -> None:
    line = listing(entry(A, "Terminating"))
    watch, data = play.watch(), b"%x\r\n%s\r\n" % (len(line), line)
    play.checker.sent(play.now, watch, "server", data)
    play.wait(7 * S).checker.arrived(play.now, watch, "client", data)
    play.wait(MS).serve(cls="look")  # told 6 s after it was written, not when it came


@wire("")
def a_line_that_the_network_held_up(play: Play) -> None:
    line = listing(entry(A, "Terminating"))
    watch, data = play.watch(), b"%x\r\n%s\r\n" % (len(line), line)
    play.checker.sent(play.now, watch, "server", data)
    play.wait(2 * S).checker.arrived(play.now, watch, "client", data)
    play.wait(500 * MS).serve(cls="look")


@wire("drain")
def sent_to_where_a_node_was(play: Play) -> None:
    claim = play.serve(cls="look")
    play.tell(play.watch(), listing(entry(A, at=B)))
    conn = play.wait(500_000_001).take("r2", "look")
    play.claim("r2", "look", conn=claim)
    play.answer(conn, 502)


@wire("unlisted")
def sent_to_nobody(play: Play) -> None:
    conn = play.take()
    claim = play.connect(("10.1.0.9", 9000))
    play.claim(conn=claim)
    play.answer(conn, 502)


def told_in_truth_alone(play: Play, after: int) -> None:
    play.watch()
    play.checker.true_list(play.now, [entry(A, "Terminating")])
    play.wait(after).serve(cls="look")


@wire("")
def counts_as_told_at_the_limit(play: Play) -> None:
    told_in_truth_alone(play, 6_500_000_000)


@wire("drain")
def counts_as_told_a_nanosecond_past_it(play: Play) -> None:
    told_in_truth_alone(play, 6_500_000_001)


@wire("")
def discovery_was_down_meanwhile(play: Play) -> None:
    play.checker.discovery_able(play.now, False)
    told_in_truth_alone(play, 7 * S)


@wire("drain")
def counts_as_told_since_it_never_asks(play: Play) -> None:
    play.checker.discovery_able(play.now, False)
    play.checker.true_list(play.now, [entry(A, "Terminating")])
    play.wait(10_500_000_001).serve(cls="look")


@wire("")
def never_asks_for_not_quite_so_long(play: Play) -> None:
    play.checker.discovery_able(play.now, False)
    play.checker.true_list(play.now, [entry(A, "Terminating")])
    play.wait(10_500_000_000).serve(cls="look")


@wire("drain")
def counts_as_told_after_a_reload(play: Play) -> None:
    play.checker.true_list(play.now, [entry(A, "Terminating")])
    play.checker.process(play.now, "m0", "signal 1")
    play.wait(4_500_000_001).serve(cls="look")


@wire("")
def a_line_is_told_when_written(play: Play) -> None:
    line = listing(entry(A, "Terminating"))
    watch, data = play.watch(), b"%x\r\n%s\r\n" % (len(line), line)
    play.checker.sent(play.now, watch, "server", data)
    play.wait(50 * MS).checker.arrived(play.now, watch, "client", data)
    play.wait(450 * MS).serve(cls="look")


@wire("drain")
def a_line_is_told_when_written_and_no_later(play: Play) -> None:
    line = listing(entry(A, "Terminating"))
    watch, data = play.watch(), b"%x\r\n%s\r\n" % (len(line), line)
    play.checker.sent(play.now, watch, "server", data)
    play.wait(50 * MS).checker.arrived(play.now, watch, "client", data)
    play.wait(450 * MS + 1).serve(cls="look")


@wire("versions")
def asks_a_new_discovery_for_an_old_version(play: Play) -> None:
    play.checker.discovery(("10.2.0.2", 8500))
    play.watch(("10.2.0.2", 8500))


@wire("")
def asks_a_new_discovery_for_everything(play: Play) -> None:
    play.checker.discovery(("10.2.0.2", 8500))
    watch = play.watch(("10.2.0.2", 8500), "")
    play.tell(watch, listing(entry(A), version=3, full=True))
    play.watch(("10.2.0.2", 8500), "&since=3")


# --- connections ----------------------------------------------------------------------------------


def reused(play: Play, between: Callable[[Conn], object], first: str = "200 OK") -> None:
    conn, claim = play.take(cls="look"), play.claim(cls="look")
    play.node_answers(claim, first, body := play.run())
    play.answer(conn, 200, body)
    between(claim)
    play.wait(1)
    conn = play.take("r2", "look")
    play.claim("r2", "look", conn=claim)
    play.answer(conn, 502)


@wire("")
def a_connection_is_used_again(play: Play) -> None:
    reused(play, lambda claim: None)


@wire("dirty")
def with_bytes_waiting(play: Play) -> None:
    reused(play, lambda claim: play.pass_(claim, "server", b"x", read=False))


@wire("dirty")
def with_bytes_read_behind_an_answer(play: Play) -> None:
    reused(play, lambda claim: play.pass_(claim, "server", b"x"))


@wire("dirty")
def with_an_end_waiting(play: Play) -> None:
    reused(play, lambda claim: play.checker.ended(play.now, claim, "client", "fin"))


@wire("dirty")
def that_the_node_was_to_close(play: Play) -> None:
    conn, claim = play.take(cls="look"), play.claim(cls="look")
    play.node_answers(claim, "200 OK", body := play.run(), Connection="close")
    play.answer(conn, 200, body)
    conn = play.wait(1).take("r2", "look")
    play.claim("r2", "look", conn=claim)
    play.answer(conn, 502)


@wire("")
def after_answers_ahead_of_the_answer(play: Play) -> None:
    conn, claim = play.take(cls="look"), play.claim(cls="look")
    play.pass_(claim, "server", b"HTTP/1.1 103 Early\r\n\r\n" * 2)
    play.node_answers(claim, "200 OK", body := play.run())
    play.answer(conn, 200, body)
    conn = play.wait(1).take("r2", "look")
    play.claim("r2", "look", conn=claim)
    play.answer(conn, 502)


@wire("shared")
def two_written_at_once(play: Play) -> None:
    conn, other = play.take(cls="look"), play.take("r2", cls="look")
    play.claim(data=ask("r1", "look") + ask("r2", "look"))
    play.answer(conn, 502)
    play.answer(other, 502)


@wire("shared")
def with_another_out(play: Play) -> None:
    conn, other = play.take(cls="look"), play.take("r2", cls="look")
    claim = play.claim(cls="look")
    play.claim("r2", cls="look", conn=claim)
    play.answer(conn, 502)
    play.answer(other, 502)


# --- what is passed on ----------------------------------------------------------------------------


@wire("unasked")
def something_that_nobody_asked_for(play: Play) -> None:
    play.claim("r9")


@wire("changed")
def another_body(play: Play) -> None:
    conn = play.take()
    play.claim(data=ask("r1").replace(b"pay", b"PAY"))
    play.answer(conn, 502)


@wire("framing")
def a_length_and_a_coding(play: Play) -> None:
    conn = play.take()
    play.claim(data=ask("r1").replace(b"Tenant", b"Transfer-Encoding: chunked\r\nTenant"))
    play.answer(conn, 502)


@wire("told-off")
def told_off_though_it_can_be_served(play: Play) -> None:
    play.answer(play.take(), 400)


@wire("told-off")
def sent_elsewhere(play: Play) -> None:
    play.answer(play.take(cls="look"), 302)


@wire("")
def told_off_for_an_id_in_use(play: Play) -> None:
    conn = play.take()
    play.answer(play.take(), 400)
    play.answer(conn, 429)


@wire("")
def told_off_before_its_end_was_read(play: Play) -> None:
    conn = play.client()
    play.pass_(conn, "client", ask("r1"), read=False)
    play.answer(conn, 408)


@wire("unusable")
def served_without_a_deadline(play: Play) -> None:
    play.answer(play.take(wait_ms="soon"), 200, b"")


@wire("")
def told_off_without_a_deadline(play: Play) -> None:
    play.answer(play.take(wait_ms="soon"), 400)


# --- bad clients ----------------------------------------------------------------------------------


def bad(play: Play, do: Callable[[Conn], object]) -> None:
    play.checker.bad_client("rude")
    conn = play.client("rude")
    do(conn)


@wire("bad-client")
def kept_waiting(play: Play) -> None:
    bad(play, lambda conn: play.pass_(conn, "client", b"GET"))


@wire("bad-client")
def kept_waiting_with_a_whole_request(play: Play) -> None:
    bad(play, lambda conn: play.take(conn=conn, wait_ms="soon"))


@wire("bad-client")
def accepted_and_kept_waiting_without_descriptors(play: Play) -> None:
    play.checker.starved(play.now, "m0", True)
    bad(play, lambda conn: None)


@wire("")
def closed_in_time(play: Play) -> None:
    bad(play, lambda conn: play.wait(3 * S).checker.closed(play.now, conn, "server"))


@wire("bad-client")
def closed_too_late(play: Play) -> None:
    bad(play, lambda conn: play.wait(3050 * MS + 1).checker.closed(play.now, conn, "server"))


@wire("")
def left_by_itself(play: Play) -> None:
    bad(play, lambda conn: play.wait(S).checker.closed(play.now, conn, "client"))


@wire("answer")
def bad_but_owed_what_can_be_served(play: Play) -> None:
    bad(play, lambda conn: play.take(conn=conn, wait_ms="9000"))


@wire("")
def kept_waiting_without_descriptors(play: Play) -> None:
    play.checker.bad_client("rude")
    play.checker.starved(play.now, "m0", True)
    play.client("rude", accept=False)


@wire("")
def both_framings_turned_away(play: Play) -> None:
    both = ask("r1").replace(b"Tenant", b"Transfer-Encoding: chunked\r\nTenant")

    def do(conn: Conn) -> None:
        play.pass_(conn, "client", both)
        play.answer(conn, 400)

    bad(play, do)


# --- cold nodes -----------------------------------------------------------------------------------


def pushed(play: Play, requests: int, told: bool = True, every_ms: int = 100) -> None:
    play.checker.node(play.now, B, PLACES[B], 5)
    if told:
        play.tell(play.watch(), listing(entry(B, started_ms=5)))
    for number in range(requests):
        conn = play.take(f"r{number}", "look")
        play.claim(f"r{number}", "look", B)
        body = play.run(f"r{number}", B, cold=True, capacity=0.25, work_s=0.1)
        play.answer(conn, 200, body)
        play.wait(every_ms * MS)


@wire("cold")
def a_burst_on_a_cold_node(play: Play) -> None:
    pushed(play, 50, every_ms=10)  # 5 s of work where there is room for 3, and 0.55 by chance


@wire("")
def as_much_spread_out(play: Play) -> None:
    pushed(play, 50, every_ms=100)


@wire("")
def by_those_who_were_not_told(play: Play) -> None:
    pushed(play, 50, told=False, every_ms=10)


# --- getting well ---------------------------------------------------------------------------------


def afterwards(play: Play, served: int, of: int, wait_s: int) -> None:
    play.checker.calm(play.now)
    play.wait(wait_s * S)
    for number in range(of):
        if number < served:
            play.serve(f"r{number}", "look")
        else:
            play.answer(play.take(f"r{number}", "look"), 503)
        play.wait(MS)


# --- operators ------------------------------------------------------------------------------------


def called(play: Play, target: str, status: int | None = 200) -> None:
    """A call at the admin endpoint; None: it is not answered."""
    conn = play.connect(("10.0.0.1", 81), "operators")
    play.pass_(conn, "client", http(f"POST /control/{target} HTTP/1.1"))
    if status is not None:
        play.pass_(conn, "server", http(f"HTTP/1.1 {status} ", b"done"))


def out(play: Play, node: str = A, status: int | None = 200) -> None:
    called(play, f"registry-nodes/{node}/offline", status)


def is_ready(play: Play, status: int) -> None:
    conn = play.client()
    play.pass_(conn, "client", http("GET /ready HTTP/1.1"))
    play.pass_(conn, "server", http(f"HTTP/1.1 {status} ", b"said"))
    play.checker.closed(play.now, conn, "client")


@wire("")
def sent_to_a_node_taken_out_at_the_limit(play: Play) -> None:
    out(play)
    play.wait(500 * MS).serve()


@wire("drain")
def sent_to_a_node_taken_out_1_ns_past_the_limit(play: Play) -> None:
    out(play)
    play.wait(500 * MS + 1).serve()


@wire("drain")
def taken_out_whatever_discovery_says(play: Play) -> None:
    out(play)
    play.wait(300 * MS)
    out(play)  # again, which begins nothing anew
    play.tell(play.watch(), listing(entry(A), entry(B), full=True))
    play.wait(300 * MS).serve()


@wire("")
def taken_out_and_back(play: Play) -> None:
    out(play)
    play.wait(S)
    called(play, f"registry-nodes/{A}/online")
    play.serve()


@wire("")
def a_no_binds_nobody(play: Play) -> None:
    out(play, B)
    called(play, "registry-nodes/x/offline", 404)
    play.wait(900 * MS).serve()


@wire("drain")
def a_call_binds_after_a_second_without_a_yes(play: Play) -> None:
    out(play, status=None)
    play.wait(1500 * MS + 1).serve()


@wire("")
def a_call_without_a_yes_has_a_second(play: Play) -> None:
    out(play, status=None)
    play.wait(1500 * MS).serve()


@wire("service")
def ready_while_out_of_service(play: Play) -> None:
    called(play, "out-of-service")
    is_ready(play, 200)


@wire("")
def out_of_service_and_back(play: Play) -> None:
    is_ready(play, 200)
    called(play, "out-of-service")
    is_ready(play, 503)
    play.wait(S)
    called(play, "in-service")
    is_ready(play, 200)


@wire("service")
def not_ready_long_after_it_is_back(play: Play) -> None:
    called(play, "out-of-service")
    called(play, "in-service")
    play.wait(1500 * MS + 1)
    is_ready(play, 503)


@wire("")
def not_ready_yet(play: Play) -> None:
    play.wait(1500 * MS)
    is_ready(play, 503)


@wire("service")
def a_connection_rests_while_out_of_service(play: Play) -> None:
    play.serve()
    called(play, "out-of-service")
    play.wait(2 * S)


@wire("")
def a_connection_that_rests_is_closed_in_time(play: Play) -> None:
    conn = play.client()
    play.serve("r1", "look", conn=conn)
    called(play, "out-of-service")
    play.wait(S)
    play.checker.closed(play.now, conn, "server")
    play.wait(2 * S)


@wire("recovery")
def still_ill(play: Play) -> None:
    afterwards(play, 94, 100, 3)


@wire("")
def well_again(play: Play) -> None:
    afterwards(play, 95, 100, 3)


@wire("")
def too_few_to_tell(play: Play) -> None:
    afterwards(play, 0, 7, 3)


@wire("recovery")
def just_enough_to_tell(play: Play) -> None:
    afterwards(play, 0, 8, 3)


@wire("")
def one_lost_of_few(play: Play) -> None:
    afterwards(play, 11, 12, 3)


@wire("recovery")
def two_lost_of_few(play: Play) -> None:
    afterwards(play, 17, 19, 3)


@wire("")
def refused_and_served_when_tried_again(play: Play) -> None:
    play.checker.calm(play.now)
    play.wait(3 * S)
    for number in range(30):
        play.answer(play.take(f"r{number}", "look"), 503)
        play.wait(MS).serve(f"r{number}-1", "look")


@wire("")
def bad_clients_are_not_asked(play: Play) -> None:
    play.checker.bad_client("rude")
    play.checker.calm(play.now)
    play.wait(3 * S)
    for number in range(30):
        play.answer(play.take(f"r{number}", "look", play.client("rude")), 503)


@wire("")
def not_asked_to_be_well_yet(play: Play) -> None:
    afterwards(play, 0, 100, 2)


@pytest.mark.parametrize(("lost", "rules"), [(1, []), (2, ["recovery"])])
def test_who_is_not_let_in_is_not_served(lost: int, rules: list[str]) -> None:
    play = Play()
    afterwards(play, 10, 10, 3)
    before = [(10 * S, "long before")] * 9
    found = play.checker.finish(play.now + 60 * S, (), before + [(play.now, "r99")] * lost)
    assert [each.rule for each in found] == rules


@pytest.mark.parametrize(("rule", "name", "call"), WIRES, ids=[name for _, name, _ in WIRES])
def test_wire(rule: str, name: str, call: Callable[[Play], object]) -> None:
    play = Play()
    call(play)
    found = play.end()
    assert found == ([rule] if rule else []), "\n".join(map(str, play.checker.breaches))


def test_every_rule_can_be_broken() -> None:
    elsewhere = {"left-over", "replay", "timers", "report"}
    assert {rule for rule, _, _ in WIRES if rule} == set(RULES) - elsewhere


def test_left_over() -> None:
    play = Play()
    (breach,) = play.checker.finish(play.now, ["n0: 1 tickets"])
    assert breach.rule == "left-over" and "1 tickets" in str(breach)


def test_a_breach_tells_what_led_to_it() -> None:
    play = Play()
    drained(play, 500_000_001)
    text = str(play.checker.breaches[0])
    assert "first byte 1 ns too late" in text
    assert "is told changes, version 8" in text and "a Terminating" in text


def test_a_breach_tells_the_life_of_its_request() -> None:
    play = Play()
    conn = play.take()
    play.checker.ended(play.now, play.claim(), "client", "reset")
    play.node_answers(play.claim(node=B), "503 X", Not_Started="1")
    play.answer(conn, 503)
    first, second = play.checker.breaches
    assert (first.rule, second.rule) == ("repeat", "refusal")
    for line in (
        "n0 takes r1 from 10.9.0.1", "first byte to a at", "written whole to a at",
        "a at 10.1.0.1:9000 ended it",
        "sent again to b", "503 from b at 10.1.0.2:9000, not started", "n0 answers 503",
    ):  # fmt: skip
        assert line in str(second), line


# --- captures -------------------------------------------------------------------------------------


def told(play: Play, *figures: float | None) -> list[str]:
    """What is found when the module is told these figures, the answer having brought others."""
    conn = play.take(cls="look")
    claim, body = play.claim(cls="look"), play.run()
    play.node_answers(claim, "200 OK", body, Server_Load='{"util":0.5,"qps":14}')
    play.answer(conn, 200, body)
    end = {"server": A, "status": "ok", "report": list(figures) or None}
    return captured(play, {"t_ns": 1, "ev": "attempt", "id": "r1", "in": end, "out": []})


def test_reports_that_the_module_was_told() -> None:
    assert "report" not in told(Play(), 0.5, 14.0)
    assert "report" in told(Play(), 0.5, 13.0)
    assert "report" in told(Play(), None, None)
    assert "report" in told(Play())


@pytest.mark.parametrize(
    ("text", "figures"),
    [
        ('{"util":0.61,"qps":7}', (0.61, 7.0)), ('{"utilization":1,"throughput":2.5}', (1.0, 2.5)),
        ('{"util":-1,"qps":true}', (None, None)), ("[1]", (None, None)), ("q7!", (None, None)),
        ('{"qps":1e999}', (None, None)), ('{"util":0}', (0.0, None)), (None, None),
    ],
)  # fmt: skip
def test_load_reports(text: str | None, figures: object) -> None:
    headers = [] if text is None else [("server-load", text)]
    assert load_report(Message("HTTP/1.1 200 OK", headers, 0)) == figures


def captured(play: Play, *records: dict[str, Any]) -> list[str]:
    lines = [json.dumps({"ev": "start", "v": 1}), *map(json.dumps, records), "time=1 level=info"]
    play.checker.captured(play.now, "m0", "\n".join(lines).encode())
    return [each.rule for each in play.checker.breaches]


def record(t_ms: int, ev: str = "request", token: int = 0, timer_ms: int = 0) -> dict[str, Any]:
    out = [["timer", timer_ms * MS, token]] if timer_ms else []
    return {"t_ns": t_ms * MS, "ev": ev, "in": {"token": token}, "out": out}


def test_timers_that_came() -> None:
    assert "timers" not in captured(
        Play(), record(1, timer_ms=100), record(100, "timer", timer_ms=200), record(700)
    )


def test_a_timer_that_never_came() -> None:
    assert "timers" in captured(Play(), record(1, timer_ms=100), record(601))


def test_a_capture_that_is_refused() -> None:
    assert "replay" in captured(Play(), record(1))


# --- readers --------------------------------------------------------------------------------------


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
    told = judge.find_request_fault(message, Rules.of(SETTINGS))
    assert told is None if fault is None else told is not None and fault in told


@pytest.mark.parametrize(("size", "sound"), [(64 * 1024, True), (64 * 1024 + 1, False)])
def test_a_body_that_is_too_large(size: int, sound: bool) -> None:
    (message,) = MessageReader(answers=False).feed(
        http("POST /move HTTP/1.1", b"x" * size, **{**GOOD, "Request_Class": "move"})
    )
    assert (judge.find_request_fault(message, Rules.of(SETTINGS)) is None) is sound


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
    line = listing({**entry(A), **changed})
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
            # The program's own replay is what `rerun` checks.
            assert shared == (["brambleusher.features.replay"] if path.name == "rerun.py" and shared else [])
