"""Splits a stream of server-sent events (`text/event-stream`) into complete events to forward."""

from __future__ import annotations

from brambleusher.dataplane.errors import EventTooLongError
from brambleusher.dataplane.memory_budget import Reservation
from brambleusher.wire.digits import parse_digits

EVENT_MAX_BYTES = 1024 * 1024
LF_END, CRLF_END = b"\n\n", b"\r\n\r\n"
ID_FIELD = b"id:"
LINE_ENDS = b"\r\n"


class EventSplitter:
    """Takes bytes and returns complete events; an incomplete event stays buffered.

    When a stream breaks off, its splitter and buffer are discarded, so a client never gets half an event.
    """

    def __init__(self, after_id: int | None = None, reservation: Reservation | None = None) -> None:
        """Create a splitter.

        Args:
            after_id: Events with an id up to this one were forwarded before, and are skipped.
            reservation: Reserves memory for the incomplete event; without one only its size is limited.
        """
        self._partial = bytearray()
        self._after_id = after_id
        self._reservation = reservation
        self.last_id = after_id

    def feed(self, data: bytes) -> bytes:
        """Return the events that `data` completes, concatenated, without events forwarded before.

        Raises:
            EventTooLongError: The incomplete event exceeds `EVENT_MAX_BYTES`, or the memory of all responses.
        """
        # Bytes that were searched before are not searched again: pieces may be as small as one byte.
        search_from = max(0, len(self._partial) - len(CRLF_END) + 1)
        self._partial += data
        end = _last_event_end(self._partial, search_from)
        complete = b""
        if end > 0:
            complete = bytes(self._partial[:end])
            del self._partial[:end]
        self._reserve_partial()
        return self._new_events(complete) if complete else b""

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._partial)

    def _reserve_partial(self) -> None:
        size = len(self._partial)
        if size > EVENT_MAX_BYTES:
            raise EventTooLongError(f"an event exceeds {EVENT_MAX_BYTES} bytes: {size} buffered")
        if self._reservation is None:
            return
        self._reservation.shrink_to(size)
        if not self._reservation.grow_to(size):
            raise EventTooLongError(f"no memory is left for an event of more than {size} bytes")

    def _new_events(self, complete: bytes) -> bytes:
        if self._after_id is None:
            last_id = event_id(complete)
            self.last_id = self.last_id if last_id is None else last_id
            return complete
        new: list[bytes] = []
        for event in _split_events(complete):
            number = event_id(event)
            if number is not None:
                if number <= self._after_id:
                    continue
                self.last_id = number
            new.append(event)
        return b"".join(new)


def _last_event_end(buffer: bytearray, search_from: int) -> int:
    """Return the position after the last complete event, negative if no event is complete."""
    lf, crlf = buffer.rfind(LF_END, search_from), buffer.rfind(CRLF_END, search_from)
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


def event_id(events: bytes) -> int | None:
    """Return the last numeric id of one or more events, None if there is none."""
    at = len(events)
    while (at := events.rfind(ID_FIELD, 0, at)) >= 0:
        if at == 0 or events[at - 1] in LINE_ENDS:
            line_end = events.find(b"\n", at)
            number = parse_digits(events[at + len(ID_FIELD) : line_end].strip())
            if number is not None:
                return number
    return None
