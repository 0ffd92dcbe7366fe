"""Encoding and decoding of messages between replicas."""

from __future__ import annotations

import pytest

from brambleusher.wire import consensus_messages as wire
from brambleusher.wire.consensus_messages import EntryKind
from brambleusher.wire.errors import InvalidMessageError


def test_messages_round_trip_and_invalid_ones_are_rejected() -> None:
    message = wire.AppendEntries(3, "a", 1, 1, [wire.Entry(2, 3, EntryKind.COMMAND, {"op": "x"})], 1, 9)
    data = wire.encode_message(message)
    assert wire.decode_message(data) == message
    for key in list(data):
        broken = {name: value for name, value in data.items() if name != key}
        with pytest.raises(InvalidMessageError):
            wire.decode_message(broken)
    for key, value in (("term", "3"), ("entries", 7), ("entries", [[1, 2]]), ("kind", "else")):
        with pytest.raises(InvalidMessageError):
            wire.decode_message({**data, key: value})
