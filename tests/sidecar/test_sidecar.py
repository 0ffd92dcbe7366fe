"""Tests on real sockets of the four basic rules and of known failures."""

from __future__ import annotations

import json
import os
import queue
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from brambleusher.net.client_request_reader import REQUEST_TIMEOUT_S
from brambleusher.net.http import Message
from brambleusher.sidecar.app import Sidecar
from brambleusher.sidecar.configuration import parse_config
from tests.rig import WAIT, Discovery, Node, Rig, Script, answer, hang, read, reset

NOT_STARTED = answer(b"", "503 Service Unavailable", "Not-Started: 1")


class Case(unittest.TestCase):
    def node(self, script: Script | None = None, backlog: int = 64) -> Node:
        node = Node(script, backlog)
        self.addCleanup(node.close)
        return node

    def rig(self, *nodes: Node, **limits: Any) -> Rig:
        return self.rig_of(*(node.entry(f"h{at}") for at, node in enumerate(nodes)), **limits)

    def rig_of(self, *entries: dict[str, object], **limits: Any) -> Rig:
        rig = Rig(list(entries), "", **limits)
        self.addCleanup(rig.end)
        return rig


class Rules(Case):
    def test_every_request_gets_one_answer_in_time_and_after_sigterm(self) -> None:
        for name, script, statuses in (
            ("serves", answer(b"yes"), {200}),
            ("hangs", hang, {502, 503}),
            ("resets", reset, {502, 503}),
            ("fails", answer(b"", "500 Oops"), {502, 503}),
            ("turns away", NOT_STARTED, {502, 503}),
            ("talks nonsense", lambda sock, request: sock.sendall(b"what?\r\n\r\n"), {502, 503}),
        ):
            with self.subTest(name):
                rig = self.rig(self.node(script), self.node(script))
                for cls in ("look", "move"):
                    begun = time.monotonic()
                    got = rig.call(f"{cls}1", cls, 400)
                    self.assertIn(got.status, statuses)
                    self.assertLess(time.monotonic() - begun, 0.4 + WAIT / 4)
        held: queue.Queue[socket.socket] = queue.Queue()
        node = self.node(lambda sock, request: held.put(sock))
        rig = Rig([node.entry("h0")])
        before = rig.send("before")
        first = held.get(timeout=WAIT)
        rig.sidecar.begin_graceful_shutdown()
        after = rig.send("after")  # new connections still arrive shortly after SIGTERM
        second = held.get(timeout=WAIT)
        for sock in (first, second):
            answer(b"late but whole")(sock, node.seen.get(timeout=WAIT)[0])
        self.assertEqual([read(before).body, read(after).body], [b"late but whole"] * 2)
        rig.end()

    def test_a_move_that_may_have_run_is_not_sent_again(self) -> None:
        for name, script, runs in (
            ("reset after the last byte", reset, 1),
            ("503 that proves nothing", answer(b"", "503 Service Unavailable"), 1),
            ("500", answer(b"", "500 Oops"), 1),
            ("turned away", NOT_STARTED, 2),
        ):
            with self.subTest(name):
                nodes = self.node(script), self.node(script)
                status = self.rig(*nodes).call("m1", "move", 1000).status
                self.assertEqual(sum(node.seen.qsize() for node in nodes), runs)
                # The request may be rejected only if it has not run.
                self.assertEqual(status in (429, 503), runs == 2)

    def test_no_claim_starts_after_the_notice_not_even_one_that_waits_for_its_connect(self) -> None:
        stuck = self.node(backlog=0)
        fill = [socket.socket() for _ in range(8)]
        for sock in fill:  # the full backlog keeps the next connect pending
            self.addCleanup(sock.close)
            sock.setblocking(False)
            sock.connect_ex(stuck.listener.getsockname())
        rig = self.rig(stuck)
        waiting = rig.send("w1")
        while rig.sidecar.balancer_driver.unanswered_requests == 0:
            time.sleep(0.002)
        other = self.node()
        rig.discovery.push(Discovery.text([stuck.entry("h0", "Terminating"), other.entry("h1")], version=8))
        self.assertEqual(read(waiting).status, 200)
        stuck.start()
        for n in range(20):
            self.assertEqual(rig.call(f"r{n}").status, 200)
        self.assertEqual((stuck.seen.qsize(), other.seen.qsize()), (0, 21))

    def test_a_node_that_just_started_is_spared(self) -> None:
        rigs = [
            self.rig_of(self.node().entry("h0", started_ms=started_ms))
            for started_ms in (0, int(time.time() * 1000))
        ]
        warm, cold = [[rig.call(f"r{n}").status for n in range(40)].count(200) for rig in rigs]
        self.assertEqual(warm, 40)
        self.assertLess(cold, 10)
        until = time.monotonic() + WAIT
        # The endpoint does get requests eventually.
        while rigs[1].call(f"late{time.monotonic_ns()}").status != 200:
            self.assertLess(time.monotonic(), until)


class Failures(Case):
    def test_a_connection_with_its_end_pending_is_not_reused(self) -> None:
        """A request must not be written to a connection that its node has closed."""
        node = self.node()
        rig = self.rig(node)
        self.assertEqual(rig.call("a").status, 200)
        for sock in node.conns:
            sock.shutdown(socket.SHUT_RDWR)
        node.left.get(timeout=WAIT)
        self.assertEqual(rig.call("b", "move").status, 200)
        self.assertEqual(len(node.conns), 2)

    def test_the_most_recently_used_connection_is_reused(self) -> None:
        node = self.node()
        rig = self.rig(node)
        for n in range(5):
            rig.call(f"r{n}")
        self.assertEqual(len(node.conns), 1)

    def test_a_client_that_leaves_calls_its_claim_off(self) -> None:
        node = self.node(hang)
        rig = self.rig(node)
        sock = rig.send("a", wait_ms=60_000)
        node.seen.get(timeout=WAIT)
        sock.close()
        node.left.get(timeout=WAIT)
        node.script = answer(b"mine")
        self.assertEqual(rig.call("b").body, b"mine")  # a late response must not reach another request

    def test_a_silent_watch_is_dead(self) -> None:
        rig = self.rig(self.node())
        # The sidecar opens a new watch from the same version.
        self.assertIn("since=7", rig.discovery.asked.get(timeout=WAIT))

    def test_a_bad_list_is_passed_over(self) -> None:
        node = self.node()
        rig = self.rig(node)
        rig.listed(1)
        rig.discovery.push(b'{"version":8,"full":true,"servers":[{"id":"h9"}]}')
        rig.listed(2)
        self.assertEqual(rig.call().status, 200)
        self.assertNotIn("since", rig.discovery.asked.get(timeout=WAIT))  # the sidecar requests the full list

    def test_the_list_is_kept_while_another_discovery_has_not_answered(self) -> None:
        old, new = self.node(answer(b"old")), self.node(answer(b"new"))
        rig = self.rig(old)
        rig.listed(1)
        mute = self.node(hang)
        rig.sidecar.reloader.load_configuration = lambda: parse_config(
            json.dumps({**rig.config, "discovery": mute.address}).encode(), {}
        )
        for _ in range(3):  # repeating the switch must have no effect
            rig.sidecar.reload_configuration()
        target = mute.seen.get(timeout=WAIT)[0].start[1]
        self.assertNotIn("since", target)
        self.assertEqual(rig.call("a").body, b"old")
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        mute.conns[-1].sendall(head + Discovery._chunk(Discovery.text([new.entry("h1")], True, 1)))
        rig.listed(2)
        self.assertEqual(rig.call("b").body, b"new")

    def test_a_discovery_that_talks_nonsense_is_asked_again(self) -> None:
        """Invalid data must not stop the watch task, as happened in its first version."""
        rig = self.rig(self.node())
        rig.listed(1)
        rig.discovery.conns[-1].sendall(b"no chunk at all\r\n")
        self.assertIn("since=7", rig.discovery.asked.get(timeout=WAIT))

    def test_a_connection_to_a_process_that_was_replaced_is_not_kept(self) -> None:
        held: queue.Queue[socket.socket] = queue.Queue()
        old, new = self.node(lambda sock, request: held.put(sock)), self.node()
        rig = self.rig(old)
        rig.listed(1)
        sock = rig.send("a")
        late = held.get(timeout=WAIT)
        rig.discovery.push(Discovery.text([new.entry("h0", started_ms=1)], version=8))
        rig.listed(2)
        answer(b"old")(late, old.seen.get(timeout=WAIT)[0])
        self.assertEqual(read(sock).body, b"old")
        self.assertEqual(rig.call("b").body, b"ok")
        self.assertEqual(old.seen.qsize(), 0)

    def test_a_module_that_fails_still_leaves_an_answer(self) -> None:
        rig = self.rig(self.node())

        def broken(event: object, now: int) -> list[object]:
            raise ZeroDivisionError

        rig.sidecar.balancer_driver._balancer.handle = broken  # type: ignore[method-assign,assignment]
        with self.assertLogs("brambleusher", "ERROR"):
            self.assertEqual(rig.call().status, 502)

    def test_a_refusal_says_when_to_come_back(self) -> None:
        got = self.rig().call()
        self.assertEqual(got.status, 503)
        self.assertTrue(0 < float(got.headers["retry-after"]) <= 2)

    def test_a_lack_of_connections_is_not_held_against_the_nodes(self) -> None:
        rig = self.rig(self.node(hang), self.node(hang))
        rig.sidecar.upstream_pool.connections.max_connections = 1
        first = rig.send("a")
        while rig.sidecar.counters.count("claims_sent") == 0:
            time.sleep(0.002)
        self.assertEqual(rig.call("b").status, 503)
        self.assertEqual(rig.sidecar.counters.count("connections_lacking"), 1)
        self.assertEqual(rig.sidecar.balancer_driver._balancer.admission.rejections, 0)
        first.close()

    def test_a_small_machine_has_connections_for_its_load(self) -> None:
        """The budgets once allowed only 20 endpoint connections with 256 descriptors and 64 MB."""
        config = self.rig(self.node()).config
        for memory_mb, sockets, claims, clients in ((64, 256, 80, 120), (32, 256, 70, 100)):
            limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
            sidecar = Sidecar(parse_config(json.dumps({**config, "limits": limits}).encode(), {}))
            self.addCleanup(sidecar.close)
            self.assertGreaterEqual(sidecar.upstream_pool.connections.max_connections, claims)
            self.assertGreaterEqual(sidecar.connection_admission.max_connections, clients)
            self.assertLess(
                sidecar.upstream_pool.connections.max_connections
                + sidecar.connection_admission.max_connections,
                sockets,
            )

    def test_all_descriptors_in_use_is_survived(self) -> None:
        rig = self.rig(self.node())
        rig.sidecar.connection_admission.max_connections = 2
        idle = [rig.connect() for _ in range(6)]
        self.assertEqual(rig.call().status, 200)  # an idle connection is closed to free a descriptor
        for sock in idle:
            sock.close()

    def test_bad_input_is_answered_and_harms_no_other(self) -> None:
        rig = self.rig(self.node(hang))
        good = b"GET /look HTTP/1.1\r\nHost: x\r\nRequest-Class: look\r\nRequest-Timeout-Ms: 50\r\n"
        for name, text, status in (
            ("request line", b"GARBAGE\r\n\r\n", 400),
            ("length", b"POST /move HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400),
            ("body", b"POST /move HTTP/1.1\r\nContent-Length: 33554433\r\n\r\n", 413),
            ("head", b"GET /look HTTP/1.1\r\nA: " + b"a" * 20000 + b"\r\n\r\n", 431),
            ("no id", good + b"\r\n", 400),
            ("bad hint", good + b"Request-Id: a\r\nWork-Hint: much\r\n\r\n", 400),
            ("path of another class", good.replace(b"/look", b"/move") + b"Request-Id: a\r\n\r\n", 400),
            ("method", good.replace(b"GET", b"PUT") + b"Request-Id: a\r\n\r\n", 405),
            ("path", b"GET /nowhere HTTP/1.1\r\n\r\n", 404),
            ("class", good.replace(b"-Class: look", b"-Class: what") + b"Request-Id: a\r\n\r\n", 404),
        ):
            with self.subTest(name), rig.connect() as sock:
                sock.sendall(text)
                self.assertEqual(read(sock).status, status)
                if status != 404:
                    self.assertEqual(sock.recv(1), b"")
        with rig.connect() as sock:
            sock.sendall(b"GET /ready HTTP/1.1\r\n\r\n")
            self.assertEqual(read(sock).status, 200)
            rig.send("again", wait_ms=100, sock=sock)
            self.assertEqual(read(sock).status, 503)

    def test_one_that_does_not_ask_is_closed_and_one_that_has_asked_is_not(self) -> None:
        """Connections without a request were once kept for minutes, and partial requests for 10 s."""
        rig = self.rig(self.node())
        idle = mock.patch("brambleusher.net.client_request_reader.IDLE_TIMEOUT_S", 60.0)
        with idle, rig.connect() as asked, rig.connect() as silent, rig.connect() as half:
            read(rig.send("a", sock=asked))
            half.sendall(b"GET /look HTTP/1.1\r\n")
            for sock, got in ((half, b"HTTP/1.1 408"), (silent, b"")):
                sock.settimeout(REQUEST_TIMEOUT_S * 3)
                self.assertEqual(sock.recv(12), got)
            self.assertEqual(read(rig.send("b", sock=asked)).status, 200)

    def test_silent_connections_make_room_for_those_that_ask(self) -> None:
        rig = self.rig(self.node())
        rig.sidecar.connection_admission.max_connections = 16
        with mock.patch("brambleusher.loadbalancing.connection_admission.FIRST_REQUEST_S", 0.0):
            silent = [rig.connect() for _ in range(24)]
            for sock in silent[:8]:
                self.assertEqual(sock.recv(1), b"")
            self.assertEqual(rig.call().status, 200)
        for sock in silent:
            sock.close()

    def test_a_spoilt_answer_is_never_served_and_ends_its_connection(self) -> None:
        def raw(data: bytes, again: bytes = b"") -> Script:
            def script(sock: socket.socket, request: Message) -> None:
                sock.sendall(data)
                while again:
                    sock.sendall(again)

            return script

        ok = b"HTTP/1.1 200 OK\r\n"
        for name, script in (
            ("noise", raw(b"\x00\xff\x13" * 40)),
            ("a head that can't be read", raw(ok + b"what\r\n\r\nok")),
            ("a head without end", raw(ok, b"A: " + b"a" * 1000 + b"\r\n")),
            ("no framing", raw(ok + b"\r\nok")),
            ("too long", raw(ok + b"Content-Length: 9\r\n\r\nok")),
            ("two lengths", raw(ok + b"Content-Length: 2\r\nContent-Length: 2\r\n\r\nok")),
            ("negative", raw(ok + b"Content-Length: -2\r\n\r\nok")),
            ("3 GB", raw(ok + b"Content-Length: 3000000000\r\n\r\n", b"a" * 4096)),
            ("1xx without end", raw(b"", b"HTTP/1.1 102 Processing\r\n\r\n")),
        ):
            with self.subTest(name):
                bad, good = self.node(script), self.node(answer(b"mine"))
                rig = self.rig(bad, good)
                for n in range(4):
                    self.assertEqual(rig.call(f"a{n}").body, b"mine")
                self.assertIn(rig.call("m", "move").status, {200, 502})
                self.assertGreater(bad.seen.qsize(), 0)
                for _ in range(bad.seen.qsize()):
                    bad.left.get(timeout=WAIT)

    def test_what_surrounds_a_good_answer_does_not_spoil_it(self) -> None:
        good = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n%s\r\nmine"
        for name, data, conns in (
            ("a second copy", good % b"" * 2, 2),
            ("noise behind", good % b"" + b"\x00what", 2),
            ("1xx ahead", b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" * 3 + good % b"", 1),
            ("a bad report", good % b'Server-Load: {"util":\r\n', 1),
            ("control characters in the report", good % b"Server-Load: \x01\x02\r\n", 1),
        ):
            with self.subTest(name):
                node = self.node(lambda sock, request, data=data: sock.sendall(data))  # type: ignore[misc]
                rig = self.rig(node)
                for n in range(2):
                    self.assertEqual(rig.call(f"a{n}", "move").body, b"mine")
                self.assertEqual(len(node.conns), conns)


class Program(Case):
    config_file: Path

    def start(self, config: object) -> subprocess.Popen[str]:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        self.config_file = path
        program = subprocess.Popen(
            [sys.executable, "-m", "brambleusher"],
            env={**os.environ, "NODE_CONFIG": str(path)},
            cwd=Path(__file__).parents[2],
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(program.wait)
        self.addCleanup(program.kill)
        return program

    def test_it_starts_prints_its_counts_and_ends(self) -> None:
        config = self.rig(self.node()).config
        program = self.start(config)
        assert program.stderr is not None
        self.assertIn("msg=listening", program.stderr.readline())
        program.send_signal(signal.SIGUSR1)
        self.assertIn("why=asked", program.stderr.readline())
        program.send_signal(signal.SIGTERM)
        rest = program.communicate(timeout=WAIT)[1]
        self.assertIn("why=exit", rest)
        self.assertEqual(program.returncode, 0)

    def test_sighup_has_the_configuration_read_again(self) -> None:
        """Neither SIGHUP, as happened before, nor an invalid file may end the process."""
        node = self.node()
        rig, other = self.rig(node), Discovery([node.entry("h0")])
        self.addCleanup(other.close)
        program = self.start(rig.config)
        lines: queue.Queue[str] = queue.Queue()

        def follow() -> None:
            for line in program.stderr or ():
                lines.put(line)

        threading.Thread(target=follow, daemon=True).start()

        def logged(text: str) -> None:
            while text not in (line := lines.get(timeout=WAIT)):
                print(line, end="")  # printed for diagnosis if the expected line never appears

        logged("msg=listening")
        for change, line in (
            ({"settings": {}}, "settings"),
            ({"discovery": "nowhere"}, "discovery"),
            ({"seed": "2b"}, "key=seed"),
            ({"discovery": other.address}, "moved=True"),
        ):
            self.config_file.write_text(json.dumps({**rig.config, **change}), encoding="utf-8")
            program.send_signal(signal.SIGHUP)
            logged(line)
        self.assertNotIn("since", other.asked.get(timeout=WAIT))
        program.send_signal(signal.SIGTERM)
        logged('msg="graceful shutdown"')
        program.send_signal(signal.SIGHUP)
        logged("why=exit")
        self.assertEqual(program.wait(WAIT), 0)

    def test_bad_configuration_is_named(self) -> None:
        program = self.start({"name": "n0"})
        self.assertIn("settings", program.communicate(timeout=WAIT)[1])
        self.assertEqual(program.returncode, 2)
        taken = self.node()
        config = {**self.rig(taken).config, "listen": taken.address}
        program = self.start(config)
        self.assertIn("listen", program.communicate(timeout=WAIT)[1])
        self.assertEqual(program.returncode, 2)
