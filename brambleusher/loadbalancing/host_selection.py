"""Selects the host for an attempt: an eligible host by token round robin, else any warm host."""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.api import DeduplicationScope
from brambleusher.loadbalancing.host_table import HostTable
from brambleusher.loadbalancing.hosts import Host, Request
from brambleusher.loadbalancing.outlier_detection import OutlierDetector
from brambleusher.loadbalancing.slow_start_budget import SlowStartBudget
from brambleusher.loadbalancing.token_round_robin import TokenRoundRobin
from brambleusher.loadbalancing.traffic import TrafficStatistics

MAX_HOSTS_BEYOND_SUBSET = 1000  # bound on the hosts outside the subset that are searched for one request

Eligibility = Callable[[Host], bool]


class HostSelector:
    """Picks hosts for attempts."""

    def __init__(
        self,
        settings: api.Settings,
        host_table: HostTable,
        round_robin: TokenRoundRobin,
        slow_start: SlowStartBudget,
        outliers: OutlierDetector,
        traffic: TrafficStatistics,
    ) -> None:
        self._classes = settings.classes
        self._host_table = host_table
        self._round_robin = round_robin
        self._slow_start = slow_start
        self._outliers = outliers
        self._traffic = traffic

    def eligibility(self, request: Request, now: int) -> Eligibility:
        """Return a predicate for the hosts that a request may go to.

        The predicate excludes hosts already tried, hosts outside the scope of the request's key, and warming
        hosts without slow-start budget.
        """
        tried = [host for host, _, _ in request.attempts] if request.attempts else ()
        bound_to = request.first_run_host
        scope = None
        if bound_to is not None:
            scope = self._classes[request.class_index].deduplication_scope
        slow_start = self._slow_start

        def is_eligible(host: Host) -> bool:
            if not host.is_ready or host.ejected_until_ns > now or host in tried:
                return False
            if bound_to is not None and (
                (scope is DeduplicationScope.ZONE and host.zone != bound_to.zone)
                or (scope is DeduplicationScope.CELL and host.cell != bound_to.cell)
            ):
                return False
            return host.started_ns <= 0 or slow_start.admits(host, now)

        return is_eligible

    def pick(self, is_eligible: Eligibility, now: int) -> Host | None:
        """Return the next host in turn, preferring connected ones while connects fail; else any warm host."""
        in_flight = self._traffic.in_flight
        host = None
        if self._outliers.connect_failures > 1:  # hosts take few connections, or the network is partitioned
            host = self._round_robin.spend(
                lambda candidate: candidate.is_connected and is_eligible(candidate), in_flight
            )
        if host is None:
            host = self._round_robin.spend(is_eligible, in_flight)
        if host is not None:
            return host
        # No host in use is available, so take any warm host in this proxy's order of preference.
        for candidate in islice(self._host_table.ranking, MAX_HOSTS_BEYOND_SUBSET):
            if self._slow_start.warm_fraction(candidate, now) >= 1 and is_eligible(candidate):
                return candidate
        return None
