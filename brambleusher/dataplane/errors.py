"""Exceptions of the data plane."""

from __future__ import annotations


class DataPlaneError(Exception):
    """Base of all exceptions that the data plane raises itself."""


class ResponseBrokenError(DataPlaneError):
    """A response that had begun ended before it was complete."""


class RequestTooLargeError(DataPlaneError):
    """A client's request exceeds a limit; `status` is the HTTP status that says which one."""

    def __init__(self, status: int, limit: str) -> None:
        super().__init__(f"HTTP {status}: a request exceeds {limit}")
        self.status = status


class EventTooLongError(DataPlaneError):
    """A `text/event-stream` holds an event beyond the size limit."""
