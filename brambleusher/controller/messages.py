"""Kinds of messages between control plane processes, apart from consensus messages."""

from __future__ import annotations

from enum import StrEnum


class MessageKind(StrEnum):
    """The value of the `kind` field in a message; these values are part of the wire format."""

    INSTANCE_LIST = "instances"  # the platform's instance list as read by a controller
    OBSERVER = "observer"  # the address of an observer, as the sender of the message
    SHUFFLE = "shuffle"  # a random sample of a controller's partial view
