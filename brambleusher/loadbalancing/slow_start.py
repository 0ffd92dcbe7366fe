"""What may be sent to hosts that have just started: pure sums that all proxies make alike.

A host that starts can do a part of what it will, and falls over under a multiple of that.  The budget is
divided by the number of proxies that have the host among theirs, which each works out from the list alone.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from brambleusher.loadbalancing.hosts import Host

SECOND = 1e9
SEEN = 0.5  # of use, summed over reports: before that a host has told too little of what it can do
TOLD_PART = 0.8  # of what its reports make of it: they are noisy, and the mix of requests varies


def warm_fraction(age_ns: int, start: float, cold_ns: int, told: float = 0.0) -> float:
    """The least part of its capacity that a host of this age can be counted on for, 1 once it is warm.

    Capacity rises evenly from `start` within `cold_ns`, or sooner with the work done: then reports tell
    (`told`, what it did at full use, as a part of what its kind does warm).
    """
    if age_ns >= cold_ns:
        return 1.0
    # At least 0: guards against a wall clock behind the host's, which made weights negative.
    least = start + (1 - start) * max(age_ns, 0) / cold_ns
    return max(least, min(told, 1.0) * TOLD_PART)


def reported_fraction(host: Host, usual: float | None) -> float:
    """The part of the `usual` capacity of its kind that a host reports, 0 while it has told too little."""
    capacity = host.capacity if usual and host.sum_util >= SEEN else None
    return capacity / usual if capacity and usual else 0.0


def proxies_per_host(
    proxies: int, ready: Mapping[str, int], zone: str, near: int, away: int, part: float
) -> float:
    """How many of all proxies have a host of `zone` among theirs, as far as this one can tell.

    Each uses about `near` hosts of its own zone and `away` of the others', as this one does; proxies stand in
    zones as evenly as chance has it.  `ready` are the ready hosts of each zone, `part` is this process's part
    of its proxy.  Guards against two errors: a host of the own zone is nobody's in most other zones, and of a
    zone that has few hosts left, or back, each is everybody's there.
    """
    total = sum(ready.values())
    # The proxies of another zone have it as one of `total - hosts`.
    parts = [min(away / max(total - hosts, 1), 1.0) for other, hosts in ready.items() if other != zone]
    parts.append(min(near / max(ready.get(zone, 1), 1), 1.0))
    count = proxies * math.fsum(parts) / len(parts)  # exact: the same in whatever order zones came
    return max(count / part, 1.0)


def has_credit(host: Host, now: int, rate: float, fall_ns: int) -> bool:
    """Whether a cold host's credit, which grows by `rate` sends a second, holds one more send.

    A credit too small for a burst lapses unused: hundreds of proxies would save up one send each and spend
    them in one moment.  The phase is seeded, so that they come up spread in time.
    """
    burst = rate * fall_ns / SECOND / 2
    host.cold_level += rate * max(now - host.cold_seen_ns, 0) / SECOND
    host.cold_seen_ns = now
    if host.cold_level > 1 + burst:
        host.cold_level = burst if burst >= 1 else host.cold_level % 1
    return host.cold_level >= 1
