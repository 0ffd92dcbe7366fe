"""Connections to instances, kept idle between requests."""

from __future__ import annotations

import math
from collections.abc import Sequence

import h11
from result import Err, Ok, Result

from brambleusher.dataplane.attempt_failure import ConnectFailed
from brambleusher.dataplane.instance import Instance, InstanceStatus
from brambleusher.dataplane.instance_table import InstanceTable
from brambleusher.dataplane.placement import CONTACT_FRESH_S
from brambleusher.dataplane.upstream_connection import UpstreamConnection
from brambleusher.loadbalancing.api import AttemptStatus
from brambleusher.loadbalancing.idle_timeout import IdleTimeout
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import Stream
from brambleusher.wire.policy import Policy

CONNECT_TIMEOUT_S = 0.25  # two round trips between far regions; half the time left if that is less
UNACKNOWLEDGED_MAX_S = 0.6  # for bytes or TCP probes: then the instance is unreachable
IDLE_DEFAULT_S = 3.0  # for a connection whose `Keep-Alive` says nothing
IDLE_MARGIN_S = 1.0  # a connection is not used any more so long before `Keep-Alive` ends it
IDLE_MAX_S = 60.0
IDLE_TRUSTED_S = 0.5  # an idle time that is always trusted
TRUST_TARGET_S = 0.5  # the latency target in whose multiples trust comes back
TRUST_WINDOW = 10.0  # latency targets for which resets are remembered
CONNECTION_FRACTION = 0.8  # of the limit that gateways use together: they may be miscounted
RESPONSE_HEAD_MAX_BYTES = 64 * 1024
NS_PER_S = 1e9

Headers = Sequence[tuple[bytes, bytes]]


def connection_quota(limit: int, gateways: float) -> int:
    """Return how many connections to one instance a gateway may hold, given the limit for all of them."""
    return max(1, int(limit * CONNECTION_FRACTION / max(gateways, 1.0)))


class ConnectionPool:
    """Opens, lends, takes back and closes connections, one pool an instance."""

    def __init__(
        self,
        scheduler: Scheduler,
        instances: InstanceTable,
        drops_idle_unseen: bool = False,
        policy: Policy | None = None,
    ) -> None:
        """With `drops_idle_unseen` instances may drop idle connections at any time without closing them."""
        self._scheduler, self._instances = scheduler, instances
        self._idle_timeout = IdleTimeout(IDLE_MAX_S * NS_PER_S, IDLE_TRUSTED_S * NS_PER_S)
        self.drops_idle_unseen = drops_idle_unseen
        self._policy = policy or Policy()

    @property
    def trusted_idle_s(self) -> float:
        """How long a connection may have been idle and is still reused."""
        return self._idle_timeout.timeout_ns / NS_PER_S if self._policy.learns_idle_timeout else IDLE_MAX_S

    def has_capacity(self, instance: Instance) -> bool:
        """Whether a connection is idle or may be opened."""
        if instance.idle_connections:
            return True
        service = self._instances.services.get(instance.service)
        limit = service.connection_limit if service is not None else 1
        return instance.connection_count < connection_quota(limit, self._instances.gateway_count)

    # --- lending ----------------------------------------------------------------------------------

    def acquire_idle(self, instance: Instance, must_run_once: bool) -> UpstreamConnection | None:
        """Take an idle connection that is still trusted; None where there is none.

        A request that must run once gets one only after a recent contact with the instance, which may have
        lost power: a request over an idle connection would be lost, whereas a new connection only fails.
        """
        now_s = self._scheduler.now()
        is_stale = now_s - instance.last_contact_s > CONTACT_FRESH_S
        if must_run_once and self.drops_idle_unseen and is_stale:
            return None
        trusted_s = self.trusted_idle_s
        while instance.idle_connections:
            connection = instance.idle_connections.pop()
            idle_s = now_s - connection.idle_since_s
            if connection.idle_until_s > now_s and idle_s <= trusted_s and connection.stream.is_idle():
                connection.idle_s = idle_s
                return connection
            self.close(instance, connection)
        return None

    def connect(self, instance: Instance, deadline_s: float) -> Result[UpstreamConnection, ConnectFailed]:
        """Open a connection, and record for the instance and its zone whether that succeeded."""
        begin_s = self._scheduler.now()
        instance.connection_count += 1
        try:
            stream = Stream.connect(
                self._scheduler,
                instance.address,
                min(begin_s + CONNECT_TIMEOUT_S, begin_s + (deadline_s - begin_s) / 2),
                prepare=lambda sock: self._scheduler.system.set_unacknowledged_timeout(
                    sock, UNACKNOWLEDGED_MAX_S
                ),
            )
        except (OSError, TaskTimeoutError) as error:
            instance.connection_count -= 1
            return Err(
                self._record_connect_failure(instance, has_timed_out=isinstance(error, TaskTimeoutError))
            )
        except BaseException:
            instance.connection_count -= 1
            raise
        self._record_connected(instance)
        protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=RESPONSE_HEAD_MAX_BYTES)
        return Ok(UpstreamConnection(stream, protocol, handshake_s=self._scheduler.now() - begin_s))

    def _record_connect_failure(self, instance: Instance, has_timed_out: bool) -> ConnectFailed:
        now_s = self._scheduler.now()
        instance.record_connect_failure(now_s)
        if has_timed_out:
            self._instances.zone_backoff.record_timeout(instance.zone, instance.id, now_s)
        return ConnectFailed(has_timed_out)

    def _record_connected(self, instance: Instance) -> None:
        instance.record_connected()
        instance.last_contact_s = self._scheduler.now()
        self._instances.zone_backoff.record_connected(instance.zone)

    def release(self, instance: Instance, connection: UpstreamConnection, headers: Headers) -> None:
        """Put a connection back, or close it where its response does not allow another request."""
        protocol = connection.protocol
        is_clean = (
            protocol.our_state is h11.DONE
            and protocol.their_state is h11.DONE
            and not protocol.trailing_data[0]
        )
        idle_s = _keep_alive_s(headers)
        if not is_clean or idle_s <= 0 or instance.status is not InstanceStatus.READY:
            self.close(instance, connection)
            return
        protocol.start_next_cycle()
        connection.idle_since_s = self._scheduler.now()
        connection.idle_until_s = connection.idle_since_s + idle_s
        instance.idle_connections.append(connection)

    # --- closing ----------------------------------------------------------------------------------

    def close(self, instance: Instance, connection: UpstreamConnection) -> None:
        """Close a connection that is not idle."""
        connection.stream.close()
        instance.connection_count -= 1

    def close_idle(self, instances: Sequence[Instance]) -> None:
        """Close the idle connections of instances that may not be used any more."""
        for instance in instances:
            idle, instance.idle_connections = instance.idle_connections, []
            for connection in idle:
                self.close(instance, connection)

    def close_expired(self, instances: Sequence[Instance]) -> None:
        """Close connections that were idle for too long."""
        now_s = self._scheduler.now()
        for instance in instances:
            expired = [each for each in instance.idle_connections if each.idle_until_s <= now_s]
            for connection in expired:
                instance.idle_connections.remove(connection)
                self.close(instance, connection)

    # --- trust in idle connections ----------------------------------------------------------------

    def record_response(self, connection: UpstreamConnection) -> None:
        """Record that a response came over a connection, reused after an idle time or new."""
        if connection.idle_s:
            self._idle_timeout.record_attempt(AttemptStatus.OK, int(connection.idle_s * NS_PER_S))
            connection.idle_s = 0.0

    def record_reset(self, connection: UpstreamConnection) -> None:
        """Record that a connection was reset: reused after an idle time, it may have been forgotten."""
        if connection.idle_s:
            self._idle_timeout.record_attempt(AttemptStatus.RESET, int(connection.idle_s * NS_PER_S))

    def tick(self, elapsed_s: float) -> None:
        """Let trust in idle connections come back as time passes."""
        targets = elapsed_s / TRUST_TARGET_S
        self._idle_timeout.recover(targets, math.exp(-targets / TRUST_WINDOW))


def _keep_alive_s(headers: Headers) -> float:
    """Return how long a connection may be idle, with a margin; 0 or less where it is to be closed."""
    for name, value in headers:
        if name == b"connection" and b"close" in value.lower():
            return 0.0
        if name == b"keep-alive":
            for parameter in value.split(b","):
                key, _, number = parameter.strip().partition(b"=")
                if key.strip().lower() == b"timeout" and number.strip().isdigit():
                    return float(number) - IDLE_MARGIN_S
    return IDLE_DEFAULT_S
