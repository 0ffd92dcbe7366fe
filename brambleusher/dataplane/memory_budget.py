"""Memory that all connections of a process reserve from together, such as for the bodies of requests."""

from __future__ import annotations


class MemoryBudget:
    """Counts reserved bytes and enforces a limit on their sum."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0

    def reserve(self, size_bytes: int) -> bool:
        """Reserve memory; return False and reserve nothing if the limit would be exceeded."""
        if self.reserved_bytes + size_bytes > self.limit_bytes:
            return False
        self.reserved_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Release reserved memory."""
        self.reserved_bytes -= size_bytes
