"""Responses to clients: how a request's outcome is worded in HTTP, and how the response is written."""

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

WRITE_TIMEOUT_S = 10.0  # for a client that reads its response, or a piece of it, slowly
LAST_WRITE_TIMEOUT_S = 1.0  # the same for a piece, once responses should have left

COUNTED_AS = {ResponseKind.SERVED: SERVED, ResponseKind.REJECTED: REJECTED, ResponseKind.FAILED: FAILED}


class ResponseTruncatedError(Exception):
    """The rest of a streamed response does not come from its endpoint."""


@dataclass(slots=True)
class ClientResponse:
    """A response as it is worded for HTTP; `counted_as` is its outcome for the class of its request."""

    status: int
    headers: list[HeaderField]
    body: bytes
    request_class: str | None = None  # None: it answers nothing that was accepted as a request
    counted_as: str = FAILED
    is_request_complete: bool = True
    body_stream: ResponseBodyStream | None = None  # in place of `body`
    presence: PeerPresence | None = None  # of the client, where the body is streamed
    latest_at: Callable[[], float] = never  # when it should have left, on the scheduler's clock
    must_close: bool = False  # its connection can't carry another request


def word_response(
    response: FinalResponse, rewriter: HeaderRewriter | None
) -> tuple[int, list[HeaderField], bytes]:
    """Word a final response as status, header fields and body."""
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
    """Writes responses, and counts how their requests ended."""

    def __init__(self, scheduler: Scheduler, counters: Counters, request_counts: RequestCounts) -> None:
        self._scheduler, self._counters, self._request_counts = scheduler, counters, request_counts

    def write(self, stream: Stream, response: ClientResponse, keep_alive: bool, http_minor: int) -> bool:
        """Write a response to its last byte, with which its request ends.

        Returns:
            Whether the connection may be kept.

        Raises:
            OSError: the connection was lost.
            TaskTimeoutError: the client did not take the response in time.
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
        """Answer a request that can't be used, and end the connection."""
        data = write_response(error.status, [], f"{error}\n".encode(), False)
        stream.send(data, self._scheduler.now() + WRITE_TIMEOUT_S)
        stream.finish()

    def _relay_body(self, relay: _BodyRelay) -> bool:
        """Relay a body piece by piece; false where the rest of it does not come."""
        try:
            self._run_relay(relay)
        except ResponseTruncatedError as error:
            # Once, and so that the client can tell: short of its length, or without its last chunk.
            self._counters.add("answers_cut")
            log.warning("response truncated by endpoint", extra={"fields": {"reason": error}})
            relay.abort()
            return False
        relay.finish()
        return True

    def _run_relay(self, relay: _BodyRelay) -> None:
        """Relay all pieces; raises `OSError` where the client leaves, also while no piece comes."""
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
    """One response whose body is relayed piece by piece as it comes."""

    __slots__ = ("_body", "_framing", "_head", "_response", "_scheduler", "_stream")

    def __init__(
        self, scheduler: Scheduler, stream: Stream, response: ClientResponse, body: ResponseBodyStream
    ) -> None:
        self._scheduler, self._stream = scheduler, stream
        self._response, self._body = response, body
        self._framing, self._head = Framing.LENGTH, b""

    @property
    def presence(self) -> PeerPresence | None:
        """Whether the client is still there; None: it is not watched."""
        return self._response.presence

    def choose_framing(self, keep_alive: bool, http_minor: int) -> bool:
        """Choose how the body's end is marked; returns whether the connection may be kept."""
        body, response = self._body, self._response
        if body.length is None:
            self._framing = Framing.CHUNKS if http_minor else Framing.END  # HTTP/1.0 has no chunks
        keep_alive = keep_alive and self._framing is not Framing.END
        self._head = write_response(
            response.status, response.headers, b"", keep_alive, body.length, self._framing
        )
        return keep_alive

    def run(self) -> None:
        """Send the head and every piece; raises `ResponseTruncatedError` where the rest does not come."""
        head, piece = self._head, self._next_piece()
        while piece or head:
            data = chunk(piece) if self._framing is Framing.CHUNKS and piece else piece
            self._send(head + data)
            head = b""
            piece = self._next_piece()

    def finish(self) -> None:
        """Mark the end of a body that has come completely."""
        if self._framing is Framing.CHUNKS:
            self._send(chunk(b""))

    def abort(self) -> None:
        """Reset a connection whose end would otherwise be taken for the end of the body."""
        if self._framing is Framing.END:
            self._scheduler.system.reset(self._stream.sock)
            self._stream.open = False

    def _send(self, data: bytes) -> None:
        now = self._scheduler.now()
        latest_at = max(self._response.latest_at(), now + LAST_WRITE_TIMEOUT_S)
        self._stream.send(data, min(now + WRITE_TIMEOUT_S, latest_at))

    def _next_piece(self) -> bytes:
        try:
            return self._body.next_piece(self._response.latest_at)
        except (HttpError, OSError, TaskTimeoutError) as error:
            raise ResponseTruncatedError(f"{type(error).__name__}: {error}") from None
