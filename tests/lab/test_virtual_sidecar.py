"""Regression tests of the sidecar in virtual time, one for each fault that the lab found."""

from __future__ import annotations

import json
from unittest import mock

from brambleusher.lab.virtual.world import VirtualSystem
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.streams import Stream
from brambleusher.sidecar.app import Sidecar
from brambleusher.sidecar.configuration import parse_config
from tests.lab.lab_builders import SECOND, SERVER, Lab
from tests.rig import SETTINGS


def test_a_connection_closed_before_its_task_began_is_closed() -> None:
    lab = Lab()
    made: list[Sidecar] = []
    config = {
        "name": "n0", "listen": f"{SERVER[0]}:{SERVER[1]}", "discovery": "10.0.0.9:80", "seed": "1",
        "settings": SETTINGS,
    }  # fmt: skip

    def main(system: VirtualSystem) -> None:
        sidecar = Sidecar(parse_config(json.dumps(config).encode(), {}), system=system)
        sidecar.start()
        made.append(sidecar)
        sidecar.run()

    process = lab.server.start(main)
    lab.world.run(lab.world.now_ns + SECOND)
    before = process.descriptors
    # One descriptor is free, so the second connection finds none and the sidecar closes the first for it.
    process.limit = 3 + before + 1

    def two(scheduler: Scheduler) -> list[bytes | None]:
        deadline = scheduler.now() + 1.0
        streams = [Stream.connect(scheduler, SERVER, deadline) for _ in range(2)]
        answers: list[bytes | None] = []
        for stream in streams:
            try:
                stream.send(b"GET /ready HTTP/1.1\r\n\r\n", deadline)
                answers.append(stream.receive(deadline))
            except OSError:
                answers.append(b"")
        for stream in streams:
            stream.close()
        return answers

    with mock.patch("brambleusher.loadbalancing.connection_admission.FIRST_REQUEST_S", 0.0):
        assert [bool(each) for each in lab.run_on_client(two)] == [False, True]
    lab.world.run(lab.world.now_ns + SECOND)
    assert made[0].client_listener.connections == 0
    assert process.descriptors == before
    lab.world.close()
