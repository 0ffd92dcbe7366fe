"""Reads one request from a client's connection, with the deadlines that apply at each stage of it."""

from __future__ import annotations

from brambleusher.net.client_connection import ClientConnection
from brambleusher.net.client_connections import ClientConnections
from brambleusher.net.http import HttpError, Message, MessageReader
from brambleusher.net.streamed_bodies import MIN_BYTES_PER_S, RequestBodyStream
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError

REQUEST_TIMEOUT_S = 2.4  # from the first byte of a later request to its last
IDLE_TIMEOUT_S = 2.2  # of a connection between requests; many clients ask once and never come back
CONTINUE_TIMEOUT_S = 10.0  # for a client to take the interim response that asks for a streamed body
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ClientRequestReader:
    """Reads requests; one serves all connections, as each call keeps its own state."""

    def __init__(self, scheduler: Scheduler, connections: ClientConnections) -> None:
        self._scheduler, self._connections = scheduler, connections

    def read(self, connection: ClientConnection, reader: MessageReader) -> Message | None:
        """Read the next request; None if the client closed instead, or may send no further one.

        Raises:
            HttpError: the request can't be used, or did not come completely in time (408).
            OSError: the connection was lost.
        """
        return _RequestRead(self._scheduler, self._connections, connection, reader).run()


class _RequestRead:
    """The read of one request."""

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
        # A first request is timed from the accept on, not from its first byte: else connections could be
        # held with half a request, or with nothing.
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
        self._connections.mark_asked(self._connection)
        return request

    def _begin(self) -> None:
        """Part of a request has come."""
        self._has_begun = True
        self._connections.mark_asked(self._connection)
        self._started_at = self._scheduler.now()
        if self._connection.was_served:
            self._deadline = self._started_at + REQUEST_TIMEOUT_S

    def _receive(self) -> bool:
        """Wait for the next bytes; false once the request will not come any more."""
        reader, deadline = self._reader, self._deadline
        if self._has_begun:
            deadline += reader.size_so_far / MIN_BYTES_PER_S
        try:
            data = self._stream.receive(deadline)
        except TaskTimeoutError:
            if reader.has_begun:
                raise HttpError(408, "the request did not come whole in time") from None
            return not self._stream.is_idle()  # it may have come in the moment in which the wait ended
        if not data:
            return False
        reader.feed(data)
        return True

    def _streamed_request(self) -> Message:
        """Begin to stream a body too large to be buffered; raises `HttpError` where its method has none."""
        request, now = self._reader.head(), self._scheduler.now()
        assert request is not None
        if request.start[0] != "POST":  # what is safe to repeat has no body
            raise HttpError(413, "the body is too large")
        if self._reader.expects_continue and not self._reader.size_so_far:
            self._stream.send(CONTINUE, now + CONTINUE_TIMEOUT_S)
        started_at = now if self._started_at is None else self._started_at
        request.body_stream = RequestBodyStream(self._stream, self._reader, started_at, REQUEST_TIMEOUT_S)
        return request
