"""One client connection, parsed with h11: reads complete requests and writes responses."""

from __future__ import annotations

import math
import sys
from collections.abc import Callable
from http import HTTPStatus

import h11
import orjson

from brambleusher.dataplane.client_request import HOP_BY_HOP_HEADERS, ClientRequest, HeaderList
from brambleusher.dataplane.errors import RequestTooLargeError
from brambleusher.dataplane.memory_budget import MemoryBudget
from brambleusher.dataplane.read_ahead import ReadAhead
from brambleusher.runtime.disconnect_watch import PeerDisconnectedError
from brambleusher.runtime.h11_messages import encode_message, header_list, send_continue
from brambleusher.runtime.peer_presence import PeerPresence
from brambleusher.runtime.scheduler import Event, Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import RECEIVE_BYTES, Stream
from brambleusher.wire.configuration import Limits

SEND_TIMEOUT_S = 10.0  # a client that does not read sent data for this long is disconnected
BODY_TIMEOUT_S = 10.0
HEAD_TIMEOUT_MIN_S = 1.0
MS_PER_S = 1000
FIRST_CHUNKED_VERSION = b"1.1"  # HTTP/1.0 has no chunked bodies
HEADER_LINE_OVERHEAD_BYTES = 4  # the colon, the space and the CRLF of a header line
READ_AHEAD_MAX_BYTES = 1024 * 1024  # pipelined bytes kept while a request is served; more is discarded


class ClientConnection:
    """Reads the requests of one client and writes the responses, one at a time."""

    def __init__(
        self,
        scheduler: Scheduler,
        stream: Stream,
        current_limits: Callable[[], Limits],
        body_memory: MemoryBudget,
    ) -> None:
        """Create a connection; `current_limits` returns the limits in force for a request that begins now."""
        self._scheduler, self.stream = scheduler, stream
        self._body_memory, self._body_bytes = body_memory, 0
        self._current_limits = current_limits
        self._limits = current_limits()  # the limits of the request that is read
        self._idle_since_s = scheduler.now()
        self.wake = Event()  # set to interrupt the wait for the next request on an idle connection
        self.is_idle = True
        self.closes_after_response = False
        self.closes_when_idle = False
        self.has_response_begun = False  # whether the head of the current response has been built
        self._unsent_head = b""
        # The parser's own limit could not follow those in force: `_check_incomplete_event` has the limit.
        self._protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=sys.maxsize)
        self._read_ahead = ReadAhead(self._protocol, body_memory)
        self.presence = PeerPresence(
            stream, self._read_ahead, READ_AHEAD_MAX_BYTES, reserve=self._read_ahead.reserve
        )

    @property
    def must_close(self) -> bool:
        """Whether the connection closes after its next response, e.g. as pipelined bytes were discarded."""
        return self.closes_after_response or self.presence.discarded_bytes > 0

    # --- requests ---------------------------------------------------------------------------------

    def read(self) -> ClientRequest | None:
        """Read the next request; return None if the client disconnected, was idle, or the gateway shuts down.

        Raises:
            h11.RemoteProtocolError: The client does not speak HTTP/1.1.
            RequestTooLargeError: The request exceeds a size limit or the memory for request bodies.
        """
        self._release_body()
        self.is_idle, self.has_response_begun = not self._protocol.trailing_data[0], False
        head: h11.Request | None = None
        headers: HeaderList = []
        body = bytearray()
        self._limits = self._current_limits()
        self._idle_since_s = self._scheduler.now()
        deadline_s = self._idle_since_s + self._limits.idle_ms / MS_PER_S
        while True:
            self._scheduler.checkpoint(deadline_s)
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                was_idle = self.is_idle
                if not was_idle:
                    self._check_incomplete_event()
                if not self._feed(deadline_s):
                    return None
                if was_idle:
                    self._limits = self._current_limits()
                    head_timeout_s = max(self._limits.header_ms / MS_PER_S, HEAD_TIMEOUT_MIN_S)
                    deadline_s = self._scheduler.now() + head_timeout_s
            elif isinstance(event, h11.Request):
                self.is_idle = False
                head, deadline_s = event, self._scheduler.now() + BODY_TIMEOUT_S
                headers = header_list(head.headers)
                self._check_headers(headers)
            elif isinstance(event, h11.Data):
                self._reserve_body(len(event.data))
                body += event.data
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                self._read_ahead.release_consumed()
                now_s = self._scheduler.now()
                return ClientRequest(head.method, head.target, headers, bytes(body), now_s)
            else:
                return None

    def _idle_deadline_s(self) -> float:
        """Return until when the connection may rest by the limits in force."""
        return self._idle_since_s + self._current_limits().idle_ms / MS_PER_S

    def _check_incomplete_event(self) -> None:
        """Reject a head, or a line of a chunked body, that is too long before it is complete."""
        if self._read_ahead.buffered > self._limits.header_bytes:
            raise RequestTooLargeError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "limits.header_bytes")

    def _check_headers(self, headers: HeaderList) -> None:
        size_bytes = len(headers) * HEADER_LINE_OVERHEAD_BYTES
        for name, value in headers:
            size_bytes += len(name) + len(value)
        if size_bytes > self._limits.header_bytes:
            raise RequestTooLargeError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "limits.header_bytes")

    def _reserve_body(self, size_bytes: int) -> None:
        if self._body_bytes + size_bytes > self._limits.body_bytes:
            raise RequestTooLargeError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "limits.body_bytes")
        if not self._body_memory.reserve(size_bytes):
            raise RequestTooLargeError(HTTPStatus.SERVICE_UNAVAILABLE, "the limit of all bodies together")
        self._body_bytes += size_bytes

    def release_memory(self) -> None:
        """Release all memory that this connection has reserved, when the connection ends."""
        self._release_body()
        self._read_ahead.release()

    def _release_body(self) -> None:
        """Release the memory of the last request's body."""
        self._body_memory.release(self._body_bytes)
        self._body_bytes = 0

    def _feed(self, deadline_s: float) -> bool:
        """Receive bytes and pass them to the parser; return False if none arrive in time."""
        send_continue(self._protocol, self.stream, SEND_TIMEOUT_S)
        data = self._receive(deadline_s)
        if data is None:
            return False
        self.is_idle = False
        self._protocol.receive_data(data)
        return True

    def _receive(self, deadline_s: float) -> bytes | None:
        while True:
            if self.is_idle and self.closes_when_idle and self.stream.is_idle():
                return None
            try:
                data = self.stream.receive(deadline_s, self.wake if self.is_idle else None, RECEIVE_BYTES)
            except TaskTimeoutError:
                earlier_s, deadline_s = deadline_s, self._idle_deadline_s()
                if not self.is_idle or deadline_s <= earlier_s:
                    return None
                continue  # the limit was raised meanwhile
            if data is not None:
                return data

    def begin_next_cycle(self) -> bool:
        """Prepare for the next request; return False if the connection can't carry another one."""
        if self._protocol.our_state is not h11.DONE or self._protocol.their_state is not h11.DONE:
            return False
        self._protocol.start_next_cycle()
        return True

    def has_disconnected(self) -> bool:
        """Whether the client has closed its connection and all bytes that it sent have been read."""
        return self.presence.has_left or self.stream.peek() == b""

    # --- responses --------------------------------------------------------------------------------

    def begin_response(self, status: int, headers: HeaderList, length_bytes: int | None = None) -> None:
        """Begin a response, chunked without a length; its head is sent with the first part of the body."""
        self._unsent_head = self._protocol.send(self._head(status, headers, length_bytes)) or b""

    def send_data(self, data: bytes, deadline_s: float = math.inf) -> None:
        """Send one part of the response body, which the client has to take by the deadline."""
        self._write(self._protocol.send(h11.Data(data=data)) or b"", deadline_s)

    def end_response(self) -> None:
        """End the response body, with the last chunk if it is chunked."""
        self._write(self._protocol.send(h11.EndOfMessage()) or b"")

    def send_response(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Send a complete response with a known body length."""
        self._write(encode_message(self._protocol, self._head(status, headers, len(body)), body))

    def send_error(
        self, status: int, reason: str, attempt_id: bytes = b"", retry_after_s: float | None = None
    ) -> None:
        """Send an error response of the gateway; `retry_after_s` is given only if the request has not run."""
        headers = [(b"Content-Type", b"application/json")]
        if attempt_id:
            headers.append((b"X-Attempt-Id", attempt_id))
        if retry_after_s is not None:
            headers.append((b"Retry-After", f"{retry_after_s:.2f}".encode()))
        self.send_response(status, headers, orjson.dumps({"error": reason}))

    def _head(self, status: int, headers: HeaderList, length_bytes: int | None) -> h11.Response:
        """Build the head of a response; the body is chunked if `length_bytes` is None.

        Names of forwarded headers are in lower case; headers set by the gateway itself are never hop-by-hop.
        """
        framing = (
            (b"Transfer-Encoding", b"chunked")
            if length_bytes is None
            else (b"Content-Length", str(length_bytes).encode())
        )
        sent = [header for header in headers if header[0] not in HOP_BY_HOP_HEADERS]
        sent.append(framing)
        if self.must_close:
            sent.append((b"Connection", b"close"))
        self.has_response_begun = True
        return h11.Response(status_code=status, headers=sent)

    def break_off(self) -> None:
        """Close the connection within a response, so that the client sees that it is incomplete."""
        is_delimited = (self._protocol.their_http_version or b"") >= FIRST_CHUNKED_VERSION
        if not is_delimited:  # without a length, the end of the connection would look like that of the body
            self._scheduler.system.reset(self.stream.sock)
        self.stream.close()

    def _write(self, data: bytes, deadline_s: float = math.inf) -> None:
        """Send bytes; raises `PeerDisconnectedError` if the client has disconnected or stopped reading."""
        if self._unsent_head:
            data, self._unsent_head = self._unsent_head + data, b""
        try:
            self.stream.send(data, min(self._scheduler.now() + SEND_TIMEOUT_S, deadline_s))
        except (OSError, TaskTimeoutError) as error:
            raise PeerDisconnectedError from error
