"""The client listener: binds or adopts its socket, accepts connections and stops accepting on drain."""

from __future__ import annotations

import logging
from collections.abc import Callable

from brambleusher.decisions.balancer_driver import BalancerDriver
from brambleusher.decisions.clock import Clock
from brambleusher.loadbalancing.client_draining import ClientDraining
from brambleusher.loadbalancing.connection_admission import FIRST_REQUEST_S, ConnectionAdmission
from brambleusher.net.client_connection import FIRST_REQUEST_TIMEOUT_S, ClientConnection
from brambleusher.net.client_connection_server import ClientConnectionServer
from brambleusher.net.client_connections import ClientConnections
from brambleusher.net.client_request_handler import ClientRequestHandler
from brambleusher.net.client_request_parser import ClientRequestParser
from brambleusher.net.client_response import ClientResponseWriter
from brambleusher.net.header_forwarding import HeaderRewriter
from brambleusher.net.request_lifecycle import RequestLifecycle
from brambleusher.net.upstream_pool import UpstreamPool
from brambleusher.observability.counters import Counters
from brambleusher.observability.request_counts import RequestCounts
from brambleusher.runtime.listening import (
    ACCEPT_RETRY_S,
    OutOfDescriptorsError,
    accept_connection,
    local_address,
)
from brambleusher.runtime.scheduler import Scheduler, Task
from brambleusher.runtime.system import Address, Socket

log = logging.getLogger(__name__)

BACKLOG = 512
LAST_CONNECTS_S = 0.2  # longest time in seconds that the listener stays open after draining starts
LAST_CONNECTS_PAUSE_S = 0.05  # the listener closes early after this many seconds without a new connection


class ClientListener:
    """Accepts client connections and spawns a task that serves each of them."""

    def __init__(
        self,
        scheduler: Scheduler,
        decisions: BalancerDriver,
        nodes: UpstreamPool,
        clock: Clock,
        counters: Counters,
        admission: ConnectionAdmission,
        is_ready: Callable[[], bool],
        rewrites: HeaderRewriter | None = None,
        request_counts: RequestCounts | None = None,
        service: ClientDraining | None = None,
    ) -> None:
        parser = ClientRequestParser(decisions.settings)
        service = service or ClientDraining()
        self.request_counts = request_counts or RequestCounts(parser.class_names)
        self._scheduler, self._counters = scheduler, counters
        self._connections = ClientConnections(scheduler, counters, admission, service)
        self._handler = ClientRequestHandler(
            scheduler, decisions, RequestLifecycle(decisions, nodes, scheduler), parser, self._connections,
            clock, counters, self.request_counts, service, is_ready, rewrites,
        )  # fmt: skip
        writer = ClientResponseWriter(scheduler, counters, self.request_counts)
        self._server = ClientConnectionServer(
            scheduler, self._connections, self._handler, writer, counters, service
        )
        self._listener: Socket | None = None
        self._accepting: Task | None = None
        # Time at which accepting was suspended, in seconds on the scheduler's clock; None while accepting.
        self._accepts_delayed_since: float | None = None
        self._accepted_count = 0  # connections accepted since the start

    @property
    def connections(self) -> int:
        """The number of open client connections."""
        return len(self._connections)

    # --- the socket -----------------------------------------------------------------------------

    def listen(self, address: Address) -> Address:
        """Bind the listening socket and start accepting connections.

        Returns:
            The address of the listening socket.

        Raises:
            OSError: The address can't be bound.
        """
        self._listener = self._scheduler.system.listen(address, BACKLOG)
        self.start_accepting()
        return local_address(self._listener)

    def adopt(self, fd: int) -> Address:
        """Adopt an inherited listening socket without accepting connections yet.

        Other processes share the socket, so it is never bound or shut down here and outlives this process.

        Returns:
            The address of the listening socket.

        Raises:
            OSError: The descriptor is not a listening socket.
        """
        self._listener = self._scheduler.system.adopt(fd)
        return local_address(self._listener)

    # --- accepting ------------------------------------------------------------------------------

    @property
    def is_accepting(self) -> bool:
        """Whether the listener is accepting connections."""
        return self._accepting is not None and self._listener is not None

    def start_accepting(self) -> None:
        """Start accepting connections from the backlog."""
        if self._accepting is None and self._listener is not None:
            self._accepting = self._scheduler.spawn(self._accept_all, self._listener, name="accept")

    def _accept_all(self, listener: Socket) -> None:
        while True:
            if self._connections.is_full and not self._connections.evict_for_next_connection():
                self._counters.add("accepts_put_off")
                self._delay_accepts()
            elif not self._accept_one(listener):
                self._accepts_delayed_since = None
                self._scheduler.park(sock=listener)

    def _delay_accepts(self) -> None:
        """Leave pending connections in the backlog for `ACCEPT_RETRY_S` seconds."""
        if self._accepts_delayed_since is None:
            self._accepts_delayed_since = self._scheduler.now()
        self._scheduler.sleep(ACCEPT_RETRY_S)

    def _accept_one(self, listener: Socket) -> bool:
        """Accept one connection from the backlog; return false if the backlog is empty."""
        try:
            accepted = accept_connection(self._scheduler, listener)
        except OutOfDescriptorsError as error:
            log.warning("accept failed", extra={"fields": {"listener": "clients", "error": error.strerror}})
            self._connections.evict_for_descriptor()
            self._delay_accepts()
            return True
        if accepted is None:
            return False
        self._counters.add("connections_accepted")
        self._accepted_count += 1
        connection = ClientConnection(accepted.stream, accepted.peer)
        if self._accepts_delayed_since is not None:
            earliest = connection.accepted_at - FIRST_REQUEST_TIMEOUT_S + FIRST_REQUEST_S
            connection.set_accept_delayed(self._accepts_delayed_since, earliest)
        self._connections.add(connection)
        connection.task = self._scheduler.spawn(self._server.serve, connection, name="client")
        return True

    # --- handover, out of service, shutdown -----------------------------------------------------

    def hand_over(self) -> None:
        """Stop accepting, as another process now accepts from the same backlog.

        Connections that are already accepted are still served.
        """
        self._stop_accepting()
        self._close_listener()
        self.start_closing_idle()

    def start_closing_idle(self) -> None:
        """Close idle connections until the sidecar is back in service."""
        self._connections.start_closing_idle()

    @property
    def latest_response_at(self) -> float:
        """Latest time to send responses before the process is killed, in seconds on the scheduler's clock."""
        return self._handler.latest_response_at

    @latest_response_at.setter
    def latest_response_at(self, at: float) -> None:
        self._handler.latest_response_at = at

    def drain(self) -> None:
        """Stop accepting and close each connection after its last response; must run in a task."""
        self._connections.start_draining()
        self._await_last_connects()
        self._stop_accepting()
        if self._listener is not None:
            # The kernel has accepted the connections in the backlog for this process, so they are served.
            for _ in range(BACKLOG):
                if not self._accept_one(self._listener):
                    break
            self._close_listener()

    def _await_last_connects(self) -> None:
        """Accept connections until none has arrived for `LAST_CONNECTS_PAUSE_S` seconds.

        The kernel may complete a handshake between the last accept and the close of the listener, and would
        then reset that connection. Clients whose request crossed the close of an idle connection also
        reconnect.
        """
        until = self._scheduler.now() + LAST_CONNECTS_S
        before = -1
        while before != self._accepted_count and self._scheduler.now() < until:
            before = self._accepted_count
            self._scheduler.sleep(LAST_CONNECTS_PAUSE_S)

    def _stop_accepting(self) -> None:
        if self._accepting is not None:
            self._accepting.cancel()

    def _close_listener(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None
