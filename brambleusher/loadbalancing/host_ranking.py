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
from typing import Generic, Protocol, TypeVar

SORT_PART = 8  # of all hosts, one in so many changed at once: sorting anew is cheaper


class Ranked(Protocol):
    """What is asked of a host."""

    rank: float
    name: str
    zone: str
    local: bool
    ready: bool


H = TypeVar("H", bound=Ranked)


def _key(host: Ranked) -> tuple[float, str]:
    return host.rank, host.name


class HostRanking(Generic[H]):
    """The ready hosts by rank: those of the own zone, and the others."""

    __slots__ = ("local", "ready_per_zone", "remote")

    def __init__(self) -> None:
        self.local: list[H] = []
        self.remote: list[H] = []
        self.ready_per_zone: Counter[str] = Counter()  # how many of each zone that has any

    def __len__(self) -> int:
        """How many are ready."""
        return len(self.local) + len(self.remote)

    def __iter__(self) -> Iterator[H]:
        """All by rank, merged as far as they are asked for."""
        return heapq.merge(self.local, self.remote, key=_key)

    def rebuild(self, hosts: Collection[H]) -> None:
        """Begin anew with those of `hosts` that are ready."""
        self.local = sorted((host for host in hosts if host.ready and host.local), key=_key)
        self.remote = sorted((host for host in hosts if host.ready and not host.local), key=_key)
        self.ready_per_zone = Counter(host.zone for host in hosts if host.ready)

    def update(self, hosts: Collection[H], changed: Collection[H]) -> None:
        """Take in that `changed` became ready or ceased to be; ranks and zones are those they had.

        `hosts` are all there are, from which the order is made anew where much has changed.
        """
        if len(changed) * SORT_PART > len(hosts):
            self.rebuild(hosts)
            return
        for host in changed:
            if host.ready:
                held, at, there = self._locate(host)
                if not there:
                    held.insert(at, host)
                    self.ready_per_zone[host.zone] += 1
            else:
                self.discard(host)

    def discard(self, host: H) -> None:
        """It is not ready any more, or gone; nothing happens where it was not there."""
        held, at, there = self._locate(host)
        if there:
            del held[at]
            self.ready_per_zone[host.zone] -= 1
            if not self.ready_per_zone[host.zone]:
                del self.ready_per_zone[host.zone]  # as it would be if they were sorted anew

    def _locate(self, host: H) -> tuple[list[H], int, bool]:
        held = self.local if host.local else self.remote
        at = bisect_left(held, _key(host), key=_key)
        return held, at, at < len(held) and held[at] is host

    def subset(self, size: int) -> tuple[list[H], list[H]]:
        """The subset of `size`, in its parts: half of it near, and what one part lacks from the other."""
        near = self.local[: max(size // 2, size - len(self.remote))]
        return near, self.remote[: max(size - len(near), 0)]
