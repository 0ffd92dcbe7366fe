"""Measure how evenly independent instances use the hosts, and how subsets change when a host leaves.

For each method of `subsetting`: the least and the largest use of a host relative to the mean, if each
instance spreads one unit over its subset; and the mean number of hosts that an instance has to add when one
host leaves and when one instance joins.  "drawn" is the method of the current balancer.

    python -m benchmarks.subsets [--quick]

Exits with 1 if the use of a host by `arc` deviates from the mean by more than 10%.
"""

from __future__ import annotations

import argparse
import random
import sys
from collections.abc import Callable

from brambleusher.loadbalancing.api import HostEntry, HostState
from brambleusher.loadbalancing.host_ranking import HostRanking
from brambleusher.loadbalancing.hosts import Host
from brambleusher.loadbalancing.subsetting import Ring, Subset, size_for

LEAST = 12
INSTANCES, HOSTS = (3, 10, 100, 1000, 5000), (14, 200, 2000)
SAMPLE = 200  # number of instances sampled for subset changes
Way = Callable[[Ring, int, int, int], Subset]
WAYS: dict[str, Way] = {
    "drawn": lambda ring, number, size, _: drawn(ring, number, size),
    "rendezvous": lambda ring, number, size, _: ring.rendezvous(number, size),
    "rounds": lambda ring, number, size, _: ring.rounds(number, size),
    "arc": lambda ring, number, size, count: ring.arc(number, size, count),
}


def drawn(ring: Ring, number: int, size: int) -> Subset:
    """Pick a subset as the balancer does, by ranks drawn from the instance's seed in list order."""
    rng = random.Random(number)
    # Ranks are also drawn for missing hosts, so that a host keeps its rank while others leave.
    rank = {f"node-{at:04d}": rng.random() for at in range(int(max(ring.names)[5:]) + 1)}
    ranks: HostRanking[Host] = HostRanking()
    ranks.rebuild([Host(HostEntry(n, "", "", 0, HostState.READY), True, 0, rank[n]) for n in ring.names])
    return [(host.name, 1.0) for host in ranks.subset(size)[0]]


def spread(way: Way, ring: Ring, instances: int, size: int) -> tuple[float, float]:
    """Return the least and the largest use of a host, relative to the mean."""
    used = dict.fromkeys(ring.names, 0.0)
    for number in range(instances):
        subset = way(ring, number, size, instances)
        total = sum(fraction for _, fraction in subset)
        for name, fraction in subset:
            used[name] += fraction / total
    mean = instances / len(used)
    return min(used.values()) / mean, max(used.values()) / mean


def moved(way: Way, ring: Ring, instances: int, size: int) -> tuple[float, float]:
    """Return mean numbers of hosts that an instance adds when a host leaves, and when an instance joins."""
    smaller = Ring([name for name in ring.names if name != ring.names[len(ring.names) // 2]])
    numbers = range(0, instances, max(instances // SAMPLE, 1))
    left = joined = 0
    for number in numbers:
        before = {name for name, _ in way(ring, number, size, instances)}
        left += len({name for name, _ in way(smaller, number, size, instances)} - before)
        joined += len({name for name, _ in way(ring, number, size, instances + 1)} - before)
    return left / len(numbers), joined / len(numbers)


def main() -> int:
    """Print the table; returns 1 if the arcs are uneven."""
    parser = argparse.ArgumentParser(description="How evenly subsets use the hosts.")
    parser.add_argument("--quick", action="store_true", help="no more than 1,000 instances")
    args = parser.parse_args()
    uneven = False
    print(
        f"{'hosts':>6} {'instances':>9} {'size':>5}  {'way':11} {'least':>6} {'most':>6} "
        f"{'host gone':>10} {'joined':>7}"
    )
    for hosts in HOSTS:
        ring = Ring(f"node-{at:04d}" for at in range(hosts))
        for instances in INSTANCES:
            if args.quick and instances > 1000:
                continue
            size = size_for(instances, hosts, LEAST)
            for name, way in WAYS.items():
                if name == "drawn" and instances * hosts > 400_000:
                    continue  # results are like those of rendezvous hashing, and drawing is slow
                least, most = spread(way, ring, instances, size)
                left, joined = moved(way, ring, instances, size)
                print(
                    f"{hosts:6} {instances:9} {size:5}  {name:11} {least:6.2f} {most:6.2f} {left:10.3f} "
                    f"{joined:7.2f}"
                )
                uneven |= name == "arc" and (least < 0.9 or most > 1.1)
    return 1 if uneven else 0


if __name__ == "__main__":
    sys.exit(main())
