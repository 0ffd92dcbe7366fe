"""The client side of one attempt: sends a request to an instance and reads the response head."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import h11
from result import Err, Ok, Result

from brambleusher.dataplane.attempt_failure import (
    AttemptFailure,
    AttemptOutcomeUnknown,
    AttemptRejected,
    ConnectFailed,
)
from brambleusher.dataplane.client_request import HeaderList
from brambleusher.dataplane.connection_pool import RESPONSE_HEAD_MAX_BYTES, ConnectionPool
from brambleusher.dataplane.errors import ResponseBrokenError
from brambleusher.dataplane.instance import Instance
from brambleusher.dataplane.instance_table import InstanceTable
from brambleusher.dataplane.response_failures import ResponseFailure, ResponseFailureLog
from brambleusher.dataplane.upstream_connection import UpstreamConnection
from brambleusher.dataplane.upstream_response import (
    AttemptListener,
    NullAttemptListener,
    ResponseHead,
    UpstreamResponse,
)
from brambleusher.runtime.h11_messages import encode_message, header_list, receive_event
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.wire import instance_load

REJECTION_BODY_MAX_BYTES = 64 * 1024  # a longer body is not read for the sake of its connection
STRAY_BODY_MAX_BYTES = 1024 * 1024  # of a response to another request
INTERIM_RESPONSES_MAX = 16  # 1xx responses before the head of a response
STRAY_RESPONSES_MAX = 4  # how many responses are read in search of the one to this request
UNCHECKED_IDLE_S = 0.05  # after this idle time an instance may have dropped a connection silently
LIVENESS_MARGIN_S = 0.004  # added to the round trips for timer inaccuracy and short queues
LIVENESS_ROUND_TRIPS = 1.5  # the liveness check waits for this many round trips
LIVENESS_MAX_S = 0.1  # upper bound of the wait of the liveness check
HEAD_END = b"\r\n\r\n"
ATTEMPT_HEADER = b"x-attempt-id"
NOT_EXECUTED_HEADER = b"x-not-executed"
MISDIRECTED_REQUEST = 421  # HTTP status of an instance that is not the one named in the request


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request as it is sent to one instance."""

    instance: Instance
    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes
    attempt_id: bytes
    deadline_s: float
    must_run_once: bool  # the request must not be sent again once it may have run
    begin_run: Callable[[], None]  # called before the last byte is sent, after which the request may run

    def head(self) -> h11.Request:
        """Return the request line and headers as an h11 event."""
        return h11.Request(method=self.method, target=self.target, headers=list(self.headers))


@dataclass(frozen=True, slots=True)
class _PreparedAttempt:
    connection: UpstreamConnection
    unsent: bytes


class UpstreamClient:
    """Sends requests to instances over pooled connections."""

    def __init__(
        self,
        scheduler: Scheduler,
        instances: InstanceTable,
        pool: ConnectionPool,
        failures: ResponseFailureLog,
    ) -> None:
        self._scheduler, self._instances, self._pool = scheduler, instances, pool
        self._failures = failures
        self.malformed_loads = 0

    def has_capacity(self, instance: Instance) -> bool:
        """Whether an attempt can get a connection to an instance."""
        return self._pool.has_capacity(instance)

    def send(
        self, request: UpstreamRequest, listener: AttemptListener
    ) -> Result[UpstreamResponse, AttemptFailure]:
        """Send a request and wait for the head of its response.

        The listener is notified only if a response is returned.
        """
        prepared = self._prepare(request)
        if isinstance(prepared, Err):
            return prepared
        connection = prepared.ok_value.connection
        head = self._exchange(request, prepared.ok_value)
        if head is None:
            return Err(AttemptOutcomeUnknown())
        self._pool.record_response(connection)
        self._record_load(request.instance, head)
        if _is_rejection(head):
            return Err(self._drain_rejection(request, connection, head))
        return Ok(self._response(request, connection, head, listener))

    # --- connection -------------------------------------------------------------------------------

    def _prepare(self, request: UpstreamRequest) -> Result[_PreparedAttempt, ConnectFailed]:
        """Get a connection, reusing an idle one if possible, and serialize the request."""
        head = request.head()  # `head` may raise, so it is called before a connection is taken
        # Without an attempt id, the response can be matched to the request only on a new connection.
        if request.attempt_id:
            reused = self._reuse_connection(request, head)
            if reused is not None:
                return Ok(reused)
        opened = self._pool.connect(request.instance, request.deadline_s)
        if isinstance(opened, Err):
            return opened
        connection = opened.ok_value
        return Ok(_PreparedAttempt(connection, encode_message(connection.protocol, head, request.body)))

    def _reuse_connection(self, request: UpstreamRequest, head: h11.Request) -> _PreparedAttempt | None:
        connection = self._pool.acquire_idle(request.instance, request.must_run_once)
        if connection is None:
            return None
        data = encode_message(connection.protocol, head, request.body)
        needs_check = request.must_run_once and self._pool.drops_idle_silently
        if not needs_check or connection.idle_s <= UNCHECKED_IDLE_S:
            return _PreparedAttempt(connection, data)
        probe_bytes = data.index(HEAD_END)  # the head without its end
        if self._is_alive(request, connection, data[:probe_bytes]):
            return _PreparedAttempt(connection, data[probe_bytes:])
        self._pool.close(request.instance, connection)
        self._pool.record_reset(connection)
        return None

    def _is_alive(self, request: UpstreamRequest, connection: UpstreamConnection, begin: bytes) -> bool:
        """Send the begin of a request's head; return whether the connection is still alive.

        An instance that has silently dropped a connection resets it when bytes arrive.  A request whose head
        is incomplete can't have run, so it may then be sent over another connection.  One whose body is
        incomplete may have run: an instance may answer before it has read the body.
        """
        timeout_s = min(connection.handshake_s * LIVENESS_ROUND_TRIPS + LIVENESS_MARGIN_S, LIVENESS_MAX_S)
        until_s = self._scheduler.now() + timeout_s
        try:
            connection.stream.send(begin, request.deadline_s)
            self._scheduler.park(min(until_s, request.deadline_s), connection.stream.sock)
        except TaskTimeoutError:
            return True
        except OSError:
            return False
        except BaseException:
            self._pool.close(request.instance, connection)
            raise
        return False  # the end of the connection, or bytes that can't answer this request

    # --- response ---------------------------------------------------------------------------------

    def _response(
        self,
        request: UpstreamRequest,
        connection: UpstreamConnection,
        head: ResponseHead,
        listener: AttemptListener,
    ) -> UpstreamResponse:
        return UpstreamResponse(
            self._scheduler, self._pool, request.instance, connection, head, listener, self._failures
        )

    def _exchange(self, request: UpstreamRequest, prepared: _PreparedAttempt) -> ResponseHead | None:
        """Send the rest of a request and read the head of its response; return None if no head arrives."""
        connection = prepared.connection
        head: ResponseHead | None = None
        try:
            request.begin_run()
            connection.stream.send(prepared.unsent, request.deadline_s)
            head = _read_matching_head(connection, request)
        except h11.ProtocolError:
            self._pool.record_reset(connection)
            self._failures.record(ResponseFailure.INVALID, request.instance, 0, 0)
        except OSError:
            self._pool.record_reset(connection)
        except TaskTimeoutError:
            pass  # no evidence against the connection: the instance may be slow
        except BaseException:
            self._pool.close(request.instance, connection)
            raise
        if head is None:
            self._pool.close(request.instance, connection)
        return head

    def _record_load(self, instance: Instance, head: ResponseHead) -> None:
        value = head.values.get(instance_load.HEADER)
        if value is None:
            return
        load = instance_load.read(value)
        if load is None:
            self.malformed_loads += 1
        else:
            self._instances.record_load(instance, load)

    def _drain_rejection(
        self, request: UpstreamRequest, connection: UpstreamConnection, head: ResponseHead
    ) -> AttemptRejected:
        """Read the body of a rejection, so that the connection can be reused, unless it is long."""
        response = self._response(request, connection, head, NullAttemptListener())
        try:
            while response.read(request.deadline_s):
                if response.received_bytes > REJECTION_BODY_MAX_BYTES:
                    response.fail(ResponseFailure.TOO_LONG)
                    break
        except (ResponseBrokenError, TaskTimeoutError):
            pass  # the head already states that the request did not run
        return AttemptRejected(response.status)


def _is_rejection(head: ResponseHead) -> bool:
    """Whether an instance states that it has not run the request and never will."""
    return head.status == MISDIRECTED_REQUEST or NOT_EXECUTED_HEADER in head.values


def _read_matching_head(connection: UpstreamConnection, request: UpstreamRequest) -> ResponseHead | None:
    """Read the head of the response to this request, and drop responses to other requests.

    Instances echo the attempt id.  A response without the id is accepted only on a new connection: on a
    reused one, a second response to the previous request would look the same.
    """
    for _ in range(STRAY_RESPONSES_MAX):
        head = _read_head(connection, request.deadline_s)
        if head is None:
            return None
        echoed = head.values.get(ATTEMPT_HEADER)
        if echoed == request.attempt_id or (echoed is None and not connection.is_reused):
            return head
        if not _drop_response(connection, request.deadline_s):
            return None
    return None


def _read_head(connection: UpstreamConnection, deadline_s: float) -> ResponseHead | None:
    for _ in range(INTERIM_RESPONSES_MAX + 1):
        event = receive_event(connection.protocol, connection.stream, deadline_s)
        if isinstance(event, h11.Response):
            return ResponseHead(event.status_code, header_list(event.headers))
        if not isinstance(event, h11.InformationalResponse):
            return None
    raise h11.RemoteProtocolError("too many interim responses")


def _drop_response(connection: UpstreamConnection, deadline_s: float) -> bool:
    """Read a response to another request, and prepare the parser for the next response."""
    received_bytes = 0
    while True:
        event = receive_event(connection.protocol, connection.stream, deadline_s)
        if isinstance(event, h11.EndOfMessage):
            break
        if not isinstance(event, h11.Data):
            return False
        received_bytes += len(event.data)
        if received_bytes > STRAY_BODY_MAX_BYTES:
            raise h11.RemoteProtocolError("a response to another request is too long")
    received = connection.protocol.trailing_data[0]
    connection.protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=RESPONSE_HEAD_MAX_BYTES)
    # The h11 parser reads a response only after it has sent a request.
    encode_message(connection.protocol, h11.Request(method=b"GET", target=b"/", headers=[(b"Host", b"-")]))
    if received:
        connection.protocol.receive_data(received)
    return True
