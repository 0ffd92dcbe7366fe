"""Packing of byte strings: round trips, size limits, and rejection of malformed strings."""

from __future__ import annotations

import pytest

from brambleusher.wire import packing
from brambleusher.wire.errors import InvalidMessageError
from brambleusher.wire.packing import pack, unpack
from tests.system.virtual_deployment import configuration, route


def test_packed_bytes_are_unpacked() -> None:
    for data in (b"", b"{}", bytes(range(256)) * 100):
        assert unpack(pack(data)) == data


def test_a_large_configuration_packs_into_a_tenth() -> None:
    body = configuration(3, *(route(f"/r{number * 7919 % 100003}/") for number in range(1400)))
    assert len(body) > 250_000
    assert len(pack(body)) < len(body) / 10


@pytest.mark.parametrize("text", ["", "!", "~~~~~~", pack(b"x" * 100)[:-10], " "])
def test_a_malformed_text_is_rejected(text: str) -> None:
    with pytest.raises(InvalidMessageError):
        unpack(text)


def test_a_text_that_unpacks_beyond_the_bound_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    packed = pack(b"x" * 5000)
    monkeypatch.setattr(packing, "UNPACKED_BYTES_MAX", 4000)
    with pytest.raises(InvalidMessageError):
        unpack(packed)
