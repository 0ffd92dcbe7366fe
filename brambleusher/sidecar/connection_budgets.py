"""How many connections one process may hold, from the limits that the platform gives the sidecar.

Limits of memory and of descriptors are divided among the runtime, the features that are on, and connections.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from brambleusher.admin.server import DESCRIPTORS as ADMIN_DESCRIPTORS
from brambleusher.features.status import DESCRIPTORS as STATUS_DESCRIPTORS
from brambleusher.handover.process_registry import DESCRIPTORS as HANDOVER_DESCRIPTORS
from brambleusher.operator_settings.configuration import OperatorFile
from brambleusher.operator_settings.section import OperatorFileError
from brambleusher.sidecar.configuration import Config

if TYPE_CHECKING:
    from brambleusher.fronts.mysql.settings import MysqlSettings

KIB = 1024
MIB = 1024 * KIB

BASE_DESCRIPTORS = 32  # the watch, the listener, the log, files that the runtime opens
# Of the descriptors: clients never hold more connections to send requests on, says the platform.
REQUESTING_CLIENTS_FRACTION = 1 / 3
UPSTREAM_FRACTION = 0.4  # of the connections: those to endpoints; the rest is for clients
MIN_CONNECTIONS = 8  # to endpoints, and of clients
MIN_SHARED_CONNECTIONS = 32  # of one of several processes, however little memory there is
FEATURE_FRACTION_DIVISOR = 2  # features may take one half of what is left, no more

# Measured: 11 MB at the start, 17 MB after a minute with 60 connections in use.  A figure too high leaves
# too few connections on a small endpoint, and attempts find none: that looks like endpoints that are full.
RUNTIME_MEMORY_BYTES = 20 * MIB
# Of the runtime's memory, for features; 16 MB measured with the usual ones on.
FEATURE_BUFFERS_MEMORY_BYTES = 2 * MIB
MYSQL_MEMORY_BYTES = 48 * MIB  # its libraries and what it remembers of statements
MYSQL_SESSION_MEMORY_BYTES = 48 * KIB  # one that is idle has less than half of it
CONNECTION_MEMORY_BYTES = 64 * KIB  # the largest body that is buffered, or a piece of one that is streamed


@dataclass(frozen=True, slots=True)
class ConnectionBudgets:
    """How many connections one process may hold.

    Attributes:
        upstream: Connections to endpoints.
        clients: Connections of clients.
        requesting_clients: Of the clients' connections, those that can ever send requests.
    """

    upstream: int
    clients: int
    requesting_clients: int


def feature_buffers_memory(operator: OperatorFile, max_bytes: int) -> int:
    """Return the bytes that the features' buffers may take beyond their usual sizes.

    Raises:
        OperatorFileError: They are more than `max_bytes`.
    """
    buffers_kib = 0
    if operator.metrics is not None:
        buffers_kib += operator.metrics.buffer_kb
    if (capture := operator.capture) is not None:
        buffers_kib += capture.ring_kb * (2 if capture.dir is None else 3)  # one in flight to each reader
    excess = max(0, buffers_kib * KIB - FEATURE_BUFFERS_MEMORY_BYTES)
    if excess > max_bytes:
        # Guards against a sidecar killed for its memory once the ring is full.
        raise OperatorFileError("capture.ring_kb and figures.buffer_kb don't fit in limits.memory_mb")
    return excess


def _mysql_memory(settings: MysqlSettings, max_bytes: int) -> int:
    sessions = settings.sessions * MYSQL_SESSION_MEMORY_BYTES
    required = MYSQL_MEMORY_BYTES + sessions + settings.memory_mb * MIB
    if required > max_bytes:
        # Guards against a sidecar killed for its memory once its sessions are all there.
        raise OperatorFileError("mysql.sessions and mysql.memory_mb don't fit in limits.memory_mb")
    return required


def _mysql_descriptors(settings: MysqlSettings, max_descriptors: int) -> int:
    required = settings.sessions + settings.connections_total
    if required > max_descriptors:
        raise OperatorFileError("mysql.sessions and mysql.connections_total don't fit in limits.sockets")
    return required


def connection_budgets(
    config: Config, operator: OperatorFile, *, process_share: float, has_process_group: bool
) -> ConnectionBudgets:
    """Return what a process may hold that has a share, from 0 to 1, of the sidecar's limits.

    Raises:
        OperatorFileError: Features that are on need more than the limits leave.
    """
    limits = config.limits
    memory = limits.memory_mb * MIB - RUNTIME_MEMORY_BYTES  # the least allowed is 32 MB
    memory -= feature_buffers_memory(operator, memory // FEATURE_FRACTION_DIVISOR)
    descriptors = BASE_DESCRIPTORS + (STATUS_DESCRIPTORS if operator.status is not None else 0)
    if config.admin is not None:
        descriptors += ADMIN_DESCRIPTORS
    if has_process_group:
        descriptors += HANDOVER_DESCRIPTORS
    if operator.mysql is not None:
        memory -= _mysql_memory(operator.mysql, memory // FEATURE_FRACTION_DIVISOR)
        available = (limits.sockets - descriptors) // FEATURE_FRACTION_DIVISOR
        descriptors += _mysql_descriptors(operator.mysql, available)
    if process_share < 1:
        memory = int((memory - RUNTIME_MEMORY_BYTES) * process_share)  # another process has its own runtime
        memory = max(memory, MIN_SHARED_CONNECTIONS * CONNECTION_MEMORY_BYTES)
    connections = min(int(limits.sockets * process_share) - descriptors, memory // CONNECTION_MEMORY_BYTES)
    upstream = max(int(connections * UPSTREAM_FRACTION), MIN_CONNECTIONS)
    clients = max(connections - upstream, MIN_CONNECTIONS)
    requesting = max(int(limits.sockets * REQUESTING_CLIENTS_FRACTION), MIN_CONNECTIONS)
    return ConnectionBudgets(upstream, clients, min(clients, requesting))
