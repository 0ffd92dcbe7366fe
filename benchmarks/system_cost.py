"""Measure the cost of the whole system as processes on loopback: per request, event, gateway and change.

Three controllers and some gateways run as deployed; the list of the platform and one instance are simulated
in this process.  Processor time is read from /proc (user and system, in clock ticks of 10 ms), so each
figure is the slope between two large sizes.
Run: python -m benchmarks.system_cost [--quick]
"""

from __future__ import annotations

import argparse
import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from http.client import HTTPConnection
from pathlib import Path
from typing import Any

import h11

from brambleusher.membership.line_connection import LineClient
from brambleusher.runtime.acceptor import Acceptor
from brambleusher.runtime.http_server import HttpRequest, HttpResponse, HttpServer, json_response
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.streams import Stream
from brambleusher.wire import lines

ROOT = Path(__file__).resolve().parent.parent
PLATFORM, INSTANCE = ("127.0.9.1", 18169), ("127.0.9.2", 18080)
CONTROL, DIRECTORY, FRONT, READY, PEER = 18166, 18164, 18161, 18167, 17720
TICK_S = 1 / os.sysconf("SC_CLK_TCK")
CONTROLLERS, GATEWAYS = 3, 4
ENTRY = {
    "id": "i-1",
    "service": "llm",
    "address": f"{INSTANCE[0]}:{INSTANCE[1]}",
    "zone": "z",
    "capacity": 512,
    "state": "ready",
    "warmup_ms": 0,
}


class StandIns:
    """A thread that simulates the platform and an instance that streams as many events as a path states."""

    def __init__(self) -> None:
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        self.scheduler = Scheduler(RealSystem())  # a scheduler belongs to the thread that creates it
        HttpServer(self.scheduler, PLATFORM, self._list)
        Acceptor(self.scheduler, INSTANCE, self._serve)
        self.scheduler.run()

    @staticmethod
    def _list(_request: HttpRequest) -> HttpResponse:
        return json_response(200, {"instances": [ENTRY], "next_token": None})

    def _serve(self, stream: Stream, peer: str) -> None:
        connection = h11.Connection(h11.SERVER)
        head: h11.Request | None = None
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(stream.receive(None) or b"")
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                self._answer(stream, connection, head)
                connection.start_next_cycle()
            elif not isinstance(event, h11.Data):
                return

    def _answer(self, stream: Stream, connection: h11.Connection, head: h11.Request) -> None:
        attempt = dict(head.headers).get(b"x-attempt-id", b"")  # required for reuse of the connection
        headers = [
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
            ("X-Attempt-Id", attempt.decode("latin-1")),
        ]
        deadline = self.scheduler.now() + 5
        stream.send(connection.send(h11.Response(status_code=200, headers=headers)) or b"", deadline)
        for number in range(1, int(head.target.rpartition(b"/")[2]) + 1):
            event = h11.Data(data=b"id: %d\ndata: %b\n\n" % (number, b"x" * 50))
            stream.send(connection.send(event) or b"", deadline)
            self.scheduler.yield_now()
            time.sleep(0.0005)  # keeps events from merging in transit
        stream.send(connection.send(h11.EndOfMessage()) or b"", deadline)


def toml(values: dict[str, Any]) -> str:
    """Format keys and plain values as TOML; JSON has the same syntax for such values."""
    return "".join(f"{key} = {json.dumps(value)}\n" for key, value in values.items())


class Deployment:
    """The processes of the system, each with its settings file and address."""

    def __init__(self, folder: Path, root: Path = ROOT) -> None:
        self._folder, self.root = folder, root
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def command(self, _name: str, role: str) -> list[str]:
        """Return the command that starts a process."""
        return [sys.executable, "-m", "brambleusher.system_main", role]

    def start(self, name: str, ip: str, role: str) -> None:
        """Start a process of a role."""
        seeds = [f"127.0.1.{at + 1}:{CONTROL}" for at in range(CONTROLLERS)]
        bind = (
            {"control": f"{ip}:{CONTROL}", "directory": f"{ip}:{DIRECTORY}"}
            if role == "controller"
            else {"front": f"{ip}:{FRONT}", "ready": f"{ip}:{READY}"}
        )
        head = {
            "node_name": name,
            "ip": ip,
            "zone": "z",
            "region": "r",
            "port_range": [PEER, PEER + 9],
            "seeds": seeds,
            "bootstrap": True,
            "data_dir": str(self._folder / name),
        }
        platform = {"address": f"{PLATFORM[0]}:{PLATFORM[1]}", "rate_per_s": 40}
        text = toml(head) + '[zones]\nz = "r"\n[bind]\n' + toml(bind) + "[cloud_api]\n" + toml(platform)
        path = self._folder / f"{name}.toml"
        path.write_text(text)
        self.processes[name] = subprocess.Popen(
            self.command(name, role),
            cwd=self.root,
            env={**os.environ, "BRAMBLEUSHER_SETTINGS": str(path)},
            stderr=(self._folder / f"{name}.log").open("wb"),
        )

    def cpu_s(self, prefix: str) -> float:
        """Return the processor time so far of all processes whose names begin with `prefix`, in seconds."""
        total = 0.0
        for name, process in self.processes.items():
            if name.startswith(prefix):
                fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
                total += (int(fields[11]) + int(fields[12])) * TICK_S
        return total

    def start_serving(self) -> None:
        """Start the controllers and one gateway, and wait until it serves with a first configuration."""
        for at in range(CONTROLLERS):
            self.start(f"core-{at}", f"127.0.1.{at + 1}", "controller")
        self.start("gateway-0", "127.0.2.1", "gateway")
        body = configuration(1, 50)
        wait_until(
            lambda: http_call("127.0.1.1", CONTROL, "PUT", "/api/config", body, If_Match="0")[0] == 200
        )
        wait_until(lambda: http_call("127.0.2.1", READY, "GET", "/api/readiness")[0] == 200)

    def close(self) -> None:
        """End all processes."""
        for process in self.processes.values():
            process.kill()
            process.wait()


def http_call(
    ip: str, port: int, method: str, path: str, body: bytes = b"", **headers: str
) -> tuple[int, bytes]:
    """Send one call over a new connection."""
    connection = HTTPConnection(ip, port, timeout=5)
    try:
        connection.request(
            method, path, body, {key.replace("_", "-"): value for key, value in headers.items()}
        )
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()


def configuration(revision: int, routes: int) -> bytes:
    """Return a configuration with `routes` routes besides the route in use."""
    listed = [
        {
            "name": f"r-{number}",
            "host": "h",
            "path_prefix": "/s/" if number == 0 else f"/idle{number * 7919 % 99991}/",
            "kind": "streaming",
            "deadline_ms": 4000 + revision,
            "setpoint_ms": 500,
            "service": "llm",
            "resumable": True,
            "tries": 2,
        }
        for number in range(routes + 1)
    ]
    return json.dumps({"revision": revision, "routes": listed, "services": [{"name": "llm"}]}).encode()


def wait_until(done: Callable[[], object], seconds: float = 20.0) -> None:
    """Poll until `done` returns true, with a time-out."""
    end = time.monotonic() + seconds
    while True:
        try:
            if done():
                return
        except OSError:
            pass
        if time.monotonic() > end:
            raise TimeoutError("the system did not come up")
        time.sleep(0.05)


def requests(count: int, events: int) -> None:
    """Send requests one after another over one connection."""
    connection = HTTPConnection("127.0.2.1", FRONT, timeout=5)
    for number in range(count):
        headers = {"Host": "h", "X-Attempt-Id": f"{events}-{number}", "X-Deadline-Remaining": "4000"}
        connection.request("POST", f"/s/{events}", b"x" * 700, headers)
        answer = connection.getresponse()
        body = answer.read()
        if answer.status != 200 or body.count(b"id:") != events:
            raise RuntimeError(f"request {number} of {events} events: {answer.status}, {len(body)} bytes")
    connection.close()


def poll_bytes() -> tuple[int, int, int]:
    """Return the bytes of a poll request, of a response without changes, and of a full response."""
    scheduler = Scheduler(RealSystem())
    sizes: list[tuple[int, int, int]] = []
    me = {"name": "measure", "role": "gateway", "address": "127.0.2.9:1", "zone": "z", "region": "r"}
    question = {
        "kind": "watch", "me": {**me, "state": "starting", "incarnation": 1}, "index": -1, "source": "",
        "version": -1, "figures": {},
    }  # fmt: skip

    def ask() -> None:
        client = LineClient(scheduler, ("127.0.1.1", PEER))
        full = client.send_request(question, 3.0)
        calm = {**question, "index": full["index"], "source": full["source"], "version": full["version"]}
        rest = client.send_request(calm, 3.0)
        sizes.append((len(lines.encode(calm)), len(lines.encode(rest)), len(lines.encode(full))))

    scheduler.spawn(ask)
    scheduler.run(lambda: bool(sizes))
    return sizes[0]


def measure(quick: bool) -> None:
    """Print the table."""
    idle_s, count, changes = (4.0, 400, 20) if quick else (20.0, 2000, 60)
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder))
        try:
            StandIns()
            deployment.start_serving()

            def resting(prefix: str) -> float:
                begun = deployment.cpu_s(prefix)
                time.sleep(idle_s)
                return (deployment.cpu_s(prefix) - begun) / idle_s

            one = resting("core")
            spent = []
            for events in (1, 21):
                begun = deployment.cpu_s("gateway-0")
                requests(count, events)
                spent.append((deployment.cpu_s("gateway-0") - begun) / count)
            for at in range(1, GATEWAYS):
                deployment.start(f"gateway-{at}", f"127.0.2.{at + 1}", "gateway")
            wait_until(
                lambda: all(
                    http_call(f"127.0.2.{at + 1}", READY, "GET", "/api/readiness")[0] == 200
                    for at in range(GATEWAYS)
                )
            )
            time.sleep(1.0)
            many = resting("core")
            begun, gateway_begun = deployment.cpu_s("core"), deployment.cpu_s("gateway")
            started = time.monotonic()
            for revision in range(2, 2 + changes):
                body = configuration(revision, 50)
                status, _ = http_call(
                    "127.0.1.2", CONTROL, "PUT", "/api/config", body, If_Match=str(revision - 1)
                )
                if status != 200:
                    raise RuntimeError(f"change {revision}: {status}")
            took = time.monotonic() - started
            time.sleep(0.5)
            per_change = (deployment.cpu_s("core") - begun - many * (took + 0.5)) / changes
            per_gateway_change = (deployment.cpu_s("gateway") - gateway_begun) / changes / GATEWAYS
            question, calm, full = poll_bytes()
        finally:
            deployment.close()
    event_s = (spent[1] - spent[0]) / 20
    print(f"a request of one event at a gateway      {spent[0] * 1e3:8.3f} ms of processor time")
    print(f"a further event                          {event_s * 1e3:8.3f} ms")
    print(f"three controllers at rest, one gateway   {one * 1e3:8.3f} ms a second")
    print(f"each further gateway, all controllers    {(many - one) / (GATEWAYS - 1) * 1e3:8.3f} ms a second")
    print(f"a change of 51 routes, all controllers   {per_change * 1e3:8.3f} ms")
    print(f"  acknowledged after                     {took / changes * 1e3:8.3f} ms on the clock")
    print(f"the same at a gateway                    {per_gateway_change * 1e3:8.3f} ms (with its rest)")
    print(f"a long poll: question, answer, with all  {question}, {calm}, {full} bytes")


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true", help="a few seconds, for a look")
    measure(parser.parse_args().quick)


if __name__ == "__main__":
    socket.setdefaulttimeout(10)
    main()
