"""A fleet on loopback: stand-in nodes and discovery in this process, and real sidecars as child processes."""

from __future__ import annotations

import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import deque
from collections.abc import Callable, MutableSequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import yaml

from brambleusher.lab.fleets.figures import NodeSpec, WorldSpec
from brambleusher.lab.fleets.fleet import configuration
from brambleusher.lab.fleets.worlds import WorldFile
from brambleusher.lab.processes.deferred_signals import signals_deferred
from brambleusher.lab.processes.parent import signal_on_parent_end
from brambleusher.lab.stand_ins.client import reports_ready
from brambleusher.lab.stand_ins.discovery import Discovery, Entry
from brambleusher.lab.stand_ins.node import Execution, Node
from brambleusher.net.http import HttpError
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import Address

LOOPBACK = "127.0.0.1"
READY_TIMEOUT_SECONDS = 30.0
TERMINATION_TIMEOUT_SECONDS = 4.0
POLL_SECONDS = 0.05
EXECUTIONS_MAX = 20_000
ADMIN_PATTERN = re.compile(r"msg=\"admin endpoint\" .*?address=(\S+)")
LISTENING_PATTERN = re.compile(r"msg=listening .*?address=(\S+)")
METRIC_PATTERN = re.compile(r"brambleusher\.(\w+):(-?\d+)\|([cg])")


class FleetError(RuntimeError):
    """A sidecar ended by itself, or did not become ready in time."""


def format_address(address: Address) -> str:
    """Return an address as `host:port`."""
    return f"{address[0]}:{address[1]}"


@dataclass(eq=False)
class SidecarProcess:
    """One real sidecar: its process, its files, and the metrics that it sends."""

    name: str
    zone: str
    config: Path
    log: Path
    metrics_socket: socket.socket  # the socket that receives the sidecar's metrics as StatsD datagrams
    process: subprocess.Popen[bytes] | None = None
    address: Address | None = None
    admin: str = ""  # the `host:port` of the admin endpoint, or "" while unknown
    ready: bool = False
    counts: dict[str, int] = field(default_factory=dict)  # values of metrics by name

    @property
    def state(self) -> str:
        """The state for the table: "not started", "starting", "ready", or "ended" with the exit status."""
        if self.process is None:
            return "not started"
        code = self.process.poll()
        if code is not None:
            return f"ended {code}"
        return "ready" if self.ready else "starting"

    def apply_metrics(self, data: bytes) -> None:
        """Apply a datagram of metrics: counters are added up, gauges are replaced."""
        for name, value, kind in METRIC_PATTERN.findall(data.decode("latin-1")):
            self.counts[name] = int(value) + (self.counts.get(name, 0) if kind == "c" else 0)

    def log_tail(self, lines: int = 5) -> str:
        """Return the last lines of the sidecar's log."""
        try:
            return "\n".join(self.log.read_text("utf-8", "replace").splitlines()[-lines:])
        except OSError:
            return ""


class RealFleet:
    """The nodes, discovery and sidecars of a world; call `start`, run the scheduler, then call `close`."""

    def __init__(
        self,
        scheduler: Scheduler,
        world: WorldFile,
        folder: Path,
        *,
        executions: MutableSequence[Execution] | None = None,
        seed: int | None = None,
    ) -> None:
        """`executions` collects what nodes execute; by default only the latest executions are kept."""
        self.scheduler, self.world, self.folder = scheduler, world, folder
        self.spec: WorldSpec = world.world_spec()
        self.seed = world.seed if seed is None else seed
        self.executions: MutableSequence[Execution] = (
            deque(maxlen=EXECUTIONS_MAX) if executions is None else executions
        )
        self.nodes: list[tuple[NodeSpec, Node]] = []
        self.discovery: Discovery | None = None
        self.sidecars: list[SidecarProcess] = []
        self.fallen: set[str] = set()

    # --- start ----------------------------------------------------------------------------------

    def start(self) -> None:
        """Start the nodes, discovery and the sidecar processes; raises `OSError`."""
        entries = []
        for spec in self.spec.nodes:
            if not spec.spare:
                entries.append(self._start_node(spec))
        self.discovery = Discovery(
            self.scheduler, self.spec.discovery, "discovery", self.seed, entries=entries,
            sent_updates=deque(maxlen=1000),
        )  # fmt: skip
        where = self.discovery.listen((LOOPBACK, 0))
        for number, sidecar in enumerate(self.spec.sidecars):
            self._start_sidecar(number, sidecar.name, sidecar.zone, where, entries)

    def _start_node(self, spec: NodeSpec) -> Entry:
        node = Node(self.scheduler, spec.settings, spec.id, self.seed, executions=self.executions)
        host, port = node.listen((LOOPBACK, 0))
        entry = Entry(
            id=spec.id, addr=f"{host}:{port}", zone=spec.zone, kind=spec.kind, cell=spec.cell,
            weight=spec.weight,
        )  # fmt: skip

        def record_fall() -> None:
            self.fallen.add(spec.id)
            if self.discovery is not None:
                final_entry = msgspec.structs.replace(entry, state="Gone")
                self.discovery.put_later(self.spec.silent_notice_s, final_entry)

        node.on_fall = record_fall
        self.nodes.append((spec, node))
        return entry

    def _start_sidecar(
        self, number: int, name: str, zone: str, discovery: Address, known: list[Entry]
    ) -> None:
        receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        receiver.setblocking(False)
        receiver.bind((LOOPBACK, 0))
        target = f"udp:{LOOPBACK}:{receiver.getsockname()[1]}"
        sidecar = SidecarProcess(
            name, zone, self.folder / f"{name}.json", self.folder / f"{name}.log", receiver
        )
        self.sidecars.append(sidecar)
        seed = random.Random(f"{self.seed}/sidecar {number}").getrandbits(63)
        sidecar.config.write_bytes(configuration(self.spec, number, (LOOPBACK, 0), discovery, seed, known, 1))
        operator = {"figures": {"target": target, "flush_ms": 500, "format": "statsd"}}
        path = self.folder / f"{name}.operator.yaml"
        path.write_text(yaml.safe_dump(operator))
        # An interrupt between the start and the assignment would leave a process that `close` doesn't know.
        with signals_deferred(), open(sidecar.log, "wb") as log:
            sidecar_environment = {
                "NODE_CONFIG": str(sidecar.config), "PYTHONPATH": os.pathsep.join(sys.path),
                "NODE_ADMIN_ADDR": f"{LOOPBACK}:0",
            }  # fmt: skip
            sidecar.process = subprocess.Popen(
                [sys.executable, "-m", "brambleusher", "--operator", str(path)],
                env={**os.environ, **sidecar_environment},
                stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                start_new_session=True,  # Ctrl-C reaches this process alone, which then ends the sidecars
                preexec_fn=signal_on_parent_end(os.getpid()),  # sidecars end even if this process is killed
            )  # fmt: skip
        self.scheduler.spawn(self._receive_metrics, sidecar, name=f"{name} figures")
        self.scheduler.spawn(self._wait_until_ready, sidecar, name=f"{name} ready")

    def _wait_until_ready(self, sidecar: SidecarProcess) -> None:
        """Read a sidecar's addresses from its log, then poll until the sidecar is ready."""
        while sidecar.process is not None and sidecar.process.poll() is None:
            if sidecar.address is None:
                found = LISTENING_PATTERN.search(sidecar.log.read_text("utf-8", "replace"))
                if found is not None:
                    host, _, port = found[1].rpartition(":")
                    sidecar.address = host, int(port)
                    admin = ADMIN_PATTERN.search(sidecar.log.read_text("utf-8", "replace"))
                    sidecar.admin = "" if admin is None else admin[1]
            elif self._is_ready(sidecar.address):
                sidecar.ready = True
                return
            self.scheduler.sleep(POLL_SECONDS)

    def _is_ready(self, address: Address) -> bool:
        deadline = self.scheduler.now() + 1.0
        try:
            stream = Stream.connect(self.scheduler, address, deadline)
        except (OSError, TaskTimeoutError):
            return False
        try:
            return reports_ready(stream, deadline)
        except (OSError, TaskTimeoutError, HttpError):
            return False
        finally:
            stream.close()

    def _receive_metrics(self, sidecar: SidecarProcess) -> None:
        while True:
            try:
                sidecar.apply_metrics(sidecar.metrics_socket.recv(65536))
            except BlockingIOError:
                self.scheduler.park(sock=sidecar.metrics_socket)

    # --- while the fleet runs -------------------------------------------------------------------

    @property
    def ready(self) -> bool:
        """Whether all sidecars are ready for clients."""
        return all(sidecar.ready for sidecar in self.sidecars)

    def check(self) -> None:
        """Raise `FleetError` if a sidecar has ended."""
        for sidecar in self.sidecars:
            if sidecar.process is not None and sidecar.process.poll() is not None:
                raise FleetError(
                    f"sidecar {sidecar.name} {sidecar.state}; the end of its log:\n{sidecar.log_tail()}"
                )

    def wait_ready(self, called_off: Callable[[], bool] = lambda: False) -> None:
        """Run the scheduler until all sidecars are ready or `called_off()` is true; raises `FleetError`."""
        until = time.monotonic() + READY_TIMEOUT_SECONDS
        while not self.ready and not called_off():
            self.check()
            if time.monotonic() > until:
                raise FleetError(f"not all sidecars became ready within {READY_TIMEOUT_SECONDS:g} s")
            pause = self.scheduler.now() + POLL_SECONDS
            self.scheduler.call_at(pause, self.scheduler.stop)
            self.scheduler.run()

    @property
    def targets(self) -> list[Address]:
        """The addresses where the sidecars listen."""
        return [sidecar.address for sidecar in self.sidecars if sidecar.address is not None]

    def as_json_values(self) -> dict[str, Any]:
        """Return the fleet's addresses, classes and tenants as JSON values."""
        return {
            "sidecars": [
                {
                    "name": each.name, "zone": each.zone, "pid": each.process.pid if each.process else None,
                    "address": format_address(each.address) if each.address else None,
                }
                for each in self.sidecars
            ],
            "nodes": [
                {"id": spec.id, "zone": spec.zone, "kind": spec.kind,
                 "address": format_address(node.address) if node.address else None}
                for spec, node in self.nodes
            ],
            "discovery": format_address(self.discovery.address)
            if self.discovery is not None and self.discovery.address is not None
            else None,
            "classes": self.world.methods,
            "tenants": list(self.world.tenants),
        }  # fmt: skip

    # --- end ------------------------------------------------------------------------------------

    def close(self) -> list[str]:
        """Shut down the sidecars, then the nodes and discovery; return the sidecars that had to be killed."""
        for sidecar in self.sidecars:
            if sidecar.process is not None and sidecar.process.poll() is None:
                sidecar.process.send_signal(signal.SIGTERM)
        until = time.monotonic() + TERMINATION_TIMEOUT_SECONDS
        while time.monotonic() < until and any(
            each.process is not None and each.process.poll() is None for each in self.sidecars
        ):
            self.scheduler.call_at(self.scheduler.now() + POLL_SECONDS, self.scheduler.stop)
            self.scheduler.run()  # nodes still answer requests in progress
        killed = []
        for sidecar in self.sidecars:
            if sidecar.process is not None and sidecar.process.poll() is None:
                sidecar.process.kill()
                killed.append(sidecar.name)
            if sidecar.process is not None:
                sidecar.process.wait()
            sidecar.metrics_socket.close()
        for _, node in self.nodes:
            node.close(reset=False)
        if self.discovery is not None:
            self.discovery.close(reset=False)
        return killed


def folder_for(logs: Path | None) -> tempfile.TemporaryDirectory[str] | Path:
    """Return the directory for the sidecars' files: `logs`, or a new temporary one if `logs` is None."""
    if logs is None:
        return tempfile.TemporaryDirectory(prefix="brambleusher-lab-")
    logs.mkdir(parents=True, exist_ok=True)
    return logs


def curl_line(fleet: RealFleet) -> str:
    """Return a curl command that sends one request to the first sidecar."""
    name, method = next(iter(fleet.world.methods.items()))
    tenant = next(iter(fleet.world.tenants), None)
    fields = [("Request-Id", "by-hand-1"), ("Request-Class", name), ("Request-Timeout-Ms", "1000")]
    if tenant is not None:
        fields.append(("Tenant", tenant))
    words = " ".join(f"-H '{field}: {value}'" for field, value in fields)
    body = " -d ''" if method == "POST" else ""
    return f"curl -i {words}{body} http://{format_address(fleet.targets[0])}/{name}"


def json_line(fleet: RealFleet) -> str:
    """Return the fleet's addresses and a curl command as a line of JSON."""
    return json.dumps({**fleet.as_json_values(), "curl": curl_line(fleet)})
