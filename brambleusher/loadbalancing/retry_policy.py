"""Whether an attempt may follow another: retries, and hedged requests beside attempts in flight.

The rules come from the class of the request (idempotency, deduplication) and `max_attempts`; the budget for
all work that is done again is in `retry_budget`.
"""

from __future__ import annotations

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.admission_control import ADMIT_ALL_FRACTION, AdmissionControl
from brambleusher.loadbalancing.api import AttemptStatus, DeduplicationScope, Idempotency
from brambleusher.loadbalancing.hosts import Request
from brambleusher.loadbalancing.retry_budget import RetryBudget
from brambleusher.loadbalancing.traffic import TrafficStatistics

# An attempt that ended so was not begun by any host.
NEVER_RAN = frozenset({AttemptStatus.OVERLOADED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_STARTED})
PROMPT_RETRY_DIVISOR = 4  # of the shortest latency target, in which a rejected client may ask again


class RetryPolicy:
    """The rules on further attempts of one request, and the budget for those of all."""

    def __init__(
        self, settings: api.Settings, unit_ns: int, traffic: TrafficStatistics, admission: AdmissionControl
    ) -> None:
        self._settings = settings
        self._unit_ns = unit_ns
        self._traffic = traffic
        self._admission = admission
        self.budget = RetryBudget(len(settings.classes))

    def may_attempt_again(self, request: Request, now: int) -> bool:
        """Return whether one more attempt keeps the rule on idempotency; any in flight may yet run."""
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
        # Keyed: the retry has to arrive, connection and all, while its group still remembers the key.
        if request.first_run_host is None:
            request.first_run_host, request.first_run_ns, _ = request.attempts[-1]
        arrives_ns = now + 2 * self._settings.connect_timeout_ns
        return arrives_ns < request.first_run_ns + request_class.deduplication_window_ns

    def can_afford_retry(self, status: AttemptStatus, costs_work: bool) -> bool:
        """Return whether the budget allows a retry after an attempt that ended so."""
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
        """Take a retry from the budget; what no host worked on is free, unless there is overload."""
        if costs_work or self._admission.is_overloaded:
            self.budget.withdraw()

    def is_too_late_to_connect(self, request: Request, now: int) -> bool:
        """Return whether a connect that fails would end past half of the time of one that reached no host.

        Guards against clients kept waiting for hosts that take no connection: they could ask elsewhere.
        """
        if request.has_reached_host or now > request.half_time_ns:
            return False
        timeout_ns = min(
            self._settings.connect_timeout_ns,
            int((request.deadline_ns - now) * api.CONNECT_TIMEOUT_FRACTION),
        )
        return request.half_time_ns < now + timeout_ns

    def is_rejection_harmless(self, request: Request) -> bool:
        """Return whether its client may ask again for a request that was not answered."""
        request_class = self._settings.classes[request.class_index]
        if request_class.idempotency is Idempotency.SAFE or not (request.may_have_run or request.unfinished):
            return True
        is_keyed = request_class.idempotency is Idempotency.KEYED
        return is_keyed and request_class.deduplication_scope is DeduplicationScope.ALL

    def retry_after_ns(self, is_crowded: bool) -> int:
        """Return when a rejected client should come back: as late as can be said where there is a crowd.

        Guards against clients that ask again at once for what was just given up.
        """
        most = self._settings.max_retry_after_ns
        return most if is_crowded else min(self._unit_ns // PROMPT_RETRY_DIVISOR, most)
