"""Parses the start line and the header lines of a message."""

from __future__ import annotations

import re

from brambleusher.net.http.message import MAX_HEADERS, HeaderField, HttpError, Message

_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
_TARGET = re.compile(r"[\x21-\x7e]+\Z")
_ABSOLUTE_FORM = re.compile(r"https?://[^/?#@]+(?=[/?]|\Z)", re.IGNORECASE)
_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*\Z")
_VERSION = re.compile(r"HTTP/1\.([01])\Z")
_STATUS = re.compile(r"[0-9]{3}\Z")

_REQUEST_LINE_PARTS = 3  # the method, the target and the version
_FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding"})


def is_token(text: str) -> bool:
    """Return whether a text is a valid header name."""
    return _TOKEN.match(text) is not None


def is_value(text: str) -> bool:
    """Return whether a text is a valid header value."""
    return _VALUE.match(text) is not None


def parse_request_head(lines: list[str]) -> Message:
    """Parse a request line and its headers; raise `HttpError` if they are malformed."""
    parts = lines[0].split(" ")
    if len(parts) != _REQUEST_LINE_PARTS or not _TOKEN.match(parts[0]) or not _TARGET.match(parts[1]):
        raise HttpError(400, "bad request line")
    version = _VERSION.match(parts[2])
    target = parts[1]
    if not target.startswith("/") and (absolute := _ABSOLUTE_FORM.match(target)) is not None:
        # Strip the scheme and host of an absolute URI, the form sent to proxies.
        target = target[absolute.end() :]
        target = target if target.startswith("/") else f"/{target}"
    if version is None or not target.startswith("/"):
        raise HttpError(400, "bad request line")
    headers, fields = _parse_headers(lines[1:])
    return Message((parts[0], target), int(version[1]), headers, fields=fields)


def parse_response_head(lines: list[str]) -> Message:
    """Parse a status line and its headers; raise `HttpError` if they are malformed."""
    version, _, remainder = lines[0].partition(" ")
    status, _, reason = remainder.partition(" ")
    found = _VERSION.match(version)
    if found is None or not _STATUS.match(status):
        raise HttpError(502, "bad status line")
    # A malformed load report header must not invalidate an otherwise valid response.
    headers, fields = _parse_headers(lines[1:], lenient=True)
    return Message((status, reason), int(found[1]), headers, fields=fields)


def _parse_headers(lines: list[str], lenient: bool = False) -> tuple[dict[str, str], list[HeaderField]]:
    """Parse header lines into values joined by name and into a list of separate fields.

    If `lenient`, a malformed value is replaced by an empty value unless it affects the framing.
    """
    if len(lines) > MAX_HEADERS:
        raise HttpError(431, "too many headers")
    headers: dict[str, str] = {}
    fields: list[HeaderField] = []
    for line in lines:
        written, colon, value = line.partition(":")
        value = value.strip(" \t")
        if not colon or not _TOKEN.match(written):
            raise HttpError(400, "bad header line")
        name = written.lower()
        if not _VALUE.match(value):
            if not lenient or name in _FRAMING_HEADERS:
                raise HttpError(400, "bad header line")
            value = ""
        fields.append((written, value))
        if name in headers:
            value = _join_repeated(name, headers[name], value)
        headers[name] = value
    return headers, fields


def _join_repeated(name: str, before: str, value: str) -> str:
    # Another HTTP implementation could use the other of the two lines for the framing.
    if name in _FRAMING_HEADERS or (name == "host" and before != value):
        raise HttpError(400, f"{name} is given twice")
    return value if before == value else f"{before}, {value}"
