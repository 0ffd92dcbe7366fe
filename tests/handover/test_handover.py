"""Tests of the handover between versions: shared files, transferred state, and real processes.

The real processes listen on one socket and serve requests throughout the handover.
"""

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
from collections.abc import Callable
from itertools import product
from pathlib import Path
from typing import Any
from unittest import mock

from brambleusher.handover.folder_watcher import FolderWatcher
from brambleusher.handover.limit_shares import CONNECTION_WEIGHTS, SENDING_WEIGHTS, limit_fraction
from brambleusher.handover.process_registry import ProcessRegistry, ProcessStage
from brambleusher.handover.shared_folder import SharedFolder, folder_path
from brambleusher.handover.shared_settings import SharedSettings, SharedSettingsStore
from brambleusher.handover.state_transfer import StateTransfer, TransferredState
from brambleusher.loadbalancing import Balancer, api
from brambleusher.loadbalancing.host_bans import Ban
from brambleusher.loadbalancing.json_values import StateError
from brambleusher.loadbalancing.state_codec import save
from brambleusher.loadbalancing.state_transfer import export_state, import_state
from brambleusher.net.http import Message
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.scheduler import Scheduler
from tests.rig import SETTINGS, WAIT, Discovery, Node, Rig, answer, read

ROOT = Path(__file__).resolve().parents[2]


class SharedFolderTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder_path(folder.name, "n/0")
        self.scheduler = Scheduler(RealSystem())
        self.addCleanup(self.scheduler.close)

    def process(self, pid: int) -> ProcessRegistry:
        process = ProcessRegistry(SharedFolder(self.folder, pid))
        self.addCleanup(process.unregister)
        return process

    def settings(self, pid: int) -> SharedSettingsStore:
        return SharedSettingsStore(SharedFolder(self.folder, pid))

    def test_a_process_is_registered_as_long_as_it_lives(self) -> None:
        first, second = self.process(1), self.process(2)
        self.assertFalse(first.register())
        self.assertFalse(second.register(), "the first process is registered but not serving")
        self.assertEqual(second.process_count, 2)
        first.set_stage(ProcessStage.SERVING)
        self.assertTrue(second.has_successor())
        first.set_stage(ProcessStage.DRAINING)
        self.assertFalse(second.has_successor(), "a draining process is not a successor")
        os.close(first._lock_fd)  # like SIGKILL: the lock is released but the file stays
        first._lock_fd = -1
        self.assertFalse(second.has_successor())
        self.assertEqual((second.process_count, len(os.listdir(self.folder))), (1, 1))

    def test_a_process_that_registers_is_never_seen_without_its_lock(self) -> None:
        """Otherwise another process would take the new one for a killed process and remove its file."""
        old, new = self.process(1), self.process(2)
        old.register()
        real, seen = fcntl.flock, []

        def flock(fd: int, how: int) -> None:
            with mock.patch("fcntl.flock", real):
                seen.append(old.has_successor())  # scans, and removes the files of dead processes
            real(fd, how)

        with mock.patch("fcntl.flock", flock):
            new.register()
        self.assertTrue(seen)
        new.set_stage(ProcessStage.SERVING)
        self.assertTrue(old.has_successor())

    def test_limit_shares_never_exceed_the_limit_together(self) -> None:
        for stages in product(ProcessStage, repeat=3):
            for parts in (CONNECTION_WEIGHTS, SENDING_WEIGHTS):
                with self.subTest(stages):
                    taken = [
                        limit_fraction(parts, own, stages[:at] + stages[at + 1 :])
                        for at, own in enumerate(stages)
                        if parts[own]
                    ]  # fmt: skip
                    self.assertLessEqual(sum(taken), 1.0 + 1e-9)
        self.assertEqual(limit_fraction(SENDING_WEIGHTS, ProcessStage.SERVING, [ProcessStage.STARTING]), 1.0)

    def test_settings_changed_by_both_are_merged(self) -> None:
        self.process(1).register(), self.process(2).register()
        first, second = self.settings(1), self.settings(2)

        def ban(host: str, since: int) -> Callable[[SharedSettings | None], SharedSettings]:
            return lambda shared: SharedSettings({**(shared.bans if shared else {}), host: Ban(since)})

        first.update(ban("a", 1))
        second.update(ban("b", 2))
        self.assertEqual(first.read(), SharedSettings({"a": Ban(1), "b": Ban(2)}))

    def test_the_files_keep_their_names_and_bytes(self) -> None:
        """Two versions of the program have to read each other's files during an upgrade."""
        process = self.process(7)
        process.register()
        names = {"starting-7": None, "serving-7": ProcessStage.SERVING, "leaving-7": ProcessStage.DRAINING}
        for name, stage in names.items():
            if stage is not None:
                process.set_stage(stage)
            self.assertEqual([path.name for path in self.folder.iterdir()], [name])
        settings = SharedSettings({"h0": Ban(5), "h1": Ban(6, 9)}, False, 8)
        self.settings(7).update(lambda shared: settings)
        shared = b'{"v":1,"bans":{"h0":[5,0],"h1":[6,9]},"service":{"said":8,"wanted":false}}'
        self.assertEqual((self.folder / "shared.json").read_bytes(), shared)
        self.assertEqual(self.settings(7).read(), settings)
        state = TransferredState({"version": 3, "full": True, "servers": []}, "10.0.0.1:80", {"a": [1.5]})
        StateTransfer(SharedFolder(self.folder, 7), lambda: state).send(9)
        learnt = (
            b'{"v":1,"list":{"version":3,"full":true,"servers":[]},"discovery":"10.0.0.1:80",'
            b'"state":{"a":[1.5]}}'
        )
        self.assertEqual((self.folder / "learnt-9.json").read_bytes(), learnt)

    def test_a_file_that_can_not_be_used_reads_as_none(self) -> None:
        self.process(1).register()
        settings = self.settings(1)
        for text in (b"", b'{"v":1,"bans":', b"[]", b'{"v":99}', b"\xff\xfe"):
            with self.subTest(text), self.assertLogs("brambleusher.handover.shared_folder", "WARNING"):
                (self.folder / "shared.json").write_bytes(text)
                self.assertIsNone(settings.read())
        for text in (b'{"v":1,"bans":[]}', b'{"v":1,"bans":{"h":[1]}}', b'{"v":1,"service":{"said":1}}'):
            with self.subTest(text), self.assertLogs("brambleusher.handover.shared_settings", "WARNING"):
                (self.folder / "shared.json").write_bytes(text)
                self.assertIsNone(settings.read())
        settings.update(lambda shared: SharedSettings({"a": Ban(1)}))  # an update replaces the unusable file
        self.assertEqual(settings.read(), SharedSettings({"a": Ban(1)}))

    def test_a_new_process_receives_the_state_of_the_serving_one(self) -> None:
        state = TransferredState({"version": 7}, "10.0.0.1:80", {"a": 1})
        old, new = self.process(1), self.process(2)
        transfer = StateTransfer(SharedFolder(self.folder, 1), lambda: state)
        old.register()
        old.set_stage(ProcessStage.SERVING)
        new.register()
        watcher = FolderWatcher(
            self.folder, self.scheduler, old, self.settings(1), transfer, lambda settings: None
        )
        watcher.poll(is_changed=True)
        received = StateTransfer(SharedFolder(self.folder, 2)).receive(lambda s: None, lambda: 0.0)
        self.assertEqual(received, state)
        third = self.process(3)
        third.register()
        clock = iter(range(100))
        silent = StateTransfer(SharedFolder(self.folder, 3))
        # Without the state the process logs a warning and starts nevertheless.
        with self.assertLogs("brambleusher.handover.state_transfer", "WARNING"):
            self.assertIsNone(silent.receive(lambda s: None, lambda: float(next(clock))))

    def test_an_imported_balancer_goes_on_without_the_requests(self) -> None:
        look = api.RequestClass("look", latency_target_ns=10**9, deadline_ns=2 * 10**9, value=1.0)
        settings = api.Settings(zone="z", classes=(look,), fleet_size=1)
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
        left = json.loads(json.dumps(export_state(balancer)))
        successor = import_state(settings, 8, left)
        successor.start(100)
        for name, host in balancer.host_table.hosts.items():
            inherited = successor.host_table.hosts[name]
            self.assertEqual((inherited.utilisation, inherited.served), (host.utilisation, host.served))
            self.assertEqual(len(inherited.in_flight), 0)
        self.assertEqual((successor.traffic.in_flight, successor.attempts.requests), (0, {}))
        self.assertIsInstance(
            successor.handle(api.RequestArrived("r5", "look", None, 10**9), 101)[0], api.StartAttempt
        )
        for bad in (None, {}, {**left, "hosts": [[]]}, save(balancer)):
            with self.subTest(str(bad)[:40]), self.assertRaises(StateError):
                import_state(settings, 8, bad)

    def test_each_of_two_processes_sends_its_share_to_a_host_that_warms_up(self) -> None:
        def sends(part: float) -> int:
            cls = api.RequestClass("look", latency_target_ns=10**9, deadline_ns=2 * 10**9, value=1.0)
            settings = api.Settings(
                zone="z", classes=(cls,), fleet_size=1, warm_up_ns=21 * 10**9, initial_capacity=0.17,
                overload_multiple=4.0, overload_window_ns=3 * 10**9,
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


class HandoverOfProcessesTest(unittest.TestCase):
    """Tests with two or more real `brambleusher` processes on one listening socket."""

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
            assert line, "the process ended before its admin endpoint was open"
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
        old, old_admin = self.start()
        idle, leaving = (socket.create_connection(self.address, WAIT) for _ in range(2))
        for sock in (idle, leaving):
            self.send("first", sock)
            self.assertTrue(read(sock).keep_alive)
        pending = self.send("held")
        at_node = self.held.get(timeout=WAIT)
        self.assertEqual(self.call(old_admin, "POST", "registry-nodes/h0/offline").status, 200)
        new, new_admin = self.start()
        self.assertEqual(self.call(new_admin, "POST", "registry-nodes/h1/offline").status, 200)
        until = time.monotonic() + WAIT
        while b"out_of_rotation=2" not in self.call(old_admin, "GET", "counters").body:
            self.assertLess(time.monotonic(), until)  # a ban set at one process applies to the other
        self.assertEqual(self.call(old_admin, "POST", "registry-nodes/h1/online").status, 200)
        while b"out_of_rotation=1" not in self.call(new_admin, "GET", "counters").body:
            self.assertLess(time.monotonic(), until)
        old.send_signal(signal.SIGTERM)
        while (got := self.answer_on(leaving, "again")) is not None and got.keep_alive:
            self.assertLess(time.monotonic(), until)  # repeat until the process has handled the signal
        self.assertEqual(idle.recv(1), b"", "an idle connection is closed after a while")
        before = self.nodes[0].seen.qsize()
        for n in range(10):
            self.assertEqual(self.ask(f"after{n}"), 200)
        self.assertEqual(self.nodes[0].seen.qsize(), before, "a ban stays in force across an upgrade")
        self.assertIsNone(old.poll(), "the process still has a request to answer")
        answer(b"late but whole")(at_node, Message(("GET", "/"), 1, {}))
        self.assertEqual(read(pending).body, b"late but whole")
        self.assertEqual(old.wait(WAIT), 0)
        self.assertEqual(self.ask("last"), 200)
        third, _ = self.start()  # a second upgrade, in which the old process is killed
        new.kill()
        self.assertEqual([self.ask(f"x{n}") for n in range(5)], [200] * 5)
        third.send_signal(signal.SIGTERM)  # without a successor the process ends as usual
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
