"""Whether a client whose request is in progress is still there, and what it sends before its response."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import Socket

MAX_READ_AHEAD_BYTES = 128 * 1024  # the next requests; what comes beyond is discarded
MAX_DISCARDED_BYTES = 16 * 1024 * 1024  # past so much the connection is read no further
READ_BYTES = 64 * 1024
MAX_READS = 4  # in one check: bytes without end must not hold up other tasks


class ReadAheadBuffer(Protocol):
    """The parser of a connection: it keeps what is read ahead of the next request."""

    @property
    def buffered(self) -> int:
        """How many bytes wait for the next message."""

    def feed(self, data: bytes) -> None:
        """Keep bytes for the next message."""


class PeerPresence:
    """One client's connection while a request of it is in progress.

    A client that closes its connection, or its sending side, has left, also where bytes lie ahead of the
    close: they are read, and kept for the next request within a limit.  What was discarded makes the rest of
    the connection unusable, since part of a request may be missing from it.
    """

    __slots__ = (
        "_buffer",
        "_max_discarded",
        "_max_read_ahead",
        "_reserve",
        "_stream",
        "discarded_bytes",
        "has_left",
    )

    def __init__(
        self,
        stream: Stream,
        buffer: ReadAheadBuffer,
        max_read_ahead: int = MAX_READ_AHEAD_BYTES,
        max_discarded: int = MAX_DISCARDED_BYTES,
        reserve: Callable[[int], bool] | None = None,
    ) -> None:
        """Watch a connection within limits in bytes.

        `reserve` is asked for memory for bytes that are to be kept; they are discarded where it has none.
        """
        self._stream, self._buffer = stream, buffer
        self._max_read_ahead, self._max_discarded = max_read_ahead, max_discarded
        self._reserve = reserve
        self.has_left = False
        self.discarded_bytes = 0

    def socket(self) -> Socket | None:
        """Return what to watch for the client's leaving; None once it has sent ahead more than is read."""
        return self._stream.sock if self._reads_on else None

    def check_left(self) -> bool:
        """Read what has come, without waiting; true once the client has left."""
        for _ in range(MAX_READS):
            if self.has_left or not self._read():
                break
        return self.has_left

    def _read(self) -> bool:
        """Read once; false where nothing has come, or where what may have come stays unread."""
        if not self._reads_on:
            return False
        try:
            data = self._stream.sock.recv(min(READ_BYTES, self._max_read_ahead))
        except BlockingIOError:
            return False
        except OSError:
            data = b""
        if not data:
            self.has_left = True
        elif self._may_keep(len(data)):
            self._buffer.feed(data)
        else:
            self.discarded_bytes += len(data)
        return True

    @property
    def _has_room(self) -> bool:
        return not self.discarded_bytes and self._buffer.buffered < self._max_read_ahead

    @property
    def _reads_on(self) -> bool:
        return self.discarded_bytes < self._max_discarded or self._has_room

    def _may_keep(self, size: int) -> bool:
        return self._has_room and (self._reserve is None or self._reserve(size))
