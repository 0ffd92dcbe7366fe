"""The configuration of a soak's sidecars, and the discovery service that lists their endpoints."""

from __future__ import annotations

import json

from brambleusher.lab.soak.instances import SoakInstance
from brambleusher.lab.soak.settings import DISCOVERY_PORT, INSTANCE_PORT
from brambleusher.lab.soak.wires import DEADLINE_S, NOTICE_CLASS, READ_CLASS
from brambleusher.lab.stand_ins.discovery import Discovery, Entry
from brambleusher.lab.stand_ins.settings import DiscoverySettings
from brambleusher.runtime.scheduler import Scheduler

NS_PER_S = 10**9
SEED = "2a"  # the seed of a sidecar's random generator, in hexadecimal
CLASSES = {READ_CLASS: "read_like", NOTICE_CLASS: "non_idempotent"}
SOCKETS = 1024


def sidecar_configuration(name: str, listen: str, discovery: str) -> str:
    """Return the text of a sidecar's configuration file."""
    classes = [
        {
            "name": request_class,
            "promise_ns": NS_PER_S // 2,
            "give_up_ns": int(DEADLINE_S * NS_PER_S),
            "effect": effect,
            "worth": 1.0,
        }
        for request_class, effect in CLASSES.items()
    ]
    settings = {
        "zone": "n1",
        "fleet_size": 1,
        "membership_mode": "subscribe",
        "classes": classes,
        "limits": {
            "max_attempts": 3,
            "max_retry_after_ns": 2 * NS_PER_S,
            "retry_after": True,
            "cancel": True,
            "connect_timeout_ns": NS_PER_S // 4,
            "conn_idle_ns": 30 * NS_PER_S,
        },
        "safety": {
            "drain_grace_ns": NS_PER_S // 2,
            "must_ask_in_ns": 10 * NS_PER_S,
            "cold_ns": NS_PER_S,
            "start_capacity": 0.5,
            "fall_multiple": 4.0,
            "fall_ns": 3 * NS_PER_S,
        },
    }
    return json.dumps(
        {
            "name": name,
            "listen": listen,
            "discovery": discovery,
            "seed": SEED,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS},
            "settings": settings,
        }
    )


class SidecarDiscovery:
    """A discovery service that lists the endpoints and which of them are draining."""

    def __init__(self, scheduler: Scheduler, ip: str, endpoints: list[SoakInstance]) -> None:
        self._endpoints = endpoints
        self._discovery = Discovery(scheduler, DiscoverySettings(), entries=self._entries())
        self._discovery.listen((ip, DISCOVERY_PORT))

    def update(self) -> None:
        """Publish the current states of the endpoints."""
        self._discovery.put(*self._entries())

    def close(self) -> None:
        """Stop listening, and end all watches."""
        self._discovery.close()

    def _entries(self) -> list[Entry]:
        return [
            Entry(
                id=endpoint.id,
                addr=f"{endpoint.ip}:{INSTANCE_PORT}",
                zone="n1",
                kind="std",
                state="Terminating" if endpoint.faults.drains else "Ready",
            )
            for endpoint in self._endpoints
        ]
