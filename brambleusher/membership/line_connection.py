"""JSON lines over TCP: a server of lines, and a client that keeps a connection and notices silence."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from brambleusher.runtime.acceptor import Acceptor
from brambleusher.runtime.scheduler import Event, Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import Address
from brambleusher.wire import lines
from brambleusher.wire.errors import InvalidMessageError

CONNECT_S = 0.5
SILENT_S = 1.0  # unacknowledged bytes older than this end a connection
IDLE_S = 30.0
SEND_S = 3.0
RETRY_S = 0.1
QUEUE_BYTES = 24 * 1024 * 1024


class LineServer:
    """Calls the handler with each message; what it returns goes back on the same connection."""

    def __init__(
        self,
        scheduler: Scheduler,
        address: Address,
        handler: Callable[[dict[str, Any], str], dict[str, Any] | None],
        invalid: Callable[[str, str], None],
        connections: int = 512,
    ) -> None:
        self._scheduler, self._handler, self._invalid = scheduler, handler, invalid
        self.acceptor = Acceptor(scheduler, address, self._serve, connections)

    def _serve(self, stream: Stream, peer: str) -> None:
        buffer = lines.LineBuffer()
        while data := stream.receive(self._scheduler.now() + IDLE_S):
            try:
                for line in buffer.feed(data):
                    reply = self._handler(lines.decode(line), peer)
                    if reply is not None:
                        stream.send(lines.encode(reply), self._scheduler.now() + SEND_S)
            except InvalidMessageError as error:
                self._invalid(peer, str(error))
                return


class LineSender:
    """One way: messages to one address, in order, over a connection made anew when it fails.

    What can't be sent is dropped: those who use it repeat what matters.
    """

    def __init__(self, scheduler: Scheduler, address: Address) -> None:
        self._scheduler, self._address = scheduler, address
        self._queue: deque[bytes] = deque()
        self._held = 0
        self._event = Event()
        self._task = scheduler.spawn(self._run, name="sender")

    def send(self, message: dict[str, Any]) -> None:
        """Queue a message; the oldest go first where the peer does not take them."""
        line = lines.encode(message)
        self._queue.append(line)
        self._held += len(line)
        while self._held > QUEUE_BYTES and len(self._queue) > 1:
            self._held -= len(self._queue.popleft())
        self._event.set()

    def close(self) -> None:
        """Stop sending."""
        self._task.cancel()

    def _run(self) -> None:
        while True:
            if not self._queue:
                self._scheduler.park(event=self._event)
                continue
            try:
                stream = Stream.connect(
                    self._scheduler,
                    self._address,
                    self._scheduler.now() + CONNECT_S,
                    prepare=lambda sock: self._scheduler.system.bound_silence(sock, SILENT_S),
                )
            except (OSError, TaskTimeoutError):
                self._queue.clear()
                self._held = 0
                self._scheduler.sleep(RETRY_S)
                continue
            try:
                self._drain(stream)
            except (OSError, TaskTimeoutError):
                continue
            finally:
                stream.close()

    def _drain(self, stream: Stream) -> None:
        while True:
            if not self._queue:
                if self._scheduler.park(None, stream.sock, event=self._event) != "event":
                    return  # the peer ended it; it never sends anything here
                continue
            line = self._queue.popleft()
            self._held -= len(line)
            stream.send(line, self._scheduler.now() + SEND_S)


class LineClient:
    """Calls over one connection: a message out, a message back."""

    def __init__(self, scheduler: Scheduler, address: Address) -> None:
        self._scheduler, self._address = scheduler, address
        self._stream: Stream | None = None
        self._buffer = lines.LineBuffer()

    def call(self, message: dict[str, Any], timeout_s: float) -> dict[str, Any]:
        """The answer; raises `OSError`, `TaskTimeoutError` or `InvalidMessageError`, and then is closed."""
        deadline = self._scheduler.now() + timeout_s
        try:
            if self._stream is None:
                self._buffer = lines.LineBuffer()
                self._stream = Stream.connect(
                    self._scheduler,
                    self._address,
                    min(deadline, self._scheduler.now() + CONNECT_S),
                    prepare=lambda sock: self._scheduler.system.bound_silence(sock, SILENT_S),
                )
            self._stream.send(lines.encode(message), deadline)
            while data := self._stream.receive(deadline):
                whole = self._buffer.feed(data)
                if whole:
                    return lines.decode(whole[0])
            raise ConnectionResetError("the connection ended before the answer")
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """End the connection."""
        if self._stream is not None:
            self._stream.close()
            self._stream = None
