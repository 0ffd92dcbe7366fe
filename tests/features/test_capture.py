"""Test captures: the balancer's state, the ring, the files, and rerunning recorded decisions."""

from __future__ import annotations

import io
import json
import os
import queue
import re
import signal
import subprocess
import sys
import tempfile
import threading
import unittest
from collections.abc import Callable, Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any
from unittest import mock

from brambleusher.decisions.observers import Decision
from brambleusher.decisions.requests import ClientRequest
from brambleusher.features import capture as capture_module
from brambleusher.features.capture import Capture, CaptureDirectorySink
from brambleusher.features.output_queue import OutputQueue
from brambleusher.features.replay import DIFFERENT, REJECTED, SAME, replay
from brambleusher.loadbalancing import Balancer, api
from brambleusher.loadbalancing.json_values import StateError
from brambleusher.loadbalancing.settings_codec import restore_settings, save_settings
from brambleusher.loadbalancing.state_codec import restore, save
from brambleusher.net.endpoint_list import EndpointListUpdate
from brambleusher.operator_settings.configuration import CaptureSettings, parse_operator_file
from brambleusher.operator_settings.section import OperatorFileError
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.sidecar.connection_budgets import feature_buffers_memory
from tests.features.test_figures import ready, until
from tests.loadbalancing.test_rules import BASE
from tests.rig import WAIT, Node, Rig, answer, reset
from tests.rules import SECOND, World

SEED = 0x8C1F30D27A5BE964
EMPTY = EndpointListUpdate(0, True, ())
ASKS = replace(BASE, subscribes_to_endpoints=True)


class Recorded(Balancer):
    """A balancer that records its events and actions as `BalancerDriver` does, and skips failing events."""

    def __init__(self, settings: api.Settings, capture: Capture) -> None:
        super().__init__(settings, SEED)
        self.capture, self.calls = capture, dict[str, ClientRequest]()
        capture.start(lambda: {**save(self.plain_balancer())})

    def plain_balancer(self) -> Balancer:
        """Return a plain `Balancer` with the same state, without the attributes of this class."""
        bare = Balancer.__new__(Balancer)
        vars(bare).update({name: v for name, v in vars(self).items() if name not in ("capture", "calls")})
        return bare

    def start(self, now: int) -> list[api.Action]:
        actions = super().start(now)
        self.capture.record(Decision(None, now, actions))
        return actions

    def handle(self, event: api.Event, now: int) -> list[api.Action]:
        if isinstance(event, api.RequestArrived):
            self.calls[event.request] = ClientRequest(
                event.request, event.request_class, event.tenant, 0, None, False, 0
            )
        call = self.calls.get(getattr(event, "request", ""))
        try:
            actions = super().handle(event, now)
        except KeyError as error:
            self.capture.record(Decision(event, now, (), error, call))
            return []
        self.capture.record(Decision(event, now, actions, None, call))
        return actions


def output_queue() -> OutputQueue:
    return OutputQueue(RealSystem().worker("lane", lambda: False, lambda: None), 1 << 30)


def drain(output_queue: OutputQueue) -> bytes:
    """Return all items in a queue as bytes, and empty the queue."""
    out = b""
    while items := output_queue.take_batch():
        output_queue.finish_batch(0)
        out += b"".join(items)
    return out


class RecordedWorld:
    """A simulated world of valid events whose decisions are captured."""

    def __init__(self, ring_kb: int = 64, seed: int = 1, files: OutputQueue | None = None) -> None:
        self.dumps = output_queue()
        self.capture = Capture(CaptureSettings(ring_kb), ASKS, SEED, EMPTY, self.dumps, files)
        self.world = World(ASKS, seed, Recorded(ASKS, self.capture))
        self.world.now = 1_700_000_000 * SECOND + 123_456_789  # a float of milliseconds would lose digits

    def run_steps(self, steps: int, then: Callable[[], None] = lambda: None) -> None:
        for step in range(steps):
            if step % 50 == 49:  # the balancer raises an error for an unknown class, and continues
                self.world.give(api.RequestArrived(f"bad{step}", "unknown", None, SECOND))
            self.world.step()
            then()

    def dump(self) -> bytes:
        self.capture.dump()
        return drain(self.dumps)


class State(unittest.TestCase):
    def test_a_balancer_goes_on_from_its_state(self) -> None:
        for seed in range(4):
            world = World(ASKS, seed)
            world.start(5)
            for _ in range(12):
                for _ in range(60):
                    world.step()
                text = json.dumps(save(world.balancer))
                json.loads(text, parse_constant=self.fail)  # NaN and infinity are not valid JSON
                twin = restore(
                    restore_settings(json.loads(json.dumps(save_settings(ASKS)))), 0, json.loads(text)
                )
                self.assertEqual(json.dumps(save(twin)), text)
                self.assertEqual(twin.settings, ASKS)
                # References to one host must be one object again, so that a change is visible by all of them.
                reached = [attempt.host for r in twin.attempts.requests.values() for attempt in r.attempts]
                for host in reached:
                    self.assertIs(host, twin.host_table.hosts.get(host.name, host))
                self.assertTrue(
                    all(host is twin.host_table.hosts[host.name] for host in twin.round_robin.ring)
                )

    def test_a_state_of_another_version_or_of_nonsense_is_refused(self) -> None:
        world = World(ASKS, 1)
        world.start(3)
        for _ in range(50):
            world.step()
        good = save(world.balancer)
        for name, change in (
            ("not an object", 7),
            ("nothing", {}),
            ("an attribute less", {**good, "own": {k: v for k, v in good["own"].items() if k != "_limit"}}),
            ("one more", {**good, "own": {**good["own"], "_more": 1}}),
            ("other hosts", {**good, "host_names": [*good["host_names"][1:], "rank"]}),
            ("a row too short", {**good, "hosts": [[1]] * len(good["hosts"])}),
            ("a place that is not there", {**good, "own": {**good["own"], "_order": [{"h": 999}]}}),
            ("a kind that is not there", {**good, "own": {**good["own"], "_order": {"py": "os"}}}),
            ("no random words", {**good, "random": [3, "z!", 1, None]}),
        ):
            with self.subTest(name), self.assertRaises(StateError):
                restore(ASKS, 0, json.loads(json.dumps(change)))
        for settings in (None, {}, {**save_settings(ASKS), "classes": [1]}, {**save_settings(ASKS), "x": 1}):
            with self.assertRaises(StateError):
                restore_settings(settings)


class Settings(unittest.TestCase):
    def test_defaults_and_faults(self) -> None:
        self.assertEqual(parse_operator_file(b"capture:").capture, CaptureSettings(768, None, 4))
        self.assertIsNone(parse_operator_file(b"figures:").capture)
        for key, value in (
            ("ring_kb", "31"),
            ("files", "0"),
            ("dir", "1"),
            ("dir", '"a\\0b"'),
            ("size", "1"),
        ):
            with self.assertRaisesRegex(OperatorFileError, f"capture.{key}"):
                parse_operator_file(f"capture: {{{key}: {value}}}".encode())

    def test_what_does_not_fit_in_the_memory_stops_the_start(self) -> None:
        for text, beyond in (
            (b"", 0),
            (b"figures:\ncapture:", 0),
            (b"capture: {ring_kb: 4096}", 6 << 20),
            (b"capture: {ring_kb: 4096, dir: /x}", 10 << 20),
        ):
            self.assertEqual(feature_buffers_memory(parse_operator_file(text), 12 << 20), beyond)
        with self.assertRaisesRegex(OperatorFileError, "capture.ring_kb"):
            feature_buffers_memory(parse_operator_file(b"capture: {ring_kb: 1048576}"), 12 << 20)


class Replays(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def replay(self, data: bytes) -> tuple[int, str, str]:
        path = self.folder / "capture.jsonl"
        path.write_bytes(data)
        out, errors = io.StringIO(), io.StringIO()
        return replay(str(path), out, errors), out.getvalue(), errors.getvalue()

    def replay_in_subprocess(self, data: bytes, hash_seed: int) -> tuple[int, str]:
        """Replay a capture in another process, whose sets have a different iteration order."""
        path = self.folder / "elsewhere.jsonl"
        path.write_bytes(data)
        done = subprocess.run(
            [sys.executable, "-m", "brambleusher", "replay", str(path)],
            env={**os.environ, "PYTHONHASHSEED": str(hash_seed)}, capture_output=True, text=True,
        )  # fmt: skip
        return done.returncode, done.stdout + done.stderr

    def test_wrapped_many_times_nothing_differs_in_any_process(self) -> None:
        for seed in (1, 2):
            recorded = RecordedWorld(seed=seed)
            recorded.world.start(6)
            first = recorded.dump()
            self.assertNotIn(b'"state":{', first)
            self.assertEqual(self.replay(first), (SAME, "2 records, 0 differ\n", ""))
            heads: set[int] = set()

            def note(recorded: RecordedWorld = recorded, heads: set[int] = heads) -> None:
                ring = recorded.capture
                held = sum(len(s.header) + sum(map(len, s.lines)) for s in (*ring._sealed, ring._open) if s)
                self.assertLessEqual(held, 64 * 1024)
                heads.add(ring._sealed[0].opened_ns if ring._sealed else 0)

            recorded.run_steps(4000, note)
            self.assertGreater(len(heads), 20)  # the oldest segment was dropped at least 20 times
            data = recorded.dump()
            head = json.loads(data.split(b"\n", 1)[0])
            self.assertEqual((head["ev"], head["v"], head["seed"]), ("start", 1, "8c1f30d27a5be964"))
            self.assertIn(b'"raised":"KeyError"', data)
            for hash_seed in (1, 2):
                code, text = self.replay_in_subprocess(data, hash_seed)
                self.assertEqual(code, SAME, text)
                self.assertRegex(text, r"\A[1-9]\d+ records, 0 differ\n\Z")

    def test_the_list_in_the_header_is_the_one_before_the_oldest_record(self) -> None:
        recorded = RecordedWorld()
        lists: dict[int, set[str]] = {}  # the balancer's hosts by the number of the next record
        ring, real = recorded.capture, recorded.capture.record

        def note(decision: Decision) -> None:
            real(decision)
            lists[ring._count] = set(recorded.world.balancer.host_table.hosts)

        with mock.patch.object(ring, "record", note):
            recorded.world.start(4)
            recorded.run_steps(3000)
        head = json.loads(recorded.dump().split(b"\n", 1)[0])
        self.assertGreater(head["n"], 1000)
        self.assertEqual({server["id"] for server in head["list"]["servers"]}, lists[head["n"]])

    def change(self, data: bytes, ev: str, change: Callable[[dict[str, Any]], object]) -> bytes:
        """Return the capture with its last record of an event changed but the checksum left as it is."""
        lines = data.splitlines(keepends=True)
        at = [n for n, line in enumerate(lines) if f'"ev":"{ev}"'.encode() in line][-1]
        record = json.loads(lines[at])
        change(record)
        lines[at] = json.dumps(record).encode() + b"\n"
        return b"".join(lines)

    def test_one_changed_record_shows(self) -> None:
        recorded = RecordedWorld(ring_kb=256)
        recorded.world.start(6)
        recorded.run_steps(600)
        data = recorded.dump()
        changes: list[tuple[str, str, Callable[[dict[str, Any]], object]]] = [
            ("a server", "request", lambda r: r.update(server="h1" if r["server"] != "h1" else "h2")),
            ("a server that is unknown", "request", lambda r: r.update(server="s-nowhere")),
            ("a tenant", "request", lambda r: r.update(tenant="c")),
            ("the time by a nanosecond", "request", lambda r: r.update(t_ns=r["t_ns"] + 1)),
            ("the milliseconds", "timer", lambda r: r.update(t_ms=0)),
            ("a latency", "attempt", lambda r: r["in"].update(latency_ns=r["in"]["latency_ns"] + 1)),
            ("an outcome", "attempt", lambda r: r["in"].update(status="sunk")),
            ("an action", "timer", lambda r: r["out"].pop()),
            ("a class beside", "attempt", lambda r: r.update({"class": "other"})),
            ("no checksum", "gone", lambda r: r.pop("crc")),
            ("no event", "timer", lambda r: r.pop("in")),
        ]
        for name, ev, change in changes:
            with self.subTest(name):
                code, text, _ = self.replay(self.change(data, ev, change))
                self.assertEqual(code, DIFFERENT, text)
                self.assertIn(f'"ev":"{ev}"', text.replace(f'ev="{ev}"', f'"ev":"{ev}"'))
        lines = data.splitlines(keepends=True)
        for name, changed in (
            ("one missing", [*lines[:20], *lines[21:]]),
            ("one twice", [*lines[:20], *lines[19:]]),
            ("one damaged", [*lines[:20], lines[20][:30] + b"\n", *lines[21:]]),
        ):
            with self.subTest(name):
                code, text, _ = self.replay(b"".join(changed))
                self.assertEqual(code, DIFFERENT, text)
        # A changed server is reported by the rerun itself, in addition to the checksum.
        changed_data = self.change(data, "request", lambda r: r.update(server="s-nowhere"))
        _, text, _ = self.replay(changed_data)
        self.assertIn('the server "s-nowhere" is unknown', text)
        self.assertIn('recorded server "s-nowhere", rerun server', text)
        self.assertEqual(text.count("\n"), 2)  # one line for the changed record, and one for the totals

    def test_what_is_no_capture_is_refused(self) -> None:
        recorded = RecordedWorld()
        recorded.world.start(3)
        data = recorded.dump()
        first, rest = data.split(b"\n", 1)
        head = json.loads(first)

        def headed(**changes: Any) -> bytes:
            changed = {key: value for key, value in {**head, **changes}.items() if value is not ...}
            return json.dumps(changed).encode() + b"\n" + rest

        self.assertEqual(self.replay(headed())[0], SAME)
        for name, text, said in (
            ("empty", b"", "no header"),
            ("a log alone", b"time=1 msg=x\n", "no header"),
            ("no header", rest, "before any header"),
            ("cut in the header", first[:50], "no header"),
            ("no list", headed(list=...), "no list"),
            ("a list that is none", headed(list=[]), "no list"),
            ("other v", headed(v=2), "v is 2"),
            ("v is true", headed(v=True), "v is true"),
            ("v is a float", headed(v=1.0), "v is 1.0"),
            ("no v", headed(v=...), "v is null"),
            ("no settings", headed(settings=...), "no settings"),
            ("no seed", headed(seed=...), "seed"),
            ("no state of ours", headed(state={}), "state"),
        ):
            with self.subTest(name):
                code, _, errors = self.replay(text)
                self.assertEqual(code, REJECTED)
                self.assertIn(said, errors)
        self.assertEqual(replay(str(self.folder / "absent"), io.StringIO(), io.StringIO()), REJECTED)
        for _ in range(20):
            recorded.run_steps(500)
            first, rest = recorded.dump().split(b"\n", 1)
            head = json.loads(first)
            if head["list"]["servers"]:  # the simulated list is sometimes empty
                break
        head["list"]["servers"].pop()  # the list no longer matches the state
        self.assertEqual(self.replay(headed())[0], REJECTED)

    def test_a_cut_last_line_is_reported_and_lines_of_a_log_are_passed_over(self) -> None:
        recorded = RecordedWorld()
        recorded.world.start(3)
        recorded.run_steps(300)
        lines = recorded.dump().splitlines(keepends=True)
        mixed = b"time=1 level=info msg=x\n" + b"brambleusher.inflight:0|g\n".join(lines)
        self.assertEqual(self.replay(mixed)[0], SAME)
        code, text, _ = self.replay(mixed[:-20])
        self.assertEqual(code, SAME)
        self.assertIn("the last line is cut off and was skipped", text)
        self.assertIn(f"{len(lines) - 2} records, 0 differ", text)
        self.assertEqual(self.replay(mixed + recorded.dump())[0], SAME)  # a second dump has its own header


class Bounds(unittest.TestCase):
    def test_a_header_too_large_for_the_ring_pauses_the_capture(self) -> None:
        """Guards against a ring that contains only headers, and against unbounded memory use."""
        recorded = RecordedWorld()
        with self.assertLogs("brambleusher.features.capture", "WARNING") as logged:
            recorded.world.start(400)
            recorded.run_steps(300)
        self.assertLess(len(logged.output), 10)
        self.assertIn("capture header exceeds the ring", logged.output[0])
        recorded.world.entries = dict(list(recorded.world.entries.items())[:5])
        recorded.world.list_hosts(api.ListKind.FULL, list(recorded.world.entries.values()))
        recorded.world.pass_time(2 * capture_module.PAUSE_NS)
        recorded.run_steps(200)
        with tempfile.NamedTemporaryFile() as file:
            file.write(recorded.dump())
            file.flush()
            out = io.StringIO()
            self.assertEqual(replay(file.name, out, io.StringIO()), SAME, out.getvalue())

    def test_a_fault_here_harms_no_decision(self) -> None:
        recorded = RecordedWorld()
        recorded.world.start(3)
        with (
            mock.patch.object(capture_module, "encode_record", side_effect=ValueError("made up")),
            self.assertLogs("brambleusher.features.capture", "ERROR"),
        ):
            recorded.run_steps(5)
        self.assertGreater(len(recorded.world.actions), 3)


def segments(count: int, steps: int = 150) -> list[bytes]:
    """Return up to `count` consecutive segments as they are written to files."""
    files = output_queue()
    recorded = RecordedWorld(files=files)
    recorded.world.start(4)
    with mock.patch.object(capture_module, "MAX_SEGMENT_AGE_NS", 0):
        recorded.run_steps(steps)
    data = drain(files)
    cut = [found.start() for found in re.finditer(rb'(?m)^\{"ev":"start"', data)]
    return [data[a:b] for a, b in zip(cut, [*cut[1:], len(data)], strict=True)][:count]


class Files(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "captures"

    def check(self, paths: Sequence[Path]) -> int:
        """Check that each file can be rerun by itself, and return the total number of records."""
        records = 0
        for path in paths:
            out = io.StringIO()
            self.assertEqual(replay(str(path), out, io.StringIO()), SAME, out.getvalue())
            records += int(out.getvalue().split(" ")[0])
        return records

    def test_files_are_bounded_across_restarts_and_each_can_be_rerun(self) -> None:
        items = segments(60)
        other = self.folder / "capture-other-00000001.jsonl"
        self.folder.mkdir()
        other.write_text("another sidecar's")
        for start in range(4):
            sink = CaptureDirectorySink(str(self.folder), "n/0", 3, 3 * max(map(len, items)))
            self.assertEqual(sink.write(items[start * 15 : start * 15 + 15]), 0)
            mine = sorted(self.folder.glob("capture-n_0-*.jsonl"))
            self.assertLessEqual(len(mine), 3)
            self.assertGreater(self.check(mine), 0)
        self.assertGreater(int(mine[-1].stem.rpartition("-")[2]), 3)
        self.assertEqual(other.read_text(), "another sidecar's")

    def test_segments_in_a_row_share_a_file_and_a_gap_begins_one(self) -> None:
        items = segments(12)
        sink = CaptureDirectorySink(str(self.folder), "n0", 9, 1 << 30)
        sink.write(items[:4])
        (one,) = self.folder.iterdir()
        self.assertEqual(one.read_bytes().count(b'"ev":"start"'), 1)
        sink.write(items[6:8])
        self.assertEqual(len(list(self.folder.iterdir())), 2)
        one.unlink()
        newest = max(self.folder.iterdir())
        newest.unlink()  # the sink still has this path and must not create the file without a header
        sink.write(items[8:10])
        self.check(list(self.folder.iterdir()))
        self.assertEqual(len(list(self.folder.iterdir())), 1)

    def test_a_full_disk_costs_one_old_file_at_most(self) -> None:
        items = segments(12)
        sink = CaptureDirectorySink(str(self.folder), "n0", 3, 1)
        sink.write(items[:4])
        before = sorted(self.folder.iterdir())
        with (
            mock.patch.object(capture_module, "append_atomically", side_effect=OSError(28, "full")),
            self.assertLogs("brambleusher.features.capture", "ERROR") as logged,
        ):
            self.assertEqual(sink.write(items[4:8]), sum(item.count(b"\n") for item in items[4:8]))
        self.assertEqual(len(logged.output), 1)
        self.assertEqual(sorted(self.folder.iterdir()), before[1:])
        self.assertEqual(sink.write(items[8:]), 0)
        self.assertEqual(len(list(self.folder.iterdir())), 3)
        self.check(list(self.folder.iterdir()))

    def test_a_directory_that_can_not_be_written_is_logged_and_harms_nothing(self) -> None:
        blocked = self.folder.parent / "file"
        blocked.write_text("")
        node = Node()
        self.addCleanup(node.close)
        with self.assertLogs("brambleusher.features.capture", "ERROR") as logged:
            rig = Rig([node.entry("h0")], f"capture: {{dir: '{blocked}/x'}}")
            for n in range(5):
                self.assertEqual(rig.call(f"r{n}").status, 200)
            rig.end()
        self.assertEqual(len(logged.output), 1)
        self.assertIn("capture write failed", logged.output[0])

    def test_a_sidecar_that_ends_leaves_its_capture(self) -> None:
        node = Node()
        self.addCleanup(node.close)
        for _ in range(2):
            rig = Rig([node.entry("h0")], f"capture: {{dir: '{self.folder}', files: 1}}")
            for n in range(5):
                self.assertEqual(rig.call(f"r{n}").status, 200)
            rig.end()
        (path,) = self.folder.iterdir()
        self.assertGreater(self.check([path]), 10)


class CommandLine(unittest.TestCase):
    def run_command(self, *words: str) -> tuple[int, str]:
        done = subprocess.run(
            [sys.executable, "-m", "brambleusher", *words], capture_output=True, text=True, timeout=WAIT
        )
        return done.returncode, done.stdout + done.stderr

    def test_a_dump_of_a_running_sidecar_can_be_rerun_though_it_has_wrapped(self) -> None:
        script = answer(b"yes", "200 OK", 'Server-Load: {"util":0.31,"qps":17.25}')
        good, bad = Node(script), Node(reset)
        self.addCleanup(good.close)
        self.addCleanup(bad.close)
        rig = Rig([good.entry("h0"), bad.entry("h1")])
        self.addCleanup(rig.end)
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        (folder / "config.json").write_text(json.dumps(rig.config))
        (folder / "operator.yaml").write_text("capture: {ring_kb: 64}\nfigures: {flush_ms: 10}")
        program = subprocess.Popen(
            [sys.executable, "-m", "brambleusher", "--operator", str(folder / "operator.yaml")],
            env={**os.environ, "NODE_CONFIG": str(folder / "config.json")}, stderr=subprocess.PIPE,
        )  # fmt: skip
        self.addCleanup(program.communicate)
        self.addCleanup(program.kill)
        lines: queue.Queue[bytes] = queue.Queue()
        err = program.stderr
        assert err is not None
        threading.Thread(target=lambda: list(map(lines.put, err)), daemon=True).start()
        found = re.search(rb"address=(\S+):(\d+)", lines.get(timeout=WAIT))
        assert found
        where = found[1].decode(), int(found[2])
        until(lambda: ready(f"http://{where[0]}:{where[1]}/ready"))
        with mock.patch.object(rig, "address", where):
            for n in range(400):
                rig.call(f"r{n}", "look" if n % 5 else "move")
        self.assertEqual(self.run_command("capture", "dump", str(program.pid)), (0, ""))
        data = b""
        # The last request's record and the counters come from two queues to one pipe, in either order.
        while b'"id":"r399"' not in data or b"msg=counters why=asked" not in data:
            data += lines.get(timeout=WAIT)
        program.send_signal(signal.SIGTERM)
        self.assertEqual(program.wait(WAIT), 0)
        log = folder / "stderr"
        log.write_bytes(data)
        self.assertIn(b"msg=counters why=asked", data)
        head = json.loads(next(line for line in data.splitlines() if line.startswith(b'{"ev":"start"')))
        self.assertGreater(head["n"], 100)
        self.assertEqual([server["addr"] for server in head["list"]["servers"]], [good.address, bad.address])
        code, text = self.run_command("replay", str(log))
        self.assertEqual(code, SAME, text)
        self.assertRegex(text, r"\A[1-9]\d+ records, 0 differ\n\Z")
        log.write_bytes(data.replace(b'"server":"h0","in":{"left_ns"', b'"server":"h1","in":{"left_ns"', 1))
        self.assertEqual(self.run_command("replay", str(log))[0], DIFFERENT)

    def test_a_dump_is_asked_only_of_what_takes_the_signal(self) -> None:
        sleeper = subprocess.Popen([sys.executable, "-c", "input()"], stdin=subprocess.PIPE)
        self.addCleanup(sleeper.communicate)
        self.addCleanup(sleeper.kill)
        gone = subprocess.Popen([sys.executable, "-c", ""])
        gone.wait()
        for pid in (str(sleeper.pid), str(gone.pid), "0", "99999999999999999999"):
            code, text = self.run_command("capture", "dump", pid)
            self.assertEqual(code, 1, text)
        self.assertIsNone(sleeper.poll())
        for words in (
            ("capture",),
            ("capture", "dump"),
            ("capture", "dump", "x"),
            ("replay",),
            ("nonsense",),
        ):
            self.assertEqual(self.run_command(*words)[0], 2)


if __name__ == "__main__":
    unittest.main()
