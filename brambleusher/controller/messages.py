"""Kinds of messages between processes of the control plane that are not consensus; the wire's own names."""

from __future__ import annotations

from enum import StrEnum


class MessageKind(StrEnum):
    """The value of `kind` in a message."""

    INSTANCE_LIST = "instances"  # a controller's reading of the platform's list
    SHUFFLE = "shuffle"  # a sample of a partial view
