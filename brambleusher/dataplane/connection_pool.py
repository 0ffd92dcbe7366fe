"""A pool of connections to instances, kept idle between requests."""

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
from brambleusher.wire.digits import parse_digits
from brambleusher.wire.policy import Policy

CONNECT_TIMEOUT_S = 0.25  # two round trips between far regions; capped at half of the remaining time
UNACKNOWLEDGED_MAX_S = 0.6  # an instance is unreachable if bytes or TCP probes go unacknowledged for longer
IDLE_DEFAULT_S = 3.0  # idle limit if the response has no `Keep-Alive` timeout
IDLE_MARGIN_S = 1.0  # subtracted from the `Keep-Alive` timeout, so that no expiring connection is used
IDLE_TIMEOUT_MAX_S = 60.0  # upper bound of the learned idle timeout
IDLE_TIMEOUT_MIN_S = 0.5  # connections idle for less than this are always reused
IDLE_RECOVERY_TARGET_S = 0.5  # time unit, in seconds, in which the learned idle timeout recovers
RESET_WINDOW_TARGETS = 10.0  # time constant, in latency targets, with which past resets are forgotten
CONNECTION_FRACTION = 0.8  # part of the limit used by all gateways together, as they may be miscounted
RESPONSE_HEAD_MAX_BYTES = 64 * 1024
NS_PER_S = 1e9

Headers = Sequence[tuple[bytes, bytes]]


def connection_quota(limit: int, gateways: float) -> int:
    """Return how many connections to one instance a gateway may hold, given the limit of all gateways."""
    return max(1, int(limit * CONNECTION_FRACTION / max(gateways, 1.0)))


class ConnectionPool:
    """Opens, reuses and closes connections; the idle ones are kept with each instance."""

    def __init__(
        self,
        scheduler: Scheduler,
        instances: InstanceTable,
        drops_idle_silently: bool = False,
        policy: Policy | None = None,
    ) -> None:
        """Create a pool; with `drops_idle_silently` instances drop idle connections without closing them."""
        self._scheduler, self._instances = scheduler, instances
        self._idle_timeout = IdleTimeout(IDLE_TIMEOUT_MAX_S * NS_PER_S, IDLE_TIMEOUT_MIN_S * NS_PER_S)
        self.drops_idle_silently = drops_idle_silently
        self._policy = policy or Policy()

    @property
    def learned_idle_timeout_s(self) -> float:
        """The longest idle time in seconds after which a connection is still reused."""
        return (
            self._idle_timeout.timeout_ns / NS_PER_S
            if self._policy.learns_idle_timeout
            else IDLE_TIMEOUT_MAX_S
        )

    def has_capacity(self, instance: Instance) -> bool:
        """Whether an idle connection exists or a new one may be opened."""
        if instance.idle_connections:
            return True
        service = self._instances.services.get(instance.service)
        limit = service.connection_limit if service is not None else 1
        return instance.connection_count < connection_quota(limit, self._instances.gateway_count)

    # --- acquire and release ----------------------------------------------------------------------

    def acquire_idle(self, instance: Instance, must_run_once: bool) -> UpstreamConnection | None:
        """Take an idle connection whose idle time is within the limit; return None if there is none.

        A request that must run once gets an idle connection only if the instance was in contact recently: if
        the instance has lost power, a request on an idle connection is lost, while a new connection only
        fails to open.
        """
        now_s = self._scheduler.now()
        is_stale = now_s - instance.last_contact_s > CONTACT_FRESH_S
        if must_run_once and self.drops_idle_silently and is_stale:
            return None
        timeout_s = self.learned_idle_timeout_s
        while instance.idle_connections:
            connection = instance.idle_connections.pop()
            idle_s = now_s - connection.idle_since_s
            if connection.idle_until_s > now_s and idle_s <= timeout_s and connection.stream.is_idle():
                connection.idle_s = idle_s
                return connection
            self.close(instance, connection)
        return None

    def connect(self, instance: Instance, deadline_s: float) -> Result[UpstreamConnection, ConnectFailed]:
        """Open a connection, and record the success or failure for the instance and its zone."""
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
        """Return a connection to the pool, or close it if its response does not allow another request."""
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
        """Close a connection that is not among the idle ones."""
        connection.stream.close()
        instance.connection_count -= 1

    def close_idle(self, instances: Sequence[Instance]) -> None:
        """Close the idle connections of instances that may not be used any more."""
        for instance in instances:
            idle, instance.idle_connections = instance.idle_connections, []
            for connection in idle:
                self.close(instance, connection)

    def close_expired(self, instances: Sequence[Instance]) -> None:
        """Close connections whose `Keep-Alive` time has passed."""
        now_s = self._scheduler.now()
        for instance in instances:
            expired = [each for each in instance.idle_connections if each.idle_until_s <= now_s]
            for connection in expired:
                instance.idle_connections.remove(connection)
                self.close(instance, connection)

    # --- learned idle timeout ---------------------------------------------------------------------

    def record_response(self, connection: UpstreamConnection) -> None:
        """Record that a response arrived; if the connection was reused, its idle time was safe."""
        if connection.idle_s:
            self._idle_timeout.record_attempt(AttemptStatus.OK, int(connection.idle_s * NS_PER_S))
            connection.idle_s = 0.0

    def record_reset(self, connection: UpstreamConnection) -> None:
        """Record a reset; if the connection was reused, the instance may have dropped it while idle."""
        if connection.idle_s:
            self._idle_timeout.record_attempt(AttemptStatus.RESET, int(connection.idle_s * NS_PER_S))

    def tick(self, elapsed_s: float) -> None:
        """Let the learned idle timeout recover as time passes."""
        targets = elapsed_s / IDLE_RECOVERY_TARGET_S
        self._idle_timeout.recover(targets, math.exp(-targets / RESET_WINDOW_TARGETS))


def _keep_alive_s(headers: Headers) -> float:
    """Return how long a connection may stay idle in seconds, less a margin; at most 0 to close it now."""
    for name, value in headers:
        if name == b"connection" and b"close" in value.lower():
            return 0.0
        if name == b"keep-alive":
            for parameter in value.split(b","):
                key, _, digits = parameter.strip().partition(b"=")
                timeout_s = parse_digits(digits.strip())
                if key.strip().lower() == b"timeout" and timeout_s is not None:
                    return timeout_s - IDLE_MARGIN_S
    return IDLE_DEFAULT_S
