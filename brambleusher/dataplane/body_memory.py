"""The memory that request bodies of all clients may take together."""

from __future__ import annotations


class BodyMemory:
    """Accounts for the bytes of request bodies, within a limit."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0

    def reserve(self, size_bytes: int) -> bool:
        """Reserve memory; False, and nothing is reserved, where the limit would be exceeded."""
        if self.reserved_bytes + size_bytes > self.limit_bytes:
            return False
        self.reserved_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Give reserved memory back."""
        self.reserved_bytes -= size_bytes
