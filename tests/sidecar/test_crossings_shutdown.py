"""Tests of race conditions between a sidecar's shutdown and requests in progress, on real sockets."""

from __future__ import annotations

import functools
import math
import queue
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any
from unittest import mock

from brambleusher.decisions.balancer_driver import BalancerDriver
from brambleusher.decisions.requests import ClientRequest, PendingRequest
from brambleusher.sidecar import lifecycle
from brambleusher.sidecar.configuration import ConfigError
from tests.crossing import scheduler_held
from tests.net.test_crossings_client import NOT_STARTED, Case, HeldNode, answers, drain, request
from tests.net.test_crossings_lists import Scripted
from tests.rig import WAIT, Discovery, Node, Rig, answer, read


class Ends(Case):
    def winding_down(self, rig: Rig) -> None:
        """Shut the sidecar down, and wait until idle connections and the listener are closed."""
        rig.sidecar.begin_graceful_shutdown()
        self.until(lambda: rig.sidecar.lifecycle.is_drained)

    def ended(self, rig: Rig) -> None:
        rig.thread.join(WAIT)
        self.assertFalse(rig.thread.is_alive())

    def held(self, *nodes: HeldNode) -> tuple[HeldNode, socket.socket, Any]:
        """Return the node that received a request, its connection and the request."""
        self.until(lambda: any(node.held.qsize() for node in nodes))
        node = next(node for node in nodes if node.held.qsize())
        return node, *node.held.get(timeout=WAIT)

    @staticmethod
    def reads_one(rig: Rig) -> bool:
        """Return whether the only client's request has started to arrive."""
        return (
            rig.sidecar.connection_admission.connection_count == 1
            and not rig.sidecar.connection_admission.unused_count
        )

    def test_before_it_is_ready(self) -> None:
        """Without a list or a response from discovery, requests are rejected and the process ends."""
        rig = Rig([], discovery=Scripted([], lambda sock: None), system=self.system)
        self.addCleanup(rig.end)
        sock = self.connect(rig)
        rig.sidecar.begin_graceful_shutdown()
        sock.sendall(request("r1"))
        self.assertIn(read(sock).status, (429, 503))
        self.ended(rig)

    def test_while_a_request_head_or_a_body_comes(self) -> None:
        whole = request("r1")
        post = request("m1", "Content-Length: 6").replace(b"GET /look", b"POST /move")
        post = post.replace(b"Class: look", b"Class: move") + b"abcdef"
        for text, cut in ((whole, 30), (post, len(post) - 3)):
            with self.subTest(text[:10]):
                node = Node(answer(b"yes"))
                self.addCleanup(node.close)
                rig = self.rig(node)
                sock = self.connect(rig)
                sock.sendall(text[:cut])
                self.until(functools.partial(self.reads_one, rig))
                self.winding_down(rig)
                sock.sendall(text[cut:])
                (got,) = answers(drain(sock))
                self.assertEqual(got.body, b"yes")
                self.ended(rig)

    def streaming(self, script: Callable[[socket.socket], None]) -> tuple[Rig, socket.socket, bytes]:
        """Return a sidecar that relays a response without a length, its client, and the data received."""

        def begin(sock: socket.socket, _request: object) -> None:
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
            script(sock)

        node = Node(begin)
        self.addCleanup(node.close)
        rig = self.rig(node)
        sock = self.connect(rig)
        sock.sendall(request("r1"))
        got = b""
        while b"first" not in got:
            got += sock.recv(65536)
        return rig, sock, got

    def test_a_streamed_response_that_stands_still_does_not_outlive_the_grace_period(self) -> None:
        rig, sock, _ = self.streaming(lambda sock: None)
        begun = time.monotonic()
        rig.sidecar.begin_graceful_shutdown()
        # The client can tell that the response is truncated.
        self.assertFalse(drain(sock).endswith(b"0\r\n\r\n"))
        self.ended(rig)
        # With the settings of this class, SIGKILL may follow 1.3 s after SIGTERM.
        self.assertLess(time.monotonic() - begun, 2.5)

    def test_a_streamed_response_that_goes_on_is_finished_whatever_the_grace_period(self) -> None:
        def pieces(sock: socket.socket) -> None:
            for _ in range(20):
                time.sleep(0.1)
                sock.sendall(b"4\r\nmore\r\n")
            sock.sendall(b"0\r\n\r\n")

        rig, sock, got = self.streaming(pieces)
        rig.sidecar.begin_graceful_shutdown()
        got += drain(sock)
        self.assertEqual(got.count(b"more"), 20)
        self.assertTrue(got.endswith(b"0\r\n\r\n"))
        self.ended(rig)

    def test_during_an_attempt_and_before_a_further_one(self) -> None:
        nodes = [self.holding(), self.holding()]
        rig = self.rig(*nodes)
        sock = rig.send("r1")
        _, first, message = self.held(*nodes)
        self.winding_down(rig)
        NOT_STARTED(first, message)
        _, second, message = self.held(*nodes)
        answer(b"from the other")(second, message)
        self.assertEqual(read(sock).body, b"from the other")
        self.ended(rig)

    def test_while_an_answer_is_half_written(self) -> None:
        node = self.holding()
        rig = self.rig(node)
        sock = self.connect(rig, receive_bytes=4096)
        sock.sendall(request("r1"))
        _, upstream, message = self.held(node)
        body = bytes(range(256)) * 16_000
        writer = threading.Thread(target=answer(body), args=(upstream, message), daemon=True)
        writer.start()
        got = sock.recv(100)
        self.winding_down(rig)
        head, _, whole = (got + drain(sock)).partition(b"\r\n\r\n")
        self.assertIn(b"200 OK", head)
        self.assertTrue(whole == body, f"{len(whole)} of {len(body)} bytes")
        self.ended(rig)

    def test_with_connections_in_the_queue_of_the_listener(self) -> None:
        """The connections arrive while the scheduler is held, in the iteration in which closing begins."""
        node = Node(answer(b"yes"))
        self.addCleanup(node.close)
        rig = self.rig(node)
        rig.sidecar.begin_graceful_shutdown()
        with scheduler_held(rig):
            self.assertFalse(rig.sidecar.client_listener._connections.is_draining)
            socks = [self.connect(rig) for _ in range(40)]
            for number, sock in enumerate(socks):
                sock.sendall(request(f"q{number}"))
            time.sleep(0.6)  # until after the sidecar starts closing
        self.assertEqual([read(sock).body for sock in socks], [b"yes"] * 40)
        self.ended(rig)

    def test_clients_that_send_on_as_long_as_their_connection_is_open(self) -> None:
        """Each request is either answered or, if it crossed the shutdown, not forwarded."""
        node = Node(answer(b"yes"))
        self.addCleanup(node.close)
        rig = self.rig(node)
        results: queue.Queue[tuple[int, str]] = queue.Queue()

        def send_on(name: str) -> None:
            sock, count = self.connect(rig), 0
            while True:
                sock.sendall(request(f"{name}-{count}"))
                data = sock.recv(65536)
                if not data:
                    results.put((count, f"{name}-{count}"))
                    return
                count += 1

        threads = [threading.Thread(target=send_on, args=(f"c{n}",), daemon=True) for n in range(4)]
        for thread in threads:
            thread.start()
        self.until(lambda: node.seen.qsize() > 20)
        rig.sidecar.begin_graceful_shutdown()
        self.ended(rig)
        seen = {node.seen.get()[0].headers["request-id"] for _ in range(node.seen.qsize())}
        for _ in threads:
            answered, last = results.get(timeout=WAIT)
            self.assertGreater(answered, 0)
            self.assertNotIn(last, seen)

    def test_a_resting_connection_is_served_until_shortly_before_sigkill(self) -> None:
        node = Node(answer(b"yes"))
        self.addCleanup(node.close)
        with mock.patch.object(lifecycle, "MAX_GRACE_DEADLINE_S", 1.6):
            rig = self.rig(node)
            sock = self.connect(rig)
            rig.sidecar.begin_graceful_shutdown()
            begun = time.monotonic()
            last, count = begun, 0
            while True:
                sock.sendall(request(f"r{count}"))
                data = sock.recv(65536)
                if not data:
                    break
                self.assertIn(b" 200 ", data)
                last, count = time.monotonic(), count + 1
            self.assertGreater(last - begun, 1.0)
            self.ended(rig)

    def test_what_comes_after_the_end_began_is_answered_before_sigkill(self) -> None:
        """The node never responds, and the process would be killed before the client's timeout."""
        node = self.holding()
        rig = self.rig(node)
        sock = self.connect(rig)
        with scheduler_held(rig):
            rig.sidecar.begin_graceful_shutdown()
        self.until(lambda: rig.sidecar.client_listener.latest_response_at < math.inf)
        sock.sendall(
            request("m1", "Content-Length: 0")
            .replace(b"GET /look", b"POST /move")
            .replace(b"Class: look", b"Class: move")
        )
        # The balancer decides before the deadline.
        with self.assertNoLogs("brambleusher.net.request_lifecycle"):
            _, _, message = self.held(node)
            self.assertLess(int(message.headers["request-timeout-ms"]), 1100)
            self.assertEqual(read(sock).status, 502)
        self.assertLess(
            rig.sidecar.scheduler.now(), rig.sidecar.client_listener.latest_response_at + WAIT / 10
        )
        self.ended(rig)

    def test_the_balancer_knows_how_little_time_is_left_after_the_end_began(self) -> None:
        """Otherwise the balancer would decide at a deadline that is long after the request has failed."""
        node = Node(answer(b"ok"))
        self.addCleanup(node.close)
        rig = self.rig(node)
        sock = self.connect(rig)
        with scheduler_held(rig):
            rig.sidecar.begin_graceful_shutdown()
        self.until(lambda: rig.sidecar.client_listener.latest_response_at < math.inf)
        times_left_ns: list[int] = []
        submit = BalancerDriver.submit

        def recorded(driver: BalancerDriver, submitted: ClientRequest) -> PendingRequest:
            times_left_ns.append(submitted.time_left_ns)
            return submit(driver, submitted)

        with mock.patch.object(BalancerDriver, "submit", recorded):
            sock.sendall(request("r1"))  # the client's timeout is 5 s
            self.assertEqual(read(sock).status, 200)
        self.assertLess(times_left_ns[0], 1_100_000_000)
        self.ended(rig)

    def test_a_second_signal_and_a_reload_beside_the_first(self) -> None:
        for order in ("reload first", "end first"):
            with self.subTest(order):
                node = self.holding()
                rig = self.rig(node)
                other = Discovery([node.entry("h0")])
                self.addCleanup(other.close)
                host, port = other.address.split(":")
                moved = replace(rig.sidecar.config, discovery=(host, int(port)))
                rig.sidecar.reloader.load_configuration = lambda moved=moved: moved
                sock = rig.send("r1")
                _, upstream, message = self.held(node)
                calls: list[Callable[[], None]] = [
                    rig.sidecar.reload_configuration,
                    rig.sidecar.begin_graceful_shutdown,
                    rig.sidecar.begin_graceful_shutdown,
                ]
                with scheduler_held(rig):
                    for call in calls if order == "reload first" else [*calls[1:], calls[0]]:
                        call()
                answer(b"whole")(upstream, message)
                self.assertEqual(read(sock).body, b"whole")
                self.ended(rig)

    def test_a_reload_that_fails_beside_the_end(self) -> None:
        node = self.holding()
        rig = self.rig(node)

        def load() -> Any:
            raise ConfigError("settings: half written")

        rig.sidecar.reloader.load_configuration = load
        sock = rig.send("r1")
        _, upstream, message = self.held(node)
        with scheduler_held(rig):
            rig.sidecar.reload_configuration()
            rig.sidecar.begin_graceful_shutdown()
        answer(b"whole")(upstream, message)
        self.assertEqual(read(sock).body, b"whole")
        self.ended(rig)


class Descriptors(Case):
    def test_the_watch_and_the_nodes_find_theirs_where_idle_clients_fill_the_rest(self) -> None:
        """The watch ends while clients use all descriptors, and must still be opened again."""
        old, new = Node(answer(b"old")), Node(answer(b"new"))
        for node in (old, new):
            self.addCleanup(node.close)
        self.system.max_sockets = 64
        rig = Rig([old.entry("h0")], system=self.system, sockets=64)
        self.addCleanup(rig.end)
        idle = [self.connect(rig) for _ in range(100)]
        self.until(
            lambda: (
                rig.sidecar.connection_admission.connection_count
                >= rig.sidecar.connection_admission.max_connections
            )
        )
        rig.discovery.first = Discovery.text([new.entry("h1")], True, version=9)
        rig.discovery.conns[-1].shutdown(socket.SHUT_RDWR)
        rig.discovery.asked.get(timeout=WAIT)
        self.until(lambda: list(rig.sidecar.upstream_pool.listed) == ["h1"])
        self.assertEqual(rig.call("r1").body, b"new")
        self.assertLessEqual(self.system.most_seen, 64)
        self.assertEqual(len(idle), 100)


class Starts(Case):
    def test_a_start_beside_a_silent_discovery_is_ready_with_the_list_it_had(self) -> None:
        node = Node(answer(b"known"))
        self.addCleanup(node.close)
        entries = [node.entry("h0")]
        rig = Rig(entries, discovery=Scripted(entries, lambda sock: None), system=self.system)
        self.addCleanup(rig.end)
        self.until(rig.sidecar.is_ready)
        self.assertFalse(rig.sidecar.endpoint_list.has_discovery_answered)
        self.assertEqual(rig.call("r1").body, b"known")


class Nonsense(Case):
    def test_each_kind_is_counted_and_logged_with_what_it_is(self) -> None:
        node = self.holding()
        rig = self.rig(node)
        with self.assertLogs("brambleusher", "WARNING") as logged:
            bad = self.connect(rig)
            bad.sendall(b"GET /look HTTP/1.1\r\nContent-Length: -5\r\n\r\n")
            self.assertEqual(read(bad).status, 400)
            client = rig.send("r1")
            _, message = upstream = node.held.get(timeout=WAIT)
            answer(b"ok", "200 OK", 'Server-Load: {"util": "much", "qps": 3}')(*upstream)
            self.assertEqual(read(client).body, b"ok")
            client = rig.send("r2")
            sock, message = node.held.get(timeout=WAIT)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: lots\r\n\r\n")
            self.assertIn(read(client).status, (502, 503))
            rig.discovery.push(b'{"version": 8, "full": false, "servers": [{"id": "h1", "state": "Odd"}]}')
            self.until(lambda: rig.sidecar.counters.count("lists_rejected") == 1)
            self.until(lambda: rig.sidecar.counters.count("watches_broken") == 1)
        counts = rig.sidecar.counters
        for name in ("bad_requests", "bad_reports", "bad_answers"):
            self.assertEqual(counts.count(name), 1, name)
        told = [str(getattr(record, "fields", {})) for record in logged.records]
        for what in ("bad content length", "util is not a number", "the state of h1 is unknown"):
            self.assertTrue(any(what in text for text in told), what)
        self.assertTrue(message)
