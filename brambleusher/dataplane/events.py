"""Whole events of a stream (`text/event-stream`), as they come and as they may be passed on."""

from __future__ import annotations

EVENT_BYTES_MAX = 1024 * 1024


class EventTooLong(Exception):
    """A stream has an event beyond the bound."""


class EventSplitter:
    """Bytes in, whole events out; what is no whole event stays, and is dropped with a broken stream."""

    def __init__(self, after: int | None = None) -> None:
        self._rest = b""
        self._after = after  # events up to this id were passed on before
        self.last_id = after

    def feed(self, data: bytes) -> bytes:
        """The events that `data` completes, joined, without those that were passed on before."""
        buffer = self._rest + data
        end = max(buffer.rfind(b"\n\n"), buffer.rfind(b"\r\n\r\n") + 2 if b"\r\n\r\n" in buffer else -1)
        if end < 0:
            if len(buffer) > EVENT_BYTES_MAX:
                raise EventTooLong
            self._rest = buffer
            return b""
        whole, self._rest = buffer[: end + 2], buffer[end + 2 :]
        return self._passed(whole)

    @property
    def partial(self) -> bool:
        """Whether part of an event is held."""
        return bool(self._rest)

    def _passed(self, whole: bytes) -> bytes:
        kept: list[bytes] = []
        for event in _events(whole):
            number = event_id(event)
            if number is not None:
                if self._after is not None and number <= self._after:
                    continue
                self.last_id = number
            kept.append(event)
        return b"".join(kept)


def _events(whole: bytes) -> list[bytes]:
    events, begin = [], 0
    while begin < len(whole):
        plain, crlf = whole.find(b"\n\n", begin), whole.find(b"\r\n\r\n", begin)
        end = plain + 2 if crlf < 0 or 0 <= plain < crlf else crlf + 4
        events.append(whole[begin:end])
        begin = end
    return events


def event_id(event: bytes) -> int | None:
    """The id of an event, where it has one."""
    for line in event.splitlines():
        if line.startswith(b"id:"):
            number = line[3:].strip()
            return int(number) if number.isdigit() else None
    return None
