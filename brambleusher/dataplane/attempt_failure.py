"""Kinds of attempts that brought no response to pass on.

They are returned, not raised: each of them decides what may happen next to the request.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar


@dataclass(frozen=True, slots=True)
class ConnectFailed:
    """No connection was established: the request never left this gateway."""

    counter: ClassVar[str] = "notreached"

    has_timed_out: bool = False  # nothing answered; otherwise the connection was refused


@dataclass(frozen=True, slots=True)
class AttemptRejected:
    """The instance promised that it did not run the request and never will."""

    counter: ClassVar[str] = "rejected"

    status: int


@dataclass(frozen=True, slots=True)
class AttemptLost:
    """At least a part of the request was sent and no complete response head came: it may have run."""

    counter: ClassVar[str] = "lost"


AttemptFailure = ConnectFailed | AttemptRejected | AttemptLost
