"""How evenly instances that share nothing use the hosts, and what moves when one host goes.

For each way of `subsetting`: the least and the most that a host is used, of the mean, where each
instance spreads one unit over its subset; and how many hosts an instance has to take up, on average, when
one host goes, and when one instance joins.  "drawn" is what the balancer does today.

    python -m benchmarks.subsets [--quick]

Ends with 1 where a host's use by `arc` is more than 10% off the mean.
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
SAMPLE = 200  # instances that are looked at for what moves
Way = Callable[[Ring, int, int, int], Subset]
WAYS: dict[str, Way] = {
    "drawn": lambda ring, number, size, _: drawn(ring, number, size),
    "rendezvous": lambda ring, number, size, _: ring.rendezvous(number, size),
    "rounds": lambda ring, number, size, _: ring.rounds(number, size),
    "arc": lambda ring, number, size, count: ring.arc(number, size, count),
}


def drawn(ring: Ring, number: int, size: int) -> Subset:
    """As the balancer picks: by ranks drawn from the instance's seed, in the order of the list."""
    rng = random.Random(number)
    # A host keeps its rank while others go: one is drawn for those that are missing too.
    rank = {f"node-{at:04d}": rng.random() for at in range(int(max(ring.names)[5:]) + 1)}
    ranks: HostRanking[Host] = HostRanking()
    ranks.rebuild([Host(HostEntry(n, "", "", 0, HostState.READY), True, 0, rank[n]) for n in ring.names])
    return [(host.name, 1.0) for host in ranks.subset(size)[0]]


def spread(way: Way, ring: Ring, instances: int, size: int) -> tuple[float, float]:
    """Return the least and the most use of a host, of the mean."""
    used = dict.fromkeys(ring.names, 0.0)
    for number in range(instances):
        subset = way(ring, number, size, instances)
        whole = sum(part for _, part in subset)
        for name, part in subset:
            used[name] += part / whole
    mean = instances / len(used)
    return min(used.values()) / mean, max(used.values()) / mean


def moved(way: Way, ring: Ring, instances: int, size: int) -> tuple[float, float]:
    """Hosts that an instance takes up when one goes, and when an instance joins; the mean of a sample."""
    less = Ring([name for name in ring.names if name != ring.names[len(ring.names) // 2]])
    numbers = range(0, instances, max(instances // SAMPLE, 1))
    gone = joined = 0
    for number in numbers:
        before = {name for name, _ in way(ring, number, size, instances)}
        gone += len({name for name, _ in way(less, number, size, instances)} - before)
        joined += len({name for name, _ in way(ring, number, size, instances + 1)} - before)
    return gone / len(numbers), joined / len(numbers)


def main() -> int:
    """Print the table; 1 where the arcs are not even."""
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
                    continue  # as rendezvous, and slow to draw
                least, most = spread(way, ring, instances, size)
                gone, joined = moved(way, ring, instances, size)
                print(
                    f"{hosts:6} {instances:9} {size:5}  {name:11} {least:6.2f} {most:6.2f} {gone:10.3f} "
                    f"{joined:7.2f}"
                )
                uneven |= name == "arc" and (least < 0.9 or most > 1.1)
    return 1 if uneven else 0


if __name__ == "__main__":
    sys.exit(main())
