"""Computes how many connections a process may hold from the platform's resource limits.

The limits of memory and descriptors are divided among the runtime, the enabled features and connections.
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

BASE_DESCRIPTORS = 32  # descriptors for the discovery watch, listener, log and runtime files
# Fraction of the descriptors; the platform guarantees that clients send requests on no more connections.
REQUESTING_CLIENTS_FRACTION = 1 / 3
UPSTREAM_FRACTION = 0.4  # fraction of connections for endpoints; the rest is for clients
MIN_CONNECTIONS = 8  # minimum number of connections to endpoints, and of client connections
MIN_SHARED_CONNECTIONS = 32  # minimum per process if there are several, even with little memory
FEATURE_FRACTION_DIVISOR = 2  # features may use at most half of the remaining resources

# Measured memory use is 11 MB at start and 17 MB after a minute with 60 connections in use. Too high a value
# leaves too few connections on a small machine, and failed attempts then look like overloaded endpoints.
RUNTIME_MEMORY_BYTES = 20 * MIB
# Part of the runtime's memory for features; 16 MB were measured with the usual features enabled.
FEATURE_BUFFERS_MEMORY_BYTES = 2 * MIB
MYSQL_MEMORY_BYTES = 48 * MIB  # memory of the MySQL libraries and the statement cache
MYSQL_SESSION_MEMORY_BYTES = 48 * KIB  # an idle session uses less than half of this
CONNECTION_MEMORY_BYTES = 64 * KIB  # the largest buffered body, or one chunk of a streamed body


@dataclass(frozen=True, slots=True)
class ConnectionBudgets:
    """The maximum numbers of connections of one process.

    Attributes:
        upstream: Maximum number of connections to endpoints.
        clients: Maximum number of client connections.
        requesting_clients: Maximum number of client connections that send requests.
    """

    upstream: int
    clients: int
    requesting_clients: int


def feature_buffers_memory(operator: OperatorFile, max_bytes: int) -> int:
    """Return the bytes that feature buffers may use beyond their default sizes.

    Raises:
        OperatorFileError: The buffers need more than `max_bytes`.
    """
    buffers_kib = 0
    if operator.metrics is not None:
        buffers_kib += operator.metrics.buffer_kb
    if (capture := operator.capture) is not None:
        # The ring buffer itself and one copy in flight to each of its readers.
        buffers_kib += capture.ring_kb * (2 if capture.dir is None else 3)
    excess = max(0, buffers_kib * KIB - FEATURE_BUFFERS_MEMORY_BYTES)
    if excess > max_bytes:
        # Without this check, the sidecar would be killed for its memory use once the ring buffer is full.
        raise OperatorFileError("capture.ring_kb and figures.buffer_kb don't fit in limits.memory_mb")
    return excess


def _mysql_memory(settings: MysqlSettings, max_bytes: int) -> int:
    sessions = settings.sessions * MYSQL_SESSION_MEMORY_BYTES
    required = MYSQL_MEMORY_BYTES + sessions + settings.memory_mb * MIB
    if required > max_bytes:
        # Without this check, the sidecar would be killed for its memory use once all sessions are open.
        raise OperatorFileError("mysql.sessions and mysql.memory_mb don't fit in limits.memory_mb")
    return required


def _mysql_descriptors(settings: MysqlSettings, max_descriptors: int) -> int:
    required = settings.sessions + settings.connections_total
    if required > max_descriptors:
        raise OperatorFileError("mysql.sessions and mysql.connections_total don't fit in limits.sockets")
    return required


def connection_budgets(
    config: Config, operator: OperatorFile, *, limit_fraction: float, has_process_group: bool
) -> ConnectionBudgets:
    """Return the budgets of a process with a share, from 0 to 1, of the sidecar's limits.

    Raises:
        OperatorFileError: The enabled features need more resources than the limits allow.
    """
    limits = config.limits
    memory = limits.memory_mb * MIB - RUNTIME_MEMORY_BYTES  # `memory_mb` is at least 32
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
    if limit_fraction < 1:
        memory = int((memory - RUNTIME_MEMORY_BYTES) * limit_fraction)  # each process has its own runtime
        memory = max(memory, MIN_SHARED_CONNECTIONS * CONNECTION_MEMORY_BYTES)
    connections = min(int(limits.sockets * limit_fraction) - descriptors, memory // CONNECTION_MEMORY_BYTES)
    upstream = max(int(connections * UPSTREAM_FRACTION), MIN_CONNECTIONS)
    clients = max(connections - upstream, MIN_CONNECTIONS)
    requesting = max(int(limits.sockets * REQUESTING_CLIENTS_FRACTION), MIN_CONNECTIONS)
    return ConnectionBudgets(upstream, clients, min(clients, requesting))
