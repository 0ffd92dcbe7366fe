"""Parse logs with one JSON object per line and configurable field names."""

from __future__ import annotations

from datetime import tzinfo
from typing import Any

import msgspec

from brambleusher.load.access_log import split_url
from brambleusher.load.request import RejectedRow, Row
from brambleusher.load.times import from_number, from_text


class FieldNames(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Names of the log fields; a dot separates the keys of nested objects.  A missing field has no value."""

    time: str = "time"
    method: str = "method"
    url: str = "url"  # absolute URL or path with query; `path` and `query` replace a missing URL
    path: str = "path"
    query: str = "query"
    status: str = "status"
    took_ms: str = "took_ms"
    headers: str = "headers"  # an object or a list of pairs
    body: str = "body"  # name of the body, which must be a string
    size: str = "size"  # size of the request body in bytes


def lookup_field(record: Any, name: str) -> Any:
    """Return a field or None; a dotted name is looked up as one key first, then as a path."""
    if isinstance(record, dict) and name in record:
        return record[name]
    for key in name.split("."):
        if not isinstance(record, dict):
            return None
        record = record.get(key)
    return record


class JsonLines:
    """Converts lines to rows; `unit` is the unit of numeric times: `s`, `ms`, `us` or `ns`."""

    def __init__(self, names: FieldNames | None = None, unit: str = "s", zone: tzinfo | None = None) -> None:
        self._names, self._unit, self._zone = names or FieldNames(), unit, zone
        self._decode = msgspec.json.Decoder().decode

    def row(self, number: int, line: bytes) -> Row:
        """Convert one line to a row; raises `RejectedRow`."""
        try:
            record = self._decode(line)
        except (msgspec.DecodeError, RecursionError, ValueError) as error:
            raise RejectedRow("encoding" if is_invalid_utf8(line) else "unreadable", str(error)) from None
        if not isinstance(record, dict):
            raise RejectedRow("unreadable", "not an object")
        names = self._names
        at_ns, has_full_seconds, leap = self._time(lookup_field(record, names.time))
        method = lookup_field(record, names.method)
        if not isinstance(method, str):
            raise RejectedRow("no-request", f"{names.method} is missing or no string")
        url = lookup_field(record, names.url)
        if url is None:
            url, query = lookup_field(record, names.path), lookup_field(record, names.query)
            if isinstance(url, str) and isinstance(query, str) and query:
                url = f"{url}{query}" if query.startswith("?") else f"{url}?{query}"
        if not isinstance(url, str):
            raise RejectedRow("no-request", f"{names.url} or {names.path} is missing or no string")
        origin, target = split_url(url)
        fields = _headers(lookup_field(record, names.headers))
        body, size = lookup_field(record, names.body), lookup_field(record, names.size)
        if body is not None and not isinstance(body, str):
            raise RejectedRow("body-not-kept", f"{names.body} is no string")
        if size is not None and (type(size) is not int or size < 0):
            raise RejectedRow("bad-size", f"{names.size} is {size!r}")
        status, took_ms = lookup_field(record, names.status), lookup_field(record, names.took_ms)
        return Row(
            number, at_ns, has_full_seconds, method, target, join_headers(fields), fields,
            None if body is None else encode_text(body), size, origin,
            status if type(status) is int else _status(status),
            round(took_ms * 1e6) if isinstance(took_ms, int | float) and 0 <= took_ms < 1e12 else None,
            record, leap=leap,
        )  # fmt: skip

    def _time(self, value: Any) -> tuple[int, bool, bool]:
        if value is None or value == "":
            raise RejectedRow("no-time")
        if isinstance(value, bool) or not isinstance(value, int | float | str):
            raise RejectedRow("bad-time", repr(value)[:60])
        if isinstance(value, str) and not value.replace(".", "", 1).strip().isdecimal():
            return from_text(value, self._zone)
        return *from_number(value, self._unit), False


def encode_text(text: str) -> bytes:
    """Encode a string as UTF-8; raises `RejectedRow` if it has a lone surrogate."""
    try:
        return text.encode()
    except UnicodeEncodeError:
        raise RejectedRow("encoding") from None


def join_headers(fields: tuple[tuple[str, str], ...]) -> dict[str, str]:
    """Return headers by lower-case name, with the values of repeated headers joined."""
    headers: dict[str, str] = {}
    for name, value in fields:
        name = name.lower()
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    return headers


def is_invalid_utf8(line: bytes) -> bool:
    """Return whether the bytes are not valid UTF-8."""
    try:
        line.decode()
    except UnicodeDecodeError:
        return True
    return False


def _status(value: Any) -> int | None:
    return int(value) if isinstance(value, str) and len(value) == 3 and value.isdecimal() else None


def _headers(value: Any) -> tuple[tuple[str, str], ...]:
    if value is None:
        return ()
    pairs = list(value.items()) if isinstance(value, dict) else value
    fields: list[tuple[str, str]] = []
    if not isinstance(pairs, list):
        raise RejectedRow("bad-header", "headers are neither an object nor a list of pairs")
    for pair in pairs:
        if not isinstance(pair, list | tuple) or len(pair) != 2 or not isinstance(pair[0], str):
            raise RejectedRow("bad-header", repr(pair)[:60])
        name, value = pair
        for each in value if isinstance(value, list) else [value]:
            if isinstance(each, bool) or not isinstance(each, str | int | float):
                raise RejectedRow("bad-header", f"{name} is neither a string nor a number")
            fields.append((name, str(each)))
    return tuple(fields)
