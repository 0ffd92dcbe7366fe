"""Encodes the heads of messages, together with bodies that are available."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from http import HTTPStatus

from brambleusher.net.http.message import HeaderField


class Framing(Enum):
    """The way the end of a message body is marked."""

    LENGTH = "length"
    CHUNKS = "chunks"
    END = "end"  # the end of the body is marked by closing the connection


# Cached phrases, as a lookup in `HTTPStatus` costs two calls on the hot path of every response.
_PHRASES = {status.value: status.phrase for status in HTTPStatus}


def write_request(
    method: str,
    target: str,
    headers: Iterable[HeaderField],
    body: bytes = b"",
    length: int | None = None,
    framing: Framing = Framing.LENGTH,
) -> bytes:
    """Encode a request; `length` is the complete length of a body whose rest is sent separately."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if framing is Framing.CHUNKS:
        lines.append("Transfer-Encoding: chunked")
    elif body or length or method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(body) if length is None else length}")
    return _encode(lines, body)


def write_response(
    status: int,
    headers: Iterable[HeaderField],
    body: bytes,
    keep_alive: bool = True,
    length: int | None = None,
    framing: Framing = Framing.LENGTH,
) -> bytes:
    """Encode a response; `length` is the complete length of a body whose rest is sent separately."""
    lines = [f"HTTP/1.1 {status} {_PHRASES[status]}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if framing is Framing.LENGTH:
        lines.append(f"Content-Length: {len(body) if length is None else length}")
    elif framing is Framing.CHUNKS:
        lines.append("Transfer-Encoding: chunked")
    if not keep_alive:
        lines.append("Connection: close")
    return _encode(lines, body)


def _encode(lines: list[str], body: bytes) -> bytes:
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
