"""Manages the endpoints in use, their connections and the attempts made on them."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

from brambleusher.decisions.requests import AttemptOutcome, do_nothing
from brambleusher.loadbalancing.api import AttemptStatus, HostState, Settings
from brambleusher.loadbalancing.connection_limits import ConnectionLimit, ConnectPacing
from brambleusher.net.endpoint_list import Endpoint, EndpointListUpdate
from brambleusher.net.http import Message
from brambleusher.net.request_lifecycle import AttemptSpec
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
    """Runs attempts on the endpoints of the endpoint list."""

    def __init__(
        self,
        scheduler: Scheduler,
        settings: Settings,
        counters: Counters,
        max_connections: int,
        on_request_sent: Callable[[], None] = do_nothing,
    ) -> None:
        """Create a pool; `on_request_sent` is called for each attempt that has sent its last byte."""
        self._scheduler, self._counters = scheduler, counters
        self.listed: dict[str, Endpoint] = {}
        # Only the endpoints in use, as an endpoint list may have thousands of entries.
        self._endpoints: dict[str, UpstreamEndpoint] = {}
        idle_timeout_s = settings.connection_idle_timeout_ns / _NS_PER_S or math.inf
        self._pacing = ConnectPacing.for_fleet(settings.fleet_size, idle_timeout_s)
        self.connections = UpstreamConnections(
            scheduler, counters, self._endpoints, self._pacing, settings.connect_timeout_ns / _NS_PER_S,
            max_connections,
        )  # fmt: skip
        self._context = UpstreamExchangeContext(scheduler, counters, self.connections, on_request_sent)

    def resize(self, max_connections: int) -> None:
        """Change the limit on connections without closing open connections."""
        self.connections.max_connections = max_connections

    # --- the endpoint list -----------------------------------------------------------------------

    def update(self, update: EndpointListUpdate) -> None:
        """Apply an endpoint list update; no new attempt starts on a draining or removed endpoint."""
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
            # Connections to the endpoint's previous process, idle or in use, must not be returned to the
            # record that the next attempt creates.
            self._drain(self._endpoints.pop(entry.host))
        elif entry.state is HostState.DRAINING:
            self._drain(endpoint)
        else:
            endpoint.is_draining = False

    def _endpoint_for_attempt(self, name: str) -> UpstreamEndpoint | None:
        """Return the record of an endpoint, creating it if needed; None if attempts are not allowed."""
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
            if not attempt.has_started_sending:  # a pending connect would otherwise send the request later
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
        """The number of open connections, including idle connections."""
        return self.connections.open_count

    @property
    def idle_connections(self) -> int:
        """The number of idle connections kept for reuse."""
        return sum(len(endpoint.idle) for endpoint in self._endpoints.values())

    @property
    def open_attempts(self) -> int:
        """The number of attempts that have not ended."""
        return sum(len(endpoint.attempts) for endpoint in self._endpoints.values())

    def close_expired_connections(self) -> None:
        """Close expired idle connections and drop unused endpoints; runs forever in a task."""
        while True:
            self._scheduler.sleep(CLOSE_EXPIRED_INTERVAL_S)
            now = self._scheduler.now()
            for endpoint in list(self._endpoints.values()):
                self.connections.close_expired(endpoint, now)
                is_used = endpoint.idle or endpoint.attempts or endpoint.waiting
                if not is_used and endpoint.limit.is_forgettable(now):
                    del self._endpoints[endpoint.name]

    # --- attempts -------------------------------------------------------------------------------

    def start_attempt(self, spec: AttemptSpec) -> UpstreamAttempt:
        """Start an attempt; its end is reported exactly once, on success and on failure.

        The end of an attempt with a streamed response is reported when the first bytes of the body have
        arrived. The payload's `body_stream` is then a `ResponseBodyStream`, which the receiver has to close.
        `on_response_started` is never called, as the reported end takes its place.

        Raises:
            TypeError: The payload is not an HTTP message.
        """
        if not isinstance(spec.payload, Message):
            raise TypeError("the payload is not an HTTP message")
        started_at = self._scheduler.now()
        deadline = spec.deadline
        if spec.timeout_ns:
            deadline = min(deadline, started_at + spec.timeout_ns / _NS_PER_S)
        attempt = UpstreamAttempt(started_at)
        task_name = f"attempt {spec.endpoint}"
        self._scheduler.spawn(self._run_attempt, attempt, spec, spec.payload, deadline, name=task_name)
        return attempt

    def _run_attempt(
        self, attempt: UpstreamAttempt, spec: AttemptSpec, request: Message, deadline: float
    ) -> None:
        def report(result: AttemptResult) -> None:
            self._report(attempt, spec, result)

        result: AttemptResult | None = AttemptResult(AttemptStatus.ERROR)
        endpoint = self._endpoint_for_attempt(spec.endpoint)
        try:
            if endpoint is None:
                result = AttemptResult(AttemptStatus.OVERLOADED)
            else:
                endpoint.attempts[attempt] = None
                exchange = UpstreamExchange(self._context, endpoint, attempt, spec, request, deadline, report)
                result = exchange.run()
        except Exception:
            # If the end were not reported, the request would wait until its deadline.
            self._counters.add("faults")
            log.exception("attempt failed", extra={"fields": {"node": spec.endpoint}})
        finally:
            if endpoint is not None:
                endpoint.attempts.pop(attempt, None)
            if result is not None and not attempt.is_response_streaming:
                report(result)

    def _report(self, attempt: UpstreamAttempt, spec: AttemptSpec, result: AttemptResult) -> None:
        latency_ns = int((self._scheduler.now() - attempt.started_at) * _NS_PER_S)
        response = result.response
        body_stream = None if response is None else response_body_stream(response)
        discard = do_nothing if body_stream is None else body_stream.close
        spec.on_finished(AttemptOutcome(result.status, latency_ns, result.report, response, discard))
