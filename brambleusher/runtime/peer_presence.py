"""Detects a client disconnect while a request is in progress, and buffers pipelined requests."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import Socket

MAX_READ_AHEAD_BYTES = 128 * 1024  # bytes of pipelined requests to keep; further bytes are discarded
MAX_DISCARDED_BYTES = 16 * 1024 * 1024  # after discarding this much, the connection is no longer read
READ_BYTES = 64 * 1024
MAX_READS = 4  # reads per check, so that an endless stream does not block other tasks


class ReadAheadBuffer(Protocol):
    """The part of a connection's parser that buffers pipelined requests."""

    @property
    def buffered(self) -> int:
        """The number of bytes buffered for the next message."""

    def feed(self, data: bytes) -> None:
        """Buffer received bytes for the next message."""


class PeerPresence:
    """Detects whether a client disconnects while one of its requests is in progress.

    A client that closes its connection or its sending side counts as disconnected, even if unread bytes
    precede the close. Such bytes are read and kept for the next request within a limit. Once bytes were
    discarded, the connection can't be reused, since part of a request may be missing.
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
        """Watch a connection with limits in bytes for read-ahead and for discarded data.

        `reserve` is called to reserve memory for bytes to keep; the bytes are discarded if it returns false.
        """
        self._stream, self._buffer = stream, buffer
        self._max_read_ahead, self._max_discarded = max_read_ahead, max_discarded
        self._reserve = reserve
        self.has_left = False
        self.discarded_bytes = 0

    def socket(self) -> Socket | None:
        """Return the socket to watch for a disconnect, or None once the client has exceeded the limits."""
        return self._stream.sock if self._reads_on else None

    def check_left(self) -> bool:
        """Read available bytes without waiting, and return whether the client has disconnected."""
        for _ in range(MAX_READS):
            if self.has_left or not self._read():
                break
        return self.has_left

    def _read(self) -> bool:
        """Read once; return false if nothing has arrived or no further bytes may be read."""
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
    def _has_capacity(self) -> bool:
        return not self.discarded_bytes and self._buffer.buffered < self._max_read_ahead

    @property
    def _reads_on(self) -> bool:
        return self.discarded_bytes < self._max_discarded or self._has_capacity

    def _may_keep(self, size: int) -> bool:
        return self._has_capacity and (self._reserve is None or self._reserve(size))
