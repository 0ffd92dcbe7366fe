"""Counters of what the sidecar accepts, sends and answers; operators read them by these names."""

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
    """One count for each name; a name that is not registered is a fault in the program."""

    def __init__(self) -> None:
        self._counts = dict.fromkeys(NAMES, 0)

    def register(self, name: str) -> None:
        """Register one name more, for a feature that is on."""
        self._counts[name] = 0

    def add(self, name: str, more: int = 1) -> None:
        """Count one more, or several."""
        self._counts[name] += more

    def count(self, name: str) -> int:
        """Return the count so far."""
        return self._counts[name]

    def report(self, why: str) -> None:
        """Log all counts on one line."""
        log.info("counters", extra={"fields": {"why": why, **self._counts}})
