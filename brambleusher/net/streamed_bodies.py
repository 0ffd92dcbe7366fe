"""Streams bodies too large to buffer in chunks, pulled by the task that writes to the receiver.

A chunk is read from the sender only after the previous chunk was sent, so a body needs the memory of one
chunk.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from brambleusher.net.http import HttpError, Message, MessageReader
from brambleusher.runtime.scheduler import Event, TaskTimeoutError
from brambleusher.runtime.streams import Stream

READ_BYTES = 32 * 1024  # bytes per read; a streamed body uses the memory of one read and its encoding
RESPONSE_READ_TIMEOUT_S = 5.0  # limit in seconds without a byte of a streamed response
CHECK_INTERVAL_S = 0.2  # seconds between checks of the receiver while no data arrives
MAX_BODY_DURATION_S = 900.0  # limit in seconds for a body of the maximum size
MIN_BYTES_PER_S = 48_000  # minimum average rate in bytes per second of a request body


def never() -> float:
    """Return infinity, for a time limit that never passes."""
    return math.inf


class EarlyResponseError(Exception):
    """Raised when the endpoint responds or closes before the request was sent completely."""


class ResponseBodyStream:
    """The streamed body of a response; the attempt stays open until `closed_event` is set."""

    __slots__ = ("_reader", "_stream", "closed_event", "is_complete", "length")

    def __init__(self, stream: Stream, reader: MessageReader) -> None:
        self._stream, self._reader = stream, reader
        self.length = reader.length  # bytes of the complete body, or None if unknown
        self.closed_event = Event()
        self.is_complete = False

    def read_chunk(self, latest_at: Callable[[], float] = never) -> bytes:
        """Return the next bytes, which are empty at the end of the body.

        Args:
            latest_at: Returns the latest time to send responses, in seconds on the scheduler's clock; after
                this time, `TaskTimeoutError` is raised once no data arrives for `CHECK_INTERVAL_S` seconds.

        Raises:
            HttpError: The body is malformed or too large.
            OSError: The connection was lost.
            TaskTimeoutError: No byte arrived before the timeout.
        """
        while not self.is_complete:
            data, self.is_complete = self._reader.drain()
            if data:
                self._stream.scheduler.yield_now()
                return data
            if self.is_complete:
                break
            data = self._receive(latest_at)
            if not data:
                if not self._reader.ends_with_connection:
                    raise ConnectionResetError("the endpoint closed before completing its response")
                self.is_complete = True
            self._reader.feed(data)
        return b""

    def _receive(self, latest_at: Callable[[], float]) -> bytes:
        """Wait for the next bytes.

        A shutdown may begin during the wait. The wait is split into short intervals so that the shutdown is
        noticed before the process has to exit.
        """
        now = self._stream.scheduler.now
        waits_since = now()
        while True:
            until = waits_since + RESPONSE_READ_TIMEOUT_S
            step_until = min(until, now() + CHECK_INTERVAL_S)
            try:
                return self._stream.receive(step_until, size=READ_BYTES) or b""
            except TaskTimeoutError:
                if now() >= min(until, latest_at()):
                    raise

    @property
    def is_connection_reusable(self) -> bool:
        """Whether the endpoint connection can be reused for another attempt."""
        return self.is_complete and not self._reader.ends_with_connection and not self._reader.buffered

    def close(self) -> None:
        """Stop reading the body and let its attempt end."""
        self.closed_event.set()


def _ignore_completion() -> None:
    """Do nothing."""


class RequestBodyStream:
    """A request body that is forwarded while it is still being received.

    Received bytes are buffered until more are read, so that an attempt that has not started sending can be
    retried.

    Attributes:
        length: Bytes of the complete body, or None if the body is chunked.
        size: Bytes received so far.
        is_complete: Whether the last byte was read.
        is_consumed: Whether part of the body was sent to an endpoint, after which it can't be sent again.
        has_client_left: Whether the client closed its connection.
        error: The error response to the client if its body was malformed or late.
        due: Latest time to send the response, in seconds on the scheduler's clock; reduced when the body
            completes.
        client_timeout_ms: Milliseconds that the client waits after sending the last byte.
        on_complete: Called when the last byte was read.
    """

    __slots__ = (
        "_buffered", "_reader", "_started_at", "_stream", "_timeout_s", "client_timeout_ms", "due", "error",
        "has_client_left", "is_complete", "is_consumed", "length", "on_complete", "size",
    )  # fmt: skip

    def __init__(self, stream: Stream, reader: MessageReader, started_at: float, timeout_s: float) -> None:
        """Create the body stream; its time limit is `timeout_s` from `started_at` plus time for each byte."""
        self._stream, self._reader = stream, reader
        self._started_at, self._timeout_s = started_at, timeout_s
        self.length = reader.length
        self._buffered, self.is_complete = reader.drain()
        self.size = len(self._buffered)
        self.is_consumed = self.has_client_left = False
        self.error: HttpError | None = None
        self.due = stream.scheduler.now() + MAX_BODY_DURATION_S
        self.client_timeout_ms = 1
        self.on_complete: Callable[[], None] = _ignore_completion

    def take_buffered(self) -> bytes:
        """Take the buffered bytes, after which the body can't be sent again."""
        buffered, self._buffered, self.is_consumed = self._buffered, b"", True
        return buffered

    def read_chunk(self, cancel_event: Event, check: Callable[[], None]) -> bytes | None:
        """Return the next bytes, which are empty at the end of the body, or None if the event was set.

        `check` is called before each chunk and periodically while none arrives; an exception from it ends the
        wait.

        Raises:
            HttpError: The rest of the body is malformed, late or too large.
            OSError: The client disconnected.
        """
        try:
            return self._read_chunk(cancel_event, check)
        except HttpError as error:
            self.error = error
            raise
        except TaskTimeoutError:
            self.error = HttpError(408, "the request did not come whole in time")
            raise self.error from None
        except OSError:
            self.has_client_left = True
            raise

    def _read_chunk(self, cancel_event: Event, check: Callable[[], None]) -> bytes | None:
        while not self.is_complete:
            data, self.is_complete = self._reader.drain()
            if self.is_complete:
                self.on_complete()
            if data:
                self.size += len(data)
                self._stream.scheduler.yield_now()
                return data
            if self.is_complete:
                break
            check()
            received = self._receive(cancel_event)
            if received is None:
                return None
            self._reader.feed(received)
        return b""

    def _receive(self, cancel_event: Event) -> bytes | None:
        """Wait briefly for the next bytes; return empty bytes if none arrived, None if the event was set."""
        now = self._stream.scheduler.now
        due = self._started_at + self._timeout_s + self.size / MIN_BYTES_PER_S
        try:
            received = self._stream.receive(min(due, now() + CHECK_INTERVAL_S), cancel_event, READ_BYTES)
        except TaskTimeoutError:
            if now() < due:
                return b""
            raise
        if received is not None and not received:
            self.has_client_left = True
            raise ConnectionResetError("the client has left")
        return received


def request_body_stream(message: Message) -> RequestBodyStream | None:
    """Return the streamed body of a request, or None if the body is buffered."""
    return message.body_stream if isinstance(message.body_stream, RequestBodyStream) else None


def response_body_stream(message: Message) -> ResponseBodyStream | None:
    """Return the streamed body of a response, or None if the body is buffered."""
    return message.body_stream if isinstance(message.body_stream, ResponseBodyStream) else None
