"""Runs one attempt on an endpoint and maps each failure to an attempt status."""

from __future__ import annotations

import logging
from collections.abc import Callable

from brambleusher.loadbalancing.api import AttemptStatus, LoadReport
from brambleusher.net.http import HttpError, Message
from brambleusher.net.request_lifecycle import AttemptSpec
from brambleusher.net.streamed_bodies import (
    EarlyResponseError,
    RequestBodyStream,
    ResponseBodyStream,
    request_body_stream,
    response_body_stream,
)
from brambleusher.net.upstream_connections import UpstreamConnections
from brambleusher.net.upstream_endpoint import AttemptResult, UpstreamAttempt, UpstreamEndpoint
from brambleusher.net.upstream_request_writer import encode_request, stream_request
from brambleusher.net.upstream_response_reader import UpstreamResponseReader
from brambleusher.net.upstream_responses import attempt_status_of, load_report_of
from brambleusher.observability.counters import Counters
from brambleusher.observability.log_format import RateLimitedLog
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import Stream, WaitInterruptedError

log = logging.getLogger(__name__)

EARLY_RESPONSE_TIMEOUT_S = 0.5  # limit in seconds for the response to an incomplete request


class UpstreamExchangeContext:
    """Dependencies and log limiters shared by all attempts."""

    __slots__ = ("bad_reports", "bad_responses", "connections", "counters", "on_request_sent", "scheduler")

    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        connections: UpstreamConnections,
        on_request_sent: Callable[[], None],
    ) -> None:
        self.scheduler, self.counters, self.connections = scheduler, counters, connections
        self.on_request_sent = on_request_sent
        self.bad_responses = RateLimitedLog(log, scheduler.now)
        self.bad_reports = RateLimitedLog(log, scheduler.now)


class UpstreamExchange:
    """The exchange of one request and its response on a connection to an endpoint."""

    __slots__ = ("_attempt", "_context", "_deadline", "_endpoint", "_spec", "_report_streaming", "_request")

    def __init__(
        self,
        context: UpstreamExchangeContext,
        endpoint: UpstreamEndpoint,
        attempt: UpstreamAttempt,
        spec: AttemptSpec,
        request: Message,
        deadline: float,
        report_streaming: Callable[[AttemptResult], None],
    ) -> None:
        """Create an exchange; a streamed response is passed to `report_streaming`, not returned by `run`."""
        self._context, self._endpoint, self._attempt = context, endpoint, attempt
        self._spec, self._request, self._deadline = spec, request, deadline
        self._report_streaming = report_streaming

    @property
    def attempt(self) -> UpstreamAttempt:
        """The attempt that this exchange runs."""
        return self._attempt

    def run(self) -> AttemptResult | None:
        """Run the attempt.

        Returns:
            The result, or None if it was already reported and the rest of the response was streamed.
        """
        attempt, keep = self._attempt, False
        try:
            body = request_body_stream(self._request)
            stream = self._prepare(body)
            if isinstance(stream, AttemptResult):
                return stream
            time_left_ms = self._time_left_ms(body)
            # The request may have ended while the attempt waited for a connection.
            if time_left_ms < 1 or not self._spec.is_still_needed():
                return AttemptResult(AttemptStatus.NOT_STARTED)
            deadline = self._send_request(stream, body, time_left_ms)
            response, keep = UpstreamResponseReader(stream, attempt.cancel_event, deadline).read()
            status = attempt_status_of(response)
            if status is AttemptStatus.OVERLOADED and attempt.has_new_connection:
                self._endpoint.limit.record_rejection(self._context.scheduler.now())
                keep = False  # the connection would occupy a slot at the overloaded endpoint
            response_body = response_body_stream(response)
            if response_body is None:
                return AttemptResult(status, self._load_report(response), response)
            if status is not AttemptStatus.OK:
                return AttemptResult(status, self._load_report(response))
            keep = self._stream_response(status, response, response_body)
            return None
        except (EarlyResponseError, WaitInterruptedError, TaskTimeoutError, OSError, HttpError) as error:
            return self._result_of(error)
        finally:
            if attempt.stream is not None:
                self._endpoint.limit.record_release(self._context.scheduler.now(), keep)
                keep = keep or not attempt.has_started_sending
                self._context.connections.release(self._endpoint, attempt.stream, keep)

    def _prepare(self, body: RequestBodyStream | None) -> Stream | AttemptResult:
        """Acquire a connection, or return the attempt's result if the request must not be sent."""
        attempt, context = self._attempt, self._context
        if body is not None and body.is_consumed:
            return AttemptResult(AttemptStatus.NOT_STARTED)  # an earlier attempt sent part of the body
        stream = context.connections.acquire(self._endpoint, attempt, self._deadline)
        attempt.stream = stream
        if stream is None:
            # The endpoint is not at fault. When this was reported as overloaded, a sidecar short of
            # connections considered all endpoints overloaded and rejected nearly every request.
            context.counters.add("connections_lacking")
            return AttemptResult(AttemptStatus.NOT_STARTED)
        if attempt.cancelled_as is not None:
            return AttemptResult(attempt.status_if_cancelled)
        return stream

    def _send_request(self, stream: Stream, body: RequestBodyStream | None, time_left_ms: int) -> float:
        """Send the request and return the deadline of its response."""
        attempt, context, deadline = self._attempt, self._context, self._deadline
        context.counters.add("claims_sent")
        attempt.has_started_sending = True
        data = encode_request(self._request, self._endpoint.address, time_left_ms, body)
        if body is None:
            stream.send(data, deadline)
        else:
            stream_request(stream, attempt, body, data, self._spec.on_body_progress)
            attempt.started_at, deadline = context.scheduler.now(), body.due
        attempt.is_request_sent = True
        context.on_request_sent()
        if body is not None:
            self._spec.on_body_progress(True)
        return deadline

    def _time_left_ms(self, body: RequestBodyStream | None) -> int:
        if body is not None:
            return body.client_timeout_ms
        return int((self._deadline - self._context.scheduler.now()) * 1000)

    def _stream_response(self, status: AttemptStatus, response: Message, body: ResponseBodyStream) -> bool:
        """Wait until the response was relayed, and return whether its connection may be reused."""
        self._attempt.is_response_streaming = True
        self._report_streaming(AttemptResult(status, self._load_report(response), response))
        self._context.scheduler.park(event=body.closed_event)
        return response.keep_alive and body.is_connection_reusable

    def _result_of(self, error: Exception) -> AttemptResult:
        """Map a failure to a result; a request whose last byte was not sent has not run."""
        attempt = self._attempt
        if isinstance(error, EarlyResponseError):
            return self._result_of_early_response()
        if isinstance(error, WaitInterruptedError):
            return AttemptResult(attempt.status_if_cancelled)
        if isinstance(error, HttpError):
            self._context.counters.add("bad_answers")
            self._context.bad_responses.warning("bad response", node=self._endpoint.name, reason=error)
            return AttemptResult(AttemptStatus.ERROR)
        if not attempt.is_request_sent:
            return AttemptResult(AttemptStatus.CONNECT_FAILED)
        is_timeout = isinstance(error, TaskTimeoutError)
        return AttemptResult(AttemptStatus.TIMEOUT if is_timeout else AttemptStatus.RESET)

    def _result_of_early_response(self) -> AttemptResult:
        """Read an endpoint's response to an incomplete request, which has not run but may be rejected."""
        attempt, deadline = self._attempt, self._context.scheduler.now() + EARLY_RESPONSE_TIMEOUT_S
        assert attempt.stream is not None
        try:
            response, _ = UpstreamResponseReader(attempt.stream, attempt.cancel_event, deadline).read()
        except (OSError, TaskTimeoutError, HttpError, WaitInterruptedError):
            return AttemptResult(AttemptStatus.CONNECT_FAILED)
        if attempt_status_of(response) is AttemptStatus.OVERLOADED:
            return AttemptResult(AttemptStatus.OVERLOADED, self._load_report(response))
        return AttemptResult(AttemptStatus.CONNECT_FAILED)

    def _load_report(self, response: Message) -> LoadReport | None:
        def on_fault(fault: str) -> None:
            self._context.counters.add("bad_reports")
            self._context.bad_reports.warning("bad load report", node=self._endpoint.name, reason=fault)

        return load_report_of(response, on_fault)
