"""Exceptions of consensus; invalid messages raise the exceptions of `brambleusher.wire.errors` instead."""

from __future__ import annotations


class InvariantViolationError(AssertionError):
    """An invariant of consensus is violated, which is always a bug in this program, not invalid input."""
