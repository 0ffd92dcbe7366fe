"""Assembles the lines of a watch into JSON texts of one line, or of several lines if indented."""

from __future__ import annotations

import orjson

MAX_PARSE_ATTEMPTS = 64  # possible ends of a text that are tried, to bound the work for a text without an end


class TextAssembler:
    """Joins lines into JSON texts, and passes on lines that can't be JSON for the parser to reject."""

    def __init__(self) -> None:
        self._pending_lines: list[bytes] = []
        self._parse_attempts = 0

    @property
    def incomplete(self) -> bool:
        """Whether part of a text has arrived but its end has not."""
        return bool(self._pending_lines)

    @property
    def size(self) -> int:
        """The number of bytes of the incomplete text."""
        return sum(map(len, self._pending_lines))

    def add(self, line: bytes) -> list[bytes]:
        """Add a line and return the texts that it completes; an empty text is a heartbeat."""
        stripped = line.strip()
        if not self._pending_lines:
            if stripped.startswith(b"{") and not stripped.endswith(b"}"):
                self._pending_lines.append(line)
                return []
            return [stripped]
        if not stripped:  # JSON texts contain no empty line, so the pending text was truncated
            return [self.take_pending(), stripped]
        self._pending_lines.append(line)
        if not stripped.endswith(b"}"):
            return []
        self._parse_attempts += 1
        if self._parse_attempts < MAX_PARSE_ATTEMPTS and not self._is_complete():
            return []
        return [self.take_pending()]

    def take_pending(self) -> bytes:
        """Return the pending text, complete or not, and clear it."""
        text = b"\n".join(self._pending_lines)
        self._pending_lines.clear()
        self._parse_attempts = 0
        return text

    def _is_complete(self) -> bool:
        try:
            orjson.loads(b"\n".join(self._pending_lines))
        except ValueError:
            return False
        return True
