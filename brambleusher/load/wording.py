"""Requests as the platform's protocol words them, and as much of an answer as a player needs."""

from __future__ import annotations

from collections.abc import Mapping

from brambleusher.load.request import BODILESS, Request

# Worded here, or speaking of a connection that is not this one.
OWN = frozenset(
    {
        "host", "request-id", "request-class", "tenant", "work-hint", "request-timeout-ms", "client-retry",
        "content-length", "transfer-encoding", "connection", "keep-alive", "proxy-connection", "te",
        "trailer", "upgrade", "expect", "http2-settings",
    }
)  # fmt: skip
MAX_HEAD = 16 * 1024
FILLER = b"brambleusher "


def target_of(request: Request) -> str:
    """The target, put below the class where it is not: the protocol has the class first in the path."""
    target, name = request.target, f"/{request.request_class}"
    rest = target[len(name) :]
    return target if target.startswith(name) and rest[:1] in ("", "/", "?") else name + target


def body_of(request: Request) -> bytes:
    """The body, or as many bytes of filler as it had."""
    if request.body is not None or not request.size:
        return request.body or b""
    return (FILLER * (request.size // len(FILLER) + 1))[: request.size]


def worded(request: Request, name: str, timeout_ms: int, methods: Mapping[str, str] | None = None) -> bytes:
    """A request as bytes.

    `name` is its id, which must be a fresh one.  `methods` says the method of a class where that is known;
    else it is the request's own if it is one of the two that the protocol has.
    """
    method = (methods or {}).get(request.request_class)
    if method is None:
        method = "GET" if request.method in BODILESS else "POST"
    body = b"" if method == "GET" else body_of(request)
    lines = [
        f"{method} {target_of(request)} HTTP/1.1", "Host: api.internal", f"Request-Id: {name}",
        f"Request-Class: {request.request_class}", f"Request-Timeout-Ms: {timeout_ms}",
    ]  # fmt: skip
    if request.tenant is not None:
        lines.append(f"Tenant: {request.tenant}")
    if request.hint_us is not None:
        lines.append(f"Work-Hint: {request.hint_us}")
    if request.retry:
        lines.append("Client-Retry: 1")
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    room = MAX_HEAD - sum(map(len, lines)) - 512
    for field, value in request.headers:
        if field[:1] != ":" and field.lower() not in OWN:
            room -= len(field) + len(value) + 4
            if room < 0:  # guards against a head that no sidecar takes: cookies of many kilobytes
                break
            lines.append(f"{field}: {value}")
    lines += ["", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class AnswerError(ValueError):
    """An answer that can't be read."""


class AnswerReader:
    """Finds the end of one answer after another, and keeps no more than the status of each."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.status = 0
        self.keep = True
        self._left = -1  # of the body; -1: the head comes; -2: a chunk's size line comes; -3: up to the end

    def feed(self, data: bytes) -> bool:
        """Take in bytes; true once an answer is whole.  Raises `AnswerError`."""
        self._buffer += data
        buffer = self._buffer
        if self._left == -1 and not self._head():
            return False
        if self._left == -3:
            buffer.clear()
            return False
        if self._left == -2:
            return self._chunks()
        if len(buffer) < self._left:
            return False
        del buffer[: self._left]
        self._left = -1
        return True

    def end(self) -> bool:
        """The connection has ended: whether that ends an answer that is whole."""
        self.keep = False
        return self._left == -3

    def _head(self) -> bool:
        while True:
            end = self._buffer.find(b"\r\n\r\n")
            if end < 0:
                if len(self._buffer) > 4 * MAX_HEAD:
                    raise AnswerError("the head is too long")
                return False
            lines = bytes(self._buffer[:end]).split(b"\r\n")
            del self._buffer[: end + 4]
            start = lines[0].split(b" ", 2)
            if len(start) < 2 or not start[0].startswith(b"HTTP/1.") or not start[1].isdigit():
                raise AnswerError("bad status line")
            self.status = int(start[1])
            if self.status >= 200:
                break
        self._left, self.keep = -3, start[0] != b"HTTP/1.0"
        for line in lines[1:]:
            name, _, value = line.partition(b":")
            word = name.lower()
            if word == b"content-length":
                if not value.strip().isdigit():
                    raise AnswerError("bad content length")
                self._left = int(value)
            elif word == b"transfer-encoding" and value.strip().lower() == b"chunked":
                self._left = -2
            elif word == b"connection" and b"close" in value.lower():
                self.keep = False
        if self.status in (204, 304):
            self._left = 0
        return True

    def _chunks(self) -> bool:
        buffer = self._buffer
        while (end := buffer.find(b"\r\n")) >= 0:
            try:
                size = int(bytes(buffer[:end]).split(b";")[0], 16)
            except ValueError:
                raise AnswerError("bad chunk size") from None
            if len(buffer) < end + 2 + size + 2:
                return False
            del buffer[: end + 2 + size + 2]
            if not size:
                self._left = -1
                return True
        return False
