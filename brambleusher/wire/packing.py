"""Large texts within JSON: compressed, as base 85.

A configuration of 1,400 routes has 370 kB and packs into 35; it goes to every replica, to its disk and to
every gateway.
"""

from __future__ import annotations

import base64
import zlib

from brambleusher.wire.errors import InvalidMessageError

UNPACKED_BYTES_MAX = 16 * 1024 * 1024
COMPRESSION_LEVEL = 6


def pack(data: bytes) -> str:
    """Return bytes as a short text."""
    return base64.b85encode(zlib.compress(data, COMPRESSION_LEVEL)).decode()


def unpack(text: str) -> bytes:
    """Return the bytes that were packed.

    Raises:
        InvalidMessageError: The text is no packed one, is truncated, or unpacks to too many bytes.
    """
    try:
        decompressor = zlib.decompressobj()
        data = decompressor.decompress(base64.b85decode(text), UNPACKED_BYTES_MAX)
    except (ValueError, zlib.error) as error:
        raise InvalidMessageError(f"a packed text can't be read: {error}") from error
    if decompressor.unconsumed_tail or not decompressor.eof:
        raise InvalidMessageError(f"a packed text is truncated, or has over {UNPACKED_BYTES_MAX} bytes")
    return data
