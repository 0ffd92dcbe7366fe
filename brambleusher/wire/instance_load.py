"""The load that instances may report in the `X-Instance-Load` header of their responses."""

from __future__ import annotations

from dataclasses import dataclass

HEADER = b"x-instance-load"
FIELD_COUNT = 3
DIGITS_MAX = 6


@dataclass(frozen=True, slots=True)
class InstanceLoad:
    """The numbers of running and queued requests, and the number of requests that can run concurrently."""

    running: int
    queued: int
    slots: int


def read(value: bytes) -> InstanceLoad | None:
    """Parse the load in a header; a malformed header gives None and does not invalidate the response."""
    fields = [field.strip() for field in value.split(b",")]
    if len(fields) != FIELD_COUNT:
        return None
    if not all(field.isdigit() and len(field) <= DIGITS_MAX for field in fields):
        return None
    running, queued, slots = (int(field) for field in fields)
    return InstanceLoad(running, queued, slots) if slots else None
