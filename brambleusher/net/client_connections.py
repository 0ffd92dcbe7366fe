"""Tracks open client connections and closes them on eviction, out of service and on shutdown."""

from __future__ import annotations

import math
from collections.abc import Iterator

from brambleusher.loadbalancing.client_draining import ClientDraining
from brambleusher.loadbalancing.connection_admission import ConnectionAdmission
from brambleusher.net.client_connection import ClientConnection
from brambleusher.net.http import MessageReader
from brambleusher.observability.counters import Counters
from brambleusher.runtime.scheduler import Scheduler, Task

IDLE_CHECK_INTERVAL_S = 0.05  # seconds between checks for idle connections while out of service


class ClientConnections:
    """Tracks the open client connections and closes those that must give up their slots."""

    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        admission: ConnectionAdmission,
        service: ClientDraining,
    ) -> None:
        self._scheduler, self._counters = scheduler, counters
        self._admission, self._service = admission, service
        self._open: set[ClientConnection] = set()
        self._closing_idle: Task | None = None
        self.is_draining = False  # whether the process drains before it exits, which is never undone
        self.draining_since = math.inf  # start of draining, in seconds on the scheduler's clock

    def __len__(self) -> int:
        """Return the number of open client connections."""
        return len(self._open)

    def add(self, connection: ClientConnection) -> None:
        """Register a connection that was just accepted."""
        self._open.add(connection)
        self._admission.record_open(connection, connection.peer, connection.accepted_at)

    def forget(self, connection: ClientConnection) -> None:
        """Free the slot of a connection that is closed or about to be closed."""
        self._open.discard(connection)
        self._admission.record_close(connection, self._scheduler.now())

    def record_request_start(self, connection: ClientConnection) -> None:
        """Record that a request, or part of a request, has arrived on a connection."""
        self._admission.record_request(connection, self._scheduler.now())

    def record_request_tenant(self, connection: ClientConnection, tenant: str) -> None:
        """Record the tenant of the request that a connection is serving."""
        self._admission.record_tenant(connection, tenant)

    def record_response_sent(self, connection: ClientConnection, reader: MessageReader) -> None:
        """Record a sent response, and mark the connection idle unless its next request has arrived."""
        now = connection.stream.used_at = self._scheduler.now()
        if reader.buffered:
            return
        self._admission.record_idle(connection, now)
        if self._admission.is_scarce(now):
            self.close_least_valuable()

    @property
    def is_full(self) -> bool:
        """Whether every client connection slot is in use."""
        return self._admission.connection_count >= self._admission.max_connections

    def may_keep(self, connection: ClientConnection, now: float) -> bool:
        """Return whether the connection budget lets a connection stay open after its response."""
        return self._admission.may_keep_alive(connection, now)

    # --- closing --------------------------------------------------------------------------------

    def evict_for_next_connection(self) -> bool:
        """Close idle connections until one more can be accepted; return whether any of them was closed."""
        now = self._scheduler.now()
        return self._close_idle(self._admission.evictions_for_new(now, self._admission.max_connections), now)

    def evict_for_descriptor(self) -> bool:
        """Close an idle connection to free a file descriptor; return whether a connection was closed."""
        now = self._scheduler.now()
        return self._close_idle(self._admission.evictions_for_new(now, self._admission.connection_count), now)

    def close_least_valuable(self) -> bool:
        """Close the idle connections above the connection budget; return whether any was closed."""
        now = self._scheduler.now()
        return self._close_idle(self._admission.surplus_connections(now), now)

    def _close_idle(self, candidates: Iterator[object], now: float) -> bool:
        has_closed = False
        for connection in candidates:
            assert isinstance(connection, ClientConnection)
            if connection.stream.peek():
                # The connection has an unread request and is not idle. If this were not recorded, every
                # response would check the connection again, and under load that keeps requests unread.
                self._admission.record_request(connection, now)
            else:
                suffix = "" if connection.was_served else "_silent"
                self._counters.add(f"submitters_closed{suffix}")
                self.close_now(connection)
                has_closed = True
        return has_closed

    def close_now(self, connection: ClientConnection) -> None:
        """Close an idle connection immediately to free its slot."""
        self._release(connection)
        self._open.discard(connection)
        # A task that is cancelled before its first step does not close the stream, so it is closed here.
        connection.stream.close()

    def close_gracefully(self, connection: ClientConnection) -> None:
        """Half-close a connection and close it after its client does, so that no reset discards sent data."""
        self._release(connection)
        self._scheduler.spawn(self._half_close, connection, name="close client connection")

    def _release(self, connection: ClientConnection) -> None:
        connection.is_released = True
        self._admission.record_close(connection, self._scheduler.now())
        if connection.task is not None:
            connection.task.cancel()

    def _half_close(self, connection: ClientConnection) -> None:
        """Discard for a bounded time the requests sent before the client saw the half-close.

        These requests are not served; the client retries them on a new connection.
        """
        try:
            connection.stream.finish()
        except OSError:
            return
        finally:
            self.forget(connection)
            connection.stream.close()

    # --- out of service, and shutdown -----------------------------------------------------------

    def start_closing_idle(self) -> None:
        """Start closing idle connections until the sidecar is back in service."""
        if self._closing_idle is None:
            self._closing_idle = self._scheduler.spawn(self._close_while_out_of_service, name="close idle")

    def _close_while_out_of_service(self) -> None:
        while not self._service.accepts_clients:
            now = self._scheduler.now()
            for connection in self._idle_connections():
                since = connection.stream.used_at
                may_stay = self._service.may_stay_idle(now, since, connection.was_served)
                if not may_stay and connection.stream.is_idle():
                    self.close_gracefully(connection)
            self._scheduler.sleep(IDLE_CHECK_INTERVAL_S)
        self._closing_idle = None

    def start_draining(self) -> None:
        """Close all idle connections; every other connection is closed after its response."""
        self.is_draining, self.draining_since = True, self._scheduler.now()
        for connection in self._idle_connections():
            if connection.stream.is_idle():
                self.close_gracefully(connection)

    def _idle_connections(self) -> list[ClientConnection]:
        idle = self._admission.idle_connections()
        return [connection for connection in idle if isinstance(connection, ClientConnection)]
