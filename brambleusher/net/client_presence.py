"""Whether a client whose request is in progress is still there, and what it sends before its response."""

from __future__ import annotations

from brambleusher.net.http import MessageReader
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import Socket

MAX_READ_AHEAD_BYTES = 128 * 1024  # the next requests; what comes beyond is discarded
MAX_DISCARDED_BYTES = 16 * 1024 * 1024  # past so much the connection is read no further
READ_BYTES = 64 * 1024
MAX_READS = 4  # in one check: bytes without end must not hold up other tasks


class ClientPresence:
    """One client's connection while a request of it is in progress.

    A client that closes its connection has left, also where bytes lie ahead of the close: they are read, and
    kept for the next request within a limit.  What was discarded makes the rest of the connection unusable,
    since part of a request may be missing from it.
    """

    __slots__ = ("_reader", "_stream", "discarded_bytes", "has_left")

    def __init__(self, stream: Stream, reader: MessageReader) -> None:
        self._stream, self._reader = stream, reader
        self.has_left = False
        self.discarded_bytes = 0

    def socket(self) -> Socket | None:
        """Return what to watch for the client's leaving; None once it has sent ahead more than is read."""
        return self._stream.sock if self.discarded_bytes < MAX_DISCARDED_BYTES else None

    def check_left(self) -> bool:
        """Read what has come, without waiting; true once the client has left."""
        for _ in range(MAX_READS):
            if self.has_left or not self._read():
                break
        return self.has_left

    def _read(self) -> bool:
        """Read once; false where nothing has come."""
        try:
            data = self._stream.sock.recv(READ_BYTES)
        except BlockingIOError:
            return False
        except OSError:
            data = b""
        if not data:
            self.has_left = True
        elif self.discarded_bytes or self._reader.buffered >= MAX_READ_AHEAD_BYTES:
            self.discarded_bytes += len(data)
        else:
            self._reader.feed(data)
        return True
