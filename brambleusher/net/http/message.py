"""The parsed HTTP message, the error for invalid messages, and the size limits."""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 16 * 1024
MAX_HEADERS = 100
MAX_BUFFERED_BODY_BYTES = 64 * 1024
MAX_STREAMED_BODY_BYTES = 32 * 1024 * 1024
MAX_BUFFERED_RESPONSE_BYTES = 1024 * 1024  # maximum body size of responses that can't be streamed
MAX_CHUNK_LINE_BYTES = 256

HeaderField = tuple[str, str]  # a header's name in its original spelling, and its value

# Headers that apply to a single connection or are rewritten for the next connection.
HOP_BY_HOP = frozenset(
    {"connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade"}
)


_NO_OPTIONS: Set[str] = frozenset()


class HttpError(Exception):
    """Raised for an invalid message; `status` is the status of the error response."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Message:
    """An HTTP request or response; the header names in `headers` are lowercase."""

    start: tuple[str, str]  # method and target, or status and reason
    minor: int
    headers: dict[str, str]
    body: bytes = b""
    fields: list[HeaderField] = field(default_factory=list)  # the header fields in order, including repeats
    forwarded_fields: list[HeaderField] | None = None  # rewritten headers, or None without rewrites
    body_stream: object = None  # a body too large to buffer, used in place of `body`

    @property
    def status(self) -> int:
        """The status code of a response."""
        return int(self.start[0])

    @property
    def keep_alive(self) -> bool:
        """Whether the sender allows the connection to be reused for another message."""
        if "connection" not in self.headers:  # fast path for most messages
            return self.minor == 1
        options = self.connection_options
        return "close" not in options and (self.minor == 1 or "keep-alive" in options)

    @property
    def connection_options(self) -> Set[str]:
        """The lowercase options and hop-by-hop header names in the `Connection` header."""
        connection = self.headers.get("connection")
        if connection is None:
            return _NO_OPTIONS
        return {option.strip().lower() for option in connection.split(",")}
