"""Serves one client connection after another: request, response, and whether there may be a next one."""

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

BODY_LINGER_S = 2.0  # that a body whose request was answered early may still come
# A request that is there when the one before it is answered is still taken so long after the drain began:
# 0.7 s after SIGTERM, what comes later may be cut off unanswered.
LAST_REQUESTS_S = 0.2


class ClientConnectionServer:
    """Serves the requests of a connection, one at a time."""

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
        """Serve request after request, until one side closes; the task of a connection."""
        reader = MessageReader.requests(streaming=True)
        try:
            while self._exchange(connection, reader):
                connection.was_served = True
                self._connections.mark_idle(connection, reader)
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
        """Serve one request; false when the connection is to be closed."""
        try:
            message = self._request_reader.read(connection, reader)
        except HttpError as error:
            self._connections.mark_asked(connection)
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
        """Make the response to a request; None where the connection is to be closed without a further one."""
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
            # A fault of ours must not leave the request without a response.
            self._counters.add("faults")
            self._counters.add("answers_failed")
            log.exception("request failed")
            return ClientResponse(500, [], b"")

    def _send(
        self, connection: ClientConnection, reader: MessageReader, message: Message, response: ClientResponse
    ) -> bool:
        """Send a response; returns whether the connection stays open."""
        stream = connection.stream
        body_stream = request_body_stream(message)
        keep_alive = message.keep_alive and not response.must_close
        keep_alive = keep_alive and (body_stream is None or body_stream.is_complete)
        keep_alive = keep_alive and self._may_keep(connection, reader)
        try:
            keep_alive = self._writer.write(stream, response, keep_alive, message.minor)
            if body_stream is not None and not body_stream.is_complete:
                # A close with bytes of the body unread would send a reset, which overtakes the response.
                stream.finish(BODY_LINGER_S, MAX_STREAMED_BODY_BYTES)
        except (OSError, TaskTimeoutError):
            self._counters.add("answers_unsent")
            raise
        return keep_alive

    def _may_keep(self, connection: ClientConnection, reader: MessageReader) -> bool:
        """Whether a connection that is about to get its response may have another request after it."""
        now = self._scheduler.now()
        is_ending = self._connections.is_draining or not self._service.accepts_clients
        if not is_ending and self._connections.may_keep(connection, now):
            return True
        is_drain_recent = now < self._connections.draining_since + LAST_REQUESTS_S
        if is_drain_recent and self._has_next_request(connection, reader):
            return True  # what has come already is taken, and owed a response
        if not is_ending:
            self._counters.add("submitters_told_to_close")
        return False

    @staticmethod
    def _has_next_request(connection: ClientConnection, reader: MessageReader) -> bool:
        return reader.buffered > 0 or not connection.stream.is_idle()

    def _count_bad_request(self, connection: ClientConnection, error: HttpError) -> None:
        self._counters.add("bad_requests")
        self._bad_requests.warning("bad request", peer=connection.peer, status=error.status, reason=error)
