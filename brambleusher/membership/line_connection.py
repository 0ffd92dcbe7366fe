"""JSON lines over TCP: a server, a one-way sender, and a client that keeps its connection."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from brambleusher.runtime.acceptor import Acceptor
from brambleusher.runtime.scheduler import Event, Scheduler, TaskTimeoutError, Wakeup
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import Address
from brambleusher.wire import lines
from brambleusher.wire.errors import InvalidMessageError
from brambleusher.wire.json_fields import JsonObject

CONNECT_TIMEOUT_S = 0.5
UNACKNOWLEDGED_MAX_S = 1.0  # bytes that the peer's kernel has not acknowledged for longer end a connection
IDLE_TIMEOUT_S = 30.0
SEND_TIMEOUT_S = 3.0
RECONNECT_BACKOFF_S = 0.1
QUEUE_BYTES_MAX = 24 * 1024 * 1024
CONNECTIONS_MAX = 512

MessageHandler = Callable[[dict[str, object], str], dict[str, object] | None]


def _connect(scheduler: Scheduler, address: Address, deadline: float) -> Stream:
    """Return a connection that fails soon once the peer is unreachable."""
    return Stream.connect(
        scheduler,
        address,
        deadline,
        prepare=lambda sock: scheduler.system.set_unacknowledged_timeout(sock, UNACKNOWLEDGED_MAX_S),
    )


class LineServer:
    """Calls a handler with each message; what that returns is sent back on the same connection."""

    def __init__(
        self,
        scheduler: Scheduler,
        address: Address,
        handler: MessageHandler,
        on_invalid: Callable[[str, str], None],
        connections: int = CONNECTIONS_MAX,
    ) -> None:
        """Listen.

        Args:
            scheduler: Of the serving thread.
            address: Where to listen.
            handler: Gets a message and the sender's host; may raise `InvalidMessageError`.
            on_invalid: Gets the host and the reason where a message is invalid; its connection is closed.
            connections: That are served at once.
        """
        self._scheduler, self._handler, self._on_invalid = scheduler, handler, on_invalid
        self.acceptor = Acceptor(scheduler, address, self._serve, connections)

    def _serve(self, stream: Stream, peer: str) -> None:
        buffer = lines.LineBuffer()
        while data := stream.receive(self._scheduler.now() + IDLE_TIMEOUT_S):
            try:
                for line in buffer.feed(data):
                    reply = self._handler(lines.decode(line), peer)
                    if reply is not None:
                        stream.send(lines.encode(reply), self._scheduler.now() + SEND_TIMEOUT_S)
            except InvalidMessageError as error:
                self._on_invalid(peer, str(error))
                return


class LineSender:
    """Sends messages one way to one address, in order, over a connection that is renewed when it fails.

    Messages that can't be sent are dropped: callers repeat what matters.
    """

    def __init__(self, scheduler: Scheduler, address: Address) -> None:
        self._scheduler, self._address = scheduler, address
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._enqueued = Event()
        self._task = scheduler.spawn(self._run, name="sender")

    def send(self, message: JsonObject) -> None:
        """Queue a message; the oldest are dropped where the peer does not read them."""
        line = lines.encode(message)
        self._queue.append(line)
        self._queued_bytes += len(line)
        while self._queued_bytes > QUEUE_BYTES_MAX and len(self._queue) > 1:
            self._queued_bytes -= len(self._queue.popleft())
        self._enqueued.set()

    def close(self) -> None:
        """Stop sending."""
        self._task.cancel()

    def _run(self) -> None:
        while True:
            if not self._queue:
                self._scheduler.park(event=self._enqueued)
                continue
            deadline = self._scheduler.now() + CONNECT_TIMEOUT_S
            try:
                stream = _connect(self._scheduler, self._address, deadline)
            except (OSError, TaskTimeoutError):
                self._queue.clear()
                self._queued_bytes = 0
                self._scheduler.sleep(RECONNECT_BACKOFF_S)
                continue
            try:
                self._send_queued(stream)
            except (OSError, TaskTimeoutError):
                continue
            finally:
                stream.close()

    def _send_queued(self, stream: Stream) -> None:
        """Send what is queued until the peer closes the connection."""
        while True:
            if not self._queue:
                if self._scheduler.park(None, stream.sock, event=self._enqueued) is not Wakeup.EVENT:
                    return  # it became readable: the peer never sends anything here, so it has closed
                continue
            line = self._queue.popleft()
            self._queued_bytes -= len(line)
            stream.send(line, self._scheduler.now() + SEND_TIMEOUT_S)


class LineClient:
    """Calls over one connection: a message out, a message back."""

    def __init__(self, scheduler: Scheduler, address: Address) -> None:
        self._scheduler, self._address = scheduler, address
        self._stream: Stream | None = None
        self._buffer = lines.LineBuffer()

    def call(self, message: JsonObject, timeout_s: float) -> dict[str, object]:
        """Send a message and return the reply.

        Raises:
            OSError: The connection failed; like after every error it is closed.
            TaskTimeoutError: There was no reply in time.
            InvalidMessageError: The reply can't be read.
        """
        deadline = self._scheduler.now() + timeout_s
        try:
            return self._exchange(message, deadline)
        except BaseException:  # a task that is cancelled, too, leaves no half-read connection behind
            self.close()
            raise

    def _exchange(self, message: JsonObject, deadline: float) -> dict[str, object]:
        if self._stream is None:
            self._buffer = lines.LineBuffer()
            connect_deadline = min(deadline, self._scheduler.now() + CONNECT_TIMEOUT_S)
            self._stream = _connect(self._scheduler, self._address, connect_deadline)
        self._stream.send(lines.encode(message), deadline)
        while data := self._stream.receive(deadline):
            complete = self._buffer.feed(data)
            if complete:
                return lines.decode(complete[0])
        raise ConnectionResetError("the connection ended before the reply")

    def close(self) -> None:
        """End the connection."""
        if self._stream is not None:
            self._stream.close()
            self._stream = None
