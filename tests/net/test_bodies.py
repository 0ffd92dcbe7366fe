"""Tests of streamed request and response bodies with any chunk boundaries, slow peers and malformed data."""

from __future__ import annotations

import queue
import socket
import time
import unittest

from brambleusher.net.http import (
    MAX_BUFFERED_BODY_BYTES,
    MAX_STREAMED_BODY_BYTES,
    HttpError,
    Message,
    MessageReader,
    chunk,
)
from tests.rig import WAIT, Node, Rig, Script, answer, read

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
LARGE = bytes(range(256)) * 1200  # 300 KB, larger than a buffered body


def chunks(body: bytes, size: int) -> bytes:
    parts = [chunk(body[at : at + size]) for at in range(0, len(body), size)]
    return b"".join([*parts, b"0;last\r\nTrailer: x\r\n\r\n"])


def receive_streamed(sock: socket.socket) -> tuple[dict[str, str], bytes, bool]:
    """Return headers and body of a streamed response, and whether the body is complete."""
    reader, body, done = MessageReader.responses(streaming=True), b"", False
    while not done:
        data = sock.recv(65536)
        if not data:
            return {}, body, reader.ends_with_connection
        reader.feed(data)
        if reader.head() is not None:
            more, done = reader.drain()
            body += more
    return {}, body, True


class Reading(unittest.TestCase):
    def test_what_is_not_held_is_drained_however_it_is_cut(self) -> None:
        for name, text, body in (
            ("length", b"Content-Length: %d\r\n\r\n" % len(LARGE) + LARGE, LARGE),
            ("chunks", CHUNKED + chunks(LARGE, 7001), LARGE),
            ("one chunk", CHUNKED + chunks(LARGE, len(LARGE)), LARGE),
            (
                "just over",
                CHUNKED + chunks(LARGE[: MAX_BUFFERED_BODY_BYTES + 1], 50_000),
                LARGE[: MAX_BUFFERED_BODY_BYTES + 1],
            ),
        ):
            for step in (1009, 65536, len(text) + 60):
                with self.subTest(name, step=step):
                    reader, got, done, data = (
                        MessageReader.responses(streaming=True),
                        b"",
                        False,
                        OK + text + b"XY",
                    )
                    for at in range(0, len(data), step):
                        reader.feed(data[at : at + step])
                        if not reader.is_large and not done:
                            self.assertIsNone(reader.take())
                        if reader.is_large or got:
                            more, ended = (b"", True) if done else reader.drain()
                            got, done = got + more, done or ended
                    self.assertEqual((got, done, reader.buffered), (body, True, 2))

    def test_more_than_passes_is_refused_said_or_found(self) -> None:
        reader = MessageReader.requests(streaming=True)
        reader.feed(b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (MAX_STREAMED_BODY_BYTES + 1))
        with self.assertRaises(HttpError) as caught:
            reader.take()
        self.assertEqual(caught.exception.status, 413)
        reader = MessageReader.requests(streaming=True)
        reader.feed(b"POST / HTTP/1.1\r\n" + CHUNKED)
        piece = chunk(bytes(1 << 20))
        with self.assertRaises(HttpError) as caught:
            for _ in range(MAX_STREAMED_BODY_BYTES // (1 << 20) + 1):
                reader.feed(piece)
                if reader.take() is None and reader.is_large:
                    reader.drain()
        self.assertEqual(caught.exception.status, 413)

    def test_targets_as_proxies_get_them(self) -> None:
        for target, path in (
            ("http://api.internal/look?q=1", "/look?q=1"),
            ("HTTP://api.internal:80", "/"),
            ("http://api.internal?q", "/?q"),
            ("/look", "/look"),
        ):
            reader = MessageReader.requests()
            reader.feed(f"GET {target} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
            message = reader.take()
            assert message is not None
            self.assertEqual(message.start[1], path)


class Case(unittest.TestCase):
    def node(self, script: Script | None = None) -> Node:
        node = Node(script)
        self.addCleanup(node.close)
        return node

    def rig(self, *nodes: Node) -> Rig:
        rig = Rig([node.entry(f"h{at}") for at, node in enumerate(nodes)], admin=True)
        self.addCleanup(rig.end)
        return rig


def wait_until_settled(rig: Rig) -> None:
    """Wait until the sidecar has no pending requests or open attempts."""
    until = time.monotonic() + WAIT
    while (
        rig.sidecar.upstream_pool.open_attempts
        or rig.sidecar.request_counts.in_flight
        or rig.sidecar.balancer_driver.pending_requests
    ):
        assert time.monotonic() < until
        time.sleep(0.002)


class Answers(Case):
    def test_every_form_of_a_large_answer_comes_whole(self) -> None:
        def raw(data: bytes, close: bool = False) -> Script:
            def script(sock: socket.socket, request: Message) -> None:
                for at in range(0, len(data), 10_007):
                    sock.sendall(data[at : at + 10_007])
                if close:
                    sock.shutdown(socket.SHUT_RDWR)

            return script

        for name, script in (
            ("length", answer(LARGE)),
            ("chunks", raw(OK + CHUNKED + chunks(LARGE, 4001))),
            ("the connection's end", raw(OK + b"\r\n" + LARGE, close=True)),
        ):
            rig = self.rig(self.node(script))
            for cls in ("look", "move"):
                with self.subTest(name, cls=cls), rig.send(f"{cls}1", cls) as sock:
                    _, body, done = receive_streamed(sock)
                    self.assertEqual((len(body), body == LARGE, done), (len(LARGE), True, True))
            wait_until_settled(rig)
            self.assertEqual(rig.sidecar.request_counts.finished["look"]["fulfilled"], 1)

    def test_a_small_answer_that_the_connection_ends_is_served(self) -> None:
        def script(sock: socket.socket, request: Message) -> None:
            sock.sendall(OK + b"\r\nmine")
            sock.shutdown(socket.SHUT_RDWR)

        self.assertEqual(self.rig(self.node(script)).call("a", "move").body, b"mine")

    def test_the_first_bytes_go_out_before_the_last_have_come_and_the_module_is_told(self) -> None:
        for name, head in (("length", b"Content-Length: %d\r\n\r\n" % len(LARGE)), ("chunks", CHUNKED)):
            with self.subTest(name):
                go: queue.Queue[int] = queue.Queue()
                text = LARGE if name == "length" else chunks(LARGE, len(LARGE))

                def script(
                    sock: socket.socket, request: Message, text: bytes = text, head: bytes = head,
                    go: queue.Queue[int] = go,
                ) -> None:  # fmt: skip
                    sock.sendall(OK + head + text[:1000])
                    go.get(timeout=WAIT)
                    sock.sendall(text[1000:])

                rig = self.rig(self.node(script))
                with rig.send("a") as sock:
                    first = sock.recv(65536)
                    self.assertTrue(first.startswith(OK))
                    self.assertEqual(
                        rig.sidecar.balancer_driver.pending_requests, 0, "finished for the balancer"
                    )
                    self.assertEqual(
                        rig.sidecar.request_counts.in_flight, 1, "still in flight for the client"
                    )
                    go.put(1)
                    reader, body, done = MessageReader.responses(streaming=True), b"", False
                    reader.feed(first)
                    while not done:
                        if reader.head() is not None:
                            more, done = reader.drain()
                            body += more
                        if not done:
                            reader.feed(sock.recv(65536))
                    self.assertEqual(body, LARGE)

    def test_one_whose_node_stands_still_ends_with_its_client(self) -> None:
        def script(sock: socket.socket, request: Message) -> None:
            sock.sendall(OK + b"Content-Length: %d\r\n\r\n" % len(LARGE) + LARGE[:1000])

        node = self.node(script)
        rig = self.rig(node)
        with rig.send("a") as sock:
            self.assertTrue(sock.recv(65536).startswith(OK))
        left_at = time.monotonic()
        node.left.get(timeout=WAIT)
        self.assertLess(time.monotonic() - left_at, 1.0)  # the timeout for a chunk of the body is 5 s
        wait_until_settled(rig)
        self.assertEqual(rig.sidecar.counters.count("answers_cut"), 0)

    def test_one_that_breaks_ends_where_it_is_and_counts_as_failed(self) -> None:
        def cut(data: bytes) -> Script:
            def script(sock: socket.socket, request: Message) -> None:
                sock.sendall(data)
                sock.shutdown(socket.SHUT_RDWR)

            return script

        for name, data in (
            ("length", OK + b"Content-Length: 300000\r\n\r\n" + LARGE[:200_000]),
            ("chunks", OK + CHUNKED + chunk(LARGE[:200_000])),
            ("bad chunks", OK + CHUNKED + chunk(LARGE[:200_000]) + b"what\r\n"),
        ):
            with self.subTest(name):
                rig = self.rig(self.node(cut(data)))
                with rig.send("a", "move") as sock:
                    _, body, done = receive_streamed(sock)
                self.assertTrue(
                    LARGE[:200_000].startswith(body) and len(body) > MAX_BUFFERED_BODY_BYTES and not done
                )
                self.assertEqual(
                    rig.sidecar.request_counts.finished["move"],
                    {"fulfilled": 0, "throttled": 0, "faulted": 1},
                )

    def test_chunks_without_end_are_cut_and_cost_no_memory(self) -> None:
        def script(sock: socket.socket, request: Message) -> None:
            sock.sendall(OK + CHUNKED)
            piece = chunk(bytes(1 << 18))
            while True:
                sock.sendall(piece)

        node = self.node(script)
        rig = self.rig(node)
        with rig.send("a", wait_ms=60_000) as sock:
            _, body, done = receive_streamed(sock)
        self.assertFalse(done)
        self.assertLessEqual(len(body), MAX_STREAMED_BODY_BYTES)
        node.left.get(timeout=WAIT)

    def test_a_client_that_reads_nothing_holds_up_its_node_and_nobody_else(self) -> None:
        sent: queue.Queue[int] = queue.Queue()

        def script(sock: socket.socket, request: Message) -> None:
            if request.headers["request-id"] == "small":
                return answer(b"mine")(sock, request)
            sock.sendall(OK + b"Content-Length: %d\r\n\r\n" % MAX_STREAMED_BODY_BYTES)
            for _ in range(MAX_STREAMED_BODY_BYTES >> 20):
                sock.sendall(bytes(1 << 20))
                sent.put(1)

        rig = self.rig(self.node(script), self.node(script))
        with rig.send("big") as sock:
            sock.recv(1)
            self.assertEqual(rig.call("small").body, b"mine")
            self.assertLess(sent.qsize(), MAX_STREAMED_BODY_BYTES >> 20)
            self.assertEqual(rig.sidecar.upstream_pool.open_attempts, 1)
        wait_until_settled(rig)  # the client has left, so the attempt ends too


class Uploads(Case):
    def head(self, name: str, *lines: str) -> bytes:
        return "\r\n".join([
            "POST /move HTTP/1.1", "Host: a", f"Request-Id: {name}", "Request-Class: move",
            "Request-Timeout-Ms: 5000", *lines, "", "",
        ]).encode()  # fmt: skip

    def accepting_node(self) -> tuple[Node, queue.Queue[tuple[Message, bytes]]]:
        """Return a node that accepts bodies of any size, and a queue of the requests it received."""
        got: queue.Queue[tuple[Message, bytes]] = queue.Queue()

        class AcceptingNode(Node):
            def serve(self, sock: socket.socket) -> None:
                reader, body, message = MessageReader.requests(streaming=True), b"", None
                while data := sock.recv(65536):
                    reader.feed(data)
                    message = message or reader.head()
                    if message is not None:
                        more, done = reader.drain()
                        body += more
                        if done:
                            got.put((message, body))
                            answer(b"done")(sock, message)
                            body, message = b"", None
                self.left.put(len(body))

        node = AcceptingNode()
        self.addCleanup(node.close)
        return node, got

    def test_every_form_of_a_large_body_passes_on_whole(self) -> None:
        node, got = self.accepting_node()
        rig = self.rig(node)
        length = f"Content-Length: {len(LARGE)}"
        for name, lines, text in (
            ("length", (length,), LARGE),
            ("chunks", ("Transfer-Encoding: chunked",), chunks(LARGE, 3001)),
            ("asks first", (length, "Expect: 100-continue"), LARGE),
        ):
            with self.subTest(name), rig.connect() as sock:
                for turn in range(2):  # the second request reuses the connection
                    sock.sendall(self.head(f"{name.replace(' ', '')}{turn}", *lines))
                    if len(lines) > 1:
                        self.assertTrue(sock.recv(100).startswith(b"HTTP/1.1 100"))
                    for at in range(0, len(text), 30_011):
                        sock.sendall(text[at : at + 30_011])
                    self.assertEqual(read(sock).body, b"done")
                    message, body = got.get(timeout=WAIT)
                    self.assertEqual((len(body), body == LARGE), (len(LARGE), True))
                    self.assertEqual(message.headers["request-timeout-ms"], "4990")
        wait_until_settled(rig)
        self.assertEqual(rig.sidecar.request_counts.finished["move"]["fulfilled"], 6)
        self.assertEqual(
            (rig.sidecar.request_counts.attempts_sent, rig.sidecar.request_counts.in_flight), (6, 0)
        )

    def test_a_client_that_leaves_half_way_leaves_a_node_that_has_not_run_it(self) -> None:
        node, got = self.accepting_node()
        rig = self.rig(node)
        with rig.connect() as sock:
            sock.sendall(self.head("half", "Content-Length: 300000") + LARGE[:200_000])
        node.left.get(timeout=WAIT)
        wait_until_settled(rig)
        self.assertEqual(
            (got.qsize(), rig.sidecar.request_counts.attempts_sent, rig.sidecar.request_counts.in_flight),
            (0, 0, 0),
        )

    def test_one_that_breaks_at_its_node_is_refused_and_goes_nowhere_else(self) -> None:
        def breaking(sock: socket.socket, request: Message) -> None:
            """Do nothing; never called, as no request arrives completely."""

        class ClosingNode(Node):
            def serve(self, sock: socket.socket) -> None:
                sock.recv(65536)
                # Recorded before the sidecar can respond, so that the final count is complete.
                self.left.put(1)
                sock.close()

        class RejectingNode(ClosingNode):
            def serve(self, sock: socket.socket) -> None:
                sock.recv(65536)
                self.left.put(1)
                answer(b"", "503 Service Unavailable", "Not-Started: 1")(sock, Message(("", ""), 1, {}))
                while sock.recv(65536):
                    pass

        for kind in (ClosingNode, RejectingNode):
            with self.subTest(kind.__name__):
                self.check_rejected_once([kind(breaking), kind(breaking)])

    def check_rejected_once(self, bad: list[Node]) -> None:
        for node in bad:
            self.addCleanup(node.close)
        rig = self.rig(*bad)
        with rig.connect() as sock:
            sock.sendall(self.head("a", "Content-Length: 3000000") + LARGE)
            reader = MessageReader.responses()
            while (got := reader.take()) is None:  # the response arrives before the request body is complete
                reader.feed(sock.recv(65536))
        self.assertEqual((got.status, got.keep_alive), (503, False))
        self.assertEqual(sum(node.left.qsize() for node in bad), 1)

    def test_more_than_passes_is_413_and_what_is_safe_has_no_body_of_such_size(self) -> None:
        node, _ = self.accepting_node()
        rig = self.rig(node)
        get = self.head("b", "Content-Length: 100000").replace(b"POST /move", b"GET /look")
        for text in (
            self.head("a", f"Content-Length: {MAX_STREAMED_BODY_BYTES + 1}"),
            get.replace(b"Class: move", b"Class: look"),
        ):
            with rig.connect() as sock:
                sock.sendall(text)
                self.assertEqual(read(sock).status, 413)
        self.assertEqual(node.left.qsize(), 0)
