"""Synthetic traffic without delays, which tests feed to a checker."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from brambleusher.lab.checker import Checker, Rules

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
