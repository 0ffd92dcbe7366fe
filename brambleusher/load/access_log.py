"""Parse access logs in any Apache `LogFormat`, with the apachelogs library."""

from __future__ import annotations

import re
from collections.abc import Mapping
from datetime import datetime, tzinfo
from typing import Any

import apachelogs
from apachelogs.directives import format2regex
from apachelogs.timeutil import assemble_datetime

from brambleusher.load.request import RejectedRow, Row
from brambleusher.load.times import SECOND, from_datetime

# `platform` is the combined format with the response time and the headers of the platform added.
FORMATS = {
    "common": apachelogs.COMMON,
    "combined": apachelogs.COMBINED,
    "vhost_combined": apachelogs.VHOST_COMBINED,
    "platform": apachelogs.COMBINED
    + ' %D "%{Request-Class}i" "%{Tenant}i" "%{Work-Hint}i" "%{Request-Timeout-Ms}i" "%{Request-Id}i"'
    ' "%{Client-Retry}i" "%{Content-Length}i"',
}
MAX_CACHED_VALUES = 2000  # cached values of one directive
_LEAP = re.compile(r"(:\d\d):60(?=[ \]])")
_HTTP = re.compile(r"HTTP/\d(\.\d)?\Z")
_SUBSECOND_FIELDS = ("milliepoch", "microepoch", "msec_frac", "usec_frac")


class LogLineParser:
    """Parses lines of one `LogFormat` as the library does, but without building its entry objects.

    The library builds a case-insensitive dictionary of headers for every line, which takes twice as long as
    the rest of the parsing.  This class stores the values in plain dictionaries, and caches the converted
    value of each text of a directive.
    """

    def __init__(self, log_format: str) -> None:
        groups, pattern = format2regex(log_format)
        self._fullmatch = re.compile(pattern).fullmatch
        self._directives = tuple(directive for _, directive, _ in groups)
        names = [name if isinstance(name, tuple) else ("", name) for name, _, _ in groups]
        self._value_paths = tuple((name[0], name[-1]) for name in names)
        self._converters = tuple(converter for _, _, converter in groups)
        self._caches: tuple[dict[str, Any], ...] = tuple({} for _ in groups)

    def parse(self, text: str) -> tuple[dict[str, Any], dict[str, Any]]:
        """Parse a line to values by library name and by directive; raises `ValueError`, `RejectedRow`."""
        match = self._fullmatch(text)
        if match is None:
            raise RejectedRow("unreadable", text[:80])
        values = []
        for text, cache, converter in zip(match.groups(), self._caches, self._converters, strict=True):
            try:
                value = cache[text]
            except KeyError:
                value = converter(text)
                if isinstance(value, bytes):
                    value = value.decode("latin-1")
                if len(cache) >= MAX_CACHED_VALUES:
                    cache.clear()
                cache[text] = value
            values.append(value)
        entry: dict[str, Any] = {"headers_in": {}}
        for (group, name), value in zip(self._value_paths, values, strict=True):
            if group:
                inner = entry.setdefault(group, {})
                if inner.get(name) is None:
                    inner[name] = value
            elif entry.get(name) is None:
                entry[name] = value
        for group in [group for group in entry if group.endswith("request_time_fields")]:
            entry[group.removesuffix("_fields")] = assemble_datetime(entry[group])
        return entry, dict(zip(self._directives, values, strict=True))


class AccessLog:
    """Converts lines of one `LogFormat` to rows."""

    def __init__(self, log_format: str, zone: tzinfo | None = None) -> None:
        """Compile the format; raises `ValueError` if it is invalid."""
        try:
            self._parse = LogLineParser(FORMATS.get(log_format, log_format)).parse
        except (apachelogs.InvalidDirectiveError, apachelogs.UnknownDirectiveError) as error:
            raise ValueError(f"invalid LogFormat: {error}") from None
        except re.error as error:
            raise ValueError(f"invalid LogFormat: {error}") from None
        self._zone = zone

    def row(self, number: int, line: bytes) -> Row:
        """Convert one line to a row; raises `RejectedRow`."""
        text = line.decode("latin-1")  # Latin-1, as in HTTP headers, maps every byte back to itself
        leap = False
        try:
            entry, directives = self._parse(text)
        except (ValueError, OverflowError):
            # A value matches the pattern of its directive but is out of range, such as the 32nd of a month.
            text, count = _LEAP.subn(r"\1:59", text, count=1)
            try:
                if not count:
                    raise ValueError
                (entry, directives), leap = self._parse(text), True
            except (ValueError, OverflowError):
                raise RejectedRow("bad-time", text[:80]) from None
        at_ns, has_full_seconds = self._time(entry)
        method, origin, target = _request_line(entry)
        fields = tuple((name, value) for name, value in entry["headers_in"].items() if value is not None)
        return Row(
            number, at_ns + (SECOND if leap else 0), has_full_seconds, method, target,
            {name.lower(): value for name, value in fields}, fields,
            origin=origin, status=_first(entry, "final_status", "status", "original_status"),
            took_ns=_response_time_ns(entry), extra_values=directives, leap=leap,
        )  # fmt: skip

    def _time(self, entry: Mapping[str, Any]) -> tuple[int, bool]:
        """Compute when the request arrived, from its end and duration if only the end is logged."""
        for prefix in ("", "begin_", "final_", "original_"):
            moment = entry.get(f"{prefix}request_time")
            if moment is not None:
                return self._moment(moment, entry[f"{prefix}request_time_fields"])
        moment, took_ns = entry.get("end_request_time"), _response_time_ns(entry)
        if moment is None or took_ns is None:
            raise RejectedRow("no-time")
        ended, has_full_seconds = self._moment(moment, entry["end_request_time_fields"])
        return ended - took_ns, has_full_seconds

    def _moment(self, moment: datetime, fields: Mapping[str, Any]) -> tuple[int, bool]:
        at_ns = from_datetime(moment, self._zone)
        if not moment.microsecond:
            if fields.get("usec_frac") is not None:
                at_ns += fields["usec_frac"] * 1_000
            elif fields.get("msec_frac") is not None:
                at_ns += fields["msec_frac"] * 1_000_000
        if at_ns < 0:
            raise RejectedRow("bad-time", moment.isoformat())
        return at_ns, not any(fields.get(name) is not None for name in _SUBSECOND_FIELDS)


def _first(entry: Mapping[str, Any], *names: str) -> Any:
    for name in names:
        if entry.get(name) is not None:
            return entry[name]
    return None


def _response_time_ns(entry: Mapping[str, Any]) -> int | None:
    """Return the response time in nanoseconds, or None if it is logged in whole seconds or not at all."""
    for name, scale in (
        ("request_duration_microseconds", 1_000),
        ("request_duration_milliseconds", 1_000_000),
    ):
        if entry.get(name) is not None:
            return int(entry[name]) * scale
    return None


def _request_line(entry: Mapping[str, Any]) -> tuple[str, str | None, str]:
    """Return method, origin and target, from the request line or its parts."""
    line = _first(entry, "request_line", "original_request_line", "final_request_line")
    if line is not None:
        words = line.split(" ")
        if len(words) != 3 or not _HTTP.match(words[2]):
            raise RejectedRow("no-request", line[:80])
        method, target = words[0], words[1]
    else:
        method, path = entry.get("request_method"), _first(entry, "request_uri", "original_request_uri")
        if method is None or path is None:
            raise RejectedRow("no-request")
        target = path + (entry.get("request_query") or "")
    return method, *split_url(target, fragments=False)


def split_url(url: str, fragments: bool = True) -> tuple[str | None, str]:
    """Split a URL into origin and target without its fragment, which is never sent; raises `RejectedRow`."""
    if fragments:
        url = url.partition("#")[0]
    if url.startswith("/"):
        return None, url
    match = re.match(r"(https?://[^/?]+)(.*)\Z", url, re.I | re.S)
    if match is None:
        raise RejectedRow("bad-target", url[:80])
    path = match[2]
    return match[1], path if path.startswith("/") else f"/{path}"
