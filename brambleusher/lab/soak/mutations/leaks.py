"""Mutations after which requests, memory or connections are never released."""

from __future__ import annotations

from brambleusher.dataplane.client_connection import ClientConnection
from brambleusher.dataplane.connection_pool import ConnectionPool
from brambleusher.gateway.client_server import ClientServer
from brambleusher.lab.faults.breakages import Patches
from brambleusher.lab.soak.mutations.registry import mutation
from brambleusher.loadbalancing.instance_weights import InstanceWeights
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import Socket

LEAKED_BYTES = 4 * 2**20  # the memory that leaks with each accepted connection


@mutation("attempts-kept", "gateway", "attempts whose client left stay counted", "left-over")
def _attempts_leak(patches: Patches) -> None:
    patches.set(InstanceWeights, "abandon_attempt", lambda self, name, attempt, now: None)


@mutation("requests-kept", "gateway", "requests whose client left stay counted", "left-over", "exit")
def _requests_leak(patches: Patches) -> None:
    def serve_next(self: ClientServer, client: ClientConnection) -> bool:
        may_go_on = bool(original(self, client))
        self.active_requests += client.presence.has_left
        return may_go_on

    original = patches.set(ClientServer, "_serve_next", serve_next)


@mutation("memory-kept", "all", "each accepted connection leaves 4 MB behind", "bounds")
def _memory_leaks(patches: Patches) -> None:
    leaked: list[bytearray] = []

    def accept(self: RealSystem, listener: Socket) -> tuple[Socket, str]:
        leaked.append(bytearray(b"\1" * LEAKED_BYTES))
        accepted: tuple[Socket, str] = original(self, listener)
        return accepted

    original = patches.set(RealSystem, "accept", accept)


@mutation("connections-kept", "gateway", "connections to instances are never closed", "bounds", "departed")
def _connections_leak(patches: Patches) -> None:
    leaked: list[Stream] = []

    def close(self: Stream) -> None:
        if self.open:
            self.open = False
            leaked.append(self)

    patches.set(ConnectionPool, "close_expired", lambda self, instances: None)
    patches.set(Stream, "close", close)
