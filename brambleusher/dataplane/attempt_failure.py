"""Failures of an attempt that yielded no response to forward to the client.

Failures are returned, not raised: the kind of failure decides whether the request may be retried.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from brambleusher.dataplane.rejection_reason import RejectionReason


@dataclass(frozen=True, slots=True)
class ConnectFailed:
    """No connection was established, so the request never left this gateway."""

    reason: ClassVar[RejectionReason] = RejectionReason.CONNECT_FAILED

    has_timed_out: bool = False  # the connection attempt timed out; if false, it was refused


@dataclass(frozen=True, slots=True)
class AttemptRejected:
    """The instance stated that it did not run the request and never will."""

    reason: ClassVar[RejectionReason] = RejectionReason.ATTEMPT_REJECTED

    status: int


@dataclass(frozen=True, slots=True)
class AttemptOutcomeUnknown:
    """Part of the request was sent and no complete response head arrived, so the request may have run."""

    reason: ClassVar[RejectionReason] = RejectionReason.ATTEMPT_OUTCOME_UNKNOWN


AttemptFailure = ConnectFailed | AttemptRejected | AttemptOutcomeUnknown
