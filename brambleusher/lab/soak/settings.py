"""The settings of a soak: its seed, its duration, its machines and their addresses."""

from __future__ import annotations

import os
from dataclasses import dataclass

ZONES = {"n1": "north", "n2": "north", "s1": "south"}
CONTROL_PORT, DIRECTORY_PORT, FRONT_PORT, READY_PORT, PEER_PORT = 8166, 8164, 8161, 8167, 7720
INSTANCE_PORT, PLATFORM_PORT, METRICS_PORT = 8180, 8169, 9464
SIDECAR_PORT, DISCOVERY_PORT = 8190, 8191
METRICS_PATH = "/metrics"
DURATION_MIN_S = 10.0
GATEWAYS_MAX = 240  # one machine can run a few hundred processes
CONTROLLERS_MIN = 3
# The number of concurrent soaks with separate loopback networks 127.X, and the lowest X.
NETWORKS, FIRST_OCTET = 100, 100
ENDPOINTS_MIN = 2
SIDECAR_GRACE_S = 5.0  # the grace period of a sidecar; longer than the longest deadline plus 0.7 s
GRACE_S = 8.0  # the time between SIGTERM and SIGKILL for all processes except sidecars
DEPARTED_S = 0.5  # how long a run may continue after its client left, without the soak's own stalls
DEPARTED_MIN_S = 0.05  # the lowest limit that may be set; an event loop that is not late needs less time


def grace_period_s(process: str) -> float:
    """Return the grace period of a process: the seconds between SIGTERM and SIGKILL."""
    return SIDECAR_GRACE_S if process.startswith("sidecar") else GRACE_S


class InvalidSoakSettingsError(ValueError):
    """The settings of a soak are invalid; the message names the option."""


@dataclass(frozen=True, slots=True)
class SoakSettings:
    """The settings of one soak."""

    seed: int
    duration_s: float = 30.0
    gateways: int = 4
    controllers: int = CONTROLLERS_MIN
    instances: int = 6
    clients: int = 24
    sidecars: int = 2
    endpoints: int = 4
    departed_s: float = DEPARTED_S
    mutation: str = ""  # the name of the mutation that is applied in all processes; empty for none
    processes_id: int = os.getpid()  # selects the loopback network, which concurrent soaks must not share

    def __post_init__(self) -> None:
        """Check the options; raises `InvalidSoakSettingsError`."""
        if self.duration_s < DURATION_MIN_S:
            raise InvalidSoakSettingsError(f"seconds: {self.duration_s:g} is under {DURATION_MIN_S:g}")
        if not 1 <= self.gateways <= GATEWAYS_MAX:
            raise InvalidSoakSettingsError(f"gateways: {self.gateways} is not from 1 to {GATEWAYS_MAX}")
        if self.controllers < CONTROLLERS_MIN:
            raise InvalidSoakSettingsError(f"controllers: {self.controllers} is under {CONTROLLERS_MIN}")
        if self.instances < len(ZONES) or self.clients < 1:
            raise InvalidSoakSettingsError("instances, clients: at least one for each zone, and one client")
        if not self.departed_s >= DEPARTED_MIN_S:
            raise InvalidSoakSettingsError(f"departed: {self.departed_s:g} is under {DEPARTED_MIN_S:g}")
        if self.sidecars < 0 or (self.sidecars and self.endpoints < ENDPOINTS_MIN):
            raise InvalidSoakSettingsError(f"sidecars: at least {ENDPOINTS_MIN} endpoints are needed")

    @property
    def zone_names(self) -> list[str]:
        """The names of all zones."""
        return list(ZONES)

    @property
    def gateway_names(self) -> list[str]:
        """The names of all gateways."""
        return [f"gateway-{number}" for number in range(1, self.gateways + 1)]

    @property
    def controller_names(self) -> list[str]:
        """The names of all controllers."""
        return [f"controller-{number}" for number in range(1, self.controllers + 1)]

    @property
    def sidecar_names(self) -> list[str]:
        """The names of all sidecars."""
        return [f"sidecar-{number}" for number in range(1, self.sidecars + 1)]

    @property
    def endpoint_names(self) -> list[str]:
        """The names of the instances behind the sidecars; empty without sidecars."""
        return [f"endpoint-{number}" for number in range(1, self.endpoints + 1)] if self.sidecars else []

    @property
    def instance_names(self) -> list[str]:
        """The names of the instances behind the gateways, for both services."""
        return [f"instance-{number}" for number in range(1, self.instances + 1)]

    def zone_of(self, number: int) -> str:
        """Return the zone of a machine by its number, which counts from 1 in each class of machines."""
        return self.zone_names[(number - 1) % len(ZONES)]

    def ip(self, machine_class: int, number: int) -> str:
        """Return a loopback address that is unique among the machines of this and other soaks."""
        own = self.processes_id % NETWORKS
        return f"127.{FIRST_OCTET + own}.{machine_class}.{number}"
