"""A response of an instance whose head has come; its body is read in pieces."""

from __future__ import annotations

from http import HTTPStatus
from typing import Protocol

import h11

from brambleusher.dataplane.client_request import HeaderList
from brambleusher.dataplane.connection_pool import ConnectionPool
from brambleusher.dataplane.errors import ResponseBrokenError
from brambleusher.dataplane.instance import Instance
from brambleusher.dataplane.upstream_connection import UpstreamConnection
from brambleusher.runtime.h11_messages import receive_event
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError


class ResponseHead:
    """Status and headers of a response, names in lower case; `values` has the last value of each name."""

    __slots__ = ("headers", "status", "values")

    def __init__(self, status: int, headers: HeaderList) -> None:
        self.status, self.headers = status, headers
        self.values = dict(headers)


class AttemptListener(Protocol):
    """Is notified of the outcome of an attempt that has a response."""

    def response_started(self) -> None:
        """Record the first bytes of the body."""

    def attempt_finished(self, has_succeeded: bool) -> None:
        """Record the end of the attempt."""

    def attempt_abandoned(self) -> None:
        """Record that the rest of the attempt is not wanted: its client has left."""


class OutcomeIgnored:
    """A listener for attempts whose outcome is recorded elsewhere."""

    def response_started(self) -> None:
        """Do nothing."""

    def attempt_finished(self, has_succeeded: bool) -> None:
        """Do nothing."""

    def attempt_abandoned(self) -> None:
        """Do nothing."""


class UpstreamResponse:
    """Head and body of a response; owns its connection until the body ends."""

    def __init__(
        self,
        scheduler: Scheduler,
        pool: ConnectionPool,
        instance: Instance,
        connection: UpstreamConnection,
        head: ResponseHead,
        listener: AttemptListener,
    ) -> None:
        self._scheduler, self._pool = scheduler, pool
        self._instance, self._connection = instance, connection
        self._listener = listener
        self.status, self.headers, self._values = head.status, head.headers, head.values
        self._is_finished = self._has_body_begun = False

    def header(self, name: bytes) -> bytes:
        """Return a header's value by its name in lower case, empty where it is missing."""
        return self._values.get(name, b"")

    def read(self, deadline_s: float) -> bytes:
        """Read the next bytes of the body, empty at its end.

        Raises:
            ResponseBrokenError: The connection ended before the body was complete.
            TaskTimeoutError: The deadline passed.
        """
        try:
            event = receive_event(self._connection.protocol, self._connection.stream, deadline_s)
        except (OSError, h11.ProtocolError) as error:
            self.fail()
            raise ResponseBrokenError(f"{self._instance.id}: the response broke off: {error!r}") from error
        except TaskTimeoutError:
            self.fail()
            raise
        except BaseException:  # the client left, or the task was cancelled: no fault of the instance
            self.abandon()
            raise
        self._instance.last_contact_s = self._scheduler.now()
        if isinstance(event, h11.Data):
            if not self._has_body_begun:
                self._has_body_begun = True
                self._listener.response_started()
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._finish()
            return b""
        self.fail()
        raise ResponseBrokenError(f"{self._instance.id}: the connection ended within the response")

    def fail(self) -> None:
        """Close the connection: the rest can't be had."""
        if self._close():
            self._listener.attempt_finished(False)

    def abandon(self) -> None:
        """Close the connection: the rest is not wanted."""
        if self._close():
            self._listener.attempt_abandoned()

    def _close(self) -> bool:
        """Close the connection; false where the response was finished before."""
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
