"""Kinds of attempts that brought no response to pass on.

They are returned, not raised: each of them decides what may happen next to the request.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from brambleusher.dataplane.rejection_reason import RejectionReason


@dataclass(frozen=True, slots=True)
class ConnectFailed:
    """No connection was established: the request never left this gateway."""

    reason: ClassVar[RejectionReason] = RejectionReason.CONNECT_FAILED

    has_timed_out: bool = False  # nothing answered; otherwise the connection was refused


@dataclass(frozen=True, slots=True)
class AttemptRejected:
    """The instance promised that it did not run the request and never will."""

    reason: ClassVar[RejectionReason] = RejectionReason.ATTEMPT_REJECTED

    status: int


@dataclass(frozen=True, slots=True)
class AttemptLost:
    """At least a part of the request was sent and no complete response head came: it may have run."""

    reason: ClassVar[RejectionReason] = RejectionReason.ATTEMPT_LOST


AttemptFailure = ConnectFailed | AttemptRejected | AttemptLost
