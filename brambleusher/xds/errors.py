"""Errors of the control service."""

from __future__ import annotations


class ControlError(ValueError):
    """A configuration, file or answer that can't be used; the message names the key or the file."""


class ProtocolError(ValueError):
    """A subscriber broke a rule of the protocol or a bound; its stream ends, and nothing else."""


class SubscriptionDeniedError(ProtocolError):
    """No group is for the subscriber; it may not subscribe."""
