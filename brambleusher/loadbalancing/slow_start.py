"""Slow start: what may be sent to hosts that have just started; pure sums that all proxies make alike.

A host that starts can do a fraction of what it will, and fails under a multiple of that.  The budget is
divided by the number of proxies that have the host in their subset, which each works out from the list alone.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from brambleusher.loadbalancing.hosts import Host

NS_PER_S = 1e9
MIN_REPORTED_USE = 0.5  # summed over reports: before that a host has reported too little of what it can do
REPORTED_FRACTION = 0.8  # of what its reports make of it: they are noisy, and the mix of requests varies


def warm_fraction(age_ns: int, start: float, warm_up_ns: int, reported: float = 0.0) -> float:
    """Return the least fraction of its capacity that a host can be counted on for, 1 once it is warm.

    Capacity rises evenly from `start` within `warm_up_ns`, or sooner with the work done: then reports show it
    (`reported`, what it did at full use, as a fraction of what its kind does warm).
    """
    if age_ns >= warm_up_ns:
        return 1.0
    # At least 0: guards against a wall clock behind the host's, which made weights negative.
    least = start + (1 - start) * max(age_ns, 0) / warm_up_ns
    return max(least, min(reported, 1.0) * REPORTED_FRACTION)


def reported_fraction(host: Host, usual: float | None) -> float:
    """Return the fraction of its kind's `usual` capacity that a host reports, 0 with too few reports."""
    capacity = host.capacity if usual and host.utilisation_sum >= MIN_REPORTED_USE else None
    return capacity / usual if capacity and usual else 0.0


def proxies_per_host(
    proxies: int, ready: Mapping[str, int], zone: str, near: int, away: int, share: float
) -> float:
    """Return how many of all proxies have a host of `zone` in their subset, as far as this one can tell.

    Each uses about `near` hosts of its own zone and `away` of the others', as this one does; proxies stand in
    zones as evenly as chance has it.  Guards against two errors: a host of the own zone is nobody's in most
    other zones, and of a zone that has few hosts left, or back, each is everybody's there.

    Args:
        proxies: The size of the fleet.
        ready: The number of ready hosts by zone.
        zone: That of the host.
        near: Hosts of the own zone in this proxy's subset.
        away: Hosts of other zones in it.
        share: This process's share of its proxy.
    """
    total = sum(ready.values())
    # The proxies of another zone have it as one of `total - hosts`.
    fractions = [min(away / max(total - hosts, 1), 1.0) for other, hosts in ready.items() if other != zone]
    fractions.append(min(near / max(ready.get(zone, 1), 1), 1.0))
    # `fsum` is exact: the same in whatever order zones came.
    count = proxies * math.fsum(fractions) / len(fractions)
    return max(count / share, 1.0)


def has_credit(host: Host, now: int, rate: float, overload_window_ns: int) -> bool:
    """Return whether a warming host's credit, which grows by `rate` sends a second, holds one more send.

    A credit too small for a burst lapses unused: hundreds of proxies would save up one send each and spend
    them in one moment.  The phase is seeded, so that they come up spread in time.
    """
    burst = rate * overload_window_ns / NS_PER_S / 2
    host.slow_start_credit += rate * max(now - host.slow_start_seen_ns, 0) / NS_PER_S
    host.slow_start_seen_ns = now
    if host.slow_start_credit > 1 + burst:
        host.slow_start_credit = burst if burst >= 1 else host.slow_start_credit % 1
    return host.slow_start_credit >= 1
