"""Handles one client request, buffered or streamed, and builds its response."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, replace

from brambleusher.decisions.balancer_driver import BalancerDriver
from brambleusher.decisions.clock import Clock
from brambleusher.decisions.requests import ClientRequest, DuplicateRequestError
from brambleusher.loadbalancing.client_draining import ClientDraining
from brambleusher.net.client_connection import ClientConnection
from brambleusher.net.client_connections import ClientConnections
from brambleusher.net.client_request_parser import ClientRequestParser
from brambleusher.net.client_response import COUNTED_AS, ClientResponse, encode_final_response
from brambleusher.net.header_forwarding import HeaderRewriter
from brambleusher.net.http import HttpError, Message, MessageReader
from brambleusher.net.request_lifecycle import ClientHandle, FinalResponse, RequestLifecycle
from brambleusher.net.streamed_bodies import RequestBodyStream, request_body_stream, response_body_stream
from brambleusher.observability.counters import Counters
from brambleusher.observability.request_counts import RequestCounts
from brambleusher.runtime.peer_presence import PeerPresence
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.system import Socket

_NS_PER_S = 1e9


@dataclass(slots=True)
class _Exchange:
    """A request in progress with its connection, response deadline and client presence."""

    connection: ClientConnection
    path: str
    request: ClientRequest
    body_stream: RequestBodyStream | None
    arrived_ns: int  # Unix time in nanoseconds, earlier than the read if the request waited unread
    due: float  # response deadline in seconds on the scheduler's clock, unless the body is streamed
    unseen_s: float  # longest time in seconds that the request may have waited before it was read
    presence: PeerPresence

    def deadline(self) -> float:
        """Return the latest time to send the response, in seconds on the scheduler's clock."""
        return self.due if self.body_stream is None else self.body_stream.due

    @property
    def is_body_complete(self) -> bool:
        """Whether the last byte of the request body has arrived."""
        return self.body_stream is None or self.body_stream.is_complete

    def watched_socket(self) -> Socket | None:
        """Return the socket to watch for a client disconnect.

        The result is None while the attempt still reads a streamed body from this socket.
        """
        if self.body_stream is not None and not self.body_stream.is_complete:
            return None
        return self.presence.socket()

    def has_client_left(self) -> bool:
        """Return whether the client has closed its connection."""
        if self.body_stream is not None and not self.body_stream.is_complete:
            return self.body_stream.has_client_left
        return self.presence.check_left()


class ClientRequestHandler:
    """Answers `/ready` directly and passes all other requests to the load balancer."""

    def __init__(
        self,
        scheduler: Scheduler,
        decisions: BalancerDriver,
        lifecycle: RequestLifecycle,
        parser: ClientRequestParser,
        connections: ClientConnections,
        clock: Clock,
        counters: Counters,
        request_counts: RequestCounts,
        service: ClientDraining,
        is_ready: Callable[[], bool],
        rewriter: HeaderRewriter | None,
    ) -> None:
        self._scheduler, self._decisions, self._clock = scheduler, decisions, clock
        self._lifecycle, self._parser, self._connections = lifecycle, parser, connections
        self._counters, self._request_counts = counters, request_counts
        self._service, self._is_ready, self._rewriter = service, is_ready, rewriter
        # Latest time to send responses before the process is killed, in seconds on the scheduler's clock.
        self.latest_response_at = math.inf

    def handle(
        self, connection: ClientConnection, reader: MessageReader, message: Message
    ) -> ClientResponse | None:
        """Handle a request and return its response, or None if the client has disconnected.

        Raises:
            HttpError: The request is invalid, or its streamed body was malformed.
        """
        method, target = message.start
        path = target.split("?", 1)[0]
        if path == "/ready" and method == "GET":
            return self._answer_readiness()
        exchange = self._begin(connection, reader, message, path)
        if exchange.unseen_s and exchange.has_client_left():
            # A process that was stopped or fell behind reads its oldest requests first, and their clients
            # have long given up. Serving them would take capacity from clients that still wait.
            self._counters.add("requests_gone_unread")
            return None
        self._counters.add("requests_taken")
        is_body_streamed = exchange.body_stream is not None
        self._request_counts.in_flight += not is_body_streamed
        response: ClientResponse | None = None
        try:
            response = self._respond(exchange)
            return response
        except DuplicateRequestError as error:
            raise HttpError(400, str(error)) from None
        finally:
            # Any other request stays in flight until the last byte of its response.
            self._request_counts.in_flight -= response is None and exchange.is_body_complete

    def _answer_readiness(self) -> ClientResponse:
        if not self._service.is_ready:
            return ClientResponse(503, [], b"out of service\n")
        if self._is_ready():
            return ClientResponse(200, [], b"ready\n")
        return ClientResponse(503, [], b"starting\n")

    def _begin(
        self, connection: ClientConnection, reader: MessageReader, message: Message, path: str
    ) -> _Exchange:
        body_stream = request_body_stream(message)
        arrived_ns = now_ns = self._clock.now_ns()
        request = self._parser.parse(message, path)
        unseen_s = 0.0 if body_stream is not None else self._unseen_s(connection)
        if unseen_s:
            # Count the timeout from the request's arrival; otherwise its response could come after the
            # client has given up.
            waited_s = min(self._scheduler.system.seconds_since_data(connection.stream.sock), unseen_s)
            waited_ns = int(waited_s * _NS_PER_S)
            arrived_ns -= waited_ns
            request = replace(request, time_left_ns=max(request.time_left_ns - waited_ns, 0))
            self._counters.add("requests_read_late")
        self._connections.record_request_tenant(connection, request.tenant or "")
        if self._rewriter is not None:
            forwarded = self._rewriter.rewrite_request(message, path, request.request_class, connection.peer)
            request = replace(request, payload=forwarded)
        request = self._limit_to_shutdown(request, now_ns)
        due = self._clock.seconds(now_ns + request.time_left_ns)
        if body_stream is not None:
            self._start_time_with_last_byte(body_stream, request.time_left_ns)
        presence = PeerPresence(connection.stream, reader)
        return _Exchange(connection, path, request, body_stream, arrived_ns, due, unseen_s, presence)

    def _limit_to_shutdown(self, request: ClientRequest, now_ns: int) -> ClientRequest:
        """Shorten a request's timeout so that the balancer decides before the process shuts down."""
        if self.latest_response_at == math.inf:
            return request
        left_ns = int((self.latest_response_at - self._clock.seconds(now_ns)) * _NS_PER_S)
        return replace(request, time_left_ns=max(0, min(request.time_left_ns, left_ns)))

    def _latest_response_at(self) -> float:
        return self.latest_response_at

    def _unseen_s(self, connection: ClientConnection) -> float:
        """Return at most how many seconds a request that is read now has waited in the socket."""
        return max(self._scheduler.lateness_s, 0.0 if connection.was_served else connection.accept_delay_s)

    def _start_time_with_last_byte(self, body_stream: RequestBodyStream, time_left_ns: int) -> None:
        """Start a streamed request's timeout and count it as accepted once its last byte has arrived."""
        time_left_s = time_left_ns / 1e9
        body_stream.client_timeout_ms = int(time_left_s * 1000)

        def on_complete() -> None:
            body_stream.due = self._scheduler.now() + time_left_s
            self._request_counts.in_flight += 1

        body_stream.on_complete = on_complete
        if body_stream.is_complete:
            on_complete()

    def _respond(self, exchange: _Exchange) -> ClientResponse | None:
        """Run the request through the balancer; return its response, or None if the client has left."""
        request, body_stream = exchange.request, exchange.body_stream
        client = ClientHandle(exchange.watched_socket, exchange.has_client_left)
        final = self._lifecycle.run(request, exchange.deadline, client)
        if body_stream is not None and body_stream.has_client_left:
            final = None
        kind = None if final is None else final.kind.value
        took_ns = self._clock.now_ns() - exchange.arrived_ns
        self._decisions.observers.request_finished(request, kind, took_ns)
        if final is None:
            self._counters.add("requests_gone")
            return None
        if body_stream is not None and body_stream.error is not None:
            raise body_stream.error
        self._counters.add(f"answers_{kind}")
        return self._client_response(exchange, final)

    def _client_response(self, exchange: _Exchange, final: FinalResponse) -> ClientResponse:
        request_class = exchange.request.request_class
        status, headers, body = encode_final_response(final, self._rewriter)
        if self._rewriter is not None:
            headers = self._rewriter.rewrite_response(headers, exchange.path, request_class)
        response = ClientResponse(status, headers, body, request_class, COUNTED_AS[final.kind])
        response.is_request_complete = exchange.is_body_complete
        response.must_close = exchange.presence.discarded_bytes > 0
        if isinstance(final.payload, Message):
            response.body_stream = response_body_stream(final.payload)
            response.presence = exchange.presence
            response.latest_at = self._latest_response_at
        return response
