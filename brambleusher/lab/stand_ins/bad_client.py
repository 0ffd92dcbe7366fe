"""Misbehaving clients, with a method for each kind of misuse of a connection."""

from __future__ import annotations

import random
from collections.abc import Callable, MutableSequence
from dataclasses import dataclass, field
from typing import Literal, get_args

from brambleusher.lab.stand_ins.client import serialize_request
from brambleusher.lab.stand_ins.settings import PlannedRequest
from brambleusher.runtime.scheduler import Scheduler, Task, TaskTimeoutError
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import Address

BadKind = Literal[
    "half-request", "half-and-close", "negative-length", "huge-length", "huge-body", "bad-length",
    "both-framings", "two-lengths", "id-in-use", "pipelining", "leaving", "slow-reading", "slow-writing",
    "silent", "ask-and-stay", "endless-head", "unknown-class", "no-id", "bad-deadline", "noise",
    "again-at-once",
]  # fmt: skip
BAD_KINDS: tuple[BadKind, ...] = get_args(BadKind)

CONNECT_SECONDS = 1.0
MAX_DURATION_S = 8.0  # maximum duration of a connection, in seconds
RECORDED_BYTES = 4096  # maximum number of received bytes that are recorded
SLOW_PAUSE = 0.01


@dataclass(eq=False, slots=True)
class BadConnection:
    """A misbehaving connection, and the response to it.  Times are in monotonic nanoseconds."""

    kind: BadKind
    opened_ns: int = 0  # time of the connect; 0 if the connection was never established
    port: int = 0
    sent_ns: int = 0  # time at which the last byte was written
    first_byte_ns: int = 0  # time of the first byte of the response
    ended_ns: int = 0
    end: str = ""  # outcome: closed or reset by the sidecar, left, stayed to the time limit, or unreachable
    got: bytes = b""  # first bytes of the response
    got_bytes: int = 0
    ids: list[str] = field(default_factory=list)  # ids of the valid requests, which may be served
    hidden: str = ""  # id of a request inside a body, which must never be served


class _Left(Exception):
    """The client closes the connection itself."""


class BadClients:
    """Any number of misbehaving clients of one sidecar."""

    def __init__(
        self,
        scheduler: Scheduler,
        target: Address,
        sample: PlannedRequest,
        seed: int = 0,
        *,
        in_use: Callable[[], list[str]] = list,
        records: MutableSequence[BadConnection] | None = None,
    ) -> None:
        """Initialize the clients.

        `sample` is the model of valid requests; `in_use` returns the ids of other clients' open requests.
        """
        self.scheduler, self.target, self._sample, self._in_use = scheduler, target, sample, in_use
        self.rng = random.Random(f"{seed}/bad/{target[0]}:{target[1]}")
        self.records: MutableSequence[BadConnection] = [] if records is None else records
        self._tasks: dict[int, Task] = {}
        self._number = 0
        self._seed = seed

    @property
    def open(self) -> int:
        """Number of connections that have not ended."""
        return len(self._tasks)

    def begin(self, kind: BadKind, count: int = 1, patience: float = MAX_DURATION_S) -> list[int]:
        """Start `count` clients of a kind, and return their numbers."""
        numbers = []
        for _ in range(count):
            self._number += 1
            connection = BadConnection(kind)
            self.records.append(connection)
            self._tasks[self._number] = self.scheduler.spawn(
                self._run, connection, self._number, patience, name=f"bad {kind}"
            )
            numbers.append(self._number)
        return numbers

    def end(self, numbers: list[int] | None = None) -> None:
        """Close the connections with the given numbers, or all of them."""
        for number in list(self._tasks) if numbers is None else numbers:
            if (task := self._tasks.get(number)) is not None:
                task.cancel()

    # --- one client -----------------------------------------------------------------------------

    def _run(self, connection: BadConnection, number: int, patience: float) -> None:
        scheduler = self.scheduler
        until = scheduler.now() + patience
        stream: Stream | None = None
        connection.end = "left"
        try:
            stream = Stream.connect(scheduler, self.target, min(until, scheduler.now() + CONNECT_SECONDS))
            connection.opened_ns = scheduler.system.monotonic_ns()
            connection.port = stream.sock.getsockname()[1]
            _METHODS[connection.kind](self, connection, stream, number, until)
            self._read(connection, stream, until)
            connection.end = "closed"
        except _Left:
            connection.end = "left"
        except TaskTimeoutError:
            connection.end = "stayed" if stream is not None else "unreachable"
        except OSError:
            connection.end = "reset" if stream is not None else "unreachable"
        finally:
            connection.ended_ns = scheduler.system.monotonic_ns()
            self._tasks.pop(number, None)
            if stream is not None:
                stream.close()

    def _valid_request(
        self, connection: BadConnection, number: int, nth: int = 0, wait: float = 1.0
    ) -> bytes:
        """Return the bytes of a valid request."""
        name = f"b{self._seed & 0xFFFFFFFF:08x}{number:04x}{nth:03x}"
        connection.ids.append(name)
        return serialize_request(self._sample, name, wait)

    def _send(self, connection: BadConnection, stream: Stream, data: bytes, until: float) -> None:
        """Send bytes; a full send buffer delays this until the deadline `until`."""
        stream.send(data, until)
        connection.sent_ns = self.scheduler.system.monotonic_ns()

    def _read(self, connection: BadConnection, stream: Stream, until: float) -> None:
        """Read until the connection ends."""
        while data := stream.receive(until):
            self._record(connection, data)

    def _await_response(self, connection: BadConnection, stream: Stream, until: float) -> None:
        """Read the first bytes of a response."""
        data = stream.receive(until)
        if not data:
            raise ConnectionResetError("the connection was closed without a response")
        self._record(connection, data)

    def _record(self, connection: BadConnection, data: bytes) -> None:
        if not connection.got_bytes:
            connection.first_byte_ns = self.scheduler.system.monotonic_ns()
        connection.got_bytes += len(data)
        connection.got = (
            (connection.got + data)[:RECORDED_BYTES]
            if len(connection.got) < RECORDED_BYTES
            else connection.got
        )

    def _invalid_request(self, old: bytes, new: bytes, number: int) -> bytes:
        """Return a valid request with one error, whose id is not among those that may be served."""
        return self._valid_request(BadConnection("noise"), number).replace(old, new, 1)

    # --- the kinds ------------------------------------------------------------------------------

    def _half_request(self, connection: BadConnection, stream: Stream, number: int, until: float) -> None:
        data = self._valid_request(BadConnection(connection.kind), number)
        self._send(connection, stream, data[: len(data) // 2], until)

    def _half_and_close(self, connection: BadConnection, stream: Stream, number: int, until: float) -> None:
        self._half_request(connection, stream, number, until)
        self.scheduler.sleep(0.1 * self.rng.random())
        raise _Left

    def _request_with(self, name: str, value: str) -> bytes:
        """Return a request in which one header is wrong, or missing for an empty value."""
        method, number = "POST" if self._sample.unsafe else "GET", self.rng.getrandbits(32)
        lines = [
            f"{method} /{self._sample.request_class} HTTP/1.1", "Host: api.internal",
            f"Request-Id: bad-{number:08x}", f"Request-Class: {self._sample.request_class}",
            "Request-Timeout-Ms: 500",
        ]  # fmt: skip
        if self._sample.tenant:
            lines.append(f"Tenant: {self._sample.tenant}")
        lines = [line for line in lines if not line.startswith(name + ":")]
        if value:
            lines.append(f"{name}: {value}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def _negative_length(self, connection: BadConnection, stream: Stream, number: int, until: float) -> None:
        self._send(connection, stream, self._request_with("Content-Length", "-20") + b"x" * 20, until)

    def _huge_length(self, connection: BadConnection, stream: Stream, number: int, until: float) -> None:
        self._send(connection, stream, self._request_with("Content-Length", str(1 << 62)) + b"x" * 20, until)

    def _huge_body(self, connection: BadConnection, stream: Stream, number: int, until: float) -> None:
        size = 256 * 1024
        self._send(connection, stream, self._request_with("Content-Length", str(size)) + b"x" * size, until)

    def _bad_length(self, connection: BadConnection, stream: Stream, number: int, until: float) -> None:
        self._send(connection, stream, self._request_with("Content-Length", "0x14") + b"x" * 20, until)

    def _both_framings(self, connection: BadConnection, stream: Stream, number: int, until: float) -> None:
        inner = self._valid_request(BadConnection(connection.kind), number, 0xFFF)
        connection.hidden = f"b{self._seed & 0xFFFFFFFF:08x}{number:04x}fff"
        body = b"0\r\n\r\n" + inner
        head = (
            self._request_with("Content-Length", str(len(body)))[:-2] + b"Transfer-Encoding: chunked\r\n\r\n"
        )
        self._send(connection, stream, head + body, until)

    def _two_lengths(self, connection: BadConnection, stream: Stream, number: int, until: float) -> None:
        head = self._request_with("Content-Length", "5")[:-2] + b"Content-Length: 25\r\n\r\n"
        self._send(connection, stream, head + b"x" * 25, until)

    def _id_in_use(self, connection: BadConnection, stream: Stream, number: int, until: float) -> None:
        ids = self._in_use()
        if not ids:
            raise _Left
        name = ids[self.rng.randrange(len(ids))]
        self._send(connection, stream, serialize_request(self._sample, name, 1.0), until)

    def _pipelining(self, connection: BadConnection, stream: Stream, number: int, until: float) -> None:
        self._send(
            connection,
            stream,
            b"".join(self._valid_request(connection, number, nth) for nth in range(4)),
            until,
        )

    def _leaving(self, connection: BadConnection, stream: Stream, number: int, until: float) -> None:
        self._send(connection, stream, self._valid_request(connection, number), until)
        self.scheduler.sleep(0.1 * self.rng.random())
        raise _Left

    def _slow_reading(self, connection: BadConnection, stream: Stream, number: int, until: float) -> None:
        self._send(connection, stream, self._valid_request(connection, number), until)
        while self.scheduler.now() < until:
            self.scheduler.park(until, stream.sock)
            data = stream.sock.recv(1)
            if not data:
                return
            self._record(connection, data)
            self.scheduler.sleep(SLOW_PAUSE)

    def _slow_writing(self, connection: BadConnection, stream: Stream, number: int, until: float) -> None:
        data = self._valid_request(connection, number)
        for at in range(len(data)):
            self._send(connection, stream, data[at : at + 1], until)
            self.scheduler.sleep(SLOW_PAUSE / 2)

    def _silent(self, connection: BadConnection, stream: Stream, number: int, until: float) -> None:
        """Send nothing."""

    def _ask_and_stay(self, connection: BadConnection, stream: Stream, number: int, until: float) -> None:
        self._send(connection, stream, self._valid_request(connection, number), until)

    def _endless_head(self, connection: BadConnection, stream: Stream, number: int, until: float) -> None:
        self._send(connection, stream, self._request_with("Content-Length", "0")[:-2], until)
        while self.scheduler.now() < until:
            self._send(connection, stream, b"X-More: " + b"m" * 500 + b"\r\n", until)
            self.scheduler.sleep(SLOW_PAUSE)

    def _unknown_class(self, connection: BadConnection, stream: Stream, number: int, until: float) -> None:
        known = self._sample.request_class.encode()
        self._send(connection, stream, self._invalid_request(known, b"no-such-class", number), until)

    def _no_id(self, connection: BadConnection, stream: Stream, number: int, until: float) -> None:
        self._send(connection, stream, self._request_with("Request-Id", ""), until)

    def _bad_deadline(self, connection: BadConnection, stream: Stream, number: int, until: float) -> None:
        self._send(connection, stream, self._request_with("Request-Timeout-Ms", "soon"), until)

    def _noise(self, connection: BadConnection, stream: Stream, number: int, until: float) -> None:
        self._send(connection, stream, self.rng.randbytes(300), until)

    def _again_at_once(self, connection: BadConnection, stream: Stream, number: int, until: float) -> None:
        """Send a request again immediately after each response, five times."""
        for nth in range(5):
            self._send(connection, stream, self._valid_request(connection, number, nth), until)
            self._await_response(connection, stream, until)


_METHODS: dict[BadKind, Callable[[BadClients, BadConnection, Stream, int, float], None]] = {
    kind: getattr(BadClients, "_" + kind.replace("-", "_")) for kind in BAD_KINDS
}
