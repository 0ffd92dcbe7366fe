"""Subsetting: three algorithms that choose the hosts an instance uses from its number and the list.

Instances share no state, so how evenly hosts are used depends only on how each instance chooses. All three
algorithms are pure functions of the names: the same list gives the same subset, in any order. They return
pairs of a name and the fraction, above 0 and at most 1, of the host that belongs to the subset.

`Balancer` uses random ranks instead (`host_ranking`), which distribute as evenly as `rendezvous`.
`docs/design/scale.md` compares the algorithms; `benchmarks/subsets.py` measures them.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable, Sequence
from hashlib import blake2b

Subset = list[tuple[str, float]]
HASH_BYTES = 8
_MASK = (1 << 64) - 1
# Constants that make the hashes of instances and of rounds independent.
_INSTANCE_SALT, _ROUND_SALT = 0x9E3779B97F4A7C15, 0xD1B54A32D192ED03


def hash_position(name: str) -> int:
    """Return the 64-bit hash of a name, which is the same in every process."""
    return int.from_bytes(blake2b(name.encode(), digest_size=HASH_BYTES).digest(), "big")


def _mix_bits(value: int) -> int:
    """Return a pseudo-random 64-bit hash of a number.

    Source: the finalizer of splitmix64 (Steele, Lea and Flood, 2014).
    """
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9 & _MASK
    value = (value ^ (value >> 27)) * 0x94D049BB133111EB & _MASK
    return value ^ (value >> 31)


def _check(number: int, size: int) -> None:
    if number < 0 or size < 1:
        raise ValueError(f"invalid subset of {size} hosts for instance number {number}")


class Ring:
    """The hosts of a list sorted by the hashes of their names; created once per list."""

    def __init__(self, names: Iterable[str]) -> None:
        positions = {name: hash_position(name) for name in names}
        self.positions = sorted(positions.items(), key=lambda pair: (pair[1], pair[0]))
        self.names: Sequence[str] = [name for name, _ in self.positions]

    def rendezvous(self, number: int, size: int) -> Subset:
        """Return the hosts with the lowest hashes for this instance.

        Adding or removing a host affects only the instances that use it. The number of instances per host
        varies as in a random choice.

        Source: Thaler and Ravishankar, rendezvous hashing (1996).
        """
        _check(number, size)
        salt = _mix_bits(number + _INSTANCE_SALT)
        best = heapq.nsmallest(size, ((_mix_bits(at ^ salt), name) for name, at in self.positions))
        return [(name, 1.0) for _, name in best]

    def rounds(self, number: int, size: int) -> Subset:
        """Return a deterministic subset: the instances of a round divide the hosts among them.

        Each round sorts the hosts by a different hash, so that a removed host moves only the hosts after it,
        by one position.

        Source: Site Reliability Engineering (2016), chapter 20.
        """
        _check(number, size)
        count = max(len(self.names) // size, 1)
        round_number, index = divmod(number, count)
        salt = _mix_bits(round_number + _ROUND_SALT)
        ranked = sorted((_mix_bits(at ^ salt), name) for name, at in self.positions)
        return [(name, 1.0) for _, name in ranked[index * size : (index + 1) * size]]

    def arc(self, number: int, size: int, instances: int) -> Subset:
        """Return an arc of the ring, which may contain only fractions of the two hosts at its ends.

        Each host covers the same length of the ring and each point is in the same number of arcs, so hosts
        are used evenly for any numbers of hosts and instances. Instances must be numbered contiguously from 0
        to `instances` - 1.

        Source: the deterministic aperture of Finagle.
        """
        _check(number, size)
        if number >= instances:
            raise ValueError(f"instance number {number} is out of range; number of instances: {instances}")
        count = len(self.names)
        if not count:
            return []
        arcs = min(math.ceil(size * instances / count), instances)  # number of arcs that contain each point
        # Positions are in units of 1 / (instances * count) of the ring, so that all ends are integers.
        begin, end = number * count, (number + arcs) * count
        subset = []
        for index in range(begin // instances, -(-end // instances)):
            length = min(end, (index + 1) * instances) - max(begin, index * instances)
            subset.append((self.names[index % count], length / instances))
        if len(subset) > count:  # the arc covers the whole ring, and its two ends are fractions of one host
            (name, first), (_, last) = subset[0], subset.pop()
            subset[0] = name, first + last
        return subset


def size_for(instances: int, hosts: int, min_size: int) -> int:
    """Return the smallest subset size, at least `min_size`, with which every host is used by an instance.

    For example, 2,000 hosts used evenly by 3 instances need subsets of 667 hosts.
    """
    return min(max(min_size, math.ceil(hosts / max(instances, 1))), hosts)
