"""Relays an event stream to a client event by event, across instances if the route allows it."""

from __future__ import annotations

from http import HTTPStatus

from brambleusher.dataplane.attempts import AttemptRunner
from brambleusher.dataplane.client_connection import ClientConnection
from brambleusher.dataplane.client_request import HeaderList
from brambleusher.dataplane.errors import EventTooLongError, ResponseBrokenError
from brambleusher.dataplane.event_stream import EventSplitter
from brambleusher.dataplane.memory_budget import MemoryBudget, Reservation
from brambleusher.dataplane.request_context import RequestContext
from brambleusher.dataplane.response_failures import ResponseFailure
from brambleusher.dataplane.response_relay import UNRESERVED_BYTES
from brambleusher.dataplane.upstream_response import UpstreamResponse
from brambleusher.runtime.scheduler import TaskTimeoutError
from brambleusher.wire.digits import parse_digits

EVENT_STREAM_TYPE = b"text/event-stream"
STREAMING_KIND = "streaming"


def is_event_stream(context: RequestContext, response: UpstreamResponse) -> bool:
    """Whether a response has to be relayed event by event."""
    return (
        context.route.kind == STREAMING_KIND
        and response.status == HTTPStatus.OK
        and response.header(b"content-type").startswith(EVENT_STREAM_TYPE)
    )


class StreamRelay:
    """Relays one event stream and resumes it at another instance if it breaks off."""

    def __init__(
        self,
        attempts: AttemptRunner,
        client: ClientConnection,
        context: RequestContext,
        memory: MemoryBudget,
    ) -> None:
        """Create a relay; `memory` bounds the incomplete events of all streams together."""
        self._attempts, self._client, self._context = attempts, client, context
        self._reservation = Reservation(memory, UNRESERVED_BYTES)
        self._splitter = EventSplitter(parse_digits(context.last_event_id), self._reservation)
        self._headers: HeaderList = []

    def run(self, response: UpstreamResponse) -> bool:
        """Relay the stream until it is complete; return False if it broke off and can't be resumed."""
        try:
            return self._relay_and_resume(response)
        finally:
            self._reservation.release()

    def _relay_and_resume(self, response: UpstreamResponse) -> bool:
        self._headers = response.headers
        while not self._relay(response):
            last_event_id = self._splitter.last_id
            resumed = self._attempts.resume(self._context, last_event_id)
            if resumed is None:
                return False
            response = resumed
            if not self._client.has_response_begun:
                self._headers = response.headers
            self._reservation.release()
            self._splitter = EventSplitter(last_event_id, self._reservation)
        return True

    def _relay(self, response: UpstreamResponse) -> bool:
        """Relay the events of one instance; return whether its stream was complete."""
        try:
            while data := response.read(self._context.deadline_s):
                events = self._splitter.feed(data)
                if events:
                    self._begin_response()
                    self._client.send_data(events, self._context.deadline_s)
        except (ResponseBrokenError, TaskTimeoutError):
            return False
        except EventTooLongError:
            response.fail(ResponseFailure.EVENT_TOO_LONG)
            return False
        except BaseException:  # client disconnected or task cancelled; not a failure of the instance
            response.abandon()
            raise
        if self._splitter.has_partial_event:
            return False
        self._begin_response()
        self._client.end_response()
        return True

    def _begin_response(self) -> None:
        if not self._client.has_response_begun:
            self._client.begin_response(HTTPStatus.OK, self._headers)
