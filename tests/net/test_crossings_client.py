"""Tests of race conditions on client connections, forced on real sockets."""

from __future__ import annotations

import contextlib
import queue
import socket
import struct
import threading
import unittest
from concurrent.futures import Future, ThreadPoolExecutor
from unittest import mock

from brambleusher.net import client_connection, client_request_reader
from brambleusher.net.http import Message, MessageReader
from brambleusher.sidecar import lifecycle
from tests.crossing import HookedSystem, PollingTestCase, scheduler_held
from tests.rig import WAIT, Node, Rig, Script, answer, read

NOT_STARTED = answer(b"", "503 Service Unavailable", "Not-Started: 1")


def request(name: str, *headers: str, cls: str = "look") -> bytes:
    lines = [
        f"GET /{cls}?q=1 HTTP/1.1", "Host: api.internal", f"Request-Id: {name}",
        f"Request-Class: {cls}", "Request-Timeout-Ms: 5000", *headers,
    ]  # fmt: skip
    return "\r\n".join([*lines, "", ""]).encode()


def drain(sock: socket.socket) -> bytes:
    """Return all bytes received until the connection ends."""
    got = bytearray()
    while data := sock.recv(65536):
        got += data
    return bytes(got)


def answers(data: bytes) -> list[Message]:
    reader, found = MessageReader.responses(), []
    reader.feed(data)
    while (message := reader.take()) is not None:
        found.append(message)
    assert not reader.has_begun, "the connection ended within a response"
    return found


class HeldNode(Node):
    """A node that responds only when the test tells it to."""

    def __init__(self, backlog: int = 64) -> None:
        self.held: queue.Queue[tuple[socket.socket, Message]] = queue.Queue()
        super().__init__(lambda sock, request: self.held.put((sock, request)), backlog)

    def respond_with(self, script: Script) -> None:
        sock, message = self.held.get(timeout=WAIT)
        script(sock, message)

    def reset(self, sock: socket.socket) -> None:
        """Reset a connection; the reset is complete on return, as the reading thread has ended."""
        sock.shutdown(socket.SHUT_RD)
        self.left.get(timeout=WAIT)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()


class Case(PollingTestCase):
    def setUp(self) -> None:
        # Idle connections are closed 0.55 s after the shutdown begins, not as late as the platform allows.
        short = mock.patch.object(lifecycle, "MAX_GRACE_DEADLINE_S", 0.6)
        short.start()
        self.addCleanup(short.stop)
        self.system = HookedSystem()
        self.hooks = self.system.hooks

    def holding(self) -> HeldNode:
        node = HeldNode()
        self.addCleanup(node.close)
        return node

    def rig(self, *nodes: Node) -> Rig:
        rig = Rig([node.entry(f"h{at}") for at, node in enumerate(nodes)], system=self.system)
        self.addCleanup(rig.end)
        return rig

    def connect(self, rig: Rig, receive_bytes: int = 0) -> socket.socket:
        sock = socket.socket()
        self.addCleanup(sock.close)
        if receive_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        sock.settimeout(WAIT)
        sock.connect(rig.address)
        return sock

    def counted(self, rig: Rig, name: str, count: int = 1) -> None:
        self.until(lambda: rig.sidecar.counters.count(name) >= count, f"{name} stays under {count}")


class Closes(Case):
    def test_an_answer_is_whole_where_its_client_sent_more_before_the_close(self) -> None:
        """A close with unread bytes sends a TCP reset, which could discard the response."""
        node = self.holding()
        rig = self.rig(node)
        sock = self.connect(rig, receive_bytes=4096)
        sock.sendall(request("r1", "Connection: close"))
        body = bytes(range(256)) * 224
        held = node.held.get(timeout=WAIT)
        # The bytes arrive right before the sidecar shuts or closes the connection.
        self.hooks.before("client", "shutdown", "close", do=lambda: sock.sendall(b"x" * 1000))
        answer(body)(*held)
        self.counted(rig, "answers_served")
        self.until(lambda: not rig.sidecar.client_listener.connections)
        (got,) = answers(drain(sock))
        self.assertEqual((got.status, got.body), (200, body))

    def test_a_request_that_crosses_the_end_of_a_resting_connection_is_not_sent_on(self) -> None:
        node = Node(answer(b"yes"))
        self.addCleanup(node.close)
        rig = self.rig(node)
        sock = self.connect(rig)
        sock.sendall(request("r1"))
        self.assertEqual(read(sock).status, 200)
        anew: queue.Queue[Future[Message]] = queue.Queue()
        readers = ThreadPoolExecutor(max_workers=1)
        self.addCleanup(readers.shutdown)

        def end(other: socket.socket) -> None:
            """Wake a reader that has received no response before its socket is closed."""
            with contextlib.suppress(OSError):
                other.shutdown(socket.SHUT_RDWR)

        def cross() -> None:
            sock.sendall(request("r2"))
            other = self.connect(rig)  # a client reconnects when its request crossed the close
            self.addCleanup(end, other)
            other.sendall(request("r2b"))
            anew.put(readers.submit(read, other))

        self.hooks.before("client", "shutdown", "close", do=cross)
        rig.sidecar.begin_graceful_shutdown()
        self.assertEqual(drain(sock), b"", "the connection must end without a reset")
        response = anew.get(timeout=WAIT).result(timeout=WAIT)
        self.assertEqual(response.status, 200, "the listener must still accept for a short time")
        rig.thread.join(WAIT)
        seen = [node.seen.get(timeout=WAIT)[0].headers["request-id"] for _ in range(node.seen.qsize())]
        self.assertEqual(seen, ["r1", "r2b"])

    def test_a_request_that_comes_as_the_wait_for_it_ends_is_served(self) -> None:
        node = Node(answer(b"yes"))
        self.addCleanup(node.close)
        with mock.patch.object(client_request_reader, "IDLE_TIMEOUT_S", 0.3):
            rig = self.rig(node)
            sock = self.connect(rig)
            sock.sendall(request("r1"))
            self.assertEqual(read(sock).status, 200)
            rig.sidecar.scheduler.call_soon(lambda: self.send_at_the_end_of_the_wait(rig, sock))
            self.assertEqual(read(sock).status, 200)

    @staticmethod
    def send_at_the_end_of_the_wait(rig: Rig, sock: socket.socket) -> None:
        """Send after the timer of the wait has fired but before the waiting task runs."""
        scheduler = rig.sidecar.scheduler
        (connection,) = rig.sidecar.connection_admission.idle_connections()
        assert isinstance(connection, client_connection.ClientConnection) and connection.task is not None
        timer = connection.task.timer
        (due,) = [when for when, _, each in scheduler._timers if each is timer]
        scheduler.call_at(due, lambda: sock.sendall(request("r2")))

    def test_what_was_sent_ahead_is_answered_while_the_sidecar_ends(self) -> None:
        node = self.holding()
        rig = self.rig(node)
        sock = self.connect(rig)
        sock.sendall(request("r1"))
        held = node.held.get(timeout=WAIT)
        has_drain_begun = threading.Event()
        real = rig.sidecar.client_listener.drain

        def draining() -> None:
            has_drain_begun.set()
            real()

        with mock.patch.object(rig.sidecar.client_listener, "drain", draining):
            rig.sidecar.begin_graceful_shutdown()
            self.assertTrue(has_drain_begun.wait(WAIT))
        sock.sendall(request("r2"))
        answer(b"one")(*held)
        node.respond_with(answer(b"two"))
        self.assertEqual([message.body for message in answers(drain(sock))], [b"one", b"two"])

    def test_a_connection_that_is_given_up_carries_no_further_request(self) -> None:
        """A request read ahead must not be forwarded when its connection is already closed."""
        node = self.holding()
        rig = self.rig(node)
        sock = self.connect(rig)
        sock.sendall(request("r1"))
        held = node.held.get(timeout=WAIT)
        places = rig.sidecar.connection_admission
        sock.sendall(request("r2"))
        (connection,) = rig.sidecar.client_listener._connections._open
        self.until(lambda: connection.stream.peek() is None, "it is read ahead")
        with (
            mock.patch.object(places, "is_scarce", lambda now: True),
            mock.patch.object(places, "surplus_connections", lambda now: iter(places.idle_connections())),
            mock.patch.object(places, "may_keep_alive", lambda conn, now: True),
        ):
            answer(b"one")(*held)
            first = MessageReader.responses()
            while (message := first.take()) is None:
                first.feed(sock.recv(65536))
            self.assertEqual(message.body, b"one")
            # The request must either be answered or not be forwarded.
            with contextlib.suppress(queue.Empty):
                node.respond_with(answer(b"two"))
                while (message := first.take()) is None:
                    data = sock.recv(65536)
                    self.assertTrue(data, "the request was forwarded but its connection was closed")
                    first.feed(data)
                self.assertEqual(message.body, b"two")


class Leaves(Case):
    def test_nothing_is_sent_for_a_client_that_leaves_while_its_node_is_connected(self) -> None:
        node = self.holding()
        rig = self.rig(node)
        sock = self.connect(rig)
        self.hooks.before("upstream", "connected", do=sock.close)
        sock.sendall(request("r1"))
        self.counted(rig, "requests_gone")
        self.assertEqual(self.hooks.made, [("upstream", "connected")])
        rig.sidecar.begin_graceful_shutdown()
        rig.thread.join(WAIT)
        self.assertEqual(node.seen.qsize(), 0)

    def test_nothing_is_sent_for_a_client_that_resets_while_its_node_is_connected(self) -> None:
        node = self.holding()
        rig = self.rig(node)
        sock = self.connect(rig)

        def reset() -> None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()

        self.hooks.before("upstream", "connected", do=reset)
        sock.sendall(request("r1"))
        self.counted(rig, "requests_gone")
        rig.sidecar.begin_graceful_shutdown()
        rig.thread.join(WAIT)
        self.assertEqual(node.seen.qsize(), 0)

    def test_a_flood_that_leaves_is_seen_to_leave_and_gets_no_further_attempt(self) -> None:
        nodes = [self.holding(), self.holding()]
        rig = self.rig(*nodes)
        sock = self.connect(rig)
        sock.sendall(request("r1") + b"x" * 600_000)
        sock.close()
        self.counted(rig, "requests_gone")
        for node in nodes:
            with contextlib.suppress(queue.Empty, OSError):
                NOT_STARTED(*node.held.get_nowait())
        rig.sidecar.begin_graceful_shutdown()
        rig.thread.join(WAIT)
        self.assertLessEqual(sum(node.seen.qsize() for node in nodes), 1)

    def test_a_client_that_left_in_the_moment_of_a_refusal_gets_no_further_attempt(self) -> None:
        nodes = [self.holding(), self.holding()]
        rig = self.rig(*nodes)
        sock = self.connect(rig)
        sock.sendall(request("r1"))
        self.until(lambda: any(node.held.qsize() for node in nodes))
        taken = [node for node in nodes if node.held.qsize()]
        with scheduler_held(rig):
            taken[0].respond_with(NOT_STARTED)
            sock.close()
        self.counted(rig, "requests_gone")
        rig.sidecar.begin_graceful_shutdown()
        rig.thread.join(WAIT)
        self.assertEqual(sum(node.seen.qsize() for node in nodes), 1)


if __name__ == "__main__":
    unittest.main()
