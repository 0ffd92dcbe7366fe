"""The listener for clients: accepts their connections and serves the requests on each connection."""

from __future__ import annotations

import logging
from collections.abc import Callable
from http import HTTPStatus

import h11

from brambleusher.dataplane.client_connection import ClientConnection
from brambleusher.dataplane.client_request import ClientRequest
from brambleusher.dataplane.counters import Counters, RequestCounter
from brambleusher.dataplane.errors import RequestTooLargeError
from brambleusher.dataplane.memory_budget import MemoryBudget
from brambleusher.dataplane.request_handler import RequestHandler
from brambleusher.dataplane.routing import RouteTable
from brambleusher.runtime.acceptor import Acceptor
from brambleusher.runtime.disconnect_watch import PeerDisconnectedError
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import Address
from brambleusher.wire.configuration import Limits

log = logging.getLogger(__name__)

CONNECTIONS_MAX = 2500  # client connections open at once
RETRY_AFTER_S = 0.3  # `Retry-After` of a gateway that can't accept the request now


class ClientServer:
    """Accepts connections of clients and serves their requests."""

    def __init__(
        self,
        scheduler: Scheduler,
        address: Address,
        handler: RequestHandler,
        counters: Counters,
        body_memory: MemoryBudget,
        current_routes: Callable[[], RouteTable | None],
        accepts_requests: Callable[[], bool],
    ) -> None:
        """Listen on `address`; `current_routes` returns the routes in force, None before the first ones."""
        self._scheduler, self._handler, self._counters = scheduler, handler, counters
        self._body_memory = body_memory
        self._current_routes, self._accepts_requests = current_routes, accepts_requests
        self._connections: set[ClientConnection] = set()
        self._closes_after_responses = False
        self._last_request_s = 0.0
        self.active_requests = 0
        self._acceptor = Acceptor(scheduler, address, self._serve, CONNECTIONS_MAX)

    def is_idle(self, idle_s: float) -> bool:
        """Whether no request is being served and none has arrived for `idle_s` seconds."""
        return not self.active_requests and self._scheduler.now() - self._last_request_s > idle_s

    @property
    def departed_requests(self) -> int:
        """The number of requests being served whose client has closed its connection."""
        return sum(not client.is_idle and client.has_disconnected() for client in self._connections)

    def close_after_responses(self) -> None:
        """Close each connection after its next response from now on."""
        self._closes_after_responses = True
        for connection in self._connections:
            connection.closes_after_response = True

    def close(self) -> None:
        """Stop accepting connections and close the idle ones; close the others as they become idle."""
        self._acceptor.close()
        for connection in list(self._connections):
            connection.closes_when_idle = True
            if connection.is_idle:
                connection.wake.set()

    def _serve(self, stream: Stream, _peer: str) -> None:
        client = ClientConnection(self._scheduler, stream, self._current_limits, self._body_memory)
        client.closes_after_response = self._closes_after_responses
        self._connections.add(client)
        try:
            while self._serve_next(client):
                pass
        except PeerDisconnectedError:
            return  # the client disconnected while an error response was sent for an invalid request
        except h11.LocalProtocolError:
            log.exception("response serialization failed")
        finally:
            client.release_memory()
            self._connections.discard(client)

    def _current_limits(self) -> Limits:
        routes = self._current_routes()
        return routes.limits if routes is not None else Limits()

    def _serve_next(self, client: ClientConnection) -> bool:
        """Serve one request; return whether another one may follow on the connection."""
        request = self._read(client)
        if request is None:
            return False
        self.active_requests += 1
        self._last_request_s = self._scheduler.now()
        try:
            self._respond(client, request)
        except PeerDisconnectedError:
            self._counters.add(RequestCounter.CLIENT_LEFT)
            return False
        finally:
            self.active_requests -= 1
        if client.must_close:
            if client.stream.open:
                client.stream.finish()
            return False
        return client.stream.open and client.begin_next_cycle()

    def _read(self, client: ClientConnection) -> ClientRequest | None:
        """Read the next request; return None, after an error response if needed, to end the connection."""
        try:
            return client.read()
        except h11.RemoteProtocolError as error:
            self._counters.add(RequestCounter.BAD_REQUEST)
            client.send_error(error.error_status_hint, str(error))
        except RequestTooLargeError as error:
            self._counters.add(RequestCounter.TOO_LARGE)
            is_temporary = error.status == HTTPStatus.SERVICE_UNAVAILABLE
            retry_after_s = RETRY_AFTER_S if is_temporary else None
            client.send_error(error.status, "the request is over the limits", retry_after_s=retry_after_s)
        client.stream.finish()
        return None

    def _respond(self, client: ClientConnection, request: ClientRequest) -> None:
        routes = self._current_routes()
        if routes is None or not self._accepts_requests():
            self._counters.add(RequestCounter.NOT_SERVING)
            attempt_id = request.header(b"x-attempt-id")
            client.send_error(
                HTTPStatus.SERVICE_UNAVAILABLE,
                "this gateway does not serve now",
                attempt_id,
                RETRY_AFTER_S,
            )
            return
        self._handler.handle(client, request, routes)
