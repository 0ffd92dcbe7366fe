"""What demand is made of: one request as it was asked, and what a source says before that is known."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any

import msgspec

MAX_BODY = 64 * 1024  # bytes of a request's body that the protocol takes
TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
TARGET = re.compile(r"/[\x21-\x7e]*\Z")
VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*\Z")
BODILESS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "DELETE"})
Fields = tuple[tuple[str, str], ...]


class Request(msgspec.Struct, array_like=True, gc=False, frozen=True):
    """One request.  Times are Unix nanoseconds; `size` is the body's, also where the body is not kept."""

    at_ns: int
    request_class: str
    method: str
    target: str  # path and query, as it stands in a request line
    tenant: str | None = None
    hint_us: int | float | None = None
    timeout_ms: int | None = None
    key: str | None = None  # what the source knew it by
    retry: bool = False
    headers: Fields = ()
    body: bytes | None = None
    size: int = 0
    origin: str | None = None  # scheme://authority, where the source has it
    status: int | None = None  # what was answered, and after how long
    took_ns: int | None = None


class Row(msgspec.Struct, gc=False):
    """One row of a source, before it is known what it means.  None: the source does not say."""

    place: int  # the line, or for a HAR file the entry, counted from 1
    at_ns: int
    whole: bool  # the time is in whole seconds
    method: str
    target: str
    headers: dict[str, str] = {}  # by name in lower case, repeated ones joined
    fields: Fields = ()  # the headers as they came
    body: bytes | None = None
    size: int | None = None
    origin: str | None = None
    status: int | None = None
    took_ns: int | None = None
    named: Mapping[str, Any] = {}  # what else the source names: log directives, JSON fields
    leap: bool = False


class LeftOut(Exception):
    """A row that is no request, or not clearly one; `reason` is one of `REASONS`."""

    def __init__(self, reason: str, detail: str = "") -> None:
        super().__init__(f"{reason}: {detail}" if detail else reason)
        self.reason, self.detail = reason, detail


class SourceError(ValueError):
    """A source that can't be used as a whole; the message names it and the place."""


REASONS: dict[str, str] = {
    "unreadable": "the line or entry can't be parsed",
    "cut-line": "the last line of a file has no end and can't be parsed",
    "too-long": "the line is longer than 1 MiB",
    "encoding": "the text is not UTF-8",
    "no-time": "there is no time, or not when it was sent",
    "bad-time": "the time can't be read",
    "no-zone": "the time has no zone, and none is stated",
    "ambiguous-time": "the local time came twice that day, when the clocks went back",
    "no-such-time": "the local time was passed over when the clocks went forward",
    "out-of-order": "it is earlier than the window allows",
    "no-request": "there is no request line",
    "bad-method": "the method is not a token",
    "bad-target": "the target is no path that can stand in a request line",
    "bad-header": "a header can't be sent",
    "no-class": "nothing says its class",
    "class-differs": "Request-Class and the path name different classes",
    "other-class": "its class is not among those asked for",
    "ready": "it asks whether the server is ready",
    "no-size": "it has a body, and nothing says how large",
    "bad-size": "the body's size can't be read",
    "body-too-large": "the body is over 64 KiB",
    "body-not-kept": "the body was kept in a form that does not give its bytes back",
    "bad-hint": "the work hint is no number",
    "bad-timeout": "the time-out is no whole number of milliseconds above 0",
    "bad-tenant": "the tenant is not in the mapping's list",
    "from-cache": "it was answered from a cache and reached no server",
    "aborted": "it has no answer's status: whether it was sent is not known",
    "upgraded": "it became another protocol",
    "by-mapping": "the mapping leaves it out",
}
