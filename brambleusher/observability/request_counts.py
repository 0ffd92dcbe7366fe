"""Counts of requests for operators, made where clients and endpoints can count the same.

A response counts when its last byte is written, an attempt when its request's last byte is.  A request whose
client disconnected counts as finished and as nothing else; one answered in part has failed.  What can't be
parsed as a request was never accepted.
"""

from __future__ import annotations

from collections.abc import Iterable

# The names that operators read.
SERVED, REJECTED, FAILED = "fulfilled", "throttled", "faulted"


class RequestCounts:
    """Counts since the process began."""

    __slots__ = ("attempts_sent", "finished", "in_flight")

    def __init__(self, classes: Iterable[str]) -> None:
        self.finished = {name: {SERVED: 0, REJECTED: 0, FAILED: 0} for name in classes}
        self.in_flight = 0  # accepted and not finished
        self.attempts_sent = 0  # whose request was written whole

    def count_attempt(self) -> None:
        """Count an attempt whose request was written whole."""
        self.attempts_sent += 1
