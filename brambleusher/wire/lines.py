"""JSON lines: one object a line, the only form that processes of the system send each other."""

from __future__ import annotations

from typing import Any

import orjson

from brambleusher.wire.errors import InvalidMessageError

LINE_BYTES_MAX = 16 * 1024 * 1024  # a snapshot with the largest configuration fits twice


def encode(message: dict[str, Any]) -> bytes:
    """One message as a line."""
    return orjson.dumps(message) + b"\n"


def decode(line: bytes) -> dict[str, Any]:
    """The message of a line; raises `InvalidMessageError`."""
    try:
        message = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise InvalidMessageError(f"a line is no JSON: {error}") from error
    if not isinstance(message, dict):
        raise InvalidMessageError("a line is no JSON object")
    return message


class LineBuffer:
    """Bytes in, whole lines out; raises `InvalidMessageError` where a line is over the bound."""

    def __init__(self, most: int = LINE_BYTES_MAX) -> None:
        self._parts: list[bytes] = []
        self._held = 0
        self._most = most

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that `data` completes, without their line ends."""
        if b"\n" not in data:
            self._hold(data)
            return []
        *whole, rest = data.split(b"\n")
        whole[0] = b"".join([*self._parts, whole[0]])
        self._parts, self._held = [], 0
        self._hold(rest)
        return whole

    def _hold(self, data: bytes) -> None:
        if data:
            self._parts.append(data)
            self._held += len(data)
        if self._held > self._most:
            raise InvalidMessageError(f"a line of over {self._most} bytes")
