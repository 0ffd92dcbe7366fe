"""Counters of request outcomes, for operators."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from brambleusher.dataplane.rejection_reason import RejectionReason

REJECTION_PREFIX = "refused_"


class RequestCounter(StrEnum):
    """Outcomes of requests; the values are the names on the status page."""

    SERVED = "served"
    ERROR_FORWARDED = "passed_failure"  # an error response of an instance
    RESUMED = "resumed"  # streams, at another instance
    BROKEN = "broken"  # complete responses that broke off
    FAILED = "failed"  # 502 and 504
    NO_ROUTE = "no_route"
    NOT_SERVING = "not_serving"  # no configuration yet, or too late in a shutdown
    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    CLIENT_LEFT = "client_left"  # the client closed its connection before its response was complete


class Counters:
    """Counts requests by outcome, rejections and failed attempts by reason."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def add(self, counter: RequestCounter) -> None:
        """Count a request."""
        self._counts[counter.value] += 1

    def add_rejection(self, reason: RejectionReason) -> None:
        """Count a request that this gateway rejected."""
        self._counts[f"{REJECTION_PREFIX}{reason.value}"] += 1

    def add_failed_attempt(self, reason: RejectionReason) -> None:
        """Count an attempt without a response."""
        self._counts[reason.value] += 1

    def as_json(self) -> dict[str, int]:
        """Return all counters that were ever increased, by name."""
        return dict(sorted(self._counts.items()))
