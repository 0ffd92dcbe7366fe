"""Receives h11 events from a stream and encodes complete HTTP messages with h11."""

from __future__ import annotations

from typing import Any

import h11
from h11._headers import Headers

from brambleusher.runtime.streams import RECEIVE_BYTES, Stream

SEND_TIMEOUT_S = 5.0  # limit in seconds for a peer to take a 100 Continue response


class ParserBuffer:
    """The bytes of the next message that are buffered in a connection's h11 parser."""

    __slots__ = ("_connection",)

    def __init__(self, connection: h11.Connection) -> None:
        self._connection = connection

    @property
    def buffered(self) -> int:
        """The number of bytes buffered in the parser."""
        return len(self._connection.trailing_data[0])

    def feed(self, data: bytes) -> None:
        """Pass received bytes to the parser."""
        self._connection.receive_data(data)


def header_list(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return headers as a list of pairs with lowercase names, as h11 rebuilds the pairs on each iteration."""
    return [(name.lower(), value) for name, value in headers.raw_items()]


def receive_event(connection: h11.Connection, stream: Stream, deadline: float) -> Any:
    """Wait for the peer's next event; raise `OSError`, `TaskTimeoutError` or `h11.ProtocolError`.

    A client that waits for a 100 Continue response is sent this response.
    """
    stream.scheduler.checkpoint(deadline)
    while (event := connection.next_event()) is h11.NEED_DATA:
        if connection.our_role is h11.SERVER:
            send_continue(connection, stream)
        connection.receive_data(stream.receive(deadline, size=RECEIVE_BYTES) or b"")
    return event


def send_continue(connection: h11.Connection, stream: Stream, seconds: float = SEND_TIMEOUT_S) -> None:
    """Send a 100 Continue response if the client waits for it."""
    if connection.they_are_waiting_for_100_continue:
        informational = h11.InformationalResponse(status_code=100, headers=[])
        stream.send(connection.send(informational) or b"", stream.scheduler.now() + seconds)


def encode_message(connection: h11.Connection, head: h11.Request | h11.Response, body: bytes = b"") -> bytes:
    """Encode a complete message with head and body."""
    events: list[h11.Event] = [head, *([h11.Data(data=body)] if body else []), h11.EndOfMessage()]
    return b"".join(connection.send(event) or b"" for event in events)
