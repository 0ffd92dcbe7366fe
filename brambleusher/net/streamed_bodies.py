"""Bodies too large to be buffered: they are streamed in pieces, pulled by the task at the receiving end.

A piece is read from the sending side only when the last one is gone, so a body costs one piece of memory.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from brambleusher.net.http import HttpError, Message, MessageReader
from brambleusher.runtime.scheduler import Event, TaskTimeoutError
from brambleusher.runtime.streams import Stream

PIECE_BYTES = 32 * 1024  # one of them and what is made of it is what a body costs
RESPONSE_PIECE_TIMEOUT_S = 5.0  # without a byte of a response that is streamed
CHECK_INTERVAL_S = 0.2  # between two looks at the other end, while nothing comes
MAX_BODY_DURATION_S = 900.0  # that a body of the largest size may take
MIN_BYTES_PER_S = 48_000  # that a request's body comes with, on the whole


def never() -> float:
    """Return a moment that does not come, in seconds on any clock."""
    return math.inf


class EarlyResponseError(Exception):
    """The endpoint has said something, or left, before the request it was sent was complete."""


class ResponseBodyStream:
    """The rest of a response whose first bytes have come; its attempt waits for `closed_event`."""

    __slots__ = ("_reader", "_stream", "closed_event", "is_complete", "length")

    def __init__(self, stream: Stream, reader: MessageReader) -> None:
        self._stream, self._reader = stream, reader
        self.length = reader.length  # of the whole body; None: it is not known
        self.closed_event = Event()
        self.is_complete = False

    def next_piece(self, latest_at: Callable[[], float] = never) -> bytes:
        """Take the next bytes, empty at the end.

        Args:
            latest_at: Returns when responses should have left, in seconds on the scheduler's clock: from then
                on a body is waited for only as long as its pieces come.

        Raises:
            HttpError: the body is malformed or too large.
            OSError: the connection was lost.
            TaskTimeoutError: no byte came for too long.
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
                    raise ConnectionResetError("the connection ended before its answer")
                self.is_complete = True
            self._reader.feed(data)
        return b""

    def _receive(self, latest_at: Callable[[], float]) -> bytes:
        """Wait for the next bytes.

        Race: a shutdown may begin while this waits; in steps it is seen before the process has to end.
        """
        now = self._stream.scheduler.now
        waits_since = now()
        while True:
            until = waits_since + RESPONSE_PIECE_TIMEOUT_S
            step_until = min(until, now() + CHECK_INTERVAL_S)
            try:
                return self._stream.receive(step_until, size=PIECE_BYTES) or b""
            except TaskTimeoutError:
                if now() >= min(until, latest_at()):
                    raise

    @property
    def is_connection_reusable(self) -> bool:
        """Whether the connection can serve another attempt."""
        return self.is_complete and not self._reader.ends_with_connection and not self._reader.buffered

    def close(self) -> None:
        """Let its attempt end: no more of it is wanted."""
        self.closed_event.set()


def _ignore_completion() -> None:
    """Do nothing."""


class RequestBodyStream:
    """A request's body that is streamed before it is complete.

    What has come of it is buffered until more is read, so that an attempt that never began to send can be
    made again.

    Attributes:
        length: Of the whole body in bytes; None: it comes in chunks.
        size: Bytes that have come.
        is_complete: Its last byte was read.
        is_consumed: Part of it has left for an endpoint: it can't be sent again.
        has_client_left: The client closed its connection.
        error: What the client is to be answered, where its body was spoilt.
        due: When the response has to leave, in seconds on the scheduler's clock; sooner once it is complete.
        client_timeout_ms: How long the client waits from the last byte on.
        on_complete: Called when its last byte was read.
    """

    __slots__ = (
        "_buffered", "_reader", "_started_at", "_stream", "_timeout_s", "client_timeout_ms", "due", "error",
        "has_client_left", "is_complete", "is_consumed", "length", "on_complete", "size",
    )  # fmt: skip

    def __init__(self, stream: Stream, reader: MessageReader, started_at: float, timeout_s: float) -> None:
        """`timeout_s` is what a body of no length has from `started_at` on; each byte adds to it."""
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
        """Take what is buffered, with which the body can't be sent again."""
        buffered, self._buffered, self.is_consumed = self._buffered, b"", True
        return buffered

    def next_piece(self, cancel_event: Event, check: Callable[[], None]) -> bytes | None:
        """Take the next bytes, empty at the end, None where the event was set.

        `check` is called ahead of each piece and now and then while none comes; what it raises ends the wait.

        Raises:
            HttpError: the rest is malformed, late or too large.
            OSError: the client left.
        """
        try:
            return self._next_piece(cancel_event, check)
        except HttpError as error:
            self.error = error
            raise
        except TaskTimeoutError:
            self.error = HttpError(408, "the request did not come whole in time")
            raise self.error from None
        except OSError:
            self.has_client_left = True
            raise

    def _next_piece(self, cancel_event: Event, check: Callable[[], None]) -> bytes | None:
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
        """Wait for the next bytes; empty where none came for a moment, None where the event was set."""
        now = self._stream.scheduler.now
        due = self._started_at + self._timeout_s + self.size / MIN_BYTES_PER_S
        try:
            received = self._stream.receive(min(due, now() + CHECK_INTERVAL_S), cancel_event, PIECE_BYTES)
        except TaskTimeoutError:
            if now() < due:
                return b""
            raise
        if received is not None and not received:
            self.has_client_left = True
            raise ConnectionResetError("the client has left")
        return received


def request_body_stream(message: Message) -> RequestBodyStream | None:
    """Return the streamed body of a request; None where it is buffered."""
    return message.body_stream if isinstance(message.body_stream, RequestBodyStream) else None


def response_body_stream(message: Message) -> ResponseBodyStream | None:
    """Return the streamed body of a response; None where it is buffered."""
    return message.body_stream if isinstance(message.body_stream, ResponseBodyStream) else None
