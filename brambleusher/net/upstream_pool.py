"""The endpoints of the endpoint list that are in use, and the attempts made on them."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

from brambleusher.decisions.requests import AttemptOutcome, do_nothing
from brambleusher.loadbalancing.api import AttemptStatus, HostState, Settings
from brambleusher.loadbalancing.connection_limits import ConnectionLimit, ConnectPacing
from brambleusher.net.endpoint_list import Endpoint, EndpointListUpdate
from brambleusher.net.http import Message
from brambleusher.net.request_lifecycle import AttemptOrder
from brambleusher.net.streamed_bodies import response_body_stream
from brambleusher.net.upstream_connections import UpstreamConnections
from brambleusher.net.upstream_endpoint import AttemptResult, UpstreamAttempt, UpstreamEndpoint
from brambleusher.net.upstream_exchange import UpstreamExchange, UpstreamExchangeContext
from brambleusher.observability.counters import Counters
from brambleusher.runtime.scheduler import Scheduler

log = logging.getLogger(__name__)

CLOSE_EXPIRED_INTERVAL_S = 1.0
_NS_PER_S = 1e9


class UpstreamPool:
    """Makes attempts on the endpoints that the endpoint list names."""

    def __init__(
        self,
        scheduler: Scheduler,
        settings: Settings,
        counters: Counters,
        max_connections: int,
        on_request_sent: Callable[[], None] = do_nothing,
    ) -> None:
        """`on_request_sent` is called for each attempt whose last byte has been handed over."""
        self._scheduler, self._counters = scheduler, counters
        self.listed: dict[str, Endpoint] = {}
        # Those of them in use, and no others: a list may have thousands.
        self._endpoints: dict[str, UpstreamEndpoint] = {}
        idle_timeout_s = settings.connection_idle_timeout_ns / _NS_PER_S or math.inf
        self._pacing = ConnectPacing.for_fleet(settings.fleet_size, idle_timeout_s)
        self.connections = UpstreamConnections(
            scheduler, counters, self._endpoints, self._pacing, settings.connect_timeout_ns / _NS_PER_S,
            max_connections,
        )  # fmt: skip
        self._context = UpstreamExchangeContext(scheduler, counters, self.connections, on_request_sent)

    def resize(self, max_connections: int) -> None:
        """Change the limit on connections; those that are open stay."""
        self.connections.max_connections = max_connections

    # --- the endpoint list -----------------------------------------------------------------------

    def update(self, update: EndpointListUpdate) -> None:
        """Follow the list: from now on no attempt starts on an endpoint that drains or is removed."""
        if update.full:
            named = {endpoint.entry.host for endpoint in update.endpoints}
            for name in [name for name in self.listed if name not in named]:
                self._remove(name)
        for endpoint in update.endpoints:
            self._update_endpoint(endpoint)

    def _remove(self, name: str) -> None:
        self.listed.pop(name, None)
        if (endpoint := self._endpoints.pop(name, None)) is not None:
            self._drain(endpoint)

    def _update_endpoint(self, listed: Endpoint) -> None:
        entry = listed.entry
        if entry.state is HostState.REMOVED:
            self._remove(entry.host)
            return
        self.listed[entry.host] = listed
        endpoint = self._endpoints.get(entry.host)
        if endpoint is None:
            return
        if (endpoint.address, endpoint.started_ns) != (listed.address, entry.started_ns):
            # A connection to a process that is not the one listed now, be it idle or still in use, must
            # not come back to the record that the next attempt makes.
            self._drain(self._endpoints.pop(entry.host))
        elif entry.state is HostState.DRAINING:
            self._drain(endpoint)
        else:
            endpoint.is_draining = False

    def _endpoint_for_attempt(self, name: str) -> UpstreamEndpoint | None:
        """Find or make the record of an endpoint; None where no attempt may be made on it."""
        endpoint = self._endpoints.get(name)
        if endpoint is not None:
            return None if endpoint.is_draining else endpoint
        listed = self.listed.get(name)
        if listed is None or listed.entry.state is not HostState.READY:
            return None
        limit = ConnectionLimit(self._pacing)
        endpoint = UpstreamEndpoint(name, listed.address, listed.entry.started_ns, limit)
        self._endpoints[name] = endpoint
        return endpoint

    def _drain(self, endpoint: UpstreamEndpoint) -> None:
        endpoint.is_draining = True
        self.connections.close_idle(endpoint)
        for attempt in list(endpoint.attempts):
            if not attempt.has_started_sending:  # race: it waits for a connect, and would be sent after this
                attempt.cancel(AttemptStatus.OVERLOADED)

    # --- connections ----------------------------------------------------------------------------

    def close_idle_connections(self, name: str) -> None:
        """Close the idle connections to an endpoint."""
        endpoint = self._endpoints.get(name)
        if endpoint is not None:
            self.connections.close_idle(endpoint)

    def close(self) -> None:
        """Close all idle connections."""
        for endpoint in self._endpoints.values():
            self.connections.close_idle(endpoint)

    @property
    def open_connections(self) -> int:
        """Open connections, idle ones among them."""
        return self.connections.open_count

    @property
    def idle_connections(self) -> int:
        """Connections kept for later."""
        return sum(len(endpoint.idle) for endpoint in self._endpoints.values())

    @property
    def open_attempts(self) -> int:
        """Attempts that have not ended."""
        return sum(len(endpoint.attempts) for endpoint in self._endpoints.values())

    def close_expired_connections(self) -> None:
        """Close idle connections in time and forget endpoints that are not used; a task runs this forever."""
        while True:
            self._scheduler.sleep(CLOSE_EXPIRED_INTERVAL_S)
            now = self._scheduler.now()
            for endpoint in list(self._endpoints.values()):
                self.connections.close_expired(endpoint, now)
                is_used = endpoint.idle or endpoint.attempts or endpoint.waiting
                if not is_used and endpoint.limit.is_forgettable(now):
                    del self._endpoints[endpoint.name]

    # --- attempts -------------------------------------------------------------------------------

    def start_attempt(self, order: AttemptOrder) -> UpstreamAttempt:
        """Start an attempt; its end is reported once, whatever happens.

        The end of one whose response is not buffered is reported when the first bytes of that have come: the
        payload's `body_stream` is a `ResponseBodyStream` then, and whoever takes it closes it.
        `on_response_started` is never called, as the end says it.

        Raises:
            TypeError: the payload is no HTTP message.
        """
        if not isinstance(order.payload, Message):
            raise TypeError("endpoints are spoken to in HTTP alone")
        started_at = self._scheduler.now()
        deadline = order.deadline
        if order.timeout_ns:
            deadline = min(deadline, started_at + order.timeout_ns / _NS_PER_S)
        attempt = UpstreamAttempt(started_at)
        task_name = f"attempt {order.endpoint}"
        self._scheduler.spawn(self._run_attempt, attempt, order, order.payload, deadline, name=task_name)
        return attempt

    def _run_attempt(
        self, attempt: UpstreamAttempt, order: AttemptOrder, request: Message, deadline: float
    ) -> None:
        def report(result: AttemptResult) -> None:
            self._report(attempt, order, result)

        result: AttemptResult | None = AttemptResult(AttemptStatus.ERROR)
        endpoint = self._endpoint_for_attempt(order.endpoint)
        try:
            if endpoint is None:
                result = AttemptResult(AttemptStatus.OVERLOADED)
            else:
                endpoint.attempts[attempt] = None
                exchange = UpstreamExchange(
                    self._context, endpoint, attempt, order, request, deadline, report
                )
                result = exchange.run()
        except Exception:
            # An attempt without an end would leave its request waiting until the deadline.
            self._counters.add("faults")
            log.exception("attempt failed", extra={"fields": {"node": order.endpoint}})
        finally:
            if endpoint is not None:
                endpoint.attempts.pop(attempt, None)
            if result is not None and not attempt.is_response_streaming:
                report(result)

    def _report(self, attempt: UpstreamAttempt, order: AttemptOrder, result: AttemptResult) -> None:
        latency_ns = int((self._scheduler.now() - attempt.started_at) * _NS_PER_S)
        response = result.response
        body_stream = None if response is None else response_body_stream(response)
        discard = do_nothing if body_stream is None else body_stream.close
        order.on_finished(AttemptOutcome(result.status, latency_ns, result.report, response, discard))
