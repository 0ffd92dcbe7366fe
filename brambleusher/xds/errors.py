"""Errors of the control service."""

from __future__ import annotations


class ControlError(ValueError):
    """A configuration or file is not valid; the message names the key or the file."""


class ProtocolError(ValueError):
    """A peer broke a rule of the protocol or exceeded a limit; only its own stream or call ends."""


class SubscriptionDeniedError(ProtocolError):
    """The subscriber matches no configured group and may not subscribe."""
