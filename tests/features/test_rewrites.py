"""Test the operator file and header rewrites."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import tomllib
import unittest
from pathlib import Path

from brambleusher.features.rewrites import RuleRewriter, append_forwarded, forwarded_for
from brambleusher.net.header_forwarding import PROTECTED, end_to_end
from brambleusher.net.http import HeaderField, MessageReader
from brambleusher.operator_settings.configuration import (
    CaptureSettings,
    MetricsSettings,
    OperatorFile,
    load_operator_file,
    parse_operator_file,
)
from brambleusher.operator_settings.rewrite_rules import FRAMING
from brambleusher.operator_settings.section import OperatorFileError
from tests.rig import Node, Rig, answer, read


def rules(*texts: str) -> bytes:
    return "\n".join(["rewrites:", *(f"  - {text}" for text in texts)]).encode()


class File(unittest.TestCase):
    def test_what_is_not_named_is_off(self) -> None:
        for text in (b"", b"# nothing\n", b"{}"):
            self.assertEqual(parse_operator_file(text), OperatorFile())
        self.assertEqual(load_operator_file(None), OperatorFile())
        self.assertEqual(parse_operator_file(b"rewrites: []").rewrites, ())

    def test_in_service_are_capture_and_figures_alone(self) -> None:
        deploy = Path(__file__).parents[2] / "deploy"
        run = tomllib.loads((deploy / "balancer.toml").read_text())["run"]
        self.assertTrue(run.endswith(" -m brambleusher --operator deploy/operator.yaml"))
        settings = load_operator_file(str(deploy / "operator.yaml"))
        self.assertEqual(settings, OperatorFile(metrics=MetricsSettings(), capture=CaptureSettings()))

    def test_a_fault_names_its_key(self) -> None:
        in_rule = "{match: {}, direction: in, %s}"
        for text, said in (
            (b"- 1", "the file is not a mapping"),
            (b"rewrite: []", "rewrite is unknown"),
            (b"rewrites: []\nrewrites: []", "rewrites in line 2 is given twice"),
            (b"rewrites: {}", "rewrites is not a list"),
            (b"rewrites: [", "not YAML"),
            (b"x: !!python/object/apply:os.getpid []", "not YAML"),
            (b"on: 1", "the key True in line 1 is not a text"),
            (b"x: 2026-99-99", "not YAML"),
            (b"[" * 5000, "not YAML"),
            (b"\xff\xfe\xff", "not YAML"),
            (b"#" * 300_000, "262144 bytes"),
            (rules("{direction: in, drop: X}"), "rewrites[0].match is missing"),
            (rules("{match: {method: GET}, direction: in, drop: X}"), "rewrites[0].match.method is unknown"),
            (rules("{match: {path_prefix: a}, direction: in, drop: X}"), "rewrites[0].match.path_prefix"),
            (rules("{match: {class: 1}, direction: in, drop: X}"), "rewrites[0].match.class"),
            (rules("{match: {}, direction: up, drop: X}"), "rewrites[0].direction"),
            (rules("{match: {}, drop: X}"), "rewrites[0].direction"),
            (rules(in_rule % "drop: X, add: {Y: z}"), "not exactly one of"),
            (rules(in_rule % "replace: X"), "not exactly one of"),
            (rules(in_rule % "drop: X, note: y"), "rewrites[0].note is unknown"),
            (rules(in_rule % "add: {X: 1}"), "rewrites[0].add.X"),
            (rules(in_rule % "drop: X", in_rule % r'add: {X: "a\r\nY: b"}'), "rewrites[1].add.X"),
            (rules(in_rule % "add: {A: b, C: d}"), "rewrites[0].add is not one pair"),
            (rules(in_rule % "rename: {from: A, to: B}"), "rewrites[0].rename is not one pair"),
            (rules(in_rule % '"drop": "a b"'), "rewrites[0].drop is not the name"),
            (rules(in_rule % "rename: {A: [b]}"), "rewrites[0].rename is not the name"),
        ):
            with self.subTest(text[:80]), self.assertRaises(OperatorFileError) as caught:
                parse_operator_file(text)
            self.assertIn(said, str(caught.exception))

    def test_protected_and_framing_headers_stop_the_start_in_every_action_and_spelling(self) -> None:
        for name in sorted(PROTECTED | FRAMING):
            for action in (f"add: {{{name.title()}: x}}", f"drop: {name.upper()}",
                           f"rename: {{{name}: X}}", f"rename: {{X: {name.title()}}}"):  # fmt: skip
                for direction in ("in", "out"):
                    with self.subTest(action), self.assertRaisesRegex(OperatorFileError, "(?i)" + name):
                        parse_operator_file(rules(f"{{match: {{}}, direction: {direction}, {action}}}"))

    def test_a_bad_file_ends_the_program_with_2(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "operator.yaml"
        for text, said in (
            (rules("{match: {}, direction: in, drop: Request-Id}"), "rewrites[0].drop: Request-Id is prot"),
            (None, "operator.yaml can't be read"),
        ):
            path.unlink(missing_ok=True)
            if text is not None:
                path.write_bytes(text)
            done = subprocess.run(
                [sys.executable, "-m", "brambleusher", "--operator", str(path)],
                env={**os.environ, "NODE_CONFIG": "/nonexistent"}, capture_output=True, text=True,
            )  # fmt: skip
            self.assertEqual((done.returncode, done.stdout), (2, ""))
            self.assertIn(said, done.stderr)


class Fields(unittest.TestCase):
    def test_rules_run_in_file_order(self) -> None:
        a, b, c = ("A", "1"), ("B", "2"), ("C", "3")
        for actions, received, left in (
            (["add: {B: x}"], [a, b], [a, b, ("B", "x")]),  # keeps existing fields of that name
            (["drop: b"], [a, b, ("b", "4")], [a]),
            (["drop: x"], [a, b], [a, b]),
            (["rename: {a: X}"], [a, b, ("a", "4")], [("X", "1"), b, ("X", "4")]),
            (["rename: {a: b}"], [c, b, a], [c, ("b", "1")]),  # a renamed field replaces the existing one
            (["rename: {x: b}"], [a, b], [a, b]),
            (["rename: {a: A}"], [("a", "1"), b], [a, b]),
            (["rename: {A: X}", "add: {A: new}", "drop: X"], [a, b], [b, ("A", "new")]),
            (["drop: X", "add: {X: y}"], [("x", "1")], [("X", "y")]),
        ):
            with self.subTest(actions):
                text = rules(*(f"{{match: {{}}, direction: out, {action}}}" for action in actions))
                made = RuleRewriter(parse_operator_file(text).rewrites or ())
                self.assertEqual(made.rewrite_response(received, "/p", "look"), left)

    def test_a_rule_acts_where_all_of_its_match_fits(self) -> None:
        for match, path, cls, acts in (
            ("{}", "/look", "look", True),
            ("{class: look}", "/look/1", "look", True),
            ("{class: Look}", "/look", "look", False),
            ("{path_prefix: /look/a}", "/look/ab", "look", True),
            ("{path_prefix: /look/a}", "/look", "look", False),
            ("{path_prefix: /look, class: move}", "/look", "look", False),
        ):
            with self.subTest(match):
                text = rules(f"{{match: {match}, direction: out, add: {{X: y}}}}")
                made = RuleRewriter(parse_operator_file(text).rewrites or ())
                self.assertEqual(bool(made.rewrite_response([], path, cls)), acts)
                self.assertFalse(RuleRewriter(()).rewrite_response([], path, cls))

    def test_hop_by_hop_fields_go_and_the_others_stay_as_they_were(self) -> None:
        reader = MessageReader.requests()
        reader.feed(
            b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: x-gone, Request-Id,HOST\r\nKeep-Alive: 1\r\nTE: a\r\n"
            b"Trailer: b\r\nUpgrade: c\r\nX-Gone: d\r\nRequest-Id: r\r\nrequest-id: r\r\n"
            b"X-Two: 1\r\nX-Two: 1\r\n\r\n"
        )
        message = reader.take()
        assert message is not None
        self.assertEqual(
            end_to_end(message), [("Host", "h"), ("Request-Id", "r"), ("X-Two", "1"), ("X-Two", "1")]
        )

    def test_forwarded_adds_to_what_came(self) -> None:
        for client, said in (
            ("192.0.2.1", "for=192.0.2.1"),
            ("2001:DB8::1", 'for="[2001:db8::1]"'),
            ("fe80::1%eth0", 'for="[fe80::1]"'),
        ):
            self.assertEqual(forwarded_for(client), said)
        mine = "for=192.0.2.1"
        cases: list[tuple[list[HeaderField], str]] = [
            ([], mine),
            ([("forwarded", "for=a;by=b")], f"for=a;by=b, {mine}"),
            ([("Forwarded", "for=a"), ("Forwarded", 'for="[::1]"')], f'for=a, for="[::1]", {mine}'),
            ([("Forwarded", 'for="a')], mine),  # the open quote would swallow the sidecar's own value
        ]
        for received, left in cases:
            with self.subTest(received):
                self.assertEqual(append_forwarded([*received], "192.0.2.1"), [("Forwarded", left)])


class OnSockets(unittest.TestCase):
    def exchange(
        self, operator: str, node: Node, cls: str, *lines: str
    ) -> tuple[list[HeaderField], list[HeaderField]]:
        """Send a request with extra header lines, and return the fields the endpoint and the client got."""
        rig = Rig([node.entry("h0")], operator)
        self.addCleanup(rig.end)
        with rig.connect() as sock:
            method = "GET" if cls == "look" else "POST"
            head = [f"{method} /{cls}/7?q=1 HTTP/1.1", "Host: api.internal", "Request-Id: r1",
                    f"Request-Class: {cls}", "Request-Timeout-Ms: 5000", *lines, "", ""]  # fmt: skip
            sock.sendall("\r\n".join(head).encode())
            got = read(sock)
        return node.seen.get_nowait()[0].fields, got.fields

    def node(self) -> Node:
        node = Node(
            answer(
                b"echo",
                "200 OK",
                "Set-Cookie: a=1",
                "Set-Cookie: b=2",
                "X-Node: n",
                "Connection: X-Hop",
                "X-Hop: 1",
                'Server-Load: {"util":0.5}',
            )
        )
        self.addCleanup(node.close)
        return node

    def test_both_directions_through_an_echo_node(self) -> None:
        operator = """
rewrites:
  - {match: {class: move}, direction: in, add: {X-Oversight-Audit: "1"}}
  - {match: {path_prefix: /move/}, direction: in, rename: {X-Old: X-New}}
  - {match: {class: look}, direction: in, add: {X-Never: "1"}}
  - {match: {class: move}, direction: out, rename: {X-Node: X-Served-By}}
  - {match: {}, direction: out, drop: x-absent}
"""
        sent, got = self.exchange(
            operator, self.node(), "move", "Connection: X-Mine, request-id", "X-Mine: 1", "X-Old: o",
            "X-New: n", "Work-Hint: 9", "Forwarded: for=198.51.100.7", "Transfer-Encoding: chunked", "", "0",
        )  # fmt: skip
        sent = [(name, value) for name, value in sent if name != "Request-Timeout-Ms"]
        self.assertEqual(
            sent,
            [
                ("Host", "api.internal"), ("Request-Id", "r1"), ("Request-Class", "move"),
                ("X-New", "o"), ("Work-Hint", "9"), ("X-Oversight-Audit", "1"),
                ("Forwarded", "for=198.51.100.7, for=127.0.0.1"), ("Content-Length", "0"),
            ],
        )  # fmt: skip
        self.assertEqual(
            got,
            [
                ("Set-Cookie", "a=1"), ("Set-Cookie", "b=2"), ("X-Served-By", "n"),
                ("Server-Load", '{"util":0.5}'), ("Content-Length", "4"),
            ],
        )  # fmt: skip

    def test_off_nothing_changes(self) -> None:
        sent, got = self.exchange("", self.node(), "look", "X-One: 1", "Forwarded: for=198.51.100.7")
        self.assertEqual(dict(sent)["Forwarded"], "for=198.51.100.7")
        self.assertEqual(got, [("Content-Length", "4")])


if __name__ == "__main__":
    unittest.main()
