"""Which hosts an instance uses, from its number and the list alone: three ways, to be weighed.

Instances share nothing, so how evenly hosts are used follows from how each picks its own.  All three are
pure functions of the names: the same list gives the same subset, in whatever order it comes.  What is
returned are pairs of a name and the part, above 0 and up to 1, that the host has in the subset.

`Balancer` draws ranks instead (`host_ranking`), which spreads as `rendezvous` does.
`docs/design/scale.md` weighs them; `benchmarks/subsets.py` has the figures.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable, Sequence
from hashlib import blake2b

Subset = list[tuple[str, float]]
_MASK = (1 << 64) - 1


def hash_position(name: str) -> int:
    """A name's position among 64-bit numbers, the same everywhere."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


def _mixed(value: int) -> int:
    """The finalizer of splitmix64 (Steele, Lea and Flood, 2014): one number to one that looks drawn."""
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9 & _MASK
    value = (value ^ (value >> 27)) * 0x94D049BB133111EB & _MASK
    return value ^ (value >> 31)


def _check(number: int, size: int) -> None:
    if number < 0 or size < 1:
        raise ValueError(f"no subset of {size} hosts for instance {number}")


class Ring:
    """The hosts of a list, put where their names' places are; made once for each list."""

    def __init__(self, names: Iterable[str]) -> None:
        self.places = sorted(
            {name: hash_position(name) for name in names}.items(), key=lambda pair: (pair[1], pair[0])
        )
        self.names: Sequence[str] = [name for name, _ in self.places]

    def rendezvous(self, number: int, size: int) -> Subset:
        """The hosts that rank highest for this instance (Thaler and Ravishankar, 1996).

        A host that comes or goes concerns only those who have it.  Hosts are used as if by chance.
        """
        _check(number, size)
        salt = _mixed(number + 0x9E3779B97F4A7C15)
        best = heapq.nsmallest(size, ((_mixed(at ^ salt), name) for name, at in self.places))
        return [(name, 1.0) for _, name in best]

    def rounds(self, number: int, size: int) -> Subset:
        """Deterministic subsetting by rounds (Site Reliability Engineering, 2016, chapter 20).

        Instances in a round divide the hosts among them, in an order of that round's own.  The order is by
        hash, so that a host which goes moves those behind it by one hash_position, and no more.
        """
        _check(number, size)
        count = max(len(self.names) // size, 1)
        turn, at = divmod(number, count)
        salt = _mixed(turn + 0xD1B54A32D192ED03)
        order = sorted((_mixed(where ^ salt), name) for name, where in self.places)
        return [(name, 1.0) for _, name in order[at * size : (at + 1) * size]]

    def arc(self, number: int, size: int, instances: int) -> Subset:
        """Deterministic aperture: an arc of the ring, with parts of the hosts at its two ends.

        Every host has the same length of the ring and every point of it is in the same number of arcs, so
        that hosts are used evenly to the last part, whatever the numbers of both.  It takes numbers from 0
        without a gap: `instances` is how many there are.
        """
        _check(number, size)
        if number >= instances:
            raise ValueError(f"instance {number} is not one of {instances}")
        count = len(self.names)
        if not count:
            return []
        arcs = min(math.ceil(size * instances / count), instances)  # that meet at each point
        # In units of 1 / (instances * count) of the ring, which makes all ends whole numbers.
        begin, end = number * count, (number + arcs) * count
        subset = []
        for at in range(begin // instances, -(-end // instances)):
            part = min(end, (at + 1) * instances) - max(begin, at * instances)
            subset.append((self.names[at % count], part / instances))
        if len(subset) > count:  # all round: the two ends are parts of one host
            (name, first), (_, last) = subset[0], subset.pop()
            subset[0] = name, first + last
        return subset


def size_for(instances: int, hosts: int, least: int) -> int:
    """The least size at which every host is used by somebody: even use of 2,000 by 3 takes 667 each."""
    return min(max(least, math.ceil(hosts / max(instances, 1))), hosts)
