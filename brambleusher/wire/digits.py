"""Numbers in header fields, which a peer may have made arbitrarily long."""

from __future__ import annotations

DIGITS_MAX = 20  # of an unsigned 64-bit number


def parse_digits(text: str | bytes) -> int | None:
    """Return the value of a text of ASCII digits; None for any other text and for too many digits."""
    if text.isdigit() and text.isascii() and len(text) <= DIGITS_MAX:
        return int(text)
    return None
