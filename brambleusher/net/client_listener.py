"""The clients' side: the listener, `/ready`, connections, and requests as HTTP has them."""

from __future__ import annotations

import logging
import math
import re
from collections.abc import Callable
from dataclasses import dataclass, replace

from brambleusher.decisions.balancer_driver import (
    BalancerDriver,
    ClientRequest,
    Clock,
    DuplicateRequestError,
)
from brambleusher.loadbalancing.api import Idempotency
from brambleusher.loadbalancing.connection_admission import FIRST_REQUEST_S, ConnectionAdmission
from brambleusher.loadbalancing.maintenance import ClientDraining
from brambleusher.net.client_presence import ClientPresence
from brambleusher.net.header_forwarding import HeaderRewriter, end_to_end
from brambleusher.net.http import (
    MAX_STREAMED_BODY_BYTES,
    Framing,
    HeaderField,
    HttpError,
    Message,
    MessageReader,
    chunk,
    write_response,
)
from brambleusher.net.request_lifecycle import ClientHandle, FinalResponse, RequestLifecycle, ResponseKind
from brambleusher.net.streamed_bodies import LEAST_RATE, RequestBodyStream, ResponseBodyStream
from brambleusher.net.upstream_pool import UpstreamPool
from brambleusher.observability.counters import Counters
from brambleusher.observability.log_format import SparseLog
from brambleusher.observability.request_counts import FAILED, REJECTED, SERVED, RequestCounts
from brambleusher.runtime.scheduler import Scheduler, Task, TaskTimeoutError
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import RESOURCE_EXHAUSTION_ERRNOS, Socket

log = logging.getLogger(__name__)

BACKLOG = 512
FIRST_SECONDS = 2.4  # from a connection's accept to the last byte of its first request
READ_SECONDS = 2.4  # from the first byte of a later request to its last
IDLE_SECONDS = 2.2  # a client's connection between requests; many ask once and never come back
WRITE_SECONDS = 10.0  # for a client that reads its answer, or a piece of it, slowly
BODY_LINGER_SECONDS = 2.0  # that a body whose request was answered early may still come
NO_DESCRIPTOR_SECONDS = 0.05
# An answer leaves so much before its client stops waiting; a tenth of what is left, if that is less.
ANSWER_MARGIN_NS = 10_000_000

# Both end 0.7 s after SIGTERM at the latest: what comes later may be cut off unanswered.
LAST_CONNECTS_SECONDS = 0.2  # that the listener stays open at the most once the sidecar winds down
LAST_REQUESTS_SECONDS = 0.2  # that a request which is there when the one before it is answered is taken
CONNECT_PAUSE_SECONDS = 0.05  # without a new connection that end it sooner
LEAVE_LOOK_SECONDS = 0.05  # between two looks at connections that are to leave

_ID = re.compile(r"[\x21-\x7e]{1,128}\Z")
_NUMBER = re.compile(r"[0-9]{1,9}\Z")
_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,9})?\Z")


_ENDS = {ResponseKind.SERVED: SERVED, ResponseKind.REFUSED: REJECTED, ResponseKind.FAILED: FAILED}


@dataclass(slots=True)
class ClientResponse:
    """An answer as it is worded for HTTP; `end` is what it counts as, for the class of its request."""

    status: int
    headers: list[HeaderField]
    body: bytes
    request_class: str | None = None  # None: it answers nothing that was taken
    end: str = FAILED
    taken: bool = True  # its request came whole
    rest: ResponseBodyStream | None = None  # in place of `body`
    last: bool = False  # its connection can't carry another request


class ResponseTruncatedError(Exception):
    """The rest of an answer that passes on does not come."""


class ClientConnection:
    """One client's connection."""

    __slots__ = ("accepted_at", "asked", "peer", "released", "stream", "task", "waited")

    def __init__(self, stream: Stream, peer: str) -> None:
        self.stream, self.peer = stream, peer
        self.task: Task | None = None
        self.accepted_at = stream.used_at
        self.waited = 0.0  # seconds that it may have been in the system's queue, with a request
        self.asked = False  # a request of it was answered
        self.released = False  # its task serves it no more, and does not close it


class ClientListener:
    """Accepts clients and serves their requests, one at a time on each connection."""

    def __init__(
        self,
        scheduler: Scheduler,
        decisions: BalancerDriver,
        nodes: UpstreamPool,
        clock: Clock,
        counters: Counters,
        places: ConnectionAdmission,
        is_ready: Callable[[], bool],
        rewrites: HeaderRewriter | None = None,
        request_counts: RequestCounts | None = None,
        service: ClientDraining | None = None,
    ) -> None:
        self._scheduler, self._decisions, self._clock = scheduler, decisions, clock
        self._counters, self._places, self._is_ready = counters, places, is_ready
        self._life, self._rewrites = RequestLifecycle(decisions, nodes, scheduler), rewrites
        self._methods = {
            cls.name: "GET" if cls.idempotency is Idempotency.SAFE else "POST"
            for cls in decisions.settings.classes
        }
        self._tenants = {tenant.name for tenant in decisions.settings.tenants}
        self.request_counts = request_counts or RequestCounts(self._methods)
        self._service = service or ClientDraining()
        self._leaving: Task | None = None
        self._listener: Socket | None = None
        self._accepting: Task | None = None
        self._connections: set[ClientConnection] = set()
        self._put_off_since: float | None = None  # accepts, while connections wait in the system's queue
        self._closing, self._closing_at = False, math.inf
        self.answer_by = math.inf  # what comes from now on is answered by then: SIGKILL follows
        self._accepted = 0  # connections, since the start
        self._bad_requests = SparseLog(log, scheduler.now)

    # --- the listener ---------------------------------------------------------------------------

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Bind, and start to accept; says where."""
        self._listener = self._scheduler.system.listen(address, BACKLOG)
        self.accept()
        return self._where(self._listener)

    def adopt(self, fd: int) -> tuple[str, int]:
        """Take over a socket that listens already, and don't accept yet; says where.  Raises `OSError`.

        Other processes hold it too: it is never bound, never shut down, and outlives this process.
        """
        self._listener = self._scheduler.system.adopt(fd)
        return self._where(self._listener)

    @staticmethod
    def _where(listener: Socket) -> tuple[str, int]:
        host, port = listener.getsockname()[:2]
        return str(host), int(port)

    @property
    def accepting(self) -> bool:
        """Whether connections are taken."""
        return self._accepting is not None and self._listener is not None

    def accept(self) -> None:
        """Start to accept."""
        if self._accepting is None and self._listener is not None:
            self._accepting = self._scheduler.spawn(self._accept_all, self._listener, name="accept")

    def hand_over(self) -> None:
        """Accept no more: another process does, from the same queue.  All that was taken is served."""
        if self._accepting is not None:
            self._accepting.cancel()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self.leave()

    def _accept_all(self, listener: Socket) -> None:
        while True:
            if self._places.connection_count >= self._places.max_connections and not self._make_room(
                self._places.max_connections
            ):
                self._counters.add("accepts_put_off")
                self._put_off()
            elif not self._accept_one(listener):
                self._put_off_since = None
                self._scheduler.park(sock=listener)

    def _put_off(self) -> None:
        """Leave those that wait to be accepted waiting for a moment."""
        if self._put_off_since is None:
            self._put_off_since = self._scheduler.now()
        self._scheduler.sleep(NO_DESCRIPTOR_SECONDS)

    def _accept_one(self, listener: Socket) -> bool:
        """Take one connection that waits; false if none does."""
        try:
            sock, peer = self._scheduler.system.accept(listener)
        except BlockingIOError:
            return False
        except OSError as error:
            if error.errno in RESOURCE_EXHAUSTION_ERRNOS:
                # Guards against a loop at full speed, and against dying, while no descriptor is free.
                log.warning("no descriptor to accept with", extra={"fields": {"error": error.strerror}})
                self._make_room(self._places.connection_count)
                self._put_off()
            return True  # others concern the connection that was to be taken, and it is gone
        self._counters.add("connections_accepted")
        self._accepted += 1
        connection = ClientConnection(Stream(self._scheduler, sock), peer)
        if self._put_off_since is not None:
            # Guards against silent ones by the hundred that are held too long: each group let in after
            # another would have its whole time again, though it may have connected when the first did.
            connection.waited = connection.accepted_at - self._put_off_since
            least = connection.accepted_at - FIRST_SECONDS + FIRST_REQUEST_S
            connection.accepted_at = max(self._put_off_since, least)
        self._connections.add(connection)
        self._places.record_open(connection, connection.peer, connection.accepted_at)
        connection.task = self._scheduler.spawn(self._serve, connection, name="client")
        return True

    def _make_room(self, most: int | None = None) -> bool:
        """Close those between requests that the budget gives up, or one more; false if that closed none.

        With `most`, one more is waiting to be accepted and there can't be more than so many.
        """
        now, closed = self._scheduler.now(), False
        places = self._places
        for each in places.surplus_connections(now) if most is None else places.evictions_for_new(now, most):
            assert isinstance(each, ClientConnection)
            if each.stream.peek():
                # Its request has come and was not read yet.  Guards against looking at it again with each
                # answer: where most have asked and are not read, that is what keeps them unread.
                places.record_request(each, now)
            else:
                silent = "" if each.asked else "_silent"
                self._counters.add(f"submitters_closed{silent}")
                self._close_idle(each)
                closed = True
        return closed

    def _close_idle(self, connection: ClientConnection) -> None:
        """Close it now: its place is needed."""
        self._release(connection)
        self._connections.discard(connection)
        # Guards against a connection left open: a task called off before its first step closes nothing.
        connection.stream.close()

    def _dismiss(self, connection: ClientConnection) -> None:
        """End its sending, and close it once its client has, so that no reset overtakes what was sent."""
        self._release(connection)
        self._scheduler.spawn(self._part_with, connection, name="part with client")

    def _release(self, connection: ClientConnection) -> None:
        connection.released = True
        self._places.record_close(connection, self._scheduler.now())
        if connection.task is not None:
            connection.task.cancel()

    def _part_with(self, connection: ClientConnection) -> None:
        """Half-close, and read for a bounded time what crossed that: it is not served, but asked for anew."""
        try:
            connection.stream.finish()
        except OSError:
            return
        finally:
            self._forget(connection)
            connection.stream.close()

    def _forget(self, connection: ClientConnection) -> None:
        self._connections.discard(connection)
        self._places.record_close(connection, self._scheduler.now())

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self._connections)

    def leave(self) -> None:
        """Clients are sent away: see that their connections go."""
        if self._leaving is None:
            self._leaving = self._scheduler.spawn(self._leave, name="leave")

    def _leave(self) -> None:
        """The task: close what may not rest any longer, until clients are wanted again."""
        while not self._service.accepts_clients:
            now = self._scheduler.now()
            for connection in self._places.idle_connections():
                assert isinstance(connection, ClientConnection)
                since = connection.stream.used_at
                if (
                    not self._service.may_stay_idle(now, since, connection.asked)
                    and connection.stream.quiet()
                ):
                    self._dismiss(connection)
            self._scheduler.sleep(LEAVE_LOOK_SECONDS)
        self._leaving = None

    def wind_down(self) -> None:
        """Close each connection as soon as nothing is owed on it, then take no new ones; a task calls it."""
        self._closing, self._closing_at = True, self._scheduler.now()
        for connection in self._places.idle_connections():
            assert isinstance(connection, ClientConnection)
            if connection.stream.quiet():
                self._dismiss(connection)
        self._await_last_connects()
        if self._accepting is not None:
            self._accepting.cancel()
        if self._listener is not None:
            for _ in range(BACKLOG):  # what the system accepted for us is ours to serve
                if not self._accept_one(self._listener):
                    break
            self._listener.close()
            self._listener = None

    def _await_last_connects(self) -> None:
        """Accept until no connection has come for a moment.

        Guards against resetting what the system accepted between the last accept and the close of the
        listener, and against clients whose request crossed the end of a resting connection: they connect
        anew for it.
        """
        until = self._scheduler.now() + LAST_CONNECTS_SECONDS
        came = -1
        while came != self._accepted and self._scheduler.now() < until:
            came = self._accepted
            self._scheduler.sleep(CONNECT_PAUSE_SECONDS)

    # --- one connection -------------------------------------------------------------------------

    def _serve(self, connection: ClientConnection) -> None:
        """Request after request, until one side closes."""
        reader = MessageReader.requests(passing=True)
        try:
            while self._exchange(connection, reader):
                connection.asked = True
                self._rest(connection, reader)
                if connection.released:
                    return
            if connection.stream.open and not connection.stream.finished:
                connection.stream.finish()
        except (OSError, TaskTimeoutError):
            return
        finally:
            if not connection.released:
                self._forget(connection)
                connection.stream.close()

    def _rest(self, connection: ClientConnection, reader: MessageReader) -> None:
        """An answer is out: its connection waits for the next request, unless that has come already."""
        now = connection.stream.used_at = self._scheduler.now()
        if reader.buffered:
            return
        self._places.record_idle(connection, now)
        if self._places.is_scarce(now):
            self._make_room()

    def _exchange(self, connection: ClientConnection, reader: MessageReader) -> bool:
        """One request and its answer; false when the connection is to be closed."""
        stream = connection.stream
        try:
            request = self._read(connection, reader)
        except HttpError as error:
            self._places.record_request(connection, self._scheduler.now())
            self._count_bad(connection, error)
            self._turn_away(stream, error)
            return False
        if request is None:
            return False
        upload = request.rest if isinstance(request.rest, RequestBodyStream) else None
        keep = request.keep_alive
        try:
            reply = self._answer(connection, reader, request, upload)
        except HttpError as error:
            self._count_bad(connection, error)
            if not keep or error.status != 404 or upload is not None:
                self._turn_away(stream, error)
                return False
            reply = ClientResponse(error.status, [], f"{error}\n".encode())
        except Exception:
            # Guards against a request left without an answer by a fault of ours.
            self._counters.add("faults")
            self._counters.add("answers_failed")
            log.exception("request failed")
            reply = ClientResponse(500, [], b"")
        if reply is None:
            return False
        keep = keep and not reply.last and (upload is None or upload.done)
        keep = keep and self._may_stay(connection, reader)
        try:
            keep = self._write(stream, reply, keep, request.minor)
            if upload is not None and not upload.done:
                # Guards against a reset that overtakes the answer while the body still comes.
                stream.finish(BODY_LINGER_SECONDS, MAX_STREAMED_BODY_BYTES)
        except (OSError, TaskTimeoutError):
            self._counters.add("answers_unsent")
            raise
        return keep

    def _may_stay(self, connection: ClientConnection, reader: MessageReader) -> bool:
        """Whether a connection that is about to get its answer may have another request after it."""
        now = self._scheduler.now()
        ending = self._closing or not self._service.accepts_clients
        if not ending and self._places.may_keep_alive(connection, now):
            return True
        if now < self._closing_at + LAST_REQUESTS_SECONDS and self._has_more(connection, reader):
            return True  # what has come already is taken, and owed an answer
        if not ending:
            self._counters.add("submitters_told_to_close")
        return False

    @staticmethod
    def _has_more(connection: ClientConnection, reader: MessageReader) -> bool:
        return reader.buffered > 0 or not connection.stream.quiet()

    def _write(self, stream: Stream, reply: ClientResponse, keep: bool, minor: int) -> bool:
        """The answer to its last byte, with which its request ends; whether the connection may be kept."""
        try:
            if reply.rest is None:
                text = write_response(reply.status, reply.headers, reply.body, keep)
                stream.send(text, self._scheduler.now() + WRITE_SECONDS)
                end = reply.end
            else:
                keep, whole = self._pass_on(stream, reply, reply.rest, keep, minor)
                end = reply.end if whole else FAILED
            if reply.request_class is not None:
                self.request_counts.finished[reply.request_class][end] += 1
            return keep
        finally:
            if reply.rest is not None:
                reply.rest.close()
            self.request_counts.in_flight -= reply.request_class is not None and reply.taken

    def _pass_on(
        self, stream: Stream, reply: ClientResponse, rest: ResponseBodyStream, keep: bool, minor: int
    ) -> tuple[bool, bool]:
        """An answer piece by piece as it comes: whether its connection may be kept, whether it is whole."""
        now = self._scheduler.now
        unknown = Framing.CHUNKS if minor else Framing.END  # HTTP/1.0 has no chunks
        framing = unknown if rest.length is None else Framing.LENGTH
        keep = keep and framing is not Framing.END
        head = write_response(reply.status, reply.headers, b"", keep, rest.length, framing)
        try:
            piece = self._next(rest)
            while piece or head:
                stream.send(
                    head + (chunk(piece) if framing is Framing.CHUNKS and piece else piece),
                    now() + WRITE_SECONDS,
                )
                head = b""
                piece = self._next(rest)
        except ResponseTruncatedError as cut:
            # Once, and so that the client can tell: short of its length, or without its last chunk.
            self._counters.add("answers_cut")
            log.warning("an answer broke off", extra={"fields": {"reason": cut}})
            if framing is Framing.END:
                self._scheduler.system.reset(stream.sock)
                stream.open = False
            return False, False
        if framing is Framing.CHUNKS:
            stream.send(chunk(b""), now() + WRITE_SECONDS)
        return keep, True

    @staticmethod
    def _next(rest: ResponseBodyStream) -> bytes:
        try:
            return rest.piece()
        except (HttpError, OSError, TaskTimeoutError) as error:
            raise ResponseTruncatedError(f"{type(error).__name__}: {error}") from None

    def _count_bad(self, connection: ClientConnection, error: HttpError) -> None:
        self._counters.add("bad_requests")
        self._bad_requests.warning("bad request", peer=connection.peer, status=error.status, reason=error)

    def _turn_away(self, stream: Stream, error: HttpError) -> None:
        """Answer what can't be used, and end the connection."""
        stream.send(
            write_response(error.status, [], f"{error}\n".encode(), False),
            self._scheduler.now() + WRITE_SECONDS,
        )
        stream.finish()

    def _read(self, connection: ClientConnection, reader: MessageReader) -> Message | None:
        """The next request; None if the client closed instead."""
        # Guards against connections held with half a request or with nothing: the first one is timed
        # from the accept on, not from its first byte.
        deadline = (
            self._scheduler.now() + IDLE_SECONDS
            if connection.asked
            else connection.accepted_at + FIRST_SECONDS
        )
        told_to_go_on = begun = False
        started_at: float | None = None
        while (request := reader.take()) is None:
            if reader.begun and not begun:
                begun = True
                self._places.record_request(connection, self._scheduler.now())
                started_at = self._scheduler.now()
                if connection.asked:
                    deadline = started_at + READ_SECONDS
            if begun and reader.large:
                return self._upload(connection, reader, started_at)
            if reader.expects_continue and not told_to_go_on:
                told_to_go_on = True
                connection.stream.send(b"HTTP/1.1 100 Continue\r\n\r\n", deadline)
            if self._closing and not reader.begun and connection.stream.quiet():
                return None
            try:
                data = connection.stream.receive(
                    deadline + reader.size_so_far / LEAST_RATE if begun else deadline
                )
            except TaskTimeoutError:
                if reader.begun:
                    raise HttpError(408, "the request did not come whole in time") from None
                if connection.stream.quiet():
                    return None
                continue  # it came in the moment in which the wait ended
            if not data:
                return None
            reader.feed(data)
        self._places.record_request(connection, self._scheduler.now())
        return request

    def _upload(
        self, connection: ClientConnection, reader: MessageReader, started_at: float | None
    ) -> Message:
        """A request whose body passes on; raises `HttpError` where its class has none of such size."""
        request, now = reader.head(), self._scheduler.now()
        assert request is not None
        if request.start[0] != "POST":  # what is safe to repeat has no body
            raise HttpError(413, "the body is too large")
        if reader.expects_continue and not reader.size_so_far:
            connection.stream.send(b"HTTP/1.1 100 Continue\r\n\r\n", now + WRITE_SECONDS)
        began = now if started_at is None else started_at
        request.rest = RequestBodyStream(connection.stream, reader, began, READ_SECONDS)
        return request

    def _answer(
        self,
        connection: ClientConnection,
        reader: MessageReader,
        request: Message,
        upload: RequestBodyStream | None,
    ) -> ClientResponse | None:
        """The answer; None if the client has left."""
        stream, (method, target) = connection.stream, request.start
        path = target.split("?", 1)[0]
        if path == "/ready" and method == "GET":
            if not self._service.is_ready:
                return ClientResponse(503, [], b"out of service\n")
            return (
                ClientResponse(200, [], b"ready\n")
                if self._is_ready()
                else ClientResponse(503, [], b"starting\n")
            )
        arrived_ns = now_ns = self._clock.now_ns()
        call = self._call(request, path)
        late = 0.0 if upload is not None else self._late(connection)
        if late:
            # Guards against answers that come when nobody waits any more: its time began when it came.
            waited_ns = int(min(self._scheduler.system.waited(stream.sock), late) * 1e9)
            arrived_ns -= waited_ns
            call = replace(call, time_left_ns=max(call.time_left_ns - waited_ns, 0))
            self._counters.add("requests_read_late")
        self._places.record_tenant(connection, call.tenant or "")
        if self._rewrites is not None:
            passed = self._rewrites.inward(request, path, call.request_class, connection.peer)
            call = replace(call, payload=passed)
        due = min(self._clock.seconds(now_ns + call.time_left_ns), self.answer_by)
        if upload is not None:
            self._await_body(upload, call.time_left_ns)

        def deadline() -> float:
            return due if upload is None else upload.due

        presence = ClientPresence(stream, reader)

        def watch() -> Socket | None:
            # A body that passes on is read by its claim.
            return presence.socket() if upload is None or upload.done else None

        def has_left() -> bool:
            if upload is not None and not upload.done:
                return upload.left
            return presence.look()

        if late and has_left():
            # Guards against work for nobody that takes the places of those who still wait: a process that
            # was stopped, or is behind, finds its queues full of requests given up long ago, oldest first.
            self._counters.add("requests_gone_unread")
            return None
        self._counters.add("requests_taken")
        self.request_counts.in_flight += upload is None
        reply: ClientResponse | None = None
        try:
            answer = self._life.live(call, deadline, ClientHandle(watch, has_left))
            if upload is not None and upload.left:
                answer = None
            kind = None if answer is None else answer.kind.value
            self._decisions.observers.request_finished(call, kind, self._clock.now_ns() - arrived_ns)
            if answer is None:
                self._counters.add("requests_gone")
                return None
            if upload is not None and upload.error is not None:
                raise upload.error
            self._counters.add(f"answers_{answer.kind.value}")
            status, headers, body = self._worded(answer)
            if self._rewrites is not None:
                headers = self._rewrites.outward(headers, path, call.request_class)
            reply = ClientResponse(status, headers, body, call.request_class, _ENDS[answer.kind])
            reply.taken = upload is None or upload.done
            reply.last = presence.dropped > 0
            if isinstance(answer.payload, Message) and isinstance(answer.payload.rest, ResponseBodyStream):
                reply.rest = answer.payload.rest
            return reply
        except DuplicateRequestError as error:
            raise HttpError(400, str(error)) from None
        finally:
            # Else it ends with its answer's last byte.
            self.request_counts.in_flight -= reply is None and (upload is None or upload.done)

    def _late(self, connection: ClientConnection) -> float:
        """Seconds for which a request that was read now may have waited unseen."""
        return max(self._scheduler.late, 0.0 if connection.asked else connection.waited)

    def _await_body(self, upload: RequestBodyStream, left_ns: int) -> None:
        """The request's time begins, and it is taken, when its last byte has come."""
        left = left_ns / 1e9
        upload.wait_ms = int(left * 1000)

        def whole() -> None:
            upload.due = self._scheduler.now() + left
            self.request_counts.in_flight += 1

        upload.whole = whole
        if upload.done:
            whole()

    def _worded(self, answer: FinalResponse) -> tuple[int, list[HeaderField], bytes]:
        if answer.kind is ResponseKind.REFUSED:
            wait = f"{answer.retry_after_ns / 1e9:.3f}"
            return 503, [("Retry-After", wait)] if answer.retry_after_ns > 0 else [], b""
        if answer.kind is ResponseKind.FAILED or not isinstance(answer.payload, Message):
            return 502, [], b""
        if self._rewrites is not None:
            return 200, end_to_end(answer.payload), answer.payload.body
        kind = answer.payload.headers.get("content-type")
        return 200, [("Content-Type", kind)] if kind else [], answer.payload.body

    def _call(self, request: Message, path: str) -> ClientRequest:
        """What the decisions need to know of a request; raises `HttpError` where that makes no sense."""
        headers = request.headers
        named = path[1:].split("/", 1)[0]
        if named not in self._methods:
            raise HttpError(404, "unknown path")
        request_class = headers.get("request-class", "")
        if request_class and request_class not in self._methods:
            raise HttpError(404, "unknown class")
        if request_class != named:
            raise HttpError(400, "Request-Class is missing or not the path's")
        if request.start[0] != self._methods[named]:
            raise HttpError(405, "not the method of this class")
        if not _ID.match(headers.get("request-id", "")):
            raise HttpError(400, "Request-Id is missing or malformed")
        wait = headers.get("request-timeout-ms", "")
        if not _NUMBER.match(wait) or int(wait) == 0:
            raise HttpError(400, "Request-Timeout-Ms is missing or not a number of milliseconds")
        tenant = headers.get("tenant")
        if self._tenants and tenant not in self._tenants:
            raise HttpError(400, "Tenant is missing or unknown")
        hint = headers.get("work-hint")
        if hint is not None and not _DECIMAL.match(hint):
            raise HttpError(400, "Work-Hint is not a number of microseconds")
        left_ns = int(wait) * 1_000_000
        return ClientRequest(
            request_id=headers["request-id"],
            request_class=request_class,
            tenant=tenant,
            time_left_ns=left_ns - min(ANSWER_MARGIN_NS, left_ns // 10),
            work_hint_ns=None if hint is None else int(float(hint) * 1000),
            is_retry=headers.get("client-retry") == "1",
            payload=request,
        )
