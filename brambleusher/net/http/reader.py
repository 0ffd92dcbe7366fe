"""An incremental parser that splits a byte stream into HTTP messages."""

from __future__ import annotations

import re
from collections.abc import Callable
from http import HTTPStatus

from brambleusher.net.http.chunked import ChunkedDecoder
from brambleusher.net.http.heads import parse_request_head, parse_response_head
from brambleusher.net.http.message import (
    MAX_BUFFERED_BODY_BYTES,
    MAX_BUFFERED_RESPONSE_BYTES,
    MAX_HEAD_BYTES,
    MAX_STREAMED_BODY_BYTES,
    HttpError,
    Message,
)

_LENGTH = re.compile(r"[0-9]{1,12}\Z")
_HEAD_END = b"\r\n\r\n"
_CARRIAGE_RETURN = 0x0D
# Special values of `_length` for bodies without a known length.
_CHUNKED, _UNTIL_CLOSE = -1, -2
# Plain integers, as each access to an enum member costs a function call on the hot path of every request.
_BODILESS_STATUSES = frozenset({HTTPStatus.NO_CONTENT.value, HTTPStatus.NOT_MODIFIED.value})
_FIRST_FINAL_STATUS = HTTPStatus.OK.value


class MessageReader:
    """Parses a byte stream into HTTP messages incrementally."""

    def __init__(
        self, parse: Callable[[list[str]], Message], is_for_responses: bool, is_streaming: bool
    ) -> None:
        self._parse, self._is_for_responses, self._is_streaming = parse, is_for_responses, is_streaming
        self._max_body_bytes = MAX_BUFFERED_RESPONSE_BYTES if is_for_responses else MAX_BUFFERED_BODY_BYTES
        if is_streaming:
            self._max_body_bytes = MAX_STREAMED_BODY_BYTES
        self._drained_bytes = 0  # bytes of a streamed body returned by `drain`
        self._buffer = bytearray()
        self._message: Message | None = None
        self._length = 0  # bytes of the body, or `_CHUNKED` or `_UNTIL_CLOSE`
        self._chunked = ChunkedDecoder()
        self._searched_bytes = 0  # bytes already searched for the end of a head

    @classmethod
    def requests(cls, streaming: bool = False) -> MessageReader:
        """Create a request reader; with `streaming`, it also accepts bodies too large to buffer."""
        return cls(parse_request_head, False, streaming)

    @classmethod
    def responses(cls, streaming: bool = False) -> MessageReader:
        """Create a response reader; with `streaming`, it also accepts bodies too large to buffer."""
        return cls(parse_response_head, True, streaming)

    @property
    def has_begun(self) -> bool:
        """Whether part of a message has arrived."""
        return self._message is not None or bool(self._buffer)

    @property
    def ends_with_connection(self) -> bool:
        """Whether a response head has arrived whose body ends only when the connection closes."""
        return self._message is not None and self._length == _UNTIL_CLOSE

    @property
    def length(self) -> int | None:
        """The body length given in the head, or None if the head gives none."""
        return self._length if self._length >= 0 else None

    @property
    def is_large(self) -> bool:
        """Whether a body is known to be too large to buffer, and must be read with `drain`."""
        message = self._message
        if not self._is_streaming or message is None:
            return False
        came = len(self._buffer) if self._length == _UNTIL_CLOSE else len(message.body)
        return self._drained_bytes > 0 or max(self._length, came) > MAX_BUFFERED_BODY_BYTES

    @property
    def buffered(self) -> int:
        """The number of buffered bytes that belong to the next message."""
        return len(self._buffer)

    @property
    def size(self) -> int:
        """The number of body bytes that are announced or have arrived."""
        body = len(self._message.body) if self._message is not None else 0
        return max(self._length, body) if self._message is not None else 0

    @property
    def size_so_far(self) -> int:
        """The number of body bytes that have arrived."""
        message = self._message
        return 0 if message is None else len(self._buffer) + len(message.body)

    @property
    def expects_continue(self) -> bool:
        """Whether a request's head is complete and its sender waits for a 100 Continue response."""
        message = self._message
        return message is not None and message.headers.get("expect", "").lower() == "100-continue"

    def feed(self, data: bytes) -> None:
        """Add bytes received from the connection to the buffer."""
        self._buffer += data

    def head(self) -> Message | None:
        """Return the head of the next message once it is complete; its body is read by `take`."""
        if self._message is None:
            self._message = self._read_head()
            if self._message is not None:
                self._length = self._framing(self._message)
                if self._length == _CHUNKED:
                    self._chunked = ChunkedDecoder()
        return self._message

    def take(self) -> Message | None:
        """Take the next message once it is complete.

        Raises:
            HttpError: The message is malformed or too large.
        """
        message = self.head()
        if message is None:
            return None
        if self._length == _CHUNKED:
            is_complete = self._take_chunked(message)
        elif self._length == _UNTIL_CLOSE:
            self._check_size(len(self._buffer))
            is_complete = False
        else:
            is_complete = self._take_sized(message)
        if not is_complete:
            return None
        self._message = None
        return message

    def _take_chunked(self, message: Message) -> bool:
        message.body += self._chunked.feed(bytes(self._buffer))
        self._buffer.clear()
        self._check_size(len(message.body))
        if self.is_large or not self._chunked.done:
            return False
        self._buffer += self._chunked.remainder
        return True

    def _take_sized(self, message: Message) -> bool:
        is_here = len(self._buffer) >= self._length
        if not is_here or self._length > MAX_BUFFERED_BODY_BYTES or self._drained_bytes:
            return False
        message.body = bytes(self._buffer[: self._length])
        del self._buffer[: self._length]
        return True

    def drain(self) -> tuple[bytes, bool]:
        """Take the available bytes of a streamed body, whose length may be unknown.

        Returns:
            The bytes, and whether they include the end of the body.

        Raises:
            HttpError: The body is malformed or too large.
        """
        data, message, is_done = bytes(self._buffer), self._message, False
        self._buffer.clear()
        buffered = b""
        if message is not None and message.body:  # bytes read by `take` before the body was known to be large
            buffered, message.body = message.body, b""
        if self._length == _CHUNKED:
            data = buffered + self._chunked.feed(data)
            if is_done := self._chunked.done:
                self._buffer += self._chunked.remainder
        elif self._length >= 0:
            data, remainder = data[: self._length], data[self._length :]
            self._length -= len(data)
            self._buffer += remainder
            is_done = self._length == 0
        self._drained_bytes += len(data)
        if self._is_streaming:
            self._check_size(self._drained_bytes)
        if is_done:
            self._message, self._drained_bytes = None, 0
        return data, is_done

    def end(self) -> Message | None:
        """Take the message that the end of the connection completes, or return None if there is none."""
        message = self._message
        if message is None or self._length != _UNTIL_CLOSE:
            return None
        message.body, self._message = bytes(self._buffer), None
        self._buffer.clear()
        return message

    def _check_size(self, size: int) -> None:
        if size > self._max_body_bytes:
            raise HttpError(413, "the body is too large")

    def _read_head(self) -> Message | None:
        buffer = self._buffer
        while not self._is_for_responses and buffer[:2] == b"\r\n":  # skip empty lines before a request
            del buffer[:2]
        end = buffer.find(_HEAD_END, max(0, self._searched_bytes - len(_HEAD_END) + 1))
        if end < 0 or end > MAX_HEAD_BYTES:
            self._searched_bytes = len(buffer)
            self._check_incomplete_head()
            return None
        text = buffer[:end].decode("latin-1")
        del buffer[: end + len(_HEAD_END)]
        self._searched_bytes = 0
        return self._parse(text.split("\r\n"))

    def _check_incomplete_head(self) -> None:
        """Raise `HttpError` for a malformed first line before the head is complete."""
        buffer = self._buffer
        if len(buffer) > MAX_HEAD_BYTES:
            raise HttpError(431, "the head is too large")
        line_end = buffer.find(b"\n")
        if line_end == 0 or (line_end > 0 and buffer[line_end - 1] != _CARRIAGE_RETURN):
            raise HttpError(400, "a line ends without a carriage return")
        if line_end > 0:
            self._parse([buffer[: line_end - 1].decode("latin-1")])

    def _framing(self, message: Message) -> int:
        """Return how the end of a body is found: its length, `_CHUNKED` or `_UNTIL_CLOSE`."""
        coding, length = message.headers.get("transfer-encoding"), message.headers.get("content-length")
        if coding is not None:
            if length is not None or coding.lower() != "chunked" or message.minor == 0:
                raise HttpError(400, "the body's length is not clear")
            return _CHUNKED
        if self._is_for_responses:
            status = message.status
            if status in _BODILESS_STATUSES or status < _FIRST_FINAL_STATUS:
                return 0
        if length is None:
            return _UNTIL_CLOSE if self._is_for_responses else 0
        if not _LENGTH.match(length):
            raise HttpError(400, "bad content length")
        self._check_size(int(length))
        return int(length)
