"""Reads one request from a client connection and enforces the timeout of each stage."""

from __future__ import annotations

from brambleusher.net.client_connection import ClientConnection
from brambleusher.net.client_connections import ClientConnections
from brambleusher.net.http import HttpError, Message, MessageReader
from brambleusher.net.streamed_bodies import MIN_BYTES_PER_S, RequestBodyStream
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError

REQUEST_TIMEOUT_S = 2.4  # limit in seconds from the first to the last byte of any later request
IDLE_TIMEOUT_S = 2.2  # limit in seconds between two requests; many clients never reuse a connection
CONTINUE_TIMEOUT_S = 10.0  # limit in seconds for writing the 100 Continue response to a slow client
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ClientRequestReader:
    """Reads client requests; all connections share one instance, as each call keeps its own state."""

    def __init__(self, scheduler: Scheduler, connections: ClientConnections) -> None:
        self._scheduler, self._connections = scheduler, connections

    def read(self, connection: ClientConnection, reader: MessageReader) -> Message | None:
        """Read the next request, or return None if the client closed or the idle timeout has passed.

        Raises:
            HttpError: The request is invalid or did not arrive completely in time (408).
            OSError: The connection was lost.
        """
        return _RequestRead(self._scheduler, self._connections, connection, reader).run()


class _RequestRead:
    """The state of reading one client request."""

    __slots__ = (
        "_connection", "_connections", "_deadline", "_has_begun", "_has_sent_continue", "_reader",
        "_scheduler", "_started_at", "_stream",
    )  # fmt: skip

    def __init__(
        self,
        scheduler: Scheduler,
        connections: ClientConnections,
        connection: ClientConnection,
        reader: MessageReader,
    ) -> None:
        self._scheduler, self._connections = scheduler, connections
        self._connection, self._reader, self._stream = connection, reader, connection.stream
        # The timeout of a first request starts at accept, not at its first byte. Otherwise clients could
        # hold connections open with a partial request, or without sending anything.
        self._deadline = (
            scheduler.now() + IDLE_TIMEOUT_S if connection.was_served else connection.first_request_deadline
        )
        self._has_begun = self._has_sent_continue = False
        self._started_at: float | None = None

    def run(self) -> Message | None:
        reader = self._reader
        while (request := reader.take()) is None:
            if reader.has_begun and not self._has_begun:
                self._begin()
            if self._has_begun and reader.is_large:
                return self._streamed_request()
            if reader.expects_continue and not self._has_sent_continue:
                self._has_sent_continue = True
                self._stream.send(CONTINUE, self._deadline)
            if self._connections.is_draining and not reader.has_begun and self._stream.is_idle():
                return None
            if not self._receive():
                return None
        self._connections.record_request_start(self._connection)
        return request

    def _begin(self) -> None:
        """Record that part of a request has arrived, and set its deadline."""
        self._has_begun = True
        self._connections.record_request_start(self._connection)
        self._started_at = self._scheduler.now()
        if self._connection.was_served:
            self._deadline = self._started_at + REQUEST_TIMEOUT_S

    def _receive(self) -> bool:
        """Wait for the next bytes; return false once no request can arrive any more."""
        reader, deadline = self._reader, self._deadline
        if self._has_begun:
            deadline += reader.size_so_far / MIN_BYTES_PER_S
        try:
            data = self._stream.receive(deadline)
        except TaskTimeoutError:
            if reader.has_begun:
                raise HttpError(408, "the request did not come whole in time") from None
            return not self._stream.is_idle()  # bytes may have arrived just as the wait ended
        if not data:
            return False
        reader.feed(data)
        return True

    def _streamed_request(self) -> Message:
        """Start streaming a body too large to buffer; raise `HttpError` unless the method is POST."""
        request, now = self._reader.head(), self._scheduler.now()
        assert request is not None
        if request.start[0] != "POST":  # requests that are safe to retry have no body
            raise HttpError(413, "the body is too large")
        if self._reader.expects_continue and not self._reader.size_so_far:
            self._stream.send(CONTINUE, now + CONTINUE_TIMEOUT_S)
        started_at = now if self._started_at is None else self._started_at
        request.body_stream = RequestBodyStream(self._stream, self._reader, started_at, REQUEST_TIMEOUT_S)
        return request
