"""Why a gateway made no further attempt for a request."""

from __future__ import annotations

from enum import StrEnum


class RejectionReason(StrEnum):
    """The value is part of the counter `refused_*`; of the last three it is a counter of attempts, too."""

    NONE = ""
    DEADLINE = "time"
    MUST_NOT_RUN_AGAIN = "ran"
    NO_INSTANCE = "no_instance"
    CONNECTION_LIMIT = "connections"
    RETRY_BUDGET = "retry_budget"
    CONNECT_FAILED = "notreached"
    ATTEMPT_REJECTED = "rejected"
    ATTEMPT_LOST = "lost"
