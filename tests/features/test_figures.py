"""Test metrics, and the output queues that metrics share with captures and the log."""

from __future__ import annotations

import fcntl
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
import urllib.request
from collections.abc import Callable
from pathlib import Path
from unittest import mock

from brambleusher.features.metrics_reporter import InfluxFormat, StatsdFormat
from brambleusher.features.output_queue import ITEM_BYTES, OutputWriter
from brambleusher.operator_settings.configuration import MetricsSettings, MetricsTarget, parse_operator_file
from brambleusher.operator_settings.section import OperatorFileError
from brambleusher.runtime import sinks
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.sinks import DescriptorSink, FileSink, append_atomically, line_chunks
from brambleusher.runtime.system import Item
from tests.rig import WAIT, Node, Rig, answer, reset


def until(true: Callable[[], bool]) -> None:
    """Wait until a condition is true; fail after `WAIT` seconds."""
    end = time.monotonic() + WAIT
    while not true():
        assert time.monotonic() < end
        time.sleep(0.002)


class Settings(unittest.TestCase):
    def test_defaults_and_faults(self) -> None:
        for text in (b"figures:", b"figures: {}"):
            self.assertEqual(
                parse_operator_file(text).metrics, MetricsSettings("statsd", MetricsTarget(), 1000, 64)
            )
        for target, meant in (
            ("file:/a b", MetricsTarget("file", path="/a b")),
            ("udp:192.0.2.1:8125", MetricsTarget("udp", address=("192.0.2.1", 8125))),
            ("udp:[::1]:8125", MetricsTarget("udp", address=("::1", 8125))),
        ):
            settings = parse_operator_file(f'figures: {{target: "{target}"}}'.encode()).metrics
            self.assertEqual(settings and settings.target, meant)
        for key, value in (
            ("format", "json"), ("target", "tcp:a:1"), ("target", '"file:"'), ("target", "udp:a"),
            ("target", "udp:a:0"), ("target", "1"), ("flush_ms", "0"), ("flush_ms", "1.5"),
            ("flush_ms", "true"), ("buffer_kb", "-1"), ("buffer", "1"),
        ):  # fmt: skip
            with (
                self.subTest(key=key, value=value),
                self.assertRaisesRegex(OperatorFileError, f"figures.{key}"),
            ):
                parse_operator_file(f"figures: {{{key}: {value}}}".encode())


class Lines(unittest.TestCase):
    def test_statsd(self) -> None:
        for tags, line in (
            (("price-check", "peach-seats"), "attempt_ms:212|ms|#class:price-check,tenant:peach-seats"),
            (("a|b,c#d:e", "f\ng h\\"), "attempt_ms:212|ms|#class:a_b_c_d_e,tenant:f_g_h_"),
        ):
            made = StatsdFormat().line("attempt_ms", "ms", 212, StatsdFormat().tags(tags), 5)
            self.assertEqual(made.decode(), f"brambleusher.{line}\n")

    def test_influx(self) -> None:
        influx = InfluxFormat()
        tags = influx.tags(("a b,c=d", "e\nf\\"))
        lines = [influx.line("attempt_ms", "ms", 212, tags, at) for at in (7, 7, 6, 20)]
        start = "brambleusher.attempt_ms,class=a\\ b\\,c\\=d,tenant=e_f_ value=212i "
        self.assertEqual([line.decode() for line in lines], [f"{start}{at}\n" for at in (7, 8, 9, 20)])


class BlockingSink:
    """A sink whose writes block until its `open` event is set."""

    def __init__(self) -> None:
        self.open, self.taken = threading.Event(), threading.Event()
        self.got: list[Item] = []

    def write(self, items: list[Item]) -> int:
        self.taken.set()
        self.open.wait(WAIT)
        self.got += items
        return 1 if b"bad\n" in items else 0

    def close(self) -> None:
        self.got.append(b"closed")


class Lanes(unittest.TestCase):
    def test_a_full_lane_drops_its_oldest_lines_and_counts_them(self) -> None:
        blocking_sink = BlockingSink()
        out = OutputWriter(blocking_sink, "gate", RealSystem())
        output_queue = out.add_queue(10 * (ITEM_BYTES + 4))
        output_queue.put([b"bad\n"])
        self.assertTrue(blocking_sink.taken.wait(WAIT))
        output_queue.put([b"%03d\n" % n for n in range(30)])  # nine lines fit beside the one being written
        output_queue.put_without_wake(b"x" * 10_000 + b"\n")  # this line exceeds the limit of the whole queue
        self.assertEqual(output_queue.take_lost_count(), 31)
        output_queue.put([b"%03d\n" % n for n in range(30)])
        blocking_sink.open.set()
        out.close(WAIT)
        self.assertEqual(blocking_sink.got, [b"bad\n", *(b"%03d\n" % n for n in range(21, 30)), b"closed"])
        self.assertEqual(output_queue.take_lost_count(), 22)

    def test_lines_wait_for_the_flush_or_for_half_a_lane(self) -> None:
        blocking_sink = BlockingSink()
        blocking_sink.open.set()
        out = OutputWriter(blocking_sink, "gate", RealSystem())
        self.addCleanup(out.close)
        output_queue = out.add_queue(10 * (ITEM_BYTES + 4))
        output_queue.put_without_wake(b"000\n")
        self.assertFalse(output_queue.is_flush_due)
        for _ in range(5):
            output_queue.put_without_wake(b"000\n")
        until(lambda: len(blocking_sink.got) == 6)
        output_queue.put_without_wake(b"111\n")
        output_queue.flush()
        until(lambda: len(blocking_sink.got) == 7)

    def test_pieces_are_of_whole_lines(self) -> None:
        items = [b"a\n", b"bb\ncc\n", b"d" * 9 + b"\n", b"e\n"]
        self.assertEqual(list(line_chunks(items, 6)), [b"a\nbb\n", b"cc\n", b"d" * 9 + b"\n", b"e\n"])

    def test_a_full_disk_leaves_no_half_line(self) -> None:
        with tempfile.TemporaryFile() as file:
            file.write(b"whole\n")
            file.flush()
            real = os.write

            def full(fd: int, data: bytes) -> int:
                return real(fd, data[:2]) if len(data) == 5 else real(-1, b"")

            with mock.patch.object(os, "write", full), self.assertRaises(OSError):
                append_atomically(file.fileno(), b"half\n")
            self.assertEqual(os.pread(file.fileno(), 99, 0), b"whole\n")

    def test_what_can_not_be_written_to_is_lost_and_never_waited_for(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            fifo = f"{folder}/fifo"
            os.mkfifo(fifo)
            for sink in (FileSink(fifo), FileSink(folder), FileSink(f"{folder}/no/such"), DescriptorSink(-1)):
                self.assertEqual(sink.write([b"a\nb\n", b"c\n"]), 3)


class OnSockets(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.file = self.folder / "figures"

    def rig(self, operator: str, node: Node | None = None) -> Rig:
        node = node or Node()
        self.addCleanup(node.close)
        rig = Rig([node.entry("h0")], operator)
        self.addCleanup(rig.end)
        return rig

    def test_requests_answers_and_attempts_are_told_by_class_and_tenant(self) -> None:
        node = Node()
        rig = self.rig(f"figures: {{target: 'file:{self.file}', flush_ms: 10}}", node)
        rig.call("a")
        rig.call("b")
        node.script = reset
        rig.call("c", "move")

        def total(name: str, tags: str) -> int:
            found = re.findall(rf"^brambleusher\.{name}:(\d+)\|c\|#{tags}$", self.file.read_text(), re.M)
            return sum(map(int, found))

        look, move = "class:look,tenant:none", "class:move,tenant:none"
        until(lambda: self.file.exists() and total("answers_failed", move) == 1)
        self.assertEqual(
            [total(name, look) for name in ("requests", "answers", "answers_served", "answers_late")],
            [2, 2, 2, 0],
        )
        text = self.file.read_text()
        self.assertEqual(len(re.findall(rf"^brambleusher\.attempt_ms:\d+\|ms\|#{look}$", text, re.M)), 2)
        self.assertEqual(len(re.findall(rf"^brambleusher\.attempt_ms:\d+\|ms\|#{move}$", text, re.M)), 1)
        until(lambda: self.file.read_text().rstrip().endswith(f"inflight:0|g|#{move}"))
        self.assertEqual(rig.sidecar.counters.count("figures_dropped"), 0)

    def test_late_answers_are_counted(self) -> None:
        rig = self.rig(f"figures: {{target: 'file:{self.file}', flush_ms: 10, format: influx}}")
        figures = rig.sidecar.metrics_reporter
        assert figures is not None
        with mock.patch.dict(figures._latency_targets_ns, {"look": 0}):  # every answer takes longer
            rig.call("a")
        until(lambda: self.file.exists() and "answers_late,class=look" in self.file.read_text())
        self.assertRegex(
            self.file.read_text(), r"(?m)^brambleusher.answers_late,class=look,tenant=none value=1i \d+$"
        )

    def test_a_file_made_unwritable_loses_lines_counts_them_and_heals(self) -> None:
        rig = self.rig(f"figures: {{target: 'file:{self.file}', flush_ms: 10}}")
        rig.call("a")
        until(self.file.exists)
        self.file.rename(self.folder / "moved")
        self.file.mkdir()
        before = rig.sidecar.counters.count("figures_dropped")
        self.assertEqual(rig.call("b").status, 200)
        until(lambda: rig.sidecar.counters.count("figures_dropped") > before)
        self.assertEqual(rig.call("c").status, 200)
        self.file.rmdir()
        rig.call("d")
        until(lambda: self.file.is_file() and "figures_dropped:" in self.file.read_text())

    def test_a_collector_gets_datagrams_of_whole_lines(self) -> None:
        collector = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(collector.close)
        collector.bind(("127.0.0.1", 0))
        collector.settimeout(WAIT)
        port = collector.getsockname()[1]
        rig = self.rig(f"figures: {{target: 'udp:127.0.0.1:{port}', flush_ms: 300}}")
        for n in range(60):
            rig.call(f"r{n}")
        seen = 0
        while seen < 60:
            data = collector.recv(65536)
            self.assertLessEqual(len(data), sinks.MAX_DATAGRAM)
            self.assertRegex(data.decode(), r"\A(brambleusher\.\w+:\d+\|\w+(\|#[\w:,-]+)?\n)+\Z")
            seen += data.count(b"attempt_ms")
        collector.close()  # datagrams sent from now on are lost
        rig.call("after")
        until(lambda: rig.sidecar.counters.count("figures_dropped") > 0)
        self.assertEqual(rig.call("last").status, 200)

    def test_standard_error_that_nobody_reads_blocks_no_request(self) -> None:
        """Guards against a log line that blocks on a pipe that metrics have filled."""
        node = Node(answer(b"yes"))
        self.addCleanup(node.close)
        rig = Rig([node.entry("h0")])  # only its discovery service and its configuration are used
        self.addCleanup(rig.end)
        (self.folder / "config.json").write_text(json.dumps(rig.config))
        (self.folder / "operator.yaml").write_text("figures: {buffer_kb: 4, flush_ms: 10}")
        reader, writer = os.pipe()
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
        program = subprocess.Popen(
            [sys.executable, "-m", "brambleusher", "--operator", str(self.folder / "operator.yaml")],
            env={**os.environ, "NODE_CONFIG": str(self.folder / "config.json")}, stderr=writer,
        )  # fmt: skip
        self.addCleanup(program.wait)
        self.addCleanup(program.kill)
        os.close(writer)
        log = self.enterContext(open(reader, "rb"))
        listening = log.readline().decode()
        found = re.search(r"address=(\S+):(\d+)", listening)
        assert found, listening
        until(lambda: ready(f"http://{found[1]}:{found[2]}/ready"))
        with mock.patch.object(rig, "address", (found[1], int(found[2]))):
            for n in range(200):  # 70 bytes per request are many times what the pipe and the queue hold
                if n % 10 == 0:
                    program.send_signal(signal.SIGUSR1)  # makes the sidecar write a log line
                self.assertEqual(rig.call(f"r{n}").status, 200)
        program.send_signal(signal.SIGTERM)
        lines = log.read().decode().splitlines()
        self.assertEqual(program.wait(WAIT), 0)
        for line in lines:
            self.assertRegex(line, r"\A(time=\S+ level=.*|brambleusher\.\w+:\d+\|\w+(\|#[\w:,-]+)?)\Z")
        self.assertRegex(lines[-1], r"why=exit .*answers_served=200 .*figures_dropped=[1-9]")


def ready(url: str) -> bool:
    try:
        with urllib.request.urlopen(url, timeout=WAIT):
            return True
    except OSError:
        return False


if __name__ == "__main__":
    unittest.main()
