"""Subsetting: which hosts an instance uses, from its number and the list alone; three algorithms to compare.

Instances share nothing, so how evenly hosts are used follows from how each picks its own.  All three are
pure functions of the names: the same list gives the same subset, in whatever order it comes.  They return
pairs of a name and the fraction, above 0 and up to 1, that the host has in the subset.

`Balancer` draws ranks instead (`host_ranking`), which spreads as `rendezvous` does.
`docs/design/scale.md` weighs them; `benchmarks/subsets.py` has the figures.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable, Sequence
from hashlib import blake2b

Subset = list[tuple[str, float]]
HASH_BYTES = 8
_MASK = (1 << 64) - 1
# Constants that set the hashes of instances and of rounds apart.
_INSTANCE_SALT, _ROUND_SALT = 0x9E3779B97F4A7C15, 0xD1B54A32D192ED03


def hash_position(name: str) -> int:
    """Return a name's position among 64-bit numbers, the same everywhere."""
    return int.from_bytes(blake2b(name.encode(), digest_size=HASH_BYTES).digest(), "big")


def _mixed(value: int) -> int:
    """Return a number that looks random for each number.

    Source: the finalizer of splitmix64 (Steele, Lea and Flood, 2014).
    """
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9 & _MASK
    value = (value ^ (value >> 27)) * 0x94D049BB133111EB & _MASK
    return value ^ (value >> 31)


def _check(number: int, size: int) -> None:
    if number < 0 or size < 1:
        raise ValueError(f"no subset of {size} hosts for instance {number}")


class Ring:
    """The hosts of a list at the hash positions of their names; made once for each list."""

    def __init__(self, names: Iterable[str]) -> None:
        positions = {name: hash_position(name) for name in names}
        self.positions = sorted(positions.items(), key=lambda pair: (pair[1], pair[0]))
        self.names: Sequence[str] = [name for name, _ in self.positions]

    def rendezvous(self, number: int, size: int) -> Subset:
        """Return the hosts that rank highest for this instance.

        A host that comes or goes concerns only those who have it.  Hosts are used as if by chance.

        Source: Thaler and Ravishankar, rendezvous hashing (1996).
        """
        _check(number, size)
        salt = _mixed(number + _INSTANCE_SALT)
        best = heapq.nsmallest(size, ((_mixed(at ^ salt), name) for name, at in self.positions))
        return [(name, 1.0) for _, name in best]

    def rounds(self, number: int, size: int) -> Subset:
        """Return a deterministic subset: the instances of a round divide the hosts among them.

        Each round has an order of its own.  The order is by hash, so that a host which goes moves those
        behind it by one position, and no more.

        Source: Site Reliability Engineering (2016), chapter 20.
        """
        _check(number, size)
        count = max(len(self.names) // size, 1)
        round_number, index = divmod(number, count)
        salt = _mixed(round_number + _ROUND_SALT)
        order = sorted((_mixed(at ^ salt), name) for name, at in self.positions)
        return [(name, 1.0) for _, name in order[index * size : (index + 1) * size]]

    def arc(self, number: int, size: int, instances: int) -> Subset:
        """Return an arc of the ring, with fractions of the hosts at its two ends.

        Every host has the same length of the ring and every point of it is in the same number of arcs, so
        that hosts are used evenly to the last fraction, whatever the numbers of both.  It takes numbers from
        0 without a gap: `instances` is how many there are.

        Source: the deterministic aperture of Finagle.
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
        for index in range(begin // instances, -(-end // instances)):
            length = min(end, (index + 1) * instances) - max(begin, index * instances)
            subset.append((self.names[index % count], length / instances))
        if len(subset) > count:  # all round: the two ends are fractions of one host
            (name, first), (_, last) = subset[0], subset.pop()
            subset[0] = name, first + last
        return subset


def size_for(instances: int, hosts: int, least: int) -> int:
    """Return the least size at which each host is used by somebody: 2,000 used evenly by 3 take 667 each."""
    return min(max(least, math.ceil(hosts / max(instances, 1))), hosts)
