"""Packing of large byte strings in JSON: zlib compression and base 85 encoding.

A configuration of 1,400 routes has 370 kB and is packed into 35 kB. It is sent to every replica and every
gateway, and stored on each replica's disk.
"""

from __future__ import annotations

import base64
import zlib

from brambleusher.wire.errors import InvalidMessageError

UNPACKED_BYTES_MAX = 16 * 1024 * 1024
COMPRESSION_LEVEL = 6


def pack(data: bytes) -> str:
    """Compress bytes and encode them as a string."""
    return base64.b85encode(zlib.compress(data, COMPRESSION_LEVEL)).decode()


def unpack(text: str) -> bytes:
    """Return the bytes that were packed into a string.

    Raises:
        InvalidMessageError: The string was not packed by `pack`, is truncated, or unpacks to too many bytes.
    """
    try:
        decompressor = zlib.decompressobj()
        data = decompressor.decompress(base64.b85decode(text), UNPACKED_BYTES_MAX)
    except (ValueError, zlib.error) as error:
        raise InvalidMessageError(f"a packed string is invalid: {error}") from error
    if decompressor.unconsumed_tail or not decompressor.eof:
        raise InvalidMessageError(f"a packed string is truncated or has over {UNPACKED_BYTES_MAX} bytes")
    return data
