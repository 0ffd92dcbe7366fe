"""Typed ends of an attempt that brought no answer to pass on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar


@dataclass(frozen=True, slots=True)
class NotReached:
    """No connection came about: the request never left this gateway."""

    counter: ClassVar[str] = "notreached"

    timed_out: bool = False  # nobody answered; else it was refused


@dataclass(frozen=True, slots=True)
class Rejected:
    """The instance said that it did not run the request and never will."""

    counter: ClassVar[str] = "rejected"

    status: int


@dataclass(frozen=True, slots=True)
class Lost:
    """The request, or a part of it, was sent and no whole answer came: it may have run."""

    counter: ClassVar[str] = "lost"


AttemptFailure = NotReached | Rejected | Lost


class AnswerBroken(Exception):
    """An answer that had begun ended before it was whole."""
