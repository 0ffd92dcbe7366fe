"""Counters of request outcomes, shown to operators on the status page."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from brambleusher.dataplane.rejection_reason import RejectionReason

REJECTION_PREFIX = "refused_"


class RequestCounter(StrEnum):
    """Outcomes of requests; the values are the names on the status page."""

    SERVED = "served"
    ERROR_FORWARDED = "passed_failure"  # an error response of an instance was forwarded
    RESUMED = "resumed"  # an event stream was resumed at another instance
    BROKEN = "broken"  # a buffered (non-streaming) response broke off
    FAILED = "failed"  # answered with status 502 or 504
    NO_ROUTE = "no_route"
    NOT_SERVING = "not_serving"  # rejected as there is no configuration yet or a shutdown is too far advanced
    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    CLIENT_LEFT = "client_left"  # the client closed its connection before its response was complete


class Counters:
    """Counts requests by outcome, and rejections and failed attempts by reason."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def add(self, counter: RequestCounter) -> None:
        """Count a request with the given outcome."""
        self._counts[counter.value] += 1

    def add_rejection(self, reason: RejectionReason) -> None:
        """Count a request that this gateway rejected, by reason."""
        self._counts[f"{REJECTION_PREFIX}{reason.value}"] += 1

    def add_failed_attempt(self, reason: RejectionReason) -> None:
        """Count an attempt that got no response, by reason."""
        self._counts[reason.value] += 1

    def as_json(self) -> dict[str, int]:
        """Return all nonzero counters by name."""
        return dict(sorted(self._counts.items()))
