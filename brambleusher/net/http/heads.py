"""Parses the head of a message: the start line and the header lines."""

from __future__ import annotations

import re

from brambleusher.net.http.message import MAX_HEADERS, HeaderField, HttpError, Message

_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
_TARGET = re.compile(r"[\x21-\x7e]+\Z")
_ABSOLUTE_FORM = re.compile(r"https?://[^/?#@]+(?=[/?]|\Z)", re.IGNORECASE)
_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*\Z")
_VERSION = re.compile(r"HTTP/1\.([01])\Z")
_STATUS = re.compile(r"[0-9]{3}\Z")

_REQUEST_LINE_PARTS = 3  # method, target, version
_FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding"})


def is_token(text: str) -> bool:
    """Whether a text may name a header."""
    return _TOKEN.match(text) is not None


def is_value(text: str) -> bool:
    """Whether a text may be a header's value."""
    return _VALUE.match(text) is not None


def parse_request_head(lines: list[str]) -> Message:
    """Parse a request line and its headers; raises `HttpError`."""
    parts = lines[0].split(" ")
    if len(parts) != _REQUEST_LINE_PARTS or not _TOKEN.match(parts[0]) or not _TARGET.match(parts[1]):
        raise HttpError(400, "bad request line")
    version = _VERSION.match(parts[2])
    target = parts[1]
    if not target.startswith("/") and (absolute := _ABSOLUTE_FORM.match(target)) is not None:
        # As sent to proxies: what it names is all here.
        target = target[absolute.end() :]
        target = target if target.startswith("/") else f"/{target}"
    if version is None or not target.startswith("/"):
        raise HttpError(400, "bad request line")
    headers, fields = _parse_headers(lines[1:])
    return Message((parts[0], target), int(version[1]), headers, fields=fields)


def parse_response_head(lines: list[str]) -> Message:
    """Parse a status line and its headers; raises `HttpError`."""
    version, _, rest = lines[0].partition(" ")
    status, _, reason = rest.partition(" ")
    found = _VERSION.match(version)
    if found is None or not _STATUS.match(status):
        raise HttpError(502, "bad status line")
    # A good response must not be lost to a load report that can't be read.
    headers, fields = _parse_headers(lines[1:], lenient=True)
    return Message((status, reason), int(found[1]), headers, fields=fields)


def _parse_headers(lines: list[str], lenient: bool = False) -> tuple[dict[str, str], list[HeaderField]]:
    """Parse header lines: joined by name, and line by line.

    Where `lenient`, a value that can't be read is empty unless the framing needs it.
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
    # Another reader could take the framing from the other of the two lines.
    if name in _FRAMING_HEADERS or (name == "host" and before != value):
        raise HttpError(400, f"{name} is given twice")
    return value if before == value else f"{before}, {value}"
