"""Access logs in any of Apache's `LogFormat`s, by the apachelogs library."""

from __future__ import annotations

import re
from collections.abc import Mapping
from datetime import datetime, tzinfo
from typing import Any

import apachelogs
from apachelogs.directives import format2regex
from apachelogs.timeutil import assemble_datetime

from brambleusher.load.request import LeftOut, Row
from brambleusher.load.times import SECOND, from_datetime

# The combined format, and the same with the platform's headers and the time taken.
FORMATS = {
    "common": apachelogs.COMMON,
    "combined": apachelogs.COMBINED,
    "vhost_combined": apachelogs.VHOST_COMBINED,
    "platform": apachelogs.COMBINED
    + ' %D "%{Request-Class}i" "%{Tenant}i" "%{Work-Hint}i" "%{Request-Timeout-Ms}i" "%{Request-Id}i"'
    ' "%{Client-Retry}i" "%{Content-Length}i"',
}
KNOWN = 2000  # texts of one directive that are remembered
_LEAP = re.compile(r"(:\d\d):60(?=[ \]])")
_HTTP = re.compile(r"HTTP/\d(\.\d)?\Z")
_PARTS_OF_SECOND = ("milliepoch", "microepoch", "msec_frac", "usec_frac")


class Line:
    """Reads lines of one `LogFormat` as the library does, but for its objects.

    The library's entries make a case-blind dictionary for every header of every line, which takes twice
    as long as all else.  Here the values of a format go into plain dictionaries, and what a directive's
    text comes to is remembered while it is repeated.
    """

    def __init__(self, log_format: str) -> None:
        groups, pattern = format2regex(log_format)
        self._fullmatch = re.compile(pattern).fullmatch
        self._directives = tuple(directive for _, directive, _ in groups)
        names = [name if isinstance(name, tuple) else ("", name) for name, _, _ in groups]
        self._places = tuple((name[0], name[-1]) for name in names)
        self._converters = tuple(converter for _, _, converter in groups)
        self._known: tuple[dict[str, Any], ...] = tuple({} for _ in groups)

    def parse(self, text: str) -> tuple[dict[str, Any], dict[str, Any]]:
        """Values by the library's names for them, and by directive; raises `ValueError`, `LeftOut`."""
        found = self._fullmatch(text)
        if found is None:
            raise LeftOut("unreadable", text[:80])
        values = []
        for text, known, converter in zip(found.groups(), self._known, self._converters, strict=True):
            try:
                value = known[text]
            except KeyError:
                value = converter(text)
                if isinstance(value, bytes):
                    value = value.decode("latin-1")
                if len(known) >= KNOWN:
                    known.clear()
                known[text] = value
            values.append(value)
        had: dict[str, Any] = {"headers_in": {}}
        for (part, name), value in zip(self._places, values, strict=True):
            if part:
                inner = had.setdefault(part, {})
                if inner.get(name) is None:
                    inner[name] = value
            elif had.get(name) is None:
                had[name] = value
        for part in [part for part in had if part.endswith("request_time_fields")]:
            had[part.removesuffix("_fields")] = assemble_datetime(had[part])
        return had, dict(zip(self._directives, values, strict=True))


class AccessLog:
    """Lines of one `LogFormat` to rows."""

    def __init__(self, log_format: str, zone: tzinfo | None = None) -> None:
        """Raises `ValueError` where the format is none."""
        try:
            self._parse = Line(FORMATS.get(log_format, log_format)).parse
        except (apachelogs.InvalidDirectiveError, apachelogs.UnknownDirectiveError) as error:
            raise ValueError(f"the LogFormat can't be used: {error}") from None
        except re.error as error:
            raise ValueError(f"the LogFormat can't be used: {error}") from None
        self._zone = zone

    def row(self, number: int, line: bytes) -> Row:
        """One line; raises `LeftOut`."""
        text = line.decode("latin-1")  # as headers are; what is no text comes back as the same bytes
        leap = False
        try:
            had, named = self._parse(text)
        except (ValueError, OverflowError):
            # A directive's value is of the right form and makes no sense, such as the 32nd of a month.
            text, count = _LEAP.subn(r"\1:59", text, count=1)
            try:
                if not count:
                    raise ValueError
                (had, named), leap = self._parse(text), True
            except (ValueError, OverflowError):
                raise LeftOut("bad-time", text[:80]) from None
        at_ns, whole = self._time(had)
        method, origin, target = _asked(had)
        fields = tuple((name, value) for name, value in had["headers_in"].items() if value is not None)
        return Row(
            number, at_ns + (SECOND if leap else 0), whole, method, target,
            {name.lower(): value for name, value in fields}, fields,
            origin=origin, status=_first(had, "final_status", "status", "original_status"),
            took_ns=_took(had), named=named, leap=leap,
        )  # fmt: skip

    def _time(self, had: Mapping[str, Any]) -> tuple[int, bool]:
        """When the request came; where the log has only when it ended, the time taken is subtracted."""
        for prefix in ("", "begin_", "final_", "original_"):
            moment = had.get(f"{prefix}request_time")
            if moment is not None:
                return self._moment(moment, had[f"{prefix}request_time_fields"])
        moment, took = had.get("end_request_time"), _took(had)
        if moment is None or took is None:
            raise LeftOut("no-time")
        ended, whole = self._moment(moment, had["end_request_time_fields"])
        return ended - took, whole

    def _moment(self, moment: datetime, fields: Mapping[str, Any]) -> tuple[int, bool]:
        at_ns = from_datetime(moment, self._zone)
        if not moment.microsecond:
            if fields.get("usec_frac") is not None:
                at_ns += fields["usec_frac"] * 1_000
            elif fields.get("msec_frac") is not None:
                at_ns += fields["msec_frac"] * 1_000_000
        if at_ns < 0:
            raise LeftOut("bad-time", moment.isoformat())
        return at_ns, not any(fields.get(name) is not None for name in _PARTS_OF_SECOND)


def _first(had: Mapping[str, Any], *names: str) -> Any:
    for name in names:
        if had.get(name) is not None:
            return had[name]
    return None


def _took(had: Mapping[str, Any]) -> int | None:
    """The time taken, where the log has it finer than in seconds."""
    for name, scale in (
        ("request_duration_microseconds", 1_000),
        ("request_duration_milliseconds", 1_000_000),
    ):
        if had.get(name) is not None:
            return int(had[name]) * scale
    return None


def _asked(had: Mapping[str, Any]) -> tuple[str, str | None, str]:
    """Method, origin and target, from the request line or its parts."""
    line = _first(had, "request_line", "original_request_line", "final_request_line")
    if line is not None:
        words = line.split(" ")
        if len(words) != 3 or not _HTTP.match(words[2]):
            raise LeftOut("no-request", line[:80])
        method, target = words[0], words[1]
    else:
        method, path = had.get("request_method"), _first(had, "request_uri", "original_request_uri")
        if method is None or path is None:
            raise LeftOut("no-request")
        target = path + (had.get("request_query") or "")
    return method, *split_url(target, fragments=False)


def split_url(url: str, fragments: bool = True) -> tuple[str | None, str]:
    """Origin and target; what follows a URL's `#` is never sent.  Raises `LeftOut`."""
    if fragments:
        url = url.partition("#")[0]
    if url.startswith("/"):
        return None, url
    found = re.match(r"(https?://[^/?]+)(.*)\Z", url, re.I | re.S)
    if found is None:
        raise LeftOut("bad-target", url[:80])
    rest = found[2]
    return found[1], rest if rest.startswith("/") else f"/{rest}"
