"""A controller and a gateway as real processes, an instance that answers without end, and a sound one.

    PYTHONPATH=. python -m tests.system.endless_deployment [SECONDS [CALLERS [FORM ...]]]

prints for each form, kind of route and status what the gateway's memory came to, what clients of the sound
instance saw beside the callers of the faulty one, and how the answers of these callers ended.
"""

from __future__ import annotations

import http.client
import http.server
import json
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tests.system.endless_instance import EndlessForm
from tests.system.real_processes import (
    ROOT,
    RoleMachine,
    environment_of_tests,
    free_ports,
    own_loopback_address,
    wait_until,
)

STOP_AT_MB = 600  # a play ends here, so that it does not exhaust the memory of the machine
SAMPLE_S = 0.05
RECEIVE_PAUSE_S = 0.005  # bytes gather meanwhile: a receive for each small chunk would lag behind
SOUND_DEADLINE_S = 2.0
CALLER_PATIENCE_S = 2.0  # beyond the deadline
MS_PER_S = 1000
KIB_PER_MB = 1024
ROUTE_KINDS = ("mutating", "streaming", "idempotent")


@dataclass
class CallerOutcome:
    """How an answer of the faulty instance ended for its caller."""

    status: int = 0  # 0 if the connection ended without a head
    received_bytes: int = 0
    seconds: float = 0.0
    is_complete: bool = False


@dataclass
class Play:
    """What was seen while callers of the faulty instance and a client of the sound one ran side by side."""

    peak_mb: float = 0.0
    sound_s: list[float] = field(default_factory=list)
    sound_failures: list[str] = field(default_factory=list)
    callers: list[CallerOutcome] = field(default_factory=list)

    def __str__(self) -> str:
        """Return a line for a table."""
        ends = Counter((each.status, each.is_complete) for each in self.callers)
        told = ", ".join(
            f"{count} x {status}{' complete' if done else ''}" for (status, done), count in ends.items()
        )
        received_mb = max((each.received_bytes for each in self.callers), default=0) / 1e6
        last_s = max((each.seconds for each in self.callers), default=0.0)
        worst_s = max(self.sound_s, default=0.0)
        return (
            f"{self.peak_mb:5.0f} MB; sound: {len(self.sound_s):4} answers, worst {worst_s:5.2f} s, "
            f"{len(self.sound_failures)} failed; "
            f"callers: {told}, {received_mb:.0f} MB, last after {last_s:.2f} s"
        )


class _Server(http.server.ThreadingHTTPServer):
    """A server that says nothing about clients that left."""

    daemon_threads = True

    def handle_error(self, request: object, client_address: object) -> None:
        """Log nothing."""


class _SoundHandler(http.server.BaseHTTPRequestHandler):
    """Answers each request at once."""

    protocol_version = "HTTP/1.1"

    def do_POST(self) -> None:
        length = int(self.headers.get("Content-Length", "0"))
        self.rfile.read(length)
        attempt_id = self.headers.get("X-Attempt-Id", "")
        self._answer(b"answer to " + attempt_id.encode(), attempt_id)

    def _answer(self, body: bytes, attempt_id: str) -> None:
        self.send_response(200)
        self.send_header("X-Attempt-Id", attempt_id)
        self.send_header("X-Server-Seal", f"seal.{attempt_id}")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: object) -> None:
        """Log nothing."""


def _entry(name: str, service: str, address: str) -> dict[str, Any]:
    return {
        "id": name,
        "service": service,
        "address": address,
        "zone": "north",
        "revision": "v1",
        "capacity": 64,
        "state": "ready",
        "warmup_ms": 0,
    }


def _route(kind: str, service: str) -> dict[str, Any]:
    return {
        "name": f"{service}-{kind}",
        "host": "h",
        "path_prefix": f"/{service}/{kind}/",
        "kind": kind,
        "deadline_ms": 60_000,
        "setpoint_ms": 300,
        "priority": 1,
        "service": service,
        "tries": 1,
    }


def start_endless_instance(ip: str, port: int, *only_form: str) -> subprocess.Popen[bytes]:
    """Start the process of an instance that answers without end."""
    return subprocess.Popen(
        [sys.executable, "-m", "tests.system.endless_instance", ip, str(port), *only_form],
        cwd=ROOT,
        env=environment_of_tests(),
    )


def resident_mb(process: subprocess.Popen[bytes] | None) -> float:
    """Return the resident memory of a process."""
    assert process is not None
    status = Path(f"/proc/{process.pid}/status").read_text()
    line = next((each for each in status.splitlines() if each.startswith("VmRSS:")), "VmRSS: 0 kB")
    return int(line.split()[1]) / KIB_PER_MB


class EndlessDeployment:
    """One controller, one gateway, the platform's list, a faulty instance and a sound one."""

    def __init__(self, folder: Path) -> None:
        self._ip = own_loopback_address()
        platform_port, sound_port, faulty_port = free_ports(self._ip, 3)
        self._entries = [
            _entry("sound-1", "sound", f"{self._ip}:{sound_port}"),
            _entry("faulty-1", "faulty", f"{self._ip}:{faulty_port}"),
        ]
        self._servers = [
            _Server((self._ip, platform_port), self._platform_handler()),
            _Server((self._ip, sound_port), _SoundHandler),
        ]
        for server in self._servers:
            threading.Thread(target=server.serve_forever, daemon=True).start()
        self._faulty = start_endless_instance(self._ip, faulty_port)
        platform = f"{self._ip}:{platform_port}"
        self.controller = self._machine(folder, "controller", None, platform)
        self.gateway = self._machine(folder, "gateway", self.controller, platform)
        self._number = 0

    @staticmethod
    def _machine(folder: Path, role: str, seed: RoleMachine | None, platform: str) -> RoleMachine:
        own = folder / role
        own.mkdir()
        return RoleMachine(own, role, seed, platform)

    def _platform_handler(self) -> type[http.server.BaseHTTPRequestHandler]:
        entries = self._entries

        class Handler(_SoundHandler):
            def do_GET(self) -> None:
                self._answer(json.dumps({"instances": entries, "next_token": None}).encode(), "")

        return Handler

    def start(self) -> None:
        """Start both roles, put a configuration, and wait until the gateway serves."""
        self.controller.start()
        self.gateway.start()
        body = {
            "revision": 1,
            "routes": [_route(kind, service) for kind in ROUTE_KINDS for service in ("sound", "faulty")],
            "services": [{"name": name, "conn_limit": 500} for name in ("sound", "faulty")],
        }
        wait_until(lambda: self._put(json.dumps(body).encode()) == 200, "a configuration is taken")
        wait_until(self._is_ready, "the gateway is ready")
        wait_until(lambda: self.ask_sound() is None, "the sound instance is reached")

    def _put(self, body: bytes) -> int:
        with suppress(OSError, http.client.HTTPException):
            connection = http.client.HTTPConnection(self.controller.ip, self.controller.ports["control"], 5.0)
            connection.request("PUT", "/api/config", body, {"If-Match": "0"})
            return connection.getresponse().status
        return 0

    def _is_ready(self) -> bool:
        with suppress(OSError, http.client.HTTPException):
            connection = http.client.HTTPConnection(self.gateway.ip, self.gateway.ports["ready"], 1.0)
            connection.request("GET", "/api/readiness")
            return connection.getresponse().status == 200
        return False

    def close(self) -> None:
        """End all processes and servers."""
        self.gateway.close()
        self.controller.close()
        self._faulty.kill()
        self._faulty.wait()
        for server in self._servers:
            server.shutdown()
            server.server_close()

    # --- plays ------------------------------------------------------------------------------------

    def play(
        self,
        form: EndlessForm,
        kind: str,
        status: int,
        deadline_s: float,
        callers: int = 4,
    ) -> Play:
        """Let callers ask the faulty instance while a client asks the sound one again and again.

        The play ends with the last of the callers.
        """
        play = Play()
        target = f"/faulty/{kind}/{form}/{status}"
        threads = [
            threading.Thread(target=self._call_faulty, args=(play, target, deadline_s))
            for _ in range(callers)
        ]
        for thread in threads:
            thread.start()
        ended = threading.Event()
        asking = threading.Thread(target=self._ask_until, args=(play, ended))
        asking.start()
        while any(thread.is_alive() for thread in threads) and play.peak_mb < STOP_AT_MB:
            play.peak_mb = max(play.peak_mb, resident_mb(self.gateway.process))
            time.sleep(SAMPLE_S)
        ended.set()
        asking.join()
        return play

    def _next_attempt_id(self) -> str:
        self._number += 1
        return f"a{self._number}"

    def _ask_until(self, play: Play, ended: threading.Event) -> None:
        while not ended.wait(0.01):
            began_s = time.monotonic()
            failure = self.ask_sound()
            play.sound_s.append(time.monotonic() - began_s)
            if failure is not None:
                play.sound_failures.append(failure)

    def ask_sound(self) -> str | None:
        """Ask the sound instance over a new connection; return what was wrong, None if it answered."""
        attempt_id = self._next_attempt_id()
        connection = http.client.HTTPConnection(
            self.gateway.ip, self.gateway.ports["front"], timeout=SOUND_DEADLINE_S
        )
        headers = {
            "Host": "h",
            "X-Attempt-Id": attempt_id,
            "X-Deadline-Remaining": str(int(SOUND_DEADLINE_S * MS_PER_S)),
        }
        try:
            connection.request("POST", "/sound/mutating/x", b"prompt", headers)
            response = connection.getresponse()
            body = response.read()
        except (OSError, http.client.HTTPException) as error:
            return repr(error)
        finally:
            connection.close()
        expected = f"answer to {attempt_id}".encode()
        return None if (response.status, body) == (200, expected) else f"{response.status} {body!r}"

    def _call_faulty(self, play: Play, target: str, deadline_s: float) -> None:
        outcome = CallerOutcome()
        began_s = time.monotonic()
        with suppress(OSError):
            for data in self._receive_faulty(target, deadline_s, began_s + deadline_s + CALLER_PATIENCE_S):
                _record(outcome, data)
        outcome.seconds = time.monotonic() - began_s
        play.callers.append(outcome)

    def _receive_faulty(self, target: str, deadline_s: float, until_s: float) -> Iterator[bytes]:
        head = (
            f"POST {target} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
            f"X-Attempt-Id: {self._next_attempt_id()}\r\n"
            f"X-Deadline-Remaining: {int(deadline_s * MS_PER_S)}\r\nContent-Length: 0\r\n\r\n"
        )
        address = (self.gateway.ip, self.gateway.ports["front"])
        with socket.create_connection(address, deadline_s) as connection:
            connection.sendall(head.encode())
            while (left_s := until_s - time.monotonic()) > 0:
                connection.settimeout(left_s)
                data = connection.recv(1 << 20)
                if not data:
                    return
                yield data
                time.sleep(RECEIVE_PAUSE_S)


def _record(outcome: CallerOutcome, data: bytes) -> None:
    if not outcome.received_bytes:
        outcome.status = int(data.split(b" ", 2)[1])
    outcome.received_bytes += len(data)
    is_chunked_end = data.endswith(b"0\r\n\r\n")
    is_short = b"content-length" in data.lower() and outcome.received_bytes == len(data)
    outcome.is_complete = is_chunked_end or is_short


@contextmanager
def endless_deployment(folder: Path) -> Iterator[EndlessDeployment]:
    """Start a deployment, and end it."""
    deployment = EndlessDeployment(folder)
    try:
        deployment.start()
        yield deployment
    finally:
        deployment.close()


def main() -> None:
    """Play all forms and print a line for each."""
    deadline_s = float(sys.argv[1]) if len(sys.argv) > 1 else 4.0
    callers = int(sys.argv[2]) if len(sys.argv) > 2 else 4
    forms = [EndlessForm(each) for each in sys.argv[3:]] or list(EndlessForm)
    for form in forms:
        for kind in ROUTE_KINDS:
            for status in (200, 500):
                with tempfile.TemporaryDirectory() as folder, endless_deployment(Path(folder)) as deployment:
                    play = deployment.play(form, kind, status, deadline_s, callers)
                print(f"{form:14} {kind:10} {status}: {play}", flush=True)


if __name__ == "__main__":
    main()
