"""Assembles the lines of a watch into JSON texts of one line, or of several lines if indented."""

from __future__ import annotations

import orjson

TRIES = 64  # possible ends of a text that are tried, to bound the work for a text without an end


class TextAssembler:
    """Joins lines into JSON texts, and passes on lines that can't be JSON for the parser to reject."""

    def __init__(self) -> None:
        self._held: list[bytes] = []
        self._tries = 0

    @property
    def incomplete(self) -> bool:
        """Whether part of a text has arrived but its end has not."""
        return bool(self._held)

    @property
    def size(self) -> int:
        """The number of bytes of the incomplete text."""
        return sum(map(len, self._held))

    def add(self, line: bytes) -> list[bytes]:
        """Add a line and return the texts that it completes; an empty text is a heartbeat."""
        bare = line.strip()
        if not self._held:
            if bare.startswith(b"{") and not bare.endswith(b"}"):
                self._held.append(line)
                return []
            return [bare]
        if not bare:  # JSON texts contain no empty line, so the pending text was truncated
            return [self.give_up(), bare]
        self._held.append(line)
        if not bare.endswith(b"}"):
            return []
        self._tries += 1
        if self._tries < TRIES and not self._whole():
            return []
        return [self.give_up()]

    def give_up(self) -> bytes:
        """Return the pending text, complete or not, and clear it."""
        text = b"\n".join(self._held)
        self._held.clear()
        self._tries = 0
        return text

    def _whole(self) -> bool:
        try:
            orjson.loads(b"\n".join(self._held))
        except ValueError:
            return False
        return True
