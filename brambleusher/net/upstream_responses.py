"""Derives the attempt status and the load report from an endpoint's response."""

from __future__ import annotations

import math
from collections.abc import Callable
from http import HTTPStatus

import orjson

from brambleusher.loadbalancing.api import AttemptStatus, LoadReport
from brambleusher.net.http import Message

LOAD_REPORT_HEADER = "server-load"
NOT_STARTED_HEADER = "not-started"
# Accepted names of the load report's two values, the older spelling first.
UTILISATION_KEYS = ("util", "utilization")
THROUGHPUT_KEYS = ("qps", "throughput")

# Plain integers, as each access to an enum member costs a function call on the hot path of every request.
_OK = HTTPStatus.OK.value
_UNAVAILABLE_STATUSES = frozenset({HTTPStatus.SERVICE_UNAVAILABLE.value, HTTPStatus.GATEWAY_TIMEOUT.value})

FaultHandler = Callable[[str], object]  # takes a description of an invalid value


def _ignore_fault(fault: str) -> None:
    """Do nothing."""


def parse_load_report(text: str | None, on_fault: FaultHandler = _ignore_fault) -> LoadReport | None:
    """Parse a load report; invalid values are omitted, never guessed, and reported to `on_fault`."""
    if not text:
        return None
    try:
        raw = orjson.loads(text)
    except ValueError:
        on_fault("not JSON")
        return None
    if not isinstance(raw, dict):
        on_fault("not an object")
        return None
    values = [_parse_load_value(raw, keys, on_fault) for keys in (UTILISATION_KEYS, THROUGHPUT_KEYS)]
    return None if values == [None, None] else LoadReport(*values)


def _parse_load_value(raw: dict[str, object], keys: tuple[str, str], on_fault: FaultHandler) -> float | None:
    key = keys[0] if keys[0] in raw else keys[1]
    value = raw.get(key)
    if isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value < math.inf:
        return float(value)
    if value is not None:
        on_fault(f"{key} is not a number of 0 or more")
    return None


def load_report_of(response: Message, on_fault: FaultHandler = _ignore_fault) -> LoadReport | None:
    """Parse a response's load report, or return None if the response has none.

    A report that can't be parsed is returned without values, so that its endpoint is not taken for an
    endpoint that has stopped reporting.
    """
    text = response.headers.get(LOAD_REPORT_HEADER)
    return parse_load_report(text, on_fault) or (None if text is None else LoadReport(None, None))


def attempt_status_of(response: Message) -> AttemptStatus:
    """Map a response to an attempt status; only a 503 that says so proves that nothing was started."""
    status = response.status
    if status == _OK:
        return AttemptStatus.OK
    if status in _UNAVAILABLE_STATUSES and response.headers.get(NOT_STARTED_HEADER) == "1":
        return AttemptStatus.OVERLOADED
    return AttemptStatus.ERROR
