"""Tests of the admin endpoint: its route table, and requests over real sockets."""

from __future__ import annotations

import queue
import socket
import threading
import time
import unittest
from typing import Any

from brambleusher.admin.routes import AdminOperation, find_route
from brambleusher.admin.server import MAX_ADMIN_CONNECTIONS
from brambleusher.net.http import HttpError, Message
from tests.rig import WAIT, Discovery, Node, Rig, Script, answer, read


class Calls(unittest.TestCase):
    def test_the_table(self) -> None:
        for method, target, call, node in (
            ("GET", "/control/ready", AdminOperation.READY, ""),
            ("GET", "/control/counters?now", AdminOperation.COUNTERS, ""),
            ("POST", "/control/registry-nodes/s-5be2a07c/offline", AdminOperation.OFFLINE, "s-5be2a07c"),
            ("POST", "/control/registry-nodes/a%2Fb%C3%A9/online", AdminOperation.ONLINE, "a/bé"),
            ("POST", "/control/out-of-service", AdminOperation.OUT_OF_SERVICE, ""),
            ("POST", "/control/in-service", AdminOperation.IN_SERVICE, ""),
        ):
            with self.subTest(target):
                asked = find_route(method, target)
                self.assertEqual((asked.operation, asked.endpoint), (call, node))

    def test_what_is_no_call(self) -> None:
        for method, target, status in (
            ("POST", "/control/ready", 405),
            ("GET", "/control/registry-nodes/a/offline", 405),
            ("PUT", "/control/in-service", 405),
            ("GET", "/control", 404),
            ("GET", "/ready", 404),
            ("POST", "/control/registry-nodes/a/b/offline", 404),
            ("POST", "/control/registry-nodes/a/sideways", 404),
            ("POST", "/control/registry-nodes/%zz/offline", 400),
            ("POST", "/control/registry-nodes/%ff/offline", 400),
        ):
            with self.subTest(target), self.assertRaises(HttpError) as caught:
                find_route(method, target)
            self.assertEqual(caught.exception.status, status)


class DelayedDiscovery(Discovery):
    """A discovery service that answers a watch request only once `may_answer` is set."""

    def __init__(self, servers: list[dict[str, Any]]) -> None:
        self.may_answer = threading.Event()
        super().__init__(servers)

    def serve(self, sock: socket.socket) -> None:
        self.asked.put(sock.recv(65536).split(b" ")[1].decode())
        self.may_answer.wait(WAIT)
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + self._chunk(self.first))
        sock.recv(65536)


class AdminEndpoint(unittest.TestCase):
    def rig(self, *nodes: Node) -> Rig:
        rig = Rig([node.entry(f"h{at}") for at, node in enumerate(nodes)], admin=True)
        self.addCleanup(rig.end)
        return rig

    def node(self, script: Script | None = None) -> Node:
        node = Node(script)
        self.addCleanup(node.close)
        return node

    def connect(self, rig: Rig) -> socket.socket:
        assert rig.sidecar.admin_address is not None
        sock = socket.create_connection(rig.sidecar.admin_address, WAIT)
        self.addCleanup(sock.close)
        return sock

    def call(self, rig: Rig, method: str, path: str) -> Message:
        sock = self.connect(rig)
        sock.sendall(f"{method} /control/{path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n".encode())
        got = read(sock)
        self.assertEqual(sock.recv(1), b"", "one request per connection")
        return got

    def metrics(self, rig: Rig) -> dict[str, int]:
        lines = self.call(rig, "GET", "counters").body.decode().splitlines()
        return {name: int(value) for name, value in (line.split("=") for line in lines)}

    def test_a_banned_node_gets_nothing_until_the_call_back_whatever_discovery_says(self) -> None:
        nodes = self.node(), self.node()
        rig = self.rig(*nodes)
        self.assertEqual(self.call(rig, "POST", "registry-nodes/h9/offline").status, 404)
        for _ in range(2):
            self.assertEqual(self.call(rig, "POST", "registry-nodes/h0/offline").status, 200)
        rig.discovery.push(Discovery.text([nodes[0].entry("h0"), nodes[1].entry("h1")], True, 8))
        rig.listed(2)
        for n in range(20):
            self.assertEqual(rig.call(f"r{n}").status, 200)
        self.assertEqual((nodes[0].seen.qsize(), nodes[1].seen.qsize()), (0, 20))
        self.assertEqual(self.metrics(rig)["edge_node.out_of_rotation"], 1)
        self.assertEqual(self.call(rig, "POST", "registry-nodes/h0/online").status, 200)
        until = time.monotonic() + WAIT
        while not nodes[0].seen.qsize():  # the endpoint is warming up and gets only part of its capacity
            rig.call(f"late{time.monotonic_ns()}")
            self.assertLess(time.monotonic(), until)
        self.assertEqual(self.metrics(rig)["edge_node.out_of_rotation"], 0)

    def test_the_last_node_can_be_banned(self) -> None:
        rig = self.rig(self.node())
        self.assertEqual(self.call(rig, "POST", "registry-nodes/h0/offline").status, 200)
        self.assertEqual(rig.call("a").status, 503)

    def test_figures_are_what_the_other_sides_saw(self) -> None:
        held: queue.Queue[socket.socket] = queue.Queue()

        def script(sock: socket.socket, request: Message) -> None:
            if request.headers["request-id"] == "held":
                held.put(sock)
            else:
                answer(b"", "200 OK" if request.headers["request-id"] != "bad" else "500 Oops")(sock, request)

        rig = self.rig(self.node(script))
        waiting = rig.send("held", "move")
        first = held.get(timeout=WAIT)
        self.assertEqual([rig.call("a").status, rig.call("bad", "move").status], [200, 502])
        got = self.metrics(rig)
        self.assertEqual(got["edge_node.operations.look.fulfilled"], 1)
        self.assertEqual(got["edge_node.operations.move.faulted"], 1)
        self.assertEqual(got["edge_node.operations.move.throttled"], 0)
        self.assertEqual((got["edge_node.relayed"], got["edge_node.open_requests"]), (3, 1))
        self.assertEqual((got["edge_node.registry_entries"], got["edge_node.out_of_rotation"]), (1, 0))
        answer(b"")(first, Message(("GET", "/"), 1, {}))
        self.assertEqual(read(waiting).status, 200)
        rig.send("left").close()  # a request without a client is finished and has no outcome
        until = time.monotonic() + WAIT
        while (got := self.metrics(rig))["edge_node.open_requests"]:
            self.assertLess(time.monotonic(), until)
        self.assertEqual(got["edge_node.operations.move.fulfilled"], 1)

    def test_callers_that_say_nothing_or_half_a_call_hold_up_nobody(self) -> None:
        rig = self.rig(self.node())
        rig.listed(1)  # until the list has arrived the answer is 503, as the next test checks
        silent = [self.connect(rig) for _ in range(MAX_ADMIN_CONNECTIONS * 2)]
        for sock in silent[::2]:
            sock.sendall(b"GET /control/rea")
        begun = time.monotonic()
        self.assertEqual(self.call(rig, "GET", "ready").status, 200)
        self.assertLess(time.monotonic() - begun, 1.0)
        for text, status in ((b"GET / HTTP/1.1\r\n\r\n", 404), (b"nonsense\r\n\r\n", 400)):
            sock = self.connect(rig)
            sock.sendall(text)
            self.assertEqual(read(sock).status, status)
        # An incomplete request is answered with 408 after the timeout.
        self.assertEqual(read(silent[-2]).status, 408)

    def test_it_is_not_ready_until_the_list_is_in(self) -> None:
        """Readiness depends only on the endpoint list, not on timing or on the load of the machine."""
        discovery = DelayedDiscovery([self.node().entry("h0")])
        rig = Rig([], admin=True, discovery=discovery)
        self.addCleanup(rig.end)
        got = self.call(rig, "GET", "ready")
        self.assertEqual((got.status, got.body), (503, b"starting\n"))
        discovery.may_answer.set()
        rig.listed(1)
        self.assertEqual(self.call(rig, "GET", "ready").status, 200)

    def test_out_of_service_sends_clients_away_and_back(self) -> None:
        rig = self.rig(self.node())
        active, idle = rig.connect(), rig.connect()
        rig.send("a", sock=active)
        self.assertTrue(read(active).keep_alive)
        rig.send("b", sock=idle)
        read(idle)
        self.assertEqual(self.call(rig, "POST", "out-of-service").status, 200)
        self.assertEqual(self.ready(rig), 503)
        self.assertEqual(
            self.call(rig, "GET", "ready").status, 200, "the process can serve, although it is out of service"
        )
        rig.send("c", sock=active)
        got = read(active)  # the request is served, and the response closes the connection
        self.assertEqual((got.status, got.keep_alive), (200, False))
        self.assertEqual((idle.recv(1), active.recv(1)), (b"", b""))
        self.assertEqual(rig.call("d").status, 200)  # the load balancer in front may still send requests
        self.assertEqual(self.call(rig, "POST", "in-service").status, 200)
        self.assertEqual(self.ready(rig), 200)
        rig.send("e", sock=(again := rig.connect()))
        self.assertTrue(read(again).keep_alive)

    @staticmethod
    def ready(rig: Rig) -> int:
        with rig.connect() as sock:
            sock.sendall(b"GET /ready HTTP/1.1\r\n\r\n")
            return read(sock).status
