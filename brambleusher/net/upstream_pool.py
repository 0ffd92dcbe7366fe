"""Connections to each endpoint, and the claims made on them: one at a time on each."""

from __future__ import annotations

import logging
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import orjson

from brambleusher.decisions.balancer_driver import AttemptOutcome, do_nothing
from brambleusher.loadbalancing.api import (
    CONNECT_TIMEOUT_FRACTION,
    AttemptStatus,
    HostState,
    LoadReport,
    Settings,
)
from brambleusher.loadbalancing.connection_limits import ConnectionLimit, ConnectPacing
from brambleusher.net.endpoint_list import Endpoint, EndpointListUpdate
from brambleusher.net.http import (
    HOP_BY_HOP,
    Framing,
    HttpError,
    Message,
    MessageReader,
    chunk,
    write_request,
)
from brambleusher.net.streamed_bodies import EarlyResponseError, RequestBodyStream, ResponseBodyStream
from brambleusher.observability.counters import Counters
from brambleusher.observability.log_format import SparseLog
from brambleusher.runtime.scheduler import Event, Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import Stream, WaitInterruptedError

log = logging.getLogger(__name__)

MAX_INTERIM = 16  # 1xx answers ahead of one claim's final answer
REST_SECONDS = 0.5  # without a byte of an answer that has begun, and is held
HELD_SECONDS = 0.3  # that the begin of an answer of unknown length is held
PIECE_SECONDS = 10.0  # for a node that takes a piece of a body slowly
# After an answer, before its connection is used again: a second answer to the same request, some
# milliseconds late, would be taken for that of the next one.
REUSE_REST_SECONDS = 0.02
_REWRITTEN = HOP_BY_HOP | {"content-length", "request-timeout-ms", "expect"}


Ended = tuple[AttemptStatus, LoadReport | None, Message | None]


def parse_report(text: str | None, tell: Callable[[str], object] = lambda fault: None) -> LoadReport | None:
    """An answer's load report; what makes no sense is left out, never guessed, and told."""
    if not text:
        return None
    try:
        raw = orjson.loads(text)
    except ValueError:
        tell("not JSON")
        return None
    if not isinstance(raw, dict):
        tell("not an object")
        return None
    figures = []
    for names in (("util", "utilization"), ("qps", "throughput")):
        name = next((name for name in names if name in raw), None)
        value = None if name is None else raw[name]
        sound = isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value < math.inf
        if not sound and value is not None:
            tell(f"{name} is not a number of 0 or more")
        figures.append(float(value) if sound and value is not None else None)
    return None if figures == [None, None] else LoadReport(*figures)


def report_of(answer: Message, tell: Callable[[str], object] = lambda fault: None) -> LoadReport | None:
    """An answer's load report; None where it has none, without figures where they can't be read.

    Guards against taking a node whose report was spoilt for one that has fallen silent.
    """
    text = answer.headers.get("server-load")
    return parse_report(text, tell) or (None if text is None else LoadReport(None, None))


def status_of(answer: Message) -> AttemptStatus:
    """What an answer proves; a 503 that does not say so proves nothing."""
    if answer.status == 200:
        return AttemptStatus.OK
    if answer.status in (503, 504) and answer.headers.get("not-started") == "1":
        return AttemptStatus.OVERLOADED
    return AttemptStatus.ERROR


@dataclass(slots=True)
class UpstreamEndpoint:
    """One endpoint: its place, its idle connections (the last used at the end), its open claims."""

    name: str
    address: tuple[str, int]
    started_ns: int
    idle: list[Stream]
    claims: dict[UpstreamAttempt, None]  # in the order they began
    link: ConnectionLimit
    waiting: deque[UpstreamAttempt] = field(default_factory=deque)  # for a connection
    leaving: bool = False


class UpstreamAttempt:
    """One claim: its task, and how far it has come."""

    __slots__ = ("event", "began_at", "begun", "fresh", "sending", "stream", "why", "written")

    def __init__(self, began_at: float) -> None:
        self.began_at = began_at  # its latency counts from here
        self.event = Event()  # set when it is called off
        self.why: AttemptStatus | None = None  # the status it was called off with
        self.stream: Stream | None = None
        self.fresh = False  # its connection was opened for it
        self.begun = False  # its answer passes on
        self.sending = False  # its first byte is on its way
        self.written = False  # its last byte has been handed over: from here on it may have run

    def call_off(self, why: AttemptStatus = AttemptStatus.CANCELLED) -> None:
        """Close its connection, which gives it up at the endpoint too."""
        if self.why is None and not self.begun:
            self.why = why
            self.event.set()


class UpstreamPool:
    """The endpoints that the endpoint list names."""

    def __init__(
        self,
        scheduler: Scheduler,
        settings: Settings,
        counters: Counters,
        most_connections: int,
        written: Callable[[], None] = lambda: None,
    ) -> None:
        """`written` is told of each claim whose last byte has been handed over."""
        self._scheduler, self._counters, self._written = scheduler, counters, written
        self._connect_seconds = settings.connect_timeout_ns / 1e9
        self._pace = ConnectPacing.for_fleet(
            settings.fleet_size, settings.connection_idle_timeout_ns / 1e9 or math.inf
        )
        self.listed: dict[str, Endpoint] = {}
        self._nodes: dict[
            str, UpstreamEndpoint
        ] = {}  # those of them in use, and no others: a list may have thousands
        self._most, self._open = most_connections, 0
        self._bad_answers = SparseLog(log, scheduler.now)
        self._bad_reports = SparseLog(log, scheduler.now)

    def resize(self, most_connections: int) -> None:
        """There may be so many connections from now on."""
        self._most = most_connections

    # --- the endpoint list -----------------------------------------------------------------------

    def update(self, update: EndpointListUpdate) -> None:
        """Follow the list: from this moment no claim starts on a node that drains or is gone."""
        if update.full:
            named = {endpoint.entry.host for endpoint in update.endpoints}
            for name in [name for name in self.listed if name not in named]:
                self._gone(name)
        for endpoint in update.endpoints:
            self._place(endpoint)

    def _gone(self, name: str) -> None:
        self.listed.pop(name, None)
        if (node := self._nodes.pop(name, None)) is not None:
            self._leave(node)

    def _place(self, endpoint: Endpoint) -> None:
        entry = endpoint.entry
        if entry.state is HostState.REMOVED:
            self._gone(entry.host)
            return
        self.listed[entry.host] = endpoint
        node = self._nodes.get(entry.host)
        if node is None:
            return
        if (node.address, node.started_ns) != (endpoint.address, entry.started_ns):
            # Guards against a claim on a connection to a process that is not the one listed now, be it
            # idle or still in use: none of them comes back to the record that its next claim makes.
            self._leave(self._nodes.pop(entry.host))
        elif entry.state is HostState.DRAINING:
            self._leave(node)
        else:
            node.leaving = False

    def _node(self, name: str) -> UpstreamEndpoint | None:
        """The record of a node that a claim is to be made on; None where none may be."""
        node = self._nodes.get(name)
        if node is not None:
            return None if node.leaving else node
        endpoint = self.listed.get(name)
        if endpoint is None or endpoint.entry.state is not HostState.READY:
            return None
        node = UpstreamEndpoint(
            name, endpoint.address, endpoint.entry.started_ns, [], {}, ConnectionLimit(self._pace)
        )
        self._nodes[name] = node
        return node

    def _leave(self, node: UpstreamEndpoint) -> None:
        node.leaving = True
        self._drop(node)
        for claim in list(node.claims):
            if not claim.sending:  # guards against one that waits for a connect and is sent after the notice
                claim.call_off(AttemptStatus.OVERLOADED)

    def let_go(self, name: str) -> None:
        """Close the idle connections to a node."""
        node = self._nodes.get(name)
        if node is not None:
            self._drop(node)

    def close(self) -> None:
        """Close all that is idle."""
        for node in self._nodes.values():
            self._drop(node)

    @property
    def open_connections(self) -> int:
        """Open connections, idle ones among them."""
        return self._open

    @property
    def idle_connections(self) -> int:
        """Connections kept for later."""
        return sum(len(node.idle) for node in self._nodes.values())

    @property
    def claims_out(self) -> int:
        """Claims that have not ended."""
        return sum(len(node.claims) for node in self._nodes.values())

    # --- claims ---------------------------------------------------------------------------------

    def claim(
        self,
        name: str,
        payload: object,
        timeout_ns: int,
        deadline: float,
        ended: Callable[[AttemptOutcome], None],
        begun: Callable[[object], None] | None = None,
        passing: Callable[[bool], None] = lambda whole: None,
        wanted: Callable[[], bool] = lambda: True,
    ) -> UpstreamAttempt:
        """Start a claim; `ended` is called once, whatever happens.

        It is told of an answer that is not held when its first bytes have come: the payload's `rest` is a
        `ResponseBodyStream` then, and whoever takes it closes it.  `passing` is told when a body begins to
        pass on, and when it is whole.  `begun` is never called: what it would say, `ended` does.  `wanted` is
        asked right before the first byte is sent; where it says no, nothing is.
        """
        if not isinstance(payload, Message):
            raise TypeError("endpoints are spoken to in HTTP alone")
        start = self._scheduler.now()
        claim = UpstreamAttempt(start)
        limit = min(deadline, start + timeout_ns / 1e9) if timeout_ns else deadline

        def tell(status: AttemptStatus, report: LoadReport | None, answer: Message | None) -> None:
            latency = int((self._scheduler.now() - claim.began_at) * 1e9)
            drop = (
                answer.rest.close
                if answer is not None and isinstance(answer.rest, ResponseBodyStream)
                else do_nothing
            )
            ended(AttemptOutcome(status, latency, report, answer, drop))

        def run() -> None:
            outcome: Ended | None = (AttemptStatus.ERROR, None, None)
            node = self._node(name)
            try:
                if node is None:
                    outcome = AttemptStatus.OVERLOADED, None, None
                else:
                    node.claims[claim] = None
                    outcome = self._attempt(node, claim, payload, limit, tell, passing, wanted)
            except Exception:
                # Guards against a claim without an end: its request would wait until the deadline.
                self._counters.add("faults")
                log.exception("claim failed", extra={"fields": {"node": name}})
            finally:
                if node is not None:
                    node.claims.pop(claim, None)
                if outcome is not None and not claim.begun:
                    tell(*outcome)

        self._scheduler.spawn(run, name=f"claim {name}")
        return claim

    def _attempt(
        self,
        node: UpstreamEndpoint,
        claim: UpstreamAttempt,
        request: Message,
        deadline: float,
        tell: Callable[[AttemptStatus, LoadReport | None, Message | None], None],
        passing: Callable[[bool], None],
        wanted: Callable[[], bool],
    ) -> Ended | None:
        """How it ended; None where that was told already and the rest of its answer has passed on."""
        keep, stream = False, None
        upload = request.rest if isinstance(request.rest, RequestBodyStream) else None
        try:
            if upload is not None and upload.spent:
                return AttemptStatus.NOT_STARTED, None, None  # guards against a body sent in part
            stream = claim.stream = self._connection(node, claim, deadline)
            if stream is None:
                # Not the node's doing: told as full, a sidecar short of connections took its nodes for
                # overloaded and refused nearly everything.
                self._counters.add("connections_lacking")
                return AttemptStatus.NOT_STARTED, None, None
            if claim.why is not None:
                return self._called_off(claim), None, None
            left_ms = int((deadline - self._scheduler.now()) * 1000) if upload is None else upload.wait_ms
            if left_ms < 1 or not wanted():  # guards against work begun for a request that is over
                return AttemptStatus.NOT_STARTED, None, None
            self._counters.add("claims_sent")
            claim.sending = True
            if upload is None:
                stream.send(self._encode(request, node, left_ms), deadline)
            else:
                self._pass_on(stream, claim, upload, self._encode(request, node, left_ms), passing)
                claim.began_at, deadline = self._scheduler.now(), upload.due
            claim.written = True
            self._written()
            if upload is not None:
                passing(True)
            answer, keep = self._answer(stream, claim, deadline)
            status = status_of(answer)
            if status is AttemptStatus.OVERLOADED and claim.fresh:
                node.link.record_rejection(self._scheduler.now())
                keep = False  # guards against a place held in a full table
            if not isinstance(answer.rest, ResponseBodyStream):
                return status, self._report(node, answer), answer
            if status is not AttemptStatus.OK:
                return status, self._report(node, answer), None
            claim.begun = True
            tell(status, self._report(node, answer), answer)
            self._scheduler.park(event=answer.rest.over)
            keep = answer.keep_alive and answer.rest.reusable
            return None
        except EarlyResponseError:
            return self._early(node, stream, claim)
        except WaitInterruptedError:
            return self._called_off(claim), None, None
        except TaskTimeoutError:
            return AttemptStatus.TIMEOUT if claim.written else AttemptStatus.CONNECT_FAILED, None, None
        except OSError:
            return AttemptStatus.RESET if claim.written else AttemptStatus.CONNECT_FAILED, None, None
        except HttpError as error:
            self._counters.add("bad_answers")
            self._bad_answers.warning("bad answer", node=node.name, reason=error)
            return AttemptStatus.ERROR, None, None
        finally:
            if claim.stream is not None:
                node.link.record_release(self._scheduler.now(), keep)
                self._give_back(node, claim.stream, keep or not claim.sending)

    def _early(self, node: UpstreamEndpoint, stream: Stream | None, claim: UpstreamAttempt) -> Ended:
        """What a node says of a request that is not whole: it has not run, and may have been turned away."""
        try:
            assert stream is not None
            answer, _ = self._answer(stream, claim, self._scheduler.now() + REST_SECONDS)
            if status_of(answer) is AttemptStatus.OVERLOADED:
                return AttemptStatus.OVERLOADED, self._report(node, answer), None
        except (OSError, TaskTimeoutError, HttpError, WaitInterruptedError):
            pass
        return AttemptStatus.CONNECT_FAILED, None, None

    def _pass_on(
        self,
        stream: Stream,
        claim: UpstreamAttempt,
        upload: RequestBodyStream,
        head: bytes,
        passing: Callable[[bool], None],
    ) -> None:
        """A request's body, piece by piece; raises `WaitInterruptedError` where the rest does not come."""
        now, chunked = self._scheduler.now, upload.length is None
        passing(False)
        held = upload.start()

        def look() -> None:
            if not stream.quiet():
                raise EarlyResponseError

        stream.send(head + (chunk(held) if chunked and held else held), now() + PIECE_SECONDS)
        while True:
            try:
                piece = upload.piece(claim.event, look)
            except (HttpError, OSError):
                # Its client's doing, and no last byte was written: the node has not run it.
                claim.call_off(AttemptStatus.NOT_STARTED)
                raise WaitInterruptedError from None
            if piece is None:
                raise WaitInterruptedError
            if not piece:
                break
            stream.send(chunk(piece) if chunked else piece, min(now() + PIECE_SECONDS, upload.due))
        if chunked:
            stream.send(chunk(b""), min(now() + PIECE_SECONDS, upload.due))

    def _report(self, node: UpstreamEndpoint, answer: Message) -> LoadReport | None:
        def bad(fault: str) -> None:
            self._counters.add("bad_reports")
            self._bad_reports.warning("bad load report", node=node.name, reason=fault)

        return report_of(answer, bad)

    @staticmethod
    def _called_off(claim: UpstreamAttempt) -> AttemptStatus:
        return claim.why if claim.why is not None and not claim.written else AttemptStatus.CANCELLED

    def _connection(self, node: UpstreamEndpoint, claim: UpstreamAttempt, deadline: float) -> Stream | None:
        """The most recently used idle connection that can be trusted, else a new one, in its turn.

        None where this sidecar has no place left for one.  Raises as `Stream.connect` does, also where the
        budget of connections to the node leaves none in time.
        """
        now = self._scheduler.now()
        # Part of the time only, so that one node that takes no connection leaves time for another.
        until = now + min(self._connect_seconds, (deadline - now) * CONNECT_TIMEOUT_FRACTION)
        while True:
            if (stream := self._idle(node, now)) is not None:
                self._counters.add("connections_reused")
                break
            pause = self._rest_left(node, now)
            if not 0 < pause < until - now and (pause := node.link.wait_s(now)) <= 0:
                if self._open >= self._most and not self._make_room():
                    return None
                stream = self._connect(node, claim, until)
                break
            self._counters.add("connects_put_off")
            self._await_turn(node, claim, min(until, now + pause))
            now = self._scheduler.now()
            if now >= until:
                raise TaskTimeoutError
        node.link.record_acquire(self._scheduler.now())
        return stream

    def _idle(self, node: UpstreamEndpoint, now: float) -> Stream | None:
        for at in range(len(node.idle) - 1, -1, -1):
            stream = node.idle[at]
            if now < stream.used_at + REUSE_REST_SECONDS:
                continue
            del node.idle[at]
            # Guards against a claim written to a connection that its node is about to close, or has.
            if now - stream.used_at < self._pace.idle_timeout_s and stream.quiet():
                return stream
            self._discard(node, stream)
        return None

    @staticmethod
    def _rest_left(node: UpstreamEndpoint, now: float) -> float:
        """Seconds until the first of the idle connections has rested; 0 where none is idle."""
        return node.idle[0].used_at + REUSE_REST_SECONDS - now if node.idle else 0.0

    def _connect(self, node: UpstreamEndpoint, claim: UpstreamAttempt, until: float) -> Stream:
        self._open += 1
        node.link.record_open()
        try:
            stream = Stream.connect(self._scheduler, node.address, until, claim.event)
        except BaseException as error:
            if isinstance(error, OSError):
                node.link.record_rejection(self._scheduler.now())
            self._open -= 1
            node.link.record_close()
            raise
        claim.fresh = True
        self._counters.add("connections_opened")
        return stream

    def _await_turn(self, node: UpstreamEndpoint, claim: UpstreamAttempt, until: float) -> None:
        """Wait for a connection to come back, or for the moment when one may be opened."""
        node.waiting.append(claim)
        try:
            self._scheduler.park(until, event=claim.event)
        except TaskTimeoutError:
            return
        finally:
            if claim in node.waiting:
                node.waiting.remove(claim)
        if claim.why is not None:
            raise WaitInterruptedError

    @staticmethod
    def _encode(request: Message, node: UpstreamEndpoint, left_ms: int) -> bytes:
        if request.passed is not None:
            headers = [field for field in request.passed if field[0].lower() not in _REWRITTEN]
        else:
            named = {word.strip().lower() for word in request.headers.get("connection", "").split(",")}
            headers = [
                (name.title(), value)
                for name, value in request.headers.items()
                if name not in _REWRITTEN and name not in named
            ]
        if "host" not in request.headers:
            headers.insert(0, ("Host", f"{node.address[0]}:{node.address[1]}"))
        headers.append(("Request-Timeout-Ms", str(left_ms)))
        if isinstance(request.rest, RequestBodyStream):
            length = request.rest.length
            framing = Framing.CHUNKS if length is None else Framing.LENGTH
            return write_request(*request.start, headers, b"", length, framing)
        return write_request(*request.start, headers, request.body)

    def _answer(self, stream: Stream, claim: UpstreamAttempt, deadline: float) -> tuple[Message, bool]:
        """The whole answer, and whether its connection can serve another claim.

        One that is not held has a `ResponseBodyStream` as its `rest`.  What comes behind an answer spoils the
        connection, not the answer.
        """
        reader, now = MessageReader.responses(passing=True), stream.scheduler.now
        interim, due = 0, deadline
        patience: float | None = None  # when an answer of unknown length passes on
        while True:
            wait = due if patience is None else min(due, patience)
            try:
                data = stream.receive(wait, claim.event)
            except TaskTimeoutError:
                if patience is not None and wait == patience:
                    if reader.size:
                        return self._begun(stream, reader)
                    patience = math.inf  # held for long enough: it passes on with its first byte
                    continue
                if due >= deadline:
                    raise
                # Guards against a length that does not fit: the claim would wait until its deadline.
                raise HttpError(502, "the rest of the answer did not come") from None
            if data is None:
                raise WaitInterruptedError
            if not data:
                if (answer := reader.end()) is not None:  # framed by the connection's end
                    return answer, False
                raise ConnectionResetError("the connection ended before its answer")
            reader.feed(data)
            while (answer := reader.take()) is not None:
                if answer.status >= 200:
                    return answer, answer.keep_alive and not reader.buffered
                interim, due = interim + 1, deadline
                if interim > MAX_INTERIM or answer.status == 101:
                    # Guards against 1xx answers without end, at full speed.
                    raise HttpError(502, "interim answers without end")
            if reader.large or (patience == math.inf and reader.size):
                return self._begun(stream, reader)
            if reader.begun:
                due = min(deadline, now() + REST_SECONDS)
            if patience is None and reader.head() is not None and reader.length is None:
                patience = now() + HELD_SECONDS

    @staticmethod
    def _begun(stream: Stream, reader: MessageReader) -> tuple[Message, bool]:
        answer = reader.head()
        assert answer is not None
        answer.rest = ResponseBodyStream(stream, reader)
        return answer, False

    # --- connections ----------------------------------------------------------------------------

    def _give_back(self, node: UpstreamEndpoint, stream: Stream, keep: bool) -> None:
        if not keep or node.leaving or not stream.open:
            self._discard(node, stream)
        else:
            stream.used_at = self._scheduler.now()
            node.idle.append(stream)
        if node.waiting:
            node.waiting.popleft().event.set()

    def _discard(self, node: UpstreamEndpoint, stream: Stream) -> None:
        if stream.open:
            self._open -= 1
            node.link.record_close()
            stream.close()

    def _drop(self, node: UpstreamEndpoint) -> None:
        while node.idle:
            self._discard(node, node.idle.pop())

    def _make_room(self) -> bool:
        """Close the idle connection unused for longest; false where none is idle."""
        idle = [node for node in self._nodes.values() if node.idle]
        if not idle:
            return False
        node = min(idle, key=lambda node: node.idle[0].used_at)
        self._discard(node, node.idle.pop(0))
        return True

    def reap(self) -> None:
        """The task: close what has been idle for too long, was closed from the other side or is too much."""
        while True:
            self._scheduler.sleep(1.0)
            now = self._scheduler.now()
            old = now - self._pace.idle_timeout_s
            for node in list(self._nodes.values()):
                keep = [stream for stream in node.idle if stream.used_at > old and stream.quiet()]
                keep = keep[max(0, len(keep) - max(node.link.idle_to_keep(now), 1)) :]  # the last used
                for stream in node.idle:
                    if stream not in keep:
                        self._discard(node, stream)
                node.idle[:] = keep
                if not (keep or node.claims or node.waiting) and node.link.is_forgettable(now):
                    del self._nodes[node.name]
