"""Encode requests in the platform's protocol, and parse responses as far as the player needs."""

from __future__ import annotations

from collections.abc import Mapping

from brambleusher.load.request import BODILESS, Request

# Headers that are not copied: the encoder writes them, or they concern the original connection.
GENERATED_HEADERS = frozenset(
    {
        "host", "request-id", "request-class", "tenant", "work-hint", "request-timeout-ms", "client-retry",
        "content-length", "transfer-encoding", "connection", "keep-alive", "proxy-connection", "te",
        "trailer", "upgrade", "expect", "http2-settings",
    }
)  # fmt: skip
MAX_HEAD = 16 * 1024
FILLER = b"brambleusher "


def target_of(request: Request) -> str:
    """Return the target, prefixed with the class if it lacks one: the first path segment is the class."""
    target, name = request.target, f"/{request.request_class}"
    remainder = target[len(name) :]
    return target if target.startswith(name) and remainder[:1] in ("", "/", "?") else name + target


def body_of(request: Request) -> bytes:
    """Return the body, or filler of the recorded size if the body was not stored."""
    if request.body is not None or not request.size:
        return request.body or b""
    return (FILLER * (request.size // len(FILLER) + 1))[: request.size]


def encode_replayed_request(
    request: Request, name: str, timeout_ms: int, methods: Mapping[str, str] | None = None
) -> bytes:
    """Encode a request as bytes.

    `name` is the request id, which must be unique.  `methods` gives the method by class; for a class without
    an entry, bodiless methods become GET and all others become POST.
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
    remaining = MAX_HEAD - sum(map(len, lines)) - 512
    for field, value in request.headers:
        if field[:1] != ":" and field.lower() not in GENERATED_HEADERS:
            remaining -= len(field) + len(value) + 4
            if remaining < 0:  # long cookies would make a head that the sidecar rejects
                break
            lines.append(f"{field}: {value}")
    lines += ["", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class ResponseFormatError(ValueError):
    """A response can't be parsed."""


class ResponseReader:
    """Finds the end of each response on a connection; stores only the status."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.status = 0
        self.keep = True
        self._remaining = -1  # body bytes left, or -1 in the head, -2 in chunks, -3 until close

    def feed(self, data: bytes) -> bool:
        """Process received bytes; returns True once a response is complete.  Raises `ResponseFormatError`."""
        self._buffer += data
        buffer = self._buffer
        if self._remaining == -1 and not self._read_head():
            return False
        if self._remaining == -3:
            buffer.clear()
            return False
        if self._remaining == -2:
            return self._read_chunks()
        if len(buffer) < self._remaining:
            return False
        del buffer[: self._remaining]
        self._remaining = -1
        return True

    def end(self) -> bool:
        """Handle the end of the connection; returns True if that completes a response."""
        self.keep = False
        return self._remaining == -3

    def _read_head(self) -> bool:
        while True:
            end = self._buffer.find(b"\r\n\r\n")
            if end < 0:
                if len(self._buffer) > 4 * MAX_HEAD:
                    raise ResponseFormatError("the head is too long")
                return False
            lines = bytes(self._buffer[:end]).split(b"\r\n")
            del self._buffer[: end + 4]
            start = lines[0].split(b" ", 2)
            if len(start) < 2 or not start[0].startswith(b"HTTP/1.") or not start[1].isdigit():
                raise ResponseFormatError("bad status line")
            self.status = int(start[1])
            if self.status >= 200:
                break
        self._remaining, self.keep = -3, start[0] != b"HTTP/1.0"
        for line in lines[1:]:
            name, _, value = line.partition(b":")
            lower_name = name.lower()
            if lower_name == b"content-length":
                if not value.strip().isdigit():
                    raise ResponseFormatError("bad content length")
                self._remaining = int(value)
            elif lower_name == b"transfer-encoding" and value.strip().lower() == b"chunked":
                self._remaining = -2
            elif lower_name == b"connection" and b"close" in value.lower():
                self.keep = False
        if self.status in (204, 304):
            self._remaining = 0
        return True

    def _read_chunks(self) -> bool:
        buffer = self._buffer
        while (end := buffer.find(b"\r\n")) >= 0:
            try:
                size = int(bytes(buffer[:end]).split(b";")[0], 16)
            except ValueError:
                raise ResponseFormatError("bad chunk size") from None
            if len(buffer) < end + 2 + size + 2:
                return False
            del buffer[: end + 2 + size + 2]
            if not size:
                self._remaining = -1
                return True
        return False
