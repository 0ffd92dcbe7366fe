"""The ready hosts in one proxy's order of preference, kept in order while hosts come and go.

Each host has a rank, a seeded number; the subset that a proxy uses is the first so many by rank, part of
them local.  Sorting all hosts for each change costs their number; here a change costs a search and a move
within a list (`bisect`).  Equal ranks go by name, so that the order depends on the hosts alone.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left
from collections import Counter
from collections.abc import Collection, Iterator
from typing import Generic, NamedTuple, Protocol, TypeVar

REBUILD_DIVISOR = 8  # with more than one in so many hosts changed at once, sorting anew is cheaper


class Ranked(Protocol):
    """What ranking needs of a host."""

    rank: float
    name: str
    zone: str
    is_local: bool
    is_ready: bool


H = TypeVar("H", bound=Ranked)


class _Slot(NamedTuple, Generic[H]):
    """Where a host stands, or would stand, in its list."""

    hosts: list[H]
    position: int
    is_occupied: bool


def _key(host: Ranked) -> tuple[float, str]:
    return host.rank, host.name


class HostRanking(Generic[H]):
    """The ready hosts by rank: those of the own zone, and the others."""

    __slots__ = ("local", "ready_per_zone", "remote")

    def __init__(self) -> None:
        self.local: list[H] = []
        self.remote: list[H] = []
        self.ready_per_zone: Counter[str] = Counter()  # without zones that have none

    def __len__(self) -> int:
        """Return how many are ready."""
        return len(self.local) + len(self.remote)

    def __iter__(self) -> Iterator[H]:
        """Yield all by rank, merged as far as they are asked for."""
        return heapq.merge(self.local, self.remote, key=_key)

    def rebuild(self, hosts: Collection[H]) -> None:
        """Begin anew with those of `hosts` that are ready."""
        self.local = sorted((host for host in hosts if host.is_ready and host.is_local), key=_key)
        self.remote = sorted((host for host in hosts if host.is_ready and not host.is_local), key=_key)
        self.ready_per_zone = Counter(host.zone for host in hosts if host.is_ready)

    def update(self, hosts: Collection[H], changed: Collection[H]) -> None:
        """Take in that `changed` became ready or ceased to be; ranks and zones are those they had.

        `hosts` are all there are, from which the order is made anew where much has changed.
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
        """Remove a host that is not ready any more, or gone; nothing happens where it was not there."""
        slot = self._locate(host)
        if slot.is_occupied:
            del slot.hosts[slot.position]
            self.ready_per_zone[host.zone] -= 1
            if not self.ready_per_zone[host.zone]:
                del self.ready_per_zone[host.zone]  # as it would be if they were sorted anew

    def _locate(self, host: H) -> _Slot[H]:
        hosts = self.local if host.is_local else self.remote
        index = bisect_left(hosts, _key(host), key=_key)
        return _Slot(hosts, index, index < len(hosts) and hosts[index] is host)

    def subset(self, size: int) -> tuple[list[H], list[H]]:
        """Return the subset of `size`: local and remote hosts, half each; what one lacks the other adds."""
        local = self.local[: max(size // 2, size - len(self.remote))]
        return local, self.remote[: max(size - len(local), 0)]
