"""Errors of consensus; a message from outside that can't be read is an error of `brambleusher.wire`."""

from __future__ import annotations


class InvariantViolationError(AssertionError):
    """A rule that consensus rests on does not hold: a fault of this program, never of its input."""
