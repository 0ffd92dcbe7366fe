"""HTTP messages by h11 over a stream: the next event of the peer, and a whole message as bytes."""

from __future__ import annotations

from typing import Any

import h11
from h11._headers import Headers

from brambleusher.runtime.streams import RECEIVE_BYTES, Stream

SEND_S = 5.0  # for a peer to take a line that tells it to go on


class ParserBuffer:
    """The bytes that a connection's parser holds for the next message."""

    __slots__ = ("_connection",)

    def __init__(self, connection: h11.Connection) -> None:
        self._connection = connection

    @property
    def buffered(self) -> int:
        """How many bytes it holds."""
        return len(self._connection.trailing_data[0])

    def feed(self, data: bytes) -> None:
        """Give it bytes that have come."""
        self._connection.receive_data(data)


def header_list(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return headers as pairs, names in lower case: h11 makes each pair anew whenever it is iterated over."""
    return [(name.lower(), value) for name, value in headers.raw_items()]


def receive_event(connection: h11.Connection, stream: Stream, deadline: float) -> Any:
    """Wait for the next event of the peer; raises `OSError`, `TaskTimeoutError`, `h11.ProtocolError`.

    A client that waits to be told to go on with its body is told so.
    """
    while (event := connection.next_event()) is h11.NEED_DATA:
        if connection.our_role is h11.SERVER:
            send_continue(connection, stream)
        connection.receive_data(stream.receive(deadline, size=RECEIVE_BYTES) or b"")
    return event


def send_continue(connection: h11.Connection, stream: Stream, seconds: float = SEND_S) -> None:
    """Tell a client that waits for it to go on with its body."""
    if connection.they_are_waiting_for_100_continue:
        informational = h11.InformationalResponse(status_code=100, headers=[])
        stream.send(connection.send(informational) or b"", stream.scheduler.now() + seconds)


def encode_message(connection: h11.Connection, head: h11.Request | h11.Response, body: bytes = b"") -> bytes:
    """Encode a whole message."""
    events: list[h11.Event] = [head, *([h11.Data(data=body)] if body else []), h11.EndOfMessage()]
    return b"".join(connection.send(event) or b"" for event in events)
