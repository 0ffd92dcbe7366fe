"""Numbers in header fields, of any length and in any script."""

from __future__ import annotations

import pytest

from brambleusher.wire.digits import DIGITS_MAX, parse_digits


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (b"0", 0),
        ("007", 7),
        (b"9" * DIGITS_MAX, 10**DIGITS_MAX - 1),
        (b"9" * (DIGITS_MAX + 1), None),
        ("9" * 5000, None),
        (b"", None),
        (b"-1", None),
        (b"1.5", None),
        (b"nan", None),
        ("\u00b2", None),
        ("\u0663", None),
    ],
)
def test_only_short_texts_of_ascii_digits_are_numbers(text: str | bytes, expected: int | None) -> None:
    assert parse_digits(text) == expected
