"""What operators are told of requests, counted where their other ends know of it too.

An answer counts when its last byte is written, an attempt when its request's last byte is.  A request that
its client left counts as ended and as nothing else; one answered in part has failed.  What can't be read
as a request was never taken.
"""

from __future__ import annotations

from collections.abc import Iterable

SERVED, REJECTED, FAILED = "fulfilled", "throttled", "faulted"


class RequestCounts:
    """Counts since the process began."""

    __slots__ = ("attempts_sent", "finished", "in_flight")

    def __init__(self, classes: Iterable[str]) -> None:
        self.finished = {name: {SERVED: 0, REJECTED: 0, FAILED: 0} for name in classes}
        self.in_flight = 0  # taken and not ended
        self.attempts_sent = 0  # whose request was written whole

    def count_attempt(self) -> None:
        """Count an attempt whose request was written whole."""
        self.attempts_sent += 1
