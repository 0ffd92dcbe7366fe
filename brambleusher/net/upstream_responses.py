"""What an endpoint's response says: the status of its attempt, and the load report in its header."""

from __future__ import annotations

import math
from collections.abc import Callable
from http import HTTPStatus

import orjson

from brambleusher.loadbalancing.api import AttemptStatus, LoadReport
from brambleusher.net.http import Message

LOAD_REPORT_HEADER = "server-load"
NOT_STARTED_HEADER = "not-started"
# Names of a report's two figures, the older spelling first.
UTILISATION_KEYS = ("util", "utilization")
THROUGHPUT_KEYS = ("qps", "throughput")

# Plain numbers: each access to a member of an enum costs a call, and these are on the way of each request.
_OK = HTTPStatus.OK.value
_UNAVAILABLE_STATUSES = frozenset({HTTPStatus.SERVICE_UNAVAILABLE.value, HTTPStatus.GATEWAY_TIMEOUT.value})

FaultHandler = Callable[[str], object]  # takes a description of what makes no sense


def _ignore_fault(fault: str) -> None:
    """Do nothing."""


def parse_load_report(text: str | None, on_fault: FaultHandler = _ignore_fault) -> LoadReport | None:
    """Parse a load report; what makes no sense is left out, never guessed, and reported to `on_fault`."""
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
    figures = [_parse_figure(raw, keys, on_fault) for keys in (UTILISATION_KEYS, THROUGHPUT_KEYS)]
    return None if figures == [None, None] else LoadReport(*figures)


def _parse_figure(raw: dict[str, object], keys: tuple[str, str], on_fault: FaultHandler) -> float | None:
    key = keys[0] if keys[0] in raw else keys[1]
    value = raw.get(key)
    if isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value < math.inf:
        return float(value)
    if value is not None:
        on_fault(f"{key} is not a number of 0 or more")
    return None


def load_report_of(response: Message, on_fault: FaultHandler = _ignore_fault) -> LoadReport | None:
    """Parse a response's load report; None where it has none, without figures where they can't be read.

    An endpoint whose report was spoilt must not be taken for one that reports nothing any more.
    """
    text = response.headers.get(LOAD_REPORT_HEADER)
    return parse_load_report(text, on_fault) or (None if text is None else LoadReport(None, None))


def attempt_status_of(response: Message) -> AttemptStatus:
    """Say what a response proves; a 503 that does not say so does not prove that nothing was started."""
    status = response.status
    if status == _OK:
        return AttemptStatus.OK
    if status in _UNAVAILABLE_STATUSES and response.headers.get(NOT_STARTED_HEADER) == "1":
        return AttemptStatus.OVERLOADED
    return AttemptStatus.ERROR
