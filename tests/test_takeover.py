"""A new version under load: what goes across, and two real processes on one listening socket."""

from __future__ import annotations

import fcntl
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
from itertools import product
from pathlib import Path
from typing import Any
from unittest import mock

from brambleusher.handover.process_registry import ROOM, SENDS, Stage, Takeover, folder_for, part_of
from brambleusher.loadbalancing import Balancer, api
from brambleusher.loadbalancing.json_values import StateError
from brambleusher.loadbalancing.state_codec import save
from brambleusher.loadbalancing.state_transfer import bequeath, inherit
from brambleusher.net.http import Message
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.scheduler import Scheduler
from tests.rig import SETTINGS, WAIT, Discovery, Node, Rig, answer, read

ROOT = Path(__file__).resolve().parent.parent


class Across(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder_for(folder.name, "n/0")
        self.scheduler = Scheduler(RealSystem())
        self.addCleanup(self.scheduler.close)

    def process(self, pid: int) -> Takeover:
        process = Takeover(self.folder, self.scheduler, pid)
        self.addCleanup(process.leave)
        return process

    def test_a_process_is_there_as_long_as_it_lives(self) -> None:
        first, second = self.process(1), self.process(2)
        self.assertFalse(first.join())
        self.assertFalse(second.join(), "the first is there and does not serve")
        self.assertEqual(second.processes, 2)
        first.stage(Stage.SERVING)
        self.assertTrue(second.has_successor())
        first.stage(Stage.LEAVING)
        self.assertFalse(second.has_successor(), "one that leaves takes over nothing")
        os.close(first._lock)  # as SIGKILL does: its file stays
        first._lock = -1
        self.assertFalse(second.has_successor())
        self.assertEqual((second.processes, len(os.listdir(self.folder))), (1, 1))

    def test_one_that_joins_is_never_seen_without_its_lock(self) -> None:
        """Guards against being taken for a process that was killed, whose file is removed."""
        old, new = self.process(1), self.process(2)
        old.join()
        real, seen = fcntl.flock, []

        def flock(fd: int, how: int) -> None:
            with mock.patch("fcntl.flock", real):
                seen.append(old.has_successor())  # which looks round, and clears up
            real(fd, how)

        with mock.patch("fcntl.flock", flock):
            new.join()
        self.assertTrue(seen)
        new.stage(Stage.SERVING)
        self.assertTrue(old.has_successor())

    def test_parts_never_come_to_more_than_the_whole(self) -> None:
        for stages in product(Stage, repeat=3):
            for parts in (ROOM, SENDS):
                with self.subTest(stages):
                    taken = [
                        part_of(parts, own, stages[:at] + stages[at + 1 :]) for at, own in enumerate(stages)
                        if parts[own]
                    ]  # fmt: skip
                    self.assertLessEqual(sum(taken), 1.0 + 1e-9)
        self.assertEqual(part_of(SENDS, Stage.SERVING, [Stage.STARTING]), 1.0)

    def test_what_is_said_to_both_is_merged(self) -> None:
        first, second = self.process(1), self.process(2)
        first.join(), second.join()
        first.share(lambda shared: {**shared, "a": 1})
        second.share(lambda shared: {**shared, "b": 2})
        self.assertEqual(first.shared(), {"v": 1, "a": 1, "b": 2})

    def test_a_file_that_can_not_be_used_is_a_start_from_nothing(self) -> None:
        process = self.process(1)
        process.join()
        for text in (b"", b'{"v":1,"bans":', b"[]", b'{"v":99}', b"\xff\xfe"):
            with self.subTest(text), self.assertLogs("brambleusher.handover.process_registry", "WARNING"):
                (self.folder / "shared.json").write_bytes(text)
                self.assertIsNone(process.shared())
        process.share(lambda shared: {**shared, "a": 1})  # and it is whole again
        self.assertEqual(process.shared(), {"v": 1, "a": 1})

    def test_a_newcomer_is_taught_by_the_one_that_serves(self) -> None:
        old, new = self.process(1), self.process(2)
        old.join()
        old.learnt = lambda: {"list": 7}
        old.stage(Stage.SERVING)
        new.join()
        old._look(True)
        self.assertEqual(new.taught(lambda s: None, lambda: 0.0), {"v": 1, "list": 7})
        third = self.process(3)
        third.join()
        clock = iter(range(100))
        with self.assertLogs(
            "brambleusher.handover.process_registry", "WARNING"
        ):  # the others are silent: it starts all the same
            self.assertIsNone(third.taught(lambda s: None, lambda: float(next(clock))))

    def test_the_module_goes_on_without_the_requests(self) -> None:
        settings = api.Settings(
            zone="z", classes=(api.RequestClass("look", aim_ns=10**9, deadline_ns=2 * 10**9, worth=1.0),),
            fleet_size=1,
        )  # fmt: skip
        balancer = Balancer(settings, 7)
        balancer.start(0)
        nodes = [api.HostEntry(f"h{n}", "z", "k", 0, api.HostState.READY) for n in range(3)]
        balancer.handle(api.HostListUpdated(api.ListKind.SAVED, nodes), 0)
        for n in range(30):
            (send,) = balancer.handle(api.RequestArrived(f"r{n}", "look", None, 2 * 10**9), n)
            assert isinstance(send, api.StartAttempt)
            if n < 20:
                report = api.LoadReport(0.5, 100.0)
                ended = api.AttemptEnded(f"r{n}", 0, send.host, api.AttemptStatus.OK, 10**7, True, report)
                balancer.handle(ended, n)
        left = json.loads(json.dumps(bequeath(balancer)))
        heir = inherit(settings, 8, left)
        heir.start(100)
        for name, host in balancer._hosts.items():
            self.assertEqual((heir._hosts[name].util, heir._hosts[name].served), (host.util, host.served))
            self.assertEqual(len(heir._hosts[name].out), 0)
        self.assertEqual((heir._open, heir._requests), (0, {}))
        self.assertIsInstance(
            heir.handle(api.RequestArrived("r5", "look", None, 10**9), 101)[0], api.StartAttempt
        )
        for bad in (None, {}, {**left, "hosts": [[]]}, save(balancer)):
            with self.subTest(str(bad)[:40]), self.assertRaises(StateError):
                inherit(settings, 8, bad)

    def test_a_cold_host_is_sent_a_part_by_each_of_two_processes(self) -> None:
        def sends(part: float) -> int:
            cls = api.RequestClass("look", aim_ns=10**9, deadline_ns=2 * 10**9, worth=1.0)
            settings = api.Settings(
                zone="z", classes=(cls,), fleet_size=1, cold_ns=21 * 10**9, start_capacity=0.17,
                fall_multiple=4.0, fall_ns=3 * 10**9,
            )  # fmt: skip
            balancer = Balancer(settings, 7)
            balancer.start(10**12)
            balancer.handle(api.ProcessShareChanged(part), 10**12)
            node = api.HostEntry("h", "z", "k", 0, api.HostState.READY, started_ns=10**12)
            balancer.handle(api.HostListUpdated(api.ListKind.SAVED, [node]), 10**12)
            count = 0
            for n in range(900):
                now = 10**12 + n * 10**7
                for action in balancer.handle(api.RequestArrived(f"r{n}", "look", None, 10**9), now):
                    if isinstance(action, api.StartAttempt):
                        count += 1
                        ok = api.AttemptEnded(f"r{n}", 0, "h", api.AttemptStatus.OK, 10**6, True, None)
                        balancer.handle(ok, now)
            return count

        self.assertAlmostEqual(sends(1.0) / sends(0.5), 2.0, delta=0.4)


class Processes(unittest.TestCase):
    """`brambleusher` itself, started again beside itself."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.held: queue.Queue[socket.socket] = queue.Queue()
        self.nodes = [Node(self.script) for _ in range(3)]
        entries = [node.entry(f"h{at}") for at, node in enumerate(self.nodes)]
        self.discovery = Discovery(entries)
        for server in (*self.nodes, self.discovery):
            self.addCleanup(server.close)
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.addCleanup(self.listener.close)
        self.address = self.listener.getsockname()
        self.config: dict[str, Any] = {
            "name": "n0", "listen": f"127.0.0.1:{self.address[1]}", "seed": "2a",
            "discovery": self.discovery.address, "admin_addr": "127.0.0.1:0",
            "known": {"version": 6, "full": True, "servers": entries}, "settings": SETTINGS,
        }  # fmt: skip
        self.answered = 0

    def script(self, sock: socket.socket, request: Message) -> None:
        if request.headers["request-id"].startswith("held"):
            self.held.put(sock)
        else:
            answer(request.headers["request-id"].encode())(sock, request)

    def start(self) -> tuple[subprocess.Popen[str], tuple[str, int]]:
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config), encoding="utf-8")
        process = subprocess.Popen(
            [sys.executable, "-m", "brambleusher"], cwd=ROOT, text=True, stderr=subprocess.PIPE,
            pass_fds=[self.listener.fileno()],
            env={
                **os.environ, "NODE_CONFIG": str(path), "TMPDIR": str(self.folder),
                "NODE_FD": str(self.listener.fileno()),
            },
        )  # fmt: skip
        self.addCleanup(self.stop, process)
        assert process.stderr is not None
        admin: tuple[str, int] | None = None
        while admin is None:
            line = process.stderr.readline()
            assert line, "it ended"
            if "admin endpoint" in line:
                host, _, port = line.rpartition("address=")[2].strip().rpartition(":")
                admin = host, int(port)
        threading.Thread(target=process.stderr.read, daemon=True).start()
        until = time.monotonic() + WAIT
        while self.call(admin, "GET", "ready").status != 200:
            assert time.monotonic() < until
            time.sleep(0.01)
        return process, admin

    @staticmethod
    def stop(process: subprocess.Popen[str]) -> None:
        process.kill()
        process.wait()
        assert process.stderr is not None
        process.stderr.close()

    @staticmethod
    def call(admin: tuple[str, int], method: str, path: str) -> Message:
        with socket.create_connection(admin, WAIT) as sock:
            sock.sendall(f"{method} /control/{path} HTTP/1.1\r\nContent-Length: 0\r\n\r\n".encode())
            return read(sock)

    def send(self, name: str, sock: socket.socket | None = None) -> socket.socket:
        made = sock or socket.create_connection(self.address, WAIT)
        return Rig.send(None, name, sock=made)  # type: ignore[arg-type]

    def ask(self, name: str) -> int:
        with self.send(name) as sock:
            return read(sock).status

    def test_the_new_process_takes_over_and_nothing_is_lost(self) -> None:
        old, old_door = self.start()
        resting, leaving = (socket.create_connection(self.address, WAIT) for _ in range(2))
        for sock in (resting, leaving):
            self.send("first", sock)
            self.assertTrue(read(sock).keep_alive)
        owed = self.send("held")
        at_node = self.held.get(timeout=WAIT)
        self.assertEqual(self.call(old_door, "POST", "registry-nodes/h0/offline").status, 200)
        new, new_door = self.start()
        self.assertEqual(self.call(new_door, "POST", "registry-nodes/h1/offline").status, 200)
        until = time.monotonic() + WAIT
        while b"out_of_rotation=2" not in self.call(old_door, "GET", "counters").body:
            self.assertLess(time.monotonic(), until)  # what is said to one binds the other
        self.assertEqual(self.call(old_door, "POST", "registry-nodes/h1/online").status, 200)
        while b"out_of_rotation=1" not in self.call(new_door, "GET", "counters").body:
            self.assertLess(time.monotonic(), until)
        old.send_signal(signal.SIGTERM)
        while (got := self.answer_on(leaving, "again")) is not None and got.keep_alive:
            self.assertLess(time.monotonic(), until)  # until the signal has come
        self.assertEqual(resting.recv(1), b"", "closed once it has rested for long enough")
        before = self.nodes[0].seen.qsize()
        for n in range(10):
            self.assertEqual(self.ask(f"after{n}"), 200)
        self.assertEqual(self.nodes[0].seen.qsize(), before, "a ban holds over an upgrade")
        self.assertIsNone(old.poll(), "it still owes an answer")
        answer(b"late but whole")(at_node, Message(("GET", "/"), 1, {}))
        self.assertEqual(read(owed).body, b"late but whole")
        self.assertEqual(old.wait(WAIT), 0)
        self.assertEqual(self.ask("last"), 200)
        third, _ = self.start()  # two upgrades in a row, and the second old one is killed
        new.kill()
        self.assertEqual([self.ask(f"x{n}") for n in range(5)], [200] * 5)
        third.send_signal(signal.SIGTERM)  # nobody takes over: it ends as ever
        self.assertEqual(third.wait(WAIT), 0)

    def answer_on(self, sock: socket.socket, name: str) -> Message | None:
        self.answered += 1
        return read(self.send(f"{name}{self.answered}", sock))

    def test_a_descriptor_that_does_not_listen_is_named(self) -> None:
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config), encoding="utf-8")
        with tempfile.TemporaryFile() as file:
            for fd, fds in ((str(file.fileno()), [file.fileno()]), ("admin", []), ("1", [])):
                done = subprocess.run(
                    [sys.executable, "-m", "brambleusher"], cwd=ROOT, capture_output=True, text=True,
                    timeout=WAIT, pass_fds=fds,
                    env={
                        **os.environ, "NODE_CONFIG": str(path), "NODE_FD": fd, "TMPDIR": str(self.folder),
                    },
                )  # fmt: skip
                with self.subTest(fd):
                    self.assertEqual(done.returncode, 2)
                    self.assertIn("NODE_FD", done.stderr)
