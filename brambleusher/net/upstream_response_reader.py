"""Reads an endpoint's response, buffering small bodies and streaming all others."""

from __future__ import annotations

import math
from http import HTTPStatus

from brambleusher.net.http import HttpError, Message, MessageReader
from brambleusher.net.streamed_bodies import ResponseBodyStream
from brambleusher.runtime.scheduler import Event, TaskTimeoutError
from brambleusher.runtime.streams import Stream, WaitInterruptedError

MAX_INTERIM_RESPONSES = 16  # maximum number of 1xx responses before the final response of an attempt
RESPONSE_IDLE_TIMEOUT_S = 0.5  # limit in seconds without a byte of a buffered response that has started
RESPONSE_BUFFER_TIMEOUT_S = 0.3  # seconds after which a body of unknown length is streamed
# Plain integers, as each access to an enum member costs a function call on the hot path of every request.
_FIRST_FINAL_STATUS = HTTPStatus.OK.value
_SWITCHING_PROTOCOLS = HTTPStatus.SWITCHING_PROTOCOLS.value


class UpstreamResponseReader:
    """Reads the endpoint's response to one attempt."""

    __slots__ = (
        "_buffer_until", "_cancel_event", "_deadline", "_due", "_interim_count", "_now", "_reader", "_stream",
    )  # fmt: skip

    def __init__(self, stream: Stream, cancel_event: Event, deadline: float) -> None:
        self._stream, self._cancel_event, self._deadline = stream, cancel_event, deadline
        self._reader, self._now = MessageReader.responses(streaming=True), stream.scheduler.now
        self._interim_count, self._due = 0, deadline
        self._buffer_until: float | None = None  # time to start streaming a body of unknown length

    def read(self) -> tuple[Message, bool]:
        """Read the response.

        A response that is not buffered has a `ResponseBodyStream` as its `body_stream`. Extra bytes after a
        response make the connection unusable but not the response.

        Returns:
            The response, and whether its connection can be reused for another attempt.

        Raises:
            HttpError: The response is invalid.
            OSError: The connection was lost.
            TaskTimeoutError: The deadline has passed.
            WaitInterruptedError: The attempt was cancelled.
        """
        reader = self._reader
        while True:
            data = self._receive()
            if data is None:  # `RESPONSE_BUFFER_TIMEOUT_S` has passed
                if reader.size:
                    return self._streamed_response()
                self._buffer_until = math.inf  # start streaming with the first byte of the body
                continue
            if not data:
                return self._response_ended_by_close(), False
            reader.feed(data)
            if (response := self._take_final()) is not None:
                return response, response.keep_alive and not reader.buffered
            if reader.is_large or (self._buffer_until == math.inf and reader.size):
                return self._streamed_response()
            self._update_deadlines()

    def _receive(self) -> bytes | None:
        """Return the next bytes, empty at the end, or None once the buffering time has passed."""
        buffer_until = self._buffer_until
        wait_until = self._due if buffer_until is None else min(self._due, buffer_until)
        try:
            data = self._stream.receive(wait_until, self._cancel_event)
        except TaskTimeoutError:
            if buffer_until is not None and wait_until == buffer_until:
                return None
            if self._due >= self._deadline:
                raise
            # A body shorter than its announced length would otherwise block the attempt until its deadline.
            raise HttpError(502, "the rest of the response did not arrive in time") from None
        if data is None:
            raise WaitInterruptedError
        return data

    def _take_final(self) -> Message | None:
        """Take the final response once it is complete, skipping interim responses."""
        while (response := self._reader.take()) is not None:
            if response.status >= _FIRST_FINAL_STATUS:
                return response
            self._interim_count, self._due = self._interim_count + 1, self._deadline
            is_upgrade = response.status == _SWITCHING_PROTOCOLS
            if self._interim_count > MAX_INTERIM_RESPONSES or is_upgrade:
                # An endless series of 1xx responses at full speed would starve other tasks.
                raise HttpError(502, "too many interim responses, or a protocol switch")
        return None

    def _update_deadlines(self) -> None:
        reader = self._reader
        if reader.has_begun:
            self._due = min(self._deadline, self._now() + RESPONSE_IDLE_TIMEOUT_S)
        if self._buffer_until is None and reader.head() is not None and reader.length is None:
            self._buffer_until = self._now() + RESPONSE_BUFFER_TIMEOUT_S

    def _response_ended_by_close(self) -> Message:
        response = self._reader.end()
        if response is None:
            raise ConnectionResetError("the endpoint closed before completing its response")
        return response

    def _streamed_response(self) -> tuple[Message, bool]:
        response = self._reader.head()
        assert response is not None
        response.body_stream = ResponseBodyStream(self._stream, self._reader)
        return response, False
