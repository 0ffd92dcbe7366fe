"""Tracks unanswered requests and their attempts, which are in flight, written off or ended.

An attempt in flight is in its host's `in_flight` and counts in the proxy's traffic statistics. An attempt
that is written off is in `written_off` and no longer counts: an answer may still arrive, but nothing waits
for it.
"""

from __future__ import annotations

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.api import AttemptStatus
from brambleusher.loadbalancing.hosts import Attempt, AttemptKey, Host, Request
from brambleusher.loadbalancing.retry_policy import NOT_EXECUTED_STATUSES
from brambleusher.loadbalancing.traffic import TrafficStatistics

# Statuses after which the attempt's connection is still open.
_KEEPS_CONNECTION = (AttemptStatus.OK, AttemptStatus.ERROR, AttemptStatus.OVERLOADED)


class AttemptTracker:
    """Owns the requests and the state of their attempts."""

    def __init__(self, class_count: int, traffic: TrafficStatistics) -> None:
        self._class_count = class_count
        self._traffic = traffic
        self.requests: dict[str, Request] = {}

    def find(self, request_id: str, attempt_number: int) -> tuple[Request, Attempt] | None:
        """Return a request and one of its attempts, or None if it has been forgotten."""
        request = self.requests.get(request_id)
        if request is None or attempt_number >= len(request.attempts):
            return None
        return request, request.attempts[attempt_number]

    def start(self, request: Request, host: Host, now: int, idle_ns: int) -> None:
        """Record that an attempt of a request was sent to a host."""
        host.begin_use(self._class_count)
        host.in_flight[(request.id, len(request.attempts))] = (request, now)
        request.attempts.append(Attempt(host, now, idle_ns))
        request.unfinished += 1
        traffic = self._traffic
        traffic.in_flight += 1
        traffic.peak_in_flight = max(traffic.peak_in_flight, traffic.in_flight)
        host.last_used_ns = now

    def end(self, request: Request, host: Host, event: api.AttemptEnded, now: int) -> bool | None:
        """Record the end of an attempt.

        Returns:
            True if the attempt was in flight, False if it was written off, None if it had ended before.
        """
        key = (event.request, event.attempt)
        was_in_flight = host.in_flight.pop(key, None) is not None
        if was_in_flight:
            self._traffic.in_flight -= 1
        elif host.written_off.pop(key, None) is None:
            return None
        else:
            request.written_off -= 1
        request.unfinished -= 1
        host.last_used_ns = now
        status = event.status
        if status is not AttemptStatus.CONNECT_FAILED and status is not AttemptStatus.NOT_STARTED:
            request.has_reached_host = True
        host.is_connected = status in _KEEPS_CONNECTION
        return was_in_flight

    def write_off(self, host: Host, key: AttemptKey) -> Request:
        """Stop counting an attempt as in flight; return its request."""
        request, sent_ns = host.in_flight.pop(key)
        host.written_off[key] = (request, sent_ns)
        self._traffic.in_flight -= 1
        request.written_off += 1
        return request

    def apply_body_progress(self, event: api.RequestBodyProgressed, now: int) -> None:
        """Write off an attempt while its request body is streamed; restart its time when that is complete."""
        found = self.find(event.request, event.attempt)
        if found is None:
            return
        request, attempt = found
        host = attempt.host
        key = (event.request, event.attempt)
        request.is_body_streamed = True
        if not event.is_complete and key in host.in_flight:
            self.write_off(host, key)
        elif event.is_complete and key in host.written_off:
            del host.written_off[key]
            host.in_flight[key] = (request, now)
            request.attempts[event.attempt] = attempt._replace(sent_ns=now)
            self._traffic.in_flight += 1
            request.written_off -= 1
            request.deadline_ns = now + event.left_ns
            request.half_time_ns = now + event.left_ns // 2

    def unfinished_attempts(self, request: Request) -> list[int]:
        """Return the numbers of a request's attempts that have not ended."""
        return [
            number
            for number, (host, _, _) in enumerate(request.attempts)
            if (request.id, number) in host.in_flight or (request.id, number) in host.written_off
        ]

    def close(self, request_id: str) -> None:
        """Mark a request as answered because its client has disconnected or receives a stream."""
        request = self.requests.get(request_id)
        if request is not None:
            request.is_answered = True
            self.forget_if_done(request)

    def forget_if_done(self, request: Request) -> None:
        """Forget a request that is answered and has no unfinished attempt."""
        if request.is_answered and not request.unfinished:
            del self.requests[request.id]


def record_possible_execution(request: Request, attempt: Attempt, status: AttemptStatus) -> None:
    """Record whether an ended attempt may have been executed.

    If so, a keyed request may only be retried at hosts of the same deduplication scope.
    """
    if status is not AttemptStatus.OK and status not in NOT_EXECUTED_STATUSES:
        if not request.may_have_run or attempt.sent_ns < request.first_run_ns:
            request.first_run_host = attempt.host
            request.first_run_ns = attempt.sent_ns
        request.may_have_run = True
    elif not request.unfinished and not request.may_have_run:
        request.first_run_host = None  # no attempt was executed, so the request may go to any host again
