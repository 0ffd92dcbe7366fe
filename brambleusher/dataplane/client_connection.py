"""One connection of a client, by h11: whole requests in, answers out."""

from __future__ import annotations

from dataclasses import dataclass

import h11
import orjson

from brambleusher.runtime.h11_messages import go_on, whole
from brambleusher.runtime.scheduler import Event, Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import RECEIVE_BYTES, Stream
from brambleusher.wire.configuration import Limits

SEND_S = 10.0  # for a client to take what is sent to it
BODY_S = 10.0
BODY_TOO_LARGE, HEAD_TOO_LARGE, NO_MEMORY = 413, 431, 503
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


@dataclass(slots=True, eq=False)
class Request:
    """One request of a client, whole."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]  # names in lower case
    body: bytes
    read_at: float

    def header(self, name: bytes) -> bytes:
        """A header's value; empty where it is not there."""
        for key, value in self.headers:
            if key == name:
                return value
        return b""

    def end_to_end(self) -> list[tuple[bytes, bytes]]:
        """The headers that go on to the instance."""
        listed = {
            part.strip().lower()
            for name, value in self.headers
            if name == b"connection"
            for part in value.split(b",")
        }
        return [
            (name, value)
            for name, value in self.headers
            if name not in CONNECTION_HEADERS and name not in listed
        ]


class RequestTooLarge(Exception):
    """A request is over the limits; `status` says which."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class BodyMemory:
    """The bytes of request bodies that all connections hold together, within a bound."""

    def __init__(self, most: int) -> None:
        self._most = most
        self.held = 0

    def take(self, size: int) -> bool:
        """Account for bytes, unless they are beyond the bound."""
        if self.held + size > self._most:
            return False
        self.held += size
        return True

    def give_back(self, size: int) -> None:
        """Bytes were let go."""
        self.held -= size


class ClientConnection:
    """Reads requests and writes answers; one at a time."""

    def __init__(self, scheduler: Scheduler, stream: Stream, limits: Limits, memory: BodyMemory) -> None:
        self._scheduler, self.stream = scheduler, stream
        self._memory, self._taken = memory, 0
        self.limits = limits
        self.wake = Event()  # set to end a connection that rests
        self.idle = True
        self.ending = False  # each answer is the connection's last
        self.closing = False  # it ends where it rests
        self.begun = False  # the head of an answer was sent
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)

    def read(self) -> Request | None:
        """The next request; None where the client left, stayed silent or the gateway ends.

        Raises `h11.RemoteProtocolError` and `RequestTooLarge`.
        """
        self.release()
        self.idle, self.begun = True, False
        head: h11.Request | None = None
        parts: list[bytes] = []
        held = 0
        deadline = self._scheduler.now() + self.limits.idle_ms / 1000
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                data = self._receive(deadline)
                if data is None:
                    return None
                if self.idle:
                    self.idle = False
                    deadline = self._scheduler.now() + max(self.limits.header_ms / 1000, 1.0)
                self._h11.receive_data(data)
            elif isinstance(event, h11.Request):
                self.idle = False
                head, deadline = event, self._scheduler.now() + BODY_S
                if sum(len(name) + len(value) + 4 for name, value in head.headers) > self.limits.header_bytes:
                    raise RequestTooLarge(HEAD_TOO_LARGE)
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                held += len(event.data)
                if held > self.limits.body_bytes:
                    raise RequestTooLarge(BODY_TOO_LARGE)
                if not self._memory.take(len(event.data)):
                    raise RequestTooLarge(NO_MEMORY)
                self._taken += len(event.data)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                headers = list(head.headers)
                return Request(head.method, head.target, headers, b"".join(parts), self._scheduler.now())
            else:
                return None

    def release(self) -> None:
        """The body of the last request is held no more."""
        self._memory.give_back(self._taken)
        self._taken = 0

    def _receive(self, deadline: float) -> bytes | None:
        go_on(self._h11, self.stream, SEND_S)
        while True:
            if self.idle and self.closing and self.stream.quiet():
                return None
            try:
                data = self.stream.receive(deadline, self.wake if self.idle else None, RECEIVE_BYTES)
            except TaskTimeoutError:
                return None
            if data is not None:
                return data

    def begin(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the head of an answer whose body follows in pieces."""
        self._write(self._h11.send(self._head(status, headers, None)) or b"")

    def _head(self, status: int, headers: list[tuple[bytes, bytes]], length: int | None) -> h11.Response:
        """The head of an answer, with a length or in chunks."""
        framing = (
            (b"Transfer-Encoding", b"chunked")
            if length is None
            else (b"Content-Length", str(length).encode())
        )
        sent = [pair for pair in headers if pair[0].lower() not in CONNECTION_HEADERS]
        sent.append(framing)
        if self.ending:
            sent.append((b"Connection", b"close"))
        self.begun = True
        return h11.Response(status_code=status, headers=sent)

    def data(self, data: bytes) -> None:
        """Send a piece of the body."""
        self._write(self._h11.send(h11.Data(data=data)) or b"")

    def end(self) -> None:
        """The answer is whole."""
        self._write(self._h11.send(h11.EndOfMessage()) or b"")

    def answer(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Send a whole answer."""
        self._write(whole(self._h11, self._head(status, headers, len(body)), body))

    def error(
        self, status: int, reason: str, attempt_id: bytes = b"", retry_after_s: float | None = None
    ) -> None:
        """Send an answer of the gateway's own; with a time to come back where the request has not run."""
        headers = [(b"Content-Type", b"application/json")]
        if attempt_id:
            headers.append((b"X-Attempt-Id", attempt_id))
        if retry_after_s is not None:
            headers.append((b"Retry-After", f"{retry_after_s:.2f}".encode()))
        self.answer(status, headers, orjson.dumps({"error": reason}))

    def next(self) -> bool:
        """Make ready for the next request; False where the connection is over."""
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        return True

    def _write(self, data: bytes) -> None:
        self.stream.send(data, self._scheduler.now() + SEND_S)
