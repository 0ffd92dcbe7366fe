"""A host and a request, and what a balancer knows of them; each refers to the other.

A list may have thousands of hosts of which a proxy uses a few.  What only those in use need is made when
they are first used; the others are a record of plain fields.
"""

from __future__ import annotations

from collections.abc import Iterable
from types import MappingProxyType
from typing import Any, NamedTuple

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.windows import Decay

HEALTH_PRIOR = 2.0  # attempts assumed served, so that one failure does not condemn a quiet host
RESERVE = 0.25  # below this free share of the fleet, weights lean towards capacity
MIN_UTILISATION_SUM = 0.01  # of reports: under it their quotient is noise
OVERTAKEN_BY = 2  # attempts sent later and answered sooner by the same host: in a queue there are none
# Of a host that was never in use, as most of thousands are.
NO_ANSWERS: Any = (-1,) * OVERTAKEN_BY
NO_ATTEMPTS: Any = MappingProxyType({})
NO_CLASSES: Any = ()

AttemptKey = tuple[str, int]  # the request's id and the attempt's number


# An attempt that a host has not answered yet, and when it was sent, in ns: a plain tuple, as one is made for
# every attempt.
InFlightAttempt = tuple["Request", int]


class Attempt(NamedTuple):
    """An attempt of a request, ended or not."""

    host: Host
    sent_ns: int
    idle_ns: int  # for how long its connection had been idle; 0 where it was new or in use


class Host:
    """A host, what is known of it, and its tokens."""

    __slots__ = (
        "cell",
        "close_until_ns",
        "ejected_until_ns",
        "failed",
        "in_flight",
        "in_flight_fraction",
        "is_connected",
        "is_draining",
        "is_local",
        "is_ready",
        "kind",
        "last_used_ns",
        "latency_counts",
        "latency_ratio_totals",
        "name",
        "newest_answered_ns",
        "performance_index",
        "rank",
        "rejected",
        "reported_ns",
        "served",
        "size",
        "slow_start_credit",
        "slow_start_seen_ns",
        "started_ns",
        "throughput",
        "throughput_sum",
        "token_credit",
        "tokens",
        "utilisation",
        "utilisation_sum",
        "weight",
        "written_off",
        "zone",
    )

    def __init__(self, entry: api.HostEntry, is_local: bool, class_count: int, rank: float = 0.0) -> None:
        # A seeded place in this proxy's order of preference, and the phase of the slow start's credit.
        self.rank = rank
        self.name = entry.host
        self.zone = entry.zone
        self.kind = entry.kind
        self.cell = entry.cell
        self.is_local = is_local
        self.is_ready = True
        self.size = 1.0  # what the list says that it can do beside others
        self.in_flight: dict[AttemptKey, InFlightAttempt] = NO_ATTEMPTS  # oldest first
        # Attempts that may still be answered and that nobody waits for: they count as in flight no more.
        self.written_off: dict[AttemptKey, InFlightAttempt] = NO_ATTEMPTS
        # By class of request: answers lately, and the sum of their latencies over the goal.
        self.latency_counts: list[float] = NO_CLASSES
        self.latency_ratio_totals: list[float] = NO_CLASSES
        # When those attempts answered here that were sent last were sent.
        self.newest_answered_ns: list[int] = NO_ANSWERS
        self.weight = 0.0
        self.in_flight_fraction = 0.0  # of this proxy's attempts in flight, that its weight explains
        self.token_credit = 0.0  # the fraction of a token that a load carries over
        self.tokens = 0
        self.forget(entry.started_ns, 0)
        if class_count:
            self.begin_use(class_count)

    def begin_use(self, class_count: int) -> None:
        """Make what only a host in use needs; only `forget` may be called before."""
        if self.in_flight is NO_ATTEMPTS:
            self.in_flight = {}
            self.written_off = {}
            self.latency_counts = [0.0] * class_count
            self.latency_ratio_totals = [0.0] * class_count
            self.newest_answered_ns = list(NO_ANSWERS)

    def forget(self, started_ns: int, class_count: int) -> None:
        """Begin anew: a (re)started process shares nothing with what ran under this name before."""
        self.started_ns = started_ns
        self.throughput_sum = self.utilisation_sum = 0.0  # of reports lately
        self.throughput = self.utilisation = 0.0  # as reported, smoothed
        self.reported_ns = -1  # when last; under 0: never
        self.latency_counts = [0.0] * class_count if class_count else NO_CLASSES
        self.latency_ratio_totals = [0.0] * class_count if class_count else NO_CLASSES
        self.newest_answered_ns = list(NO_ANSWERS) if class_count else NO_ANSWERS
        # Attempts lately, by how they ended; the index as of the last recompute.
        self.served = self.failed = self.rejected = self.performance_index = 0.0
        self.ejected_until_ns = self.last_used_ns = self.close_until_ns = 0
        self.is_draining = self.is_connected = False  # a connection to it is thought to be open
        self.slow_start_credit = self.rank
        self.slow_start_seen_ns = started_ns

    @property
    def health(self) -> float:
        """Served share of recent attempts, from 0 to 1.

        Source: z/OS Workload Manager Sysplex Routing Services, server health.
        """
        served = self.served + HEALTH_PRIOR
        return served / (served + self.failed)

    @property
    def acceptance(self) -> float:
        """Share of attempts that it does not reject: one that rejects at once looks idle and draws tokens."""
        served = self.served + HEALTH_PRIOR
        return served / (served + self.rejected) if self.utilisation < 1 - RESERVE else 1.0

    @property
    def capacity(self) -> float | None:
        """Requests a second at full use; summed before dividing, so quiet moments weigh little."""
        if self.utilisation_sum > MIN_UTILISATION_SUM and self.throughput_sum > 0:
            return self.throughput_sum / self.utilisation_sum
        return None

    def withdraw_tokens(self) -> None:
        """Take its weight and tokens at once; the fraction carried over stays."""
        self.weight = 0.0
        self.tokens = 0


class Request:
    """A request that is owed an answer, or whose attempts are still in flight."""

    def __init__(self, request_id: str, class_index: int, now: int, left_ns: int) -> None:
        self.id = request_id
        self.class_index = class_index
        self.deadline_ns = now + left_ns
        self.half_time_ns = now + left_ns // 2  # by then one that reached no host is to be given up
        self.has_reached_host = False  # an attempt was written completely
        self.attempts: list[Attempt] = []
        self.unfinished = 0  # attempts without an end, those written off included
        self.written_off = 0
        self.is_answered = False  # nothing is owed any more
        self.may_have_run = False
        self.is_body_streamed = False  # its body leaves as it comes, and can be sent once
        self.first_run_host: Host | None = None  # of the first attempt that ran, or may yet: its scope binds
        self.first_run_ns = 0

    @property
    def has_live_attempt(self) -> bool:
        """Whether an attempt is in flight that is not written off."""
        return self.unfinished != self.written_off


def decay_hosts(hosts: Iterable[Host], decay: Decay) -> None:
    """Forget a part of what hosts were seen to do; one loop, since every tick goes through it."""
    _, latency, health, capacity = decay
    for host in hosts:
        host.throughput_sum *= capacity
        host.utilisation_sum *= capacity
        host.served *= health
        host.failed *= health
        host.rejected *= health
        host.latency_counts = [count * latency for count in host.latency_counts]
        host.latency_ratio_totals = [total * latency for total in host.latency_ratio_totals]
