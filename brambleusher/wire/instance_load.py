"""The load that some instances tell with their answers (`X-Instance-Load`)."""

from __future__ import annotations

from dataclasses import dataclass

HEADER = b"x-instance-load"
DIGITS_MAX = 6


@dataclass(frozen=True, slots=True)
class InstanceLoad:
    """Requests that run, requests that wait, and how many can run at once."""

    running: int
    waiting: int
    slots: int


def read(value: bytes) -> InstanceLoad | None:
    """The load in a header; None where it can't be one: an answer is not worth less for it."""
    parts = [part.strip() for part in value.split(b",")]
    if len(parts) != 3 or not all(part.isdigit() and len(part) <= DIGITS_MAX for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return InstanceLoad(running, waiting, slots) if slots else None
