"""Measure the cost of a request in a sidecar as processor time reported by the operating system.

Starts a server that responds at once, and in turn places each subject between the server and a client with a
few kept connections: the sidecar as deployed (metrics and capture on), the bare sidecar, a bare relay, and
with `--against DIR` the sidecar of another checkout.  A subject is a process pinned to one core; server and
client share another.  Prints microseconds of processor time per request (user and system) for each round,
with the medians and their ratios.

    python -m benchmarks.request_cost [--against DIR] [--rounds 5] [--requests 4000] [--cores 3,4]
"""

from __future__ import annotations

import argparse
import json
import os
import re
import select
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
WAIT = 30.0
CONNECTIONS, NODES = 8, 12
BODY = b'{"listing":"4569004829183723","price_cents":12500,"section":"F","row":12,"seat":7}' * 2
ANSWER = (
    b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nServer-Load: {"qps":41.2,"util":0.31}\r\n'
    b"Content-Length: %d\r\n\r\n%s" % (len(BODY), BODY)
)
CLASSES = (("listing-lookup", 1.0, "read_like"), ("price-check", 5.0, "read_like"))
SETTINGS: dict[str, Any] = {
    "zone": "a", "fleet_size": 1, "membership_mode": "subscribe", "worth_by": "work",
    "classes": [
        {"name": name, "promise_ns": 10**9, "give_up_ns": 2 * 10**9, "effect": effect, "worth": worth,
         "late_worth": 0.2}
        for name, worth, effect in CLASSES
    ],
    "limits": {
        "max_attempts": 6, "max_retry_after_ns": 2 * 10**9, "retry_after": True, "cancel": True,
        "second_copies": True, "connect_timeout_ns": 250_000_000, "conn_idle_ns": 30 * 10**9,
    },
    "projects": [{"name": "peach-seats", "portion": 1.0, "quota_rps": 1e6}],
    "safety": {
        "drain_grace_ns": 5 * 10**8, "must_ask_in_ns": 10**10, "cold_ns": 21 * 10**9,
        "start_capacity": 0.17, "fall_multiple": 4.0, "fall_ns": 3 * 10**9,
    },
    "telemetry": {"names": ["throughput", "utilization"]},
}  # fmt: skip


@dataclass(frozen=True)
class Subject:
    """A program between client and server."""

    name: str
    root: Path
    arguments: tuple[str, ...]
    relay: bool = False


def listed(port: int) -> dict[str, Any]:
    """Return an endpoint list with a name for each connection, all for the one server."""
    return {
        "version": 1, "full": True,
        "servers": [
            {"id": f"h{n}", "addr": f"127.0.0.1:{port}", "zone": "a", "kind": "k", "cell": 0,
             "state": "Ready", "weight": 1.0, "started_ms": 0}
            for n in range(NODES)
        ],
    }  # fmt: skip


class Answerer:
    """The process of the server and of discovery, which lists that server."""

    def __init__(self, cores: set[int]) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-c", "from benchmarks.request_cost import answer; answer()"],
            cwd=ROOT, stdout=subprocess.PIPE, text=True,
        )  # fmt: skip
        os.sched_setaffinity(self._process.pid, cores)
        assert self._process.stdout is not None
        self.port = int(self._process.stdout.readline())

    def close(self) -> None:
        """End the process."""
        self._process.kill()
        self._process.wait(WAIT)


def answer() -> None:
    """Respond to every request at once; a watch receives the list and stays open."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=256)
    listener.setblocking(False)
    port = listener.getsockname()[1]
    print(port, flush=True)
    line = json.dumps(listed(port)).encode() + b"\n"
    watch = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(line), line)
    poll = select.poll()
    poll.register(listener, select.POLLIN)
    socks: dict[int, socket.socket] = {}
    watchers: list[socket.socket] = []
    fed = time.monotonic()
    while True:
        ready = poll.poll(500)
        if time.monotonic() - fed > 1.0:  # a watch without data for some seconds counts as dead
            fed = time.monotonic()
            for sock in watchers:
                try:
                    sock.send(b"1\r\n\n\r\n")
                except OSError:
                    continue
        for fd, _ in ready:
            if fd == listener.fileno():
                sock, _ = listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                socks[sock.fileno()] = sock
                poll.register(sock, select.POLLIN)
                continue
            sock = socks[fd]
            try:
                data = sock.recv(65536)
            except OSError:
                data = b""
            if not data:
                poll.unregister(fd)
                socks.pop(fd).close()
                watchers = [each for each in watchers if each is not sock]
            elif data.startswith(b"GET /v1/endpoints"):
                sock.sendall(watch)
                watchers.append(sock)
            else:
                sock.sendall(ANSWER)


def spent_us(pid: int) -> float:
    """Return the processor time of a process so far (all threads, user and system), in microseconds.

    Reads the kernel clock of the process, as clock_getcpuclockid(3) identifies it.  That clock has nanosecond
    resolution, while /proc counts in hundredths of a second.
    """
    return time.clock_gettime_ns((~pid << 3) | 2) / 1e3


def drive(port: int, requests: int, first: int) -> None:
    """Send requests over a few kept connections, the next on each after the response."""
    poll = select.poll()
    socks: dict[int, socket.socket] = {}
    pending: dict[int, bytes] = {}
    sent = 0

    def ask(fd: int) -> None:
        nonlocal sent
        name = CLASSES[sent % len(CLASSES)][0]
        socks[fd].sendall(
            f"GET /{name}?listing={sent} HTTP/1.1\r\nHost: api.internal\r\n"
            f"Request-Id: {first + sent:016x}\r\nRequest-Class: {name}\r\nTenant: peach-seats\r\n"
            f"Request-Timeout-Ms: 1900\r\nWork-Hint: 62000\r\n\r\n".encode()
        )
        sent += 1

    for _ in range(CONNECTIONS):
        sock = socket.create_connection(("127.0.0.1", port), WAIT)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        socks[sock.fileno()], pending[sock.fileno()] = sock, b""
        poll.register(sock, select.POLLIN)
        ask(sock.fileno())
    done = 0
    while done < requests:
        for fd, _ in poll.poll(WAIT * 1000) or [(-1, 0)]:
            if fd < 0:
                raise SystemExit("the subject does not answer")
            data = socks[fd].recv(65536)
            pending[fd] += data
            if not data:
                raise SystemExit("the subject closed a connection")
            if not pending[fd].endswith(BODY):
                if b" 200 " not in pending[fd][:16]:
                    raise SystemExit(f"the subject answered {pending[fd][:60]!r}")
                continue
            pending[fd], done = b"", done + 1
            if sent < requests:
                ask(fd)
    for sock in socks.values():
        sock.close()


class Running:
    """A running subject."""

    def __init__(self, subject: Subject, server: int, cores: set[int], folder: str) -> None:
        if subject.relay:
            command = [sys.executable, "-m", "benchmarks.relay", "0", str(server)]
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE)
            assert self.process.stdout is not None
            self.port = int(self.process.stdout.readline())
        else:
            config = {
                "name": "n0", "listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{server}", "seed": "1",
                "known": listed(server), "settings": SETTINGS,
            }  # fmt: skip
            path, log = Path(folder) / f"{subject.name}.json", Path(folder) / f"{subject.name}.log"
            path.write_text(json.dumps(config), encoding="utf-8")
            with log.open("wb") as errors:
                self.process = subprocess.Popen(
                    [sys.executable, "-m", "brambleusher", *subject.arguments],
                    cwd=subject.root, env={**os.environ, "NODE_CONFIG": str(path)}, stderr=errors,
                )  # fmt: skip
            self.port = self._found(log)
        os.sched_setaffinity(self.process.pid, cores)
        for task in Path(f"/proc/{self.process.pid}/task").iterdir():
            os.sched_setaffinity(int(task.name), cores)

    def _found(self, log: Path) -> int:
        until = time.monotonic() + WAIT
        while (found := re.search(r"msg=listening .*address=\S+:(\d+)", log.read_text())) is None:
            if self.process.poll() is not None or time.monotonic() > until:
                raise SystemExit(f"the sidecar did not start: {log.read_text()[-400:]}")
            time.sleep(0.02)
        return int(found[1])

    def cost(self, requests: int) -> float:
        """Return microseconds per request, after a warm-up with a tenth of the requests."""
        drive(self.port, max(requests // 10, CONNECTIONS), 1 << 40)
        before = spent_us(self.process.pid)
        drive(self.port, requests, 1)
        return (spent_us(self.process.pid) - before) / requests

    def close(self) -> None:
        """End the process."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait(WAIT)


def main() -> None:
    """Measure the subjects in turn and print a table."""
    words = argparse.ArgumentParser(description="Processor time a request, in turn.")
    words.add_argument("--against", type=Path, help="another checkout, with the same interpreter")
    words.add_argument("--rounds", type=int, default=5)
    words.add_argument("--requests", type=int, default=4000)
    words.add_argument("--cores", default="", help="one for the subject, the others for the rest: 3,4")
    given = words.parse_args()
    cores = [int(core) for core in given.cores.split(",") if core] or sorted(os.sched_getaffinity(0))[:2]
    subject_cores, other_cores = {cores[0]}, set(cores[1:]) or {cores[0]}
    deployed = ("--operator", "deploy/operator.yaml")
    subjects = [
        Subject("deployed", ROOT, deployed),
        Subject("bare", ROOT, ()),
        Subject("relay", ROOT, (), relay=True),
    ]
    if given.against:
        other = given.against.resolve()
        subjects[1:1] = [Subject("deployed-other", other, deployed)]
        subjects[3:3] = [Subject("bare-other", other, ())]
    os.sched_setaffinity(0, other_cores)
    costs: dict[str, list[float]] = {subject.name: [] for subject in subjects}
    with tempfile.TemporaryDirectory() as folder:
        for number in range(given.rounds):
            for subject in subjects if number % 2 == 0 else reversed(subjects):
                with ExitStack() as stack:
                    server = Answerer(other_cores)
                    stack.callback(server.close)
                    running = Running(subject, server.port, subject_cores, folder)
                    stack.callback(running.close)
                    costs[subject.name].append(running.cost(given.requests))
    print(
        f"microseconds of processor time a request; {given.requests} requests, {given.rounds} rounds in turn"
    )
    for name, each in costs.items():
        rounds = " ".join(f"{cost:6.1f}" for cost in each)
        print(f"{name:15} median {statistics.median(each):6.1f}   rounds {rounds}")
    middle = {name: statistics.median(each) for name, each in costs.items()}
    pairs = [("deployed", "relay"), ("bare", "relay"), ("deployed", "bare")]
    if given.against:
        pairs += [("deployed", "deployed-other"), ("bare", "bare-other")]
    for above, below in pairs:
        by_round = statistics.median(a / b for a, b in zip(costs[above], costs[below], strict=True))
        print(
            f"{above} / {below}: {middle[above] / middle[below]:.3f} (median of the rounds' {by_round:.3f})"
        )


if __name__ == "__main__":
    main()
