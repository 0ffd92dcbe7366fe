"""The hosts of the endpoint list, and the subset of them that this proxy uses."""

from __future__ import annotations

import math
import random

from brambleusher.loadbalancing import api, capacity_estimates
from brambleusher.loadbalancing.api import HostState, ListKind
from brambleusher.loadbalancing.host_ranking import HostRanking
from brambleusher.loadbalancing.hosts import NO_ATTEMPTS, Host
from brambleusher.loadbalancing.token_round_robin import TokenRoundRobin
from brambleusher.loadbalancing.traffic import TrafficStatistics

MIN_SUBSET = 4  # hosts that a proxy with little traffic uses: enough to avoid a bad one, with few connections
FREE_CONNECTIONS_FACTOR = 3  # factor on `MIN_SUBSET` where opening a connection has no price
# Hosts in use per own attempt in flight at the peak, so that the next host in turn is usually idle.
HOSTS_PER_ATTEMPT = 2.0


class HostTable:
    """Hosts by name, their order of preference, and the subset in use.

    Methods that return host names return those whose idle connections should be closed.
    """

    def __init__(
        self,
        settings: api.Settings,
        rng: random.Random,
        round_robin: TokenRoundRobin,
        traffic: TrafficStatistics,
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._class_count = len(settings.classes)
        self._round_robin = round_robin
        self._traffic = traffic
        self.hosts: dict[str, Host] = {}
        self.ranking: HostRanking[Host] = HostRanking()  # the ready hosts by rank
        self.ready_count = 0
        # Numbers of local and of remote hosts that a proxy like this one uses.
        self.subset_counts = (0, 0)
        self.closing: dict[str, Host] = {}  # draining hosts whose connections are to be closed

    @property
    def in_use(self) -> list[Host]:
        """The hosts in use, in round-robin order."""
        return self._round_robin.ring

    # --- the endpoint list -----------------------------------------------------------------------

    def apply_list(self, event: api.HostListUpdated, now: int) -> list[str]:
        """Apply an endpoint list or changes to it; the caller must call `choose_subset` afterwards."""
        if event.kind is not ListKind.DELTA:
            listed = {entry.host for entry in event.entries}
            for name in [name for name in self.hosts if name not in listed]:
                self._remove(name)
        changed: list[Host] = []
        to_close: list[str] = []
        for entry in event.entries:
            if entry.state is HostState.REMOVED:
                self._remove(entry.host)
                continue
            host = self._apply_entry(entry, changed)
            if self.begin_closing(host, now):
                to_close.append(host.name)
        self.ranking.update(self.hosts.values(), changed)
        return to_close

    def _apply_entry(self, entry: api.HostEntry, changed: list[Host]) -> Host:
        host = self.hosts.get(entry.host)
        if host is None:
            is_local = entry.zone == self._settings.zone
            host = Host(entry, is_local, 0, self._rng.random())
            self.hosts[entry.host] = host
            changed.append(host)
        elif entry.started_ns > host.started_ns:
            host.reset_history(entry.started_ns, len(host.latency_counts))
        is_ready = entry.state is HostState.READY
        if host.is_ready is not is_ready:
            host.is_ready = is_ready
            changed.append(host)
        host.is_draining = not is_ready
        host.size = capacity_estimates.size_of(self._settings, entry)
        if host.is_draining:
            host.withdraw_tokens()
            host.token_credit = 0.0
        return host

    def _remove(self, name: str) -> None:
        host = self.hosts.pop(name, None)
        if host is not None:
            host.is_ready = False
            host.withdraw_tokens()
            self.ranking.discard(host)
            self._round_robin.remove(host)

    # --- draining hosts --------------------------------------------------------------------------

    def begin_closing(self, host: Host, now: int) -> bool:
        """Return whether to close idle connections to a draining host, and continue for the release time.

        Connections are closed when the drain is announced, at each attempt outcome, and at each tick, because
        connections of abandoned attempts become idle without an outcome.
        """
        if not host.is_draining or self._settings.drain_release_ns <= 0:
            return False
        if host.in_flight is not NO_ATTEMPTS:  # a host that was never used has no connections
            self.closing[host.name] = host
        host.close_until_ns = now + self._settings.drain_release_ns
        return True

    def continue_closing(self, now: int) -> list[str]:
        """Return the draining hosts whose idle connections are to be closed at this tick."""
        to_close = list(self.closing)
        for host in list(self.closing.values()):
            if not host.is_draining or host.close_until_ns <= now:
                del self.closing[host.name]
        return to_close

    # --- the subset in use -----------------------------------------------------------------------

    def subset_size(self) -> int:
        """Return the number of hosts to use for the current traffic."""
        min_size = MIN_SUBSET
        if self._settings.connection_price <= 0:
            min_size *= FREE_CONNECTIONS_FACTOR
        return max(min_size, math.ceil(self._traffic.peak_in_flight * HOSTS_PER_ATTEMPT))

    def has_outgrown_subset(self) -> bool:
        """Return whether the subset in use is too small, or more than twice the size needed."""
        size = self.subset_size()
        used = len(self._round_robin.ring)
        return min(size, self.ready_count) > used or size * 2 < used

    def choose_subset(self) -> list[str]:
        """Choose the hosts in use: a seeded subset of the ready ones, sized by the traffic, half of it local.

        Without a subset, hundreds of small proxies would each hold a connection to every host, opened for one
        request and idle until it is dropped, and load reports would be too rare to compare hosts. The cost is
        that a proxy whose few hosts are all bad is slow to find better ones.
        """
        self.ready_count = len(self.ranking)
        local, remote = self.ranking.subset(self.subset_size())
        # A zone with too few hosts uses remote hosts instead.
        self.subset_counts = (max(len(local), len(remote)), len(remote))
        chosen = local + remote
        names = {host.name for host in chosen}
        if names == {host.name for host in self._round_robin.ring}:
            return []
        to_close = []
        for host in self._round_robin.ring:
            if host.name not in names:
                host.withdraw_tokens()
                if host.is_connected:  # an open connection has a price and uses capacity of the host
                    host.is_connected = False
                    to_close.append(host.name)
        self.set_in_use(chosen)
        return to_close

    def set_in_use(self, hosts: list[Host]) -> None:
        """Make these hosts the ones in use."""
        for host in hosts:
            host.begin_use(self._class_count)
        self._round_robin.set_hosts(hosts)

    # --- for operators ---------------------------------------------------------------------------

    def count_avoided(self, now: int) -> int:
        """Return the number of hosts that get no attempts now: draining, ejected or without weight."""
        names = {host.name for host in self._round_robin.ring}
        return sum(
            not host.is_ready or host.ejected_until_ns > now or (host.name in names and host.weight <= 0)
            for host in self.hosts.values()
        )
