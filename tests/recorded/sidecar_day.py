"""A simulated run of several sidecars with all features on, and the responses to operators' tools."""

from __future__ import annotations

import logging
from typing import Any

import msgspec

from brambleusher.lab.fleets.figures import ADMIN_PORT
from brambleusher.lab.fleets.fleet import Fleet, empty_world
from brambleusher.lab.fleets.scenario import draw_scenario
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.streams import Stream

SECOND = 10**9
STATUS_PORT = 8099
TARGETS = (
    "GET /control/ready",
    "GET /control/counters",
    "POST /control/registry-nodes/{node}/offline",
    "POST /control/registry-nodes/{node}/online",
    "POST /control/registry-nodes/nobody/offline",
    "POST /control/registry-nodes/%zz/offline",
    "POST /control/out-of-service",
    "GET /control/ready",
    "POST /control/in-service",
    "PUT /control/in-service",
    "GET /control",
    "GET /control/counters",
)
PAGES = ("GET /status.json", "GET /", "POST /", "GET /none")


class FieldCapture(logging.Handler):
    """Keeps the fields of log records that contain a field of a given name."""

    def __init__(self, name: str) -> None:
        super().__init__(logging.INFO)
        self.name_of_field, self.fields = name, list[dict[str, Any]]()

    def emit(self, record: logging.LogRecord) -> None:
        """Keep the fields of a record if they include the given name."""
        fields: dict[str, Any] = getattr(record, "fields", {})
        if self.name_of_field in fields:
            self.fields.append(dict(fields))


def play(figures_format: str) -> dict[str, Any]:
    """Run the simulation; return the responses, the metrics lines and all counters."""
    scenario = draw_scenario(11, "operators")
    operator = {
        **scenario.world.operator,
        "figures": {"format": figures_format, "target": "stderr", "flush_ms": 500},
        "status": {"port": STATUS_PORT, "refresh_ms": 200},
        "zones": {"half_life_s": 2.0, "spill": 0.5},
    }
    # Some requests name an unknown tenant and some no tenant: metrics have a tag for both cases.
    tenants = {0: "stranger", 1: ""}
    asks = tuple(
        msgspec.structs.replace(ask, tenant=tenants.get(number % 7, ask.tenant))
        for number, ask in enumerate(scenario.asks)
    )
    world_figures = msgspec.structs.replace(scenario.world, operator=operator)
    scenario = msgspec.structs.replace(scenario, world=world_figures, asks=asks)
    answers: list[tuple[str, str]] = []
    captured, log = FieldCapture("connections_accepted"), logging.getLogger("brambleusher")
    log.addHandler(captured)
    log.setLevel(logging.INFO)
    with empty_world(scenario) as world:
        fleet = Fleet(scenario, world)
        caller = world.machine("caller", "10.9.0.1")
        sidecar = fleet.sidecars[0]

        def call(scheduler: Scheduler, port: int, line: str) -> None:
            end = scheduler.now() + 3.0
            got = b""
            try:
                stream = Stream.connect(scheduler, (sidecar.machine.ip, port), end)
                stream.send(f"{line} HTTP/1.1\r\nHost: s\r\n\r\n".encode(), end)
                while data := stream.receive(end):
                    got += data
                stream.close()
            except OSError as error:
                got += type(error).__name__.encode()
            answers.append((line, got.decode()))

        def ask(scheduler: Scheduler) -> None:
            node = scenario.world.nodes[0].id
            for line in TARGETS:
                call(scheduler, ADMIN_PORT, line.format(node=node))
            for line in PAGES:
                call(scheduler, STATUS_PORT, line)
            scheduler.stop()

        def ask_all() -> None:
            caller.serve(lambda scheduler: scheduler.spawn(ask, scheduler), "ask")

        fleet.start()
        for seconds in (2, 5):
            world.at(fleet.begins_ns + seconds * SECOND, ask_all)
        world.run(fleet.ends_ns)
        fleet.dump()
        world.run(world.now_ns + 2 * SECOND)
        for each in fleet.sidecars:
            if each.process is not None:
                each.process.signal(15)
        world.run(world.now_ns + 5 * SECOND)
        written = [bytes(each.process.stderr).decode() for each in fleet.sidecars if each.process is not None]
    log.removeHandler(captured)
    lines = [line for text in written for line in text.splitlines()]
    return {
        "answers": answers,
        "metrics": [line for line in lines if line.startswith("brambleusher.")],
        "counters": captured.fields,
    }
