"""Stand-ins for services outside the system: model instances, and the platform's list of instances."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import h11

from brambleusher.lab.soak.records import RequestKind, RunOutcome, RunRecord, SoakRecord
from brambleusher.lab.soak.settings import INSTANCE_PORT, PLATFORM_PORT
from brambleusher.runtime.acceptor import Acceptor
from brambleusher.runtime.h11_messages import encode_message, receive_event
from brambleusher.runtime.http_server import HttpRequest, HttpResponse, HttpServer, json_response
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import Stream

EVENTS = 6
EVENT_INTERVAL_S = 0.04
PIECE_INTERVAL_S = 0.1  # all pieces together take longer than a sidecar buffers a response of unknown length
HEAD_DELAY_S = 0.03
SLOW_FACTOR = 40
CAPACITY = 64
IDLE_S = 60.0
SEND_S = 10.0
HANG_POLL_S = 0.05
# Headers that promise that the request was not run: the first is for a gateway, the second for a sidecar.
NOT_RUN_FIELDS = (("X-Not-Executed", "1"), ("Not-Started", "1"))


@dataclass(slots=True)
class InstanceFaults:
    """The faults that an instance shows at present."""

    hangs: bool = False
    resets: bool = False
    breaks_streams: bool = False
    rejects: bool = False
    is_slow: bool = False
    drains: bool = False


def event(attempt: str, number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {attempt} {number}\n\n".encode()


def complete_stream(attempt: str) -> bytes:
    """Return the bytes of all events of a stream, as the client has to receive them."""
    return b"".join(event(attempt, number) for number in range(1, EVENTS + 1))


def complete_body(attempt: str) -> bytes:
    """Return the body of a response that is not a stream."""
    return f"ran {attempt}".encode()


def complete_response(attempt: str, kind: RequestKind) -> bytes:
    """Return the whole body of the response to a request."""
    return (
        complete_stream(attempt) if kind.is_stream or kind is RequestKind.PIECES else complete_body(attempt)
    )


def _kind_of(head: h11.Request) -> str:
    """Return the kind of a request; a gateway forwards it in a header, a sidecar in the query."""
    named = dict(head.headers).get(b"x-kind")
    return (named if named is not None else head.target.partition(b"?")[2]).decode()


def _attempt_of(headers: dict[bytes, bytes]) -> str:
    """Return the id of a request from the header that a gateway or a sidecar sends."""
    return (headers.get(b"x-attempt-id") or headers.get(b"request-id", b"")).decode()


class _CallerLeftError(Exception):
    """The caller closed its connection before the response was complete."""


class _ResponseBrokenError(Exception):
    """A fault of the instance ended the response."""


class SoakInstance:
    """A stand-in instance that runs requests and records each run; the soak sets its faults."""

    def __init__(
        self,
        scheduler: Scheduler,
        now: Callable[[], float],
        record: SoakRecord,
        name: str,
        zone: str,
        ip: str,
    ) -> None:
        self._scheduler, self._now, self._record = scheduler, now, record
        self.name, self.zone, self.ip = name, zone, ip
        self.faults = InstanceFaults()
        self._incarnation = 1
        self._acceptor = Acceptor(scheduler, (ip, INSTANCE_PORT), self._serve, max_connections=4096)

    def close(self) -> None:
        """Stop listening."""
        self._acceptor.close()

    @property
    def id(self) -> str:
        """The id of the instance's current incarnation on the platform's list."""
        return f"{self.name}.{self._incarnation}"

    def restart(self) -> None:
        """Start a new incarnation, since a drained incarnation never becomes ready again."""
        self._incarnation += 1

    def entry(self, service: str) -> dict[str, object]:
        """Return the instance's entry on the platform's list."""
        return {
            "id": self.id,
            "service": service,
            "address": f"{self.ip}:{INSTANCE_PORT}",
            "zone": self.zone,
            "revision": "v1",
            "capacity": CAPACITY,
            "state": "draining" if self.faults.drains else "ready",
            "warmup_ms": 0,
        }

    def _serve(self, stream: Stream, _peer: str) -> None:
        connection = h11.Connection(h11.SERVER)
        while True:
            head = self._read(stream, connection)
            if head is None:
                return
            headers = dict(head.headers)
            run = RunRecord(_attempt_of(headers), self.name, self._now(), zone=self.zone, incarnation=self.id)
            self._record.runs.append(run)
            try:
                self._answer(stream, connection, head, run)
            except (_CallerLeftError, OSError, TaskTimeoutError):
                run.outcome = RunOutcome.CANCELLED
                return
            except _ResponseBrokenError:
                run.outcome = RunOutcome.BROKEN
                self._scheduler.system.reset(stream.sock)
                return
            finally:
                run.ended_s = self._now()
            connection.start_next_cycle()

    def _read(self, stream: Stream, connection: h11.Connection) -> h11.Request | None:
        """Read a whole request; return None if the caller has closed the connection."""
        head: h11.Request | None = None
        deadline = self._scheduler.now() + IDLE_S
        try:
            while True:
                received = receive_event(connection, stream, deadline)
                if isinstance(received, h11.Request):
                    head = received
                elif isinstance(received, h11.EndOfMessage):
                    return head
                elif not isinstance(received, h11.Data):
                    return None
        except h11.RemoteProtocolError:
            return None  # the connection was closed within a request

    def _answer(self, stream: Stream, connection: h11.Connection, head: h11.Request, run: RunRecord) -> None:
        headers = dict(head.headers)
        named = headers.get(b"x-target-instance", self.id.encode()).decode()
        if self.faults.rejects or named != self.id:
            run.outcome, run.is_misdirected = RunOutcome.REJECTED, named != self.id
            self._send_rejection(stream, connection, run, 503 if named == self.id else 421)
            return
        self._simulate_work(stream, HEAD_DELAY_S)
        kind = _kind_of(head)
        last = int(headers.get(b"last-event-id", b"0"))
        run.is_resumed = last > 0
        if kind in (RequestKind.STREAM, RequestKind.STREAM_ONCE):
            self._send_stream(stream, connection, run, last, EVENT_INTERVAL_S)
        elif kind == RequestKind.PIECES:
            self._send_stream(stream, connection, run, 0, PIECE_INTERVAL_S)
        else:
            self._send_body(stream, connection, run)
        run.outcome = RunOutcome.COMPLETE

    def _simulate_work(self, stream: Stream, seconds: float) -> None:
        """Wait for the time of the work, longer while slow and without end while hung.

        Raises:
            _CallerLeftError: The caller closed the connection meanwhile.
            _ResponseBrokenError: A fault ends the response, or the caller sent unexpected bytes.
        """
        until = self._scheduler.now() + seconds * (SLOW_FACTOR if self.faults.is_slow else 1)
        while self.faults.hangs or self._scheduler.now() < until:
            pause_s = HANG_POLL_S if self.faults.hangs else until - self._scheduler.now()
            try:
                self._scheduler.park(self._scheduler.now() + pause_s, stream.sock)
            except TaskTimeoutError:
                continue
            if stream.peek() == b"":
                raise _CallerLeftError
            raise _ResponseBrokenError  # the caller sent bytes although none are due
        if self.faults.resets:
            raise _ResponseBrokenError

    def _fields(self, run: RunRecord, *more: tuple[str, str]) -> list[tuple[str, str]]:
        seal = ("X-Server-Seal", f"{self.name}.{run.attempt}")
        return [("X-Attempt-Id", run.attempt), seal, *more]

    def _send(self, stream: Stream, data: bytes) -> None:
        stream.send(data, self._scheduler.now() + SEND_S)

    def _send_rejection(
        self, stream: Stream, connection: h11.Connection, run: RunRecord, status: int
    ) -> None:
        fields = [("X-Attempt-Id", run.attempt), *NOT_RUN_FIELDS, ("Content-Length", "0")]
        self._send(stream, encode_message(connection, h11.Response(status_code=status, headers=fields)))

    def _send_body(self, stream: Stream, connection: h11.Connection, run: RunRecord) -> None:
        body = complete_body(run.attempt)
        fields = self._fields(run, ("Content-Length", str(len(body))))
        self._send(stream, encode_message(connection, h11.Response(status_code=200, headers=fields), body))

    def _send_stream(
        self, stream: Stream, connection: h11.Connection, run: RunRecord, last: int, interval_s: float
    ) -> None:
        """Send all events after the event `last`, each as one chunk."""
        kind, framing = ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")
        head = h11.Response(status_code=200, headers=self._fields(run, kind, framing))
        self._send(stream, connection.send(head) or b"")
        run.head_s = self._now()
        for number in range(last + 1, EVENTS + 1):
            self._simulate_work(stream, interval_s)
            self._send(stream, connection.send(h11.Data(data=event(run.attempt, number))) or b"")
            if self.faults.breaks_streams and number < EVENTS:
                raise _ResponseBrokenError
        self._send(stream, connection.send(h11.EndOfMessage()) or b"")


class PlatformList:
    """The platform's list of instances, which belong to the services in turn."""

    def __init__(
        self, scheduler: Scheduler, ip: str, instances: list[SoakInstance], services: list[str]
    ) -> None:
        self._instances, self._services = instances, services
        self._server = HttpServer(scheduler, (ip, PLATFORM_PORT), self._handle)

    def close(self) -> None:
        """Stop listening."""
        self._server.acceptor.close()

    def _handle(self, _request: HttpRequest) -> HttpResponse:
        entries = [
            instance.entry(self._services[number % len(self._services)])
            for number, instance in enumerate(self._instances)
        ]
        return json_response(200, {"instances": entries, "next_token": None})
