"""Capacity where hosts report how busy they are and not how much they do: the list's sizes in its place.

Weights need no more than what hosts can do beside each other, which their sizes tell.  Admission needs
requests a second: those asked of this proxy, as often as there are proxies, over what hosts report to be in
use.  Asked, not served: a limit that is too low would see itself confirmed.
A proxy with more traffic than the mean takes hosts for larger by as much, and its even part of the fleet
for smaller: of the two together, all that is used, the error goes out.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.hosts import Host

COMPARABLE = frozenset({"nominal", "rough"})  # sizes as registered; `live` ones are spare, and move
USE = frozenset({"utilization", "util"})
THROUGHPUT = frozenset({"throughput", "qps"})


def uses_sizes(settings: api.Settings) -> bool:
    """Whether sizes stand in for what this deployment's hosts do not report."""
    told = set(settings.report_fields)
    return bool(told & USE) and not told & THROUGHPUT


def size_of(settings: api.Settings, entry: api.HostEntry) -> float:
    """How much a host of the list can do beside others; 1 where the list does not tell."""
    told = settings.weight_source in COMPARABLE and math.isfinite(entry.weight) and entry.weight > 0
    return entry.weight if told else 1.0


def size_in_use(hosts: Sequence[Host], ready: int) -> float:
    """The sizes that all `ready` hosts have in use, as far as those of this proxy report it."""
    told = [host.throughput for host in hosts if host.util_ns >= 0]
    return sum(told) / len(told) * ready if told else 0.0
