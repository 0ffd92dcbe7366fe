"""Reads an endpoint's response: complete where it is small, its head and a stream of the rest otherwise."""

from __future__ import annotations

import math
from http import HTTPStatus

from brambleusher.net.http import HttpError, Message, MessageReader
from brambleusher.net.streamed_bodies import ResponseBodyStream
from brambleusher.runtime.scheduler import Event, TaskTimeoutError
from brambleusher.runtime.streams import Stream, WaitInterruptedError

MAX_INTERIM_RESPONSES = 16  # 1xx responses ahead of one attempt's final response
RESPONSE_IDLE_TIMEOUT_S = 0.5  # without a byte of a response that has begun, and is buffered
RESPONSE_BUFFER_TIMEOUT_S = 0.3  # that the begin of a response of unknown length is buffered
# Plain numbers: each access to a member of an enum costs a call, and these are on the way of each request.
_FIRST_FINAL_STATUS = HTTPStatus.OK.value
_SWITCHING_PROTOCOLS = HTTPStatus.SWITCHING_PROTOCOLS.value


class UpstreamResponseReader:
    """Reads the response to one attempt."""

    __slots__ = (
        "_buffer_until", "_cancel_event", "_deadline", "_due", "_interim_count", "_now", "_reader", "_stream",
    )  # fmt: skip

    def __init__(self, stream: Stream, cancel_event: Event, deadline: float) -> None:
        self._stream, self._cancel_event, self._deadline = stream, cancel_event, deadline
        self._reader, self._now = MessageReader.responses(streaming=True), stream.scheduler.now
        self._interim_count, self._due = 0, deadline
        self._buffer_until: float | None = None  # of a response of unknown length, from its head on

    def read(self) -> tuple[Message, bool]:
        """Read the response.

        One that is not buffered has a `ResponseBodyStream` as its `body_stream`.  What comes behind a
        response spoils the connection, not the response.

        Returns:
            The response, and whether its connection can serve another attempt.

        Raises:
            HttpError: the response can't be used.
            OSError: the connection was lost.
            TaskTimeoutError: the deadline has passed.
            WaitInterruptedError: the attempt was cancelled.
        """
        reader = self._reader
        while True:
            data = self._receive()
            if data is None:  # buffered for long enough
                if reader.size:
                    return self._streamed_response()
                self._buffer_until = math.inf  # it is relayed with its first byte
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
        """Wait for the next bytes, empty at the end; None once a response was buffered for long enough."""
        buffer_until = self._buffer_until
        wait_until = self._due if buffer_until is None else min(self._due, buffer_until)
        try:
            data = self._stream.receive(wait_until, self._cancel_event)
        except TaskTimeoutError:
            if buffer_until is not None and wait_until == buffer_until:
                return None
            if self._due >= self._deadline:
                raise
            # A length that does not fit would otherwise keep the attempt waiting until its deadline.
            raise HttpError(502, "the rest of the answer did not come") from None
        if data is None:
            raise WaitInterruptedError
        return data

    def _take_final(self) -> Message | None:
        """Take the final response once it is complete; interim ones are skipped."""
        while (response := self._reader.take()) is not None:
            if response.status >= _FIRST_FINAL_STATUS:
                return response
            self._interim_count, self._due = self._interim_count + 1, self._deadline
            is_upgrade = response.status == _SWITCHING_PROTOCOLS
            if self._interim_count > MAX_INTERIM_RESPONSES or is_upgrade:
                # 1xx responses without end, at full speed, would keep others from running.
                raise HttpError(502, "interim answers without end")
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
            raise ConnectionResetError("the connection ended before its answer")
        return response

    def _streamed_response(self) -> tuple[Message, bool]:
        response = self._reader.head()
        assert response is not None
        response.body_stream = ResponseBodyStream(self._stream, self._reader)
        return response, False
