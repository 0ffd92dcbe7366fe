"""A stub instance that records its requests, and responds or fails as configured by the test."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import h11

from brambleusher.lab.virtual.world import Machine
from brambleusher.runtime.acceptor import Acceptor
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import Stream
from brambleusher.wire.digits import parse_digits

STALL_S = 30.0  # how long a stalled instance does not respond


@dataclass
class Arrival:
    """A request as received by an instance."""

    instance: str
    attempt: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float
    cancelled_at: float | None = None  # time when the client disconnected before the end of the response


class StubInstance:
    """Streams events, or responds with a body; attributes configure its faults."""

    def __init__(self, machine: Machine, name: str, service: str, zone: str, ip: str) -> None:
        self.machine, self.name, self.service, self.zone, self.ip = machine, name, service, zone, ip
        self.state, self.is_listed, self.warmup_ms = "ready", True, 0
        self.events = 5
        self.pause_s = 0.02
        self.event_bytes = 0  # number of padding bytes in each event
        self.slows_after_events: int | None = None  # events after this number are delayed by `STALL_S`
        self.head_delay_s = 0.0  # delay before the head of a response is sent
        self.resets_after_events: int | None = None  # a reset interrupts the event after this number
        self.body_bytes = 0  # number of padding bytes in a response that is no event stream
        self.breaks_off_after_bytes: int | None = None  # resets a response that is no event stream
        self.status = 200
        self.rejects_requests = False
        self.fails_early = False  # requests are run and get 500 before their body is received
        self.is_unresponsive = False
        self.stray_responses = 0  # number of responses to other requests sent before the due response
        self.stray_attempt_id = "other"  # attempt identifier in stray responses; empty to send none
        self.forgets_after_s: float | None = None  # data on a connection idle for longer causes a reset
        self.sends_stray_bytes_when_idle = False  # once data arrives on an idle connection
        self.connections = 0  # number of accepted connections
        self.echoes_attempt_id = True  # whether responses contain the identifier of their attempt
        self.arrivals: list[Arrival] = []
        self.completed: list[str] = []  # attempts whose plain response was sent to its end
        self.scheduler: Scheduler | None = None
        self.start()

    def start(self) -> None:
        def build(scheduler: Scheduler) -> object:
            self.scheduler = scheduler
            return Acceptor(scheduler, (self.ip, 80), self._serve)

        self.machine.serve(build, self.name)

    def entry(self) -> dict[str, Any]:
        return {
            "id": self.name,
            "service": self.service,
            "address": f"{self.ip}:80",
            "zone": self.zone,
            "revision": "v1",
            "capacity": 8,
            "state": self.state,
            "warmup_ms": self.warmup_ms,
        }

    def _serve(self, stream: Stream, peer: str) -> None:
        assert self.scheduler is not None
        connection = h11.Connection(h11.SERVER)
        self.connections += 1
        answered_at = None
        while True:
            if answered_at is not None and self._forgotten(stream, answered_at):
                return
            head = read_head(self.scheduler, stream, connection)
            if head is None:
                return
            failed_early = self.fails_early
            if failed_early:
                self._fail_early(stream, connection, self._arrival(head, b""))
            body = read_body(self.scheduler, stream, connection)
            if body is None:
                return
            if not failed_early and not self._answer(stream, connection, self._arrival(head, body)):
                return
            connection.start_next_cycle()
            answered_at = self.scheduler.now()

    def _arrival(self, head: h11.Request, body: bytes) -> Arrival:
        """Record the arrival of a request that the instance is going to run."""
        assert self.scheduler is not None
        headers = {key.decode(): value.decode() for key, value in head.headers}
        arrival = Arrival(
            self.name,
            headers.get("x-attempt-id", ""),
            head.method.decode(),
            head.target.decode(),
            headers,
            body,
            self.scheduler.now(),
        )
        self.arrivals.append(arrival)
        return arrival

    def _fail_early(self, stream: Stream, connection: h11.Connection, arrival: Arrival) -> None:
        """Answer a request whose body has not been received; the connection stays open."""
        assert self.scheduler is not None
        headers = [("X-Attempt-Id", arrival.attempt), ("X-Server-Seal", f"{self.name}.{arrival.attempt}")]
        response = h11.Response(status_code=500, headers=[*headers, ("Content-Length", "0")])
        data = (connection.send(response) or b"") + (connection.send(h11.EndOfMessage()) or b"")
        stream.send(data, self.scheduler.now() + 5)

    def _forgotten(self, stream: Stream, answered_at: float) -> bool:
        """Whether the connection was reset because data arrived after it was idle for too long."""
        assert self.scheduler is not None
        self.scheduler.park(None, stream.sock)
        rested = self.scheduler.now() - answered_at
        if self.sends_stray_bytes_when_idle:
            self.sends_stray_bytes_when_idle = False
            stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", self.scheduler.now() + 5)
        if self.forgets_after_s is None or rested <= self.forgets_after_s:
            return False
        self.scheduler.system.reset(stream.sock)
        return True

    def _work(self, stream: Stream, arrival: Arrival, seconds: float) -> bool:
        """Wait for a time in seconds; return False if the client closes its connection meanwhile."""
        assert self.scheduler is not None
        try:
            self.scheduler.park(self.scheduler.now() + seconds, stream.sock)
        except TaskTimeoutError:
            return True
        if stream.peek() == b"":
            arrival.cancelled_at = self.scheduler.now()
            return False
        raise AssertionError("a client sent data before its response was complete")

    def _answer(self, stream: Stream, connection: h11.Connection, arrival: Arrival) -> bool:
        assert self.scheduler is not None
        headers, attempt = arrival.headers, arrival.attempt
        deadline = self.scheduler.now() + 5

        def send(event: Any) -> None:
            stream.send(connection.send(event) or b"", deadline)

        if self.is_unresponsive:
            self._work(stream, arrival, STALL_S)
            return False
        if not self._work(stream, arrival, self.head_delay_s):
            return False
        named = headers.get("x-target-instance")
        plain = [("X-Attempt-Id", attempt), ("Content-Length", "0")]
        if named not in (None, self.name) or self.rejects_requests:
            status = 503 if self.rejects_requests else 421
            send(h11.Response(status_code=status, headers=[*plain, ("X-Not-Executed", "1")]))
            send(h11.EndOfMessage())
            return True
        for _ in range(self.stray_responses):
            name = f"X-Attempt-Id: {self.stray_attempt_id}\r\n" if self.stray_attempt_id else ""
            stream.send(f"HTTP/1.1 200 OK\r\n{name}Content-Length: 5\r\n\r\nother".encode(), deadline)
        common_headers = [
            *([("X-Attempt-Id", attempt)] if self.echoes_attempt_id else []),
            ("X-Server-Seal", f"{self.name}.{attempt}"),
        ]
        if self.service == "desk" or self.status != 200:
            body = f"{self.name} ran {attempt}".encode() + b"." * self.body_bytes
            length = ("Content-Length", str(len(body)))
            send(h11.Response(status_code=self.status, headers=[*common_headers, length]))
            if self.resets_after_events is not None or self.breaks_off_after_bytes is not None:
                stream.send(body[: self.breaks_off_after_bytes or 3], deadline)
                self.scheduler.sleep(self.pause_s)
                self.scheduler.system.reset(stream.sock)
                return False
            send(h11.Data(data=body))
            send(h11.EndOfMessage())
            self.completed.append(attempt)
            return True
        return self._stream(stream, send, common_headers, arrival)

    def _stream(
        self, stream: Stream, send: Callable[[Any], None], common_headers: list[Any], arrival: Arrival
    ) -> bool:
        assert self.scheduler is not None
        last = parse_digits(arrival.headers.get("last-event-id", "")) or 0
        kind = ("Content-Type", "text/event-stream")
        send(h11.Response(status_code=200, headers=[*common_headers, kind, ("Transfer-Encoding", "chunked")]))
        for number in range(last + 1, self.events + 1):
            is_slow = self.slows_after_events is not None and number > self.slows_after_events
            if not self._work(stream, arrival, STALL_S if is_slow else self.pause_s):
                return False
            event = f"id: {number}\ndata: token {number}{'.' * self.event_bytes}\n\n".encode()
            if self.resets_after_events is not None and number > self.resets_after_events:
                send(h11.Data(data=event[:7]))
                self.scheduler.sleep(self.pause_s)
                self.scheduler.system.reset(stream.sock)
                return False
            send(h11.Data(data=event))
        send(h11.EndOfMessage())
        return True


def next_event(scheduler: Scheduler, stream: Stream, connection: h11.Connection) -> Any:
    """Wait for the next event of a client; the event is `ConnectionClosed` at the end of the connection."""
    while (event := connection.next_event()) is h11.NEED_DATA:
        connection.receive_data(stream.receive(scheduler.now() + 60) or b"")
    return event


def read_head(scheduler: Scheduler, stream: Stream, connection: h11.Connection) -> h11.Request | None:
    """Receive the head of a request, or return None if the connection ends before that."""
    event = next_event(scheduler, stream, connection)
    return event if isinstance(event, h11.Request) else None


def read_body(scheduler: Scheduler, stream: Stream, connection: h11.Connection) -> bytes | None:
    """Receive the complete body of a request, or return None if the connection ends before that."""
    parts = []
    while isinstance(event := next_event(scheduler, stream, connection), h11.Data):
        parts.append(bytes(event.data))
    return b"".join(parts) if isinstance(event, h11.EndOfMessage) else None
