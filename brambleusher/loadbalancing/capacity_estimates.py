"""Capacity from listed host sizes, for hosts that report utilisation but not throughput.

Weights need only the hosts' relative capacities, which their sizes give. Admission control needs requests per
second: the requests that arrived at this proxy, times the number of proxies, divided by the sizes that hosts
report to be in use. Arrived requests are counted instead of served ones, because a limit that is too low
would otherwise confirm itself.

A proxy with more traffic than the average overestimates the hosts' capacity and underestimates its share of
the fleet by the same factor. Only the product of the two is used, in which the errors cancel.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.hosts import Host

# `HostEntry.weight` is a size here; `live` weights are changing spare capacity.
SIZE_SOURCES = frozenset({"nominal", "rough"})
UTILISATION_FIELDS = frozenset({"utilization", "util"})
THROUGHPUT_FIELDS = frozenset({"throughput", "qps"})
UNKNOWN_SIZE = 1.0


def uses_sizes(settings: api.Settings) -> bool:
    """Return whether listed sizes replace the throughput that this deployment's hosts do not report."""
    reported = set(settings.report_fields)
    return bool(reported & UTILISATION_FIELDS) and not reported & THROUGHPUT_FIELDS


def size_of(settings: api.Settings, entry: api.HostEntry) -> float:
    """Return the relative capacity of a listed host; 1 if the list does not give it."""
    is_size = settings.weight_source in SIZE_SOURCES and math.isfinite(entry.weight) and entry.weight > 0
    return entry.weight if is_size else UNKNOWN_SIZE


def size_in_use(hosts: Sequence[Host], ready: int) -> float:
    """Return the total size in use of `ready` hosts, extrapolated from the reports of `hosts`."""
    reported = [host.throughput for host in hosts if host.reported_ns >= 0]
    return sum(reported) / len(reported) * ready if reported else 0.0
