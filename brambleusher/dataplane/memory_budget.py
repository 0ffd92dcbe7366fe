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


class Reservation:
    """What one buffer reserves from a budget: its size beyond a part that each buffer has for itself."""

    __slots__ = ("_budget", "_reserved_bytes", "_unreserved_bytes")

    def __init__(self, budget: MemoryBudget, unreserved_bytes: int) -> None:
        """Reserve nothing yet; the first `unreserved_bytes` of the buffer never count."""
        self._budget, self._unreserved_bytes = budget, unreserved_bytes
        self._reserved_bytes = 0

    def grow_to(self, size_bytes: int) -> bool:
        """Reserve for a buffer of this size; return False and reserve nothing more if no memory is left."""
        missing_bytes = max(0, size_bytes - self._unreserved_bytes - self._reserved_bytes)
        if not self._budget.reserve(missing_bytes):
            return False
        self._reserved_bytes += missing_bytes
        return True

    def shrink_to(self, size_bytes: int) -> None:
        """Release what a buffer of this size does not need."""
        if self._reserved_bytes:
            excess_bytes = self._reserved_bytes - max(0, size_bytes - self._unreserved_bytes)
            freed_bytes = max(0, excess_bytes)
            self._budget.release(freed_bytes)
            self._reserved_bytes -= freed_bytes

    def release(self) -> None:
        """Release everything, when the buffer is discarded."""
        self.shrink_to(0)
