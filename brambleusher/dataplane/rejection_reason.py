"""Reasons for which a gateway makes no further attempt for a request."""

from __future__ import annotations

from enum import StrEnum


class RejectionReason(StrEnum):
    """Reasons of rejections; a value is the suffix of a `refused_*` counter.

    The last three values are also names of counters of failed attempts.
    """

    NONE = ""
    DEADLINE = "time"
    MUST_NOT_RUN_AGAIN = "ran"
    NO_INSTANCE = "no_instance"
    CONNECTION_LIMIT = "connections"
    RETRY_BUDGET = "retry_budget"
    CONNECT_FAILED = "notreached"
    ATTEMPT_REJECTED = "rejected"
    ATTEMPT_OUTCOME_UNKNOWN = "lost"
