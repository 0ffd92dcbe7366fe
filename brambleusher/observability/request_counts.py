"""Counts of requests for operators, defined so that clients and endpoints can count the same.

A response counts when its last byte is written, and an attempt when the last byte of its request is written.
A request whose client disconnected only counts as no longer in flight; a request with a partial response
counts as failed.  Bytes that can't be parsed as a request are not counted.
"""

from __future__ import annotations

from collections.abc import Iterable

# Outcome names in the metrics.
SERVED, REJECTED, FAILED = "fulfilled", "throttled", "faulted"


class RequestCounts:
    """Request counts since the start of the process."""

    __slots__ = ("attempts_sent", "finished", "in_flight")

    def __init__(self, classes: Iterable[str]) -> None:
        self.finished = {name: {SERVED: 0, REJECTED: 0, FAILED: 0} for name in classes}
        self.in_flight = 0  # requests accepted and not finished yet
        self.attempts_sent = 0  # attempts whose request was written completely

    def count_attempt(self) -> None:
        """Count an attempt whose request was written completely."""
        self.attempts_sent += 1
