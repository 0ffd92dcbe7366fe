"""The parsed message, the error for what can't be used, and the limits on sizes."""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 16 * 1024
MAX_HEADERS = 100
MAX_BUFFERED_BODY_BYTES = 64 * 1024
MAX_STREAMED_BODY_BYTES = 32 * 1024 * 1024
MAX_BUFFERED_RESPONSE_BYTES = 1024 * 1024  # where a response can't be streamed
MAX_CHUNK_LINE_BYTES = 256

HeaderField = tuple[str, str]  # a header's name as it was written, and its value

# Headers that speak of one connection, or are written anew for the next.
HOP_BY_HOP = frozenset(
    {"connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade"}
)


_NO_OPTIONS: Set[str] = frozenset()


class HttpError(Exception):
    """A message that can't be used; `status` is what its sender is answered with."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Message:
    """A request or a response; header names are in lower case."""

    start: tuple[str, str]  # method and target, or status and reason
    minor: int
    headers: dict[str, str]
    body: bytes = b""
    fields: list[HeaderField] = field(default_factory=list)  # the headers line by line, repeated ones apart
    forwarded_fields: list[HeaderField] | None = None  # where rewrites are on; None: the usual ones
    body_stream: object = None  # of a body too large to be buffered, in place of `body`

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start[0])

    @property
    def keep_alive(self) -> bool:
        """Whether the sender lets the connection serve another message."""
        if "connection" not in self.headers:  # on the way of each message
            return self.minor == 1
        options = self.connection_options
        return "close" not in options and (self.minor == 1 or "keep-alive" in options)

    @property
    def connection_options(self) -> Set[str]:
        """What the `Connection` header names, in lower case: options, and headers of this connection only."""
        connection = self.headers.get("connection")
        if connection is None:
            return _NO_OPTIONS
        return {word.strip().lower() for word in connection.split(",")}
