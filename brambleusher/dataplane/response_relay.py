"""Relays a response that is not an event stream: buffered while it is small, passed on as it arrives beyond.

A buffered response that breaks off can be requested again from another instance. One that is passed on needs
no more memory than one read, whatever its size; where it breaks off, the client gets an incomplete response.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum

from brambleusher.dataplane.client_connection import ClientConnection
from brambleusher.dataplane.errors import ResponseBrokenError
from brambleusher.dataplane.memory_budget import MemoryBudget, Reservation
from brambleusher.dataplane.request_context import RequestContext
from brambleusher.dataplane.upstream_response import UpstreamResponse
from brambleusher.runtime.disconnect_watch import PeerDisconnectedError
from brambleusher.runtime.scheduler import TaskTimeoutError

BUFFERED_MAX_BYTES = 1024 * 1024  # a larger response is passed on
UNRESERVED_BYTES = 16 * 1024  # each response may buffer this much outside the memory of all responses
SEND_BYTES = 64 * 1024  # a larger body is sent in parts, as each send copies its bytes


class RelayOutcome(Enum):
    """How the relay of one response ended."""

    COMPLETE = "complete"
    BROKEN_BEFORE_SENT = "broken_before_sent"  # the client has got nothing of it
    BROKEN_OFF = "broken_off"  # the client has got a part, and its connection was closed


class ResponseRelay:
    """Relays one response of an instance to the client."""

    def __init__(self, client: ClientConnection, context: RequestContext, memory: MemoryBudget) -> None:
        self._client, self._context = client, context
        self._reservation = Reservation(memory, UNRESERVED_BYTES)
        self._has_client_left = False

    def run(self, response: UpstreamResponse) -> RelayOutcome:
        """Relay the response until it is complete or breaks off.

        Raises:
            PeerDisconnectedError: The client disconnected before the response was complete.
        """
        try:
            return self._relay(response)
        finally:
            self._reservation.release()

    def _relay(self, response: UpstreamResponse) -> RelayOutcome:
        body = bytearray()
        try:
            while data := response.read(self._context.deadline_s):
                body += data
                if len(body) > BUFFERED_MAX_BYTES or not self._reservation.grow_to(len(body)):
                    return self._pass_on(response, body)
        except (ResponseBrokenError, TaskTimeoutError):
            return RelayOutcome.BROKEN_BEFORE_SENT
        self._send_complete(response, body)
        return RelayOutcome.COMPLETE

    def _send_complete(self, response: UpstreamResponse, body: bytearray) -> None:
        if len(body) <= SEND_BYTES:
            self._client.send_response(response.status, response.headers, bytes(body))
            return
        self._client.begin_response(response.status, response.headers, len(body))
        for part in _parts(body):
            self._client.send_data(part)
        self._client.end_response()

    def _pass_on(self, response: UpstreamResponse, begin: bytearray) -> RelayOutcome:
        """Send the begin of the body, and each further part of it as it arrives."""
        try:
            self._client.begin_response(response.status, response.headers, response.told_length)
            for part in _parts(begin):
                self._send(part)
            begin.clear()
            self._reservation.release()
            while data := response.read(self._context.deadline_s):
                self._send(data)
        except (ResponseBrokenError, TaskTimeoutError):
            self._client.break_off()
            return RelayOutcome.BROKEN_OFF
        except BaseException:  # client disconnected or task cancelled; not a failure of the instance
            response.abandon()
            raise
        if self._has_client_left:
            raise PeerDisconnectedError
        self._client.end_response()
        return RelayOutcome.COMPLETE

    def _send(self, data: bytes) -> None:
        """Send a part of the body, until the deadline of the request.

        A response to a request that may run only once is read to its end even if the client disconnects.
        """
        if self._has_client_left:
            return
        try:
            self._client.send_data(data, self._context.deadline_s)
        except PeerDisconnectedError:
            if self._context.route.is_cancellable:
                raise
            self._has_client_left = True


def _parts(body: bytearray) -> Iterator[bytes]:
    for begin in range(0, len(body), SEND_BYTES):
        yield bytes(body[begin : begin + SEND_BYTES])
