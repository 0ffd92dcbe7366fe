"""Tests of the endpoint list when discovery stops sending, closes, moves or updates during a request."""

from __future__ import annotations

import contextlib
import json
import math
import random
import socket
import time
import unittest
from collections.abc import Callable
from contextlib import AbstractContextManager
from dataclasses import replace
from typing import Any
from unittest import mock

import pytest

from brambleusher.loadbalancing.backoff import MAX_INTERVAL_S, MAX_SMALL_FLEET_S, Backoff
from brambleusher.net import endpoint_watch
from brambleusher.net.json_text_assembler import TextAssembler
from tests.crossing import PollingTestCase, scheduler_held
from tests.rig import WAIT, Discovery, Node, Rig, answer, read

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
Watch = Callable[[socket.socket], None]


class Scripted(Discovery):
    """A discovery whose first watches follow scripts; all further watches behave normally."""

    def __init__(self, servers: list[dict[str, Any]], *scripts: Watch) -> None:
        self.scripts = list(scripts)
        super().__init__(servers)

    def serve(self, sock: socket.socket) -> None:
        if not self.scripts:
            super().serve(sock)
            return
        script = self.scripts.pop(0)
        self.asked.put(sock.recv(65536).split(b" ")[1].decode())
        script(sock)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class Case(PollingTestCase):
    def node(self, body: bytes = b"ok") -> Node:
        node = Node(answer(body))
        self.addCleanup(node.close)
        return node

    def rig(self, servers: list[dict[str, Any]], *scripts: Watch, **more: Any) -> Rig:
        rig = Rig(servers, discovery=Scripted(servers, *scripts), **more)
        self.addCleanup(rig.end)
        return rig


class Silence(Case):
    """The sidecar must open a new watch by itself and receive the changes it has missed."""

    def heals(self, script: Watch) -> None:
        old, new = self.node(b"old"), self.node(b"new")
        with self.quick("LINE_TIMEOUT_S"), self.quick("RESPONSE_TIMEOUT_S"):
            rig = self.rig([old.entry("h0")], script)
            rig.discovery.first = Discovery.text([new.entry("h1")], True, version=9)
            rig.discovery.asked.get(timeout=WAIT)  # the second watch
            self.until(lambda: rig.sidecar.counters.count("lists_taken") >= 1)
            self.until(lambda: list(rig.sidecar.upstream_pool.listed) == ["h1"])
            self.assertEqual(rig.call("r1").body, b"new")

    @staticmethod
    def quick(name: str) -> AbstractContextManager[object]:
        """Patch a timeout to a short value unless test_guards has made it infinite."""
        seconds = 0.3 if getattr(endpoint_watch, name) < math.inf else math.inf
        return mock.patch.object(endpoint_watch, name, seconds)

    def test_no_head(self) -> None:
        self.heals(lambda sock: None)

    def test_a_head_and_nothing_more(self) -> None:
        self.heals(lambda sock: sock.sendall(HEAD))

    def test_in_the_middle_of_a_line(self) -> None:
        self.heals(lambda sock: sock.sendall(HEAD + chunk(b'{"version": 8, "full": false, "serv')))

    def test_pieces_of_a_line_without_end(self) -> None:
        """A watch that sends single bytes without completing a line must not count as alive forever."""

        def trickle(sock: socket.socket) -> None:
            sock.sendall(HEAD)
            for _ in range(int(WAIT * 20)):
                sock.sendall(chunk(b" "))
                time.sleep(0.05)

        self.heals(trickle)

    def test_pieces_of_a_head_without_end(self) -> None:
        def trickle(sock: socket.socket) -> None:
            sock.sendall(b"HTTP/1.1 200 OK\r\nX: ")
            for _ in range(int(WAIT * 20)):
                sock.sendall(b"x")
                time.sleep(0.05)

        self.heals(trickle)

    def test_it_ends_in_place_of_telling(self) -> None:
        self.heals(lambda sock: sock.sendall(HEAD + chunk(b"")))

    def test_it_is_refused(self) -> None:
        self.heals(lambda sock: sock.sendall(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"))

    def test_a_text_that_is_cut_off_by_a_line_end(self) -> None:
        self.heals(lambda sock: sock.sendall(HEAD + chunk(b'{"version": 8, "full": fal\n')))


class Texts(Case):
    def test_an_indented_text_on_a_watch_is_one_text(self) -> None:
        old, new = self.node(), self.node(b"new")
        rig = self.rig([old.entry("h0")])
        update = {"version": 8, "full": False, "servers": [old.entry("h0", "Terminating"), new.entry("h1")]}
        rig.discovery.push(json.dumps(update, indent=2).encode())
        self.until(lambda: sorted(rig.sidecar.upstream_pool.listed) == ["h0", "h1"])
        self.assertEqual(rig.call("r1").body, b"new")
        self.assertEqual(rig.sidecar.counters.count("lists_rejected"), 0)

    def test_however_a_text_is_laid_out_it_comes_out_as_it_went_in(self) -> None:
        for seed in range(200):
            rng = random.Random(seed)
            wanted: list[Any] = []
            lines: list[bytes] = []
            for version in range(rng.randint(1, 5)):
                servers = [
                    {"id": f"h{n}", "note": "} {"[: rng.randint(0, 3)]} for n in range(rng.randint(0, 4))
                ]
                text = {"version": version, "servers": servers}
                wanted.append(text)
                laid = json.dumps(text, indent=rng.choice([None, 0, 1, 4])).encode()
                if rng.random() < 0.3:  # one entry per line, as in the documentation
                    entries = ",\n  ".join(json.dumps(entry) for entry in servers)
                    laid = f'{{"version": {version}, "servers": [\n  {entries}]}}'.encode()
                lines += [*laid.split(b"\n"), *[b""] * rng.randint(0, 2)]
            assembler = TextAssembler()
            texts = [text for line in lines for text in assembler.add(line) if text]
            self.assertEqual([json.loads(text) for text in texts], wanted, f"seed {seed}")
            self.assertFalse(assembler.incomplete)

    def test_what_was_cut_off_spoils_no_text_after_it(self) -> None:
        assembler = TextAssembler()
        self.assertEqual(assembler.add(b'{"version": 1, "servers": ['), [])
        self.assertEqual(assembler.add(b""), [b'{"version": 1, "servers": [', b""])
        self.assertEqual(assembler.add(b'{"version": 2}'), [b'{"version": 2}'])


class Changes(Case):
    def test_what_a_whole_list_leaves_out_is_gone_though_it_still_answers(self) -> None:
        old, new = self.node(b"old"), self.node(b"new")
        rig = self.rig([old.entry("h0")])
        self.assertEqual(rig.call("r1").body, b"old")
        rig.discovery.push(Discovery.text([new.entry("h1")], True, version=8))
        self.until(lambda: list(rig.sidecar.upstream_pool.listed) == ["h1"])
        self.assertEqual([rig.call(f"r{n}").body for n in range(2, 12)], [b"new"] * 10)

    def test_a_node_back_under_its_id_gets_nothing_at_the_old_address(self) -> None:
        old, new = self.node(b"old"), self.node(b"new")
        rig = self.rig([old.entry("h0")])
        self.assertEqual(rig.call("r1").body, b"old")
        # Removed and added in one update, while a connection to the old process is idle.
        with scheduler_held(rig):
            rig.discovery.push(Discovery.text([old.entry("h0", "Gone")], version=8))
            rig.discovery.push(Discovery.text([new.entry("h0")], version=9))
        self.until(lambda: rig.sidecar.counters.count("lists_taken") >= 3)
        self.assertEqual([rig.call(f"r{n}").body for n in range(2, 6)], [b"new"] * 4)
        old.left.get(timeout=WAIT)

    def test_a_drain_in_the_moment_of_the_first_byte(self) -> None:
        """The update and the connect arrive in one scheduler iteration; the draining node gets no request."""
        old, new = self.node(b"old"), self.node(b"new")
        rig = self.rig([old.entry("h0")])
        with scheduler_held(rig):
            sock = rig.send("r1")
            rig.discovery.push(Discovery.text([old.entry("h0", "Terminating"), new.entry("h1")], version=8))
        self.assertEqual(read(sock).status, 200)
        until = time.monotonic() + 0.5  # by then the update has arrived in any order
        while time.monotonic() < until:
            rig.call(f"x{time.monotonic_ns()}")
        self.assertLessEqual(old.seen.qsize(), 1)
        self.assertGreater(new.seen.qsize(), 0)

    def test_the_old_discovery_is_not_heard_after_a_move(self) -> None:
        old, new, stale = self.node(b"old"), self.node(b"new"), self.node(b"stale")
        rig = self.rig([old.entry("h0")])
        other = Discovery([new.entry("h1")])
        self.addCleanup(other.close)
        # The new discovery numbers its versions independently.
        other.first = Discovery.text([new.entry("h1")], True, version=3)
        host, port = other.address.split(":")
        moved = replace(rig.sidecar.config, discovery=(host, int(port)))
        rig.sidecar.reloader.load_configuration = lambda: moved
        rig.sidecar.reload_configuration()
        other.asked.get(timeout=WAIT)
        self.until(lambda: list(rig.sidecar.upstream_pool.listed) == ["h1"])
        with contextlib.suppress(OSError):  # the sidecar may have closed the connection already
            rig.discovery.push(Discovery.text([stale.entry("h0")], True, version=99))
        self.assertEqual([rig.call(f"r{n}").body for n in range(8)], [b"new"] * 8)
        self.assertEqual(stale.seen.qsize(), 0)

    def test_a_version_that_goes_back_is_taken(self) -> None:
        old, new = self.node(b"old"), self.node(b"new")
        rig = self.rig([old.entry("h0")])
        rig.discovery.push(Discovery.text([new.entry("h1")], True, version=2))
        self.until(lambda: list(rig.sidecar.upstream_pool.listed) == ["h1"])
        self.assertEqual(rig.call("r1").body, b"new")


@pytest.mark.parametrize("sidecars", [1, 6, 30, 200, 2000])
def test_waits_between_calls_leave_time_to_be_told(sidecars: int) -> None:
    """The pause, the connect and the response together must take less than the 6 s allowed for a change."""
    for seed in range(50):
        rng = random.Random(seed)
        backoff = Backoff(sidecars, rng)
        for _ in range(200):
            took = rng.choice(
                [0.0, 0.01, endpoint_watch.CONNECT_TIMEOUT_S, endpoint_watch.RESPONSE_TIMEOUT_S]
            )
            wait = backoff.wait_s(False, took)
            assert 0.05 <= wait <= MAX_INTERVAL_S
            assert took + wait + endpoint_watch.CONNECT_TIMEOUT_S < 6.0, f"seed {seed}"
            if sidecars <= 30:
                assert wait <= MAX_SMALL_FLEET_S
        assert backoff.wait_s(True, 0.0) <= 0.1


if __name__ == "__main__":
    unittest.main()
