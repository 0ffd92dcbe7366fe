"""Encodes request outcomes as HTTP responses and writes them to clients."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

from brambleusher.net.header_forwarding import HeaderRewriter, end_to_end
from brambleusher.net.http import Framing, HeaderField, HttpError, Message, chunk, write_response
from brambleusher.net.request_lifecycle import FinalResponse, ResponseKind
from brambleusher.net.streamed_bodies import ResponseBodyStream, never
from brambleusher.observability.counters import Counters
from brambleusher.observability.request_counts import FAILED, REJECTED, SERVED, RequestCounts
from brambleusher.runtime.disconnect_watch import DisconnectWatch, PeerDisconnectedError
from brambleusher.runtime.peer_presence import PeerPresence
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import Stream

log = logging.getLogger(__name__)

WRITE_TIMEOUT_S = 10.0  # limit in seconds for a slow client to take a response or one chunk of it
LAST_WRITE_TIMEOUT_S = 1.0  # write timeout in seconds of one chunk after `latest_at` has passed

COUNTED_AS = {ResponseKind.SERVED: SERVED, ResponseKind.REJECTED: REJECTED, ResponseKind.FAILED: FAILED}


class ResponseTruncatedError(Exception):
    """Raised when an endpoint fails to send the rest of a streamed response."""


@dataclass(slots=True)
class ClientResponse:
    """An HTTP response to a client; `counted_as` is the outcome counted for its request class."""

    status: int
    headers: list[HeaderField]
    body: bytes
    request_class: str | None = None  # None if the response answers no accepted request
    counted_as: str = FAILED
    is_request_complete: bool = True
    body_stream: ResponseBodyStream | None = None  # the streamed body, used in place of `body`
    presence: PeerPresence | None = None  # detects a client disconnect while the body is streamed
    latest_at: Callable[[], float] = never  # latest time to send, on the scheduler's clock
    must_close: bool = False  # whether the connection can't serve another request


def encode_final_response(
    response: FinalResponse, rewriter: HeaderRewriter | None
) -> tuple[int, list[HeaderField], bytes]:
    """Encode a final response as status, header fields and body."""
    if response.kind is ResponseKind.REJECTED:
        retry_after_s = f"{response.retry_after_ns / 1e9:.3f}"
        return 503, [("Retry-After", retry_after_s)] if response.retry_after_ns > 0 else [], b""
    if response.kind is ResponseKind.FAILED or not isinstance(response.payload, Message):
        return 502, [], b""
    if rewriter is not None:
        return 200, end_to_end(response.payload), response.payload.body
    content_type = response.payload.headers.get("content-type")
    return 200, [("Content-Type", content_type)] if content_type else [], response.payload.body


class ClientResponseWriter:
    """Writes responses to clients and counts the outcomes of their requests."""

    def __init__(self, scheduler: Scheduler, counters: Counters, request_counts: RequestCounts) -> None:
        self._scheduler, self._counters, self._request_counts = scheduler, counters, request_counts

    def write(self, stream: Stream, response: ClientResponse, keep_alive: bool, http_minor: int) -> bool:
        """Write a complete response; its request is finished with the last byte.

        Returns:
            Whether the connection may stay open.

        Raises:
            OSError: The connection was lost.
            TaskTimeoutError: The client did not read the response in time.
        """
        try:
            counted_as = response.counted_as
            if response.body_stream is None:
                data = write_response(response.status, response.headers, response.body, keep_alive)
                stream.send(data, self._scheduler.now() + WRITE_TIMEOUT_S)
            else:
                relay = _BodyRelay(self._scheduler, stream, response, response.body_stream)
                keep_alive = relay.choose_framing(keep_alive, http_minor)
                if not self._relay_body(relay):
                    keep_alive, counted_as = False, FAILED
            if response.request_class is not None:
                self._request_counts.finished[response.request_class][counted_as] += 1
            return keep_alive
        finally:
            if response.body_stream is not None:
                response.body_stream.close()
            is_open = response.request_class is not None and response.is_request_complete
            self._request_counts.in_flight -= is_open

    def write_error(self, stream: Stream, error: HttpError) -> None:
        """Send an error response to an invalid request and half-close the connection."""
        data = write_response(error.status, [], f"{error}\n".encode(), False)
        stream.send(data, self._scheduler.now() + WRITE_TIMEOUT_S)
        stream.finish()

    def _relay_body(self, relay: _BodyRelay) -> bool:
        """Relay a body chunk by chunk; return false if the endpoint fails to send the rest."""
        try:
            self._run_relay(relay)
        except ResponseTruncatedError as error:
            # The client can tell that the body is truncated: it is shorter than its length, or the last
            # chunk is missing.
            self._counters.add("answers_cut")
            log.warning("response truncated by endpoint", extra={"fields": {"reason": error}})
            relay.abort()
            return False
        relay.finish()
        return True

    def _run_relay(self, relay: _BodyRelay) -> None:
        """Relay all chunks; raise `OSError` if the client disconnects, even while no chunk arrives."""
        presence = relay.presence
        if presence is None:
            relay.run()
            return
        try:
            with DisconnectWatch(self._scheduler, presence):
                relay.run()
        except PeerDisconnectedError:
            raise ConnectionResetError("the client has left") from None


class _BodyRelay:
    """Relays the body of one response to the client chunk by chunk as it arrives."""

    __slots__ = ("_body", "_framing", "_head", "_response", "_scheduler", "_stream")

    def __init__(
        self, scheduler: Scheduler, stream: Stream, response: ClientResponse, body: ResponseBodyStream
    ) -> None:
        self._scheduler, self._stream = scheduler, stream
        self._response, self._body = response, body
        self._framing, self._head = Framing.LENGTH, b""

    @property
    def presence(self) -> PeerPresence | None:
        """The detector of a client disconnect; None if the client is not watched."""
        return self._response.presence

    def choose_framing(self, keep_alive: bool, http_minor: int) -> bool:
        """Choose how the body's end is marked; return whether the connection may stay open."""
        body, response = self._body, self._response
        if body.length is None:
            self._framing = Framing.CHUNKS if http_minor else Framing.END  # HTTP/1.0 lacks chunks
        keep_alive = keep_alive and self._framing is not Framing.END
        self._head = write_response(
            response.status, response.headers, b"", keep_alive, body.length, self._framing
        )
        return keep_alive

    def run(self) -> None:
        """Send the head and every chunk; raise `ResponseTruncatedError` if the endpoint stops sending."""
        head, body_data = self._head, self._receive_chunk()
        while body_data or head:
            data = chunk(body_data) if self._framing is Framing.CHUNKS and body_data else body_data
            self._send(head + data)
            head = b""
            body_data = self._receive_chunk()

    def finish(self) -> None:
        """Send the end-of-body marker after the complete body was relayed."""
        if self._framing is Framing.CHUNKS:
            self._send(chunk(b""))

    def abort(self) -> None:
        """Reset the connection if a normal close would be mistaken for the end of the body."""
        if self._framing is Framing.END:
            self._scheduler.system.reset(self._stream.sock)
            self._stream.open = False

    def _send(self, data: bytes) -> None:
        now = self._scheduler.now()
        latest_at = max(self._response.latest_at(), now + LAST_WRITE_TIMEOUT_S)
        self._stream.send(data, min(now + WRITE_TIMEOUT_S, latest_at))

    def _receive_chunk(self) -> bytes:
        try:
            return self._body.read_chunk(self._response.latest_at)
        except (HttpError, OSError, TaskTimeoutError) as error:
            raise ResponseTruncatedError(f"{type(error).__name__}: {error}") from None
