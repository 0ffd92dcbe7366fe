"""Buffers pipelined bytes of a client within the memory limit of all request bodies."""

from __future__ import annotations

import h11

from brambleusher.dataplane.memory_budget import MemoryBudget
from brambleusher.runtime.h11_messages import ParserBuffer

UNRESERVED_BYTES = 16 * 1024  # each connection may buffer this much outside the shared memory limit


class ReadAhead(ParserBuffer):
    """The bytes that a connection's parser buffers for the requests that follow."""

    __slots__ = ("_memory", "_reserved_bytes")

    def __init__(self, protocol: h11.Connection, memory: MemoryBudget) -> None:
        super().__init__(protocol)
        self._memory = memory
        self._reserved_bytes = 0

    def reserve(self, size_bytes: int) -> bool:
        """Reserve memory for received bytes; return False if none is left and the bytes must be discarded."""
        excess_bytes = self.buffered + size_bytes - UNRESERVED_BYTES
        missing_bytes = max(0, excess_bytes - self._reserved_bytes)
        if not self._memory.reserve(missing_bytes):
            return False
        self._reserved_bytes += missing_bytes
        return True

    def release_consumed(self) -> None:
        """Release the memory of bytes that the parser has consumed."""
        if self._reserved_bytes:
            self._release_to(max(0, self.buffered - UNRESERVED_BYTES))

    def release(self) -> None:
        """Release all reserved memory, when the connection ends."""
        self._release_to(0)

    def _release_to(self, still_reserved_bytes: int) -> None:
        freed_bytes = max(0, self._reserved_bytes - still_reserved_bytes)
        self._memory.release(freed_bytes)
        self._reserved_bytes -= freed_bytes
