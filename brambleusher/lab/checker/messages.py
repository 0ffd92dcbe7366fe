"""The checker's own readers of HTTP/1.1 messages and of the lines of a watch.

They know where in a stream each message begins and ends, so that books can tell what was read of it.
"""

from __future__ import annotations

import json
import math
from collections.abc import Sequence
from typing import Any

MOST_HEAD = 64 * 1024  # a head that has not ended by then has no end
MOST_LINE = 16 * 1024 * 1024
MOST_BODY = 4 * 1024 * 1024  # a longer body is not waited for

BY_LENGTH, CHUNKED, TO_THE_END = "length", "chunked", "end"


class Message:
    """A request or an answer, with its place in the stream it was read from."""

    __slots__ = ("begin", "body", "end", "fault", "framing", "headers", "length", "start")

    def __init__(self, start: str, headers: Sequence[tuple[str, str]], begin: int) -> None:
        self.start, self.headers = start, headers
        self.begin, self.end = begin, -1  # offsets of its first byte and behind its last
        self.body = b""
        self.fault: str | None = None  # why nobody can tell where it ends
        self.framing, self.length = BY_LENGTH, 0

    def get(self, name: str) -> str | None:
        """The value of the first header of that name, which is in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def all(self, name: str) -> list[str]:
        """The values of all headers of that name."""
        return [value for key, value in self.headers if key == name]

    @property
    def status(self) -> int:
        """The status of an answer; 0 where it has none."""
        parts = self.start.split(" ", 2)
        told = parts[1] if len(parts) > 1 else ""
        return int(told) if len(told) == 3 and told.isascii() and told.isdigit() else 0

    @property
    def closes(self) -> bool:
        """Whether its sender ends the connection behind it."""
        words = {word.strip().lower() for value in self.all("connection") for word in value.split(",")}
        old = "HTTP/1.0" in self.start
        return "close" in words or (old and "keep-alive" not in words)


class Chunks:
    """Takes the chunks' framing off a body."""

    __slots__ = ("_buffer", "_left", "done", "fault")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._left = -1  # of a chunk; -1: a size line comes, -2: a chunk's line end, -3: the trailer
        self.done = False
        self.fault: str | None = None

    def feed(self, data: bytes) -> bytes:
        """The body's bytes that can be told by now."""
        buffer = self._buffer
        buffer += data
        out = bytearray()
        while buffer and not self.done and self.fault is None:
            if self._left > 0:
                part = buffer[: self._left]
                del buffer[: len(part)]
                out += part
                self._left -= len(part)
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
    def rest(self) -> bytes:
        """What came behind the body."""
        return bytes(self._buffer)


class Reader:
    """Cuts a stream of requests or of answers into messages."""

    __slots__ = ("_answers", "_at", "_buffer", "_chunks", "fault", "head")

    def __init__(self, answers: bool) -> None:
        self._answers = answers
        self._buffer = bytearray()
        self._at = 0  # the offset of the buffer's first byte
        self._chunks: Chunks | None = None
        self.head: Message | None = None  # of a message whose end has not come
        self.fault: str | None = None  # from here on nothing can be made out

    @property
    def begun(self) -> bool:
        """Whether part of a message, or something unreadable, is there."""
        return self.head is not None or bool(self._buffer) or self.fault is not None

    @property
    def begin(self) -> int:
        """The offset at which the next or the unfinished message begins."""
        return self.head.begin if self.head is not None else self._at

    def feed(self, data: bytes) -> list[Message]:
        """The messages that these bytes complete."""
        self._buffer += data
        whole = []
        while self.fault is None:
            message = self._next()
            if message is None:
                break
            whole.append(message)
        return whole

    def _next(self) -> Message | None:
        message = self.head
        if message is None:
            message = self.head = self._read_head()
            if message is None or self.fault is not None:
                return None
        buffer = self._buffer
        if message.framing == TO_THE_END:
            return None
        if message.framing == CHUNKED:
            if self._chunks is None:
                self._chunks = Chunks()
            fed = len(buffer)
            message.body += self._chunks.feed(bytes(buffer))
            buffer.clear()
            self._at += fed
            if self._chunks.fault is None and len(message.body) > MOST_BODY:
                self._chunks.fault = "a body without end"
            if self._chunks.fault is not None:
                self.fault = message.fault = self._chunks.fault
                return None
            if not self._chunks.done:
                return None
            rest = self._chunks.rest
            buffer += rest
            self._at -= len(rest)
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
            if len(buffer) > MOST_HEAD:
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
        self._frame(message)
        if self.fault is not None:
            message.fault = self.fault
        return message

    def _frame(self, message: Message) -> None:
        """Find out how the end of a message is told; sets `fault` where two ways are or none."""
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
            told = lengths[0]
            if len(lengths) > 1:
                self.fault = "two lengths"
            elif not (told.isascii() and told.isdigit()):
                self.fault = "a length that is no number"
            else:
                message.length = int(told[:18])
                if message.length > MOST_BODY:
                    self.fault = "a body without end"
        elif self._answers:
            message.framing = TO_THE_END


class Lines:
    """The lines of an answer of discovery."""

    __slots__ = ("_body", "_chunks", "_head", "_left", "_text", "at", "done", "fault", "status")

    def __init__(self) -> None:
        self._head = bytearray()
        self._text = bytearray()
        self._chunks: Chunks | None = None
        self._body = False
        self._left = -1  # of a body by length; -1: no length was told
        self.status = 0
        self.at = 0  # bytes taken in
        self.done = False
        self.fault: str | None = None

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that these bytes complete."""
        self.at += len(data)
        if not self._body:
            self._head += data
            at = self._head.find(b"\r\n\r\n")
            if at < 0:
                if len(self._head) > MOST_HEAD:
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
        *lines, rest = self._text.split(b"\n")
        if self.done and rest.strip():  # a whole body is whole without a line end
            lines, rest = [*lines, rest], bytearray()
        self._text = bytearray(rest)
        if len(rest) > MOST_LINE:
            self.fault = "a line without end"
        return [bytes(line) for line in lines]

    def _begin(self, text: str) -> None:
        start, *lines = text.split("\r\n")
        message = Message(start, [_field(line) for line in lines], 0)
        self.status, self._body = message.status, True
        coding, length = message.get("transfer-encoding"), message.get("content-length")
        if coding is not None:
            self._chunks = Chunks()
            if coding.lower() != "chunked" or length is not None:
                self.fault = "framing that can't be read"
        elif length is not None:
            if length.isascii() and length.isdigit():
                self._left = int(length[:18])
                self.done = not self._left
            else:
                self.fault = "framing that can't be read"


def load_report(answer: Message) -> tuple[float | None, float | None] | None:
    """Utilisation and requests a second as an answer tells them; None where it tells nothing."""
    text = answer.get("server-load")
    if text is None:
        return None
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError):
        raw = None
    if not isinstance(raw, dict):
        return None, None
    return _figure(raw, "util", "utilization"), _figure(raw, "qps", "throughput")


def _figure(raw: dict[str, Any], *names: str) -> float | None:
    told = [raw[name] for name in names if name in raw]
    if not told or type(told[0]) not in (int, float) or not 0 <= told[0] < math.inf:
        return None
    return float(told[0])


def _field(line: str) -> tuple[str, str]:
    name, _, value = line.partition(":")
    return name.strip().lower(), value.strip(" \t")
