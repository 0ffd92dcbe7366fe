"""A stand-in node: an HTTP server in front of a `Machine`, with a log of executions and injectable faults."""

from __future__ import annotations

import math
import random
import zlib
from collections.abc import Callable, MutableSequence
from dataclasses import dataclass, field
from typing import Literal

import orjson

from brambleusher.lab.stand_ins.machine import Job, Machine
from brambleusher.lab.stand_ins.server import ActiveFaults, Connection, Server
from brambleusher.lab.stand_ins.settings import NodeSettings
from brambleusher.net.http import HeaderField, HttpError, Message, MessageReader, write_response
from brambleusher.runtime.scheduler import Scheduler, Timer

WORK_HEADER = "lab-work-us"  # header with the true work of a request, set by stand-in clients
WORK_UNKNOWN = 0.05
READ_SECONDS = 10.0  # time limit for the rest of a request whose first byte has arrived, in seconds
WRITE_SECONDS = 10.0
AHEAD_BYTES = 128 * 1024  # maximum number of bytes buffered while an earlier request is processed
ENDLESS_CHUNK_BYTES, ENDLESS_SECONDS, ENDLESS_PAUSE = 16 * 1024, 20.0, 0.05

MalformedKind = Literal[
    "noise", "endless-head", "long-length", "negative-length", "two-lengths", "bad-chunk", "unframed",
    "endless-body", "cut-body", "second-copy", "noise-behind", "interim", "bad-report", "strange-status",
]  # fmt: skip
ResetWhere = Literal["accept", "before", "in", "after", "answer"]
ReportHow = Literal["absent", "noise", "negative", "huge", "idle", "not-json", "bytes"]


# --- faults -------------------------------------------------------------------------------------


@dataclass(eq=False, slots=True)
class Slow:
    """Work takes `factor` times as long."""

    factor: float


@dataclass(eq=False, slots=True)
class SlowEveryNth:
    """Every n-th request needs `factor` times the work."""

    every: int
    factor: float


@dataclass(eq=False, slots=True)
class Hung:
    """The node processes no requests, but still accepts connections and reads requests."""


@dataclass(eq=False, slots=True)
class Neighbour:
    """Another program on the machine periodically uses a share of its CPU."""

    cpu_share: float
    on_s: float
    off_s: float


@dataclass(eq=False, slots=True)
class MalformedResponses:
    """A fraction of the responses is malformed or followed by unexpected bytes."""

    how: MalformedKind
    fraction: float = 1.0


@dataclass(eq=False, slots=True)
class Resets:
    """A fraction of the requests is reset."""

    where: ResetWhere
    fraction: float = 1.0
    runs: bool = True  # whether a request received whole is executed


@dataclass(eq=False, slots=True)
class EarlyClose:
    """Idle connections are closed early: after a random time, or with the next request unread."""

    within_s: float
    fraction: float = 1.0
    unread: bool = False


@dataclass(eq=False, slots=True)
class DelayedReports:
    """Load reports become visible `delay_s` later."""

    delay_s: float


@dataclass(eq=False, slots=True)
class InvalidReports:
    """Load reports are missing or invalid."""

    how: ReportHow


@dataclass(eq=False, slots=True)
class RejectsRequests:
    """A fraction of the requests is rejected, as with a full queue."""

    fraction: float = 1.0
    status: Literal[503, 504] = 503


# --- the log ------------------------------------------------------------------------------------


@dataclass(eq=False, slots=True)
class Execution:
    """A request that was received whole, and its outcome.  Times are in monotonic nanoseconds."""

    node: str
    process: int  # index of the process among those started under the node's id, from 0
    connection: int
    request: str
    request_class: str
    target: str
    body_crc: int
    work_s: float
    capacity: float  # machine's capacity on arrival, in seconds of work on a standard core per second
    cold: bool
    came_ns: int
    began_ns: int = 0  # start of the work; 0 if the request never ran
    ended_ns: int = 0  # end of the request; 0 while open, or if the process exited first
    # Outcome: "made", "error", "turned away", "dropped" (before it ran), "stopped" (while it ran) or "lost".
    end: str = ""
    number: int = 0  # index of the response among all responses of the process, from 1
    answer: bytes = b""  # body of the response

    @property
    def ran(self) -> bool:
        """Whether any work was done for the request."""
        return self.began_ns > 0


@dataclass(eq=False, slots=True)
class _Work:
    """A request that the node is processing."""

    connection: Connection
    request: Message
    execution: Execution
    due: float  # time at which the sidecar stops waiting for the response
    job: Job | None = None
    answer: tuple[int, list[HeaderField], bytes] | None = None
    timer: Timer | None = None  # timer of the simulated handshake
    client_gone: bool = False
    is_finished: bool = field(default=False)


class Node(Server):
    """A process of a node.

    `process` is the index of the process among those started under the node's id.  Successive processes may
    share `executions` and `active_faults`.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        settings: NodeSettings,
        name: str,
        seed: int = 0,
        *,
        process: int = 0,
        cold: bool = False,
        executions: MutableSequence[Execution] | None = None,
        active_faults: ActiveFaults | None = None,
    ) -> None:
        super().__init__(scheduler, name)
        self.settings, self.process = settings, process
        self.rng = random.Random(f"{seed}/{name}/{process}")
        self.machine = Machine(settings, self.rng, scheduler.now(), cold)
        self.executions: MutableSequence[Execution] = [] if executions is None else executions
        self.active_faults = ActiveFaults() if active_faults is None else active_faults
        self.draining = False
        self.on_fall: Callable[[], object] | None = None  # called when overload during warm-up stops the node
        self.answers = self.rejected_count = self._request_count = 0
        self._timer: Timer | None = None
        self._timer_at = math.inf
        # For each neighbour program: its timer, whether it is busy, and the end of the current period.
        self._neighbour_states: dict[Neighbour, tuple[Timer, bool, float]] = {}
        self._ended = False
        self.changed()

    # --- injected faults ------------------------------------------------------------------------

    def begin(self, fault: object) -> None:
        """Activate a fault."""
        self.active_faults.begin(fault)
        self.changed()

    def end(self, fault: object) -> None:
        """Deactivate a fault."""
        self.active_faults.end(fault)
        self.changed()

    def changed(self) -> None:
        """Apply the active faults to the machine."""
        slow = math.prod(each.factor for each in self.active_faults.all(Slow))
        taken = self._update_neighbours(self.active_faults.all(Neighbour))
        hung = bool(self.active_faults.all(Hung))
        self.machine.set_capacity_loss(self.scheduler.now(), slow=slow, taken=taken, hung=hung)
        self._set_timer()

    def _update_neighbours(self, active: list[Neighbour]) -> float:
        """Start and stop the neighbour programs, and return the share of the CPU that busy ones use."""
        now = self.scheduler.now()
        for removed in [each for each in self._neighbour_states if each not in active]:
            self._neighbour_states.pop(removed)[0].cancel()
        for neighbour in active:
            until = self._neighbour_states[neighbour][2] if neighbour in self._neighbour_states else now
            if until <= now:
                on = neighbour not in self._neighbour_states or not self._neighbour_states[neighbour][1]
                until = now + max(0.001, neighbour.on_s if on else neighbour.off_s)
                self._neighbour_states[neighbour] = self.scheduler.call_at(until, self.changed), on, until
        return max((each.cpu_share for each in active if self._neighbour_states[each][1]), default=0.0)

    @property
    def capacity(self) -> float:
        """Current capacity during warm-up, in seconds of work on a standard core per second."""
        self.machine.advance(self.scheduler.now())
        return self.machine.capacity

    @property
    def busy(self) -> int:
        """Number of running and queued requests."""
        return self.machine.job_count

    def close(self, reset: bool = True) -> None:
        """End the process; the requests it is processing are lost."""
        self._ended = True
        if self._timer is not None:
            self._timer.cancel()
        self._update_neighbours([])
        super().close(reset)

    # --- one connection -------------------------------------------------------------------------

    def serve(self, connection: Connection) -> None:
        """Serve requests one after another."""
        if self._draw_reset("accept"):
            self.reset(connection)
            return
        settings, rng = self.settings, self.rng
        self._apply_connection_tax()
        reader, first = MessageReader.requests(), True
        try:
            while True:
                idle = settings.idle_s
                crossing = self.active_faults.last(EarlyClose)
                crosses = crossing is not None and not first and rng.random() < crossing.fraction
                if crossing is not None and crosses and not crossing.unread:
                    idle = min(idle, crossing.within_s * rng.random())
                unread = crossing is not None and crosses and crossing.unread
                request = self._read(connection, reader, idle, unread)
                if request is None or not self._exchange(connection, reader, request, first):
                    return
                first = False
        finally:
            self.connections.pop(connection.number, None)
            self._apply_connection_tax()

    def _apply_connection_tax(self) -> None:
        tax = self.settings.full_tax * min(1.0, len(self.connections) / self.settings.connections)
        self.machine.set_capacity_loss(self.scheduler.now(), tax=tax)
        self._set_timer()

    def _draw_reset(self, where: ResetWhere) -> Resets | None:
        """Decide whether the request is reset at a given point, and return the active fault in that case."""
        for resets in self.active_faults.all(Resets):
            if resets.where == where and self.rng.random() < resets.fraction:
                return resets
        return None

    def _read(
        self, connection: Connection, reader: MessageReader, idle_s: float, unread: bool
    ) -> Message | None:
        """Read the next request; return None if the connection is to be closed."""
        scheduler, stream = self.scheduler, connection.stream
        deadline = scheduler.now() + idle_s
        while (request := reader.take()) is None:
            if not reader.has_begun and (unread or self.active_faults.all(Resets)):
                scheduler.park(deadline, stream.sock)
                if unread and not stream.is_idle():
                    return None  # the close with unread bytes causes a reset
                if self._draw_reset("before"):
                    self.reset(connection)
                    return None
                if self._draw_reset("in"):
                    stream.sock.recv(16)
                    self.reset(connection)
                    return None
            data = stream.receive(deadline)
            if not data:
                return None
            reader.feed(data)
            if reader.has_begun:
                deadline = scheduler.now() + READ_SECONDS
        return request

    def _exchange(self, connection: Connection, reader: MessageReader, request: Message, first: bool) -> bool:
        """Serve one request; return False if the connection can't be used for another one."""
        stream = connection.stream
        try:
            work = self._work(connection, request)
        except HttpError as error:
            self._send(connection, write_response(error.status, [], f"{error}\n".encode()))
            return True
        reset = self._draw_reset("after")
        if reset is not None and not reset.runs:
            work.execution.end = "lost"
            self.reset(connection)
            return False
        self._begin(work, first)
        while not work.is_finished:
            data = stream.receive(None, connection.event) if reader.buffered < AHEAD_BYTES else None
            if data is None and not work.is_finished:
                self.scheduler.park(event=connection.event)
            elif data == b"":
                self._handle_disconnect(work)
                return False
            elif data:
                reader.feed(data)
        if work.answer is None:  # the work was stopped without a response
            return False
        return self._respond(connection, work, reset)

    def _work(self, connection: Connection, request: Message) -> _Work:
        headers, now_ns = request.headers, self.scheduler.system.monotonic_ns()
        name = headers.get("request-id")
        if not name:
            raise HttpError(404, "no Request-Id")
        try:
            seconds = float(headers.get(WORK_HEADER) or headers.get("work-hint") or WORK_UNKNOWN * 1e6) / 1e6
            wait = int(headers.get("request-timeout-ms", "0")) / 1000
        except ValueError:
            raise HttpError(400, "invalid number in a request header") from None
        spread = self.settings.work_noise
        seconds = max(1e-5, seconds * math.exp(spread * self.rng.gauss(0.0, 1.0) - spread * spread / 2))
        for slow in self.active_faults.all(SlowEveryNth):
            self._request_count += 1
            seconds *= slow.factor if self._request_count % slow.every == 0 else 1.0
        self.machine.advance(self.scheduler.now())
        execution = Execution(
            node=self.name, process=self.process, connection=connection.number, request=name,
            request_class=headers.get("request-class", ""), target=request.start[1],
            body_crc=zlib.crc32(request.body), work_s=seconds, capacity=self.machine.capacity,
            cold=self.machine.is_cold, came_ns=now_ns,
        )  # fmt: skip
        self.executions.append(execution)
        due = self.scheduler.now() + wait if wait else math.inf
        return _Work(connection, request, execution, due)

    # --- work -----------------------------------------------------------------------------------

    def _begin(self, work: _Work, first: bool) -> None:
        """Reject a request or add it to the machine, after the handshake on a connection's first request."""
        settings, now = self.settings, self.scheduler.now()
        if first and settings.handshake_work_s:
            self.machine.add_background_work(settings.handshake_work_s, now)
        rejections = [
            each for each in self.active_faults.all(RejectsRequests) if self.rng.random() < each.fraction
        ]
        if rejections:
            self._turn_away(work, rejections[-1].status)
        elif len(self.connections) > settings.connections:
            self._turn_away(work, 503)
        elif first and settings.handshake_s:
            work.timer = self.scheduler.call_at(now + settings.handshake_s, lambda: self._enter(work))
        else:
            self._enter(work)

    def _enter(self, work: _Work) -> None:
        now = self.scheduler.now()
        work.timer = None
        if work.client_gone:
            return
        self.machine.advance(now)
        if (self.draining and self.settings.drain_refuses) or self.machine.is_full:
            self._turn_away(work, 503)
            return

        def begun(at: float) -> bool:
            if self.settings.drops_overdue and at >= work.due:
                self._turn_away(work, 504)
                return False
            work.execution.began_ns = self._ns(at)
            return True

        def done(at: float) -> None:
            self._complete(work, at)

        work.job = Job(work.execution.work_s, begun, done)
        self.machine.add(work.job, now)
        self._check_fall()
        self._set_timer()

    def _ns(self, at: float) -> int:
        """Convert a time of the scheduler to nanoseconds, at most the current time."""
        return min(self.scheduler.system.monotonic_ns(), round(at * 1e9))

    def _turn_away(self, work: _Work, status: int) -> None:
        self.rejected_count += 1
        self.machine.record_rejected(work.execution.work_s, self.scheduler.now())
        work.answer = status, [("Not-Started", "1")], b"not started\n"
        self._finish(work, "turned away")
        self._check_fall()

    def _complete(self, work: _Work, at: float) -> None:
        self.answers += 1
        execution = work.execution
        execution.number = self.answers
        if self.settings.error_rate and self.rng.random() < self.settings.error_rate:
            work.answer = 500, [], b"failed\n"
            self._finish(work, "error")
            return
        execution.answer = orjson.dumps(
            {
                "node": self.name, "process": self.process, "request": execution.request,
                "number": self.answers, "target": execution.target, "body_crc": execution.body_crc,
                "pad": "x" * self.settings.answer_bytes,
            }
        )  # fmt: skip
        work.answer = 200, [("Content-Type", "application/json")], execution.answer
        self._finish(work, "made")

    def _finish(self, work: _Work, end: str) -> None:
        work.is_finished = True
        work.execution.end, work.execution.ended_ns = end, self.scheduler.system.monotonic_ns()
        work.connection.event.set()

    def _handle_disconnect(self, work: _Work) -> None:
        """Stop the work of a request whose sidecar has disconnected, as far as the settings allow."""
        work.client_gone = True
        execution, settings, job = work.execution, self.settings, work.job
        if job is None:
            if work.timer is not None:
                work.timer.cancel()
                self._finish(work, "dropped")
            return
        if settings.cancel == "none" or (self.machine.is_running(job) and settings.cancel != "all"):
            return
        if self.machine.drop(job, self.scheduler.now()):
            self._finish(work, "stopped" if execution.ran else "dropped")
        self._set_timer()

    def _check_fall(self) -> None:
        if self.machine.fell_at is not None and not self._ended:
            self.close()
            if self.on_fall is not None:
                self.on_fall()

    def _set_timer(self) -> None:
        at = self.machine.next_at()
        due = math.inf if at is None else at
        if due == self._timer_at or self._ended:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = due
        self._timer = None if at is None else self.scheduler.call_at(at, self._on_timer)

    def _on_timer(self) -> None:
        self._timer, self._timer_at = None, math.inf
        self.machine.advance(self.scheduler.now())
        self._set_timer()

    # --- answers --------------------------------------------------------------------------------

    def _respond(self, connection: Connection, work: _Work, reset: Resets | None) -> bool:
        assert work.answer is not None
        status, headers, body = work.answer
        headers = headers + self._reports()
        if reset is not None:
            self.reset(connection)
            return False
        if self._draw_reset("answer"):
            data = write_response(status, headers, body)
            self._send(connection, data[: self.rng.randrange(1, len(data))])
            self.reset(connection)
            return False
        spoilt = self.active_faults.last(MalformedResponses)
        if spoilt is not None and status == 200 and self.rng.random() < spoilt.fraction:
            return self._spoil(connection, spoilt.how, headers, body)
        self._send(connection, write_response(status, headers, body))
        return work.request.keep_alive

    def _send(self, connection: Connection, data: bytes) -> None:
        connection.stream.send(data, self.scheduler.now() + WRITE_SECONDS)

    def _reports(self) -> list[HeaderField]:
        fields = self.settings.report_fields
        if not fields:
            return []
        invalid = self.active_faults.last(InvalidReports)
        if invalid is not None:
            return _wrong_report(invalid.how, fields)
        now = self.scheduler.now()
        self.machine.advance(now)
        delay = sum(each.delay_s for each in self.active_faults.all(DelayedReports))
        report = self.machine.report(now, delay)
        if report is None:
            return []
        values = {
            "throughput": round(report.throughput, 3), "utilization": round(report.utilization, 4),
            "qps": round(report.throughput, 3), "util": round(report.utilization, 4),
            "outstanding": self.machine.job_count, "inflight": self.machine.job_count,
        }  # fmt: skip
        return [("Server-Load", orjson.dumps({name: values.get(name, 0) for name in fields}).decode())]

    def _spoil(
        self, connection: Connection, how: MalformedKind, headers: list[HeaderField], body: bytes
    ) -> bool:
        """Send a malformed response; return False if the connection can't be used any more."""
        valid = write_response(200, headers, body)
        if how in ("second-copy", "noise-behind"):
            extra = valid if how == "second-copy" else self.rng.randbytes(64)
            self._send(connection, valid + extra)
            return True
        if how == "interim":
            self._send(connection, b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + valid)
            return True
        if how == "bad-report":
            others = [each for each in headers if each[0] != "Server-Load"]
            self._send(connection, write_response(200, [*others, ("Server-Load", "{\x01\xff[")], body))
            return True
        head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        if how == "endless-head":
            self._send(connection, head.encode())
            self._endless(connection, b"X-More: " + b"m" * 1000 + b"\r\n")
        elif how == "endless-body":
            self._send(connection, (head + f"Content-Length: {3 << 30}\r\n\r\n").encode() + body)
            self._endless(connection, b"e" * ENDLESS_CHUNK_BYTES)
        else:
            self._send(connection, _unreadable(how, head, body, self.rng))
        # The connection stays open but unusable, and all further bytes on it are discarded.
        while connection.stream.receive(None):
            continue
        return False

    def _endless(self, connection: Connection, chunk: bytes) -> None:
        until = self.scheduler.now() + ENDLESS_SECONDS
        while self.scheduler.now() < until:
            self._send(connection, chunk)
            self.scheduler.sleep(ENDLESS_PAUSE)


def _unreadable(how: MalformedKind, head: str, body: bytes, rng: random.Random) -> bytes:
    """Return the bytes of a response that can't be parsed to its end.

    The variants don't include a Content-Length that is too small, since such a response is indistinguishable
    from a valid one followed by extra bytes.
    """
    size = len(body)
    if how == "noise":
        return rng.randbytes(200)
    if how == "long-length":
        return (head + f"Content-Length: {size + 512}\r\n\r\n").encode() + body
    if how == "negative-length":
        return (head + f"Content-Length: -{size}\r\n\r\n").encode() + body
    if how == "two-lengths":
        return (head + f"Content-Length: {size}\r\nContent-Length: {size + 7}\r\n\r\n").encode() + body
    if how == "bad-chunk":
        return (
            (head + f"Transfer-Encoding: chunked\r\n\r\n{size - 3:x}\r\n").encode() + body + b"\r\n0\r\n\r\n"
        )
    if how == "cut-body":
        return (head + f"Content-Length: {size}\r\n\r\n").encode() + body[: size // 2]
    if how == "strange-status":
        return b"HTTP/1.1 2000 FINE\r\n" + f"Content-Length: {size}\r\n\r\n".encode() + body
    return (head + "\r\n").encode() + body  # the body has no framing


def _wrong_report(how: ReportHow, fields: tuple[str, ...]) -> list[HeaderField]:
    values: dict[ReportHow, object] = {"negative": -3.5, "huge": 1e300, "idle": 0}
    if how == "absent":
        return []
    if how in values:
        return [("Server-Load", orjson.dumps(dict.fromkeys(fields, values[how])).decode())]
    text = {"noise": "q7!;;#", "not-json": '{"utilization":', "bytes": "\xfe\xff{}"}[how]
    return [("Server-Load", text)]
