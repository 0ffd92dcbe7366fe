"""A test rig with a sidecar in a thread, and scripted endpoints and discovery."""

from __future__ import annotations

import json
import queue
import socket
import struct
import threading
import time
from collections.abc import Callable
from typing import Any

from brambleusher.net.http import Message, MessageReader
from brambleusher.operator_settings.configuration import parse_operator_file
from brambleusher.runtime.system import System
from brambleusher.sidecar.app import Sidecar
from brambleusher.sidecar.configuration import parse_config

WAIT = 20.0  # timeout in seconds for expected events, not an expected duration
Script = Callable[[socket.socket, Message], None]


def answer(body: bytes = b"ok", status: str = "200 OK", *lines: str) -> Script:
    """Return a script that sends one response."""
    head = "\r\n".join([f"HTTP/1.1 {status}", *lines, f"Content-Length: {len(body)}"])
    return lambda sock, request: sock.sendall(head.encode() + b"\r\n\r\n" + body)


def reset(sock: socket.socket, request: Message) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def hang(sock: socket.socket, request: Message) -> None:
    """Send no response."""


class Server:
    """A threaded server that listens on a port chosen by the operating system."""

    def __init__(self, backlog: int = 64) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=backlog)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.conns: list[socket.socket] = []

    def start(self) -> None:
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.conns.append(sock)
            threading.Thread(target=self._guarded, args=(sock,), daemon=True).start()

    def _guarded(self, sock: socket.socket) -> None:
        try:
            self.serve(sock)
        except OSError:
            return

    def serve(self, sock: socket.socket) -> None:
        raise NotImplementedError

    def close(self) -> None:
        self.listener.close()
        for sock in self.conns:
            sock.close()


class Node(Server):
    """An endpoint; `seen` queues each complete request and `left` an item per closed connection."""

    def __init__(self, script: Script | None = None, backlog: int = 64) -> None:
        super().__init__(backlog)
        self.script = script or answer()
        self.seen: queue.Queue[tuple[Message, float]] = queue.Queue()
        self.left: queue.Queue[int] = queue.Queue()
        if backlog:
            self.start()

    def serve(self, sock: socket.socket) -> None:
        reader = MessageReader.requests()
        try:
            while data := sock.recv(65536):
                reader.feed(data)
                while (request := reader.take()) is not None:
                    self.seen.put((request, time.monotonic()))
                    self.script(sock, request)
        finally:
            self.left.put(1)

    def entry(self, name: str, state: str = "Ready", started_ms: int = 0) -> dict[str, Any]:
        return {
            "id": name, "addr": self.address, "zone": "z", "kind": "k", "cell": 0,
            "state": state, "weight": 1.0, "started_ms": started_ms,
        }  # fmt: skip


class Discovery(Server):
    """A discovery that sends `first` on each new watch; `asked` queues the target of each request."""

    def __init__(self, servers: list[dict[str, Any]]) -> None:
        super().__init__()
        self.first: bytes = self.text(servers, True)
        self.asked: queue.Queue[str] = queue.Queue()
        self.start()

    @staticmethod
    def text(servers: list[dict[str, Any]], full: bool = False, version: int = 7) -> bytes:
        return json.dumps({"version": version, "full": full, "servers": servers}).encode()

    @staticmethod
    def _chunk(line: bytes) -> bytes:
        return b"%x\r\n%s\n\r\n" % (len(line) + 1, line)

    def serve(self, sock: socket.socket) -> None:
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + self._chunk(self.first))
        self.asked.put(sock.recv(65536).split(b" ")[1].decode())

    def push(self, line: bytes) -> None:
        self.conns[-1].sendall(self._chunk(line))


SETTINGS: dict[str, Any] = {
    "zone": "z",
    "fleet_size": 1,
    "membership_mode": "subscribe",
    "classes": [
        {"name": name, "promise_ns": 10**9, "give_up_ns": 5 * 10**9, "effect": effect, "worth": 1.0}
        for name, effect in (("look", "read_like"), ("move", "non_idempotent"))
    ],
    "limits": {
        "max_attempts": 4, "max_retry_after_ns": 2 * 10**9, "retry_after": True,
        "connect_timeout_ns": 5 * 10**9, "conn_idle_ns": 30 * 10**9,
    },
    "safety": {
        "drain_grace_ns": 5 * 10**8, "must_ask_in_ns": 10**10, "cold_ns": 21 * 10**9,
        "start_capacity": 0.17, "fall_multiple": 4.0, "fall_ns": 3 * 10**9,
    },
    "telemetry": {"names": ["throughput", "utilization"]},
}  # fmt: skip


class Rig:
    """A sidecar that runs in a thread with a scripted discovery."""

    def __init__(
        self,
        servers: list[dict[str, Any]],
        operator: str = "",
        admin: bool = False,
        system: System | None = None,
        discovery: Discovery | None = None,
        sockets: int = 1024,
        **limits: Any,
    ) -> None:
        self.discovery = discovery or Discovery(servers)
        settings = {**SETTINGS, "limits": {**SETTINGS["limits"], **limits}}
        self.config = {
            "name": "n0", "listen": "127.0.0.1:0", "discovery": self.discovery.address, "seed": "2a",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": {"version": 6, "full": True, "servers": servers}, "settings": settings,
            **({"admin_addr": "127.0.0.1:0"} if admin else {}),
        }  # fmt: skip
        up: queue.Queue[tuple[Sidecar, tuple[str, int]]] = queue.Queue()

        def run() -> None:
            config = parse_config(json.dumps(self.config).encode(), {})
            sidecar = Sidecar(config, operator=parse_operator_file(operator.encode()), system=system)
            up.put((sidecar, sidecar.start()))
            sidecar.run()
            sidecar.close()

        self.thread = threading.Thread(target=run, daemon=True)
        self.thread.start()
        self.sidecar, self.address = up.get(timeout=WAIT)
        self.discovery.asked.get(timeout=WAIT)

    def end(self) -> None:
        self.sidecar.begin_graceful_shutdown()
        self.thread.join(WAIT)
        self.discovery.close()
        assert not self.thread.is_alive()

    def listed(self, taken: int) -> None:
        """Wait until `taken` lists were accepted or rejected."""
        until = time.monotonic() + WAIT
        counters = self.sidecar.counters
        while counters.count("lists_taken") + counters.count("lists_rejected") < taken:
            assert time.monotonic() < until
            time.sleep(0.002)

    def connect(self) -> socket.socket:
        return socket.create_connection(self.address, WAIT)

    def send(
        self, name: str = "r1", cls: str = "look", wait_ms: int = 5000, sock: socket.socket | None = None
    ) -> socket.socket:
        sock = sock or self.connect()
        method, body = ("GET", b"") if cls == "look" else ("POST", b"pay")
        lines = [
            f"{method} /{cls}?q=1 HTTP/1.1", "Host: api.internal", f"Request-Id: {name}",
            f"Request-Class: {cls}", f"Request-Timeout-Ms: {wait_ms}", f"Content-Length: {len(body)}",
        ]  # fmt: skip
        sock.sendall("\r\n".join([*lines, "", ""]).encode() + body)
        return sock

    def call(self, name: str = "r1", cls: str = "look", wait_ms: int = 5000) -> Message:
        with self.send(name, cls, wait_ms) as sock:
            return read(sock)


def read(sock: socket.socket) -> Message:
    """Return the only response on a connection; fail on a second or a partial response."""
    reader = MessageReader.responses()
    while True:
        message = reader.take()
        if message is not None:
            assert not reader.buffered
            return message
        data = sock.recv(65536)
        assert data, "the connection ended before the response"
        reader.feed(data)
