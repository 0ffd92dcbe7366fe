"""A small HTTP/1.1 server based on h11, for requests with short bodies and a single handler."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit

import h11
import orjson

from brambleusher.runtime.acceptor import Acceptor
from brambleusher.runtime.connection_timing import UNKNOWN_READINESS, ConnectionTiming, RequestReadiness
from brambleusher.runtime.disconnect_watch import DisconnectWatch, PeerDisconnectedError
from brambleusher.runtime.h11_messages import ParserBuffer, encode_message, receive_event
from brambleusher.runtime.peer_presence import PeerPresence
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import Address

log = logging.getLogger(__name__)

IDLE_TIMEOUT_S = 60.0
REQUEST_TIMEOUT_S = 10.0  # limit in seconds from the first to the last byte of a request
SEND_TIMEOUT_S = 5.0
HEAD = "HEAD"  # its response has the headers of a body, but no body: RFC 9110, section 9.3.2
READ_METHODS = frozenset({"GET", HEAD})  # these change nothing, so a request ends if its client disconnects
READ_AHEAD_MAX_BYTES = 16 * 1024  # pipelined bytes kept while a request is handled; the rest is discarded
JSON_TYPE = b"application/json"


def _never() -> bool:
    return False


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request.

    Attributes:
        has_disconnected: Returns whether the client has closed the connection.
        readiness: When the client can have sent the request at the earliest.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[bytes, bytes]
    body: bytes
    has_disconnected: Callable[[], bool] = _never
    readiness: RequestReadiness = UNKNOWN_READINESS


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """An HTTP response with status, headers and body."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[bytes, bytes], ...] = field(default=())
    content_type: bytes = JSON_TYPE


def json_response(status: int, data: object, *headers: tuple[bytes, bytes]) -> HttpResponse:
    """Create a response with data encoded as JSON."""
    return HttpResponse(status, orjson.dumps(data), headers)


class BodyTooLargeError(Exception):
    """Raised when a request body is larger than the server's limit."""


class _RequestReader:
    """Reads the next request of a connection.

    Attributes:
        presence: Watches the connection while the request is handled.
        is_head_request: Whether the request that is being read or was read is a HEAD request.
    """

    def __init__(
        self, scheduler: Scheduler, stream: Stream, connection: h11.Connection, body_bytes: int
    ) -> None:
        self._scheduler, self.stream, self.connection = scheduler, stream, connection
        self._body_bytes = body_bytes
        self.presence = PeerPresence(stream, ParserBuffer(connection), READ_AHEAD_MAX_BYTES)
        self.is_head_request = False

    def read(self, readiness: RequestReadiness) -> HttpRequest | None:
        """Return the request, or None if the client has closed the connection.

        Raises:
            BodyTooLargeError: The body is larger than the server's limit.
            h11.RemoteProtocolError: The bytes are not a complete request.
        """
        head: h11.Request | None = None
        body = bytearray()
        deadline = self._scheduler.now() + IDLE_TIMEOUT_S
        while True:
            event = receive_event(self.connection, self.stream, deadline)
            if isinstance(event, h11.Request):
                head, deadline = event, self._scheduler.now() + REQUEST_TIMEOUT_S
                self.is_head_request = event.method == HEAD.encode()
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._body_bytes:
                    raise BodyTooLargeError
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return self._complete_request(head, bytes(body), readiness)
            else:
                return None

    def _complete_request(self, head: h11.Request, body: bytes, readiness: RequestReadiness) -> HttpRequest:
        target = urlsplit(head.target.decode("latin-1"))
        query = dict(parse_qsl(target.query))
        method = head.method.decode("latin-1")
        headers = dict(head.headers)
        return HttpRequest(method, target.path, query, headers, body, self.presence.check_left, readiness)


class HttpServer:
    """Listens on one address and calls a handler, which may block its task, for each request."""

    def __init__(
        self,
        scheduler: Scheduler,
        address: Address,
        handler: Callable[[HttpRequest], HttpResponse],
        body_bytes: int = 64 * 1024,
        connections: int = 1024,
    ) -> None:
        self._scheduler, self._handler, self._body_bytes = scheduler, handler, body_bytes
        self.acceptor = Acceptor(scheduler, address, self._serve, connections)
        self._timing = ConnectionTiming(scheduler)
        self.closing = False

    def _serve(self, stream: Stream, _peer: str) -> None:
        connection = h11.Connection(h11.SERVER)
        accepted_at = stream.used_at
        readiness = self._timing.of_accepted(stream, accepted_at, self.acceptor.queued_after(stream))
        while True:
            reader = _RequestReader(self._scheduler, stream, connection, self._body_bytes)
            try:
                request = reader.read(readiness)
            except BodyTooLargeError:
                self._answer(reader, json_response(413, {"error": "the body is too large"}))
                return
            except h11.RemoteProtocolError as error:
                if connection.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                    status = error.error_status_hint
                    self._answer(reader, json_response(status, {"error": str(error)}))
                return
            if request is None:
                return
            response = self._handle(reader.presence, request)
            if response is None:
                return
            self._answer(reader, response)
            is_reusable = connection.our_state is h11.DONE and connection.their_state is h11.DONE
            if not is_reusable or reader.presence.discarded_bytes:
                stream.finish()
                return
            connection.start_next_cycle()
            readiness = RequestReadiness(self._scheduler.now())

    def _handle(self, presence: PeerPresence, request: HttpRequest) -> HttpResponse | None:
        """Call the handler; return None if the client of a safe request has disconnected."""
        if request.method not in READ_METHODS:
            return self._call_handler(request)
        try:
            with DisconnectWatch(self._scheduler, presence):
                return self._call_handler(request)
        except PeerDisconnectedError:
            return None

    def _call_handler(self, request: HttpRequest) -> HttpResponse:
        """Call the handler; an error that it raises is logged and answered with 500."""
        try:
            return self._handler(request)
        except PeerDisconnectedError:
            raise
        except Exception as error:
            fields = {"method": request.method, "path": request.path, "error": error}
            log.exception("request failed", extra={"fields": fields})
            return json_response(500, {"error": f"{type(error).__name__}: {error}"})

    def _answer(self, reader: _RequestReader, response: HttpResponse) -> None:
        headers = [
            (b"Content-Type", response.content_type),
            (b"Content-Length", str(len(response.body)).encode()),
            *response.headers,
        ]
        if self.closing:
            headers.append((b"Connection", b"close"))
        head = h11.Response(status_code=response.status, headers=headers)
        body = b"" if reader.is_head_request else response.body
        data = encode_message(reader.connection, head, body)
        reader.stream.send(data, self._scheduler.now() + SEND_TIMEOUT_S)
