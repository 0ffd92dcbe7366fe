"""Formats log records as `key=value` lines or JSON, through the standard `logging` module."""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Protocol

import orjson

from brambleusher.runtime.standard_streams import NonBlockingStream

_DROPPED_RECORD = {
    "name": __name__,
    "levelno": logging.WARNING,
    "levelname": "WARNING",
    "msg": "log lines dropped",
}
_PLAIN = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-.:/+%@")


class LogStream(Protocol):
    """A stream that log lines are written to."""

    def write(self, text: str, /) -> object:
        """Write one line, including its newline."""

    def flush(self) -> object:
        """Flush buffered lines."""


def quote(value: object) -> str:
    """Return a value unchanged if that is unambiguous, otherwise quoted and escaped."""
    text = str(value)
    if text and all(char in _PLAIN for char in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n").replace("\r", "\\r")
    return f'"{escaped}"'


class KeyValueFormatter(logging.Formatter):
    """Formats a record as `time=… level=… part=… msg=…`, its `fields`, and its traceback if there is one."""

    def format(self, record: logging.LogRecord) -> str:
        """Format a record as one line."""
        return " ".join(f"{key}={quote(value)}" for key, value in self.fields_of(record).items())

    def fields_of(self, record: logging.LogRecord) -> dict[str, object]:
        """Return the fields of a record's line, in order."""
        stamp = datetime.fromtimestamp(record.created, UTC).strftime("%Y-%m-%dT%H:%M:%S")
        values: dict[str, object] = {
            "time": f"{stamp}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "part": record.name.removeprefix("brambleusher."),
            "msg": record.getMessage(),
        }
        fields = getattr(record, "fields", None)
        if isinstance(fields, dict):
            values.update(fields)
        if record.exc_info:
            values["trace"] = self.formatException(record.exc_info)
        return values


class JsonFormatter(KeyValueFormatter):
    """Formats the same fields as one JSON object per line; numbers stay numbers."""

    def format(self, record: logging.LogRecord) -> str:
        """Format a record as one line."""
        return orjson.dumps(self.fields_of(record), default=str, option=orjson.OPT_NON_STR_KEYS).decode()


class _LogHandler(logging.StreamHandler[LogStream]):
    """Writes records to a stream, and logs how many lines a non-blocking stream has dropped."""

    _reported_count = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, and after the first one that is not dropped how many were."""
        before = self._dropped_count()
        super().emit(record)
        count = before - self._reported_count
        if not count or self._dropped_count() > before:
            return
        super().emit(logging.makeLogRecord({**_DROPPED_RECORD, "fields": {"count": count}}))
        if self._dropped_count() == before:
            self._reported_count = before

    def _dropped_count(self) -> int:
        return self.stream.dropped_count if isinstance(self.stream, NonBlockingStream) else 0


def configure(level: int = logging.INFO, stream: LogStream | None = None, form: str = "logfmt") -> None:
    """Send the log lines of this package to a stream, by default standard error.

    `form` is `logfmt` or `json`.
    """
    handler = _LogHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter() if form == "json" else KeyValueFormatter())
    root = logging.getLogger("brambleusher")
    root.handlers[:] = [handler]
    root.setLevel(level)
    root.propagate = False


class RateLimitedLog:
    """Limits one kind of warning to one per `seconds`; the next one contains the number left out.

    Without the limit, a peer that sends invalid data at full speed would fill the log and slow the process.
    """

    def __init__(self, log: logging.Logger, now: Callable[[], float], seconds: float = 1.0) -> None:
        self._log, self._now, self._seconds = log, now, seconds
        self._next_at = -seconds
        self._left_out = 0

    def warning(self, message: str, **fields: object) -> None:
        """Log a warning, unless the last one was logged less than `seconds` ago."""
        if self._now() < self._next_at:
            self._left_out += 1
            return
        if self._left_out:
            fields["left_out"] = self._left_out
        self._next_at, self._left_out = self._now() + self._seconds, 0
        self._log.warning(message, extra={"fields": fields})
