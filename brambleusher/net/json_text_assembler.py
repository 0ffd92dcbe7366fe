"""Cuts a watch's lines into JSON texts: one a line, or one over several lines where it comes indented."""

from __future__ import annotations

import orjson

TRIES = 64  # ends of a text that are looked at: bounds the work that a text without an end makes


class TextAssembler:
    """Puts lines together; what can't be a text is passed on as it is, for the reader to reject."""

    def __init__(self) -> None:
        self._held: list[bytes] = []
        self._tries = 0

    @property
    def incomplete(self) -> bool:
        """Whether part of a text has come and its end has not."""
        return bool(self._held)

    @property
    def size(self) -> int:
        """Bytes held."""
        return sum(map(len, self._held))

    def add(self, line: bytes) -> list[bytes]:
        """Add a line; returns the texts that are complete with it, of which an empty one is a heartbeat."""
        bare = line.strip()
        if not self._held:
            if bare.startswith(b"{") and not bare.endswith(b"}"):
                self._held.append(line)
                return []
            return [bare]
        if not bare:  # no text holds an empty line: what is held was cut off
            return [self.give_up(), bare]
        self._held.append(line)
        if not bare.endswith(b"}"):
            return []
        self._tries += 1
        if self._tries < TRIES and not self._whole():
            return []
        return [self.give_up()]

    def give_up(self) -> bytes:
        """Take what is held, complete or not."""
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
