"""Ready hosts in one proxy's order of preference, updated incrementally.

Each host has a seeded random rank; the subset that a proxy uses are the hosts with the lowest ranks, a part
of them local. Sorting all hosts after each change would be proportional to their number; here a change costs
a binary search and a move within a list (`bisect`). Hosts of equal rank are sorted by name, so that the order
depends on nothing but the hosts.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left
from collections import Counter
from collections.abc import Collection, Iterator
from typing import Generic, NamedTuple, Protocol, TypeVar

REBUILD_DIVISOR = 8  # if more than one host in this many has changed, sorting all of them is cheaper


class Ranked(Protocol):
    """Host attributes required for ranking."""

    rank: float
    name: str
    zone: str
    is_local: bool
    is_ready: bool


H = TypeVar("H", bound=Ranked)


class _Slot(NamedTuple, Generic[H]):
    """Position of a host in its list, or where it would be inserted."""

    hosts: list[H]
    position: int
    is_occupied: bool


def _key(host: Ranked) -> tuple[float, str]:
    return host.rank, host.name


class HostRanking(Generic[H]):
    """Ready hosts sorted by rank: those of the own zone, and the others."""

    __slots__ = ("local", "ready_per_zone", "remote")

    def __init__(self) -> None:
        self.local: list[H] = []
        self.remote: list[H] = []
        self.ready_per_zone: Counter[str] = Counter()  # ready hosts by zone, without zones that have none

    def __len__(self) -> int:
        """Return the number of ready hosts."""
        return len(self.local) + len(self.remote)

    def __iter__(self) -> Iterator[H]:
        """Yield all ready hosts by rank, merging the two lists lazily."""
        return heapq.merge(self.local, self.remote, key=_key)

    def rebuild(self, hosts: Collection[H]) -> None:
        """Rebuild the order from the ready ones of `hosts`."""
        self.local = sorted((host for host in hosts if host.is_ready and host.is_local), key=_key)
        self.remote = sorted((host for host in hosts if host.is_ready and not host.is_local), key=_key)
        self.ready_per_zone = Counter(host.zone for host in hosts if host.is_ready)

    def update(self, hosts: Collection[H], changed: Collection[H]) -> None:
        """Update the order after the readiness of `changed` hosts; their ranks and zones must be unchanged.

        `hosts` are all hosts, from which the order is rebuilt if many have changed.
        """
        if len(changed) * REBUILD_DIVISOR > len(hosts):
            self.rebuild(hosts)
            return
        for host in changed:
            if host.is_ready:
                self._insert(host)
            else:
                self.discard(host)

    def _insert(self, host: H) -> None:
        slot = self._locate(host)
        if not slot.is_occupied:
            slot.hosts.insert(slot.position, host)
            self.ready_per_zone[host.zone] += 1

    def discard(self, host: H) -> None:
        """Remove a host that is no longer ready, if it is present."""
        slot = self._locate(host)
        if slot.is_occupied:
            del slot.hosts[slot.position]
            self.ready_per_zone[host.zone] -= 1
            if not self.ready_per_zone[host.zone]:
                del self.ready_per_zone[host.zone]  # keep the result equal to that of a rebuild

    def _locate(self, host: H) -> _Slot[H]:
        hosts = self.local if host.is_local else self.remote
        index = bisect_left(hosts, _key(host), key=_key)
        return _Slot(hosts, index, index < len(hosts) and hosts[index] is host)

    def subset(self, size: int) -> tuple[list[H], list[H]]:
        """Return up to `size` hosts, half of them local; each half makes up for a shortage in the other."""
        local = self.local[: max(size // 2, size - len(self.remote))]
        return local, self.remote[: max(size - len(local), 0)]
