"""The open connections of clients: which keep their slots, and how each is closed."""

from __future__ import annotations

import math
from collections.abc import Iterator

from brambleusher.loadbalancing.client_draining import ClientDraining
from brambleusher.loadbalancing.connection_admission import ConnectionAdmission
from brambleusher.net.client_connection import ClientConnection
from brambleusher.net.http import MessageReader
from brambleusher.observability.counters import Counters
from brambleusher.runtime.scheduler import Scheduler, Task

IDLE_CHECK_INTERVAL_S = 0.05  # between two looks at connections that are to close while out of service


class ClientConnections:
    """Keeps track of the open connections and closes those that may not stay."""

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
        self.is_draining = False  # for good: the process ends
        self.draining_since = math.inf  # in seconds on the scheduler's clock

    def __len__(self) -> int:
        """Count the open connections."""
        return len(self._open)

    def add(self, connection: ClientConnection) -> None:
        """Take in a connection that was just accepted."""
        self._open.add(connection)
        self._admission.record_open(connection, connection.peer, connection.accepted_at)

    def forget(self, connection: ClientConnection) -> None:
        """Give back the slot of a connection that is closed, or is about to be."""
        self._open.discard(connection)
        self._admission.record_close(connection, self._scheduler.now())

    def mark_asked(self, connection: ClientConnection) -> None:
        """Record that a request, or part of one, has come."""
        self._admission.record_request(connection, self._scheduler.now())

    def mark_tenant(self, connection: ClientConnection, tenant: str) -> None:
        """Record whose request has come."""
        self._admission.record_tenant(connection, tenant)

    def mark_idle(self, connection: ClientConnection, reader: MessageReader) -> None:
        """Record that a response is out; its connection is idle, unless the next request has come already."""
        now = connection.stream.used_at = self._scheduler.now()
        if reader.buffered:
            return
        self._admission.record_idle(connection, now)
        if self._admission.is_scarce(now):
            self.close_least_valuable()

    @property
    def is_full(self) -> bool:
        """Whether every slot is taken."""
        return self._admission.connection_count >= self._admission.max_connections

    def may_keep(self, connection: ClientConnection, now: float) -> bool:
        """Whether a connection may stay open after its response, as far as slots go."""
        return self._admission.may_keep_alive(connection, now)

    # --- closing --------------------------------------------------------------------------------

    def make_room_for_one(self) -> bool:
        """Close idle connections until one more can be accepted; false if none was closed."""
        now = self._scheduler.now()
        return self._close_idle(self._admission.evictions_for_new(now, self._admission.max_connections), now)

    def make_room_below_current(self) -> bool:
        """Close one idle connection, as no descriptor is left for the next; false if none was closed."""
        now = self._scheduler.now()
        return self._close_idle(self._admission.evictions_for_new(now, self._admission.connection_count), now)

    def close_least_valuable(self) -> bool:
        """Close the idle connections that the budget gives up; false if none was closed."""
        now = self._scheduler.now()
        return self._close_idle(self._admission.surplus_connections(now), now)

    def _close_idle(self, candidates: Iterator[object], now: float) -> bool:
        has_closed = False
        for connection in candidates:
            assert isinstance(connection, ClientConnection)
            if connection.stream.peek():
                # Its request has come and was not read yet.  Record that, else each response would look at
                # it again: where most have asked and are not read, that is what keeps them unread.
                self._admission.record_request(connection, now)
            else:
                silent = "" if connection.was_served else "_silent"
                self._counters.add(f"submitters_closed{silent}")
                self.close_now(connection)
                has_closed = True
        return has_closed

    def close_now(self, connection: ClientConnection) -> None:
        """Close an idle connection at once: its slot is needed."""
        self._release(connection)
        self._open.discard(connection)
        # A task cancelled before its first step closes nothing, so this closes the connection.
        connection.stream.close()

    def close_gracefully(self, connection: ClientConnection) -> None:
        """Half-close it, and close it once its client has, so that no reset overtakes what was sent."""
        self._release(connection)
        self._scheduler.spawn(self._half_close, connection, name="close client connection")

    def _release(self, connection: ClientConnection) -> None:
        connection.is_released = True
        self._admission.record_close(connection, self._scheduler.now())
        if connection.task is not None:
            connection.task.cancel()

    def _half_close(self, connection: ClientConnection) -> None:
        """Read for a bounded time what crossed the half-close: it is not served, but asked for anew."""
        try:
            connection.stream.finish()
        except OSError:
            return
        finally:
            self.forget(connection)
            connection.stream.close()

    # --- out of service, and shutdown -----------------------------------------------------------

    def start_closing_idle(self) -> None:
        """Out of service: close idle connections until the sidecar is back in service."""
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
        """Close what is idle now; every other connection is closed with its response."""
        self.is_draining, self.draining_since = True, self._scheduler.now()
        for connection in self._idle_connections():
            if connection.stream.is_idle():
                self.close_gracefully(connection)

    def _idle_connections(self) -> list[ClientConnection]:
        idle = self._admission.idle_connections()
        return [connection for connection in idle if isinstance(connection, ClientConnection)]
