"""A small HTTP/1.1 client based on h11 for short responses; it reuses a single connection."""

from __future__ import annotations

from dataclasses import dataclass

import h11

from brambleusher.runtime.h11_messages import encode_message, receive_event
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import Address

BODY_BYTES_MAX = 8 * 1024 * 1024


@dataclass(eq=False)
class HttpRequestError(Exception):
    """Raised when a request gets no complete response."""

    reason: str

    def __str__(self) -> str:
        """Return the reason as a text for logs and error responses."""
        return self.reason


class HttpClient:
    """Sends requests to one server over a reused connection."""

    def __init__(self, scheduler: Scheduler, address: Address) -> None:
        self._scheduler, self._address = scheduler, address
        self._stream: Stream | None = None
        self._connection = h11.Connection(h11.CLIENT)

    def get(self, target: str, timeout_s: float) -> tuple[int, bytes]:
        """Send a GET request and return status and body; raise `HttpRequestError` if it fails."""
        deadline = self._scheduler.now() + timeout_s
        reused = self._stream is not None
        try:
            return self._get(target, deadline)
        except (OSError, TaskTimeoutError, h11.ProtocolError) as error:
            self.close()
            if not reused or self._scheduler.now() >= deadline:
                raise HttpRequestError(f"{type(error).__name__}: {error}") from error
        try:  # retry on a new connection, as the server had closed the old one
            return self._get(target, deadline)
        except (OSError, TaskTimeoutError, h11.ProtocolError) as error:
            self.close()
            raise HttpRequestError(f"{type(error).__name__}: {error}") from error

    def close(self) -> None:
        """Close the reused connection."""
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    def _get(self, target: str, deadline: float) -> tuple[int, bytes]:
        if self._stream is None:
            self._stream = Stream.connect(self._scheduler, self._address, deadline)
            self._connection = h11.Connection(h11.CLIENT)
        stream, connection = self._stream, self._connection
        host = f"{self._address[0]}:{self._address[1]}".encode()
        request = h11.Request(method=b"GET", target=target.encode(), headers=[(b"Host", host)])
        stream.send(encode_message(connection, request), deadline)
        status, body = 0, bytearray()
        while True:
            event = receive_event(connection, stream, deadline)
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > BODY_BYTES_MAX:
                    raise OSError("the response is too long")
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                raise OSError("the server closed the connection before its response")
        if connection.our_state is h11.DONE and connection.their_state is h11.DONE:
            connection.start_next_cycle()
        else:
            self.close()
        return status, bytes(body)
