"""JSON lines: messages between processes are sent as one JSON object per line."""

from __future__ import annotations

import orjson

from brambleusher.wire.errors import InvalidMessageError
from brambleusher.wire.json_fields import JsonObject, as_object

LINE_BYTES_MAX = 16 * 1024 * 1024  # at least twice the size of a snapshot with the largest configuration


def encode(message: JsonObject) -> bytes:
    """Encode a message as a line."""
    return orjson.dumps(message) + b"\n"


def decode(line: bytes) -> dict[str, object]:
    """Decode the message in a line.

    Raises:
        InvalidMessageError: The line is not a JSON object.
    """
    try:
        message = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise InvalidMessageError(f"a line is not valid JSON: {error}") from error
    return as_object(message, "a line")


class LineBuffer:
    """Splits a stream of bytes into lines."""

    def __init__(self, max_bytes: int = LINE_BYTES_MAX) -> None:
        """Create a buffer for lines of at most `max_bytes` bytes."""
        self._partial = bytearray()
        self._max_bytes = max_bytes

    def feed(self, data: bytes) -> list[bytes]:
        """Return the lines that `data` completes, without their newlines.

        Raises:
            InvalidMessageError: A line exceeds the size limit.
        """
        if b"\n" not in data:
            self._append(data)
            return []
        *complete, remainder = data.split(b"\n")
        complete[0] = bytes(self._partial) + complete[0]
        self._partial.clear()
        self._append(remainder)
        return complete

    def _append(self, data: bytes) -> None:
        self._partial += data
        if len(self._partial) > self._max_bytes:
            raise InvalidMessageError(f"a line is longer than {self._max_bytes} bytes")
