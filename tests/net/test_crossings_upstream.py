"""Tests of race conditions on connections to endpoints, forced on real sockets."""

from __future__ import annotations

import contextlib
import functools
import queue
import select
import socket
import unittest
from unittest import mock

from brambleusher.loadbalancing import Balancer, api
from brambleusher.net import upstream_connections, upstream_response_reader
from brambleusher.net.http import Message
from tests.net.test_crossings_client import Case, HeldNode
from tests.rig import WAIT, Rig, answer, read


class Answers(Case):
    def test_a_second_answer_that_comes_late_reaches_no_other_request(self) -> None:
        """The duplicate arrives after the first response was relayed and before the next response."""
        rest = 2.0 if upstream_connections.REUSE_DELAY_S else 0.0  # 0 when test_guards disables the delay
        with mock.patch.object(upstream_connections, "REUSE_DELAY_S", rest):
            node = self.holding()
            rig = self.rig(node)
            client = self.connect(rig)
            rig.send("r1", sock=client)
            upstream, _ = node.held.get(timeout=WAIT)
            upstream.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none")
            self.assertEqual(read(client).body, b"one")
            rig.send("r2", sock=client, wait_ms=60_000)
            # Arrives immediately only if the connection is reused immediately.
            with contextlib.suppress(queue.Empty):
                node.held.put(node.held.get(timeout=0.3))
            upstream.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
            with contextlib.suppress(OSError):  # the first connection may already be closed
                node.respond_with(answer(b"two"))
            self.assertEqual(read(client).body, b"two")

    def test_a_connection_with_more_behind_its_answer_is_not_used_again(self) -> None:
        node = self.holding()
        rig = self.rig(node)
        client = self.connect(rig)
        rig.send("r1", sock=client)
        answer(b"one")(*self.doubled(node))
        self.assertEqual(read(client).body, b"one")
        rig.send("r2", sock=client)
        node.respond_with(answer(b"two"))
        self.assertEqual(read(client).body, b"two")

    @staticmethod
    def doubled(node: HeldNode) -> tuple[socket.socket, Message]:
        sock, message = node.held.get(timeout=WAIT)

        class Twice:
            @staticmethod
            def sendall(data: bytes) -> None:
                sock.sendall(data + data.replace(b"one", b"two"))

        return Twice(), message  # type: ignore[return-value]

    def test_a_reset_before_the_end_of_an_answer_without_length_is_no_end(self) -> None:
        node = self.holding()
        rig = self.rig(node)
        client = rig.send("m1", "move")
        upstream, _ = node.held.get(timeout=WAIT)
        upstream.sendall(b"HTTP/1.1 200 OK\r\n\r\npart of an answ")
        node.reset(upstream)
        self.assertNotEqual(read(client).status, 200)

    def test_a_first_byte_that_comes_after_the_hold_is_no_broken_answer(self) -> None:
        """A response must not be truncated when the node pauses between its head and its first body byte."""
        with (
            mock.patch.object(upstream_response_reader, "RESPONSE_BUFFER_TIMEOUT_S", 0.01),
            mock.patch.object(upstream_response_reader, "RESPONSE_IDLE_TIMEOUT_S", WAIT),
        ):
            node = self.holding()
            rig = self.rig(node)
            client = rig.send("r1")
            upstream, _ = node.held.get(timeout=WAIT)
            upstream.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            select.select([client], [], [], 0.2)  # a truncated response would have reached the client by now
            upstream.sendall(b"5\r\nfirst\r\n0\r\n\r\n")
            got = read(client)
            self.assertEqual((got.status, got.body), (200, b"first"))

    def test_interim_answers_do_not_end_a_request(self) -> None:
        node = self.holding()
        rig = self.rig(node)
        client = rig.send("r1")
        upstream, message = node.held.get(timeout=WAIT)
        upstream.sendall(b"HTTP/1.1 102 Processing\r\n\r\n" * 3)
        answer(b"one")(upstream, message)
        self.assertEqual(read(client).body, b"one")


class Idle(Case):
    """Events on an idle connection right before the next request is written to it."""

    def reused(self, rig: Rig, node: HeldNode) -> socket.socket:
        """Return the node's end of an idle connection between sidecar and node."""
        client = self.connect(rig)
        rig.send("r1", sock=client)
        upstream, message = node.held.get(timeout=WAIT)
        answer(b"one")(upstream, message)
        self.assertEqual(read(client).body, b"one")
        return upstream

    def test_its_end_comes_as_it_is_taken_up(self) -> None:
        """Nothing was written, so the request has not run and may be retried in any class."""
        for cls in ("look", "move"):
            with self.subTest(cls):
                node = self.holding()
                rig = self.rig(node)
                upstream = self.reused(rig, node)
                self.hooks.before("upstream", "send", do=functools.partial(node.reset, upstream))
                self.assertEqual(read(rig.send("x1", cls)).status, 503)
                self.assertIn(("upstream", "send"), self.hooks.made)
                self.assertEqual(node.held.qsize(), 0)

    def test_bytes_that_came_while_it_rested_spoil_it(self) -> None:
        node = self.holding()
        rig = self.rig(node)
        upstream = self.reused(rig, node)
        upstream.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
        client = rig.send("r2")
        node.respond_with(answer(b"two"))
        self.assertEqual(read(client).body, b"two")

    def test_its_end_while_it_rested_costs_no_attempt(self) -> None:
        node = self.holding()
        rig = self.rig(node)
        node.reset(self.reused(rig, node))
        client = rig.send("m2", "move")
        node.respond_with(answer(b"two"))
        self.assertEqual(read(client).body, b"two")


class Attempts(Case):
    def test_each_attempt_is_told_what_is_left_of_the_time(self) -> None:
        nodes = [self.holding(), self.holding()]
        rig = self.rig(*nodes)
        client = rig.send("r1", wait_ms=3000)
        told: list[int] = []
        for _ in range(2):
            self.until(lambda: any(node.held.qsize() for node in nodes))
            node = next(node for node in nodes if node.held.qsize())
            upstream, message = node.held.get(timeout=WAIT)
            told.append(int(message.headers["request-timeout-ms"]))
            if len(told) == 1:
                answer(b"", "503 Service Unavailable", "Not-Started: 1")(upstream, message)
            else:
                answer(b"done")(upstream, message)
        self.assertEqual(read(client).body, b"done")
        self.assertLessEqual(told[0], 3000)
        self.assertLess(told[1], told[0] + 1)

    def test_a_connect_that_comes_up_for_nobody_carries_nothing(self) -> None:
        """The node's backlog is full, so that the connect stays pending until the client has left."""
        node = HeldNode(backlog=0)
        self.addCleanup(node.close)
        fill = [socket.socket() for _ in range(8)]
        for sock in fill:
            self.addCleanup(sock.close)
            sock.setblocking(False)
            sock.connect_ex(node.listener.getsockname())
        rig = self.rig(node)
        client = self.connect(rig)
        rig.send("r1", sock=client)
        self.until(lambda: rig.sidecar.upstream_pool.open_connections == 1)
        client.close()
        self.counted(rig, "requests_gone")
        self.until(lambda: rig.sidecar.upstream_pool.open_connections == 0)
        node.start()
        rig.end()
        self.assertEqual(node.seen.qsize(), 0)

    def test_no_repeat_begins_that_could_end_past_its_window(self) -> None:
        """The balancer's last time for a retry leaves time for two connects, and an attempt needs one."""
        connect, window = 250_000_000, 2_000_000_000
        kind = api.RequestClass(
            "k",
            10**9,
            10**10,
            1.0,
            idempotency=api.Idempotency.KEYED,
            deduplication_scope=api.DeduplicationScope.ALL,
            deduplication_window_ns=window,
        )
        settings = api.Settings(
            zone="z", fleet_size=1, classes=(kind,), connect_timeout_ns=connect, max_attempts=3
        )
        entries = [api.HostEntry(f"h{n}", "z", "k", 0, api.HostState.READY) for n in range(4)]
        last = None
        for passed in range(0, window + connect, 10_000_000):
            balancer = Balancer(settings, 1)
            balancer.start(0)
            balancer.handle(api.HostListUpdated(api.ListKind.SAVED, entries), 0)
            (send,) = balancer.handle(api.RequestArrived("r", "k", None, 10**10), 0)
            assert isinstance(send, api.StartAttempt)
            ended = api.AttemptEnded("r", 0, send.host, api.AttemptStatus.RESET, passed, False, None)
            if any(isinstance(action, api.StartAttempt) for action in balancer.handle(ended, passed)):
                last = passed
        assert last is not None
        self.assertLess(last + 2 * connect, window)
        self.assertGreater(last + 3 * connect, window)

    def test_a_reset_before_the_last_byte_has_not_run(self) -> None:
        """The connection is reset before anything is sent, so the request is sent to the other node."""
        nodes = [self.holding(), self.holding()]
        rig = self.rig(*nodes)

        def break_off() -> None:
            self.until(lambda: any(node.conns for node in nodes))
            for node in nodes:
                for sock in node.conns:
                    node.reset(sock)

        self.hooks.before("upstream", "connected", do=break_off)
        client = rig.send("m1", "move")
        self.until(lambda: any(node.held.qsize() for node in nodes))
        node = next(node for node in nodes if node.held.qsize())
        node.respond_with(answer(b"done"))
        self.assertEqual(read(client).body, b"done")
        self.assertEqual(sum(node.seen.qsize() for node in nodes), 1)

    def test_a_reset_after_the_last_byte_may_have_run(self) -> None:
        nodes = [self.holding(), self.holding()]
        rig = self.rig(*nodes)
        client = rig.send("m1", "move")
        self.until(lambda: any(node.held.qsize() for node in nodes))
        node = next(node for node in nodes if node.held.qsize())
        node.reset(node.held.get(timeout=WAIT)[0])
        self.assertEqual(read(client).status, 502)
        self.assertEqual(sum(node.seen.qsize() for node in nodes), 1)


if __name__ == "__main__":
    unittest.main()
