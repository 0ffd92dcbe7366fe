"""Counters of the sidecar's connections, requests and responses; operators read them by these names."""

from __future__ import annotations

import logging

log = logging.getLogger(__name__)

NAMES = (
    "connections_accepted",
    "accepts_put_off",
    "submitters_told_to_close",
    "submitters_closed",
    "submitters_closed_silent",
    "requests_taken",
    "requests_gone",
    "requests_gone_unread",
    "requests_read_late",
    "bad_requests",
    "answers_served",
    "answers_refused",
    "answers_failed",
    "answers_unsent",
    "answers_cut",
    "claims_sent",
    "claims_served",
    "claims_connect_failed",
    "claims_error",
    "claims_full",
    "claims_reset",
    "claims_timeout",
    "claims_cancelled",
    "claims_moot",
    "connections_opened",
    "connects_put_off",
    "connections_lacking",
    "connections_reused",
    "bad_answers",
    "bad_reports",
    "lists_taken",
    "lists_rejected",
    "watches_broken",
    "faults",
)


class Counters:
    """One counter for each registered name; using an unregistered name is a programming error."""

    def __init__(self) -> None:
        self._counts = dict.fromkeys(NAMES, 0)

    def register(self, name: str) -> None:
        """Register an additional counter, for an optional feature that is enabled."""
        self._counts[name] = 0

    def add(self, name: str, amount: int = 1) -> None:
        """Add to a counter, 1 by default."""
        self._counts[name] += amount

    def count(self, name: str) -> int:
        """Return the current value of a counter."""
        return self._counts[name]

    def report(self, reason: str) -> None:
        """Log all counters on one line, with the reason for logging them."""
        log.info("counters", extra={"fields": {"why": reason, **self._counts}})
