"""The complete system in virtual time: real controllers and gateways, with stubs for external systems."""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import h11

from brambleusher.controller.app import Controller
from brambleusher.controller.observer import Observer
from brambleusher.gateway.app import Gateway
from brambleusher.lab.virtual.world import Machine, Process, VirtualSystem, World, WorldSettings
from brambleusher.runtime.http_server import HttpRequest, HttpResponse, HttpServer, json_response
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import Stream
from brambleusher.wire import settings as settings_reader
from brambleusher.wire.metrics_endpoint import MetricsEndpoint
from tests.system.memory_disk import MemoryDisk
from tests.system.stub_instance import Arrival, StubInstance

SECOND = 10**9
ZONES = {"n1": "north", "n2": "north", "s1": "south"}
CONTROL, DIRECTORY, FRONT, READY, PEER = 8166, 8164, 8161, 8167, 7720
METRICS = MetricsEndpoint(9464, "/metrics")
PLATFORM = "10.9.0.1"
PLAIN = WorldSettings(split=0.0, short_send=0.0, short_receive=0.0)

SETTINGS = """
node_name = "{name}"
serves = {serves}
ip = "{ip}"
zone = "{zone}"
region = "{region}"
port_range = [7720, 7735]
seeds = {seeds}
bootstrap = {bootstrap}
in_force = {in_force}
data_dir = "{data_dir}"
unknown_key = "is ignored"
[zones]
{zones}
[bind]
{bind}
[tolerance]
machines = {tolerated}
[bounds]
grace_s = 8
[cloud_api]
address = "10.9.0.1:8169"
rate_per_s = 40.0
"""


def configuration(revision: int, *routes: dict[str, Any], **given: Any) -> bytes:
    """The body of an operator's configuration with the services `llm` and `desk`."""
    services = [
        {"name": "llm", "conn_limit": 100, "warmup_s": 3.0, "cold_per_s": 10.0},
        {"name": "desk", "conn_limit": 100},
    ]
    return json.dumps(
        {
            "revision": revision,
            "routes": list(routes) or [route()],
            "services": services,
            "limits": {"idle_ms": 15000},
            **given,
        }
    ).encode()


def route(prefix: str = "/s/", **given: Any) -> dict[str, Any]:
    """A route of an operator's configuration."""
    return {
        "name": prefix,
        "host": "h",
        "path_prefix": prefix,
        "kind": "streaming",
        "deadline_ms": 4000,
        "setpoint_ms": 500,
        "service": "llm",
        "tries": 2,
        "resumable": True,
        "affine": True,
        **given,
    }


@dataclass
class Reply:
    """The response to a client; `is_complete` is False if the connection ended before its end."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    error: str = ""
    seconds: float = 0.0

    def json(self) -> Any:
        return json.loads(self.body)


class VirtualDeployment:
    """Machines, processes, the platform's instance list, and requests of external clients."""

    def __init__(
        self,
        seed: int = 1,
        cores: int = 3,
        gateways: int = 2,
        tolerated: int = 1,
        observers: int = 0,
        in_force: tuple[str, ...] = (),
        zones: dict[str, str] | None = None,
        seeds: Sequence[str] | None = None,
    ) -> None:
        """Start all processes; `seeds` are the hosts of the seeds, by default of the first three cores."""
        self.in_force = in_force
        self.world = World(seed, PLAIN)
        self.rng = random.Random(seed)
        self.tolerated = tolerated
        self.disks: dict[str, MemoryDisk] = {}
        self.controllers: dict[str, Controller] = {}
        self.gateways: dict[str, Gateway] = {}
        self.observers: dict[str, Observer] = {}
        self.stub_instances: dict[str, StubInstance] = {}
        self.platform_down = False
        self.platform_calls = 0
        self.regions = zones or ZONES
        self.zones = list(self.regions)
        hosts = seeds or [f"10.1.0.{at + 1}" for at in range(min(cores, 3))]
        self.seeds = [f"{host}:{CONTROL}" for host in hosts]
        self.caller = self.world.machine("caller", "10.8.0.1")
        platform = self.world.machine("platform", PLATFORM)
        platform.serve(lambda scheduler: HttpServer(scheduler, (PLATFORM, 8169), self._list))
        for at in range(cores):
            self.add_core(f"c{at + 1}", f"10.1.0.{at + 1}", bootstrap=True)
        for at in range(gateways):
            self.add_gateway(f"g{at + 1}", f"10.2.0.{at + 1}", self.zones[at % len(self.zones)])
        for at in range(observers):
            self.add_observer(f"o{at + 1}", f"10.4.0.{at + 1}")
        self.wait(lambda: len(self.controllers) == cores and len(self.gateways) == gateways)
        self.wait(lambda: len(self.observers) == observers)

    # --- machines --------------------------------------------------------------------------------

    def _list(self, request: HttpRequest) -> HttpResponse:
        self.platform_calls += 1
        if self.platform_down:
            return json_response(429, {})
        entries = [each.entry() for each in self.stub_instances.values() if each.is_listed]
        return json_response(200, {"instances": entries, "next_token": None})

    def add_instance(self, name: str, service: str = "llm", zone: str = "n1") -> StubInstance:
        ip = f"10.3.0.{len(self.stub_instances) + 1}"
        instance = StubInstance(self.world.machine(name, ip), name, service, zone, ip)
        self.stub_instances[name] = instance
        return instance

    def _settings(
        self, name: str, ip: str, zone: str, bootstrap: bool, core: bool
    ) -> settings_reader.Settings:
        bind = (
            f'control = "{ip}:{CONTROL}"\ndirectory = "{ip}:{DIRECTORY}"'
            if core
            else f'front = "{ip}:{FRONT}"\nready = "{ip}:{READY}"'
        )
        text = SETTINGS.format(
            name=name,
            ip=ip,
            zone=zone,
            region=self.regions[zone],
            zones="\n".join(f'{name} = "{region}"' for name, region in self.regions.items()),
            seeds=json.dumps(self.seeds),
            in_force=json.dumps(self.in_force),
            bootstrap=str(bootstrap).lower(),
            data_dir="/data" if core else "",
            serves='["controller", "registry"]' if core else '["edge"]',
            bind=bind,
            tolerated=self.tolerated,
        )
        return settings_reader.parse(text, "local.toml")

    def add_core(self, name: str, ip: str, bootstrap: bool = False) -> None:
        self.world.machine(name, ip)
        self.disks[name] = MemoryDisk()
        self.start_core(name, bootstrap)

    def start_core(self, name: str, bootstrap: bool = False) -> Process:
        machine = self.world.machines[name]
        zone = self.zones[(int(name[1:]) - 1) % len(self.zones)]
        settings = self._settings(name, machine.ip, zone, bootstrap, core=True)

        def main(system: VirtualSystem) -> None:
            controller = Controller(system, settings, self.disks[name])
            self.controllers[name] = controller
            controller.run()

        return machine.start(main, name)

    def add_observer(self, name: str, ip: str) -> None:
        """Add a machine with an observer, which has no disk."""
        self.world.machine(name, ip)
        self.start_observer(name)

    def start_observer(self, name: str) -> Process:
        machine = self.world.machines[name]
        zone = self.zones[(int(name[1:]) - 1) % len(self.zones)]
        settings = self._settings(name, machine.ip, zone, True, core=True)
        settings = settings.model_copy(update={"data_dir": ""})

        def main(system: VirtualSystem) -> None:
            self.observers[name] = Observer(system, settings)
            self.observers[name].run()

        return machine.start(main, name)

    def add_gateway(self, name: str, ip: str, zone: str) -> None:
        self.world.machine(name, ip)
        self.start_gateway(name, zone)

    def start_gateway(self, name: str, zone: str = "n1") -> Process:
        machine = self.world.machines[name]
        settings = self._settings(name, machine.ip, zone, bootstrap=False, core=False)

        def main(system: VirtualSystem) -> None:
            gateway = Gateway(system, settings, metrics_endpoint=METRICS)
            self.gateways[name] = gateway
            gateway.run()

        return machine.start(main, name)

    def power_off(self, name: str, nothing_unsynced: bool = False) -> None:
        """Power off a machine, which loses the data that it has not synced."""
        self.world.machines[name].vanish()
        if name in self.disks:
            self.disks[name].lose_power(self.rng, nothing_unsynced)

    def power_on(self, name: str) -> None:
        self.world.machines[name].come_back()
        if name in self.disks:
            self.start_core(name)
        elif name in self.observers:
            self.start_observer(name)
        else:
            self.start_gateway(name, self.gateways[name].settings.zone)

    def process(self, name: str) -> Process:
        process = self.world.machines[name].process
        assert process is not None
        return process

    # --- time ------------------------------------------------------------------------------------

    @property
    def now(self) -> float:
        return self.world.now_ns / SECOND

    def sleep(self, seconds: float) -> None:
        self.world.run(self.world.now_ns + int(seconds * SECOND))

    def wait(self, until: Callable[[], bool], seconds: float = 20.0) -> None:
        end = self.world.now_ns + int(seconds * SECOND)
        while not until():
            assert self.world.now_ns < end, f"the condition was not met within {seconds} s"
            self.world.run(self.world.now_ns + SECOND // 50)

    def leader(self) -> str | None:
        for name, controller in self.controllers.items():
            alive = self.world.machines[name].processes
            if alive and controller.replica.consensus.is_leader:
                return name
        return None

    def close(self) -> None:
        self.world.close()

    # --- requests --------------------------------------------------------------------------------

    def start_call(
        self,
        address: tuple[str, int],
        method: str,
        target: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float = 5.0,
    ) -> Reply:
        """Send a request of an external client; the reply is filled in while virtual time advances."""
        reply = Reply()

        def run(scheduler: Scheduler) -> None:
            begun = scheduler.now()
            try:
                self._call(scheduler, reply, address, method, target, headers or {}, body, begun + timeout_s)
            except (OSError, TaskTimeoutError, h11.ProtocolError) as error:
                reply.error = type(error).__name__
            reply.seconds = scheduler.now() - begun
            reply.error = reply.error or "none"
            scheduler.stop()

        self.caller.serve(lambda scheduler: scheduler.spawn(run, scheduler), "call")
        return reply

    @staticmethod
    def _call(
        scheduler: Scheduler,
        reply: Reply,
        address: tuple[str, int],
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        deadline: float,
    ) -> None:
        stream = Stream.connect(scheduler, address, deadline)
        connection = h11.Connection(h11.CLIENT)
        sent = [("Host", headers.pop("Host", "h")), *headers.items(), ("Content-Length", str(len(body)))]
        data = connection.send(h11.Request(method=method, target=target, headers=sent)) or b""
        data += connection.send(h11.Data(data=body)) or b""
        data += connection.send(h11.EndOfMessage()) or b""
        try:
            stream.send(data, deadline)
            while True:
                event = connection.next_event()
                if event is h11.NEED_DATA:
                    connection.receive_data(stream.receive(deadline) or b"")
                elif isinstance(event, h11.Response):
                    reply.status = event.status_code
                    reply.headers = {key.decode(): value.decode() for key, value in event.headers}
                elif isinstance(event, h11.Data):
                    reply.body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    reply.is_complete = True
                    return
                else:
                    return
        finally:
            stream.close()

    def call(self, address: tuple[str, int], method: str, target: str, **given: Any) -> Reply:
        """Send a request of an external client, and wait for its end."""
        reply = self.start_call(address, method, target, **given)
        self.wait(lambda: bool(reply.error), 30.0)
        return reply

    def control(self, core: str, method: str, target: str, **given: Any) -> Reply:
        """Send an operator's request to a controller or observer."""
        return self.call((self.world.machines[core].ip, CONTROL), method, target, **given)

    def put(self, core: str, base: int, body: bytes) -> Reply:
        """Send a configuration that is based on a revision."""
        return self.control(core, "PUT", "/api/config", headers={"If-Match": str(base)}, body=body)

    def race_changes(self, method: str, base: int, bodies: list[bytes]) -> int:
        """Send two changes on one revision to two controllers at once; return which one was accepted.

        The other one has to be refused because the revision is outdated.
        """
        replies = [
            self.start_call(
                (self.world.machines[core].ip, CONTROL),
                method,
                "/api/config",
                headers={"If-Match": str(base)},
                body=body,
            )
            for core, body in zip(("c2", "c3"), bodies, strict=True)
        ]
        self.wait(lambda: all(reply.error for reply in replies))
        statuses = [reply.status for reply in replies]
        assert sorted(statuses) == [200, 412]
        return statuses.index(200)

    def request(self, gateway: str, target: str = "/s/x", attempt: str = "a1", **given: Any) -> Reply:
        """Send a client's request to a gateway, and wait for its end."""
        return self.call(*self._request(gateway, target, attempt, given), **given)

    def start_request(self, gateway: str, target: str = "/s/x", attempt: str = "a1", **given: Any) -> Reply:
        """Send a client's request to a gateway; it proceeds while virtual time advances."""
        return self.start_call(*self._request(gateway, target, attempt, given), **given)

    def _request(
        self, gateway: str, target: str, attempt: str, given: dict[str, Any]
    ) -> tuple[tuple[str, int], str, str]:
        given["headers"] = {
            "X-Attempt-Id": attempt,
            "X-Deadline-Remaining": "4000",
            **given.get("headers", {}),
        }
        given.setdefault("body", b"prompt")
        return (self.world.machines[gateway].ip, FRONT), "POST", target

    def metrics(self, gateway: str) -> dict[str, float]:
        """Scrape the metrics of a gateway; return values by name with labels."""
        reply = self.call((self.world.machines[gateway].ip, METRICS.port), "GET", METRICS.path)
        lines = [line for line in reply.body.decode().splitlines() if not line.startswith("#")]
        return {name: float(value) for name, value in (line.rsplit(" ", 1) for line in lines)}

    def arrivals(self, attempt: str) -> list[Arrival]:
        """The arrivals of a request at all instances, in the order of time."""
        seen = [arrival for instance in self.stub_instances.values() for arrival in instance.arrivals]
        return sorted((each for each in seen if each.attempt == attempt), key=lambda each: each.at)

    def served(self, body: bytes | None = None) -> VirtualDeployment:
        """Put a configuration, and wait until all gateways are ready."""
        reply = self.put("c1", 0, body or configuration(1))
        assert reply.status == 200, reply
        self.wait(lambda: all(gateway.is_ready for gateway in self.gateways.values()))
        return self


__all__ = ["Arrival", "Machine", "Reply", "StubInstance", "VirtualDeployment", "configuration", "route"]
