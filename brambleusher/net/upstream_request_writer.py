"""Writes an attempt's request to an endpoint, with a buffered or a streamed body."""

from __future__ import annotations

from collections.abc import Callable

from brambleusher.loadbalancing.api import AttemptStatus
from brambleusher.net.http import HOP_BY_HOP, Framing, HeaderField, HttpError, Message, chunk, write_request
from brambleusher.net.streamed_bodies import EarlyResponseError, RequestBodyStream
from brambleusher.net.upstream_endpoint import UpstreamAttempt
from brambleusher.runtime.streams import Stream, WaitInterruptedError
from brambleusher.runtime.system import Address

CHUNK_TIMEOUT_S = 10.0  # limit in seconds for a slow endpoint to take one chunk of a body
_REWRITTEN = HOP_BY_HOP | {"content-length", "request-timeout-ms", "expect"}


def encode_request(
    request: Message, address: Address, time_left_ms: int, body_stream: RequestBodyStream | None
) -> bytes:
    """Encode a request for an endpoint; only the head is encoded if the body is streamed."""
    headers = _forwarded_headers(request)
    if "host" not in request.headers:
        headers.insert(0, ("Host", f"{address[0]}:{address[1]}"))
    headers.append(("Request-Timeout-Ms", str(time_left_ms)))
    if body_stream is not None:
        length = body_stream.length
        framing = Framing.CHUNKS if length is None else Framing.LENGTH
        return write_request(*request.start, headers, b"", length, framing)
    return write_request(*request.start, headers, request.body)


def _forwarded_headers(request: Message) -> list[HeaderField]:
    if request.forwarded_fields is not None:
        return [field for field in request.forwarded_fields if field[0].lower() not in _REWRITTEN]
    of_connection = request.connection_options
    return [
        (name.title(), value)
        for name, value in request.headers.items()
        if name not in _REWRITTEN and name not in of_connection
    ]


def stream_request(
    stream: Stream,
    attempt: UpstreamAttempt,
    body: RequestBodyStream,
    head: bytes,
    on_progress: Callable[[bool], None],
) -> None:
    """Send a request whose body is streamed in chunks as they arrive from the client.

    Raises:
        EarlyResponseError: The endpoint responded or closed before the request was complete.
        WaitInterruptedError: The attempt was cancelled, or the client did not send the rest of the body.
        OSError: The connection was lost.
        TaskTimeoutError: The endpoint did not take a chunk in time.
    """
    now, is_chunked = stream.scheduler.now, body.length is None
    on_progress(False)
    buffered = body.take_buffered()

    def check_for_response() -> None:
        if not stream.is_idle():
            raise EarlyResponseError

    first_data = chunk(buffered) if is_chunked and buffered else buffered
    stream.send(head + first_data, now() + CHUNK_TIMEOUT_S)
    while True:
        try:
            body_data = body.read_chunk(attempt.cancel_event, check_for_response)
        except (HttpError, OSError):
            # The client caused the failure, and the endpoint has not run the incomplete request.
            attempt.cancel(AttemptStatus.NOT_STARTED)
            raise WaitInterruptedError from None
        if body_data is None:
            raise WaitInterruptedError
        if not body_data:
            break
        data = chunk(body_data) if is_chunked else body_data
        stream.send(data, min(now() + CHUNK_TIMEOUT_S, body.due))
    if is_chunked:
        stream.send(chunk(b""), min(now() + CHUNK_TIMEOUT_S, body.due))
