"""Large texts within JSON: compressed, as base 85.

A configuration of 1,400 routes has 370 kB and packs into 35; it goes to every replica, to its disk and to
every gateway.
"""

from __future__ import annotations

import base64
import zlib

from brambleusher.wire.errors import InvalidMessageError

UNPACKED_BYTES_MAX = 16 * 1024 * 1024
LEVEL = 6


def pack(data: bytes) -> str:
    """Bytes as a short text."""
    return base64.b85encode(zlib.compress(data, LEVEL)).decode()


def unpack(text: str) -> bytes:
    """The bytes that were packed; raises `InvalidMessageError` for what is none, or too large."""
    try:
        inflater = zlib.decompressobj()
        data = inflater.decompress(base64.b85decode(text), UNPACKED_BYTES_MAX)
    except (ValueError, zlib.error) as error:
        raise InvalidMessageError(f"a packed text can't be read: {error}") from error
    if inflater.unconsumed_tail or not inflater.eof:
        raise InvalidMessageError("a packed text is too large, or cut short")
    return data
