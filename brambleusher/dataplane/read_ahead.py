"""What a client sends ahead of its next request, kept within the memory of all clients' bodies."""

from __future__ import annotations

import h11

from brambleusher.dataplane.body_memory import BodyMemory
from brambleusher.runtime.h11_messages import ParserBuffer

UNRESERVED_BYTES = 16 * 1024  # that each connection may keep; what is beyond is taken from the shared memory


class ReadAhead(ParserBuffer):
    """The bytes that a connection's parser keeps for the requests that follow."""

    __slots__ = ("_memory", "_reserved_bytes")

    def __init__(self, protocol: h11.Connection, memory: BodyMemory) -> None:
        super().__init__(protocol)
        self._memory = memory
        self._reserved_bytes = 0

    def reserve(self, size_bytes: int) -> bool:
        """Reserve memory for bytes that have come; False where there is none, so that they are discarded."""
        beyond_bytes = self.buffered + size_bytes - UNRESERVED_BYTES
        missing_bytes = max(0, beyond_bytes - self._reserved_bytes)
        if not self._memory.reserve(missing_bytes):
            return False
        self._reserved_bytes += missing_bytes
        return True

    def settle(self) -> None:
        """Give back the memory of what the parser has taken since."""
        if self._reserved_bytes:
            self._release_to(max(0, self.buffered - UNRESERVED_BYTES))

    def release(self) -> None:
        """Give all memory back: the connection is over."""
        self._release_to(0)

    def _release_to(self, kept_bytes: int) -> None:
        freed_bytes = max(0, self._reserved_bytes - kept_bytes)
        self._memory.release(freed_bytes)
        self._reserved_bytes -= freed_bytes
