"""Tests of prefix affinity: the shared prefix of a prompt, and which instance caches the prefix."""

from __future__ import annotations

import pytest

from brambleusher.dataplane.prefix_affinity import rank_by_affinity, shared_prefix


@pytest.mark.parametrize(
    ("header", "expected"),
    [
        ("5c:800,91:410,e4:250", ("5c/91", 1210)),
        (" 5c:800 , e4:250", ("5c", 800)),
        ("e4:250", ("", 0)),
        ("", ("", 0)),
        ("5c:x,e4:250", ("", 0)),
        ("5c:\u00b2,e4:250", ("", 0)),
        ("5c:" + "9" * 5000 + ",e4:250", ("", 0)),
    ],
)
def test_the_shared_prefix_is_all_but_the_last_segment(header: str, expected: tuple[str, int]) -> None:
    assert shared_prefix(header) == expected


def test_affinity_stays_when_other_instances_come_and_go() -> None:
    names = [f"i{number}" for number in range(10)]
    moved = 0
    for number in range(200):
        first = rank_by_affinity(f"k{number}", names)[0]
        assert rank_by_affinity(f"k{number}", [*reversed(names)])[0] == first
        without = rank_by_affinity(f"k{number}", [name for name in names if name != "i3"])[0]
        moved += without != first
        assert without == first or first == "i3"
    assert 5 < moved < 45
