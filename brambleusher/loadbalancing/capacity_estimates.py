"""Capacity where hosts report how busy they are and not how much they do: the list's sizes in its place.

Weights need no more than what hosts can do beside each other, which their sizes tell.  Admission needs
requests a second: those that came to this proxy, times the number of proxies, over what hosts report to be in
use.  Those that came, not those served: a limit that is too low would see itself confirmed.
A proxy with more traffic than the mean estimates hosts as larger by as much, and its even share of the fleet
as smaller: in the product of the two, all that is used, the error cancels.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.hosts import Host

SIZE_SOURCES = frozenset({"nominal", "rough"})  # weights that are sizes; `live` ones are spare, and move
UTILISATION_FIELDS = frozenset({"utilization", "util"})
THROUGHPUT_FIELDS = frozenset({"throughput", "qps"})
UNKNOWN_SIZE = 1.0


def uses_sizes(settings: api.Settings) -> bool:
    """Return whether sizes stand in for what this deployment's hosts do not report."""
    reported = set(settings.report_fields)
    return bool(reported & UTILISATION_FIELDS) and not reported & THROUGHPUT_FIELDS


def size_of(settings: api.Settings, entry: api.HostEntry) -> float:
    """Return how much a listed host can do beside others; 1 where the list does not say."""
    is_size = settings.weight_source in SIZE_SOURCES and math.isfinite(entry.weight) and entry.weight > 0
    return entry.weight if is_size else UNKNOWN_SIZE


def size_in_use(hosts: Sequence[Host], ready: int) -> float:
    """Return the sizes in use of all `ready` hosts, as far as those of this proxy report it."""
    reported = [host.throughput for host in hosts if host.reported_ns >= 0]
    return sum(reported) / len(reported) * ready if reported else 0.0
