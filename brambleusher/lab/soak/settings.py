"""What a soak consists of: its seed, its length, its machines and their addresses."""

from __future__ import annotations

import os
from dataclasses import dataclass

ZONES = {"n1": "north", "n2": "north", "s1": "south"}
CONTROL_PORT, DIRECTORY_PORT, FRONT_PORT, READY_PORT, PEER_PORT = 8166, 8164, 8161, 8167, 7720
INSTANCE_PORT, PLATFORM_PORT, METRICS_PORT = 8180, 8169, 9464
SIDECAR_PORT, DISCOVERY_PORT = 8190, 8191
METRICS_PATH = "/metrics"
DURATION_MIN_S = 10.0
GATEWAYS_MAX = 240  # a few hundred processes on one machine
CONTROLLERS_MIN = 3
OWN_ADDRESSES, FIRST_OCTET = 100, 100  # soaks that can have addresses of their own, and the first of these
ENDPOINTS_MIN = 2
SIDECAR_GRACE_S = 5.0  # the longest deadline and 0.7 s more lie within it
GRACE_S = 8.0  # between SIGTERM and SIGKILL
DEPARTED_S = 0.5  # that a run may go on after its client left, beyond the soak's own lateness
DEPARTED_MIN_S = 0.05  # an event loop that is not late needs less


def grace_of(process: str) -> float:
    """Return the seconds between SIGTERM and SIGKILL that a process has."""
    return SIDECAR_GRACE_S if process.startswith("sidecar") else GRACE_S


class InvalidSoakSettingsError(ValueError):
    """A soak can't be played so; the message names the option."""


@dataclass(frozen=True, slots=True)
class SoakSettings:
    """One soak."""

    seed: int
    duration_s: float = 30.0
    gateways: int = 4
    controllers: int = CONTROLLERS_MIN
    instances: int = 6
    clients: int = 24
    sidecars: int = 2
    endpoints: int = 4
    departed_s: float = DEPARTED_S
    mutation: str = ""  # a fault that is planted in all processes; empty: none
    processes_id: int = os.getpid()  # keeps the addresses of two soaks on one machine apart

    def __post_init__(self) -> None:
        """Check the options; raises `InvalidSoakSettingsError`."""
        if self.duration_s < DURATION_MIN_S:
            raise InvalidSoakSettingsError(f"seconds: {self.duration_s:g} is under {DURATION_MIN_S:g}")
        if not 1 <= self.gateways <= GATEWAYS_MAX:
            raise InvalidSoakSettingsError(f"gateways: {self.gateways} is not from 1 to {GATEWAYS_MAX}")
        if self.controllers < CONTROLLERS_MIN:
            raise InvalidSoakSettingsError(f"controllers: {self.controllers} is under {CONTROLLERS_MIN}")
        if self.instances < len(ZONES) or self.clients < 1:
            raise InvalidSoakSettingsError("instances, clients: one a zone and one client at least")
        if not self.departed_s >= DEPARTED_MIN_S:
            raise InvalidSoakSettingsError(f"departed: {self.departed_s:g} is under {DEPARTED_MIN_S:g}")
        if self.sidecars < 0 or (self.sidecars and self.endpoints < ENDPOINTS_MIN):
            raise InvalidSoakSettingsError(f"sidecars: they need {ENDPOINTS_MIN} endpoints at least")

    @property
    def zone_names(self) -> list[str]:
        """All zones."""
        return list(ZONES)

    @property
    def gateway_names(self) -> list[str]:
        """All gateways."""
        return [f"gateway-{number}" for number in range(1, self.gateways + 1)]

    @property
    def controller_names(self) -> list[str]:
        """All controllers."""
        return [f"controller-{number}" for number in range(1, self.controllers + 1)]

    @property
    def sidecar_names(self) -> list[str]:
        """All sidecars."""
        return [f"sidecar-{number}" for number in range(1, self.sidecars + 1)]

    @property
    def endpoint_names(self) -> list[str]:
        """All endpoints of the sidecars."""
        return [f"endpoint-{number}" for number in range(1, self.endpoints + 1)] if self.sidecars else []

    @property
    def instance_names(self) -> list[str]:
        """All instances, of both services."""
        return [f"instance-{number}" for number in range(1, self.instances + 1)]

    def zone_of(self, number: int) -> str:
        """Return the zone of the machine with this number, counted from 1 in its class."""
        return self.zone_names[(number - 1) % len(ZONES)]

    def ip(self, machine_class: int, number: int) -> str:
        """Return a loopback address that no other machine of this or another soak has."""
        own = self.processes_id % OWN_ADDRESSES
        return f"127.{FIRST_OCTET + own}.{machine_class}.{number}"
