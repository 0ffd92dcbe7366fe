"""Stand-in clients, with requests at set times, connection reuse, retries, and a log of every attempt."""

from __future__ import annotations

import random
from collections.abc import Iterable, MutableSequence
from dataclasses import dataclass, field

from brambleusher.lab.stand_ins.node import WORK_HEADER
from brambleusher.lab.stand_ins.settings import ClientSettings, PlannedRequest
from brambleusher.net.http import HeaderField, HttpError, Message, MessageReader, write_request
from brambleusher.runtime.scheduler import Event, Scheduler, Task, TaskTimeoutError
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import Address

READY_PAUSE = 0.05
CONNECT_SECONDS = 1.0
CROSSING_SECONDS = 0.02
SHORTEST_WAIT = 0.02  # minimum time that must be left for another attempt, in seconds
# Time in seconds for which a client listens past its deadline, above the 50 ms of grace that sidecars have.
LINGER_SECONDS = 0.1


@dataclass(eq=False, slots=True)
class RequestAttempt:
    """An attempt: a request sent to a sidecar, and its outcome.  Times are in monotonic nanoseconds."""

    ask: PlannedRequest
    id: str
    number: int  # index of the attempt among those of the request, from 0
    wait_s: float  # time limit sent to the sidecar, in seconds
    begun_ns: int
    port: int = 0  # client's port of the connection on which the request was last sent
    sent_ns: int = 0  # time at which the last byte was written; 0 if not all bytes were written
    resent: bool = False  # whether the request was sent again after a close that crossed it
    ended_ns: int = 0  # time of the response's last byte or of the client's giving up; 0 while open
    end: str = ""  # outcome: answered, late, left, unreachable, broken, unreadable or stopped
    status: int = 0
    body: bytes = b""
    retry_after_s: float | None = None


@dataclass(eq=False, slots=True)
class SentRequest:
    """A client request with all its attempts."""

    ask: PlannedRequest
    due_ns: int  # scheduled time of sending
    tries: list[RequestAttempt] = field(default_factory=list)
    over: bool = False

    @property
    def served(self) -> bool:
        """Whether the last attempt got a response with status 200."""
        return bool(self.tries) and self.tries[-1].end == "answered" and self.tries[-1].status == 200


def headers_for(ask: PlannedRequest, name: str, wait_s: float, retry: bool) -> list[HeaderField]:
    """Return a request's headers, except for its length."""
    fields: list[HeaderField] = [
        ("Host", "api.internal"),
        ("Request-Id", name),
        ("Request-Class", ask.request_class),
        ("Request-Timeout-Ms", str(max(1, int(wait_s * 1000)))),
        (WORK_HEADER.title(), str(round(ask.work_s * 1e6))),
    ]
    if ask.tenant:
        fields.append(("Tenant", ask.tenant))
    if ask.hint_s:
        fields.append(("Work-Hint", str(round(ask.hint_s * 1e6))))
    if retry:
        fields.append(("Client-Retry", "1"))
    return fields


def serialize_request(ask: PlannedRequest, name: str, wait_s: float, retry: bool = False) -> bytes:
    """Return the bytes of a request; its body contains the id, so that a misdirected body can be detected."""
    target = f"/{ask.request_class}?obj={ask.id[:8]}"
    body = b""
    if ask.unsafe:
        text = f"record {name} ".encode()
        body = text + b"r" * max(0, ask.body_bytes - len(text))
    return write_request("POST" if ask.unsafe else "GET", target, headers_for(ask, name, wait_s, retry), body)


def retry_delay_s(
    last: RequestAttempt, settings: ClientSettings, rng: random.Random, now_s: float, due_s: float
) -> float | None:
    """Return the time to wait before another attempt, in seconds; None for no further attempt.

    An idempotent request is retried after any failure.  A non-idempotent one is retried only if a rejection
    or a failed connect proves that the request never ran.
    """
    if last.end == "left" or last.end == "stopped" or (last.end == "answered" and last.status == 200):
        return None
    rejected = last.end == "answered" and last.status in (429, 503)
    if last.ask.unsafe and not rejected and last.end != "unreachable":
        return None
    if last.number + 1 >= settings.tries:
        return None
    pause = 0.0
    if settings.backoff != "none":
        growth = 2**last.number if settings.backoff == "exponential" else 1
        pause = settings.backoff_s * growth * (0.5 + rng.random())
    if rejected and last.retry_after_s is not None and rng.random() < settings.honour:
        pause = max(pause, min(last.retry_after_s, settings.honour_most_s))
    return pause if now_s + pause + SHORTEST_WAIT < due_s else None


def reports_ready(stream: Stream, deadline: float) -> bool:
    """Return whether a sidecar reports ready; raises `OSError`, `TaskTimeoutError` or `HttpError`."""
    stream.send(write_request("GET", "/ready", [("Host", "api.internal")]), deadline)
    answer = Client.answer(stream, deadline, [])
    return answer is not None and answer.status == 200


class Client:
    """All clients beside one sidecar, with a common pool of connections."""

    def __init__(
        self,
        scheduler: Scheduler,
        settings: ClientSettings,
        target: Address,
        asks: Iterable[PlannedRequest],
        seed: int = 0,
        *,
        records: MutableSequence[SentRequest] | None = None,
    ) -> None:
        self.scheduler, self.settings, self.target = scheduler, settings, target
        self.rng = random.Random(f"{seed}/client/{target[0]}:{target[1]}")
        self.records: MutableSequence[SentRequest] = [] if records is None else records
        self._asks = sorted(asks, key=lambda ask: (ask.at_s, ask.id))
        self._idle: list[Stream] = []
        self.linger_s = LINGER_SECONDS
        self._single_use: list[Stream] = []  # connections held open after a single request
        self._busy_count = 0  # number of connections with an open request
        self._open_tasks: dict[str, Task] = {}  # tasks of the open requests, by request id
        self._arrivals: Task | None = None
        self.connects = 0
        self.done = Event()  # set when the last request has ended

    @property
    def open(self) -> int:
        """Number of requests that have not ended."""
        return len(self._open_tasks)

    @property
    def finished(self) -> bool:
        """Whether all requests were sent and have ended."""
        return not self._open_tasks and (self._arrivals is None or self._arrivals.done)

    def open_ids(self) -> list[str]:
        """Return the ids of the open requests' current attempts."""
        return [asked.tries[-1].id for asked in self.records if not asked.over and asked.tries]

    def start(self, at: float | None = None) -> None:
        """Send each request `at_s` after the time `at`, or after the sidecar is ready if `at` is None."""
        self._arrivals = self.scheduler.spawn(self._arrive, at, name="arrivals")

    def stop(self) -> None:
        """Send no new requests; open requests continue to their end."""
        if self._arrivals is not None:
            self._arrivals.cancel()
        if not self._open_tasks:
            self.done.set()

    def close(self) -> None:
        """Close the idle connections and cancel the open requests."""
        self.stop()
        for task in list(self._open_tasks.values()):
            task.cancel()
        while self._idle:
            self._idle.pop().close()
        while self._single_use:
            self._single_use.pop().close()

    # --- arrivals -------------------------------------------------------------------------------

    def _arrive(self, at: float | None) -> None:
        scheduler = self.scheduler
        if at is None:
            while not self._ready():
                scheduler.sleep(READY_PAUSE)
            at = scheduler.now()
        begin = at
        for ask in self._asks:
            if (wait := begin + ask.at_s - scheduler.now()) > 0:
                scheduler.sleep(wait)
            asked = SentRequest(ask, round((begin + ask.at_s) * 1e9))
            self.records.append(asked)
            self._open_tasks[ask.id] = scheduler.spawn(self._run_request, asked, begin + ask.at_s, name="ask")

    def _ready(self) -> bool:
        deadline = self.scheduler.now() + CONNECT_SECONDS
        try:
            stream = Stream.connect(self.scheduler, self.target, deadline)
        except (OSError, TaskTimeoutError):
            return False
        try:
            return reports_ready(stream, deadline)
        except (OSError, TaskTimeoutError, HttpError):
            return False
        finally:
            stream.close()

    # --- one request ----------------------------------------------------------------------------

    def _run_request(self, asked: SentRequest, began: float) -> None:
        """Make attempts until one succeeds or none is left."""
        ask, scheduler, settings = asked.ask, self.scheduler, self.settings
        due = began + ask.wait_s
        try:
            while True:
                number, now = len(asked.tries), scheduler.now()
                wait = (due - now) * (settings.try_part if number + 1 < settings.tries else 1.0)
                name = ask.id if not number else f"{ask.id}-{number}"
                last = RequestAttempt(ask, name, number, wait, scheduler.system.monotonic_ns())
                asked.tries.append(last)
                try:
                    self._attempt(last, now + wait)
                finally:
                    last.ended_ns = scheduler.system.monotonic_ns()
                    last.end = last.end or "stopped"
                pause = retry_delay_s(last, settings, self.rng, scheduler.now(), due)
                if pause is None:
                    return
                if pause:
                    scheduler.sleep(pause)
        finally:
            asked.over = True
            self._open_tasks.pop(ask.id, None)
            if self.finished:
                self.done.set()

    def _attempt(self, entry: RequestAttempt, deadline: float) -> None:
        """Make one attempt, on a second connection if the first was closed before the request was read."""
        rng, settings = self.rng, self.settings
        until = deadline
        if settings.impatient and rng.random() < settings.impatient:
            until -= (deadline - self.scheduler.now()) * rng.random()
        data = serialize_request(entry.ask, entry.id, entry.wait_s, entry.number > 0 and settings.marks_retry)
        stream, reused = self._take_idle(), True
        while True:
            if stream is None:
                reused = False
                if not self._may_open():
                    entry.end = "unreachable"
                    return
                try:
                    stream = Stream.connect(
                        self.scheduler, self.target, min(until, self.scheduler.now() + CONNECT_SECONDS)
                    )
                except (OSError, TaskTimeoutError):
                    entry.end = "unreachable"
                    return
                self.connects += 1
            if not self._exchange(entry, stream, data, until, deadline, reused):
                return
            entry.resent, stream = True, None

    def _exchange(
        self, entry: RequestAttempt, stream: Stream, data: bytes, until: float, deadline: float, reused: bool
    ) -> bool:
        """Write the request and read the response; return True if it must be resent on a new connection."""
        got: list[int] = []
        keep, sent = False, self.scheduler.now()
        self._busy_count += 1
        try:
            entry.port = stream.sock.getsockname()[1]
            stream.send(data, until)
            entry.sent_ns = self.scheduler.system.monotonic_ns()
            answer = self.answer(stream, until + (self.linger_s if until >= deadline else 0.0), got)
            if answer is None:
                raise ConnectionResetError("the connection ended before the response")
            if self.scheduler.now() > until:  # the response came after the client's deadline
                raise TaskTimeoutError
            entry.end, entry.status, entry.body = "answered", answer.status, answer.body
            entry.retry_after_s = _seconds(answer.headers.get("retry-after"))
            keep = answer.keep_alive
        except TaskTimeoutError:
            entry.end = "left" if until < deadline else "late"
        except HttpError:
            entry.end = "unreadable"
        except OSError:
            # A close that crossed the request arrives within a round trip.  After that, the request may have
            # been read.
            if reused and not got and self.scheduler.now() - sent < CROSSING_SECONDS:
                return True
            entry.end = "broken"
        finally:
            self._busy_count -= 1
            if keep and self.settings.asks_once and self.rng.random() < self.settings.asks_once:
                self._single_use.append(stream)
            elif keep and len(self._idle) < self.settings.idle_most:
                self._idle.append(stream)
            else:
                stream.close()
        return False

    def _may_open(self) -> bool:
        """Return whether another connection may be opened, after removal of those the sidecar has closed."""
        most = self.settings.most_open
        if most and self._busy_count + len(self._idle) + len(self._single_use) >= most:
            for stream in [stream for stream in self._single_use if not stream.is_idle()]:
                stream.close()
                self._single_use.remove(stream)
        return not most or self._busy_count + len(self._idle) + len(self._single_use) < most

    def _take_idle(self) -> Stream | None:
        """Return the most recently used idle connection that is still open, or None."""
        while self._idle:
            stream = self._idle.pop()
            if stream.is_idle():
                return stream
            stream.close()
        return None

    @staticmethod
    def answer(stream: Stream, deadline: float, got: list[int]) -> Message | None:
        """Read a whole response; return None if the connection ended before the response did."""
        reader = MessageReader.responses()
        while True:
            data = stream.receive(deadline)
            if not data:
                return reader.end()
            got.append(len(data))
            reader.feed(data)
            while (answer := reader.take()) is not None:
                if answer.status >= 200:
                    return answer


def _seconds(text: str | None) -> float | None:
    try:
        return None if text is None else max(0.0, float(text))
    except ValueError:
        return None
