"""Exceptions of the data plane."""

from __future__ import annotations


class DataPlaneError(Exception):
    """Base class of the exceptions that the data plane defines."""


class ResponseBrokenError(DataPlaneError):
    """An instance's response ended before it was complete."""


class RequestTooLargeError(DataPlaneError):
    """A client's request exceeds a limit; `status` is the HTTP status to respond with."""

    def __init__(self, status: int, limit: str) -> None:
        super().__init__(f"HTTP {status}: a request exceeds {limit}")
        self.status = status


class EventTooLongError(DataPlaneError):
    """An event in a `text/event-stream` response exceeds the size limit."""
