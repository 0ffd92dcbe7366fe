"""Packets: bytes to whole messages and back, and the primitive types within them.

A message longer than 16 MB less one byte goes over several packets; one of exactly that length is
followed by an empty packet.  Sequence numbers count the packets of one exchange, modulo 256.
"""

from __future__ import annotations

import struct

from brambleusher.fronts.mysql.constants import MAX_PAYLOAD, Errno, sqlstate

HEADER = 4


class ProtocolError(Exception):
    """Bytes that break the protocol; `errno` and `state` are what their sender is told."""

    def __init__(self, text: str, errno: int = Errno.MALFORMED_PACKET, state: str | None = None) -> None:
        super().__init__(text)
        self.errno, self.state = int(errno), state or sqlstate(errno)


def frame(payload: bytes, seq: int) -> bytes:
    """A message as packets, the first of them numbered `seq`."""
    size = len(payload)
    if size < MAX_PAYLOAD:
        return struct.pack("<I", size | (seq & 0xFF) << 24) + payload
    out = []
    for at in range(0, size + 1, MAX_PAYLOAD):
        part = payload[at : at + MAX_PAYLOAD]
        out.append(struct.pack("<I", len(part) | (seq & 0xFF) << 24))
        out.append(part)
        seq += 1
    return b"".join(out)


def frames(size: int) -> int:
    """How many packets a message of so many bytes takes."""
    return size // MAX_PAYLOAD + 1


class PacketReader:
    """Whole messages out of a stream of bytes; raises `ProtocolError` at a wrong number or length."""

    __slots__ = ("_buffer", "_parts", "_size", "most", "seq")

    def __init__(self, most: int, seq: int = 0) -> None:
        self.most = most  # bytes a message may have
        self.seq = seq  # of the next packet
        self._buffer = bytearray()
        self._parts: list[bytes] = []
        self._size = 0

    def feed(self, data: bytes) -> None:
        """Take in bytes."""
        self._buffer += data

    def expect(self, seq: int = 0) -> None:
        """The next packet begins an exchange, or goes on with one at `seq`."""
        self.seq = seq

    @property
    def buffered(self) -> int:
        """Bytes that have come and belong to no message yet taken."""
        return len(self._buffer) + self._size

    @property
    def begun(self) -> bool:
        """Whether part of a message is here."""
        return bool(self._buffer or self._parts)

    @property
    def answer_seq(self) -> int:
        """The number that an answer has for whoever sent what is here, be it whole or not."""
        return self.seq + bool(self._buffer)

    def leftover(self) -> bytes:
        """The bytes that belong to no message yet, given up to whoever reads on from here."""
        out = bytes(self._buffer)
        self._buffer.clear()
        return out

    def take(self) -> bytes | None:
        """The next whole message, if it is here."""
        while len(self._buffer) >= HEADER:
            (word,) = struct.unpack_from("<I", self._buffer)
            size, seq = word & MAX_PAYLOAD, word >> 24
            if seq != self.seq & 0xFF:
                raise ProtocolError(
                    f"packet numbered {seq} where {self.seq & 0xFF} is due", Errno.NET_PACKETS_OUT_OF_ORDER
                )
            if self._size + size > self.most:
                # Guards against a length that claims more memory than a client may have: it is not awaited.
                raise ProtocolError(f"a message of more than {self.most} bytes", Errno.NET_PACKET_TOO_LARGE)
            if len(self._buffer) < HEADER + size:
                return None
            part = bytes(self._buffer[HEADER : HEADER + size])
            del self._buffer[: HEADER + size]
            self.seq += 1
            if size == MAX_PAYLOAD:
                self._parts.append(part)
                self._size += size
                continue
            if self._parts:
                part = b"".join([*self._parts, part])
                self._parts, self._size = [], 0
            return part
        return None


class Fields:
    """Reads the fields of one message in turn; raises `ProtocolError` where they run past its end."""

    __slots__ = ("at", "data")

    def __init__(self, data: bytes, at: int = 0) -> None:
        self.data, self.at = data, at

    @property
    def left(self) -> int:
        """Bytes not read yet."""
        return len(self.data) - self.at

    def take(self, size: int) -> bytes:
        """So many bytes."""
        if size < 0 or size > self.left:
            raise ProtocolError(f"a field of {size} bytes where {self.left} are left")
        self.at += size
        return self.data[self.at - size : self.at]

    def number(self, size: int) -> int:
        """A whole number of so many bytes, the lowest first."""
        return int.from_bytes(self.take(size), "little")

    def lenenc(self) -> int:
        """A length-encoded whole number."""
        first = self.number(1)
        if first < 0xFB:
            return first
        if first == 0xFC:
            return self.number(2)
        if first == 0xFD:
            return self.number(3)
        if first == 0xFE:
            return self.number(8)
        raise ProtocolError(f"{first:#x} begins no length")

    def text(self) -> bytes:
        """A length-encoded text."""
        return self.take(self.lenenc())

    def until_zero(self) -> bytes:
        """A text up to a zero byte, which is read too."""
        end = self.data.find(b"\0", self.at)
        if end < 0:
            raise ProtocolError("a text without its zero byte")
        out = self.data[self.at : end]
        self.at = end + 1
        return out

    def rest(self) -> bytes:
        """All that is left."""
        out = self.data[self.at :]
        self.at = len(self.data)
        return out


def lenenc(value: int) -> bytes:
    """A whole number, length-encoded."""
    if value < 0xFB:
        return bytes((value,))
    if value < 1 << 16:
        return b"\xfc" + value.to_bytes(2, "little")
    if value < 1 << 24:
        return b"\xfd" + value.to_bytes(3, "little")
    return b"\xfe" + value.to_bytes(8, "little")


def lentext(value: bytes) -> bytes:
    """A text behind its length."""
    return lenenc(len(value)) + value
