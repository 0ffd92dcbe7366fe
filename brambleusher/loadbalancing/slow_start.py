"""Slow start: how many attempts may be sent to hosts that have just started; pure functions.

A starting host has a fraction of its full capacity, and fails if it gets more than a certain multiple of
that. The budget is divided by the number of proxies that have the host in their subset. All proxies compute
this number independently from the endpoint list alone.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from brambleusher.loadbalancing.hosts import Host

NS_PER_S = 1e9
MIN_REPORTED_USE = 0.5  # sum of reported utilisation below which the reports are too few to estimate capacity
# Safety factor on reported capacity, since reports are noisy and the mix of requests varies.
REPORTED_FRACTION = 0.8


def warm_fraction(age_ns: int, initial_capacity: float, warm_up_ns: int, reported: float = 0.0) -> float:
    """Return a lower bound of a host's capacity as a fraction of its full capacity, 1 once it is warm.

    The capacity rises linearly from `initial_capacity` within `warm_up_ns`. It may rise sooner with the work
    done; then load reports show it (`reported`: reported capacity as a fraction of the capacity of warm hosts
    of its kind).
    """
    if age_ns >= warm_up_ns:
        return 1.0
    # The age is bounded by 0, since a wall clock behind the host's clock has led to negative weights.
    expected = initial_capacity + (1 - initial_capacity) * max(age_ns, 0) / warm_up_ns
    return max(expected, min(reported, 1.0) * REPORTED_FRACTION)


def reported_fraction(host: Host, kind_capacity: float | None) -> float:
    """Return a host's reported capacity as a fraction of `kind_capacity`; 0 if there are too few reports."""
    capacity = host.capacity if kind_capacity and host.utilisation_sum >= MIN_REPORTED_USE else None
    return capacity / kind_capacity if capacity and kind_capacity else 0.0


def proxies_per_host(
    fleet_size: int,
    ready_per_zone: Mapping[str, int],
    zone: str,
    local_hosts: int,
    remote_hosts: int,
    process_fraction: float,
) -> float:
    """Return an estimate of how many proxies have a host of `zone` in their subset.

    Each proxy is assumed to use about `local_hosts` hosts of its own zone and `remote_hosts` hosts of
    other zones, as this one does; proxies are assumed to be spread evenly over zones. A host is used by
    few proxies of most other zones, but if a zone has few hosts left, each of them is used by all proxies
    of that zone; the estimate covers both.

    Args:
        fleet_size: Number of proxies in the fleet.
        ready_per_zone: Number of ready hosts by zone.
        zone: Zone of the host.
        local_hosts: Number of hosts of the own zone in this proxy's subset.
        remote_hosts: Number of hosts of other zones in this proxy's subset.
        process_fraction: This process's fraction of its proxy's traffic.
    """
    total = sum(ready_per_zone.values())
    # For the proxies of another zone, the host is one of `total - hosts` remote hosts.
    fractions = [
        min(remote_hosts / max(total - hosts, 1), 1.0)
        for other, hosts in ready_per_zone.items()
        if other != zone
    ]
    fractions.append(min(local_hosts / max(ready_per_zone.get(zone, 1), 1), 1.0))
    # `fsum` is exact, so that the result does not depend on the order of zones.
    count = fleet_size * math.fsum(fractions) / len(fractions)
    return max(count / process_fraction, 1.0)


def has_credit(host: Host, now: int, rate: float, overload_window_ns: int) -> bool:
    """Return whether a warming host's credit, which grows by `rate` attempts per second, allows an attempt.

    A credit that is too small for a burst expires unused; otherwise hundreds of proxies would each save up
    one attempt and spend them all at the same moment. The initial credit is seeded, which spreads the
    attempts of different proxies over time.
    """
    burst = rate * overload_window_ns / NS_PER_S / 2
    host.slow_start_credit += rate * max(now - host.slow_start_seen_ns, 0) / NS_PER_S
    host.slow_start_seen_ns = now
    if host.slow_start_credit > 1 + burst:
        host.slow_start_credit = burst if burst >= 1 else host.slow_start_credit % 1
    return host.slow_start_credit >= 1
