"""JSON lines over TCP: a server, a one-way sender, and a client with a persistent connection."""

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
UNACKNOWLEDGED_MAX_S = 1.0  # a connection fails if sent bytes are not acknowledged by TCP within this time
IDLE_TIMEOUT_S = 30.0
SEND_TIMEOUT_S = 3.0
RECONNECT_BACKOFF_S = 0.1
QUEUE_BYTES_MAX = 24 * 1024 * 1024
CONNECTIONS_MAX = 512

MessageHandler = Callable[[dict[str, object], str], dict[str, object] | None]


def _connect(scheduler: Scheduler, address: Address, deadline: float) -> Stream:
    """Open a connection that fails within `UNACKNOWLEDGED_MAX_S` of the peer becoming unreachable."""
    return Stream.connect(
        scheduler,
        address,
        deadline,
        prepare=lambda sock: scheduler.system.set_unacknowledged_timeout(sock, UNACKNOWLEDGED_MAX_S),
    )


class LineServer:
    """Calls a handler with each received message, and sends the returned reply on the same connection."""

    def __init__(
        self,
        scheduler: Scheduler,
        address: Address,
        handler: MessageHandler,
        on_invalid: Callable[[str, str], None],
        connections: int = CONNECTIONS_MAX,
    ) -> None:
        """Start listening.

        Args:
            scheduler: The scheduler of the serving thread.
            address: The address to listen on.
            handler: Called with a message and the sender's host; returns the reply, or None to send no reply,
                and may raise `InvalidMessageError`.
            on_invalid: Called with the sender's host and the reason when a message is invalid, before its
                connection is closed.
            connections: The maximum number of concurrent connections.
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
    """Sends messages to one address, in order and without replies, and reconnects when the connection fails.

    Messages that cannot be sent are dropped; callers repeat important messages.
    """

    def __init__(self, scheduler: Scheduler, address: Address) -> None:
        self._scheduler, self._address = scheduler, address
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._enqueued = Event()
        self._task = scheduler.spawn(self._run, name="sender")

    def send(self, message: JsonObject) -> None:
        """Queue a message; the oldest messages are dropped if the queue exceeds `QUEUE_BYTES_MAX`."""
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
        """Send queued messages until the peer closes the connection."""
        while True:
            if not self._queue:
                if self._scheduler.park(None, stream.sock, event=self._enqueued) is not Wakeup.EVENT:
                    return  # the socket is readable; the peer never sends data, so it closed the connection
                continue
            line = self._queue.popleft()
            self._queued_bytes -= len(line)
            stream.send(line, self._scheduler.now() + SEND_TIMEOUT_S)


class LineClient:
    """Sends requests and receives replies over one connection."""

    def __init__(self, scheduler: Scheduler, address: Address) -> None:
        self._scheduler, self._address = scheduler, address
        self._stream: Stream | None = None
        self._buffer = lines.LineBuffer()

    def send_request(self, message: JsonObject, timeout_s: float) -> dict[str, object]:
        """Send a message and return the reply.

        Raises:
            OSError: The connection failed; it is closed, as after every other error.
            TaskTimeoutError: No reply arrived in time.
            InvalidMessageError: The reply is invalid.
        """
        deadline = self._scheduler.now() + timeout_s
        try:
            return self._exchange(message, deadline)
        except BaseException:  # also on cancellation: a connection with a partly read reply is not reused
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
        """Close the connection."""
        if self._stream is not None:
            self._stream.close()
            self._stream = None
