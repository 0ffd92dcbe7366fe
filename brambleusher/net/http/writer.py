"""Writes heads of messages, with their bodies where these are at hand."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from http import HTTPStatus

from brambleusher.net.http.message import HeaderField


class Framing(Enum):
    """How the end of a message is marked."""

    LENGTH = "length"
    CHUNKS = "chunks"
    END = "end"  # by the close of the connection


# A look-up by number costs `HTTPStatus` two calls, and this is on the way of each response.
_PHRASES = {status.value: status.phrase for status in HTTPStatus}


def write_request(
    method: str,
    target: str,
    headers: Iterable[HeaderField],
    body: bytes = b"",
    length: int | None = None,
    framing: Framing = Framing.LENGTH,
) -> bytes:
    """Write a request; `length` is that of a body of which the rest is sent apart."""
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
    """Write a response; `length` is that of a body of which the rest is sent apart."""
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
