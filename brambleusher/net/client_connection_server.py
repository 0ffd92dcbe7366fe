"""Serves client connections: reads each request, sends its response and decides on keep-alive."""

from __future__ import annotations

import logging
from http import HTTPStatus

from brambleusher.loadbalancing.client_draining import ClientDraining
from brambleusher.net.client_connection import ClientConnection
from brambleusher.net.client_connections import ClientConnections
from brambleusher.net.client_request_handler import ClientRequestHandler
from brambleusher.net.client_request_reader import ClientRequestReader
from brambleusher.net.client_response import ClientResponse, ClientResponseWriter
from brambleusher.net.http import MAX_STREAMED_BODY_BYTES, HttpError, Message, MessageReader
from brambleusher.net.streamed_bodies import request_body_stream
from brambleusher.observability.counters import Counters
from brambleusher.observability.log_format import RateLimitedLog
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError

log = logging.getLogger(__name__)

BODY_LINGER_S = 2.0  # limit in seconds for receiving the rest of a request body after an early response
# Seconds after the start of draining in which a connection's next request is still served if it has already
# arrived. A request that arrives 0.7 s or more after SIGTERM may be cut off without a response.
LAST_REQUESTS_S = 0.2


class ClientConnectionServer:
    """Serves the requests of each client connection one at a time."""

    def __init__(
        self,
        scheduler: Scheduler,
        connections: ClientConnections,
        handler: ClientRequestHandler,
        writer: ClientResponseWriter,
        counters: Counters,
        service: ClientDraining,
    ) -> None:
        self._scheduler, self._connections = scheduler, connections
        self._request_reader = ClientRequestReader(scheduler, connections)
        self._handler, self._writer = handler, writer
        self._counters, self._service = counters, service
        self._bad_requests = RateLimitedLog(log, scheduler.now)

    def serve(self, connection: ClientConnection) -> None:
        """Serve requests until one side closes the connection; runs as the connection's task."""
        reader = MessageReader.requests(streaming=True)
        try:
            while self._exchange(connection, reader):
                connection.was_served = True
                self._connections.record_response_sent(connection, reader)
                if connection.is_released:
                    return
            if connection.stream.open and not connection.stream.finished:
                connection.stream.finish()
        except (OSError, TaskTimeoutError):
            return
        finally:
            if not connection.is_released:
                self._connections.forget(connection)
                connection.stream.close()

    def _exchange(self, connection: ClientConnection, reader: MessageReader) -> bool:
        """Serve one request and return whether the connection stays open."""
        try:
            message = self._request_reader.read(connection, reader)
        except HttpError as error:
            self._connections.record_request_start(connection)
            self._count_bad_request(connection, error)
            self._writer.write_error(connection.stream, error)
            return False
        if message is None:
            return False
        response = self._respond(connection, reader, message)
        if response is None:
            return False
        return self._send(connection, reader, message, response)

    def _respond(
        self, connection: ClientConnection, reader: MessageReader, message: Message
    ) -> ClientResponse | None:
        """Build the response to a request, or return None to close the connection without a response."""
        try:
            return self._handler.handle(connection, reader, message)
        except HttpError as error:
            self._count_bad_request(connection, error)
            is_body_streamed = request_body_stream(message) is not None
            if not message.keep_alive or error.status != HTTPStatus.NOT_FOUND or is_body_streamed:
                self._writer.write_error(connection.stream, error)
                return None
            return ClientResponse(error.status, [], f"{error}\n".encode())
        except Exception:
            # An internal error must not leave the request without a response.
            self._counters.add("faults")
            self._counters.add("answers_failed")
            log.exception("request failed")
            return ClientResponse(500, [], b"")

    def _send(
        self, connection: ClientConnection, reader: MessageReader, message: Message, response: ClientResponse
    ) -> bool:
        """Send a response and return whether the connection stays open."""
        stream = connection.stream
        body_stream = request_body_stream(message)
        keep_alive = message.keep_alive and not response.must_close
        keep_alive = keep_alive and (body_stream is None or body_stream.is_complete)
        keep_alive = keep_alive and self._may_keep(connection, reader)
        try:
            keep_alive = self._writer.write(stream, response, keep_alive, message.minor)
            if body_stream is not None and not body_stream.is_complete:
                # Closing a socket with unread body bytes sends a TCP reset, which can discard the response.
                stream.finish(BODY_LINGER_S, MAX_STREAMED_BODY_BYTES)
        except (OSError, TaskTimeoutError):
            self._counters.add("answers_unsent")
            raise
        return keep_alive

    def _may_keep(self, connection: ClientConnection, reader: MessageReader) -> bool:
        """Return whether a connection may serve another request after the response about to be sent."""
        now = self._scheduler.now()
        is_ending = self._connections.is_draining or not self._service.accepts_clients
        if not is_ending and self._connections.may_keep(connection, now):
            return True
        is_drain_recent = now < self._connections.draining_since + LAST_REQUESTS_S
        if is_drain_recent and self._has_next_request(connection, reader):
            return True  # a request that has already arrived is served
        if not is_ending:
            self._counters.add("submitters_told_to_close")
        return False

    @staticmethod
    def _has_next_request(connection: ClientConnection, reader: MessageReader) -> bool:
        return reader.buffered > 0 or not connection.stream.is_idle()

    def _count_bad_request(self, connection: ClientConnection, error: HttpError) -> None:
        self._counters.add("bad_requests")
        self._bad_requests.warning("bad request", peer=connection.peer, status=error.status, reason=error)
