"""Retry policy: whether to retry a request, or to hedge it beside attempts in flight.

The rules depend on the class of the request (idempotency, deduplication) and on `max_attempts`;
`retry_budget` keeps the budget for all repeated work.
"""

from __future__ import annotations

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.admission_control import ADMIT_ALL_FRACTION, AdmissionControl
from brambleusher.loadbalancing.api import AttemptStatus, DeduplicationScope, Idempotency
from brambleusher.loadbalancing.hosts import Request
from brambleusher.loadbalancing.retry_budget import RetryBudget
from brambleusher.loadbalancing.traffic import TrafficStatistics

# Statuses of attempts that no host has begun to execute.
NOT_EXECUTED_STATUSES = frozenset(
    {AttemptStatus.OVERLOADED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_STARTED}
)
# Without overload a rejected client may retry after the shortest latency target divided by this.
PROMPT_RETRY_DIVISOR = 4


class RetryPolicy:
    """Applies the rules for further attempts of a request and the retry budget of the balancer."""

    def __init__(
        self,
        settings: api.Settings,
        shortest_target_ns: int,
        traffic: TrafficStatistics,
        admission: AdmissionControl,
    ) -> None:
        self._settings = settings
        self._shortest_target_ns = shortest_target_ns
        self._traffic = traffic
        self._admission = admission
        self.budget = RetryBudget(len(settings.classes))

    def may_attempt_again(self, request: Request, now: int) -> bool:
        """Return whether the idempotency rules allow one more attempt; attempts in flight may still run."""
        if len(request.attempts) >= self._settings.max_attempts or request.deadline_ns <= now:
            return False
        if request.is_body_streamed:
            return False
        if request.unfinished and not self._settings.hedging_enabled:
            return False
        request_class = self._settings.classes[request.class_index]
        may_run = request.may_have_run or request.unfinished
        if request_class.idempotency is not Idempotency.KEYED or not may_run:
            return request_class.idempotency is Idempotency.SAFE or not may_run
        # A keyed retry, including its connect, has to arrive while the hosts still remember the key.
        if request.first_run_host is None:
            request.first_run_host, request.first_run_ns, _ = request.attempts[-1]
        arrives_ns = now + 2 * self._settings.connect_timeout_ns
        return arrives_ns < request.first_run_ns + request_class.deduplication_window_ns

    def can_afford_retry(self, status: AttemptStatus, costs_work: bool) -> bool:
        """Return whether the budget allows a retry after an attempt that ended with `status`."""
        if status is AttemptStatus.NOT_STARTED:
            return False
        if costs_work:
            return self.budget.has_tokens and not self._admission.is_overloaded
        return not self._admission.is_overloaded or self.budget.has_tokens

    def can_afford_hedge(self) -> bool:
        """Return whether there is capacity and budget for a hedged request."""
        has_capacity = self._traffic.in_flight < self._admission.limit * ADMIT_ALL_FRACTION
        return has_capacity and not self._admission.is_overloaded and self.budget.has_tokens

    def charge_retry(self, costs_work: bool) -> None:
        """Charge the budget for a retry, which is free if no host worked on it and there is no overload."""
        if costs_work or self._admission.is_overloaded:
            self.budget.withdraw()

    def is_too_late_to_connect(self, request: Request, now: int) -> bool:
        """Return whether a failing connect would end after half the time of a request that reached no host.

        Such a request is given up early enough for its client to retry elsewhere, instead of waiting for
        hosts that accept no connections.
        """
        if request.has_reached_host or now > request.half_time_ns:
            return False
        timeout_ns = min(
            self._settings.connect_timeout_ns,
            int((request.deadline_ns - now) * api.CONNECT_TIMEOUT_FRACTION),
        )
        return request.half_time_ns < now + timeout_ns

    def is_rejection_harmless(self, request: Request) -> bool:
        """Return whether the client may safely retry a request that was not answered."""
        request_class = self._settings.classes[request.class_index]
        if request_class.idempotency is Idempotency.SAFE or not (request.may_have_run or request.unfinished):
            return True
        is_keyed = request_class.idempotency is Idempotency.KEYED
        return is_keyed and request_class.deduplication_scope is DeduplicationScope.ALL

    def retry_after_ns(self, is_crowded: bool) -> int:
        """Return after how many nanoseconds a rejected client should retry: the maximum under overload.

        Otherwise clients would repeat rejected requests at once.
        """
        max_delay_ns = self._settings.max_retry_after_ns
        return (
            max_delay_ns
            if is_crowded
            else min(self._shortest_target_ns // PROMPT_RETRY_DIVISOR, max_delay_ns)
        )
