"""Attempt timeouts: when to give up an attempt before the client's deadline, so that another can be made."""

from __future__ import annotations

import math

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.admission_control import AdmissionControl
from brambleusher.loadbalancing.api import Idempotency
from brambleusher.loadbalancing.hosts import Request
from brambleusher.loadbalancing.idle_timeout import IdleTimeout
from brambleusher.loadbalancing.outlier_detection import OutlierDetector
from brambleusher.loadbalancing.performance_index import GOAL_PER_TARGET
from brambleusher.loadbalancing.traffic import TrafficStatistics

UNRESPONSIVE_TIMEOUT_FACTOR = 6.0  # attempt timeout, in mean latencies, while some attempts remain unanswered
IDLE_TIMEOUT_FACTOR = (
    3  # attempt timeout, in mean latencies, on a connection that may have been dropped while idle
)
NO_TIMEOUT = 0  # the attempt may use all of the client's remaining time


class AttemptTimeouts:
    """Chooses the timeouts of attempts from the outcomes of recent attempts."""

    def __init__(
        self,
        settings: api.Settings,
        traffic: TrafficStatistics,
        outliers: OutlierDetector,
        admission: AdmissionControl,
        idle_timeout: IdleTimeout,
    ) -> None:
        self._settings = settings
        self._traffic = traffic
        self._outliers = outliers
        self._admission = admission
        self._idle_timeout = idle_timeout

    def timeout_ns(self, request: Request, idle_ns: int, now: int) -> int:
        """Return the timeout of a request's next attempt on a connection that was idle for `idle_ns`.

        A timeout helps if the connection was dropped unnoticed, or if the host stops responding while others
        have capacity. The cost is that some late but valid answers are lost.
        """
        if len(request.attempts) + 1 >= self._settings.max_attempts:
            return NO_TIMEOUT
        request_class = self._settings.classes[request.class_index]
        timeout_ns = NO_TIMEOUT
        if idle_ns > self._idle_timeout.min_ns and self._idle_timeout.is_reduced:
            timeout_ns = self._idle_connection_timeout_ns(request, request_class, now)
        if timeout_ns or request_class.idempotency is not Idempotency.SAFE:
            return timeout_ns
        if self._outliers.timeouts > 1 and not self._admission.is_late:
            mean_ns = self._traffic.mean_latency_ns(request.class_index)
            patience_ns = max(
                UNRESPONSIVE_TIMEOUT_FACTOR * mean_ns,
                request_class.latency_target_ns * GOAL_PER_TARGET,
            )
            if now + 2 * patience_ns < request.deadline_ns:
                return int(patience_ns)
        return NO_TIMEOUT

    def _idle_connection_timeout_ns(self, request: Request, request_class: api.RequestClass, now: int) -> int:
        if request_class.idempotency is Idempotency.UNSAFE:
            return NO_TIMEOUT
        mean_latency_ns = self._traffic.mean_latency_ns(request.class_index)
        return int(
            min(
                IDLE_TIMEOUT_FACTOR * mean_latency_ns or math.inf,
                request_class.latency_target_ns / 2,
                (request.deadline_ns - now) / 2,
            )
        )
