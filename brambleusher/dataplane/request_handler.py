"""Handles one request on a gateway: finds its route, runs its attempts, forwards the response."""

from __future__ import annotations

import random
from collections.abc import Callable
from http import HTTPStatus

from brambleusher.dataplane.attempts import ATTEMPT_MIN_S, MS_PER_S, AttemptRunner
from brambleusher.dataplane.client_connection import ClientConnection
from brambleusher.dataplane.client_request import ClientRequest
from brambleusher.dataplane.counters import Counters, RequestCounter
from brambleusher.dataplane.instance_table import InstanceTable
from brambleusher.dataplane.memory_budget import MemoryBudget
from brambleusher.dataplane.placement import PlacementRequest
from brambleusher.dataplane.prefix_affinity import shared_prefix
from brambleusher.dataplane.request_context import RequestContext
from brambleusher.dataplane.response_relay import RelayOutcome, ResponseRelay
from brambleusher.dataplane.retry_budget import RetryBudget
from brambleusher.dataplane.routing import RouteTable, pick_service
from brambleusher.dataplane.streaming import StreamRelay, is_event_stream
from brambleusher.dataplane.upstream_response import UpstreamResponse
from brambleusher.runtime.disconnect_watch import DisconnectWatch
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.wire.configuration import Route
from brambleusher.wire.digits import parse_digits
from brambleusher.wire.settings import Bounds

RETRY_AFTER_S = 0.25  # upper bound of the `Retry-After` value
RETRY_AFTER_FRACTION = 0.25  # upper bound as a part of the time left: clients honour at most a third


class RequestHandler:
    """Handles the requests of all clients of a gateway."""

    def __init__(
        self,
        scheduler: Scheduler,
        bounds: Bounds,
        instances: InstanceTable,
        attempts: AttemptRunner,
        counters: Counters,
        rng: random.Random,
        can_finish: Callable[[float], bool],
        response_memory: MemoryBudget,
    ) -> None:
        """Create a handler; `can_finish` tells whether the process keeps running until a given deadline."""
        self._scheduler, self._bounds, self._rng = scheduler, bounds, rng
        self._instances, self._attempts, self._counters = instances, attempts, counters
        self._can_finish, self._response_memory = can_finish, response_memory
        self._retry_budgets: dict[str, RetryBudget] = {}

    def handle(self, client: ClientConnection, request: ClientRequest, routes: RouteTable) -> None:
        """Respond to one request.

        Raises:
            PeerDisconnectedError: The client disconnected before its response was complete.
        """
        path = request.target.decode("latin-1")
        route = routes.find(request.header(b"host").decode("latin-1"), path)
        attempt_id = request.header(b"x-attempt-id")
        if route is None:
            self._counters.add(RequestCounter.NO_ROUTE)
            client.send_error(HTTPStatus.NOT_FOUND, "there is no route", attempt_id)
            return
        with DisconnectWatch(self._scheduler, client.presence) as watch:
            self._serve(client, self._context(request, route, attempt_id, watch))

    def _serve(self, client: ClientConnection, context: RequestContext) -> None:
        if not self._can_finish(context.deadline_s):
            self._counters.add(RequestCounter.NOT_SERVING)
            reason = "this gateway shuts down before the deadline"
            client.send_error(
                HTTPStatus.SERVICE_UNAVAILABLE, reason, context.attempt_id, self._retry_after_s(context)
            )
            return
        context.retry_budget.record_request()
        response = self._attempts.run(context)
        if response is None:
            self._reject(client, context)
        elif is_event_stream(context, response):
            self._relay_stream(client, context, response)
        else:
            self._relay_complete(client, context, response)

    def _context(
        self, request: ClientRequest, route: Route, attempt_id: bytes, watch: DisconnectWatch
    ) -> RequestContext:
        prefix_key, prefix_tokens = "", 0
        if route.has_affinity:
            prefix_key, prefix_tokens = shared_prefix(request.header(b"x-prompt-prefix").decode("latin-1"))
        limit_s = route.deadline_ms / MS_PER_S
        remaining_ms = parse_digits(request.header(b"x-deadline-remaining"))
        if remaining_ms is not None:
            limit_s = min(limit_s, remaining_ms / MS_PER_S)
        service = pick_service(route, self._rng)
        return RequestContext(
            request,
            route,
            PlacementRequest(route, service, prefix_key, prefix_tokens),
            self._retry_budget(service),
            attempt_id,
            request.received_at_s + limit_s,
            request.header(b"last-event-id"),
            watch,
        )

    def _retry_budget(self, service: str) -> RetryBudget:
        gateways = self._instances.gateway_count
        budget = self._retry_budgets.get(service)
        if budget is None:
            bounds = self._bounds
            budget = self._retry_budgets[service] = RetryBudget(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window_s,
                gateways,
                self._scheduler.now(),
            )
        budget.set_gateway_count(gateways)
        return budget

    # --- responses --------------------------------------------------------------------------------

    def _reject(self, client: ClientConnection, context: RequestContext) -> None:
        """Send an error response; its status tells whether an instance may have run the request."""
        remaining_s = context.remaining_s(self._scheduler.now())
        if context.may_have_run:
            self._counters.add(RequestCounter.FAILED)
            is_late = remaining_s < ATTEMPT_MIN_S
            status = HTTPStatus.GATEWAY_TIMEOUT if is_late else HTTPStatus.BAD_GATEWAY
            client.send_error(status, "no whole answer came", context.attempt_id)
            return
        self._counters.add_rejection(context.rejection_reason)
        reason = "no instance can take it now"
        client.send_error(
            HTTPStatus.SERVICE_UNAVAILABLE, reason, context.attempt_id, self._retry_after_s(context)
        )

    def _retry_after_s(self, context: RequestContext) -> float:
        remaining_s = context.remaining_s(self._scheduler.now())
        return max(0.0, min(RETRY_AFTER_S, remaining_s * RETRY_AFTER_FRACTION))

    def _relay_stream(
        self, client: ClientConnection, context: RequestContext, response: UpstreamResponse
    ) -> None:
        if StreamRelay(self._attempts, client, context, self._response_memory).run(response):
            self._counters.add(RequestCounter.SERVED)
        elif client.has_response_begun:
            client.break_off()
        else:
            self._reject(client, context)

    def _relay_complete(
        self, client: ClientConnection, context: RequestContext, response: UpstreamResponse
    ) -> None:
        """Relay a response; one that breaks off before any of it was sent is requested again."""
        pending: UpstreamResponse | None = response
        while pending is not None:
            outcome = ResponseRelay(client, context, self._response_memory).run(pending)
            if outcome is RelayOutcome.COMPLETE:
                is_served = pending.status < HTTPStatus.BAD_REQUEST
                self._counters.add(RequestCounter.SERVED if is_served else RequestCounter.ERROR_FORWARDED)
                return
            self._counters.add(RequestCounter.BROKEN)
            if outcome is RelayOutcome.BROKEN_OFF:
                return
            pending = self._attempts.run(context)
        self._reject(client, context)
