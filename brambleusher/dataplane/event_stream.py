"""Splits a stream of server-sent events (`text/event-stream`) into complete events to forward."""

from __future__ import annotations

from brambleusher.dataplane.errors import EventTooLongError
from brambleusher.wire.digits import parse_digits

EVENT_MAX_BYTES = 1024 * 1024
LF_END, CRLF_END = b"\n\n", b"\r\n\r\n"
ID_FIELD = b"id:"


class EventSplitter:
    """Takes bytes and returns complete events; an incomplete event stays buffered.

    When a stream breaks off, its splitter and buffer are discarded, so a client never gets half an event.
    """

    def __init__(self, after_id: int | None = None) -> None:
        """Create a splitter that skips events with an id up to `after_id`, which were forwarded before."""
        self._buffer = b""
        self._after_id = after_id
        self.last_id = after_id

    def feed(self, data: bytes) -> bytes:
        """Return the events that `data` completes, concatenated, without events forwarded before.

        Raises:
            EventTooLongError: The buffered event exceeds `EVENT_MAX_BYTES`.
        """
        buffer = self._buffer + data
        end = _last_event_end(buffer)
        if end < 0:
            if len(buffer) > EVENT_MAX_BYTES:
                raise EventTooLongError(f"an event exceeds {EVENT_MAX_BYTES} bytes: {len(buffer)} buffered")
            self._buffer = buffer
            return b""
        complete, self._buffer = buffer[:end], buffer[end:]
        return self._new_events(complete)

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer)

    def _new_events(self, complete: bytes) -> bytes:
        new: list[bytes] = []
        for event in _split_events(complete):
            number = event_id(event)
            if number is not None:
                if self._after_id is not None and number <= self._after_id:
                    continue
                self.last_id = number
            new.append(event)
        return b"".join(new)


def _last_event_end(buffer: bytes) -> int:
    """Return the position after the last complete event, negative if no event is complete."""
    lf, crlf = buffer.rfind(LF_END), buffer.rfind(CRLF_END)
    lf_end = lf + len(LF_END) if lf >= 0 else -1
    crlf_end = crlf + len(CRLF_END) if crlf >= 0 else -1
    return max(lf_end, crlf_end)


def _split_events(complete: bytes) -> list[bytes]:
    events: list[bytes] = []
    begin = 0
    while begin < len(complete):
        lf, crlf = complete.find(LF_END, begin), complete.find(CRLF_END, begin)
        end = lf + len(LF_END) if crlf < 0 or 0 <= lf < crlf else crlf + len(CRLF_END)
        events.append(complete[begin:end])
        begin = end
    return events


def event_id(event: bytes) -> int | None:
    """Return the numeric id of an event, None if the event has no numeric id."""
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            return parse_digits(line[len(ID_FIELD) :].strip())
    return None
