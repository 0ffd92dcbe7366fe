"""Buffers pipelined bytes of a client within the memory limit of all request bodies."""

from __future__ import annotations

import h11

from brambleusher.dataplane.memory_budget import MemoryBudget, Reservation
from brambleusher.runtime.h11_messages import ParserBuffer

UNRESERVED_BYTES = 16 * 1024  # each connection may buffer this much outside the shared memory limit


class ReadAhead(ParserBuffer):
    """The bytes that a connection's parser buffers for the requests that follow."""

    __slots__ = ("_reservation",)

    def __init__(self, protocol: h11.Connection, memory: MemoryBudget) -> None:
        super().__init__(protocol)
        self._reservation = Reservation(memory, UNRESERVED_BYTES)

    def reserve(self, size_bytes: int) -> bool:
        """Reserve memory for received bytes; return False if none is left and the bytes must be discarded."""
        return self._reservation.grow_to(self.buffered + size_bytes)

    def release_consumed(self) -> None:
        """Release the memory of bytes that the parser has consumed."""
        self._reservation.shrink_to(self.buffered)

    def release(self) -> None:
        """Release all reserved memory, when the connection ends."""
        self._reservation.release()
