"""Tests of event streams: only complete events are forwarded, each exactly once."""

from __future__ import annotations

import pytest

from brambleusher.dataplane.errors import EventTooLongError
from brambleusher.dataplane.event_stream import EventSplitter

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
