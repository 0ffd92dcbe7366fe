"""Admission of client connections: which ones to keep when sockets are scarce.

The value of a connection is how soon it is likely to bring a request, if any (`wait_statistics`). While
sockets are plentiful, all connections are kept. Otherwise the least valuable ones are closed: first those
that have just received a response, so that no request can be lost, and then waiting ones.

Pure: times are in seconds on the caller's clock, connections are any hashable objects.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import Counter
from collections.abc import Hashable, Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from brambleusher.loadbalancing.wait_statistics import AGES_S, WaitStatistics, add_wait, age_index

# Lower bounds of the classes of connections by their number of requests; connections without any request
# (unused) form a class of their own.
REQUEST_COUNT_BOUNDS = (1, 2, 4)
MAX_TENANTS = 64  # number of tenants that are distinguished; the others are treated as one tenant
OTHER_TENANTS = "other"
# Seconds for which an unused connection is kept in any case, so that its first request can arrive.
FIRST_REQUEST_S = 0.25
UPDATE_INTERVAL_S = 0.25  # seconds between two updates of the values from the waits in progress
# Room is kept for the connections expected within this many seconds; after that, others will have ended.
FORECAST_S = 0.1
PEAK_DECAY_S = 5.0
MIN_PEAK = 0.5  # number of arrivals below which the peak counts as zero
FORECAST_DEVIATIONS = 2.0  # standard deviations of a Poisson count that are added to the peak
# A connection worth at least this many requests per second is closed only if there is no other one.
PROTECTED_VALUE = 2.0
UNKNOWN_TENANT = ""


class _Owner(NamedTuple):
    """Peer and tenant of a connection; each owner is entitled to an equal number of connections."""

    peer: str
    tenant: str


class _Kind(NamedTuple):
    """Class of connections with similar waiting times."""

    tenant: str
    level: int  # index of the class by the number of requests so far


class _Group(NamedTuple):
    """Waiting connections of one owner and kind."""

    owner: _Owner
    kind: _Kind


_NO_GROUP = _Group(_Owner("", UNKNOWN_TENANT), _Kind(UNKNOWN_TENANT, 0))


class _Candidate(NamedTuple):
    """A waiting connection that may be closed."""

    value: float  # requests per second
    conn: Hashable


class ArrivalForecast:
    """Forecasts the arrivals within `FORECAST_S`: the recent peak plus a margin for random variation."""

    __slots__ = ("_at", "_peak", "_recent", "upper_bound")

    def __init__(self) -> None:
        self._recent = self._peak = self._at = 0.0
        self.upper_bound = 0  # upper bound of `expected_arrivals` at any time

    def record(self, now: float) -> None:
        """Record an arrival."""
        elapsed = max(now - self._at, 0.0)
        self._recent = self._recent * math.exp(-elapsed / FORECAST_S) + 1.0
        self._peak = max(self._recent, self._peak * math.exp(-elapsed / PEAK_DECAY_S))
        self._at = now
        self.upper_bound = self._bound(self._peak)

    def expected_arrivals(self, now: float) -> int:
        """Return the number of arrivals to keep room for."""
        peak = self._peak * math.exp(-max(now - self._at, 0.0) / PEAK_DECAY_S)
        return self._bound(peak) if peak >= MIN_PEAK else 0

    @staticmethod
    def _bound(peak: float) -> int:
        return math.ceil(peak + FORECAST_DEVIATIONS * math.sqrt(peak))


@dataclass(slots=True)
class _Connection:
    """A connection, its owner, and since when it waits (None while a request is being processed)."""

    peer: str
    tenant: str = UNKNOWN_TENANT
    requests: int = 0
    since: float | None = 0.0
    group: _Group = _NO_GROUP  # the group is only meaningful while the connection waits

    @property
    def owner(self) -> _Owner:
        return _Owner(self.peer, self.tenant)

    @property
    def kind(self) -> _Kind:
        return _Kind(self.tenant, bisect_right(REQUEST_COUNT_BOUNDS, self.requests))


class ConnectionAdmission:
    """Decides which client connections of one proxy to keep."""

    def __init__(self, max_connections: int, max_active: int | None = None) -> None:
        """Initialize without connections.

        Args:
            max_connections: Maximum number of open connections.
            max_active: Maximum number of connections kept for further requests; None for no extra limit.
        """
        self.max_connections = max_connections
        self.max_active = min(max_connections, max_active or max_connections)
        self._connections: dict[Hashable, _Connection] = {}
        self._waiting: dict[_Group, dict[Hashable, float]] = {}  # start of each wait, longest wait first
        self._statistics: dict[_Kind, WaitStatistics] = {}
        self._values: dict[_Kind, list[float]] = {}  # value in requests per second by age interval
        self._updated_at = -math.inf
        self._forecast = ArrivalForecast()  # forecast of connections that bring a first request
        self.idle_count = 0  # connections that wait after a request
        self.unused_count = 0  # connections that wait for their first request

    # --- events -----------------------------------------------------------------------------------

    def record_open(self, conn: Hashable, peer: str, now: float) -> None:
        """Record that a connection was accepted; it has not sent anything yet."""
        connection = self._connections[conn] = _Connection(peer)
        self._begin_wait(conn, connection, now)

    def record_request(self, conn: Hashable, now: float) -> None:
        """Record that a request has begun to arrive, which ends the wait."""
        connection = self._connections.get(conn)
        if connection is None or connection.since is None:
            return
        self._end_wait(conn, connection, now, has_request=True)
        if not connection.requests:
            self._forecast.record(now)
        connection.requests += 1

    def record_tenant(self, conn: Hashable, tenant: str) -> None:
        """Record the tenant of a connection's request."""
        connection = self._connections.get(conn)
        if connection is None or connection.tenant == tenant:
            return
        is_new = _Kind(tenant, 1) not in self._statistics
        if is_new and len(self._statistics) >= MAX_TENANTS * len(REQUEST_COUNT_BOUNDS):
            tenant = OTHER_TENANTS
        connection.tenant = tenant

    def record_idle(self, conn: Hashable, now: float) -> None:
        """Record that a connection has received its response and waits."""
        connection = self._connections.get(conn)
        if connection is not None and connection.since is None:
            self._begin_wait(conn, connection, now)

    def record_close(self, conn: Hashable, now: float) -> None:
        """Record that a connection has closed."""
        connection = self._connections.pop(conn, None)
        if connection is not None and connection.since is not None:
            self._end_wait(conn, connection, now, has_request=False)

    # --- queries ----------------------------------------------------------------------------------

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def idle_connections(self) -> list[Hashable]:
        """Return all connections without a request being processed."""
        return [conn for waiting in self._waiting.values() for conn in waiting]

    def may_keep_alive(self, conn: Hashable, now: float) -> bool:
        """Return whether to keep a connection that is about to receive its response."""
        connection = self._connections.get(conn)
        if connection is None or not self.is_scarce(now):
            return True
        kind, owner = connection.kind, connection.owner
        self._statistics.setdefault(kind, WaitStatistics())
        counts = self._idle_per_owner()
        if counts[owner] + 1 < self._even_share(counts, owner):
            return True
        own_value = self._current_values(now)[kind][0]
        least_valuable = self._least_valuable(now, owner)
        # Closing a connection that soon brings a request saves nothing, since its client would open a new
        # one.
        return own_value >= PROTECTED_VALUE or (
            least_valuable is not None and least_valuable.value < own_value
        )

    def surplus_connections(self, now: float) -> Iterator[Hashable]:
        """Yield waiting connections to close, least valuable first, until there is room again.

        The caller must close each connection, or call `record_request` for it, before it asks for the next
        one.
        """
        yielded: set[Hashable] = set()
        while self._shortage(now) > 0:
            least_valuable = self._least_valuable(now, None, yielded)
            if least_valuable is None or least_valuable.value >= PROTECTED_VALUE:
                return
            yielded.add(least_valuable.conn)
            yield least_valuable.conn

    def evictions_for_new(self, now: float, open_limit: int | None = None) -> Iterator[Hashable]:
        """Yield waiting connections to close for a new one until fewer than `open_limit` are open."""
        open_limit = self.max_connections if open_limit is None else open_limit
        yielded: set[Hashable] = set()
        while len(self._connections) >= open_limit:
            least_valuable = self._least_valuable(now, None, yielded, include_unused=True)
            if least_valuable is None:
                return
            yielded.add(least_valuable.conn)
            yield least_valuable.conn

    def is_scarce(self, now: float) -> bool:
        """Return whether there is no room for the expected arrivals; cheap while room is plentiful."""
        # `upper_bound` bounds the forecast without computing an exponential.
        return (
            len(self._connections) + self._forecast.upper_bound > self.max_active and self._shortage(now) > 0
        )

    def _shortage(self, now: float) -> int:
        """Return how many connections have to be closed to make room for the expected arrivals."""
        expected = len(self._connections) + self._forecast.expected_arrivals(now)
        return max(expected - self.unused_count - self.max_active, expected - self.max_connections)

    def _is_full(self, now: float) -> bool:
        return len(self._connections) + self._forecast.expected_arrivals(now) > self.max_connections

    # --- choice -----------------------------------------------------------------------------------

    def _even_share(self, counts: Counter[_Owner], new_owner: _Owner | None) -> float:
        """Return the mean number of idle connections per owner, counting one more for `new_owner`."""
        owners = len(counts) + (new_owner is not None and new_owner not in counts)
        return (self.idle_count + (new_owner is not None)) / max(owners, 1)

    def _least_valuable(
        self,
        now: float,
        new_owner: _Owner | None,
        excluded: set[Hashable] | None = None,
        include_unused: bool = False,
    ) -> _Candidate | None:
        """Return the least valuable waiting connection of the owners that have more than an even share.

        Unused connections are considered only after their first request has had time to arrive.
        """
        values = self._current_values(now)
        counts = self._idle_per_owner()
        even_share = self._even_share(counts, new_owner)
        include_unused |= self._is_full(now)
        least_valuable: _Candidate | None = None
        for group, waiting in self._waiting.items():
            owner = group.owner
            if group.kind.level and counts[owner] + (owner == new_owner) < even_share:
                continue
            if not group.kind.level and not include_unused:
                continue
            candidate = self._longest_waiting(group, waiting, values[group.kind], now, excluded or set())
            if candidate is None:
                continue
            is_tie = least_valuable is not None and candidate.value == least_valuable.value
            if (
                least_valuable is None
                or candidate.value < least_valuable.value
                or (is_tie and not group.kind.level)
            ):
                least_valuable = candidate
        return least_valuable

    @staticmethod
    def _longest_waiting(
        group: _Group,
        waiting: dict[Hashable, float],
        values: list[float],
        now: float,
        excluded: set[Hashable],
    ) -> _Candidate | None:
        for conn, since in waiting.items():
            if conn in excluded:
                continue
            age_s = now - since
            if not group.kind.level and age_s < FIRST_REQUEST_S:
                return None
            return _Candidate(values[age_index(max(age_s, 0.0))], conn)
        return None

    # --- waits ------------------------------------------------------------------------------------

    def _begin_wait(self, conn: Hashable, connection: _Connection, now: float) -> None:
        connection.since = now
        kind = connection.kind
        connection.group = _Group(connection.owner, kind)
        waiting = self._waiting.get(connection.group)
        if waiting is None:
            waiting = self._waiting[connection.group] = {}
            self._statistics.setdefault(kind, WaitStatistics())
        waiting[conn] = now
        if connection.requests:
            self.idle_count += 1
        else:
            self.unused_count += 1

    def _end_wait(self, conn: Hashable, connection: _Connection, now: float, has_request: bool) -> None:
        group = connection.group
        waiting = self._waiting[group]
        del waiting[conn]
        if not waiting:
            del self._waiting[group]
        if connection.requests:
            self.idle_count -= 1
        else:
            self.unused_count -= 1
        assert connection.since is not None
        self._statistics[group.kind].record(max(now - connection.since, 0.0), has_request)
        connection.since = None

    def _idle_per_owner(self) -> Counter[_Owner]:
        """Return by owner how many connections wait after a request."""
        counts: Counter[_Owner] = Counter()
        for group, waiting in self._waiting.items():
            if group.kind.level:
                counts[group.owner] += len(waiting)
        return counts

    def _current_values(self, now: float) -> dict[_Kind, list[float]]:
        """Return the value of every kind by age interval, recomputed every `UPDATE_INTERVAL_S`."""
        is_recent = now - self._updated_at < UPDATE_INTERVAL_S
        if is_recent and all(kind in self._values for kind in self._statistics):
            return self._values
        self._updated_at = now
        current = {kind: [0.0] * len(AGES_S) for kind in self._statistics}
        for group, waiting in self._waiting.items():
            seconds = current.setdefault(group.kind, [0.0] * len(AGES_S))
            for since in waiting.values():
                add_wait(seconds, now - since)
        self._values = {kind: self._statistics[kind].values(seconds) for kind, seconds in current.items()}
        return self._values

    def status(self, now: float) -> dict[str, Any]:
        """Return the status for the admin endpoint, as JSON values."""
        return {
            "most": self.max_connections,
            "asking": self.max_active,
            "taken": len(self._connections),
            "idle": self.idle_count,
            "silent": self.unused_count,
            "kept_free": self._forecast.expected_arrivals(now),
            "short_by": max(self._shortage(now), 0),
            "sorts": [
                {
                    "tenant": kind.tenant,
                    "asked": REQUEST_COUNT_BOUNDS[kind.level - 1] if kind.level else 0,
                    "waits": round(each.waits),
                    "ask_again": round(sum(each.requests) / each.waits, 3) if each.waits else None,
                }
                for kind, each in sorted(self._statistics.items())
            ],
        }
