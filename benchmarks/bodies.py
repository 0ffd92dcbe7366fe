"""Measure the memory cost of large bodies and of an upgrade, with the deployed sidecar on loopback.

`answers` clients request bodies of 32 MB at once and read them slowly; the bodies together exceed the memory
limit many times over.  While half of the clients still read, a second process takes over from the first.
Memory is the proportional set size of the processes (shared pages count once), sampled every 50 ms.  Prints
a table and stores nothing.

    python -m benchmarks.bodies [--answers 100] [--seconds 4] [--body-mb 32]
"""

from __future__ import annotations

import argparse
import json
import os
import select
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

from benchmarks.request_cost import SETTINGS

ROOT = Path(__file__).resolve().parent.parent
WAIT = 30.0
NODES = 4
READ_BYTES = 16 * 1024


def serve(listener: socket.socket, body: bytes) -> None:
    """Run an endpoint that answers every request with one body, as fast as the client reads."""
    head = b'HTTP/1.1 200 OK\r\nServer-Load: {"qps":9,"util":0.3}\r\nContent-Length: %d\r\n\r\n' % len(body)

    def one(sock: socket.socket) -> None:
        with sock:
            try:
                while sock.recv(65536):
                    sock.sendall(head)
                    sock.sendall(body)
            except OSError:
                return

    while True:
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        threading.Thread(target=one, args=(sock,), daemon=True).start()


def memory_kb(processes: list[subprocess.Popen[bytes]]) -> int:
    """Return the proportional set size of the processes together, in KB."""
    total = 0
    for process in processes:
        try:
            text = Path(f"/proc/{process.pid}/smaps_rollup").read_text()
        except OSError:  # the process has ended
            continue
        total += next((int(line.split()[1]) for line in text.splitlines() if line.startswith("Pss:")), 0)
    return total


class Bench:
    """The processes of the sidecar, with their endpoint and clients."""

    def __init__(self, folder: Path, body: bytes) -> None:
        self.folder, self.processes = folder, list[subprocess.Popen[bytes]]()
        entries = []
        for at in range(NODES):
            listener = socket.create_server(("127.0.0.1", 0), backlog=256)
            threading.Thread(target=serve, args=(listener, body), daemon=True).start()
            entries.append({
                "id": f"h{at}", "addr": f"127.0.0.1:{listener.getsockname()[1]}", "zone": "a", "kind": "k",
                "cell": 0, "state": "Ready", "weight": 1.0, "started_ms": 0,
            })  # fmt: skip
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address = self.listener.getsockname()
        config = {
            "name": "n0", "listen": f"127.0.0.1:{self.address[1]}", "discovery": "127.0.0.1:9", "seed": "1",
            "admin_addr": "127.0.0.1:0", "limits": {"memory_mb": 80, "sockets": 1024},
            "known": {"version": 1, "full": True, "servers": entries}, "settings": SETTINGS,
        }  # fmt: skip
        (folder / "config.json").write_text(json.dumps(config))

    def start(self) -> None:
        """Start another sidecar process; returns once it serves."""
        log = self.folder / f"log{len(self.processes)}"
        environment = {
            **os.environ, "NODE_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(self.folder),
            "NODE_FD": str(self.listener.fileno()),
        }  # fmt: skip
        with log.open("wb") as file:
            self.processes.append(subprocess.Popen(
                [sys.executable, "-m", "brambleusher", "--operator", "deploy/operator.yaml"], cwd=ROOT,
                env=environment, stderr=file, pass_fds=[self.listener.fileno()],
            ))  # fmt: skip
        until = time.monotonic() + WAIT
        while b"msg=serving" not in log.read_bytes():
            if time.monotonic() > until or self.processes[-1].poll() is not None:
                raise SystemExit(f"the sidecar does not serve: {log.read_text()[-500:]}")
            time.sleep(0.02)

    def ask(self, at: int) -> socket.socket:
        """Send one request without reading the response."""
        sock = socket.create_connection(self.address, WAIT)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
        sock.sendall(
            f"GET /listing-lookup HTTP/1.1\r\nHost: a\r\nRequest-Id: r{at}\r\nTenant: peach-seats\r\n"
            f"Request-Class: listing-lookup\r\nRequest-Timeout-Ms: 20000\r\n\r\n".encode()
        )
        return sock

    def read(
        self, readers: list[socket.socket], taken: dict[socket.socket, int], seconds: float, pause: float
    ) -> int:
        """Read from all connections in turn, a chunk each; returns the peak memory of the processes in KB."""
        until, most = time.monotonic() + seconds, 0
        sampled = 0.0
        while readers and time.monotonic() < until:
            for sock in select.select(readers, [], [], 0.05)[0]:
                data = sock.recv(READ_BYTES if pause else 1 << 18)
                taken[sock] += len(data)
                if not data:
                    readers.remove(sock)
            if time.monotonic() - sampled > 0.05:
                sampled = time.monotonic()
                most = max(most, memory_kb(self.processes))
            time.sleep(pause)
        return most


def main() -> None:
    """Run the measurement and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--answers", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--body-mb", type=int, default=32)
    options = parser.parse_args()
    body = bytes(options.body_mb << 20)
    rows: list[tuple[str, Any]] = []
    with tempfile.TemporaryDirectory() as folder:
        bench = Bench(Path(folder), body)
        try:
            bench.start()
            rows.append(("one process, at rest", memory_kb(bench.processes)))
            readers = [bench.ask(at) for at in range(options.answers)]
            taken = dict.fromkeys(readers, 0)
            rows.append(
                (f"{options.answers} answers read slowly", bench.read(readers, taken, options.seconds, 0.01))
            )
            rows.append(("of them begun", sum(count > 0 for count in taken.values())))
            bench.start()
            bench.processes[0].send_signal(signal.SIGTERM)
            rows.append(("both processes, still read", bench.read(readers, taken, options.seconds, 0.01)))
            bench.read(readers, taken, 120.0, 0.0)
            finished = sum(count > len(body) for count in taken.values())
            rows.append(("answers whole", finished))
            rows.append(("the old process ended with", bench.processes[0].wait(WAIT)))
        finally:
            for process in bench.processes:
                process.kill()
                process.wait()
    for name, value in rows:
        print(f"{name:32} {value:>8}")


if __name__ == "__main__":
    main()
