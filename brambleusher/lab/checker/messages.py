"""Parsers of HTTP/1.1 messages and of the lines of a discovery watch, written for the checker alone.

The parsers record the stream offsets at which each message begins and ends, so that the checker can tell how
much of a message has been read.
"""

from __future__ import annotations

import json
import math
from collections.abc import Sequence
from typing import Any

MAX_HEAD_BYTES = 64 * 1024  # largest message head, in bytes; a longer head is reported as endless
MAX_LINE_BYTES = 16 * 1024 * 1024
MAX_BODY_BYTES = 4 * 1024 * 1024  # largest message body, in bytes; a longer body is reported as endless

BY_LENGTH, CHUNKED, UNTIL_CLOSE = "length", "chunked", "end"


class Message:
    """A request or a response, with its offsets in the stream that it was read from."""

    __slots__ = ("begin", "body", "end", "fault", "framing", "headers", "length", "start")

    def __init__(self, start: str, headers: Sequence[tuple[str, str]], begin: int) -> None:
        self.start, self.headers = start, headers
        self.begin, self.end = begin, -1  # offsets of the first byte and of the byte after the last
        self.body = b""
        self.fault: str | None = None  # framing error that hides the message's end; None without one
        self.framing, self.length = BY_LENGTH, 0

    def get(self, name: str) -> str | None:
        """Return the value of the first header with a name, which is given in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def all(self, name: str) -> list[str]:
        """Return the values of all headers with a name, which is given in lower case."""
        return [value for key, value in self.headers if key == name]

    @property
    def status(self) -> int:
        """The status code of a response; 0 if the status line has no valid code."""
        parts = self.start.split(" ", 2)
        code = parts[1] if len(parts) > 1 else ""
        return int(code) if len(code) == 3 and code.isascii() and code.isdigit() else 0

    @property
    def closes(self) -> bool:
        """Whether the sender closes the connection after this message."""
        options = {option.strip().lower() for value in self.all("connection") for option in value.split(",")}
        old = "HTTP/1.0" in self.start
        return "close" in options or (old and "keep-alive" not in options)


class ChunkDecoder:
    """Decoder of the chunked transfer coding."""

    __slots__ = ("_buffer", "_left", "done", "fault")

    def __init__(self) -> None:
        self._buffer = bytearray()
        # Bytes left of the current chunk; -1 before a size line, -2 before a chunk's CRLF, -3 in the trailer.
        self._left = -1
        self.done = False
        self.fault: str | None = None

    def feed(self, data: bytes) -> bytes:
        """Take encoded bytes and return the body bytes that they complete."""
        buffer = self._buffer
        buffer += data
        out = bytearray()
        while buffer and not self.done and self.fault is None:
            if self._left > 0:
                body = buffer[: self._left]
                del buffer[: len(body)]
                out += body
                self._left -= len(body)
                if not self._left:
                    self._left = -2
                continue
            at = buffer.find(b"\r\n")
            if at < 0:
                if len(buffer) > 1024:
                    self.fault = "a chunk's size line has no end"
                break
            line = bytes(buffer[:at])
            del buffer[: at + 2]
            if self._left == -2:
                if line:
                    self.fault = "a chunk is longer than it says"
                self._left = -1
            elif self._left == -3:
                self.done = not line
            else:
                size = line.split(b";", 1)[0].strip()
                try:
                    self._left = int(size, 16) if size.isalnum() else -4
                except ValueError:
                    self._left = -4
                if self._left == -4:
                    self.fault = "a chunk's size is no number"
                elif not self._left:
                    self._left = -3
        return bytes(out)

    @property
    def remainder(self) -> bytes:
        """The bytes that follow the encoded body."""
        return bytes(self._buffer)


class MessageReader:
    """Parser that splits a stream of requests or of responses into messages."""

    __slots__ = ("_answers", "_at", "_buffer", "_chunks", "fault", "head")

    def __init__(self, answers: bool) -> None:
        self._answers = answers
        self._buffer = bytearray()
        self._at = 0  # stream offset of the buffer's first byte
        self._chunks: ChunkDecoder | None = None
        self.head: Message | None = None  # message whose head is read and whose body is incomplete
        self.fault: str | None = None  # framing error that ends the parsing of the stream; None without one

    @property
    def has_partial(self) -> bool:
        """Whether part of a message, or bytes that can't be parsed, have been received."""
        return self.head is not None or bool(self._buffer) or self.fault is not None

    @property
    def begin(self) -> int:
        """The stream offset at which the next or the incomplete message begins."""
        return self.head.begin if self.head is not None else self._at

    def feed(self, data: bytes) -> list[Message]:
        """Take bytes of the stream and return the messages that they complete."""
        self._buffer += data
        complete = []
        while self.fault is None:
            message = self._next()
            if message is None:
                break
            complete.append(message)
        return complete

    def _next(self) -> Message | None:
        message = self.head
        if message is None:
            message = self.head = self._read_head()
            if message is None or self.fault is not None:
                return None
        buffer = self._buffer
        if message.framing == UNTIL_CLOSE:
            return None
        if message.framing == CHUNKED:
            if self._chunks is None:
                self._chunks = ChunkDecoder()
            fed = len(buffer)
            message.body += self._chunks.feed(bytes(buffer))
            buffer.clear()
            self._at += fed
            if self._chunks.fault is None and len(message.body) > MAX_BODY_BYTES:
                self._chunks.fault = "a body without end"
            if self._chunks.fault is not None:
                self.fault = message.fault = self._chunks.fault
                return None
            if not self._chunks.done:
                return None
            remainder = self._chunks.remainder
            buffer += remainder
            self._at -= len(remainder)
            self._chunks = None
        else:
            if len(buffer) < message.length:
                return None
            message.body = bytes(buffer[: message.length])
            del buffer[: message.length]
            self._at += message.length
        message.end = self._at
        self.head = None
        return message

    def _read_head(self) -> Message | None:
        buffer = self._buffer
        while not self._answers and buffer[:2] == b"\r\n":
            del buffer[:2]
            self._at += 2
        at = buffer.find(b"\r\n\r\n")
        if at < 0:
            if len(buffer) > MAX_HEAD_BYTES:
                self.fault = "a head without end"
            return None
        begin, text = self._at, buffer[:at].decode("latin-1")
        del buffer[: at + 4]
        self._at += at + 4
        start, *lines = text.split("\r\n")
        headers = []
        for line in lines:
            name, colon, value = line.partition(":")
            if not colon or not name or name != name.strip():
                self.fault = "a header line without a name"
            headers.append((name.strip().lower(), value.strip(" \t")))
        message = Message(start, headers, begin)
        self._determine_framing(message)
        if self.fault is not None:
            message.fault = self.fault
        return message

    def _determine_framing(self, message: Message) -> None:
        """Determine the framing of a message; set `fault` if its headers are invalid or contradictory."""
        lengths, codings = message.all("content-length"), message.all("transfer-encoding")
        if self._answers and message.status == 0:
            self.fault = "a status that is none"
        elif self._answers and (message.status < 200 or message.status in (204, 304)):
            return
        elif lengths and codings:
            self.fault = "both a length and a coding"
        elif codings:
            message.framing = CHUNKED
            if codings != [codings[0]] or codings[0].lower() != "chunked":
                self.fault = "an unknown coding"
        elif lengths:
            length = lengths[0]
            if len(lengths) > 1:
                self.fault = "two lengths"
            elif not (length.isascii() and length.isdigit()):
                self.fault = "a length that is no number"
            else:
                message.length = int(length[:18])
                if message.length > MAX_BODY_BYTES:
                    self.fault = "a body without end"
        elif self._answers:
            message.framing = UNTIL_CLOSE


class LineReader:
    """Parser that splits a response of discovery into lines."""

    __slots__ = ("_body", "_chunks", "_head", "_left", "_text", "at", "done", "fault", "status")

    def __init__(self) -> None:
        self._head = bytearray()
        self._text = bytearray()
        self._chunks: ChunkDecoder | None = None
        self._body = False
        self._left = -1  # bytes left of a body with a content length; -1 without a content length
        self.status = 0
        self.at = 0  # number of bytes received
        self.done = False
        self.fault: str | None = None

    def feed(self, data: bytes) -> list[bytes]:
        """Take bytes of the response and return the lines that they complete."""
        self.at += len(data)
        if not self._body:
            self._head += data
            at = self._head.find(b"\r\n\r\n")
            if at < 0:
                if len(self._head) > MAX_HEAD_BYTES:
                    self.fault = "a head without end"
                return []
            data = bytes(self._head[at + 4 :])
            self._begin(self._head[:at].decode("latin-1"))
            self._head.clear()
        if self.fault is not None or self.done:
            return []
        if self._chunks is not None:
            data = self._chunks.feed(data)
            self.fault, self.done = self._chunks.fault, self._chunks.done
        elif self._left >= 0:
            data = data[: self._left]
            self._left -= len(data)
            self.done = not self._left
        self._text += data
        *lines, remainder = self._text.split(b"\n")
        if self.done and remainder.strip():  # the last line of a complete body needs no line end
            lines, remainder = [*lines, remainder], bytearray()
        self._text = bytearray(remainder)
        if len(remainder) > MAX_LINE_BYTES:
            self.fault = "a line without end"
        return [bytes(line) for line in lines]

    def _begin(self, text: str) -> None:
        start, *lines = text.split("\r\n")
        message = Message(start, [_parse_header(line) for line in lines], 0)
        self.status, self._body = message.status, True
        coding, length = message.get("transfer-encoding"), message.get("content-length")
        if coding is not None:
            self._chunks = ChunkDecoder()
            if coding.lower() != "chunked" or length is not None:
                self.fault = "framing that can't be read"
        elif length is not None:
            if length.isascii() and length.isdigit():
                self._left = int(length[:18])
                self.done = not self._left
            else:
                self.fault = "framing that can't be read"


def load_report(answer: Message) -> tuple[float | None, float | None] | None:
    """Return the utilization and the requests per second that a response reports; None without a report."""
    text = answer.get("server-load")
    if text is None:
        return None
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError):
        raw = None
    if not isinstance(raw, dict):
        return None, None
    return _find_number(raw, "util", "utilization"), _find_number(raw, "qps", "throughput")


def _find_number(raw: dict[str, Any], *names: str) -> float | None:
    found = [raw[name] for name in names if name in raw]
    if not found or type(found[0]) not in (int, float) or not 0 <= found[0] < math.inf:
        return None
    return float(found[0])


def _parse_header(line: str) -> tuple[str, str]:
    name, _, value = line.partition(":")
    return name.strip().lower(), value.strip(" \t")
