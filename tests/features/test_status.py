"""Test the status page on real sockets."""

from __future__ import annotations

import json
import queue
import socket
import unittest

from brambleusher.features.status import MAX_VIEWERS
from brambleusher.features.status_rendering import ServerStatus, render_page, render_server
from brambleusher.net.http import Message
from brambleusher.operator_settings.configuration import StatusSettings, parse_operator_file
from brambleusher.operator_settings.section import OperatorFileError
from tests.features.test_figures import until
from tests.rig import WAIT, Discovery, Node, Rig, answer, read, reset

ON = "status: {port: 0, refresh_ms: 10}"


class Settings(unittest.TestCase):
    def test_no_port_is_off(self) -> None:
        for text, meant in (
            (b"status:", None),
            (b"status: {refresh_ms: 20}", None),
            (b"status: {port: 8099}", StatusSettings(8099, 1000)),
        ):
            self.assertEqual(parse_operator_file(text).status, meant)
        for key, value in (("port", "65536"), ("port", "a"), ("refresh_ms", "0"), ("host", "h")):
            with self.assertRaisesRegex(OperatorFileError, f"status.{key}"):
                parse_operator_file(f"status: {{{key}: {value}}}".encode())


class OnSockets(unittest.TestCase):
    def setUp(self) -> None:
        self.node = Node()
        self.addCleanup(self.node.close)

    def rig(self, operator: str = ON, *entries: dict[str, object]) -> Rig:
        rig = Rig([self.node.entry("h0"), *entries], operator)
        self.addCleanup(rig.end)
        return rig

    @staticmethod
    def where(rig: Rig) -> tuple[str, int]:
        status = rig.sidecar.status
        assert status is not None and status.address is not None
        return status.address

    def ask(self, rig: Rig, head: str = "GET /status.json HTTP/1.1") -> Message:
        with socket.create_connection(self.where(rig), WAIT) as sock:
            sock.sendall(f"{head}\r\nHost: s\r\n\r\n".encode())
            return read(sock)

    def shown(self, rig: Rig) -> dict[str, object]:
        return dict(json.loads(self.ask(rig).body))

    def test_servers_with_their_errors_requests_and_answers(self) -> None:
        held: queue.Queue[socket.socket] = queue.Queue()
        rig = self.rig()
        self.node.script = reset
        for n in range(4):
            rig.call(f"m{n}", "move")
        self.node.script = answer()
        until(lambda: rig.call("good").status == 200)  # the balancer avoids a node after resets
        self.node.script = lambda sock, request: held.put(sock)
        waiting = rig.send("waits")
        sock = held.get(timeout=WAIT)
        # The page may have been built while the previous request was still in flight, so wait for it.
        until(lambda: self.shown(rig)["answers_per_minute"] != {"look": 0, "move": 4})
        until(lambda: self.shown(rig)["inflight"] == {"look": 1, "move": 0})
        now = json.loads(self.ask(rig).body)
        (server,) = now["servers"]
        self.assertEqual((server["id"], server["addr"], server["state"]), ("h0", self.node.address, "Ready"))
        self.assertEqual([error["error"] for error in server["errors"]], ["reset"] * 3)
        self.assertEqual(now["answers_per_minute"]["move"], 4)
        self.assertGreaterEqual(now["answers_per_minute"]["look"], 1)
        self.assertEqual((now["version"], type(now["uptime_s"])), ("0.1.0", int))
        got = self.ask(rig, "GET / HTTP/1.1")
        self.assertIn(f"<td>h0</td><td>{self.node.address}</td><td>Ready</td>".encode(), got.body)
        answer()(sock, self.node.seen.get(timeout=WAIT)[0])
        self.assertEqual(read(waiting).status, 200)

    def test_a_drain_shows_and_what_is_gone_disappears(self) -> None:
        other = Node()
        self.addCleanup(other.close)
        rig = self.rig(ON, other.entry("h1"))

        def states() -> list[tuple[str, str]]:
            servers = json.loads(self.ask(rig).body)["servers"]
            return [(server["id"], server["state"]) for server in servers]

        self.assertEqual(states(), [("h0", "Ready"), ("h1", "Ready")])
        rig.discovery.push(Discovery.text([other.entry("h1", "Terminating")], version=8))
        until(lambda: states() == [("h0", "Ready"), ("h1", "Terminating")])
        rig.discovery.push(Discovery.text([other.entry("h1", "Gone")], version=9))
        until(lambda: states() == [("h0", "Ready")])

    def test_nothing_else_is_served(self) -> None:
        rig = self.rig()
        for head, status in (
            ("GET /?x=1 HTTP/1.1", 200),
            ("GET /ready HTTP/1.1", 404),
            ("POST /status.json HTTP/1.1", 405),
            ("POST /other HTTP/1.1", 404),
            ("GARBAGE", 400),
        ):
            with self.subTest(head):
                got = self.ask(rig, head)
                self.assertEqual((got.status, got.keep_alive), (status, False))
        self.assertEqual(self.ask(rig, "PUT / HTTP/1.1").headers["allow"], "GET")

    def test_viewers_who_say_nothing_keep_nobody_out_for_long_nor_hold_requests(self) -> None:
        rig = self.rig()
        for _ in range(2 * MAX_VIEWERS):
            self.addCleanup(socket.create_connection(self.where(rig), WAIT).close)
        for n in range(20):
            self.assertEqual(rig.call(f"r{n}").status, 200)
        self.assertEqual(self.ask(rig).status, 200)
        status = rig.sidecar.status
        assert status is not None
        self.assertLessEqual(status.viewers, MAX_VIEWERS)

    def test_a_port_in_use_is_logged_and_stops_nothing(self) -> None:
        port = self.node.address.rpartition(":")[2]
        with self.assertLogs("brambleusher.features.status", "ERROR") as logged:
            rig = self.rig(f"status: {{port: {port}}}")
        self.assertIn("status page listen failed", logged.output[0])
        self.assertEqual(rig.call().status, 200)


class Html(unittest.TestCase):
    def test_what_came_from_outside_is_escaped(self) -> None:
        server: ServerStatus = {
            "id": "<b>", "addr": '"&', "state": "Ready", "errors": [{"t_ms": 1, "error": "reset"}],
        }  # fmt: skip
        text = b"".join(render_page(
            {"version": "1", "uptime_s": 2, "inflight": {"<i>": 0}, "answers_per_minute": {"<i>": 3}},
            [render_server(server)[0]],
        )).decode()  # fmt: skip
        self.assertIn("<td>&lt;b&gt;</td><td>&quot;&amp;</td><td>Ready</td><td>reset at 1 ms</td>", text)
        self.assertNotIn("<i>", text)


if __name__ == "__main__":
    unittest.main()
