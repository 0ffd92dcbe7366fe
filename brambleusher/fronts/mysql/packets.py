"""Packet framing of the MySQL protocol and the primitive types within messages.

A message of 16 MB - 1 byte or more is split into several packets; if its length is a multiple of that size,
the last packet is empty.  Sequence numbers count the packets of one exchange, modulo 256.
"""

from __future__ import annotations

import struct

from brambleusher.fronts.mysql.constants import MAX_PAYLOAD, Errno, sqlstate

HEADER_BYTES = 4


class ProtocolError(Exception):
    """Received bytes violate the protocol; `errno` and `state` are reported to the sender."""

    def __init__(self, text: str, errno: int = Errno.MALFORMED_PACKET, state: str | None = None) -> None:
        super().__init__(text)
        self.errno, self.state = int(errno), state or sqlstate(errno)


def frame(payload: bytes, seq: int) -> bytes:
    """Split a message into packets, the first of which has sequence number `seq`."""
    size = len(payload)
    if size < MAX_PAYLOAD:
        return struct.pack("<I", size | (seq & 0xFF) << 24) + payload
    out = []
    for at in range(0, size + 1, MAX_PAYLOAD):
        chunk = payload[at : at + MAX_PAYLOAD]
        out.append(struct.pack("<I", len(chunk) | (seq & 0xFF) << 24))
        out.append(chunk)
        seq += 1
    return b"".join(out)


def packet_count(size: int) -> int:
    """Return the number of packets for a message of `size` bytes."""
    return size // MAX_PAYLOAD + 1


class PacketReader:
    """Reassembles messages from a byte stream; raises `ProtocolError` for a wrong sequence number or size."""

    __slots__ = ("_buffer", "_chunks", "_size", "max_size", "seq")

    def __init__(self, max_size: int, seq: int = 0) -> None:
        self.max_size = max_size  # maximum message size in bytes
        self.seq = seq  # expected sequence number of the next packet
        self._buffer = bytearray()
        self._chunks: list[bytes] = []
        self._size = 0

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer += data

    def set_sequence(self, seq: int = 0) -> None:
        """Set the sequence number of the next packet, which is 0 for a new exchange."""
        self.seq = seq

    @property
    def buffered(self) -> int:
        """Number of buffered bytes that belong to no message returned so far."""
        return len(self._buffer) + self._size

    @property
    def has_partial_message(self) -> bool:
        """Whether a part of a message is buffered."""
        return bool(self._buffer or self._chunks)

    @property
    def response_seq(self) -> int:
        """Sequence number of a response to the bytes received so far, even if a message is incomplete."""
        return self.seq + bool(self._buffer)

    def take_leftover(self) -> bytes:
        """Remove and return the buffered bytes, for another reader of the stream."""
        out = bytes(self._buffer)
        self._buffer.clear()
        return out

    def take(self) -> bytes | None:
        """Return the next complete message, or None if it has not arrived yet."""
        while len(self._buffer) >= HEADER_BYTES:
            (header,) = struct.unpack_from("<I", self._buffer)
            size, seq = header & MAX_PAYLOAD, header >> 24
            if seq != self.seq & 0xFF:
                raise ProtocolError(
                    f"packet numbered {seq} where {self.seq & 0xFF} is due", Errno.NET_PACKETS_OUT_OF_ORDER
                )
            if self._size + size > self.max_size:
                # A message is rejected by its declared size, before memory is used for its bytes.
                raise ProtocolError(
                    f"a message of more than {self.max_size} bytes", Errno.NET_PACKET_TOO_LARGE
                )
            if len(self._buffer) < HEADER_BYTES + size:
                return None
            payload = bytes(self._buffer[HEADER_BYTES : HEADER_BYTES + size])
            del self._buffer[: HEADER_BYTES + size]
            self.seq += 1
            if size == MAX_PAYLOAD:
                self._chunks.append(payload)
                self._size += size
                continue
            if self._chunks:
                payload = b"".join([*self._chunks, payload])
                self._chunks, self._size = [], 0
            return payload
        return None


class FieldReader:
    """Reads the fields of one message in order; raises `ProtocolError` for a field beyond its end."""

    __slots__ = ("at", "data")

    def __init__(self, data: bytes, at: int = 0) -> None:
        self.data, self.at = data, at

    @property
    def remaining(self) -> int:
        """Number of bytes not read yet."""
        return len(self.data) - self.at

    def take(self, size: int) -> bytes:
        """Read `size` bytes."""
        if size < 0 or size > self.remaining:
            raise ProtocolError(f"a field of {size} bytes where {self.remaining} are left")
        self.at += size
        return self.data[self.at - size : self.at]

    def integer(self, size: int) -> int:
        """Read a little-endian unsigned integer of `size` bytes."""
        return int.from_bytes(self.take(size), "little")

    def lenenc_integer(self) -> int:
        """Read a length-encoded integer."""
        first = self.integer(1)
        if first < 0xFB:
            return first
        if first == 0xFC:
            return self.integer(2)
        if first == 0xFD:
            return self.integer(3)
        if first == 0xFE:
            return self.integer(8)
        raise ProtocolError(f"{first:#x} begins no length")

    def lenenc_string(self) -> bytes:
        """Read a length-encoded string."""
        return self.take(self.lenenc_integer())

    def null_terminated_string(self) -> bytes:
        """Read a string up to a zero byte, and skip that byte."""
        end = self.data.find(b"\0", self.at)
        if end < 0:
            raise ProtocolError("a text without its zero byte")
        out = self.data[self.at : end]
        self.at = end + 1
        return out

    def take_remaining(self) -> bytes:
        """Read all remaining bytes."""
        out = self.data[self.at :]
        self.at = len(self.data)
        return out


def encode_lenenc_integer(value: int) -> bytes:
    """Encode an integer as a length-encoded integer."""
    if value < 0xFB:
        return bytes((value,))
    if value < 1 << 16:
        return b"\xfc" + value.to_bytes(2, "little")
    if value < 1 << 24:
        return b"\xfd" + value.to_bytes(3, "little")
    return b"\xfe" + value.to_bytes(8, "little")


def encode_lenenc_string(value: bytes) -> bytes:
    """Encode bytes as a length-encoded string."""
    return encode_lenenc_integer(len(value)) + value
