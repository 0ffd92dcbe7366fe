"""HTTP/1.1 messages: parsers that are fed bytes and hold no socket, and the writers beside them.

Limits are strict, and what could be read in two ways is an error: a message framed wrongly would
hand the rest of its bytes to the next one on the connection.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus

MAX_HEAD_BYTES = 16 * 1024
MAX_HEADERS = 100
MAX_BUFFERED_BODY_BYTES = 64 * 1024  # that is held whole
MAX_STREAMED_BODY_BYTES = 32 * 1024 * 1024  # that passes on in pieces
MAX_BUFFERED_RESPONSE_BYTES = 1024 * 1024  # of an answer that is held whole where nothing can pass on
MAX_CHUNK_LINE = 256

_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
_TARGET = re.compile(r"[\x21-\x7e]+\Z")
_ABSOLUTE = re.compile(r"https?://[^/?#@]+(?=[/?]|\Z)", re.IGNORECASE)
_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*\Z")
_VERSION = re.compile(r"HTTP/1\.([01])\Z")
_DIGITS = re.compile(r"[0-9]{1,12}\Z")
_HEX = re.compile(rb"[0-9A-Fa-f]{1,8}\Z")
HeaderField = tuple[str, str]  # a header's name as it was written, and its value

_FRAMING = frozenset({"content-length", "transfer-encoding"})
# Headers that speak of one connection, or are written anew for the next.
HOP_BY_HOP = frozenset(
    {"connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade"}
)


def is_token(text: str) -> bool:
    """Whether a text may name a header."""
    return _TOKEN.match(text) is not None


def is_value(text: str) -> bool:
    """Whether a text may be a header's value."""
    return _VALUE.match(text) is not None


class HttpError(Exception):
    """A message that can't be used; `status` is what its sender is told."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Message:
    """A request or an answer; header names are in lower case."""

    start: tuple[str, str]  # method and target, or status and reason
    minor: int
    headers: dict[str, str]
    body: bytes = b""
    fields: list[HeaderField] = field(default_factory=list)  # the headers line by line, repeated ones apart
    passed: list[HeaderField] | None = None  # those to pass on where rewrites are on; None: the usual ones
    rest: object = None  # a body too large to be held, in place of `body`

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.start[0])

    @property
    def keep_alive(self) -> bool:
        """Whether the sender lets the connection serve another message."""
        words = {word.strip().lower() for word in self.headers.get("connection", "").split(",")}
        return "close" not in words and (self.minor == 1 or "keep-alive" in words)


def _headers(lines: list[str], lenient: bool = False) -> tuple[dict[str, str], list[HeaderField]]:
    """Names and values, joined by name and line by line.

    Where `lenient`, a value that can't be read is empty unless the framing needs it.
    """
    if len(lines) > MAX_HEADERS:
        raise HttpError(431, "too many headers")
    headers: dict[str, str] = {}
    fields: list[HeaderField] = []
    for line in lines:
        name, colon, value = line.partition(":")
        value = value.strip(" \t")
        if not colon or not _TOKEN.match(name):
            raise HttpError(400, "bad header line")
        written, name = name, name.lower()
        if not _VALUE.match(value):
            if not lenient or name in _FRAMING:
                raise HttpError(400, "bad header line")
            value = ""
        fields.append((written, value))
        if name in headers:
            # Guards against framing that another reader could take from the other of the two lines.
            if name in _FRAMING or (name == "host" and headers[name] != value):
                raise HttpError(400, f"{name} is given twice")
            value = value if headers[name] == value else f"{headers[name]}, {value}"
        headers[name] = value
    return headers, fields


def parse_request_head(lines: list[str]) -> Message:
    """A request line and its headers."""
    parts = lines[0].split(" ")
    if len(parts) != 3 or not _TOKEN.match(parts[0]) or not _TARGET.match(parts[1]):
        raise HttpError(400, "bad request line")
    version = _VERSION.match(parts[2])
    target = parts[1]
    if not target.startswith("/") and (absolute := _ABSOLUTE.match(target)) is not None:
        # As sent to proxies: what it names is all here.
        target = target[absolute.end() :]
        target = target if target.startswith("/") else f"/{target}"
    if version is None or not target.startswith("/"):
        raise HttpError(400, "bad request line")
    headers, fields = _headers(lines[1:])
    return Message((parts[0], target), int(version[1]), headers, fields=fields)


def parse_response_head(lines: list[str]) -> Message:
    """A status line and its headers."""
    version, _, rest = lines[0].partition(" ")
    status, _, reason = rest.partition(" ")
    found = _VERSION.match(version)
    if found is None or len(status) != 3 or not _DIGITS.match(status):
        raise HttpError(502, "bad status line")
    # Guards against losing a good answer to a load report that can't be read.
    headers, fields = _headers(lines[1:], lenient=True)
    return Message((status, reason), int(found[1]), headers, fields=fields)


class ChunkedDecoder:
    """Takes the framing off a chunked body, as its bytes come."""

    __slots__ = ("_buffer", "_left", "done")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._left = -1  # of this chunk; -1: its size line comes next; -2: the trailer
        self.done = False

    def feed(self, data: bytes) -> bytes:
        """The body's bytes that have become readable; what follows its end is in `rest`."""
        self._buffer += data
        out = bytearray()
        while not self.done:
            if self._left > 0:
                part = self._buffer[: self._left]
                if not part:
                    break
                out += part
                del self._buffer[: len(part)]
                self._left -= len(part)
                if self._left == 0:
                    self._left = -3
                continue
            if self._left == -3:  # the line end that closes a chunk
                if len(self._buffer) < 2:
                    break
                if self._buffer[:2] != b"\r\n":
                    raise HttpError(400, "a chunk does not end where it should")
                del self._buffer[:2]
                self._left = -1
                continue
            end = self._buffer.find(b"\r\n")
            if end < 0 or end > MAX_CHUNK_LINE:
                if max(end, len(self._buffer)) > MAX_CHUNK_LINE:
                    raise HttpError(400, "a chunk's size line is too long")
                break
            line = bytes(self._buffer[:end])
            del self._buffer[: end + 2]
            if self._left == -2:
                self.done = not line
                continue
            size = line.split(b";", 1)[0].strip(b" \t")
            if not _HEX.match(size):
                raise HttpError(400, "bad chunk size")
            self._left = int(size, 16) or -2
        return bytes(out)

    @property
    def rest(self) -> bytes:
        """What came after the body's end."""
        return bytes(self._buffer)


class MessageReader:
    """Cuts a stream of bytes into messages."""

    def __init__(self, parse: Callable[[list[str]], Message], answers: bool) -> None:
        self._parse, self._answers = parse, answers
        self._largest = MAX_BUFFERED_RESPONSE_BYTES if answers else MAX_BUFFERED_BODY_BYTES
        self._passing = False  # larger bodies are not held: they are read by `drain`
        self._passed = 0  # of a body that is drained
        self._buffer = bytearray()
        self._message: Message | None = None
        self._length = 0  # of the body; -1: chunked; -2: up to the connection's end
        self._chunked = ChunkedDecoder()
        self._looked = 0

    @classmethod
    def requests(cls, passing: bool = False) -> MessageReader:
        """A reader of requests; with `passing`, of those too whose bodies are not held."""
        return cls(parse_request_head, False)._set(passing)

    @classmethod
    def responses(cls, passing: bool = False) -> MessageReader:
        """A reader of answers; with `passing`, of those too whose bodies are not held."""
        return cls(parse_response_head, True)._set(passing)

    def _set(self, passing: bool) -> MessageReader:
        if passing:
            self._passing, self._largest = True, MAX_STREAMED_BODY_BYTES
        return self

    @property
    def begun(self) -> bool:
        """Whether part of a message has come."""
        return self._message is not None or bool(self._buffer)

    @property
    def ends_with_connection(self) -> bool:
        """Whether a head has come of an answer that only the connection's end would end."""
        return self._message is not None and self._length == -2

    @property
    def length(self) -> int | None:
        """The length that a head has told of its body; None where it has not."""
        return self._length if self._length >= 0 else None

    @property
    def large(self) -> bool:
        """Whether a body is known to be larger than can be held; it is to be read by `drain`."""
        message = self._message
        if not self._passing or message is None:
            return False
        came = len(self._buffer) if self._length == -2 else len(message.body)
        return self._passed > 0 or max(self._length, came) > MAX_BUFFERED_BODY_BYTES

    @property
    def buffered(self) -> int:
        """How many bytes wait for the next message."""
        return len(self._buffer)

    @property
    def size(self) -> int:
        """How much of a body is known to come or has come."""
        body = len(self._message.body) if self._message is not None else 0
        return max(self._length, body) if self._message is not None else 0

    @property
    def size_so_far(self) -> int:
        """How much of a body has come."""
        message = self._message
        return 0 if message is None else len(self._buffer) + len(message.body)

    @property
    def expects_continue(self) -> bool:
        """Whether a request's head is whole and its sender waits for leave to send the body."""
        message = self._message
        return message is not None and message.headers.get("expect", "").lower() == "100-continue"

    def feed(self, data: bytes) -> None:
        """Take in what the connection brought."""
        self._buffer += data

    def head(self) -> Message | None:
        """The next message's head, once it is whole; its body is read by `take`."""
        if self._message is None:
            self._message = self._read_head()
            if self._message is not None:
                self._length = self._framing(self._message)
                self._chunked = ChunkedDecoder()
        return self._message

    def take(self) -> Message | None:
        """The next message once all of it is here."""
        message = self.head()
        if message is None:
            return None
        if self._length == -1:
            message.body += self._chunked.feed(bytes(self._buffer))
            self._buffer.clear()
            self._check(len(message.body))
            if self.large or not self._chunked.done:
                return None
            self._buffer += self._chunked.rest
        elif self._length == -2:
            self._check(len(self._buffer))
            return None
        else:
            if len(self._buffer) < self._length or self._length > MAX_BUFFERED_BODY_BYTES or self._passed:
                return None
            message.body = bytes(self._buffer[: self._length])
            del self._buffer[: self._length]
        self._message = None
        return message

    def drain(self) -> tuple[bytes, bool]:
        """What has come of a body that is not held, and whether that was its end; it may be without end."""
        data, message, done = bytes(self._buffer), self._message, False
        self._buffer.clear()
        held = b""
        if message is not None and message.body:  # read by `take` before it was seen to be large
            held, message.body = message.body, b""
        if self._length == -1:
            data = held + self._chunked.feed(data)
            if done := self._chunked.done:
                self._buffer += self._chunked.rest
        elif self._length >= 0:
            data, rest = data[: self._length], data[self._length :]
            self._length -= len(data)
            self._buffer += rest
            done = self._length == 0
        self._passed += len(data)
        if self._passing:
            self._check(self._passed)
        if done:
            self._message, self._passed = None, 0
        return data, done

    def _check(self, size: int) -> None:
        if size > self._largest:
            raise HttpError(413, "the body is too large")

    def end(self) -> Message | None:
        """The connection has ended: the message that ends with it, if one does."""
        message = self._message
        if message is None or self._length != -2:
            return None
        message.body, self._message = bytes(self._buffer), None
        self._buffer.clear()
        return message

    def _read_head(self) -> Message | None:
        buffer = self._buffer
        while not self._answers and buffer[:2] == b"\r\n":  # an empty line before a request is passed over
            del buffer[:2]
        end = buffer.find(b"\r\n\r\n", max(0, self._looked - 3))
        if end < 0 or end > MAX_HEAD_BYTES:
            self._looked = len(buffer)
            if len(buffer) > MAX_HEAD_BYTES:
                raise HttpError(431, "the head is too large")
            line = buffer.find(b"\n")
            if line == 0 or (line > 0 and buffer[line - 1] != 13):
                raise HttpError(400, "a line ends without a carriage return")
            if line > 0:  # a bad first line is answered at once, not when its sender tires
                self._parse([buffer[: line - 1].decode("latin-1")])
            return None
        text = buffer[:end].decode("latin-1")
        del buffer[: end + 4]
        self._looked = 0
        return self._parse(text.split("\r\n"))

    def _framing(self, message: Message) -> int:
        coding, length = message.headers.get("transfer-encoding"), message.headers.get("content-length")
        if coding is not None:
            if length is not None or coding.lower() != "chunked" or message.minor == 0:
                raise HttpError(400, "the body's length is not clear")
            return -1
        if self._answers and (message.status in (204, 304) or message.status < 200):
            return 0
        if length is None:
            return -2 if self._answers else 0
        if not _DIGITS.match(length):
            raise HttpError(400, "bad content length")
        self._check(int(length))
        return int(length)


@dataclass(slots=True)
class Head:
    """A head to be written."""

    first: str
    lines: list[str] = field(default_factory=list)

    def add(self, name: str, value: object) -> None:
        """One header."""
        self.lines.append(f"{name}: {value}")

    def join(self, body: bytes) -> bytes:
        """The whole message."""
        return ("\r\n".join([self.first, *self.lines]) + "\r\n\r\n").encode("latin-1") + body


class Framing(Enum):
    """How the end of a message is told."""

    LENGTH = "length"
    CHUNKS = "chunks"
    END = "end"  # with the connection's


def chunk(data: bytes) -> bytes:
    """One chunk; the last one is empty."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def write_request(
    method: str,
    target: str,
    headers: Iterable[tuple[str, str]],
    body: bytes = b"",
    length: int | None = None,
    framing: Framing = Framing.LENGTH,
) -> bytes:
    """A request; `length` is that of a body of which the rest is sent apart."""
    head = Head(f"{method} {target} HTTP/1.1")
    for name, value in headers:
        head.add(name, value)
    if framing is Framing.CHUNKS:
        head.add("Transfer-Encoding", "chunked")
    elif body or length or method not in ("GET", "HEAD"):
        head.add("Content-Length", len(body) if length is None else length)
    return head.join(body)


def write_response(
    status: int,
    headers: Iterable[tuple[str, str]],
    body: bytes,
    keep_alive: bool = True,
    length: int | None = None,
    framing: Framing = Framing.LENGTH,
) -> bytes:
    """An answer; `length` is that of a body of which the rest is sent apart."""
    head = Head(f"HTTP/1.1 {status} {HTTPStatus(status).phrase}")
    for name, value in headers:
        head.add(name, value)
    if framing is Framing.LENGTH:
        head.add("Content-Length", len(body) if length is None else length)
    elif framing is Framing.CHUNKS:
        head.add("Transfer-Encoding", "chunked")
    if not keep_alive:
        head.add("Connection", "close")
    return head.join(body)
