"""Pools connections to endpoints: reuses idle connections, limits new ones and closes unused ones."""

from __future__ import annotations

from collections.abc import Mapping

from brambleusher.loadbalancing.api import CONNECT_TIMEOUT_FRACTION
from brambleusher.loadbalancing.connection_limits import ConnectPacing
from brambleusher.net.upstream_endpoint import UpstreamAttempt, UpstreamEndpoint
from brambleusher.observability.counters import Counters
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import Stream, WaitInterruptedError

# Seconds between a response and the reuse of its connection. A duplicate response to the same request that
# arrives a few milliseconds late would otherwise be taken for the response to the next request.
REUSE_DELAY_S = 0.02


class UpstreamConnections:
    """Assigns connections to attempts; each connection serves one attempt at a time."""

    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        endpoints: Mapping[str, UpstreamEndpoint],
        pacing: ConnectPacing,
        connect_timeout_s: float,
        max_connections: int,
    ) -> None:
        """Create a pool for `endpoints`, which the caller updates; `max_connections` limits their total."""
        self._scheduler, self._counters = scheduler, counters
        self._endpoints, self._pacing = endpoints, pacing
        self._connect_timeout_s = connect_timeout_s
        self.max_connections = max_connections
        self.open_count = 0

    def acquire(self, endpoint: UpstreamEndpoint, attempt: UpstreamAttempt, deadline: float) -> Stream | None:
        """Take the most recently used healthy idle connection, or open a new one when the limits allow it.

        Returns:
            The connection, or None if the limit over all endpoints is reached.

        Raises:
            OSError: The connection could not be opened.
            TaskTimeoutError: No connection became available in time.
            WaitInterruptedError: The attempt was cancelled.
        """
        now = self._scheduler.now()
        # Use only a fraction of the time, so that an unreachable endpoint leaves time to try another.
        until = now + min(self._connect_timeout_s, (deadline - now) * CONNECT_TIMEOUT_FRACTION)
        while True:
            if (stream := self._take_idle(endpoint, now)) is not None:
                self._counters.add("connections_reused")
                break
            wait_s = self._reuse_delay_left_s(endpoint, now)
            if not 0 < wait_s < until - now and (wait_s := endpoint.limit.wait_s(now)) <= 0:
                if self.open_count >= self.max_connections and not self._close_longest_idle():
                    return None
                stream = self._connect(endpoint, attempt, until)
                break
            self._counters.add("connects_put_off")
            self._await_turn(endpoint, attempt, min(until, now + wait_s))
            now = self._scheduler.now()
            if now >= until:
                raise TaskTimeoutError
        endpoint.limit.record_acquire(self._scheduler.now())
        return stream

    def release(self, endpoint: UpstreamEndpoint, stream: Stream, keep: bool) -> None:
        """Return a connection to the pool and wake the attempt that has waited longest for a connection."""
        if not keep or endpoint.is_draining or not stream.open:
            self._discard(endpoint, stream)
        else:
            stream.used_at = self._scheduler.now()
            endpoint.idle.append(stream)
        if endpoint.waiting:
            endpoint.waiting.popleft().cancel_event.set()

    def close_idle(self, endpoint: UpstreamEndpoint) -> None:
        """Close the idle connections to an endpoint."""
        while endpoint.idle:
            self._discard(endpoint, endpoint.idle.pop())

    def close_expired(self, endpoint: UpstreamEndpoint, now: float) -> None:
        """Close idle connections that have expired, were closed by the endpoint or exceed the idle limit."""
        oldest_use = now - self._pacing.idle_timeout_s
        retained = [stream for stream in endpoint.idle if stream.used_at > oldest_use and stream.is_idle()]
        # Keep the most recently used connections, which are at the end of the list.
        retained = retained[max(0, len(retained) - max(endpoint.limit.idle_to_keep(now), 1)) :]
        for stream in endpoint.idle:
            if stream not in retained:
                self._discard(endpoint, stream)
        endpoint.idle[:] = retained

    def _take_idle(self, endpoint: UpstreamEndpoint, now: float) -> Stream | None:
        for at in range(len(endpoint.idle) - 1, -1, -1):
            stream = endpoint.idle[at]
            if now < stream.used_at + REUSE_DELAY_S:
                continue
            del endpoint.idle[at]
            # Avoids sending a request on a connection that its endpoint has closed or is about to close.
            if now - stream.used_at < self._pacing.idle_timeout_s and stream.is_idle():
                return stream
            self._discard(endpoint, stream)
        return None

    @staticmethod
    def _reuse_delay_left_s(endpoint: UpstreamEndpoint, now: float) -> float:
        """Return the seconds until an idle connection may be reused, or 0 if no connection is idle."""
        return endpoint.idle[0].used_at + REUSE_DELAY_S - now if endpoint.idle else 0.0

    def _connect(self, endpoint: UpstreamEndpoint, attempt: UpstreamAttempt, until: float) -> Stream:
        self.open_count += 1
        endpoint.limit.record_open()
        try:
            stream = Stream.connect(self._scheduler, endpoint.address, until, attempt.cancel_event)
        except BaseException as error:
            if isinstance(error, OSError):
                endpoint.limit.record_rejection(self._scheduler.now())
            self.open_count -= 1
            endpoint.limit.record_close()
            raise
        attempt.has_new_connection = True
        self._counters.add("connections_opened")
        return stream

    def _await_turn(self, endpoint: UpstreamEndpoint, attempt: UpstreamAttempt, until: float) -> None:
        """Wait until a connection is released or `until` is reached, when a new one may be opened."""
        endpoint.waiting.append(attempt)
        try:
            self._scheduler.park(until, event=attempt.cancel_event)
        except TaskTimeoutError:
            return
        finally:
            if attempt in endpoint.waiting:
                endpoint.waiting.remove(attempt)
        if attempt.cancelled_as is not None:
            raise WaitInterruptedError

    def _discard(self, endpoint: UpstreamEndpoint, stream: Stream) -> None:
        if stream.open:
            self.open_count -= 1
            endpoint.limit.record_close()
            stream.close()

    def _close_longest_idle(self) -> bool:
        """Close the least recently used idle connection; return false if no connection is idle."""
        with_idle = [endpoint for endpoint in self._endpoints.values() if endpoint.idle]
        if not with_idle:
            return False
        endpoint = min(with_idle, key=lambda endpoint: endpoint.idle[0].used_at)
        self._discard(endpoint, endpoint.idle.pop(0))
        return True
