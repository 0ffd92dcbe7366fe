"""A response of an instance: its head is complete, its body is read piece by piece."""

from __future__ import annotations

import math
from http import HTTPStatus
from typing import Protocol

import h11

from brambleusher.dataplane.client_request import HeaderList
from brambleusher.dataplane.connection_pool import ConnectionPool
from brambleusher.dataplane.errors import ResponseBrokenError
from brambleusher.dataplane.instance import Instance
from brambleusher.dataplane.response_failures import ResponseFailure, ResponseFailureLog
from brambleusher.dataplane.upstream_connection import UpstreamConnection
from brambleusher.runtime.h11_messages import receive_event
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.wire.digits import parse_digits

DEADLINE_MARGIN_S = 0.05  # a client gives up earlier than the gateway by its distance


class ResponseHead:
    """Status and headers of a response, names in lower case; `values` maps each name to its last value."""

    __slots__ = ("headers", "status", "values")

    def __init__(self, status: int, headers: HeaderList) -> None:
        self.status, self.headers = status, headers
        self.values = dict(headers)


class AttemptListener(Protocol):
    """Receives the progress and outcome of an attempt that got a response."""

    def response_started(self) -> None:
        """Handle the arrival of the first bytes of the response body."""

    def attempt_finished(self, has_succeeded: bool) -> None:
        """Handle the end of the attempt."""

    def attempt_abandoned(self) -> None:
        """Handle an abandoned attempt, usually because its client disconnected."""


class NullAttemptListener:
    """A listener for attempts whose outcome is recorded elsewhere."""

    def response_started(self) -> None:
        """Do nothing."""

    def attempt_finished(self, has_succeeded: bool) -> None:
        """Do nothing."""

    def attempt_abandoned(self) -> None:
        """Do nothing."""


class UpstreamResponse:
    """The head and body of a response; owns its connection until the body ends."""

    def __init__(
        self,
        scheduler: Scheduler,
        pool: ConnectionPool,
        instance: Instance,
        connection: UpstreamConnection,
        head: ResponseHead,
        listener: AttemptListener,
        failures: ResponseFailureLog,
    ) -> None:
        self._scheduler, self._pool = scheduler, pool
        self._instance, self._connection = instance, connection
        self._listener, self._failures = listener, failures
        self.received_bytes = 0  # of the body
        self._deadline_s = math.inf  # of the latest read
        self.status, self.headers, self._values = head.status, head.headers, head.values
        self._is_finished = self._has_body_begun = False

    def header(self, name: bytes) -> bytes:
        """Return a header's value by its lower-case name, empty if the header is missing."""
        return self._values.get(name, b"")

    @property
    def told_length(self) -> int | None:
        """The length of the body in bytes by its head, None if the body is delimited otherwise."""
        if self.header(b"transfer-encoding"):
            return None
        return parse_digits(self.header(b"content-length"))

    def read(self, deadline_s: float) -> bytes:
        """Read the next bytes of the body; empty bytes mark its end.

        Raises:
            ResponseBrokenError: The connection ended before the body was complete.
            TaskTimeoutError: The deadline passed.
        """
        self._deadline_s = deadline_s
        if self._scheduler.now() >= deadline_s:
            # Parsed bytes may be left, and the waits of this task may all have been for its client.
            self.fail(ResponseFailure.DEADLINE)
            raise TaskTimeoutError
        try:
            event = receive_event(self._connection.protocol, self._connection.stream, deadline_s)
        except (OSError, h11.ProtocolError) as error:
            is_invalid = isinstance(error, h11.ProtocolError)
            self.fail(ResponseFailure.INVALID if is_invalid else ResponseFailure.BROKEN_OFF)
            raise ResponseBrokenError(f"{self._instance.id}: the response broke off: {error!r}") from error
        except TaskTimeoutError:
            self.fail(ResponseFailure.DEADLINE)
            raise
        except BaseException:  # client disconnected or task cancelled; not a failure of the instance
            self.abandon()
            raise
        self._instance.last_contact_s = self._scheduler.now()
        if isinstance(event, h11.Data):
            if not self._has_body_begun:
                self._has_body_begun = True
                self._listener.response_started()
            self.received_bytes += len(event.data)
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._finish()
            return b""
        self.fail(ResponseFailure.BROKEN_OFF)
        raise ResponseBrokenError(f"{self._instance.id}: the connection ended within the response")

    def fail(self, failure: ResponseFailure) -> None:
        """Close the connection and record a failure, as the rest of the response can't be read."""
        if self._close():
            self._failures.record(failure, self._instance, self.status, self.received_bytes)
            self._listener.attempt_finished(False)

    def abandon(self) -> None:
        """Close the connection, as the rest of the response is not needed.

        This is no failure of the instance unless the deadline has come: clients give up at the same moment.
        """
        if self._scheduler.now() >= self._deadline_s - DEADLINE_MARGIN_S:
            self.fail(ResponseFailure.DEADLINE)
        elif self._close():
            self._listener.attempt_abandoned()

    def _close(self) -> bool:
        """Close the connection; return False if the response was already finished."""
        if self._is_finished:
            return False
        self._is_finished = True
        self._pool.close(self._instance, self._connection)
        return True

    def _finish(self) -> None:
        if not self._is_finished:
            self._is_finished = True
            self._pool.release(self._instance, self._connection, self.headers)
            self._listener.attempt_finished(self.status < HTTPStatus.INTERNAL_SERVER_ERROR)
