"""Records of hosts and requests, which refer to each other.

A list may have thousands of hosts of which a proxy uses a few. The containers that only hosts in use need are
created at first use; other hosts consist of plain fields.
"""

from __future__ import annotations

from collections.abc import Iterable
from types import MappingProxyType
from typing import Any, NamedTuple

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.windows import Decay

# Prior count of served attempts, so that one failure does not condemn a host with little traffic.
HEALTH_PRIOR = 2.0
RESERVE = 0.25  # if a smaller fraction of the fleet's capacity is free, weights depend more on total capacity
# Lower bound of the summed utilisation of reports; below it the capacity quotient is noise.
MIN_UTILISATION_SUM = 0.01
# Attempts sent later but answered earlier by the same host; a first-in-first-out queue has none.
MIN_OVERTAKING_ATTEMPTS = 2
# Shared placeholders for hosts that were never in use, which are most of thousands.
NO_ANSWERS: Any = (-1,) * MIN_OVERTAKING_ATTEMPTS
NO_ATTEMPTS: Any = MappingProxyType({})
NO_CLASSES: Any = ()

AttemptKey = tuple[str, int]  # request id and attempt number


# Request of an unanswered attempt and the time it was sent, in nanoseconds; a plain tuple, since one is
# created for every attempt.
InFlightAttempt = tuple["Request", int]


class Attempt(NamedTuple):
    """An attempt of a request, ended or not."""

    host: Host
    sent_ns: int
    idle_ns: int  # time in nanoseconds for which its connection had been idle; 0 if it was new or in use


class Host:
    """A host with its estimators, weight and tokens."""

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
        # Seeded random rank: position in this proxy's order of preference and initial phase of the slow-start
        # credit.
        self.rank = rank
        self.name = entry.host
        self.zone = entry.zone
        self.kind = entry.kind
        self.cell = entry.cell
        self.is_local = is_local
        self.is_ready = True
        self.size = 1.0  # relative capacity according to the list
        self.in_flight: dict[AttemptKey, InFlightAttempt] = NO_ATTEMPTS  # unanswered attempts, oldest first
        # Attempts that may still be answered but no longer count as in flight.
        self.written_off: dict[AttemptKey, InFlightAttempt] = NO_ATTEMPTS
        # Decaying counts of answers and sums of their latency ratios (latency divided by goal), by request
        # class.
        self.latency_counts: list[float] = NO_CLASSES
        self.latency_ratio_totals: list[float] = NO_CLASSES
        # Send times of the most recently sent attempts among the answered ones.
        self.newest_answered_ns: list[int] = NO_ANSWERS
        self.weight = 0.0
        # Expected fraction of this proxy's attempts in flight, according to its weight.
        self.in_flight_fraction = 0.0
        self.token_credit = 0.0  # fraction of a token carried over to the next load
        self.tokens = 0
        self.reset_history(entry.started_ns, 0)
        if class_count:
            self.begin_use(class_count)

    def begin_use(self, class_count: int) -> None:
        """Create the containers of a host in use; before this only `reset_history` may be called."""
        if self.in_flight is NO_ATTEMPTS:
            self.in_flight = {}
            self.written_off = {}
            self.latency_counts = [0.0] * class_count
            self.latency_ratio_totals = [0.0] * class_count
            self.newest_answered_ns = list(NO_ANSWERS)

    def reset_history(self, started_ns: int, class_count: int) -> None:
        """Reset all estimators, since a restarted process has nothing in common with the previous one."""
        self.started_ns = started_ns
        self.throughput_sum = self.utilisation_sum = 0.0  # decaying sums over reports
        self.throughput = self.utilisation = 0.0  # smoothed values of the reports
        self.reported_ns = -1  # time of the last report; negative if there is none
        self.latency_counts = [0.0] * class_count if class_count else NO_CLASSES
        self.latency_ratio_totals = [0.0] * class_count if class_count else NO_CLASSES
        self.newest_answered_ns = list(NO_ANSWERS) if class_count else NO_ANSWERS
        # Decaying counts of attempts by outcome, and the performance index at the last recomputation.
        self.served = self.failed = self.rejected = self.performance_index = 0.0
        self.ejected_until_ns = self.last_used_ns = self.close_until_ns = 0
        self.is_draining = self.is_connected = False  # `is_connected`: a connection is probably open
        self.slow_start_credit = self.rank
        self.slow_start_seen_ns = started_ns

    @property
    def health(self) -> float:
        """Fraction of recent attempts that were served, from 0 to 1.

        Source: z/OS Workload Manager Sysplex Routing Services, server health.
        """
        served = self.served + HEALTH_PRIOR
        return served / (served + self.failed)

    @property
    def acceptance(self) -> float:
        """Fraction of attempts that are not rejected, since a host that rejects at once would look idle."""
        served = self.served + HEALTH_PRIOR
        return served / (served + self.rejected) if self.utilisation < 1 - RESERVE else 1.0

    @property
    def capacity(self) -> float | None:
        """Requests per second at full utilisation; sums are divided, so idle periods have little weight."""
        if self.utilisation_sum > MIN_UTILISATION_SUM and self.throughput_sum > 0:
            return self.throughput_sum / self.utilisation_sum
        return None

    def withdraw_tokens(self) -> None:
        """Remove the weight and all tokens at once; the carried-over fraction of a token stays."""
        self.weight = 0.0
        self.tokens = 0


class Request:
    """A request that is not answered yet or has unfinished attempts."""

    def __init__(self, request_id: str, class_index: int, now: int, left_ns: int) -> None:
        self.id = request_id
        self.class_index = class_index
        self.deadline_ns = now + left_ns
        # Time after which a request that has reached no host should be given up.
        self.half_time_ns = now + left_ns // 2
        self.has_reached_host = False  # whether an attempt was sent completely
        self.attempts: list[Attempt] = []
        self.unfinished = 0  # attempts that have not ended, including those written off
        self.written_off = 0
        self.is_answered = False  # whether the request needs no answer any more
        self.may_have_run = False
        self.is_body_streamed = False  # the body is streamed while it arrives, so it can be sent only once
        # Host of the first attempt that may have been executed; restricts retries to its deduplication scope.
        self.first_run_host: Host | None = None
        self.first_run_ns = 0

    @property
    def has_live_attempt(self) -> bool:
        """Whether any unfinished attempt is not written off."""
        return self.unfinished != self.written_off


def decay_hosts(hosts: Iterable[Host], decay: Decay) -> None:
    """Decay the counts of all hosts; a single loop, since it runs at every tick."""
    _, latency, health, capacity = decay
    for host in hosts:
        host.throughput_sum *= capacity
        host.utilisation_sum *= capacity
        host.served *= health
        host.failed *= health
        host.rejected *= health
        host.latency_counts = [count * latency for count in host.latency_counts]
        host.latency_ratio_totals = [total * latency for total in host.latency_ratio_totals]
