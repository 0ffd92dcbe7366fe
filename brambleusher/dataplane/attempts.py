"""The attempts of one request: choose an instance, send the request, retry elsewhere while allowed."""

from __future__ import annotations

from http import HTTPStatus

from result import Ok, Result

from brambleusher.dataplane.attempt_failure import AttemptFailure, AttemptOutcomeUnknown, ConnectFailed
from brambleusher.dataplane.client_request import HeaderList
from brambleusher.dataplane.counters import Counters, RequestCounter
from brambleusher.dataplane.instance import Instance
from brambleusher.dataplane.instance_table import InstanceTable
from brambleusher.dataplane.placement import Placement
from brambleusher.dataplane.rejection_reason import RejectionReason
from brambleusher.dataplane.request_context import RequestContext
from brambleusher.dataplane.response_failures import ResponseFailure
from brambleusher.dataplane.upstream_client import MISDIRECTED_REQUEST, UpstreamClient, UpstreamRequest
from brambleusher.dataplane.upstream_response import UpstreamResponse
from brambleusher.loadbalancing.instance_weights import InstanceWeights
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.wire.policy import Policy

FAILED_ATTEMPTS_MAX = 4  # per request, including rejected attempts and failed connections
ATTEMPT_MIN_S = 0.05  # no attempt is started with less time than this left until the deadline
PRIORITY_MAX = 9
MS_PER_S = 1000
REPLACED_HEADERS = frozenset({b"x-deadline-remaining", b"x-target-instance", b"priority", b"last-event-id"})


class _WeightedAttempt:
    """Records the progress and outcome of one attempt in the instance weights of its service."""

    def __init__(
        self, scheduler: Scheduler, weights: InstanceWeights, context: RequestContext, instance_id: str
    ) -> None:
        self._scheduler, self._weights, self._instance_id = scheduler, weights, instance_id
        route = context.route
        target_s = route.latency_target_ms / MS_PER_S
        self._number = weights.start_attempt(instance_id, route.priority, target_s, scheduler.now())

    def response_started(self) -> None:
        """Record that the first bytes of the response body have arrived."""
        self._weights.record_first_byte(self._instance_id, self._number, self._scheduler.now())

    def attempt_finished(self, has_succeeded: bool) -> None:
        """Record that the attempt has ended, and whether it succeeded."""
        self._weights.finish_attempt(self._instance_id, self._number, has_succeeded)

    def attempt_abandoned(self) -> None:
        """Record that the attempt was abandoned, usually because its client disconnected."""
        self._weights.abandon_attempt(self._instance_id, self._number, self._scheduler.now())

    def attempt_not_started(self) -> None:
        """Record that nothing was sent, so the attempt reveals nothing about the health of the instance."""
        self._weights.finish_attempt(self._instance_id, self._number, None)


class AttemptRunner:
    """Sends the attempts of requests to instances until one of them responds."""

    def __init__(
        self,
        scheduler: Scheduler,
        instances: InstanceTable,
        placement: Placement,
        upstream: UpstreamClient,
        counters: Counters,
        policy: Policy,
    ) -> None:
        self._scheduler, self._instances, self._placement = scheduler, instances, placement
        self._upstream, self._counters, self._policy = upstream, counters, policy

    def run(self, context: RequestContext) -> UpstreamResponse | None:
        """Try instances until one of them responds.

        The result is None, and `context.rejection_reason` is set, if no further attempt is allowed.

        Raises:
            PeerDisconnectedError: The client has disconnected.
        """
        failed_attempts = 0
        while failed_attempts < FAILED_ATTEMPTS_MAX:
            now_s = self._scheduler.now()
            if context.remaining_s(now_s) < ATTEMPT_MIN_S:
                context.rejection_reason = RejectionReason.DEADLINE
                return None
            if context.may_have_run and not context.may_run_again:
                context.rejection_reason = RejectionReason.MUST_NOT_RUN_AGAIN
                return None
            context.client.resume()
            context.client.raise_if_left()
            instance = self._placement.choose(
                context.placement, context.tried, now_s, context.unresponsive_regions
            )
            if instance is None:
                context.rejection_reason = context.rejection_reason or RejectionReason.NO_INSTANCE
                return None
            context.tried.add(instance.id)
            if not self._upstream.has_capacity(instance):
                context.rejection_reason = RejectionReason.CONNECTION_LIMIT
                continue
            if not self._takes_retry_budget(context, now_s):
                context.rejection_reason = RejectionReason.RETRY_BUDGET
                return None
            result = self._attempt(context, instance)
            if isinstance(result, Ok):
                context.attempts_sent += 1
                context.possible_runs += 1
                return result.ok_value
            failed_attempts += 1
            self._record_failure(context, instance, result.err_value)
        return None

    def resume(self, context: RequestContext, last_event_id: int | None) -> UpstreamResponse | None:
        """Continue an event stream at another instance; return None if that is not possible."""
        if last_event_id is not None:
            context.last_event_id = str(last_event_id).encode()
        response = self.run(context) if self._policy.resumes_streams else None
        if response is None:
            return None
        if response.status != HTTPStatus.OK:
            response.fail(ResponseFailure.NOT_RESUMED)
            return None
        self._counters.add(RequestCounter.RESUMED)
        return response

    def _takes_retry_budget(self, context: RequestContext, now_s: float) -> bool:
        """Take a retry from the budget unless no attempt was sent yet; return False if none is left."""
        if not context.attempts_sent or not self._policy.limits_retries:
            return True
        return context.retry_budget.take(now_s)

    def _attempt(
        self, context: RequestContext, instance: Instance
    ) -> Result[UpstreamResponse, AttemptFailure]:
        weights = self._instances.weights[instance.service]
        attempt = _WeightedAttempt(self._scheduler, weights, context, instance.id)
        try:
            result = self._upstream.send(self._upstream_request(context, instance), attempt)
        except BaseException:
            attempt.attempt_abandoned()
            raise
        if not isinstance(result, Ok):
            if isinstance(result.err_value, ConnectFailed):
                attempt.attempt_not_started()
            else:
                attempt.attempt_finished(False)
        return result

    def _upstream_request(self, context: RequestContext, instance: Instance) -> UpstreamRequest:
        request = context.request
        return UpstreamRequest(
            instance=instance,
            method=request.method,
            target=request.target,
            headers=self._headers(context, instance),
            body=request.body,
            attempt_id=context.attempt_id,
            deadline_s=context.deadline_s,
            must_run_once=not context.route.is_idempotent,
            begin_run=context.begin_run,
        )

    def _headers(self, context: RequestContext, instance: Instance) -> HeaderList:
        request = context.request
        headers = [header for header in request.end_to_end_headers() if header[0] not in REPLACED_HEADERS]
        remaining_ms = max(1, int(context.remaining_s(self._scheduler.now()) * MS_PER_S))
        priority = min(max(context.route.priority, 0), PRIORITY_MAX)
        headers += [
            (b"X-Deadline-Remaining", str(remaining_ms).encode()),
            (b"X-Target-Instance", instance.id.encode()),
            (b"Priority", str(priority).encode()),
        ]
        if context.last_event_id:
            headers.append((b"Last-Event-Id", context.last_event_id))
        if request.body or request.method not in (b"GET", b"HEAD"):
            headers.append((b"Content-Length", str(len(request.body)).encode()))
        return headers

    def _record_failure(self, context: RequestContext, instance: Instance, failure: AttemptFailure) -> None:
        context.rejection_reason = failure.reason
        self._counters.add_failed_attempt(failure.reason)
        if isinstance(failure, ConnectFailed):
            weights = self._instances.weights.get(instance.service)
            if weights is not None:
                weights.record_connect_failure(instance.id)
            if failure.has_timed_out:
                context.unresponsive_regions.add(instance.region)
            return
        context.attempts_sent += 1
        if isinstance(failure, AttemptOutcomeUnknown):
            context.possible_runs += 1
        elif failure.status == MISDIRECTED_REQUEST:
            instance.record_replaced(self._scheduler.now())
