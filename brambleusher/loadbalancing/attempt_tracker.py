"""Requests that are owed an answer, and their attempts: in flight, written off, ended.

An attempt in flight stands in its host's `in_flight` and is counted in the proxy's traffic.  One that is
written off stands in `written_off` and counts no more: an answer may still come, and nobody waits for it.
"""

from __future__ import annotations

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.api import AttemptStatus
from brambleusher.loadbalancing.hosts import Attempt, AttemptKey, Host, Request
from brambleusher.loadbalancing.retry_policy import NEVER_RAN
from brambleusher.loadbalancing.traffic import TrafficStatistics

# The connection of an attempt that ended so is open.
_KEEPS_CONNECTION = (AttemptStatus.OK, AttemptStatus.ERROR, AttemptStatus.OVERLOADED)


class AttemptTracker:
    """Owner of the requests and of the state of their attempts."""

    def __init__(self, class_count: int, traffic: TrafficStatistics) -> None:
        self._class_count = class_count
        self._traffic = traffic
        self.requests: dict[str, Request] = {}

    def find(self, request_id: str, attempt_number: int) -> tuple[Request, Attempt] | None:
        """Return a request and its attempt; None where it is known no more."""
        request = self.requests.get(request_id)
        if request is None or attempt_number >= len(request.attempts):
            return None
        return request, request.attempts[attempt_number]

    def start(self, request: Request, host: Host, now: int, idle_ns: int) -> None:
        """Put one more attempt in flight."""
        host.begin_use(self._class_count)
        host.in_flight[(request.id, len(request.attempts))] = (request, now)
        request.attempts.append(Attempt(host, now, idle_ns))
        request.unfinished += 1
        traffic = self._traffic
        traffic.in_flight += 1
        traffic.peak_in_flight = max(traffic.peak_in_flight, traffic.in_flight)
        host.last_used_ns = now

    def end(self, request: Request, host: Host, event: api.AttemptEnded, now: int) -> bool | None:
        """Take in an attempt's end.

        Returns:
            Whether it was in flight, else it was written off; None where it had ended before.
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
        """Count an attempt in flight no more; return its request."""
        request, sent_ns = host.in_flight.pop(key)
        host.written_off[key] = (request, sent_ns)
        self._traffic.in_flight -= 1
        request.written_off += 1
        return request

    def apply_body_progress(self, event: api.RequestBodyProgressed, now: int) -> None:
        """Write an attempt off while its body is on its way; once that is complete, its time begins."""
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
        """Owe a request nothing any more: its client has left, or has its stream."""
        request = self.requests.get(request_id)
        if request is not None:
            request.is_answered = True
            self.forget_if_done(request)

    def forget_if_done(self, request: Request) -> None:
        """Forget a request that is answered and has no attempt left."""
        if request.is_answered and not request.unfinished:
            del self.requests[request.id]


def record_run(request: Request, attempt: Attempt, status: AttemptStatus) -> None:
    """Take in whether an attempt that has ended may have run: that binds a keyed request to its hosts."""
    if status is not AttemptStatus.OK and status not in NEVER_RAN:
        if not request.may_have_run or attempt.sent_ns < request.first_run_ns:
            request.first_run_host = attempt.host
            request.first_run_ns = attempt.sent_ns
        request.may_have_run = True
    elif not request.unfinished and not request.may_have_run:
        request.first_run_host = None  # proof that nothing ran: the request is free again
