"""Define requests of a demand file, rows of sources, and the reasons for rejecting a row."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any

import msgspec

MAX_BODY = 64 * 1024  # limit of the protocol for a request body, in bytes
TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
TARGET = re.compile(r"/[\x21-\x7e]*\Z")
VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*\Z")
BODILESS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "DELETE"})
Fields = tuple[tuple[str, str], ...]


class Request(msgspec.Struct, array_like=True, gc=False, frozen=True):
    """One request, with times in Unix nanoseconds; `size` is the body size even if `body` is not stored."""

    at_ns: int
    request_class: str
    method: str
    target: str  # path and query as in a request line
    tenant: str | None = None
    hint_us: int | float | None = None
    timeout_ms: int | None = None
    key: str | None = None  # id of the request in the source
    retry: bool = False
    headers: Fields = ()
    body: bytes | None = None
    size: int = 0
    origin: str | None = None  # scheme://authority, if the source states one
    status: int | None = None  # status of the recorded response
    took_ns: int | None = None  # duration until the recorded response, in nanoseconds


class Row(msgspec.Struct, gc=False):
    """One row of a source before the mapping is applied; None marks a value missing in the source."""

    number: int  # number of the line, or of the entry in a HAR file, from 1
    at_ns: int
    has_full_seconds: bool  # whether the time has no fraction of a second
    method: str
    target: str
    headers: dict[str, str] = {}  # values by lower-case name, joined for repeated headers
    fields: Fields = ()  # headers in original order and case
    body: bytes | None = None
    size: int | None = None
    origin: str | None = None
    status: int | None = None
    took_ns: int | None = None
    extra_values: Mapping[str, Any] = {}  # further values by log directive or JSON field
    leap: bool = False


class RejectedRow(Exception):
    """A row was rejected because it is not clearly a request; `reason` is one of `REASONS`."""

    def __init__(self, reason: str, detail: str = "") -> None:
        super().__init__(f"{reason}: {detail}" if detail else reason)
        self.reason, self.detail = reason, detail


class SourceError(ValueError):
    """A source is unusable as a whole; the message names the source and the position."""


REASONS: dict[str, str] = {
    "unreadable": "the line or entry can't be parsed",
    "cut-line": "the last line of the file has no line ending and can't be parsed",
    "too-long": "the line is longer than 1 MiB",
    "encoding": "the text is not UTF-8",
    "no-time": "the time when the request was sent is missing",
    "bad-time": "the time can't be read",
    "no-zone": "the time has no zone, and the mapping states none",
    "ambiguous-time": "the local time occurred twice because clocks were set back",
    "no-such-time": "the local time was skipped because clocks were set forward",
    "out-of-order": "the time is earlier than the window allows",
    "no-request": "there is no request line",
    "bad-method": "the method is not a token",
    "bad-target": "the target is not a valid path of a request line",
    "bad-header": "a header can't be sent",
    "no-class": "no rule or path states the class",
    "class-differs": "Request-Class and the path name different classes",
    "other-class": "the class is not in the mapping's list of classes",
    "ready": "the request is a readiness check",
    "no-size": "the method implies a body, and its size is unknown",
    "bad-size": "the size of the body is invalid",
    "body-too-large": "the body is over 64 KiB",
    "body-not-kept": "the bytes of the body can't be recovered from the source",
    "bad-hint": "the work hint is not a number",
    "bad-timeout": "the time-out is not a positive whole number of milliseconds",
    "bad-tenant": "the tenant is not in the mapping's list of tenants, or can't be sent",
    "from-cache": "the response came from a cache; no server was asked",
    "aborted": "there is no response status, so the request may not have been sent",
    "upgraded": "the connection was upgraded to another protocol",
    "by-mapping": "a rule of the mapping rejects the row",
}
