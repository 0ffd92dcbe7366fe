"""Measure the slopes for docs/CAPACITY.md: how the memory and processor time of a sidecar grow.

Each figure is measured at four or more sizes and fitted by a straight line.  The table has the slope, the
value at size 0, and the largest residual as a fraction of the largest value.  A sidecar runs as a separate
process on loopback, with a discovery server and a node in this process; the operating system reports its
processor time and resident memory.  The decision library alone is measured in this process, with
`tracemalloc` for memory and the processor time of the thread.

    python -m benchmarks.capacity [--quick] [--only NAME[,NAME]]

`--quick` uses smaller sizes and takes less than a minute.  Exits with 1 if a process can't be measured.
"""

from __future__ import annotations

import argparse
import gc
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from brambleusher.loadbalancing import Balancer, api
from brambleusher.net.http import MessageReader

ROOT = Path(__file__).resolve().parent.parent
EVENT_TIMEOUT_S = 30.0  # time-out for an expected event, in seconds
QUIESCE_SECONDS = 1.0  # pause after which work in progress has ended, in seconds
IDLE_SECONDS = 2.0  # time over which the processor time of an idle sidecar is read, in seconds
SECOND = 10**9
STREAM_CHUNK = b"token-" * 4
ANSWER = (
    b'HTTP/1.1 200 OK\r\nServer-Load: {"qps":41.2,"util":0.31}\r\nContent-Length: 16\r\n\r\n0123456789abcdef'
)


class MeasureError(Exception):
    """A process could not be measured."""


@dataclass(frozen=True, slots=True)
class Fit:
    """A straight line fitted to measured values."""

    slope: float
    at_zero: float
    residual: float  # largest residual, as a fraction of the largest value


def fit(points: list[tuple[float, float]]) -> Fit:
    """Fit a straight line by least squares."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    at_zero = mean_y - slope * mean_x
    largest = max(abs(y) for _, y in points) or 1.0
    return Fit(slope, at_zero, max(abs(y - at_zero - slope * x) for x, y in points) / largest)


# --- a discovery server and a node in this process ------------------------------------------------


def entry(number: int, address: str, state: str = "Ready") -> dict[str, Any]:
    """Return an endpoint entry in the format of discovery."""
    return {
        "id": f"s-{number:08x}", "addr": address, "zone": f"zone-{number % 86}", "kind": "m2",
        "cell": number % 7, "state": state, "weight": 1.0, "started_ms": 0,
    }  # fmt: skip


class Server:
    """A listener on loopback with a thread per connection."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._guarded, args=(sock,), daemon=True).start()

    def _guarded(self, sock: socket.socket) -> None:
        try:
            self.serve(sock)
        except OSError:
            return

    def serve(self, sock: socket.socket) -> None:
        """Serve one connection."""
        raise NotImplementedError

    def close(self) -> None:
        """Stop accepting connections."""
        self.listener.close()


class Discovery(Server):
    """A discovery server that sends each watch the whole list, then changes."""

    def __init__(self, servers: list[dict[str, Any]]) -> None:
        self.list_line = json.dumps({"version": 1, "full": True, "servers": servers}).encode()
        self.watches: list[socket.socket] = []
        super().__init__()

    def serve(self, sock: socket.socket) -> None:
        """Serve one watch, with a heartbeat every second."""
        sock.recv(65536)
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + self.chunk(self.list_line))
        self.watches.append(sock)
        while True:
            time.sleep(1.0)
            sock.sendall(self.chunk(b""))

    @staticmethod
    def chunk(line: bytes) -> bytes:
        """Return a line as an HTTP chunk."""
        return b"%x\r\n%s\n\r\n" % (len(line) + 1, line)

    def change(self, version: int, changed: dict[str, Any]) -> int:
        """Send a change of one endpoint to all watches; returns its size in bytes."""
        text = self.chunk(json.dumps({"version": version, "full": False, "servers": [changed]}).encode())
        self.watches[-1].sendall(text)
        return len(text)


class Node(Server):
    """A node that responds at once; `/stream` responds in as many chunks as the query states."""

    def serve(self, sock: socket.socket) -> None:
        """Serve the requests of a connection in turn."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = MessageReader.requests()
        while data := sock.recv(65536):
            reader.feed(data)
            while (request := reader.take()) is not None:
                found = re.search(r"pieces=(\d+)", request.start[1])
                if found is None:
                    sock.sendall(ANSWER)
                else:
                    self._stream(sock, int(found[1]))

    @staticmethod
    def _stream(sock: socket.socket, pieces: int) -> None:
        encoded_chunk = b"%x\r\n%s\r\n" % (len(STREAM_CHUNK), STREAM_CHUNK)
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + encoded_chunk)
        time.sleep(0.4)  # the sidecar holds a response of unknown length for 0.3 s before forwarding
        for _ in range(pieces - 1):
            sock.sendall(encoded_chunk)
            time.sleep(0.0005)  # pause between chunks, as between the tokens of a model
        sock.sendall(b"0\r\n\r\n")


# --- a sidecar as a process -----------------------------------------------------------------------

SETTINGS: dict[str, Any] = {
    "zone": "zone-0", "fleet_size": 400, "membership_mode": "automatic",
    "classes": [
        {"name": "ask", "promise_ns": SECOND, "give_up_ns": 20 * SECOND, "effect": "read_like", "worth": 1.0}
    ],
    "limits": {
        "max_attempts": 3, "max_retry_after_ns": 2 * SECOND, "retry_after": True,
        "connect_timeout_ns": 250_000_000, "conn_idle_ns": 30 * SECOND,
    },
    "safety": {
        "drain_grace_ns": 500_000_000, "must_ask_in_ns": 10 * SECOND, "cold_ns": 21 * SECOND,
        "start_capacity": 0.17, "fall_multiple": 4.0, "fall_ns": 3 * SECOND,
    },
    "telemetry": {"names": ["throughput", "utilization"]},
}  # fmt: skip


class Sidecar:
    """A sidecar process, with the operating system's figures for it."""

    def __init__(self, endpoints: int) -> None:
        self.node = Node()
        servers = [entry(number, self.node.address) for number in range(endpoints)]
        self.discovery = Discovery(servers)
        self.folder = tempfile.TemporaryDirectory()
        path = Path(self.folder.name) / "config.json"
        path.write_text(json.dumps(self._config()), encoding="utf-8")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "brambleusher"], cwd=ROOT, stderr=subprocess.PIPE, text=True,
            env={**os.environ, "NODE_CONFIG": str(path)},
        )  # fmt: skip
        assert self.process.stderr is not None
        found = re.search(r"msg=listening .*address=(\S+):(\d+)", self.process.stderr.readline())
        if found is None:
            raise MeasureError("the sidecar did not listen")
        self.address = found[1], int(found[2])
        threading.Thread(target=self.process.stderr.read, daemon=True).start()
        self._await_ready()

    def _config(self) -> dict[str, Any]:
        return {
            "name": "n0", "listen": "127.0.0.1:0", "discovery": self.discovery.address, "seed": "2a",
            "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 4096}, "settings": SETTINGS,
        }  # fmt: skip

    def _await_ready(self) -> None:
        until = time.monotonic() + EVENT_TIMEOUT_S
        while True:
            with socket.create_connection(self.address, EVENT_TIMEOUT_S) as sock:
                sock.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                if sock.recv(4096).startswith(b"HTTP/1.1 200"):
                    return
            if time.monotonic() > until:
                raise MeasureError(f"not ready within {EVENT_TIMEOUT_S:g} s")
            time.sleep(0.02)

    def cpu_s(self) -> float:
        """Processor time used so far, in seconds with nanosecond resolution."""
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text("ascii").split()[0]) / SECOND

    def memory_mb(self) -> float:
        """Return the resident memory in MB."""
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text("ascii").split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def send_request(self, sock: socket.socket, name: str, query: str = "") -> None:
        """Send one request and read the whole response."""
        text = (
            f"GET /ask{query} HTTP/1.1\r\nHost: x\r\nRequest-Id: {name}\r\nRequest-Class: ask\r\n"
            "Request-Timeout-Ms: 20000\r\n\r\n"
        )
        sock.sendall(text.encode())
        reader = MessageReader.responses()
        while reader.take() is None:
            data = sock.recv(65536)
            if not data:
                raise MeasureError(f"{name} was not answered")
            reader.feed(data)

    def connect(self) -> socket.socket:
        """Open a client connection."""
        sock = socket.create_connection(self.address, EVENT_TIMEOUT_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def close(self) -> None:
        """End the process."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait(EVENT_TIMEOUT_S)
        self.node.close()
        self.discovery.close()
        self.folder.cleanup()


@contextmanager
def sidecar(endpoints: int) -> Iterator[Sidecar]:
    """Start a sidecar and yield it once it is ready."""
    made = Sidecar(endpoints)
    try:
        yield made
    finally:
        made.close()


# --- measurements ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Row:
    """One figure: its independent variable, the sizes, and the unit of its slope."""

    name: str
    unit: str
    points: list[tuple[float, float]]


def list_costs(sizes: list[int]) -> list[Row]:
    """Measure memory, idle processor time and bytes by the number of endpoints in the list."""
    memory, idle, text = [], [], []
    for size in sizes:
        with sidecar(size) as one:
            time.sleep(QUIESCE_SECONDS)
            memory.append((float(size), one.memory_mb() * 1e6))
            before = one.cpu_s()
            time.sleep(IDLE_SECONDS)
            idle.append((float(size), (one.cpu_s() - before) / IDLE_SECONDS * 1e6))
            text.append((float(size), float(len(one.discovery.list_line))))
    return [
        Row("memory, by endpoints of the list", "bytes", memory),
        Row("idle processor time, by endpoints", "us a second", idle),
        Row("whole list on the wire, by endpoints", "bytes", text),
    ]


def changes(sizes: list[int], endpoints: int) -> list[Row]:
    """Measure processor time and bytes by the number of changes of one endpoint each."""
    points, sent = [], []
    with sidecar(endpoints) as one:
        time.sleep(QUIESCE_SECONDS)
        idle = _idle_rate(one)
        version = 1
        for size in sizes:
            started, before, sent_bytes = time.monotonic(), one.cpu_s(), 0
            for number in range(size):
                version += 1
                state = "Terminating" if number % 2 else "Ready"
                sent_bytes += one.discovery.change(
                    version, entry(number % endpoints, one.node.address, state)
                )
                time.sleep(0.002)
            time.sleep(0.2)
            passed = time.monotonic() - started
            points.append((float(size), (one.cpu_s() - before - idle * passed) * 1e6))
            sent.append((float(size), float(sent_bytes)))
    return [
        Row(f"processor time, by changes of one endpoint of {endpoints}", "us", points),
        Row("bytes received, by changes of one endpoint", "bytes", sent),
    ]


def _idle_rate(one: Sidecar) -> float:
    before = one.cpu_s()
    time.sleep(IDLE_SECONDS)
    return (one.cpu_s() - before) / IDLE_SECONDS


def connections(sizes: list[int]) -> list[Row]:
    """Measure memory by the number of client connections that are idle after one request."""
    points = []
    with sidecar(12) as one:
        for size in sizes:
            socks = [one.connect() for _ in range(size)]
            for number, sock in enumerate(socks):
                one.send_request(sock, f"c{size}-{number}")
            points.append((float(size), one.memory_mb() * 1e6))
            for sock in socks:
                sock.close()
    return [Row("memory, by clients' connections", "bytes", points)]


def requests(sizes: list[int], endpoints: int) -> list[Row]:
    """Measure processor time by the number of small requests, sent one after another."""
    points = []
    with sidecar(endpoints) as one, one.connect() as sock:
        for size in sizes:
            before = one.cpu_s()
            for number in range(size):
                one.send_request(sock, f"r{size}-{number}")
            points.append((float(size), (one.cpu_s() - before) * 1e6))
    return [Row(f"processor time, by requests, {endpoints} endpoints", "us", points)]


def pieces(sizes: list[int]) -> list[Row]:
    """Measure processor time by the number of small chunks of a response."""
    points = []
    with sidecar(12) as one:
        for size in sizes:
            with one.connect() as sock:
                before = one.cpu_s()
                one.send_request(sock, f"p{size}", f"?pieces={size}")
                points.append((float(size), (one.cpu_s() - before) * 1e6))
    return [Row("processor time, by pieces of a streamed answer", "us", points)]


def decisions(what: str, sizes: list[int], count: int) -> list[Row]:
    """Measure memory and processor time of the decision library by classes, tenants or zones."""
    memory, cost = [], []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        balancer = _balancer(what, size)
        _drive(balancer, what, size, 50)
        memory.append((float(size), float(tracemalloc.get_traced_memory()[0])))
        tracemalloc.stop()
        before = time.thread_time()
        _drive(balancer, what, size, count)
        cost.append((float(size), (time.thread_time() - before) / count * 1e6))
        del balancer
    return [
        Row(f"decisions: memory, by {what}", "bytes", memory),
        Row(f"decisions: processor time of a request, by {what}", "us", cost),
    ]


def _balancer(what: str, size: int) -> Balancer:
    classes = size if what == "classes" else 3
    tenants = size if what == "tenants" else 2
    zones = size if what == "zones" else 4
    settings = api.Settings(
        zone="zone-0", fleet_size=400, max_attempts=3,
        classes=tuple(api.RequestClass(f"c{n}", SECOND, 4 * SECOND, 1.0 + n) for n in range(classes)),
        tenants=tuple(api.Tenant(f"t{n}", 1 / tenants, 100.0) for n in range(tenants)),
    )  # fmt: skip
    balancer = Balancer(settings, 7)
    balancer.start(SECOND)
    entries = [api.HostEntry(f"h{n}", f"zone-{n % zones}", "k", 0, api.HostState.READY) for n in range(1000)]
    balancer.handle(api.HostListUpdated(api.ListKind.SAVED, entries), SECOND)
    return balancer


def _drive(balancer: Balancer, what: str, size: int, count: int) -> None:
    rng = random.Random(3)
    classes = size if what == "classes" else 3
    tenants = size if what == "tenants" else 2
    now, due = balancer.ticked_ns + 1, 0
    for number in range(count):
        now += 1_000_000
        if now >= due:
            for action in balancer.handle(api.TimerFired(0), now):
                due = action.at_ns if isinstance(action, api.SetTimer) else due
        name = f"{what}{now}-{number}"
        event = api.RequestArrived(
            name, f"c{rng.randrange(classes)}", f"t{rng.randrange(tenants)}", 4 * SECOND
        )
        for action in balancer.handle(event, now):
            if isinstance(action, api.StartAttempt):
                ended = api.AttemptEnded(
                    name, 0, action.host, api.AttemptStatus.OK, 1_000_000, True, api.LoadReport(0.4, 30.0)
                )
                balancer.handle(ended, now + 500_000)


def measures(quick: bool) -> dict[str, Callable[[], list[Row]]]:
    """Return all measurements by the name that `--only` accepts."""
    small = quick
    return {
        "lists": lambda: list_costs(
            [12, 1000, 2500, 5000] if small else [12, 1000, 2750, 5500, 11000, 20000]
        ),
        "changes": lambda: changes([100, 200, 400, 800] if small else [250, 500, 1000, 2000, 4000], 5000),
        "connections": lambda: connections([50, 100, 150, 200] if small else [50, 100, 200, 400, 600]),
        "requests": lambda: requests([500, 1000, 1500, 2000] if small else [1000, 2000, 4000, 8000], 5000),
        "pieces": lambda: pieces([500, 1000, 1500, 2000] if small else [1000, 2000, 4000, 8000]),
        "classes": lambda: decisions("classes", [3, 13, 50, 100], 2000 if small else 10000),
        "tenants": lambda: decisions("tenants", [2, 50, 200, 460], 2000 if small else 10000),
        "zones": lambda: decisions("zones", [4, 24, 86, 200], 2000 if small else 10000),
    }


def show(row: Row) -> None:
    """Format a row of the table, followed by the measured values."""
    line = fit(row.points)
    print(f"| {row.name} | {line.slope:.4g} {row.unit} | {line.at_zero:.4g} | {line.residual:.1%} |")
    print("|   " + ", ".join(f"{x:g}: {y:.4g}" for x, y in row.points) + " | | | |", flush=True)


def main() -> int:
    """Run the measurements and print the table."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.capacity")
    parser.add_argument("--quick", action="store_true", help="smaller sizes, less than a minute")
    parser.add_argument("--only", default="", help="names, with commas: " + ", ".join(measures(True)))
    given = parser.parse_args()
    all_of_them = measures(given.quick)
    names = [name for name in given.only.split(",") if name] or list(all_of_them)
    for name in names:
        if name not in all_of_them:
            parser.error(f"--only: {name!r} is none of {', '.join(all_of_them)}")
    print("| figure | for one more | at 0 | largest residual |\n| --- | --- | --- | --- |")
    try:
        for name in names:
            for row in all_of_them[name]():
                show(row)
    except (MeasureError, OSError) as error:
        print(f"can't be measured: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
