"""Whether the client of a request in work is still there, and what it sends before its answer is out."""

from __future__ import annotations

from brambleusher.net.http import MessageReader
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import Socket

KEPT_BYTES = 128 * 1024  # of what is sent ahead: the next requests; what comes beyond is not kept
DROPPED_BYTES = 16 * 1024 * 1024  # past so much that was not kept the connection is read no further
LOOK_BYTES = 64 * 1024
LOOK_READS = 4  # in one look: bytes without end must not hold up other tasks


class ClientPresence:
    """One client's connection while a request of it is in work.

    A client that closes its connection has gone, also where bytes lie ahead of the close: they are read, and
    kept for the next request as far as there is room.  What was not kept makes the rest of the connection
    unusable, since part of a request may be missing from it.
    """

    __slots__ = ("_reader", "_stream", "dropped", "gone")

    def __init__(self, stream: Stream, reader: MessageReader) -> None:
        self._stream, self._reader = stream, reader
        self.gone = False
        self.dropped = 0  # bytes that came and were not kept

    def socket(self) -> Socket | None:
        """Return what to watch for the client's leaving; None once it has sent ahead more than is read."""
        return self._stream.sock if self.dropped < DROPPED_BYTES else None

    def look(self) -> bool:
        """Read what has come, without waiting; true once the client has gone."""
        for _ in range(LOOK_READS):
            if self.gone or not self._read():
                break
        return self.gone

    def _read(self) -> bool:
        """Read once; false where nothing waits."""
        try:
            data = self._stream.sock.recv(LOOK_BYTES)
        except BlockingIOError:
            return False
        except OSError:
            data = b""
        if not data:
            self.gone = True
        elif self.dropped or self._reader.buffered >= KEPT_BYTES:
            self.dropped += len(data)
        else:
            self._reader.feed(data)
        return True
