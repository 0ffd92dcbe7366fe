"""Tests of event streams: only complete events are forwarded, each exactly once."""

from __future__ import annotations

import pytest

from brambleusher.dataplane.errors import EventTooLongError
from brambleusher.dataplane.event_stream import EventSplitter, event_id
from brambleusher.dataplane.memory_budget import MemoryBudget, Reservation

STREAM = b"id: 1\ndata: a\n\nid: 2\nversions: 3\ndata: b\n\nid: 3\r\ndata: c\r\n\r\nid: 4\ndata: d\n\n"


def test_events_are_complete_wherever_the_bytes_are_split() -> None:
    for at in range(len(STREAM) + 1):
        splitter = EventSplitter()
        forwarded = splitter.feed(STREAM[:at])
        assert forwarded == b"" or forwarded.endswith((b"\n\n", b"\r\n\r\n"))
        forwarded += splitter.feed(STREAM[at:])
        assert forwarded == STREAM
        assert splitter.last_id == 4
        assert not splitter.has_partial_event


def test_events_that_were_forwarded_before_are_left_out() -> None:
    splitter = EventSplitter(after_id=2)
    assert splitter.feed(STREAM) == b"id: 3\r\ndata: c\r\n\r\nid: 4\ndata: d\n\n"


def test_a_partial_event_is_known_as_such() -> None:
    splitter = EventSplitter()
    assert splitter.feed(STREAM[:-1]) == STREAM[: STREAM.index(b"id: 4")]
    assert splitter.has_partial_event
    assert splitter.last_id == 3


def test_an_event_without_an_end_is_bounded() -> None:
    splitter = EventSplitter()
    with pytest.raises(EventTooLongError):
        for _ in range(100):
            splitter.feed(b"x" * 65536)


# Guards against a gateway that spends all its time on copies of an event whose pieces are small.
def test_small_pieces_of_an_event_cost_no_more_than_its_size() -> None:
    searched: list[int] = []

    class Recording(bytearray):
        def rfind(self, *args: object) -> int:
            searched.append(len(self) - int(args[1]))  # type: ignore[call-overload]
            return super().rfind(*args)  # type: ignore[arg-type]

    splitter = EventSplitter()
    splitter._partial = Recording()
    for _ in range(1000):
        assert splitter.feed(b"data:\n") == b""
    assert max(searched) < 2 * len(b"data:\n")


def test_incomplete_events_share_the_memory_of_all_responses() -> None:
    memory = MemoryBudget(100)
    first = EventSplitter(reservation=Reservation(memory, 10))
    second = EventSplitter(reservation=Reservation(memory, 10))
    assert first.feed(b"x" * 90) == b""
    assert memory.reserved_bytes == 80
    assert second.feed(b"x" * 30) == b""
    with pytest.raises(EventTooLongError):
        second.feed(b"x")
    assert first.feed(b"\n\n") == b"x" * 90 + b"\n\n"
    assert memory.reserved_bytes == 20


@pytest.mark.parametrize(
    ("events", "number"),
    [
        (b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2),
        (b"data: id: 7\n\n", None),
        (b"id: 3\r\ndata: id: 9\r\n\r\n", 3),
        (b"id: 4\n\nid: x\n\ndata: c\n\n", 4),
        (b"", None),
    ],
)
def test_the_last_numeric_id_counts(events: bytes, number: int | None) -> None:
    assert event_id(events) == number
