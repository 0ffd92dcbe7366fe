"""The load that some instances report with their responses (`X-Instance-Load`)."""

from __future__ import annotations

from dataclasses import dataclass

HEADER = b"x-instance-load"
FIELD_COUNT = 3
DIGITS_MAX = 6


@dataclass(frozen=True, slots=True)
class InstanceLoad:
    """Requests that run, requests that are queued, and how many can run at once."""

    running: int
    queued: int
    slots: int


def read(value: bytes) -> InstanceLoad | None:
    """Return the load in a header; None where it is malformed: the response counts all the same."""
    fields = [field.strip() for field in value.split(b",")]
    if len(fields) != FIELD_COUNT:
        return None
    if not all(field.isdigit() and len(field) <= DIGITS_MAX for field in fields):
        return None
    running, queued, slots = (int(field) for field in fields)
    return InstanceLoad(running, queued, slots) if slots else None
